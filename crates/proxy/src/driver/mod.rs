//! The driver: sockets, datagrams, signals and the clock on one `calloop` event loop, for one [`Engine`].
//!
//! - `event_loop.rs`: start, turns of the event loop, and the engine's actions
//! - `drain.rs`: the end of a proxy's work, and its summary
//! - `clients/`: listeners and client connections, up to a complete request and from an answer on
//! - `servers/`: connections to servers and the attempts on them
//! - `site_calls.rs`: calls to discovery and to the release service
//! - `saved_list.rs`: the server list on disk
//! - `configuration.rs`: the subscription to a publisher, and reports to it
//! - `configuration_store.rs`: the last good configuration on disk
//! - `operators/`: the control sockets, commands and the state that they read
//! - `http_request.rs`: a request of the proxy's own on a connection of its own
//! - `peers.rs`: datagrams
//! - `takeover.rs`: a new process takes the sockets and what the module learned
//! - `descriptor_passing.rs`: file descriptors in messages
//! - `timers.rs`: the driver's own time-outs, all of them bounds of connections

mod clients;
mod configuration;
mod configuration_store;
mod descriptor_passing;
mod drain;
mod event_loop;
mod http_request;
mod operators;
mod peers;
mod saved_list;
mod servers;
mod site_calls;
mod takeover;
mod timers;

pub use event_loop::{serve, serve_operated};
pub use operators::{
    DaemonError, Operators, Reload, Reloaded, Reopen, Reopened, SetLog, StateWriter, StateWriterError,
};
pub use takeover::{Inherited, TakeoverError, inherit};

use crate::engine::Engine;
use calloop::{LoopHandle, RegistrationToken};
use clients::{Client, InFlightRequest};
use configuration::Subscription;
use operators::ControlServer;
use operators::daemon_state::AttemptsByBuild;
use rand::{Rng, RngExt, SeedableRng};
use servers::Server;
use site_calls::Call;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::UdpSocket;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use timers::Timers;
use violetseam::interface::{Micros, RequestId, ServerId};
use violetseam_event_io::log_rate_limit::LogRateLimit;
use violetseam_event_io::{IdleConnections, Listener};
use violetseam_http1::Limits as HeadLimits;
use violetseam_recorder::{Recorder, RecordingLimits};
use violetseam_settings::ProxySettings;
use violetseam_site_protocol::endpoint_list::{self, EndpointList};

/// One read takes at most so much.
const READ_BYTES: usize = 64 * 1024;
/// The event loop's clock at the start of a proxy that takes over from nobody.
const FIRST_CLOCK: Micros = 1_000_000;

/// How a proxy is started beside its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Records every event and action there.
    pub record: Option<(PathBuf, RecordingLimits)>,
    /// Measures the time spent in the module.
    pub time_module: bool,
    /// Stops by itself after this span.
    pub stop_after: Option<Duration>,
    /// Drains once this is set, for proxies that share a process with others and its signals.
    pub stop: Option<Arc<AtomicBool>>,
    /// For the checker's own tests: how this proxy breaks the rules on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
}

/// Ways to break the rules on purpose, so that the rule checker can be seen to notice. Only in builds with
/// the feature `sabotage`; the module and the engine are the ordinary ones.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Every twentieth request goes out twice.
    DoubleSend,
    /// Final answers of the proxy's own are delayed until after the deadline.
    LateAnswer,
    /// Discovery's notice that a server drains is ignored.
    IgnoreDrains,
    /// The fleet's budgets are ignored.
    Spendthrift,
}

/// What a proxy did, reported when it stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests and attempts.
    pub counts: crate::engine::Counts,
    /// Client connections and server connections left open: 0 after a drain.
    pub left_open: usize,
    /// Requests left in flight: 0 after a drain.
    pub left_in_flight: usize,
    /// Time spent in the module, if measured.
    pub module_time: Duration,
}

/// A connection, by its place among those of its kind and its generation, as places are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId {
    key: usize,
    generation: u64,
}

/// An entry of the server list, and when it was received.
struct ListedServer {
    received_at: Micros,
    entry: endpoint_list::Endpoint,
}

