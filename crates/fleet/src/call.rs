//! One question to one daemon: connect, write a line, read a line, all within one time-out; over its local
//! socket, or over TCP under mutual TLS.

use crate::LINE_MOST;
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, StreamOwned};
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};
use violetseam_control::wire::{Answer, Ask, write};

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence(pub String);

/// An answer, or why there is none.
pub type Heard = Result<Answer, Silence>;

const CLOSED: &str = "closed the connection without an answer";
const CLOSED_TLS: &str = "closed the connection without an answer: does it trust this certificate?";

/// A stream whose every step ends at one moment.
struct Timed<S> {
    stream: S,
    until: Instant,
}

/// What a [`Timed`] stream bounds.
trait Bounded: Read + Write {
    fn bound(&self, left: Duration) -> std::io::Result<()>;
}

impl Bounded for UnixStream {
    fn bound(&self, left: Duration) -> std::io::Result<()> {
        self.set_read_timeout(Some(left)).and_then(|()| self.set_write_timeout(Some(left)))
    }
}

impl Bounded for TcpStream {
    fn bound(&self, left: Duration) -> std::io::Result<()> {
        self.set_read_timeout(Some(left)).and_then(|()| self.set_write_timeout(Some(left)))
    }
}

impl<S: Bounded> Timed<S> {
    fn ready(&mut self) -> std::io::Result<&mut S> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.bound(left)?;
        Ok(&mut self.stream)
    }
}

impl<S: Bounded> Read for Timed<S> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.ready()?.read(buffer)
    }
}

impl<S: Bounded> Write for Timed<S> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.ready()?.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.ready()?.flush()
    }
}

/// Asks a daemon. Never takes longer than `timeout`, whatever the other side does.
pub fn call(control: &str, ask: &Ask, timeout: Duration, keys: Option<&Arc<ClientConfig>>) -> Heard {
    let until = Instant::now() + timeout;
    let Some(place) = control.strip_prefix("tls://") else {
        let path = control.to_owned();
        let stream = within(until, move |_| UnixStream::connect(path))?;
        return exchange(&mut Timed { stream, until }, ask, CLOSED);
    };
    let Some(keys) = keys else { return Err(silence("no identity to show it")) };
    let host = place.rsplit_once(':').map_or(place, |(host, _)| host).trim_matches(['[', ']']);
    let name = ServerName::try_from(host.to_owned()).map_err(|_| silence("not a name that TLS knows"))?;
    let owned = place.to_owned();
    let stream = within(until, move |left| connect(&owned, left))?;
    let tls = ClientConnection::new(keys.clone(), name).map_err(|e| silence(&e.to_string()))?;
    exchange(&mut StreamOwned::new(tls, Timed { stream, until }), ask, CLOSED_TLS)
}

/// Connects to whichever of a name's addresses takes it.
fn connect(place: &str, left: Duration) -> std::io::Result<TcpStream> {
    let mut last = Error::other("the name has no address");
    for addr in place.to_socket_addrs()? {
        match TcpStream::connect_timeout(&addr, left) {
            Ok(stream) => {
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Connects on a thread of its own: a Unix-domain socket's queue can be full for as long as its daemon is
/// stopped, a name's look-up has no time-out, and neither may hold up the others.
fn within<S: Send + 'static>(
    until: Instant,
    connect: impl FnOnce(Duration) -> std::io::Result<S> + Send + 'static,
) -> Result<S, Silence> {
    let left = until.saturating_duration_since(Instant::now());
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let _ = tell.send(connect(left));
    });
    match told.recv_timeout(left) {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => Err(silence(&format!("no connection: {e}"))),
        Err(_) => Err(silence("no connection in time")),
    }
}

fn exchange(stream: &mut (impl Read + Write), ask: &Ask, closed: &str) -> Heard {
    let broke = |e: Error| match e.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => silence("no answer in time"),
        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof => silence(closed),
        ErrorKind::InvalidData => silence(&format!("not trusted: {e}")),
        _ => silence(&e.to_string()),
    };
    stream.write_all(&write(ask)).and_then(|()| stream.flush()).map_err(broke)?;
    let (mut answer, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return Err(silence(closed)),
            Ok(n) => answer.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
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
