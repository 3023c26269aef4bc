//! Servers, roster, desk and the peers' network on one loop.
//!
//! The loop's turn: what came over the sockets (`site_http.rs`), then what is due by the clock here:
//! replies of servers, lines of the roster, the desk's turn, troubles that begin and end.

use super::Net;
use super::relay::Relay;
use super::remote::Remote;
use super::site_http::{Conn, Kept};
use crate::Clock;
use crate::day::{Day, Kind, Trouble};
use crate::model::Rng;
use crate::model::desk::{Command, Desk, Fate};
use crate::model::roster::Roster;
use crate::model::server::{Build, KeyMemory, Reply, Server, strike};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rand::SeedableRng;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;
use violetseam_audit::record::{Phase as RulePhase, Start, State as RuleState};
use violetseam_audit::{End, Entry, Finish, Record};
use violetseam_site::desk::{News, PhaseName};
use violetseam_site::roster::{Line, State};

/// Between two turns of the desk and of troubles, in microseconds.
const TURN: u64 = 20_000;

/// A machine: a server, its listener and its place in the fleet.
pub struct Machine {
    pub(super) server: Server,
    pub(super) listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// Its number among the day's servers: its place, plus the number of places for each machine that stood
    /// there before it. Troubles name places so, with all that will stand in them.
    index: usize,
    /// It answers nobody and closes nothing.
    pub(super) silent: bool,
    pub(super) draining: bool,
    /// A crash keeps it down until then.
    down_until: Option<u64>,
    next_pause: u64,
}

/// What the site saw, given back at the end.
#[derive(Debug, Default)]
pub struct SiteReport {
    /// Records for the rule checker.
    pub entries: Vec<Entry>,
    /// What became of the builds, and whether each was bad.
    pub fates: Vec<(Fate, bool)>,
    /// Servers that fell over.
    pub collapsed: Vec<u64>,
    /// Attempts by what servers answered: ok, error, not run.
    pub replies: [u64; 3],
    /// Votes that counted, by proxy.
    pub votes: BTreeMap<usize, u64>,
    /// Connections and requests still open at the end, not counting idle ones.
    pub left_open: usize,
}

/// Who decides on releases.
pub(super) enum Releases {
    /// The stand-in desk.
    StandIn(Box<Desk>),
    /// A controller, as a process of its own.
    Controller(Box<Remote>),
}

impl Releases {
    pub fn news(&self) -> News {
        match self {
            Releases::StandIn(desk) => desk.news(),
            Releases::Controller(remote) => remote.news(),
        }
    }

    fn advance(&mut self, now: u64, down: bool, out: &mut Vec<Command>) {
        match self {
            Releases::StandIn(desk) => desk.advance(now, down, out),
            Releases::Controller(remote) => remote.advance(now, out),
        }
    }

    fn fates(&self) -> &[Fate] {
        match self {
            Releases::StandIn(desk) => &desk.fates,
            Releases::Controller(remote) => &remote.fates,
        }
    }
}

/// All of it.
pub struct Site {
    pub(super) clock: Clock,
    pub(super) day: Rc<Day>,
    pub(super) net: Net,
    pub(super) handle: LoopHandle<'static, Site>,
    pub(super) rng: Rng,
    pub(super) machines: BTreeMap<u64, Machine>,
    pub(super) conns: Slab<Conn>,
    pub(super) kept: Kept,
    pub(super) roster: Roster,
    pub(super) desk: Releases,
    pub(super) relay: Relay,
    pub(super) entries: Vec<Entry>,
    pub(super) say: Sender<String>,
    pub(super) report: SiteReport,
    /// Memories of keys, by group: 0 for all, zones and cells from there.
    pub(super) memories: HashMap<u32, KeyMemory>,
    /// News as they were, to be told late.
    news: Vec<(u64, News)>,
    /// Machines that have stood in each place.
    generations: Vec<usize>,
    next_turn: u64,
    struck: Vec<bool>,
    replies: Vec<(u64, Reply)>,
    /// Attempts at the newest build and at all, lately; for builds that drag everything down.
    pub(super) lately: (f64, f64),
}

