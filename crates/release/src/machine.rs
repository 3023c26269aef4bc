//! The state machine: when a wave moves on, stands still or goes back.

use crate::places::Places;
use crate::votes::Votes;
use crate::{Event, News, Now, Order, Phase, PlaceState, Reply, Verdict, Vote};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::{Downtime, Gate, Micros, OnClose, Plan, Power, Wave};

/// Clocks that differ by more than this between two events have jumped.
const JUMP: Micros = 2_000_000;
/// Time passes in steps of at most this, so that what was counted is durable and a stop loses little.
const HEARTBEAT: Micros = 5_000_000;
/// Builds that were called back are remembered, so that none comes again under its number.
const CALLED_BACK_MOST: usize = 1_000;

/// A plan on its course, from its offer on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Course {
    plan: Plan,
    /// Since the offer.
    elapsed: Micros,
    /// Approvals, by wave.
    signed: BTreeMap<String, BTreeSet<String>>,
    /// The plan's hold before the next wave.
    held: Option<Held>,
    /// An operator's hold: what is left of it.
    stopped: Option<Micros>,
    /// A window was open at the last event.
    open: bool,
}

/// A build that runs in places.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Trial {
    course: Course,
    wave: usize,
    /// In this wave, or on the way back.
    in_wave: Micros,
    /// Since this wave's places ran; none: they do not yet.
    settled: Option<Micros>,
    /// Of the soak.
    soaked: Micros,
    /// What of that came since the last event that was kept.
    soaked_unkept: Micros,
    /// Why it goes back.
    why: Option<String>,
}

/// A hold of the plan's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Held {
    For(Micros),
    Left,
}

/// The controller's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The build that runs everywhere, or did before the newest.
    earlier: u16,
    news: News,
    trial: Option<Trial>,
    /// Offered, and its first wave has not begun.
    next: Option<Course>,
    votes: Votes,
    places: Places,
    called_back: BTreeSet<u16>,
    last: Option<Now>,
    /// The last event that was kept.
    kept_at: Option<Now>,
    /// Spans counted since the last event that was kept.
    unkept: Micros,
}

impl Course {
    fn new(plan: Plan) -> Self {
        let held = hold_before(&plan, 0).map(|_| Held::For(0));
        Course { held, plan, elapsed: 0, signed: BTreeMap::new(), stopped: None, open: false }
    }

    /// A span passes; whether something ended with it.
    fn pass(&mut self, now: Now, span: Micros) -> bool {
        self.elapsed += span;
        if let Some(left) = &mut self.stopped {
            *left = left.saturating_sub(span);
        }
        let over = self.stopped == Some(0);
        if over {
            self.stopped = None;
        }
        if let Some(Held::For(so_far)) = &mut self.held {
            *so_far += span;
        }
        let open = self.plan.calendar.is_open(now.wall);
        std::mem::replace(&mut self.open, open) != open || over
    }

    /// Whether a wave may begin, as far as people and windows go.
    fn may_begin(&self, now: Now, wave: usize) -> bool {
        let held = match (hold_before(&self.plan, wave), self.held) {
            (None, _) | (_, Some(Held::Left)) => false,
            (Some(hold), Some(Held::For(so_far))) => hold.at_most.is_none_or(|most| so_far < most),
            (Some(_), None) => true,
        };
        let Some(name) = self.plan.waves.get(wave).map(|w| &w.name) else { return false };
        let signed =
            self.plan.sign_offs.iter().filter(|s| s.wave == *name).all(|s| is_signed(s, &self.signed));
        self.stopped.is_none() && !held && signed && self.open && self.plan.calendar.is_open(now.wall)
    }

    /// Why it may not go on: its time is over, or an approval has not come in time. `begun`: waves so far.
    fn too_late(&self, begun: usize) -> Option<String> {
        if self.elapsed >= self.plan.longest {
            return Some("it took longer than its plan permits".to_owned());
        }
        let ahead = &self.plan.waves[begun.min(self.plan.waves.len())..];
        let late = self.plan.sign_offs.iter().find(|s| {
            ahead.iter().any(|w| w.name == s.wave) && self.elapsed > s.within && !is_signed(s, &self.signed)
        });
        late.map(|s| format!("wave {:?} was not approved in time", s.wave))
    }

