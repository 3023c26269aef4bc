//! The world of a run: machines that stand in places, the roster, and each proxy with what it was told.

use crate::agenda::{Agenda, Happening};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use violetseam_invariants::record::{Arrival, Finish, Start, State as RuleState};
use violetseam_invariants::{End, Entry, Record};
use violetseam_proxy::engine::Engine;
use violetseam_simulated_site::model::RandomSource as Draws;
use violetseam_simulated_site::model::endpoint_registry::EndpointRegistry;
use violetseam_simulated_site::model::server::{
    Build, DedupCaches, FaultTarget, Reply, Server, ServerRequest,
};
use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointList as Held, EndpointState};

/// Between a proxy and a server, one way, in microseconds.
pub const NETWORK: u64 = 250;

/// A machine in a place.
pub struct Machine {
    pub server: Server,
    pub draining: bool,
    /// Its index, by which faults name it.
    pub fault_target: FaultTarget,
    pub up: bool,
}

/// One attempt on its way.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub proxy: usize,
    pub request: u64,
    pub attempt: usize,
    pub server: u64,
    pub class: usize,
    pub key: u64,
    pub work: u64,
    /// The client's request that it is for.
    pub asked: u64,
    /// It has reached its server.
    pub arrived: bool,
}

/// One proxy.
pub struct Proxy {
    pub engine: Engine,
    pub held: Held,
    /// The roster's version that it has been told.
    pub version: Option<u64>,
    pub follows: bool,
    /// The client's request of each of its own.
    pub requests: HashMap<u64, u64>,
    pub due: u64,
}

pub struct World {
    pub day: Scenario,
    pub rng: Draws,
    pub now: u64,
    pub agenda: Agenda,
    pub machines: BTreeMap<u64, Machine>,
    pub by_place: BTreeMap<(u32, u16), u64>,
    pub next_machine: u64,
    generations: Vec<usize>,
    pub roster: EndpointRegistry,
    pub attempts: BTreeMap<u64, Attempt>,
    pub next_attempt: u64,
    dedup_caches: DedupCaches,
    pub entries: Vec<Entry>,
    pub newest: u16,
    pub lately: (f64, f64),
}

impl World {
    pub fn new(day: Scenario, rng: Draws) -> World {
        let places = day.servers.len();
        let mut world = World {
            rng,
            now: 0,
            agenda: Agenda::default(),
            machines: BTreeMap::new(),
            by_place: BTreeMap::new(),
            next_machine: 1,
            generations: vec![0; places],
            roster: EndpointRegistry::default(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            dedup_caches: DedupCaches::default(),
            entries: Vec::new(),
            newest: day.rollout.first_build,
            lately: (0.0, 1.0),
            day,
        };
        for place in 0..places {
            world.start(place as u32, world.day.rollout.first_build, true);
        }
        world
    }

    pub fn see(&mut self, record: Record) {
        self.entries.push(Entry { at: self.now, record });
    }

    /// A trouble of this kind that is going on.
    pub fn active(&self, kind: FaultKind) -> Option<&Fault> {
        let now = self.now;
        self.day.active_faults(now).find(|fault| fault.kind == kind)
    }

    pub fn build(&self, number: u16) -> Build {
        Build::in_scenario(&self.day, number)
    }

    /// A machine starts in a place; the roster lists it a while later, or at once before the day.
    pub fn start(&mut self, place: u32, build: u16, warm: bool) {
        let (n, machine) = (self.day.servers.len(), self.next_machine);
        self.next_machine += 1;
        let index = place as usize + n * self.generations[place as usize];
        self.generations[place as usize] += 1;
        let spec = self.day.server_spec(index).clone();
        let server = Server::start(spec, self.build(build), self.now, warm);
        if !warm {
            let (cold_from, cold_span) = (server.spec.slow_start_floor, server.spec.slow_start_span);
            let start = Start { capacity: server.capacity(), cold_from, cold_span };
            self.see(Record::Started { server: machine, start });
        }
        let entry =
            Machine { server, draining: false, fault_target: FaultTarget { index, next_pause: 0 }, up: true };
        self.machines.insert(machine, entry);
        self.by_place.insert((place, build), machine);
        let at = if warm { self.now } else { self.now + self.day.discovery.startup_delay };
        self.list(at, machine, EndpointState::Ready);
    }

    /// A machine drains, and later ends.
    pub fn drain(&mut self, place: u32, build: u16) {
        let Some(machine) = self.by_place.get(&(place, build)).copied() else { return };
        if let Some(m) = self.machines.get_mut(&machine) {
            m.draining = true;
        }
        self.list(self.now + self.day.discovery.drain_delay, machine, EndpointState::Draining);
    }

    pub fn end(&mut self, place: u32, build: u16) {
        let Some(machine) = self.by_place.remove(&(place, build)) else { return };
        self.list(self.now + self.day.discovery.drain_delay, machine, EndpointState::Gone);
        self.lose(machine);
        self.machines.remove(&machine);
    }

    /// Everything that a machine held is lost, and its proxies notice at once.
    pub fn lose(&mut self, machine: u64) {
        let lost: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.server == machine && a.arrived).map(|(n, _)| *n).collect();
        for number in lost {
            self.see(Record::Ended(Finish { number, end: End::Lost }));
            self.agenda.at(self.now + NETWORK, Happening::Unreachable(number));
        }
    }

