//! The driver: sockets, datagrams, signals and the clock on one `calloop` loop, for one [`Engine`].
//!
//! - `clients.rs`: listeners and client connections, up to a whole request and from an answer on
//! - `servers.rs`: connections to servers and the attempts on them
//! - `control.rs`: calls to the roster and the release desk
//! - `configuration.rs`: the subscription to a publisher, and reports to it
//! - `configuration_store.rs`: the last good configuration on disk
//! - `line.rs`: an operator's connection, local or under TLS
//! - `operators.rs`: the control sockets, commands and the reading of the state
//! - `peers.rs`: datagrams
//! - `takeover.rs`: a new process takes the sockets and what the module learned
//! - `timers.rs`: the driver's own time-outs, all of them bounds of connections

mod clients;
mod configuration;
mod configuration_store;
mod control;
mod line;
mod operators;
mod peers;
mod servers;
mod takeover;
mod timers;

use crate::engine::{Engine, EngineAction, LocalResponse};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, RegistrationToken};
use clients::{Client, Held};
use configuration::Subscription;
use control::Call;
pub use operators::{Keeper, Operators, Reload, Reloaded, Reopen, Reopened, SetLog};
use rand::{Rng, RngExt, SeedableRng};
use servers::Server;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
pub use takeover::{Inherited, inherit};
use timers::Timers;
use violetseam::interface::*;
use violetseam_http1::Limits as HeadLimits;
use violetseam_loopio::quiet::RateLimit;
use violetseam_recorder::{Bounds, Recorder};
use violetseam_settings::ProxySettings;
use violetseam_shared::budgets::Budgets;
use violetseam_site::peer::Kind;
use violetseam_site::roster::Roster;

/// One read takes at most so much.
const READ_MOST: usize = 64 * 1024;

/// How a proxy is started beside its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Records every event and action there.
    pub record: Option<(PathBuf, Bounds)>,
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
    /// Final answers of the proxy's own are held back until after the deadline.
    LateAnswer,
    /// The roster's word that a server drains is not heard.
    IgnoreDrains,
    /// The fleet's budgets are not kept to.
    Spendthrift,
}

/// What a proxy did, told when it stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests and attempts.
    pub counts: crate::engine::Counts,
    /// Client connections and server connections left open: 0 after a drain.
    pub left_open: usize,
    /// Requests left in hand: 0 after a drain.
    pub left_in_hand: usize,
    /// Time spent in the module, if measured.
    pub module_time: Duration,
}

/// One proxy on its loop.
pub struct Proxy {
    pub(crate) operators: Option<operators::Desk>,
    settings: Rc<ProxySettings>,
    engine: Engine,
    handle: LoopHandle<'static, Proxy>,
    started: Instant,
    /// The loop's clock at the start.
    origin: Micros,
    /// A process is taking over: its connection to the control socket.
    handing: Option<(usize, u64)>,
    handed_over: bool,
    /// Idle connections that were offered to it.
    handed_clients: Vec<usize>,
    listeners: Vec<(Rc<TcpListener>, Option<RegistrationToken>)>,
    clients: Slab<Client>,
    servers: Slab<Server>,
    calls: Slab<Call>,
    held: HashMap<RequestId, Held>,
    idle: BTreeMap<ServerId, Vec<usize>>,
    timers: Timers,
    roster: Roster,
    /// The lines held, with when each was heard.
    roster_lines: BTreeMap<ServerId, (Micros, violetseam_site::roster::Line)>,
    roster_changed: bool,
    watch: Option<usize>,
    desk_stream: Option<usize>,
    /// Which of the settings' controllers is spoken to.
    desk_chosen: usize,
    /// The highest fencing number heard of a controller.
    desk_fence: u64,
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
    /// Ends once nothing is left in hand.
    ending: bool,
    stopping: bool,
    quiet: RateLimit,
    /// Clients whose input waits for its turn.
    resumed: Vec<(usize, u64)>,
    pumping: bool,
    /// Sockets had something to say in this turn.
    heard: bool,
    last_vote: Option<String>,
    finding: Option<String>,
    list_heard: Option<Micros>,
    peers_heard: BTreeMap<usize, Micros>,
    /// Attempts by build, of the present and the last span of ten seconds.
    by_build: [BTreeMap<Build, u64>; 2],
    by_build_since: Micros,
    #[cfg(feature = "sabotage")]
    sabotage: Option<Sabotage>,
}

