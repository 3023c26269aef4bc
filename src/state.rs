//! Containers without decisions: the random source, sliding counters, servers and open requests.

use crate::evidence::Pool;
use crate::interface::{
    Action, Build, ListKind, Micros, Outcome, Phase, ReleaseStatus, Request, RequestId, ServerEntry,
    ServerId, ServerStatus, ServiceRules, Verdict,
};
use crate::stats::quantile;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A small deterministic random source (SplitMix64).
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rng(pub u64);

impl Rng {
    /// The next value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An index drawn by weight; `total` is the weights' sum. 0 where there are none.
    pub fn weighted(&mut self, total: f64, weights: impl Iterator<Item = f64>) -> usize {
        let mut left = self.unit() * total;
        let mut index = 0;
        for (i, weight) in weights.enumerate() {
            index = i;
            left -= weight;
            if left <= 0.0 {
                break;
            }
        }
        index
    }
}

/// Moves a smoothed value towards the newest one.
pub fn smooth(value: &mut f64, newest: f64, weight: f64) {
    *value += (newest - *value) * weight;
}

/// A sum over a sliding span.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SpanSum {
    items: VecDeque<(Micros, f64)>,
    total: f64,
}

impl SpanSum {
    /// Adds an amount.
    pub fn add(&mut self, now: Micros, amount: f64) {
        self.items.push_back((now, amount));
        self.total += amount;
    }

    /// Takes an amount back that was added then, if it is still held.
    pub fn take_back(&mut self, at: Micros, amount: f64) {
        if let Some(place) = self.items.iter().rposition(|item| *item == (at, amount)) {
            self.items.remove(place);
            self.total = if self.items.is_empty() { 0.0 } else { self.total - amount };
        }
    }

    /// The sum of what came within the last `span`.
    pub fn sum(&mut self, now: Micros, span: Micros) -> f64 {
        while let Some(&(at, amount)) = self.items.front() {
            if at + span >= now {
                break;
            }
            self.items.pop_front();
            self.total = if self.items.is_empty() { 0.0 } else { self.total - amount };
        }
        self.total
    }
}

/// Attempts less earned allowance, with its lowest level before any attempt of the last span.
///
/// The count over every span, aligned or not, that ends now is `level - lowest level within it`.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Exposure {
    level: f64,
    lows: VecDeque<(Micros, f64)>,
}

impl Exposure {
    /// A request was taken: it earns `cap` of an attempt.
    pub fn earn(&mut self, cap: f64) {
        self.level -= cap;
    }

    /// An attempt was made; lows from before the last `span` are forgotten.
    pub fn spend(&mut self, now: Micros, span: Micros) {
        while self.lows.front().is_some_and(|&(at, _)| at + span < now) {
            self.lows.pop_front();
        }
        while self.lows.back().is_some_and(|&(_, low)| low >= self.level) {
            self.lows.pop_back();
        }
        self.lows.push_back((now, self.level));
        self.level += 1.0;
    }

    /// An attempt made at `at` was none: all levels since then are lower by one.
    pub fn give_back(&mut self, at: Micros) {
        self.level -= 1.0;
        let first = self.lows.partition_point(|&(then, _)| then <= at);
        self.lows.range_mut(first..).for_each(|low| low.1 -= 1.0);
        // A low that a later one has reached bounds no span any more.
        if let Some(&(_, later)) = self.lows.get(first) {
            let kept = self.lows.iter().take(first).take_while(|low| low.1 < later).count();
            self.lows.drain(kept..first);
        }
    }

    /// What the worst span of length `span` that ends now would hold after one more attempt.
    pub fn after_one_more(&self, now: Micros, span: Micros) -> f64 {
        let first = self.lows.iter().find(|&&(at, _)| at + span >= now);
        let low = first.map_or(self.level, |&(_, low)| low.min(self.level));
        self.level + 1.0 - low
    }
}

/// A server as this balancer sees it: the list's line and the balancer's own observations.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Server {
    /// The list's line.
    pub entry: ServerEntry,
    /// Own attempts out.
    pub in_flight: u32,
    /// Cost of own sends, over a short span.
    pub sent: SpanSum,
    /// Smoothed share of failed attempts.
    pub failing: f64,
    /// Smoothed answer time against what is typical.
    pub slowness: f64,
    /// Smoothed answer time for each own attempt out.
    pub per_slot: f64,
    /// Since when attempts have been out without an answer.
    pub waiting_since: Micros,
}

impl Server {
    /// A server just listed.
    pub fn new(entry: ServerEntry) -> Self {
        Server {
            entry,
            in_flight: 0,
            sent: SpanSum::default(),
            failing: 0.0,
            slowness: 1.0,
            per_slot: 0.0,
            waiting_since: 0,
        }
    }

