//! Case 8: where lists are pushed, a proxy is killed and starts again while discovery is down.

#[path = "../6/stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::time::Duration;

/// DrainGrace of the settings, and the 50 ms by which every limit is longer on sockets.
const GRACE: f64 = 2.0 + 0.05;

fn main() {
    now();
    let servers: Vec<Server> =
        (0..4).map(|n| Server::start(&format!("s-{n}"), Work::Serve(Duration::from_millis(20)), true)).collect();
    let discovery = Discovery::start(41, &servers.iter().collect::<Vec<_>>());
    let known = discovery.whole_list();
    let config = Config {
        discovery: discovery.addr,
        pipeline: pipeline(),
        settings: settings("pushed"),
        known,
        memory_mb: 64,
        sockets: 512,
    };
    let address = free_address();
    let mut first = Proxy::start("n0", address, &config);
    first.wait_ready(10.0);
    let load = Load::start(address, 8, 80.0, true);
    sleep_until(now() + 3.0);
    load.stop();
    first.kill();
    drop(first);
    // While the proxy is dead, a server begins to drain, and discovery has that.
    let drained = &servers[3];
    drained.set(Work::Busy);
    discovery.change(&drained.id, drained.entry("draining"));
    sleep_until(now() + 0.5);
    let down_at = now();
    if with_trouble() {
        discovery.go_down();
    }
    sleep_until(now() + 0.5);
    // The list in the configuration is the one that the proxy last had.
    let mut second = Proxy::start("n0", address, &config);
    second.wait_ready(10.0);
    let load = Load::start(address, 8, 80.0, true);
    sleep_until(down_at + 8.0);
    if with_trouble() {
        discovery.come_back();
    }
    sleep_until(down_at + 14.0);
    load.stop();
    let attempts = drained.attempts.lock().unwrap().clone();
    let since_start: Vec<f64> =
        attempts.iter().map(|attempt| attempt.first_at).filter(|at| *at > second.started_at).collect();
    for at in &since_start {
        note(format!("server {}: attempt began at {at:.3}, {:.3} s after the start", drained.id, at - second.started_at));
    }
    let grace_until = second.ready_at + GRACE;
    let late: Vec<f64> = since_start.into_iter().filter(|at| *at > grace_until).collect();
    let others: usize = servers[..3].iter().map(|server| server.attempts.lock().unwrap().len()).sum();
    if others < 100 {
        finish(vec![second], 2, "could not run: too little traffic");
    }
    match late.last() {
        Some(last) => finish(vec![second], 1, &format!(
            "broken: {} attempts at a draining server after the grace, the last {:.2} s after it", late.len(), last - grace_until)),
        None => finish(vec![second], 0, "held: no attempt at the draining server after the grace"),
    }
}
