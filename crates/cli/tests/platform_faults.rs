//! The proxy on the platform's protocol, as processes whose surroundings fail: discovery and the release service,
//! servers that come back as something else, kills, stops, restarts, strangers' datagrams, slow clients.

mod common;

use common::platform::{
    Heard, PATIENCE, Proxy, Say, Server, config, good, look, run_again, server, start, value, words,
};
use common::services::{FAILURES, Member, Mood, Service, discovery, list, member, news, pipeline};
use rustix::process::Signal;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

fn wait_until(what: &str, mut is: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < until, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A server that answers well at once.
fn sound() -> Server {
    server(|words, _| Say::Bytes(good(words)))
}

fn calls(server: &Server) -> usize {
    server.got.lock().unwrap().len()
}

/// A configuration over these services; `known` is the list as last held, `trial` the newest build's state.
fn told(services: [&Service; 2], known: &[Member], trial: &str) -> String {
    let text = config(services[0].addr, services[1].addr, &[], 256);
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["known"] = serde_json::from_str(&list(1, known)).unwrap();
    json["pipeline"]["news"] = serde_json::from_str(trial).unwrap();
    json["settings"]["FamilyInfo"]["Uncounted"] = 2.into();
    json.to_string()
}

/// Asks with ids of this name until the condition holds; every call must be served.
fn ask_until(proxy: &Proxy, name: &str, what: &str, mut is: impl FnMut() -> bool) {
    let (mut client, mut n) = (proxy.open(), 0);
    wait_until(what, || {
        n += 1;
        let id = format!("{name}-{n}");
        assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)), "{what}");
        is()
    });
}

/// Discovery and the release service fail alone and together, in every way; calls are served all the while, the list and
/// the cap held stay in force, and what changed meanwhile is in force once they are back.
#[test]
fn services_that_fail_change_nothing_and_are_heard_again_once_back() {
    std::thread::scope(|scope| {
        for (n, mood) in FAILURES.into_iter().enumerate() {
            for which in [[true, false], [false, true], [true, true]] {
                scope.spawn(move || {
                    outage(&format!("outage-{n}-{which:?}").replace([' ', ','], ""), mood, which)
                });
            }
        }
    });
}

fn outage(name: &str, mood: Mood, [list_fails, news_fail]: [bool; 2]) {
    let (earlier, trial, added) = (sound(), sound(), sound());
    let before = [member("s-1", earlier.addr, 7), member("s-2", trial.addr, 8)];
    let after = [&before[..], &[member("s-3", added.addr, 7)]].concat();
    let (shut, open) = (news(8, 0, "canary", 0.0), news(8, 2, "stable", 1.0));
    let (hosts, releases) = (discovery(list(2, &before)), pipeline(shut.clone()));
    let proxy = start(name, &told([&hosts, &releases], &before[..1], &shut));
    ask_until(&proxy, "before", "served at first", || calls(&earlier) >= 20);
    // They fail, and what they would tell changes.
    [(&hosts, list_fails), (&releases, news_fail)].iter().filter(|s| s.1).for_each(|s| s.0.set(mood));
    let failed = Instant::now();
    ask_until(&proxy, "during", "served in the outage", || failed.elapsed() > Duration::from_millis(1500));
    let held = (calls(&trial), calls(&added));
    assert_eq!(held, (0, 0), "{name}: the trial build is under a cap of 0, the other server is not listed");
    hosts.tell(list(3, &after));
    releases.tell(open);
    ask_until(&proxy, "changed", "served after the change", || {
        failed.elapsed() > Duration::from_millis(2000)
    });
    assert!(!list_fails || calls(&added) == 0, "{name}: a server that discovery could not tell of");
    assert!(!news_fail || calls(&trial) == 0, "{name}: a cap that the service could not lift");
    [&hosts, &releases].iter().for_each(|s| s.set(Mood::Good));
    ask_until(&proxy, "after", &format!("{name}: the new server is used"), || calls(&added) > 0);
    ask_until(&proxy, "released", &format!("{name}: the released build is used"), || calls(&trial) > 0);
    proxy.end();
}

