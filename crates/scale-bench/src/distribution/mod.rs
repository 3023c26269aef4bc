//! Distribution of configuration to N hollow subscribers over loopback: bytes, time from publication to in
//! force, a publisher that is killed and started again, processor time and memory on both sides.

pub mod publisher;
pub mod subscriber;

use super::resources::resident_bytes;
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use hdrhistogram::Histogram;
use publisher::{Process, processor_seconds};
use rustix::process::{Resource as Limited, Rlimit, getrlimit, setrlimit};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use subscriber::{Counters, Fleet, InForce};
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_distribution::{Change, Micros, Resource};
use violetseam_publisher::client::Client;

/// Resources at each subscriber: a hollow one has its own copy.
const RESOURCES: u64 = 300;
/// Configuration changes a day, as the fleet is to carry.
const CHANGES_A_DAY: f64 = 14_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const QUIET: Duration = Duration::from_secs(5);
const SETTLED_WITHIN: Duration = Duration::from_secs(60);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// See the module.
pub struct Distribution;

impl Slope for Distribution {
    fn name(&self) -> &'static str {
        "distribution"
    }

    fn size_of(&self) -> &'static str {
        "subscribers"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 50, 100] } else { &[50, 500, 4_700] }
    }

    fn isolated(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let mut publisher = Process::start(state_folder(size))?;
        let own_memory = resident_bytes()?;
        let mut measured = Session::begin(publisher.address, size, run)?;
        let mut found = measured.first_start()?;
        found.extend(measured.bytes()?);
        let (publisher_before, own_before) = (publisher.processor_seconds()?, processor_seconds("self")?);
        let begun = Instant::now();
        found.extend(measured.changes()?);
        let span = begun.elapsed().as_secs_f64();
        let cores =
            |quantity: &str, seconds: f64| Measurement::new(quantity, Unit::Cores, size, seconds / span);
        found.push(cores("publisher's processor", publisher.processor_seconds()? - publisher_before));
        found.push(cores("all subscribers' processor", processor_seconds("self")? - own_before));
        let bytes = |quantity: &str, value: u64| Measurement::new(quantity, Unit::Bytes, size, value as f64);
        found.push(bytes("publisher's memory", publisher.resident_bytes()?));
        found.push(bytes("all subscribers' memory", resident_bytes()?.saturating_sub(own_memory)));
        publisher.kill_and_start()?;
        found.extend(measured.come_back()?);
        Ok(found)
    }
}

/// Bytes that each subscriber exchanges, by counts that do not depend on the machine: against a publisher on
/// a thread of this process.
///
/// # Errors
/// [`ScaleError`] if the publisher does not start, or an exchange fails.
pub fn bytes_at(size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
    let address = publisher::start_on_thread(state_folder(size))?;
    let mut measured = Session::begin(address, size, run)?;
    measured.first_start()?;
    let mut found = measured.bytes()?;
    found.extend(measured.changes()?);
    Ok(found)
}

/// One fleet and its publisher.
struct Session {
    size: u64,
    publications: u64,
    pause: Duration,
    client: Client,
    fleet: Fleet,
    /// Bytes of one heartbeat with its framing, once measured.
    heartbeat_bytes: f64,
    newest: u64,
}

/// Counters at one moment.
#[derive(Clone, Copy)]
struct Counted {
    bytes: u64,
    heartbeats: u64,
    deltas: u64,
}

impl Session {
    fn begin(address: SocketAddr, size: u64, run: &Run) -> Result<Session, ScaleError> {
        raise_descriptor_limit()?;
        let client = Client { publisher: address, timeout: REQUEST_TIMEOUT };
        let newest = publish_whole(&client)?;
        let fleet = Fleet::start(address, size, run.seed)?;
        let (publications, pause) = if run.quick { (20, 50) } else { (40, 250) };
        let pause = Duration::from_millis(pause);
        Ok(Session { size, publications, pause, client, fleet, heartbeat_bytes: 0.0, newest })
    }

    /// All start at once with nothing stored, and each needs a snapshot.
    fn first_start(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        self.settle()?;
        let in_force = self.fleet.take_in_force();
        let last = in_force.iter().map(|one| one.at).max().unwrap_or(0);
        let calls = self.fleet.counters().calls.load(Ordering::Relaxed);
        Ok(vec![
            self.measurement("first start, last in force", Unit::Seconds, seconds(last)),
            self.measurement("first start, calls", Unit::Count, calls as f64),
        ])
    }

    /// Nothing is published: heartbeats alone.
    fn bytes(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        thread::sleep(QUIET);
        let before = Counted::of(self.fleet.counters());
        thread::sleep(QUIET);
        let after = Counted::of(self.fleet.counters());
        let heartbeats = after.heartbeats - before.heartbeats;
        if heartbeats == 0 {
            return Err(ScaleError::Failed("no heartbeat".to_owned()));
        }
        self.heartbeat_bytes = (after.bytes - before.bytes) as f64 / heartbeats as f64;
        Ok(vec![self.measurement("heartbeat", Unit::Bytes, self.heartbeat_bytes)])
    }

