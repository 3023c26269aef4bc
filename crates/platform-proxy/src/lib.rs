//! The proxy on the platform's protocol: sockets, datagrams, signals and the clock on one `calloop` loop, for
//! one [`Engine`]. All decisions are the module's; what is bounded here (descriptors, bytes, how long a
//! connection may come up or say nothing) is no judgement on servers or builds.
//!
//! - `clients.rs`: the listener and client connections, up to a whole call and from an answer on
//! - `servers.rs`: connections to servers and the attempts on them
//! - `discovery.rs`: the server list, asked for and watched
//! - `pipeline.rs`: the release service: news and votes
//! - `peers.rs`: datagrams
//! - `budgets.rs`: what the limits leave for each of these, and who gives way when one is used up

mod budgets;
mod clients;
mod discovery;
mod peers;
mod pipeline;
mod servers;
mod start;

use budgets::Budgets;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, RegistrationToken};
use clients::{Client, Held};
use discovery::Discovery;
use pipeline::Pipeline;
use rand::{RngExt, SeedableRng};
use servers::Server;
use slab::Slab;
use start::patiently;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use violetseam::interface::*;
use violetseam::permission::{Lifetime, ListLease};
use violetseam_loopio::quiet::RateLimit;
use violetseam_loopio::timers::Timers;
use violetseam_platform::config::Config;
use violetseam_platform::discovery::Roster;
use violetseam_proxy::engine::{Counts, Engine, EngineAction};
use violetseam_resp::Bounds;

/// One read takes at most so much.
const READ_MOST: usize = 32 * 1024;
/// Between two rounds of upkeep.
const UPKEEP: Micros = 50_000;
/// After SIGTERM new connections still come for a while, and clients go on with those that they have: the platform
/// states 0.4 s at most.
const TAKING_ON: Micros = 500_000;

/// A process says that it is ready so long after its start at the latest, with or without a list that may be used: the
/// platform wants nine in ten of them after 6 s where a day ends soon.
const READY_BY: Micros = 5_500_000;
/// A configuration that cannot be read at a reload is read again after so long, and so many times in all.
const RELOAD_AGAIN: Micros = 200_000;
const RELOADS_MOST: u32 = 25;
/// A shutdown names so many of the requests that it ends.
const OWED_TOLD: usize = 20;

/// What comes due. Connections are named by their place and generation, as places are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// A connection to a server should be up.
    Connect(usize, u64),
    /// A call to discovery has had its time.
    Discovery(u64),
    /// Ask for the list again.
    ListAgain,
    /// The watch of the pipeline has said nothing for long.
    PipelineSilence(u64),
    /// Open the watch of the pipeline again.
    PipelineAgain,
    /// A vote has had its time.
    Vote(usize, u64),
    /// Accept again.
    Accept,
    /// Read the configuration again, so many times more at most.
    Reload(u64, u32),
    /// Take nothing new.
    Leave,
    /// Answer what is left and end all client connections.
    LastAnswers,
    /// Stop, whatever is left.
    End,
    /// Slow upkeep.
    Upkeep,
}

/// The steps of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    /// No word of an end.
    No,
    /// SIGTERM has come; new connections still come for a while, and are served.
    Told,
    /// Nothing new is accepted, answered connections end.
    Leaving,
    /// All has been answered, and every connection ends once nothing lies unread on it.
    LastAnswers,
}

/// What a proxy did, told when it stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests and attempts.
    pub counts: Counts,
    /// Requests still owed an answer: 0 unless it was cut short.
    pub owed: usize,
}

