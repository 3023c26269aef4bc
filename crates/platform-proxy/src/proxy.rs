//! The state of one proxy, its construction and its first events.

use crate::budgets::Budgets;
use crate::client::Client;
use crate::discovery::{self, Discovery};
use crate::event_loop::{ConnectionId, MAINTENANCE_INTERVAL, TimerKind};
use crate::listener::ClientListener;
use crate::release_watch::ReleaseService;
use crate::requests::InFlightRequest;
use crate::servers::ServerConnection;
use crate::shutdown::ShutdownPhase;
use calloop::LoopHandle;
use rand::{RngExt, SeedableRng};
use slab::Slab;
use std::collections::HashMap;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use violetseam::interface::{ListKind, Micros, RequestId, ServerId};
use violetseam::lease::ListLease;
use violetseam_event_io::IdleConnections;
use violetseam_event_io::log_rate_limit::LogRateLimit;
use violetseam_event_io::timers::Timers;
use violetseam_platform_protocol::config::Config;
use violetseam_platform_protocol::discovery::ServerList;
use violetseam_proxy::engine::Engine;
use violetseam_resp::Bounds;

/// The size of the buffer that all connections read into.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// A process reports that it is ready this long after its start at the latest, with or without a usable
/// server list: the platform expects nine in ten of them after 6 s where a day ends soon.
const READY_TIMEOUT: Micros = 5_500_000;

/// One proxy on its event loop.
pub(super) struct Proxy {
    pub config: Config,
    /// Read again at SIGHUP.
    pub config_file: PathBuf,
    pub engine: Engine,
    pub loop_handle: LoopHandle<'static, Proxy>,
    started_at: Instant,
    /// Unix time at the start: the loop's clock counts on from there, so that the platform's times are times
    /// of this clock, whatever becomes of the machine's wall clock later.
    unix_time_at_start: Micros,
    pub client_listener: Option<ClientListener>,
    pub clients: Slab<Client>,
    pub in_flight: HashMap<RequestId, InFlightRequest>,
    /// Requests in flight by the ids that their clients gave them.
    pub requests_by_call_id: HashMap<Box<[u8]>, RequestId>,
    /// Bytes that requests in flight hold.
    pub in_flight_bytes: usize,
    pub server_connections: Slab<ServerConnection>,
    /// Slots of idle connections by server.
    pub idle_server_connections: IdleConnections<ServerId>,
    pub server_list: ServerList,
    pub discovery: Discovery,
    pub release_service: ReleaseService,
    /// The socket for peers' datagrams, where gossip is allowed.
    pub gossip_socket: Option<Rc<UdpSocket>>,
    pub timers: Timers<TimerKind>,
    pub budgets: Budgets,
    pub bounds: Bounds,
    /// The buffer that all connections read into.
    pub read_buffer: Vec<u8>,
    pub rng: rand_pcg::Pcg64,
    last_generation: u64,
    /// The engine's actions are being executed by a caller further up.
    pub is_running_actions: bool,
    /// A socket had an event in this turn of the loop.
    pub sockets_were_ready: bool,
    /// When the loop polled its sockets in the turn before this one: what is read now had not arrived by
    /// then.
    pub previous_poll_at: Micros,
    pub shutdown_phase: ShutdownPhase,
    /// Client connections to be visited again in this turn.
    pub clients_to_revisit: Vec<ConnectionId>,
    /// The event loop ends after this turn.
    pub should_stop: bool,
    log_rate_limit: LogRateLimit,
    /// The latest reload: a retry of an earlier one is stale.
    pub reload_generation: u64,
    /// Client connections that this side closed over a request without a response; a fault if ever over 0.
    pub closed_while_pending: u64,
}