/// An id that returns is what discovery says of it now: another address, another build, another start.
#[test]
fn an_id_that_returns_is_what_it_is_listed_as_now() {
    let (old, new, other) = (sound(), sound(), sound());
    let steady = member("s-2", other.addr, 7);
    let as_listed = |addr: SocketAddr, build| vec![member("s-1", addr, build), steady.clone()];
    let hosts = discovery(list(2, &as_listed(old.addr, 7)));
    let releases = pipeline(news(8, 0, "canary", 0.0));
    let proxy =
        start("returns", &told([&hosts, &releases], &as_listed(old.addr, 7), &news(8, 0, "canary", 0.0)));
    ask_until(&proxy, "a", "the first address is used", || calls(&old) >= 5);
    // The address changes: no call goes to the one that was left, though connections to it stand.
    hosts.tell(list(3, &as_listed(new.addr, 7)));
    ask_until(&proxy, "b", "the new address is used", || calls(&new) >= 5);
    let left = calls(&old);
    let began = Instant::now();
    ask_until(&proxy, "c", "on", || began.elapsed() > Duration::from_millis(300));
    assert_eq!(calls(&old), left, "a call went to the address that was left");
    // Gone, then back with the build on trial under a cap of 0: it gets nothing.
    hosts.tell(list(4, std::slice::from_ref(&steady)));
    let mut at = 0;
    ask_until(&proxy, "d", "the id that is gone is left alone", || {
        let stands = calls(&new) == at;
        at = calls(&new);
        stands && began.elapsed() > Duration::from_millis(900)
    });
    hosts.tell(list(5, &as_listed(new.addr, 8)));
    let began = Instant::now();
    ask_until(&proxy, "e", "on", || began.elapsed() > Duration::from_millis(600));
    assert_eq!(calls(&new), at, "a call went to the trial build above its cap");
    // Back with the earlier build, just started and cold: it is used, and less than the warm one.
    let started =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut cold = as_listed(new.addr, 7);
    cold[0].started = started;
    let warm = calls(&other);
    hosts.tell(list(6, &cold));
    ask_until(&proxy, "f", "the cold server is used", || calls(&new) > at + 2);
    assert!(calls(&new) - at < calls(&other) - warm, "a cold server got as much as a warm one");
    proxy.end();
}

/// Clients that move on to the next proxy where one is down, and count what was not answered.
struct Load {
    stop: AtomicBool,
    served: AtomicUsize,
    /// Ids of calls whose connection closed without an answer.
    broken: Mutex<Vec<String>>,
}

impl Load {
    fn new() -> Load {
        Load { stop: AtomicBool::new(false), served: AtomicUsize::new(0), broken: Mutex::default() }
    }

    /// Asks one call after another until told to stop, on a new connection every twenty.
    fn run(&self, name: &str, proxies: &[SocketAddr]) {
        let (mut at, mut n) = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            at += 1;
            let Ok(stream) = TcpStream::connect(proxies[at % proxies.len()]) else { continue };
            let mut client = common::platform::Client::over(stream);
            for _ in 0..20 {
                n += 1;
                let id = format!("{name}-{n}");
                let sent = client.try_send(&look(&id, 1000));
                match if sent { client.hear() } else { Heard::Closed } {
                    Heard::Value(got) => {
                        assert_eq!(got, value(&id), "another call's answer");
                        self.served.fetch_add(1, Ordering::Relaxed);
                    }
                    Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
                    Heard::Closed => {
                        self.broken.lock().unwrap().push(id);
                        break;
                    }
                }
            }
        }
    }
}

