//! Keeps the server list up to date over HTTP. The proxy makes one query at a time: for the changes since its
//! local version, or for the full list if it has no version.
//!
//! A query for changes is a long poll, called a watch here: it waits at the service until there are changes,
//! and is renewed as soon as it is answered. It waits for less time than the engine tolerates without a
//! response, so that a response without changes serves as the service's heartbeat. A watch that has failed
//! silently is replaced when the engine requests the list again.
//!
//! A full list costs a service that handles its queries one by one a multiple of what a delta costs, so it is
//! fetched only where a delta would not be sound.
//!
//! - `exchange`: one query and its response
//! - `list_lease`: what confirms the list, and what a failed query shows about it
//! - `lost_response`: the queries that ask again for a response that was lost with its connection
//! - `responses`: handles responses and failed queries
//! - `timing`: time-outs and intervals

mod exchange;
mod list_lease;
mod lost_response;
mod responses;
mod timing;

pub(super) use timing::PUSHED_POLL_INTERVAL_MAX;

use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use calloop::{Interest, Readiness};
use exchange::{Exchange, Query, QueryFailure};
use lost_response::ResponseLoss;
use rand::RngExt;
use std::net::SocketAddr;
use timing::{
    MAX_FIRST_WATCH_WAIT, MAX_POLL_INTERVAL, MIN_POLL_INTERVAL, MOVE_SPREAD_TENTHS, QUERY_TIMEOUT,
    RENEWED_WATCH_GRACE, START_SPREAD_TENTHS, VERIFY_FROM_TENTHS, VERIFY_UNTIL_TENTHS, WATCH_WAIT_TENTHS,
};
use violetseam::interface::Micros;
use violetseam_event_io::{Socket, connect};
use violetseam_platform_protocol::discovery::{LIST_PATH, watch_path};

/// The state of this proxy's communication with discovery.
pub(super) struct Discovery {
    address: SocketAddr,
    /// The longest time that the settings allow a proxy to go without a response, clamped to
    /// [`MIN_POLL_INTERVAL`] and [`MAX_POLL_INTERVAL`].
    poll_interval: Micros,
    /// Whether the service pushes lists. If so, it counts them as received from the process's first moment
    /// on.
    lists_are_pushed: bool,
    /// From this time on the process reports that it is ready even if its server list may not be used yet.
    pub report_ready_at: Micros,
    /// Whether the process has reported that it is ready. It stays ready from then on.
    has_been_ready: bool,
    /// Whether the service at this address has sent a list or changes.
    address_has_answered: bool,
    /// How many queries have failed since the last list.
    failures: u32,
    /// The loss of a response since the last confirmation of the list, if there was one.
    response_loss: Option<ResponseLoss>,
    /// The exchange in progress.
    exchange: Option<Exchange>,
    /// When the next query is scheduled, if one is.
    next_query_at: Option<Micros>,
    /// From this time on the next query fetches the full list, because the address has changed.
    verify_at: Option<Micros>,
    /// When a reload was ordered whose configuration has not been readable yet. Discovery may have moved then.
    pub unread_move_order: Option<Micros>,
    /// Whether the first query of this process has been made or scheduled.
    is_started: bool,
}

impl Discovery {
    /// Creates the state for discovery at this address, before the first query. `poll_interval_max` is the
    /// longest time that the settings allow a proxy to go without a response.
    pub fn new(address: SocketAddr, lists_are_pushed: bool, poll_interval_max: Micros) -> Self {
        Discovery {
            address,
            poll_interval: poll_interval_max.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL),
            lists_are_pushed,
            report_ready_at: 0,
            has_been_ready: false,
            address_has_answered: false,
            failures: 0,
            response_loss: None,
            exchange: None,
            next_query_at: None,
            verify_at: None,
            unread_move_order: None,
            is_started: false,
        }
    }

    /// Whether the service pushes lists.
    pub fn lists_are_pushed(&self) -> bool {
        self.lists_are_pushed
    }

    /// Returns this many tenths of the poll interval.
    fn poll_interval_tenths(&self, tenths: Micros) -> Micros {
        self.poll_interval / 10 * tenths
    }

    /// Whether a query for the full list is in progress.
    fn is_fetching(&self) -> bool {
        self.exchange.as_ref().is_some_and(|exchange| exchange.query == Query::FullList)
    }

    /// Returns the exchange in progress if it is the one with this generation.
    fn exchange(&mut self, generation: u64) -> Option<&mut Exchange> {
        self.exchange.as_mut().filter(|exchange| exchange.generation == generation)
    }
}

impl Proxy {
    /// Handles the engine's request for the server list. The engine wants the list for the first time, or has
    /// received nothing for long. If a query is scheduled, or a query for the full list is in progress, no
    /// further query is needed. A watch in progress is assumed to be dead and is replaced.
    pub(super) fn poll_server_list(&mut self) {
        if self.discovery.next_query_at.is_some() || self.discovery.is_fetching() {
            return;
        }
        if self.discovery.is_started || self.discovery.lists_are_pushed || self.server_list.is_empty() {
            return self.start_query(None);
        }
        self.discovery.is_started = true;
        self.schedule_query_within(self.discovery.poll_interval_tenths(START_SPREAD_TENTHS));
    }

    /// Chooses a random time at which the full list is fetched once more.
    fn schedule_verification(&mut self) {
        let from = self.discovery.poll_interval_tenths(VERIFY_FROM_TENTHS);
        let until = self.discovery.poll_interval_tenths(VERIFY_UNTIL_TENTHS);
        self.discovery.verify_at = Some(self.now() + self.rng.random_range(from..until));
    }

    /// Schedules a query at a random time within this duration.
    fn schedule_query_within(&mut self, span: Micros) {
        let at = self.now() + self.rng.random_range(0..span.max(1));
        self.schedule_query(at);
    }

