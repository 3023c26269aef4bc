//! The servers of a platform: each stands in a place, starts, runs, drains and ends.

use std::collections::BTreeMap;

/// Where a server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It runs from a time on.
    Starting {
        /// That time.
        until: u64,
    },
    /// It runs.
    Running,
    /// It finishes its requests, and ends at a time.
    Draining {
        /// That time.
        until: u64,
    },
}

/// A server in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledServer {
    /// Index of the place.
    pub place: usize,
    /// The build that it runs.
    pub build: u16,
    /// Where it is in its life.
    pub lifecycle: Lifecycle,
}

impl PooledServer {
    /// Whether it runs and is not draining.
    pub fn is_running(&self) -> bool {
        self.lifecycle == Lifecycle::Running
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Draining { .. })
    }

    /// Whether it has not run yet.
    pub fn is_starting(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Starting { .. })
    }
}

/// A server whose start or drain is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Its id.
    pub id: u64,
    /// The server as it is now; draining, if it has ended.
    pub server: PooledServer,
}

/// All servers, by id.
#[derive(Debug)]
pub struct ServerPool {
    servers: BTreeMap<u64, PooledServer>,
    next_id: u64,
}

impl ServerPool {
    /// One running server for each place, with ids 1, 2 and so on.
    pub fn running(places: usize, build: u16) -> Self {
        let running = |place| PooledServer { place, build, lifecycle: Lifecycle::Running };
        let servers = (0..places).map(|place| (place as u64 + 1, running(place))).collect();
        ServerPool { servers, next_id: places as u64 + 1 }
    }

    /// All servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &PooledServer)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// Servers of a build that are not draining.
    pub fn of_build(&self, build: u16) -> impl Iterator<Item = (u64, &PooledServer)> {
        self.iter().filter(move |(_, server)| server.build == build && !server.is_draining())
    }

    /// Starts a server that runs from a time on.
    pub fn launch(&mut self, place: usize, build: u16, running_at: u64) {
        let lifecycle = Lifecycle::Starting { until: running_at };
        self.servers.insert(self.next_id, PooledServer { place, build, lifecycle });
        self.next_id += 1;
    }

    /// Lets a running server drain until a time; the server, if it was running.
    pub fn drain(&mut self, id: u64, until: u64) -> Option<PooledServer> {
        let server = self.servers.get_mut(&id).filter(|server| server.is_running())?;
        server.lifecycle = Lifecycle::Draining { until };
        Some(*server)
    }

    /// Removes a server.
    pub fn remove(&mut self, id: u64) -> Option<PooledServer> {
        self.servers.remove(&id)
    }

    /// Ends the starts and drains that are due: servers that run now, then servers that have ended.
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
        /// Its id.
        server: u64,
        /// Index of the place.
        place: usize,
        /// The build that it runs.
        build: u16,
    },
    /// Finish the requests in flight, and take no more.
    Drain {
        /// Its id.
        server: u64,
    },
    /// End.
    Stop {
        /// Its id.
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