/// One proxy on its loop.
struct Proxy {
    config: Config,
    /// Read again at SIGHUP.
    config_file: PathBuf,
    engine: Engine,
    handle: LoopHandle<'static, Proxy>,
    started: Instant,
    /// Unix time at the start: the loop's clock counts on from there, so that the platform's times are times
    /// of this clock, whatever becomes of the machine's wall clock later.
    origin: Micros,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    accepting: bool,
    clients: Slab<Client>,
    held: HashMap<RequestId, Held>,
    /// Ids of the requests that are open, as the clients wrote them.
    open_ids: HashMap<Box<[u8]>, RequestId>,
    /// Bytes that open requests hold.
    held_bytes: usize,
    servers: Slab<Server>,
    /// Idle connections by server, the one that has rested longest first.
    idle: BTreeMap<ServerId, VecDeque<usize>>,
    roster: Roster,
    discovery: Discovery,
    pipeline: Pipeline,
    udp: Option<Rc<UdpSocket>>,
    timers: Timers<What>,
    budgets: Budgets,
    bounds: Bounds,
    scratch: Vec<u8>,
    rng: rand_pcg::Pcg64,
    generation: u64,
    pumping: bool,
    /// Sockets had something to say in this turn.
    heard: bool,
    /// When the loop looked at its sockets in the turn before this one: what is read now was not there then.
    looked_before: Micros,
    /// How far the end after SIGTERM has come.
    ending: Ending,
    /// Client connections to be looked at again in this turn.
    revisit: Vec<(usize, u64)>,
    stopping: bool,
    quiet: RateLimit,
    /// Names the reload that may still be tried again.
    reload_generation: u64,
    /// Client connections that this side ended over a request without an answer; a fault if ever over 0.
    closed_while_owed: u64,
}

/// Reads the configuration at a start, where a file that cannot be read for a moment is waited for.
///
/// # Errors
/// What is wrong with the file or its text; after ten seconds where the error may pass.
pub fn read_config(file: &Path) -> Result<Config, String> {
    parse_config(file, patiently("configuration", || std::fs::read(file)))
}

fn parse_config(file: &Path, text: std::io::Result<Vec<u8>>) -> Result<Config, String> {
    let text = text.map_err(|e| format!("{}: {e}", file.display()))?;
    Config::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Binds everything and serves until SIGTERM or SIGINT, and then what is owed. SIGHUP reads the file again.
pub fn serve(config: Config, config_file: PathBuf) -> std::io::Result<Summary> {
    let mut event_loop: EventLoop<'static, Proxy> =
        patiently("event loop", || EventLoop::try_new().map_err(io_error))?;
    let heard = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals = patiently("signals", || Signals::new(&heard).map_err(io_error))?;
    event_loop
        .handle()
        .insert_source(signals, |event, (), proxy: &mut Proxy| match event.signal() {
            Signal::SIGHUP => proxy.reload(RELOADS_MOST),
            _ => proxy.end(),
        })
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    let mut proxy = Proxy::new(config, config_file, event_loop.handle());
    patiently("peers' address", || proxy.bind_peers())?;
    // First events, then clients: nothing is taken before the list and the news are known.
    proxy.begin();
    patiently("clients' address", || proxy.listen())?;
    while !proxy.stopping {
        let timeout = proxy.timeout();
        proxy.heard = false;
        let before = proxy.now();
        event_loop.dispatch(timeout, &mut proxy).map_err(std::io::Error::other)?;
        // A wait that ended with nothing has looked at its end.
        let looked = if proxy.heard { before } else { proxy.now() };
        proxy.on_time(looked);
        proxy.looked_before = before;
    }
    let summary = Summary { counts: proxy.engine.counts(), owed: proxy.engine.pending_responses() };
    proxy.tell_counts("stopped");
    // The loop lets its signals go as it drops: one that has come since would end the process before its own end.
    std::mem::forget(event_loop);
    Ok(summary)
}

/// The system's error behind one of the loop's.
fn io_error(error: calloop::Error) -> std::io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        error => std::io::Error::other(error),
    }
}

impl Proxy {
    fn new(config: Config, config_file: PathBuf, handle: LoopHandle<'static, Proxy>) -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let mut decisions = config.instance.decisions.clone();
        // Pushed or asked for, a list comes here over calls and watches alone: somebody has to follow it.
        let pushed = !std::mem::replace(&mut decisions.subscribes_to_list, true);
        if pushed {
            decisions.rules.poll_interval_max = discovery::PUSHED_ASK_WITHIN;
        }
        let ask_within = decisions.rules.poll_interval_max;
        let budgets = Budgets::new(&config.limits, config.instance.open_cap);
        Proxy {
            engine: Engine::new(decisions, config.seed, None),
            looked_before: 0,
            config_file,
            handle,
            started: Instant::now(),
            origin: unix.as_micros() as Micros,
            listener: None,
            accepting: true,
            clients: Slab::new(),
            held: HashMap::new(),
            open_ids: HashMap::new(),
            held_bytes: 0,
            servers: Slab::new(),
            idle: BTreeMap::new(),
            roster: Roster::new(config.instance.zones.clone()),
            discovery: Discovery::new(config.discovery, pushed, ask_within),
            pipeline: Pipeline::new(config.pipeline),
            udp: None,
            timers: Timers::default(),
            budgets,
            bounds: Bounds::default(),
            scratch: vec![0; READ_MOST],
            rng: rand_pcg::Pcg64::seed_from_u64(config.seed),
            generation: 0,
            pumping: false,
            heard: false,
            ending: Ending::No,
            revisit: Vec::new(),
            stopping: false,
            quiet: RateLimit::default(),
            reload_generation: 0,
            closed_while_owed: 0,
            config,
        }
    }