/// One proxy on its event loop.
pub struct Proxy {
    control: Option<ControlServer>,
    settings: Rc<ProxySettings>,
    engine: Engine,
    handle: LoopHandle<'static, Proxy>,
    started: Instant,
    /// The event loop's clock at the start.
    origin: Micros,
    /// A process that is taking over: its connection to the control socket.
    successor: Option<ConnectionId>,
    handed_over: bool,
    /// Idle connections that were offered to it.
    offered_clients: Vec<usize>,
    listeners: Vec<Listener>,
    clients: Slab<Client>,
    servers: Slab<Server>,
    calls: Slab<Call>,
    in_flight: HashMap<RequestId, InFlightRequest>,
    /// Connections to servers that are ready for an attempt.
    idle_servers: IdleConnections<ServerId>,
    timers: Timers,
    server_list: EndpointList,
    /// The entries of the server list as discovery stated them.
    listed_servers: BTreeMap<ServerId, ListedServer>,
    /// The list has changed since it was saved.
    list_changed: bool,
    /// The call that is subscribed to the server list.
    watch: Option<usize>,
    /// The call that streams the release's state.
    release_stream: Option<usize>,
    /// Which of the settings' controllers is called.
    release_service_index: usize,
    /// The highest fencing number received from a controller.
    release_fence: u64,
    /// To a publisher's configuration, where the settings name one.
    subscription: Option<Box<Subscription>>,
    udp: Option<Rc<UdpSocket>>,
    udp_token: Option<RegistrationToken>,
    via: String,
    head_limits: HeadLimits,
    scratch: Vec<u8>,
    rng: rand_pcg::Pcg64,
    generation: u64,
    /// Takes nothing new but what is on its way.
    draining: bool,
    /// When a drain closes the listeners whatever waits in their queues.
    listen_until: Micros,
    /// Ends once nothing is left in flight.
    ending: bool,
    stopping: bool,
    log_limit: LogRateLimit,
    /// Clients whose input waits for its turn.
    clients_to_resume: Vec<ConnectionId>,
    is_running_actions: bool,
    /// Sockets were ready in this turn.
    had_socket_events: bool,
    last_vote: Option<String>,
    last_finding: Option<String>,
    list_received_at: Option<Micros>,
    peers_heard_at: BTreeMap<usize, Micros>,
    attempts_by_build: AttemptsByBuild,
    #[cfg(feature = "sabotage")]
    sabotage: Option<Sabotage>,
}

impl Proxy {
    fn new(
        settings: ProxySettings,
        options: &Options,
        handle: LoopHandle<'static, Proxy>,
        inherited: Option<&Inherited>,
    ) -> std::io::Result<Self> {
        let mut rng: rand_pcg::Pcg64 = match settings.seed {
            Some(seed) => rand_pcg::Pcg64::seed_from_u64(seed),
            None => rand_pcg::Pcg64::seed_from_u64(fresh_seed()),
        };
        let seed = settings.seed.unwrap_or_else(|| rng.next_u64());
        let engine = new_engine(&settings, options, seed, inherited)?;
        Ok(Proxy {
            control: None,
            engine,
            handle,
            started: Instant::now(),
            origin: inherited.map_or(FIRST_CLOCK, Inherited::clock),
            successor: None,
            handed_over: false,
            offered_clients: Vec::new(),
            listeners: Vec::new(),
            clients: Slab::new(),
            servers: Slab::new(),
            calls: Slab::new(),
            in_flight: HashMap::new(),
            idle_servers: IdleConnections::default(),
            timers: Timers::default(),
            server_list: EndpointList::default(),
            listed_servers: BTreeMap::new(),
            list_changed: false,
            watch: None,
            release_stream: None,
            release_service_index: 0,
            release_fence: inherited.map_or(0, Inherited::release_fence),
            subscription: None,
            udp: None,
            udp_token: None,
            via: format!("1.1 {}-{}", settings.name, settings.decisions.position),
            head_limits: head_limits(&settings),
            scratch: vec![0; READ_BYTES],
            rng,
            generation: 0,
            draining: false,
            listen_until: 0,
            ending: false,
            stopping: false,
            log_limit: LogRateLimit::default(),
            clients_to_resume: Vec::new(),
            is_running_actions: false,
            had_socket_events: false,
            last_vote: None,
            last_finding: None,
            list_received_at: None,
            peers_heard_at: BTreeMap::new(),
            attempts_by_build: AttemptsByBuild::default(),
            #[cfg(feature = "sabotage")]
            sabotage: options.sabotage,
            settings: Rc::new(settings),
        })
    }

    /// The event loop's clock in microseconds: one second at the start, or where the process before had it.
    fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// Answers close their connections: this process takes nothing new, or will not in a moment.
    fn is_leaving(&self) -> bool {
        self.draining || self.is_handing_over()
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// A draw for an answer's identity or a wait.
    fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}

fn new_engine(
    settings: &ProxySettings,
    options: &Options,
    seed: u64,
    inherited: Option<&Inherited>,
) -> std::io::Result<Engine> {
    let recorder = match &options.record {
        Some((path, limits)) => Some(Recorder::start(path, *limits, &settings.decisions, seed)?),
        None => None,
    };
    let mut engine = match inherited {
        Some(inherited) => Engine::with_module(settings.decisions.clone(), inherited.module.clone()),
        None => Engine::new(settings.decisions.clone(), seed, recorder),
    };
    if options.time_module {
        engine.measure_module_time();
    }
    Ok(engine)
}

/// The bounds of a client's request.
fn head_limits(settings: &ProxySettings) -> HeadLimits {
    HeadLimits {
        max_head_bytes: settings.connections.max_head,
        max_fields: settings.connections.max_fields,
        max_body_bytes: settings.connections.max_body,
    }
}

/// A seed that differs at each start.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (now.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
