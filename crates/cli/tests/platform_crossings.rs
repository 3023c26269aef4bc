//! Where two events cross on the platform's protocol: the program as a process, and peers that make the bad order
//! happen each time (`common/steps.rs`). `docs/crossings.md` has the table of all.

mod common;

use common::platform::{Heard, Proxy, good, launch, start, value, wait_until, words};
use common::services::{Member, list, member};
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

fn get(id: &str) -> Vec<u8> {
    words(&["CALL.GET", "key", id, "c=look,t=one,d=8000"])
}

const ALL: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;

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
