//! Containers without decisions: the random source, sliding counters, servers and open requests.

use crate::interface::{
    Action, Build, ListKind, Micros, Outcome, Request, RequestId, ServerEntry, ServerId, StageNews, Status,
    Verdict,
};
use crate::stats::quantile;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A small deterministic random source (SplitMix64).
#[derive(Clone, Debug, Default)]
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

/// A sum over a sliding span.
#[derive(Clone, Debug, Default)]
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
pub struct Exposure {
    level: f64,
    lows: VecDeque<(Micros, f64)>,
}

impl Exposure {
    /// A request was taken: it earns `cap` of an attempt.
    pub fn earn(&mut self, cap: f64) {
        self.level -= cap;
    }

    /// An attempt was made.
    pub fn spend(&mut self, now: Micros) {
        while self.lows.back().is_some_and(|&(_, low)| low >= self.level) {
            self.lows.pop_back();
        }
        self.lows.push_back((now, self.level));
        self.level += 1.0;
    }

    /// What the worst span of length `span` that ends now would hold after one more attempt.
    pub fn after_one_more(&mut self, now: Micros, span: Micros) -> f64 {
        while self.lows.front().is_some_and(|&(at, _)| at + span < now) {
            self.lows.pop_front();
        }
        let low = self.lows.front().map_or(self.level, |&(_, low)| low.min(self.level));
        self.level + 1.0 - low
    }
}

/// A server as this balancer sees it: the list's line and the balancer's own observations.
#[derive(Clone, Debug)]
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
    /// Attempts in a row without an answer.
    pub streak: u32,
    /// Left out until then.
    pub out_until: Micros,
    /// How long it was last left out for.
    pub out_for: Micros,
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
            streak: 0,
            out_until: 0,
            out_for: 0,
            waiting_since: 0,
        }
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
pub struct Attempt {
    /// The line of the server that it went to, as listed then.
    pub to: ServerEntry,
    /// That server may still have been cold.
    pub cold: bool,
    /// When it was sent.
    pub sent_at: Micros,
    /// Own attempts out at that server by then, this one included.
    pub beside: u32,
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

    /// Attempts still out.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ended.is_none()).count()
    }
}

/// An attempt's end as evidence about the build that answered.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it ended.
    pub at: Micros,
    /// The class.
    pub class: usize,
    /// Who answered.
    pub server: ServerId,
    /// The build.
    pub build: Build,
    /// It ended with an error.
    pub error: bool,
    /// It failed in any way, time-outs and flagged answers included.
    pub failed: bool,
    /// Its answer was flagged as wrong.
    pub flagged: bool,
    /// Time taken for each unit of hinted work; a lower bound where it was cut; `None` where it says nothing.
    pub pace: Option<f64>,
}

/// What this balancer knows of a class's answer times.
#[derive(Clone, Debug, Default)]
pub struct Typical {
    /// The latest answer times.
    pub recent: VecDeque<f64>,
    /// Their median.
    pub median: f64,
    /// Their 95th percentile.
    pub tail: f64,
}

/// A peer's last summary: for each class attempts and failures of the new build, then of the earlier one.
#[derive(Clone, Debug)]
pub struct PeerSummary {
    /// When it came.
    pub at: Micros,
    /// The build it is about.
    pub build: Build,
    /// The stage it is about.
    pub stage: u8,
    /// The peer has seen a breach in this stage.
    pub doubts: bool,
    /// The counts.
    pub counts: Vec<[f64; 4]>,
}

/// A vote as the platform holds it or may hold it.
#[derive(Clone, Copy, Debug)]
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

impl PeerSummary {
    /// The bytes of a summary: a version, build, stage, doubts, and four counts for each class.
    pub fn encode(build: Build, stage: u8, doubts: bool, counts: &[[f64; 4]]) -> Vec<u8> {
        let mut bytes = vec![1];
        bytes.extend(build.to_le_bytes());
        bytes.extend([stage, u8::from(doubts)]);
        for count in counts.iter().take(31).flatten() {
            bytes.extend((count.clamp(0.0, 65_535.0) as u16).to_le_bytes());
        }
        bytes
    }

    /// Reads a summary; `None` where the bytes are no such thing.
    pub fn decode(at: Micros, bytes: &[u8]) -> Option<Self> {
        let [1, low, high, stage, doubts, rest @ ..] = bytes else { return None };
        let word = |pair: &[u8]| f64::from(u16::from_le_bytes([pair[0], pair[1]]));
        let row = |c: &[u8]| [word(c), word(&c[2..]), word(&c[4..]), word(&c[6..])];
        let counts = rest.chunks_exact(8).map(row).collect();
        Some(PeerSummary {
            at,
            build: u16::from_le_bytes([*low, *high]),
            stage: *stage,
            doubts: *doubts != 0,
            counts,
        })
    }
}

/// What one arm's samples of one class come to.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Attempts.
    pub n: f64,
    /// Those that ended with an error.
    pub errors: f64,
    /// Those that failed in any way.
    pub failed: f64,
    /// Those whose answer was flagged.
    pub flagged: f64,
    /// Times taken, where they say something.
    pub paces: Vec<f64>,
}

impl Tally {
    /// Adds counts heard of.
    pub fn add(&mut self, n: f64, failed: f64) {
        self.n += n;
        self.errors += failed;
        self.failed += failed;
    }

    /// Adds another tally, its counts scaled and its times set against `unit` (left out without one).
    pub fn merge(&mut self, other: &Tally, scale: f64, unit: Option<f64>) {
        self.n += other.n * scale;
        self.errors += other.errors * scale;
        self.failed += other.failed * scale;
        self.flagged += other.flagged * scale;
        if let Some(unit) = unit {
            self.paces.extend(other.paces.iter().map(|p| p / unit));
        }
    }

