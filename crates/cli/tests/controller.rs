//! The release controller as a process: killed, replaced, stopped and revived, without room, voted on by many.

mod common;

use common::PROGRAM;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Controller {
    child: Child,
    addr: SocketAddr,
    control: PathBuf,
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn free() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

/// Starts a controller over a folder; `launch` is shell before the program.
fn start(folder: &Path, name: &str, addr: SocketAddr, launch: &str) -> Controller {
    start_with(folder, name, addr, launch, "")
}

/// The same with further arguments.
fn start_with(folder: &Path, name: &str, addr: SocketAddr, launch: &str, more: &str) -> Controller {
    let (file, control) = (folder.join(format!("{name}.star")), folder.join(format!("{name}.sock")));
    let text = format!(
        "controller(name = \"{name}\", listen = \"{addr}\", build = 1, control = \"{}\", lease = \"400ms\", beat = \"100ms\")\n",
        control.display()
    );
    std::fs::write(&file, text).unwrap();
    let state = folder.join("state");
    let command = format!(
        "{launch} exec {PROGRAM} controller --log error --settings {} --state {} {more}",
        file.display(),
        state.display()
    );
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let mut child =
            Command::new("/bin/sh").args(["-c", &command]).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
        if line.contains("takes proxies on") {
            return Controller { child, addr, control };
        }
        // The address of one that was just killed may still be taken.
        let _ = child.wait();
        assert!(Instant::now() < until, "the controller does not start");
    }
}

impl Controller {
    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn end(mut self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
        assert!(self.child.wait().unwrap().success());
    }

    /// `violetseam release`: exit status and what it printed.
    fn say(&self, args: &[&str]) -> (i32, Value) {
        let out = Command::new(PROGRAM)
            .args(["release", "--json", "--timeout", "2", "--as", "lead", "--control"])
            .arg(&self.control)
            .args(args)
            .output()
            .unwrap();
        let value = serde_json::from_slice(&out.stdout).unwrap_or(Value::Null);
        (out.status.code().unwrap_or(-1), value)
    }

    fn state(&self) -> Value {
        self.say(&["state"]).1["state"].clone()
    }

    fn term(&self) -> u64 {
        self.state()["term"].as_u64().unwrap_or(0)
    }

    fn wait_to_speak(&self) -> u64 {
        let mut term = 0;
        wait_for("it speaks", || {
            term = self.term();
            term > 0
        });
        term
    }

    fn post(&self, path: &str, body: &Value) -> Option<Value> {
        let mut stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let body = body.to_string();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        if !head.starts_with("HTTP/1.1 200") {
            return None;
        }
        serde_json::from_str(body).ok()
    }

    fn vote(&self, proxy: u32, stage: u64, verdict: &str) -> String {
        let vote = json!({"proxy": proxy, "build": 7, "stage": stage, "verdict": verdict});
        let reply = self.post("/v1/vote", &vote);
        reply.map_or("no answer".into(), |r| r["outcome"].as_str().unwrap_or("").to_owned())
    }

    /// Everything that is wanted runs.
    fn run_all(&self, build: u64) -> bool {
        let reports: Vec<Value> =
            (0..4).map(|place| json!({"place": place, "build": build, "state": "running"})).collect();
        self.post("/v1/places", &Value::Array(reports)).is_some()
    }
}

