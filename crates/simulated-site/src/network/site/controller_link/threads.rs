//! The threads of the link to a controller, which make HTTP calls on blocking sockets.

use super::{ControllerMessage, EncodedVote, ReplyToVote};
use crate::network::NetworkError;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use violetseam_site_protocol::placement::{DesiredBuilds, PlaceReport, write_reports};
use violetseam_site_protocol::release_service::{ReleaseUpdate, VoteReply};

/// The number of threads that send votes.
const VOTE_SENDERS: usize = 8;
/// The time without a byte after which a call or a watch fails.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait between two attempts to reach the controller.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

const STATUS_WATCH_PATH: &str = "/v1/stage/watch?proxy=platform";
const PLACES_WATCH_PATH: &str = "/v1/places/watch";
const PLACES_PATH: &str = "/v1/places";
const VOTE_PATH: &str = "/v1/vote";

const HEAD_END: &[u8] = b"\r\n\r\n";

fn spawn_thread(name: &'static str, body: impl FnOnce() + Send + 'static) -> Result<(), NetworkError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(body);
    spawned.map(drop).map_err(|source| NetworkError::Thread { name, source })
}

/// Starts a thread for each of the two watches, of the release status and of the desired builds.
pub(super) fn spawn_watches(
    address: SocketAddr,
    messages: &Sender<ControllerMessage>,
    stop: &Arc<AtomicBool>,
) -> Result<(), NetworkError> {
    for path in [STATUS_WATCH_PATH, PLACES_WATCH_PATH] {
        let messages = messages.clone();
        let stop = stop.clone();
        spawn_thread("watch", move || {
            while !stop.load(Ordering::Relaxed) {
                let _ = watch(address, path, &|line| forward_line(line, &messages));
                std::thread::sleep(RETRY_INTERVAL);
            }
        })?;
    }
    Ok(())
}

/// Forwards a line of a watch as a message. A line that cannot be parsed as either kind of message is
/// ignored.
fn forward_line(line: &[u8], messages: &Sender<ControllerMessage>) {
    if let Ok(status) = ReleaseUpdate::from_json(line) {
        let _ = messages.send(ControllerMessage::Status(status));
    } else if let Ok(desired) = DesiredBuilds::parse(line) {
        let _ = messages.send(ControllerMessage::DesiredBuilds(desired));
    }
}

/// Starts the threads that send votes. A thread that has finished a vote takes the next one from the shared
/// queue.
pub(super) fn spawn_vote_senders(
    address: SocketAddr,
    messages: &Sender<ControllerMessage>,
) -> Result<Sender<EncodedVote>, NetworkError> {
    let (sender, votes) = channel();
    let votes = Arc::new(Mutex::new(votes));
    for _ in 0..VOTE_SENDERS {
        let messages = messages.clone();
        let votes = votes.clone();
        spawn_thread("votes", move || send_votes(address, &votes, &messages))?;
    }
    Ok(sender)
}

fn send_votes(
    address: SocketAddr,
    votes: &Mutex<Receiver<EncodedVote>>,
    messages: &Sender<ControllerMessage>,
) {
    loop {
        let next = votes.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(EncodedVote { token, body }) = next else { return };
        let response = post(address, VOTE_PATH, &body);
        let reply = response.and_then(|response| VoteReply::from_json(&response).ok());
        if messages.send(ControllerMessage::Reply(ReplyToVote { token, reply })).is_err() {
            return;
        }
    }
}

/// Starts the thread that reports the states of places. It sends the reports in order, and repeats each until
/// the controller accepts it, because the controller may be down for a while.
pub(super) fn spawn_reporter(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
) -> Result<Sender<Vec<PlaceReport>>, NetworkError> {
    let (sender, reports) = channel::<Vec<PlaceReport>>();
    spawn_thread("reports", move || {
        while let Ok(report) = reports.recv() {
            let body = write_reports(&report);
            while post(address, PLACES_PATH, &body).is_none() && !stop.load(Ordering::Relaxed) {
                std::thread::sleep(RETRY_INTERVAL);
            }
        }
    })?;
    Ok(sender)
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, IDLE_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    Ok(stream)
}

/// Reads a watch line by line, until the connection ends or the response is a server error.
fn watch(address: SocketAddr, path: &str, on_line: &dyn Fn(&[u8])) -> std::io::Result<()> {
    let mut stream = connect(address)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        let is_at_end = reader.read_line(&mut line)? == 0;
        if is_at_end || line.starts_with("HTTP/1.1 5") {
            return Ok(());
        }
        // Lines that do not start with a brace belong to the response head or to the chunked encoding.
        if line.starts_with('{') {
            on_line(line.trim_end().as_bytes());
        }
    }
}

/// Posts a body, and returns the body of the response if its status is 200.
fn post(address: SocketAddr, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    let mut response = exchange(address, path, body).ok()?;
    let head_end = response.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    response.starts_with(b"HTTP/1.1 200").then(|| response.split_off(head_end + HEAD_END.len()))
}

fn exchange(address: SocketAddr, path: &str, body: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = connect(address)?;
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(response)
}
