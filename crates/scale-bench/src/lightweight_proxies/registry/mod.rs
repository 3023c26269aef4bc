//! A server registry on a thread of its own, for lightweight proxies: the list is the simulated site's, the
//! framing and the messages are the product's, and all that crosses the sockets is counted. Each call is one
//! connection.
//!
//! It also answers the watch on releases with one status, which is not counted.

mod counts;
mod endpoints;
mod server;

pub use counts::TrafficCounts;

use calloop::channel::{Sender, channel};
use counts::Counters;
use server::Command;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Calls that wait in the kernel to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;

/// A registry that runs; it ends with this value.
pub struct RegistryServer {
    /// Where it listens.
    pub address: SocketAddr,
    commands: Sender<Command>,
    counters: Arc<Counters>,
    thread: Option<JoinHandle<()>>,
}

impl RegistryServer {
    /// Starts one that lists so many ready servers.
    ///
    /// # Errors
    /// Errors of the sockets or the thread.
    pub fn start(servers: usize) -> std::io::Result<RegistryServer> {
        let listener = violetseam_event_io::listen((Ipv4Addr::LOCALHOST, 0).into(), LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (commands, receiver) = channel();
        let server_counters = counters.clone();
        let thread = std::thread::spawn(move || {
            // Without a registry the proxies' watches end, and the benchmark times out with its counts.
            let _ = server::run(listener, receiver, server_counters, servers);
        });
        Ok(RegistryServer { address, commands, counters, thread: Some(thread) })
    }

    /// The counts so far.
    pub fn counts(&self) -> TrafficCounts {
        self.counters.snapshot()
    }

    /// So many servers change their state, as one new version.
    pub fn change_servers(&self, count: usize) {
        self.send(Command::ChangeServers(count));
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.send(Command::CloseConnections);
    }

    fn send(&self, command: Command) {
        // A registry whose thread has ended accepts no commands; its counts no longer change.
        let _ = self.commands.send(command);
    }
}

impl Drop for RegistryServer {
    fn drop(&mut self) {
        self.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}
