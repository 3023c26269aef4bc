//! A client that closes its connection has gone, whatever else it has sent before: nothing more is sent to a
//! server for it, and nobody else can have its request run again.

mod common;

use common::platform::{
    Client, Heard, Proxy, Say, Server, config, discovery, encode_command, good, look, pipeline, server,
    start, timed_server, wait_until,
};
use rustix::process::Signal;
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a server takes to turn an attempt away. The clients leave before that.
const TURNED_AWAY_AFTER: Duration = Duration::from_millis(500);
/// How long a client stays after it has sent its calls.
const STAY: Duration = Duration::from_millis(60);
/// Attempts may begin for this long after a close (0.1 s on the protocol page, and some for this machine).
const CLOSE_DETECTION: Duration = Duration::from_millis(150);
/// For how long the proxy is held up; the platform holds it up for 0.15 s at the most.
const HOLD_UP: Duration = Duration::from_millis(150);
/// More than clients may have waiting on one connection.
const LONG_BURST: usize = 100;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// What a client sends besides its calls before it leaves.
struct Leftover {
    name: &'static str,
    /// Sent in one write with the calls.
    with_calls: Vec<u8>,
    /// Sent a moment later.
    later: Vec<u8>,
}

impl Leftover {
    fn with_calls(name: &'static str, bytes: Vec<u8>) -> Leftover {
        Leftover { name, with_calls: bytes, later: Vec::new() }
    }

    fn later(name: &'static str, bytes: Vec<u8>) -> Leftover {
        Leftover { name, with_calls: Vec::new(), later: bytes }
    }
}

fn start_proxy(name: &str, servers: &[Server]) -> Proxy {
    let addrs: Vec<SocketAddr> = servers.iter().map(|server| server.addr).collect();
    start(name, &config(discovery(&addrs), pipeline().0, &addrs, 1024))
}

fn received(servers: &[Server]) -> usize {
    servers.iter().map(|server| server.received.lock().unwrap().len()).sum()
}

/// Sends two calls and the leftover and leaves. Returns how long after that each further attempt began.
fn attempts_after_leaving(leftover: &Leftover) -> Vec<Duration> {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let refuser = || {
        let arrivals = arrivals.clone();
        server(move |_, _| {
            arrivals.lock().unwrap().push(Instant::now());
            Say::Later(TURNED_AWAY_AFTER, b"-BUSY\r\n".to_vec())
        })
    };
    let servers: Vec<Server> = (0..4).map(|_| refuser()).collect();
    let proxy = start_proxy(&format!("left-{}", leftover.name), &servers);
    let mut stream = TcpStream::connect(proxy.addr).unwrap();
    let calls = [look("left-a", 2_000), look("left-b", 2_000), leftover.with_calls.clone()].concat();
    // The proxy does not have to take all that a client sends.
    stream.set_nonblocking(true).unwrap();
    stream.write_all(&calls).unwrap();
    std::thread::sleep(STAY / 2);
    let _ = stream.write(&leftover.later);
    std::thread::sleep(STAY / 2);
    assert!(received(&servers) >= 2, "{}: the calls were not sent before their client left", leftover.name);
    drop(stream);
    let left_at = Instant::now();
    std::thread::sleep(2 * TURNED_AWAY_AFTER);
    proxy.end();
    let arrivals = arrivals.lock().unwrap();
    arrivals.iter().filter_map(|at| at.checked_duration_since(left_at + CLOSE_DETECTION)).collect()
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_whatever_it_sent_before() {
    let half_call = ["CALL.POST", "key", "half", "c=book,t=one,d=3000,k=1", &"x".repeat(60_000)];
    let half_call = encode_command(&half_call)[..50_000].to_vec();
    let huge_value = [&b"*5\r\n$9\r\nCALL.POST\r\n$70000000\r\n"[..], &vec![b'x'; 8_000_000]].concat();
    let leftovers = [
        Leftover::with_calls("nothing", Vec::new()),
        Leftover::with_calls("unknown", encode_command(&["HELO"])),
        Leftover::with_calls("same-id", look("left-a", 2_000)),
        Leftover::with_calls("pings", PING.repeat(25)),
        Leftover::later("noise", b"hello\r\n".to_vec()),
        Leftover::later("burst", PING.repeat(LONG_BURST)),
        Leftover::later("half-call", half_call),
        Leftover::later("huge-value", huge_value),
        Leftover::later("many-calls", look("more", 2_000).repeat(20_000)),
        Leftover {
            name: "queue-and-burst",
            with_calls: PING.repeat(30),
            later: look("more", 2_000).repeat(20_000),
        },
    ];
    let sent_on = |leftover: &Leftover| {
        let late = attempts_after_leaving(leftover);
        (!late.is_empty()).then(|| format!("{}: {late:?}", leftover.name))
    };
    let violations: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = leftovers.iter().map(|leftover| scope.spawn(|| sent_on(leftover))).collect();
        runs.into_iter().filter_map(|run| run.join().unwrap()).collect()
    });
    assert!(violations.is_empty(), "attempts after the client had left: {violations:?}");
}

