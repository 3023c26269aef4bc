//! Batches of events. A batch is decided on a copy of the state, made durable, and then takes effect.

use super::Controller;
#[cfg(feature = "sabotage")]
use super::crash_point::{CrashPoint, abort_if_chosen};
use super::leadership::Term;
use super::responses::{Origin, PendingReply};
use crate::journal::{AppendError, Record, encode};
use crate::writer_thread::WriteRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use violetseam_release::{Event, EventOutcome, Now, Release};

/// The largest number of queued events in one batch.
const MAX_BATCH_LEN: usize = 4_096;
/// The pause after a batch that could not be made durable.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The tick interval while the release does not wait for time to pass.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest interval until the next tick, in microseconds.
const MIN_TICK_MICROS: u64 = 1_000;

/// An event that waits to be taken into a batch.
pub(super) struct QueuedEvent {
    pub event: Event,
    pub origin: Origin,
}

/// A batch that the journal is making durable.
pub(super) struct Batch {
    /// The state after the batch.
    pub release: Arc<Release>,
    pub replies: Vec<PendingReply>,
}

/// The result of deciding a batch.
struct DecidedBatch {
    release: Release,
    replies: Vec<PendingReply>,
    /// The records of the events that changed the state.
    records: Vec<u8>,
    event_count: usize,
}

impl Term {
    /// Decides the queued events, up to the largest number of a batch, and then a tick on a copy of the
    /// state.
    fn decide_batch(&mut self, now: Now) -> DecidedBatch {
        let mut release = Release::clone(&self.release);
        let mut replies = Vec::new();
        let mut records = Vec::new();
        let mut event_count = 0;
        let len = self.queue.len().min(MAX_BATCH_LEN);
        let tick = QueuedEvent { event: Event::Tick, origin: Origin::Internal };
        for QueuedEvent { event, origin } in self.queue.drain(..len).chain(std::iter::once(tick)) {
            let before = release.announcement();
            let EventOutcome { reply, changed } = release.on_event(now, &event);
            if changed {
                let announced = release.announcement();
                let after = (announced != before).then_some(announced);
                records.extend(encode(&Record::Event { now, event, after }));
                event_count += 1;
            }
            replies.push(PendingReply { origin, reply });
        }
        DecidedBatch { release, replies, records, event_count }
    }

    /// Adopts a state that has become durable.
    fn apply(&mut self, release: Arc<Release>, now: Instant) {
        let before = self.release.announcement();
        self.release = release;
        self.write_error = None;
        self.next_tick = next_tick(&self.release, now);
        if let Some(plan) = self.release.plan() {
            self.vote_limit.set_rate(plan.fleet.votes_per_s);
        }
        let desired_builds = self.release.desired_builds();
        if desired_builds != self.desired_builds {
            self.desired_builds = desired_builds;
            self.desired_sent_at = now;
            self.desired_version += 1;
        }
        let after = self.release.announcement();
        self.announcement_revision += u64::from(after != before);
        if (after.build, after.stage, after.phase) != (before.build, before.stage, before.phase) {
            tracing::info!("{}", self.release.describe());
        }
    }
}

impl Controller {
    /// Decides the queued events as one batch and hands it to the journal writer, if a batch is due and none
    /// is in flight.
    pub(super) fn submit_batch(&mut self, now: Instant) {
        let event_time = self.event_time();
        let Some(term) = &mut self.term else { return };
        let is_due = !term.queue.is_empty() || now >= term.next_tick;
        if term.in_flight.is_some() || !is_due || now < term.retry_at {
            return;
        }
        let DecidedBatch { release, replies, records, event_count } = term.decide_batch(event_time);
        let release = Arc::new(release);
        if event_count == 0 {
            term.release = release;
            term.next_tick = next_tick(&term.release, now);
            return self.send_replies(replies);
        }
        #[cfg(feature = "sabotage")]
        {
            self.batch_count += 1;
            abort_if_chosen(CrashPoint::Decided(self.batch_count));
        }
        let request = WriteRequest { records, event_count, state: Arc::clone(&release) };
        if term.writer.send(request).is_err() {
            return self.step_down("the journal writer thread has ended");
        }
        term.in_flight = Some(Batch { release, replies });
    }

    /// Handles the result of the batch in flight: the batch is durable, or it failed.
    pub(super) fn on_write_completed(&mut self, result: Result<(), AppendError>) {
        let now = Instant::now();
        let Some(term) = &mut self.term else { return };
        let Some(Batch { release, replies }) = term.in_flight.take() else { return };
        match result {
            Ok(()) => {
                #[cfg(feature = "sabotage")]
                abort_if_chosen(CrashPoint::Durable(self.batch_count));
                term.apply(release, now);
                self.send_replies(replies);
                #[cfg(feature = "sabotage")]
                {
                    self.update_connections(now);
                    abort_if_chosen(CrashPoint::Announced(self.batch_count));
                }
            }
            Err(AppendError::Superseded) => self.step_down("another controller has begun a later term"),
            Err(error) => {
                let reason = error.to_string();
                tracing::error!(
                    "could not make a batch of events durable, so none of it takes effect: {reason}"
                );
                term.retry_at = now + RETRY_DELAY;
                term.write_error = Some(reason.clone());
                for pending in replies {
                    self.send_reply(pending.origin, Err(&reason));
                }
            }
        }
    }
}

/// Returns when the next tick is due after a batch.
fn next_tick(release: &Release, now: Instant) -> Instant {
    let interval = match release.next_due() {
        Some(micros) => Duration::from_micros(micros.max(MIN_TICK_MICROS)),
        None => IDLE_TICK_INTERVAL,
    };
    now + interval
}