/// Three processes behind one front of clients; one is killed each time and starts again at once. Each serves again, and
/// the trial build's cap holds for every life from its first call.
#[test]
fn killed_under_load_each_life_keeps_the_cap_from_its_first_call() {
    let (earlier, trial) = ([sound(), sound(), sound()], sound());
    let mut members: Vec<Member> =
        ["s-1", "s-2", "s-3"].into_iter().zip(&earlier).map(|(id, s)| member(id, s.addr, 7)).collect();
    members.push(member("s-4", trial.addr, 8));
    let state = news(8, 1, "canary", 0.1);
    let (hosts, releases) = (discovery(list(2, &members)), pipeline(state.clone()));
    let text = told([&hosts, &releases], &members, &state);
    let mut proxies: Vec<Proxy> = (0..3).map(|n| start(&format!("killed-{n}"), &text)).collect();
    let addrs: Vec<SocketAddr> = proxies.iter().map(|p| p.addr).collect();
    let load = Load::new();
    let seen = |servers: &[&Server]| servers.iter().map(|s| calls(s)).sum::<usize>();
    std::thread::scope(|scope| {
        let (load, addrs) = (&load, &addrs);
        for n in 0..4 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for round in 0..6 {
            let before = load.served.load(Ordering::Relaxed);
            wait_until("calls are served", || load.served.load(Ordering::Relaxed) > before + 300);
            let at = round % proxies.len();
            run_again(&format!("killed-{at}"), &mut proxies[at], Signal::KILL);
            // The new life serves by itself.
            ask_until(&proxies[at], &format!("life{round}"), "the new life serves", || true);
        }
        load.stop.store(true, Ordering::Relaxed);
    });
    let (new, all) = (calls(&trial), seen(&[&earlier[0], &earlier[1], &earlier[2], &trial]));
    // Each of the nine lives may be 2 attempts above its cap, as the settings leave 2 uncounted.
    let most = 0.1 * all as f64 + 2.0 * 9.0;
    assert!(new as f64 <= most, "{new} of {all} attempts at the trial build, {most:.0} at most");
    assert!(
        new > 0 && !load.broken.lock().unwrap().is_empty(),
        "nothing was tried: {new} at the trial build"
    );
    proxies.into_iter().for_each(Proxy::end);
}

/// Five processes are told to end one after another, and start again, under load: no call that was written to a
/// connection which a proxy had taken goes without an answer.
#[test]
fn a_rolling_restart_loses_no_call() {
    let servers = [(); 3].map(|()| server(|words, _| Say::Later(Duration::from_millis(15), good(words))));
    let members: Vec<Member> =
        ["s-1", "s-2", "s-3"].into_iter().zip(&servers).map(|(id, s)| member(id, s.addr, 7)).collect();
    let state = news(7, 2, "stable", 1.0);
    let (hosts, releases) = (discovery(list(2, &members)), pipeline(state.clone()));
    let text = told([&hosts, &releases], &members, &state);
    let mut proxies: Vec<Proxy> = (0..5).map(|n| start(&format!("rolled-{n}"), &text)).collect();
    let addrs: Vec<SocketAddr> = proxies.iter().map(|p| p.addr).collect();
    let load = Load::new();
    std::thread::scope(|scope| {
        let (load, addrs) = (&load, &addrs);
        for n in 0..10 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for (at, proxy) in proxies.iter_mut().enumerate() {
            run_again(&format!("rolled-{at}"), proxy, Signal::TERM);
        }
        load.stop.store(true, Ordering::Relaxed);
    });
    let served = load.served.load(Ordering::Relaxed);
    assert!(served > 500, "{served}");
    // A connection may close between calls, and its client sends a call that crossed the close once more. One that had
    // been taken must be answered: it shows at a server.
    let went_on = |id: &String| servers.iter().any(|s| s.got.lock().unwrap().iter().any(|w| w[2] == *id));
    let lost: Vec<String> = load.broken.lock().unwrap().iter().filter(|id| went_on(id)).cloned().collect();
    assert_eq!(lost, Vec::<String>::new(), "calls that went on and were not answered");
    proxies.into_iter().for_each(Proxy::end);
}

