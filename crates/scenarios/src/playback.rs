//! While a scenario runs: injects the faults of its processes when they are due, and reports its progress.

use crate::controller::ControllerProcess;
use crate::error::ScenarioRunError;
use crate::fault_timeline::{ProcessFault, TimedFault};
use crate::proxies::ProxyFleet;
use crate::session::{STARTUP_SPAN, Session, SessionParts};
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::time::Duration;
use violetseam_invariants::{EventRecord, ObservedEvent};
use violetseam_simulated_site::Clock;
use violetseam_simulated_site::network::clients::Progress;

/// Between two looks at what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Between two reports of the clients' counts, in microseconds.
const PROGRESS_INTERVAL: u64 = 5_000_000;

impl Session {
    /// Injects the faults of the processes until the clients are through; the records of them.
    ///
    /// # Errors
    /// [`ScenarioRunError::Io`] if a process cannot be started.
    pub fn play(
        &mut self,
        timeline: &[TimedFault],
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<Vec<EventRecord>, ScenarioRunError> {
        let SessionParts { clock, proxies, controller, site_messages, progress, clients } = self.parts();
        let mut injector = FaultInjector { clock, proxies, controller, entries: Vec::new() };
        let mut timeline = timeline.iter().copied().peekable();
        let mut last_report = STARTUP_SPAN;
        loop {
            let now = clock.now();
            while let Some(due) = timeline.next_if(|timed| timed.at <= now) {
                on_progress(&line_at(now, &describe(due.fault)));
                injector.inject(due.fault)?;
            }
            while let Ok(message) = site_messages.try_recv() {
                on_progress(&line_at(now, &message));
            }
            if now >= last_report + PROGRESS_INTERVAL {
                last_report = now;
                on_progress(&line_at(now, &describe_counts(progress)));
            }
            if clients.is_finished() {
                return Ok(injector.entries);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Injects faults into processes and records what the rules need to know of them.
struct FaultInjector<'a> {
    clock: Clock,
    proxies: &'a mut ProxyFleet,
    controller: Option<&'a mut ControllerProcess>,
    entries: Vec<EventRecord>,
}

impl FaultInjector<'_> {
    fn inject(&mut self, fault: ProcessFault) -> Result<(), ScenarioRunError> {
        match fault {
            ProcessFault::KillProxy(position) => self.kill_proxy(position),
            ProcessFault::StartProxy(position) => self.proxies.start(position)?,
            ProcessFault::SuspendProxy(position) => self.suspend_proxy(position),
            ProcessFault::ResumeProxy(position) => self.resume_proxy(position),
            ProcessFault::DuplicateProxy(position) => self.proxies.start_duplicate(position)?,
            ProcessFault::TakeOverProxy(position) => self.proxies.take_over(position)?,
            ProcessFault::KillController => self.kill_controller(),
            ProcessFault::StartController => self.start_controller()?,
        }
        Ok(())
    }

    fn record(&mut self, event: ObservedEvent) {
        self.entries.push(EventRecord { at: self.clock.now(), event });
    }

    fn kill_proxy(&mut self, position: usize) {
        let proxy = position as u32;
        self.record(ObservedEvent::ProxyKilled { proxy });
        self.proxies.kill(position);
        // What it sent in its last moment is seen a little later: this incarnation ends here.
        self.record(ObservedEvent::ProxyKilled { proxy });
    }

    /// Seen from outside, a suspension begins and ends in the process's favour: it is recorded as a little
    /// longer than it is.
    fn suspend_proxy(&mut self, position: usize) {
        self.record(ObservedEvent::ProxyPaused { proxy: position as u32 });
        self.proxies.signal(position, Signal::STOP);
    }

    fn resume_proxy(&mut self, position: usize) {
        self.proxies.signal(position, Signal::CONT);
        self.record(ObservedEvent::ProxyResumed { proxy: position as u32 });
    }

    fn kill_controller(&mut self) {
        if let Some(controller) = &mut self.controller {
            controller.kill();
        }
    }

    fn start_controller(&mut self) -> Result<(), ScenarioRunError> {
        match &mut self.controller {
            Some(controller) => controller.spawn().map_err(ScenarioRunError::io("controller")),
            None => Ok(()),
        }
    }
}

fn describe(fault: ProcessFault) -> String {
    match fault {
        ProcessFault::KillProxy(position) => format!("proxy {position} is killed"),
        ProcessFault::StartProxy(position) => format!("proxy {position} is started again"),
        ProcessFault::SuspendProxy(position) => format!("proxy {position} is stopped"),
        ProcessFault::ResumeProxy(position) => format!("proxy {position} goes on"),
        ProcessFault::DuplicateProxy(position) => format!("a second process starts as proxy {position}"),
        ProcessFault::TakeOverProxy(position) => format!("proxy {position} is taken over"),
        ProcessFault::KillController => "the controller is killed".to_owned(),
        ProcessFault::StartController => "the controller is started again".to_owned(),
    }
}

fn describe_counts(progress: &Progress) -> String {
    format!(
        "{} requests, {} served in time, tries refused {}, failed {}",
        progress.requests.load(Ordering::Relaxed),
        progress.in_time.load(Ordering::Relaxed),
        progress.rejected.load(Ordering::Relaxed),
        progress.failed.load(Ordering::Relaxed)
    )
}

/// A line of the progress: the moment of the scenario, and what happened.
fn line_at(now: u64, message: &str) -> String {
    format!("{:6.1} s {message}", now.saturating_sub(STARTUP_SPAN) as f64 / 1e6)
}
