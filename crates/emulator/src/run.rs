//! The loop: proxies' orders become happenings, happenings become the engines' events.

use crate::agenda::Happening;
use crate::world::{Attempt, NETWORK, Proxy, World, rule_state};
use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::HashMap;
use violetseam::interface as v;
use violetseam_invariants::record::{Answer, Call, Phase as RulePhase};
use violetseam_invariants::{Record, Verdict};
use violetseam_plan::moment_of;
use violetseam_plan_simulation::platform::Platform;
use violetseam_proxy::engine::{Engine, EngineAction, LocalResponse};
use violetseam_release::{
    Announcement, Event, Now, Phase, PlaceState, Release, Reply as Word, Vote, VoteRateLimit,
};
use violetseam_simulated_site::model::RandomSource as Draws;
use violetseam_simulated_site::model::server::Reply;
use violetseam_simulated_site::model::traffic::{ClientRequest, TrafficGenerator};
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::{FaultKind, Scenario};
use violetseam_site_protocol::endpoint_list::UpdateKind as ListKind;

/// From the start to the first request, as in the days over sockets.
const PRELUDE: u64 = 2_000_000;
/// Between two looks at the time of controller, platform and troubles.
const TURN: u64 = 20_000;
/// After the last request, until nothing is left.
const AFTER: u64 = 5_000_000;

/// What became of a build, in microseconds of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fate {
    /// The build.
    pub build: u16,
    /// Whether it was bad.
    pub bad: bool,
    /// When its first wave began.
    pub begun: u64,
    /// When it was released.
    pub released: Option<u64>,
    /// When it was sent back.
    pub back: Option<u64>,
}

/// What came of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Requests asked for.
    pub asked: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Worth served in time over worth asked for.
    pub worth: f64,
    /// Tries that were served, refused, failed.
    pub tries: [u64; 3],
    /// Of served tries, in microseconds: median, 95th, 99th percentile.
    pub times: [u64; 3],
    /// What became of the builds.
    pub fates: Vec<Fate>,
    /// Breaches by rule, and how much was looked at.
    pub broken: Vec<u64>,
    /// Attempts, events and other things that were looked at, by rule.
    pub looked_at: Vec<u64>,
    /// Happenings played.
    pub happenings: u64,
}

/// Kinds of trouble in a day that are not played here, by name.
pub fn unplayed(day: &Scenario) -> Vec<String> {
    let played = |kind: FaultKind| {
        use FaultKind::*;
        matches!(
            kind,
            ServerCrash
                | SlowServer
                | FastErrors
                | ServerPauses
                | NoisyNeighbor
                | SlowFleet
                | SlowClass
                | ReleaseServiceErrors
                | ReleaseServiceDelay
                | DiscoveryDelay
                | GossipOutage
        )
    };
    let kinds = day.faults.iter().map(|t| t.kind).filter(|kind| !played(*kind));
    let mut names: Vec<String> = kinds.map(|kind| format!("{kind:?}")).collect();
    names.sort();
    names.dedup();
    names
}

/// A client's request.
struct Asked {
    wish: ClientRequest,
    try_left: u32,
    deadline: u64,
    done: bool,
    proxy: usize,
    sent: u64,
}

struct Run {
    world: World,
    proxies: Vec<Proxy>,
    traffic: TrafficGenerator,
    asked: HashMap<u64, Asked>,
    next_asked: u64,
    release: Release,
    platform: Platform,
    allowance: VoteRateLimit,
    /// News with when they came to stand.
    news: Vec<(u64, Announcement)>,
    wall: u64,
    times: Histogram<u64>,
    out: Outcome,
    worth: (f64, f64),
}

