//! The clients of the soak test. Each sends one request after another to one proxy, disconnects early now and
//! then, and records the outcome of each request. Some use a connection for as long as it stays open, also
//! while the proxy shuts down. Some send a request again, under its id, after they have disconnected.

use super::common::platform::{encode_command, value};
use super::draw::Rng;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The request classes in the settings of the soak test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to retry.
    Look,
    /// May not be retried.
    Once,
    /// Deduplicated by the servers; its clients wait for long.
    Book,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::Look => "look",
            Class::Once => "once",
            Class::Book => "book",
        }
    }

    /// The deadline in the settings, in milliseconds.
    pub fn deadline_ms(self) -> u64 {
        match self {
            Class::Look => 1_200,
            Class::Once => 2_500,
            Class::Book => 8_000,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// A value that does not belong to the request.
    WrongValue(String),
    /// An error line: the request was refused or has failed.
    Declined,
    /// The connection closed without an answer.
    Closed,
    /// The client disconnected at this time.
    Disconnected(Instant),
    /// No answer came within the read time-out of the client.
    TimedOut,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub proxy: usize,
    pub id: String,
    pub class: Class,
    pub sent: Instant,
    pub wait: Duration,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Describes the request for the report.
    pub fn describe(&self) -> String {
        let (sent, ended) = (self.sent.elapsed(), self.ended.elapsed());
        format!("{} {:?} sent {sent:?} ago, ended {ended:?} ago: {:?}", self.id, self.class, self.outcome)
    }
}

/// An answer that comes later than the deadline by more than this and `SCHEDULING_SLACK` counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const SCHEDULING_SLACK: Duration = Duration::from_millis(1_000);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// One request in this many is not waited for.
const EARLY_DISCONNECT_ODDS: u64 = 4;
/// The most requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: u64 = 12;

/// A request that was sent once more, under the same id, after its client had disconnected.
#[derive(Clone, Debug)]
pub struct Replay {
    pub proxy: usize,
    pub id: String,
    pub first_sent: Instant,
    pub sent: Instant,
}

/// What all clients have recorded.
#[derive(Default)]
pub struct ClientLog {
    pub requests: Mutex<Vec<RequestRecord>>,
    pub replays: Mutex<Vec<Replay>>,
}

/// Sends requests to one proxy until told to stop.
pub fn run_client(
    proxy: usize,
    number: u64,
    addr: SocketAddr,
    seed: u64,
    stop: &AtomicBool,
    client_log: &ClientLog,
) {
    let mut rng = Rng::new(seed, 1_000 + proxy as u64 * 16 + number);
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(RECONNECT_PAUSE);
        let Ok(stream) = TcpStream::connect(addr) else { continue };
        if !is_ready(&stream) {
            continue;
        }
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let is_kept_open = rng.one_in(3);
        let requests = if is_kept_open { u64::MAX } else { 1 + rng.below(MAX_REQUESTS_PER_CONNECTION) };
        for _ in 0..requests {
            n += 1;
            let id = format!("{proxy}-{number}-{n}");
            let Some((mut record, call)) = send_request(proxy, id, &stream, &mut reader, &mut rng) else {
                break;
            };
            if matches!(record.outcome, Outcome::Disconnected(_)) {
                drop(reader);
                drop(stream);
                // The client has left once its connection is closed, and not when it decides to.
                record.outcome = Outcome::Disconnected(Instant::now());
                client_log.requests.lock().unwrap().push(record.clone());
                if rng.one_in(2) {
                    let replay = send_again(&record, &call, addr, &mut rng);
                    client_log.replays.lock().unwrap().extend(replay);
                }
                break;
            }
            let keep_connection = matches!(record.outcome, Outcome::Served | Outcome::Declined);
            client_log.requests.lock().unwrap().push(record);
            if !keep_connection || stop.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(rng.ms(1, 60));
        }
    }
}

fn is_ready(mut stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut answer = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == *b"+PONG\r\n"
}

/// Sends a request again on a new connection some time after its client has disconnected, and waits for what
/// comes. By then no attempt of the first one may begin any more.
fn send_again(record: &RequestRecord, call: &[u8], addr: SocketAddr, rng: &mut Rng) -> Option<Replay> {
    std::thread::sleep(rng.ms(300, 900));
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(record.wait + ANSWER_SLACK)).unwrap();
    let sent = Instant::now();
    stream.write_all(call).ok()?;
    let _ = read_reply_line(&mut BufReader::new(stream));
    Some(Replay { proxy: record.proxy, id: record.id.clone(), first_sent: record.sent, sent })
}

/// Sends one request and waits for its outcome, which it returns with the bytes of the call. Returns `None`
/// where the connection no longer took it.
fn send_request(
    proxy: usize,
    id: String,
    mut stream: &TcpStream,
    reader: &mut BufReader<TcpStream>,
    rng: &mut Rng,
) -> Option<(RequestRecord, Vec<u8>)> {
    let class = *rng.pick(&[Class::Look, Class::Look, Class::Once, Class::Book]);
    let wait = Duration::from_millis(*rng.pick(&[40, 300, 900, class.deadline_ms()]));
    let (key, attributes) = (format!("key-{id}"), format!("c={},t=one,d={}", class.name(), wait.as_millis()));
    let bytes = match class {
        Class::Look => encode_command(&["CALL.GET", &key, &id, &attributes]),
        Class::Once => encode_command(&["CALL.POST", &key, &id, &attributes, "BODY"]),
        Class::Book => encode_command(&["CALL.POST", &key, &id, &format!("{attributes},k=5c0f"), "BODY"]),
    };
    let longest_stay_ms = *rng.pick(&[40, 200]);
    let disconnects_early = rng.one_in(EARLY_DISCONNECT_ODDS);
    let read_timeout =
        if disconnects_early { rng.ms(1, longest_stay_ms) } else { wait + ANSWER_SLACK + SCHEDULING_SLACK };
    stream.set_read_timeout(Some(read_timeout)).unwrap();
    stream.write_all(&bytes).ok()?;
    let sent = Instant::now();
    let outcome = match read_reply_line(reader) {
        Ok(Some(text)) if text.starts_with('$') => match read_value(reader, &text) {
            Some(received) if received == value(&id) => Outcome::Served,
            Some(received) => Outcome::WrongValue(received),
            None => Outcome::Closed,
        },
        Ok(Some(_)) => Outcome::Declined,
        Ok(None) => Outcome::Closed,
        Err(_) if disconnects_early => Outcome::Disconnected(Instant::now()),
        Err(_) => Outcome::TimedOut,
    };
    Some((RequestRecord { proxy, id, class, sent, wait, ended: Instant::now(), outcome }, bytes))
}

/// Reads one line: `None` at the end of the connection, an error where no line came in time.
fn read_reply_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut text = Vec::new();
    match reader.read_until(b'\n', &mut text) {
        Ok(0) => Ok(None),
        Ok(_) => Ok(Some(String::from_utf8_lossy(&text).trim_end().to_owned())),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Err(e),
        Err(_) => Ok(None),
    }
}

fn read_value(reader: &mut BufReader<TcpStream>, head: &str) -> Option<String> {
    let mut bytes = vec![0; head[1..].parse::<usize>().ok()? + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}