    fn schedule_query(&mut self, at: Micros) {
        self.discovery.next_query_at = Some(at);
        self.timers.set(at, TimerKind::DiscoveryRetry);
    }

    /// Makes the scheduled query if it is due.
    pub(super) fn start_scheduled_query(&mut self) {
        let now = self.now();
        if self.discovery.next_query_at.is_some_and(|at| at <= now) {
            self.start_query(None);
        }
    }

    /// Queries the changes since the local version, or the full list. `connection` is a connection that has
    /// just carried a response; without one a new connection is opened.
    fn start_query(&mut self, connection: Option<Exchange>) {
        self.discovery.next_query_at = None;
        self.abandon_query();
        let query = self.choose_query();
        match self.send_query(query, connection) {
            Some(exchange) => self.discovery.exchange = Some(exchange),
            None => self.retry_query(&QueryFailure::NotStarted),
        }
    }

    /// Closes the exchange in progress, which has had no complete response until now.
    fn abandon_query(&mut self) {
        if let Some(exchange) = self.discovery.exchange.take() {
            exchange.socket.remove(&self.loop_handle);
            let evidence = exchange.list_evidence(&QueryFailure::TimedOut);
            self.update_lease_after_failure(evidence, exchange.started_at, self.now());
        }
    }

    /// Decides what the next query requests.
    fn choose_query(&mut self) -> Query {
        let is_verification = self.discovery.verify_at.is_some_and(|at| at <= self.now());
        if is_verification {
            self.schedule_verification();
        }
        // If lists are pushed, queries cost the service nothing, and the first full list shows whether the
        // process is ready.
        let is_first_push_query = self.discovery.lists_are_pushed && !self.discovery.address_has_answered;
        match self.server_list.version() {
            Some(version) if !is_first_push_query && !is_verification => Query::ChangesSince(version),
            _ => Query::FullList,
        }
    }

    /// Moves to an address that a reload, ordered at that time, has brought, and queries the changes since the
    /// local version there. If the service at that address has a lower version, its first response shows that.
    /// If it has a different list under the same versions, the full list that is fetched later shows that
    /// ([`VERIFY_FROM_TENTHS`]).
    pub(super) fn move_discovery(&mut self, address: SocketAddr, ordered_at: Micros) {
        if self.discovery.address == address {
            return;
        }
        self.discovery.address = address;
        self.discovery.address_has_answered = false;
        self.abandon_query();
        let now = self.now();
        self.engine.update_list_lease(now, |lease| lease.discovery_moved(ordered_at));
        self.schedule_verification();
        if self.discovery.lists_are_pushed {
            self.start_query(None);
        } else {
            self.schedule_query_within(self.discovery.poll_interval_tenths(MOVE_SPREAD_TENTHS));
        }
    }

    /// Starts an exchange, on a connection that has just carried a response or on a new one.
    fn send_query(&mut self, query: Query, connection: Option<Exchange>) -> Option<Exchange> {
        let generation = self.next_generation();
        let address = self.discovery.address;
        let is_reused = connection.is_some();
        let follows_watch = connection.as_ref().is_some_and(|exchange| exchange.query != Query::FullList);
        let (path, timeout) = match query {
            Query::FullList => (LIST_PATH.to_owned(), QUERY_TIMEOUT),
            Query::ChangesSince(version) => {
                let wait = self.draw_watch_wait();
                let grace = if is_reused { RENEWED_WATCH_GRACE } else { QUERY_TIMEOUT };
                (watch_path(version, wait), wait + grace)
            }
        };
        let mut exchange = match connection {
            // Events on the connection are reported with the generation that it was opened with, so it keeps
            // that generation.
            Some(exchange) => exchange,
            None => self.open_exchange(generation, address, query)?,
        };
        let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        exchange.socket.write_buffer().extend_from_slice(head.as_bytes());
        exchange.http.expect_response(false);
        exchange.status = None;
        exchange.socket.set_connect_interest(&self.loop_handle);
        exchange.started_at = self.now();
        exchange.query = query;
        exchange.continues_watch = follows_watch && query != Query::FullList;
        exchange.follows_response = is_reused && query != Query::FullList;
        exchange.timeout_at = exchange.started_at + timeout;
        self.timers.set(exchange.timeout_at, TimerKind::DiscoveryTimeout(exchange.generation));
        Some(exchange)
    }

    /// Returns how long the next watch waits at the service. The time is random, so that watches that were
    /// all answered by the same change do not stay synchronized.
    fn draw_watch_wait(&mut self) -> Micros {
        let max_wait = self.discovery.poll_interval_tenths(WATCH_WAIT_TENTHS);
        let wait = self.rng.random_range(max_wait / 4 * 3..=max_wait);
        if self.discovery.address_has_answered { wait } else { wait.min(MAX_FIRST_WATCH_WAIT) }
    }

    /// Starts to open a connection for an exchange.
    fn open_exchange(&mut self, generation: u64, address: SocketAddr, query: Query) -> Option<Exchange> {
        let stream = connect(address).ok()?;
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| {
            proxy.on_discovery_readiness(generation, readiness);
        };
        let socket = Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready).ok()?;
        Some(Exchange::new(generation, socket, query))
    }

    /// Whether the process reports that it is ready. It does so once it has a server list and either may use
    /// it or has waited for that until the time limit.
    pub(super) fn is_ready(&mut self) -> bool {
        let now = self.now();
        let may_use_list = self.engine.permissions().list.holds(now);
        let has_servers = !self.server_list.is_empty();
        if has_servers && (may_use_list || now >= self.discovery.report_ready_at) {
            self.discovery.has_been_ready = true;
        }
        self.discovery.has_been_ready
    }
}
