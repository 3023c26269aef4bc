//! Fault tests of platform proxies as processes: outages of discovery and the release service, servers that
//! return with another address or build, killed, stopped and restarted processes, datagrams from unknown
//! senders, slow clients.

mod common;

use common::platform::{
    Heard, Proxy, Say, Server, encode_command, good, look, restart, server, start, value, wait_until,
};
use common::services::{
    Behaviour, Member, OUTAGES, Service, discovery, list_json, member, pipeline, release_status,
    service_config,
};
use rustix::process::Signal;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that responds correctly and at once.
fn healthy_server() -> Server {
    server(|words, _| Say::Bytes(good(words)))
}

fn received_count(server: &Server) -> usize {
    server.received.lock().unwrap().len()
}

/// Sends calls, with ids of this prefix, until the condition holds. Every call must be served.
fn ask_until(proxy: &Proxy, name: &str, failure: &str, mut condition: impl FnMut() -> bool) {
    let (mut client, mut n) = (proxy.open(), 0);
    wait_until(failure, || {
        n += 1;
        let id = format!("{name}-{n}");
        assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)), "{failure}");
        condition()
    });
}

/// Discovery and the release service fail alone and together, in every way. Calls must be served throughout,
/// the list and the cap held must stay in force, and changes made during the outage must be in force once the
/// services are back.
#[test]
fn outages_of_services_change_nothing_and_updates_resume_after_them() {
    std::thread::scope(|scope| {
        for (n, behaviour) in OUTAGES.into_iter().enumerate() {
            for failing in [[true, false], [false, true], [true, true]] {
                scope.spawn(move || {
                    outage(&format!("outage-{n}-{failing:?}").replace([' ', ','], ""), behaviour, failing);
                });
            }
        }
    });
}

fn outage(name: &str, behaviour: Behaviour, [discovery_fails, release_service_fails]: [bool; 2]) {
    let (earlier, trial, added) = (healthy_server(), healthy_server(), healthy_server());
    let before = [member("s-1", earlier.addr, 7), member("s-2", trial.addr, 8)];
    let after = [&before[..], &[member("s-3", added.addr, 7)]].concat();
    let (trial_closed, open) = (release_status(8, 0, "canary", 0.0), release_status(8, 2, "stable", 1.0));
    let (discovery_service, release_service) =
        (discovery(list_json(2, &before)), pipeline(trial_closed.clone()));
    let proxy =
        start(name, &service_config([&discovery_service, &release_service], &before[..1], &trial_closed));
    ask_until(&proxy, "before", "not served before the outage", || received_count(&earlier) >= 20);
    // The services fail, and the content that they would publish changes.
    [(&discovery_service, discovery_fails), (&release_service, release_service_fails)]
        .iter()
        .filter(|s| s.1)
        .for_each(|s| s.0.set(behaviour));
    let failed = Instant::now();
    ask_until(&proxy, "during", "not served in the outage", || {
        failed.elapsed() > Duration::from_millis(1500)
    });
    let held = (received_count(&trial), received_count(&added));
    assert_eq!(held, (0, 0), "{name}: calls at a build under a cap of 0 and at an unlisted server");
    discovery_service.publish(list_json(3, &after));
    release_service.publish(open);
    ask_until(&proxy, "changed", "not served after the change", || {
        failed.elapsed() > Duration::from_millis(2000)
    });
    assert!(
        !discovery_fails || received_count(&added) == 0,
        "{name}: a call went to a server that discovery could not announce"
    );
    assert!(
        !release_service_fails || received_count(&trial) == 0,
        "{name}: a call went above a cap that the release service could not lift"
    );
    [&discovery_service, &release_service].iter().for_each(|s| s.set(Behaviour::Healthy));
    ask_until(&proxy, "after", &format!("{name}: the new server is not used"), || received_count(&added) > 0);
    ask_until(&proxy, "released", &format!("{name}: the released build is not used"), || {
        received_count(&trial) > 0
    });
    proxy.end();
}

