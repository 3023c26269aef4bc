//! Case 10: the connection of a watch is reset under the answer that tells a drain.

#[path = "../6/stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// DrainGrace of the settings, and the 50 ms by which every limit is longer on sockets.
const GRACE: f64 = 2.0 + 0.05;
const ROUNDS: usize = 5;

/// The network between the proxy and discovery. Once `lose` is set, the next answer is lost and its connection is
/// reset. `lost_at` is when.
struct Network {
    addr: SocketAddr,
    lose: Arc<AtomicBool>,
    lost_at: Arc<Mutex<f64>>,
}

fn network(discovery: SocketAddr) -> Network {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (lose, lost_at): (Arc<AtomicBool>, Arc<Mutex<f64>>) = Default::default();
    let (shared_lose, shared_lost_at) = (lose.clone(), lost_at.clone());
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let (lose, lost_at) = (shared_lose.clone(), shared_lost_at.clone());
            std::thread::spawn(move || carry(near, discovery, &lose, &lost_at));
        }
    });
    Network { addr, lose, lost_at }
}

fn carry(mut near: TcpStream, discovery: SocketAddr, lose: &AtomicBool, lost_at: &Mutex<f64>) {
    let Ok(mut far) = TcpStream::connect(discovery) else { return };
    near.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    far.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    let mut chunk = [0; 65536];
    loop {
        match near.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => {
                let _ = far.write_all(&chunk[..n]);
            }
            Err(_) => {}
        }
        match far.read(&mut chunk) {
            Ok(0) => return,
            Ok(_) if lose.swap(false, Ordering::SeqCst) => {
                *lost_at.lock().unwrap() = now();
                note("network: an answer of discovery is lost, its connection is reset");
                return reset(&near);
            }
            Ok(n) => {
                let _ = near.write_all(&chunk[..n]);
            }
            Err(_) => {}
        }
    }
}

fn main() {
    now();
    let servers: Vec<Server> =
        (0..8).map(|n| Server::start(&format!("s-{n}"), Work::Serve(Duration::from_millis(20)), true)).collect();
    let discovery = Discovery::start(41, &servers.iter().collect::<Vec<_>>());
    let network = network(discovery.addr);
    let config = Config {
        discovery: network.addr,
        pipeline: pipeline(),
        settings: settings("on_request"),
        known: discovery.whole_list(),
        memory_mb: 64,
        sockets: 512,
    };
    let mut proxy = Proxy::start("n0", free_address(), &config);
    proxy.wait_ready(10.0);
    let load = Load::start(proxy.addr, 16, 160.0, true);
    let mut written = Vec::new();
    for drained in &servers[..ROUNDS] {
        let (_, watch_at, _) = discovery.next_watch();
        sleep_until(watch_at + 1.0);
        if with_trouble() {
            network.lose.store(true, Ordering::SeqCst);
        }
        drained.set(Work::Busy);
        discovery.change(&drained.id, drained.entry("draining"));
        sleep_until(now() + 0.3);
        // The change counts as told when it was written.
        let told_at = if with_trouble() { *network.lost_at.lock().unwrap() } else { now() };
        written.push((drained, told_at));
        sleep_until(now() + 8.0);
    }
    load.stop();
    let mut late_count = 0;
    let mut latest = 0.0_f64;
    for (drained, told_at) in written {
        let attempts = drained.attempts.lock().unwrap().clone();
        let after: Vec<f64> = attempts.iter().map(|attempt| attempt.first_at).filter(|at| *at > told_at).collect();
        let late = after.iter().filter(|at| **at > told_at + GRACE).count();
        let last = after.last().map_or(0.0, |at| at - told_at);
        note(format!("server {}: told at {told_at:.3}; {} attempts after that, the last {last:.3} s after it; {late} after the grace", drained.id, after.len()));
        late_count += late;
        latest = latest.max(last);
    }
    if servers[7].attempts.lock().unwrap().len() < 100 {
        finish(vec![proxy], 2, "could not run: too little traffic");
    }
    if late_count > 0 {
        finish(vec![proxy], 1, &format!("broken: {late_count} attempts at draining servers after the grace, up to {latest:.2} s after the answer was written"));
    }
    finish(vec![proxy], 0, "held: no attempt at a draining server after the grace")
}