    /// Spans after which something may be decided.
    fn due(&self, now: Now, next_wave: usize) -> Vec<Micros> {
        let mut due = vec![self.plan.longest.saturating_sub(self.elapsed)];
        due.extend(self.stopped);
        if let (Some(Held::For(so_far)), Some(hold)) = (self.held, hold_before(&self.plan, next_wave)) {
            due.extend(hold.at_most.map(|most| most.saturating_sub(so_far)));
        }
        let edge = self.plan.calendar.next_change(now.wall, now.wall + 2 * HEARTBEAT);
        due.extend(edge.map(|edge| edge - now.wall));
        due
    }
}

impl Release {
    /// A controller of places that all run one build.
    pub fn new(build: u16) -> Self {
        Release {
            earlier: build,
            news: News { build, stage: 0, phase: Phase::Released, cap: 1.0 },
            trial: None,
            next: None,
            votes: Votes::default(),
            places: Places::default(),
            called_back: BTreeSet::new(),
            last: None,
            kept_at: None,
            unkept: 0,
        }
    }

    /// What proxies are told.
    pub fn news(&self) -> News {
        self.news
    }

    /// The build that runs everywhere, or did before the newest.
    pub fn earlier(&self) -> u16 {
        self.earlier
    }

    /// The plan under way, or the one that waits, or the last one.
    pub fn plan(&self) -> Option<&Plan> {
        let last = self.trial.as_ref().map(|t| &t.course.plan);
        if self.news.phase == Phase::Trial { last } else { self.next.as_ref().map(|n| &n.plan).or(last) }
    }

    /// Votes that stand.
    pub fn votes(&self) -> usize {
        self.votes.len()
    }

    /// Builds that places have told of, and that are not gone.
    pub fn known_places(&self) -> Vec<(u32, u16)> {
        self.places.known()
    }

    /// Whether anything is left to wait for.
    pub fn is_settled(&self) -> bool {
        matches!(self.news.phase, Phase::Released | Phase::Withdrawn) && self.next.is_none()
    }

    /// Which build each place is to run; none before a plan has named the places.
    pub fn wanted(&self) -> BTreeSet<(u32, u16)> {
        let Some(trial) = &self.trial else { return BTreeSet::new() };
        let plan = &trial.course.plan;
        let (all, beside) = (plan.fleet.places, plan.fleet.beside);
        let (newest, everywhere) = (self.news.build, (0..all).collect());
        match self.news.phase {
            Phase::Trial => {
                let on = &plan.waves[trial.wave].places;
                self.places.replace(all, on, self.earlier, newest, beside)
            }
            Phase::Released => self.places.replace(all, &everywhere, self.earlier, newest, false),
            Phase::RollingBack | Phase::Withdrawn => self.places.give_back(all, newest, self.earlier),
        }
    }

    /// How long until something may be decided by time alone, from the last event on.
    pub fn due(&self) -> Option<Micros> {
        let last = self.last?;
        let mut due = Vec::new();
        if let Some(next) = &self.next {
            due.extend(next.due(last, 0));
        }
        if let Some(trial) = &self.trial {
            let fleet = &trial.course.plan.fleet;
            due.extend(self.votes.due());
            match self.news.phase {
                Phase::Trial => {
                    due.extend(trial.course.due(last, trial.wave + 1));
                    due.push(trial.course.plan.waves[trial.wave].soak.saturating_sub(trial.soaked));
                    due.push(match trial.settled {
                        Some(since) => fleet.settle.saturating_sub(since),
                        None => fleet.launch.saturating_sub(trial.in_wave),
                    });
                }
                Phase::RollingBack => due.push(fleet.launch.saturating_sub(trial.in_wave)),
                Phase::Released | Phase::Withdrawn => {}
            }
        }
        if due.is_empty() {
            return None;
        }
        due.push(HEARTBEAT.saturating_sub(self.unkept));
        // What is due already was not enough by itself: it is looked at again with the next heartbeat.
        due.into_iter().filter(|span| *span > 0).min()
    }

