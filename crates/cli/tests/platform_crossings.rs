//! Where two events cross on the platform's protocol: the program as a process, and peers that make the bad order
//! happen each time (`common/steps.rs`). `docs/crossings.md` has the table of all.

mod common;

use common::platform::{Client, Heard, Proxy, Say, good, launch, server, value, wait_until, words};
use common::services::{Member, list, member, news};
use common::steps::{Peer, Wire, timed};
use common::world::{ALL, World, change, get, post, tell, world};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A call is decided for a server whose connection is slow to come up; meanwhile `overtake` happens, and another
/// server is listed. The call is the other's: nothing of it reaches the first.
fn overtaken<T>(
    name: &str,
    trial: &str,
    build: u64,
    overtake: impl FnOnce(&World, &mut Wire, Member, Member) -> T,
) {
    let (mut slow, other) = (Peer::behind_a_shut_door(), Peer::new());
    let first = member("s-1", slow.addr, build);
    let world = world(std::slice::from_ref(&first), trial);
    let (proxy, mut hosts) = world.start(name, std::slice::from_ref(&first));
    let mut client = proxy.open();
    client.send(&get("late"));
    slow.await_dial();
    // Connections that the overtaking opened stay to the end.
    let _kept = overtake(&world, &mut hosts, first, member("s-2", other.addr, 7));
    proxy.settle();
    slow.open_door();
    let reached = slow.accept().until_end();
    assert_eq!(
        String::from_utf8_lossy(&reached),
        "",
        "{name}: sent to a server that it may not have gone to"
    );
    let (mut served_by, got) = other.accept_command();
    served_by.say(&good(&got));
    assert_eq!(client.hear(), Heard::Value(value("late")), "{name}");
    proxy.end();
}

#[test]
fn what_drains_while_a_connection_comes_up_gets_nothing() {
    overtaken("drains", ALL, 7, |_, hosts, first, other| {
        let text = list(3, &[first, other]).replacen(r#""phase":"up""#, r#""phase":"draining""#, 1);
        tell(hosts, &text);
        assert!(hosts.http().contains("index=3&wait="));
    });
}

#[test]
fn what_is_gone_while_a_connection_comes_up_gets_nothing() {
    overtaken("gone", ALL, 7, |_, hosts, _, other| {
        tell(hosts, &list(3, &[other]));
        assert!(hosts.http().contains("index=3&wait="));
    });
}

/// The id comes back at its address with the build on trial, whose cap is 0.
#[test]
fn what_returns_with_another_build_while_a_connection_comes_up_gets_nothing() {
    overtaken("another-build", &news(8, 1, "canary", 0.0), 7, |_, hosts, first, other| {
        change(hosts, 3, &[Member { build: 8, ..first }, other]);
    });
}

/// The cap of the build on trial falls to nothing, and has bound for longer than the grace.
#[test]
fn a_cap_that_falls_while_a_connection_comes_up_holds_for_it() {
    overtaken("cap", &news(8, 1, "canary", 0.5), 8, |world, hosts, _, other| {
        change(hosts, 3, &[other]);
        let mut releases = world.releases.accept();
        let lower = news(8, 1, "canary", 0.0);
        releases.say(format!("{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{lower}}}\n").as_bytes());
        releases
    });
}

/// Attempts of a client that has left are not given up where the settings have no cancelling: they end unsent.
#[test]
fn a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent() {
    let mut slow = Peer::behind_a_shut_door();
    let known = [member("s-1", slow.addr, 7)];
    let mut world = world(&known, ALL);
    world.config["settings"]["Caps"]["Cancelling"] = json!(false);
    let (proxy, _hosts) = world.start("left", &known);
    let mut client = proxy.open();
    client.send(&get("left"));
    slow.await_dial();
    drop(client);
    proxy.settle();
    slow.open_door();
    assert_eq!(String::from_utf8_lossy(&slow.accept().until_end()), "");
    proxy.end();
}

/// A keyed call may have run; its repeat takes longer to connect than repeats are told apart: it is not sent.
#[test]
fn a_repeat_whose_window_ends_while_its_connection_comes_up_is_not_sent() {
    let (one, mut slow) = (Peer::new(), Peer::behind_a_shut_door());
    let known = [member("s-1", one.addr, 7)];
    let mut world = world(&known, ALL);
    world.config["settings"]["Classes"][1]["Window"] = json!(600_000);
    let (proxy, mut hosts) = world.start("window", &known);
    let mut client = proxy.open();
    client.send(&post("once"));
    let (first, got) = one.accept_command();
    assert_eq!(got[2], "once");
    tell(&mut hosts, &list(3, &[member("s-2", slow.addr, 7)]));
    assert!(hosts.http().contains("index=3&wait="));
    first.reset();
    slow.await_dial();
    slow.open_door();
    assert_eq!(String::from_utf8_lossy(&slow.accept().until_end()), "", "sent again after its window");
    assert!(matches!(client.hear(), Heard::Line(text) if text.starts_with('-')));
    proxy.end();
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// A world with one server, started; calls end by 1.2 s.
fn small(name: &str, edit: impl FnOnce(&mut Value)) -> (Peer, Proxy, Wire) {
    let one = Peer::new();
    let known = [member("s-1", one.addr, 7)];
    let mut world = world(&known, ALL);
    for class in world.config["settings"]["Classes"].as_array_mut().unwrap() {
        class["Objective"] = json!(1_100_000);
        class["HardLimit"] = json!(1_200_000);
    }
    edit(&mut world.config);
    let (proxy, hosts) = world.start(name, &known);
    (one, proxy, hosts)
}

/// More connections than two turns of the loop accept wait in the kernel's queue, with their calls, as the process
/// leaves: stopped once it has heard SIGTERM, its next turn is the one in which it leaves.
#[test]
fn a_process_that_leaves_answers_what_waits_in_its_queue() {
    let (one, proxy, _hosts) = small("queue", |config| config["limits"]["sockets"] = json!(1024));
    proxy.settle();
    proxy.signal(Signal::TERM);
    wait_until("SIGTERM is not heard", || proxy.log().contains("ending"));
    proxy.signal(Signal::STOP);
    let mut clients: Vec<Client> = (0..300).map(|_| proxy.open()).collect();
    clients.iter_mut().for_each(|client| client.send(PING));
    std::thread::sleep(Duration::from_millis(600));
    proxy.signal(Signal::CONT);
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.hear(), Heard::Line("+PONG".into()), "connection {n}");
    }
    drop((clients, one));
    assert!(proxy.ended().success());
}