    /// First events: the list as last held, which may be stale, and where the newest build stood.
    fn begin(&mut self) {
        let now = self.now();
        let known = self.config.known.take();
        let applied = known.and_then(|list| self.roster.apply(&list).ok());
        let entries = applied.map(|applied| applied.entries).unwrap_or_default();
        self.looked_before = now;
        // How old that list is, nobody knows: it is used once discovery has confirmed it.
        let lease = ListLease::unconfirmed(&self.config.instance.decisions.rules);
        self.engine.set_list_lease(now, lease);
        self.discovery.ready_by = now + READY_BY;
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        match self.config.news.map(|news| news.read()) {
            Some(Ok(news)) => self.engine.on_release_status(now, news),
            Some(Err(why)) => tracing::warn!("{why}"),
            None => {}
        }
        self.open_watch();
        self.timers.set(now + UPKEEP, What::Upkeep);
        let name = &self.config.name;
        tracing::info!(%name, servers = entries.len(), listen = %self.config.listen, "started");
        self.tell_limits();
        self.pump();
    }

    fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    fn timeout(&self) -> Duration {
        if !self.revisit.is_empty() {
            return Duration::ZERO;
        }
        self.timers.wait(self.now(), self.engine.next_deadline())
    }

    /// Plays what was due when the sockets were last looked at: an answer that had come by then has been read.
    fn on_time(&mut self, looked: Micros) {
        let now = self.now();
        self.engine.run_deadlines_until(now, looked);
        self.pump();
        while let Some(what) = self.timers.pop(looked) {
            match what {
                What::Connect(key, generation) => self.connect_timeout(key, generation),
                What::Discovery(generation) => self.discovery_timeout(generation),
                What::ListAgain => self.discovery_due(),
                What::PipelineSilence(generation) => self.watch_silent(generation),
                What::PipelineAgain => self.open_watch(),
                What::Vote(key, generation) => self.vote_timeout(key, generation),
                What::Accept => self.accept_again(),
                What::Reload(generation, tries) if generation == self.reload_generation => self.reload(tries),
                What::Reload(..) => {}
                What::Leave => self.leave(),
                What::LastAnswers => self.last_answers(),
                What::End => self.stop(),
                What::Upkeep => self.upkeep(now),
            }
            self.pump();
        }
        self.revisit_clients();
        if self.is_leaving()
            && self.listener.is_none()
            && self.clients.is_empty()
            && self.engine.pending_responses() == 0
        {
            self.stopping = true;
        }
    }

    /// Does what the engine ordered, and what comes of that, until nothing is left. Called from within, it
    /// leaves that to the call it came from.
    fn pump(&mut self) {
        self.heard = true;
        if std::mem::replace(&mut self.pumping, true) {
            return;
        }
        while let Some(action) = self.engine.next_action() {
            self.perform(action);
        }
        self.pumping = false;
    }

    fn perform(&mut self, action: EngineAction) {
        match action {
            EngineAction::StartAttempt { request, attempt, server } => {
                self.start_attempt(request, attempt, server)
            }
            EngineAction::CloseAttempt { request, attempt } => self.drop_attempt(request, attempt),
            EngineAction::Respond { request, response } => self.answer_own(request, response),
            EngineAction::Forget { request } => self.forget(request),
            EngineAction::WatchServerList => self.follow_list(),
            EngineAction::FetchServerList => self.follow_list(),
            EngineAction::Vote { build, stage, verdict } => self.call_vote(build, stage, verdict),
            EngineAction::Gossip { to, payload } => self.tell_peers(to, &payload),
            // The platform's settings name no budget of the fleet, so that none is kept here.
            EngineAction::BudgetMessage { .. } => {}
            EngineAction::Log(text) => tracing::info!(target: "verdict", "{text}"),
        }
    }

