//! A proxy's start, and the turns of its event loop.

#[cfg(feature = "sabotage")]
use super::Sabotage;
use super::drain::Lifecycle;
use super::operators::Operators;
use super::takeover::Inherited;
use super::{Options, Proxy, Summary, fresh_seed};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::io::Error;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use violetseam::interface::{ListKind, Micros};
use violetseam_fleet_state::fleet_quotas::FleetQuotas;
use violetseam_settings::ProxySettings;

/// How often a proxy checks whether it is to stop, where no signal stops it.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Binds all sockets and runs until it is stopped; SIGTERM and SIGINT drain first. `ready` is given the
/// addresses that clients can connect to.
///
/// # Errors
///
/// If a socket cannot be bound, stored data cannot be opened, or the event loop fails.
pub fn serve(
    settings: ProxySettings,
    options: Options,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    serve_operated(settings, options, None, None, ready)
}

/// The same with a control socket for operators, and as the successor of a process that hands over.
///
/// # Errors
///
/// As [`serve`], and if the control sockets cannot be opened or the other process does not hand over in the
/// end.
pub fn serve_operated(
    settings: ProxySettings,
    options: Options,
    operators: Option<Operators>,
    inherited: Option<Inherited>,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    let mut event_loop: EventLoop<'static, Proxy> = EventLoop::try_new().map_err(Error::other)?;
    // Before any thread is started: one that did not block the signals would take them, and the process
    // would end with all its requests. Seen with the flight recorder's thread.
    let signals = block_signals(operators.is_some())?;
    let takes_over = inherited.is_some();
    let mut proxy = Proxy::new(settings, &options, event_loop.handle(), inherited.as_ref())?;
    proxy.open_subscription(takes_over)?;
    proxy.receive_signals(signals)?;
    proxy.open_sockets(operators, inherited)?;
    proxy.join_budgets();
    let addresses: Vec<SocketAddr> = proxy.client_addresses();
    ready(&addresses);
    let stop_at = options.stop_after.map(|span| Instant::now() + span);
    if takes_over {
        proxy.resume_after_takeover();
    } else {
        proxy.begin();
    }
    while !proxy.lifecycle.has_stopped() {
        proxy.run_turn(&mut event_loop, &options, stop_at)?;
    }
    Ok(proxy.finish())
}

fn block_signals(is_operated: bool) -> std::io::Result<Signals> {
    let mut signals = vec![Signal::SIGTERM, Signal::SIGINT];
    if is_operated {
        signals.push(Signal::SIGHUP);
    }
    Signals::new(&signals).map_err(Error::other)
}

impl Proxy {
    /// The addresses that clients can connect to.
    fn client_addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|open| open.socket().local_addr().ok()).collect()
    }

    fn receive_signals(&mut self, signals: Signals) -> std::io::Result<()> {
        self.handle
            .insert_source(signals, |event, (), proxy| match event.signal() {
                Signal::SIGHUP => proxy.reload_on_signal(),
                _ => proxy.shut_down(),
            })
            .map_err(|error| Error::other(error.to_string()))?;
        Ok(())
    }

    /// Opens the sockets, or takes those of the process that hands over.
    fn open_sockets(
        &mut self,
        operators: Option<Operators>,
        mut inherited: Option<Inherited>,
    ) -> std::io::Result<()> {
        if let Some(operators) = operators {
            let control_listener = inherited.as_mut().and_then(Inherited::take_control_listener);
            self.open_control(operators, control_listener)?;
        }
        let Some(inherited) = inherited else {
            self.bind_listeners()?;
            self.bind_peers()?;
            return self.publish_control();
        };
        self.adopt(inherited)?;
        // From here on nobody else serves: what fails now is tried again while this process serves.
        if let Err(error) = self.publish_control() {
            tracing::error!("the control socket cannot be moved to its path: {error}");
        }
        Ok(())
    }

    /// First events: the list as saved before a restart, which may be stale, then the release service is
    /// called.
    fn begin(&mut self) {
        let now = self.now();
        let saved = self.load_saved_list();
        let entries = saved.map(|message| self.server_list.restore(now, &message)).unwrap_or_default();
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        self.restore_pause();
        self.open_release_stream();
        self.next_upkeep(now);
        self.run_engine_actions();
    }

    fn run_turn(
        &mut self,
        event_loop: &mut EventLoop<'static, Proxy>,
        options: &Options,
        stop_at: Option<Instant>,
    ) -> std::io::Result<()> {
        let timeout = self.poll_timeout(options, stop_at);
        self.had_socket_events = false;
        let before = self.now();
        event_loop.dispatch(timeout, self).map_err(Error::other)?;
        // A wait that ended with nothing has polled the sockets at its end.
        let polled_at = if self.had_socket_events { before } else { self.now() };
        self.run_due(polled_at);
        Ok(())
    }

    /// How long the next poll may wait for events. Starts the shutdown where the options say so.
    fn poll_timeout(&mut self, options: &Options, stop_at: Option<Instant>) -> Duration {
        let mut timeout = self.timers.poll_timeout(self.now(), self.engine.next_deadline());
        if let Some(at) = stop_at {
            timeout = timeout.min(at.saturating_duration_since(Instant::now()));
            if at <= Instant::now() {
                self.shut_down();
            }
        }
        if let Some(stop) = &options.stop {
            timeout = timeout.min(STOP_POLL_INTERVAL);
            if stop.load(Ordering::Relaxed) {
                self.shut_down();
            }
        }
        timeout
    }

    /// Runs what was due when the sockets were last polled: an answer that had come by then has been read.
    fn run_due(&mut self, polled_at: Micros) {
        let now = self.now();
        self.engine.run_deadlines_until(now, polled_at);
        self.run_engine_actions();
        self.run_timers(polled_at);
        self.run_engine_actions();
        if self.lifecycle.is_shutting_down() && self.has_ended() {
            self.lifecycle = Lifecycle::Stopped;
        }
    }

    /// Joins the fleet's budgets as a new incarnation: nothing of a process before this one is spent or lent.
    fn join_budgets(&mut self) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::Spendthrift) {
            return;
        }
        let Some(plan) = self.settings.budgets.clone() else { return };
        let now = self.now();
        // Of the moment and the process whatever the seed, as no two incarnations of a position may be alike.
        let seed = fresh_seed();
        let incarnation = (seed ^ (seed >> 32)) as u32;
        self.engine.set_budgets(now, FleetQuotas::new(now, plan, incarnation));
        self.run_engine_actions();
    }
}
