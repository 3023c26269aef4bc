//! Tests of the subscriber: which updates it applies, rejects or ignores, and what it requests.

mod common;

use common::{SECOND, TestDriver, UNKNOWN_CLASS, receive};
use violetseam_distribution::backoff::{Backoff, INITIAL_BACKOFF, MAX_BACKOFF};
use violetseam_distribution::publisher::{
    EncodedSnapshot, LogEntry, LogLimits, Publisher, SubscribeResponse,
};
use violetseam_distribution::resource::ResourceError;
use violetseam_distribution::subscriber::{
    Effect, MAX_REJECTED_DELTAS, REJECTED_SNAPSHOT_DELAY, Subscriber, WATCH_TIMEOUT,
};
use violetseam_distribution::{
    Change, Configuration, Delta, Digest, Message, Micros, ParseError, Report, Resource, ResourceKey,
    SnapshotPart, Subscribe, Term, Version,
};

const SUBSCRIBER_NAME: &str = "proxy-1";

/// A publisher and a subscriber. The test passes the messages from one to the other.
struct Pair {
    now: Micros,
    publisher: Publisher,
    subscriber: Subscriber,
    driver: TestDriver,
}

impl Pair {
    /// Creates a pair whose subscriber has version 1 (tenant `a`) in force and has an open watch.
    fn synchronized() -> Pair {
        let mut pair = Pair::new(Term(3), None);
        pair.publish(vec![tenant("a", 1.0)]);
        pair.open_watch();
        pair.deliver_snapshot();
        assert_eq!(pair.current_number(), Some(1));
        pair
    }

    fn new(term: Term, stored: Option<Configuration>) -> Pair {
        let publisher = Publisher::new(term, LogLimits::default());
        let driver = TestDriver { configuration: stored.clone() };
        Pair {
            now: SECOND,
            publisher,
            subscriber: Subscriber::new(SECOND, SUBSCRIBER_NAME, 1, stored),
            driver,
        }
    }

    fn publish(&mut self, changes: Vec<Change>) -> Delta {
        self.publisher.publish(changes).unwrap().delta.clone()
    }

    /// Advances the time to the subscriber's next call and returns the request that opens its watch.
    fn open_watch(&mut self) -> Subscribe {
        self.now = self.now.max(self.subscriber.deadline());
        self.subscriber.call(self.now).expect("the next call is due")
    }

    fn respond(&mut self, subscribe: &Subscribe) -> SubscribeResponse {
        self.publisher.subscribe(self.now, subscribe)
    }

    /// Passes a message to the subscriber. Checks that its effects lead to the subscriber's configuration.
    fn receive(&mut self, message: Message) -> Vec<Effect> {
        let effects = receive(&mut self.subscriber, self.now, message);
        self.driver.apply_effects(&self.subscriber, &effects);
        assert_eq!(self.driver.configuration.as_ref(), self.subscriber.configuration());
        effects
    }

    fn receive_delta(&mut self, delta: &Delta) -> Vec<Effect> {
        self.receive(Message::Delta(delta.clone()))
    }

    fn parts(&self) -> Vec<SnapshotPart> {
        snapshot_parts(self.publisher.configuration())
    }

    fn deliver_snapshot(&mut self) -> Vec<Effect> {
        let parts = self.parts();
        parts.into_iter().flat_map(|part| self.receive(Message::SnapshotPart(part))).collect()
    }

    fn current_number(&self) -> Option<u64> {
        self.subscriber.version().map(|version| version.number)
    }

    fn is_up_to_date(&self) -> bool {
        self.subscriber.configuration() == Some(self.publisher.configuration())
    }
}

fn snapshot_parts(configuration: &Configuration) -> Vec<SnapshotPart> {
    let lines = EncodedSnapshot::encode(configuration).parts;
    let parse = |line: &[u8]| match Message::parse(line) {
        Ok(Message::SnapshotPart(part)) => part,
        other => panic!("not a snapshot part: {other:?}"),
    };
    lines.iter().map(|line| parse(line)).collect()
}

fn tenant(name: &str, quota: f64) -> Change {
    Change::Put(Resource::tenant(name, quota))
}

fn route(prefix: &str, class: &str) -> Change {
    Change::Put(Resource::route(None, prefix, class))
}

