//! The clients of a soak: one after another asks one proxy, leaves early now and then, and notes what became of each
//! request.

use super::common::platform::{value, words};
use super::draw::Draw;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The classes of a soak's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Look,
    /// May not be repeated.
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

    /// Its deadline in the settings, in milliseconds.
    pub fn deadline_ms(self) -> u64 {
        match self {
            Class::Look => 1_200,
            Class::Once => 2_500,
            Class::Book => 8_000,
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// A value that no server gave for it.
    Wrong(String),
    /// A line that refuses, or says that it failed.
    Declined,
    /// The connection closed, and nothing had been answered.
    Closed,
    /// Its client left at that time.
    Left(Instant),
    /// Nothing came for longer than the client waits.
    Silence,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Ask {
    pub proxy: usize,
    pub id: String,
    pub class: Class,
    pub sent: Instant,
    pub wait: Duration,
    pub ended: Instant,
    pub end: End,
}

/// An answer later than its request's time by this and the machine's own lateness has been lost.
const LATE: Duration = Duration::from_millis(500);
const MACHINE: Duration = Duration::from_millis(1_000);
const RECONNECT: Duration = Duration::from_millis(20);
/// Requests on one connection.
const ON_ONE: u64 = 12;

/// Asks until told to stop.
pub fn ask_on(
    proxy: usize,
    number: u64,
    addr: SocketAddr,
    seed: u64,
    stop: &AtomicBool,
    asks: &Mutex<Vec<Ask>>,
) {
    let mut draw = Draw::new(seed, 1_000 + proxy as u64 * 16 + number);
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(RECONNECT);
        let Ok(stream) = TcpStream::connect(addr) else { continue };
        if !is_ready(&stream) {
            continue;
        }
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        for _ in 0..1 + draw.below(ON_ONE) {
            n += 1;
            let id = format!("{proxy}-{number}-{n}");
            let Some(ask) = ask(proxy, id, &stream, &mut reader, &mut draw) else { break };
            let goes_on = matches!(ask.end, End::Served | End::Declined);
            asks.lock().unwrap().push(ask);
            if !goes_on {
                break;
            }
            std::thread::sleep(draw.ms(1, 60));
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

/// One request; nothing where the connection took none any more.
fn ask(
    proxy: usize,
    id: String,
    mut stream: &TcpStream,
    reader: &mut BufReader<TcpStream>,
    draw: &mut Draw,
) -> Option<Ask> {
    let class = *draw.of(&[Class::Look, Class::Look, Class::Once, Class::Book]);
    let wait = Duration::from_millis(*draw.of(&[40, 300, 900, class.deadline_ms()]));
    let (key, list) = (format!("key-{id}"), format!("c={},t=one,d={}", class.name(), wait.as_millis()));
    let bytes = match class {
        Class::Look => words(&["CALL.GET", &key, &id, &list]),
        Class::Once => words(&["CALL.POST", &key, &id, &list, "BODY"]),
        Class::Book => words(&["CALL.POST", &key, &id, &format!("{list},k=5c0f"), "BODY"]),
    };
    let leaves = draw.one_in(15);
    let patience = if leaves { draw.ms(1, 200) } else { wait + LATE + MACHINE };
    stream.set_read_timeout(Some(patience)).unwrap();
    stream.write_all(&bytes).ok()?;
    let sent = Instant::now();
    let end = match hear(reader) {
        Ok(Some(text)) if text.starts_with('$') => match body(reader, &text) {
            Some(got) if got == value(&id) => End::Served,
            Some(got) => End::Wrong(got),
            None => End::Closed,
        },
        Ok(Some(_)) => End::Declined,
        Ok(None) => End::Closed,
        Err(_) if leaves => End::Left(Instant::now()),
        Err(_) => End::Silence,
    };
    Some(Ask { proxy, id, class, sent, wait, ended: Instant::now(), end })
}

/// A line; nothing at the end of the connection, an error where none came in time.
fn hear(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut text = Vec::new();
    match reader.read_until(b'\n', &mut text) {
        Ok(0) => Ok(None),
        Ok(_) => Ok(Some(String::from_utf8_lossy(&text).trim_end().to_owned())),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Err(e),
        Err(_) => Ok(None),
    }
}

fn body(reader: &mut BufReader<TcpStream>, head: &str) -> Option<String> {
    let mut bytes = vec![0; head[1..].parse::<usize>().ok()? + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}