impl Proxy {
    /// A proxy before its first event, without sockets.
    pub(super) fn new(config: Config, config_file: PathBuf, loop_handle: LoopHandle<'static, Proxy>) -> Self {
        let unix_time =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let mut decisions = config.instance.decisions.clone();
        // Whether the platform pushes lists or not, they arrive here only in answers to queries: the engine
        // has to ask.
        let lists_are_pushed = !decisions.subscribes_to_list;
        decisions.subscribes_to_list = true;
        if lists_are_pushed {
            decisions.rules.poll_interval_max = discovery::PUSHED_POLL_INTERVAL_MAX;
        }
        let poll_interval_max = decisions.rules.poll_interval_max;
        let budgets = Budgets::new(&config.limits, config.instance.open_cap);
        Proxy {
            engine: Engine::new(decisions, config.seed, None),
            previous_poll_at: 0,
            config_file,
            loop_handle,
            started_at: Instant::now(),
            unix_time_at_start: unix_time.as_micros() as Micros,
            client_listener: None,
            clients: Slab::new(),
            in_flight: HashMap::new(),
            requests_by_call_id: HashMap::new(),
            in_flight_bytes: 0,
            server_connections: Slab::new(),
            idle_server_connections: IdleConnections::default(),
            server_list: ServerList::new(config.instance.zones.clone()),
            discovery: Discovery::new(config.discovery, lists_are_pushed, poll_interval_max),
            release_service: ReleaseService::new(config.pipeline),
            gossip_socket: None,
            timers: Timers::default(),
            budgets,
            bounds: Bounds::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            rng: rand_pcg::Pcg64::seed_from_u64(config.seed),
            last_generation: 0,
            is_running_actions: false,
            sockets_were_ready: false,
            shutdown_phase: ShutdownPhase::Running,
            clients_to_revisit: Vec::new(),
            should_stop: false,
            log_rate_limit: LogRateLimit::default(),
            reload_generation: 0,
            closed_while_pending: 0,
            config,
        }
    }

    /// Passes the first events to the engine: the server list as last held, which may be stale, and the
    /// release status of the newest build.
    pub(super) fn start(&mut self) {
        let now = self.now();
        let cached = self.config.cached_list.take();
        let applied = cached.and_then(|list| self.server_list.apply(&list).ok());
        let entries = applied.map(|applied| applied.entries).unwrap_or_default();
        self.previous_poll_at = now;
        // The age of that list is unknown: it may be used once discovery has confirmed it.
        let lease = ListLease::unconfirmed(&self.config.instance.decisions.rules);
        self.engine.set_list_lease(now, lease);
        self.discovery.report_ready_at = now + READY_TIMEOUT;
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        match self.config.release_status.map(|status| status.to_status()) {
            Some(Ok(status)) => self.engine.on_release_status(now, status),
            Some(Err(error)) => tracing::warn!("{error}"),
            None => {}
        }
        self.open_release_watch();
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
        let name = &self.config.name;
        tracing::info!(%name, servers = entries.len(), listen = %self.config.listen, "started");
        self.log_limits();
        self.run_engine_actions();
    }

    /// The time on the loop's clock, as Unix time in microseconds.
    pub(super) fn now(&self) -> Micros {
        self.unix_time_at_start + self.started_at.elapsed().as_micros() as Micros
    }

    /// A number that no connection, query or reload has had yet.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }

    /// A span drawn between half and one and a half times `span`: all proxies lose a service at the same
    /// time.
    pub(super) fn with_jitter(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.random_range(0..span.max(1))
    }

    /// Whether a log line that peers can cause may be written now.
    pub(super) fn may_log(&mut self) -> bool {
        let now = self.now();
        self.log_rate_limit.allows(now)
    }

    /// Logs the limits of the settings: they explain what a log says of a shutdown or of a stale server list.
    fn log_limits(&self) {
        let instance = &self.config.instance;
        let rules = &instance.decisions.rules;
        tracing::info!(
            longest_deadline_us = instance.decisions.longest_deadline(),
            ask_within_us = rules.poll_interval_max,
            drain_grace_us = rules.drain_grace,
            pushed = self.discovery.lists_are_pushed(),
            list_version = self.server_list.version(),
            "limits"
        );
    }
}