fn remove_route(prefix: &str) -> Change {
    let Change::Put(resource) = route(prefix, "any") else { unreachable!() };
    Change::Remove(resource.key())
}

fn acknowledgement(version: Version) -> Effect {
    Effect::Report(Report::Acknowledge { subscriber: SUBSCRIBER_NAME.to_owned(), version })
}

fn rejection(effects: &[Effect]) -> Option<(Version, &str)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Report(Report::Reject { version, reason, .. }) => Some((*version, reason.as_str())),
        _ => None,
    })
}

fn closes_watch(effects: &[Effect]) -> bool {
    effects.contains(&Effect::CloseWatch)
}

#[test]
fn a_delta_is_applied_and_acknowledged() {
    let mut pair = Pair::synchronized();
    let delta = pair.publish(vec![tenant("b", 2.0), tenant("a", 3.0)]);
    let effects = pair.receive_delta(&delta);
    let apply = Effect::Apply { version: delta.version, changes: delta.changes.clone() };
    assert_eq!(effects, [apply, acknowledgement(delta.version)]);
    assert!(pair.is_up_to_date());
}

#[test]
fn the_first_call_requests_everything_and_gets_a_snapshot() {
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![tenant("a", 1.0)]);
    let subscribe = pair.open_watch();
    assert_eq!(
        subscribe,
        Subscribe { subscriber: SUBSCRIBER_NAME.to_owned(), known: None, snapshot_required: false }
    );
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::Snapshot { .. }));
    let effects = pair.deliver_snapshot();
    let version = pair.publisher.version();
    assert_eq!(effects, [Effect::Replace { version }, acknowledgement(version)]);
    assert!(pair.is_up_to_date());
}

#[test]
fn a_restarted_subscriber_requests_the_changes_since_its_stored_version() {
    let mut pair = Pair::synchronized();
    let stored = pair.subscriber.configuration().cloned();
    let known = pair.subscriber.version();
    pair.publish(vec![tenant("b", 2.0)]);
    pair.subscriber = Subscriber::new(pair.now, SUBSCRIBER_NAME, 2, stored);
    assert_eq!(pair.subscriber.version(), known, "the stored configuration is in force at once");
    let subscribe = pair.open_watch();
    assert_eq!(subscribe.known, known);
    let SubscribeResponse::Deltas(deltas) = pair.respond(&subscribe) else {
        panic!("the response has no deltas")
    };
    assert_eq!(deltas.len(), 1);
    pair.receive_delta(&deltas[0].delta);
    assert!(pair.is_up_to_date());
}

#[test]
fn repeated_and_outdated_messages_change_nothing() {
    let mut pair = Pair::synchronized();
    let old_parts = pair.parts();
    let second = pair.publish(vec![tenant("b", 2.0)]);
    let third = pair.publish(vec![tenant("b", 3.0)]);
    pair.receive_delta(&second);
    pair.receive_delta(&third);
    for message in [
        Message::Delta(second.clone()),
        Message::Delta(third.clone()),
        Message::SnapshotPart(old_parts[0].clone()),
        Message::SnapshotPart(pair.parts()[0].clone()),
        Message::Heartbeat { version: second.version, digest: second.digest },
    ] {
        assert_eq!(pair.receive(message), []);
    }
    assert!(pair.is_up_to_date());
}

#[test]
fn a_gap_closes_the_watch_and_the_next_call_states_the_current_version() {
    let mut pair = Pair::synchronized();
    pair.publish(vec![tenant("b", 2.0)]);
    let third = pair.publish(vec![tenant("c", 3.0)]);
    assert_eq!(pair.receive_delta(&third), [Effect::CloseWatch]);
    assert_eq!(pair.current_number(), Some(1));
    assert_eq!(pair.receive_delta(&third), [], "without an open watch messages are ignored");
    let subscribe = pair.open_watch();
    let SubscribeResponse::Deltas(deltas) = pair.respond(&subscribe) else {
        panic!("the response has no deltas")
    };
    for entry in deltas {
        pair.receive_delta(&entry.delta);
    }
    assert!(pair.is_up_to_date());
}

#[test]
fn a_heartbeat_with_a_later_version_reveals_a_gap() {
    let mut pair = Pair::synchronized();
    pair.publish(vec![tenant("b", 2.0)]);
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), [Effect::CloseWatch]);
}

