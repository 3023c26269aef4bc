//! Checks the five rules from records of what servers, clients, roster and release desk saw cross their
//! sockets. It reads no log or counter of a proxy and shares no code with the proxy or the decisions: what
//! it knows of the rules is written down here once more, from their wording.
//!
//! [`record`] is the format, [`check`] the verdict. Times are microseconds on one clock of the stand-ins.
//! All events of a proxy are seen from outside, a little before or after it acted; [`Rules::slack`] is what
//! that may come to, and is always given in the proxy's favour.

mod cold;
mod drain;
mod effects;
mod exposure;
mod finals;
mod fleet;
pub mod record;

pub use fleet::Bound;
pub use record::{Arrival, End, Entry, Finish, Record, Rules};

use std::collections::BTreeMap;

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's number, 1 to 5.
    pub rule: u8,
    /// When, in microseconds.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

/// What a check found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Broken rules in the order of time; the first few hundred.
    pub violations: Vec<Violation>,
    /// How many there were in all, by rule (index 0 is rule 1).
    pub broken: [u64; 5],
    /// How much each rule had to look at: a rule that looked at nothing proves nothing.
    pub looked_at: [u64; 5],
    /// Bounds of the whole fleet.
    pub fleet: Vec<Bound>,
}

impl Verdict {
    /// No rule was broken, and no bound of the fleet.
    pub fn kept(&self) -> bool {
        self.broken.iter().all(|n| *n == 0) && self.fleet.iter().all(|bound| bound.over == 0)
    }

    pub(crate) fn look(&mut self, rule: u8) {
        self.looked_at[usize::from(rule) - 1] += 1;
    }

    pub(crate) fn broke(&mut self, rule: u8, at: u64, what: String) {
        self.broken[usize::from(rule) - 1] += 1;
        if self.violations.len() < 300 {
            self.violations.push(Violation { rule, at, what });
        }
    }
}

/// Checks a run's records, in any order.
pub fn check(rules: &Rules, entries: &[Entry]) -> Verdict {
    let mut entries: Vec<&Entry> = entries.iter().collect();
    // Stable: what one observer saw at one moment stays in its order.
    entries.sort_by_key(|e| e.at);
    let run = Run::read(&entries);
    let mut verdict = Verdict::default();
    finals::check(rules, &run, &mut verdict);
    effects::check(rules, &run, &mut verdict);
    drain::check(rules, &run, &mut verdict);
    cold::check(rules, &run, &mut verdict);
    exposure::check(rules, &run, &mut verdict);
    fleet::check(rules, &run, &mut verdict);
    verdict.violations.sort_by_key(|v| v.at);
    verdict
}

/// One request as its client and the servers saw it.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub sent: Option<(u64, u32, usize, u64)>,
    pub answers: Vec<(u64, record::Answer)>,
    pub left: Option<u64>,
    /// Indices into the arrivals.
    pub arrivals: Vec<usize>,
}

/// One attempt as its server saw it.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub at: u64,
    pub is: &'a Arrival,
    pub end: Option<(u64, End)>,
}

/// News of one build, as told to a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct News {
    pub at: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: record::Phase,
    pub cap: f64,
}

/// A server's line as told to a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    pub at: u64,
    pub state: record::State,
    pub started: Option<u64>,
}

/// The records sorted by what they are about.
#[derive(Debug, Default)]
pub(crate) struct Run<'a> {
    pub requests: BTreeMap<u64, Seen>,
    pub attempts: Vec<Attempt<'a>>,
    /// By proxy: when it was killed.
    pub killed: BTreeMap<u32, Vec<u64>>,
    /// By proxy: when it stood still, from and to.
    pub stops: BTreeMap<u32, Vec<(u64, u64)>>,
    /// By proxy and server.
    pub told: BTreeMap<(u32, u64), Vec<Told>>,
    /// By server: when it was listed so.
    pub listed: BTreeMap<u64, Vec<(u64, record::State)>>,
    /// By proxy: calls of the roster (when, and whether it answered) and watches lost.
    pub asked: BTreeMap<u32, Vec<(u64, record::Call)>>,
    /// By proxy.
    pub news: BTreeMap<u32, Vec<News>>,
    /// By server: starts.
    pub starts: BTreeMap<u64, Vec<(u64, record::Start)>>,
    /// By proxy: times and classes of the requests sent to it.
    pub taken: BTreeMap<u32, Vec<(u64, usize)>>,
    /// Bytes that clients got after their final answers.
    pub surplus: Vec<(u64, u32)>,
    pub last: u64,
}