/// Runs the site until told to stop, and a little longer. With `controller`, the one at [`Net::controller`]
/// decides on releases, else the stand-in desk.
pub fn run(
    day: &Day,
    net: Net,
    controller: bool,
    clock: Clock,
    stop: &Arc<AtomicBool>,
    ready: &Sender<()>,
    say: Sender<String>,
) -> std::io::Result<SiteReport> {
    let mut event_loop: EventLoop<'static, Site> = EventLoop::try_new().map_err(std::io::Error::other)?;
    let mut site = Site::new(day, net, controller, clock, event_loop.handle(), say)?;
    let _ = ready.send(());
    while !stop.load(Ordering::Relaxed) {
        let now = clock.now();
        let due = site.due().saturating_sub(now).min(TURN);
        event_loop.dispatch(Duration::from_micros(due), &mut site).map_err(std::io::Error::other)?;
        site.advance();
    }
    Ok(site.finish())
}

impl Site {
    fn new(
        day: &Day,
        net: Net,
        controller: bool,
        clock: Clock,
        handle: LoopHandle<'static, Site>,
        say: Sender<String>,
    ) -> std::io::Result<Site> {
        let relay = Relay::bind(&handle, net, day.proxies.len())?;
        let (rollout, places) = (day.rollout.clone(), day.servers.len());
        let desk = if controller {
            Releases::Controller(Box::new(Remote::start(net.controller(), rollout, places)?))
        } else {
            Releases::StandIn(Box::new(Desk::new(rollout, day.releases.clone(), day.proxies.len(), places)))
        };
        let mut site = Site {
            clock,
            net,
            rng: Rng::seed_from_u64(day.seed ^ 0x5173),
            machines: BTreeMap::new(),
            conns: Slab::new(),
            kept: Kept::default(),
            roster: Roster::default(),
            news: vec![(0, desk.news())],
            desk,
            relay,
            entries: Vec::new(),
            say,
            report: SiteReport::default(),
            memories: HashMap::new(),
            generations: vec![1; day.servers.len()],
            next_turn: 0,
            struck: vec![false; day.troubles.len()],
            replies: Vec::new(),
            lately: (0.0, 1.0),
            handle,
            day: Rc::new(day.clone()),
        };
        site.listen_http(net.roster(), super::site_http::Role::Roster)?;
        site.listen_http(net.desk(), super::site_http::Role::Desk)?;
        let build = Build::sound(day.rollout.first_build);
        for place in 0..day.servers.len() {
            let machine = place as u64 + 1;
            site.start_machine(machine, place, build.clone(), true)?;
            site.list(0, machine, State::Ready);
        }
        site.list_due();
        Ok(site)
    }

    pub(super) fn see(&mut self, record: Record) {
        let at = self.clock.now();
        self.entries.push(Entry { at, record });
    }

    /// A trouble of this kind that is going on.
    pub(super) fn active(&self, kind: Kind) -> Option<&Trouble> {
        self.all_active(kind).next()
    }

    /// All of them.
    pub(super) fn all_active(&self, kind: Kind) -> impl Iterator<Item = &Trouble> {
        let now = self.clock.now();
        self.day.troubles.iter().filter(move |t| t.kind == kind && t.at <= now && now < t.at + t.len)
    }

    /// Whether a proxy is cut off by a trouble of this kind.
    pub(super) fn cut_off(&self, kind: Kind, proxy: u32) -> bool {
        self.all_active(kind).any(|t| t.on.contains(&(proxy as usize)))
    }

    /// Whether a proxy and a machine hear nothing of each other.
    pub(super) fn out_of_reach(&self, proxy: u32, machine: u64) -> bool {
        let zone = self.machines.get(&machine).map(|m| usize::from(m.server.spec.zone));
        self.all_active(Kind::ServersCut).any(|t| t.on.contains(&(proxy as usize)) && zone == Some(t.which))
    }

    fn due(&self) -> u64 {
        let servers = self.machines.values().filter(|m| !m.silent).filter_map(|m| m.server.due());
        let others = self.roster.due().into_iter().chain(self.relay.due()).chain(self.kept.due());
        servers.chain(others).chain([self.next_turn]).min().unwrap_or(0)
    }

    fn advance(&mut self) {
        let now = self.clock.now();
        let mut replies = std::mem::take(&mut self.replies);
        for machine in self.machines.values_mut().filter(|m| !m.silent) {
            machine.server.advance(now, &mut replies);
        }
        for (job, reply) in replies.drain(..) {
            self.reply(job, reply);
        }
        self.replies = replies;
        self.list_due();
        self.relay.advance(now);
        self.play_kept(now);
        if now >= self.next_turn {
            self.next_turn = now + TURN;
            self.troubles(now);
            self.turn(now);
        }
    }

