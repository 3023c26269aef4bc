//! The lease, the start of a term, and stepping down.

use super::batches::{Batch, QueuedEvent};
use super::responses::Origin;
use super::{Controller, ServeError};
use crate::control::Response;
use crate::journal::{JournalError, NewTerm};
use crate::writer_thread::{self, WriteRequest};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Instant;
use violetseam_release::{Release, VoteRateLimit};

/// The number of heartbeats that a leader sends within the duration of a lease.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// The number of times that a standby checks the lease within its duration.
const CHECKS_PER_LEASE: u32 = 8;
/// The upper bound of the rate limit for votes, in votes per second. It applies while there is no plan.
const MAX_VOTE_RATE: f64 = 1e9;

/// The leader's lease, as a standby observes it.
pub(super) struct ObservedLease {
    /// The latest heartbeat; `None` if the lease was released.
    pub heartbeat: Option<String>,
    /// When this controller first read this heartbeat.
    pub unchanged_since: Instant,
}

/// The state of a leader.
pub(super) struct Term {
    pub number: u64,
    /// The state that is in effect. All of it is durable.
    pub release: Arc<Release>,
    /// Increases with each change of the announcement, so that proxies can order what they receive on
    /// different connections.
    pub announcement_revision: u64,
    /// The builds that each place should run, as pairs of place and build.
    pub desired_builds: BTreeSet<(u32, u16)>,
    /// Increases with each change of the desired builds, and each time they are sent again.
    pub desired_version: u64,
    pub desired_sent_at: Instant,
    pub vote_limit: VoteRateLimit,
    pub queue: Vec<QueuedEvent>,
    pub writer: Sender<WriteRequest>,
    /// The batch that the journal writer is making durable.
    pub in_flight: Option<Batch>,
    pub next_tick: Instant,
    /// After a failed batch, no batch is submitted before this time.
    pub retry_at: Instant,
    /// Why the last batch could not be made durable, if it could not.
    pub write_error: Option<String>,
    pub heartbeat_count: u64,
    pub next_heartbeat: Instant,
}

impl Term {
    /// Returns when the leader's next periodic work is due.
    pub fn next_wakeup(&self) -> Instant {
        if self.in_flight.is_some() {
            self.next_heartbeat
        } else if !self.queue.is_empty() {
            self.retry_at
        } else {
            self.next_tick.max(self.retry_at).min(self.next_heartbeat)
        }
    }
}

impl Controller {
    /// Checks the lease on a standby, and begins a term if the lease has expired or was released.
    pub(super) fn check_lease(&mut self) -> Result<(), ServeError> {
        let now = Instant::now();
        self.next_lease_check = now + self.settings.lease / CHECKS_PER_LEASE;
        let heartbeat = self.state_dir.read_lease();
        if heartbeat != self.observed_lease.heartbeat {
            self.observed_lease = ObservedLease { heartbeat, unchanged_since: now };
        }
        let is_released = self.observed_lease.heartbeat.is_none();
        if !is_released && now < self.observed_lease.unchanged_since + self.settings.lease {
            return Ok(());
        }
        match self.state_dir.begin_term(&self.settings.name, self.settings.build, self.event_time()) {
            Ok(new_term) => self.become_leader(new_term),
            Err(JournalError::TermTaken) => {
                self.observed_lease.unchanged_since = now;
                Ok(())
            }
            // An I/O error, such as a full disk, may pass. A journal that cannot be replayed needs an
            // operator.
            Err(error @ JournalError::Io { .. }) => {
                tracing::error!("cannot begin a term, will try again: {error}");
                self.next_lease_check = now + self.settings.lease;
                Ok(())
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Starts the journal writer thread of a new term and sends the first heartbeat.
    fn become_leader(&mut self, new_term: NewTerm) -> Result<(), ServeError> {
        let NewTerm { number, release, writer, replayed_events, torn } = new_term;
        tracing::info!(
            term = number,
            events = replayed_events,
            torn,
            "this controller speaks: {}",
            release.describe()
        );
        let now = Instant::now();
        let vote_rate = release.plan().map_or(f64::INFINITY, |plan| plan.fleet.votes_per_s);
        let writer =
            writer_thread::spawn(writer, self.completions.clone()).map_err(ServeError::WriterThread)?;
        self.term = Some(Term {
            number,
            announcement_revision: 1,
            desired_builds: release.desired_builds(),
            desired_version: 1,
            desired_sent_at: now,
            release: Arc::new(release),
            vote_limit: VoteRateLimit::new(vote_rate.min(MAX_VOTE_RATE), self.steady_micros()),
            queue: Vec::new(),
            writer,
            in_flight: None,
            next_tick: now,
            retry_at: now,
            write_error: None,
            heartbeat_count: 0,
            next_heartbeat: now,
        });
        self.send_heartbeat(now);
        Ok(())
    }

    /// Renews the lease, or steps down if another controller has begun a later term.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        let Some(term) = &mut self.term else { return };
        term.heartbeat_count += 1;
        term.next_heartbeat = now + self.settings.lease / HEARTBEATS_PER_LEASE;
        let number = term.number;
        if self.state_dir.latest_term().is_ok_and(|latest| latest > number) {
            return self.step_down("another controller has begun a later term");
        }
        if let Err(error) = self.state_dir.renew_lease(number, &self.settings.name, term.heartbeat_count) {
            tracing::warn!("cannot renew the lease: {error}");
        }
    }

    /// Becomes a standby. All connections are closed, and operators who wait for a response are told that the
    /// outcome of their requests is unknown.
    pub(super) fn step_down(&mut self, reason: &str) {
        let Some(term) = self.term.take() else { return };
        tracing::warn!(term = term.number, "standing by: {reason}");
        let in_flight = term.in_flight.map(|batch| batch.replies).unwrap_or_default();
        let in_flight = in_flight.into_iter().map(|pending| pending.origin);
        let queued = term.queue.into_iter().map(|queued| queued.origin);
        for origin in in_flight.chain(queued) {
            if let Origin::Operator(response) = origin {
                let outcome_unknown = "another controller has taken over; it may count";
                let _ = response.send(Response::Failed(outcome_unknown.into()));
            }
        }
        let keys: Vec<usize> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.close(key);
        }
        let now = Instant::now();
        self.observed_lease = ObservedLease { heartbeat: self.state_dir.read_lease(), unchanged_since: now };
        self.next_lease_check = now + self.settings.lease / CHECKS_PER_LEASE;
    }
}
