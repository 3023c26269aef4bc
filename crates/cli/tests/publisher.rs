//! Tests the configuration publisher as a process: publishing, kills, a lost store, slow subscribers, and
//! many subscribers at once.

mod common;

use common::publisher::{
    WAIT_LIMIT, Watch, WatchEvent, connect_with_small_buffer, json_lines, put_route, remove_route, report,
    start, start_expecting_exit, state_folder, version_of,
};
use rustix::process::{Resource as Limit, Rlimit, prlimit};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use violetseam_distribution::message::{Change, MAX_DELTA_CHANGES};
use violetseam_distribution::subscriber::{Effect, Subscriber};
use violetseam_distribution::{Message, Micros, Report, Resource, Subscribe, Term, Version};
use violetseam_publisher::client::ClientError;

/// A change that puts a route whose prefix has the given length.
fn long_route(number: usize, length: usize) -> Change {
    let start = format!("/{number}/");
    put_route(&format!("{start}{}", "x".repeat(length - start.len())), "read")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_published_change_reaches_a_watch_and_the_status_shows_subscribers_behind() {
    let state = state_folder("reaches");
    let publisher = start(&state, &[]);
    let mut watch = Watch::open(publisher.address, "proxy-1", None);
    let Message::SnapshotPart(part) = watch.next_message_except_heartbeat() else { panic!("no snapshot") };
    assert_eq!((part.version, part.parts, part.resources.len()), (publisher.started_from, 1, 0));
    // A heartbeat follows at once, not only after an idle period.
    let WatchEvent::Message(Message::Heartbeat { version, digest }) =
        watch.next(Duration::from_millis(1_500))
    else {
        panic!("no heartbeat after the snapshot")
    };
    assert_eq!((version, digest), (part.version, part.digest));

    let file = state.join("changes.jsonl");
    std::fs::write(&file, json_lines(&[put_route("/a", "read"), put_route("/b", "write")])).unwrap();
    let output = publisher.run_publish(&[file.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    let first = publisher.started_from.next();
    assert!(text(&output.stdout).contains(&format!("version {first}, ")), "{output:?}");

    let Message::Delta(delta) = watch.next_message_except_heartbeat() else { panic!("no delta") };
    assert_eq!((delta.base, delta.version), (publisher.started_from, first));
    assert_eq!(delta.changes, [put_route("/a", "read"), put_route("/b", "write")]);

    // The status shows a version for a subscriber only once the subscriber has acknowledged it.
    let status = publisher.client().status().unwrap();
    assert_eq!((status.version, status.digest, status.resources), (first, delta.digest, 2));
    assert_eq!(status.subscribers[0].status.version, None);
    let acknowledged = Report::Acknowledge { subscriber: "proxy-1".into(), version: first };
    assert_eq!(report(publisher.address, &acknowledged), 200);
    let row = publisher.client().status().unwrap().subscribers.remove(0);
    assert_eq!((row.status.version, row.status.behind, row.watching), (Some(first), Some(0), true));

    let second = publisher.publish(&[remove_route("/a")]);
    assert_eq!(report(publisher.address, &Report::reject("proxy-1", second, "class unknown")), 200);
    let output = publisher.run_publish(&["--status"]);
    let shown = text(&output.stdout);
    assert!(output.status.success() && shown.contains("1 of 1 subscribers behind"), "{shown}");
    assert!(shown.contains(&format!("refused {second}: class unknown")), "{shown}");
    // A subscriber cannot acknowledge a version that was never published.
    let never = Report::Acknowledge { subscriber: "proxy-1".into(), version: second.next() };
    assert_eq!(report(publisher.address, &never), 409);
    publisher.end();
}

#[test]
fn heartbeats_arrive_on_a_watch_without_changes() {
    let publisher = start(&state_folder("heartbeats"), &[]);
    let version = publisher.publish(&[put_route("/a", "read")]);
    let mut watch = Watch::open(publisher.address, "proxy-1", Some(version));
    for _ in 0..3 {
        match watch.next(Duration::from_secs(4)) {
            WatchEvent::Message(Message::Heartbeat { version: sent, .. }) => assert_eq!(sent, version),
            other => panic!("{other:?}"),
        }
    }
    publisher.end();
}

/// Publishes one route after another until the publisher does not answer any more. Returns the prefixes of
/// the confirmed routes by version number.
fn publish_until_killed(client: violetseam_publisher::client::Client, round: usize) -> BTreeMap<u64, String> {
    let mut confirmed = BTreeMap::new();
    for index in 0.. {
        let prefix = format!("/{round}/{index}");
        match client.publish_changes(&json_lines(&[put_route(&prefix, "read")])) {
            Ok(published) => assert_eq!(confirmed.insert(published.version.number, prefix), None),
            Err(ClientError::Refused(reason)) => panic!("{reason}"),
            Err(_) => break,
        }
    }
    confirmed
}

#[test]
fn a_publisher_killed_while_writing_keeps_each_confirmed_change_once_and_continues_its_numbers() {
    let state = state_folder("killed");
    let mut confirmed = BTreeMap::new();
    let mut last = None;
    for round in 0..6 {
        let publisher = start(&state, &[]);
        if let Some(last) = last {
            assert!(publisher.started_from >= last, "{} < {last}", publisher.started_from);
        }
        let client = publisher.client();
        let writer = thread::spawn(move || publish_until_killed(client, round));
        let mut watch = Watch::open(publisher.address, "proxy-1", Some(publisher.started_from));
        // The publisher is killed after it has sent some deltas, a different number of them in each round.
        let mut deltas = 0;
        while deltas < 12 + 7 * round {
            if matches!(watch.next_message_except_heartbeat(), Message::Delta(_)) {
                deltas += 1;
            }
        }
        publisher.kill();
        for (number, prefix) in writer.join().unwrap() {
            assert_eq!(confirmed.insert(number, prefix), None, "version number {number} was confirmed twice");
        }
        // A version that was sent before the kill must also be durable.
        while let WatchEvent::Message(message) = watch.next(Duration::from_millis(200)) {
            last = message.version().max(last);
        }
    }
    let publisher = start(&state, &[]);
    let newest = publisher.started_from;
    assert!(Some(newest) >= last);
    let mut watch = Watch::open(publisher.address, "reader", Some(Version::new(newest.term, 0)));
    let mut seen = BTreeSet::new();
    for number in 1..=newest.number {
        let Message::Delta(delta) = watch.next_message_except_heartbeat() else { panic!("no delta") };
        assert_eq!((delta.base.number, delta.version.number), (number - 1, number));
        let [Change::Put(Resource::Route(route))] = &delta.changes[..] else { panic!("{delta:?}") };
        assert!(seen.insert(route.key.prefix.clone()), "the route {} was stored twice", route.key.prefix);
        if let Some(prefix) = confirmed.remove(&number) {
            assert_eq!(prefix, route.key.prefix);
        }
    }
    assert!(confirmed.is_empty(), "confirmed changes were lost: {confirmed:?}");
    assert!(seen.len() >= 12 * 6, "{} versions are stored", seen.len());
    assert_eq!(publisher.publish(&[put_route("/after", "read")]), newest.next());
    publisher.end();
}

#[test]
fn a_change_that_cannot_be_made_durable_is_not_sent_and_ends_the_process() {
    let state = state_folder("room");
    let mut publisher = start(&state, &[]);
    let version = publisher.publish(&[put_route("/a", "read")]);
    let mut watch = Watch::open(publisher.address, "proxy-1", Some(version));
    assert!(matches!(watch.next(WAIT_LIMIT), WatchEvent::Message(Message::Heartbeat { .. })));
    // A limit on the file size stands for a full disk: the store cannot grow.
    let size = std::fs::metadata(state.join("publisher.redb")).unwrap().len();
    let full = Rlimit { current: Some(size), maximum: None };
    prlimit(Some(publisher.pid()), Limit::Fsize, full).unwrap();
    let mut number = 0;
    let last_durable = loop {
        let changes: Vec<Change> = (0..2_000).map(|n| long_route(number * 2_000 + n, 500)).collect();
        number += 1;
        match publisher.client().publish_changes(&json_lines(&changes)) {
            Ok(_) => assert!(number < 100, "the store did not reach its size limit in {number} publications"),
            Err(error) => {
                // The system killed the publisher as it wrote, or the publisher reported the failed write.
                assert!(!matches!(&error, ClientError::Unreachable(_)), "{error}");
                break Version::new(version.term, version.number + number as u64 - 1);
            }
        }
    };
    assert!(!publisher.wait().success());
    let mut last_sent = version;
    while let WatchEvent::Message(message) = watch.next(WAIT_LIMIT) {
        last_sent = message.version().max(Some(last_sent)).unwrap();
    }
    assert_eq!(last_sent, last_durable);
    let publisher = start(&state, &[]);
    assert_eq!(publisher.started_from, last_durable);
    publisher.end();
}

#[test]
fn a_publisher_without_its_store_begins_a_higher_term_and_sends_no_empty_snapshot() {
    let state = state_folder("lost");
    let before = start(&state, &[]);
    let held = before.publish(&[put_route("/a", "read"), put_route("/b", "read")]);
    before.kill();
    std::fs::remove_dir_all(&state).unwrap();

    let after = start(&state, &[]);
    assert!(after.started_from.term > held.term, "{} after {held}", after.started_from);
    assert_eq!(after.started_from.number, 0);
    // Nothing is published in the new term yet, so a subscriber keeps the configuration that it has.
    let mut watch = Watch::open(after.address, "proxy-1", Some(held));
    assert!(watch.status == 503 && watch.retry_after_ms.is_some_and(|wait| wait > 0), "{}", watch.status);
    assert!(matches!(watch.next_message_except_heartbeat(), Message::RetryAfter { .. }));

    let file = state.join("whole.jsonl");
    std::fs::write(&file, json_lines(&[Resource::route(None, "/a", "read"), Resource::tenant("t", 2.5)]))
        .unwrap();
    let output = after.run_publish(&["--whole", file.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    let mut watch = Watch::open(after.address, "proxy-1", Some(held));
    let Message::SnapshotPart(part) = watch.next_message_except_heartbeat() else { panic!("no snapshot") };
    assert_eq!(part.version, after.started_from.next());
    assert_eq!(part.resources, [Resource::route(None, "/a", "read"), Resource::tenant("t", 2.5)]);
    after.end();

    // With a higher `--term` the publisher continues from its store; a lower one is refused.
    let (higher, lower) = ((part.version.term.0 + 5).to_string(), (part.version.term.0 - 1).to_string());
    let refused = start_expecting_exit(&state, &["--term", &lower]);
    assert!(!refused.status.success() && text(&refused.stderr).contains("--term"), "{refused:?}");
    let publisher = start(&state, &["--term", &higher]);
    assert_eq!(publisher.started_from, version_of(&format!("{higher}.{}", part.version.number)));
    assert_eq!(publisher.client().status().unwrap().resources, 2);
    publisher.end();
}

#[test]
fn a_publisher_that_was_replaced_by_one_of_a_higher_term_stops_publishing() {
    let state = state_folder("superseded");
    let publisher = start(&state, &["--term", "7"]);
    let version = publisher.publish(&[put_route("/a", "read")]);
    let watch = Watch::open(publisher.address, "proxy-1", Some(Version::new(Term(8), 1)));
    assert_eq!(watch.status, 409);
    let change = json_lines(&[put_route("/b", "read")]);
    match publisher.client().publish_changes(&change) {
        Err(ClientError::Refused(reason)) => assert!(reason.contains("term 8"), "{reason}"),
        other => panic!("{other:?}"),
    }
    let status = publisher.client().status().unwrap();
    assert_eq!(status.version, version);
    assert!(status.halted.is_some());
    publisher.end();

    // A subscriber has a newer version than the store, so the store has lost its newest part. The publisher
    // must not publish other content under a version number that was already used.
    let publisher = start(&state, &[]);
    assert_eq!(Watch::open(publisher.address, "proxy-1", Some(version.next())).status, 409);
    assert!(matches!(publisher.client().publish_changes(&change), Err(ClientError::Refused(_))));
    publisher.end();
    let publisher = start(&state, &["--term", "9"]);
    let mut watch = Watch::open(publisher.address, "proxy-1", Some(version.next()));
    assert!(matches!(watch.next_message_except_heartbeat(), Message::SnapshotPart(_)));
    assert_eq!(publisher.publish(&[put_route("/b", "read")]), Version::new(Term(9), version.number + 1));
    publisher.end();
}

/// Publishes more than an unread watch may buffer: that watch must be closed, and one that is read must stay
/// open.
fn publish_with_a_slow_reader(name: &str, more: &[&str]) {
    let state = state_folder(name);
    let mut arguments = vec!["--log-bytes", "200000000"];
    arguments.extend(more);
    let publisher = start(&state, &arguments);
    let known = publisher.publish(&[put_route("/start", "read")]);
    let subscribe = Subscribe { subscriber: "slow".into(), known: Some(known), snapshot_required: false };
    let mut slow = Watch::call(connect_with_small_buffer(publisher.address), &subscribe);
    let mut quick = Watch::open(publisher.address, "quick", Some(known));
    // The changes exceed what the kernel's socket buffers hold.
    let mut last = known;
    for index in 0..12 {
        let changes: Vec<Change> = (0..2_000).map(|n| long_route(index * 2_000 + n, 500)).collect();
        last = publisher.publish(&changes);
        let deadline = Instant::now() + Duration::from_secs(5);
        while quick.next_message_except_heartbeat().version() != Some(last) {}
        assert!(Instant::now() < deadline, "a slow subscriber delays others");
    }
    let watching = || -> BTreeSet<String> {
        let rows = publisher.client().status().unwrap().subscribers.into_iter();
        rows.filter(|row| row.watching).map(|row| row.status.subscriber).collect()
    };
    let until = Instant::now() + WAIT_LIMIT;
    while watching().contains("slow") {
        assert!(Instant::now() < until, "the slow subscriber's watch was not closed within {WAIT_LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(watching().contains("quick"));
    // The slow subscriber reconnects with its version and receives every delta since.
    assert!(slow.closes_within(WAIT_LIMIT));
    let mut reconnected = Watch::open(publisher.address, "slow", Some(known));
    let mut held = known;
    while held != last {
        let Message::Delta(delta) = reconnected.next_message_except_heartbeat() else { panic!("no delta") };
        assert_eq!(delta.base, held);
        held = delta.version;
    }
    publisher.end();
}

#[test]
fn a_slow_subscriber_is_closed_at_its_limit_of_unread_bytes_and_others_continue() {
    publish_with_a_slow_reader("slow-bytes", &["--unread-bytes", "2000000", "--catch-up", "600"]);
}

#[test]
fn a_slow_subscriber_is_closed_when_it_has_not_caught_up_in_time() {
    let more = ["--unread-bytes", "100000000", "--catch-up", "1"];
    publish_with_a_slow_reader("slow-time", &more);
}

#[test]
fn invalid_changes_are_refused_and_nothing_changes() {
    let state = state_folder("refused");
    let publisher = start(&state, &[]);
    let version = publisher.publish(&[put_route("/a", "read")]);
    let digest = publisher.client().status().unwrap().digest;
    let mut watch = Watch::open(publisher.address, "proxy-1", Some(version));
    let good = text(&json_lines(&[put_route("/good", "read")]));
    let too_many: Vec<Change> =
        (0..=MAX_DELTA_CHANGES).map(|n| put_route(&format!("/{n}"), "read")).collect();
    let invalid = [
        (format!("{good}{}", text(&json_lines(&[put_route("no-slash", "read")]))), "line 2: prefix"),
        (format!("{good}{{\"put\":"), "line 2: "),
        (format!("{good}{{\"put\":{{\"cache\":{{}}}}}}"), "line 2: unknown variant `cache`"),
        (format!("{good}{}", text(&json_lines(&[remove_route("/none")]))), "not there"),
        (format!("{good}{good}"), "twice"),
        ("{\"put\":{\"tenant\":{\"name\":\"t\",\"value\":{\"quota\":-1.0}}}}".to_owned(), "line 1: quota"),
        (text(&json_lines(&too_many)), "more than"),
        (String::new(), "no change"),
    ];
    let file = state.join("faulty.jsonl");
    for (lines, reason) in &invalid {
        std::fs::write(&file, lines).unwrap();
        let output = publisher.run_publish(&[file.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(3), "{reason}: {output:?}");
        assert!(text(&output.stderr).contains(reason), "{reason}: {output:?}");
    }
    let whole = text(&json_lines(&[Resource::route(None, "/a", "x"), Resource::route(None, "/a", "y")]));
    std::fs::write(&file, whole).unwrap();
    assert_eq!(publisher.run_publish(&["--whole", file.to_str().unwrap()]).status.code(), Some(3));
    let status = publisher.client().status().unwrap();
    assert_eq!((status.version, status.digest, status.resources), (version, digest, 1));
    // Apart from heartbeats, the next message on the watch is the next valid change.
    let next = publisher.publish(&[put_route("/b", "read")]);
    assert_eq!((next, watch.next_message_except_heartbeat().version()), (version.next(), Some(next)));
    publisher.kill();
    let publisher = start(&state, &[]);
    assert_eq!((publisher.started_from, publisher.client().status().unwrap().resources), (next, 2));
    publisher.end();
}

#[test]
fn a_second_publisher_on_the_same_state_folder_is_refused() {
    let state = state_folder("taken");
    let publisher = start(&state, &[]);
    let refused = start_expecting_exit(&state, &[]);
    assert!(!refused.status.success());
    assert!(text(&refused.stderr).contains("another publisher"), "{refused:?}");
    publisher.end();
}

/// Writes a store of some size with a publisher that is killed or stopped in order. Returns the last version
/// and the bytes of the store.
fn write_store(state: &Path, killed: bool) -> (Version, Vec<u8>) {
    let publisher = start(state, &[]);
    for index in 0..20 {
        publisher.publish(&(0..40).map(|n| long_route(index * 40 + n, 200)).collect::<Vec<Change>>());
    }
    let version = publisher.client().status().unwrap().version;
    if killed {
        publisher.kill();
    } else {
        publisher.end();
    }
    (version, std::fs::read(state.join("publisher.redb")).unwrap())
}

#[test]
fn a_damaged_store_is_refused() {
    for killed in [false, true] {
        let state = state_folder(&format!("damaged-{killed}"));
        let (_, whole) = write_store(&state, killed);
        let file = state.join("publisher.redb");
        let text_offsets = |bytes: &[u8]| -> Vec<usize> {
            bytes.windows(8).enumerate().filter(|(_, part)| *part == b"xxxxxxxx").map(|(at, _)| at).collect()
        };
        let mut damaged = BTreeMap::new();
        damaged.insert("no database", b"not a database".to_vec());
        damaged.insert("cut short", whole[..whole.len() / 2].to_vec());
        let mut without_head = whole.clone();
        without_head[..512].fill(0x55);
        damaged.insert("head", without_head);
        let mut other_texts = whole.clone();
        for at in text_offsets(&whole) {
            other_texts[at] = b'y';
        }
        damaged.insert("texts", other_texts);
        let mut zeros = whole.clone();
        zeros[4096..].fill(0);
        damaged.insert("zeros", zeros);
        for (what, bytes) in damaged {
            std::fs::write(&file, bytes).unwrap();
            let refused = start_expecting_exit(&state, &[]);
            assert_eq!(refused.status.code(), Some(2), "{what}: {refused:?}");
            assert!(text(&refused.stderr).contains("the store is damaged"), "{what}: {refused:?}");
            assert!(refused.stdout.is_empty(), "{what}: {refused:?}");
        }
        std::fs::write(&file, &whole).unwrap();
        start(&state, &[]).end();
    }
}

/// Runs a subscriber until it has received a snapshot. Returns how many calls it made, and the time from
/// `since` until it had the snapshot.
fn subscribe_until_served(publisher: SocketAddr, name: &str, seed: u64, since: Instant) -> (usize, Duration) {
    let now = || since.elapsed().as_micros() as Micros;
    let mut subscriber = Subscriber::new(now(), name, seed, None);
    let mut calls = 0;
    loop {
        let Some(subscribe) = subscriber.call(now()) else {
            thread::sleep(Duration::from_micros(subscriber.deadline().saturating_sub(now()).max(1_000)));
            continue;
        };
        calls += 1;
        let mut watch = Watch::call(TcpStream::connect(publisher).unwrap(), &subscribe);
        loop {
            let WatchEvent::Message(message) = watch.next(Duration::from_secs(5)) else {
                subscriber.on_watch_closed(now());
                break;
            };
            let effects = subscriber.on_message(now(), message, &mut |_| Ok(()));
            if effects.iter().any(|effect| matches!(effect, Effect::Replace { .. })) {
                return (calls, since.elapsed());
            }
            if effects.contains(&Effect::CloseWatch) {
                break;
            }
        }
    }
}

#[test]
fn forty_subscribers_at_once_are_all_served_at_the_configured_rate() {
    let publisher = start(&state_folder("forty"), &["--snapshots-per-second", "10"]);
    let resources: Vec<Change> = (0..500).map(|n| long_route(n, 200)).collect();
    publisher.publish(&resources);
    let (address, since) = (publisher.address, Instant::now());
    let subscriber = |n: u64| move || subscribe_until_served(address, &format!("proxy-{n}"), n, since);
    let callers: Vec<_> = (0..40).map(|n| thread::spawn(subscriber(n))).collect();
    let served: Vec<(usize, Duration)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let last = served.iter().map(|(_, at)| *at).max().unwrap();
    // With 40 snapshots at 10 per second, the last comes 3.9 s after the first.
    assert!(
        last >= Duration::from_millis(3_900),
        "snapshots were admitted faster than 10 per second: the last after {last:?}"
    );
    assert!(last <= Duration::from_secs(8), "the last snapshot came after {last:?}");
    // A subscriber makes one call that is told when to retry, and one that is served; no further call is
    // wasted.
    let most_calls = served.iter().map(|(calls, _)| *calls).max().unwrap();
    assert!(most_calls <= 3, "{served:?}");
    publisher.end();
}

#[test]
fn request_sizes_and_connections_are_limited() {
    let state = state_folder("bounds");
    let publisher = start(&state, &["--connections", "4", "--body-bytes", "100000"]);
    let watch = Watch::request(
        TcpStream::connect(publisher.address).unwrap(),
        "GET /v1/configuration/watch?subscriber=a%20b HTTP/1.1\r\nhost: p\r\n\r\n",
    );
    assert_eq!(watch.status, 400);
    drop(watch);
    let long = vec![b' '; 200_000];
    match publisher.client().publish_changes(&long) {
        Err(ClientError::Refused(reason)) => {
            assert!(reason.contains("limit") || reason.contains("long"), "{reason}");
        }
        other => panic!("{other:?}"),
    }
    // The body of a report has its own, lower limit.
    let report = "x".repeat(10_000);
    let request = format!(
        "POST /v1/configuration/acknowledge HTTP/1.1\r\nhost: p\r\ncontent-length: 10000\r\n\r\n{report}"
    );
    assert_eq!(Watch::request(TcpStream::connect(publisher.address).unwrap(), &request).status, 413);
    // Four connections are held open. A fifth is closed, and served only once one of the four has been
    // closed.
    let known = Some(publisher.started_from);
    let until = Instant::now() + WAIT_LIMIT;
    let mut held = Vec::new();
    while held.len() < 4 {
        let watch = Watch::open(publisher.address, &format!("proxy-{}", held.len()), known);
        if watch.status == 200 {
            held.push(watch);
        }
        assert!(Instant::now() < until);
    }
    assert!(publisher.client().status().is_err(), "a fifth connection was served");
    held.pop();
    while publisher.client().status().is_err() {
        assert!(Instant::now() < until, "no connection became free within {WAIT_LIMIT:?}");
    }
    // A newer watch of the same subscriber replaces the older one.
    let mut newer = Watch::open(publisher.address, "proxy-0", known);
    assert!(held[0].closes_within(WAIT_LIMIT));
    assert!(matches!(newer.next(WAIT_LIMIT), WatchEvent::Message(_)));
    publisher.end();
}
