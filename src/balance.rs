//! The decisions of one balancer. Its events, actions and settings are the plain types of `src/interface.rs`.
//!
//! In the order of a request's life it decides: whether to take it (`on_request`), which build and server
//! get it (`place`, `pick`), when to hurry a slow attempt (`hurry`), what follows its end (`after_failure`),
//! the final answer (`give_up`). Beside that: the server list (`on_list`), the guards for the rules
//! (`build_admits`, `cold_limit`). Judging and the vote stand in `src/judging.rs`, what may begin at all in
//! `src/permission.rs`. See `docs/design.md`.

use crate::interface::*;
use crate::judging::PEER_EVERY;
use crate::state::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

// Routing and health.
const LIST_RETRY: Micros = 200 * MS; // doubled before each further call, up to five times
const TICK_LEAST: Micros = 5 * MS; // margins before deadlines are counted in ticks
const STEP: Micros = 100 * MS; // slow upkeep
const RECENT: usize = 100; // answer times kept for each class
const SMOOTHING: f64 = 0.15; // weight of the newest outcome in a server's record
const FASTER: f64 = 0.5; // the same where the newest outcome is good news
const FADING: f64 = 0.03; // of a server's record, each step
const STALL_FACTOR: f64 = 4.0; // typical answer times without any answer: the server may be standing still
const RETRY_SHARE: f64 = 0.1; // further attempts earned by each request
const RETRY_DEPTH: f64 = 4.0; // further attempts that may be saved up
const HURRY_FACTOR: f64 = 1.3; // times the class's 95th percentile: then a second chance is worth its cost
const HOLD_SHARE: f64 = 0.5; // of a class's aim: how long a request waits for a server before it is refused
const EARNED: f64 = 0.995; // of the cap counts as earned, so that rounding never passes it
const COLD_DRAW: f64 = 0.5; // of a cold server's budget, where that is under one request
const LATE_WEIGHT: f64 = 0.1; // of the newest answer in the late share
const LATE_ALONE: f64 = 0.3; // over the late share of all: a class or tenant then counts by itself
const LATE_KEPT: f64 = 0.99; // of that share, each step
const SHED_FROM: f64 = 0.15; // late share from which on requests are refused at once ...
const SHED_GAIN: f64 = 2.0; // ... so much of what is over it
const SHED_MOST: f64 = 0.9; // so that some are always tried
const CARRIED_KEPT: f64 = 0.995; // of what a warm server was seen to carry, each step
const COLD_SAFETY: f64 = 0.6; // share of a cold server's span budget that this balancer allows itself
const ADMIT_SHARE: f64 = 0.65; // of the tightest aim: a longer expected answer time is refused at once
const REDRAWS: usize = 3; // further pairs drawn while the better server is busier than the pool's mean
const KEY_POPULAR: f64 = 3.0; // times the mean: such a key is not bound to a trial build early
const KEYS_KEPT: usize = 200_000; // one-way keys remembered; past that only known keys go to the new build
const KEY_OUT_MOST: usize = 8; // attempts with one key that are told apart; past that it counts as answered

/// One load balancer's decisions: a deterministic state machine.
#[derive(Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) m: Memory,
}

impl Balancer {
    /// A fresh balancer that knows nothing but its settings.
    pub fn new(mut set: Settings, seed: u64) -> Self {
        set.tick = set.tick.max(TICK_LEAST);
        set.rollout.votes_to_roll_back = set.rollout.votes_to_roll_back.max(1.0);
        let guess = |c: &RequestClass| {
            Typical::new(c.latency_objective as f64 / 4.0, c.latency_objective as f64 / 2.0)
        };
        let typical = set.classes.iter().map(guess).collect();
        let mut m = Memory { rng: Rng(seed), typical, retry_credit: RETRY_DEPTH, ..Memory::default() };
        // Drawn starts: what each does once must not be done by all at once.
        (m.owed, m.life) = (m.rng.unit(), (m.rng.unit() * 256.0) as u8);
        Balancer { set, m }
    }

    /// For a process that takes over: all that was learned, booked and told, and none of the requests held.
    pub fn successor(&self, seed: u64) -> Self {
        let mut next = self.clone();
        next.m.leave_requests(seed);
        next
    }

