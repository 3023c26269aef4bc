//! Tests that this build reads the data that an earlier build stored. The files under `stored/` are never
//! written anew to make a test pass; the README there says how they were written.

mod common;

use common::publisher::{Watch, WatchEvent, put_route, remove_route, start as start_publisher, version_of};
use common::{PROGRAM, Proxy, world};
use rustix::io::Errno;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use rustix::process::{Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use violetseam_controller::journal::{Record, StateDir, encode};
use violetseam_distribution::Message;
use violetseam_operator_store::Store;
use violetseam_recorder::{Frame, Reader, ReplayFilter, replay};
use violetseam_release::{Event, Now, Phase};

/// The longest time that a test waits for one condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// The last version in the stored configuration and in the publisher's store.
const STORED_VERSION: &str = "1796219051902.2";
/// The time at which the stored journal of a controller ends, in microseconds since 1970.
const STORED_JOURNAL_END: u64 = 1_796_219_059_054_867;
/// The longest time that the plan in that journal allows its release to take, in microseconds.
const STORED_PLAN_LONGEST: u64 = 3_600_000_000;
/// The boot number in the stored daemon state.
const STORED_BOOT: u64 = 2;

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(name)
}

/// An empty folder for copies of stored files, at a path short enough for a Unix socket.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn copy_to(folder: &Path, name: &str) {
    std::fs::copy(stored(name), folder.join(name)).unwrap();
}

/// Compares a value with the JSON that the earlier build, which wrote the stored data, made of the same
/// value.
fn assert_equals_expected_file(name: &str, value: &Value) {
    let path = stored("expected").join(name);
    let expected: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    assert_eq!(value, &expected, "{name}");
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < until, "not reached within {WAIT_LIMIT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_publisher_continues_from_a_stored_configuration_and_its_log() {
    let state = empty_folder("publisher");
    copy_to(&state, "publisher.redb");
    let publisher = start_publisher(&state, &[]);
    let last = version_of(STORED_VERSION);
    assert_eq!(publisher.started_from, last);
    let mut watch = Watch::open(publisher.address, "fresh", None);
    let Message::SnapshotPart(part) = watch.next_message_except_heartbeat() else { panic!("no snapshot") };
    assert_eq!((part.version, part.parts), (last, 1));
    assert_equals_expected_file("resources.json", &serde_json::to_value(&part.resources).unwrap());
    // The log still holds the delta from the version before the last.
    let mut before = last;
    before.number -= 1;
    let mut watch = Watch::open(publisher.address, "behind", Some(before));
    let Message::Delta(delta) = watch.next_message_except_heartbeat() else { panic!("no delta") };
    assert_eq!((delta.base, delta.version, delta.digest), (before, last, part.digest));
    assert_eq!(delta.changes, [remove_route("/gone"), put_route("/d", "read")]);
    let next = publisher.publish(&[put_route("/e", "read")]);
    assert_eq!(next, last.next());
    assert!(matches!(watch.next(WAIT_LIMIT), WatchEvent::Message(_)));
    publisher.end();
    std::fs::remove_dir_all(state).unwrap();
}

/// A controller that runs on a copy of the stored journal, which a controller of the earlier build wrote in
/// term 1.
struct StoredController {
    folder: PathBuf,
    process: Child,
}

impl StoredController {
    /// Creates a folder that holds only the file of the term that the stored journal belongs to.
    fn folder(name: &str) -> PathBuf {
        let folder = empty_folder(name);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::copy(stored("controller").join("term-1"), folder.join("state/term-1")).unwrap();
        folder
    }

    fn start(folder: PathBuf) -> StoredController {
        let settings = folder.join("controller.star");
        let text = format!(
            "controller(name = \"two\", listen = \"127.0.0.1:0\", build = 1, control = \"{}\", lease = \"400ms\", beat = \"100ms\")\n",
            folder.join("control").display()
        );
        std::fs::write(&settings, text).unwrap();
        let process = Command::new(PROGRAM)
            .args(["controller", "--log", "error", "--settings"])
            .arg(&settings)
            .arg("--state")
            .arg(folder.join("state"))
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        StoredController { folder, process }
    }