    fn list(&mut self, at: u64, machine: u64, state: EndpointState) {
        let Some(m) = self.machines.get(&machine) else { return };
        let late = self.active(FaultKind::DiscoveryDelay).map_or(0, |t| (t.magnitude * 1e6) as u64);
        let octets = machine.to_be_bytes();
        let line = Endpoint {
            id: machine,
            // Nobody connects to it: it only has to be one.
            addr: std::net::SocketAddr::from(([127, octets[5], octets[6], octets[7]], 1)),
            build: m.server.build.number,
            state,
            zone: m.server.spec.zone,
            cell: m.server.spec.cell,
            size: m.server.spec.cores,
            age_us: None,
        };
        let started = m.server.listed_start();
        self.roster.schedule_change(at + late, line, started);
        self.agenda.at(at + late, Happening::Roster);
    }

    /// An attempt reaches its server.
    pub fn reaches(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let Attempt { proxy, server, class, key, work, asked, .. } = *attempt;
        let back = self.now + NETWORK;
        let Some(m) = self.machines.get_mut(&server).filter(|m| m.up && !m.server.collapsed) else {
            return self.agenda.at(back, Happening::Unreachable(number));
        };
        attempt.arrived = true;
        let (build, zone, cell) = (m.server.build.number, m.server.spec.zone, m.server.spec.cell);
        let newest = build > self.day.rollout.first_build && build == self.newest;
        self.lately = (self.lately.0 + f64::from(u8::from(newest)), self.lately.1 + 1.0);
        let arrival = Arrival {
            number,
            request: asked,
            proxy: proxy as u32,
            server,
            build,
            place: (zone, cell),
            class,
            key,
            work,
        };
        let draining = m.draining;
        self.see(Record::Arrived(arrival));
        if draining {
            return self.reply(number, Reply::NotRun);
        }
        let spec = &self.day.classes[class];
        let request = ServerRequest { id: number, class, key, work: work as f64 };
        let limit = self.day.service_rules.overload_limit();
        let Some(m) = self.machines.get_mut(&server) else { return };
        let is_duplicate = self.dedup_caches.is_duplicate(self.now, spec, class, key, &m.server.spec);
        let at_once = m.server.accept(self.now, request, is_duplicate, limit, &mut self.rng);
        let due = m.server.next_completion();
        if let Some(reply) = at_once {
            self.reply(number, reply);
        } else if self.machines.get(&server).is_some_and(|m| m.server.collapsed) {
            self.lose(server);
        } else if let Some(due) = due {
            self.agenda.at(due, Happening::Server(server));
        }
    }

    /// A server's replies that are due.
    pub fn serve(&mut self, machine: u64) {
        let Some(m) = self.machines.get_mut(&machine).filter(|m| m.up) else { return };
        let mut replies = Vec::new();
        m.server.take_completed(self.now, &mut replies);
        let due = m.server.next_completion();
        if let Some(due) = due {
            self.agenda.at(due.max(self.now + 1), Happening::Server(machine));
        }
        for completed in replies {
            self.reply(completed.id, completed.reply);
        }
    }

    fn reply(&mut self, number: u64, reply: Reply) {
        let end = match reply {
            Reply::Ok { .. } => End::Ok,
            Reply::Error => End::Error,
            Reply::NotRun => End::NotRun,
        };
        self.see(Record::Ended(Finish { number, end }));
        self.agenda.at(self.now + NETWORK, Happening::Returns(number, reply));
    }

    /// A server notices that a proxy went away.
    pub fn given_up(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number).filter(|a| a.arrived) else { return };
        if let Some(m) = self.machines.get_mut(&attempt.server) {
            m.server.cancel(self.now, number);
            if let Some(due) = m.server.next_completion() {
                self.agenda.at(due.max(self.now + 1), Happening::Server(attempt.server));
            }
        }
        self.see(Record::Ended(Finish { number, end: End::Lost }));
    }

    /// Troubles that go on now, as they strike each machine.
    pub fn apply_faults(&mut self) {
        let drag = self.build(self.newest).fleet_slowdown(self.lately.0 / self.lately.1.max(1e-9));
        self.lately = (self.lately.0 * 0.98, self.lately.1 * 0.98 + 0.01);
        let now = self.now;
        let going: Vec<Fault> = self.day.active_faults(now).cloned().collect();
        let mut lost = Vec::new();
        let mut back = BTreeSet::new();
        for (&machine, m) in &mut self.machines {
            let down = going
                .iter()
                .any(|t| t.kind == FaultKind::ServerCrash && t.targets.contains(&m.fault_target.index));
            m.fault_target.apply_faults(&mut m.server, drag, now, going.iter());
            if m.up && down {
                m.up = false;
                lost.push(machine);
            } else if !m.up && !down {
                back.insert(machine);
            }
        }
        for machine in lost {
            self.lose(machine);
            self.list(now + self.day.discovery.crash_delay, machine, EndpointState::Gone);
        }
        for machine in back {
            self.come_back(machine);
        }
    }

    /// A machine that died is there again, cold.
    fn come_back(&mut self, machine: u64) {
        let now = self.now;
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.server = Server::start(m.server.spec.clone(), m.server.build.clone(), now, false);
        m.up = true;
        let state = if m.draining { EndpointState::Draining } else { EndpointState::Ready };
        let (cold_from, cold_span) = (m.server.spec.slow_start_floor, m.server.spec.slow_start_span);
        let start = Start { capacity: m.server.capacity(), cold_from, cold_span };
        self.see(Record::Started { server: machine, start });
        self.list(now + self.day.discovery.startup_delay, machine, state);
    }
}

/// A state as the checker knows it.
pub fn rule_state(state: EndpointState) -> RuleState {
    match state {
        EndpointState::Ready => RuleState::Ready,
        EndpointState::Draining => RuleState::Draining,
        EndpointState::Gone => RuleState::Gone,
    }
}
