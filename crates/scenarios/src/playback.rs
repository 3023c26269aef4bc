//! Injects process faults when they are due while a scenario runs, and reports its progress.

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

/// Interval at which due faults and new messages are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two progress lines with the clients' counters, in microseconds.
const PROGRESS_INTERVAL: u64 = 5_000_000;

impl Session {
    /// Injects the process faults until the clients have finished; returns the records of these faults.
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
                on_progress(&progress_line(now, &describe_fault(due.fault)));
                injector.inject(due.fault)?;
            }
            while let Ok(message) = site_messages.try_recv() {
                on_progress(&progress_line(now, &message));
            }
            if now >= last_report + PROGRESS_INTERVAL {
                last_report = now;
                on_progress(&progress_line(now, &describe_counts(progress)));
            }
            if clients.is_finished() {
                return Ok(injector.entries);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Injects faults into processes and records those that the invariant checks must know about.
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
        // The data that the process sent just before its end is seen slightly later, so the end of this
        // incarnation is recorded a second time, after the kill.
        self.record(ObservedEvent::ProxyKilled { proxy });
    }

    /// The pause is recorded before the process is stopped, and its end after the process has continued: the
    /// recorded pause is slightly longer than the real one, so that the inexact times favour the process.
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
            Some(controller) => controller.spawn().map_err(ScenarioRunError::io("restarting the controller")),
            None => Ok(()),
        }
    }
}

fn describe_fault(fault: ProcessFault) -> String {
    match fault {
        ProcessFault::KillProxy(position) => format!("proxy {position} is killed"),
        ProcessFault::StartProxy(position) => format!("proxy {position} is restarted"),
        ProcessFault::SuspendProxy(position) => format!("proxy {position} is suspended"),
        ProcessFault::ResumeProxy(position) => format!("proxy {position} is resumed"),
        ProcessFault::DuplicateProxy(position) => format!("a second process is started as proxy {position}"),
        ProcessFault::TakeOverProxy(position) => format!("a new process takes over from proxy {position}"),
        ProcessFault::KillController => "the controller is killed".to_owned(),
        ProcessFault::StartController => "the controller is restarted".to_owned(),
    }
}

fn describe_counts(progress: &Progress) -> String {
    format!(
        "{} requests, {} served in time; attempts: {} rejected, {} failed",
        progress.requests.load(Ordering::Relaxed),
        progress.in_time.load(Ordering::Relaxed),
        progress.rejected.load(Ordering::Relaxed),
        progress.failed.load(Ordering::Relaxed)
    )
}

/// Formats a progress line: the time since the first request, in seconds, and the message.
fn progress_line(now: u64, message: &str) -> String {
    format!("{:6.1} s {message}", now.saturating_sub(STARTUP_SPAN) as f64 / 1e6)
}