#[test]
fn a_delta_with_a_wrong_digest_is_rejected_completely_and_a_snapshot_requested() {
    let mut pair = Pair::synchronized();
    let valid = pair.publish(vec![tenant("b", 2.0), tenant("c", 2.0)]);
    let before = pair.subscriber.configuration().cloned();
    let damaged = Delta { changes: vec![tenant("b", 2.0), tenant("c", 2.5)], ..valid.clone() };
    let effects = pair.receive_delta(&damaged);
    assert!(rejection(&effects).is_some_and(|(version, _)| version == valid.version));
    assert!(closes_watch(&effects));
    assert_eq!(pair.subscriber.configuration().cloned(), before, "none of its changes is in force");
    let subscribe = pair.open_watch();
    assert!(subscribe.snapshot_required);
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.is_up_to_date());
    let next = pair.publish(vec![tenant("d", 1.0)]);
    assert_eq!(pair.receive_delta(&next).len(), 2, "the subscriber continues with deltas");
}

#[test]
fn a_wrong_version_on_valid_changes_is_detected() {
    let mut pair = Pair::synchronized();
    let valid = pair.publish(vec![tenant("b", 2.0)]);
    let later = Version { number: valid.version.number + 1, ..valid.version };
    let effects = pair.receive_delta(&Delta { version: later, ..valid });
    assert!(rejection(&effects).is_some());
    assert_eq!(pair.current_number(), Some(1));
}

#[test]
fn a_rejected_delta_leaves_the_previous_version_in_force_until_a_later_one_corrects_it() {
    let mut pair = Pair::synchronized();
    let invalid = pair.publish(vec![route("/x", UNKNOWN_CLASS), tenant("b", 2.0)]);
    let following = pair.publish(vec![tenant("c", 2.0)]);
    let corrected = pair.publish(vec![remove_route("/x")]);

    let effects = pair.receive_delta(&invalid);
    let (version, reason) = rejection(&effects).expect("a rejection");
    assert_eq!((version, reason), (invalid.version, "no class \"unknown\""));
    assert!(!closes_watch(&effects), "the watch stays open for a correction");
    assert_eq!(pair.current_number(), Some(1));
    let status = pair.subscriber.status(pair.now);
    assert_eq!(status.rejected.map(|rejection| rejection.version), Some(invalid.version));

    let effects = pair.receive_delta(&following);
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(following.version));
    assert_eq!(pair.current_number(), Some(1), "a delta based on a rejected one is not in force");

    let effects = pair.receive_delta(&corrected);
    let changes = vec![tenant("b", 2.0), tenant("c", 2.0)];
    let apply = Effect::Apply { version: corrected.version, changes };
    assert_eq!(effects, [apply, acknowledgement(corrected.version)]);
    assert!(pair.is_up_to_date());
    assert_eq!(pair.subscriber.status(pair.now).rejected, None);
}

#[test]
fn too_many_rejected_deltas_are_dropped_and_a_snapshot_requested() {
    let mut pair = Pair::synchronized();
    let invalid = pair.publish(vec![route("/x", UNKNOWN_CLASS)]);
    let mut effects = pair.receive_delta(&invalid);
    let mut rejected_count = 1;
    while !closes_watch(&effects) {
        let next = pair.publish(vec![tenant("b", rejected_count as f64)]);
        effects = pair.receive_delta(&next);
        rejected_count += 1;
        assert!(
            rejected_count <= MAX_REJECTED_DELTAS + 1,
            "the watch is still open after {rejected_count} rejected deltas"
        );
    }
    assert_eq!(rejected_count, MAX_REJECTED_DELTAS + 1);
    let delay = pair.subscriber.deadline() - pair.now;
    assert!((REJECTED_SNAPSHOT_DELAY / 2..=REJECTED_SNAPSHOT_DELAY).contains(&delay), "delay of {delay} us");
    assert!(pair.open_watch().snapshot_required);
}