    /// The share of its capacity that it surely has: it rises evenly over the stated time.
    pub fn warmth(&self, now: Micros, contract: &ServiceRules) -> f64 {
        let (age, span) = (now.saturating_sub(self.entry.started_at), contract.slow_start_span);
        if self.entry.started_at == 0 || age >= span {
            return 1.0;
        }
        contract.slow_start_floor + (1.0 - contract.slow_start_floor) * age as f64 / span as f64
    }

    /// Its size against the others; 1 where sizes are not known.
    pub fn size(&self, known: bool) -> f64 {
        if known { self.entry.size.max(0.01) } else { 1.0 }
    }

    /// Lets the record fade towards that of a healthy server.
    pub fn relax(&mut self, share: f64) {
        self.failing *= 1.0 - share;
        self.slowness += (1.0 - self.slowness) * share;
        self.per_slot *= 1.0 - share;
    }
}

/// One attempt of a request.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Attempt {
    /// The line of the server that it went to, as listed then.
    pub to: ServerEntry,
    /// That server may still have been cold.
    pub cold: bool,
    /// When it was sent.
    pub sent_at: Micros,
    /// Own attempts out at that server by then, this one included.
    pub beside: u32,
    /// It counts as one at a build on trial.
    pub exposed: bool,
    /// How it ended.
    pub ended: Option<Outcome>,
}

impl Attempt {
    /// Whether it has or may still have an effect.
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(Outcome::may_have_run)
    }
}

/// A request held by this balancer, or answered with attempts still out.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Open {
    /// As it arrived.
    pub request: Request,
    /// When it arrived.
    pub arrived: Micros,
    /// Its cost in microseconds, as hinted or as typical of its class.
    pub cost: f64,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// Nothing more is owed.
    pub done: bool,
    /// Its answer is streaming.
    pub streaming: bool,
    /// When to look at it again.
    pub due: Micros,
}

impl Open {
    /// A request just taken.
    pub fn new(request: Request, arrived: Micros, cost: f64) -> Self {
        Open { request, arrived, cost, ..Open::default() }
    }

    /// The first attempt that has or may still have an effect.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }

    /// Numbers of the attempts still out.
    pub fn unended(&self) -> impl Iterator<Item = usize> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none()).map(|(number, _)| number)
    }

    /// How many attempts are still out.
    pub fn out(&self) -> usize {
        self.unended().count()
    }
}

/// What this balancer knows of a class's answer times.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Typical {
    /// The latest answer times.
    pub recent: VecDeque<f64>,
    /// Their median.
    pub median: f64,
    /// Their 95th percentile.
    pub tail: f64,
}

/// A vote as the platform holds it or may hold it.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Cast {
    /// The build it is about.
    pub build: Build,
    /// The stage it is about.
    pub stage: u8,
    /// What it says.
    pub verdict: Verdict,
    /// Since when.
    pub at: Micros,
}

/// How often keys came, within bounded memory.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct KeyCounts {
    counts: BTreeMap<u64, f64>,
    total: f64,
}

impl KeyCounts {
    /// Counts a key; forgets all once `most` keys are held.
    pub fn count(&mut self, key: u64, most: usize) {
        if self.counts.len() >= most {
            *self = KeyCounts::default();
        }
        *self.counts.entry(key).or_default() += 1.0;
        self.total += 1.0;
    }

    /// How often a key came against the mean of all keys; 0 where none has been counted.
    pub fn popularity(&self, key: u64) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        count * self.counts.len() as f64 / self.total.max(1.0)
    }
}

