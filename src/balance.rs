//! All decisions of one balancer. Its events, actions and settings are the plain types of `src/interface.rs`.
//!
//! In the order of a request's life it decides: whether to take it (`on_request`), which build and server
//! get it (`place`, `pick`), when to hurry a slow attempt (`hurry`), what follows an attempt's end
//! (`on_attempt_ended`), and the final answer (`give_up`). Beside that it follows the server list, keeps the
//! guards that the rules need (`build_admits`, `cold_room`), and judges the build on trial in windows of its
//! own attempts (`judge`), which ends in a vote (`vote`). `docs/design.md` tells what follows which source.

use crate::interface::*;
use crate::state::*;
use crate::stats::{difference_lower, quantile, wilson_lower};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// The judge: the design page's defaults.
const WINDOW_ATTEMPTS: usize = 100; // a window closes at so many attempts at the new build ...
const WINDOW_SPAN: Micros = 3 * SECOND; // ... or after this span
const WINDOW_LEAST: f64 = 20.0; // under this many attempts a window says nothing
const Z95: f64 = 1.96; // normal quantile of 95% confidence
const FAILURE_MARGIN: f64 = 0.02; // allowed above the earlier build's failure share
const LATENCY_RATIO: f64 = 1.3; // median and 95th percentile must both exceed it
const WINDOW_SHORTEST: Micros = SECOND; // a full window stays open so long, or one pause spoils two
const BREACHES_TO_BACK: f64 = 2.0; // consecutive breached windows
// The judge: extensions (docs/design.md, "Changed").
const CLASS_LEAST: f64 = 8.0; // attempts that a class of its own needs before it counts or is cleared
const FAULTY_SHARE: f64 = 0.2; // of an arm's machines, one at least: a breach must survive without the worst
const EVIDENCE_SPAN: Micros = 15 * SECOND; // samples older than this are forgotten
const EARLIER_SLACK: Micros = 2 * SECOND; // earlier-build answers from so long before a window count with it
const PEER_FRESH: Micros = 3 * SECOND; // a peer's summary counts for this long
const PEER_EVERY: Micros = 500 * MS; // summaries go out this often
const RENEW_SHARE: f64 = 0.6; // of a vote's life: then it is renewed
const VOTE_RETRY: Micros = 400 * MS; // least wait after a vote that did not count, doubled by jitter
// Routing and health.
const STEP: Micros = 100 * MS; // slow upkeep
const RECENT: usize = 100; // answer times kept for each class
const SMOOTHING: f64 = 0.15; // weight of the newest outcome in a server's record
const FASTER: f64 = 0.5; // the same where the newest outcome is good news
const FADING: f64 = 0.03; // of a server's record, each step
const STREAK_OUT: u32 = 3; // attempts in a row without an answer before a server is left out
const OUT_FIRST: Micros = SECOND; // left out for so long at first, doubled at each repeat ...
const OUT_LONGEST: Micros = 8 * SECOND; // ... up to this
const STALL_FACTOR: f64 = 4.0; // typical answer times without any answer: the server may be standing still
const RETRY_SHARE: f64 = 0.2; // further attempts earned by each request
const RETRY_DEPTH: f64 = 20.0; // further attempts that may be saved up
const HURRY_FACTOR: f64 = 1.3; // times the class's 95th percentile: then a second chance is worth its cost
const HOLD_SHARE: f64 = 0.5; // of a class's aim: how long a request waits for a server before it is refused
const EARNED: f64 = 0.995; // of the cap counts as earned, so that rounding never passes it
const COLD_SAFETY: f64 = 0.6; // share of a cold server's span budget that this balancer allows itself
const ADMIT_SHARE: f64 = 0.65; // of the tightest aim: a longer expected answer time is refused at once
const REDRAWS: usize = 3; // further pairs drawn while the better server is busier than the pool's mean
const KEYS_KEPT: usize = 200_000; // one-way keys remembered; past that only known keys go to the new build
const NOTES_MOST: u32 = 100; // log lines a life

/// One load balancer's decisions: a deterministic state machine.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    m: Memory,
}