    /// Takes one event and appends what to do about it.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.m.started {
            (self.m.started, self.m.list_heard) = (true, now);
            let mut drawn = |span: Micros| now + (span as f64 * self.m.rng.unit()) as Micros;
            (self.m.next_step, self.m.next_tell) = (drawn(STEP), drawn(PEER_EVERY));
            out.extend(self.set.subscribes_to_list.then_some(Action::WatchServerList));
        }
        match event {
            Event::ServerList { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Timer { .. } => self.on_tick(now, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, out),
            Event::StreamStarted { request, .. } => self.m.stream_started(request),
            Event::AnswerFlagged { server, class, since } => self.on_flag(now, server, class, since),
            Event::ClientDisconnected { request } => self.finish(request, out),
            Event::Release(news) => self.on_news(now, news),
            Event::VoteReply { outcome, release: news } => self.on_vote_reply(now, outcome, news),
            Event::PeerMessage { from, payload } => self.on_peer_message(from, payload),
            Event::Operator(word) => self.on_operator(now, word, out),
            Event::ReadyToSend { request, attempt } => self.on_leaving(now, request, attempt, out),
            Event::ListLease { until } => self.m.list_until = Some(until),
            Event::ShutdownAt { at } => self.on_end(at),
            Event::HealthChecked { .. } | Event::LoadReport { .. } => {}
        }
        // One timer, for what comes next: hundreds of idle balancers cost next to nothing.
        let due = self.m.due.first().map_or(self.m.next_step, |d| d.0.min(self.m.next_step)).max(now + 1);
        if self.m.armed <= now || due < self.m.armed {
            self.m.armed = due;
            out.push(Action::SetTimer { after: due - now, token: 0 });
        }
    }

    fn on_list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        if kind == ListKind::Failed {
            // Jittered back-off: all balancers share the list service, and a loss hits them together.
            self.m.list_failures = (self.m.list_failures + 1).min(5);
            let wait = (LIST_RETRY << self.m.list_failures) as f64 * (0.5 + self.m.rng.unit());
            return self.m.list_retry = Some(now + wait as Micros);
        }
        if kind != ListKind::Cached {
            (self.m.list_heard, self.m.list_failures, self.m.list_retry) = (now, 0, None);
        }
        let subject = self.m.news.filter(|n| n.phase == Phase::Trial).map(|n| n.build);
        let more = self.m.apply_list(kind, entries, subject);
        self.bind_relisted();
        if more {
            // A stage is judged with its own machines: faults may show only under load or with time.
            self.start_window(now);
            self.m.verdict =
                if self.m.verdict == Verdict::Promote { Verdict::Withdraw } else { self.m.verdict };
        }
    }

    fn follow_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        // A drop of the subscription can go unheard, so silence is answered by asking again.
        let silent = now.saturating_sub(self.m.list_heard) > self.set.rules.poll_interval_max / 10 * 7;
        if self.set.subscribes_to_list && (self.m.list_retry.is_some_and(|at| at <= now) || silent) {
            (self.m.list_retry, self.m.list_heard) = (None, now);
            out.push(Action::WatchServerList);
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let Request { id, class, .. } = request;
        if class >= self.set.classes.len() {
            return out.push(Action::Reject { request: id, retry_after: 0 });
        }
        if let (true, Some(key)) = (self.set.rollout.sticky_to_new_build, request.key) {
            self.m.key_counts.count(key, KEYS_KEPT);
        }
        self.m.retry_credit = (self.m.retry_credit + RETRY_SHARE).min(RETRY_DEPTH);
        for build in self.m.builds.clone() {
            let earned = if self.on_trial(build) { self.cap(now, build) * EARNED } else { 0.0 };
            self.m.exposure_of(build, class, self.set.rollout.per_class).earn(earned);
        }
        let cost = request.cost_hint.map_or(self.m.typical[class].median, |h| h as f64).max(1.0);
        self.m.offered.add(now, cost);
        self.m.open.insert(id, Open::new(request, now, cost));
        let lane = (class, request.tenant.min(self.set.tenants.len()));
        let own = self.m.late_by.get(&lane).copied().unwrap_or(0.0);
        let late = if own > self.m.late + LATE_ALONE { own } else { self.m.late };
        if self.m.rng.unit() < ((late - SHED_FROM) * SHED_GAIN).min(SHED_MOST) {
            self.give_up(now, id, true, out);
        } else {
            self.place(now, id, out);
        }
    }

    /// Sends a request to a server; holds it for a while when none may take it; refuses it at once when
    /// the answer would come too late anyway, so that a crowd does not make everybody late.
    fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id) else { return };
        let (request, tick, held) = (open.request, self.set.tick, now.saturating_sub(open.arrived) as f64);
        let aim = self.set.classes[request.class].latency_objective as f64;
        if let Some(server) = self.pick(now, id) {
            let chosen = &self.m.servers[&server];
            let expected = chosen.per_slot * f64::from(chosen.in_flight + 1);
            // All classes share the queues: by its own aim, a patient class would crowd out the others.
            let tightest = self.set.classes.iter().map(|c| c.latency_objective as f64).fold(aim, f64::min);
            let crowded = chosen.in_flight > 1 && expected > tightest * ADMIT_SHARE;
            if crowded && self.m.open[&id].attempts.is_empty() {
                self.give_up(now, id, true, out);
            } else {
                self.send(now, id, server, out);
            }
        } else if held >= aim * HOLD_SHARE || now + 3 * tick >= request.deadline {
            self.give_up(now, id, true, out);
        } else {
            self.m.look_again(id, now + tick);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.m.servers.get(&to) else { return };
        let (entry, cold) = (server.entry, server.warmth(now, &self.set.rules) < 1.0);
        let Some((class, deadline)) = self.m.start_attempt(now, id, entry, cold) else { return };
        let number = self.m.open.get(&id).map_or(0, |open| open.attempts.len() - 1);
        self.book(now, id, number);
        let guard = deadline.saturating_sub(2 * self.set.tick).max(now + 1);
        out.push(Action::Send { request: id, server: to, cut_at: guard });
        let hurry = now + (self.m.typical[class].tail * HURRY_FACTOR) as Micros;
        self.m.look_again(id, hurry.min(guard));
    }

    /// Counts an attempt at a server against what the rules allow: keys, exposure, the cold server's budget.
    fn book(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(open) = self.m.open.get(&id) else { return };
        let Some(entry) = open.attempts.get(number).map(|a| a.to) else { return };
        let (class, key, cost) = (open.request.class, open.request.key, open.cost);
        let newest = self.m.news.is_some_and(|n| n.build == entry.build);
        if let Some(key) = key.filter(|_| newest && self.set.rollout.sticky_to_new_build && !self.m.keys_lost)
        {
            if self.key_fits(key) {
                self.m.key_sent(key, now, KEY_OUT_MOST);
            } else {
                self.m.forget_keys(true); // one cannot be remembered: from here on all count as bound
            }
        }
        let exposed = self.on_trial(entry.build);
        if exposed {
            let (span, per_class) = (self.set.rollout.exposure_window * 2, self.set.rollout.per_class);
            self.m.exposure_of(entry.build, class, per_class).spend(now, span);
        }
        let attempt = self.m.open.get_mut(&id).and_then(|open| open.attempts.get_mut(number));
        attempt.into_iter().for_each(|a| (a.sent_at, a.exposed) = (now, exposed));
        if let Some(server) = self.m.servers.get_mut(&entry.id) {
            server.sent.add(now, cost);
        }
    }

    /// Takes the booking of an attempt that never left back.
    fn unbook(&mut self, id: RequestId, number: usize) {
        let Some(open) = self.m.open.get(&id) else { return };
        let Some(&Attempt { to, sent_at, exposed, .. }) = open.attempts.get(number) else { return };
        let (class, key, cost) = (open.request.class, open.request.key, open.cost);
        let listed = self.m.servers.get(&to.id).map_or(to.build, |s| s.entry.build);
        let newest = self.m.news.map(|n| n.build);
        let sent = if newest == Some(to.build) { sent_at } else { sent_at.saturating_sub(STEP) };
        let key = key.filter(|_| newest == Some(to.build) || newest == Some(listed));
        key.into_iter().for_each(|key| self.m.key_settled(key, sent));
        let lane = if self.set.rollout.per_class { class } else { 0 };
        let count = self.m.exposure.get_mut(&to.build).and_then(|lanes| lanes.get_mut(lane));
        count.filter(|_| exposed).into_iter().for_each(|count| count.give_back(sent_at));
        if let Some(server) = self.m.servers.get_mut(&to.id) {
            server.sent.take_back(sent_at, cost);
        }
    }

    /// What was decided may have been overtaken while a connection came up: the server drains or is another,
    /// the cap fell, the key was answered elsewhere, the time for repeats is over, the client has left. What
    /// may still leave counts from now on.
    fn on_leaving(&mut self, now: Micros, id: RequestId, number: usize, out: &mut Vec<Action>) {
        let Some(mut open) = self.m.open.get(&id).cloned() else { return };
        let Some(attempt) = open.attempts.get_mut(number).filter(|a| a.ended.is_none()) else { return };
        attempt.ended = Some(Outcome::CancelledBeforeSend);
        let to = attempt.to;
        self.unbook(id, number);
        let listed = self.m.servers.get(&to.id).map(|s| s.entry);
        let same = |e: &ServerEntry| (e.build, e.started_at) == (to.build, to.started_at);
        let is = |e: &ServerEntry| e.status == ServerStatus::Ready && same(e);
        let stands = listed.is_some_and(|e| is(&e) && self.may_repeat(now, &open, Some(&e)));
        let may = stands && self.may_send(now) && !open.done && !open.streaming;
        let may = may && self.build_admits(now, to.build, &open);
        let cold = self.m.servers.get(&to.id).is_some_and(|s| s.warmth(now, &self.set.rules) < 1.0);
        if may && (!cold || self.cold_limit(now, to.id, open.cost, false) > 0.0) {
            self.book(now, id, number);
        } else {
            out.push(Action::CancelBeforeSend { request: id, attempt: number });
        }
    }

    /// The process ends: requests that would wait for longer get their final answer shortly before that.
    fn on_end(&mut self, at: Micros) {
        self.m.ends_at = Some(at);
        let waits = |open: &Open| !open.done && !open.streaming && open.request.deadline > at;
        let last_look = at.saturating_sub(3 * self.set.tick);
        let mut looks = Vec::new();
        for (&id, open) in self.m.open.iter_mut().filter(|(_, open)| waits(open)) {
            open.request.deadline = at;
            looks.push((id, open.due.min(last_look)));
        }
        for (id, look) in looks {
            self.m.look_again(id, look);
        }
    }

    /// Whether a server list that may be used is held, and something may still be sent.
    fn may_send(&self, now: Micros) -> bool {
        self.m.list_until.is_none_or(|until| now < until)
            && self.m.ends_at.is_none_or(|at| now + 3 * self.set.tick < at)
    }

    fn on_due(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id).filter(|o| !o.done && !o.streaming) else { return };
        match open.out() {
            _ if now + 3 * self.set.tick >= open.request.deadline => self.give_up(now, id, false, out),
            0 => self.place(now, id, out),
            _ => self.hurry(now, id, out),
        }
    }

    /// A slow attempt gets a second copy where allowed, else it is cut so that a retry can follow.
    fn hurry(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get(&id) else { return };
        let (class, attempt) = (&self.set.classes[open.request.class], open.attempts.len() - 1);
        let next = open.request.deadline.saturating_sub(2 * self.set.tick);
        let worth_it =
            open.out() == 1 && now < open.arrived + class.latency_objective && self.m.retry_credit >= 1.0;
        if worth_it
            && class.idempotency != Idempotency::NonIdempotent
            && attempt + 1 < self.set.limits.max_attempts
        {
            if !self.set.limits.hedging {
                let cut = self.set.limits.cancel && class.idempotency == Idempotency::Idempotent;
                out.extend(cut.then_some(Action::Cancel { request: id, attempt }));
            } else if let Some(server) = self.pick(now, id) {
                self.m.retry_credit -= 1.0;
                self.send(now, id, server, out);
            }
        }
        self.m.look_again(id, next);
    }

    fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let AttemptEnd { request: id, attempt: number, outcome, finishes_request: settled, .. } = end;
        let Some(open) = self.m.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(number) else { return };
        if attempt.ended.replace(outcome).is_some() {
            return;
        }
        let (attempt, class, cost, key) = (attempt.clone(), open.request.class, open.cost, open.request.key);
        let late = now >= open.arrived + self.set.classes[class].latency_objective;
        let lane = (class, open.request.tenant.min(self.set.tenants.len()));
        let unit = open.request.cost_hint.unwrap_or(self.set.classes[class].latency_objective).max(1) as f64;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Rejected) {
            // Over all servers, as none's queue shows on thin traffic. A class or tenant that alone is late
            // waits for reasons of its own: it must neither have the others refused nor hold their slots.
            let lateness = f64::from(u8::from(late || outcome == Outcome::Rejected));
            let own = self.m.late_by.entry(lane).or_default();
            smooth(own, lateness, LATE_WEIGHT);
            let alone = *own > self.m.late + LATE_ALONE;
            smooth(&mut self.m.late, lateness, if alone { 0.0 } else { LATE_WEIGHT });
        }
        let never_left = matches!(outcome, Outcome::NotSent | Outcome::CancelledBeforeSend);
        if outcome == Outcome::CancelledBeforeSend && number > 0 {
            self.m.retry_credit = (self.m.retry_credit + 1.0).min(RETRY_DEPTH);
        } else if outcome == Outcome::NotSent {
            self.unbook(id, number);
        }
        if never_left && attempt.exposed {
            self.m.owed = (self.m.owed + 1.0).min(2.0); // the turn that it had
        }
        self.learn_server(now, class, attempt.beside, end);
        self.learn_build(&attempt, class, unit, late, end);
        if outcome == Outcome::Ok && !attempt.cold {
            self.m.served.add(now, cost);
        }
        let newest = self.m.news.filter(|n| n.build == attempt.to.build);
        let live = newest.is_some_and(|n| matches!(n.phase, Phase::Trial | Phase::Released));
        let key = key.filter(|_| live && self.set.rollout.sticky_to_new_build && !self.m.keys_lost);
        self.m.keys.extend(key.filter(|_| outcome == Outcome::Ok));
        // A good answer may have come to nobody: spoilt, late, or written to a connection that fell silent.
        let unread = matches!(outcome, Outcome::Reset | Outcome::Timeout | Outcome::Cancelled);
        key.filter(|_| !unread && !never_left)
            .into_iter()
            .for_each(|key| self.m.key_settled(key, attempt.sent_at));
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
        let time_left = now + 4 * self.set.tick < open.request.deadline;
        let attempts_left = open.attempts.len() < self.set.limits.max_attempts && outcome != Outcome::NotSent;
        // The budget keeps retries from feeding an overload; proven non-runs cost as much as any.
        // A first one that was withheld costs nothing: what follows is the first that leaves.
        let price =
            if outcome == Outcome::CancelledBeforeSend && open.attempts.len() == 1 { 0.0 } else { 1.0 };
        if time_left && attempts_left && self.may_repeat(now, open, None) && self.m.retry_credit >= price {
            self.m.retry_credit -= price;
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
        let for_all = class.idempotency == Idempotency::Keyed && class.dedup_group == DedupGroup::All;
        if untouched || for_all || class.idempotency == Idempotency::Idempotent {
            let advise =
                self.set.limits.retry_after && (crowded || now >= open.arrived + class.latency_objective);
            let come_back = if advise { self.set.limits.max_retry_after } else { 0 };
            out.push(Action::Reject { request: id, retry_after: come_back });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.finish(id, out);
    }

    /// Nothing more is owed: attempts still out are cancelled and only their ends are awaited.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.m.open.get_mut(&id) else { return };
        if !open.done && self.set.limits.cancel && !open.streaming {
            out.extend(open.unended().map(|attempt| Action::Cancel { request: id, attempt }));
        }
        open.done = true;
        if open.out() == 0 {
            self.m.forget(id);
        }
    }

    /// Chooses a server: the trial build by its share of warm listed machines, then two random choices.
    fn pick(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        if !self.may_send(now) {
            return None;
        }
        let open = self.m.open.get(&id)?.clone();
        let gate = |b: Build| (b, usize::from(self.on_trial(b)), self.build_admits(now, b, &open));
        let gates: Vec<(Build, usize, bool)> = self.m.builds.iter().map(|&b| gate(b)).collect();
        let usual = self.m.typical.iter().map(|t| t.median).fold(0.0, f64::max);
        let mut pools: [Vec<Candidate>; 2] = [Vec::new(), Vec::new()];
        let mut share = [0.0; 2];
        let ready = self.m.servers.iter().filter(|(_, s)| s.entry.status == ServerStatus::Ready);
        for (&id, server) in ready.filter(|(_, s)| self.may_repeat(now, &open, Some(&s.entry))) {
            let Some(&(_, pool, admits)) = gates.iter().find(|g| g.0 == server.entry.build) else { continue };
            let warmth = server.warmth(now, &self.set.rules);
            share[pool] += warmth;
            if admits {
                let tried = open.attempts.iter().any(|a| a.to.id == id);
                let weight = self.weight(now, server, usual) * if tried { 0.01 } else { 1.0 };
                let held = f64::from(server.in_flight);
                pools[pool].push(Candidate { id, weight, uncapped: weight, held, warmth });
            }
        }
        // A held request has had its chance: drawing at each look would add up to certainty.
        let drawn = open.attempts.is_empty() && open.arrived < now;
        let whole: f64 = pools.iter().flatten().map(|s| s.weight).sum();
        for (pool, share) in pools.iter_mut().zip(&mut share) {
            for s in pool.iter_mut().filter(|s| s.warmth < 1.0) {
                s.weight = s.weight.min(whole * self.cold_limit(now, s.id, open.cost, drawn));
                // What a cold machine may not take is no reason to send more to its build's warm ones.
                *share -= s.warmth * (1.0 - s.weight / s.uncapped);
            }
        }
        let going_back = self.m.news.is_some_and(|n| n.phase == Phase::RollingBack);
        if open.attempts.is_empty() && open.arrived == now && share[1] > 0.0 && !going_back {
            // Machines beside those they replace count as one place: they must show what they do under load.
            let places = if self.set.rollout.in_place { share[0] + share[1] } else { share[0].max(share[1]) };
            self.m.owed = (self.m.owed + share[1] / places).min(2.0);
        }
        // A key that the new build answers is bound to it: the popular ones would pile onto few machines.
        let popular = open.request.key.is_some_and(|k| self.m.key_counts.popularity(k) > KEY_POPULAR);
        let to_trial = open.attempts.is_empty() && self.m.owed >= 1.0 && !popular && !going_back;
        let order = if to_trial { [1, 0] } else { [0, 1] };
        // Out of turn a pool may be offered everything, above all the few first machines of a way back.
        let in_turn = [!going_back, to_trial];
        let mut choose = |p: usize| Some((p, self.choose(whole, in_turn[p], std::mem::take(&mut pools[p]))?));
        let (pool, server) = order.into_iter().find_map(&mut choose)?;
        if pool == 1 {
            self.m.owed = (self.m.owed - 1.0).max(-2.0);
        } else if to_trial {
            // No room: saved up, the turns of all balancers would come in one burst.
            self.m.owed = self.m.rng.unit();
        }
        Some(server)
    }

    /// Two random choices by own attempts out, drawn again while the better one is busier than the mean.
    fn choose(&mut self, whole: f64, in_turn: bool, mut pool: Vec<Candidate>) -> Option<ServerId> {
        let offered = if in_turn { pool.iter().map(|s| s.uncapped).sum() } else { whole };
        pool.retain(|s| s.weight > 0.0);
        let total: f64 = pool.iter().map(|s| s.weight).sum();
        // Where hardly any but cold servers are left, most requests must go without.
        let cold = pool.iter().any(|s| s.warmth < 1.0);
        if total <= 0.0 || (cold && self.m.rng.unit() * offered > 2.0 * total) {
            return None;
        }
        let mean = (pool.iter().map(|s| s.held).sum::<f64>() + 1.0) / total;
        let mut best: Option<(ServerId, f64)> = None;
        for draw in 0..2 + 2 * REDRAWS {
            if draw >= 2 && draw % 2 == 0 && best.is_some_and(|b| b.1 <= mean) {
                break;
            }
            let s = pool.get(self.m.rng.weighted(total, pool.iter().map(|s| s.weight)))?;
            // Idle servers tie: the draw has weighed them, and comparing again would starve cold ones.
            let load = if s.held > 0.0 { (s.held + 1.0) / s.weight } else { 0.0 };
            if best.is_none_or(|b| load < b.1) {
                best = Some((s.id, load));
            }
        }
        best.map(|b| b.0)
    }

    /// Whether another attempt can take no second effect, at the given server or at any at all: once a
    /// deduplicated request may have run, only its first server's group may see it again, and in time.
    fn may_repeat(&self, now: Micros, open: &Open, at: Option<&ServerEntry>) -> bool {
        let class = &self.set.classes[open.request.class];
        let Some(ran) = open.first_that_may_have_run() else { return true };
        let same_group = at.is_none_or(|entry| match class.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => ran.to.zone == entry.zone,
            DedupGroup::Cell => ran.to.cell == entry.cell,
        });
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => same_group && now + 2 * self.set.tick < ran.sent_at + class.dedup_window,
        }
    }

    /// A server's share of its pool: size and warmth, less what own outcomes say against it.
    fn weight(&self, now: Micros, server: &Server, usual: f64) -> f64 {
        let health = (1.0 - server.failing).powi(3) / server.slowness.max(1.0).powi(2);
        // Attempts out and no answer for long: paused, cut off or dead, whatever the cause.
        let silent = now.saturating_sub(server.waiting_since) as f64 > STALL_FACTOR * usual;
        let stalled = server.in_flight > 0 && silent;
        let size = server.size(self.set.sizes_known) * server.warmth(now, &self.set.rules);
        (size * health * if stalled { 0.05 } else { 1.0 }).max(1e-3)
    }

    /// How much of all weight a cold server may have. Its budget over any fall span is small enough to hold
    /// when every balancer does the same: own sends against what own warm servers are seen to carry. Under
    /// one request, a chance that keeps to it stands in: one send from each of hundreds would be hundreds.
    fn cold_limit(&mut self, now: Micros, id: ServerId, cost: f64, drawn: bool) -> f64 {
        let offered = self.m.offered.sum(now, 2 * SECOND) / 2.0;
        let Some(server) = self.m.servers.get_mut(&id) else { return 0.0 };
        let (contract, size) = (&self.set.rules, server.size(self.set.sizes_known));
        let (span, warmth) = (contract.overload_span, server.warmth(now, &self.set.rules));
        let rate = COLD_SAFETY * contract.overload_multiple * warmth * self.m.carried * size;
        let budget = rate * span as f64 / SECOND as f64;
        if budget < cost {
            return if drawn { 0.0 } else { (COLD_DRAW * rate / offered.max(1.0)).min(1.0) };
        }
        if server.sent.sum(now, span) + cost <= budget { 1.0 } else { 0.0 }
    }

    /// On trial for this balancer: the newest build by the news unless released, and any later one listed.
    fn on_trial(&self, build: Build) -> bool {
        match self.m.news {
            Some(n) => build > n.build || (build == n.build && n.phase != Phase::Released),
            // No news yet: only the lowest listed build is surely not on trial.
            None => self.m.builds.first().is_some_and(|&lowest| build > lowest),
        }
    }

    fn cap(&self, now: Micros, build: Build) -> f64 {
        let Some(news) = self.m.news.filter(|n| n.build == build) else {
            return self.set.rollout.stage_caps.first().copied().unwrap_or(0.0);
        };
        // A lower cap binds after the grace; until then the old one lets earlier machines come up.
        let (before, since) = self.m.cap_before;
        let grace = self.set.rules.drain_grace.saturating_sub(4 * self.set.tick);
        if now < since + grace { news.cap.max(before) } else { news.cap }
    }

    /// Whether the rules let this request go to this server's build now.
    fn build_admits(&self, now: Micros, build: Build, open: &Open) -> bool {
        if let (true, Some(key)) = (self.set.rollout.sticky_to_new_build, open.request.key) {
            let newest = self.m.news.map_or(0, |n| n.build);
            // Kept only while the newest build is live. One sent there counts soon, answered or not.
            let oldest = self.m.keys_unread.get(&key).and_then(|sent| sent.first());
            let unread = oldest.is_some_and(|&since| now >= since + STEP);
            let bound = unread || self.m.keys_lost || self.m.keys.contains(&key);
            // A released build may have all keys, as nothing keyed has to go anywhere else.
            let released = self.m.news.is_some_and(|n| n.phase == Phase::Released);
            let full = !bound && build == newest && !released && !self.key_fits(key);
            // A build not announced yet gets no keys: what it answers would bind them unseen.
            if (bound && build < newest) || full || build > newest {
                return false;
            }
        }
        if !self.on_trial(build) {
            return true;
        }
        let stage = self.m.news.filter(|n| n.build == build).map_or(0, |n| n.stage);
        let safe = self.set.classes[open.request.class].idempotency == Idempotency::Idempotent;
        let (span, free) =
            (self.set.rollout.exposure_window + 2 * self.set.tick, self.set.rollout.exposure_slack);
        let guarded = stage < self.set.rollout.idempotent_only_stages && !safe;
        let lane = if self.set.rollout.per_class { open.request.class } else { 0 };
        let count = self.m.exposure.get(&build).and_then(|lanes| lanes.get(lane));
        let room = count.map_or(1.0, |c| c.after_one_more(now, span));
        self.cap(now, build) > 0.0 && !guarded && room <= free + 1e-9
    }

    /// A server may be listed with the newest build while an attempt is out there that left for the one
    /// before: its answer counts as the newest's.
    fn bind_relisted(&mut self) {
        let Some(newest) = self.m.news.filter(|_| self.set.rollout.sticky_to_new_build).map(|n| n.build)
        else {
            return;
        };
        let listed = |a: &Attempt| self.m.servers.get(&a.to.id).map(|s| s.entry.build);
        let was_other = |a: &Attempt| a.ended.is_none() && a.to.build != newest && listed(a) == Some(newest);
        let out = |open: &Open| open.attempts.iter().filter(|a| was_other(a)).map(|a| a.sent_at).collect();
        let keyed = self.m.open.values().filter_map(|open| Some((open.request.key?, out(open))));
        let keyed: Vec<(u64, Vec<Micros>)> = keyed.collect();
        for (key, sent) in keyed {
            // Counts at once, as if sent that much earlier.
            sent.into_iter().for_each(|at| self.m.key_sent(key, at.saturating_sub(STEP), KEY_OUT_MOST));
        }
    }

    /// Whether a key is remembered, or may be.
    fn key_fits(&self, key: u64) -> bool {
        let (keys, unread) = (&self.m.keys, &self.m.keys_unread);
        keys.len() + unread.len() < KEYS_KEPT || keys.contains(&key) || unread.contains_key(&key)
    }

    pub(crate) fn on_news(&mut self, now: Micros, news: ReleaseStatus) {
        let before = self.m.news.replace(news);
        let place = |n: ReleaseStatus| (n.build, n.stage, n.phase);
        if let Some(b) = before.filter(|b| b.build == news.build && b.cap > news.cap) {
            self.m.cap_before = (b.cap, now);
        }
        if before.map(place) == Some(place(news)) {
            return;
        }
        // Never vote on evidence of another stage or build: window, verdict and vote all start anew.
        let other = before.is_none_or(|b| b.build != news.build);
        if other || matches!(news.phase, Phase::RollingBack | Phase::Withdrawn) {
            self.m.forget_keys(false);
        }
        if other {
            self.m.owed = self.m.rng.unit();
            self.m.cap_before = (0.0, 0);
            self.m.exposure.retain(|&build, _| build >= news.build);
            self.bind_relisted();
        }
        self.m.pool.restart(self.set.classes.len());
        self.m.life = self.m.life.wrapping_add(1);
        (self.m.window_start, self.m.window_count, self.m.stage_since) = (now, 0, now);
        (self.m.breaches, self.m.verdict, self.m.standing) = (0.0, Verdict::Withdraw, None);
        self.m.compared &= !other;
    }

    fn learn_server(&mut self, now: Micros, class: usize, beside: u32, end: AttemptEnd) {
        let AttemptEnd { server: id, outcome, elapsed, .. } = end;
        let typical = self.m.typical[class].median.max(1.0);
        let Some(server) = self.m.servers.get_mut(&id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            server.waiting_since = now;
        }
        let pace = (elapsed as f64 / typical).min(10.0);
        match outcome {
            Outcome::Ok => {
                smooth(&mut server.failing, 0.0, SMOOTHING);
                let per_slot = elapsed as f64 / f64::from(beside.max(1));
                // Few attempts out overstate it, and refusals would keep them few: down fast, up slowly.
                let rate = if per_slot < server.per_slot { FASTER } else { SMOOTHING };
                smooth(&mut server.per_slot, per_slot, rate);
                self.m.typical[class].add(elapsed as f64, RECENT);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::CancelledBeforeSend => {}
            _ => smooth(&mut server.failing, 1.0, SMOOTHING),
        }
        // A cancelled attempt says "at least this slow".
        if outcome == Outcome::Ok || (outcome == Outcome::Cancelled && pace > server.slowness) {
            smooth(&mut server.slowness, pace, SMOOTHING / 2.0);
        }
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.m.next_due(now) {
            self.on_due(now, id, out);
        }
        if now >= self.m.next_step {
            self.step(now);
            self.follow_list(now, out);
            self.judge(now, out);
            self.tell_peers(now, out);
            self.vote(now, out);
        }
    }

    fn step(&mut self, now: Micros) {
        self.m.next_step = now + STEP;
        self.m.typical.iter_mut().for_each(Typical::refresh);
        self.m.servers.values_mut().for_each(|s| s.relax(FADING));
        self.m.late_by.values_mut().chain([&mut self.m.late]).for_each(|share| *share *= LATE_KEPT);
        let (warm, all) = self.m.ready_sizes(now, &self.set.rules, self.set.sizes_known);
        if warm * 2.0 >= all && warm > 0.0 {
            let rate = self.m.served.sum(now, 2 * SECOND) / 2.0 / warm;
            self.m.carried = rate.max(self.m.carried * CARRIED_KEPT);
        }
    }
}