/// All that a balancer remembers; what to do with it is decided elsewhere.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Memory {
    /// The random source.
    pub rng: Rng,
    /// The first event has come.
    pub started: bool,
    /// Servers listed so far.
    pub servers: BTreeMap<ServerId, Server>,
    /// Requests held, or with attempts still out.
    pub open: BTreeMap<RequestId, Open>,
    /// When to look at which request.
    pub due: BTreeSet<(Micros, RequestId)>,
    /// Answer times by class.
    pub typical: Vec<Typical>,
    /// Further attempts saved up.
    pub retry_credit: f64,
    /// Cost of answers by warm servers.
    pub served: SpanSum,
    /// Cost a second that a warm server of size 1 is seen to carry.
    pub carried: f64,
    /// First tries owed to the build on trial.
    pub owed: f64,
    /// Cost of requests taken.
    pub offered: SpanSum,
    /// Smoothed share of late answers.
    pub late: f64,
    /// The same by class and tenant.
    pub late_by: BTreeMap<(usize, usize), f64>,
    /// When slow upkeep is due.
    pub next_step: Micros,
    /// When the earliest timer that is set comes due.
    pub armed: Micros,
    /// Drawn at the start, for peers to tell one life from another.
    pub life: u8,
    /// Builds of the servers that take work, in order.
    pub builds: Vec<Build>,
    /// When the list was last heard of.
    pub list_heard: Micros,
    /// When to ask for the list again.
    pub list_retry: Option<Micros>,
    /// Until when the list may be used, where something limits that. Not handed over: the next process asks anew.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub list_until: Option<Micros>,
    /// Nothing is sent from then on, once the process was told to end. Not handed over.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub ends_at: Option<Micros>,
    /// Failed list calls in a row.
    pub list_failures: u32,
    /// The platform's last word.
    pub news: Option<ReleaseStatus>,
    /// The cap before a lower one came, and when that was.
    pub cap_before: (f64, Micros),
    /// Attempts at builds on trial, by build and counted class.
    pub exposure: BTreeMap<Build, Vec<Exposure>>,
    /// How often keys come.
    pub key_counts: KeyCounts,
    /// Keys that the new build has answered.
    pub keys: BTreeSet<u64>,
    /// Keys sent to it: when each attempt left that is still out, or whose good answer may have gone unread.
    pub keys_unread: BTreeMap<u64, Vec<Micros>>,
    /// More were sent there than are remembered: any may be one of them.
    pub keys_lost: bool,
    /// When the present stage was heard of.
    pub stage_since: Micros,
    /// When the open window began.
    pub window_start: Micros,
    /// Attempts at the new build in it.
    pub window_count: usize,
    /// Breached windows in a row.
    pub breaches: f64,
    /// The verdict that stands.
    pub verdict: Verdict,
    /// An operator has votes withheld.
    pub paused: bool,
    /// The build on trial has been compared with an earlier one.
    pub compared: bool,
    /// The vote that the platform holds.
    pub standing: Option<Cast>,
    /// A vote without a reply yet.
    pub pending: Option<Cast>,
    /// Earliest time of the next vote.
    pub vote_at: Micros,
    /// Evidence on the stage, own and heard of.
    pub pool: Pool,
    /// When the next summary is due.
    pub next_tell: Micros,
    /// Log lines written.
    pub notes: u32,
}

impl Typical {
    /// A first guess, before any answer.
    pub fn new(median: f64, tail: f64) -> Self {
        Typical { recent: VecDeque::new(), median, tail }
    }

    /// Adds an answer time; the latest `most` are kept.
    pub fn add(&mut self, elapsed: f64, most: usize) {
        self.recent.push_back(elapsed);
        if self.recent.len() > most {
            self.recent.pop_front();
        }
    }

    /// Brings median and tail up to date, once there are answers enough for a 95th percentile.
    pub fn refresh(&mut self) {
        let mut recent: Vec<f64> = self.recent.iter().copied().collect();
        if recent.len() >= 20 {
            self.median = quantile(&mut recent, 0.5).unwrap_or(self.median);
            self.tail = quantile(&mut recent, 0.95).unwrap_or(self.tail);
        }
    }
}

impl Memory {
    /// A line for the log, unless `most` have been written.
    pub fn note(&mut self, text: String, most: u32) -> Option<Action> {
        self.notes = self.notes.saturating_add(1);
        (self.notes <= most).then_some(Action::Log(text))
    }

    /// Notes that a key was sent to the new build; past `most` attempts it counts as answered there.
    pub fn key_sent(&mut self, key: u64, now: Micros, most: usize) {
        let sent = self.keys_unread.entry(key).or_default();
        if sent.len() < most {
            sent.push(now);
        } else {
            self.keys.insert(key);
        }
    }

    /// An attempt with this key was answered and read, or proven not to have been: others with it may still be.
    pub fn key_settled(&mut self, key: u64, sent_at: Micros) {
        let Some(sent) = self.keys_unread.get_mut(&key) else { return };
        if let Some(at) = sent.iter().position(|&at| at == sent_at) {
            sent.remove(at);
        }
        if sent.is_empty() {
            self.keys_unread.remove(&key);
        }
    }

    /// Forgets which keys the new build has: none does, or (`lost`) any may be one of them.
    pub fn forget_keys(&mut self, lost: bool) {
        self.keys.clear();
        self.keys_unread.clear();
        self.keys_lost = lost;
    }