    /// Something happened. The reply, and whether the state changed in a way that must be kept.
    pub fn on_event(&mut self, now: Now, event: &Event) -> (Reply, bool) {
        let passed = match event {
            Event::Started => self.start(now),
            _ => self.pass(now),
        };
        let (reply, changed) = match event {
            Event::Started => (Reply::Ok, true),
            Event::Tick => (Reply::Ok, false),
            Event::Offer(plan) => self.offer(plan),
            Event::Vote(vote) => self.vote(vote),
            Event::Sign { who, wave } => self.sign(who, wave),
            Event::Unsign { who, wave } => self.unsign(who, wave),
            Event::Order { who, order } => self.order(who, *order),
            Event::Place { place, build, state } => self.place(*place, *build, *state),
        };
        // A build moves on with time alone: everything that arrives together is heard before it does.
        let decided = self.decide(now, matches!(event, Event::Tick | Event::Started));
        let kept = passed || changed || decided || self.unkept >= HEARTBEAT;
        if kept {
            (self.unkept, self.kept_at) = (0, Some(now));
            self.trial.iter_mut().for_each(|trial| trial.soaked_unkept = 0);
        }
        (reply, kept)
    }

    /// Time passes between two events of one life. Whether it brought a change by itself.
    fn pass(&mut self, now: Now) -> bool {
        let Some(last) = self.last.replace(now) else { return true };
        let span = now.steady.saturating_sub(last.steady);
        // The wall clock may have been set: what the windows say of such a span is not known, so that nothing
        // soaks in it. The span is that since the last event that was kept: a start that is told only those
        // sees no smaller one, and must come to the same.
        let since = self.kept_at.unwrap_or(last);
        let steady = now.steady.saturating_sub(since.steady);
        let jumped = now.wall.abs_diff(since.wall.saturating_add(steady)) > JUMP;
        if let Some(trial) = self.trial.as_mut().filter(|_| jumped) {
            trial.soaked = trial.soaked.saturating_sub(trial.soaked_unkept);
        }
        self.count(now, span, if jumped { 0 } else { span }) || jumped
    }

    /// A controller begins: the time since the last event is known by the wall clock alone.
    fn start(&mut self, now: Now) -> bool {
        let Some(last) = self.last.replace(now) else { return true };
        let away = now.wall.saturating_sub(last.wall);
        if now.wall < last.wall {
            // The clock went back: how long it was away is unknown, and votes may be long past their time.
            self.votes.clear();
        }
        let soaks = match self.trial.as_ref().map(|t| &t.course.plan) {
            Some(plan) if plan.downtime == Downtime::Counts => plan.calendar.open_time(last.wall, now.wall),
            _ => 0,
        };
        self.count(now, away, soaks);
        true
    }

    /// Counts a span: all of it against limits and votes, `soaks` of it as soak where the wave may soak.
    fn count(&mut self, now: Now, span: Micros, soaks: Micros) -> bool {
        self.unkept += span;
        let votes = self.votes.len();
        let stops = |wave: &Wave, plan: &Plan| {
            let News { build, stage, .. } = self.news;
            wave.gate == Gate::Timer && self.votes.count(Verdict::Hold, build, stage) >= plan.votes_of(wave)
        };
        let mut changed = self.next.as_mut().is_some_and(|next| next.pass(now, span));
        if let Some(trial) = &mut self.trial {
            trial.in_wave += span;
            if self.news.phase == Phase::Trial {
                let (course, wave) = (&trial.course, &trial.course.plan.waves[trial.wave]);
                // Exactly from when the places have settled, wherever events cut the span: a start that is told
                // only the events that were kept must come to the same soak.
                let settle = course.plan.fleet.settle;
                let ready =
                    trial.settled.map_or(0, |since| span.saturating_sub(settle.saturating_sub(since)));
                let may_soak = course.stopped.is_none()
                    && !stops(wave, &course.plan)
                    && (course.open || wave.on_close == OnClose::Finish);
                if may_soak {
                    trial.soaked += soaks.min(ready);
                    trial.soaked_unkept += soaks.min(ready);
                }
                trial.settled.iter_mut().for_each(|since| *since += span);
                changed |= trial.course.pass(now, span);
            }
        }
        self.votes.age(span);
        changed || votes != self.votes.len()
    }

