//! The subscriber, one situation at a time: what it puts in force, refuses, asks for and ignores.

mod common;

use common::{InForce, SECOND, UNKNOWN_CLASS, receive};
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

const NAME: &str = "proxy-1";

/// A publisher and one subscriber that follows it by hand.
struct Pair {
    now: Micros,
    publisher: Publisher,
    subscriber: Subscriber,
    in_force: InForce,
}

impl Pair {
    /// A subscriber that holds version 1 (tenant `a`) and has a watch open.
    fn following() -> Pair {
        let mut pair = Pair::new(Term(3), None);
        pair.publish(vec![tenant("a", 1.0)]);
        pair.open();
        pair.deliver_snapshot();
        assert_eq!(pair.held(), Some(1));
        pair
    }

    fn new(term: Term, stored: Option<Configuration>) -> Pair {
        let publisher = Publisher::new(term, LogLimits::default());
        let in_force = InForce { configuration: stored.clone() };
        Pair { now: SECOND, publisher, subscriber: Subscriber::new(SECOND, NAME, 1, stored), in_force }
    }

    fn publish(&mut self, changes: Vec<Change>) -> Delta {
        self.publisher.publish(changes).unwrap().delta.clone()
    }

    /// Waits for the subscriber's time and takes its call.
    fn open(&mut self) -> Subscribe {
        self.now = self.now.max(self.subscriber.deadline());
        self.subscriber.call(self.now).expect("the time has come")
    }

    fn answer(&mut self, subscribe: &Subscribe) -> SubscribeResponse {
        self.publisher.subscribe(self.now, subscribe)
    }

    /// Takes a message; what is in force by the effects is what the subscriber holds.
    fn receive(&mut self, message: Message) -> Vec<Effect> {
        let effects = receive(&mut self.subscriber, self.now, message);
        self.in_force.take(&self.subscriber, &effects);
        assert_eq!(self.in_force.configuration.as_ref(), self.subscriber.configuration());
        effects
    }

    fn receive_delta(&mut self, delta: &Delta) -> Vec<Effect> {
        self.receive(Message::Delta(delta.clone()))
    }

    fn parts(&self) -> Vec<SnapshotPart> {
        parts_of(self.publisher.configuration())
    }

    fn deliver_snapshot(&mut self) -> Vec<Effect> {
        let parts = self.parts();
        parts.into_iter().flat_map(|part| self.receive(Message::SnapshotPart(part))).collect()
    }

    fn held(&self) -> Option<u64> {
        self.subscriber.version().map(|version| version.number)
    }

    fn holds_what_was_published(&self) -> bool {
        self.subscriber.configuration() == Some(self.publisher.configuration())
    }
}

fn parts_of(configuration: &Configuration) -> Vec<SnapshotPart> {
    let lines = EncodedSnapshot::encode(configuration).parts;
    let read = |line: &[u8]| match Message::parse(line) {
        Ok(Message::SnapshotPart(part)) => part,
        other => panic!("not a part: {other:?}"),
    };
    lines.iter().map(|line| read(line)).collect()
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
    Effect::Report(Report::Acknowledge { subscriber: NAME.to_owned(), version })
}

fn rejection(effects: &[Effect]) -> Option<(Version, &str)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Report(Report::Reject { version, reason, .. }) => Some((*version, reason.as_str())),
        _ => None,
    })
}

fn closes(effects: &[Effect]) -> bool {
    effects.contains(&Effect::CloseWatch)
}

#[test]
fn a_delta_is_applied_and_acknowledged() {
    let mut pair = Pair::following();
    let delta = pair.publish(vec![tenant("b", 2.0), tenant("a", 3.0)]);
    let effects = pair.receive_delta(&delta);
    let apply = Effect::Apply { version: delta.version, changes: delta.changes.clone() };
    assert_eq!(effects, [apply, acknowledgement(delta.version)]);
    assert!(pair.holds_what_was_published());
}

