//! Case 6: clients that send the same thing again as soon as it is turned away, for up to eighty seconds.

#[path = "stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// The memory limit of the proxy: the lowest that the pages name.
const MEMORY_MB: u32 = 32;
const BAD_CLIENTS: u64 = 24;
const SECONDS: f64 = 80.0;

/// Sends a read, and the same again under a new id as soon as it is turned away, at full speed.
fn insist(addr: SocketAddr, number: u64, stop: &AtomicBool, sent: &AtomicU64, refused: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let key = format!("{number:016x}");
        while !stop.load(Ordering::Relaxed) {
            let bytes = command(&["CALL.GET", &key, &new_id(), "c=status-read,t=athi-cement,d=100"]);
            if stream.write_all(&bytes).is_err() {
                break;
            }
            sent.fetch_add(1, Ordering::Relaxed);
            match read_answer(&mut stream, Duration::from_secs(2)) {
                Answer::Refused => refused.fetch_add(1, Ordering::Relaxed),
                Answer::Broken | Answer::None => break,
                Answer::Served(_) | Answer::Failed(_) => 0,
            };
        }
    }
}

fn main() {
    now();
    // Four servers of three cores with requests of 50 ms: 240 requests a second in all.
    let work = Work::Limited { cores: 3, queue: 42, time: Duration::from_millis(50) };
    let servers: Vec<Server> = (0..4).map(|n| Server::start(&format!("s-{n}"), work, false)).collect();
    let discovery = Discovery::start(41, &servers.iter().collect::<Vec<_>>());
    let config = Config {
        discovery: discovery.addr,
        pipeline: pipeline(),
        settings: settings("on_request"),
        known: discovery.whole_list(),
        memory_mb: MEMORY_MB,
        sockets: 512,
    };
    let mut proxy = Proxy::start("n0", free_address(), &config);
    proxy.wait_ready(10.0);
    let load = Load::start(proxy.addr, 16, 120.0, false);
    let stop: Arc<AtomicBool> = Arc::default();
    let (sent, refused): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
    let mut threads = Vec::new();
    if with_trouble() {
        for number in 0..BAD_CLIENTS {
            let (addr, stop, sent, refused) = (proxy.addr, stop.clone(), sent.clone(), refused.clone());
            threads.push(std::thread::spawn(move || insist(addr, number, &stop, &sent, &refused)));
        }
    }
    let began_at = now();
    let mut over = None;
    while now() < began_at + SECONDS && over.is_none() {
        std::thread::sleep(Duration::from_millis(1000));
        let Some((resident, highest)) = proxy.memory_mb() else {
            finish(vec![proxy], 1, "broken: the proxy has ended");
        };
        let attempts: u64 = servers.iter().map(|server| server.count.load(Ordering::Relaxed)).sum();
        note(format!(
            "proxy: {resident:.2} MB resident, {highest:.2} MB at most; bad clients have sent {} and were refused {}; {attempts} attempts at servers",
            sent.load(Ordering::Relaxed),
            refused.load(Ordering::Relaxed)
        ));
        over = (highest > f64::from(MEMORY_MB)).then_some(highest);
    }
    if over.is_some() {
        // The platform kills a proxy that is over its limit.
        proxy.kill();
    }
    let seconds = now() - began_at;
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    load.stop();
    match over {
        Some(highest) => finish(vec![proxy], 1, &format!(
            "broken: after {seconds:.0} s the proxy is over its memory of {MEMORY_MB} MB ({highest:.1} MB) and is killed")),
        None => finish(vec![proxy], 0, "held: the proxy keeps within its memory"),
    }
}
