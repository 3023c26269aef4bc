//! The subscription to a publisher's configuration: an HTTP watch of JSON lines, and reports of what was
//! taken or refused. What a message means is decided in `violetseam-distribution`; this is its driver.
//!
//! Requests in flight keep the class that they began with: a route is looked up once, when the head is read.

mod exchange;

use super::Proxy;
use super::configuration_store::{self, ConfigurationStore};
use super::timers::TimerKind;
use crate::distributed_routes::DistributedRoutes;
use exchange::{CallPurpose, Exchange};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_distribution::subscriber::{Effect, InvalidProposal, Subscriber};
use violetseam_distribution::{Message, Report, Subscribe, Version};
use violetseam_operator_commands::daemon_state::{ConfigurationState, ConfigurationVersion, RejectedVersion};
use violetseam_settings::RouteTable;

/// Opens a watch.
const WATCH_PATH: &str = "/v1/configuration/watch";
/// Takes acknowledgements and refusals.
const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// A report that takes longer has failed.
const REPORT_TIMEOUT: Micros = 3_000_000;
/// A report that failed is sent again after this.
const REPORT_RETRY_DELAY: Micros = 1_000_000;
/// How long a process that takes over waits for the one before to release the store.
const TAKEOVER_STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two attempts to open a store that could not be opened again.
const STORE_REOPEN_INTERVAL: Micros = 1_000_000;

/// The subscription of one proxy.
pub(super) struct Subscription {
    publisher: SocketAddr,
    subscriber: Subscriber,
    routes: DistributedRoutes,
    folder: PathBuf,
    position: usize,
    /// None while a process that takes over has it, and after it could not be opened again.
    store: Option<ConfigurationStore>,
    reopen_at: Micros,
    watch: Option<Exchange>,
    report: Option<Exchange>,
    /// The latest report of each kind that has still to be sent: acknowledgement and refusal.
    acknowledgement: Option<Report>,
    refusal: Option<Report>,
    /// What the open exchange reports, to be sent again if that fails.
    report_in_flight: Option<Report>,
    /// No report is sent before.
    report_at: Micros,
    /// When the subscription's timer is set for.
    armed_at: Option<Micros>,
}

impl Subscription {
    /// The distributed routes in force; none before the first configuration.
    pub(super) fn table(&self) -> Option<&RouteTable> {
        self.routes.table()
    }

    fn exchange(&mut self, purpose: CallPurpose) -> &mut Option<Exchange> {
        match purpose {
            CallPurpose::Watch => &mut self.watch,
            CallPurpose::Report => &mut self.report,
        }
    }

    fn open_exchange(&mut self, purpose: CallPurpose, generation: u64) -> Option<&mut Exchange> {
        self.exchange(purpose).as_mut().filter(|exchange| exchange.generation == generation)
    }

    /// Keeps the latest report of each kind.
    fn queue_report(&mut self, report: Report) {
        match report {
            Report::Acknowledge { .. } => self.acknowledgement = Some(report),
            Report::Reject { .. } => self.refusal = Some(report),
        }
    }

    /// A report that was not received is sent again, unless a newer one has taken its place.
    fn requeue_report(&mut self, report: Report) {
        let waiting = match report {
            Report::Acknowledge { .. } => &mut self.acknowledgement,
            Report::Reject { .. } => &mut self.refusal,
        };
        waiting.get_or_insert(report);
    }

    fn next_report(&mut self) -> Option<Report> {
        self.acknowledgement.take().or_else(|| self.refusal.take())
    }

    fn reading(&self, now: Micros) -> ConfigurationState {
        let status = self.subscriber.status(now);
        let rejected = status.rejected.map(|rejection| RejectedVersion {
            version: version_reading(rejection.version),
            reason: rejection.reason,
        });
        ConfigurationState {
            version: status.version.map(version_reading),
            routes: self.table().map_or(0, |table| table.len() as u64),
            age_us: status.age,
            watching: status.watching,
            rejected,
        }
    }
}

fn version_reading(version: Version) -> ConfigurationVersion {
    ConfigurationVersion { term: version.term.0, number: version.number }
}

