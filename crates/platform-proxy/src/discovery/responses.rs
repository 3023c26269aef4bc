//! Handles responses of discovery and failed queries, and updates the lease on the server list accordingly.

use super::exchange::{Query, QueryFailure};
use super::timing::{
    EMPTY_LIST_RETRY_INTERVAL, MAX_BACKOFF_DOUBLINGS, MIN_WATCH_DURATION, PUSHED_RETRY_INTERVAL,
    RETRY_INTERVAL_TENTHS, WATCH_RETRY_INTERVAL,
};
use crate::proxy::Proxy;
use calloop::Readiness;
use violetseam::interface::Micros;
use violetseam_event_io::ReadOutcome;
use violetseam_http1::client::ClientEvent;
use violetseam_platform_protocol::discovery::{ListUpdate, MAX_RESPONSE_BYTES};

impl Proxy {
    /// Handles an event on the connection.
    pub(super) fn on_discovery_readiness(&mut self, generation: u64, readiness: Readiness) {
        let Some(exchange) = self.discovery.exchange(generation) else { return };
        if readiness.writable {
            if let Err(failure) = exchange.flush_query() {
                return self.fail_query(generation, failure);
            }
            exchange.socket.set_read_interest(&self.loop_handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_discovery(generation);
        }
        self.run_engine_actions();
    }

    fn read_discovery(&mut self, generation: u64) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if let Some(exchange) = self.discovery.exchange(generation) {
            match exchange.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    exchange.http.feed(&read_buffer[..length]);
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
        self.read_buffer = read_buffer;
    }

    fn handle_discovery_events(&mut self, generation: u64) {
        while let Some(exchange) = self.discovery.exchange(generation) {
            match exchange.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => exchange.status = Some(head.status.as_u16()),
                Some(ClientEvent::Body(bytes)) => {
                    exchange.body.extend_from_slice(&bytes);
                    if exchange.body.len() > MAX_RESPONSE_BYTES {
                        return self.fail_query(generation, QueryFailure::TooLong);
                    }
                }
                Some(ClientEvent::End { reusable }) => return self.finish_exchange(generation, reusable),
                Some(ClientEvent::Error(error)) => {
                    return self.fail_query(generation, QueryFailure::InvalidHttp(error.reason()));
                }
            }
        }
    }