#[test]
fn the_first_call_asks_for_everything_and_a_snapshot_answers_it() {
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![tenant("a", 1.0)]);
    let subscribe = pair.open();
    assert_eq!(subscribe, Subscribe { subscriber: NAME.to_owned(), known: None, snapshot_required: false });
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::Snapshot { .. }));
    let effects = pair.deliver_snapshot();
    let version = pair.publisher.version();
    assert_eq!(effects, [Effect::Replace { version }, acknowledgement(version)]);
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_restarted_subscriber_asks_for_what_changed_since() {
    let mut pair = Pair::following();
    let stored = pair.subscriber.configuration().cloned();
    let known = pair.subscriber.version();
    pair.publish(vec![tenant("b", 2.0)]);
    pair.subscriber = Subscriber::new(pair.now, NAME, 2, stored);
    assert_eq!(pair.subscriber.version(), known, "what was stored is in force at once");
    let subscribe = pair.open();
    assert_eq!(subscribe.known, known);
    let SubscribeResponse::Deltas(deltas) = pair.answer(&subscribe) else { panic!("not deltas") };
    assert_eq!(deltas.len(), 1);
    pair.receive_delta(&deltas[0].delta);
    assert!(pair.holds_what_was_published());
}

#[test]
fn repeated_and_overtaken_messages_change_nothing() {
    let mut pair = Pair::following();
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
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_gap_ends_the_watch_and_the_next_call_names_what_is_held() {
    let mut pair = Pair::following();
    pair.publish(vec![tenant("b", 2.0)]);
    let third = pair.publish(vec![tenant("c", 3.0)]);
    assert_eq!(pair.receive_delta(&third), [Effect::CloseWatch]);
    assert_eq!(pair.held(), Some(1));
    assert_eq!(pair.receive_delta(&third), [], "nothing is taken without a watch");
    let subscribe = pair.open();
    let SubscribeResponse::Deltas(deltas) = pair.answer(&subscribe) else { panic!("not deltas") };
    for published in deltas {
        pair.receive_delta(&published.delta);
    }
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_heartbeat_of_a_later_version_shows_a_gap() {
    let mut pair = Pair::following();
    pair.publish(vec![tenant("b", 2.0)]);
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), [Effect::CloseWatch]);
}

#[test]
fn a_delta_whose_digest_differs_is_refused_whole_and_a_snapshot_asked_for() {
    let mut pair = Pair::following();
    let good = pair.publish(vec![tenant("b", 2.0), tenant("c", 2.0)]);
    let before = pair.subscriber.configuration().cloned();
    let damaged = Delta { changes: vec![tenant("b", 2.0), tenant("c", 2.5)], ..good.clone() };
    let effects = pair.receive_delta(&damaged);
    assert!(rejection(&effects).is_some_and(|(version, _)| version == good.version));
    assert!(closes(&effects));
    assert_eq!(pair.subscriber.configuration().cloned(), before, "nothing of it is in force");
    let subscribe = pair.open();
    assert!(subscribe.snapshot_required);
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.holds_what_was_published());
    let next = pair.publish(vec![tenant("d", 1.0)]);
    assert_eq!(pair.receive_delta(&next).len(), 2, "and goes on by deltas");
}

#[test]
fn a_wrong_version_on_good_changes_is_found() {
    let mut pair = Pair::following();
    let good = pair.publish(vec![tenant("b", 2.0)]);
    let later = Version { number: good.version.number + 1, ..good.version };
    let effects = pair.receive_delta(&Delta { version: later, ..good });
    assert!(rejection(&effects).is_some());
    assert_eq!(pair.held(), Some(1));
}

#[test]
fn a_refused_delta_leaves_the_last_good_in_force_and_a_later_one_makes_it_good() {
    let mut pair = Pair::following();
    let bad = pair.publish(vec![route("/x", UNKNOWN_CLASS), tenant("b", 2.0)]);
    let more = pair.publish(vec![tenant("c", 2.0)]);
    let mended = pair.publish(vec![remove_route("/x")]);

    let effects = pair.receive_delta(&bad);
    let (version, reason) = rejection(&effects).expect("a rejection");
    assert_eq!((version, reason), (bad.version, "no class \"unknown\""));
    assert!(!closes(&effects), "the watch stays open for what makes it good");
    assert_eq!(pair.held(), Some(1));
    let status = pair.subscriber.status(pair.now);
    assert_eq!(status.rejected.map(|rejection| rejection.version), Some(bad.version));

    let effects = pair.receive_delta(&more);
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(more.version));
    assert_eq!(pair.held(), Some(1), "nothing that goes onto a refused one is in force");

    let effects = pair.receive_delta(&mended);
    let changes = vec![tenant("b", 2.0), tenant("c", 2.0)];
    let apply = Effect::Apply { version: mended.version, changes };
    assert_eq!(effects, [apply, acknowledgement(mended.version)]);
    assert!(pair.holds_what_was_published());
    assert_eq!(pair.subscriber.status(pair.now).rejected, None);
}