/// Plays a day in simulated time. `Err`: its settings or plans do not read, or it has troubles that are not
/// played here.
///
/// # Errors
/// A text that says what of the day cannot be played.
pub fn run(day: &Scenario) -> Result<Outcome, String> {
    let missing = unplayed(day);
    if !missing.is_empty() {
        return Err(format!("not played in simulated time yet: {}", missing.join(", ")));
    }
    let mut day = day.clone();
    day.faults.iter_mut().for_each(|t| t.at += PRELUDE);
    day.releases.iter_mut().for_each(|r| r.at += PRELUDE);
    let text = violetseam_scenarios::script::settings(
        &day,
        AddressPlan::of_process(0),
        std::path::Path::new("/nonexistent"),
    );
    // Streams of their own, so that one more draw here leaves all others as they were.
    let stream = |n: u64| Draws::seed_from_u64(day.seed.wrapping_mul(0x9e37_79b9).wrapping_add(n));
    let mut seeds = stream(1);
    let mut proxies = Vec::new();
    for n in 0..day.proxies.len() {
        let options = [("position".to_owned(), n.to_string())];
        let settings = violetseam_settings::read_text("day", &text, &options).map_err(|e| e.to_string())?;
        let engine = Engine::new(settings.decisions, seeds.next_u64(), None);
        let (held, requests) = (Default::default(), HashMap::new());
        proxies.push(Proxy { engine, held, version: None, follows: false, requests, due: u64::MAX });
    }
    let wall = moment_of("2026-12-01T08:00", "UTC").unwrap_or(0);
    let rollout = &day.rollout;
    let platform = Platform::new(
        day.servers.len() as u32,
        rollout.first_build,
        rollout.startup_time,
        rollout.drain_time,
    );
    let out = Outcome {
        asked: 0,
        in_time: 0,
        worth: 0.0,
        tries: [0; 3],
        times: [0; 3],
        fates: Vec::new(),
        broken: Vec::new(),
        looked_at: Vec::new(),
        happenings: 0,
    };
    let mut run = Run {
        proxies,
        traffic: TrafficGenerator::new(&day),
        asked: HashMap::new(),
        next_asked: 1,
        release: Release::new(rollout.first_build),
        platform,
        allowance: VoteRateLimit::new(rollout.vote_rate_limit, 0),
        news: vec![(0, Release::new(rollout.first_build).announcement())],
        wall,
        times: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?,
        out,
        worth: (0.0, 0.0),
        world: World::new(day.clone(), stream(2)),
    };
    run.begin();
    run.play(PRELUDE + day.length + AFTER)?;
    Ok(run.finish())
}

impl Run {
    fn begin(&mut self) {
        let Run { world, proxies, .. } = self;
        world.roster.apply_due(0).into_iter().for_each(|change| {
            let record = Record::Listed { server: change.server, state: rule_state(change.state) };
            world.entries.push(violetseam_invariants::Entry { at: 0, record });
        });
        for proxy in proxies.iter_mut() {
            proxy.engine.on_server_list(0, v::ListKind::Cached, &[]);
        }
        let now = self.now();
        self.release.on_event(now, &Event::Started);
        for (place, build, state) in self.platform.all() {
            self.release.on_event(now, &Event::Place { place, build, state });
        }
        let news = self.release.announcement();
        for n in 0..self.proxies.len() {
            self.world.agenda.at(NETWORK, Happening::News(n, stage_news(news)));
            self.obey(n);
        }
        self.world.agenda.at(0, Happening::Controller);
        self.world.agenda.at(0, Happening::Troubles);
        self.world.agenda.at(PRELUDE, Happening::Arrival);
        let offers: Vec<u64> = self.world.day.releases.iter().map(|r| r.at).collect();
        offers.into_iter().enumerate().for_each(|(n, at)| self.world.agenda.at(at, Happening::Offer(n)));
    }

    fn now(&self) -> Now {
        Now { wall: self.wall + self.world.now, steady: self.world.now }
    }

    fn play(&mut self, until: u64) -> Result<(), String> {
        while let Some((at, what)) = self.world.agenda.pop() {
            if at > until {
                return Ok(());
            }
            self.world.now = at;
            self.out.happenings += 1;
            self.happen(what)?;
        }
        Ok(())
    }

