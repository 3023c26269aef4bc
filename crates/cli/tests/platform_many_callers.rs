//! Forty processes use a discovery service that serves few calls per second. Each must get the list when all
//! start at once, after a change, and after all watches broke at once.

mod common;

use common::capacity::{Capacity, LimitedDiscovery};
use common::platform::{Proxy, launch};
use common::services::{list_json, member};
use common::steps::ManualListener;
use common::world::{RELEASED_TO_ALL, environment};
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};

const CALLERS: usize = 40;
/// The calls of all callers at once take two seconds where each asks for changes, and ten where each asks for
/// the full list. A call waits in the queue for one second at most.
const CAPACITY: Capacity = Capacity {
    delta: Duration::from_millis(50),
    full_list: Duration::from_millis(250),
    max_queue_wait: Duration::from_secs(1),
};
/// `AskWithin` of the settings: the longest time without a response. This long after a call that failed, a
/// change counts as told.
const ASK_WITHIN: Duration = Duration::from_secs(6);

/// Waits until every caller holds this version.
fn await_version(discovery: &LimitedDiscovery, version: u64, occasion: &str) {
    let until = Instant::now() + 2 * ASK_WITHIN;
    while discovery.connections_holding(version) < CALLERS {
        let (connections_holding, calls) = (discovery.connections_holding(version), discovery.calls());
        assert!(
            Instant::now() < until,
            "{occasion}: {connections_holding} of {CALLERS} callers hold version {version}, {calls:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn forty_callers_get_every_list_from_a_discovery_of_limited_capacity() {
    let (first, second) = (ManualListener::new(), ManualListener::new());
    let known = [member("s-1", first.addr, 7)];
    let both_servers =
        |version| list_json(version, &[member("s-1", first.addr, 7), member("s-2", second.addr, 7)]);
    let discovery = LimitedDiscovery::new(CAPACITY, 2, both_servers(2));
    let mut environment = environment(&known, RELEASED_TO_ALL);
    environment.config["discovery"] = json!(discovery.addr.to_string());
    environment.config["settings"]["Contract"]["AskWithin"] = json!(ASK_WITHIN.as_micros() as u64);
    let start = |n: usize| {
        environment.config["seed"] = json!(format!("{:x}", 0x5eed + n));
        launch(&format!("caller{n}"), &environment.config.to_string())
    };
    let proxies: Vec<Proxy> = (0..CALLERS).map(start).collect();
    await_version(&discovery, 2, "all start at once");
    discovery.publish(3, both_servers(3));
    await_version(&discovery, 3, "a change");
    discovery.publish(4, both_servers(4));
    discovery.close_all_connections();
    await_version(&discovery, 4, "all watches broke at once");
    let calls = discovery.calls();
    // Every caller needs a new call twice. Some calls may be declined and repeated; none may ask for the full
    // list.
    assert_eq!(calls.full_list, 0, "{calls:?}");
    assert!(calls.watches <= 4 * CALLERS, "{calls:?}");
    proxies.iter().for_each(|proxy| proxy.signal(Signal::TERM));
    for proxy in proxies {
        assert!(proxy.wait_for_exit().success());
    }
}