    fn offer(&mut self, plan: &Plan) -> (Reply, bool) {
        let refused = |why: String| (Reply::Refused(why), false);
        let build = plan.build;
        if build == self.news.build && self.news.phase != Phase::Withdrawn {
            return (Reply::Moot(format!("build {build} is the newest already")), false);
        }
        if self.called_back.contains(&build) {
            return refused(format!("build {build} was called back: a mended one has another number"));
        }
        if build == self.earlier {
            return refused(format!("build {build} runs everywhere"));
        }
        if self.trial.as_ref().is_some_and(|t| t.course.plan.fleet.places != plan.fleet.places) {
            return refused("the fleet has another number of places than before".into());
        }
        if let Some(next) = &self.next {
            return match next.plan.build == build {
                true => (Reply::Moot(format!("build {build} waits already")), false),
                false => refused(format!("build {} waits already", next.plan.build)),
            };
        }
        if self.news.phase == Phase::Trial {
            return refused(format!("build {} is on trial: call it back first", self.news.build));
        }
        if plan.waves.is_empty() {
            return refused("a plan without waves".into());
        }
        // Beside one that goes back it waits: a place would run three builds.
        self.next = Some(Course::new(plan.clone()));
        (Reply::Ok, true)
    }

    fn vote(&mut self, vote: &Vote) -> (Reply, bool) {
        let moot = |why: &str| (Reply::Moot(why.to_owned()), false);
        let Some(trial) = &self.trial else { return moot("no build is on trial") };
        if vote.proxy >= trial.course.plan.fleet.proxies {
            return (Reply::Refused(format!("no proxy {}", vote.proxy)), false);
        }
        if vote.build != self.news.build {
            return moot("another build");
        }
        let any_stage = matches!(vote.verdict, Verdict::Back | Verdict::Withdraw);
        match self.news.phase {
            Phase::Trial if any_stage || vote.stage == self.news.stage => {}
            Phase::Trial => return moot("another stage"),
            Phase::Released if any_stage => {}
            Phase::Released => return moot("it is released"),
            Phase::RollingBack | Phase::Withdrawn => return moot("it was called back"),
        }
        let timer = trial.course.plan.waves[trial.wave].gate == Gate::Timer;
        match vote.verdict {
            Verdict::On if timer => return moot("the clock moves this wave on"),
            Verdict::Hold if !timer => return moot("votes move this wave on"),
            _ => {}
        }
        self.votes.cast(vote, trial.course.plan.fleet.vote_ttl);
        (Reply::Ok, true)
    }

    /// The course that approvals and orders are about, and its next wave: the one on trial, else the one that
    /// waits for its first wave.
    fn course(&mut self) -> Option<(&mut Course, usize)> {
        match (&mut self.trial, &mut self.next, self.news.phase) {
            (Some(trial), _, Phase::Trial) => Some((&mut trial.course, trial.wave + 1)),
            (_, Some(next), _) => Some((next, 0)),
            _ => None,
        }
    }

    fn nothing_under_way(&self) -> (Reply, bool) {
        let why = match self.news.phase {
            Phase::RollingBack | Phase::Withdrawn => format!("build {} was called back", self.news.build),
            _ => "no build is on trial or waits".to_owned(),
        };
        (Reply::Moot(why), false)
    }

    fn sign(&mut self, who: &str, wave: &str) -> (Reply, bool) {
        let refused = |why: String| (Reply::Refused(why), false);
        let Some((course, next)) = self.course() else { return self.nothing_under_way() };
        let Some(index) = course.plan.waves.iter().position(|w| w.name == wave) else {
            return refused(format!("the plan has no wave {wave:?}"));
        };
        if index < next {
            return (Reply::Moot(format!("wave {wave:?} has begun")), false);
        }
        let mut asked =
            course.plan.sign_offs.iter().filter(|s| s.wave == wave && s.by.iter().any(|n| n == who));
        let Some(asked) = asked.next() else {
            return refused(format!("{who} is not asked to approve wave {wave:?}"));
        };
        if course.elapsed > asked.within {
            return refused("the time for it is over".into());
        }
        let fresh = course.signed.entry(wave.to_owned()).or_default().insert(who.to_owned());
        if fresh { (Reply::Ok, true) } else { (Reply::Moot("approved before".into()), false) }
    }

