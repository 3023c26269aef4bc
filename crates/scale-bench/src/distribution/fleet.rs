//! A fleet of lightweight subscribers, one thread each, and what they count together.

use super::subscriber;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{io, thread};
use violetseam_distribution::Micros;

/// Stack of one subscriber's thread.
const STACK_BYTES: usize = 192 * 1024;
/// Between two checks whether all subscribers have a version.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A version that came into force at one subscriber.
#[derive(Clone, Copy, Debug)]
pub struct AppliedVersion {
    /// The version's number.
    pub number: u64,
    /// When, in microseconds since the fleet's start.
    pub at: Micros,
}

/// What all subscribers count together.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes read from the publisher, framing included.
    pub bytes_in: AtomicU64,
    /// Bytes written to the publisher, framing included.
    pub bytes_out: AtomicU64,
    /// Heartbeats read.
    pub heartbeats: AtomicU64,
    /// Deltas read.
    pub deltas: AtomicU64,
    /// Calls that opened a watch, or were answered that they should come back later.
    pub calls: AtomicU64,
}

/// What the fleet's threads share.
pub(super) struct FleetState {
    pub(super) publisher: SocketAddr,
    pub(super) counters: Counters,
    started: Instant,
    stopping: AtomicBool,
    /// The number of each subscriber's version; 0 if it has none.
    versions: Vec<AtomicU64>,
    applied: Mutex<Vec<AppliedVersion>>,
}

impl FleetState {
    pub(super) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(super) fn record_applied(&self, version: AppliedVersion) {
        self.applied().push(version);
    }

    pub(super) fn set_version(&self, subscriber: usize, number: u64) {
        self.versions[subscriber].store(number, Ordering::Relaxed);
    }

    fn applied(&self) -> MutexGuard<'_, Vec<AppliedVersion>> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Many lightweight subscribers; they end when it is dropped.
pub struct SubscriberFleet {
    state: Arc<FleetState>,
    threads: Vec<JoinHandle<()>>,
}

impl SubscriberFleet {
    /// Starts subscribers that have no configuration.
    ///
    /// # Errors
    /// Errors of starting a thread.
    pub fn start(publisher: SocketAddr, subscribers: u64, seed: u64) -> io::Result<SubscriberFleet> {
        let state = Arc::new(FleetState {
            publisher,
            counters: Counters::default(),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            versions: (0..subscribers).map(|_| AtomicU64::new(0)).collect(),
            applied: Mutex::default(),
        });
        let mut fleet = SubscriberFleet { state, threads: Vec::new() };
        for index in 0..subscribers as usize {
            let state = fleet.state.clone();
            let thread = thread::Builder::new().stack_size(STACK_BYTES);
            let run = move || subscriber::run(&state, index, seed + index as u64);
            fleet.threads.push(thread.spawn(run)?);
        }
        Ok(fleet)
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.state.now()
    }

    /// What was counted so far.
    pub fn counters(&self) -> &Counters {
        &self.state.counters
    }

    /// Takes the versions that came into force since the last call.
    pub fn take_applied(&self) -> Vec<AppliedVersion> {
        std::mem::take(&mut *self.state.applied())
    }

    /// Waits until all have this version or a later one; whether they do in time.
    pub fn wait_for(&self, number: u64, timeout: Duration) -> bool {
        let give_up_at = Instant::now() + timeout;
        let has_version = |version: &AtomicU64| version.load(Ordering::Relaxed) >= number;
        while !self.state.versions.iter().all(has_version) {
            if Instant::now() >= give_up_at {
                return false;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        true
    }
}

impl Drop for SubscriberFleet {
    fn drop(&mut self) {
        self.state.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has printed so; the measurement misses its subscriber.
            let _ended = thread.join();
        }
    }
}
