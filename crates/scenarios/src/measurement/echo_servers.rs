//! Servers that answer each request immediately with a few bytes, so that the cost of the proxy dominates the
//! measurement.

use super::MeasurementError;
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use slab::Slab;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use violetseam_event_io::{ReadOutcome, Socket};

/// The bytes that end the head of a request or response.
pub(super) const HEAD_END: &[u8] = b"\r\n\r\n";
/// The response to each request.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine";
/// The bytes with which a complete response ends.
pub(super) const RESPONSE_END: &[u8] = b"\r\n\r\nfine";
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Running servers, which end with the process.
pub(super) struct EchoServers {
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// While this is set, the servers read requests but send no responses.
    pub silent: Arc<AtomicBool>,
}

impl EchoServers {
    /// Starts `count` servers on one thread.
    pub fn start(count: usize) -> Result<EchoServers, MeasurementError> {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listeners: Vec<TcpListener> = (0..count)
            .map(bind)
            .collect::<Result<_, _>>()
            .map_err(MeasurementError::io("listening as echo servers"))?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()
            .map_err(MeasurementError::io("listening as echo servers"))?;
        let silent = Arc::new(AtomicBool::new(false));
        let servers = EchoServers { addresses, silent: silent.clone() };
        std::thread::spawn(move || EchoLoop::run(listeners, silent));
        Ok(servers)
    }
}

/// A connection and the received part of its next request.
struct Connection {
    socket: Socket,
    received: Vec<u8>,
}

/// The event loop of all servers.
struct EchoLoop {
    handle: LoopHandle<'static, EchoLoop>,
    connections: Slab<Connection>,
    silent: Arc<AtomicBool>,
}

impl EchoLoop {
    fn run(listeners: Vec<TcpListener>, silent: Arc<AtomicBool>) -> Result<(), calloop::Error> {
        let mut event_loop: EventLoop<'static, EchoLoop> = EventLoop::try_new()?;
        let handle = event_loop.handle();
        for listener in listeners {
            listener.set_nonblocking(true)?;
            let source = Generic::new(listener, Interest::READ, Mode::Level);
            handle
                .insert_source(source, |_, listener, echo: &mut EchoLoop| {
                    while let Ok((stream, _)) = listener.accept() {
                        echo.accept(stream);
                    }
                    Ok(PostAction::Continue)
                })
                .map_err(|failed| failed.error)?;
        }
        let mut echo = EchoLoop { handle, connections: Slab::new(), silent };
        loop {
            event_loop.dispatch(Duration::from_secs(1), &mut echo)?;
        }
    }

    fn accept(&mut self, stream: TcpStream) {
        let _ = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |_, echo: &mut EchoLoop| echo.on_ready(key);
        if let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) {
            entry.insert(Connection { socket, received: Vec::new() });
        }
    }

    fn on_ready(&mut self, key: usize) {
        let mut bytes = [0; READ_BYTES];
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.read(&mut bytes) {
            ReadOutcome::Bytes(count) => {
                connection.received.extend_from_slice(&bytes[..count]);
                connection.respond(self.silent.load(Ordering::Relaxed));
                if connection.socket.flush().is_ok() {
                    connection.socket.set_read_interest(&self.handle, true);
                    return;
                }
            }
            ReadOutcome::WouldBlock => return,
            ReadOutcome::Closed | ReadOutcome::Failed => {}
        }
        let connection = self.connections.remove(key);
        connection.socket.remove(&self.handle);
    }
}

impl Connection {
    /// Consumes all complete requests and, unless `silent`, writes a response to each.
    fn respond(&mut self, silent: bool) {
        while let Some(start) = self.received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
            self.received.drain(..start + HEAD_END.len());
            if !silent {
                self.socket.write_buffer().extend_from_slice(RESPONSE);
            }
        }
    }
}
