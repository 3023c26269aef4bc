//! The server side of the control socket. Its thread reads and checks requests, among them plans, whose
//! scripts may take a while to evaluate; the event loop only gets events.

use super::{MAX_LINE_LEN, Request, Response};
use calloop::channel::Sender as LoopSender;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use violetseam_release::Event;

/// How long either side waits for the other.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest name of an operator or a wave, in bytes.
const MAX_NAME_LEN: usize = 128;
/// Only the owner may open the socket.
const SOCKET_MODE: u32 = 0o600;

/// A request that the event loop answers.
pub enum ControlCall {
    /// Asks for the status.
    Status {
        /// Takes the response.
        response: Sender<Response>,
    },
    /// Takes an event into the next batch.
    Event {
        /// The event.
        event: Event,
        /// Takes the response.
        response: Sender<Response>,
    },
}

/// Opens the socket and serves it on a thread.
///
/// # Errors
/// The socket cannot be created, or the system refuses another thread.
pub fn listen(path: &Path, to_loop: LoopSender<ControlCall>) -> std::io::Result<()> {
    let mut temporary = path.to_owned().into_os_string();
    temporary.push(".new");
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&temporary, path)?;
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(&stream, &to_loop);
        }
    })?;
    Ok(())
}

fn serve_connection(stream: &UnixStream, to_loop: &LoopSender<ControlCall>) {
    let (sender, receiver) = channel();
    if dispatch(stream, to_loop, sender).is_err() {
        return;
    }
    let response = receiver
        .recv_timeout(PEER_TIMEOUT)
        .unwrap_or_else(|_| Response::Failed("no answer in time; it may count".into()));
    let mut line = serde_json::to_vec(&response).unwrap_or_default();
    line.push(b'\n');
    let _ = (&*stream).write_all(&line);
}

/// Reads one request and passes it to the event loop, or answers a malformed one at once.
fn dispatch(
    stream: &UnixStream,
    to_loop: &LoopSender<ControlCall>,
    response: Sender<Response>,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    stream.set_write_timeout(Some(PEER_TIMEOUT))?;
    let mut line = Vec::new();
    BufReader::new(stream.take(MAX_LINE_LEN)).read_until(b'\n', &mut line)?;
    let call = match parse_request(&line) {
        Ok(ParsedRequest::Status) => ControlCall::Status { response },
        Ok(ParsedRequest::Event(event)) => ControlCall::Event { event, response },
        Err(error) => {
            let _ = response.send(error);
            return Ok(());
        }
    };
    to_loop.send(call).map_err(|_| std::io::ErrorKind::BrokenPipe.into())
}

/// A request that passed all checks.
enum ParsedRequest {
    Status,
    Event(Event),
}

/// Parses and checks a request; the error is the response to it.
fn parse_request(line: &[u8]) -> Result<ParsedRequest, Response> {
    let request: Request =
        serde_json::from_slice(line).map_err(|error| Response::Failed(format!("not understood: {error}")))?;
    let event = match request {
        Request::Status => return Ok(ParsedRequest::Status),
        Request::SubmitPlan { name, text } => {
            let plan = violetseam_plan::read_text(&name, &text, &[], crate::wall_clock());
            let plan = plan
                .map_err(|faults| Response::InvalidPlan(faults.iter().map(ToString::to_string).collect()))?;
            Event::Offer(Box::new(plan))
        }
        Request::Approve { operator, wave } if is_valid_name(&operator) && is_valid_name(&wave) => {
            Event::Sign { who: operator, wave }
        }
        Request::RevokeApproval { operator, wave } if is_valid_name(&operator) && is_valid_name(&wave) => {
            Event::Unsign { who: operator, wave }
        }
        Request::Order { operator, order } if is_valid_name(&operator) => {
            Event::Order { who: operator, order }
        }
        Request::Approve { .. } | Request::RevokeApproval { .. } | Request::Order { .. } => {
            return Err(Response::Failed("names have 1 to 128 printable characters".into()));
        }
    };
    Ok(ParsedRequest::Event(event))
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_LEN && !name.chars().any(char::is_control)
}
