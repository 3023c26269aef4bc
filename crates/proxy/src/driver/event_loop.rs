//! The start of a proxy, and the iterations of its event loop.

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

/// How often a proxy checks [`Options::stop`], which does not wake the event loop as a signal does.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Binds all sockets and serves until the proxy is stopped. SIGTERM and SIGINT start a drain, after which the
/// proxy stops. `ready` is called with the addresses that clients can connect to.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound, if stored data cannot be opened, or if the event loop fails.
pub fn serve(
    settings: ProxySettings,
    options: Options,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    serve_with_operators(settings, options, None, None, ready)
}

/// Serves like [`serve`], with control sockets for `operators` if they are given. If `inherited` is given,
/// the proxy takes the place of the process that hands over to it.
///
/// # Errors
///
/// Returns an error in the cases of [`serve`], if the control sockets cannot be opened, or if the old process
/// does not complete the hand-over.
pub fn serve_with_operators(
    settings: ProxySettings,
    options: Options,
    operators: Option<Operators>,
    inherited: Option<Inherited>,
    ready: impl FnOnce(&[SocketAddr]),
) -> std::io::Result<Summary> {
    let mut event_loop: EventLoop<'static, Proxy> = EventLoop::try_new().map_err(Error::other)?;
    // The signals must be blocked before any thread is started: a thread that does not block them would
    // receive them, and the process would end with all its requests. The flight recorder's thread did this.
    let signals = block_signals(operators.is_some())?;
    let takes_over = inherited.is_some();
    let mut proxy = Proxy::new(settings, &options, event_loop.handle(), inherited.as_ref())?;
    proxy.open_subscription(takes_over)?;
    proxy.receive_signals(signals)?;
    proxy.open_sockets(operators, inherited)?;
    proxy.join_fleet_quotas();
    let addresses: Vec<SocketAddr> = proxy.client_addresses();
    ready(&addresses);
    let stop_at = options.stop_after.map(|span| Instant::now() + span);
    if takes_over {
        proxy.resume_after_takeover();
    } else {
        proxy.start_serving();
    }
    while !proxy.lifecycle.has_stopped() {
        proxy.run_iteration(&mut event_loop, &options, stop_at)?;
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
    /// Returns the addresses that clients can connect to.
    fn client_addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|listener| listener.socket().local_addr().ok()).collect()
    }

    fn receive_signals(&mut self, signals: Signals) -> std::io::Result<()> {
        self.loop_handle
            .insert_source(signals, |event, (), proxy| match event.signal() {
                Signal::SIGHUP => proxy.reload_on_signal(),
                _ => proxy.shut_down(),
            })
            .map_err(|error| Error::other(error.to_string()))?;
        Ok(())
    }

    /// Opens the sockets, or takes over those of the old process.
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
            self.bind_peer_socket()?;
            return self.publish_control();
        };
        self.complete_takeover(inherited)?;
        // From here on this is the only process that serves, so it must not end because of this error.
        // Publishing the control socket is tried again while it serves.
        if let Err(error) = self.publish_control() {
            tracing::error!("the control socket cannot be moved to its path: {error}");
        }
        Ok(())
    }

    /// Starts to serve: passes the server list that was saved before a restart to the engine as a cached
    /// list, which may be out of date, and opens the stream from the release service.
    fn start_serving(&mut self) {
        let now = self.now();
        let saved = self.load_saved_server_list();
        let entries = saved.map(|list| self.server_list.restore(now, &list)).unwrap_or_default();
        self.engine.on_server_list(now, ListKind::Cached, &entries);
        self.restore_pause();
        self.open_release_stream();
        self.schedule_maintenance(now);
        self.run_engine_actions();
    }

    fn run_iteration(
        &mut self,
        event_loop: &mut EventLoop<'static, Proxy>,
        options: &Options,
        stop_at: Option<Instant>,
    ) -> std::io::Result<()> {
        let timeout = self.poll_timeout(options, stop_at);
        self.had_socket_events = false;
        self.turn += 1;
        let poll_started_at = self.now();
        event_loop.dispatch(timeout, self).map_err(Error::other)?;
        // If no socket was ready, the sockets were last polled when the wait ended. Otherwise it is only
        // certain that they were polled after the wait began.
        let polled_at = if self.had_socket_events { poll_started_at } else { self.now() };
        self.resume_clients_of_last_turn();
        self.run_due_deadlines_and_timers(polled_at);
        Ok(())
    }

    /// Returns how long the next poll may wait for events. Starts the shutdown if `options` or `stop_at`
    /// require it.
    fn poll_timeout(&mut self, options: &Options, stop_at: Option<Instant>) -> Duration {
        let mut timeout = self.timers.poll_timeout(self.now(), self.engine.next_deadline());
        if let Some(at) = stop_at {
            timeout = timeout.min(at.saturating_duration_since(Instant::now()));
            if at <= Instant::now() {
                self.shut_down();
            }
        }
        if let Some(stop_flag) = &options.stop {
            timeout = timeout.min(STOP_POLL_INTERVAL);
            if stop_flag.load(Ordering::Relaxed) {
                self.shut_down();
            }
        }
        if self.clients_for_next_turn.is_empty() { timeout } else { Duration::ZERO }
    }

    /// Runs the deadlines and timers that were due when the sockets were last polled, at `polled_at`.
    /// Responses that had arrived by then have been read, so none of these time-outs overtakes a response.
    fn run_due_deadlines_and_timers(&mut self, polled_at: Micros) {
        let now = self.now();
        self.engine.run_deadlines_until(now, polled_at);
        self.run_engine_actions();
        self.run_timers(polled_at);
        self.run_engine_actions();
        if self.lifecycle.is_shutting_down() && self.is_drain_complete() {
            self.lifecycle = Lifecycle::Stopped;
        }
    }

    /// Joins the fleet's retry budgets as a new incarnation, which neither spends nor lends what an earlier
    /// process at this position held.
    fn join_fleet_quotas(&mut self) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::IgnoreBudgets) {
            return;
        }
        let Some(plan) = self.settings.retry_quotas.clone() else { return };
        let now = self.now();
        // The seed depends on the time and the process, not on the seed of the settings, because two
        // incarnations at the same position must never be equal.
        let seed = fresh_seed();
        let incarnation = (seed ^ (seed >> 32)) as u32;
        self.engine.set_budgets(now, FleetQuotas::new(now, plan, incarnation));
        self.run_engine_actions();
    }
}
