//! The release status of the platform proxy, which arrives on a watch and in replies to votes: a report that
//! was overtaken on another connection must not replace a newer one. The test plays the release service.

mod common;

use common::platform::{
    Client, Heard, Proxy, Say, Server, config, good, look, server, start, value, wait_until,
};
use common::services::{Member, Service, discovery, list_json, member};
use common::steps::{ManualConnection, ManualListener};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The build on trial and the earlier one.
const NEW_BUILD: u64 = 8;
const EARLIER_BUILD: u64 = 7;
/// How long the trial has been in force when the release service reports it, in milliseconds.
const TRIAL_AGE_MS: u64 = 60_000;
/// The drain grace of the configuration, in microseconds, after which a lower cap binds.
const GRACE_US: u64 = 100_000;
/// Longer than [`GRACE_US`] and the time that an attempt takes.
const PAST_GRACE: Duration = Duration::from_millis(400);
/// How many calls are made after a lower cap binds. With the cap of the trial, half of them would go to the
/// new build.
const CALLS_AFTER_GRACE: usize = 60;
/// How long the test waits for the vote, which needs several windows of evidence.
const VOTE_LIMIT: Duration = Duration::from_secs(60);
/// The interval of the heartbeats on the watch, of which one must come every 3 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How many threads call the proxy until it votes.
const CALLERS: usize = 4;

fn status(state: &str, cap: f64, age_ms: u64) -> Value {
    json!({"Revision": NEW_BUILD, "Wave": 1, "State": state, "MaxShare": cap, "AgeMs": age_ms})
}

/// A proxy that has voted on the new build, and the connections of its release service.
struct VotedTrial {
    proxy: Proxy,
    new_server: Server,
    watch: ManualConnection,
    vote: ManualConnection,
    vote_id: u64,
    _earlier_server: Server,
    _discovery: Service,
    _release_service: ManualListener,
}

impl VotedTrial {
    /// Starts a proxy with one server of each build, and lets clients call it until it votes.
    fn start(name: &str) -> VotedTrial {
        let [new_server, earlier_server] = [(); 2].map(|()| server(|words, _| Say::Bytes(good(words))));
        let members = [
            member("s-new", new_server.addr, NEW_BUILD),
            member("s-earlier", earlier_server.addr, EARLIER_BUILD),
        ];
        let (discovery, release_service) = (discovery(list_json(2, &members)), ManualListener::new());
        let proxy = start(name, &trial_config(&discovery, &release_service, &members));
        let mut watch = release_service.accept();
        assert!(watch.expect_line().contains("Events.Watch"));
        watch.send(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n");
        notify(&mut watch, &status("canary", 0.5, TRIAL_AGE_MS));
        let mut vote = call_until_connected(&proxy, &release_service, &mut watch);
        let call: Value = serde_json::from_str(&vote.expect_line()).unwrap();
        assert_eq!(call["params"]["Decision"], "promote", "{call}");
        VotedTrial {
            proxy,
            new_server,
            watch,
            vote,
            vote_id: call["id"].as_u64().unwrap(),
            _earlier_server: earlier_server,
            _discovery: discovery,
            _release_service: release_service,
        }
    }

    fn reply_to_vote(&mut self, status: &Value) {
        let reply = json!({"jsonrpc": "2.0", "id": self.vote_id, "result": status});
        self.vote.send(format!("{reply}\n").as_bytes());
    }

    fn await_log(&self, text: &str) {
        wait_until(&format!("not in the log: {text}"), || self.proxy.log().contains(text));
    }

    /// Waits until the cap of 0 binds, and checks that no call goes to the new build any more.
    fn expect_no_attempts_at_new_build(self) {
        self.proxy.await_input_read();
        std::thread::sleep(PAST_GRACE);
        let attempts = || self.new_server.received.lock().unwrap().len();
        let before = attempts();
        let mut client = self.proxy.open();
        for n in 0..CALLS_AFTER_GRACE {
            let id = format!("after-{n}");
            assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)));
        }
        assert_eq!(attempts() - before, 0, "attempts at a build with the cap 0:\n{}", self.proxy.log());
        self.proxy.end();
    }
}

fn trial_config(discovery: &Service, release_service: &ManualListener, members: &[Member]) -> String {
    let text = config(discovery.addr, release_service.addr, &[], 256);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["known"] = serde_json::from_str(&list_json(1, members)).unwrap();
    config["pipeline"]["news"] = status("canary", 0.5, TRIAL_AGE_MS);
    config["settings"]["Contract"]["DrainGrace"] = json!(GRACE_US);
    config["settings"]["FamilyInfo"]["OneWay"] = json!(false);
    config["settings"]["FamilyInfo"]["Uncounted"] = json!(2);
    // The test takes its time for the reply to the vote.
    config["settings"]["FamilyInfo"]["CallTimeout"] = json!(10_000_000);
    config["settings"]["FamilyInfo"]["VoteTtl"] = json!(60_000_000);
    config.to_string()
}

fn notify(watch: &mut ManualConnection, status: &Value) {
    let notification = json!({"jsonrpc": "2.0", "method": "stage", "params": status});
    watch.send(format!("{notification}\n").as_bytes());
}

/// Calls the proxy until it opens a further connection to the release service, which it does to vote.
/// Meanwhile the watch has its heartbeats.
fn call_until_connected(
    proxy: &Proxy,
    release_service: &ManualListener,
    watch: &mut ManualConnection,
) -> ManualConnection {
    let stop = AtomicBool::new(false);
    let mut connection = None;
    let mut heartbeat_at = Instant::now();
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (stop, client) = (&stop, proxy.open());
            scope.spawn(move || call_until(stop, client, caller));
        }
        let _stop_at_end = StopAtEnd(&stop);
        let give_up_at = Instant::now() + VOTE_LIMIT;
        while connection.is_none() {
            assert!(Instant::now() < give_up_at, "the proxy does not vote:\n{}", proxy.log());
            if heartbeat_at <= Instant::now() {
                watch.send(b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n");
                heartbeat_at += HEARTBEAT_INTERVAL;
            }
            std::thread::sleep(Duration::from_millis(5));
            connection = release_service.try_accept();
        }
    });
    connection.unwrap()
}

/// Ends the callers, also if the test fails.
struct StopAtEnd<'a>(&'a AtomicBool);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn call_until(stop: &AtomicBool, mut client: Client, caller: usize) {
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("caller-{caller}-{n}");
        let reply = client.ask(&look(&id, 1000));
        assert!(matches!(reply, Heard::Value(_) | Heard::Line(_)), "{id}: {reply:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against attempts at a build that goes back, because the reply to a vote was late and brought back
/// the state before that news.
#[test]
fn a_late_reply_to_a_vote_does_not_override_the_news_that_a_build_goes_back() {
    let mut trial = VotedTrial::start("late-reply");
    notify(&mut trial.watch, &status("reverting", 0.0, 0));
    trial.await_log("phase=RollingBack");
    trial.reply_to_vote(&status("canary", 0.5, TRIAL_AGE_MS));
    trial.expect_no_attempts_at_new_build();
}

/// Guards against attempts at a build that goes back, because the news on the watch was late and brought back
/// the state before the one in the reply to a vote.
#[test]
fn late_news_does_not_override_a_reply_that_says_that_a_build_goes_back() {
    let mut trial = VotedTrial::start("late-news");
    trial.reply_to_vote(&status("reverting", 0.0, 0));
    trial.await_log("phase=RollingBack");
    notify(&mut trial.watch, &status("canary", 0.5, TRIAL_AGE_MS));
    trial.expect_no_attempts_at_new_build();
}
