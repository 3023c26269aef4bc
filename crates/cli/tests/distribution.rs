//! Distributed configuration on processes: a publisher, proxies, and relays between them that can be cut.

mod common;

use common::fleet::{Fleet, answer, more};
use common::publisher::{self, PublisherProcess, json_lines, put_route, remove_route, state_folder};
use common::{PROGRAM, Proxy, start_named, world};
use rustix::process::{Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use violetseam_distribution::{Change, Resource, ResourceKey, Version};

/// What a test waits for at most.
const PATIENCE: Duration = Duration::from_secs(40);
/// Proxies of the large tests; a third of them is behind the second relay.
const PROXIES: usize = 12;

/// The class of each path prefix, as published.
type Routes = BTreeMap<String, String>;

fn wait_for(what: &str, mut is: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < until, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Forwards connections to a publisher that may change; cut, it forwards nothing and closes nothing.
struct Relay {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    cut: Arc<AtomicBool>,
}

impl Relay {
    fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (target, cut) = (Arc::new(Mutex::new(target)), Arc::new(AtomicBool::new(false)));
        let (to, is_cut) = (target.clone(), cut.clone());
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let to = *to.lock().unwrap();
                let Ok(called) = TcpStream::connect(to) else { continue };
                let back = (called.try_clone().unwrap(), caller.try_clone().unwrap(), is_cut.clone());
                let there = is_cut.clone();
                std::thread::spawn(move || forward(caller, called, &there));
                std::thread::spawn(move || forward(back.0, back.1, &back.2));
            }
        });
        Relay { address, target, cut }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    from.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let mut bytes = [0; 64 * 1024];
    loop {
        let read = from.read(&mut bytes);
        // What comes while it is cut is kept until it is healed.
        while cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        match read {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// A publisher, proxies that follow it, and all that was published.
struct Site {
    name: String,
    state: PathBuf,
    publisher: PublisherProcess,
    relays: [Relay; 2],
    fleet: Fleet,
    routes: Routes,
    history: BTreeMap<Version, Routes>,
}

impl Site {
    fn start(name: &str, proxies: usize) -> Site {
        let state = state_folder(&format!("distribution-{name}"));
        let publisher = publisher::start(&state, &[]);
        let relays = [Relay::start(publisher.address), Relay::start(publisher.address)];
        let folder = std::env::temp_dir().join(format!("vs-dist-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let members: String = (0..proxies)
            .map(|n| format!("member(name = \"d{n}\", control = \"{}/{n}/control\")\n", folder.display()))
            .collect();
        std::fs::write(folder.join("fleet.star"), members).unwrap();
        let fleet = Fleet { folder, daemons: Vec::new(), world: world() };
        let (routes, history) = (Routes::new(), BTreeMap::new());
        let mut site = Site { name: name.to_owned(), state, publisher, relays, fleet, routes, history };
        // A proxy counts as started once it serves this path.
        site.publish(&[put_route("/x", "read"), put_route("/a", "read"), put_route("/b", "keyed")]);
        for n in 0..proxies {
            let proxy = site.start_proxy(n, proxies);
            site.fleet.daemons.push(proxy);
        }
        site
    }

    /// The last third of them is behind the second relay.
    fn start_proxy(&self, n: usize, proxies: usize) -> Proxy {
        let relay = &self.relays[usize::from(proxies >= 3 && n >= proxies - proxies / 3)];
        let sections = format!(
            ")\npublisher(addr = \"{}\")\n\
             request_class(name = \"keyed\", aim = \"500ms\", deadline = \"1s\", effect = \"keyed\", window = \"2s\")\n\
             route(prefix = \"/script-keyed\", to = \"keyed\"",
            relay.address
        );
        let name = format!("distribution-{}-{n}", self.name);
        let more = format!("{}{sections}", more(&self.fleet.folder, n));
        start_named(self.fleet.world, &format!("proxy{n}"), &name, "", &more)
    }

    fn restart_proxy(&mut self, n: usize, signal: Signal, between: impl FnOnce(&std::path::Path)) {
        kill_process(self.fleet.daemons[n].pid(), signal).unwrap();
        self.fleet.daemons[n].child.wait().unwrap();
        between(&self.fleet.folder.join(n.to_string()));
        self.fleet.daemons[n] = self.start_proxy(n, self.fleet.daemons.len());
    }

    fn publish(&mut self, changes: &[Change]) -> Version {
        let version = self.publisher.publish(changes);
        make(&mut self.routes, changes);
        self.history.insert(version, self.routes.clone());
        version
    }

    /// Starts a publisher in place of one that has ended; proxies find it behind the relays.
    fn start_publisher(&mut self) {
        self.publisher = publisher::start(&self.state, &[]);
        for relay in &self.relays {
            *relay.target.lock().unwrap() = self.publisher.address;
        }
    }

    /// How a proxy stands with the configuration.
    fn distributed(&self, n: usize) -> serde_json::Value {
        let mut stream = UnixStream::connect(self.fleet.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(b"\"state\"\n").unwrap();
        answer(stream)["state"]["distributed"].clone()
    }

    fn version(&self, n: usize) -> Option<Version> {
        serde_json::from_value(self.distributed(n)["version"].clone()).unwrap()
    }

    /// Waits until these proxies have a version, and serve it.
    fn converges(&self, proxies: impl IntoIterator<Item = usize>, version: Version) {
        for n in proxies {
            wait_for(&format!("proxy {n} at version {version}"), || self.version(n) == Some(version));
            self.serves_what_was_published(n);
        }
    }

    /// What a proxy serves is what was published as the version that it states.
    fn serves_what_was_published(&self, n: usize) {
        wait_for(&format!("proxy {n} on one version while it is asked"), || {
            let version = self.version(n).unwrap();
            let routes = &self.history[&version];
            let mut paths: Vec<&str> = ["/a/1", "/b/1", "/n1/1", "/n19", "/none"].into();
            paths.extend(routes.keys().map(String::as_str));
            let statuses: Vec<u16> = paths.iter().map(|path| status(&self.fleet.daemons[n], path)).collect();
            if self.version(n) != Some(version) {
                return false;
            }
            for (path, status) in paths.iter().zip(statuses) {
                assert_eq!(status, expected(routes, path), "proxy {n}, {path} at version {version}");
            }
            true
        });
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.fleet.daemons.len()
    }

    fn end(self) {
        self.fleet.end();
        self.publisher.end();
        std::fs::remove_dir_all(&self.state).unwrap();
    }
}

fn make(routes: &mut Routes, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(Resource::Route(route)) => {
                routes.insert(route.key.prefix.clone(), route.value.class.clone());
            }
            Change::Remove(ResourceKey::Route(key)) => {
                routes.remove(&key.prefix);
            }
            // Tenants are never in force.
            Change::Put(Resource::Tenant(_)) | Change::Remove(ResourceKey::Tenant(_)) => {}
        }
    }
}

/// The longest prefix counts: a server's answer for `read`, a refusal for want of a key for `keyed`.
fn expected(routes: &Routes, path: &str) -> u16 {
    let matching = routes.iter().filter(|(prefix, _)| path.starts_with(prefix.as_str()));
    match matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, class)| class.as_str()) {
        Some("read") => 200,
        Some("keyed") => 400,
        _ => 404,
    }
}

/// The status that a request for this path gets.
fn status(proxy: &Proxy, path: &str) -> u16 {
    let mut stream = proxy.open();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Two prefixes exchange their classes, and a longer one comes under the first.
fn exchange(round: usize) -> Vec<Change> {
    let (left, right) = if round.is_multiple_of(2) { ("keyed", "read") } else { ("read", "keyed") };
    vec![put_route("/a", left), put_route("/b", right), put_route(&format!("/n{round}"), "read")]
}

#[test]
fn changes_reach_all_a_third_is_cut_off_and_the_publisher_stands_still() {
    let mut site = Site::start("cut", PROXIES);
    site.converges(site.all(), *site.history.keys().last().unwrap());
    let mut version = None;
    for round in 0..20 {
        version = Some(site.publish(&exchange(round)));
    }
    site.converges(site.all(), version.unwrap());
    let before = version.unwrap();

    site.relays[1].cut.store(true, Ordering::SeqCst);
    for round in 20..25 {
        version = Some(site.publish(&exchange(round)));
    }
    let (kept, cut) = (0..PROXIES - PROXIES / 3, PROXIES - PROXIES / 3..PROXIES);
    site.converges(kept, version.unwrap());
    for n in cut {
        wait_for("a watch that is given up", || site.distributed(n)["watching"] == false);
        assert_eq!(site.version(n), Some(before));
        site.serves_what_was_published(n);
    }
    let shown = Command::new(PROGRAM)
        .args(["fleet", "--fleet"])
        .arg(site.fleet.folder.join("fleet.star"))
        .arg("configuration")
        .output()
        .unwrap();
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        shown.contains(&format!("newest version {}: 8 have it, 4 are behind", version.unwrap())),
        "{shown}"
    );
    site.relays[1].cut.store(false, Ordering::SeqCst);
    site.converges(site.all(), version.unwrap());

    // Stopped for longer than a watch may be silent: all go on with what they have.
    kill_process(site.publisher.pid(), Signal::STOP).unwrap();
    for n in site.all() {
        wait_for("a silent watch that is given up", || site.distributed(n)["watching"] == false);
        site.serves_what_was_published(n);
    }
    kill_process(site.publisher.pid(), Signal::CONT).unwrap();
    let version = site.publish(&[remove_route("/b"), put_route("/a", "keyed")]);
    site.converges(site.all(), version);
    site.end();
}

#[test]
fn a_publisher_killed_while_it_writes_and_one_without_its_log_lose_no_published_change() {
    let mut site = Site::start("kill", PROXIES);
    for life in 0..3 {
        let client = site.publisher.client();
        // What was answered is published; the last one may or may not be.
        let writing = std::thread::spawn(move || {
            let mut answered = Vec::new();
            for round in 0..10_000 {
                let change = put_route(&format!("/life{life}/{round}"), "read");
                match client.publish_changes(&json_lines(std::slice::from_ref(&change))) {
                    Ok(published) => answered.push((published.version, change)),
                    Err(_) => return (answered, change),
                }
            }
            panic!("it was never killed")
        });
        let newest = *site.history.keys().last().unwrap();
        wait_for("some changes in force", || site.version(0).is_some_and(|v| v.number >= newest.number + 20));
        site.publisher.kill_and_wait();
        let (answered, last) = writing.join().unwrap();
        for (version, change) in &answered {
            make(&mut site.routes, std::slice::from_ref(change));
            site.history.insert(*version, site.routes.clone());
        }
        site.start_publisher();
        let (acknowledged, found) = (answered.last().unwrap().0, site.publisher.started_from);
        assert!(found == acknowledged || found == acknowledged.next(), "{found} after {acknowledged}");
        if found > acknowledged {
            make(&mut site.routes, std::slice::from_ref(&last));
            site.history.insert(found, site.routes.clone());
        }
        let version = site.publish(&exchange(life));
        site.converges(site.all(), version);
    }

    // Its log lost, it begins a higher term, and the whole is published anew.
    site.publisher.kill_and_wait();
    let before = *site.history.keys().last().unwrap();
    std::fs::remove_dir_all(&site.state).unwrap();
    site.start_publisher();
    let began = site.publisher.started_from;
    assert!(began.term > before.term);
    site.history.insert(began, Routes::new());
    site.routes = Routes::from([("/x".into(), "read".into()), ("/a".into(), "keyed".into())]);
    let whole = [Resource::route(None, "/x", "read"), Resource::route(None, "/a", "keyed")];
    let version = site.publisher.client().publish_whole(&json_lines(&whole)).unwrap().version;
    site.history.insert(version, site.routes.clone());
    site.converges(site.all(), version);
    site.end();
}

#[test]
fn a_change_that_does_not_check_is_refused_whole_and_one_that_mends_it_is_taken() {
    let mut site = Site::start("refused", 2);
    let sound = *site.history.keys().last().unwrap();
    site.converges(site.all(), sound);
    for (faulty, reason) in [
        (put_route("/c", "unknown"), "no class \"unknown\""),
        (Change::Put(Resource::tenant("someone", 3.0)), "tenants are taken from the settings alone"),
    ] {
        // The sound half of it is not taken either.
        let refused = site.publisher.publish(&[put_route("/a", "keyed"), faulty.clone()]);
        for n in site.all() {
            wait_for("a refusal", || !site.distributed(n)["refused"].is_null());
            let distributed = site.distributed(n);
            assert!(distributed["refused"]["reason"].as_str().unwrap().contains(reason), "{distributed}");
            assert_eq!(distributed["refused"]["version"]["number"], refused.number);
            site.serves_what_was_published(n);
        }
        wait_for("the publisher's word on it", || {
            let status = site.publisher.client().status().unwrap();
            status.subscribers.iter().all(|row| row.status.rejected.is_some())
        });
        make(&mut site.routes, &[put_route("/a", "keyed")]);
        let mended = site.publish(&[Change::Remove(faulty.key())]);
        site.converges(site.all(), mended);
        assert!(site.distributed(0)["refused"].is_null());
    }
    site.end();
}

#[test]
fn a_proxy_starts_with_its_stored_configuration_and_without_it_where_that_is_damaged() {
    let mut site = Site::start("stored", 2);
    let version = site.publish(&[put_route("/a", "keyed"), put_route("/b", "read")]);
    site.converges(site.all(), version);
    // A restart without the publisher shows what was stored.
    for relay in &site.relays {
        relay.cut.store(true, Ordering::SeqCst);
    }
    site.restart_proxy(0, Signal::TERM, |_| {});
    wait_for("a version from the disk", || site.version(0) == Some(version));
    assert!(site.distributed(0)["age_us"].is_null(), "nobody confirmed it since the start");
    site.serves_what_was_published(0);

    // Damaged: the routes of the settings count until a snapshot came.
    site.restart_proxy(0, Signal::KILL, |folder| {
        std::fs::write(folder.join("configuration-0.redb"), [0x5a; 9_000]).unwrap();
    });
    assert_eq!(site.version(0), None);
    assert_eq!(status(&site.fleet.daemons[0], "/script-keyed"), 400);
    let files = std::fs::read_dir(site.fleet.folder.join("0")).unwrap();
    let names: Vec<String> = files.map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
    assert!(names.iter().any(|name| name.starts_with("configuration-0.damaged-")), "{names:?}");
    for relay in &site.relays {
        relay.cut.store(false, Ordering::SeqCst);
    }
    site.converges(site.all(), version);
    site.end();
}
