//! The service: what each request does to the publisher and its store, without connections.

use crate::halt::Halt;
use crate::http_messages::{Request, Response};
use crate::protocol::{
    ACKNOWLEDGE_PATH, CHANGES_PATH, Published, STATUS_PATH, StatusReport, SubscriberRow, WATCH_PATH,
    WHOLE_PATH, read_lines,
};
use crate::store::{Store, StoreError};
use http::{Method, StatusCode};
use std::collections::HashMap;
use thiserror::Error;
use violetseam_distribution::admission::{Admission, AdmissionDecision, AdmissionLimits};
use violetseam_distribution::message::{Line, MAX_DELTA_CHANGES};
use violetseam_distribution::publisher::{Publisher, SubscribeResponse, SubscriberStatus};
use violetseam_distribution::resource::{MAX_ROUTES, MAX_TENANTS};
use violetseam_distribution::{ApplyError, Change, Micros, Report, Resource, Subscribe};
use violetseam_event_io::log_rate_limit::LogRateLimit;

/// Missing deltas of more bytes than this pass admission as a snapshot does.
const MAX_UNADMITTED_DELTA_BYTES: usize = 256 * 1024;
/// A subscriber that has a configuration does not get the empty one of a publisher that has published nothing
/// yet, and retries after this many microseconds.
const UNPUBLISHED_RETRY_AFTER: Micros = 5_000_000;

/// An update that is not known to be durable: what is stored and what is in memory may differ.
#[derive(Debug, Error)]
pub enum DurabilityError {
    /// The store failed.
    #[error("not known to be durable, the publisher stops: {0}")]
    Store(#[from] StoreError),
    /// The stored update does not apply to the publisher.
    #[error("not known to be durable, the publisher stops: {0}")]
    Apply(#[from] ApplyError),
}

/// What the connections have to do about a request.
pub(crate) enum Outcome {
    /// Send this response.
    Respond(Response),
    /// Begin a watch with these lines.
    BeginWatch {
        /// The subscriber's name.
        subscriber: String,
        /// The lines of the response; what is published later follows them.
        lines: Vec<Line>,
    },
    /// Send the line of a delta to all watches, then the response.
    Broadcast {
        /// The line.
        line: Line,
        /// The response to the operator.
        response: Response,
    },
    /// Close all watches, whose subscribers need a snapshot, then send the response.
    CloseWatches(Response),
}

/// What a request needs of the connections.
pub(crate) struct RequestContext<'a> {
    pub(crate) now: Micros,
    /// The keys of the open watches by subscriber.
    pub(crate) watches: &'a HashMap<String, usize>,
    pub(crate) log_rate: &'a mut LogRateLimit,
}

/// The lines of a response to a subscriber, or the wait until it may retry.
enum WatchResponse {
    Lines(Vec<Line>),
    RetryAfter(Micros),
}

/// A publisher with its store and its admission of snapshots.
pub(crate) struct Service {
    publisher: Publisher,
    store: Store,
    admission: Admission,
    halt: Option<Halt>,
    failure: Option<DurabilityError>,
}

impl Service {
    pub(crate) fn new(publisher: Publisher, store: Store, snapshots_per_second: u32) -> Service {
        let admission = Admission::new(AdmissionLimits::per_second(snapshots_per_second));
        Service { publisher, store, admission, halt: None, failure: None }
    }

    /// Whether an update is not known to be durable, so that the process must end.
    pub(crate) fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Ends the service; the error is that of [`Service::has_failed`].
    pub(crate) fn finish(self) -> Result<(), DurabilityError> {
        self.failure.map_or(Ok(()), Err)
    }

    /// The line of the heartbeat for watches on which nothing else was sent for a while.
    pub(crate) fn heartbeat(&self) -> Line {
        self.publisher.heartbeat().write()
    }

    /// Carries out a request.
    pub(crate) fn handle(&mut self, request: &Request, context: &mut RequestContext<'_>) -> Outcome {
        let target = &request.head.target;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let outcome = match (&request.head.method, path) {
            (&Method::GET, WATCH_PATH) => self.on_watch(context.now, query),
            (&Method::POST, ACKNOWLEDGE_PATH) => self.on_report(&request.body, context),
            (&Method::POST, CHANGES_PATH) => self.publish_changes(&request.body),
            (&Method::POST, WHOLE_PATH) => self.publish_configuration(&request.body),
            (&Method::GET, STATUS_PATH) => {
                let report = self.status(context.now, context.watches);
                Ok(Outcome::Respond(Response::json(StatusCode::OK, &report)))
            }
            _ => Err(Response::refused(StatusCode::NOT_FOUND, "no such path")),
        };
        outcome.unwrap_or_else(Outcome::Respond)
    }

    fn on_watch(&mut self, now: Micros, query: &str) -> Result<Outcome, Response> {
        let subscribe = Subscribe::from_query(query)
            .map_err(|error| Response::refused(StatusCode::BAD_REQUEST, error))?;
        match self.watch_response(now, &subscribe)? {
            WatchResponse::Lines(mut lines) => {
                // The version after all of it, with its digest.
                lines.push(self.heartbeat());
                Ok(Outcome::BeginWatch { subscriber: subscribe.subscriber, lines })
            }
            WatchResponse::RetryAfter(micros) => Ok(Outcome::Respond(Response::retry_after(micros))),
        }
    }

