//! Machines: how they start, stop, crash and come back, and how the roster lists them.

use super::NetworkError;
use super::listen;
use super::state::{Machine, Site, rule_state};
use crate::model::server::{Build, FaultTarget, Server};
use crate::scenario::{Fault, FaultKind};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::net::TcpListener;
use std::rc::Rc;
use violetseam_invariants::{ObservedEvent, ServerStart};
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState};

impl Site {
    pub(super) fn start_machine(
        &mut self,
        machine: u64,
        index: usize,
        build: Build,
        warm: bool,
    ) -> Result<(), NetworkError> {
        let n = self.scenario.servers.len();
        let spec = match index.checked_sub(n) {
            None => self.scenario.servers[index].clone(),
            Some(i) if !self.scenario.spares.is_empty() => {
                self.scenario.spares[i % self.scenario.spares.len()].clone()
            }
            Some(i) => self.scenario.servers[i % n].clone(),
        };
        let now = self.clock.now();
        let server = Server::start(spec, build, now, warm);
        if !warm {
            self.see_start(machine, &server);
        }
        let listener = self.listen_server(machine)?;
        let next_pause = now + (machine * 7_919 % 1_000) * 1_000;
        let entry = Machine {
            server,
            listener: Some(listener),
            fault_target: FaultTarget { index, next_pause },
            silent: false,
            draining: false,
            down_until: None,
        };
        self.machines.insert(machine, entry);
        Ok(())
    }

    fn see_start(&mut self, machine: u64, server: &Server) {
        let (cold_from, cold_span) = (server.spec.slow_start_floor, server.spec.slow_start_span);
        let start = ServerStart {
            capacity: server.capacity(),
            slow_start_floor: cold_from,
            slow_start_span: cold_span,
        };
        self.see(ObservedEvent::ServerStarted { server: machine, start });
    }

    fn listen_server(&mut self, machine: u64) -> Result<(Rc<TcpListener>, RegistrationToken), NetworkError> {
        let address = self.net.server(machine);
        let listener = Rc::new(listen(address)?);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, move |_, listener, site: &mut Site| {
                site.accept_server(machine, listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| NetworkError::Register { address, source: e.error })?;
        Ok((listener, token))
    }

    /// The process ends: everything it held is lost.
    pub(super) fn stop_machine(&mut self, machine: u64) {
        if let Some((_, token)) = self.machines.get_mut(&machine).and_then(|m| m.listener.take()) {
            self.handle.remove(token);
        }
        self.close_connections_of(machine);
    }

    /// Lists a machine so at a moment; later while the roster is late.
    pub(super) fn list(&mut self, at: u64, machine: u64, state: EndpointState) {
        let Some(m) = self.machines.get(&machine) else { return };
        let late = self.active(FaultKind::DiscoveryDelay).map_or(0, |t| (t.magnitude * 1e6) as u64);
        let line = Endpoint {
            id: machine,
            addr: self.net.server(machine),
            build: m.server.build.number,
            state,
            zone: m.server.spec.zone,
            cell: m.server.spec.cell,
            size: m.server.spec.cores,
            age_us: None,
        };
        let started = if m.server.warm_fraction(m.server.started_at) < 1.0 { m.server.started_at } else { 0 };
        self.roster.schedule_change(at + late, line, started);
    }

    pub(super) fn list_due(&mut self) {
        let now = self.clock.now();
        let changed = self.roster.apply_due(now);
        for change in &changed {
            self.see(ObservedEvent::ServerListed { server: change.server, status: rule_state(change.state) });
        }
        if !changed.is_empty() {
            self.tell_roster(now);
        }
    }

    pub(super) fn hit_by(&self, trouble: &Fault) -> Vec<u64> {
        let zone = trouble.kind == FaultKind::ZoneOutage;
        let hit = self.machines.iter().filter(|(_, m)| match zone {
            true => usize::from(m.server.spec.zone) == trouble.selector,
            false => trouble.targets.contains(&m.fault_target.index),
        });
        hit.map(|(id, _)| *id).collect()
    }

    /// A machine dies and comes back cold.
    pub(super) fn crash(&mut self, now: u64, machine: u64, back_at: u64) {
        self.stop_machine(machine);
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.down_until = Some(back_at);
        let (noticed, back) =
            (now + self.scenario.discovery.crash_delay, back_at + self.scenario.discovery.startup_delay);
        if noticed < back {
            self.list(noticed, machine, EndpointState::Gone);
        }
    }

    pub(super) fn come_back(&mut self, now: u64) {
        let back: Vec<u64> = self
            .machines
            .iter()
            .filter(|(_, m)| m.down_until.is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for machine in back {
            let listener = match self.listen_server(machine) {
                Ok(listener) => listener,
                Err(e) => {
                    let _ = self.say.send(format!("machine {machine} does not come back: {e}"));
                    continue;
                }
            };
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            (m.down_until, m.listener) = (None, Some(listener));
            let (spec, build) = (m.server.spec.clone(), m.server.build.clone());
            let (server, draining) = (Server::start(spec, build, now, false), m.draining);
            self.see_start(machine, &server);
            self.machines.entry(machine).and_modify(|m| m.server = server);
            let state = if draining { EndpointState::Draining } else { EndpointState::Ready };
            self.list(now + self.scenario.discovery.startup_delay, machine, state);
        }
    }

    /// Servers that fell over answer nobody any more.
    pub(super) fn collapse(&mut self) {
        let fallen: Vec<u64> = self
            .machines
            .iter()
            .filter(|(_, m)| m.server.collapsed && m.listener.is_some())
            .map(|(id, _)| *id)
            .collect();
        for machine in fallen {
            let _ = self.say.send(format!("machine {machine} was pushed over while cold"));
            self.report.collapsed.push(machine);
            self.stop_machine(machine);
        }
    }
}
