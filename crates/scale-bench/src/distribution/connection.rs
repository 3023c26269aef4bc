//! A blocking connection to the publisher whose bytes are counted.

use super::fleet::{Counters, FleetState};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_publisher::protocol::{ACKNOWLEDGE_PATH, WATCH_PATH};

const READ_BYTES: usize = 16 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP connection to the publisher.
pub struct Connection<'a> {
    counters: &'a Counters,
    stream: TcpStream,
    http: ClientConn,
}

impl<'a> Connection<'a> {
    /// Connects to the fleet's publisher.
    ///
    /// # Errors
    /// Errors of the socket.
    pub(super) fn open(fleet: &'a FleetState) -> io::Result<Connection<'a>> {
        let stream = TcpStream::connect_timeout(&fleet.publisher, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
        Ok(Connection { counters: &fleet.counters, stream, http: ClientConn::new(Limits::default()) })
    }

    /// Starts a watch; [`Connection::next_event`] returns nothing each time `read_timeout` passes without
    /// one.
    ///
    /// # Errors
    /// Errors of the socket.
    pub fn start_watch(&mut self, query: &str, read_timeout: Duration) -> io::Result<()> {
        self.send(&format!("GET {WATCH_PATH}?{query} HTTP/1.1\r\nhost: publisher\r\n\r\n"), b"")?;
        self.stream.set_read_timeout(Some(read_timeout))
    }

    /// Posts a report and waits for the response; whether the connection can take another one.
    ///
    /// # Errors
    /// Errors of the socket, and a time-out without a response.
    pub fn post_report(&mut self, body: &[u8]) -> io::Result<bool> {
        let length = body.len();
        let head = format!(
            "POST {ACKNOWLEDGE_PATH} HTTP/1.1\r\nhost: publisher\r\ncontent-length: {length}\r\n\r\n"
        );
        self.send(&head, body)?;
        loop {
            match self.next_event()? {
                Some(ClientEvent::End { reusable }) => return Ok(reusable),
                Some(ClientEvent::Fault(_)) => return Ok(false),
                Some(ClientEvent::Head(_) | ClientEvent::Body(_)) => {}
                None => return Err(ErrorKind::TimedOut.into()),
            }
        }
    }

    /// The next event; none where nothing came within the read time-out.
    ///
    /// # Errors
    /// Errors of the socket, and the end of the connection.
    pub fn next_event(&mut self) -> io::Result<Option<ClientEvent>> {
        loop {
            if let Some(event) = self.http.next_event() {
                return Ok(Some(event));
            }
            let mut bytes = [0; READ_BYTES];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    self.counters.bytes_in.fetch_add(length as u64, Ordering::Relaxed);
                    self.http.feed(&bytes[..length]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut request = head.as_bytes().to_vec();
        request.extend_from_slice(body);
        self.http.expect_answer(false);
        self.stream.write_all(&request)?;
        self.counters.bytes_out.fetch_add(request.len() as u64, Ordering::Relaxed);
        Ok(())
    }
}
