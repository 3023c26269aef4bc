//! A platform whose every peer a test plays itself, step by step: discovery, the release service, servers.

use super::platform::{Proxy, launch, wait_until, words};
use super::services::{Member, list};
use super::steps::{Peer, Wire};
use serde_json::{Value, json};

/// A world whose every peer a test plays itself: discovery, the release service, servers.
pub struct World {
    pub hosts: Peer,
    pub releases: Peer,
    pub config: Value,
}

/// The list held at the start has these servers; nothing is cut or hedged before a slow dial comes up.
pub fn world(known: &[Member], trial: &str) -> World {
    let (hosts, releases) = (Peer::new(), Peer::new());
    let text = super::platform::config(hosts.addr, releases.addr, &[], 256);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["known"] = serde_json::from_str(&list(1, known)).unwrap();
    config["pipeline"]["news"] = serde_json::from_str(trial).unwrap();
    let settings = &mut config["settings"];
    settings["Caps"]["ConnectTimeout"] = json!(5_000_000);
    settings["Contract"]["DrainGrace"] = json!(100_000);
    // The first call of a life comes within four tenths of this; nothing here waits for that.
    settings["Contract"]["AskWithin"] = json!(5_000_000);
    settings["FamilyInfo"]["Uncounted"] = json!(2);
    for class in settings["Classes"].as_array_mut().unwrap() {
        class["Objective"] = json!(8_000_000);
        class["HardLimit"] = json!(9_000_000);
    }
    World { hosts, releases, config }
}

impl World {
    /// Starts the program, whose first call asks for what is newer than the list that it starts with, and answers with
    /// the whole list: the program, and the watch that follows.
    pub fn start(&self, name: &str, known: &[Member]) -> (Proxy, Wire) {
        let proxy = launch(name, &self.config.to_string());
        let mut hosts = self.hosts.accept();
        let asked = hosts.http();
        assert!(asked.contains("/discovery/hosts?index=1&wait="), "{asked}");
        // Nothing is taken by a list from before the start.
        wait_until("it listens", || proxy.ping().is_some());
        assert_eq!(proxy.ping(), Some(b"-LOADING no server list yet\r\n".to_vec()));
        tell(&mut hosts, &list(2, known));
        assert!(hosts.http().contains("index=2&wait="));
        wait_until("it does not serve", || proxy.ping() == Some(b"+PONG\r\n".to_vec()));
        (proxy, hosts)
    }
}

pub fn tell(hosts: &mut Wire, body: &str) {
    hosts.say(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).as_bytes());
}

/// An answer without changes, at this version.
pub fn tell_unchanged(hosts: &mut Wire, revision: u64) {
    tell(hosts, &format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#));
}

/// Tells changes on a watch and waits until they are heard: the next watch asks for what is newer.
pub fn change(hosts: &mut Wire, revision: u64, members: &[Member]) {
    tell(hosts, &list(revision, members).replace(r#""complete":true"#, r#""complete":false"#));
    assert!(hosts.http().contains(&format!("index={revision}&wait=")));
}

pub fn get(id: &str) -> Vec<u8> {
    words(&["CALL.GET", "key", id, "c=look,t=one,d=8000"])
}

pub fn post(id: &str) -> Vec<u8> {
    words(&["CALL.POST", "key", id, "c=book,t=one,d=8000,k=5c0f", "BODY"])
}

pub const ALL: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;
