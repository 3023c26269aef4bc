//! The subscription to a publisher's configuration: an HTTP watch of JSON lines, and reports of what was
//! applied or rejected. What a message means is decided in `violetseam-distribution`; this is its driver.
//!
//! Requests in flight keep the class that they began with: a route is looked up once, when the head is read.
//!
//! - `updates.rs`: what the publisher sends, and its effects
//! - `reports.rs`: acknowledgements and rejections
//! - `exchange.rs`: the HTTP exchanges for both
//! - `storage.rs`: who has the store, this process or one that takes over
//! - `store/`: the last good configuration on disk

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

/// Where the publisher opens watches.
const WATCH_PATH: &str = "/v1/configuration/watch";

/// The subscription of one proxy.
pub(super) struct Subscription {
    publisher: SocketAddr,
    subscriber: Subscriber,
    routes: DistributedRoutes,
    storage: Storage,
    watch: Option<Exchange>,
    report: Option<Exchange>,
    reports: ReportQueue,
    /// When the subscription's timer is set for.
    armed_at: Option<Micros>,
}

impl Subscription {
    /// The distributed routes in force; none before the first configuration.
    pub(super) fn table(&self) -> Option<&RouteTable> {
        self.routes.table()
    }

    fn exchange(&mut self, purpose: ExchangePurpose) -> &mut Option<Exchange> {
        match purpose {
            ExchangePurpose::Watch => &mut self.watch,
            ExchangePurpose::Report => &mut self.report,
        }
    }

    fn open_exchange(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.exchange(id.purpose).as_mut().filter(|exchange| exchange.id == id)
    }

    fn state(&self, now: Micros) -> ConfigurationState {
        let status = self.subscriber.status(now);
        let rejected = status.rejected.map(|rejection| RejectedVersion {
            version: version_state(rejection.version),
            reason: rejection.reason,
        });
        ConfigurationState {
            version: status.version.map(version_state),
            routes: self.table().map_or(0, |table| table.len() as u64),
            age_us: status.age,
            watching: status.watching,
            rejected,
        }
    }
}

fn version_state(version: Version) -> ConfigurationVersion {
    ConfigurationVersion { term: version.term.0, number: version.number }
}

impl Proxy {
    /// Begins with the configuration that was stored, where the settings name a publisher. Before the first
    /// client is accepted, so that no request meets the routes of the settings in between.
    pub(super) fn open_subscription(&mut self, takes_over: bool) -> std::io::Result<()> {
        let settings = self.settings.clone();
        let (Some(publisher), Some(folder)) = (settings.publisher, settings.state_dir.clone()) else {
            return Ok(());
        };
        let position = settings.decisions.position;
        let (storage, stored) = Storage::open(folder, position, takes_over).map_err(std::io::Error::other)?;
        let mut routes = DistributedRoutes::new(&settings.class_names);
        let usable = stored.filter(|configuration| storage::is_usable(&routes, configuration));
        if let Some(configuration) = &usable {
            routes.replace(configuration);
        }
        let now = self.now();
        let seed = self.random_u64();
        let name = format!("{}-{position}", settings.fleet_name);
        self.subscription = Some(Box::new(Subscription {
            publisher,
            subscriber: Subscriber::new(now, &name, seed, usable),
            routes,
            storage,
            watch: None,
            report: None,
            reports: ReportQueue::default(),
            armed_at: None,
        }));
        self.run_subscription();
        Ok(())
    }

    /// Does what is due of the subscription: calls, closes a silent watch, sends reports.
    pub(super) fn run_subscription(&mut self) {
        if self.has_handed_over() || self.lifecycle.is_shutting_down() {
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
    pub(super) fn end_subscription(&mut self) {
        self.close_exchange(ExchangePurpose::Watch);
        self.close_exchange(ExchangePurpose::Report);
    }

    /// The state of the subscription; none where the settings name no publisher.
    pub(super) fn configuration_state(&self) -> Option<ConfigurationState> {
        self.subscription.as_ref().map(|subscription| subscription.state(self.now()))
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
