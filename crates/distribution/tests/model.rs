//! Random changes, faults and restarts. At every moment each subscriber has in force what was published
//! under the version it names, whole, and never an older version than before; and when the faults end, all
//! hold what the publisher holds.

mod common;
mod simulation;

use common::{SECOND, UNKNOWN_CLASS};
use proptest::prelude::*;
use simulation::{Fault, Reach, Restart, World};
use violetseam_distribution::message::MAX_RETRY_AFTER;
use violetseam_distribution::{Change, Resource, ResourceKey, RouteKey};

const SUBSCRIBERS: usize = 3;
/// How soon all agree after the last fault: a damaged retry-after may tell the longest wait.
const SETTLED_WITHIN: u64 = MAX_RETRY_AFTER + 60 * SECOND;

#[derive(Clone, Debug)]
enum Step {
    Publish(Reach, Vec<Change>),
    Install(Vec<Resource>),
    Heartbeat,
    Deliver(usize, Fault),
    Advance(u64),
    Disconnect(usize),
    Reach(usize, Reach),
    Store(usize),
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
        1 => Just(Fault::Overtaken),
        1 => (0..2_000usize, any::<u8>()).prop_map(|(position, byte)| Fault::Damaged(position, byte)),
        1 => (0..2_000usize, b'0'..=b'9').prop_map(|(position, byte)| Fault::Damaged(position, byte)),
    ]
}

fn restart() -> impl Strategy<Value = Restart> {
    prop_oneof![Just(Restart::Intact), Just(Restart::LogLost), (1..4usize).prop_map(Restart::EndLost)]
}

fn reach() -> impl Strategy<Value = Reach> {
    prop_oneof![5 => Just(Reach::Current), 1 => Just(Reach::Replaced)]
}

fn step() -> impl Strategy<Value = Step> {
    let subscriber = 0..SUBSCRIBERS;
    prop_oneof![
        12 => (reach(), changes()).prop_map(|(by, changes)| Step::Publish(by, changes)),
        1 => resources().prop_map(Step::Install),
        3 => Just(Step::Heartbeat),
        40 => (subscriber.clone(), fault()).prop_map(|(index, fault)| Step::Deliver(index, fault)),
        10 => (0..3 * SECOND).prop_map(Step::Advance),
        1 => subscriber.clone().prop_map(Step::Disconnect),
        2 => (subscriber.clone(), reach()).prop_map(|(index, reach)| Step::Reach(index, reach)),
        3 => subscriber.clone().prop_map(Step::Store),
        1 => (subscriber, any::<bool>()).prop_map(|(index, disk)| Step::RestartSubscriber(index, disk)),
        1 => restart().prop_map(Step::RestartPublisher),
    ]
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Publish(by, changes) => world.publish(by, changes),
        Step::Install(resources) => world.install(resources),
        Step::Heartbeat => world.heartbeat(),
        Step::Deliver(index, fault) => world.deliver(index, &fault),
        Step::Advance(span) => world.advance(span),
        Step::Disconnect(index) => world.disconnect(index),
        Step::Reach(index, reach) => world.reach(index, reach),
        Step::Store(index) => world.store(index),
        Step::RestartSubscriber(index, with_disk) => world.restart_subscriber(index, with_disk),
        Step::RestartPublisher(restart) => world.restart_publisher(&restart),
    }
}

/// Removes the resources that subscribers reject.
fn remove_rejected_resources(world: &mut World) {
    for n in 0..4u8 {
        let key = RouteKey { method: Some("GET".to_owned()), prefix: format!("/{n}") };
        world.publish(Reach::Current, vec![Change::Remove(ResourceKey::Route(key))]);
    }
    world.publish(Reach::Current, vec![Change::Put(Resource::tenant("last", 1.0))]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_change_is_lost_and_no_configuration_is_mixed(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new(SUBSCRIBERS);
        for step in steps {
            apply_step(&mut world, step);
        }
        world.stop_replaced();
        remove_rejected_resources(&mut world);
        prop_assert!(world.settles_within(SETTLED_WITHIN), "not all hold what is published");
    }
}
