//! The client side of a measurement: a fixed number of connections, each with at most one request in flight.

use super::echo_servers::RESPONSE_END;
use super::{MeasurementError, REQUEST};
use calloop::{EventLoop, Interest, LoopHandle, Readiness};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetseam_event_io::{ReadOutcome, Socket, connect};

/// Upper bound of the histogram of response times, in microseconds.
const MAX_RESPONSE_TIME: u64 = 60_000_000;
/// Significant digits of recorded response times.
const HISTOGRAM_DIGITS: u8 = 3;
/// Delay between opening the connections and the first request.
const CONNECT_SPAN: Duration = Duration::from_millis(50);
/// Maximum wait for events in one iteration of the event loop of an unpaced load.
const UNPACED_POLL_TIMEOUT: Duration = Duration::from_millis(10);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4_096;

/// Returns an empty histogram of response times in microseconds.
pub(super) fn response_times() -> Result<Histogram<u64>, MeasurementError> {
    Ok(Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, HISTOGRAM_DIGITS)?)
}

/// Returns the response time at a quantile, in milliseconds.
pub(super) fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

/// The settings of a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSettings {
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// Number of connections that send requests.
    pub connections: usize,
    /// Duration of the counted part. An uncounted warm-up of a tenth of it precedes.
    pub span: Duration,
    /// Requests per second, or `None` for as many as the connections allow. The response time of a paced
    /// request that has to wait for a free connection counts from the time at which it was due.
    pub pace: Option<f64>,
}

/// The result of a load.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    /// Responses per second.
    pub per_second: f64,
    /// Median response time, in milliseconds.
    pub p50: f64,
    /// 95th percentile of the response time, in milliseconds.
    pub p95: f64,
    /// 99th percentile of the response time, in milliseconds.
    pub p99: f64,
    /// Requests lost to broken connections.
    pub broken: u64,
}

/// Offers a load, waits for its end and returns its result.
pub(super) fn offer_load(settings: &LoadSettings) -> Result<LoadResult, MeasurementError> {
    let mut event_loop: EventLoop<'static, LoadGenerator> = EventLoop::try_new()?;
    let mut generator = LoadGenerator::new(settings, event_loop.handle())?;
    std::thread::sleep(CONNECT_SPAN);
    let warm_up_end = Instant::now() + settings.span / 10;
    let mut next_due = Instant::now();
    let mut counted_from = None;
    generator.until = warm_up_end + settings.span;
    while Instant::now() < generator.until {
        if counted_from.is_none() && Instant::now() >= warm_up_end {
            counted_from = Some(Instant::now());
            generator.times.reset();
        }
        let poll_timeout = match settings.pace {
            None => {
                generator.send_on_all_idle();
                UNPACED_POLL_TIMEOUT
            }
            Some(rate) => {
                generator.send_due(&mut next_due, Duration::from_secs_f64(1.0 / rate));
                Duration::ZERO
            }
        };
        event_loop.dispatch(poll_timeout, &mut generator)?;
    }
    let counted_from = counted_from.unwrap_or(warm_up_end);
    Ok(generator.result(counted_from.elapsed()))
}

/// A connection and the state of its request.
struct Connection {
    socket: Socket,
    received: Vec<u8>,
    /// When the request was due.
    due: Instant,
    in_flight: bool,
}

struct LoadGenerator {
    handle: LoopHandle<'static, LoadGenerator>,
    connections: Vec<Connection>,
    /// Indices of the connections without a request in flight.
    idle: Vec<usize>,
    paced: bool,
    /// The time after which no request is sent.
    until: Instant,
    times: Histogram<u64>,
    broken: u64,
}

impl LoadGenerator {
    fn new(
        settings: &LoadSettings,
        handle: LoopHandle<'static, LoadGenerator>,
    ) -> Result<LoadGenerator, MeasurementError> {
        let mut connections = Vec::new();
        for index in 0..settings.connections {
            let operation = format!("connecting to {}", settings.address);
            let stream = connect(settings.address).map_err(MeasurementError::io(operation.as_str()))?;
            let on_ready =
                move |ready: Readiness, generator: &mut LoadGenerator| generator.on_ready(index, ready);
            let socket = Socket::register(&handle, stream, Interest::READ, on_ready)
                .map_err(MeasurementError::io(operation))?;
            let due = Instant::now();
            connections.push(Connection { socket, received: Vec::new(), due, in_flight: false });
        }
        Ok(LoadGenerator {
            handle,
            connections,
            idle: (0..settings.connections).collect(),
            paced: settings.pace.is_some(),
            until: Instant::now() + settings.span,
            times: response_times()?,
            broken: 0,
        })
    }

    fn send_on_all_idle(&mut self) {
        while let Some(index) = self.idle.pop() {
            self.send(index, Instant::now());
        }
    }

    fn send_due(&mut self, next_due: &mut Instant, interval: Duration) {
        while *next_due <= Instant::now() {
            let Some(index) = self.idle.pop() else { break };
            self.send(index, *next_due);
            *next_due += interval;
        }
    }

    fn send(&mut self, index: usize, due: Instant) {
        let connection = &mut self.connections[index];
        connection.due = due;
        connection.in_flight = true;
        connection.socket.write_buffer().extend_from_slice(REQUEST);
        if connection.socket.flush().is_err() {
            self.broken += 1;
        }
    }

    fn on_ready(&mut self, index: usize, ready: Readiness) {
        if !ready.readable {
            return;
        }
        let mut bytes = [0; READ_BYTES];
        let connection = &mut self.connections[index];
        match connection.socket.read(&mut bytes) {
            ReadOutcome::Bytes(count) => connection.received.extend_from_slice(&bytes[..count]),
            ReadOutcome::WouldBlock => return,
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.broken += u64::from(connection.in_flight);
                connection.socket.remove(&self.handle);
                return;
            }
        }
        if connection.in_flight && connection.received.ends_with(RESPONSE_END) {
            self.on_response(index);
        }
    }

    fn on_response(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        connection.received.clear();
        connection.in_flight = false;
        let micros = connection.due.elapsed().as_micros() as u64;
        self.times.saturating_record(micros.max(1));
        if self.paced || Instant::now() >= self.until {
            self.idle.push(index);
        } else {
            self.send(index, Instant::now());
        }
    }

    fn result(&self, elapsed: Duration) -> LoadResult {
        LoadResult {
            per_second: self.times.len() as f64 / elapsed.as_secs_f64(),
            p50: quantile_ms(&self.times, 0.5),
            p95: quantile_ms(&self.times, 0.95),
            p99: quantile_ms(&self.times, 0.99),
            broken: self.broken,
        }
    }
}