#[test]
fn refused_deltas_are_bounded_and_given_up_for_a_snapshot() {
    let mut pair = Pair::following();
    let bad = pair.publish(vec![route("/x", UNKNOWN_CLASS)]);
    let mut effects = pair.receive_delta(&bad);
    let mut kept = 1;
    while !closes(&effects) {
        let next = pair.publish(vec![tenant("b", kept as f64)]);
        effects = pair.receive_delta(&next);
        kept += 1;
        assert!(kept <= MAX_REJECTED_DELTAS + 1, "{kept} are kept");
    }
    assert_eq!(kept, MAX_REJECTED_DELTAS + 1);
    let wait = pair.subscriber.deadline() - pair.now;
    assert!((REJECTED_SNAPSHOT_DELAY / 2..=REJECTED_SNAPSHOT_DELAY).contains(&wait), "{wait}");
    assert!(pair.open().snapshot_required);
}

#[test]
fn a_refused_snapshot_leaves_the_last_good_in_force_and_a_delta_makes_it_good() {
    let mut pair = Pair::following();
    let bad = pair.publisher.propose_replacement([Resource::route(None, "/x", UNKNOWN_CLASS)]).unwrap();
    pair.publisher.replace(bad).unwrap();
    let effects = pair.deliver_snapshot();
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(pair.publisher.version()));
    assert!(!closes(&effects));
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), []);
    let still_bad = pair.publish(vec![tenant("b", 1.0)]);
    let effects = pair.receive_delta(&still_bad);
    assert_eq!(rejection(&effects).map(|(version, _)| version), Some(still_bad.version));
    assert_eq!(pair.held(), Some(1));

    let mended = pair.publish(vec![remove_route("/x")]);
    let effects = pair.receive_delta(&mended);
    let version = mended.version;
    assert_eq!(effects, [Effect::Replace { version }, acknowledgement(version)]);
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_refused_snapshot_that_is_sent_again_with_what_makes_it_good_is_taken() {
    // The publisher goes on sending an encoded snapshot while few deltas lead on from it.
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![route("/x", UNKNOWN_CLASS), tenant("a", 1.0)]);
    pair.open();
    pair.deliver_snapshot();
    pair.subscriber.on_watch_closed(pair.now);
    let old_parts = pair.parts();
    let mended = pair.publish(vec![remove_route("/x")]);
    pair.open();
    for part in old_parts {
        pair.receive(Message::SnapshotPart(part));
    }
    assert_eq!(pair.held(), None);
    pair.receive_delta(&mended);
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_snapshot_is_in_force_only_when_it_is_whole() {
    let mut pair = Pair::following();
    let many = (0..30_000).map(|n| Resource::tenant(&format!("tenant-{n}"), 1.0));
    let large = pair.publisher.propose_replacement(many).unwrap();
    pair.publisher.replace(large).unwrap();
    let mut parts = pair.parts();
    assert!(parts.len() >= 3, "{} parts", parts.len());
    parts.rotate_left(1);
    let last = parts.pop().unwrap();
    for part in parts {
        assert_eq!(pair.receive(Message::SnapshotPart(part.clone())), []);
        assert_eq!(pair.receive(Message::SnapshotPart(part)), [], "a repeated part");
        assert_eq!(pair.held(), Some(1));
    }
    let effects = pair.receive(Message::SnapshotPart(last));
    assert!(matches!(effects[0], Effect::Replace { .. }));
    assert!(pair.holds_what_was_published());
}