    /// Changes of one route each, at a steady pace.
    fn changes(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        let before = Counted::of(self.fleet.counters());
        let mut published = Vec::new();
        for _ in 0..self.publications {
            let at = self.fleet.now();
            self.newest = publish_change(&self.client, self.newest)?;
            published.push(InForce { number: self.newest, at });
            thread::sleep(self.pause);
        }
        self.settle()?;
        // The last acknowledgements are still on their way.
        thread::sleep(self.pause);
        let after = Counted::of(self.fleet.counters());
        let times = delays(&published, &self.fleet.take_in_force())?;
        let heartbeats = (after.heartbeats - before.heartbeats) as f64 * self.heartbeat_bytes;
        let received = (self.size * self.publications) as f64;
        let change = ((after.bytes - before.bytes) as f64 - heartbeats) / received;
        let heartbeats_a_second = 1e6 / HEARTBEAT_INTERVAL as f64;
        let rate = self.heartbeat_bytes * heartbeats_a_second + change * CHANGES_A_DAY / SECONDS_A_DAY;
        let quantile = |q: f64| times.value_at_quantile(q) as f64 / 1e6;
        let deltas = (after.deltas - before.deltas) as f64 / received;
        Ok(vec![
            self.measurement("deltas a subscriber and change", Unit::Count, deltas),
            self.measurement("change with its acknowledgement", Unit::Bytes, change),
            self.measurement("bytes a subscriber at 14,000 changes a day", Unit::BytesPerSecond, rate),
            self.measurement("publication to in force, p50", Unit::Seconds, quantile(0.5)),
            self.measurement("publication to in force, p99", Unit::Seconds, quantile(0.99)),
            self.measurement("publication to in force, worst", Unit::Seconds, quantile(1.0)),
        ])
    }

    /// The publisher was killed and listens again: all come back at once, and a change is published.
    fn come_back(&mut self) -> Result<Vec<Measurement>, ScaleError> {
        let at = self.fleet.now();
        self.newest = publish_change(&self.client, self.newest)?;
        let published = [InForce { number: self.newest, at }];
        self.settle()?;
        let times = delays(&published, &self.fleet.take_in_force())?;
        let quantile = |q: f64| times.value_at_quantile(q) as f64 / 1e6;
        Ok(vec![
            self.measurement("all come back, p50", Unit::Seconds, quantile(0.5)),
            self.measurement("all come back, p99", Unit::Seconds, quantile(0.99)),
            self.measurement("all come back, worst", Unit::Seconds, quantile(1.0)),
        ])
    }

    fn settle(&self) -> Result<(), ScaleError> {
        if self.fleet.wait_for(self.newest, SETTLED_WITHIN) {
            return Ok(());
        }
        Err(ScaleError::Failed(format!("not all hold version {} within a minute", self.newest)))
    }

    fn measurement(&self, quantity: &str, unit: Unit, value: f64) -> Measurement {
        Measurement::new(quantity, unit, self.size, value)
    }
}

impl Counted {
    fn of(counters: &Counters) -> Counted {
        let bytes = counters.bytes_in.load(Ordering::Relaxed) + counters.bytes_out.load(Ordering::Relaxed);
        let heartbeats = counters.heartbeats.load(Ordering::Relaxed);
        Counted { bytes, heartbeats, deltas: counters.deltas.load(Ordering::Relaxed) }
    }
}

/// From each publication to each subscriber's having it in force.
fn delays(published: &[InForce], in_force: &[InForce]) -> Result<Histogram<u64>, ScaleError> {
    let mut times = Histogram::<u64>::new(3).map_err(|e| ScaleError::Failed(e.to_string()))?;
    for one in in_force {
        if let Some(publication) = published.iter().find(|publication| publication.number == one.number) {
            let delay = one.at.saturating_sub(publication.at).max(1);
            times.record(delay).map_err(|e| ScaleError::Failed(e.to_string()))?;
        }
    }
    if times.is_empty() {
        return Err(ScaleError::Failed("nothing came in force".to_owned()));
    }
    Ok(times)
}

fn publish_whole(client: &Client) -> Result<u64, ScaleError> {
    let resource = |n: u64| match n % 4 {
        0 => Resource::route(Some("GET"), &format!("/service-{n}/resource"), "read"),
        _ => Resource::tenant(&format!("tenant-{n:06}"), 12.5),
    };
    let lines = to_lines((0..RESOURCES).map(resource))?;
    let published = client.publish_whole(&lines).map_err(|e| ScaleError::Failed(e.to_string()))?;
    Ok(published.version.number)
}

fn publish_change(client: &Client, newest: u64) -> Result<u64, ScaleError> {
    let route = Resource::route(Some("GET"), &format!("/service-{:04}/changed", newest % 100), "write");
    let lines = to_lines([Change::Put(route)])?;
    let published = client.publish_changes(&lines).map_err(|e| ScaleError::Failed(e.to_string()))?;
    Ok(published.version.number)
}

fn to_lines<T: serde::Serialize>(values: impl IntoIterator<Item = T>) -> Result<Vec<u8>, ScaleError> {
    let mut lines = Vec::new();
    for value in values {
        serde_json::to_writer(&mut lines, &value).map_err(|e| ScaleError::Failed(e.to_string()))?;
        lines.push(b'\n');
    }
    Ok(lines)
}

fn state_folder(size: u64) -> PathBuf {
    std::env::temp_dir().join(format!("violetseam-scale-distribution-{}-{size}", std::process::id()))
}

fn raise_descriptor_limit() -> Result<(), ScaleError> {
    let limit = getrlimit(Limited::Nofile);
    setrlimit(Limited::Nofile, Rlimit { current: limit.maximum, ..limit })
        .map_err(|e| ScaleError::Failed(e.to_string()))
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
