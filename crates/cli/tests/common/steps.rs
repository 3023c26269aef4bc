//! Peers that do one step after another as a test says: a case reads as its order of events. They act on what is
//! there (a connection, a command, an end), never on a time, and share no code with what they check.

use super::platform::{PATIENCE, command, wait_until};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// A listener whose connections a test takes one by one.
pub struct Peer {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// Fills the queue of a shut door.
    filler: Option<TcpStream>,
}

/// One connection of a peer.
pub struct Wire {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Peer {
    pub fn new() -> Peer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        Peer { addr: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// Its queue is full from the start: a dial stays on its way until [`Peer::open_door`], and comes up when its
    /// first packet is sent anew, a second after it was first sent.
    pub fn behind_a_shut_door() -> Peer {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        let filler = TcpStream::connect(addr).unwrap();
        Peer { addr, listener, filler: Some(filler) }
    }

    /// Waits until somebody's dial is on its way here.
    pub fn await_dial(&self) {
        let remote = format!("0100007F:{:04X} 02", self.addr.port());
        wait_until("nobody dials", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().any(|line| line.contains(&remote))
        });
    }

    /// Lets dials through.
    pub fn open_door(&mut self) {
        drop(self.listener.accept().unwrap());
        self.filler = None;
    }

    /// Takes a connection if one is there.
    pub fn try_accept(&self) -> Option<Wire> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Some(Wire { stream, input: Vec::new() })
    }

    /// Takes the next connection.
    pub fn accept(&self) -> Wire {
        let mut taken = None;
        wait_until("nobody connects", || {
            taken = self.try_accept();
            taken.is_some()
        });
        taken.unwrap()
    }

    /// Takes the next connection that says something: what it says first.
    pub fn accept_command(&self) -> (Wire, Vec<String>) {
        loop {
            let mut wire = self.accept();
            if let Some(words) = wire.next_command() {
                return (wire, words);
            }
        }
    }
}

impl Wire {
    /// The next whole command, or `None` once the other side has ended before one.
    pub fn next_command(&mut self) -> Option<Vec<String>> {
        loop {
            let mut rest = &self.input[..];
            if let Some(words) = command(&mut rest) {
                self.input = rest.to_vec();
                return Some(words);
            }
            if !self.more() {
                return None;
            }
        }
    }

    /// The next whole command; there must be one.
    pub fn command(&mut self) -> Vec<String> {
        self.next_command().expect("the connection ended before a command")
    }

    /// The head of the next HTTP request: its first line; there must be one.
    pub fn http(&mut self) -> String {
        self.next_http().expect("the connection ended before a request")
    }

    /// The head of the next HTTP request, or `None` once the other side has ended before one.
    pub fn next_http(&mut self) -> Option<String> {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                self.input = rest.as_bytes().to_vec();
                return Some(head.lines().next().unwrap_or("").to_owned());
            }
            if !self.more() {
                return None;
            }
        }
    }

    /// Waits until the other side has ended; all that came before that.
    pub fn until_end(&mut self) -> Vec<u8> {
        while self.more() {}
        std::mem::take(&mut self.input)
    }

    fn more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(n) => {
                self.input.extend_from_slice(&bytes[..n]);
                n > 0
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => false,
            Err(e) => panic!("nothing more came: {e}"),
        }
    }

    /// Whether something, or the end, is there to be read.
    pub fn has_more(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let there = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        there
    }

    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn half_close(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Ends the connection so that the other side sees a reset.
    pub fn reset(self) {
        super::services::reset(&self.stream);
    }
}

/// How long something took.
pub fn timed<T>(what: impl FnOnce() -> T) -> (T, std::time::Duration) {
    let began = Instant::now();
    (what(), began.elapsed())
}