impl Balancer {
    /// A fresh balancer that knows nothing but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let typical =
            set.classes.iter().map(|c| Typical::new(c.aim as f64 / 4.0, c.aim as f64 / 2.0)).collect();
        let retry_credit = RETRY_DEPTH / 2.0;
        let m = Memory { rng: Rng(seed), typical, retry_credit, ..Memory::default() };
        Balancer { set, m }
    }

    /// Takes one event and appends what to do about it.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.m.started {
            (self.m.started, self.m.list_heard) = (true, now);
            out.push(Action::SetTimer { after: self.tick(), token: 0 });
            out.extend(self.set.list_on_request.then_some(Action::FollowList));
        }
        match event {
            Event::ServerList { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Timer { .. } => self.on_tick(now, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, out),
            Event::StreamStarted { request, .. } => self.m.stream_started(request),
            Event::AnswerFlagged { server, class, since } => self.on_flag(now, server, class, since),
            Event::ClientGone { request } => self.finish(request, out),
            Event::Stage(news) => self.on_news(now, news),
            Event::VoteReply { outcome, news } => self.on_vote_reply(now, outcome, news),
            Event::PeerMessage { from, payload } => {
                let summary = PeerSummary::decode(now, payload).filter(|_| from < self.set.fleet_size);
                self.m.peers.extend(summary.map(|s| (from, s)));
            }
            Event::Probed { .. } | Event::PlatformCount { .. } => {}
        }
    }

    fn tick(&self) -> Micros {
        self.set.tick.max(5 * MS)
    }

    fn on_list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        if kind == ListKind::Failed {
            // Jittered back-off: all balancers share the list service, and a loss hits them together.
            self.m.list_failures = (self.m.list_failures + 1).min(5);
            let wait = ((200 * MS) << self.m.list_failures) as f64 * (0.5 + self.m.rng.unit());
            self.m.list_retry = Some(now + wait as Micros);
            return;
        }
        if kind != ListKind::Cached {
            (self.m.list_heard, self.m.list_failures, self.m.list_retry) = (now, 0, None);
        }
        let subject = self.m.news.filter(|n| n.phase == Phase::Trial).map(|n| n.build);
        if self.m.apply_list(kind, entries, subject) {
            // A stage is judged with its own machines: faults may show only under load or with time.
            self.start_window(now);
            if self.m.verdict == Verdict::On {
                self.m.verdict = Verdict::Withdraw;
            }
        }
    }

    fn follow_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        let silent = now.saturating_sub(self.m.list_heard) > self.set.contract.ask_within / 10 * 7;
        if self.set.list_on_request && (self.m.list_retry.is_some_and(|at| at <= now) || silent) {
            // A drop of the subscription can go unheard, so silence is answered by asking again.
            (self.m.list_retry, self.m.list_heard) = (None, now);
            out.push(Action::FollowList);
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let Request { id, class, .. } = request;
        if let (true, Some(key)) = (self.set.rollout.one_way, request.key) {
            self.m.key_counts.count(key, KEYS_KEPT);
        }
        self.m.retry_credit = (self.m.retry_credit + RETRY_SHARE).min(RETRY_DEPTH);
        for build in self.trial_builds() {
            let cap = self.cap(now, build);
            self.m.exposure_of(build, class, self.set.rollout.per_class).earn(cap * EARNED);
        }
        if class >= self.set.classes.len() {
            out.push(Action::Refuse { request: id, come_back: 0 });
            return;
        }
        let cost = request.hint.map_or(self.m.typical[class].median, |h| h as f64).max(1.0);
        self.m.open.insert(id, Open::new(request, now, cost));
        self.place(now, id, out);
    }

    /// Sends a request to a server; holds it for a while when none may take it; refuses it at once when
    /// the answer would come too late anyway, so that a crowd does not make everybody late.
    fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id) else { return };
        let (Request { class, deadline, .. }, arrived, tick) = (open.request, open.arrived, self.tick());
        let aim = self.set.classes[class].aim as f64;
        // All classes share the queues: measured by its own aim, a patient class would crowd out the others.
        let tightest = self.set.classes.iter().map(|c| c.aim as f64).fold(aim, f64::min);
        if let Some(server) = self.pick(now, id) {
            let chosen = &self.m.servers[&server];
            let expected = chosen.per_slot * f64::from(chosen.in_flight + 1);
            if chosen.in_flight > 1
                && expected > tightest * ADMIT_SHARE
                && self.m.open[&id].attempts.is_empty()
            {
                self.give_up(now, id, true, out);
            } else {
                self.send(now, id, server, out);
            }
        } else if now.saturating_sub(arrived) as f64 >= aim * HOLD_SHARE || now + 3 * tick >= deadline {
            self.give_up(now, id, true, out);
        } else {
            self.m.look_again(id, now + tick);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.m.servers.get(&to) else { return };
        let (entry, cold) = (server.entry, self.warmth(now, server) < 1.0);
        let Some((class, deadline)) = self.m.start_attempt(now, id, entry, cold) else { return };
        if self.trial_builds().contains(&entry.build) {
            self.m.owed = (self.m.owed - 1.0).max(-2.0);
            self.m.exposure_of(entry.build, class, self.set.rollout.per_class).spend(now);
        }
        let guard = deadline.saturating_sub(2 * self.tick()).max(now + 1);
        out.push(Action::Send { request: id, server: to, cut_at: guard });
        let hurry = now + (self.m.typical[class].tail * HURRY_FACTOR) as Micros;
        self.m.look_again(id, hurry.min(guard));
    }

    fn on_due(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id).filter(|o| !o.done && !o.streaming) else { return };
        if now + 3 * self.tick() >= open.request.deadline {
            self.give_up(now, id, false, out);
        } else if open.out() == 0 {
            self.place(now, id, out);
        } else {
            self.hurry(now, id, out);
        }
    }

    /// A slow attempt gets a second copy where allowed, else it is cut so that a retry can follow.
    fn hurry(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let open = &self.m.open[&id];
        let (class, attempt) = (&self.set.classes[open.request.class], open.attempts.len() - 1);
        let next = open.request.deadline.saturating_sub(2 * self.tick());
        let worth_it = open.out() == 1 && now < open.arrived + class.aim && self.m.retry_credit >= 1.0;
        if worth_it && class.effect != Effect::Fragile && attempt + 1 < self.set.limits.max_attempts {
            if self.set.limits.second_copies {
                if let Some(server) = self.pick(now, id) {
                    self.m.retry_credit -= 1.0;
                    self.send(now, id, server, out);
                }
            } else if self.set.limits.cancel && class.effect == Effect::Retryable {
                out.push(Action::Cancel { request: id, attempt });
            }
        }
        self.m.look_again(id, next);
    }

    fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let AttemptEnd { request: id, attempt: number, outcome, settled, .. } = end;
        let Some(open) = self.m.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(number) else { return };
        if attempt.ended.replace(outcome).is_some() {
            return;
        }
        let (attempt, class, cost, key) = (attempt.clone(), open.request.class, open.cost, open.request.key);
        let late = now >= open.arrived + self.set.classes[class].aim;
        self.learn_server(now, class, attempt.beside, end);
        self.learn_build(now, &attempt, (class, cost, late), end);
        if outcome == Outcome::Ok && !attempt.cold {
            self.m.served.add(now, cost);
        }
        let live = |n: &StageNews| matches!(n.phase, Phase::Trial | Phase::Released);
        let subject = self.m.news.filter(|n| live(n) && n.build == attempt.to.build);
        if let (Outcome::Ok, Some(key), Some(_), true) = (outcome, key, subject, self.set.rollout.one_way) {
            self.m.keys.insert(key);
        }
        let Some(open) = self.m.open.get(&id) else { return };
        if settled || open.done {
            self.finish(id, out);
        } else if open.out() == 0 && !open.streaming {
            self.after_failure(now, id, outcome, out);
        }
    }

    /// All attempts have ended without an answer: another one, or the final answer at once.
    fn after_failure(&mut self, now: Micros, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let open = &self.m.open[&id];
        let time_left = now + 4 * self.tick() < open.request.deadline;
        let attempts_left = open.attempts.len() < self.set.limits.max_attempts && outcome != Outcome::Moot;
        // The budget keeps retries from feeding an overload; proven non-runs cost as much as any.
        if time_left && attempts_left && self.may_repeat(now, open, None) && self.m.retry_credit >= 1.0 {
            self.m.retry_credit -= 1.0;
            self.place(now, id, out);
        } else {
            self.give_up(now, id, false, out);
        }
    }

    /// The final answer: a refusal where that claim is allowed, else a failure. Never held back.
    fn give_up(&mut self, now: Micros, id: RequestId, crowded: bool, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id) else { return };
        let class = &self.set.classes[open.request.class];
        let untouched = open.first_that_may_have_run().is_none();
        let harmless = match class.effect {
            Effect::Deduplicated => class.group == DedupGroup::All,
            effect => effect == Effect::Retryable,
        };
        let past_aim = now >= open.arrived + class.aim;
        if untouched || harmless {
            let advise = self.set.limits.retry_after && (crowded || past_aim);
            let come_back = if advise { self.set.limits.max_retry_after } else { 0 };
            out.push(Action::Refuse { request: id, come_back });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.finish(id, out);
    }

    /// Nothing more is owed: attempts still out are cancelled and only their ends are awaited.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get_mut(&id) else { return };
        if !open.done && self.set.limits.cancel && !open.streaming {
            for (attempt, _) in open.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none()) {
                out.push(Action::Cancel { request: id, attempt });
            }
        }
        open.done = true;
        if open.out() == 0 {
            self.m.forget(id);
        }
    }

    /// Chooses a server: the trial build by its share of warm listed machines, then two random choices.
    fn pick(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        let open = self.m.open.get(&id)?.clone();
        let trials = self.trial_builds();
        let mut pools: [Vec<(ServerId, f64, bool)>; 2] = [Vec::new(), Vec::new()];
        let mut share = [0.0; 2];
        for sid in self.m.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.m.servers[&sid];
            if server.entry.status != Status::Ready || !self.may_repeat(now, &open, Some(&server.entry)) {
                continue;
            }
            let pool = usize::from(trials.contains(&server.entry.build));
            share[pool] += self.warmth(now, server);
            let tried = open.attempts.iter().any(|a| a.to.id == sid);
            let weight = self.weight(now, server) * if tried { 0.01 } else { 1.0 };
            let out = server.out_until > now;
            if self.cold_room(now, sid, open.cost) && self.build_admits(now, sid, &open) {
                pools[pool].push((sid, weight, out));
            }
        }
        let going_back = self.m.news.is_some_and(|n| n.phase == Phase::RollingBack);
        if open.attempts.is_empty() && open.arrived == now && share[1] > 0.0 {
            // Machines beside those they replace count as one place: they must show what they do under load.
            let places = if self.set.rollout.in_place { share[0] + share[1] } else { share[0].max(share[1]) };
            self.m.owed = (self.m.owed + share[1] / places).min(2.0);
        }
        // A key that the new build answers is bound to it, so popular keys would pile onto few machines,
        // and classes not yet admitted would find their keys bound: only keys rarer than most go first.
        let popular = open.request.key.is_some_and(|k| self.m.key_counts.popularity(k) > 1.0);
        let to_trial = open.attempts.is_empty() && self.m.owed >= 1.0 && !popular && !going_back;
        let order = if to_trial { [1, 0] } else { [0, 1] };
        order.into_iter().find_map(|pool| self.choose(&mut pools[pool]))
    }

    /// Two random choices by own attempts out, drawn again while the better one is busier than the mean.
    /// Servers left out stay so only while half of the pool is in.
    fn choose(&mut self, pool: &mut Vec<(ServerId, f64, bool)>) -> Option<ServerId> {
        if pool.iter().filter(|s| !s.2).count() * 2 >= pool.len() {
            pool.retain(|s| !s.2);
        }
        let total: f64 = pool.iter().map(|s| s.1).sum();
        let held: f64 = pool.iter().map(|s| f64::from(self.m.servers[&s.0].in_flight)).sum();
        let mean = (held + 1.0) / total.max(1e-9);
        let mut best: Option<(ServerId, f64)> = None;
        for draw in 0..2 + 2 * REDRAWS {
            if draw >= 2 && draw % 2 == 0 && best.is_some_and(|b| b.1 <= mean) {
                break;
            }
            let (id, weight, _) = *pool.get(self.m.rng.weighted(total, pool.iter().map(|s| s.1)))?;
            let load = (f64::from(self.m.servers[&id].in_flight) + 1.0) / weight;
            if best.is_none_or(|b| load < b.1) {
                best = Some((id, load));
            }
        }
        best.map(|b| b.0)
    }

    /// Whether another attempt can take no second effect, at the given server or at any at all: once a
    /// deduplicated request may have run, only its first server's group may see it again, and in time.
    fn may_repeat(&self, now: Micros, open: &Open, at: Option<&ServerEntry>) -> bool {
        let class = &self.set.classes[open.request.class];
        let Some(ran) = open.first_that_may_have_run() else { return true };
        let same_group = at.is_none_or(|entry| match class.group {
            DedupGroup::All => true,
            DedupGroup::Zone => ran.to.zone == entry.zone,
            DedupGroup::Cell => ran.to.cell == entry.cell,
        });
        match class.effect {
            Effect::Retryable => true,
            Effect::Fragile => false,
            Effect::Deduplicated => same_group && now + 2 * self.tick() < ran.sent_at + class.dedup_window,
        }
    }

    fn warmth(&self, now: Micros, server: &Server) -> f64 {
        let (age, span) = (now.saturating_sub(server.entry.started_at), self.set.contract.cold_span);
        if server.entry.started_at == 0 || age >= span {
            return 1.0;
        }
        let from = self.set.contract.cold_from;
        from + (1.0 - from) * age as f64 / span as f64
    }

    /// A server's share of its pool: size and warmth, less what own outcomes say against it.
    fn weight(&self, now: Micros, server: &Server) -> f64 {
        let health = (1.0 - server.failing).powi(3) / server.slowness.max(1.0).powi(2);
        let typical = self.m.typical.iter().map(|t| t.median).fold(0.0, f64::max);
        let waiting = now.saturating_sub(server.waiting_since) as f64;
        // Attempts out and no answer for long: paused, cut off or dead, whatever the cause.
        let stalled = server.in_flight > 0 && waiting > STALL_FACTOR * typical;
        (server.size(self.set.sizes_known)
            * self.warmth(now, server)
            * health
            * if stalled { 0.05 } else { 1.0 })
        .max(1e-3)
    }

    /// A cold server's budget over any fall span, small enough to hold when every balancer does the same:
    /// own sends against what own warm servers are seen to carry.
    fn cold_room(&mut self, now: Micros, id: ServerId, cost: f64) -> bool {
        let server = &self.m.servers[&id];
        let warmth = self.warmth(now, server);
        if warmth >= 1.0 {
            return true;
        }
        let (contract, size) = (&self.set.contract, server.size(self.set.sizes_known));
        let (span, multiple) = (contract.fall_span, contract.fall_multiple);
        let budget = COLD_SAFETY * multiple * warmth * self.m.carried * size * span as f64 / SECOND as f64;
        let sent = self.m.servers.get_mut(&id).map_or(0.0, |s| s.sent.sum(now, span));
        sent == 0.0 || sent + cost <= budget
    }

    /// Builds on trial for this balancer: the newest by the news unless released, and any later one listed.
    fn trial_builds(&self) -> Vec<Build> {
        let ready = self.m.servers.values().filter(|s| s.entry.status == Status::Ready);
        let listed: Vec<Build> = ready.map(|s| s.entry.build).collect();
        // No news yet: only the lowest listed build is surely not on trial.
        let known = self.m.news.map_or(listed.iter().copied().min().unwrap_or(0), |n| n.build);
        let mut builds: Vec<Build> = listed.into_iter().filter(|&b| b > known).collect();
        builds.extend(self.m.news.filter(|n| n.phase != Phase::Released).map(|n| n.build));
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    fn cap(&self, now: Micros, build: Build) -> f64 {
        let Some(news) = self.m.news.filter(|n| n.build == build) else {
            return self.set.rollout.stage_cap.first().copied().unwrap_or(0.0);
        };
        // A lower cap binds after the grace; until then the old one lets earlier machines come up.
        let (before, since) = self.m.cap_before;
        let binds = since + self.set.contract.drain_grace.saturating_sub(4 * self.tick());
        if now < binds { news.cap.max(before) } else { news.cap }
    }

    /// Whether the rules let this request go to this server's build now.
    fn build_admits(&mut self, now: Micros, id: ServerId, open: &Open) -> bool {
        let build = self.m.servers[&id].entry.build;
        if let (true, Some(key)) = (self.set.rollout.one_way, open.request.key) {
            let newest = self.m.news.map_or(0, |n| n.build);
            let bound = self.m.keys.contains(&key); // kept only while the newest build is live
            let full = self.m.keys.len() >= KEYS_KEPT && !bound && build == newest;
            // A build not announced yet gets no keys: what it answers would bind them unseen.
            if (bound && build < newest) || full || build > newest {
                return false;
            }
        }
        if !self.trial_builds().contains(&build) {
            return true;
        }
        let stage = self.m.news.filter(|n| n.build == build).map_or(0, |n| n.stage);
        let safe = self.set.classes[open.request.class].effect == Effect::Retryable;
        let cap = self.cap(now, build);
        let (span, free) = (self.set.rollout.counted_over + 2 * self.tick(), self.set.rollout.uncounted);
        let guarded = stage < self.set.rollout.guarded_stages && !safe;
        let count = self.m.exposure_of(build, open.request.class, self.set.rollout.per_class);
        let room = count.after_one_more(now, span);
        cap > 0.0 && !guarded && room <= free + 1e-9
    }

    fn on_news(&mut self, now: Micros, news: StageNews) {
        let before = self.m.news.replace(news);
        let place = |n: StageNews| (n.build, n.stage, n.phase);
        let known = before.map(place) == Some(place(news));
        if let Some(b) = before.filter(|b| b.build == news.build && b.cap > news.cap) {
            self.m.cap_before = (b.cap, now);
        }
        if known {
            return;
        }
        // Never vote on evidence of another stage or build: window, verdict and vote all start anew.
        let other = before.is_none_or(|b| b.build != news.build);
        if other || matches!(news.phase, Phase::RollingBack | Phase::Withdrawn) {
            self.m.keys.clear();
        }
        if other {
            self.m.cap_before = (0.0, 0);
            self.m.exposure.retain(|&build, _| build >= news.build);
        }
        self.start_window(now);
        (self.m.breaches, self.m.verdict, self.m.standing) = (0.0, Verdict::Withdraw, None);
        self.m.stage_since = now;
    }

    fn learn_server(&mut self, now: Micros, class: usize, beside: u32, end: AttemptEnd) {
        let AttemptEnd { server: id, outcome, elapsed, .. } = end;
        let typical = self.m.typical[class].median.max(1.0);
        let Some(server) = self.m.servers.get_mut(&id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            (server.waiting_since, server.streak) = (now, 0);
        }
        let pace = (elapsed as f64 / typical).min(10.0);
        match outcome {
            Outcome::Ok => {
                server.failing *= 1.0 - SMOOTHING;
                let per_slot = elapsed as f64 / f64::from(beside.max(1));
                // Few attempts out overstate it, and refusals would keep them few: down fast, up slowly.
                let rate = if per_slot < server.per_slot { FASTER } else { SMOOTHING };
                server.per_slot += (per_slot - server.per_slot) * rate;
                server.out_for = 0;
                self.m.typical[class].add(elapsed as f64, RECENT);
            }
            Outcome::Cancelled | Outcome::Moot => {}
            _ => server.failing += (1.0 - server.failing) * SMOOTHING,
        }
        // A cancelled attempt says "at least this slow".
        if outcome == Outcome::Ok || (outcome == Outcome::Cancelled && pace > server.slowness) {
            server.slowness += (pace - server.slowness) * SMOOTHING / 2.0;
        }
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
            server.streak += 1;
        }
        // Dead or unreachable before the list says so: left out, then tried again with one request.
        if server.streak >= STREAK_OUT || (outcome == Outcome::ConnectFailed && server.streak >= 2) {
            server.out_for = (server.out_for * 2).clamp(OUT_FIRST, OUT_LONGEST);
            server.out_until = now + server.out_for;
            server.streak = STREAK_OUT - 1;
        }
    }

    fn learn_build(&mut self, now: Micros, attempt: &Attempt, open: (usize, f64, bool), end: AttemptEnd) {
        let ((class, cost, late), AttemptEnd { outcome, elapsed, .. }) = (open, end);
        let error = outcome == Outcome::Error;
        let timeout = outcome == Outcome::Timeout && late && !attempt.cold;
        // Refusals, failed connects and attempts never sent are no answers of the build.
        if !outcome.may_have_run() {
            return;
        }
        // Cut short: at least this slow, which says something only past the typical time.
        let cut = matches!(outcome, Outcome::Cancelled | Outcome::Timeout);
        if cut && (elapsed as f64) < self.m.typical[class].median && !timeout {
            return;
        }
        let pace = (!attempt.cold && !error).then_some(elapsed as f64 / cost);
        let (server, build) = (attempt.to.id, attempt.to.build);
        let failed = error || timeout || outcome == Outcome::Reset;
        let sample = Sample { at: now, class, server, build, error, failed, flagged: false, pace };
        self.m.samples.push_back(sample);
        if self.m.news.is_some_and(|n| n.build == build) {
            self.m.window_count += 1;
        }
    }

    fn on_flag(&mut self, now: Micros, server: ServerId, class: usize, since: Micros) {
        let sent = now.saturating_sub(since);
        let of = |s: &&mut Sample| (s.server, s.class) == (server, class) && s.at >= sent && !s.failed;
        if let Some(sample) = self.m.samples.iter_mut().find(of) {
            // Reports come late: the window that is open now is the one that learns of it.
            let at = sample.at.max(self.m.window_start);
            *sample = Sample { at, failed: true, flagged: true, ..*sample };
        }
    }

    fn start_window(&mut self, now: Micros) {
        (self.m.window_start, self.m.window_count) = (now, 0);
    }

    /// The build that can be voted on; not one released before an earlier build was ever seen to compare.
    fn subject(&self) -> Option<StageNews> {
        let earlier = !self.m.reference.is_empty();
        self.m.news.filter(|n| n.phase == Phase::Trial || (n.phase == Phase::Released && earlier))
    }

    /// Closes the window when it is full or old enough, and turns its finding into a verdict.
    fn judge(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.subject() else { return };
        let age = now.saturating_sub(self.m.window_start);
        let full = self.m.window_count >= WINDOW_ATTEMPTS && age >= WINDOW_SHORTEST;
        if !full && age < WINDOW_SPAN {
            return;
        }
        let finding = self.find(now, news);
        if finding == Finding::Thin {
            return; // the window stays open and carries its evidence on until it suffices
        }
        let timer = self.set.rollout.gate == GateMode::Timer;
        let weight = if let Finding::Breach(_, weight) = finding { weight } else { 0.0 };
        let breached = finding != Finding::Clean;
        self.m.breaches = if breached { self.m.breaches + weight } else { 0.0 };
        let doubted = self.fresh_peers(now, news).any(|p| p.doubts);
        let verdict = match news.phase {
            // A conviction stands until the news changes: a desk that hears late must not find it replaced.
            _ if self.m.verdict == Verdict::Back || self.m.breaches >= BREACHES_TO_BACK => Verdict::Back,
            Phase::Trial if breached && timer => Verdict::Hold,
            Phase::Trial if !breached && !timer && !doubted => Verdict::On,
            _ => Verdict::Withdraw,
        };
        if verdict != self.m.verdict || weight > 0.0 {
            let text = format!("build {} stage {}: {verdict:?} {finding:?}", news.build, news.stage);
            out.extend(self.m.note(text, NOTES_MOST));
        }
        self.m.verdict = verdict;
        if weight > 0.0 || !breached || age >= WINDOW_SPAN {
            self.start_window(now);
        }
    }

    /// Compares the new build with the earlier one over the open window.
    fn find(&mut self, now: Micros, news: StageNews) -> Finding {
        let start = self.m.window_start;
        let mut new = self.m.samples_of(|s| s.build == news.build && s.at >= start);
        let from = start.saturating_sub(EARLIER_SLACK);
        let (recent, suspect) = sound(&self.m.samples_of(|s| s.build < news.build && s.at >= from));
        let remembered = (recent.len() as f64) < WINDOW_LEAST;
        let ratio = if remembered { LATENCY_RATIO * LATENCY_RATIO } else { LATENCY_RATIO };
        let earlier = if remembered { self.m.reference.clone() } else { recent };
        if remembered {
            // Without an earlier arm beside it, time-outs and resets may be the load's or the machines'.
            new.iter_mut().for_each(|s| s.failed = s.error || s.flagged);
        }
        let peers = PeerSummary::add_up(self.fresh_peers(now, news), self.set.classes.len());
        let total = new.len() as f64 + peers.iter().map(|p| p[0]).sum::<f64>();
        if total < WINDOW_LEAST {
            return Finding::Thin;
        }
        let judged = match self.compare(&new, &earlier, ratio, &peers) {
            Ok(judged) => {
                // A small steady failure share passes each window's bounds, but not the whole stage's.
                // Over so long a time machine faults strike both arms alike, if both are there.
                let (long, base) = self.m.stage_samples(news.build);
                let (long, base) = if remembered { (sound(&long).0, sound(&base).0) } else { (long, base) };
                if let Err((reason, _)) = self.compare(&long, &base, f64::INFINITY, &[]) {
                    return Finding::Breach(reason, 1.0);
                }
                judged
            }
            // A queue that builds up and drains lifts a short window's median and tail: latency convicts over
            // the whole span only (till then no 'on' stands), or past the limit squared; twice if remembered.
            Err((why, true)) if now.saturating_sub(start) < WINDOW_SPAN => return Finding::Breach(why, 0.0),
            Err((reason, latency)) => {
                // Machine faults: the breach must survive without the worst of the new machines; a lone one
                // must stand out from what the worst earlier ones do.
                let (rest, worst) = sound(&new);
                let alone = if worst.is_empty() {
                    self.compare(&suspect, &earlier, ratio, &[]).is_err()
                } else {
                    self.compare(&rest, &earlier, ratio, &peers).is_ok()
                };
                let weight = if latency && remembered { 0.5 } else { 1.0 };
                return Finding::Breach(reason, if alone { 0.0 } else { weight });
            }
        };
        if !remembered {
            self.m.reference = earlier;
        }
        // A class admitted late needs evidence of its own; what was not compared clears no breach.
        let guarded = news.stage < self.set.rollout.guarded_stages;
        let short = self.set.classes.iter().enumerate().any(|(c, class)| {
            let own = new.iter().filter(|s| s.class == c).count() as f64;
            let admitted = !guarded || class.effect == Effect::Retryable;
            admitted && own + peers.get(c).map_or(0.0, |p| p[0]) < CLASS_LEAST / 2.0
        });
        let waiting = now.saturating_sub(start) < 3 * WINDOW_SPAN;
        if (short && waiting) || (self.m.breaches > 0.0 && !judged && waiting) {
            return Finding::Thin;
        }
        Finding::Clean
    }

    /// Compares the arms class by class on the same footing: the reason of a breach, else whether there
    /// was enough to compare latency.
    fn compare(&self, new: &[Sample], earlier: &[Sample], limit: f64, peers: &Counts) -> Compared {
        let classes = self.set.classes.len();
        let (mut new, mut earlier) = (Tally::by_class(new, classes), Tally::by_class(earlier, classes));
        // What the earlier build would have done with the new one's mix of classes is its base.
        let (mut sum, mut base, mut earlier_n) = (Tally::default(), Tally::default(), 0.0);
        for (class, (ours, theirs)) in new.iter_mut().zip(&mut earlier).enumerate() {
            if let Some([n, failed, earlier_n, earlier_failed]) = peers.get(class) {
                ours.add(*n, *failed);
                theirs.add(*earlier_n, *earlier_failed);
            }
            let share = theirs.failed / theirs.n.max(1.0);
            if ours.n >= CLASS_LEAST && wilson_lower(ours.failed, ours.n, Z95) > share + FAILURE_MARGIN {
                return Err((
                    format!("class {class} fails {}/{} against {share:.3}", ours.failed, ours.n),
                    false,
                ));
            }
            let median = quantile(&mut theirs.paces, 0.5).filter(|&m| m > 0.0 && theirs.n >= CLASS_LEAST);
            sum.merge(ours, 1.0, median);
            base.merge(theirs, ours.n / theirs.n.max(1.0), median);
            earlier_n += theirs.n;
        }
        let (n, share) = (sum.n, base.failed / sum.n.max(1.0));
        if wilson_lower(sum.errors, n, Z95) > share + FAILURE_MARGIN {
            return Err((format!("errors {}/{n} against {share:.3}", sum.errors), false));
        }
        if difference_lower((sum.failed, n), (share * earlier_n, earlier_n), Z95) > FAILURE_MARGIN {
            return Err((format!("failures {}/{n} against {share:.3} of {earlier_n}", sum.failed), false));
        }
        // Only a share of wrong answers is reported, so the margin is scaled down by it.
        let flags = base.flagged / n.max(1.0) + FAILURE_MARGIN * self.set.rollout.flag_share;
        if sum.flagged >= 2.0 && wilson_lower(sum.flagged, n, Z95) > flags {
            return Err((format!("wrong answers {}/{n} against {flags:.3}", sum.flagged), false));
        }
        if (sum.paces.len().min(base.paces.len()) as f64) < WINDOW_LEAST {
            return Ok(false);
        }
        let mut ratio =
            |q| quantile(&mut sum.paces, q).zip(quantile(&mut base.paces, q)).map_or(1.0, |(a, b)| a / b);
        let (median, tail) = (ratio(0.5), ratio(0.95));
        let slower =
            || (format!("slower: median x{median:.2}, p95 x{tail:.2} over {n}"), median < limit * limit);
        if median > limit && tail > limit { Err(slower()) } else { Ok(true) }
    }

    /// Casts, renews or withdraws this balancer's vote.
    fn vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.subject() else { return };
        let age = |cast: &Cast| now.saturating_sub(cast.at);
        // A reply can be lost itself; a vote stands for its span only.
        self.m.pending = self.m.pending.filter(|p| age(p) <= 2 * self.set.rollout.call_timeout);
        let ttl = self.set.rollout.vote_ttl;
        let held = self.m.standing.filter(|s| age(s) < ttl);
        let aged = held.is_some_and(|s| age(&s) as f64 >= ttl as f64 * RENEW_SHARE);
        let wanted = self.m.verdict;
        let same = held.map_or(Verdict::Withdraw, |s| s.verdict) == wanted && !aged;
        if self.m.pending.is_none() && now >= self.m.vote_at && !same {
            self.m.pending = Some(Cast { build: news.build, stage: news.stage, verdict: wanted, at: now });
            out.push(Action::Vote { build: news.build, stage: news.stage, verdict: wanted });
        }
    }

    fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, news: Option<StageNews>) {
        // The reply to a vote on another stage says nothing of this one.
        let current = self.m.news.map(|n| (n.build, n.stage));
        let cast = self.m.pending.take().filter(|c| Some((c.build, c.stage)) == current);
        match outcome {
            Outcome::Ok => self.m.standing = cast.map(|c| Cast { at: now, ..c }).or(self.m.standing),
            // It may have counted: taken as standing, but old, so that it is soon renewed or withdrawn.
            Outcome::Timeout => {
                let old = (self.set.rollout.vote_ttl as f64 * RENEW_SHARE) as Micros;
                self.m.standing = cast.map(|c| Cast { at: now.saturating_sub(old), ..c });
            }
            _ => {}
        }
        if outcome != Outcome::Ok {
            // The allowance is shared by all balancers: back off with jitter.
            self.m.vote_at = now + (VOTE_RETRY as f64 * (1.0 + self.m.rng.unit())) as Micros;
        }
        news.into_iter().for_each(|news| self.on_news(now, news));
    }

    /// Tells the open window's counts for each class: attempts and failures of both builds.
    fn tell_peers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.subject() else { return };
        if !self.set.limits.peer_messages || self.set.fleet_size < 2 || now < self.m.next_tell {
            return;
        }
        self.m.next_tell = now + PEER_EVERY;
        let from = now.saturating_sub(WINDOW_SPAN).max(self.m.window_start);
        let arm = |new: bool| {
            let of = |s: &Sample| s.at >= from && s.build <= news.build && (s.build == news.build) == new;
            // Machine faults are left out here as well: a peer cannot tell them from the build's.
            Tally::by_class(&sound(&self.m.samples_of(of)).0, self.set.classes.len())
        };
        let doubts = self.m.breaches > 0.0 || self.m.verdict == Verdict::Back;
        let counts: Vec<[f64; 4]> =
            arm(true).iter().zip(&arm(false)).map(|(a, b)| [a.n, a.failed, b.n, b.failed]).collect();
        out.push(Action::TellPeers { payload: PeerSummary::encode(news.build, news.stage, doubts, &counts) });
    }

    /// Fresh summaries of the same build and stage, added up by class. A supplement: none need come.
    fn fresh_peers(&self, now: Micros, news: StageNews) -> impl Iterator<Item = &PeerSummary> {
        let fresh = move |p: &&PeerSummary| now.saturating_sub(p.at) < PEER_FRESH;
        let same = move |p: &&PeerSummary| (p.build, p.stage) == (news.build, news.stage);
        self.m.peers.values().filter(fresh).filter(same)
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: self.tick(), token: 0 });
        while let Some(id) = self.m.next_due(now) {
            self.on_due(now, id, out);
        }
        self.follow_list(now, out);
        if now >= self.m.next_step {
            self.m.next_step = now + STEP;
            self.step(now);
            self.judge(now, out);
            self.tell_peers(now, out);
        }
        self.vote(now, out);
    }

    fn step(&mut self, now: Micros) {
        self.m.typical.iter_mut().for_each(Typical::refresh);
        self.m.servers.values_mut().for_each(|s| s.relax(FADING));
        let ready = self.m.servers.values().filter(|s| s.entry.status == Status::Ready);
        let sized = |s: &Server| s.size(self.set.sizes_known);
        let warm: f64 = ready.clone().filter(|s| self.warmth(now, s) >= 1.0).map(sized).sum();
        let all: f64 = ready.map(sized).sum();
        let rate = self.m.served.sum(now, 2 * SECOND) / 2.0;
        if warm * 2.0 >= all && warm > 0.0 {
            self.m.carried = (rate / warm).max(self.m.carried * 0.995);
        }
        while self.m.samples.front().is_some_and(|s| s.at + EVIDENCE_SPAN < now) {
            self.m.samples.pop_front();
        }
    }
}

/// The samples parted into those of sound machines and those of the machines that look worst, so that
/// machine faults are not the build's.
fn sound(samples: &[Sample]) -> (Vec<Sample>, Vec<Sample>) {
    let mean = samples.iter().filter_map(|s| s.pace).sum::<f64>() / (samples.len() as f64).max(1.0);
    let badness = |s: &Sample| s.pace.map_or(1.0, |p| p / mean.max(1e-9)) + if s.failed { 10.0 } else { 0.0 };
    part_worst(samples, FAULTY_SHARE, badness)
}
