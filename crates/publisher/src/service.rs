//! The service: what each request does to the publisher and its store. It does not handle connections.

use crate::halt::HaltReason;
use crate::http_messages::{Request, Response};
use crate::protocol::{
    ACKNOWLEDGE_PATH, CHANGES_PATH, Published, STATUS_PATH, StatusReport, SubscriberRow, WATCH_PATH,
    WHOLE_CONFIGURATION_PATH, read_lines,
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

/// If the deltas that a subscriber lacks have more bytes than this, they need admission in the same way as a
/// snapshot.
const MAX_UNADMITTED_DELTA_BYTES: usize = 256 * 1024;
/// A publisher that has not published anything yet does not send its empty configuration to a subscriber that
/// already has a configuration. Instead it tells the subscriber to retry after this many microseconds.
const UNPUBLISHED_RETRY_AFTER: Micros = 5_000_000;

/// It is not known whether an update is durable, so the stored state and the one in memory may differ.
#[derive(Debug, Error)]
pub enum DurabilityError {
    /// The store could not write the update.
    #[error("not known to be durable, the publisher stops: {0}")]
    Store(#[from] StoreError),
    /// The update is stored, but it cannot be applied to the publisher's state in memory.
    #[error("not known to be durable, the publisher stops: {0}")]
    Apply(#[from] ApplyError),
}

/// What the server must do on its connections after a request.
pub(crate) enum Outcome {
    /// Send this response.
    Respond(Response),
    /// Start a watch on the connection of the request.
    BeginWatch {
        /// The subscriber's name.
        subscriber: String,
        /// The first lines of the response. Updates that are published later follow them.
        lines: Vec<Line>,
    },
    /// Send the line of a delta to all watches, then send the response.
    Broadcast {
        /// The line of the delta.
        line: Line,
        /// The response to the operator.
        response: Response,
    },
    /// Close all watches, because their subscribers need a snapshot now, then send the response.
    CloseWatches(Response),
}

/// What the service needs to know from the server to handle a request.
pub(crate) struct RequestContext<'a> {
    pub(crate) now: Micros,
    /// The connection keys of the open watches, by subscriber.
    pub(crate) watches: &'a HashMap<String, usize>,
    pub(crate) log_rate_limit: &'a mut LogRateLimit,
}

/// The response to a watch request: the lines to send, or how long the subscriber must wait before it
/// retries.
enum WatchResponse {
    Lines(Vec<Line>),
    RetryAfter(Micros),
}

/// A publisher with its store, and the admission that limits the rate of snapshots.
pub(crate) struct Service {
    publisher: Publisher,
    store: Store,
    admission: Admission,
    halt_reason: Option<HaltReason>,
    durability_error: Option<DurabilityError>,
}

impl Service {
    pub(crate) fn new(publisher: Publisher, store: Store, snapshots_per_second: u32) -> Service {
        let admission = Admission::new(AdmissionLimits::per_second(snapshots_per_second));
        Service { publisher, store, admission, halt_reason: None, durability_error: None }
    }

    /// Whether the process must end because it is not known whether an update is durable.
    pub(crate) fn has_failed(&self) -> bool {
        self.durability_error.is_some()
    }

    /// Ends the service. Returns an error if [`Service::has_failed`].
    pub(crate) fn finish(self) -> Result<(), DurabilityError> {
        self.durability_error.map_or(Ok(()), Err)
    }

    /// The heartbeat line, for watches on which nothing else was sent for some time.
    pub(crate) fn heartbeat(&self) -> Line {
        self.publisher.heartbeat().write()
    }

    /// Handles a request and returns what the server must do on its connections.
    pub(crate) fn handle(&mut self, request: &Request, context: &mut RequestContext<'_>) -> Outcome {
        let target = &request.head.target;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let outcome = match (&request.head.method, path) {
            (&Method::GET, WATCH_PATH) => self.on_watch(context.now, query),
            (&Method::POST, ACKNOWLEDGE_PATH) => self.on_report(&request.body, context),
            (&Method::POST, CHANGES_PATH) => self.publish_changes(&request.body),
            (&Method::POST, WHOLE_CONFIGURATION_PATH) => self.publish_configuration(&request.body),
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
                // The heartbeat states the version that the subscriber has after all these lines, and its
                // digest.
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
                let delta_lines = deltas.iter().map(|entry| entry.line.clone());
                let lines = snapshot.parts.iter().cloned().chain(delta_lines).collect();
                Ok(self.admit(now, subscriber, lines))
            }
            SubscribeResponse::Ahead { known } => {
                Err(self.halt(HaltReason::Ahead { subscriber: subscriber.clone(), known }))
            }
            SubscribeResponse::Superseded { term } => {
                Err(self.halt(HaltReason::Superseded { subscriber: subscriber.clone(), term }))
            }
        }
    }

    fn admit(&mut self, now: Micros, subscriber: &str, lines: Vec<Line>) -> WatchResponse {
        match self.admission.request(now, subscriber) {
            AdmissionDecision::Admit => WatchResponse::Lines(lines),
            AdmissionDecision::RetryAfter(micros) => WatchResponse::RetryAfter(micros),
        }
    }

    /// Whether nothing was published since this state was created. Its configuration is empty then, but was
    /// never published.
    fn is_unpublished(&self) -> bool {
        self.publisher.version().number == 0
    }

    /// Stops publishing until an operator intervenes.
    fn halt(&mut self, reason: HaltReason) -> Response {
        let response = Response::refused(StatusCode::CONFLICT, &reason);
        if self.halt_reason.is_none() {
            tracing::error!("publishing has halted until an operator intervenes: {reason}");
            self.halt_reason = Some(reason);
        }
        response
    }

    fn on_report(&mut self, body: &[u8], context: &mut RequestContext<'_>) -> Result<Outcome, Response> {
        let report =
            Report::parse(body).map_err(|error| Response::refused(StatusCode::BAD_REQUEST, error))?;
        if let Report::Reject { subscriber, version, reason } = &report
            && context.log_rate_limit.allows(context.now)
        {
            tracing::warn!(subscriber, %version, "a subscriber rejected this version: {reason}");
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
        tracing::info!(version = %published.version, "published a complete configuration");
        Ok(Outcome::CloseWatches(Response::json(StatusCode::OK, &published)))
    }

    fn check_not_halted(&self) -> Result<(), Response> {
        match &self.halt_reason {
            Some(reason) => Err(Response::refused(StatusCode::CONFLICT, reason)),
            None => Ok(()),
        }
    }

    /// Records that the stored state and the one in memory may differ from now on. The process then ends, and
    /// its next start uses the stored state.
    fn fail(&mut self, error: impl Into<DurabilityError>) -> Response {
        let error = error.into();
        let response = Response::refused(StatusCode::INTERNAL_SERVER_ERROR, &error);
        self.durability_error = Some(error);
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
            halted: self.halt_reason.as_ref().map(HaltReason::to_string),
            subscribers: self.publisher.subscribers(now).into_iter().map(row).collect(),
        }
    }
}