/// A connection that was accepted as the process leaves has its first call on the way; half a call has come on
/// another; a third has one behind the one in flight; a fourth is idle and ends between two calls.
#[test]
fn a_process_that_leaves_answers_what_is_on_its_way() {
    let (gate, held) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (open, holds) = (gate.clone(), held.clone());
    let one = server(move |words, _| {
        holds.fetch_or(words[2] == "flying", Ordering::Relaxed);
        wait_until("the gate stays shut", || words[2] != "flying" || open.load(Ordering::Relaxed));
        Say::Bytes(good(words))
    });
    let known = [member("s-1", one.addr, 7)];
    let (proxy, _hosts) = world(&known, ALL).start("on-its-way", &known);
    let mut clients: Vec<Client> = (0..3).map(|_| proxy.open()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let id = format!("first{n}");
        assert_eq!(client.ask(&get(&id)), Heard::Value(value(&id)));
    }
    let [mut half, mut busy, mut idle] = <[Client; 3]>::try_from(clients).ok().unwrap();
    let mut fresh = proxy.open();
    half.send(&get("half")[..20]);
    busy.send(&get("flying"));
    wait_until("nothing flies", || held.load(Ordering::Relaxed));
    proxy.settle();
    proxy.signal(Signal::TERM);
    assert_eq!(idle.hear(), Heard::Closed);
    busy.send(&get("behind"));
    gate.store(true, Ordering::Relaxed);
    for id in ["flying", "behind"] {
        assert_eq!(busy.hear(), Heard::Value(value(id)));
    }
    half.send(&get("half")[20..]);
    assert_eq!(half.hear(), Heard::Value(value("half")));
    assert_eq!(fresh.ask(&get("fresh")), Heard::Value(value("fresh")));
    drop((half, busy, idle, fresh));
    assert!(proxy.ended().success());
}

