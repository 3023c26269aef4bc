//! What each request does: watches, reports, publishing, status.

use crate::connections::Request;
use crate::protocol::{
    ACKNOWLEDGE_PATH, CHANGES_PATH, Published, RETRY_AFTER_HEADER, Refused, STATUS_PATH, StatusReport,
    SubscriberRow, WATCH_PATH, WHOLE_PATH, read_lines,
};
use crate::serve::{Halt, Server};
use http::header::HeaderName;
use http::{Method, StatusCode};
use serde::Serialize;
use violetseam_distribution::admission::AdmissionDecision;
use violetseam_distribution::message::{Line, MAX_DELTA_CHANGES};
use violetseam_distribution::publisher::SubscribeResponse;
use violetseam_distribution::resource::{MAX_ROUTES, MAX_TENANTS};
use violetseam_distribution::{Change, Message, Micros, Report, Resource, Subscribe};

/// Missing deltas of more bytes than this pass admission as a snapshot does.
const DELTAS_UNADMITTED_BYTES: usize = 256 * 1024;
/// Who holds a configuration is not given the empty one of a publisher that has published nothing yet, and is
/// told to come back in this many microseconds.
const UNPUBLISHED_WAIT: Micros = 5_000_000;
const MICROS_IN_MILLISECOND: Micros = 1_000;

/// Why a request was refused.
struct Refusal {
    status: StatusCode,
    reason: String,
}

impl Refusal {
    fn new(status: StatusCode, reason: impl std::fmt::Display) -> Refusal {
        Refusal { status, reason: reason.to_string() }
    }
}

/// What a call for a watch gets.
enum WatchAnswer {
    /// These lines, then all that is published later.
    Lines(Vec<Line>),
    /// Nothing now: to come back in so many microseconds.
    RetryAfter(Micros),
}

impl Server {
    pub(crate) fn answer(&mut self, key: usize, request: Request) {
        let target = &request.head.target;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (&request.head.method, path) {
            (&Method::GET, WATCH_PATH) => self.on_watch(key, query),
            (&Method::POST, ACKNOWLEDGE_PATH) => self.on_report(key, &request.body),
            (&Method::POST, CHANGES_PATH) => {
                let published = self.publish_changes(&request.body);
                self.respond_published(key, published);
            }
            (&Method::POST, WHOLE_PATH) => {
                let published = self.publish_whole(&request.body);
                self.respond_published(key, published);
            }
            (&Method::GET, STATUS_PATH) => {
                let report = self.status();
                self.respond_json(key, StatusCode::OK, &report);
            }
            _ => self.refuse(key, StatusCode::NOT_FOUND, "no such path", false),
        }
    }

    pub(crate) fn refuse(&mut self, key: usize, status: StatusCode, reason: &str, close: bool) {
        let refused = Refused { reason: reason.to_owned() };
        self.respond(key, status, &[], &json(&refused), close);
    }

    fn respond_json(&mut self, key: usize, status: StatusCode, body: &impl Serialize) {
        self.respond(key, status, &[], &json(body), false);
    }

    fn respond_published(&mut self, key: usize, published: Result<Published, Refusal>) {
        match published {
            Ok(published) => self.respond_json(key, StatusCode::OK, &published),
            Err(refusal) => self.refuse(key, refusal.status, &refusal.reason, false),
        }
    }

    fn on_watch(&mut self, key: usize, query: &str) {
        let subscribe = match Subscribe::from_query(query) {
            Ok(subscribe) => subscribe,
            Err(error) => return self.refuse(key, StatusCode::BAD_REQUEST, &error.to_string(), false),
        };
        match self.watch_answer(&subscribe) {
            Ok(WatchAnswer::Lines(mut lines)) => {
                // What is in force after all of it, with its digest.
                lines.push(self.publisher.heartbeat().write());
                self.begin_watch(key, subscribe.subscriber, lines);
            }
            Ok(WatchAnswer::RetryAfter(micros)) => self.respond_retry_after(key, micros),
            Err(refusal) => self.refuse(key, refusal.status, &refusal.reason, false),
        }
    }

    fn watch_answer(&mut self, subscribe: &Subscribe) -> Result<WatchAnswer, Refusal> {
        let now = self.now();
        match self.publisher.subscribe(now, subscribe) {
            SubscribeResponse::UpToDate => Ok(WatchAnswer::Lines(Vec::new())),
            SubscribeResponse::Deltas(deltas) => {
                let lines: Vec<Line> = deltas.iter().map(|entry| entry.line.clone()).collect();
                let bytes: usize = lines.iter().map(|line| line.len()).sum();
                if bytes <= DELTAS_UNADMITTED_BYTES {
                    return Ok(WatchAnswer::Lines(lines));
                }
                Ok(self.admit(now, &subscribe.subscriber, lines))
            }
            SubscribeResponse::Snapshot { .. } if self.is_unpublished() && subscribe.known.is_some() => {
                Ok(WatchAnswer::RetryAfter(UNPUBLISHED_WAIT))
            }
            SubscribeResponse::Snapshot { snapshot, deltas } => {
                let later = deltas.iter().map(|entry| entry.line.clone());
                let lines = snapshot.parts.iter().cloned().chain(later).collect();
                Ok(self.admit(now, &subscribe.subscriber, lines))
            }
            SubscribeResponse::Ahead { known } => {
                Err(self.halt(Halt::Ahead { subscriber: subscribe.subscriber.clone(), known }))
            }
            SubscribeResponse::Superseded { term } => {
                Err(self.halt(Halt::Superseded { subscriber: subscribe.subscriber.clone(), term }))
            }
        }
    }

