//! Runs many isolated balancers: takes batches of records and returns replies with their actions.

use crate::action::{write_action, write_decision_failure, write_instance};
use crate::reader::{Reader, WireError};
use crate::record::{Record, read_record};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use violetseam::balancer::Balancer;
use violetseam::interface::{Action, Event, ListKind, Micros, ServerEntry};

/// The length of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// All balancer instances of the process. They share nothing but the server tables, which the wire
/// protocol defines for the whole process.
#[derive(Default)]
pub struct Host {
    balancers: BTreeMap<u32, Balancer>,
    server_tables: BTreeMap<u8, Vec<ServerEntry>>,
    /// The instance that the reply has last named: the actions that are written next belong to it.
    named_in_reply: Option<u32>,
}

impl Host {
    /// Processes one batch, given without its length field, and returns the whole reply frame.
    ///
    /// # Errors
    /// [`WireError`] if a record cannot be read, names a server table that was not sent, or needs an instance
    /// and none has been named.
    pub fn process_batch(&mut self, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut reader = Reader::new(body);
        let count = reader.u32()?;
        let now = reader.u64()?;
        let mut out = vec![0; LENGTH_BYTES];
        let mut instance = None;
        self.named_in_reply = None;
        for _ in 0..count {
            match read_record(&mut reader)? {
                Record::Instance(id) => instance = Some(id),
                Record::ServerTable(number, entries) => {
                    self.server_tables.insert(number, entries);
                }
                Record::InstanceStarted(seed, settings) => {
                    let id = require_instance(instance)?;
                    let settings = violetseam_instance_settings::parse(settings)?;
                    self.balancers.insert(id, Balancer::new(settings, seed));
                }
                Record::InstanceKilled => {
                    self.balancers.remove(&require_instance(instance)?);
                }
                Record::ServerList(kind, number) => {
                    let id = require_instance(instance)?;
                    let entries = self.list_entries(kind, number)?;
                    self.deliver(id, now, Event::ServerList { kind, entries: &entries }, &mut out);
                }
                Record::Event(event) => self.deliver(require_instance(instance)?, now, event, &mut out),
            }
        }
        if !reader.is_empty() {
            return Err(WireError::TrailingBytes);
        }
        let length = u32::try_from(out.len() - LENGTH_BYTES).map_err(|_| WireError::ReplyTooLong)?;
        out[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        Ok(out)
    }

    /// The entries of a server list event: none for a failed call, otherwise those of the numbered server
    /// table.
    fn list_entries(&self, kind: ListKind, number: u8) -> Result<Vec<ServerEntry>, WireError> {
        if kind == ListKind::Failed {
            return Ok(Vec::new());
        }
        self.server_tables.get(&number).cloned().ok_or(WireError::UnknownServerTable(number))
    }

    fn deliver(&mut self, id: u32, now: Micros, event: Event, out: &mut Vec<u8>) {
        let Some(balancer) = self.balancers.get_mut(&id) else { return };
        let mut actions: Vec<Action> = Vec::new();
        let panic_payload =
            catch_unwind(AssertUnwindSafe(|| balancer.on_event(now, event, &mut actions))).err();
        let writes_nothing = panic_payload.is_none() && actions.is_empty();
        if !writes_nothing && self.named_in_reply != Some(id) {
            write_instance(out, id);
            self.named_in_reply = Some(id);
        }
        if let Some(payload) = panic_payload {
            write_decision_failure(out, &panic_message(payload.as_ref()));
            self.balancers.remove(&id);
            return;
        }
        for action in &actions {
            write_action(out, action);
        }
    }
}

/// The instance that the records are for now; an error if none has been named.
fn require_instance(instance: Option<u32>) -> Result<u32, WireError> {
    instance.ok_or(WireError::NoInstance)
}

/// The message of a panic.
fn panic_message(payload: &(dyn std::any::Any + Send)) -> String {
    let owned = payload.downcast_ref::<String>().cloned();
    let text = owned.or_else(|| payload.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "decision code failed".into())
}