    fn watch_response(&mut self, now: Micros, subscribe: &Subscribe) -> Result<WatchResponse, Response> {
        let subscriber = &subscribe.subscriber;
        match self.publisher.subscribe(now, subscribe) {
            SubscribeResponse::UpToDate => Ok(WatchResponse::Lines(Vec::new())),
            SubscribeResponse::Deltas(deltas) => {
                let lines: Vec<Line> = deltas.iter().map(|entry| entry.line.clone()).collect();
                let bytes: usize = lines.iter().map(|line| line.len()).sum();
                if bytes <= MAX_UNADMITTED_DELTA_BYTES {
                    return Ok(WatchResponse::Lines(lines));
                }
                Ok(self.admit(now, subscriber, lines))
            }
            SubscribeResponse::Snapshot { .. } if self.is_unpublished() && subscribe.known.is_some() => {
                Ok(WatchResponse::RetryAfter(UNPUBLISHED_RETRY_AFTER))
            }
            SubscribeResponse::Snapshot { snapshot, deltas } => {
                let later = deltas.iter().map(|entry| entry.line.clone());
                let lines = snapshot.parts.iter().cloned().chain(later).collect();
                Ok(self.admit(now, subscriber, lines))
            }
            SubscribeResponse::Ahead { known } => {
                Err(self.halt(Halt::Ahead { subscriber: subscriber.clone(), known }))
            }
            SubscribeResponse::Superseded { term } => {
                Err(self.halt(Halt::Superseded { subscriber: subscriber.clone(), term }))
            }
        }
    }

    fn admit(&mut self, now: Micros, subscriber: &str, lines: Vec<Line>) -> WatchResponse {
        match self.admission.request(now, subscriber) {
            AdmissionDecision::Admit => WatchResponse::Lines(lines),
            AdmissionDecision::RetryAfter(micros) => WatchResponse::RetryAfter(micros),
        }
    }

    /// Nothing was published since this state was created: its empty configuration is not a published one.
    fn is_unpublished(&self) -> bool {
        self.publisher.version().number == 0
    }

    /// From now on nothing is published until an operator intervenes.
    fn halt(&mut self, halt: Halt) -> Response {
        let response = Response::refused(StatusCode::CONFLICT, &halt);
        if self.halt.is_none() {
            tracing::error!("nothing is published any more: {halt}");
            self.halt = Some(halt);
        }
        response
    }

    fn on_report(&mut self, body: &[u8], context: &mut RequestContext<'_>) -> Result<Outcome, Response> {
        let report =
            Report::parse(body).map_err(|error| Response::refused(StatusCode::BAD_REQUEST, error))?;
        if let Report::Reject { subscriber, version, reason } = &report
            && context.log_rate.allows(context.now)
        {
            tracing::warn!(subscriber, %version, "refused: {reason}");
        }
        self.publisher
            .on_report(context.now, &report)
            .map_err(|error| Response::refused(StatusCode::CONFLICT, error))?;
        let body = b"{}".to_vec();
        Ok(Outcome::Respond(Response { status: StatusCode::OK, headers: Vec::new(), body }))
    }

    fn publish_changes(&mut self, body: &[u8]) -> Result<Outcome, Response> {
        self.check_not_halted()?;
        let changes = read_lines(body, MAX_DELTA_CHANGES, Change::validate)
            .map_err(|error| Response::refused(StatusCode::BAD_REQUEST, error))?;
        let delta = self
            .publisher
            .propose(changes)
            .map_err(|error| Response::refused(StatusCode::UNPROCESSABLE_ENTITY, error))?;
        let published = Published { version: delta.version, digest: delta.digest };
        let stored = self.store.append(&delta, self.publisher.oldest_known());
        stored.map_err(|error| self.fail(error))?;
        let entry = self.publisher.commit(delta).map_err(|error| self.fail(error))?;
        tracing::info!(version = %published.version, "published");
        let response = Response::json(StatusCode::OK, &published);
        Ok(Outcome::Broadcast { line: entry.line.clone(), response })
    }

    fn publish_configuration(&mut self, body: &[u8]) -> Result<Outcome, Response> {
        self.check_not_halted()?;
        let resources = read_lines(body, MAX_ROUTES + MAX_TENANTS, Resource::validate)
            .map_err(|error| Response::refused(StatusCode::BAD_REQUEST, error))?;
        let configuration = self
            .publisher
            .propose_replacement(resources)
            .map_err(|error| Response::refused(StatusCode::UNPROCESSABLE_ENTITY, error))?;
        let published = Published { version: configuration.version(), digest: configuration.digest() };
        let stored = self.store.replace(&configuration);
        stored.map_err(|error| self.fail(error))?;
        self.publisher.replace(configuration).map_err(|error| self.fail(error))?;
        tracing::info!(version = %published.version, "published whole");
        Ok(Outcome::CloseWatches(Response::json(StatusCode::OK, &published)))
    }

    fn check_not_halted(&self) -> Result<(), Response> {
        match &self.halt {
            Some(halt) => Err(Response::refused(StatusCode::CONFLICT, halt)),
            None => Ok(()),
        }
    }

    /// What is durable and what is in memory may differ from now on: the process ends, and its next start goes
    /// by what is durable.
    fn fail(&mut self, error: impl Into<DurabilityError>) -> Response {
        let error = error.into();
        let response = Response::refused(StatusCode::INTERNAL_SERVER_ERROR, &error);
        self.failure = Some(error);
        response
    }

    fn status(&self, now: Micros, watches: &HashMap<String, usize>) -> StatusReport {
        let row = |status: SubscriberStatus| {
            let watching = watches.contains_key(&status.subscriber);
            SubscriberRow { status, watching }
        };
        let configuration = self.publisher.configuration();
        StatusReport {
            version: self.publisher.version(),
            digest: configuration.digest(),
            resources: configuration.len(),
            oldest_known: self.publisher.oldest_known(),
            watches: watches.len(),
            snapshots_waiting: self.admission.reserved_slots(),
            halted: self.halt.as_ref().map(Halt::to_string),
            subscribers: self.publisher.subscribers(now).into_iter().map(row).collect(),
        }
    }
}