    /// Adds samples up, by class.
    pub fn by_class(samples: &[Sample], classes: usize) -> Vec<Tally> {
        let mut all = vec![Tally::default(); classes];
        for s in samples {
            if let Some(tally) = all.get_mut(s.class) {
                tally.n += 1.0;
                tally.errors += f64::from(u8::from(s.error));
                tally.failed += f64::from(u8::from(s.failed));
                tally.flagged += f64::from(u8::from(s.flagged));
                tally.paces.extend(s.pace);
            }
        }
        all
    }
}

/// How often keys came, within bounded memory.
#[derive(Clone, Debug, Default)]
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
    /// When slow upkeep is due.
    pub next_step: Micros,
    /// When the list was last heard of.
    pub list_heard: Micros,
    /// When to ask for the list again.
    pub list_retry: Option<Micros>,
    /// Failed list calls in a row.
    pub list_failures: u32,
    /// The platform's last word.
    pub news: Option<StageNews>,
    /// The cap before a lower one came, and when that was.
    pub cap_before: (f64, Micros),
    /// Attempts at builds on trial, by build and counted class.
    pub exposure: BTreeMap<Build, Vec<Exposure>>,
    /// Keys that the new build has answered.
    pub keys: BTreeSet<u64>,
    /// How often keys come.
    pub key_counts: KeyCounts,
    /// Evidence, oldest first.
    pub samples: VecDeque<Sample>,
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
    /// The earlier build's samples when they last sufficed.
    pub reference: Vec<Sample>,
    /// The vote that the platform holds.
    pub standing: Option<Cast>,
    /// A vote without a reply yet.
    pub pending: Option<Cast>,
    /// Earliest time of the next vote.
    pub vote_at: Micros,
    /// Peers' last summaries.
    pub peers: BTreeMap<usize, PeerSummary>,
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
        (self.notes <= most).then_some(Action::Note(text))
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
        server.sent.add(now, open.cost);
        open.attempts.push(Attempt { to, cold, sent_at: now, beside: server.in_flight, ended: None });
        Some((open.request.class, open.request.deadline))
    }

    /// The request's answer has started to stream.
    pub fn stream_started(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.streaming = true;
        }
    }

    /// How many listed servers run the build and take work.
    fn ready_with(&self, build: Option<Build>) -> usize {
        let of = |s: &&Server| Some(s.entry.build) == build && s.entry.status == Status::Ready;
        self.servers.values().filter(of).count()
    }

    /// The present stage's samples of the build, and those of earlier builds.
    pub fn stage_samples(&self, build: Build) -> (Vec<Sample>, Vec<Sample>) {
        let since = self.stage_since;
        let new = self.samples_of(|s| s.build == build && s.at >= since);
        (new, self.samples_of(|s| s.build < build && s.at >= since))
    }

    /// Copies of the samples that `keep` admits.
    pub fn samples_of(&self, keep: impl Fn(&Sample) -> bool) -> Vec<Sample> {
        self.samples.iter().filter(|s| keep(s)).copied().collect()
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
            self.servers.values_mut().for_each(|s| s.entry.status = Status::Gone);
        }
        for entry in entries {
            let server = self.servers.entry(entry.id).or_insert_with(|| Server::new(*entry));
            if (server.entry.build, server.entry.started_at) != (entry.build, entry.started_at) {
                let (in_flight, sent) = (server.in_flight, std::mem::take(&mut server.sent));
                *server = Server { in_flight, sent, ..Server::new(*entry) };
            }
            server.entry = *entry;
        }
        self.servers.retain(|_, s| s.entry.status != Status::Gone || s.in_flight > 0);
        self.ready_with(watched) > before
    }
}

impl PeerSummary {
    /// Adds summaries up, by class.
    pub fn add_up<'a>(summaries: impl Iterator<Item = &'a PeerSummary>, classes: usize) -> Vec<[f64; 4]> {
        let mut sums = vec![[0.0; 4]; classes];
        for summary in summaries {
            for (sum, counts) in sums.iter_mut().zip(&summary.counts) {
                sum.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
            }
        }
        sums
    }
}

/// Parts off the samples of a share of the servers, rounded up, with the highest mean of `badness`; none
/// where there is only one server.
pub fn part_worst(
    samples: &[Sample],
    share: f64,
    badness: impl Fn(&Sample) -> f64,
) -> (Vec<Sample>, Vec<Sample>) {
    let mut sums: BTreeMap<ServerId, (f64, f64)> = BTreeMap::new();
    for s in samples {
        let sum = sums.entry(s.server).or_default();
        *sum = (sum.0 + 1.0, sum.1 + badness(s));
    }
    let mut ranked: Vec<(f64, ServerId)> = sums.iter().map(|(id, (n, sum))| (sum / n, *id)).collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let leave = if ranked.len() < 2 { 0 } else { (ranked.len() as f64 * share).ceil() as usize };
    let out: BTreeSet<ServerId> = ranked.iter().take(leave).map(|r| r.1).collect();
    samples.iter().partition(|s| !out.contains(&s.server))
}

/// Attempts and failures of the new build, then of the earlier one, for each class.
pub type Counts = [[f64; 4]];

/// Whether latency could be compared, or the reason of a breach and whether it is of latency alone.
pub type Compared = Result<bool, (String, bool)>;

/// What a closed window says.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Too little to say anything.
    Thin,
    /// Nothing against the build.
    Clean,
    /// A breach: its reason and how much it counts.
    Breach(String, f64),
}