/// Clients that read nothing, a call that no server answers, a second SIGTERM, a SIGHUP: the process has ended within
/// the longest deadline of the settings and 0.5 s, with 0, and the call has its answer.
#[test]
fn a_process_that_leaves_ends_in_time_whatever_its_clients_do() {
    let (one, proxy, _hosts) = small("in-time", |_| ());
    let mut deaf = proxy.open();
    deaf.send(&get("deaf"));
    let mut wire = one.accept();
    let words = wire.command();
    let long = "x".repeat(60_000);
    wire.say(format!("*3\r\n${}\r\n{long}\r\n$-1\r\n$-1\r\n", long.len()).as_bytes());
    assert_eq!(words[2], "deaf");
    let mut waits = proxy.open();
    // Longer than the settings' longest: no reason to stay.
    waits.send(&words_of("waits", 60_000));
    let (_silent, words) = one.accept_command();
    assert_eq!(words[2], "waits");
    let silent = proxy.open();
    let (ended, took) = timed(|| {
        proxy.signal(Signal::TERM);
        let answer = waits.hear();
        assert!(matches!(&answer, Heard::Line(text) if text.starts_with('-')), "{answer:?}");
        proxy.signal(Signal::TERM);
        proxy.signal(Signal::HUP);
        proxy.ended()
    });
    assert!(ended.success(), "{ended}");
    assert!(took < Duration::from_millis(1700), "{took:?}");
    drop((deaf, silent));
}

fn words_of(id: &str, wait_ms: u64) -> Vec<u8> {
    words(&["CALL.GET", "key", id, &format!("c=look,t=one,d={wait_ms}")])
}

/// SIGTERM at any moment of the start: the process ends, and by itself with 0 once it hears signals.
#[test]
fn a_process_told_to_end_while_it_starts_ends() {
    let one = Peer::new();
    let world = world(&[member("s-1", one.addr, 7)], ALL);
    for n in 0..12 {
        let proxy = launch("starting", &world.config.to_string());
        // From before the program runs to when it listens.
        std::thread::sleep(Duration::from_millis(n));
        proxy.signal(Signal::TERM);
        let status = proxy.ended();
        let by_signal = std::os::unix::process::ExitStatusExt::signal(&status) == Some(15);
        assert!(status.success() || by_signal, "{status}");
    }
}

/// A client with as many calls out as one connection may have is no longer asked for more; that it leaves shows all
/// the same, and its attempts end.
#[test]
fn a_client_that_leaves_with_a_full_connection_is_noticed() {
    let (one, proxy, _hosts) = small("full", |config| {
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["HardLimit"] = json!(60_000_000);
            class["Objective"] = json!(60_000_000);
        }
    });
    // Nothing else ends them while the test waits: keyed calls are not cut for a repeat.
    let call = |id: &str| words(&["CALL.POST", "key", id, &format!("c=book,t=one,d=60000,k={id}"), "BODY"]);
    let mut client = proxy.open();
    client.send(&(0..32).flat_map(|n| call(&format!("n{n}"))).collect::<Vec<u8>>());
    let mut wires: Vec<Wire> = (0..32).map(|_| one.accept_command().0).collect();
    // And one more behind them, which nobody takes.
    client.send(&call("more"));
    drop(client);
    wires.iter_mut().for_each(|wire| assert_eq!(wire.until_end(), b""));
    proxy.end();
}

/// What waited for room behind a full connection is taken once there is some.
#[test]
fn calls_behind_a_full_connection_are_served_in_their_turn() {
    let (one, proxy, _hosts) = small("turns", |_| ());
    let mut client = proxy.open();
    client.send(&(0..32).flat_map(|n| words_of(&format!("n{n}"), 1000)).collect::<Vec<u8>>());
    let mut wires: Vec<(Wire, Vec<String>)> = (0..32).map(|_| one.accept_command()).collect();
    client.send(&words_of("more", 1000));
    proxy.settle();
    wires.sort_by_key(|(_, words)| words[2][1..].parse::<usize>().unwrap());
    for (n, (wire, words)) in wires.iter_mut().enumerate() {
        wire.say(&good(words));
        assert_eq!(client.hear(), Heard::Value(value(&format!("n{n}"))));
    }
    // On whichever connection it went out, one of these or a new one.
    let mut taken = None;
    wait_until("the call that waited does not come", || {
        let at = wires.iter().position(|(wire, _)| wire.has_more());
        taken = at.map(|at| wires.swap_remove(at).0).or_else(|| one.try_accept());
        taken.is_some()
    });
    let mut wire = taken.unwrap();
    let words = wire.command();
    assert_eq!(words[2], "more");
    wire.say(&good(&words));
    assert_eq!(client.hear(), Heard::Value(value("more")));
    proxy.end();
}

