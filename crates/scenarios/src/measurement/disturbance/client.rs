//! A client that sends requests at a fixed interval and measures their response times.

use super::{DISTURBANCES, RoundState};
use crate::measurement::echo_servers::HEAD_END;
use crate::measurement::load_generator::response_times;
use crate::measurement::{MeasurementError, REQUEST};
use hdrhistogram::Histogram;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Timeout of each read from a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The measurements of one client, by [`Disturbance`](super::Disturbance).
pub(super) struct ClientFigures {
    /// Response times in microseconds.
    pub times: Vec<Histogram<u64>>,
    /// Number of requests that the proxy rejected.
    pub rejected: [u64; DISTURBANCES],
    /// Number of requests without a response.
    pub lost: u64,
}

/// Sends requests at a fixed interval until the round ends. A request is counted in the span in which it was
/// due.
pub(super) fn run_client(
    address: SocketAddr,
    offset: Duration,
    interval: Duration,
    state: &RoundState,
) -> Result<ClientFigures, MeasurementError> {
    let times = (0..DISTURBANCES).map(|_| response_times()).collect::<Result<_, _>>()?;
    let mut figures = ClientFigures { times, rejected: [0; DISTURBANCES], lost: 0 };
    let mut client = Client { address, idle: None };
    let mut due = Instant::now() + offset;
    while !state.stop.load(Ordering::Relaxed) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let disturbance = state.disturbance.load(Ordering::Relaxed);
        match client.request().or_else(|_| client.request()) {
            Ok(200) => {}
            Ok(_) => figures.rejected[disturbance] += 1,
            Err(_) => figures.lost += 1,
        }
        let micros = due.elapsed().as_micros() as u64;
        figures.times[disturbance].saturating_record(micros.max(1));
        due += interval;
    }
    Ok(figures)
}

/// A client with at most one connection.
struct Client {
    address: SocketAddr,
    /// The connection of the previous response, if it was kept open.
    idle: Option<TcpStream>,
}

impl Client {
    /// Sends a request, waits for its response and returns the status.
    fn request(&mut self) -> std::io::Result<u16> {
        let mut stream = match self.idle.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        stream.write_all(REQUEST)?;
        let response = read_response(&mut stream)?;
        if !response.closes {
            self.idle = Some(stream);
        }
        Ok(response.status)
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(stream)
    }
}

/// A complete response.
struct Response {
    status: u16,
    /// Whether the proxy closes the connection after it.
    closes: bool,
}

fn read_response(stream: &mut TcpStream) -> std::io::Result<Response> {
    let mut received = Vec::new();
    let mut bytes = [0; 1024];
    loop {
        match stream.read(&mut bytes)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => received.extend_from_slice(&bytes[..count]),
        }
        if let Some(response) = parse_response(&received) {
            return Ok(response);
        }
    }
}

/// Returns the response if it has been received completely.
fn parse_response(received: &[u8]) -> Option<Response> {
    let head_end_start = received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END)?;
    let head_length = head_end_start + HEAD_END.len();
    let head = String::from_utf8_lossy(&received[..head_length]).to_ascii_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let body_length: usize = field("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
    let closes = field("connection:") == Some("close");
    (received.len() >= head_length + body_length).then_some(Response { status, closes })
}