fn wait_for(what: &str, mut is: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !is() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Watches the news as a proxy does, over all restarts, at two addresses; what it heard, in order.
fn watch(addrs: Vec<SocketAddr>) -> Arc<Mutex<Vec<Value>>> {
    let heard = Arc::new(Mutex::new(Vec::new()));
    let into = heard.clone();
    std::thread::spawn(move || {
        for addr in addrs.iter().cycle() {
            if Arc::strong_count(&into) == 1 {
                return;
            }
            let _ = listen(*addr, &into);
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    heard
}

fn listen(addr: SocketAddr, into: &Mutex<Vec<Value>>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_millis(600)))?;
    stream.write_all(b"GET /v1/stage/watch?proxy=0 HTTP/1.1\r\nhost: t\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        // Nothing more, or an answer that is no watch: it stands by.
        if reader.read_line(&mut line)? == 0 || line.starts_with("HTTP/1.1 5") {
            return Ok(());
        }
        if let Ok(news) = serde_json::from_str::<Value>(line.trim())
            && news.is_object()
        {
            into.lock().unwrap().push(news);
        }
    }
}

const PLAN: &str = "plan(name = \"p\", build = 7, longest = \"1h\", downtime = \"counts\")\n\
    fleet(proxies = 480, places = 4, vote_ttl = \"20s\", votes_per_s = 150.0, stage_caps = [0.25, 0.5, 1.0], settle = \"0s\")\n\
    wave(name = \"a\", share = 0.25, cap = 0.25, soak = \"300ms\", gate = \"any\")\n\
    wave(name = \"b\", share = 0.5, cap = 0.5, soak = \"300ms\", gate = \"any\")\n\
    wave(name = \"c\", share = 1.0, cap = 1.0, soak = \"300ms\", gate = \"any\")\n\
    sign_off(wave = \"b\", by = [\"lead\"], within = \"1h\")\n\
    allow(who = \"lead\", may = [\"hold\", \"resume\", \"back\", \"skip\"])\n";

fn offer(folder: &Path, controller: &Controller) -> (i32, Value) {
    let plan = folder.join("plan.star");
    std::fs::write(&plan, PLAN).unwrap();
    controller.say(&["offer", plan.to_str().unwrap()])
}

#[test]
fn killed_at_any_moment_it_goes_on_in_the_same_stage_and_never_says_more_than_was_durable() {
    let (folder, addr) = (folder("kills"), free());
    let heard = watch(vec![addr]);
    let mut controller = start(&folder, "one", addr, "");
    controller.wait_to_speak();
    assert_eq!(offer(&folder, &controller).0, 0);
    assert_eq!(controller.say(&["sign", "b"]).0, 0);
    // Moments from 0 to 100 ms after the last step, of a fixed series: before and after a vote is durable,
    // before and after a wave moves on.
    let (mut kills, mut last) = (0u64, (0, 0));
    while controller.state()["news"]["phase"] != "released" {
        let state = controller.state();
        let stage = state["news"]["stage"].as_u64().unwrap();
        assert!(stage >= last.1, "it fell back from stage {} to {stage}", last.1);
        let term = state["term"].as_u64().unwrap();
        assert!(term > last.0 || kills == 0 || term == last.0);
        last = (term, stage);
        controller.run_all(1);
        controller.run_all(7);
        // Three lives a wave: one or two of them end before it may move on.
        if kills % 3 == 2 || kills >= 12 {
            controller.vote(3, stage, "on");
        }
        if kills < 12 {
            std::thread::sleep(Duration::from_millis(kills * 37 % 101));
            controller.kill();
            kills += 1;
            controller = start(&folder, "one", addr, "");
            assert!(controller.wait_to_speak() > last.0);
        }
    }
    assert!(kills >= 8, "released before it was killed often enough: {kills}");
    wait_for("the watch hears the release", || {
        heard.lock().unwrap().last().is_some_and(|n| n["phase"] == "released" && n["build"] == 7)
    });
    controller.end();
    let heard = heard.lock().unwrap();
    let mut before = (0, 0, 0.0);
    for news in heard.iter().filter(|n| n["build"] == 7) {
        let now =
            (news["fence"].as_u64().unwrap(), news["stage"].as_u64().unwrap(), news["cap"].as_f64().unwrap());
        assert!(now.0 >= before.0 && now.1 >= before.1 && now.2 >= before.2, "{before:?}, then {now:?}");
        before = now;
    }
    let terms: std::collections::BTreeSet<u64> = heard.iter().filter_map(|n| n["fence"].as_u64()).collect();
    assert!(before.1 == 2 && terms.len() >= 3, "heard of terms {terms:?} up to stage {}", before.1);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Killed exactly between decided, durable and announced, at each batch of a release in turn.
#[cfg(feature = "sabotage")]
#[test]
fn killed_between_decided_durable_and_announced_at_each_step_of_a_release() {
    let (folder, addr) = (folder("steps"), free());
    let heard = watch(vec![addr]);
    let steps = ["decided", "durable", "announced"];
    let (mut lives, mut last) = (0, (0, 0));
    let mut deaths = std::collections::BTreeMap::new();
    loop {
        // The first batch of a life, then the second, then the fourth: offers, votes, places and waves.
        let step = format!("{}:{}", steps[lives % 3], [1, 2, 4][lives / 3 % 3]);
        let more = if lives < 18 { format!("--die-at {step}") } else { String::new() };
        let mut controller = start_with(&folder, "one", addr, "", &more);
        lives += 1;
        let until = Instant::now() + Duration::from_secs(20);
        let died = loop {
            assert!(Instant::now() < until, "a life without an end: {step}");
            if controller.child.try_wait().unwrap().is_some() {
                break true;
            }
            let state = controller.state();
            let Some(term) = state["term"].as_u64().filter(|term| *term > 0) else { continue };
            let stage =
                if state["news"]["build"] == 7 { state["news"]["stage"].as_u64().unwrap() } else { 0 };
            assert!(term >= last.0 && stage >= last.1, "{last:?}, then term {term}, stage {stage}");
            last = (term, stage);
            if state["news"]["phase"] == "released" && state["news"]["build"] == 7 {
                break false;
            }
            let _ = offer(&folder, &controller);
            let _ = controller.say(&["sign", "b"]);
            controller.run_all(1);
            controller.run_all(7);
            controller.vote(3, stage, "on");
        };
        if died {
            *deaths.entry(step).or_insert(0) += 1;
            continue;
        }
        wait_for("the watch hears the release", || {
            heard.lock().unwrap().last().is_some_and(|n| n["phase"] == "released" && n["build"] == 7)
        });
        controller.end();
        break;
    }
    assert!(deaths.len() >= 6, "{deaths:?}");
    let heard = heard.lock().unwrap();
    let mut before = (0, 0, 0.0);
    for news in heard.iter().filter(|n| n["build"] == 7) {
        let at = |what: &str| news[what].as_u64().unwrap();
        let now = (at("fence"), at("stage"), news["cap"].as_f64().unwrap());
        assert!(now.0 >= before.0 && now.1 >= before.1 && now.2 >= before.2, "{before:?}, then {now:?}");
        before = now;
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn one_that_stood_still_is_replaced_and_is_not_obeyed_when_it_comes_back() {
    let (folder, a, b) = (folder("standby"), free(), free());
    let one = start(&folder, "one", a, "");
    let first = one.wait_to_speak();
    let two = start(&folder, "two", b, "");
    assert_eq!(two.term(), 0, "two speak at once");
    let (code, told) = two.say(&["sign", "b"]);
    assert!(code == 3 && told["not"].as_str().unwrap().contains("stands by"), "{told}");
    assert_eq!(offer(&folder, &one).0, 0);
    let heard = watch(vec![a, b]);
    wait_for("the first wave", || one.state()["news"]["build"] == 7);
    wait_for("the watch", || heard.lock().unwrap().iter().any(|n| n["build"] == 7));
    kill_process(one.pid(), Signal::STOP).unwrap();
    let second = two.wait_to_speak();
    assert!(second > first);
    assert_eq!(two.state()["news"]["build"], 7, "it goes on where the first one stood");
    assert_eq!(two.say(&["back"]).0, 0);
    wait_for("the watch hears the second", || {
        heard.lock().unwrap().last().is_some_and(|n| n["phase"] == "rolling_back")
    });
    // Orders that wait in the stopped one's socket reach it when it is revived: none of them counts.
    let one_control = one.control.clone();
    let late = std::thread::spawn(move || {
        let out = Command::new(PROGRAM)
            .args(["release", "--json", "--timeout", "10", "--as", "lead", "--control"])
            .arg(one_control)
            .args(["sign", "b"])
            .output()
            .unwrap();
        serde_json::from_slice::<Value>(&out.stdout).unwrap_or(Value::Null)
    });
    std::thread::sleep(Duration::from_millis(100));
    let vote = std::thread::spawn({
        let addr = one.addr;
        move || {
            let one =
                Controller { child: Command::new("true").spawn().unwrap(), addr, control: PathBuf::new() };
            one.vote(1, 0, "on")
        }
    });
    std::thread::sleep(Duration::from_millis(100));
    kill_process(one.pid(), Signal::CONT).unwrap();
    let told = late.join().unwrap();
    assert!(told["reply"] != "ok", "an order counted with a controller that was replaced: {told}");
    assert_ne!(vote.join().unwrap(), "ok", "a vote counted with a controller that was replaced");
    wait_for("the first one stands by", || one.term() == 0);
    // Whatever was heard under the first number after the second is older news, and never more.
    let heard = heard.lock().unwrap();
    let at = heard.iter().position(|n| n["fence"].as_u64() == Some(second)).unwrap();
    assert!(heard[at..].iter().filter(|n| n["fence"].as_u64() == Some(first)).all(|n| n["stage"] == 0));
    drop(heard);
    // The second one leaves in order: the first need not wait for its lease.
    two.end();
    assert!(one.wait_to_speak() > second);
    assert_eq!(one.state()["news"]["phase"], "rolling_back", "called back stays called back");
    one.end();
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn without_room_nothing_counts_and_with_room_it_goes_on() {
    let (folder, addr) = (folder("room"), free());
    // The log is on the same full disk.
    let launch = format!("trap '' XFSZ; exec 2>>{}/log;", folder.display());
    let controller = start(&folder, "one", addr, &launch);
    controller.wait_to_speak();
    assert_eq!(offer(&folder, &controller).0, 0);
    wait_for("the first wave", || controller.state()["news"]["build"] == 7);
    let limit = |most| {
        let _ = prlimit(Some(controller.pid()), Resource::Fsize, Rlimit { current: most, maximum: None })
            .unwrap();
    };
    limit(Some(0));
    let before = controller.state()["votes"].clone();
    assert_eq!(controller.vote(1, 0, "on"), "error");
    let (code, told) = controller.say(&["back"]);
    assert!(code == 3 && told["not"].as_str().unwrap().contains("it does not count"), "{told}");
    let state = controller.state();
    assert_eq!((&state["votes"], &state["news"]["phase"]), (&before, &json!("trial")));
    assert!(state["trouble"].is_string(), "{state}");
    limit(None);
    wait_for("room again", || controller.vote(1, 0, "on") == "ok");
    assert_eq!(controller.say(&["back"]).0, 0);
    // What failed has left nothing behind that a successor would trip over.
    controller.kill();
    let again = start(&folder, "one", addr, "");
    again.wait_to_speak();
    assert_eq!(again.state()["news"]["phase"], "rolling_back");
    again.end();
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn four_hundred_and_eighty_proxies_vote_within_a_moment() {
    let (folder, addr) = (folder("many"), free());
    let controller = start(&folder, "one", addr, "");
    controller.wait_to_speak();
    assert_eq!(offer(&folder, &controller).0, 0);
    wait_for("the first wave", || controller.state()["news"]["build"] == 7);
    let outcomes = Mutex::new(Vec::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        for worker in 0..24u32 {
            let (controller, outcomes) = (&controller, &outcomes);
            scope.spawn(move || {
                for n in 0..20 {
                    let outcome = controller.vote(worker * 20 + n, 0, "on");
                    outcomes.lock().unwrap().push(outcome);
                }
            });
        }
    });
    let took = began.elapsed().as_secs_f64();
    let outcomes = outcomes.into_inner().unwrap();
    let count = |what: &str| outcomes.iter().filter(|o| *o == what).count();
    let (ok, full) = (count("ok"), count("full"));
    assert_eq!(ok + full, 480, "{outcomes:?}");
    let allowed = 300.0 + 150.0 * took + 2.0;
    assert!(ok >= 300 && (ok as f64) <= allowed, "{ok} taken in {took:.2} s, at most {allowed:.0}");
    assert_eq!(controller.state()["votes"].as_u64(), Some(ok as u64), "each counts once");
    controller.end();
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn nonsense_is_answered_and_changes_nothing() {
    let (folder, addr) = (folder("nonsense"), free());
    let controller = start(&folder, "one", addr, "");
    controller.wait_to_speak();
    let before = controller.state();
    for bytes in [
        &b"POST /v1/vote HTTP/1.1\r\nhost: t\r\ncontent-length: 7\r\n\r\n{\"prox\""[..],
        b"POST /v1/places HTTP/1.1\r\nhost: t\r\ncontent-length: 2\r\n\r\n{}",
        b"GET /v1/nothing HTTP/1.1\r\nhost: t\r\n\r\n",
        b"\xff\xfe\x00\r\n\r\n",
        b"GET /v1/stage/watch HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        stream.write_all(bytes).unwrap();
        let _ = stream.read(&mut [0; 256]);
    }
    // A body that is too long for a vote, and a connection that says nothing, are closed.
    let mut long = TcpStream::connect(addr).unwrap();
    long.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    long.write_all(b"POST /v1/vote HTTP/1.1\r\nhost: t\r\ncontent-length: 90000\r\n\r\n").unwrap();
    let _ = long.write_all(&[b'x'; 9_000]);
    assert!(!matches!(long.read(&mut [0; 64]), Ok(1..)), "a long body was answered");
    let mut silent = TcpStream::connect(addr).unwrap();
    silent.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    assert_eq!(silent.read(&mut [0; 64]).unwrap(), 0, "a silent connection is kept for ever");
    let plan = folder.join("bad.star");
    std::fs::write(&plan, PLAN.replace("cap = 0.25", "cap = 0.9")).unwrap();
    let (code, told) = controller.say(&["offer", plan.to_str().unwrap()]);
    assert!(code == 3 && told["faults"][0].as_str().unwrap().contains("over the 0.25"), "{told}");
    assert_eq!(controller.say(&["sign", "b"]).0, 3);
    assert_eq!(controller.state()["news"], before["news"]);
    controller.end();
    std::fs::remove_dir_all(folder).unwrap();
}

/// `cargo test --release -p violetseam-cli --test controller -- --ignored --nocapture`
#[test]
#[ignore = "measures; docs/measurements/plans.md"]
fn measure_votes_a_second() {
    let (folder, addr) = (folder("rate"), free());
    let controller = start(&folder, "one", addr, "");
    controller.wait_to_speak();
    let plan = folder.join("plan.star");
    std::fs::write(&plan, PLAN.replace("150.0", "1000000.0").replace("\"any\"", "\"share\"")).unwrap();
    assert_eq!(controller.say(&["offer", plan.to_str().unwrap()]).0, 0);
    wait_for("the first wave", || controller.state()["news"]["build"] == 7);
    for connections in [1u32, 16, 64, 256] {
        let (began, span) = (Instant::now(), Duration::from_secs(3));
        let counted: usize = std::thread::scope(|scope| {
            let vote = |proxy: u32| {
                let mut stream = TcpStream::connect(addr).unwrap();
                stream.set_nodelay(true).unwrap();
                let body = json!({"proxy": proxy, "build": 7, "stage": 0, "verdict": "on"}).to_string();
                let call = format!(
                    "POST /v1/vote HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                let (mut counted, mut bytes) = (0, [0; 1024]);
                while began.elapsed() < span {
                    stream.write_all(call.as_bytes()).unwrap();
                    let n = stream.read(&mut bytes).unwrap();
                    counted += usize::from(String::from_utf8_lossy(&bytes[..n]).contains("\"ok\""));
                }
                counted
            };
            // A proxy a connection, and of those few enough that no wave moves on.
            let all: Vec<_> = (0..connections).map(|n| scope.spawn(move || vote(n % 200))).collect();
            all.into_iter().map(|t| t.join().unwrap()).sum()
        });
        println!(
            "{connections} connections: {:.0} votes a second counted",
            counted as f64 / began.elapsed().as_secs_f64()
        );
        assert!(counted > 0);
    }
    controller.end();
    std::fs::remove_dir_all(folder).unwrap();
}