/// By proxy: when it stood still. One that was killed in a standstill stands so to its end.
fn stops(entries: &[&Entry]) -> BTreeMap<u32, Vec<(u64, u64)>> {
    let mut stops: BTreeMap<u32, Vec<(u64, u64)>> = BTreeMap::new();
    for entry in entries {
        match entry.record {
            Record::Stopped { proxy } => stops.entry(proxy).or_default().push((entry.at, u64::MAX / 2)),
            Record::WentOn { proxy } | Record::Killed { proxy } => {
                let last = stops.get_mut(&proxy).and_then(|s| s.last_mut());
                last.into_iter().for_each(|last| last.1 = last.1.min(entry.at));
            }
            _ => {}
        }
    }
    stops
}

impl<'a> Run<'a> {
    fn read(entries: &[&'a Entry]) -> Self {
        let mut run = Run::default();
        let mut open: BTreeMap<u64, usize> = BTreeMap::new();
        run.stops = stops(entries);
        for entry in entries {
            let at = entry.at;
            run.last = run.last.max(at);
            match &entry.record {
                Record::Sent { request, proxy, class, deadline, .. } => {
                    run.requests.entry(*request).or_default().sent = Some((at, *proxy, *class, *deadline));
                    run.taken.entry(*proxy).or_default().push((at, *class));
                }
                Record::Answered { request, answer } => {
                    run.requests.entry(*request).or_default().answers.push((at, *answer));
                }
                Record::Left { request } => {
                    run.requests.entry(*request).or_default().left = Some(at);
                }
                Record::Surplus { proxy } => run.surplus.push((at, *proxy)),
                Record::Arrived(arrival) => {
                    open.insert(arrival.number, run.attempts.len());
                    run.requests.entry(arrival.request).or_default().arrivals.push(run.attempts.len());
                    run.attempts.push(Attempt { at, is: arrival, end: None });
                }
                Record::Ended(Finish { number, end }) => {
                    if let Some(index) = open.remove(number) {
                        run.attempts[index].end = Some((at, *end));
                    }
                }
                Record::Started { server, start } => {
                    run.starts.entry(*server).or_default().push((at, *start));
                }
                Record::Listed { server, state } => {
                    run.listed.entry(*server).or_default().push((at, *state));
                }
                Record::Told { proxy, server, state, started } => {
                    let told = Told { at: run.heard(*proxy, at), state: *state, started: *started };
                    run.told.entry((*proxy, *server)).or_default().push(told);
                }
                Record::Called { proxy, call } => run.asked.entry(*proxy).or_default().push((at, *call)),
                Record::News { proxy, build, stage, phase, cap } => {
                    let at = run.heard(*proxy, at);
                    let news = News { at, build: *build, stage: *stage, phase: *phase, cap: *cap };
                    run.news.entry(*proxy).or_default().push(news);
                }
                Record::Killed { proxy } => run.killed.entry(*proxy).or_default().push(at),
                Record::Stopped { .. } | Record::WentOn { .. } => {}
            }
        }
        run
    }

    /// When a proxy heard what was told to it at a moment: one that stands still hears once it goes on.
    fn heard(&self, proxy: u32, at: u64) -> u64 {
        let stops = self.stops.get(&proxy).into_iter().flatten();
        stops.copied().find(|&(from, to)| from <= at && at < to).map_or(at, |(_, to)| to)
    }

    /// How long a proxy stood still between two moments.
    pub fn stood_within(&self, proxy: u32, from: u64, to: u64) -> u64 {
        let stops = self.stops.get(&proxy).into_iter().flatten();
        stops
            .filter(|(began, ended)| *began <= to && *ended >= from)
            .map(|(began, ended)| ended - began)
            .sum()
    }

    /// Whether a proxy was killed between two moments.
    pub fn killed_within(&self, proxy: u32, from: u64, to: u64) -> bool {
        self.killed.get(&proxy).is_some_and(|k| k.iter().any(|&at| at >= from && at <= to))
    }

    /// When a proxy last came to life before a moment: it knows nothing of what was told before.
    pub fn alive_since(&self, proxy: u32, at: u64) -> u64 {
        let killed = self.killed.get(&proxy).into_iter().flatten();
        killed.copied().filter(|&k| k <= at).max().unwrap_or(0)
    }
}