    fn happen(&mut self, what: Happening) -> Result<(), String> {
        match what {
            Happening::Arrival => self.arrival(),
            Happening::Try(asked, number) => self.try_once(asked, number),
            Happening::Reaches(number) => self.world.reaches(number),
            Happening::Server(machine) => self.world.serve(machine),
            Happening::GivenUp(number) => self.world.given_up(number),
            Happening::Returns(number, reply) => {
                let outcome = match reply {
                    Reply::Ok { .. } => v::Outcome::Ok,
                    Reply::Error => v::Outcome::Error,
                    Reply::NotRun => v::Outcome::Rejected,
                };
                self.ended(number, outcome);
            }
            Happening::Unreachable(number) => {
                let arrived = self.world.attempts.get(&number).is_some_and(|a| a.arrived);
                self.ended(number, if arrived { v::Outcome::Reset } else { v::Outcome::ConnectFailed });
            }
            Happening::Proxy(n) => {
                let now = self.world.now;
                self.proxies[n].due = u64::MAX;
                self.proxies[n].engine.run_deadlines(now);
                self.obey(n);
            }
            Happening::News(n, news) => {
                self.see_news(n, news);
                let now = self.world.now;
                self.proxies[n].engine.on_release_status(now, news);
                self.obey(n);
            }
            Happening::List(n, whole) => self.tell_list(n, whole),
            Happening::Vote(vote) => self.vote(vote),
            Happening::VoteReply(n, outcome, news) => {
                if let Some(news) = news {
                    self.see_news(n, news);
                }
                let now = self.world.now;
                self.proxies[n].engine.on_vote_reply(now, outcome, news);
                self.obey(n);
            }
            Happening::Peer(from, to, payload) => {
                let now = self.world.now;
                self.proxies[to].engine.on_peer_message(now, from, &payload);
                self.obey(to);
            }
            Happening::Roster => self.roster(),
            Happening::Controller => self.controller(),
            Happening::Offer(n) => return self.offer(n),
            Happening::Troubles => {
                self.world.apply_faults();
                let next = self.world.now + TURN;
                self.world.agenda.at(next, Happening::Troubles);
            }
        }
        Ok(())
    }

    // Clients.

    fn arrival(&mut self) {
        let Some(wish) = self.traffic.next() else { return };
        let number = self.next_asked;
        self.next_asked += 1;
        self.out.asked += 1;
        let class = &self.world.day.classes[wish.class];
        self.worth.1 += class.priority_weight;
        let retries = self.world.day.clients.retries;
        let asked = Asked { wish, try_left: retries, deadline: 0, done: false, proxy: 0, sent: 0 };
        self.asked.insert(number, asked);
        self.world.agenda.at(PRELUDE + wish.at, Happening::Try(number, 0));
        self.world.agenda.at(PRELUDE + wish.at, Happening::Arrival);
    }

    fn try_once(&mut self, number: u64, which: u32) {
        let weights: Vec<f64> = self.world.day.proxies.iter().map(|p| p.weight).collect();
        let mut point = self.world.rng.random::<f64>() * weights.iter().sum::<f64>();
        let mut n = weights.len() - 1;
        for (i, weight) in weights.iter().enumerate() {
            point -= weight;
            if point < 0.0 {
                n = i;
                break;
            }
        }
        let now = self.world.now;
        let Some(asked) = self.asked.get_mut(&number) else { return };
        let wish = asked.wish;
        let deadline = now + self.world.day.classes[wish.class].deadline;
        (asked.deadline, asked.proxy, asked.sent) = (deadline, n, now);
        // Each try is a request of its own to the rules.
        let request = number * 16 + u64::from(which);
        let (proxy, class) = (n as u32, wish.class);
        self.world.see(Record::Sent { request, proxy, class, deadline });
        let key = Some(wish.key).filter(|k| *k != 0);
        let asked = v::Request {
            id: 0,
            deadline,
            class,
            cost_hint: wish.cost_hint,
            key,
            tenant: wish.tenant,
            is_retry: which > 0,
        };
        let id = self.proxies[n].engine.on_request(now, asked, true);
        self.proxies[n].requests.insert(id, request);
        self.obey(n);
    }