    /// The desk's turn.
    fn turn(&mut self, now: u64) {
        let down = self.active(Kind::DeskSilent).is_some();
        let (before, mut commands) = (self.desk.news(), Vec::new());
        self.desk.advance(now, down, &mut commands);
        for command in commands {
            self.obey(now, command);
        }
        let news = self.desk.news();
        if (news.build, news.stage, news.phase) != (before.build, before.stage, before.phase) {
            let (build, stage, phase) = (news.build, news.stage, news.phase);
            let _ = self.say.send(format!("build {build}: stage {stage}, {phase:?}"));
        }
        if news != before {
            self.news.push((now, news));
        }
        self.pass_replies(now);
        self.tell_news(now);
        self.lately = (self.lately.0 * 0.98, self.lately.1 * 0.98 + 0.01);
    }

    /// The news as the desk tells them at a moment: those of a while ago.
    pub(super) fn news_told(&self, now: u64) -> News {
        let late = self.active(Kind::DeskLate).map_or(0, |t| (t.size * 1e6) as u64);
        let seen = now.saturating_sub(self.day.rollout.told_late + late);
        let known = self.news.iter().rev().find(|n| n.0 <= seen);
        known.or(self.news.first()).map_or_else(|| self.desk.news(), |n| n.1)
    }

    /// Records news as told to a proxy.
    pub(super) fn see_news(&mut self, proxy: u32, news: News) {
        let phase = match news.phase {
            PhaseName::Trial => RulePhase::Trial,
            PhaseName::RollingBack => RulePhase::RollingBack,
            PhaseName::Released => RulePhase::Released,
            PhaseName::Withdrawn => RulePhase::Withdrawn,
        };
        self.see(Record::News { proxy, build: news.build, stage: news.stage, phase, cap: news.cap });
    }

    fn build(&self, number: u16) -> Build {
        let first = self.day.rollout.first_build;
        match self.day.releases.get(usize::from(number - first).wrapping_sub(1)) {
            Some(release) => Build::offered(number, release),
            None => Build::sound(number),
        }
    }

