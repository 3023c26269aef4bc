//! The server side of the control socket. It has its own thread, which reads and checks requests, since the
//! script of a plan may take a while to evaluate. The event loop receives only valid events and status
//! requests.

use super::{MAX_LINE_LEN, Request, Response};
use calloop::channel::Sender as LoopSender;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use violetseam_release::Event;

/// The time limit for reading a request, for the event loop's response, and for writing the response.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// The greatest length of the name of an operator or a wave, in bytes.
const MAX_NAME_LEN: usize = 128;
/// The file mode of the socket: only its owner may open it.
const SOCKET_MODE: u32 = 0o600;

/// A call to the event loop.
pub enum ControlCall {
    /// Asks for the status of the controller and the release.
    Status {
        /// Receives the response.
        response: Sender<Response>,
    },
    /// Takes an operator's event into the next batch.
    Event {
        /// The event from the operator.
        event: Event,
        /// Receives the response.
        response: Sender<Response>,
    },
}

/// Opens the control socket and serves it on its own thread.
///
/// # Errors
/// The socket cannot be created, or the system cannot start another thread.
pub fn listen(path: &Path, call_sender: LoopSender<ControlCall>) -> std::io::Result<()> {
    let mut temporary = path.to_owned().into_os_string();
    temporary.push(".new");
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&temporary, path)?;
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(&stream, &call_sender);
        }
    })?;
    Ok(())
}

/// Serves one request: reads it, waits for the response and writes that.
fn serve_connection(stream: &UnixStream, call_sender: &LoopSender<ControlCall>) {
    let (sender, receiver) = channel();
    if receive_request(stream, call_sender, sender).is_err() {
        return;
    }
    let response = receiver
        .recv_timeout(PEER_TIMEOUT)
        .unwrap_or_else(|_| Response::Failed("no answer in time; it may count".into()));
    let mut response_line = serde_json::to_vec(&response).unwrap_or_default();
    response_line.push(b'\n');
    let _ = (&*stream).write_all(&response_line);
}

/// Reads one request and passes it to the event loop. The response to an invalid request is sent to
/// `response` at once.
fn receive_request(
    stream: &UnixStream,
    call_sender: &LoopSender<ControlCall>,
    response: Sender<Response>,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    stream.set_write_timeout(Some(PEER_TIMEOUT))?;
    let mut line = Vec::new();
    BufReader::new(stream.take(MAX_LINE_LEN)).read_until(b'\n', &mut line)?;
    let call = match parse_request(&line) {
        Ok(ParsedRequest::Status) => ControlCall::Status { response },
        Ok(ParsedRequest::Event(event)) => ControlCall::Event { event, response },
        Err(failure) => {
            let _ = response.send(failure);
            return Ok(());
        }
    };
    call_sender.send(call).map_err(|_| std::io::ErrorKind::BrokenPipe.into())
}

/// A request that passed all checks.
enum ParsedRequest {
    Status,
    Event(Event),
}

/// Parses and checks a request. The error is the response to an invalid request.
fn parse_request(line: &[u8]) -> Result<ParsedRequest, Response> {
    let request: Request =
        serde_json::from_slice(line).map_err(|error| Response::Failed(format!("not understood: {error}")))?;
    let event = match request {
        Request::Status => return Ok(ParsedRequest::Status),
        Request::SubmitPlan { name, text } => {
            let result = violetseam_plan::read_text(&name, &text, &[], crate::wall_clock());
            let plan = result
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
