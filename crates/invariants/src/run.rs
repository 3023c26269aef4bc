//! The records of a run, indexed by request, proxy and server.

use crate::{
    AttemptArrival, AttemptEnd, AttemptOutcome, EndpointListCall, EventRecord, FinalResponse, ObservedEvent,
    Phase, ServerStart, ServerStatus,
};
use std::collections::BTreeMap;

/// The end of a pause that lasts beyond the end of the records. It is far below `u64::MAX`, so that sums with
/// it do not overflow.
const OPEN_PAUSE_END: u64 = u64::MAX / 2;

/// A value and the time at which it was observed, in microseconds.
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

/// One request as its client and the servers observed it.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    pub sent: Option<SentRequest>,
    pub responses: Vec<Timed<FinalResponse>>,
    /// When the client gave up and disconnected.
    pub disconnected: Option<u64>,
    /// Indices into [`Run::attempts`].
    pub attempts: Vec<usize>,
}

/// One attempt as its server observed it.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub at: u64,
    pub arrival: &'a AttemptArrival,
    pub end: Option<Timed<AttemptOutcome>>,
}

/// The release status of a build, as a proxy received it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseNotice {
    pub at: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: Phase,
    pub cap: f64,
}

/// A server's status, as a proxy received it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerNotice {
    pub at: u64,
    pub status: ServerStatus,
    pub started: Option<u64>,
}

/// A period in which a proxy was paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub from: u64,
    pub to: u64,
}

/// The records, indexed by request, proxy and server. Each list is in the order of time.
#[derive(Debug, Default)]
pub(crate) struct Run<'a> {
    pub requests: BTreeMap<u64, RequestHistory>,
    pub attempts: Vec<Attempt<'a>>,
    /// By proxy: the times at which it was killed.
    pub kills: BTreeMap<u32, Vec<u64>>,
    /// By proxy: the periods in which it was paused.
    pub pauses: BTreeMap<u32, Vec<Pause>>,
    /// By proxy and server: the statuses of the server that the proxy received.
    pub server_notices: BTreeMap<(u32, u64), Vec<ServerNotice>>,
    /// By server: its status on the endpoint list.
    pub listed: BTreeMap<u64, Vec<Timed<ServerStatus>>>,
    /// By proxy: its calls to the discovery service and the ends of its watches.
    pub list_calls: BTreeMap<u32, Vec<Timed<EndpointListCall>>>,
    /// By proxy: the release statuses that it received.
    pub release_notices: BTreeMap<u32, Vec<ReleaseNotice>>,
    /// By server: its starts.
    pub server_starts: BTreeMap<u64, Vec<Timed<ServerStart>>>,
    /// By proxy: the classes of the requests sent to it.
    pub received_classes: BTreeMap<u32, Vec<Timed<usize>>>,
    /// Proxies from which clients received bytes that belong to no response.
    pub unexpected_bytes: Vec<Timed<u32>>,
    /// When the last event was observed.
    pub last_event: u64,
}

impl<'a> Run<'a> {
    /// Indexes records, which must be in the order of time.
    pub fn from_records(records: &[&'a EventRecord]) -> Self {
        let mut run = Run { pauses: collect_pauses(records), ..Run::default() };
        let mut open_attempts = BTreeMap::new();
        for record in records {
            run.last_event = run.last_event.max(record.at);
            run.add(record, &mut open_attempts);
        }
        run
    }

    /// Adds one record. `open_attempts` maps the numbers of attempts that have not ended to their indices.
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

    /// Adds an event about the state of servers, proxies, the discovery service or the release service.
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
            // `collect_pauses` has already collected the pauses.
            ObservedEvent::ProxyPaused { .. } | ObservedEvent::ProxyResumed { .. } => {}
            ObservedEvent::RequestSent { .. }
            | ObservedEvent::ResponseReceived { .. }
            | ObservedEvent::ClientDisconnected { .. }
            | ObservedEvent::UnexpectedBytes { .. }
            | ObservedEvent::AttemptArrived(_)
            | ObservedEvent::AttemptEnded(_) => {}
        }
    }

    /// Returns when a proxy received what was sent to it at `at`. A paused proxy receives it when it resumes.
    fn received_at(&self, proxy: u32, at: u64) -> u64 {
        let mut pauses = self.pauses.get(&proxy).into_iter().flatten();
        pauses.find(|pause| pause.from <= at && at < pause.to).map_or(at, |pause| pause.to)
    }

    /// Returns the total length of a proxy's pauses that overlap a span, counting each pause whole.
    pub fn paused_within(&self, proxy: u32, from: u64, to: u64) -> u64 {
        let pauses = self.pauses.get(&proxy).into_iter().flatten();
        let touching = pauses.filter(|pause| pause.from <= to && pause.to >= from);
        touching.map(|pause| pause.to - pause.from).sum()
    }

    /// Whether a proxy was killed between two times, both included.
    pub fn killed_within(&self, proxy: u32, from: u64, to: u64) -> bool {
        self.kills.get(&proxy).is_some_and(|kills| kills.iter().any(|&at| at >= from && at <= to))
    }

    /// Returns the start of the proxy incarnation that runs at `at`. An incarnation knows nothing of what
    /// was sent to the proxy before it started.
    pub fn incarnation_start(&self, proxy: u32, at: u64) -> u64 {
        let kills = self.kills.get(&proxy).into_iter().flatten();
        kills.copied().filter(|&killed| killed <= at).max().unwrap_or(0)
    }

    /// Returns the statuses of a server that the proxy incarnation running at `at` had received by then.
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

/// Collects the pauses of each proxy. Killing a paused proxy ends its pause.
fn collect_pauses(records: &[&EventRecord]) -> BTreeMap<u32, Vec<Pause>> {
    let mut pauses: BTreeMap<u32, Vec<Pause>> = BTreeMap::new();
    for record in records {
        match record.event {
            ObservedEvent::ProxyPaused { proxy } => {
                pauses.entry(proxy).or_default().push(Pause { from: record.at, to: OPEN_PAUSE_END });
            }
            ObservedEvent::ProxyResumed { proxy } | ObservedEvent::ProxyKilled { proxy } => {
                if let Some(pause) = pauses.get_mut(&proxy).and_then(|proxy_pauses| proxy_pauses.last_mut()) {
                    pause.to = pause.to.min(record.at);
                }
            }
            _ => {}
        }
    }
    pauses
}
