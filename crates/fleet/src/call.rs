//! One question to one daemon: connect, write a line, read a line, all within one time-out.

use crate::LINE_MOST;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use violetseam_control::wire::{Answer, Ask, write};

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence(pub String);

/// An answer, or why there is none.
pub type Heard = Result<Answer, Silence>;

const CLOSED: &str = "closed the connection without an answer";

/// Asks a daemon. Never takes longer than `timeout`, whatever the other side does.
pub fn call(control: &str, ask: &Ask, timeout: Duration) -> Heard {
    let until = Instant::now() + timeout;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() { Err(silence("no answer in time")) } else { Ok(left) }
    };
    // Connecting to a Unix-domain socket can wait only for room in its queue; a daemon that is stopped lets
    // it fill, and a thread of its own keeps that wait within the time-out.
    let mut stream = connect(control, left()?)?;
    let line = write(ask);
    let broke = |e: std::io::Error| match e.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => silence("no answer in time"),
        std::io::ErrorKind::BrokenPipe | std::io::ErrorKind::ConnectionReset => silence(CLOSED),
        _ => silence(&e.to_string()),
    };
    stream.set_write_timeout(Some(left()?)).map_err(broke)?;
    stream.write_all(&line).map_err(broke)?;
    let (mut answer, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        stream.set_read_timeout(Some(left()?)).map_err(broke)?;
        match stream.read(&mut bytes) {
            Ok(0) => return Err(silence(CLOSED)),
            Ok(n) => answer.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => {
                let half = !answer.is_empty();
                return Err(if half { silence("half an answer, then nothing") } else { broke(e) });
            }
        }
        if let Some(end) = answer.iter().position(|b| *b == b'\n') {
            let read = serde_json::from_slice(&answer[..end]);
            return read.map_err(|e| silence(&format!("an answer that cannot be read: {e}")));
        }
        if answer.len() > LINE_MOST {
            return Err(silence("an answer without an end"));
        }
    }
}

fn silence(why: &str) -> Silence {
    Silence(why.to_owned())
}

fn connect(control: &str, within: Duration) -> Result<UnixStream, Silence> {
    let (tell, told) = std::sync::mpsc::channel();
    let path = control.to_owned();
    std::thread::spawn(move || {
        let _ = tell.send(UnixStream::connect(path));
    });
    match told.recv_timeout(within) {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => Err(silence(&format!("no connection: {e}"))),
        Err(_) => Err(silence("no connection in time")),
    }
}