/// How a client leaves while the proxy is held up.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// Its call is turned away, and then it leaves.
    TurnedAway,
    /// The same, with half a call still unread.
    TurnedAwayAndHalfCall,
    /// The same, and it resets its connection.
    TurnedAwayAndReset,
    /// It sends another call and leaves.
    NewCall,
    /// It sends another call with many pings and leaves.
    NewCallAndPings,
}

/// Makes the proxy keep idle connections to its servers, on which it can send at once.
fn open_server_connections(proxy: &Proxy) {
    let mut clients: Vec<Client> = (0..16).map(|_| proxy.open()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&look(&format!("warm-{n}"), 2_000));
    }
    for client in &mut clients {
        assert!(matches!(client.read_reply(), Heard::Value(_)));
    }
    std::thread::sleep(STAY);
}

/// A server holds back its refusal of a call. While the proxy is stopped, the server sends it and the client
/// leaves. Returns how long after that each further attempt began.
fn attempts_after_leaving_unnoticed(departure: Departure) -> Vec<Duration> {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let is_stopped: Arc<AtomicBool> = Arc::default();
    let refuser = || {
        let (arrivals, is_stopped) = (arrivals.clone(), is_stopped.clone());
        timed_server(move |words, arrived_at| {
            if words[2].starts_with("warm") {
                return Say::Later(STAY, good(words));
            }
            arrivals.lock().unwrap().push(arrived_at);
            wait_until("the proxy is not stopped", || is_stopped.load(Ordering::Relaxed));
            Say::Bytes(b"-BUSY\r\n".to_vec())
        })
    };
    let addrs: Vec<SocketAddr> = (0..4).map(|_| refuser()).collect();
    let name = format!("unnoticed-{departure:?}");
    let proxy = start(&name, &config(discovery(&addrs), pipeline().0, &addrs, 1024));
    open_server_connections(&proxy);
    let mut client = proxy.open();
    client.send(&look("left", 2_000));
    wait_until("no server has the call", || !arrivals.lock().unwrap().is_empty());
    proxy.signal(Signal::STOP);
    let is_refused = !matches!(departure, Departure::NewCall | Departure::NewCallAndPings);
    is_stopped.store(is_refused, Ordering::Relaxed);
    std::thread::sleep(HOLD_UP / 10);
    match departure {
        Departure::TurnedAway => {}
        Departure::TurnedAwayAndHalfCall => client.send(&look("more", 2_000)[..20]),
        Departure::TurnedAwayAndReset => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        Departure::NewCall => client.send(&look("more", 2_000)),
        Departure::NewCallAndPings => client.send(&[look("more", 2_000), PING.repeat(20)].concat()),
    }
    drop(client);
    let left_at = Instant::now();
    std::thread::sleep(HOLD_UP);
    proxy.signal(Signal::CONT);
    std::thread::sleep(2 * HOLD_UP);
    is_stopped.store(true, Ordering::Relaxed);
    proxy.end();
    let arrivals = arrivals.lock().unwrap();
    arrivals.iter().filter_map(|at| at.checked_duration_since(left_at)).collect()
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_while_the_proxy_was_held_up() {
    let departures = [
        Departure::TurnedAway,
        Departure::TurnedAwayAndHalfCall,
        Departure::TurnedAwayAndReset,
        Departure::NewCall,
        Departure::NewCallAndPings,
    ];
    let sent_on = departures.map(|departure| (departure, attempts_after_leaving_unnoticed(departure)));
    let violations: Vec<_> = sent_on.iter().filter(|(_, late)| !late.is_empty()).collect();
    assert!(violations.is_empty(), "attempts after the client had left: {violations:?}");
}

fn book(id: &str) -> Vec<u8> {
    encode_command(&["CALL.POST", &format!("key-{id}"), id, &format!("c=book,t=one,d=3000,k={id}"), "BODY"])
}

/// Sends a call whose server does not answer, leaves, and sends the same bytes again after a while.
fn send_again_after_leaving(proxy: &Proxy, call: &[u8], pause: Duration) -> Heard {
    let mut first = proxy.open();
    first.send(call);
    std::thread::sleep(STAY);
    drop(first);
    std::thread::sleep(pause);
    let mut second = proxy.open();
    second.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    second.ask(call)
}

#[test]
fn an_id_does_not_run_again_after_its_client_has_left() {
    let servers = [server(|_, _| Say::Nothing)];
    let proxy = start_proxy("again", &servers);
    let pauses = [5, 50, 400, 3_500].map(Duration::from_millis);
    for (n, pause) in pauses.into_iter().enumerate() {
        for (kind, call) in [look(&format!("look-{n}"), 2_000), book(&format!("book-{n}"))].iter().enumerate()
        {
            let before = received(&servers);
            let answer = send_again_after_leaving(&proxy, call, pause);
            assert_eq!(received(&servers), before + 1, "the call ran again: {kind} after {pause:?}");
            assert!(matches!(&answer, Heard::Line(text) if text.starts_with("-ERR")), "{answer:?}");
        }
    }
    proxy.end();
}
