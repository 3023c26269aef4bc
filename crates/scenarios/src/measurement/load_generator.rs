//! The client side of a measurement: a fixed number of connections, each with one request in flight at most.

use super::echo_servers::RESPONSE_END;
use super::{MeasurementError, REQUEST};
use calloop::{EventLoop, Interest, LoopHandle, Readiness};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetseam_event_io::{ReadOutcome, Socket, connect};

/// The longest response time that the histogram distinguishes, in microseconds.
const MAX_RESPONSE_TIME: u64 = 60_000_000;
/// Significant digits of recorded times.
const HISTOGRAM_DIGITS: u8 = 3;
/// From the start of the connections to the first request.
const CONNECT_SPAN: Duration = Duration::from_millis(50);
/// The longest turn of the loop of an unpaced load.
const UNPACED_TURN: Duration = Duration::from_millis(10);
/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 4_096;

/// An empty histogram of response times in microseconds.
pub(super) fn response_times() -> Result<Histogram<u64>, MeasurementError> {
    Ok(Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, HISTOGRAM_DIGITS)?)
}

/// A response time in milliseconds, by its quantile.
pub(super) fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

/// How a load is offered.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSettings {
    /// Where requests go.
    pub address: SocketAddr,
    /// How many connections send them.
    pub connections: usize,
    /// For how long they are counted; a tenth of it goes before, uncounted.
    pub span: Duration,
    /// Requests a second; as many as go if not given. Paced requests that find no connection free count
    /// from when they were due.
    pub pace: Option<f64>,
}

/// What a load came to.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    /// Responses a second.
    pub per_second: f64,
    /// Half of the responses came within this, in milliseconds.
    pub p50: f64,
    /// 95% of them did.
    pub p95: f64,
    /// 99% of them did.
    pub p99: f64,
    /// Requests lost to broken connections.
    pub broken: u64,
}

/// Offers a load and waits for its end.
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
        let turn = match settings.pace {
            None => {
                generator.send_on_all_idle();
                UNPACED_TURN
            }
            Some(rate) => {
                generator.send_due(&mut next_due, Duration::from_secs_f64(1.0 / rate));
                Duration::ZERO
            }
        };
        event_loop.dispatch(turn, &mut generator)?;
    }
    let counted_from = counted_from.unwrap_or(warm_up_end);
    Ok(generator.result(counted_from.elapsed()))
}

/// A connection and its request.
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
    /// Indices of the connections without a request.
    idle: Vec<usize>,
    paced: bool,
    /// No request is sent after this.
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
            let operation = format!("connection to {}", settings.address);
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
