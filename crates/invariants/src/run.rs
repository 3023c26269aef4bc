//! The records of a run, indexed by what they are about.

use crate::{
    AttemptArrival, AttemptEnd, AttemptOutcome, EndpointListCall, EventRecord, FinalResponse, ObservedEvent,
    Phase, ServerStart, ServerStatus,
};
use std::collections::BTreeMap;

/// The end of a pause that is not over when the records end; small enough to be added to.
const OPEN_PAUSE_END: u64 = u64::MAX / 2;

/// A value and when it was observed, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timed<T> {
    pub at: u64,
    pub value: T,
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    pub at: u64,
    pub proxy: u32,
    pub class: usize,
    pub deadline: u64,
}

/// One request as its client and the servers saw it.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    pub sent: Option<SentRequest>,
    pub responses: Vec<Timed<FinalResponse>>,
    /// When its client gave up.
    pub disconnected: Option<u64>,
    /// Indices into [`Run::attempts`].
    pub attempts: Vec<usize>,
}

/// One attempt as its server saw it.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub at: u64,
    pub arrival: &'a AttemptArrival,
    pub end: Option<Timed<AttemptOutcome>>,
}

/// The release status of one build, as a proxy got it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseNotice {
    pub at: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: Phase,
    pub cap: f64,
}

/// A server's status, as a proxy got it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerNotice {
    pub at: u64,
    pub status: ServerStatus,
    pub started: Option<u64>,
}

/// A span in which a proxy was paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub from: u64,
    pub to: u64,
}

/// The records indexed by what they are about; each list is in the order of time.
#[derive(Debug, Default)]
pub(crate) struct Run<'a> {
    pub requests: BTreeMap<u64, RequestHistory>,
    pub attempts: Vec<Attempt<'a>>,
    /// By proxy: when it was killed.
    pub kills: BTreeMap<u32, Vec<u64>>,
    /// By proxy.
    pub pauses: BTreeMap<u32, Vec<Pause>>,
    /// By proxy and server.
    pub server_notices: BTreeMap<(u32, u64), Vec<ServerNotice>>,
    /// By server: its status on the endpoint list.
    pub listed: BTreeMap<u64, Vec<Timed<ServerStatus>>>,
    /// By proxy: its calls of the discovery service, and ends of its watches.
    pub list_calls: BTreeMap<u32, Vec<Timed<EndpointListCall>>>,
    /// By proxy.
    pub release_notices: BTreeMap<u32, Vec<ReleaseNotice>>,
    /// By server.
    pub server_starts: BTreeMap<u64, Vec<Timed<ServerStart>>>,
    /// By proxy: the classes of the requests sent to it.
    pub received_classes: BTreeMap<u32, Vec<Timed<usize>>>,
    /// Proxies from which clients got bytes after their final responses.
    pub unexpected_bytes: Vec<Timed<u32>>,
    /// When the last event was observed.
    pub last_event: u64,
}