    fn unsign(&mut self, who: &str, wave: &str) -> (Reply, bool) {
        let Some((course, next)) = self.course() else { return self.nothing_under_way() };
        if course.plan.waves.iter().position(|w| w.name == wave).is_some_and(|index| index < next) {
            return (Reply::Moot(format!("wave {wave:?} has begun: hold or call back instead")), false);
        }
        let was = course.signed.get_mut(wave).is_some_and(|by| by.remove(who));
        if was { (Reply::Ok, true) } else { (Reply::Moot("no approval to take back".into()), false) }
    }

    fn order(&mut self, who: &str, order: Order) -> (Reply, bool) {
        let refused = |why: String| (Reply::Refused(why), false);
        let phase = self.news.phase;
        let (power, word) = match order {
            Order::Hold(_) => (Power::Hold, "hold"),
            Order::Resume => (Power::Resume, "resume"),
            Order::Back => (Power::Back, "back"),
            Order::Skip => (Power::Skip, "skip"),
        };
        let Some((course, next)) = self.course() else {
            // The last word on a build that is out everywhere: back, while the one before it is known.
            let allowed = self.trial.as_ref().is_some_and(|t| t.course.plan.may(who, Power::Back));
            return match (order, phase) {
                (Order::Back, Phase::Released) if self.earlier != self.news.build && allowed => {
                    self.send_back(format!("called back by {who}"));
                    (Reply::Ok, true)
                }
                (Order::Back, Phase::Released) if self.trial.is_some() && !allowed => {
                    refused(format!("the plan does not allow {who} to back"))
                }
                _ => self.nothing_under_way(),
            };
        };
        let leaves = hold_before(&course.plan, next).is_some_and(|h| h.leave.iter().any(|name| name == who));
        let lets_go = leaves && order == Order::Resume;
        if !lets_go && !course.plan.may(who, power) {
            return refused(format!("the plan does not allow {who} to {word}"));
        }
        match order {
            Order::Back if phase == Phase::Trial => {
                self.send_back(format!("called back by {who}"));
                (Reply::Ok, true)
            }
            Order::Back => {
                self.next = None;
                (Reply::Ok, true)
            }
            Order::Hold(span) if span == 0 || span > course.plan.longest => {
                refused("a hold is over 0 and at most the plan's longest".into())
            }
            Order::Hold(span) => {
                course.stopped = Some(span);
                (Reply::Ok, true)
            }
            Order::Resume => {
                let stopped = course.stopped.take().is_some();
                let held = matches!(course.held, Some(Held::For(_))) && leaves;
                if held {
                    course.held = Some(Held::Left);
                }
                if stopped || held {
                    (Reply::Ok, true)
                } else {
                    (Reply::Moot("nothing is held that this one may let go".into()), false)
                }
            }
            Order::Skip => {
                let Some(trial) = self.trial.as_mut().filter(|_| phase == Phase::Trial) else {
                    return (Reply::Moot("its first wave has not begun".into()), false);
                };
                let soak = trial.course.plan.waves[trial.wave].soak;
                if trial.soaked >= soak {
                    return (Reply::Moot("it has soaked".into()), false);
                }
                trial.soaked = soak;
                (Reply::Ok, true)
            }
        }
    }

    fn place(&mut self, place: u32, build: u16, state: PlaceState) -> (Reply, bool) {
        if self.plan().is_some_and(|plan| place >= plan.fleet.places) || place >= 20_000 {
            return (Reply::Refused(format!("no place {place}")), false);
        }
        let fresh = self.places.tell(place, build, state);
        (Reply::Ok, fresh)
    }

