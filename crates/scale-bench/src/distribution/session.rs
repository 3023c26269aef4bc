//! One fleet of subscribers and its publisher, and the phases in which they are measured.

use super::configuration::{publish_change, publish_complete};
use super::fleet::{AppliedVersion, Counters, SubscriberFleet};
use crate::resources::HISTOGRAM_FIGURES;
use crate::table::{Measurement, Unit};
use crate::{RunOptions, ScaleError};
use hdrhistogram::Histogram;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use violetseam_distribution::Micros;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_publisher::client::Client;

/// Configuration changes a day, as the fleet is to carry.
const CHANGES_PER_DAY: f64 = 14_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Nothing is published for this span, twice: before heartbeats are counted, and while they are.
const IDLE_SPAN: Duration = Duration::from_secs(5);
/// Longest wait until all subscribers have a version in force.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// How many changes are published, and how fast.
struct Pace {
    publications: u64,
    /// Between two publications.
    pause: Duration,
}

impl Pace {
    const QUICK: Pace = Pace { publications: 20, pause: Duration::from_millis(50) };
    const FULL: Pace = Pace { publications: 40, pause: Duration::from_millis(250) };
}

/// One fleet and its publisher.
pub struct Session {
    size: u64,
    pace: Pace,
    client: Client,
    fleet: SubscriberFleet,
    /// Bytes of one heartbeat with its framing, once measured.
    heartbeat_bytes: f64,
    /// Number of the version that was published last.
    newest: u64,
}

/// The fleet's counters at one moment.
#[derive(Clone, Copy)]
struct CounterSnapshot {
    bytes: u64,
    heartbeats: u64,
    deltas: u64,
}

impl CounterSnapshot {
    fn of(counters: &Counters) -> CounterSnapshot {
        let bytes_in = counters.bytes_in.load(Ordering::Relaxed);
        let bytes_out = counters.bytes_out.load(Ordering::Relaxed);
        CounterSnapshot {
            bytes: bytes_in + bytes_out,
            heartbeats: counters.heartbeats.load(Ordering::Relaxed),
            deltas: counters.deltas.load(Ordering::Relaxed),
        }
    }

    /// What was added since an earlier moment.
    fn since(self, earlier: CounterSnapshot) -> CounterSnapshot {
        CounterSnapshot {
            bytes: self.bytes - earlier.bytes,
            heartbeats: self.heartbeats - earlier.heartbeats,
            deltas: self.deltas - earlier.deltas,
        }
    }
}

impl Session {
    /// Publishes a complete configuration and starts the subscribers.
    ///
    /// # Errors
    /// [`ScaleError`] if the publisher does not accept it or a thread does not start.
    pub fn begin(publisher: SocketAddr, size: u64, options: &RunOptions) -> Result<Session, ScaleError> {
        raise_descriptor_limit()?;
        let client = Client { publisher, timeout: REQUEST_TIMEOUT };
        let newest = publish_complete(&client)?;
        let fleet = SubscriberFleet::start(publisher, size, options.seed)?;
        let pace = if options.quick { Pace::QUICK } else { Pace::FULL };
        Ok(Session { size, pace, client, fleet, heartbeat_bytes: 0.0, newest })
    }

    /// All start at once with nothing stored, and each needs a snapshot.
    ///
    /// # Errors
    /// [`ScaleError`] if some have no configuration in time.
    pub fn first_start(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        self.wait_for_newest()?;
        let applied = self.fleet.take_applied();
        let last = applied.iter().map(|version| version.at).max().unwrap_or(0);
        let calls = self.fleet.counters().calls.load(Ordering::Relaxed);
        Ok(vec![
            self.measurement("first start, last in force", Unit::Seconds, seconds(last)),
            self.measurement("first start, calls", Unit::Count, calls as f64),
        ])
    }

    /// Nothing is published: heartbeats alone.
    ///
    /// # Errors
    /// [`ScaleError`] if there are none.
    pub fn heartbeats(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        thread::sleep(IDLE_SPAN);
        let before = self.snapshot();
        thread::sleep(IDLE_SPAN);
        let counted = self.snapshot().since(before);
        if counted.heartbeats == 0 {
            return Err(ScaleError::NoHeartbeat);
        }
        self.heartbeat_bytes = counted.bytes as f64 / counted.heartbeats as f64;
        Ok(vec![self.measurement("heartbeat", Unit::Bytes, self.heartbeat_bytes)])
    }

