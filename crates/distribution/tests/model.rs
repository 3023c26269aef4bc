//! Random changes, faults and restarts. At any time, the configuration in force at a subscriber is exactly
//! the one that was published under its version, and its version never decreases. After the last fault, all
//! subscribers reach the publisher's configuration.

mod common;
mod simulation;

use common::{SECOND, UNKNOWN_CLASS};
use proptest::prelude::*;
use simulation::{Fault, PublisherInstance, Restart, Simulation};
use violetseam_distribution::message::MAX_RETRY_AFTER;
use violetseam_distribution::{Change, Resource, ResourceKey, RouteKey};

const SUBSCRIBERS: usize = 3;
/// The time within which all subscribers have the newest configuration after the last fault. A damaged
/// retry-after may state the longest wait that is valid.
const MAX_CONVERGENCE_TIME: u64 = MAX_RETRY_AFTER + 60 * SECOND;

#[derive(Clone, Debug)]
enum Step {
    Publish(PublisherInstance, Vec<Change>),
    ReplaceConfiguration(Vec<Resource>),
    Heartbeat,
    Deliver(usize, Fault),
    Advance(u64),
    Disconnect(usize),
    ConnectTo(usize, PublisherInstance),
    StoreConfiguration(usize),
    RestartSubscriber(usize, bool),
    RestartPublisher(Restart),
}

fn resource() -> impl Strategy<Value = Resource> {
    let class = prop_oneof![4 => Just("read"), 4 => Just("write"), 1 => Just(UNKNOWN_CLASS)];
    let route = (0..4u8, class).prop_map(|(n, class)| Resource::route(Some("GET"), &format!("/{n}"), class));
    let tenant = (0..4u8, 0..4u8).prop_map(|(n, quota)| Resource::tenant(&format!("t{n}"), quota.into()));
    prop_oneof![route, tenant]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => resource().prop_map(Change::Put),
        1 => resource().prop_map(|resource| Change::Remove(resource.key())),
    ]
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(change(), 1..4)
}

fn resources() -> impl Strategy<Value = Vec<Resource>> {
    prop::collection::vec(resource(), 0..6).prop_map(|resources| {
        let by_key = resources.into_iter().map(|resource| (resource.key(), resource));
        by_key.collect::<std::collections::BTreeMap<ResourceKey, Resource>>().into_values().collect()
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::Lost),
        1 => Just(Fault::Repeated),
        1 => Just(Fault::Reordered),
        1 => (0..2_000usize, any::<u8>()).prop_map(|(position, byte)| Fault::Damaged(position, byte)),
        1 => (0..2_000usize, b'0'..=b'9').prop_map(|(position, byte)| Fault::Damaged(position, byte)),
    ]
}

fn restart() -> impl Strategy<Value = Restart> {
    prop_oneof![Just(Restart::Intact), Just(Restart::LogLost), (1..4usize).prop_map(Restart::EndLost)]
}

fn publisher_instance() -> impl Strategy<Value = PublisherInstance> {
    prop_oneof![5 => Just(PublisherInstance::Current), 1 => Just(PublisherInstance::Replaced)]
}

fn step() -> impl Strategy<Value = Step> {
    let subscriber = 0..SUBSCRIBERS;
    prop_oneof![
        12 => (publisher_instance(), changes())
            .prop_map(|(instance, changes)| Step::Publish(instance, changes)),
        1 => resources().prop_map(Step::ReplaceConfiguration),
        3 => Just(Step::Heartbeat),
        40 => (subscriber.clone(), fault()).prop_map(|(index, fault)| Step::Deliver(index, fault)),
        10 => (0..3 * SECOND).prop_map(Step::Advance),
        1 => subscriber.clone().prop_map(Step::Disconnect),
        2 => (subscriber.clone(), publisher_instance())
            .prop_map(|(index, instance)| Step::ConnectTo(index, instance)),
        3 => subscriber.clone().prop_map(Step::StoreConfiguration),
        1 => (subscriber, any::<bool>())
            .prop_map(|(index, keeps_disk)| Step::RestartSubscriber(index, keeps_disk)),
        1 => restart().prop_map(Step::RestartPublisher),
    ]
}

fn apply_step(simulation: &mut Simulation, step: Step) {
    match step {
        Step::Publish(instance, changes) => simulation.publish(instance, changes),
        Step::ReplaceConfiguration(resources) => simulation.replace_configuration(resources),
        Step::Heartbeat => simulation.heartbeat(),
        Step::Deliver(index, fault) => simulation.deliver(index, &fault),
        Step::Advance(span) => simulation.advance(span),
        Step::Disconnect(index) => simulation.disconnect(index),
        Step::ConnectTo(index, instance) => simulation.connect_to(index, instance),
        Step::StoreConfiguration(index) => simulation.store_configuration(index),
        Step::RestartSubscriber(index, keeps_disk) => simulation.restart_subscriber(index, keeps_disk),
        Step::RestartPublisher(restart) => simulation.restart_publisher(&restart),
    }
}

/// Removes the routes that subscribers may reject, so that all of them can apply the newest configuration.
fn remove_rejected_resources(simulation: &mut Simulation) {
    for n in 0..4u8 {
        let key = RouteKey { method: Some("GET".to_owned()), prefix: format!("/{n}") };
        simulation.publish(PublisherInstance::Current, vec![Change::Remove(ResourceKey::Route(key))]);
    }
    simulation.publish(PublisherInstance::Current, vec![Change::Put(Resource::tenant("last", 1.0))]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_change_is_lost_and_no_configuration_is_mixed(steps in prop::collection::vec(step(), 1..250)) {
        let mut simulation = Simulation::new(SUBSCRIBERS);
        for step in steps {
            apply_step(&mut simulation, step);
        }
        simulation.stop_replaced();
        remove_rejected_resources(&mut simulation);
        prop_assert!(
            simulation.converges_within(MAX_CONVERGENCE_TIME),
            "not all subscribers have the newest configuration"
        );
    }
}