    fn obey(&mut self, now: u64, command: Command) {
        match command {
            Command::Start { machine, place, build } => {
                let index = place + self.day.servers.len() * self.generations[place];
                self.generations[place] += 1;
                let build = self.build(build);
                match self.start_machine(machine, index, build, false) {
                    Ok(()) => self.list(now + self.day.roster.add, machine, State::Ready),
                    Err(e) => drop(self.say.send(format!("machine {machine} does not start: {e}"))),
                }
            }
            Command::Drain { machine } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.draining = true;
                }
                self.list(now + self.day.roster.notice, machine, State::Draining);
            }
            Command::Stop { machine } => {
                self.list(now + self.day.roster.notice, machine, State::Gone);
                self.stop_machine(machine);
                self.machines.remove(&machine);
            }
        }
    }

    fn start_machine(&mut self, machine: u64, index: usize, build: Build, warm: bool) -> std::io::Result<()> {
        let n = self.day.servers.len();
        let spec = match index.checked_sub(n) {
            None => self.day.servers[index].clone(),
            Some(i) if !self.day.spares.is_empty() => self.day.spares[i % self.day.spares.len()].clone(),
            Some(i) => self.day.servers[i % n].clone(),
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
            index,
            silent: false,
            draining: false,
            down_until: None,
            next_pause,
        };
        self.machines.insert(machine, entry);
        Ok(())
    }

    fn see_start(&mut self, machine: u64, server: &Server) {
        let (cold_from, cold_span) = (server.spec.cold_from, server.spec.cold_span);
        let start = Start { capacity: server.capacity(), cold_from, cold_span };
        self.see(Record::Started { server: machine, start });
    }

    fn listen_server(&mut self, machine: u64) -> std::io::Result<(Rc<TcpListener>, RegistrationToken)> {
        let listener = Rc::new(violetseam_loopio::listen(self.net.machine(machine), 1024)?);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, move |_, listener, site: &mut Site| {
                site.accept_server(machine, listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok((listener, token))
    }

    /// The process ends: everything it held is lost.
    fn stop_machine(&mut self, machine: u64) {
        if let Some((_, token)) = self.machines.get_mut(&machine).and_then(|m| m.listener.take()) {
            self.handle.remove(token);
        }
        self.close_connections_of(machine);
    }

    /// Lists a machine so at a moment; later while the roster is late.
    fn list(&mut self, at: u64, machine: u64, state: State) {
        let Some(m) = self.machines.get(&machine) else { return };
        let late = self.active(Kind::RosterLate).map_or(0, |t| (t.size * 1e6) as u64);
        let line = Line {
            id: machine,
            addr: self.net.machine(machine),
            build: m.server.build.number,
            state,
            zone: m.server.spec.zone,
            cell: m.server.spec.cell,
            size: m.server.spec.cores,
            age_us: None,
        };
        let started = if m.server.warmth(m.server.born) < 1.0 { m.server.born } else { 0 };
        self.roster.change(at + late, line, started);
    }

    fn list_due(&mut self) {
        let now = self.clock.now();
        let changed = self.roster.advance(now);
        for (server, state) in &changed {
            self.see(Record::Listed { server: *server, state: rule_state(*state) });
        }
        if !changed.is_empty() {
            self.tell_roster(now);
        }
    }

    /// Troubles that begin, go on and end.
    fn troubles(&mut self, now: u64) {
        let day = self.day.clone();
        for (n, trouble) in day.troubles.iter().enumerate() {
            let on = trouble.at <= now && now < trouble.at + trouble.len;
            if on != self.struck[n] {
                self.struck[n] = on;
                let word = if on { "begins" } else { "ends" };
                let _ = self.say.send(format!("trouble {word}: {:?}", trouble.kind));
                self.strike(now, trouble, on);
            }
        }
        self.come_back(now);
        let drag = {
            let newest = self.build(self.desk.news().build.max(day.rollout.first_build));
            newest.drag(self.lately.0 / self.lately.1.max(1e-9))
        };
        for machine in self.machines.values_mut() {
            let going = day.troubles.iter().filter(|t| t.at <= now && now < t.at + t.len);
            let index = machine.index;
            let strain = strike(&mut machine.server, &mut machine.next_pause, index, drag, now, going);
            machine.server.set_strain(strain);
        }
        self.collapse();
    }

    fn hit_by(&self, trouble: &Trouble) -> Vec<u64> {
        let zone = trouble.kind == Kind::ZoneLoss;
        let hit = self.machines.iter().filter(|(_, m)| match zone {
            true => usize::from(m.server.spec.zone) == trouble.which,
            false => trouble.on.contains(&m.index),
        });
        hit.map(|(id, _)| *id).collect()
    }

    fn strike(&mut self, now: u64, trouble: &Trouble, on: bool) {
        let silent = trouble.kind == Kind::ZoneLoss && trouble.extra > 0.5;
        match trouble.kind {
            Kind::ZoneLoss if silent => {
                for machine in self.hit_by(trouble) {
                    self.set_silent(machine, on);
                }
            }
            Kind::Crash | Kind::ZoneLoss if on => {
                for machine in self.hit_by(trouble) {
                    self.crash(now, machine, trouble.at + trouble.len);
                }
            }
            Kind::RosterLost | Kind::RosterGarbage | Kind::RosterBack if on => {
                self.trouble_roster(trouble.kind)
            }
            Kind::RosterCut | Kind::DeskCut if on => self.cut_streams(trouble),
            Kind::ServersCut if !on => self.end_unreachable(),
            _ => {}
        }
    }

    /// A machine dies and comes back cold.
    fn crash(&mut self, now: u64, machine: u64, back_at: u64) {
        self.stop_machine(machine);
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.down_until = Some(back_at);
        let (noticed, back) = (now + self.day.roster.silent_notice, back_at + self.day.roster.add);
        if noticed < back {
            self.list(noticed, machine, State::Gone);
        }
    }

    fn come_back(&mut self, now: u64) {
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
            let state = if draining { State::Draining } else { State::Ready };
            self.list(now + self.day.roster.add, machine, state);
        }
    }

    /// Servers that fell over answer nobody any more.
    fn collapse(&mut self) {
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

    /// Attempts' ends as records.
    pub(super) fn see_end(&mut self, number: u64, end: End) {
        self.see(Record::Ended(Finish { number, end }));
    }

    fn finish(mut self) -> SiteReport {
        let fates: Vec<(Fate, bool)> =
            self.desk.fates().iter().map(|f| (f.clone(), self.build(f.build).is_bad())).collect();
        self.report.left_open = self.open_requests();
        SiteReport { entries: self.entries, fates, ..self.report }
    }
}

/// A state as the checker knows it.
pub(super) fn rule_state(state: State) -> RuleState {
    match state {
        State::Ready => RuleState::Ready,
        State::Draining => RuleState::Draining,
        State::Gone => RuleState::Gone,
    }
}
