//! Servers and services whose every step a test performs itself, so that a test reads as its sequence of
//! events. Each step waits for an event (a connection, a command, the end of a connection) and not for a
//! time. They share no code with the proxy that they test.

use super::platform::{PATIENCE, read_command, wait_until};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// A listener whose connections the test accepts one by one.
pub struct ManualListener {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// Occupies the accept queue while the listener must not take a connection.
    backlog_filler: Option<TcpStream>,
}

/// One accepted connection.
pub struct ManualConnection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl ManualListener {
    pub fn new() -> ManualListener {
        Self::at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    /// Creates a listener at this address.
    pub fn at(addr: SocketAddr) -> ManualListener {
        let listener = TcpListener::bind(addr).unwrap();
        ManualListener { addr: listener.local_addr().unwrap(), listener, backlog_filler: None }
    }

    /// Creates a listener whose accept queue is full. A connection attempt stays pending until
    /// [`ManualListener::free_backlog`] and completes when its SYN is retransmitted, one second after it was
    /// first sent.
    pub fn with_full_backlog() -> ManualListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        let backlog_filler = TcpStream::connect(addr).unwrap();
        ManualListener { addr, listener, backlog_filler: Some(backlog_filler) }
    }

    /// Waits until a connection attempt to this listener is pending.
    pub fn await_connect_attempt(&self) {
        let remote = format!("0100007F:{:04X} 02", self.addr.port());
        wait_until("no connection attempt to the listener", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().any(|line| line.contains(&remote))
        });
    }

    /// Lets pending connection attempts complete.
    pub fn free_backlog(&mut self) {
        drop(self.listener.accept().unwrap());
        self.backlog_filler = None;
    }

    /// Accepts a connection if one is pending.
    pub fn try_accept(&self) -> Option<ManualConnection> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Some(ManualConnection { stream, input: Vec::new() })
    }

    /// Waits for the next connection and accepts it.
    pub fn accept(&self) -> ManualConnection {
        let mut accepted = None;
        wait_until("no connection to the listener", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.unwrap()
    }

    /// Accepts connections until one sends a command, and returns that connection with the command.
    pub fn accept_command(&self) -> (ManualConnection, Vec<String>) {
        loop {
            let mut connection = self.accept();
            if let Some(words) = connection.next_command() {
                return (connection, words);
            }
        }
    }
}

impl ManualConnection {
    /// The next complete command, or `None` if the other side closes the connection before one.
    pub fn next_command(&mut self) -> Option<Vec<String>> {
        loop {
            let mut rest = &self.input[..];
            if let Some(words) = read_command(&mut rest) {
                self.input = rest.to_vec();
                return Some(words);
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// The next complete command. Panics if the connection ends first.
    pub fn expect_command(&mut self) -> Vec<String> {
        self.next_command().expect("the connection ended before a command")
    }

    /// The next line without its line end. Panics if the connection ends first.
    pub fn expect_line(&mut self) -> String {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                return String::from_utf8_lossy(&line).trim_end().to_owned();
            }
            assert!(self.read_more(), "the connection ended before a line");
        }
    }

    /// The request line of the next HTTP request. Panics if the connection ends first.
    pub fn expect_request_line(&mut self) -> String {
        self.next_request_line().expect("the connection ended before a request")
    }

    /// The request line of the next HTTP request, or `None` if the other side closes the connection first.
    pub fn next_request_line(&mut self) -> Option<String> {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                self.input = rest.as_bytes().to_vec();
                return Some(head.lines().next().unwrap_or("").to_owned());
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// Waits until the other side has closed the connection, and returns all input that came before that.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        while self.read_more() {}
        std::mem::take(&mut self.input)
    }

    fn read_more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(n) => {
                self.input.extend_from_slice(&bytes[..n]);
                n > 0
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => false,
            Err(e) => panic!("cannot read from the connection: {e}"),
        }
    }

    /// Whether input, or the end of the connection, can be read without waiting.
    pub fn has_input(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let there = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        there
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn half_close(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        super::services::set_reset_on_close(&self.stream);
    }
}

/// The result of an action and how long it took.
pub fn timed<T>(action: impl FnOnce() -> T) -> (T, std::time::Duration) {
    let started = Instant::now();
    (action(), started.elapsed())
}
