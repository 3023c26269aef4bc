//! The processes and threads of one run, which are started together and stopped in order.

use crate::controller::{ControllerProcess, offer_builds};
use crate::error::ScenarioRunError;
use crate::outcome::Observations;
use crate::proxies::{ProxyCommand, ProxyFleet};
use crate::proxy_settings;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::Duration;
use violetseam_simulated_site::Clock;
use violetseam_simulated_site::network::clients::{ClientReport, Progress};
use violetseam_simulated_site::network::site::{ReleaseDecider, SiteOptions, SiteReport};
use violetseam_simulated_site::network::{AddressPlan, NetworkError, clients, site};
use violetseam_simulated_site::scenario::Scenario;

/// Time from the start of the simulated site to the first request, in microseconds.
pub(crate) const STARTUP_SPAN: u64 = 2_000_000;
/// Time limit for the simulated site to start listening.
const SITE_START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for each proxy to accept its first connection.
const PROXY_START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for the proxies to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the site is stopped, in which it sees the connections of the proxies close.
const CLOSE_GRACE: Duration = Duration::from_millis(150);

/// The state that the threads of a run share.
#[derive(Clone)]
struct RunContext {
    /// The scenario, whose times are relative to the start of the clock.
    scenario: Arc<Scenario>,
    addresses: AddressPlan,
    clock: Clock,
    stop: Arc<AtomicBool>,
}

/// The running processes and threads of a run.
pub(crate) struct Session {
    context: RunContext,
    controller: Option<ControllerProcess>,
    offers: Option<JoinHandle<Result<(), ScenarioRunError>>>,
    site: SiteThread,
    proxies: ProxyFleet,
    clients: JoinHandle<Result<ClientReport, NetworkError>>,
    progress: Arc<Progress>,
}

/// The parts of a session on which faults are injected, and from which the progress is read.
pub(crate) struct SessionParts<'a> {
    /// The clock of the run.
    pub clock: Clock,
    /// The proxy processes.
    pub proxies: &'a mut ProxyFleet,
    /// The release controller, if a controller process decides on releases.
    pub controller: Option<&'a mut ControllerProcess>,
    /// Log lines of the simulated site.
    pub site_messages: &'a Receiver<String>,
    /// Counters of the clients' requests.
    pub progress: &'a Progress,
    /// The client thread, which ends with the scenario.
    pub clients: &'a JoinHandle<Result<ClientReport, NetworkError>>,
}

impl Session {
    /// Starts the controller, the simulated site, the proxies and the clients.
    pub fn start(
        command: ProxyCommand,
        scenario: Scenario,
        addresses: AddressPlan,
        release_decider: ReleaseDecider,
    ) -> Result<Session, ScenarioRunError> {
        let proxy_count = scenario.proxies.len();
        let context = RunContext {
            scenario: Arc::new(scenario),
            addresses,
            clock: Clock::start(),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let controller = match release_decider {
            ReleaseDecider::Controller => Some(context.start_controller(&command)?),
            ReleaseDecider::Simulated => None,
        };
        let site = SiteThread::spawn(&context, release_decider);
        let offers = controller.as_ref().map(|controller| context.spawn_offers(controller));
        let site = site.wait_until_ready(&context)?;
        let mut proxies = ProxyFleet::new(command, addresses, proxy_count);
        if let Err(error) = proxies.start_all(PROXY_START_TIMEOUT) {
            let _ = site.stop(&context);
            return Err(error);
        }
        let progress = Arc::new(Progress::default());
        let clients = context.spawn_clients(progress.clone());
        Ok(Session { context, controller, offers, site, proxies, clients, progress })
    }

    /// Returns the parts on which faults are injected, and from which the progress is read.
    pub fn parts(&mut self) -> SessionParts<'_> {
        SessionParts {
            clock: self.context.clock,
            proxies: &mut self.proxies,
            controller: self.controller.as_mut(),
            site_messages: &self.site.messages,
            progress: &self.progress,
            clients: &self.clients,
        }
    }

    /// Waits for the clients, drains the proxies and stops the site; returns what was observed.
    pub fn finish(mut self) -> Result<Observations, ScenarioRunError> {
        let clients = join(self.clients, "clients'")?
            .map_err(|source| ScenarioRunError::Simulation { part: "clients", source })?;
        let cpu_seconds = self.proxies.cpu_seconds();
        let mut faults = self.proxies.drain(DRAIN_TIMEOUT);
        std::thread::sleep(CLOSE_GRACE);
        let site = self.site.stop(&self.context)?;
        if let Some(offers) = self.offers {
            join(offers, "offers'")??;
        }
        if site.open_attempts > 0 {
            faults.push(format!("{} attempts still open after all proxies had drained", site.open_attempts));
        }
        Ok(Observations { process_entries: Vec::new(), clients, site, faults, cpu_seconds })
    }
}

impl RunContext {
    fn start_controller(&self, command: &ProxyCommand) -> Result<ControllerProcess, ScenarioRunError> {
        let control = proxy_settings::control_path_prefix(self.addresses).with_extension("controller");
        let build = self.scenario.rollout.first_build;
        ControllerProcess::start(command.program.clone(), command.out.clone(), self.addresses, control, build)
    }

    fn spawn_offers(&self, controller: &ControllerProcess) -> JoinHandle<Result<(), ScenarioRunError>> {
        let context = self.clone();
        let control = controller.control().to_owned();
        std::thread::spawn(move || offer_builds(&context.scenario, &control, context.clock, &context.stop))
    }

    fn spawn_clients(&self, progress: Arc<Progress>) -> JoinHandle<Result<ClientReport, NetworkError>> {
        let context = self.clone();
        std::thread::spawn(move || {
            clients::run(
                &context.scenario,
                context.addresses,
                context.clock,
                STARTUP_SPAN,
                &context.stop,
                progress,
            )
        })
    }
}

/// The simulated site, on a thread of its own.
struct SiteThread {
    handle: JoinHandle<Result<SiteReport, NetworkError>>,
    ready: Receiver<()>,
    messages: Receiver<String>,
}

impl SiteThread {
    /// Starts the thread of the simulated site.
    fn spawn(context: &RunContext, release_decider: ReleaseDecider) -> SiteThread {
        let context = context.clone();
        let (ready_sender, ready) = channel();
        let (log, messages) = channel();
        let options = SiteOptions {
            addresses: context.addresses,
            release_decider,
            clock: context.clock,
            ready: ready_sender,
            log,
        };
        let handle = std::thread::spawn(move || site::run(&context.scenario, options, &context.stop));
        SiteThread { handle, ready, messages }
    }

    fn wait_until_ready(self, context: &RunContext) -> Result<SiteThread, ScenarioRunError> {
        if self.ready.recv_timeout(SITE_START_TIMEOUT).is_ok() {
            return Ok(self);
        }
        match self.stop(context) {
            Err(ScenarioRunError::Simulation { source, .. }) => {
                Err(ScenarioRunError::SiteNotStarted { source })
            }
            Err(error) => Err(error),
            Ok(_) => Err(ScenarioRunError::SiteNotReady),
        }
    }

    /// Signals all threads of the run to stop, waits for the site and returns its report.
    fn stop(self, context: &RunContext) -> Result<SiteReport, ScenarioRunError> {
        context.stop.store(true, Ordering::Relaxed);
        join(self.handle, "site's")?.map_err(|source| ScenarioRunError::Simulation { part: "site", source })
    }
}

fn join<T>(handle: JoinHandle<T>, thread: &'static str) -> Result<T, ScenarioRunError> {
    handle.join().map_err(|_| ScenarioRunError::ThreadPanicked { thread })
}
