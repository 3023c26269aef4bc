//! Servers, roster, desk and the peers' network on one loop.
//!
//! The loop's turn: what came over the sockets (`site_http.rs`, `datagrams.rs`), then what is due by the clock here:
//! replies of servers, lines of the roster, the desk's turn, troubles that begin and end.

use super::Net;
use super::connection::{Kept, Role};
use super::datagrams::bind_relay;
use super::remote::Remote;
use super::state::Releases;
pub use super::state::{Machine, Site, SiteReport};
use crate::Clock;
use crate::day::{Day, Kind, Trouble};
use crate::model::Rng;
use crate::model::desk::{Command, Desk, Fate};
use crate::model::roster::Roster;
use crate::model::server::{Build, strike};
use calloop::{EventLoop, LoopHandle};
use rand::SeedableRng;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;
use violetseam_site_protocol::endpoint_list::EndpointState;

/// Between two turns of the desk and of troubles, in microseconds.
const TURN: u64 = 20_000;

/// Runs the site until told to stop, and a little longer. With `controller`, the one at [`Net::controller`]
/// decides on releases, else the stand-in desk.
///
/// # Errors
/// Errors of setting up the event loop or its sockets.
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
        let relay = bind_relay(&handle, net, day.proxies.len())?;
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
        site.listen_http(net.roster(), Role::Roster)?;
        site.listen_http(net.desk(), Role::Desk)?;
        let build = Build::sound(day.rollout.first_build);
        for place in 0..day.servers.len() {
            let machine = place as u64 + 1;
            site.start_machine(machine, place, build.clone(), true)?;
            site.list(0, machine, EndpointState::Ready);
        }
        site.list_due();
        Ok(site)
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

    fn obey(&mut self, now: u64, command: Command) {
        match command {
            Command::Start { machine, place, build } => {
                let index = place + self.day.servers.len() * self.generations[place];
                self.generations[place] += 1;
                let build = self.build(build);
                match self.start_machine(machine, index, build, false) {
                    Ok(()) => self.list(now + self.day.roster.add, machine, EndpointState::Ready),
                    Err(e) => drop(self.say.send(format!("machine {machine} does not start: {e}"))),
                }
            }
            Command::Drain { machine } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.draining = true;
                }
                self.list(now + self.day.roster.notice, machine, EndpointState::Draining);
            }
            Command::Stop { machine } => {
                self.list(now + self.day.roster.notice, machine, EndpointState::Gone);
                self.stop_machine(machine);
                self.machines.remove(&machine);
            }
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
                self.trouble_roster(trouble.kind);
            }
            Kind::RosterCut | Kind::DeskCut if on => self.cut_streams(trouble),
            Kind::ServersCut if !on => self.end_unreachable(),
            _ => {}
        }
    }

    fn finish(mut self) -> SiteReport {
        let fates: Vec<(Fate, bool)> =
            self.desk.fates().iter().map(|f| (f.clone(), self.build(f.build).is_bad())).collect();
        self.report.left_open = self.open_requests();
        SiteReport { entries: self.entries, fates, ..self.report }
    }
}
