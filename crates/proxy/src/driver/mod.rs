//! The driver runs the sockets, datagrams, signals and the clock of one [`Engine`] on one `calloop` event
//! loop.
//!
//! - `options.rs`: the options that a proxy is started with, and the summary that it reports when it stops
//! - `event_loop.rs`: the start of a proxy, and the iterations of its event loop
//! - `actions.rs`: performs the engine's actions
//! - `clock.rs`: the event loop's clock
//! - `drain.rs`: drain, shutdown and the summary
//! - `clients/`: listeners and client connections: reads requests for the engine and writes responses
//! - `servers/`: connections to servers and the attempts on them
//! - `site_calls/`: calls to discovery and to the release service
//! - `server_list.rs`: the server list
//! - `saved_list.rs`: the copy of the server list on disk
//! - `configuration/`: the subscription to a publisher, the reports to it, and the configuration on disk
//! - `operators/`: the control sockets, the operators' commands and the state that operators read
//! - `http_request.rs`: HTTP requests that the proxy itself makes, each on a connection of its own
//! - `peers.rs`: datagrams to and from the other proxies of the fleet
//! - `takeover/`: hands the sockets and the decision module's state over to a new process
//! - `timers.rs`: the driver's own time-outs, which all bound connections and calls

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

pub use event_loop::{serve, serve_with_operators};
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
use violetseam_event_io::memory::MemoryShare;
use violetseam_event_io::{IdleConnections, Listener};
use violetseam_http1::Limits as HeadLimits;
use violetseam_recorder::Recorder;
use violetseam_settings::ProxySettings;

/// The size of the buffer for one read from a socket.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Identifies a connection by its key in the slab of its kind. Slab keys are reused; the generation
/// distinguishes the connection from earlier ones that had the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId {
    key: usize,
    generation: u64,
}

/// One proxy, which runs on one event loop.
pub struct Proxy {
    /// The server side of the control sockets, if this proxy runs in a daemon that operators control.
    control_server: Option<ControlServer>,
    settings: Rc<ProxySettings>,
    engine: Engine,
    loop_handle: LoopHandle<'static, Proxy>,
    clock: Clock,
    hand_over: HandOver,
    listeners: Vec<Listener>,
    clients: Slab<Client>,
    /// The memory that clients make this process hold.
    client_memory: MemoryShare,
    servers: Slab<Server>,
    site_calls: SiteCalls,
    /// Requests that have been passed to the engine and still have an attempt or a response pending.
    in_flight: HashMap<RequestId, InFlightRequest>,
    /// Idle connections to servers, ready for an attempt.
    idle_servers: IdleConnections<ServerId>,
    timers: Timers,
    server_list: ServerList,
    /// The subscription to a publisher's configuration, if the settings name a publisher.
    subscription: Option<Box<Subscription>>,
    /// The UDP socket for messages between peers, if the settings name an address for it.
    peer_socket: Option<PeerSocket>,
    /// The value that this proxy adds to the `Via` header field of requests and responses.
    via: String,
    /// The limits on the head and the body of a message.
    head_limits: HeadLimits,
    /// The read buffer, shared by all connections.
    read_buffer: Vec<u8>,
    rng: rand_pcg::Pcg64,
    /// The generation of the connection that was opened last.
    generation: u64,
    lifecycle: Lifecycle,
    /// The time at which a drain closes the listeners, even if connections are still waiting in their queues.
    listen_until: Micros,
    /// Limits the rate of log lines that other hosts can cause.
    log_limit: LogRateLimit,
    /// Client connections with unprocessed input, to be resumed once the engine's actions are performed.
    clients_to_resume: Vec<ConnectionId>,
    /// Client connections that have had their part of this turn of the event loop, to be resumed in the next.
    clients_for_next_turn: Vec<ConnectionId>,
    /// The number of the current turn of the event loop.
    turn: u64,
    /// Whether a caller further up the stack is already performing the engine's actions.
    is_running_actions: bool,
    /// Whether sockets were ready in this iteration of the event loop.
    had_socket_events: bool,
    /// The latest vote, in the form that operators read.
    last_vote: Option<String>,
    /// The latest log line of the canary analysis, in the form that operators read.
    last_analysis_line: Option<String>,
    /// When the latest datagram of each peer was received, by the peer's position in the fleet.
    peer_last_received_at: BTreeMap<usize, Micros>,
    attempts_by_build: AttemptsByBuild,
    #[cfg(feature = "sabotage")]
    sabotage: Option<Sabotage>,
}

impl Proxy {
    fn new(
        settings: ProxySettings,
        options: &Options,
        loop_handle: LoopHandle<'static, Proxy>,
        inherited: Option<&Inherited>,
    ) -> std::io::Result<Self> {
        let mut rng: rand_pcg::Pcg64 = match settings.seed {
            Some(seed) => rand_pcg::Pcg64::seed_from_u64(seed),
            None => rand_pcg::Pcg64::seed_from_u64(fresh_seed()),
        };
        let seed = settings.seed.unwrap_or_else(|| rng.next_u64());
        let engine = new_engine(&settings, options, seed, inherited)?;
        Ok(Proxy {
            control_server: None,
            engine,
            loop_handle,
            clock: Clock::start(inherited),
            hand_over: HandOver::default(),
            listeners: Vec::new(),
            clients: Slab::new(),
            client_memory: MemoryShare::new(settings.connections.max_client_memory_bytes),
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
            read_buffer: vec![0; READ_BUFFER_BYTES],
            rng,
            generation: 0,
            lifecycle: Lifecycle::default(),
            listen_until: 0,
            log_limit: LogRateLimit::default(),
            clients_to_resume: Vec::new(),
            clients_for_next_turn: Vec::new(),
            turn: 0,
            is_running_actions: false,
            had_socket_events: false,
            last_vote: None,
            last_analysis_line: None,
            peer_last_received_at: BTreeMap::new(),
            attempts_by_build: AttemptsByBuild::default(),
            #[cfg(feature = "sabotage")]
            sabotage: options.sabotage,
            settings: Rc::new(settings),
        })
    }

    /// Returns the time of the event loop's clock in microseconds.
    fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Whether each response closes its connection, because this process accepts no connections any more or
    /// is about to stop accepting them.
    fn is_draining_or_handing_over(&self) -> bool {
        self.lifecycle.is_draining() || self.is_handing_over()
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// Returns a random number, used as the identity of a response or to randomize a waiting time.
    fn random_u64(&mut self) -> u64 {
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
    if options.measure_module_time {
        engine.measure_module_time();
    }
    Ok(engine)
}

/// Returns the limits on the head and the body of a message that the settings state.
fn head_limits(settings: &ProxySettings) -> HeadLimits {
    HeadLimits {
        max_head_bytes: settings.connections.max_head_bytes,
        max_fields: settings.connections.max_header_fields,
        max_body_bytes: settings.connections.max_body_bytes,
    }
}

/// Returns a seed that differs at each start of a process.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (now.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
