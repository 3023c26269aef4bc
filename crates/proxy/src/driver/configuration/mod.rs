//! The subscription to a publisher's configuration: an HTTP watch that streams JSON lines, and reports on the
//! versions that were applied or rejected. `violetseam-distribution` decides what a message means; this
//! module performs the input and output for it.
//!
//! A request in flight keeps its class when the routes change, because its route is looked up only once, when
//! its head is read.
//!
//! - `updates.rs`: the publisher's messages and their effects
//! - `reports.rs`: acknowledgements and rejections
//! - `exchange.rs`: the HTTP exchanges for watches and reports
//! - `storage.rs`: whether this process or one that takes over has the store
//! - `store/`: the last valid configuration on disk

mod exchange;
mod reports;
mod storage;
mod store;
mod updates;

use super::Proxy;
use super::timers::TimerKind;
use crate::distributed_routes::DistributedRoutes;
use exchange::{Exchange, ExchangeId, ExchangePurpose};
use reports::ReportQueue;
use std::net::SocketAddr;
use storage::Storage;
use violetseam::interface::Micros;
use violetseam_distribution::subscriber::Subscriber;
use violetseam_distribution::{Subscribe, Version};
use violetseam_operator_commands::daemon_state::{ConfigurationState, ConfigurationVersion, RejectedVersion};
use violetseam_settings::RouteTable;

/// The path on which the publisher serves watches.
const WATCH_PATH: &str = "/v1/configuration/watch";

/// The subscription of one proxy to its publisher.
pub(super) struct Subscription {
    publisher: SocketAddr,
    subscriber: Subscriber,
    routes: DistributedRoutes,
    storage: Storage,
    watch: Option<Exchange>,
    report: Option<Exchange>,
    reports: ReportQueue,
    /// When the subscription's timer fires; `None` if no timer is set.
    timer_due_at: Option<Micros>,
}

impl Subscription {
    /// Returns the distributed routes in force, or `None` before the first configuration was received.
    pub(super) fn table(&self) -> Option<&RouteTable> {
        self.routes.table()
    }

    fn exchange_slot(&mut self, purpose: ExchangePurpose) -> &mut Option<Exchange> {
        match purpose {
            ExchangePurpose::Watch => &mut self.watch,
            ExchangePurpose::Report => &mut self.report,
        }
    }

    fn exchange_by_id(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.exchange_slot(id.purpose).as_mut().filter(|exchange| exchange.id == id)
    }

    fn state(&self, now: Micros) -> ConfigurationState {
        let status = self.subscriber.status(now);
        let rejected = status.rejected.map(|rejection| RejectedVersion {
            version: to_version_state(rejection.version),
            reason: rejection.reason,
        });
        ConfigurationState {
            version: status.version.map(to_version_state),
            routes: self.table().map_or(0, |table| table.len() as u64),
            age_us: status.age,
            watching: status.watching,
            rejected,
        }
    }
}

fn to_version_state(version: Version) -> ConfigurationVersion {
    ConfigurationVersion { term: version.term.0, number: version.number }
}

impl Proxy {
    /// Opens the subscription if the settings name a publisher, and applies the stored configuration. This
    /// happens before the first client is accepted, so that no request is routed by the routes of the
    /// settings before the stored ones are in force.
    pub(super) fn open_subscription(&mut self, takes_over: bool) -> std::io::Result<()> {
        let settings = self.settings.clone();
        let (Some(publisher), Some(folder)) = (settings.publisher, settings.state_dir.clone()) else {
            return Ok(());
        };
        let position = settings.decisions.position;
        let (storage, stored) = Storage::open(folder, position, takes_over).map_err(std::io::Error::other)?;
        let mut routes = DistributedRoutes::new(&settings.class_names);
        let usable_configuration = stored.filter(|configuration| storage::is_usable(&routes, configuration));
        if let Some(configuration) = &usable_configuration {
            routes.replace(configuration);
        }
        let now = self.now();
        let seed = self.random_u64();
        let name = format!("{}-{position}", settings.fleet_name);
        self.subscription = Some(Box::new(Subscription {
            publisher,
            subscriber: Subscriber::new(now, &name, seed, usable_configuration),
            routes,
            storage,
            watch: None,
            report: None,
            reports: ReportQueue::default(),
            timer_due_at: None,
        }));
        self.run_subscription();
        Ok(())
    }

    /// Performs the subscription's work that is due: connects to the publisher, closes a watch on which
    /// nothing is received, and sends reports.
    pub(super) fn run_subscription(&mut self) {
        if self.has_handed_over() || self.lifecycle.is_shutting_down() {
            return;
        }
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.timer_due_at.is_some_and(|due_at| due_at <= now) {
            subscription.timer_due_at = None;
        }
        let effects = subscription.subscriber.on_tick(now);
        self.apply_effects(effects);
        let request = self.subscription.as_mut().and_then(|subscription| subscription.subscriber.call(now));
        if let Some(request) = request {
            self.open_configuration_watch(&request);
        }
        self.send_next_report();
        self.set_subscription_timer();
    }

    /// Closes the exchanges after a hand-over. The new process has a subscription of its own, which starts
    /// from the stored configuration.
    pub(super) fn end_subscription(&mut self) {
        self.close_exchange(ExchangePurpose::Watch);
        self.close_exchange(ExchangePurpose::Report);
    }

    /// Returns the state of the subscription, or `None` if the settings name no publisher.
    pub(super) fn configuration_state(&self) -> Option<ConfigurationState> {
        self.subscription.as_ref().map(|subscription| subscription.state(self.now()))
    }

    fn set_subscription_timer(&mut self) {
        let Some(subscription) = &mut self.subscription else { return };
        let deadline = subscription.subscriber.deadline();
        if subscription.timer_due_at.is_none_or(|due_at| due_at > deadline) {
            subscription.timer_due_at = Some(deadline);
            self.timers.set(deadline, TimerKind::Configuration);
        }
    }

    fn open_configuration_watch(&mut self, request: &Subscribe) {
        let path = format!("{WATCH_PATH}?{}", request.to_query());
        if self.start_exchange(ExchangePurpose::Watch, &path, &[]).is_none() {
            self.on_watch_closed();
        }
    }

    fn on_watch_closed(&mut self) {
        let now = self.now();
        if let Some(subscription) = &mut self.subscription {
            subscription.subscriber.on_watch_closed(now);
        }
    }
}