    /// Changes of one route each, at a steady pace.
    ///
    /// # Errors
    /// [`ScaleError`] if a publication fails or some subscribers do not follow in time.
    pub fn changes(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        let before = self.snapshot();
        let mut published = Vec::new();
        for _ in 0..self.pace.publications {
            published.push(self.publish_change()?);
            thread::sleep(self.pace.pause);
        }
        self.wait_for_newest()?;
        // The last acknowledgements are still on their way.
        thread::sleep(self.pace.pause);
        let counted = self.snapshot().since(before);
        let mut measurements = self.change_bytes(counted);
        let delays = propagation_delays(&published, &self.fleet.take_applied())?;
        measurements.extend(self.delay_quantiles("publication to in force", &delays));
        Ok(measurements)
    }

    /// The publisher was killed and listens again: all come back at once, and a change is published.
    ///
    /// # Errors
    /// [`ScaleError`] if the publication fails or some subscribers do not come back in time.
    pub fn reconnection(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        let published = [self.publish_change()?];
        self.wait_for_newest()?;
        let delays = propagation_delays(&published, &self.fleet.take_applied())?;
        Ok(self.delay_quantiles("all come back", &delays))
    }

    /// Publishes a change; its version and when its publication began.
    fn publish_change(&mut self) -> Result<AppliedVersion, ScaleError> {
        let at = self.fleet.now();
        self.newest = publish_change(&self.client, self.newest)?;
        Ok(AppliedVersion { number: self.newest, at })
    }

    /// Bytes of a change at each subscriber, from what was counted over all changes.
    fn change_bytes(&self, counted: CounterSnapshot) -> Vec<Measurement> {
        let heartbeat_total = counted.heartbeats as f64 * self.heartbeat_bytes;
        let received = (self.size * self.pace.publications) as f64;
        let change = (counted.bytes as f64 - heartbeat_total) / received;
        let heartbeats_per_second = 1e6 / HEARTBEAT_INTERVAL as f64;
        let rate = self.heartbeat_bytes * heartbeats_per_second + change * CHANGES_PER_DAY / SECONDS_PER_DAY;
        let deltas = counted.deltas as f64 / received;
        vec![
            self.measurement("deltas a subscriber and change", Unit::Count, deltas),
            self.measurement("change with its acknowledgement", Unit::Bytes, change),
            self.measurement("bytes a subscriber at 14,000 changes a day", Unit::BytesPerSecond, rate),
        ]
    }

    fn delay_quantiles(&self, name: &str, delays: &Histogram<u64>) -> Vec<Measurement> {
        let row = |label: &str, quantile: f64| {
            let value = seconds(delays.value_at_quantile(quantile));
            self.measurement(&format!("{name}, {label}"), Unit::Seconds, value)
        };
        vec![row("p50", 0.5), row("p99", 0.99), row("worst", 1.0)]
    }

    fn wait_for_newest(&self) -> Result<(), ScaleError> {
        if self.fleet.wait_for(self.newest, CONVERGENCE_TIMEOUT) {
            return Ok(());
        }
        Err(ScaleError::SubscribersBehind { version: self.newest })
    }

    fn snapshot(&self) -> CounterSnapshot {
        CounterSnapshot::of(self.fleet.counters())
    }

    fn measurement(&self, quantity: &str, unit: Unit, value: f64) -> Measurement {
        Measurement::new(quantity, unit, self.size, value)
    }
}

/// From each publication to each subscriber's having it in force, in microseconds.
fn propagation_delays(
    published: &[AppliedVersion],
    applied: &[AppliedVersion],
) -> Result<Histogram<u64>, ScaleError> {
    let mut delays = Histogram::<u64>::new(HISTOGRAM_FIGURES)?;
    for version in applied {
        let publication = published.iter().find(|publication| publication.number == version.number);
        if let Some(publication) = publication {
            delays.record(version.at.saturating_sub(publication.at).max(1))?;
        }
    }
    if delays.is_empty() {
        return Err(ScaleError::NothingInForce);
    }
    Ok(delays)
}

/// Each subscriber has two connections.
fn raise_descriptor_limit() -> Result<(), ScaleError> {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, ..limit };
    setrlimit(Resource::Nofile, raised).map_err(ScaleError::DescriptorLimit)
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