#[test]
fn a_rejected_snapshot_leaves_the_previous_version_in_force_until_a_delta_corrects_it() {
    let mut pair = Pair::synchronized();
    let invalid = pair.publisher.propose_replacement([Resource::route(None, "/x", UNKNOWN_CLASS)]).unwrap();
    pair.publisher.replace(invalid).unwrap();
    let effects = pair.deliver_snapshot();
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(pair.publisher.version()));
    assert!(!closes_watch(&effects));
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), []);
    let still_invalid = pair.publish(vec![tenant("b", 1.0)]);
    let effects = pair.receive_delta(&still_invalid);
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(still_invalid.version));
    assert_eq!(pair.current_number(), Some(1));

    let corrected = pair.publish(vec![remove_route("/x")]);
    let effects = pair.receive_delta(&corrected);
    let version = corrected.version;
    assert_eq!(effects, [Effect::Replace { version }, acknowledgement(version)]);
    assert!(pair.is_up_to_date());
}

#[test]
fn a_rejected_snapshot_that_is_sent_again_with_a_correcting_delta_is_applied() {
    // A publisher reuses an encoded snapshot while few deltas follow it, so that a subscriber can get the
    // same invalid snapshot again, followed by the delta that corrects it.
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![route("/x", UNKNOWN_CLASS), tenant("a", 1.0)]);
    pair.open_watch();
    pair.deliver_snapshot();
    pair.subscriber.on_watch_closed(pair.now);
    let old_parts = pair.parts();
    let corrected = pair.publish(vec![remove_route("/x")]);
    pair.open_watch();
    for part in old_parts {
        pair.receive(Message::SnapshotPart(part));
    }
    assert_eq!(pair.current_number(), None);
    pair.receive_delta(&corrected);
    assert!(pair.is_up_to_date());
}

#[test]
fn a_snapshot_is_in_force_only_when_it_is_complete() {
    let mut pair = Pair::synchronized();
    let tenants = (0..30_000).map(|n| Resource::tenant(&format!("tenant-{n}"), 1.0));
    let large = pair.publisher.propose_replacement(tenants).unwrap();
    pair.publisher.replace(large).unwrap();
    let mut parts = pair.parts();
    assert!(parts.len() >= 3, "{} parts", parts.len());
    parts.rotate_left(1);
    let last = parts.pop().unwrap();
    for part in parts {
        assert_eq!(pair.receive(Message::SnapshotPart(part.clone())), []);
        assert_eq!(pair.receive(Message::SnapshotPart(part)), [], "a repeated part changes nothing");
        assert_eq!(pair.current_number(), Some(1));
    }
    let effects = pair.receive(Message::SnapshotPart(last));
    assert!(matches!(effects[0], Effect::Replace { .. }));
    assert!(pair.is_up_to_date());
}

#[test]
fn parts_of_two_snapshots_are_never_mixed() {
    let tenants = |quota: f64| (0..30_000).map(move |n| Resource::tenant(&format!("tenant-{n}"), quota));
    let mut pair = Pair::synchronized();
    let older = pair.publisher.propose_replacement(tenants(1.0)).unwrap();
    pair.publisher.replace(older).unwrap();
    let older = pair.parts();
    let newer = pair.publisher.propose_replacement(tenants(2.0)).unwrap();
    pair.publisher.replace(newer).unwrap();
    let newer = pair.parts();
    assert_eq!(older.len(), newer.len());

    pair.receive(Message::SnapshotPart(older[0].clone()));
    for part in &newer[1..] {
        assert_eq!(pair.receive(Message::SnapshotPart(part.clone())), []);
    }
    assert_eq!(
        pair.receive(Message::SnapshotPart(older[0].clone())),
        [],
        "a part of an older snapshot is ignored"
    );
    let effects = pair.receive(Message::SnapshotPart(newer[0].clone()));
    assert!(matches!(effects[0], Effect::Replace { .. }));
    assert!(pair.is_up_to_date());
}

#[test]
fn a_damaged_snapshot_is_rejected_and_requested_again() {
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![tenant("a", 1.0), tenant("b", 1.0)]);
    pair.open_watch();
    let mut part = pair.parts().remove(0);
    part.resources[1] = Resource::tenant("b", 2.0);
    let effects = pair.receive(Message::SnapshotPart(part));
    assert!(rejection(&effects).is_some() && closes_watch(&effects));
    assert_eq!(pair.current_number(), None);
    pair.open_watch();
    pair.deliver_snapshot();
    assert!(pair.is_up_to_date());
}

