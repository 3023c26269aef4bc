//! The proxy on the platform's protocol, as processes whose surroundings fail: discovery and the release service,
//! servers that come back as something else, kills, stops, restarts, strangers' datagrams, slow clients.

mod common;

use common::platform::{
    Heard, Proxy, Say, Server, good, look, run_again, server, start, value, wait_until, words,
};
use common::services::{FAILURES, Member, Mood, Service, discovery, list, member, news, pipeline, told};
use rustix::process::Signal;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that answers well at once.
fn sound() -> Server {
    server(|words, _| Say::Bytes(good(words)))
}

fn calls(server: &Server) -> usize {
    server.got.lock().unwrap().len()
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
                    outage(&format!("outage-{n}-{which:?}").replace([' ', ','], ""), mood, which);
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

/// A start whose address is still held by somebody waits for it; a configuration that is half written at SIGHUP is read again
/// until it is whole, without another signal.
#[test]
fn a_start_and_a_reload_wait_for_what_is_missing_for_a_moment() {
    let (first, second) = (sound(), sound());
    let known = [member("s-1", first.addr, 7)];
    let (hosts, moved) = (discovery(list(2, &known)), discovery(list(9, &[member("s-2", second.addr, 7)])));
    let releases = pipeline(news(7, 2, "stable", 1.0));
    let text = told([&hosts, &releases], &known, &news(7, 2, "stable", 1.0));
    let proxy = common::platform::launch_behind("moment", &text, |held| {
        // Until the program has tried and found it taken.
        wait_until("it does not say that it waits", || held.log().contains("trying again"));
    });
    wait_until("it serves", || proxy.ping() == Some(b"+PONG\r\n".to_vec()));
    ask_until(&proxy, "first", "served", || calls(&first) > 0);
    let whole = told([&moved, &releases], &known, &news(7, 2, "stable", 1.0));
    std::fs::write(&proxy.file, &whole[..whole.len() / 2]).unwrap();
    proxy.signal(Signal::HUP);
    wait_until("it does not say that it goes on", || {
        proxy.log().contains("the old configuration stays for now")
    });
    std::fs::write(&proxy.file, &whole).unwrap();
    ask_until(&proxy, "second", "the new discovery's server is used", || calls(&second) > 0);
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
    let text = told([&hosts, &releases], &as_listed(old.addr, 7), &news(8, 0, "canary", 0.0));
    // What starts here stays cold to the end of the test, however slow the machine is.
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["settings"]["Contract"]["Cold"] = 600_000_000.into();
    let proxy = start("returns", &json.to_string());
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
    hosts.tell(list(6, &cold));
    ask_until(&proxy, "f", "the cold server is used", || calls(&new) > at);
    // Of so many that a draw by its weight, 0.31 beside 1, gives it half of them in none of a billion plays.
    let (first, warm) = (calls(&new), calls(&other));
    ask_until(&proxy, "g", "calls go on", || calls(&new) + calls(&other) >= first + warm + 200);
    let got = (calls(&new) - first, calls(&other) - warm);
    assert!(got.0 > 0 && got.0 < got.1, "cold and warm server got {got:?}");
    proxy.end();
}

/// Clients that move on to the next proxy where one is down, and count what was not answered.
struct Load {
    stop: AtomicBool,
    served: AtomicUsize,
    /// When each call was sent, and where.
    asked: Mutex<Vec<(Instant, SocketAddr)>>,
    /// So many keys are used in turn; 0: each call has its own.
    keys: usize,
    /// Ids of calls whose connection closed without an answer.
    broken: Mutex<Vec<String>>,
}

/// Stops the load also where a test fails: its threads would run on else, and the test with them.
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
            asked: Mutex::default(),
            keys: 0,
            broken: Mutex::default(),
        }
    }

    /// Asks one call after another until told to stop, on a new connection every twenty.
    fn run(&self, name: &str, proxies: &[SocketAddr]) {
        let (mut at, mut n) = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            at += 1;
            let to = proxies[at % proxies.len()];
            let Ok(stream) = TcpStream::connect(to) else { continue };
            let mut client = common::platform::Client::over(stream);
            for _ in 0..20 {
                n += 1;
                let id = format!("{name}-{n}");
                let key = if self.keys == 0 { id.clone() } else { format!("key-{}", n % self.keys) };
                self.asked.lock().unwrap().push((Instant::now(), to));
                let sent = client.try_send(&words(&["CALL.GET", &key, &id, "c=look,t=one,d=1000"]));
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

/// What one life of a proxy sent: its servers are its own, so that nothing of another life's is taken for it.
struct Life {
    servers: [Server; 2],
    /// Where its proxy listens, since when.
    at: Option<(SocketAddr, Instant)>,
    /// When, to which build, with which key.
    sent: Arc<Mutex<Vec<(Instant, u64, String)>>>,
}

impl Life {
    fn begin() -> Life {
        let sent: Arc<Mutex<Vec<(Instant, u64, String)>>> = Arc::default();
        let of_build = |build: u64| {
            let sent = sent.clone();
            server(move |words, _| {
                sent.lock().unwrap().push((Instant::now(), build, words[1].clone()));
                Say::Bytes(good(words))
            })
        };
        Life { servers: [of_build(7), of_build(8)], at: None, sent: sent.clone() }
    }

    fn members(&self) -> [Member; 2] {
        [member("s-1", self.servers[0].addr, 7), member("s-2", self.servers[1].addr, 8)]
    }

    /// Rule 5 from the first call on: the attempts at the trial build are never more than 2, and the cap and 4% of
    /// the calls that this life was sent; a key that the trial build has answered does not go back. `asked` has the
    /// calls' times. The attempts at both builds.
    fn check(&self, cap: f64, asked: &[Instant]) -> [usize; 2] {
        let mut sent = self.sent.lock().unwrap().clone();
        sent.sort();
        let (mut counts, mut answered) = ([0, 0], HashMap::new());
        for (at, build, key) in sent {
            counts[(build - 7) as usize] += 1;
            let taken = asked.iter().filter(|asked| **asked <= at).count();
            let most = (cap + 0.04) * taken as f64 + 2.0;
            assert!(counts[1] as f64 <= most, "{counts:?}, {taken} calls: above the cap of {cap}");
            if build == 8 {
                answered.entry(key).or_insert(at);
            } else if let Some(since) = answered.get(&key) {
                let after = at.duration_since(*since);
                assert!(after < Duration::from_millis(150), "key {key} went back after {after:?}");
            }
        }
        counts
    }
}

/// Three processes behind one front of clients; one is killed each time and starts again at once. Each life serves,
/// and keeps cap and keys from its first call.
#[test]
fn killed_under_load_each_life_keeps_cap_and_keys_from_its_first_call() {
    let cap = 0.3;
    let state = news(8, 1, "canary", cap);
    let releases = pipeline(state.clone());
    let mut lives: Vec<Life> = (0..3).map(|_| Life::begin()).collect();
    let hosts: Vec<Service> = lives.iter().map(|life| discovery(list(2, &life.members()))).collect();
    let text = |n: usize, life: &Life| told([&hosts[n], &releases], &life.members(), &state);
    let mut proxies: Vec<Proxy> =
        (0..3).map(|n| start(&format!("killed-{n}"), &text(n, &lives[n]))).collect();
    let addrs: Vec<SocketAddr> = proxies.iter().map(|p| p.addr).collect();
    lives.iter_mut().zip(&addrs).for_each(|(life, addr)| life.at = Some((*addr, Instant::now())));
    let load = Load { keys: 500, ..Load::new() };
    std::thread::scope(|scope| {
        let (load, addrs) = (&load, &addrs);
        let _stop = StopAtEnd(&load.stop);
        for n in 0..4 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for round in 0..6 {
            let at = round % proxies.len();
            // Replaced in turn, the last three lives are those that run, the oldest first.
            let newest = lives.len() - 3;
            wait_until("this life is used", || lives[newest].sent.lock().unwrap().len() > 150);
            // The next life's servers are listed before it starts; the one that goes may still learn of them.
            let mut life = Life::begin();
            proxies[at].signal(Signal::KILL);
            hosts[at].tell(list(3 + round as u64, &life.members()));
            std::fs::write(&proxies[at].file, text(at, &life)).unwrap();
            life.at = Some((addrs[at], Instant::now()));
            run_again(&format!("killed-{at}"), &mut proxies[at], Signal::KILL);
            lives.push(life);
        }
        wait_until("the last lives are used", || {
            lives[lives.len() - 3..].iter().all(|life| life.sent.lock().unwrap().len() > 150)
        });
    });
    let asked = load.asked.lock().unwrap();
    let of_life = |n: usize| -> Vec<Instant> {
        let (addr, since) = lives[n].at.unwrap();
        // Until the next life under this address begins.
        let later = lives[n + 1..].iter().find_map(|l| l.at.filter(|at| at.0 == addr));
        let is = |at: &Instant| *at >= since && later.is_none_or(|later| *at < later.1);
        asked.iter().filter(|(at, to)| *to == addr && is(at)).map(|a| a.0).collect()
    };
    let counts: Vec<[usize; 2]> =
        lives.iter().enumerate().map(|(n, life)| life.check(cap, &of_life(n))).collect();
    assert!(
        counts.iter().all(|[earlier, trial]| *earlier > 50 && *trial > 5),
        "nothing was tried: {counts:?}"
    );
    assert!(!load.broken.lock().unwrap().is_empty(), "no call was out at a kill");
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
        let _stop = StopAtEnd(&load.stop);
        for n in 0..10 {
            scope.spawn(move || load.run(&format!("load{n}"), addrs));
        }
        for (at, proxy) in proxies.iter_mut().enumerate() {
            run_again(&format!("rolled-{at}"), proxy, Signal::TERM);
        }
    });
    // A connection may close between calls, and its client sends a call that crossed the close once more. One that had
    // been taken must be answered: it shows at a server.
    let went_on = |id: &String| servers.iter().any(|s| s.got.lock().unwrap().iter().any(|w| w[2] == *id));
    let lost: Vec<String> = load.broken.lock().unwrap().iter().filter(|id| went_on(id)).cloned().collect();
    assert_eq!(lost, Vec::<String>::new(), "calls that went on and were not answered");
    let served = load.served.load(Ordering::Relaxed);
    assert!(served > 500, "{served}");
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
        let _stop = StopAtEnd(&stop);
        let began = Instant::now();
        ask_until(&proxy, "during", "served in the flood", || began.elapsed() > Duration::from_secs(1));
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
