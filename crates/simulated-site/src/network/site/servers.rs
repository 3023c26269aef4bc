//! The life cycle of simulated servers: how they start, drain, stop, crash and start again, and how the
//! endpoint list follows that.

use super::listeners::listen;
use super::state::{Listener, SimulatedServer, Site, recorded_status};
use crate::model::release_service::ServerCommand;
use crate::model::server::{Build, FaultTarget, Server};
use crate::network::NetworkError;
use crate::scenario::FaultKind;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::rc::Rc;
use violetseam_invariants::ObservedEvent;
use violetseam_invariants::ServerStart;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState};

impl Site {
    /// Carries out a command of the release service for a server.
    pub(super) fn execute_command(&mut self, now: u64, command: ServerCommand) {
        match command {
            ServerCommand::Start { server, place, build } => self.start_successor(now, server, place, build),
            ServerCommand::Drain { server } => {
                if let Some(entry) = self.servers.get_mut(&server) {
                    entry.is_draining = true;
                }
                self.schedule_listing(
                    now + self.scenario.discovery.drain_delay,
                    server,
                    EndpointState::Draining,
                );
            }
            ServerCommand::Stop { server } => {
                self.schedule_listing(now + self.scenario.discovery.drain_delay, server, EndpointState::Gone);
                self.stop_server(server);
                self.servers.remove(&server);
            }
        }
    }

    /// Starts another server in a place that has had servers before.
    fn start_successor(&mut self, now: u64, server: u64, place: usize, build: u16) {
        let index = place + self.scenario.servers.len() * self.servers_started_by_place[place];
        self.servers_started_by_place[place] += 1;
        let build = Build::in_scenario(&self.scenario, build);
        match self.start_server(server, index, build, false) {
            Ok(()) => self.schedule_listing(
                now + self.scenario.discovery.startup_delay,
                server,
                EndpointState::Ready,
            ),
            Err(e) => self.log(format!("cannot start server {server}: {e}")),
        }
    }

    /// Starts a server. Faults refer to the server by `index`. A `warm` server counts as having run for a
    /// long time, so it needs no warm-up and its start is not recorded.
    pub(super) fn start_server(
        &mut self,
        server: u64,
        index: usize,
        build: Build,
        warm: bool,
    ) -> Result<(), NetworkError> {
        let now = self.clock.now();
        let spec = self.scenario.server_spec(index).clone();
        let model = Server::start(spec, build, now, warm);
        if !warm {
            self.record_start(server, &model);
        }
        let listener = self.listen_for_server(server)?;
        // The first pause is offset by the server's id, so that servers pause at different times.
        let next_pause = now + (server * 7_919 % 1_000) * 1_000;
        let entry = SimulatedServer {
            model,
            listener: Some(listener),
            fault_target: FaultTarget { index, next_pause },
            is_unreachable: false,
            is_draining: false,
            down_until: None,
        };
        self.servers.insert(server, entry);
        Ok(())
    }

    fn record_start(&mut self, server: u64, model: &Server) {
        let start = ServerStart {
            capacity: model.capacity(),
            slow_start_floor: model.spec.slow_start_floor,
            slow_start_span: model.spec.slow_start_span,
        };
        self.record(ObservedEvent::ServerStarted { server, start });
    }

    fn listen_for_server(&mut self, server: u64) -> Result<Listener, NetworkError> {
        let address = self.addresses.server(server);
        let socket = Rc::new(listen(address)?);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let inserted = self.handle.insert_source(source, move |_, socket, site: &mut Site| {
            site.accept_for_server(server, socket);
            Ok(PostAction::Continue)
        });
        let token = inserted.map_err(|e| NetworkError::Register { address, source: e.error })?;
        Ok(Listener { socket, token })
    }

    /// Simulates the end of a server's process: the server stops listening, and all attempts in flight on it
    /// are lost.
    pub(super) fn stop_server(&mut self, server: u64) {
        if let Some(listener) = self.servers.get_mut(&server).and_then(|entry| entry.listener.take()) {
            self.handle.remove(listener.token);
        }
        self.close_connections_to_server(server);
    }

    /// Schedules a change of a server's entry on the endpoint list, which becomes visible at `at` plus the
    /// delay of an active discovery fault.
    pub(super) fn schedule_listing(&mut self, at: u64, server: u64, state: EndpointState) {
        let Some(entry) = self.servers.get(&server) else { return };
        let spec = &entry.model.spec;
        let endpoint = Endpoint {
            id: server,
            addr: self.addresses.server(server),
            build: entry.model.build.number,
            state,
            zone: spec.zone,
            cell: spec.cell,
            size: spec.cores,
            age_us: None,
        };
        let started_at = entry.model.listed_start();
        let visible_at = at + self.injected_delay(FaultKind::DiscoveryDelay);
        self.registry.schedule_change(visible_at, endpoint, started_at);
    }

    /// Makes the due changes of the endpoint list visible, and sends them to the watching proxies.
    pub(super) fn publish_endpoint_changes(&mut self) {
        let now = self.clock.now();
        let changes = self.registry.apply_due(now);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.record(ObservedEvent::ServerListed {
                server: change.server,
                status: recorded_status(change.state),
            });
        }
        self.notify_endpoint_watches(now);
    }

    /// Crashes a server, which starts again at `restarts_at`. If the restart is due to be listed
    /// no later than the crash, the crash is never listed.
    pub(super) fn crash(&mut self, now: u64, server: u64, restarts_at: u64) {
        self.stop_server(server);
        let Some(entry) = self.servers.get_mut(&server) else { return };
        entry.down_until = Some(restarts_at);
        let crash_listed_at = now + self.scenario.discovery.crash_delay;
        let restart_listed_at = restarts_at + self.scenario.discovery.startup_delay;
        if crash_listed_at < restart_listed_at {
            self.schedule_listing(crash_listed_at, server, EndpointState::Gone);
        }
    }

    /// Restarts the crashed servers whose restart is due. Their caches are cold.
    pub(super) fn restart_crashed_servers(&mut self, now: u64) {
        let is_due = |entry: &SimulatedServer| entry.down_until.is_some_and(|at| at <= now);
        let due: Vec<u64> =
            self.servers.iter().filter(|(_, entry)| is_due(entry)).map(|(id, _)| *id).collect();
        for server in due {
            match self.listen_for_server(server) {
                Ok(listener) => self.restart(now, server, listener),
                Err(e) => self.log(format!("cannot restart server {server} after a crash: {e}")),
            }
        }
    }

    fn restart(&mut self, now: u64, server: u64, listener: Listener) {
        let Some(entry) = self.servers.get_mut(&server) else { return };
        entry.down_until = None;
        entry.listener = Some(listener);
        let state = if entry.is_draining { EndpointState::Draining } else { EndpointState::Ready };
        let model = Server::start(entry.model.spec.clone(), entry.model.build.clone(), now, false);
        self.record_start(server, &model);
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.model = model;
        }
        self.schedule_listing(now + self.scenario.discovery.startup_delay, server, state);
    }

    /// Stops the servers that have collapsed under overload.
    pub(super) fn stop_collapsed_servers(&mut self) {
        let has_collapsed = |entry: &SimulatedServer| entry.model.collapsed && entry.listener.is_some();
        let collapsed: Vec<u64> =
            self.servers.iter().filter(|(_, entry)| has_collapsed(entry)).map(|(id, _)| *id).collect();
        for server in collapsed {
            self.log(format!("server {server} collapsed because it was overloaded while warming up"));
            self.report.collapsed.push(server);
            self.stop_server(server);
        }
    }
}
