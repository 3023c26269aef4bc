//! The driver: sockets, datagrams, signals and the clock on one `calloop` event loop, for one [`Engine`].
//!
//! - `options.rs`: how a proxy is started, and what it reports in the end
//! - `event_loop.rs`: start, and turns of the event loop
//! - `actions.rs`: the engine's actions
//! - `clock.rs`: the event loop's clock
//! - `drain.rs`: the end of a proxy's work, and its summary
//! - `clients/`: listeners and client connections, up to a complete request and from an answer on
//! - `servers/`: connections to servers and the attempts on them
//! - `site_calls/`: calls to discovery and to the release service
//! - `server_list.rs`: the server list
//! - `saved_list.rs`: the server list on disk
//! - `configuration/`: the subscription to a publisher, reports to it, and the configuration on disk
//! - `operators/`: the control sockets, commands and the state that they read
//! - `http_request.rs`: a request of the proxy's own on a connection of its own
//! - `peers.rs`: datagrams
//! - `takeover/`: a new process takes the sockets and what the module learned
//! - `timers.rs`: the driver's own time-outs, all of them bounds of connections

mod actions;
mod clients;
mod clock;
mod configuration;
mod drain;
mod event_loop;
mod http_request;
mod operators;
mod options;
mod peers;
mod saved_list;
mod server_list;
mod servers;
mod site_calls;
mod takeover;
mod timers;

pub use event_loop::{serve, serve_operated};
pub use operators::{
    DaemonError, Operators, Reload, Reloaded, Reopen, Reopened, SetLog, StateWriter, StateWriterError,
};
#[cfg(feature = "sabotage")]
pub use options::Sabotage;
pub use options::{Options, Recording, Summary};
pub use takeover::{Inherited, TakeoverError, inherit};

use crate::engine::Engine;
use calloop::LoopHandle;
use clients::{Client, InFlightRequest};
use clock::Clock;
use configuration::Subscription;
use drain::Lifecycle;
use operators::ControlServer;
use operators::daemon_state::AttemptsByBuild;
use peers::PeerSocket;
use rand::{Rng, RngExt, SeedableRng};
use server_list::ServerList;
use servers::Server;
use site_calls::SiteCalls;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use takeover::HandOver;
use timers::Timers;
use violetseam::interface::{Micros, RequestId, ServerId};
use violetseam_event_io::log_rate_limit::LogRateLimit;
use violetseam_event_io::{IdleConnections, Listener};
use violetseam_http1::Limits as HeadLimits;
use violetseam_recorder::Recorder;
use violetseam_settings::ProxySettings;

/// The most bytes that one read takes.
const READ_BYTES: usize = 64 * 1024;

/// A connection, by its place among those of its kind and its generation, as places are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId {
    key: usize,
    generation: u64,
}

/// One proxy on its event loop.
pub struct Proxy {
    /// The control sockets, where a daemon runs this proxy.
    control: Option<ControlServer>,
    settings: Rc<ProxySettings>,
    engine: Engine,
    handle: LoopHandle<'static, Proxy>,
    clock: Clock,
    hand_over: HandOver,
    listeners: Vec<Listener>,
    clients: Slab<Client>,
    servers: Slab<Server>,
    site_calls: SiteCalls,
    /// Requests with an attempt or a response to come.
    in_flight: HashMap<RequestId, InFlightRequest>,
    /// Connections to servers that are ready for an attempt.
    idle_servers: IdleConnections<ServerId>,
    timers: Timers,
    server_list: ServerList,
    /// To a publisher's configuration, where the settings name one.
    subscription: Option<Box<Subscription>>,
    /// For peers, where the settings name an address.
    peer_socket: Option<PeerSocket>,
    /// The proxy's entry in a request's `Via` field.
    via: String,
    /// The bounds of a message's head and body.
    head_limits: HeadLimits,
    /// Read buffer, shared by all connections.
    scratch: Vec<u8>,
    rng: rand_pcg::Pcg64,
    /// The generation of the latest connection.
    generation: u64,
    lifecycle: Lifecycle,
    /// When a drain closes the listeners whatever waits in their queues.
    listen_until: Micros,
    /// Bounds how often lines are logged that others can cause.
    log_limit: LogRateLimit,
    /// Clients with unprocessed input, to be resumed after the engine's actions.
    clients_to_resume: Vec<ConnectionId>,
    /// The engine's actions are being performed further up the stack.
    is_running_actions: bool,
    /// Sockets were ready in this turn.
    had_socket_events: bool,
    /// The latest vote, as operators read it.
    last_vote: Option<String>,
    /// The latest log line of the analysis, as operators read it.
    last_finding: Option<String>,
    /// When a datagram of each peer was last received.
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
            clock: Clock::start(inherited),
            hand_over: HandOver::default(),
            listeners: Vec::new(),
            clients: Slab::new(),
            servers: Slab::new(),
            site_calls: SiteCalls::new(inherited.map_or(0, Inherited::release_fence)),
            in_flight: HashMap::new(),
            idle_servers: IdleConnections::default(),
            timers: Timers::default(),
            server_list: ServerList::default(),
            subscription: None,
            peer_socket: None,
            via: format!("1.1 {}-{}", settings.fleet_name, settings.decisions.position),
            head_limits: head_limits(&settings),
            scratch: vec![0; READ_BYTES],
            rng,
            generation: 0,
            lifecycle: Lifecycle::default(),
            listen_until: 0,
            log_limit: LogRateLimit::default(),
            clients_to_resume: Vec::new(),
            is_running_actions: false,
            had_socket_events: false,
            last_vote: None,
            last_finding: None,
            peers_heard_at: BTreeMap::new(),
            attempts_by_build: AttemptsByBuild::default(),
            #[cfg(feature = "sabotage")]
            sabotage: options.sabotage,
            settings: Rc::new(settings),
        })
    }

    /// The event loop's clock in microseconds.
    fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Whether each response closes its connection: this process has stopped accepting, or is about to.
    fn is_leaving(&self) -> bool {
        self.lifecycle.is_draining() || self.is_handing_over()
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// A random number, for an answer's identity or a wait.
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
        Some(Recording { path, limits }) => Some(Recorder::start(path, *limits, &settings.decisions, seed)?),
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
        max_head_bytes: settings.connections.max_head_bytes,
        max_fields: settings.connections.max_header_fields,
        max_body_bytes: settings.connections.max_body_bytes,
    }
}

/// A seed that differs at each start.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (now.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