#[test]
fn parts_that_state_different_snapshots_are_rejected() {
    let mut pair = Pair::synchronized();
    let version = Version::new(Term(3), 9);
    let part = |part, parts, digest| {
        let resources = vec![Resource::tenant("x", 1.0)];
        Message::SnapshotPart(SnapshotPart { version, part, parts, digest: Digest(digest), resources })
    };
    assert_eq!(pair.receive(part(0, 3, 1)), []);
    assert!(closes_watch(&pair.receive(part(1, 4, 1))));
    pair.open_watch();
    assert_eq!(pair.receive(part(0, 3, 1)), []);
    assert!(closes_watch(&pair.receive(part(1, 3, 2))));
    assert_eq!(pair.current_number(), Some(1));
}

#[test]
fn a_delta_between_the_parts_of_a_snapshot_closes_the_watch() {
    let mut pair = Pair::synchronized();
    let version = Version::new(Term(3), 9);
    let resources = vec![Resource::tenant("x", 1.0)];
    let part = SnapshotPart { version, part: 0, parts: 2, digest: Digest(1), resources };
    assert_eq!(pair.receive(Message::SnapshotPart(part)), []);
    let next = pair.publish(vec![tenant("b", 1.0)]);
    assert_eq!(pair.receive_delta(&next), [Effect::CloseWatch]);
    assert_eq!(pair.current_number(), Some(1));
}

#[test]
fn messages_of_a_lower_term_are_fenced_and_a_higher_term_is_followed() {
    let mut pair = Pair::synchronized();
    let mut older = Publisher::new(Term(2), LogLimits::default());
    for n in 0..9 {
        older.publish(vec![tenant("old", n as f64)]).unwrap();
    }
    let delta: Delta = older.publish(vec![tenant("old", 99.0)]).unwrap().delta.clone();
    let part = snapshot_parts(older.configuration()).remove(0);
    for message in [Message::Delta(delta), Message::SnapshotPart(part), older.heartbeat()] {
        assert_eq!(pair.receive(message), [Effect::CloseWatch]);
        assert_eq!(pair.current_number(), Some(1));
        pair.open_watch();
    }

    // The publisher lost its log: it continues under a higher term, and its numbers start again.
    pair.publisher = Publisher::new(Term(4), LogLimits::default());
    pair.publish(vec![tenant("new", 1.0)]);
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), [Effect::CloseWatch]);
    let subscribe = pair.open_watch();
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.is_up_to_date());
}

#[test]
fn a_reused_version_number_is_detected_by_the_heartbeat() {
    let mut pair = Pair::synchronized();
    let lost = pair.publish(vec![tenant("b", 1.0)]);
    pair.receive_delta(&lost);
    // The publisher is restored without version 2, under the same term, and publishes a different version 2.
    let stored = Configuration::from_resources(Version::new(Term(3), 1), [Resource::tenant("a", 1.0)]);
    pair.publisher = Publisher::restore(stored.unwrap(), [], LogLimits::default()).unwrap();
    pair.publish(vec![tenant("b", 7.0)]);
    pair.subscriber.on_watch_closed(pair.now);
    let subscribe = pair.open_watch();
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::UpToDate));
    let heartbeat = pair.publisher.heartbeat();
    assert!(closes_watch(&pair.receive(heartbeat)));
    let subscribe = pair.open_watch();
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.is_up_to_date());
}

#[test]
fn a_silent_watch_is_closed_and_heartbeats_keep_it_open() {
    let mut pair = Pair::synchronized();
    for _ in 0..5 {
        pair.now += WATCH_TIMEOUT - 1;
        assert_eq!(pair.subscriber.on_tick(pair.now), []);
        let heartbeat = pair.publisher.heartbeat();
        assert_eq!(pair.receive(heartbeat), []);
    }
    let status = pair.subscriber.status(pair.now + SECOND);
    assert_eq!((status.age, status.watching), (Some(SECOND), true));
    pair.now += WATCH_TIMEOUT;
    assert_eq!(pair.subscriber.deadline(), pair.now);
    assert_eq!(pair.subscriber.on_tick(pair.now), [Effect::CloseWatch]);
    let status = pair.subscriber.status(pair.now);
    assert_eq!((status.age, status.watching), (Some(WATCH_TIMEOUT), false));
    assert_eq!(pair.current_number(), Some(1), "the last version stays in force");
}