    /// Handles a complete response and starts the next query, on the same connection if it is reusable.
    fn finish_exchange(&mut self, generation: u64, is_reusable: bool) {
        if let Err(failure) = self.handle_discovery_response(generation) {
            return self.fail_query(generation, failure);
        }
        // The engine may have started another query in the meantime.
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

    /// Parses a complete response and passes its list to the engine.
    fn handle_discovery_response(&mut self, generation: u64) -> Result<(), QueryFailure> {
        let now = self.now();
        let Some(exchange) = self.discovery.exchange(generation) else { return Ok(()) };
        if !exchange.has_ok_status() {
            return Err(QueryFailure::Declined);
        }
        let body = std::mem::take(&mut exchange.body);
        let started_at = exchange.started_at;
        let query = exchange.query;
        let list = ListUpdate::parse(&body)?;
        if let Query::ChangesSince(local_version) = query {
            self.check_delta(&list, local_version, now.saturating_sub(started_at))?;
        }
        self.apply_list(&list, query, now)
    }

    /// Checks that the response to a watch fits the local version. `response_time` is how long the service
    /// took to respond.
    fn check_delta(
        &mut self,
        list: &ListUpdate,
        local_version: u64,
        response_time: Micros,
    ) -> Result<(), QueryFailure> {
        if list.revision < local_version {
            // Whatever the watch was waiting for, the service's version is below the local one, so the
            // service has restarted its version sequence.
            self.server_list.forget_version();
            if !list.complete {
                return Err(QueryFailure::VersionReset);
            }
        }
        let has_changes = list.revision > local_version || !list.members.is_empty();
        if !list.complete && !has_changes && response_time < MIN_WATCH_DURATION {
            return Err(QueryFailure::EmptyWatch);
        }
        Ok(())
    }

    /// Applies an update to the server list, renews the lease and passes the entries to the engine.
    fn apply_list(&mut self, list: &ListUpdate, query: Query, now: Micros) -> Result<(), QueryFailure> {
        let version = list.revision;
        let is_outdated = self.server_list.version().is_some_and(|local_version| version < local_version);
        let applied = self.server_list.apply(list)?;
        tracing::debug!(version, lines = applied.entries.len(), kind = ?applied.kind, ?query, "server list");
        self.discovery.address_has_answered = true;
        self.discovery.failures = 0;
        if !is_outdated {
            self.confirm_list(now, self.previous_poll_at);
        }
        if list.complete {
            self.discovery.verify_at = None;
        }
        self.close_idle_connections_to(&applied.changed);
        self.engine.on_server_list(now, applied.kind, &applied.entries);
        self.run_engine_actions();
        Ok(())
    }

    /// Ends a query that has no complete response in time.
    pub(crate) fn on_discovery_timeout(&mut self, generation: u64) {
        let now = self.now();
        if self.discovery.exchange(generation).is_some_and(|exchange| now >= exchange.timeout_at) {
            self.fail_query(generation, QueryFailure::TimedOut);
        }
    }

    /// Ends a query that has brought no usable response.
    fn fail_query(&mut self, generation: u64, failure: QueryFailure) {
        let Some(exchange) = self.discovery.exchange.take_if(|exchange| exchange.generation == generation)
        else {
            return;
        };
        let now = self.now();
        tracing::debug!(
            query = ?exchange.query,
            after_us = now - exchange.started_at,
            status = exchange.status,
            renewed = exchange.continues_watch,
            %failure,
            "server list query failed"
        );
        exchange.socket.remove(&self.loop_handle);
        let evidence = exchange.list_evidence(&failure);
        self.update_lease_after_failure(evidence, exchange.started_at, now);
        if let Some(interval) = self.check_response_loss(evidence, now) {
            return self.retry_query_after(&failure, interval);
        }
        match failure {
            QueryFailure::TimedOut if exchange.follows_response => {
                self.retry_query_after(&failure, WATCH_RETRY_INTERVAL);
            }
            QueryFailure::EmptyWatch => self.retry_query(&failure),
            _ if exchange.has_ok_status() => self.retry_query_after(&failure, WATCH_RETRY_INTERVAL),
            _ => self.retry_query(&failure),
        }
    }

    /// Schedules the query that follows a failed one, with back-off.
    pub(super) fn retry_query(&mut self, failure: &QueryFailure) {
        let interval = self.retry_interval(failure);
        self.retry_query_after(failure, interval);
    }

    fn retry_interval(&mut self, failure: &QueryFailure) -> Micros {
        if self.discovery.lists_are_pushed {
            return PUSHED_RETRY_INTERVAL;
        }
        if self.server_list.is_empty() {
            return EMPTY_LIST_RETRY_INTERVAL;
        }
        let interval = self.discovery.poll_interval_tenths(RETRY_INTERVAL_TENTHS);
        // A refused connection costs the service nothing, so no back-off is needed.
        if matches!(failure, QueryFailure::ConnectionRefused) {
            return interval;
        }
        let doublings = self.discovery.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.discovery.failures = self.discovery.failures.saturating_add(1);
        interval << doublings
    }

    /// Schedules the query that follows a failed one, after about this duration.
    fn retry_query_after(&mut self, failure: &QueryFailure, span: Micros) {
        if self.may_log() {
            tracing::warn!("discovery: {failure}");
        }
        let now = self.now();
        if self.discovery.lists_are_pushed {
            self.engine.update_list_lease(now, |lease| lease.watch_lost(now));
        }
        let jittered_at = now + self.with_jitter(span);
        let at = self.latest_query_at(now).map_or(jittered_at, |latest| jittered_at.min(latest));
        self.schedule_query(at);
    }
}