    /// Waits until the controller leads in term 2 and is in the given phase, and returns its announcement.
    fn announcement(&self, phase: &str) -> Value {
        let mut reply = Value::Null;
        wait_for("the controller leads in term 2 and is in the expected phase", || {
            let out = Command::new(PROGRAM)
                .args(["release", "--json", "--timeout", "2", "--as", "lead", "--control"])
                .arg(self.folder.join("control"))
                .arg("state")
                .output()
                .unwrap();
            reply = serde_json::from_slice(&out.stdout).unwrap_or(Value::Null);
            reply["state"]["term"] == 2 && reply["state"]["news"]["phase"] == phase
        });
        reply["state"]["news"].take()
    }

    fn end(mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
        std::fs::remove_dir_all(self.folder).unwrap();
    }
}

/// Adds the offset `by`, in microseconds, to each wall-clock time in a journal record.
fn move_wall_times(value: &mut Value, by: u64) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                match field.as_u64() {
                    Some(wall) if name == "wall" => *field = (wall + by).into(),
                    _ => move_wall_times(field, by),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| move_wall_times(item, by)),
        _ => {}
    }
}

/// Returns the stored journal with its times moved so that it ends now, as if the controller had just
/// stopped.
fn journal_that_ends_now() -> Vec<u8> {
    let text = std::fs::read_to_string(stored("controller").join("journal-1-0")).unwrap();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let by = now - STORED_JOURNAL_END;
    let mut moved = Vec::new();
    for line in text.lines() {
        let (_checksum, json) = line.split_once(' ').unwrap();
        let mut record: Value = serde_json::from_str(json).unwrap();
        move_wall_times(&mut record, by);
        moved.extend(encode(&serde_json::from_value::<Record>(record).unwrap()));
    }
    moved
}

#[test]
fn a_controller_continues_from_a_stored_journal() {
    let folder = StoredController::folder("controller");
    let state = folder.join("state");
    std::fs::write(state.join("journal-1-0"), journal_that_ends_now()).unwrap();
    let replay = StateDir::open(&state).unwrap().read().unwrap().unwrap();
    assert_eq!((replay.event_count, replay.torn), (11, false));
    let controller = StoredController::start(folder);
    let news = controller.announcement("trial");
    assert_eq!(news, json!({"build": 7, "stage": 0, "phase": "trial", "cap": 0.25}));
    controller.end();
}

/// The stored plan allows its release one hour, and the time without a running controller counts towards it.
/// The stored journal ended on 2026-12-02 at 13:44 UTC, so its release is overdue.
#[test]
fn a_stored_release_whose_time_is_over_is_rolled_back() {
    let folder = StoredController::folder("late");
    let state = folder.join("state");
    std::fs::copy(stored("controller").join("journal-1-0"), state.join("journal-1-0")).unwrap();
    let mut replay = StateDir::open(&state).unwrap().read().unwrap().unwrap();
    assert_eq!((replay.event_count, replay.torn), (11, false));
    assert_equals_expected_file("release.json", &serde_json::to_value(&replay.release).unwrap());
    let restart_after = |span: u64| Now { wall: STORED_JOURNAL_END + span, steady: 0 };
    let mut in_time = replay.release.clone();
    in_time.on_event(restart_after(STORED_PLAN_LONGEST - 10_000_000), &Event::Started);
    assert_eq!(in_time.announcement().phase, Phase::Trial);
    replay.release.on_event(restart_after(STORED_PLAN_LONGEST), &Event::Started);
    assert_eq!(replay.release.announcement().phase, Phase::RollingBack);
    let controller = StoredController::start(folder);
    let news = controller.announcement("rolling_back");
    assert_eq!(news, json!({"build": 7, "stage": 0, "phase": "rolling_back", "cap": 0.25}));
    controller.end();
}