/// Datagrams from strangers, too long, of another layout, and a flood of them, from a peer's address too.
#[test]
fn datagrams_that_are_none_do_no_harm() {
    let one = sound();
    let state = news(7, 2, "stable", 1.0);
    let members = [member("s-1", one.addr, 7)];
    let (hosts, releases) = (discovery(list(2, &members)), pipeline(state.clone()));
    let (peer, stranger) = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap()).into();
    let mine = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut json: serde_json::Value =
        serde_json::from_str(&told([&hosts, &releases], &members, &state)).unwrap();
    json["peer_listen"] = mine.to_string().into();
    json["peers"] = serde_json::json!([mine.to_string(), peer.local_addr().unwrap().to_string()]);
    json["settings"]["Caps"]["MayTell"] = true.into();
    json["settings"]["FleetSize"] = 2.into();
    let proxy = start("datagrams", &json.to_string());
    let memory = |pid: u32| {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap()
    };
    ask_until(&proxy, "before", "served", || calls(&one) >= 200);
    let before = memory(proxy.child.id());
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for socket in [&peer, &stranger] {
            let stop = &stop;
            scope.spawn(move || {
                let mut n = 0usize;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    // Lengths from nothing to over the bound, all of another layout or of noise.
                    let bytes: Vec<u8> = (0..n % 400).map(|b| (b * 31 + n * 7) as u8).collect();
                    // A full buffer at the other side drops it, as it may.
                    let _ = socket.send_to(&bytes, mine);
                }
            });
        }
        let began = Instant::now();
        ask_until(&proxy, "during", "served in the flood", || began.elapsed() > Duration::from_secs(1));
        stop.store(true, Ordering::Relaxed);
    });
    let grown = memory(proxy.child.id()).saturating_sub(before);
    assert!(grown < 2048, "{grown} kB more after the flood");
    proxy.end();
}

/// A process that is stopped for five seconds with calls out: its clients hear once each, and it goes on.
#[test]
fn stopped_and_gone_on_it_answers_each_call_once() {
    let slow = server(|words, n| match n {
        0..5 => Say::Later(Duration::from_millis(200), good(words)),
        _ => Say::Bytes(good(words)),
    });
    let members = [member("s-1", slow.addr, 7)];
    let state = news(7, 2, "stable", 1.0);
    let (hosts, releases) = (discovery(list(2, &members)), pipeline(state.clone()));
    let proxy = start("stopped", &told([&hosts, &releases], &members, &state));
    let mut clients: Vec<_> = (0..5).map(|_| proxy.open()).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.send(&look(&format!("out{n}"), 1000)));
    wait_until("the calls are out", || calls(&slow) >= 5);
    proxy.signal(Signal::STOP);
    std::thread::sleep(Duration::from_secs(5));
    proxy.signal(Signal::CONT);
    for (n, client) in clients.iter_mut().enumerate() {
        let id = format!("out{n}");
        // In time by the wire, answered late: the value, or that it is over. Never two answers, never another's.
        match client.hear() {
            Heard::Value(got) => assert_eq!(got, value(&id)),
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            Heard::Closed => panic!("a call that was taken is not answered"),
        }
    }
    // The standstill looked like servers that are late; what is refused for that soon ends.
    let mut m = 0;
    wait_until("it serves again", || {
        m += 1;
        clients[m % 5].ask(&look(&format!("next{m}"), 1000)) == Heard::Value(value(&format!("next{m}")))
    });
    proxy.end();
}

/// A call that comes byte by byte is served; one that takes too long is closed, and no server sees it.
#[test]
fn a_torn_call_is_whole_or_nothing() {
    let one = sound();
    let members = [member("s-1", one.addr, 7)];
    let state = news(7, 2, "stable", 1.0);
    let (hosts, releases) = (discovery(list(2, &members)), pipeline(state.clone()));
    let proxy = start("torn", &told([&hosts, &releases], &members, &state));
    let book = words(&["CALL.POST", "k", "torn", "c=book,t=one,d=2000,k=5c0f", "BODY"]);
    let mut client = proxy.open();
    for byte in &book {
        client.send(&[*byte]);
        std::thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(client.hear(), Heard::Value(value("torn")));
    let mut client = proxy.open();
    let slow = look("slow", 2000);
    let began = Instant::now();
    let mut sent = 0;
    // A byte each 100 ms: closed about 1.5 s after the first.
    while client.try_send(&slow[sent..=sent]) && sent + 1 < slow.len() {
        sent += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.hear(), Heard::Closed);
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
    let got = one.got.lock().unwrap().clone();
    assert!(got.iter().all(|w| w[2] != "slow") && got.iter().filter(|w| w[2] == "torn").count() == 1);
    proxy.end();
}
