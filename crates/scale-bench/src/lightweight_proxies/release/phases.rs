//! The phases of one fleet before a controller: at rest, the offer of a build, and the build on trial.

use super::clients::{ClientCounts, ReleaseClients};
use crate::ScaleError;
use crate::lightweight_proxies::controller::{ControllerConfig, ControllerProcess};
use crate::lightweight_proxies::engine_fleet::FleetConfig;
use calloop::EventLoop;
use hdrhistogram::Histogram;
use std::io;
use std::time::{Duration, Instant};

/// Longest wait for the watches to open, and for the status to reach all proxies.
const PHASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait of the loop.
const MAX_WAIT: Duration = Duration::from_millis(1);

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The fleet.
    pub fleet: FleetConfig,
    /// Votes a second that the controller accepts.
    pub vote_rate_limit: f64,
    /// Counted at rest, and with a build on trial.
    pub span: Duration,
}

/// What was counted in one phase.
#[derive(Clone, Debug)]
pub struct Phase {
    /// How long it took.
    pub seconds: f64,
    /// What crossed the fleet's connections.
    pub counts: ClientCounts,
    /// The controller's processor time, in seconds.
    pub controller_seconds: f64,
}

impl Phase {
    /// A count as a rate a second.
    pub(super) fn rate(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }
}

/// Times from a vote's call to its reply.
#[derive(Clone, Copy, Debug)]
pub struct VoteTimes {
    /// The median, in seconds.
    pub p50_seconds: f64,
    /// The 99th percentile, in seconds.
    pub p99_seconds: f64,
}

impl VoteTimes {
    /// From a histogram of microseconds.
    fn of(micros: &Histogram<u64>) -> VoteTimes {
        let seconds = |quantile| micros.value_at_quantile(quantile) as f64 / 1e6;
        VoteTimes { p50_seconds: seconds(0.5), p99_seconds: seconds(0.99) }
    }
}

/// What was measured on one fleet.
#[derive(Clone, Debug)]
pub struct ReleaseTraffic {
    /// Proxies.
    pub proxies: usize,
    /// No build is on trial.
    pub rest: Phase,
    /// A build is on trial.
    pub trial: Phase,
    /// From the offer of the build to its status at the last proxy, in seconds.
    pub status_delay_seconds: f64,
    /// Proxies with an open watch at the end.
    pub open_watches: usize,
    /// Times of the votes in the trial.
    pub vote_times: VoteTimes,
    /// The controller's resident memory at the end.
    pub controller_bytes: u64,
}

/// Runs one fleet.
///
/// # Errors
/// [`ScaleError`] if the controller or the event loop fails, or the status does not reach all that watch.
pub fn measure(plan: &Plan) -> Result<ReleaseTraffic, ScaleError> {
    let proxies = plan.fleet.proxies;
    let controller = ControllerProcess::start(ControllerConfig {
        proxies,
        vote_ttl: plan.fleet.vote_ttl,
        vote_rate_limit: plan.vote_rate_limit,
    })?;
    let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
    let clients = ReleaseClients::new(plan.fleet, controller.address, event_loop.handle())?;
    let mut runner = Runner { event_loop, clients, controller };
    runner.open_watches(proxies)?;
    let rest = runner.run_phase(plan.span)?;
    let status_delay = runner.offer_build()?;
    // Verdicts take windows of evidence; votes are renewed for the first time within their time to live.
    let warm_up = Duration::from_micros(plan.fleet.vote_ttl);
    runner.run_for(warm_up)?;
    runner.clients.vote_micros.reset();
    let trial = runner.run_phase(plan.span)?;
    Ok(ReleaseTraffic {
        proxies,
        rest,
        trial,
        status_delay_seconds: status_delay.as_secs_f64(),
        open_watches: runner.clients.open_watches(),
        vote_times: VoteTimes::of(&runner.clients.vote_micros),
        controller_bytes: runner.controller.measured().resident_bytes()?,
    })
}

/// A fleet with its event loop and its controller.
struct Runner {
    event_loop: EventLoop<'static, ReleaseClients>,
    clients: ReleaseClients,
    controller: ControllerProcess,
}

impl Runner {
    /// Opens all watches; those that do not open in time are reported, and the run goes on without them.
    fn open_watches(&mut self, proxies: usize) -> Result<(), ScaleError> {
        for proxy in 0..proxies {
            self.clients.open_watch(proxy);
        }
        if !self.run_until(PHASE_TIMEOUT, |clients| clients.open_watches() == proxies)? {
            eprintln!("{} of {proxies} watches are open", self.clients.open_watches());
        }
        Ok(())
    }

    /// Offers the build; the time until its status has reached every proxy with an open watch.
    fn offer_build(&mut self) -> Result<Duration, ScaleError> {
        let offered = Instant::now();
        self.controller.offer_build()?;
        if !self.run_until(PHASE_TIMEOUT, ReleaseClients::all_watches_report_trial)? {
            return Err(ScaleError::ReleaseStatusNotDelivered);
        }
        Ok(offered.elapsed())
    }

    /// Runs for a span and counts what happens in it.
    fn run_phase(&mut self, span: Duration) -> Result<Phase, ScaleError> {
        let started = Instant::now();
        let processor_before = self.controller.measured().processor_seconds()?;
        self.clients.counts = ClientCounts::default();
        self.run_for(span)?;
        let controller_seconds = self.controller.measured().processor_seconds()? - processor_before;
        let seconds = started.elapsed().as_secs_f64();
        Ok(Phase { seconds, counts: self.clients.counts, controller_seconds })
    }

    fn run_for(&mut self, span: Duration) -> Result<(), ScaleError> {
        self.run_until(span, |_| false)?;
        Ok(())
    }

    /// Runs the fleet until a condition is fulfilled, or for a span; whether it was fulfilled.
    fn run_until(
        &mut self,
        timeout: Duration,
        is_fulfilled: impl Fn(&ReleaseClients) -> bool,
    ) -> Result<bool, ScaleError> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            self.clients.advance();
            if is_fulfilled(&self.clients) {
                return Ok(true);
            }
            self.event_loop.dispatch(MAX_WAIT, &mut self.clients).map_err(io::Error::other)?;
        }
        Ok(false)
    }
}
