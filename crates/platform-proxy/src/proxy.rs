//! The state of one proxy, its construction and the initial events for its engine.

use crate::budgets::Budgets;
use crate::client::Client;
use crate::discovery::{self, Discovery};
use crate::event_loop::{ConnectionId, MAINTENANCE_INTERVAL, TimerKind};
use crate::listener::ClientListener;
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::release_watch::ReleaseService;
use crate::requests::InFlightRequest;
use crate::sent_calls::SentCalls;
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
/// The proxy reports that it is ready at the latest this long after its start, with or without a usable
/// server list. The platform expects nine in ten proxies to be ready 6 s after their start when a day is
/// about to end.
const READY_TIMEOUT: Micros = 5_500_000;

/// One proxy: its engine, its connections and its resources on the event loop.
pub(super) struct Proxy {
    pub config: Config,
    /// The path of the configuration file, which is read again on SIGHUP.
    pub config_file: PathBuf,
    pub engine: Engine,
    pub loop_handle: LoopHandle<'static, Proxy>,
    started_at: Instant,
    /// The Unix time at the start. The proxy's clock advances monotonically from it, so that timestamps of
    /// the platform can be compared with this clock even if the machine's wall clock is changed later.
    unix_time_at_start: Micros,
    pub client_listener: Option<ClientListener>,
    pub clients: Slab<Client>,
    pub in_flight: HashMap<RequestId, InFlightRequest>,
    /// Requests in flight, by the ids that clients gave to their calls.
    pub requests_by_call_id: HashMap<Box<[u8]>, RequestId>,
    /// The ids of calls that were sent and are not in flight any more.
    pub sent_calls: SentCalls,
    /// The memory that connections and requests hold.
    pub memory: MemoryAccount,
    /// All connections to servers, idle or with an attempt.
    pub server_connections: Slab<ServerConnection>,
    /// The slots of idle connections in `server_connections`, by server.
    pub idle_server_connections: IdleConnections<ServerId>,
    pub server_list: ServerList,
    pub discovery: Discovery,
    pub release_service: ReleaseService,
    /// The socket for datagrams of peers; `None` if the settings do not allow gossip or the configuration has
    /// no address for it.
    pub gossip_socket: Option<Rc<UdpSocket>>,
    pub timers: Timers<TimerKind>,
    pub budgets: Budgets,
    /// The limits on the size of RESP messages.
    pub bounds: Bounds,
    /// The buffer that all connections read into.
    pub read_buffer: Vec<u8>,
    pub rng: rand_pcg::Pcg64,
    /// The generation that was given out last.
    last_generation: u64,
    /// Whether a caller further up the stack is executing the engine's actions.
    pub is_running_actions: bool,
    /// The number of the current turn of the event loop.
    pub turn: u64,
    /// Whether a socket had an event in this iteration of the event loop.
    pub sockets_were_ready: bool,
    /// When the previous iteration of the event loop polled its sockets: what is read in this iteration had
    /// not arrived by then.
    pub previous_poll_at: Micros,
    pub shutdown_phase: ShutdownPhase,
    /// Client connections to be processed again in this iteration of the event loop.
    pub clients_to_revisit: Vec<ConnectionId>,
    /// Whether the event loop ends after this iteration.
    pub should_stop: bool,
    log_rate_limit: LogRateLimit,
    /// The generation of the latest reload; a scheduled retry of an earlier reload is ignored.
    pub reload_generation: u64,
    /// How many client connections this side closed although a request on them had no response. Any value
    /// above 0 indicates a bug.
    pub closed_while_pending: u64,
    pub metrics: Metrics,
}