    /// A try is over for its client.
    fn answered(&mut self, request: u64, answer: Answer, come_back: u64) {
        self.world.see(Record::Answered { request, answer });
        let (number, which) = (request / 16, (request % 16) as u32);
        let kind = match answer {
            Answer::Served => 0,
            Answer::Refused => 1,
            _ => 2,
        };
        self.out.tries[kind] += 1;
        let now = self.world.now;
        let Some(asked) = self.asked.get_mut(&number) else { return };
        let class = &self.world.day.classes[asked.wish.class];
        if kind == 0 {
            asked.done = true;
            self.times.saturating_record((now - asked.sent).max(1));
            if now <= PRELUDE + asked.wish.at + class.latency_objective {
                self.out.in_time += 1;
                self.worth.0 += class.priority_weight;
            } else {
                self.worth.0 += class.late_weight;
            }
            self.asked.remove(&number);
            return;
        }
        // A failed request may have run: only what is harmless to repeat is asked again.
        let harmless =
            kind == 1 || class.idempotency == violetseam_simulated_site::scenario::Idempotency::Idempotent;
        if asked.try_left == 0 || !harmless {
            self.asked.remove(&number);
            return;
        }
        asked.try_left -= 1;
        let clients = &self.world.day.clients;
        let honours = self.world.rng.random::<f64>() < clients.retry_after_compliance;
        let wait = clients.backoff.max(if honours { come_back } else { 0 });
        self.world.agenda.at(now + wait.max(1), Happening::Try(number, which + 1));
    }

    // Proxies.