/// A process whose address another listener holds waits for it. A configuration that is half written at
/// SIGHUP is read again until it is complete, without another signal.
#[test]
fn start_waits_for_its_address_and_reload_for_a_complete_file() {
    let (first, second) = (healthy_server(), healthy_server());
    let known = [member("s-1", first.addr, 7)];
    let (discovery_service, moved) =
        (discovery(list_json(2, &known)), discovery(list_json(9, &[member("s-2", second.addr, 7)])));
    let release_service = pipeline(release_status(7, 2, "stable", 1.0));
    let text =
        service_config([&discovery_service, &release_service], &known, &release_status(7, 2, "stable", 1.0));
    let proxy = common::platform::launch_with_address_taken("moment", &text, |held| {
        // Until the program has logged that the address is in use.
        wait_until("the proxy does not log that it waits for its address", || {
            held.log().contains("trying again")
        });
    });
    wait_until("the proxy does not serve", || proxy.ping() == Some(b"+PONG\r\n".to_vec()));
    ask_until(&proxy, "first", "not served by the first server", || received_count(&first) > 0);
    let whole = service_config([&moved, &release_service], &known, &release_status(7, 2, "stable", 1.0));
    std::fs::write(&proxy.config_file, &whole[..whole.len() / 2]).unwrap();
    proxy.signal(Signal::HUP);
    wait_until("the proxy does not log that it keeps the old configuration", || {
        proxy.log().contains("the old configuration stays for now")
    });
    std::fs::write(&proxy.config_file, &whole).unwrap();
    ask_until(&proxy, "second", "the server of the new discovery is not used", || {
        received_count(&second) > 0
    });
    proxy.end();
}

/// A server id that returns has the address, build and start time that discovery now lists.
#[test]
fn a_server_id_that_returns_has_its_newly_listed_properties() {
    let (old, new, other) = (healthy_server(), healthy_server(), healthy_server());
    let warm_server = member("s-2", other.addr, 7);
    let as_listed = |addr: SocketAddr, build| vec![member("s-1", addr, build), warm_server.clone()];
    let discovery_service = discovery(list_json(2, &as_listed(old.addr, 7)));
    let release_service = pipeline(release_status(8, 0, "canary", 0.0));
    let text = service_config(
        [&discovery_service, &release_service],
        &as_listed(old.addr, 7),
        &release_status(8, 0, "canary", 0.0),
    );
    // A server that starts here stays cold to the end of the test, however slow the machine is.
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["settings"]["Contract"]["Cold"] = 600_000_000.into();
    let proxy = start("returns", &json.to_string());
    ask_until(&proxy, "a", "the first address is not used", || received_count(&old) >= 5);
    // The address changes: no call may go to the old address, though connections to it are still open.
    discovery_service.publish(list_json(3, &as_listed(new.addr, 7)));
    ask_until(&proxy, "b", "the new address is not used", || received_count(&new) >= 5);
    let calls_at_old = received_count(&old);
    let started = Instant::now();
    ask_until(&proxy, "c", "not served after the address changed", || {
        started.elapsed() > Duration::from_millis(300)
    });
    assert_eq!(received_count(&old), calls_at_old, "a call went to the old address");
    // The id leaves the list and returns with the build on trial, whose cap is 0: it must get no call.
    discovery_service.publish(list_json(4, std::slice::from_ref(&warm_server)));
    let mut calls_at_new = 0;
    ask_until(&proxy, "d", "calls still go to the id that left the list", || {
        let unchanged = received_count(&new) == calls_at_new;
        calls_at_new = received_count(&new);
        unchanged && started.elapsed() > Duration::from_millis(900)
    });
    discovery_service.publish(list_json(5, &as_listed(new.addr, 8)));
    let started = Instant::now();
    ask_until(&proxy, "e", "not served beside the trial build", || {
        started.elapsed() > Duration::from_millis(600)
    });
    assert_eq!(received_count(&new), calls_at_new, "a call went to the trial build above its cap");
    // The id returns with the earlier build, just started and cold: it is used, and less than the warm
    // server.
    let started_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut cold = as_listed(new.addr, 7);
    cold[0].started_ms = started_ms;
    discovery_service.publish(list_json(6, &cold));
    ask_until(&proxy, "f", "the cold server is not used", || received_count(&new) > calls_at_new);
    // With this many calls, a draw by weight (0.31 for the cold server, 1 for the warm one) gives the cold
    // server half of them less than once in a billion runs.
    let (cold_before, warm_before) = (received_count(&new), received_count(&other));
    ask_until(&proxy, "g", "fewer than 200 calls were served", || {
        received_count(&new) + received_count(&other) >= cold_before + warm_before + 200
    });
    let received = (received_count(&new) - cold_before, received_count(&other) - warm_before);
    assert!(received.0 > 0 && received.0 < received.1, "calls at the cold and the warm server: {received:?}");
    proxy.end();
}