#[test]
fn parts_of_two_snapshots_are_never_mixed() {
    let many = |quota: f64| (0..30_000).map(move |n| Resource::tenant(&format!("tenant-{n}"), quota));
    let mut pair = Pair::following();
    let older = pair.publisher.propose_replacement(many(1.0)).unwrap();
    pair.publisher.replace(older).unwrap();
    let older = pair.parts();
    let newer = pair.publisher.propose_replacement(many(2.0)).unwrap();
    pair.publisher.replace(newer).unwrap();
    let newer = pair.parts();
    assert_eq!(older.len(), newer.len());

    pair.receive(Message::SnapshotPart(older[0].clone()));
    for part in &newer[1..] {
        assert_eq!(pair.receive(Message::SnapshotPart(part.clone())), []);
    }
    assert_eq!(pair.receive(Message::SnapshotPart(older[0].clone())), [], "overtaken");
    let effects = pair.receive(Message::SnapshotPart(newer[0].clone()));
    assert!(matches!(effects[0], Effect::Replace { .. }));
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_damaged_snapshot_is_refused_and_asked_for_again() {
    let mut pair = Pair::new(Term(3), None);
    pair.publish(vec![tenant("a", 1.0), tenant("b", 1.0)]);
    pair.open();
    let mut part = pair.parts().remove(0);
    part.resources[1] = Resource::tenant("b", 2.0);
    let effects = pair.receive(Message::SnapshotPart(part));
    assert!(rejection(&effects).is_some() && closes(&effects));
    assert_eq!(pair.held(), None);
    pair.open();
    pair.deliver_snapshot();
    assert!(pair.holds_what_was_published());
}

#[test]
fn parts_that_do_not_belong_together_are_refused() {
    let mut pair = Pair::following();
    let version = Version::new(Term(3), 9);
    let part = |part, parts, digest| {
        let resources = vec![Resource::tenant("x", 1.0)];
        Message::SnapshotPart(SnapshotPart { version, part, parts, digest: Digest(digest), resources })
    };
    assert_eq!(pair.receive(part(0, 3, 1)), []);
    assert!(closes(&pair.receive(part(1, 4, 1))));
    pair.open();
    assert_eq!(pair.receive(part(0, 3, 1)), []);
    assert!(closes(&pair.receive(part(1, 3, 2))));
    assert_eq!(pair.held(), Some(1));
}

#[test]
fn a_delta_amid_a_snapshot_ends_the_watch() {
    let mut pair = Pair::following();
    let version = Version::new(Term(3), 9);
    let resources = vec![Resource::tenant("x", 1.0)];
    let part = SnapshotPart { version, part: 0, parts: 2, digest: Digest(1), resources };
    assert_eq!(pair.receive(Message::SnapshotPart(part)), []);
    let next = pair.publish(vec![tenant("b", 1.0)]);
    assert_eq!(pair.receive_delta(&next), [Effect::CloseWatch]);
    assert_eq!(pair.held(), Some(1));
}

#[test]
fn lower_terms_are_fenced_and_a_higher_one_is_followed() {
    let mut pair = Pair::following();
    let mut older = Publisher::new(Term(2), LogLimits::default());
    for n in 0..9 {
        older.publish(vec![tenant("old", n as f64)]).unwrap();
    }
    let delta: Delta = older.publish(vec![tenant("old", 99.0)]).unwrap().delta.clone();
    let part = parts_of(older.configuration()).remove(0);
    for message in [Message::Delta(delta), Message::SnapshotPart(part), older.heartbeat()] {
        assert_eq!(pair.receive(message), [Effect::CloseWatch]);
        assert_eq!(pair.held(), Some(1));
        pair.open();
    }

    // The log was lost: a higher term, and numbers that start anew.
    pair.publisher = Publisher::new(Term(4), LogLimits::default());
    pair.publish(vec![tenant("new", 1.0)]);
    let heartbeat = pair.publisher.heartbeat();
    assert_eq!(pair.receive(heartbeat), [Effect::CloseWatch]);
    let subscribe = pair.open();
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_number_that_is_used_twice_is_found_by_the_heartbeat() {
    let mut pair = Pair::following();
    let lost = pair.publish(vec![tenant("b", 1.0)]);
    pair.receive_delta(&lost);
    // The publisher comes back without version 2, under the same term, and publishes another version 2.
    let stored = Configuration::from_resources(Version::new(Term(3), 1), [Resource::tenant("a", 1.0)]);
    pair.publisher = Publisher::restore(stored.unwrap(), [], LogLimits::default()).unwrap();
    pair.publish(vec![tenant("b", 7.0)]);
    pair.subscriber.on_watch_closed(pair.now);
    let subscribe = pair.open();
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::UpToDate));
    let heartbeat = pair.publisher.heartbeat();
    assert!(closes(&pair.receive(heartbeat)));
    let subscribe = pair.open();
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::Snapshot { .. }));
    pair.deliver_snapshot();
    assert!(pair.holds_what_was_published());
}