    fn send_back(&mut self, why: String) {
        self.called_back.insert(self.news.build);
        while self.called_back.len() > CALLED_BACK_MOST {
            self.called_back.pop_first();
        }
        self.news.phase = Phase::RollingBack;
        self.votes.clear();
        if let Some(trial) = &mut self.trial {
            (trial.why, trial.in_wave) = (Some(why), 0);
        }
    }

    /// Decides what follows from the state. `on`: a build may move on.
    fn decide(&mut self, now: Now, on: bool) -> bool {
        match self.news.phase {
            Phase::Trial => self.decide_trial(now, on),
            Phase::RollingBack => self.decide_back(),
            Phase::Released | Phase::Withdrawn => {
                let called = self.back_after_release();
                called || (on && self.begin_next(now))
            }
        }
    }

    /// A build that was released is still called back by its proxies, while the earlier one is known.
    fn back_after_release(&mut self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let plan = &trial.course.plan;
        let needed = plan.waves.last().map_or(usize::MAX, |w| plan.votes_back(w));
        let News { build, stage, phase, .. } = self.news;
        let called = phase == Phase::Released
            && self.earlier != build
            && self.votes.count(Verdict::Back, build, stage) >= needed;
        if called {
            self.send_back("called back by the proxies after its release".into());
        }
        called
    }

    /// The first wave of the build that waits.
    fn begin_next(&mut self, now: Now) -> bool {
        let Some(next) = &self.next else { return false };
        if next.too_late(0).is_some() {
            self.next = None;
            return true;
        }
        // Places that still drain what went before are waited for: none has three builds.
        let before = if self.news.phase == Phase::Released { self.earlier } else { self.news.build };
        let current = if self.news.phase == Phase::Released { self.news.build } else { self.earlier };
        let clear = before == current || self.places.left(before) == 0;
        if !clear || !next.may_begin(now, 0) {
            return false;
        }
        let Some(mut course) = self.next.take() else { return false };
        self.earlier = current;
        let build = course.plan.build;
        self.news = News { build, stage: 0, phase: Phase::Trial, cap: course.plan.waves[0].cap };
        self.votes.clear();
        course.held = hold_before(&course.plan, 1).map(|_| Held::For(0));
        self.trial = Some(Trial {
            course,
            wave: 0,
            in_wave: 0,
            settled: None,
            soaked: 0,
            soaked_unkept: 0,
            why: None,
        });
        true
    }

    fn decide_trial(&mut self, now: Now, on: bool) -> bool {
        let News { build, stage, .. } = self.news;
        let Some(trial) = &mut self.trial else { return false };
        let course = &trial.course;
        let (plan, wave) = (&course.plan, &course.plan.waves[trial.wave]);
        let votes = |verdict| self.votes.count(verdict, build, stage);
        let back = if votes(Verdict::Back) >= plan.votes_back(wave) {
            Some("called back by the proxies".to_owned())
        } else if let Some(why) = course.too_late(trial.wave + 1) {
            Some(why)
        } else if !course.open && wave.on_close == OnClose::Back {
            Some(format!("the window closed in wave {:?}", wave.name))
        } else {
            None
        };
        if let Some(why) = back {
            self.send_back(why);
            return true;
        }
        let running = self.places.running(&wave.places, build);
        let all = running == wave.places.len() || (running > 0 && trial.in_wave >= plan.fleet.launch);
        let settles = trial.settled.is_none() && all;
        if settles {
            trial.settled = Some(0);
        }
        let settled = trial.settled.is_some_and(|since| since >= plan.fleet.settle);
        let enough = match wave.gate {
            Gate::Timer => votes(Verdict::Hold) < plan.votes_of(wave),
            Gate::Any | Gate::Share => votes(Verdict::On) >= plan.votes_of(wave),
        };
        if !on || !settled || !enough || course.stopped.is_some() || trial.soaked < wave.soak {
            return settles;
        }
        let next = trial.wave + 1;
        if next == plan.waves.len() {
            if !course.open && wave.on_close != OnClose::Finish {
                return settles;
            }
            (self.news.phase, self.news.cap) = (Phase::Released, 1.0);
            self.votes.clear();
            return true;
        }
        if !course.may_begin(now, next) {
            return settles;
        }
        (self.news.stage, self.news.cap) = (next as u8, plan.waves[next].cap);
        let held = hold_before(plan, next + 1).map(|_| Held::For(0));
        trial.course.held = held;
        (trial.wave, trial.in_wave, trial.settled) = (next, 0, None);
        (trial.soaked, trial.soaked_unkept) = (0, 0);
        self.votes.clear();
        true
    }