/// Clients that go on to the next proxy where one is down, and record the calls that were not answered.
struct Load {
    stop: AtomicBool,
    served: AtomicUsize,
    /// When each call was sent, and to which proxy.
    call_times: Mutex<Vec<(Instant, SocketAddr)>>,
    /// The number of keys that are used in turn; 0 gives each call a key of its own.
    keys: usize,
    /// The ids of calls whose connection closed without an answer.
    unanswered: Mutex<Vec<String>>,
}

/// Stops the load also when a test fails: otherwise its threads, and the test with them, would not end.
struct StopAtEnd<'a>(&'a AtomicBool);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Load {
    fn new() -> Load {
        Load {
            stop: AtomicBool::new(false),
            served: AtomicUsize::new(0),
            call_times: Mutex::default(),
            keys: 0,
            unanswered: Mutex::default(),
        }
    }

    /// Sends one call after another until told to stop, with up to twenty calls on a connection.
    fn run(&self, name: &str, proxies: &[SocketAddr]) {
        let (mut proxy_index, mut n) = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            proxy_index += 1;
            let target = proxies[proxy_index % proxies.len()];
            let Ok(stream) = TcpStream::connect(target) else { continue };
            let mut client = common::platform::Client::new(stream);
            for _ in 0..20 {
                n += 1;
                let id = format!("{name}-{n}");
                let key = if self.keys == 0 { id.clone() } else { format!("key-{}", n % self.keys) };
                self.call_times.lock().unwrap().push((Instant::now(), target));
                let sent = client.try_send(&encode_command(&["CALL.GET", &key, &id, "c=look,t=one,d=1000"]));
                match if sent { client.read_reply() } else { Heard::Closed } {
                    Heard::Value(received) => {
                        assert_eq!(received, value(&id), "the answer belongs to another call");
                        self.served.fetch_add(1, Ordering::Relaxed);
                    }
                    Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
                    Heard::Closed => {
                        self.unanswered.lock().unwrap().push(id);
                        break;
                    }
                }
            }
        }
    }
}

/// One run of a proxy process and the calls that it sent. Each run has servers of its own, so that calls of
/// another run are not counted for it.
struct ProxyRun {
    servers: [Server; 2],
    /// The address of its proxy and the time of its start.
    started: Option<(SocketAddr, Instant)>,
    /// The time, build and key of each attempt.
    sent: Arc<Mutex<Vec<(Instant, u64, String)>>>,
}

impl ProxyRun {
    fn begin() -> ProxyRun {
        let sent: Arc<Mutex<Vec<(Instant, u64, String)>>> = Arc::default();
        let of_build = |build: u64| {
            let sent = sent.clone();
            server(move |words, _| {
                sent.lock().unwrap().push((Instant::now(), build, words[1].clone()));
                Say::Bytes(good(words))
            })
        };
        ProxyRun { servers: [of_build(7), of_build(8)], started: None, sent: sent.clone() }
    }

