//! The registry's event loop and its connections.

use super::counts::Counters;
use super::endpoints::{BUILD, Endpoints};
use calloop::channel::{Channel, Event as ChannelEvent};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use http::StatusCode;
use slab::Slab;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use violetseam_event_io::{ReadOutcome, Socket};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits};
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate};

/// Longest wait of the loop.
const MAX_WAIT: Duration = Duration::from_secs(1);
const READ_BYTES: usize = 16 * 1024;
/// Path of a call for the list.
const LIST_PATH: &str = "/v1/roster";
/// Path of a call that stays open for changes.
const WATCH_PATH: &str = "/v1/roster/watch";

/// What other threads have the registry do.
pub(super) enum Command {
    /// So many servers change their state.
    ChangeServers(usize),
    /// All connections close.
    CloseConnections,
    Stop,
}

struct Connection {
    socket: Socket,
    http: ServerConnection,
    /// Path and query of the call.
    target: String,
    /// It is a call for the list: its bytes count.
    is_counted: bool,
    received_bytes: u64,
    /// The version that was sent last, on an open watch.
    watched_version: Option<u64>,
}

struct Server {
    handle: LoopHandle<'static, Server>,
    connections: Slab<Connection>,
    endpoints: Endpoints,
    counters: Arc<Counters>,
    is_stopping: bool,
}

/// Whether a response ends with its first line, or stays open for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseBody {
    Complete,
    Stream,
}

/// Serves until [`Command::Stop`].
///
/// # Errors
/// Errors of the event loop.
pub(super) fn run(
    listener: TcpListener,
    commands: Channel<Command>,
    counters: Arc<Counters>,
    servers: usize,
) -> calloop::Result<()> {
    let mut event_loop: EventLoop<'static, Server> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listening = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(listening, |_, listener, server: &mut Server| {
            server.accept_all(listener);
            Ok(PostAction::Continue)
        })
        .map_err(|error| error.error)?;
    let on_command = |event, (): &mut (), server: &mut Server| server.on_command(event);
    handle.insert_source(commands, on_command).map_err(|error| error.error)?;
    let mut server = Server {
        handle,
        connections: Slab::new(),
        endpoints: Endpoints::new(servers),
        counters,
        is_stopping: false,
    };
    while !server.is_stopping {
        event_loop.dispatch(MAX_WAIT, &mut server)?;
        server.update_gauges();
    }
    Ok(())
}

/// A number of a target's query.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Server {
    fn on_command(&mut self, event: ChannelEvent<Command>) {
        match event {
            ChannelEvent::Msg(Command::ChangeServers(count)) => self.change_servers(count),
            ChannelEvent::Msg(Command::CloseConnections) => self.close_counted(),
            ChannelEvent::Msg(Command::Stop) | ChannelEvent::Closed => self.is_stopping = true,
        }
    }

    fn accept_all(&mut self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            self.add_connection(stream);
        }
    }

    fn add_connection(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, server: &mut Server| server.on_connection_ready(key, ready);
        let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) else { return };
        entry.insert(Connection {
            socket,
            http: ServerConnection::new(Limits::default()),
            target: String::new(),
            is_counted: false,
            received_bytes: 0,
            watched_version: None,
        });
    }

    /// Publishes what is unsent and open now.
    fn update_gauges(&mut self) {
        let unsent: usize =
            self.connections.iter().map(|(_, connection)| connection.socket.unwritten_bytes()).sum();
        let is_watch = |connection: &Connection| connection.watched_version.is_some();
        let watches = self.connections.iter().filter(|(_, connection)| is_watch(connection)).count();
        self.counters.unsent_bytes.set(unsent as u64);
        self.counters.open_watches.set(watches as u64);
    }

    fn on_connection_ready(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            self.flush(key);
        }
        if ready.readable || ready.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut bytes = [0; READ_BYTES];
        match connection.socket.read(&mut bytes) {
            ReadOutcome::Bytes(length) => {
                connection.received_bytes += length as u64;
                connection.http.feed(&bytes[..length]);
                self.handle_http_events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.close(key),
        }
    }

    fn handle_http_events(&mut self, key: usize) {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => connection.target = head.target.clone(),
                Some(ServerEvent::Body(_)) => {}
                Some(ServerEvent::End) => self.respond(key),
                Some(ServerEvent::Error(_)) => return self.close(key),
            }
        }
    }

    fn close(&mut self, key: usize) {
        if self.connections.contains(key) {
            self.connections.remove(key).socket.remove(&self.handle);
        }
    }

    /// Closes all calls for the list; the watches on releases stay.
    fn close_counted(&mut self) {
        let counted = self.connections.iter().filter(|(_, connection)| connection.is_counted);
        let keys: Vec<usize> = counted.map(|(key, _)| key).collect();
        for key in keys {
            self.close(key);
        }
    }

    fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.flush() {
            Ok(sent) => {
                if connection.is_counted {
                    self.counters.sent_bytes.add(sent as u64);
                }
                connection.socket.set_read_interest(&self.handle, true);
            }
            Err(_) => self.close(key),
        }
    }

    fn respond(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let target = std::mem::take(&mut connection.target);
        connection.is_counted = target.starts_with(LIST_PATH);
        if connection.is_counted {
            self.counters.calls.add(1);
            self.counters.received_bytes.add(connection.received_bytes);
            self.respond_with_list(key, &target);
        } else {
            let status = ReleaseUpdate {
                build: BUILD,
                stage: 0,
                phase: PhaseName::Released,
                cap: 1.0,
                fence: 0,
                revision: 0,
            };
            self.start_response(key, &status.write(), ResponseBody::Stream);
        }
    }

    fn respond_with_list(&mut self, key: usize, target: &str) {
        let is_watch = target.starts_with(WATCH_PATH);
        let since = query_number(target, "since").filter(|_| is_watch);
        let line = self.endpoints.message(since);
        let counter = if since.is_some() { &self.counters.deltas } else { &self.counters.full_lists };
        counter.add(1);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.watched_version = is_watch.then(|| self.endpoints.version());
        }
        let body = if is_watch { ResponseBody::Stream } else { ResponseBody::Complete };
        self.start_response(key, &line, body);
    }

    fn start_response(&mut self, key: usize, line: &[u8], body: ResponseBody) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let framing = match body {
            ResponseBody::Complete => Framing::Length(line.len() as u64),
            ResponseBody::Stream => Framing::Chunked,
        };
        let out = connection.socket.write_buffer();
        connection.http.start_response(out, ResponseStart::new(StatusCode::OK, framing));
        connection.http.write_body(out, line);
        if body == ResponseBody::Complete {
            connection.http.finish_response(out);
        }
        self.flush(key);
    }

    /// Changes servers and sends a delta on each open watch.
    fn change_servers(&mut self, count: usize) {
        self.endpoints.change(count);
        let watches: Vec<(usize, u64)> = self
            .connections
            .iter()
            .filter_map(|(key, connection)| Some((key, connection.watched_version?)))
            .collect();
        for (key, version) in watches {
            let line = self.endpoints.message(Some(version));
            self.counters.deltas.add(1);
            if let Some(connection) = self.connections.get_mut(key) {
                connection.watched_version = Some(self.endpoints.version());
                connection.http.write_body(connection.socket.write_buffer(), &line);
            }
            self.flush(key);
        }
    }
}