    /// Forgets all requests held, their attempts and timers, and draws anew. Keys that are out at the newest
    /// build count as answered by it: the answers will be heard by the process that holds the requests only.
    pub fn leave_requests(&mut self, seed: u64) {
        let live = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released)).map(|n| n.build);
        let out = |open: &&Open| open.attempts.iter().any(|a| a.ended.is_none() && Some(a.to.build) == live);
        let keys: Vec<u64> = self.open.values().filter(out).filter_map(|open| open.request.key).collect();
        self.keys.extend(keys);
        self.open.clear();
        self.due.clear();
        self.servers.values_mut().for_each(|s| s.in_flight = 0);
        (self.armed, self.pending, self.rng) = (0, None, Rng(seed));
    }

    /// Books an attempt at a server; the request's class and deadline, or `None` for an unknown one.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        to: ServerEntry,
        cold: bool,
    ) -> Option<(usize, Micros)> {
        let (open, server) = (self.open.get_mut(&id)?, self.servers.get_mut(&to.id)?);
        if server.in_flight == 0 {
            server.waiting_since = now;
        }
        server.in_flight += 1;
        open.attempts.push(Attempt {
            to,
            cold,
            sent_at: now,
            beside: server.in_flight,
            exposed: false,
            ended: None,
        });
        Some((open.request.class, open.request.deadline))
    }

    /// The request's answer has started to stream.
    pub fn stream_started(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.streaming = true;
        }
    }

    /// The sizes of the servers that take work, added up: of the warm ones, and of all.
    pub fn ready_sizes(&self, now: Micros, contract: &ServiceRules, known: bool) -> (f64, f64) {
        let ready = self.servers.values().filter(|s| s.entry.status == ServerStatus::Ready);
        let sized = ready.map(|s| (s.size(known), s.warmth(now, contract) >= 1.0));
        sized.fold((0.0, 0.0), |(warm, all), (size, is)| (warm + if is { size } else { 0.0 }, all + size))
    }

    /// How many listed servers run the build and take work.
    fn ready_with(&self, build: Option<Build>) -> usize {
        let of = |s: &&Server| Some(s.entry.build) == build && s.entry.status == ServerStatus::Ready;
        self.servers.values().filter(of).count()
    }

    /// The count of attempts at a build: one for all classes, or one for each.
    pub fn exposure_of(&mut self, build: Build, class: usize, per_class: bool) -> &mut Exposure {
        let lane = if per_class { class } else { 0 };
        let lanes = self.exposure.entry(build).or_default();
        if lanes.len() <= lane {
            lanes.resize(lane + 1, Exposure::default());
        }
        &mut lanes[lane]
    }

    /// Sets when a request is looked at again.
    pub fn look_again(&mut self, id: RequestId, at: Micros) {
        if let Some(open) = self.open.get_mut(&id) {
            self.due.remove(&(open.due, id));
            open.due = at;
            self.due.insert((at, id));
        }
    }

    /// Takes the next request whose time has come.
    pub fn next_due(&mut self, now: Micros) -> Option<RequestId> {
        let &(_, id) = self.due.first().filter(|&&(at, _)| at <= now)?;
        self.due.pop_first();
        Some(id)
    }

    /// Drops a request of which nothing more will be heard.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.due.remove(&(open.due, id));
        }
    }

    /// Brings the server table up to date; a restart or another build under a known id clears its record.
    /// Returns whether more servers of the `watched` build take work than before.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[ServerEntry], watched: Option<Build>) -> bool {
        let before = self.ready_with(watched);
        if kind != ListKind::Delta {
            // A server absent from a full list has left.
            self.servers.values_mut().for_each(|s| s.entry.status = ServerStatus::Removed);
        }
        for entry in entries {
            let server = self.servers.entry(entry.id).or_insert_with(|| Server::new(*entry));
            if (server.entry.build, server.entry.started_at) != (entry.build, entry.started_at) {
                let (in_flight, sent) = (server.in_flight, std::mem::take(&mut server.sent));
                *server = Server { in_flight, sent, ..Server::new(*entry) };
            }
            server.entry = *entry;
        }
        self.servers.retain(|_, s| s.entry.status != ServerStatus::Removed || s.in_flight > 0);
        let ready = self.servers.values().filter(|s| s.entry.status == ServerStatus::Ready);
        let builds: BTreeSet<Build> = ready.map(|s| s.entry.build).collect();
        self.builds = builds.into_iter().collect();
        self.ready_with(watched) > before
    }
}

/// A server that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which.
    pub id: ServerId,
    /// Its share of the pool.
    pub weight: f64,
    /// Own attempts out there.
    pub held: f64,
    /// The same before the guard on cold servers.
    pub uncapped: f64,
    /// How far it has warmed up; 1 is warm.
    pub warmth: f64,
}