    fn members(&self) -> [Member; 2] {
        [member("s-1", self.servers[0].addr, 7), member("s-2", self.servers[1].addr, 8)]
    }

    /// Checks the cap and the sticky keys (rule 5) from the first call of the run: attempts at the trial
    /// build are at most 2 plus the cap and a further 4% of the calls sent to this run, and a key that the
    /// trial build has answered does not return to the earlier build. `call_times` holds the times of the
    /// calls. Returns the attempts at both builds.
    fn check(&self, cap: f64, call_times: &[Instant]) -> [usize; 2] {
        let mut sent = self.sent.lock().unwrap().clone();
        sent.sort();
        let (mut counts, mut answered) = ([0, 0], HashMap::new());
        for (at, build, key) in sent {
            counts[(build - 7) as usize] += 1;
            let calls_so_far = call_times.iter().filter(|sent_at| **sent_at <= at).count();
            let max_trial = (cap + 0.04) * calls_so_far as f64 + 2.0;
            assert!(
                counts[1] as f64 <= max_trial,
                "attempts {counts:?} after {calls_so_far} calls exceed the cap of {cap}"
            );
            if build == 8 {
                answered.entry(key).or_insert(at);
            } else if let Some(since) = answered.get(&key) {
                let after = at.duration_since(*since);
                assert!(
                    after < Duration::from_millis(150),
                    "key {key} returned to the earlier build after {after:?}"
                );
            }
        }
        counts
    }
}

/// Clients share three processes. In each round one process is killed and started again at once. Each run
/// must serve calls, and keep to the cap and the sticky keys from its first call.
#[test]
fn each_run_after_a_kill_keeps_cap_and_sticky_keys_from_its_first_call() {
    let cap = 0.3;
    let status = release_status(8, 1, "canary", cap);
    let release_service = pipeline(status.clone());
    let mut runs: Vec<ProxyRun> = (0..3).map(|_| ProxyRun::begin()).collect();
    let discovery_services: Vec<Service> =
        runs.iter().map(|run| discovery(list_json(2, &run.members()))).collect();
    let text = |n: usize, run: &ProxyRun| {
        service_config([&discovery_services[n], &release_service], &run.members(), &status)
    };
    let mut proxies: Vec<Proxy> = (0..3).map(|n| start(&format!("killed-{n}"), &text(n, &runs[n]))).collect();
    let addrs: Vec<SocketAddr> = proxies.iter().map(|p| p.addr).collect();
    runs.iter_mut().zip(&addrs).for_each(|(run, addr)| run.started = Some((*addr, Instant::now())));
    let load = Load { keys: 500, ..Load::new() };
    std::thread::scope(|scope| {
        let (load, addrs) = (&load, &addrs);
        let _stop = StopAtEnd(&load.stop);
        for n in 0..4 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for round in 0..6 {
            let at = round % proxies.len();
            // The processes are replaced in turn, so the last three runs are those in progress, the oldest
            // first.
            let oldest_running = runs.len() - 3;
            wait_until("this run gets too few calls", || {
                runs[oldest_running].sent.lock().unwrap().len() > 150
            });
            // The servers of the next run are listed before it starts; the run that ends may still learn of
            // them.
            let mut run = ProxyRun::begin();
            proxies[at].signal(Signal::KILL);
            discovery_services[at].publish(list_json(3 + round as u64, &run.members()));
            std::fs::write(&proxies[at].config_file, text(at, &run)).unwrap();
            run.started = Some((addrs[at], Instant::now()));
            restart(&format!("killed-{at}"), &mut proxies[at], Signal::KILL);
            runs.push(run);
        }
        wait_until("the last runs get too few calls", || {
            runs[runs.len() - 3..].iter().all(|run| run.sent.lock().unwrap().len() > 150)
        });
    });
    let call_times = load.call_times.lock().unwrap();
    let calls_of_run = |n: usize| -> Vec<Instant> {
        let (addr, since) = runs[n].started.unwrap();
        // The calls of a run end where the next run at this address begins.
        let later = runs[n + 1..].iter().find_map(|l| l.started.filter(|at| at.0 == addr));
        let in_run = |at: &Instant| *at >= since && later.is_none_or(|later| *at < later.1);
        call_times.iter().filter(|(at, to)| *to == addr && in_run(at)).map(|a| a.0).collect()
    };
    let counts: Vec<[usize; 2]> =
        runs.iter().enumerate().map(|(n, run)| run.check(cap, &calls_of_run(n))).collect();
    assert!(
        counts.iter().all(|[earlier, trial]| *earlier > 50 && *trial > 5),
        "a run sent too few attempts: {counts:?}"
    );
    assert!(!load.unanswered.lock().unwrap().is_empty(), "no call was in flight at a kill");
    proxies.into_iter().for_each(Proxy::end);
}