#[test]
fn a_snapshot_without_progress_times_out_despite_heartbeats() {
    let mut pair = Pair::synchronized();
    let version = Version::new(Term(3), 9);
    let resources = vec![Resource::tenant("x", 1.0)];
    let part = SnapshotPart { version, part: 0, parts: 2, digest: Digest(1), resources };
    pair.receive(Message::SnapshotPart(part.clone()));
    let started_at = pair.now;
    while pair.subscriber.on_tick(pair.now).is_empty() {
        pair.now += SECOND;
        pair.receive(Message::SnapshotPart(part.clone()));
        pair.receive(Message::Heartbeat { version, digest: Digest(1) });
        assert!(pair.now <= started_at + WATCH_TIMEOUT, "the watch is still open after WATCH_TIMEOUT");
    }
    assert_eq!(pair.now, started_at + WATCH_TIMEOUT);
}

#[test]
fn a_subscriber_calls_again_after_the_stated_wait() {
    let mut pair = Pair::new(Term(3), None);
    pair.open_watch();
    let wait = 12 * SECOND;
    assert_eq!(pair.receive(Message::RetryAfter { micros: wait }), [Effect::CloseWatch]);
    pair.subscriber.on_watch_closed(pair.now);
    assert_eq!(
        pair.subscriber.deadline(),
        pair.now + wait,
        "the closing of the watch does not change the time of the next call"
    );
    assert_eq!(pair.subscriber.call(pair.now + wait - 1), None);
    assert!(pair.subscriber.call(pair.now + wait).is_some());
    assert_eq!(pair.subscriber.call(pair.now + wait), None, "only one watch is open at a time");
}

#[test]
fn delays_between_failed_calls_are_random_growing_and_bounded() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..40).map(|_| backoff.next_delay()).collect::<Vec<Micros>>()
    };
    for seed in 0..100 {
        let drawn = delays(seed);
        assert!(drawn.iter().all(|delay| (INITIAL_BACKOFF / 2..=MAX_BACKOFF).contains(delay)));
        assert!(drawn[0] <= INITIAL_BACKOFF);
        assert!(drawn[10..].iter().all(|delay| *delay >= MAX_BACKOFF / 2), "the delay has grown");
    }
    assert_eq!(delays(1), delays(1));
    assert_ne!(delays(1), delays(2));

    let mut pair = Pair::synchronized();
    for _ in 0..10 {
        pair.subscriber.on_watch_closed(pair.now);
        pair.open_watch();
    }
    let heartbeat = pair.publisher.heartbeat();
    pair.receive(heartbeat);
    pair.subscriber.on_watch_closed(pair.now);
    assert!(pair.subscriber.deadline() - pair.now <= INITIAL_BACKOFF, "a heartbeat resets the backoff");
}

#[test]
fn a_malformed_line_only_closes_the_watch() {
    let mut pair = Pair::synchronized();
    let error = ParseError::InvalidResource(ResourceError::MissingLeadingSlash);
    assert_eq!(pair.subscriber.on_malformed(pair.now, &error), [Effect::CloseWatch]);
    assert_eq!(pair.current_number(), Some(1));
    let subscribe = pair.open_watch();
    assert!(matches!(pair.respond(&subscribe), SubscribeResponse::UpToDate));
}

#[test]
fn a_delta_that_removes_an_unknown_resource_is_rejected_and_a_snapshot_requested() {
    let mut pair = Pair::synchronized();
    let current = pair.subscriber.configuration().unwrap();
    let (base, version) = (current.version(), current.version().next());
    let changes = vec![Change::Remove(ResourceKey::Tenant("nobody".to_owned()))];
    let effects = pair.receive_delta(&Delta { base, version, changes, digest: Digest(1) });
    assert!(rejection(&effects).is_some_and(|(_, reason)| reason.contains("nobody")));
    assert!(pair.open_watch().snapshot_required);
}

#[test]
fn a_subscriber_applies_the_encoded_deltas_of_a_publisher() {
    let mut pair = Pair::synchronized();
    let entries: Vec<_> = (0..3)
        .map(|n| pair.publisher.publish(vec![tenant("b", n as f64), route("/r", "c")]).unwrap())
        .collect();
    let parse = |entry: &LogEntry| Message::parse(&entry.line).unwrap();
    for entry in &entries {
        pair.receive(parse(entry));
    }
    assert!(pair.is_up_to_date());
}