    fn admit(&mut self, now: Micros, subscriber: &str, lines: Vec<Line>) -> WatchAnswer {
        match self.admission.request(now, subscriber) {
            AdmissionDecision::Admit => WatchAnswer::Lines(lines),
            AdmissionDecision::RetryAfter(micros) => WatchAnswer::RetryAfter(micros),
        }
    }

    /// Nothing was published since this state was created: an empty configuration says nothing then.
    fn is_unpublished(&self) -> bool {
        self.publisher.version().number == 0
    }

    fn respond_retry_after(&mut self, key: usize, micros: Micros) {
        let milliseconds = micros.div_ceil(MICROS_IN_MILLISECOND).to_string();
        let header = (HeaderName::from_static(RETRY_AFTER_HEADER), milliseconds.as_bytes());
        let line = Message::RetryAfter { micros }.write();
        self.respond(key, StatusCode::SERVICE_UNAVAILABLE, &[header], &line, false);
    }

    /// From now on nothing is published, until a person has looked.
    fn halt(&mut self, halt: Halt) -> Refusal {
        let refusal = Refusal::new(StatusCode::CONFLICT, &halt);
        if self.halted.is_none() {
            tracing::error!("nothing is published any more: {halt}");
            self.halted = Some(halt);
        }
        refusal
    }

    fn on_report(&mut self, key: usize, body: &[u8]) {
        let report = match Report::parse(body) {
            Ok(report) => report,
            Err(error) => return self.refuse(key, StatusCode::BAD_REQUEST, &error.to_string(), false),
        };
        let now = self.now();
        if let Report::Reject { subscriber, version, reason } = &report
            && self.log_rate.allows(now)
        {
            tracing::warn!(subscriber, %version, "refused: {reason}");
        }
        match self.publisher.on_report(now, &report) {
            Ok(()) => self.respond(key, StatusCode::OK, &[], b"{}", false),
            Err(error) => self.refuse(key, StatusCode::CONFLICT, &error.to_string(), false),
        }
    }

    fn publish_changes(&mut self, body: &[u8]) -> Result<Published, Refusal> {
        self.check_not_halted()?;
        let changes = read_lines(body, MAX_DELTA_CHANGES, Change::validate)
            .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error))?;
        let delta = self
            .publisher
            .propose(changes)
            .map_err(|error| Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, error))?;
        let published = Published { version: delta.version, digest: delta.digest };
        let stored = self.store.append(&delta, self.publisher.oldest_known());
        stored.map_err(|error| self.fail(&error))?;
        let committed = self.publisher.commit(delta).map_err(|error| self.fail(&error))?;
        self.send_to_watches(&committed.line);
        tracing::info!(version = %published.version, "published");
        Ok(published)
    }

    fn publish_whole(&mut self, body: &[u8]) -> Result<Published, Refusal> {
        self.check_not_halted()?;
        let resources = read_lines(body, MAX_ROUTES + MAX_TENANTS, Resource::validate)
            .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error))?;
        let configuration = self
            .publisher
            .propose_replacement(resources)
            .map_err(|error| Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, error))?;
        let published = Published { version: configuration.version(), digest: configuration.digest() };
        let stored = self.store.replace(&configuration);
        stored.map_err(|error| self.fail(&error))?;
        self.publisher.replace(configuration).map_err(|error| self.fail(&error))?;
        self.close_watches();
        tracing::info!(version = %published.version, "published whole");
        Ok(published)
    }

    fn check_not_halted(&self) -> Result<(), Refusal> {
        match &self.halted {
            Some(halt) => Err(Refusal::new(StatusCode::CONFLICT, halt)),
            None => Ok(()),
        }
    }

    /// What is durable and what is held may differ from now on: the process ends, and its next start goes by
    /// what is durable.
    fn fail(&mut self, error: &impl std::fmt::Display) -> Refusal {
        let reason = format!("not known to be durable, the publisher stops: {error}");
        self.failed = Some(reason.clone());
        Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, reason)
    }

    fn status(&self) -> StatusReport {
        let row = |status: violetseam_distribution::publisher::SubscriberStatus| {
            let watching = self.watch_of.contains_key(&status.subscriber);
            SubscriberRow { status, watching }
        };
        let configuration = self.publisher.configuration();
        StatusReport {
            version: self.publisher.version(),
            digest: configuration.digest(),
            resources: configuration.len(),
            oldest_known: self.publisher.oldest_known(),
            watches: self.watch_of.len(),
            snapshots_waiting: self.admission.reserved_slots(),
            halted: self.halted.as_ref().map(Halt::to_string),
            subscribers: self.publisher.subscribers(self.now()).into_iter().map(row).collect(),
        }
    }
}

/// A body as JSON; plain structures with string keys, whose serialization does not fail.
fn json(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
