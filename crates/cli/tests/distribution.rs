//! Tests configuration distribution with processes: a publisher, proxies, and relays between them that can be
//! cut.

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

/// The longest time that a test waits for one condition.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// The number of proxies in the large tests. A third of them connects through the second relay.
const PROXIES: usize = 12;

/// The published request class of each path prefix.
type Routes = BTreeMap<String, String>;

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < until, "not reached within {WAIT_LIMIT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Forwards connections to a publisher, whose address may change. While `cut` is set, the relay forwards
/// nothing and closes nothing.
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
                let backward = (called.try_clone().unwrap(), caller.try_clone().unwrap(), is_cut.clone());
                let forward_cut = is_cut.clone();
                std::thread::spawn(move || forward(caller, called, &forward_cut));
                std::thread::spawn(move || forward(backward.0, backward.1, &backward.2));
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
        // Bytes that were read while the relay is cut are held, and forwarded once it is restored.
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

/// A publisher, the proxies that subscribe to it, and the routes of each published version.
struct Deployment {
    name: String,
    state: PathBuf,
    publisher: PublisherProcess,
    relays: [Relay; 2],
    fleet: Fleet,
    routes: Routes,
    history: BTreeMap<Version, Routes>,
}

impl Deployment {
    fn start(name: &str, proxies: usize) -> Deployment {
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
        let mut deployment =
            Deployment { name: name.to_owned(), state, publisher, relays, fleet, routes, history };
        // A proxy counts as started once it serves `/x`.
        deployment.publish(&[put_route("/x", "read"), put_route("/a", "read"), put_route("/b", "keyed")]);
        for n in 0..proxies {
            let proxy = deployment.start_proxy(n, proxies);
            deployment.fleet.daemons.push(proxy);
        }
        deployment
    }

    /// Starts proxy `n`. The last third of the proxies connects through the second relay.
    fn start_proxy(&self, n: usize, proxies: usize) -> Proxy {
        let relay = &self.relays[usize::from(proxies >= 3 && n >= proxies - proxies / 3)];
        let settings = format!(
            ")\npublisher(addr = \"{}\")\n\
             request_class(name = \"keyed\", aim = \"500ms\", deadline = \"1s\", effect = \"keyed\", window = \"2s\")\n\
             route(prefix = \"/script-keyed\", to = \"keyed\"",
            relay.address
        );
        let name = format!("distribution-{}-{n}", self.name);
        let extra_settings = format!("{}{settings}", more(&self.fleet.folder, n));
        start_named(self.fleet.world, &format!("proxy{n}"), &name, "", &extra_settings)
    }

    fn restart_proxy(&mut self, n: usize, signal: Signal, while_stopped: impl FnOnce(&std::path::Path)) {
        kill_process(self.fleet.daemons[n].pid(), signal).unwrap();
        self.fleet.daemons[n].child.wait().unwrap();
        while_stopped(&self.fleet.folder.join(n.to_string()));
        self.fleet.daemons[n] = self.start_proxy(n, self.fleet.daemons.len());
    }

    fn publish(&mut self, changes: &[Change]) -> Version {
        let version = self.publisher.publish(changes);
        apply_changes(&mut self.routes, changes);
        self.history.insert(version, self.routes.clone());
        version
    }

    /// Starts a publisher in place of one that has exited, and points the relays to its address.
    fn start_publisher(&mut self) {
        self.publisher = publisher::start(&self.state, &[]);
        for relay in &self.relays {
            *relay.target.lock().unwrap() = self.publisher.address;
        }
    }