#[test]
fn a_silent_watch_is_given_up_and_heartbeats_keep_it() {
    let mut pair = Pair::following();
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
    assert_eq!(pair.held(), Some(1), "the last good stays in force");
}

#[test]
fn a_snapshot_that_does_not_get_on_is_given_up_despite_heartbeats() {
    let mut pair = Pair::following();
    let version = Version::new(Term(3), 9);
    let resources = vec![Resource::tenant("x", 1.0)];
    let part = SnapshotPart { version, part: 0, parts: 2, digest: Digest(1), resources };
    pair.receive(Message::SnapshotPart(part.clone()));
    let begun = pair.now;
    while pair.subscriber.on_tick(pair.now).is_empty() {
        pair.now += SECOND;
        pair.receive(Message::SnapshotPart(part.clone()));
        pair.receive(Message::Heartbeat { version, digest: Digest(1) });
        assert!(pair.now <= begun + WATCH_TIMEOUT, "the snapshot is waited for without end");
    }
    assert_eq!(pair.now, begun + WATCH_TIMEOUT);
}

#[test]
fn a_declined_caller_comes_back_when_it_was_told() {
    let mut pair = Pair::new(Term(3), None);
    pair.open();
    let told = 12 * SECOND;
    assert_eq!(pair.receive(Message::RetryAfter { micros: told }), [Effect::CloseWatch]);
    pair.subscriber.on_watch_closed(pair.now);
    assert_eq!(pair.subscriber.deadline(), pair.now + told, "the end of the watch changes nothing");
    assert_eq!(pair.subscriber.call(pair.now + told - 1), None);
    assert!(pair.subscriber.call(pair.now + told).is_some());
    assert_eq!(pair.subscriber.call(pair.now + told), None, "one watch at a time");
}

#[test]
fn waits_between_failed_calls_are_drawn_growing_and_bounded() {
    let waits = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..40).map(|_| backoff.next_delay()).collect::<Vec<Micros>>()
    };
    for seed in 0..100 {
        let drawn = waits(seed);
        assert!(drawn.iter().all(|wait| (INITIAL_BACKOFF / 2..=MAX_BACKOFF).contains(wait)));
        assert!(drawn[0] <= INITIAL_BACKOFF);
        assert!(drawn[10..].iter().all(|wait| *wait >= MAX_BACKOFF / 2), "it has grown");
    }
    assert_eq!(waits(1), waits(1));
    assert_ne!(waits(1), waits(2));

    let mut pair = Pair::following();
    for _ in 0..10 {
        pair.subscriber.on_watch_closed(pair.now);
        pair.open();
    }
    let heartbeat = pair.publisher.heartbeat();
    pair.receive(heartbeat);
    pair.subscriber.on_watch_closed(pair.now);
    assert!(pair.subscriber.deadline() - pair.now <= INITIAL_BACKOFF, "a good watch resets it");
}

#[test]
fn a_malformed_line_ends_the_watch_and_nothing_else() {
    let mut pair = Pair::following();
    let error = ParseError::InvalidResource(ResourceError::MissingLeadingSlash);
    assert_eq!(pair.subscriber.on_malformed(pair.now, &error), [Effect::CloseWatch]);
    assert_eq!(pair.held(), Some(1));
    let subscribe = pair.open();
    assert!(matches!(pair.answer(&subscribe), SubscribeResponse::UpToDate));
}

#[test]
fn a_delta_that_removes_what_is_not_held_is_refused_and_a_snapshot_asked_for() {
    let mut pair = Pair::following();
    let held = pair.subscriber.configuration().unwrap();
    let (base, version) = (held.version(), held.version().next());
    let changes = vec![Change::Remove(ResourceKey::Tenant("nobody".to_owned()))];
    let effects = pair.receive_delta(&Delta { base, version, changes, digest: Digest(1) });
    assert!(rejection(&effects).is_some_and(|(_, reason)| reason.contains("nobody")));
    assert!(pair.open().snapshot_required);
}

#[test]
fn what_a_publisher_sends_is_what_a_subscriber_takes() {
    let mut pair = Pair::following();
    let published: Vec<_> = (0..3)
        .map(|n| pair.publisher.publish(vec![tenant("b", n as f64), route("/r", "c")]).unwrap())
        .collect();
    let read = |published: &LogEntry| Message::parse(&published.line).unwrap();
    for one in &published {
        pair.receive(read(one));
    }
    assert!(pair.holds_what_was_published());
}