/// Five processes get SIGTERM one after another and start again, under load. No call written to a connection
/// that a proxy had accepted may go unanswered.
#[test]
fn a_rolling_restart_loses_no_call() {
    let servers = [(); 3].map(|()| server(|words, _| Say::Later(Duration::from_millis(15), good(words))));
    let members: Vec<Member> =
        ["s-1", "s-2", "s-3"].into_iter().zip(&servers).map(|(id, s)| member(id, s.addr, 7)).collect();
    let status = release_status(7, 2, "stable", 1.0);
    let (discovery_service, release_service) = (discovery(list_json(2, &members)), pipeline(status.clone()));
    let text = service_config([&discovery_service, &release_service], &members, &status);
    let mut proxies: Vec<Proxy> = (0..5).map(|n| start(&format!("rolled-{n}"), &text)).collect();
    let addrs: Vec<SocketAddr> = proxies.iter().map(|p| p.addr).collect();
    let load = Load::new();
    std::thread::scope(|scope| {
        let (load, addrs) = (&load, &addrs);
        let _stop = StopAtEnd(&load.stop);
        for n in 0..10 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for (at, proxy) in proxies.iter_mut().enumerate() {
            restart(&format!("rolled-{at}"), proxy, Signal::TERM);
        }
    });
    // A connection may close between two calls, and a client repeats a call that crossed the close. A call
    // that reached a server had been accepted and must be answered.
    let was_forwarded =
        |id: &String| servers.iter().any(|s| s.received.lock().unwrap().iter().any(|w| w[2] == *id));
    let lost: Vec<String> =
        load.unanswered.lock().unwrap().iter().filter(|id| was_forwarded(id)).cloned().collect();
    assert_eq!(lost, Vec::<String>::new(), "calls that were forwarded and not answered");
    let served = load.served.load(Ordering::Relaxed);
    assert!(served > 500, "only {served} calls were served");
    proxies.into_iter().for_each(Proxy::end);
}

/// Sends a flood of datagrams that are too long or have another layout, from an unknown sender and from the
/// address of a peer.
#[test]
fn invalid_datagrams_do_no_harm() {
    let server_a = healthy_server();
    let status = release_status(7, 2, "stable", 1.0);
    let members = [member("s-1", server_a.addr, 7)];
    let (discovery_service, release_service) = (discovery(list_json(2, &members)), pipeline(status.clone()));
    let (peer, stranger) = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap()).into();
    let proxy_udp = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut json: serde_json::Value =
        serde_json::from_str(&service_config([&discovery_service, &release_service], &members, &status))
            .unwrap();
    json["peer_listen"] = proxy_udp.to_string().into();
    json["peers"] = serde_json::json!([proxy_udp.to_string(), peer.local_addr().unwrap().to_string()]);
    json["settings"]["Caps"]["MayTell"] = true.into();
    json["settings"]["FleetSize"] = 2.into();
    let proxy = start("datagrams", &json.to_string());
    let memory = |pid: u32| {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap()
    };
    ask_until(&proxy, "before", "not served before the flood", || received_count(&server_a) >= 200);
    let before = memory(proxy.child.id());
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for socket in [&peer, &stranger] {
            let stop = &stop;
            scope.spawn(move || {
                let mut n = 0usize;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    // Lengths from 0 to above the maximum, with contents of another layout.
                    let bytes: Vec<u8> = (0..n % 400).map(|b| (b * 31 + n * 7) as u8).collect();
                    // A datagram is dropped where the receive buffer is full; that does not matter here.
                    let _ = socket.send_to(&bytes, proxy_udp);
                }
            });
        }
        let _stop = StopAtEnd(&stop);
        let started = Instant::now();
        ask_until(&proxy, "during", "not served in the flood", || started.elapsed() > Duration::from_secs(1));
    });
    let grown = memory(proxy.child.id()).saturating_sub(before);
    assert!(grown < 2048, "memory grew by {grown} kB in the flood");
    proxy.end();
}