    /// Does what a proxy's engine ordered, and wakes it when it next has something to do.
    fn obey(&mut self, n: usize) {
        let now = self.world.now;
        while let Some(action) = self.proxies[n].engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, server } => {
                    self.start(n, request, attempt, server);
                }
                EngineAction::CloseAttempt { request, attempt } => {
                    let mine = |a: &Attempt| (a.proxy, a.request, a.attempt) == (n, request, attempt);
                    let number = self.world.attempts.iter().find(|(_, a)| mine(a)).map(|(k, _)| *k);
                    if let Some(number) = number {
                        self.world.agenda.at(now + NETWORK, Happening::GivenUp(number));
                    }
                }
                EngineAction::Respond { request, response } => {
                    let Some(asked) = self.proxies[n].requests.get(&request).copied() else { continue };
                    let (answer, come_back) = match response {
                        LocalResponse::Rejected { retry_after } => (Answer::Refused, retry_after),
                        LocalResponse::Failed { .. } => (Answer::Failed, 0),
                    };
                    self.answered(asked, answer, come_back);
                }
                EngineAction::Forget { request } => drop(self.proxies[n].requests.remove(&request)),
                EngineAction::WatchServerList => {
                    self.proxies[n].follows = true;
                    self.proxies[n].version = None;
                    self.world.agenda.at(now + 2 * NETWORK, Happening::List(n, true));
                }
                EngineAction::FetchServerList => {
                    self.world.agenda.at(now + 2 * NETWORK, Happening::List(n, true));
                }
                EngineAction::Vote { build, stage, verdict } => {
                    let verdict = match verdict {
                        v::Verdict::Promote => violetseam_release::Verdict::On,
                        v::Verdict::Hold => violetseam_release::Verdict::Hold,
                        v::Verdict::RollBack => violetseam_release::Verdict::Back,
                        v::Verdict::Withdraw => violetseam_release::Verdict::Withdraw,
                    };
                    let vote = Vote { proxy: n as u32, build, stage, verdict };
                    let call = self.world.day.rollout.vote_latency;
                    self.world.agenda.at(now + call / 2, Happening::Vote(vote));
                }
                // The emulator's settings name no budget of the fleet yet.
                EngineAction::BudgetMessage { .. } => {}
                EngineAction::Gossip { to, payload } => {
                    if self.world.active(FaultKind::GossipOutage).is_some() {
                        continue;
                    }
                    let all = 0..self.proxies.len();
                    for peer in all.filter(|p| *p != n && to.is_none_or(|to| to == *p)) {
                        self.world.agenda.at(now + NETWORK, Happening::Peer(n, peer, payload.clone()));
                    }
                }
                EngineAction::Log(_) => {}
            }
        }
        let due = self.proxies[n].engine.next_deadline().unwrap_or(u64::MAX);
        if due < self.proxies[n].due {
            self.proxies[n].due = due;
            self.world.agenda.at(due.max(now), Happening::Proxy(n));
        }
    }

    fn start(&mut self, n: usize, request: u64, attempt: usize, server: u64) {
        let Some(asked) = self.proxies[n].requests.get(&request).copied() else { return };
        let Some(wish) = self.asked.get(&(asked / 16)).map(|a| a.wish) else { return };
        let number = self.world.next_attempt;
        self.world.next_attempt += 1;
        let (class, key, work) = (wish.class, wish.key, wish.work);
        let on_its_way =
            Attempt { proxy: n, request, attempt, server, class, key, work, asked, arrived: false };
        self.world.attempts.insert(number, on_its_way);
        let at = self.world.now + NETWORK;
        self.world.agenda.at(at, Happening::Reaches(number));
    }

    /// An attempt's end reaches its proxy, if that still waits for it.
    fn ended(&mut self, number: u64, outcome: v::Outcome) {
        let Some(a) = self.world.attempts.remove(&number) else { return };
        let now = self.world.now;
        let asked = self.proxies[a.proxy].requests.get(&a.request).copied();
        let wins = self.proxies[a.proxy].engine.on_attempt_ended(now, a.request, a.attempt, outcome);
        if let (true, Some(asked)) = (wins, asked) {
            self.answered(asked, Answer::Served, 0);
        }
        self.obey(a.proxy);
    }

    fn see_news(&mut self, n: usize, news: v::ReleaseStatus) {
        let phase = match news.phase {
            v::Phase::Trial => RulePhase::Trial,
            v::Phase::RollingBack => RulePhase::RollingBack,
            v::Phase::Released => RulePhase::Released,
            v::Phase::Withdrawn => RulePhase::Withdrawn,
        };
        let (proxy, build, stage, cap) = (n as u32, news.build, news.stage, news.cap);
        self.world.see(Record::News { proxy, build, stage, phase, cap });
    }

    // The roster.

    fn roster(&mut self) {
        let now = self.world.now;
        let changed = self.world.roster.apply_due(now);
        for change in &changed {
            let state = rule_state(change.state);
            self.world.see(Record::Listed { server: change.server, state });
        }
        if changed.is_empty() {
            return;
        }
        for n in 0..self.proxies.len() {
            if self.proxies[n].follows && self.proxies[n].version.is_some() {
                self.world.agenda.at(now + NETWORK, Happening::List(n, false));
            }
        }
    }

    fn tell_list(&mut self, n: usize, whole: bool) {
        let (now, version) = (self.world.now, self.proxies[n].version);
        let message = match version.filter(|_| !whole) {
            Some(version) => self.world.roster.delta_since(now, version),
            None => Some(self.world.roster.snapshot(now)),
        };
        let Some(message) = message else { return };
        if whole {
            let call = if self.proxies[n].follows && version.is_none() { Call::Watch } else { Call::Fetch };
            self.world.see(Record::Called { proxy: n as u32, call });
        }
        for line in &message.servers {
            let started = self.world.roster.started_at(line.id);
            let (proxy, server, state) = (n as u32, line.id, rule_state(line.state));
            self.world.see(Record::Told { proxy, server, state, started });
        }
        if message.kind == ListKind::Full {
            let there: Vec<u64> = message.servers.iter().map(|l| l.id).collect();
            for server in (1..self.world.next_machine).filter(|id| !there.contains(id)) {
                let (proxy, state) = (n as u32, violetseam_invariants::record::State::Gone);
                self.world.see(Record::Told { proxy, server, state, started: None });
            }
        }
        self.proxies[n].version = Some(message.version);
        // A list that does not apply is asked for whole again, as the driver does.
        match self.proxies[n].held.apply(now, &message) {
            Ok(applied) => self.proxies[n].engine.on_server_list(now, applied.kind, &applied.entries),
            Err(_) => {
                self.proxies[n].held.forget_version();
                self.proxies[n].engine.on_server_list(now, v::ListKind::Failed, &[]);
            }
        }
        self.obey(n);
    }

    // The controller.

    fn controller(&mut self) {
        let now = self.world.now;
        for (place, build, state) in self.platform.advance(now) {
            match state {
                PlaceState::Running => self.world.start(place, build, false),
                PlaceState::Gone => self.world.end(place, build),
                PlaceState::Starting | PlaceState::Draining => {}
            }
            self.decide(&Event::Place { place, build, state });
        }
        self.decide(&Event::Tick);
        let wanted = self.release.desired_builds();
        if !wanted.is_empty() {
            for (place, build, state) in self.platform.want(now, &wanted) {
                if state == PlaceState::Draining {
                    self.world.drain(place, build);
                }
                self.decide(&Event::Place { place, build, state });
            }
        }
        self.world.agenda.at(now + TURN, Happening::Controller);
    }

    /// An event for the controller; what it changed is told to the proxies as late as the day says.
    fn decide(&mut self, event: &Event) -> Word {
        let (now, before) = (self.now(), self.release.announcement());
        let word = self.release.on_event(now, event).reply;
        let news = self.release.announcement();
        if news == before {
            return word;
        }
        let at = self.world.now;
        self.news.push((at, news));
        if news.build != before.build {
            let bad = self.world.build(news.build).is_defective();
            let begun = at.saturating_sub(PRELUDE);
            self.out.fates.push(Fate { build: news.build, bad, begun, released: None, back: None });
            self.world.newest = news.build;
        }
        if let Some(fate) = self.out.fates.last_mut().filter(|f| f.build == news.build) {
            match news.phase {
                Phase::Released => fate.released = fate.released.or(Some(at.saturating_sub(PRELUDE))),
                Phase::RollingBack => fate.back = fate.back.or(Some(at.saturating_sub(PRELUDE))),
                Phase::Trial | Phase::Withdrawn => {}
            }
        }
        let late = self.late();
        for n in 0..self.proxies.len() {
            self.world.agenda.at(at + late, Happening::News(n, stage_news(news)));
        }
        word
    }

    fn late(&self) -> u64 {
        let more =
            self.world.active(FaultKind::ReleaseServiceDelay).map_or(0, |t| (t.magnitude * 1e6) as u64);
        self.world.day.rollout.status_delay + more
    }

    fn vote(&mut self, vote: Vote) {
        let (at, n) = (self.world.now, vote.proxy as usize);
        let back = at + self.world.day.rollout.vote_latency / 2;
        let outcome = if self.world.active(FaultKind::ReleaseServiceErrors).is_some() {
            v::Outcome::Error
        } else if !self.allowance.try_take(at) {
            v::Outcome::Rejected
        } else {
            match self.decide(&Event::Vote(vote)) {
                Word::Accepted => v::Outcome::Ok,
                Word::Obsolete(_) => v::Outcome::NotSent,
                Word::Rejected(_) => v::Outcome::Error,
            }
        };
        // As late as all news: a reply is not ahead of the stream.
        let seen = at.saturating_sub(self.late());
        let news = self.news.iter().rev().find(|n| n.0 <= seen).or(self.news.first());
        let news = news.filter(|_| outcome == v::Outcome::Ok).map(|n| stage_news(n.1));
        self.world.agenda.at(back, Happening::VoteReply(n, outcome, news));
    }

    fn offer(&mut self, n: usize) -> Result<(), String> {
        let text = violetseam_scenarios::plan(&self.world.day, n);
        let plan = violetseam_plan::read_text("day", &text, &[], self.wall + self.world.now);
        let plan =
            plan.map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
        let word = self.decide(&Event::Offer(Box::new(plan)));
        if matches!(&word, Word::Rejected(why) if why.contains("on trial")) {
            let order = violetseam_release::Order::Back;
            self.decide(&Event::Order { who: "lab".into(), order });
        }
        if matches!(word, Word::Rejected(_)) {
            self.world.agenda.at(self.world.now + 10 * TURN, Happening::Offer(n));
        }
        Ok(())
    }

    fn finish(mut self) -> Outcome {
        let rules = self.world.day.rules(1_000);
        self.world.entries.sort_by_key(|e| e.at);
        let verdict: Verdict = violetseam_invariants::check(&rules, &self.world.entries);
        self.out.broken = verdict.broken.to_vec();
        self.out.looked_at = verdict.looked_at.to_vec();
        self.out.worth = self.worth.0 / self.worth.1.max(1e-9);
        self.out.times = [0.5, 0.95, 0.99].map(|q| self.times.value_at_quantile(q));
        self.out
    }
}

fn stage_news(news: Announcement) -> v::ReleaseStatus {
    let phase = match news.phase {
        Phase::Trial => v::Phase::Trial,
        Phase::RollingBack => v::Phase::RollingBack,
        Phase::Released => v::Phase::Released,
        Phase::Withdrawn => v::Phase::Withdrawn,
    };
    v::ReleaseStatus { build: news.build, stage: news.stage, phase, cap: news.cap }
}