impl Proxy {
    /// Begins with the configuration that was stored, where the settings name a publisher. Before the first
    /// client is taken, so that no request meets the routes of the settings in between.
    pub(super) fn open_subscription(&mut self, takes_over: bool) -> std::io::Result<()> {
        let settings = self.settings.clone();
        let (Some(publisher), Some(folder)) = (settings.publisher, settings.state_dir.clone()) else {
            return Ok(());
        };
        let position = settings.decisions.position;
        let wait = if takes_over { TAKEOVER_STORE_TIMEOUT } else { Duration::ZERO };
        let (store, stored) =
            configuration_store::open(&folder, position, wait).map_err(std::io::Error::other)?;
        let mut routes = DistributedRoutes::new(&settings.class_names);
        let sound = stored.filter(|configuration| is_usable(&routes, configuration));
        if let Some(configuration) = &sound {
            routes.replace(configuration);
        }
        let now = self.now();
        let seed = self.draw();
        let name = format!("{}-{position}", settings.name);
        self.subscription = Some(Box::new(Subscription {
            publisher,
            subscriber: Subscriber::new(now, &name, seed, sound),
            routes,
            folder,
            position,
            store: Some(store),
            reopen_at: 0,
            watch: None,
            report: None,
            acknowledgement: None,
            refusal: None,
            report_in_flight: None,
            report_at: 0,
            armed_at: None,
        }));
        self.run_subscription();
        Ok(())
    }

    /// Does what is due of the subscription: calls, closes a silent watch, sends reports.
    pub(super) fn run_subscription(&mut self) {
        if self.handed_over || self.ending {
            return;
        }
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.armed_at.is_some_and(|at| at <= now) {
            subscription.armed_at = None;
        }
        let effects = subscription.subscriber.on_tick(now);
        self.apply_effects(effects);
        let call = self.subscription.as_mut().and_then(|subscription| subscription.subscriber.call(now));
        if let Some(call) = call {
            self.open_configuration_watch(&call);
        }
        self.send_next_report();
        self.arm_subscription();
    }

    /// The subscription is the successor's now: it begins with what was stored and what it receives.
    pub(super) fn leave_publisher(&mut self) {
        self.close_exchange(CallPurpose::Watch);
        self.close_exchange(CallPurpose::Report);
    }

    /// Releases the stored configuration to a process that takes over.
    pub(super) fn release_configuration(&mut self) {
        if let Some(subscription) = &mut self.subscription {
            subscription.store = None;
        }
    }

    /// Writes what waits for the disk, at the process's end.
    pub(super) fn finish_configuration(&mut self) {
        let store = self.subscription.as_mut().and_then(|subscription| subscription.store.take());
        if let Some(store) = store {
            store.finish();
        }
    }

    /// Gives the store what it missed, and opens it again after a take-over that failed.
    pub(super) fn store_upkeep(&mut self) {
        if self.is_handing_over() || self.handed_over {
            return;
        }
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        let is_behind = match &subscription.store {
            Some(store) => store.take_is_behind(),
            None if subscription.reopen_at > now => false,
            None => {
                subscription.reopen_at = now + STORE_REOPEN_INTERVAL;
                match configuration_store::open(&subscription.folder, subscription.position, Duration::ZERO) {
                    Ok((store, _)) => subscription.store = Some(store),
                    Err(error) => tracing::warn!("the configuration is not stored: {error}"),
                }
                subscription.store.is_some()
            }
        };
        let configuration = subscription.subscriber.configuration().filter(|_| is_behind);
        if let (Some(store), Some(configuration)) = (&mut subscription.store, configuration) {
            store.replace(configuration);
        }
    }

    /// The state of the subscription; none where the settings name no publisher.
    pub(super) fn configuration_reading(&self) -> Option<ConfigurationState> {
        self.subscription.as_ref().map(|subscription| subscription.reading(self.now()))
    }

    fn arm_subscription(&mut self) {
        let Some(subscription) = &mut self.subscription else { return };
        let due = subscription.subscriber.deadline();
        if subscription.armed_at.is_none_or(|at| at > due) {
            subscription.armed_at = Some(due);
            self.timers.set(due, TimerKind::Configuration);
        }
    }

    fn open_configuration_watch(&mut self, call: &Subscribe) {
        let path = format!("{WATCH_PATH}?{}", call.to_query());
        if !self.exchange_with_publisher(CallPurpose::Watch, "GET", &path, &[]) {
            self.watch_closed();
        }
    }

