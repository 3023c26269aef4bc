//! A platform whose discovery service, release service and servers the test plays itself, step by step.

use super::platform::{Proxy, encode_command, launch, wait_until};
use super::services::{Member, list_json};
use super::steps::{ManualConnection, ManualListener};
use serde_json::{Value, json};

/// The services that a test plays itself, and the configuration of a proxy that uses them.
pub struct Environment {
    pub discovery: ManualListener,
    pub release_service: ManualListener,
    pub config: Value,
}

/// Creates the services. The configuration starts with `known` as its server list; its time-outs are so long
/// that no attempt is cancelled or hedged before a slow connection attempt completes.
pub fn environment(known: &[Member], status: &str) -> Environment {
    let (discovery, release_service) = (ManualListener::new(), ManualListener::new());
    let text = super::platform::config(discovery.addr, release_service.addr, &[], 256);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["known"] = serde_json::from_str(&list_json(1, known)).unwrap();
    config["pipeline"]["news"] = serde_json::from_str(status).unwrap();
    let settings = &mut config["settings"];
    settings["Caps"]["ConnectTimeout"] = json!(5_000_000);
    settings["Contract"]["DrainGrace"] = json!(100_000);
    // The first call to discovery of a new process comes within four tenths of this time; the tests here do
    // not wait for it.
    settings["Contract"]["AskWithin"] = json!(5_000_000);
    settings["FamilyInfo"]["Uncounted"] = json!(2);
    for class in settings["Classes"].as_array_mut().unwrap() {
        class["Objective"] = json!(8_000_000);
        class["HardLimit"] = json!(9_000_000);
    }
    Environment { discovery, release_service, config }
}

impl Environment {
    /// Starts the proxy. Its first call asks for changes since the list that it starts with and gets the full
    /// list in response. Returns the proxy and the connection on which the next watch has been read.
    pub fn start(&self, name: &str, known: &[Member]) -> (Proxy, ManualConnection) {
        let proxy = launch(name, &self.config.to_string());
        let mut discovery = self.discovery.accept();
        let first_request = discovery.expect_request_line();
        assert!(first_request.contains("/discovery/hosts?index=1&wait="), "{first_request}");
        // The proxy accepts no call by a list from before its start.
        wait_until("the proxy does not listen", || proxy.ping().is_some());
        assert_eq!(proxy.ping(), Some(b"-LOADING no server list yet\r\n".to_vec()));
        respond(&mut discovery, &list_json(2, known));
        assert!(discovery.expect_request_line().contains("index=2&wait="));
        wait_until("the proxy does not answer PING with PONG", || {
            proxy.ping() == Some(b"+PONG\r\n".to_vec())
        });
        (proxy, discovery)
    }
}

pub fn respond(discovery: &mut ManualConnection, body: &str) {
    discovery.send(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).as_bytes());
}

/// Responds to a watch without changes, at this revision.
pub fn respond_unchanged(discovery: &mut ManualConnection, revision: u64) {
    respond(discovery, &format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#));
}

/// Responds to a watch with changes and waits until the proxy has read them, which shows in its next watch.
pub fn respond_with_changes(discovery: &mut ManualConnection, revision: u64, members: &[Member]) {
    respond(discovery, &list_json(revision, members).replace(r#""complete":true"#, r#""complete":false"#));
    assert!(discovery.expect_request_line().contains(&format!("index={revision}&wait=")));
}

pub fn get(id: &str) -> Vec<u8> {
    encode_command(&["CALL.GET", "key", id, "c=look,t=one,d=8000"])
}

pub fn post(id: &str) -> Vec<u8> {
    encode_command(&["CALL.POST", "key", id, "c=book,t=one,d=8000,k=5c0f", "BODY"])
}

pub const RELEASED_TO_ALL: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;
