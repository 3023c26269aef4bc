//! Hosts many isolated balancers: batches in, replies out.

use crate::action::{write_action, write_by, write_give_in};
use crate::reader::{Reader, WireError};
use crate::record::{Record, read_record};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use violetseam::balancer::Balancer;
use violetseam::interface::{Action, Event, ListKind, Micros, ServerEntry};

/// Bytes of a frame's length field.
const LENGTH_BYTES: usize = 4;

/// All instances of one process. They share nothing but the numbered lists that the wire defines.
#[derive(Default)]
pub struct Host {
    balancers: BTreeMap<u32, Balancer>,
    tables: BTreeMap<u8, Vec<ServerEntry>>,
    /// The instance that the last record of the reply named.
    named: Option<u32>,
}

impl Host {
    /// Plays one batch (all bytes after its length field) and returns the whole reply frame.
    ///
    /// # Errors
    /// [`WireError`] if a record cannot be read, or names a list or an instance that is not known.
    pub fn batch(&mut self, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut reader = Reader::new(body);
        let count = reader.u32()?;
        let now = reader.u64()?;
        let mut out = vec![0; LENGTH_BYTES];
        let mut instance = None;
        self.named = None;
        for _ in 0..count {
            match read_record(&mut reader)? {
                Record::Context(id) => instance = Some(id),
                Record::ServerTable(number, entries) => {
                    self.tables.insert(number, entries);
                }
                Record::Born(seed, settings) => {
                    let id = named(instance)?;
                    let settings = violetseam_instance_settings::parse(settings)?;
                    self.balancers.insert(id, Balancer::new(settings, seed));
                }
                Record::Kill => {
                    self.balancers.remove(&named(instance)?);
                }
                Record::ServerList(kind, number) => {
                    let id = named(instance)?;
                    let entries = self.entries(kind, number)?;
                    self.deliver(id, now, Event::ServerList { kind, entries: &entries }, &mut out);
                }
                Record::Event(event) => self.deliver(named(instance)?, now, event, &mut out),
            }
        }
        if !reader.is_empty() {
            return Err(WireError::TrailingBytes);
        }
        let length = u32::try_from(out.len() - LENGTH_BYTES).map_err(|_| WireError::ReplyTooLong)?;
        out[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        Ok(out)
    }

    /// What a server list event carries: nothing for a failed call, else the list of that number.
    fn entries(&self, kind: ListKind, number: u8) -> Result<Vec<ServerEntry>, WireError> {
        if kind == ListKind::Failed {
            return Ok(Vec::new());
        }
        self.tables.get(&number).cloned().ok_or(WireError::UnknownList(number))
    }

    fn deliver(&mut self, id: u32, now: Micros, event: Event, out: &mut Vec<u8>) {
        let Some(balancer) = self.balancers.get_mut(&id) else { return };
        let mut actions: Vec<Action> = Vec::new();
        let failure = catch_unwind(AssertUnwindSafe(|| balancer.on_event(now, event, &mut actions))).err();
        let silent = failure.is_none() && actions.is_empty();
        if !silent && self.named != Some(id) {
            write_by(out, id);
            self.named = Some(id);
        }
        if let Some(cause) = failure {
            write_give_in(out, &panic_text(cause.as_ref()));
            self.balancers.remove(&id);
            return;
        }
        for action in &actions {
            write_action(out, action);
        }
    }
}

/// The instance that a record is about.
fn named(instance: Option<u32>) -> Result<u32, WireError> {
    instance.ok_or(WireError::NoContext)
}

/// What a panic said.
fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let owned = cause.downcast_ref::<String>().cloned();
    let text = owned.or_else(|| cause.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "decision code failed".into())
}
