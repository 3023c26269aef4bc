//! Answers of discovery, failed queries, and the lease on the server list that follows from both.

use super::exchange::{ListEvidence, Query, QueryFailure};
use super::timing::{
    EMPTY_LIST_RETRY_INTERVAL, LEASE_RENEWAL_MARGIN, MAX_BACKOFF_DOUBLINGS, MIN_WATCH_DURATION,
    PUSHED_RETRY_INTERVAL, RETRY_TENTHS, WATCH_RETRY_INTERVAL,
};
use crate::proxy::Proxy;
use calloop::Readiness;
use violetseam::interface::Micros;
use violetseam_event_io::ReadOutcome;
use violetseam_http1::client::ClientEvent;
use violetseam_platform_protocol::discovery::{ListUpdate, MAX_ANSWER_BYTES};

impl Proxy {
    /// Handles the connection's readiness.
    pub(super) fn on_discovery(&mut self, generation: u64, readiness: Readiness) {
        let Some(exchange) = self.discovery.exchange(generation) else { return };
        if readiness.writable {
            if let Err(failure) = exchange.flush_query() {
                return self.fail_query(generation, failure);
            }
            exchange.socket.set_read_interest(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_discovery(generation);
        }
        self.run_engine_actions();
    }

    fn read_discovery(&mut self, generation: u64) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(exchange) = self.discovery.exchange(generation) {
            match exchange.socket.read(&mut scratch) {
                ReadOutcome::Bytes(length) => {
                    exchange.http.feed(&scratch[..length]);
                    self.handle_discovery_events(generation);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed => match exchange.http.close() {
                    Some(ClientEvent::End { .. }) => self.finish_exchange(generation, false),
                    _ => self.fail_query(generation, QueryFailure::Closed),
                },
                ReadOutcome::Failed => self.fail_query(generation, QueryFailure::Reset),
            }
        }
        self.scratch = scratch;
    }

    fn handle_discovery_events(&mut self, generation: u64) {
        while let Some(exchange) = self.discovery.exchange(generation) {
            match exchange.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => exchange.status = Some(head.status.as_u16()),
                Some(ClientEvent::Body(bytes)) => {
                    exchange.body.extend_from_slice(&bytes);
                    if exchange.body.len() > MAX_ANSWER_BYTES {
                        return self.fail_query(generation, QueryFailure::TooLong);
                    }
                }
                Some(ClientEvent::End { reusable }) => return self.finish_exchange(generation, reusable),
                Some(ClientEvent::Fault(fault)) => {
                    return self.fail_query(generation, QueryFailure::InvalidHttp(fault.reason));
                }
            }
        }
    }

    /// Handles a complete answer and goes on with the next query, on the same connection if it may be used
    /// again.
    fn finish_exchange(&mut self, generation: u64, is_reusable: bool) {
        if let Err(failure) = self.handle_discovery_answer(generation) {
            return self.fail_query(generation, failure);
        }
        // The engine may have started another query meanwhile.
        if self.discovery.exchange(generation).is_none() {
            return;
        }
        if is_reusable {
            let exchange = self.discovery.exchange.take();
            self.start_query(exchange);
        } else {
            self.start_query(None);
        }
    }

    /// Reads a complete answer and passes its list to the engine.
    fn handle_discovery_answer(&mut self, generation: u64) -> Result<(), QueryFailure> {
        let now = self.now();
        let Some(exchange) = self.discovery.exchange(generation) else { return Ok(()) };
        if !exchange.is_accepted() {
            return Err(QueryFailure::Declined);
        }
        let body = std::mem::take(&mut exchange.body);
        let began_at = exchange.began_at;
        let query = exchange.query;
        let list = ListUpdate::parse(&body)?;
        if let Query::ChangesSince(held_version) = query {
            self.check_changes(&list, held_version, now.saturating_sub(began_at))?;
        }
        self.apply_list(&list, query, now)
    }

    /// Checks that an answer to a watch fits the version held. `waited` is how long the service took.
    fn check_changes(
        &mut self,
        list: &ListUpdate,
        held_version: u64,
        waited: Micros,
    ) -> Result<(), QueryFailure> {
        if list.revision < held_version {
            // Whatever the watch waited for, the service's version is below the one held: it counts anew.
            self.server_list.forget_version();
            if !list.complete {
                return Err(QueryFailure::VersionReset);
            }
        }
        let has_changes = list.revision > held_version || !list.members.is_empty();
        if !list.complete && !has_changes && waited < MIN_WATCH_DURATION {
            return Err(QueryFailure::EmptyWatch);
        }
        Ok(())
    }