impl<'a> Run<'a> {
    /// Indexes records that are in the order of time.
    pub fn from_records(records: &[&'a EventRecord]) -> Self {
        let mut run = Run { pauses: pauses(records), ..Run::default() };
        let mut open_attempts = BTreeMap::new();
        for record in records {
            run.last_event = run.last_event.max(record.at);
            run.add(record, &mut open_attempts);
        }
        run
    }

    /// Adds one record; `open_attempts` are the indices of attempts without an end, by their number.
    fn add(&mut self, record: &'a EventRecord, open_attempts: &mut BTreeMap<u64, usize>) {
        let at = record.at;
        match &record.event {
            ObservedEvent::RequestSent { request, proxy, class, deadline } => {
                let sent = SentRequest { at, proxy: *proxy, class: *class, deadline: *deadline };
                self.requests.entry(*request).or_default().sent = Some(sent);
                self.received_classes.entry(*proxy).or_default().push(Timed { at, value: *class });
            }
            ObservedEvent::ResponseReceived { request, response } => {
                let responses = &mut self.requests.entry(*request).or_default().responses;
                responses.push(Timed { at, value: *response });
            }
            ObservedEvent::ClientDisconnected { request } => {
                self.requests.entry(*request).or_default().disconnected = Some(at);
            }
            ObservedEvent::UnexpectedBytes { proxy } => {
                self.unexpected_bytes.push(Timed { at, value: *proxy });
            }
            ObservedEvent::AttemptArrived(arrival) => {
                open_attempts.insert(arrival.attempt, self.attempts.len());
                let history = self.requests.entry(arrival.request).or_default();
                history.attempts.push(self.attempts.len());
                self.attempts.push(Attempt { at, arrival, end: None });
            }
            ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }) => {
                if let Some(index) = open_attempts.remove(attempt) {
                    self.attempts[index].end = Some(Timed { at, value: *outcome });
                }
            }
            _ => self.add_state_change(at, &record.event),
        }
    }

    /// Adds what was observed of servers, proxies and the services around them.
    fn add_state_change(&mut self, at: u64, event: &ObservedEvent) {
        match event {
            ObservedEvent::ServerStarted { server, start } => {
                self.server_starts.entry(*server).or_default().push(Timed { at, value: *start });
            }
            ObservedEvent::ServerListed { server, status } => {
                self.listed.entry(*server).or_default().push(Timed { at, value: *status });
            }
            ObservedEvent::ServerStatusSent { proxy, server, status, started } => {
                let received = self.received_at(*proxy, at);
                let notice = ServerNotice { at: received, status: *status, started: *started };
                self.server_notices.entry((*proxy, *server)).or_default().push(notice);
            }
            ObservedEvent::EndpointListCalled { proxy, call } => {
                self.list_calls.entry(*proxy).or_default().push(Timed { at, value: *call });
            }
            ObservedEvent::ReleaseStatusSent { proxy, build, stage, phase, cap } => {
                let received = self.received_at(*proxy, at);
                let notice =
                    ReleaseNotice { at: received, build: *build, stage: *stage, phase: *phase, cap: *cap };
                self.release_notices.entry(*proxy).or_default().push(notice);
            }
            ObservedEvent::ProxyKilled { proxy } => self.kills.entry(*proxy).or_default().push(at),
            // Pauses are collected before all else: see `pauses`.
            ObservedEvent::ProxyPaused { .. } | ObservedEvent::ProxyResumed { .. } => {}
            ObservedEvent::RequestSent { .. }
            | ObservedEvent::ResponseReceived { .. }
            | ObservedEvent::ClientDisconnected { .. }
            | ObservedEvent::UnexpectedBytes { .. }
            | ObservedEvent::AttemptArrived(_)
            | ObservedEvent::AttemptEnded(_) => {}
        }
    }

    /// When a proxy received what was sent to it at a moment: a paused one receives it once it resumes.
    fn received_at(&self, proxy: u32, at: u64) -> u64 {
        let mut pauses = self.pauses.get(&proxy).into_iter().flatten();
        pauses.find(|pause| pause.from <= at && at < pause.to).map_or(at, |pause| pause.to)
    }

    /// How long the pauses of a proxy that touch a span lasted.
    pub fn paused_within(&self, proxy: u32, from: u64, to: u64) -> u64 {
        let pauses = self.pauses.get(&proxy).into_iter().flatten();
        let touching = pauses.filter(|pause| pause.from <= to && pause.to >= from);
        touching.map(|pause| pause.to - pause.from).sum()
    }

    /// Whether a proxy was killed between two moments.
    pub fn killed_within(&self, proxy: u32, from: u64, to: u64) -> bool {
        self.kills.get(&proxy).is_some_and(|kills| kills.iter().any(|&at| at >= from && at <= to))
    }

    /// When the incarnation of a proxy that runs at a moment began: it knows nothing of what was sent before.
    pub fn incarnation_start(&self, proxy: u32, at: u64) -> u64 {
        let kills = self.kills.get(&proxy).into_iter().flatten();
        kills.copied().filter(|&killed| killed <= at).max().unwrap_or(0)
    }

    /// The statuses of a server that the incarnation of a proxy that runs at a moment received until then.
    pub fn server_notices_until(
        &self,
        proxy: u32,
        server: u64,
        at: u64,
    ) -> impl Iterator<Item = &ServerNotice> {
        let incarnation_start = self.incarnation_start(proxy, at);
        let notices = self.server_notices.get(&(proxy, server)).into_iter().flatten();
        notices.take_while(move |n| n.at <= at).filter(move |n| n.at >= incarnation_start)
    }
}

/// By proxy: its pauses. The kill of a paused proxy ends its pause.
fn pauses(records: &[&EventRecord]) -> BTreeMap<u32, Vec<Pause>> {
    let mut pauses: BTreeMap<u32, Vec<Pause>> = BTreeMap::new();
    for record in records {
        match record.event {
            ObservedEvent::ProxyPaused { proxy } => {
                pauses.entry(proxy).or_default().push(Pause { from: record.at, to: OPEN_PAUSE_END });
            }
            ObservedEvent::ProxyResumed { proxy } | ObservedEvent::ProxyKilled { proxy } => {
                if let Some(pause) = pauses.get_mut(&proxy).and_then(|of_proxy| of_proxy.last_mut()) {
                    pause.to = pause.to.min(record.at);
                }
            }
            _ => {}
        }
    }
    pauses
}
