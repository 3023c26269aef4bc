//! One lightweight subscriber: the product's subscriber state machine on real connections, with nothing
//! behind it.

use super::connection::Connection;
use super::fleet::{AppliedVersion, Counters, FleetState};
use std::io::{self, ErrorKind};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use violetseam_distribution::message::MAX_LINE_BYTES;
use violetseam_distribution::subscriber::{Effect, Proposal, Subscriber};
use violetseam_distribution::{Message, Report, Subscribe};
use violetseam_http1::client::ClientEvent;

/// How long a thread waits before it checks whether the fleet is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one subscriber on the calling thread until the fleet stops.
pub(super) fn run(fleet: &FleetState, index: usize, seed: u64) {
    // The name is part of the bytes that are counted.
    let subscriber = Subscriber::new(fleet.now(), &format!("hollow-{index}"), seed, None);
    let reporter = Reporter { fleet, connection: None };
    LightweightSubscriber { fleet, index, subscriber, reporter }.run();
}

/// A subscriber with its connections.
struct LightweightSubscriber<'a> {
    fleet: &'a FleetState,
    /// Its number in the fleet.
    index: usize,
    subscriber: Subscriber,
    reporter: Reporter<'a>,
}

impl LightweightSubscriber<'_> {
    fn run(&mut self) {
        while !self.fleet.is_stopping() {
            let now = self.fleet.now();
            let Some(call) = self.subscriber.call(now) else {
                let wait = Duration::from_micros(self.subscriber.deadline().saturating_sub(now));
                thread::sleep(wait.min(STOP_CHECK_INTERVAL));
                continue;
            };
            self.fleet.counters.calls.fetch_add(1, Ordering::Relaxed);
            // However the watch ends, the subscriber's state machine decides when to call again.
            let _ended = self.watch(&call);
            self.subscriber.on_watch_closed(self.fleet.now());
        }
    }

    /// Follows one watch to its end.
    fn watch(&mut self, call: &Subscribe) -> io::Result<()> {
        let mut connection = Connection::open(self.fleet)?;
        connection.start_watch(&call.to_query(), STOP_CHECK_INTERVAL)?;
        let mut lines = Vec::new();
        while !self.fleet.is_stopping() {
            match connection.next_event()? {
                Some(ClientEvent::Head(_)) => {}
                Some(ClientEvent::Body(bytes)) => {
                    lines.extend_from_slice(&bytes);
                    let effects = self.take_lines(&mut lines)?;
                    self.perform(&effects)?;
                    if effects.contains(&Effect::CloseWatch) {
                        return Ok(());
                    }
                }
                Some(ClientEvent::End { .. } | ClientEvent::Fault(_)) => return Ok(()),
                None if !self.subscriber.on_tick(self.fleet.now()).is_empty() => return Ok(()),
                None => {}
            }
        }
        Ok(())
    }

    /// Hands each complete line to the subscriber's state machine.
    fn take_lines(&mut self, lines: &mut Vec<u8>) -> io::Result<Vec<Effect>> {
        let mut effects = Vec::new();
        while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = lines.drain(..=end).collect();
            let now = self.fleet.now();
            effects.extend(match Message::parse(&line) {
                Ok(message) => {
                    count_message(&self.fleet.counters, &message);
                    self.subscriber.on_message(now, message, &mut |_: Proposal<'_>| Ok(()))
                }
                Err(error) => self.subscriber.on_malformed(now, &error),
            });
        }
        if lines.len() > MAX_LINE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok(effects)
    }

    /// Records the versions that came into force, then sends the reports.
    fn perform(&mut self, effects: &[Effect]) -> io::Result<()> {
        let at = self.fleet.now();
        for effect in effects {
            if let Effect::Apply { version, .. } | Effect::Replace { version } = effect {
                self.fleet.record_applied(AppliedVersion { number: version.number, at });
            }
        }
        let number = self.subscriber.version().map_or(0, |version| version.number);
        self.fleet.set_version(self.index, number);
        for effect in effects {
            if let Effect::Report(report) = effect {
                self.reporter.send(report)?;
            }
        }
        Ok(())
    }
}

fn count_message(counters: &Counters, message: &Message) {
    let counter = match message {
        Message::Heartbeat { .. } => &counters.heartbeats,
        Message::Delta(_) => &counters.deltas,
        Message::SnapshotPart(_) | Message::RetryAfter { .. } => return,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends reports on a connection of their own, which stays open between them.
struct Reporter<'a> {
    fleet: &'a FleetState,
    connection: Option<Connection<'a>>,
}

impl Reporter<'_> {
    fn send(&mut self, report: &Report) -> io::Result<()> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.fleet)?,
        };
        let is_reusable = connection.post_report(&report.write())?;
        if is_reusable {
            self.connection = Some(connection);
        }
        Ok(())
    }
}