    /// The way back: the cap falls with the places that have something of the build left.
    fn decide_back(&mut self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let plan = &trial.course.plan;
        let (build, all) = (self.news.build, plan.fleet.places);
        let everywhere: BTreeSet<u32> = (0..all).collect();
        let left = self.places.left(build);
        // Places that do not come up hold the end of a way back up only for so long.
        let back = self.places.running(&everywhere, self.earlier) == everywhere.len()
            || trial.in_wave >= plan.fleet.launch;
        if left == 0 && back {
            (self.news.phase, self.news.cap) = (Phase::Withdrawn, 0.0);
            return true;
        }
        let wave = &plan.waves[trial.wave];
        let fair = wave.cap * left as f64 / wave.places.len().max(1) as f64;
        let cap = if left == 0 { 0.0 } else { self.news.cap.min(fair) };
        std::mem::replace(&mut self.news.cap, cap) != cap
    }

    /// A line on where the release stands and what it waits for.
    pub fn standing(&self) -> String {
        let News { build, stage, phase, cap } = self.news;
        let waits = match &self.next {
            Some(next) if !next.open => format!("; build {} waits for a window", next.plan.build),
            Some(next) => format!("; build {} waits", next.plan.build),
            None => String::new(),
        };
        let Some(trial) = &self.trial else { return format!("build {build} runs everywhere{waits}") };
        let course = &trial.course;
        match phase {
            Phase::Trial => {
                let (plan, wave) = (&course.plan, &course.plan.waves[trial.wave]);
                let mut lacks = Vec::new();
                if trial.settled.is_none() {
                    lacks.push("its places".to_owned());
                }
                if trial.soaked < wave.soak {
                    lacks.push(format!("{:.0} s of soak", (wave.soak - trial.soaked) as f64 / 1e6));
                }
                let (have, need) = (self.votes.count(Verdict::On, build, stage), plan.votes_of(wave));
                if wave.gate != Gate::Timer && have < need {
                    lacks.push(format!("{} of {need} votes", need - have));
                }
                if !course.open {
                    lacks.push("a window".into());
                }
                if course.stopped.is_some() {
                    lacks.push("an operator's resume".into());
                }
                if let Some(next) = plan.waves.get(trial.wave + 1) {
                    let asked = plan.sign_offs.iter().filter(|s| s.wave == next.name);
                    if asked.clone().any(|s| !is_signed(s, &course.signed)) {
                        lacks.push(format!("approval of wave {:?}", next.name));
                    }
                    if matches!(course.held, Some(Held::For(_))) {
                        lacks.push("the end of a hold".into());
                    }
                }
                let lacks = if lacks.is_empty() { "nothing".into() } else { lacks.join(", ") };
                format!("build {build}: wave {:?} (stage {stage}), cap {cap}; lacks {lacks}", wave.name)
            }
            Phase::RollingBack => {
                let why = trial.why.as_deref().unwrap_or("");
                format!("build {build} goes back ({why}): {} places have it{waits}", self.places.left(build))
            }
            Phase::Released => format!("build {build} is released{waits}"),
            Phase::Withdrawn => {
                let why = trial.why.as_deref().unwrap_or("");
                format!("build {build} went back ({why}), build {} runs{waits}", self.earlier)
            }
        }
    }
}

fn hold_before(plan: &Plan, wave: usize) -> Option<&violetseam_plan::Hold> {
    let name = &plan.waves.get(wave)?.name;
    plan.holds.iter().find(|h| h.before == *name)
}

fn is_signed(asked: &violetseam_plan::SignOff, signed: &BTreeMap<String, BTreeSet<String>>) -> bool {
    let given = signed.get(&asked.wave).map_or(0, |by| asked.by.iter().filter(|w| by.contains(*w)).count());
    given >= asked.count
}