    /// Sends the next report, one at a time.
    fn send_next_report(&mut self) {
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.report.is_some() || subscription.report_at > now {
            return;
        }
        let Some(report) = subscription.next_report() else { return };
        let body = report.write();
        subscription.report_in_flight = Some(report);
        if self.exchange_with_publisher(CallPurpose::Report, "POST", ACKNOWLEDGE_PATH, &body) {
            let generation = self.generation;
            self.timers.set(now + REPORT_TIMEOUT, TimerKind::ConfigurationReport(generation));
        } else {
            self.report_failed();
        }
    }

    fn publisher_lines(&mut self, generation: u64) {
        let now = self.now();
        while let Some(subscription) = &mut self.subscription {
            let Some(exchange) = subscription.open_exchange(CallPurpose::Watch, generation) else { return };
            let line = match exchange.lines.next_line() {
                Ok(None) => return,
                Ok(Some([])) => continue,
                Ok(Some(line)) => Message::parse(line),
                Err(_) => return self.exchange_ended(CallPurpose::Watch),
            };
            let Subscription { subscriber, routes, .. } = &mut **subscription;
            let effects = match line {
                Ok(message) => subscriber.on_message(now, message, &mut |proposal| {
                    routes.check(proposal).map_err(InvalidProposal::new)
                }),
                Err(error) => {
                    tracing::warn!("publisher: {error}");
                    subscriber.on_malformed(now, &error)
                }
            };
            self.apply_effects(effects);
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Apply { version, changes } => self.apply_changes(version, changes),
                Effect::Replace { version } => self.replace_configuration(version),
                Effect::Report(report) => {
                    self.log_refusal(&report);
                    if let Some(subscription) = &mut self.subscription {
                        subscription.queue_report(report);
                    }
                }
                Effect::CloseWatch => self.close_exchange(CallPurpose::Watch),
            }
        }
    }

    fn apply_changes(&mut self, version: Version, changes: Vec<violetseam_distribution::Change>) {
        let Some(subscription) = &mut self.subscription else { return };
        tracing::debug!(target: "configuration", %version, changes = changes.len(), "in force");
        subscription.routes.apply(&changes);
        if let (Some(store), Some(configuration)) =
            (&mut subscription.store, subscription.subscriber.configuration())
        {
            store.apply(configuration, changes);
        }
    }

    fn replace_configuration(&mut self, version: Version) {
        let Some(subscription) = &mut self.subscription else { return };
        let Some(configuration) = subscription.subscriber.configuration() else { return };
        tracing::info!(target: "configuration", %version, resources = configuration.len(), "snapshot in force");
        subscription.routes.replace(configuration);
        if let Some(store) = &mut subscription.store {
            store.replace(configuration);
        }
    }

    fn log_refusal(&mut self, report: &Report) {
        let now = self.now();
        if let Report::Reject { version, reason, .. } = report
            && self.log_limit.allows(now)
        {
            tracing::warn!(target: "configuration", %version, "refused: {reason}");
        }
    }

    fn watch_closed(&mut self) {
        let now = self.now();
        if let Some(subscription) = &mut self.subscription {
            subscription.subscriber.on_watch_closed(now);
        }
    }

    /// Nothing failed where the report was received.
    fn report_failed(&mut self) {
        let retry_at = self.now() + REPORT_RETRY_DELAY;
        let Some(subscription) = &mut self.subscription else { return };
        if let Some(report) = subscription.report_in_flight.take() {
            subscription.requeue_report(report);
            subscription.report_at = retry_at;
            self.timers.set(retry_at, TimerKind::Configuration);
        }
    }

    /// A report has had its time.
    pub(super) fn report_timeout(&mut self, generation: u64) {
        let subscription = self.subscription.as_mut();
        if subscription.is_some_and(|s| s.open_exchange(CallPurpose::Report, generation).is_some()) {
            self.exchange_ended(CallPurpose::Report);
        }
        self.run_subscription();
    }
}

/// Whether a stored configuration can be in force with these settings, which may have changed since.
fn is_usable(routes: &DistributedRoutes, configuration: &violetseam_distribution::Configuration) -> bool {
    let checked = routes.check(violetseam_distribution::subscriber::Proposal::Replacement(configuration));
    if let Err(error) = &checked {
        tracing::warn!(version = %configuration.version(), "the stored configuration is not used: {error}");
    }
    checked.is_ok()
}