impl Proxy {
    /// Creates a proxy without sockets, before its engine has received any event.
    pub(super) fn new(config: Config, config_file: PathBuf, loop_handle: LoopHandle<'static, Proxy>) -> Self {
        let unix_time =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let mut decisions = config.instance.decisions.clone();
        // Even if the platform pushes lists, they reach this proxy only in responses to queries, so the
        // engine has to request them in either case.
        let lists_are_pushed = !decisions.subscribes_to_list;
        decisions.subscribes_to_list = true;
        if lists_are_pushed {
            decisions.rules.poll_interval_max = discovery::PUSHED_POLL_INTERVAL_MAX;
        }
        let poll_interval_max = decisions.rules.poll_interval_max;
        let budgets = Budgets::new(&config.limits, config.instance.open_cap);
        let mut engine = Engine::new(decisions, config.seed, None);
        engine.limit_key_memory(budgets.key_bytes);
        Proxy {
            engine,
            previous_poll_at: 0,
            config_file,
            loop_handle,
            started_at: Instant::now(),
            unix_time_at_start: unix_time.as_micros() as Micros,
            client_listener: None,
            clients: Slab::new(),
            in_flight: HashMap::new(),
            requests_by_call_id: HashMap::new(),
            sent_calls: SentCalls::new(budgets.sent_calls),
            memory: MemoryAccount::new(budgets.memory_bytes),
            server_connections: Slab::new(),
            idle_server_connections: IdleConnections::default(),
            server_list: ServerList::new(config.instance.zones.clone()),
            discovery: Discovery::new(config.discovery, lists_are_pushed, poll_interval_max),
            release_service: ReleaseService::new(config.release_service),
            gossip_socket: None,
            timers: Timers::default(),
            budgets,
            bounds: Bounds::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            rng: rand_pcg::Pcg64::seed_from_u64(config.seed),
            last_generation: 0,
            is_running_actions: false,
            turn: 0,
            sockets_were_ready: false,
            shutdown_phase: ShutdownPhase::Running,
            clients_to_revisit: Vec::new(),
            should_stop: false,
            log_rate_limit: LogRateLimit::default(),
            reload_generation: 0,
            closed_while_pending: 0,
            metrics: Metrics::default(),
            config,
        }
    }

    /// Passes the initial events to the engine: the server list from the configuration, which may be
    /// outdated, and the release status of the newest build.
    pub(super) fn start(&mut self) {
        let now = self.now();
        let cached = self.config.cached_list.take();
        let applied = cached.and_then(|list| self.server_list.apply(&list).ok());
        let entries = applied.map(|applied| applied.entries).unwrap_or_default();
        self.previous_poll_at = now;
        // The age of the cached list is unknown, so it may be used only once discovery has confirmed it.
        let lease = ListLease::unconfirmed(&self.config.instance.decisions.rules);
        self.engine.set_list_lease(now, lease);
        self.discovery.report_ready_at = now + READY_TIMEOUT;
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        match self.config.release_status.map(|status| status.to_status()) {
            Some(Ok(initial)) => self.engine.on_release_status(now, initial.status),
            Some(Err(error)) => tracing::warn!("release status in the configuration ignored: {error}"),
            None => {}
        }
        self.open_release_watch();
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
        let name = &self.config.name;
        tracing::info!(%name, servers = entries.len(), listen = %self.config.listen, "started");
        self.log_limits();
        self.run_engine_actions();
    }

    /// Returns the current time on the proxy's clock, as Unix time in microseconds.
    pub(super) fn now(&self) -> Micros {
        self.unix_time_at_start + self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns a number that no connection, query or reload has had yet.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }

    /// Returns a random duration between half and one and a half times `span`, because all proxies lose a
    /// service at the same time and would otherwise come back to it together.
    pub(super) fn with_jitter(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.random_range(0..span.max(1))
    }

    /// Whether a log line may be written now. For log lines that other processes can trigger, and so may come
    /// often.
    pub(super) fn may_log(&mut self) -> bool {
        let now = self.now();
        self.log_rate_limit.allows(now)
    }

    /// Logs the limits from the settings, which explain what the log says later about a shutdown or an
    /// outdated server list.
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