/// Servers close what has rested for 140 ms. A connection that has rested for nearly as long carries nothing more,
/// whenever upkeep last came by.
#[test]
fn a_connection_that_has_rested_too_long_is_not_used_again() {
    let (one, proxy, _hosts) = small("rested", |config| {
        config["settings"]["Caps"]["IdleClose"] = json!(140_000);
        // An attempt that this test answers some milliseconds late must not be cancelled for a retry.
        config["settings"]["Caps"]["Cancelling"] = json!(false);
    });
    let mut client = proxy.open();
    for n in 0..12 {
        let id = format!("n{n}");
        client.send(&get(&id));
        let (mut wire, words) = one.accept_command();
        wire.say(&good(&words));
        assert_eq!(client.hear(), Heard::Value(value(&id)));
        // The proxy has read the answer by now: its connection has rested for at least this long.
        std::thread::sleep(Duration::from_millis(113));
        // The next comes on a connection of its own: nothing follows on this one.
        client.send(&get(&format!("again{n}")));
        let (mut next, words) = one.accept_command();
        next.say(&good(&words));
        assert_eq!(client.hear(), Heard::Value(value(&format!("again{n}"))));
        assert_eq!(wire.until_end(), b"", "round {n}");
        assert_eq!(next.until_end(), b"");
    }
    proxy.end();
}

/// An answer of more than one read that lies there, whole, as its time runs out in a stop of the process: it counts.
#[test]
fn an_answer_that_lies_unread_as_its_time_runs_out_counts() {
    let (one, proxy, _hosts) = small("unread", |_| ());
    let mut client = proxy.open();
    client.send(&words_of("late", 1000));
    let mut wire = one.accept();
    wire.command();
    proxy.signal(Signal::STOP);
    let long = "y".repeat(60_000);
    wire.say(format!("*3\r\n${}\r\n{long}\r\n$-1\r\n$-1\r\n", long.len()).as_bytes());
    std::thread::sleep(Duration::from_millis(1100));
    proxy.signal(Signal::CONT);
    assert!(client.hear() == Heard::Value(long), "the answer was not served");
    proxy.end();
}

/// A second answer follows the first some milliseconds later, while the next call is on its way: it is nobody's. A
/// connection is used again only once it has rested for 10 ms.
#[test]
fn a_second_answer_that_crosses_the_next_call_answers_nobody() {
    let (one, proxy, _hosts) = small("second-answer", |_| ());
    let (mut client, mut quick) = (proxy.open(), 0);
    let mut resting: Option<Wire> = None;
    for n in 0..20 {
        let (id, next) = (format!("n{n}"), format!("next{n}"));
        client.send(&get(&id));
        let (mut wire, words) = accept_on(&one, &mut resting);
        let answered = Instant::now();
        wire.say(&good(&words));
        assert_eq!(client.hear(), Heard::Value(value(&id)));
        client.send(&get(&next));
        let mut old = Some(wire);
        let (mut new, words) = accept_on(&one, &mut old);
        assert_eq!(words[2], next);
        match old {
            None => assert!(answered.elapsed() >= Duration::from_millis(10), "used again at once"),
            Some(mut old) => {
                quick += 1;
                // Nothing else waits on it: the copy comes, and ends it.
                old.say(&good(&["".into(), "".into(), id]));
                assert_eq!(old.until_end(), b"");
            }
        }
        new.say(&good(&words));
        assert_eq!(client.hear(), Heard::Value(value(&next)));
        resting = Some(new);
    }
    assert!(quick > 0, "this machine is too slow to tell");
    proxy.end();
}

/// The next command, on the connection that rests or on a new one; which it was shows in what is left.
fn accept_on(peer: &Peer, resting: &mut Option<Wire>) -> (Wire, Vec<String>) {
    let mut fresh = None;
    wait_until("no command comes", || {
        fresh = peer.try_accept();
        fresh.is_some() || resting.as_ref().is_some_and(Wire::has_more)
    });
    match fresh {
        Some(mut wire) => {
            let words = wire.command();
            (wire, words)
        }
        None => {
            let mut wire = resting.take().unwrap();
            match wire.next_command() {
                Some(words) => (wire, words),
                // It ended instead.
                None => accept_on(peer, &mut None),
            }
        }
    }
}
