//! Where two events cross on the platform's protocol: the program as a process, and peers that make the bad order
//! happen each time (`common/steps.rs`). `docs/crossings.md` has the table of all.

mod common;

use common::platform::{Heard, Proxy, good, launch, start, value, wait_until, words};
use common::services::{Member, list, member, news};
use common::steps::{Peer, Wire};
use serde_json::{Value, json};

/// A world whose every peer a test plays itself: discovery, the release service, servers.
struct World {
    hosts: Peer,
    releases: Peer,
    config: Value,
}

/// The list held at the start has these servers; nothing is cut or hedged before a slow dial comes up.
fn world(known: &[Member], trial: &str) -> World {
    let (hosts, releases) = (Peer::new(), Peer::new());
    let text = common::platform::config(hosts.addr, releases.addr, &[], 256);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["known"] = serde_json::from_str(&list(1, known)).unwrap();
    config["pipeline"]["news"] = serde_json::from_str(trial).unwrap();
    let settings = &mut config["settings"];
    settings["Caps"]["ConnectTimeout"] = json!(5_000_000);
    settings["Contract"]["DrainGrace"] = json!(100_000);
    settings["FamilyInfo"]["Uncounted"] = json!(2);
    for class in settings["Classes"].as_array_mut().unwrap() {
        class["Objective"] = json!(8_000_000);
        class["HardLimit"] = json!(9_000_000);
    }
    World { hosts, releases, config }
}

impl World {
    /// Starts the program and answers its first call for the list: the program, and the watch that follows.
    fn start(&self, name: &str, known: &[Member]) -> (Proxy, Wire) {
        let proxy = start(name, &self.config.to_string());
        let mut hosts = self.hosts.accept();
        assert_eq!(hosts.http(), "GET /discovery/hosts HTTP/1.1");
        tell(&mut hosts, &list(2, known));
        assert!(hosts.http().contains("index=2&wait="));
        (proxy, hosts)
    }
}

fn tell(hosts: &mut Wire, body: &str) {
    hosts.say(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).as_bytes());
}

/// Tells changes on a watch and waits until they are heard: the next watch asks for what is newer.
fn change(hosts: &mut Wire, revision: u64, members: &[Member]) {
    tell(hosts, &list(revision, members).replace(r#""complete":true"#, r#""complete":false"#));
    assert!(hosts.http().contains(&format!("index={revision}&wait=")));
}

fn get(id: &str) -> Vec<u8> {
    words(&["CALL.GET", "key", id, "c=look,t=one,d=8000"])
}

fn post(id: &str) -> Vec<u8> {
    words(&["CALL.POST", "key", id, "c=book,t=one,d=8000,k=5c0f", "BODY"])
}

const ALL: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;

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

/// Pushed lists come over calls and watches here too; what the service has counts from the first moment of a
/// process, so that none says it is ready before it has asked.
#[test]
fn pushed_lists_are_followed_from_the_first_moment() {
    let (one, two) = (Peer::new(), Peer::new());
    let known = [member("s-1", one.addr, 7)];
    let mut world = world(&known, ALL);
    world.config["settings"]["Discovery"] = json!("pushed");
    let proxy = launch("pushed", &world.config.to_string());
    let mut hosts = world.hosts.accept();
    assert_eq!(hosts.http(), "GET /discovery/hosts HTTP/1.1");
    wait_until("it does not listen", || proxy.ping().is_some());
    assert_eq!(proxy.ping().unwrap(), b"-LOADING no server list yet\r\n");
    tell(&mut hosts, &list(2, &known));
    assert!(hosts.http().contains("index=2&wait="));
    wait_until("it is not ready", || proxy.ping().unwrap() == b"+PONG\r\n");
    // A change, and one more after that.
    for (revision, now) in [(3, &two), (4, &one)] {
        tell(&mut hosts, &list(revision, &[member("s-9", now.addr, 7)]));
        assert!(hosts.http().contains(&format!("index={revision}&wait=")));
        let mut client = proxy.open();
        let id = format!("r{revision}");
        client.send(&get(&id));
        let (mut wire, got) = now.accept_command();
        assert_eq!(got[2], id);
        wire.say(&good(&got));
        assert_eq!(client.hear(), Heard::Value(value(&id)));
    }
    proxy.end();
}
