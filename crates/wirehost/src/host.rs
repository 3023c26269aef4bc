//! Hosts many isolated balancers: batches in, replies out.

use crate::codec::{Reader, Record, record, write_action, write_by, write_give_in};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use violetseam::balance::Balancer;
use violetseam::interface::{Action, Event, ListKind, Micros, ServerEntry};

/// All instances of one process. They share nothing but the numbered lists that the wire defines.
#[derive(Default)]
pub struct Host {
    balancers: BTreeMap<u32, Balancer>,
    ledgers: BTreeMap<u8, Vec<ServerEntry>>,
    speaker: Option<u32>,
}

impl Host {
    /// Plays one batch (all bytes after its length field) and returns the whole reply frame.
    ///
    /// # Errors
    /// A text that says which record of the batch cannot be read or played.
    pub fn batch(&mut self, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reader = Reader::new(body);
        let (count, now) = (reader.u32()?, reader.u64()?);
        let mut out = vec![0; 4];
        let mut instance = None;
        self.speaker = None;
        for _ in 0..count {
            let current = || instance.ok_or("event before any context record");
            match record(&mut reader)? {
                Record::Context(id) => instance = Some(id),
                Record::Ledger(sheet, entries) => {
                    self.ledgers.insert(sheet, entries);
                }
                Record::Born(seed, info) => {
                    self.balancers.insert(current()?, Balancer::new(violetseam_instance::parse(info)?, seed));
                }
                Record::Kill => {
                    self.balancers.remove(&current()?);
                }
                Record::Fleet(kind, sheet) => {
                    let id = current()?;
                    let entries = match (kind, self.ledgers.get(&sheet)) {
                        (ListKind::Failed, _) => Vec::new(),
                        (_, Some(entries)) => entries.clone(),
                        (_, None) => return Err(format!("list {sheet} was never sent")),
                    };
                    self.deliver(id, now, Event::ServerList { kind, entries: &entries }, &mut out);
                }
                Record::Event(event) => self.deliver(current()?, now, event, &mut out),
            }
        }
        if !reader.is_empty() {
            return Err("bytes left over after the last record".into());
        }
        let length = u32::try_from(out.len() - 4).map_err(|_| "reply too long")?;
        out[..4].copy_from_slice(&length.to_le_bytes());
        Ok(out)
    }

    fn deliver(&mut self, id: u32, now: Micros, event: Event, out: &mut Vec<u8>) {
        let Some(balancer) = self.balancers.get_mut(&id) else { return };
        let mut actions: Vec<Action> = Vec::new();
        let failed = catch_unwind(AssertUnwindSafe(|| balancer.on_event(now, event, &mut actions))).err();
        if (failed.is_some() || !actions.is_empty()) && self.speaker != Some(id) {
            write_by(out, id);
            self.speaker = Some(id);
        }
        if let Some(cause) = failed {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(ToString::to_string));
            write_give_in(out, &text.unwrap_or_else(|| "decision code failed".into()));
            self.balancers.remove(&id);
        } else {
            actions.iter().for_each(|action| write_action(out, action));
        }
    }
}