#[test]
fn a_stored_daemon_state_is_read_with_its_audit_log() {
    let folder = empty_folder("daemon");
    copy_to(&folder, "daemon-0.redb");
    let opened = Store::open(&folder, 0, 1_800_000_000_000_000).unwrap();
    assert_eq!((opened.boot, &opened.moved_aside), (STORED_BOOT + 1, &None));
    assert_equals_expected_file("durable.json", &serde_json::to_value(&opened.state).unwrap());
    assert_equals_expected_file("audit.json", &serde_json::to_value(opened.store.audit().unwrap()).unwrap());
    drop(opened);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Each frame that the earlier build wrote can be read. Its decisions have changed by intent, so that they are
/// compared with a recording of the same events by the build that changed them.
#[test]
fn a_stored_flight_recording_can_be_read_to_its_end() {
    let mut reader = Reader::open(&stored("flight")).unwrap();
    let (mut starts, mut events, mut actions_recorded) = (0, 0, 0);
    while let Some(frame) = reader.next_frame().unwrap() {
        match frame {
            Frame::Start { .. } => starts += 1,
            Frame::Event { actions, .. } => {
                events += 1;
                actions_recorded += actions.len();
            }
            Frame::Full => panic!("the recording has reached its size limit"),
        }
    }
    assert_eq!((events, starts), (2_180, 1));
    assert!(actions_recorded > 1_000, "only {actions_recorded} actions");
}

#[test]
fn a_stored_flight_recording_replays_without_a_difference() {
    let report = replay(&stored("flight-deadline-aware"), ReplayFilter::default(), &mut |_| {}).unwrap();
    assert!(
        report.difference.is_none() && report.read_error.is_none() && !report.reached_size_limit,
        "{report:?}"
    );
    assert_eq!((report.events, report.starts), (2_180, 1));
}

/// Returns an address that refuses connections: its listener is dropped at once.
fn unreachable_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

/// Writes the stored settings with these addresses. The proxy gets its endpoint list from `discovery`; its
/// publisher is unreachable.
fn write_settings(folder: &Path, discovery: SocketAddr, release_service: SocketAddr) -> PathBuf {
    let text = std::fs::read_to_string(stored("proxy.star")).unwrap();
    let text = text
        .replace("{state}", &folder.display().to_string())
        .replace("roster(addr = \"{world}\")", &format!("roster(addr = \"{discovery}\")"))
        .replace("{world}", &release_service.to_string())
        .replace("{publisher}", &unreachable_address().to_string());
    let path = folder.join("proxy.star");
    std::fs::write(&path, text).unwrap();
    path
}

/// Writes the endpoint list that the earlier build saved, with all servers at this address.
fn write_saved_list(folder: &Path, servers: SocketAddr) {
    let list = std::fs::read_to_string(stored("roster-0.json")).unwrap();
    std::fs::write(folder.join("roster-0.json"), list.replace("WORLD", &servers.to_string())).unwrap();
}

fn spawn_proxy(settings: &Path, more: &[&str]) -> Child {
    Command::new(PROGRAM)
        .args(["serve", "--log", "warn", "--settings"])
        .arg(settings)
        .args(more)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Returns the first line that a process prints, or an empty string if it exits before.
fn first_line(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    line
}

/// Asks a proxy for its state on its control socket.
fn control_state(folder: &Path) -> Value {
    let mut stream = UnixStream::connect(folder.join("control")).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.write_all(b"\"state\"\n").unwrap();
    common::fleet::answer(stream)["state"].clone()
}

/// Sends a request on a connection that closes after it, and returns the status of the response.
fn status(stream: &mut TcpStream, path: &str) -> String {
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[test]
fn a_proxy_serves_with_its_stored_configuration_and_endpoint_list_while_their_sources_are_unreachable() {
    let folder = empty_folder("proxy");
    let servers = world();
    copy_to(&folder, "configuration-0.redb");
    write_saved_list(&folder, servers);
    let settings = write_settings(&folder, unreachable_address(), servers);
    let mut child = spawn_proxy(&settings, &[]);
    let addr: SocketAddr = first_line(&mut child).trim().rsplit(' ').next().unwrap().parse().unwrap();
    let proxy = Proxy { child, addr };
    let state = control_state(&folder);
    let version = version_of(STORED_VERSION);
    assert_eq!(state["distributed"]["version"], serde_json::to_value(version).unwrap(), "{state}");
    assert_eq!((&state["distributed"]["routes"], &state["servers"]), (&json!(4), &json!(6)), "{state}");
    // The routes `/a` and `/d` come from the stored configuration, from which `/gone` was removed. The
    // servers come from the saved list.
    for (path, wanted) in [("/a/1", "200"), ("/d/1", "200"), ("/b/1", "400"), ("/gone", "404")] {
        assert_eq!(status(&mut proxy.open(), path), wanted, "{path}");
    }
    proxy.end();
    std::fs::remove_dir_all(folder).unwrap();
}

/// Stands in for a process of the earlier build that hands over its sockets. It covers only what the new
/// process sees.
struct EarlierProcess {
    stream: UnixStream,
}

impl EarlierProcess {
    /// Waits for the takeover request, then sends the stored offer, the given bytes as its module, and the
    /// descriptors of both sockets.
    fn hand_over(control: &UnixListener, module: &[u8], listener: &TcpListener, client: &TcpStream) -> Self {
        let (mut stream, _) = control.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let mut command = [0; 11];
        stream.read_exact(&mut command).unwrap();
        assert_eq!(&command, b"\"takeover\"\n");
        let offer = std::fs::read(stored("takeover/offer.json")).unwrap();
        let mut offer: Value = serde_json::from_slice(&offer).unwrap();
        offer["clients"] = json!(1);
        offer["module"] = json!(module.len());
        writeln!(stream, "{offer}").unwrap();
        stream.write_all(module).unwrap();
        let descriptors = [listener.as_fd(), client.as_fd()];
        let mut space = vec![MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut rights = SendAncillaryBuffer::new(&mut space);
        assert!(rights.push(SendAncillaryMessage::ScmRights(&descriptors)));
        let sent = sendmsg(&stream, &[IoSlice::new(b"+")], &mut rights, SendFlags::NOSIGNAL);
        // A process that cannot read the module may be gone before the descriptors are sent.
        assert!(matches!(sent, Ok(1) | Err(Errno::PIPE | Errno::CONNRESET)), "{sent:?}");
        EarlierProcess { stream }
    }

    /// Returns the next line from the new process, or an empty string if the process has exited.
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A process that exits with unread bytes resets the connection, so an error here also means that it
        // has exited.
        let _ = BufReader::new(&mut self.stream).read_line(&mut line);
        line
    }
}

/// The sockets of the earlier process: its control socket, a listener, and one idle client connection.
struct Sockets {
    control: UnixListener,
    listener: TcpListener,
    client: TcpStream,
    /// The server side of the client connection, which the earlier process holds.
    accepted: TcpStream,
}

impl Sockets {
    fn open(folder: &Path) -> Sockets {
        let control = UnixListener::bind(folder.join("control")).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (accepted, _) = listener.accept().unwrap();
        listener.set_nonblocking(true).unwrap();
        accepted.set_nonblocking(true).unwrap();
        Sockets { control, listener, client, accepted }
    }
}

#[test]
fn a_hand_over_from_the_earlier_build_loses_no_connection() {
    let folder = empty_folder("takeover");
    let servers = world();
    write_saved_list(&folder, servers);
    let settings = write_settings(&folder, servers, servers);
    let Sockets { control, listener, mut client, accepted } = Sockets::open(&folder);
    let addr = listener.local_addr().unwrap();
    let module = std::fs::read(stored("takeover/module.postcard")).unwrap();
    let child = spawn_proxy(&settings, &["--takeover"]);
    let mut proxy = Proxy { child, addr };
    let mut earlier = EarlierProcess::hand_over(&control, &module, &listener, &accepted);
    assert_eq!(earlier.line(), "ready\n");
    earlier.stream.write_all(b"go\n").unwrap();
    assert!(first_line(&mut proxy.child).contains(&addr.to_string()));
    drop((control, listener, accepted, earlier));
    // The connection that was handed over is served, and so are new ones at the same address.
    assert_eq!(status(&mut client, "/x/1"), "200");
    assert_eq!(status(&mut proxy.open(), "/x/1"), "200");
    let state = control_state(&folder);
    assert_eq!(state["release"], json!({"build": 2, "stage": 1, "phase": "trial", "cap": 0.5}), "{state}");
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    assert!(proxy.child.wait().unwrap().success());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_module_that_cannot_be_read_is_reported_and_the_earlier_process_keeps_its_sockets() {
    let folder = empty_folder("unreadable");
    let servers = world();
    let settings = write_settings(&folder, servers, servers);
    let Sockets { control, listener, client, accepted } = Sockets::open(&folder);
    let mut child = Command::new(PROGRAM)
        .args(["serve", "--log", "warn", "--takeover", "--settings"])
        .arg(&settings)
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let mut earlier = EarlierProcess::hand_over(&control, &[0xff; 4_096], &listener, &accepted);
    assert_eq!(earlier.line(), "", "the new process must not report that it is ready");
    let mut errors = String::new();
    child.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
    assert!(!child.wait().unwrap().success());
    assert!(errors.contains("takeover: module:"), "{errors}");
    drop((client, accepted));
    std::fs::remove_dir_all(folder).unwrap();
}