    fn upkeep(&mut self, now: Micros) {
        self.timers.set(now + UPKEEP, What::Upkeep);
        self.clients_upkeep(now);
        self.servers_upkeep(now);
    }

    /// SIGHUP: the new addresses are in force at once. A file that cannot be read, or is half written, leaves the old ones
    /// and is read again a little later, so many times at most: discovery counts what it has to tell as told either way.
    fn reload(&mut self, tries: u32) {
        self.reload_generation = self.next_generation();
        match parse_config(&self.config_file, std::fs::read(&self.config_file)) {
            Err(why) if tries > 1 => {
                tracing::warn!("reload: {why}; the old configuration stays for now");
                let again = What::Reload(self.reload_generation, tries - 1);
                self.timers.set(self.now() + RELOAD_AGAIN, again);
            }
            Err(why) => tracing::error!("reload: {why}; the old configuration stays"),
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, pipeline = %config.pipeline, "reload");
                self.move_discovery(config.discovery);
                self.move_pipeline(config.pipeline);
            }
        }
        self.pump();
    }

    fn is_leaving(&self) -> bool {
        self.ending >= Ending::Leaving
    }

    /// SIGTERM: connections still come for a moment, and are served. A second one changes nothing.
    fn end(&mut self) {
        if self.ending > Ending::No {
            return;
        }
        self.ending = Ending::Told;
        self.tell_counts("ending");
        let now = self.now();
        let life = self.engine.begin_shutdown(
            now,
            Lifetime::told_to_end(now, self.config.instance.decisions.longest_deadline()),
        );
        tracing::info!(answer_in_us = life.answer_by - now, end_in_us = life.end_by - now, "SIGTERM");
        self.timers.set(now + TAKING_ON, What::Leave);
        self.timers.set(life.answer_by, What::LastAnswers);
        self.timers.set(life.end_by, What::End);
        self.pump();
    }

    /// What is still owed is answered as failed, and every client connection ends: what has come on it is answered
    /// first, as it was taken.
    fn last_answers(&mut self) {
        self.tell_owed();
        let now = self.now();
        self.engine.fail_pending_requests(now);
        self.pump();
        self.leave();
        self.ending = Ending::LastAnswers;
        self.revisit.extend(self.clients.iter().map(|(key, client)| (key, client.generation())));
    }

    /// The time is over: answers that no client takes are left.
    fn stop(&mut self) {
        self.stopping = true;
    }

    /// The limits that the settings give, without which no log of a shutdown or of a stale list can be read.
    fn tell_limits(&self) {
        let instance = &self.config.instance;
        let contract = &instance.decisions.rules;
        tracing::info!(
            longest_deadline_us = instance.decisions.longest_deadline(),
            ask_within_us = contract.poll_interval_max,
            drain_grace_us = contract.drain_grace,
            pushed = self.discovery.is_pushed(),
            list_version = self.roster.version(),
            "limits"
        );
    }

    /// The requests that a shutdown ends without a server's answer, by the ids that their clients gave them.
    fn tell_owed(&self) {
        let ids = self.open_ids.iter().take(OWED_TOLD);
        for (id, request) in ids {
            let id = String::from_utf8_lossy(id);
            tracing::warn!(request, %id, "shutdown ends a request without a server's answer");
        }
    }

    fn tell_counts(&self, what: &str) {
        let c = self.engine.counts();
        tracing::info!(
            taken = c.received,
            served = c.served,
            refused = c.rejected,
            failed = c.failed,
            gone = c.disconnected,
            attempts = c.attempts,
            overdue = c.overdue,
            violations = c.violations,
            held_back = c.cancelled_before_send,
            without_list = c.without_server_list,
            closed_while_owed = self.closed_while_owed,
            owed = self.engine.pending_responses(),
            clients = self.clients.len(),
            servers = self.servers.len(),
            "{what}"
        );
    }

    /// A wait between half and one and a half times the span: proxies lose a service together.
    fn jittered(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.random_range(0..span.max(1))
    }

    /// Whether a log line of a kind that can come often may be written.
    fn may_say(&mut self) -> bool {
        let now = self.now();
        self.quiet.allows(now)
    }
}