/// Binds everything and runs until told to stop; SIGTERM and SIGINT drain first. `ready` hears the
/// addresses that clients can connect to.
pub fn serve(
    settings: ProxySettings,
    options: Options,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    serve_operated(settings, options, None, None, ready)
}

/// The same with a control socket for operators.
pub fn serve_operated(
    settings: ProxySettings,
    options: Options,
    operators: Option<Operators>,
    inherited: Option<Inherited>,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    let mut event_loop: EventLoop<'static, Proxy> = EventLoop::try_new().map_err(std::io::Error::other)?;
    // Before any thread is started: one that did not block the signals would take them, and the process
    // would end with all it holds. Seen with the flight recorder's thread.
    let mut heard = vec![Signal::SIGTERM, Signal::SIGINT];
    heard.extend(operators.is_some().then_some(Signal::SIGHUP));
    let signals = Signals::new(&heard).map_err(std::io::Error::other)?;
    let takes_over = inherited.is_some();
    let mut proxy = Proxy::new(settings, &options, event_loop.handle(), inherited.as_ref())?;
    proxy.open_subscription(takes_over)?;
    event_loop
        .handle()
        .insert_source(signals, |event, (), proxy| match event.signal() {
            Signal::SIGHUP => proxy.reload_on_signal(),
            _ => proxy.drain(),
        })
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    let mut inherited = inherited;
    if let Some(operators) = operators {
        let control = inherited.as_mut().and_then(Inherited::take_control);
        proxy.open_control(operators, control)?;
    }
    match inherited {
        Some(inherited) => {
            proxy.adopt(inherited)?;
            // From here on nobody else serves: what fails now is tried again while this process serves.
            if let Err(e) = proxy.publish_control() {
                tracing::error!("the control socket cannot be moved to its path: {e}");
            }
        }
        None => {
            proxy.bind_listeners()?;
            proxy.bind_peers()?;
            proxy.publish_control()?;
        }
    }
    proxy.share_budgets();
    let addresses: Vec<SocketAddr> = proxy.listeners.iter().filter_map(|l| l.0.local_addr().ok()).collect();
    ready(&addresses);
    let stop_at = options.stop_after.map(|span| Instant::now() + span);
    if takes_over {
        proxy.go_on()
    } else {
        proxy.begin()
    }
    while !proxy.stopping {
        let mut timeout = proxy.timeout();
        if let Some(at) = stop_at {
            timeout = timeout.min(at.saturating_duration_since(Instant::now()));
            if at <= Instant::now() {
                proxy.drain();
            }
        }
        if let Some(stop) = &options.stop {
            timeout = timeout.min(Duration::from_millis(20));
            if stop.load(Ordering::Relaxed) {
                proxy.drain();
            }
        }
        proxy.heard = false;
        let before = proxy.now();
        event_loop.dispatch(timeout, &mut proxy).map_err(std::io::Error::other)?;
        // A wait that ended with nothing has looked at its end.
        let looked = if proxy.heard { before } else { proxy.now() };
        proxy.on_time(looked);
    }
    Ok(proxy.finish())
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
        let recorder = match &options.record {
            Some((path, bounds)) => Some(Recorder::start(path, *bounds, &settings.decisions, seed)?),
            None => None,
        };
        let (mut engine, origin) = match inherited {
            Some(before) => {
                (Engine::with_module(settings.decisions.clone(), before.module.clone()), before.clock())
            }
            None => (Engine::new(settings.decisions.clone(), seed, recorder), 1_000_000),
        };
        if options.time_module {
            engine.measure_module_time();
        }
        Ok(Proxy {
            operators: None,
            engine,
            handle,
            started: Instant::now(),
            origin,
            handing: None,
            handed_over: false,
            handed_clients: Vec::new(),
            listeners: Vec::new(),
            clients: Slab::new(),
            servers: Slab::new(),
            calls: Slab::new(),
            held: HashMap::new(),
            idle: BTreeMap::new(),
            timers: Timers::default(),
            roster: Roster::default(),
            roster_lines: BTreeMap::new(),
            roster_changed: false,
            watch: None,
            desk_stream: None,
            desk_chosen: 0,
            desk_fence: inherited.map_or(0, Inherited::desk_fence),
            subscription: None,
            udp: None,
            udp_token: None,
            via: format!("1.1 {}-{}", settings.name, settings.decisions.position),
            head_limits: HeadLimits {
                head: settings.connections.max_head,
                fields: settings.connections.max_fields,
                body: settings.connections.max_body,
            },
            scratch: vec![0; READ_MOST],
            rng,
            generation: 0,
            draining: false,
            listen_until: 0,
            ending: false,
            stopping: false,
            quiet: RateLimit::default(),
            resumed: Vec::new(),
            pumping: false,
            heard: false,
            last_vote: None,
            finding: None,
            list_heard: None,
            peers_heard: BTreeMap::new(),
            by_build: Default::default(),
            by_build_since: 0,
            #[cfg(feature = "sabotage")]
            sabotage: options.sabotage,
            settings: Rc::new(settings),
        })
    }

    /// First events: the list as saved before a restart, which may be stale, then the desk is called.
    fn begin(&mut self) {
        let now = self.now();
        let saved = self.saved_roster();
        let entries = saved.map(|message| self.roster.restore(now, &message)).unwrap_or_default();
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        self.pause_standing();
        self.open_desk_stream();
        self.next_upkeep(now);
        self.pump();
    }

    /// The loop's clock in microseconds: one second at the start, or where the process before had it.
    fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// Answers close their connections: this process takes nothing new, or will not in a moment.
    fn is_leaving(&self) -> bool {
        self.draining || self.handing.is_some()
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    fn timeout(&self) -> Duration {
        self.timers.wait(self.now(), self.engine.next_deadline())
    }

    /// Plays what was due when the sockets were last looked at: an answer that had come by then has been read.
    fn on_time(&mut self, looked: Micros) {
        let now = self.now();
        self.engine.run_deadlines_until(now, looked);
        self.pump();
        self.own_timers(looked);
        self.pump();
        if self.ending && self.has_ended() {
            self.stopping = true;
        }
    }

    /// Nothing is in hand and nothing can come.
    fn has_ended(&self) -> bool {
        let nothing_open = self.listeners.is_empty() && self.clients.is_empty();
        nothing_open && self.engine.pending_responses() == 0 && self.held.is_empty()
    }

    /// Does what the engine ordered, and what comes of that, until nothing is left. Called from within, it
    /// leaves that to the call it came from.
    fn pump(&mut self) {
        self.heard = true;
        if std::mem::replace(&mut self.pumping, true) {
            return;
        }
        loop {
            if let Some(action) = self.engine.next_action() {
                self.perform(action);
            } else if let Some((key, generation)) = self.resumed.pop() {
                self.resume_client(key, generation);
            } else {
                break;
            }
        }
        self.pumping = false;
    }

    fn perform(&mut self, action: EngineAction) {
        let outward = matches!(
            action,
            EngineAction::WatchServerList
                | EngineAction::FetchServerList
                | EngineAction::Vote { .. }
                | EngineAction::Gossip { .. }
                | EngineAction::BudgetMessage { .. }
        );
        // These are the successor's now: two processes must not vote or speak as one proxy.
        if outward && self.handed_over {
            return;
        }
        match action {
            EngineAction::StartAttempt { request, attempt, server } => {
                self.start_attempt(request, attempt, server)
            }
            EngineAction::CloseAttempt { request, attempt } => self.drop_attempt(request, attempt),
            EngineAction::Respond { request, response } => self.respond(request, response),
            EngineAction::Forget { request } => self.forget(request),
            EngineAction::WatchServerList => self.call_roster(true),
            EngineAction::FetchServerList => self.call_roster(false),
            EngineAction::Vote { build, stage, verdict } => {
                self.note_vote(build, stage, verdict);
                self.call_vote(build, stage, verdict);
            }
            EngineAction::Gossip { to, payload } => self.tell_peers(to, Kind::Decisions, &payload),
            EngineAction::BudgetMessage { to, payload } => self.tell_peers(Some(to), Kind::Rights, &payload),
            EngineAction::Log(text) => {
                tracing::info!(target: "verdict", "{text}");
                self.note_finding(text);
            }
        }
    }

    /// Begins a life's share of the fleet's budgets: from here on nothing of a process before this one is spent or lent.
    fn share_budgets(&mut self) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::Spendthrift) {
            return;
        }
        let Some(plan) = self.settings.budgets.clone() else { return };
        // Of the moment and the process whatever the seed, as no two lives of a position may be alike.
        let (now, drawn) = (self.now(), fresh_seed());
        let life = (drawn ^ (drawn >> 32)) as u32;
        self.engine.set_budgets(now, Budgets::new(now, plan, life));
        self.pump();
    }

    /// A final answer of the proxy's own, unless sabotage holds it back.
    fn respond(&mut self, request: RequestId, response: LocalResponse) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::LateAnswer) {
            return self.delay_response(self.now() + 2_000_000, request, response);
        }
        self.respond_now(request, response);
    }

    /// Stops taking connections and requests; what was taken is answered, then the loop ends.
    fn drain(&mut self) {
        self.ending = true;
        self.stop_taking();
    }

    /// Stops taking connections and requests, but for those on their way: in the listeners' queues, and first requests
    /// on connections that were accepted. Listeners close once their queues are empty: what waits there would be
    /// neither taken nor free to go elsewhere.
    fn stop_taking(&mut self) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        tracing::info!(owed = self.engine.pending_responses(), "draining");
        self.listen_until = self.last_listening();
        self.close_idle_clients();
        self.drain_queues();
        self.pump();
    }

    /// Takes connections again after an operator's drain.
    fn take_again(&mut self) -> Result<(), String> {
        if self.ending {
            return Err("this daemon is on its way out".into());
        }
        if self.draining {
            if self.listeners.is_empty() {
                self.bind_listeners().map_err(|e| e.to_string())?;
            } else {
                self.set_accepting(true);
            }
            self.draining = false;
            self.keep_idle_clients();
        }
        Ok(())
    }

    fn finish(mut self) -> Summary {
        if self.roster_changed {
            self.save_roster();
        }
        self.finish_configuration();
        if let Some(recorder) = self.engine.take_recorder() {
            if let Some(why) = recorder.ended() {
                tracing::warn!("recording ended early: {why}");
            }
            if let Err(e) = recorder.finish() {
                tracing::error!("recording: {e}");
            }
        }
        let busy = self.servers.iter().filter(|(_, s)| !s.is_idle()).count();
        let summary = Summary {
            counts: self.engine.counts(),
            left_open: self.clients.len() + busy,
            left_in_hand: self.engine.pending_responses() + self.held.len(),
            module_time: self.engine.module_time(),
        };
        let c = summary.counts;
        tracing::info!(
            taken = c.received,
            served = c.served,
            refused = c.rejected,
            failed = c.failed,
            gone = c.disconnected,
            attempts = c.attempts,
            overdue = c.overdue,
            "stopped"
        );
        summary
    }

    /// A draw for an answer's id or a wait.
    fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}

/// A seed that differs at each start.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (now.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