    /// Applies a list to the one held, renews the lease and passes the entries to the engine.
    fn apply_list(&mut self, list: &ListUpdate, query: Query, now: Micros) -> Result<(), QueryFailure> {
        let version = list.revision;
        let is_outdated = self.server_list.version().is_some_and(|held_version| version < held_version);
        let applied = self.server_list.apply(list)?;
        tracing::debug!(version, lines = applied.entries.len(), kind = ?applied.kind, ?query, "server list");
        self.discovery.is_confirmed = true;
        self.discovery.failures = 0;
        if !is_outdated {
            self.confirm_list(now, self.previous_poll_at);
        }
        if list.complete {
            self.discovery.verify_at = None;
        }
        self.servers_changed(&applied.changed);
        self.engine.on_server_list(now, applied.kind, &applied.entries);
        self.run_engine_actions();
        Ok(())
    }

    /// Ends a query that has no complete answer in time.
    pub(crate) fn discovery_timeout(&mut self, generation: u64) {
        let now = self.now();
        if self.discovery.exchange(generation).is_some_and(|exchange| now >= exchange.timeout_at) {
            self.fail_query(generation, QueryFailure::TimedOut);
        }
    }

    /// Ends a query without an answer that can be used.
    fn fail_query(&mut self, generation: u64, failure: QueryFailure) {
        let Some(exchange) = self.discovery.exchange.take_if(|exchange| exchange.generation == generation)
        else {
            return;
        };
        let now = self.now();
        tracing::debug!(
            query = ?exchange.query,
            after_us = now - exchange.began_at,
            status = exchange.status,
            renewed = exchange.is_renewal,
            %failure,
            "list call failed"
        );
        exchange.socket.remove(&self.handle);
        match exchange.list_evidence(&failure) {
            ListEvidence::WatchAlive => self.confirm_list(now, self.previous_poll_at),
            ListEvidence::ServiceDown => {
                self.engine.update_list_lease(now, |lease| lease.discovery_down(exchange.began_at));
            }
            ListEvidence::PartialList => {
                self.engine.update_list_lease(now, |lease| lease.notification_missed(now));
            }
            ListEvidence::None => {}
        }
        match failure {
            QueryFailure::TimedOut if exchange.is_renewal => {
                self.retry_query_after(&failure, WATCH_RETRY_INTERVAL);
            }
            QueryFailure::EmptyWatch => self.retry_query(&failure),
            _ if exchange.is_accepted() => self.retry_query_after(&failure, WATCH_RETRY_INTERVAL),
            _ => self.retry_query(&failure),
        }
    }

    /// The last moment at which a query may still be answered before the lease on the list ends.
    fn lease_renewal_at(&mut self, now: Micros) -> Option<Micros> {
        let margin = self.with_jitter(LEASE_RENEWAL_MARGIN / 2) + LEASE_RENEWAL_MARGIN / 2;
        let at = self.engine.permissions().list.until().saturating_sub(margin);
        (at > now + EMPTY_LIST_RETRY_INTERVAL).then_some(at)
    }

    /// Renews the lease: the list was current at the moment `at`.
    fn confirm_list(&mut self, now: Micros, at: Micros) {
        let held_before = self.engine.permissions().list.holds(now);
        self.engine.update_list_lease(now, |lease| lease.confirm(at));
        let holds = self.engine.permissions().list.holds(now);
        if holds && !held_before {
            tracing::info!(version = self.server_list.version(), "the server list may be used");
        }
    }

    /// Schedules the query after a failed one, with back-off.
    pub(super) fn retry_query(&mut self, failure: &QueryFailure) {
        let interval = self.retry_interval(failure);
        self.retry_query_after(failure, interval);
    }

    fn retry_interval(&mut self, failure: &QueryFailure) -> Micros {
        if self.discovery.pushed {
            return PUSHED_RETRY_INTERVAL;
        }
        if self.server_list.is_empty() {
            return EMPTY_LIST_RETRY_INTERVAL;
        }
        let interval = self.discovery.tenths(RETRY_TENTHS);
        // A refused connection costs the service nothing.
        if matches!(failure, QueryFailure::ConnectionRefused) {
            return interval;
        }
        let doublings = self.discovery.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.discovery.failures = self.discovery.failures.saturating_add(1);
        interval << doublings
    }

    /// Schedules the query after a failed one, after about this span.
    fn retry_query_after(&mut self, failure: &QueryFailure, span: Micros) {
        if self.may_log() {
            tracing::warn!("discovery: {failure}");
        }
        let now = self.now();
        if self.discovery.pushed {
            self.engine.update_list_lease(now, |lease| lease.watch_lost(now));
        }
        let drawn = now + self.with_jitter(span);
        let at = self.lease_renewal_at(now).map_or(drawn, |latest| drawn.min(latest));
        self.schedule_query(at);
    }
}