/// A process is stopped for five seconds with calls in flight. Afterwards each client must get exactly one
/// answer, and the process must serve again.
#[test]
fn a_paused_process_answers_each_call_once_after_it_continues() {
    let slow = server(|words, n| match n {
        0..5 => Say::Later(Duration::from_millis(200), good(words)),
        _ => Say::Bytes(good(words)),
    });
    let members = [member("s-1", slow.addr, 7)];
    let status = release_status(7, 2, "stable", 1.0);
    let (discovery_service, release_service) = (discovery(list_json(2, &members)), pipeline(status.clone()));
    let proxy = start("stopped", &service_config([&discovery_service, &release_service], &members, &status));
    let mut clients: Vec<_> = (0..5).map(|_| proxy.open()).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.send(&look(&format!("out{n}"), 1000)));
    wait_until("the calls do not reach the server", || received_count(&slow) >= 5);
    proxy.signal(Signal::STOP);
    std::thread::sleep(Duration::from_secs(5));
    proxy.signal(Signal::CONT);
    for (n, client) in clients.iter_mut().enumerate() {
        let id = format!("out{n}");
        // The response was in time at the socket and is read late: the client gets the value or an error,
        // never two answers and never the answer to another call.
        match client.read_reply() {
            Heard::Value(received) => assert_eq!(received, value(&id)),
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            Heard::Closed => panic!("an accepted call was not answered"),
        }
    }
    // To the process the pause looked like slow servers; the refusals that follow must end soon.
    let mut m = 0;
    wait_until("the proxy does not serve again", || {
        m += 1;
        clients[m % 5].ask(&look(&format!("next{m}"), 1000)) == Heard::Value(value(&format!("next{m}")))
    });
    proxy.end();
}

/// A call that arrives byte by byte is served. A connection whose call takes too long to arrive is closed,
/// and no server gets the call.
#[test]
fn a_call_that_arrives_in_pieces_is_served_whole_or_not_at_all() {
    let server_a = healthy_server();
    let members = [member("s-1", server_a.addr, 7)];
    let status = release_status(7, 2, "stable", 1.0);
    let (discovery_service, release_service) = (discovery(list_json(2, &members)), pipeline(status.clone()));
    let proxy = start("torn", &service_config([&discovery_service, &release_service], &members, &status));
    let book = encode_command(&["CALL.POST", "k", "torn", "c=book,t=one,d=2000,k=5c0f", "BODY"]);
    let mut client = proxy.open();
    for byte in &book {
        client.send(&[*byte]);
        std::thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(client.read_reply(), Heard::Value(value("torn")));
    let mut client = proxy.open();
    let slow = look("slow", 2000);
    let started = Instant::now();
    let mut sent = 0;
    // With one byte each 100 ms, the proxy closes the connection about 1.5 s after the first byte.
    while client.try_send(&slow[sent..=sent]) && sent + 1 < slow.len() {
        sent += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.read_reply(), Heard::Closed);
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    let received = server_a.received.lock().unwrap().clone();
    assert!(
        received.iter().all(|w| w[2] != "slow") && received.iter().filter(|w| w[2] == "torn").count() == 1
    );
    proxy.end();
}
