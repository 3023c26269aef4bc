//! Case 6: a request with a key whose answer is lost is refused after its servers have forgotten the key.

#[path = "stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The longest that a client waits over all its tries, and in its first try, in seconds.
const GIVE_UP: f64 = 3.0;
const FIRST_TRY: f64 = 2.2;

/// Sends one order, and sends it again when that is refused, as long as there is time.
fn order(addr: SocketAddr, number: u64, refused: &Mutex<Vec<(String, f64, f64)>>) {
    let Ok(mut stream) = TcpStream::connect(addr) else { return };
    let _ = stream.set_nodelay(true);
    let began_at = now();
    let k = format!("{:016x}", 0x5c0f_0000 + number);
    let mut wait = FIRST_TRY;
    let mut mark = "";
    loop {
        let id = new_id();
        let options = format!("c=service-log,t=athi-cement,d={},k={k}{mark}", (wait * 1000.0) as u64);
        let sent_at = now();
        let bytes = command(&["CALL.POST", &format!("{number:016x}"), &id, &options, "job done"]);
        let answer = exchange(&mut stream, &bytes, Duration::from_secs_f64(wait + 0.6));
        note(format!("client {number}: {id} ({options}) sent at {sent_at:.3}, after {:.3} s: {answer:?}", now() - sent_at));
        let left = GIVE_UP - (now() - began_at);
        if answer != Answer::Refused || left < 0.1 {
            return;
        }
        refused.lock().unwrap().push((k.clone(), sent_at, now()));
        (wait, mark) = (left, ",r=1");
    }
}

fn main() {
    now();
    let work = Work::Serve(Duration::from_millis(40));
    let servers: Vec<Server> = (0..5).map(|n| Server::start(&format!("s-{n}"), work, true)).collect();
    let discovery = Discovery::start(41, &servers.iter().collect::<Vec<_>>());
    let config = Config {
        discovery: discovery.addr,
        pipeline: pipeline(),
        settings: settings("on_request"),
        known: discovery.whole_list(),
        memory_mb: 64,
        sockets: 512,
    };
    let mut proxy = Proxy::start("n0", free_address(), &config);
    proxy.wait_ready(10.0);
    let addr = proxy.addr;
    let load = Load::start(addr, 8, 40.0, false);
    sleep_until(now() + 3.0);
    let lost_from = now();
    if with_trouble() {
        note("server s-4: its answers are lost");
        servers[4].set(Work::Lose(Duration::from_millis(40)));
    }
    let refused: Arc<Mutex<Vec<(String, f64, f64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..240 {
        sleep_until(lost_from + number as f64 * 0.025);
        let refused = refused.clone();
        clients.push(std::thread::spawn(move || order(addr, number, &refused)));
    }
    servers[4].set(work);
    for client in clients {
        let _ = client.join();
    }
    load.stop();
    let effects = EFFECTS.lock().unwrap().clone();
    for (k, times) in &effects {
        note(format!("servers: order {k} took effect {times:?}"));
    }
    let twice = effects.iter().filter(|(_, times)| times.len() > 1).count();
    let refusals = refused.lock().unwrap().len();
    if effects.len() < 120 {
        finish(vec![proxy], 2, "could not run: too few orders ran");
    }
    let numbers = format!("of {} orders {twice} took effect twice; {refusals} refusals", effects.len());
    if twice > 0 {
        finish(vec![proxy], 1, &format!("broken: {numbers}"));
    }
    finish(vec![proxy], 0, &format!("held: {numbers}"))
}
