//! The servers that the simulated platform runs. Each server occupies a place, and starts, runs, drains and
//! stops.

use std::collections::BTreeMap;

/// The lifecycle state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The server is starting and does not run yet.
    Starting {
        /// When the server runs.
        until: u64,
    },
    /// The server runs.
    Running,
    /// The server finishes its requests in flight and takes no new ones.
    Draining {
        /// When the server stops.
        until: u64,
    },
}

/// A server of the pool, with the place that it occupies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledServer {
    /// Index of the place.
    pub place: usize,
    /// The build that the server runs.
    pub build: u16,
    /// The server's lifecycle state.
    pub lifecycle: Lifecycle,
}

impl PooledServer {
    /// Whether the server runs and is not draining.
    pub fn is_running(&self) -> bool {
        self.lifecycle == Lifecycle::Running
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Draining { .. })
    }

    /// Whether the server is still starting.
    pub fn is_starting(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Starting { .. })
    }
}

/// A server that has finished starting or draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The server's id.
    pub id: u64,
    /// The server's state now: `Running` after its start, still `Draining` if it has stopped.
    pub server: PooledServer,
}

/// All servers of the platform, by id.
#[derive(Debug)]
pub struct ServerPool {
    servers: BTreeMap<u64, PooledServer>,
    next_id: u64,
}

impl ServerPool {
    /// Creates a pool with one running server in each place. The ids are 1, 2 and so on.
    pub fn running(places: usize, build: u16) -> Self {
        let running = |place| PooledServer { place, build, lifecycle: Lifecycle::Running };
        let servers = (0..places).map(|place| (place as u64 + 1, running(place))).collect();
        ServerPool { servers, next_id: places as u64 + 1 }
    }

    /// Iterates over all servers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &PooledServer)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// Iterates over the servers of a build that are not draining.
    pub fn of_build(&self, build: u16) -> impl Iterator<Item = (u64, &PooledServer)> {
        self.iter().filter(move |(_, server)| server.build == build && !server.is_draining())
    }

    /// Starts a server in a place. The server runs once `running_at` is reached.
    pub fn start(&mut self, place: usize, build: u16, running_at: u64) {
        let lifecycle = Lifecycle::Starting { until: running_at };
        self.servers.insert(self.next_id, PooledServer { place, build, lifecycle });
        self.next_id += 1;
    }

    /// Drains a running server until a time, and returns it. Returns `None` if the server was not running.
    pub fn drain(&mut self, id: u64, until: u64) -> Option<PooledServer> {
        let server = self.servers.get_mut(&id).filter(|server| server.is_running())?;
        server.lifecycle = Lifecycle::Draining { until };
        Some(*server)
    }

    /// Removes a server from the pool at once, and returns it if it was there.
    pub fn remove(&mut self, id: u64) -> Option<PooledServer> {
        self.servers.remove(&id)
    }

    /// Completes the starts and drains that are due. Returns first the servers that run now, then those that
    /// have stopped; stopped servers are removed from the pool.
    pub fn advance(&mut self, now: u64) -> Vec<Transition> {
        let mut started = Vec::new();
        let mut ended = Vec::new();
        for (&id, server) in &mut self.servers {
            match server.lifecycle {
                Lifecycle::Starting { until } if until <= now => {
                    server.lifecycle = Lifecycle::Running;
                    started.push(Transition { id, server: *server });
                }
                Lifecycle::Draining { until } if until <= now => {
                    ended.push(Transition { id, server: *server });
                }
                _ => {}
            }
        }
        for transition in &ended {
            self.servers.remove(&transition.id);
        }
        started.extend(ended);
        started
    }
}

/// A command to a server of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// Start a server in a place.
    Start {
        /// The server's id.
        server: u64,
        /// Index of the place.
        place: usize,
        /// The build that the server runs.
        build: u16,
    },
    /// Let the server finish its requests in flight and take no new ones.
    Drain {
        /// The server's id.
        server: u64,
    },
    /// Stop the server.
    Stop {
        /// The server's id.
        server: u64,
    },
}

impl From<Transition> for ServerCommand {
    fn from(transition: Transition) -> Self {
        let Transition { id, server } = transition;
        if server.is_draining() {
            ServerCommand::Stop { server: id }
        } else {
            ServerCommand::Start { server: id, place: server.place, build: server.build }
        }
    }
}