    /// Returns the state of a proxy's distributed configuration, from its control socket.
    fn distributed(&self, n: usize) -> serde_json::Value {
        let mut stream = UnixStream::connect(self.fleet.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(b"\"state\"\n").unwrap();
        answer(stream)["state"]["distributed"].clone()
    }

    fn version(&self, n: usize) -> Option<Version> {
        serde_json::from_value(self.distributed(n)["version"].clone()).unwrap()
    }

    /// Waits until these proxies have the given version, and checks that they serve it.
    fn assert_converges(&self, proxies: impl IntoIterator<Item = usize>, version: Version) {
        for n in proxies {
            wait_for(&format!("proxy {n} at version {version}"), || self.version(n) == Some(version));
            self.assert_serves_published_routes(n);
        }
    }

    /// Checks that a proxy serves the routes that were published as the version that it reports.
    fn assert_serves_published_routes(&self, n: usize) {
        wait_for(&format!("proxy {n} keeps one version during all requests"), || {
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

fn apply_changes(routes: &mut Routes, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(Resource::Route(route)) => {
                routes.insert(route.key.prefix.clone(), route.value.class.clone());
            }
            Change::Remove(ResourceKey::Route(key)) => {
                routes.remove(&key.prefix);
            }
            // Proxies refuse tenants from the publisher, so they never take effect.
            Change::Put(Resource::Tenant(_)) | Change::Remove(ResourceKey::Tenant(_)) => {}
        }
    }
}

/// The expected status by the longest matching prefix: a server's response for `read`, and a rejection for
/// `keyed` because the request has no idempotency key.
fn expected(routes: &Routes, path: &str) -> u16 {
    let matching = routes.iter().filter(|(prefix, _)| path.starts_with(prefix.as_str()));
    match matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, class)| class.as_str()) {
        Some("read") => 200,
        Some("keyed") => 400,
        _ => 404,
    }
}

/// Sends a request for this path and returns the status of the response.
fn status(proxy: &Proxy, path: &str) -> u16 {
    let mut stream = proxy.open();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Swaps the classes of two prefixes and adds one more prefix.
fn swap_classes(round: usize) -> Vec<Change> {
    let (left, right) = if round.is_multiple_of(2) { ("keyed", "read") } else { ("read", "keyed") };
    vec![put_route("/a", left), put_route("/b", right), put_route(&format!("/n{round}"), "read")]
}

#[test]
fn proxies_converge_after_a_third_is_cut_off_and_after_the_publisher_is_paused() {
    let mut deployment = Deployment::start("cut", PROXIES);
    deployment.assert_converges(deployment.all(), *deployment.history.keys().last().unwrap());
    let mut version = None;
    for round in 0..20 {
        version = Some(deployment.publish(&swap_classes(round)));
    }
    deployment.assert_converges(deployment.all(), version.unwrap());
    let before = version.unwrap();

    deployment.relays[1].cut.store(true, Ordering::SeqCst);
    for round in 20..25 {
        version = Some(deployment.publish(&swap_classes(round)));
    }
    let (connected, cut) = (0..PROXIES - PROXIES / 3, PROXIES - PROXIES / 3..PROXIES);
    deployment.assert_converges(connected, version.unwrap());
    for n in cut {
        wait_for("a proxy behind the cut relay closes its watch", || {
            deployment.distributed(n)["watching"] == false
        });
        assert_eq!(deployment.version(n), Some(before));
        deployment.assert_serves_published_routes(n);
    }
    let shown = Command::new(PROGRAM)
        .args(["fleet", "--fleet"])
        .arg(deployment.fleet.folder.join("fleet.star"))
        .arg("configuration")
        .output()
        .unwrap();
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        shown.contains(&format!("newest version {}: 8 have it, 4 are behind", version.unwrap())),
        "{shown}"
    );
    deployment.relays[1].cut.store(false, Ordering::SeqCst);
    deployment.assert_converges(deployment.all(), version.unwrap());

    // The publisher is stopped for longer than a watch may be silent. All proxies keep serving what they
    // have.
    kill_process(deployment.publisher.pid(), Signal::STOP).unwrap();
    for n in deployment.all() {
        wait_for("a proxy closes its silent watch", || deployment.distributed(n)["watching"] == false);
        deployment.assert_serves_published_routes(n);
    }
    kill_process(deployment.publisher.pid(), Signal::CONT).unwrap();
    let version = deployment.publish(&[remove_route("/b"), put_route("/a", "keyed")]);
    deployment.assert_converges(deployment.all(), version);
    deployment.end();
}

#[test]
fn no_published_change_is_lost_when_the_publisher_is_killed_while_writing_or_loses_its_store() {
    let mut deployment = Deployment::start("kill", PROXIES);
    for life in 0..3 {
        let client = deployment.publisher.client();
        // Changes with a response are published. The last one, without a response, may or may not be
        // published.
        let writing = std::thread::spawn(move || {
            let mut answered = Vec::new();
            for round in 0..10_000 {
                let change = put_route(&format!("/life{life}/{round}"), "read");
                match client.publish_changes(&json_lines(std::slice::from_ref(&change))) {
                    Ok(published) => answered.push((published.version, change)),
                    Err(_) => return (answered, change),
                }
            }
            panic!("the publisher was not killed within 10000 changes")
        });
        let newest = *deployment.history.keys().last().unwrap();
        wait_for("proxy 0 has at least 20 further versions", || {
            deployment.version(0).is_some_and(|v| v.number >= newest.number + 20)
        });
        deployment.publisher.kill_and_wait();
        let (answered, last) = writing.join().unwrap();
        for (version, change) in &answered {
            apply_changes(&mut deployment.routes, std::slice::from_ref(change));
            deployment.history.insert(*version, deployment.routes.clone());
        }
        deployment.start_publisher();
        let (acknowledged, found) = (answered.last().unwrap().0, deployment.publisher.started_from);
        assert!(found == acknowledged || found == acknowledged.next(), "{found} after {acknowledged}");
        if found > acknowledged {
            apply_changes(&mut deployment.routes, std::slice::from_ref(&last));
            deployment.history.insert(found, deployment.routes.clone());
        }
        let version = deployment.publish(&swap_classes(life));
        deployment.assert_converges(deployment.all(), version);
    }

    // After the loss of its store the publisher begins a higher term, and the whole configuration is
    // published again.
    deployment.publisher.kill_and_wait();
    let before = *deployment.history.keys().last().unwrap();
    std::fs::remove_dir_all(&deployment.state).unwrap();
    deployment.start_publisher();
    let began = deployment.publisher.started_from;
    assert!(began.term > before.term);
    deployment.history.insert(began, Routes::new());
    deployment.routes = Routes::from([("/x".into(), "read".into()), ("/a".into(), "keyed".into())]);
    let whole = [Resource::route(None, "/x", "read"), Resource::route(None, "/a", "keyed")];
    let version = deployment.publisher.client().publish_whole(&json_lines(&whole)).unwrap().version;
    deployment.history.insert(version, deployment.routes.clone());
    deployment.assert_converges(deployment.all(), version);
    deployment.end();
}

#[test]
fn an_invalid_version_is_refused_whole_and_a_change_that_corrects_it_is_applied() {
    let mut deployment = Deployment::start("refused", 2);
    let valid = *deployment.history.keys().last().unwrap();
    deployment.assert_converges(deployment.all(), valid);
    for (invalid, reason) in [
        (put_route("/c", "unknown"), "no class \"unknown\""),
        (Change::Put(Resource::tenant("someone", 3.0)), "tenants are taken from the settings alone"),
    ] {
        // The valid change of the same version is not applied either.
        let refused = deployment.publisher.publish(&[put_route("/a", "keyed"), invalid.clone()]);
        for n in deployment.all() {
            wait_for("a proxy reports the refused version", || {
                !deployment.distributed(n)["refused"].is_null()
            });
            let distributed = deployment.distributed(n);
            assert!(distributed["refused"]["reason"].as_str().unwrap().contains(reason), "{distributed}");
            assert_eq!(distributed["refused"]["version"]["number"], refused.number);
            deployment.assert_serves_published_routes(n);
        }
        wait_for("the publisher's status shows the rejection of each proxy", || {
            let status = deployment.publisher.client().status().unwrap();
            status.subscribers.iter().all(|row| row.status.rejected.is_some())
        });
        apply_changes(&mut deployment.routes, &[put_route("/a", "keyed")]);
        let corrected = deployment.publish(&[Change::Remove(invalid.key())]);
        deployment.assert_converges(deployment.all(), corrected);
        assert!(deployment.distributed(0)["refused"].is_null());
    }
    deployment.end();
}

#[test]
fn a_proxy_starts_with_its_stored_configuration_and_from_its_settings_if_that_is_damaged() {
    let mut deployment = Deployment::start("stored", 2);
    let version = deployment.publish(&[put_route("/a", "keyed"), put_route("/b", "read")]);
    deployment.assert_converges(deployment.all(), version);
    // A proxy that restarts without a publisher serves its stored configuration.
    for relay in &deployment.relays {
        relay.cut.store(true, Ordering::SeqCst);
    }
    deployment.restart_proxy(0, Signal::TERM, |_| {});
    wait_for("proxy 0 has the version from its store", || deployment.version(0) == Some(version));
    assert!(
        deployment.distributed(0)["age_us"].is_null(),
        "the publisher has not confirmed the version since the start"
    );
    deployment.assert_serves_published_routes(0);

    // With a damaged store, the routes of the settings apply until a snapshot has arrived.
    deployment.restart_proxy(0, Signal::KILL, |folder| {
        std::fs::write(folder.join("configuration-0.redb"), [0x5a; 9_000]).unwrap();
    });
    assert_eq!(deployment.version(0), None);
    assert_eq!(status(&deployment.fleet.daemons[0], "/script-keyed"), 400);
    let files = std::fs::read_dir(deployment.fleet.folder.join("0")).unwrap();
    let names: Vec<String> = files.map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
    assert!(names.iter().any(|name| name.starts_with("configuration-0.damaged-")), "{names:?}");
    for relay in &deployment.relays {
        relay.cut.store(false, Ordering::SeqCst);
    }
    deployment.assert_converges(deployment.all(), version);
    deployment.end();
}
