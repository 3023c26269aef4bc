//! The publisher: what it refuses to publish, what its log answers, what it knows of its subscribers.

use violetseam_distribution::message::{MAX_DELTA_BYTES, MAX_DELTA_CHANGES, MAX_SNAPSHOT_PARTS};
use violetseam_distribution::publisher::{
    LogLimits, MAX_DELTAS_AFTER_SNAPSHOT, MAX_TRACKED_SUBSCRIBERS, PublishError, Publisher, RestoreError,
    SubscribeResponse, TermNotHigher, UnknownVersion,
};
use violetseam_distribution::resource::{
    MAX_CONFIGURATION_BYTES, MAX_ROUTES, MAX_TENANT_NAME_BYTES, MAX_TENANTS, ResourceError,
};
use violetseam_distribution::{
    ApplyError, Change, Configuration, Delta, Message, Report, Resource, ResourceKey, SnapshotPart,
    Subscribe, Term, Version,
};

const SECOND: u64 = 1_000_000;

fn publisher() -> Publisher {
    Publisher::new(Term(3), LogLimits::default())
}

fn version(number: u64) -> Version {
    Version::new(Term(3), number)
}

fn put(name: &str, quota: f64) -> Change {
    Change::Put(Resource::tenant(name, quota))
}

fn remove(name: &str) -> Change {
    Change::Remove(ResourceKey::Tenant(name.to_owned()))
}

fn call(known: Option<Version>) -> Subscribe {
    Subscribe { subscriber: "proxy-1".to_owned(), known, snapshot_required: false }
}

fn deltas(answer: SubscribeResponse) -> Vec<u64> {
    let SubscribeResponse::Deltas(deltas) = answer else { panic!("not deltas: {answer:?}") };
    deltas.iter().map(|published| published.delta.version.number).collect()
}

/// The configuration that a snapshot answer carries, and the number of the deltas after it.
fn snapshot(answer: SubscribeResponse) -> (Configuration, Vec<u64>) {
    let SubscribeResponse::Snapshot { snapshot, deltas: then } = answer else {
        panic!("not a snapshot: {answer:?}")
    };
    let part = |line: &[u8]| match Message::parse(line) {
        Ok(Message::SnapshotPart(part)) => part,
        other => panic!("not a part: {other:?}"),
    };
    let parts: Vec<SnapshotPart> = snapshot.parts.iter().map(|line| part(line)).collect();
    let (first, count) = (parts[0].clone(), parts.len());
    assert!(parts.iter().enumerate().all(|(index, part)| part.part as usize == index));
    assert!(parts.iter().all(|part| part.parts as usize == count && part.digest == first.digest));
    let resources = parts.into_iter().flat_map(|part| part.resources);
    let configuration =
        Configuration::from_resources_with_digest(first.version, resources, first.digest).unwrap();
    (configuration, then.iter().map(|published| published.delta.version.number).collect())
}

#[test]
fn changes_are_numbered_and_applied_in_order() {
    let mut publisher = publisher();
    let first = publisher.publish(vec![put("a", 1.0), put("b", 2.0)]).unwrap();
    let second = publisher.publish(vec![remove("a"), put("b", 3.0)]).unwrap();
    assert_eq!((first.delta.base, first.delta.version), (version(0), version(1)));
    assert_eq!((second.delta.base, second.delta.version), (version(1), version(2)));
    assert_eq!(Message::parse(&second.line), Ok(Message::Delta(second.delta.clone())));
    let resources: Vec<Resource> = publisher.configuration().resources().collect();
    assert_eq!(resources, [Resource::tenant("b", 3.0)]);
    assert_eq!(second.delta.digest, publisher.configuration().digest());
}

#[test]
fn what_does_not_check_is_not_published_and_changes_nothing() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    let before = publisher.configuration().clone();
    let tenant = |name: &str| ResourceKey::Tenant(name.to_owned());
    let apply = PublishError::Apply;
    let refused = [
        (vec![], PublishError::NoChanges),
        (vec![put("b", 1.0), remove("c")], apply(ApplyError::UnknownKey(tenant("c")))),
        (vec![put("b", 1.0), put("b", 2.0)], apply(ApplyError::DuplicateKey(tenant("b")))),
        (vec![put("b", 1.0), remove("b")], apply(ApplyError::DuplicateKey(tenant("b")))),
        (vec![remove("a"), remove("a")], apply(ApplyError::DuplicateKey(tenant("a")))),
        (
            vec![put("b", 1.0), put("c", -1.0)],
            apply(ApplyError::InvalidResource(ResourceError::InvalidQuota)),
        ),
        ((0..=MAX_DELTA_CHANGES).map(|n| put(&format!("t{n}"), 1.0)).collect(), PublishError::TooLarge),
    ];
    for (changes, error) in refused {
        assert_eq!(publisher.publish(changes).unwrap_err(), error);
    }
    let wide = |n: usize| put(&format!("{n:0250}"), 1.0);
    let count = MAX_DELTA_BYTES / wide(0).max_encoded_bytes() + 1;
    assert_eq!(publisher.publish((0..count).map(wide).collect()).unwrap_err(), PublishError::TooLarge);
    assert_eq!(*publisher.configuration(), before);
}

#[test]
fn a_configuration_is_bounded_in_routes_tenants_and_bytes() {
    let route = |n: usize| Resource::route(None, &format!("/{n}"), "c");
    let tenant = |n: usize| Resource::tenant(&format!("t{n}"), 1.0);
    let wide = |n: usize| Resource::tenant(&format!("{n:0width$}", width = MAX_TENANT_NAME_BYTES), 1.0);
    let mut publisher = publisher();

    let full = publisher.propose_replacement((0..MAX_ROUTES).map(route)).unwrap();
    publisher.replace(full).unwrap();
    let one_more = publisher.publish(vec![Change::Put(route(MAX_ROUTES))]).unwrap_err();
    assert_eq!(one_more, PublishError::Apply(ApplyError::TooManyRoutes));
    publisher.publish(vec![Change::Put(Resource::route(None, "/1", "d"))]).unwrap();

    let too_many = publisher.propose_replacement((0..=MAX_TENANTS).map(tenant)).unwrap_err();
    assert_eq!(too_many, PublishError::Apply(ApplyError::TooManyTenants));
    let count = MAX_CONFIGURATION_BYTES / wide(0).max_encoded_bytes();
    let heavy = publisher.propose_replacement((0..=count).map(wide)).unwrap_err();
    assert_eq!(heavy, PublishError::Apply(ApplyError::TooLarge));

    let heaviest = publisher.propose_replacement((0..count).map(wide)).unwrap();
    publisher.replace(heaviest).unwrap();
    let (configuration, _) = snapshot(publisher.subscribe(0, &call(None)));
    assert_eq!(configuration, *publisher.configuration(), "the heaviest fits {MAX_SNAPSHOT_PARTS} parts");
}

#[test]
fn a_subscription_is_answered_with_what_is_missing() {
    let mut publisher = publisher();
    for n in 1..=5 {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    assert!(matches!(publisher.subscribe(0, &call(Some(version(5)))), SubscribeResponse::UpToDate));
    assert_eq!(deltas(publisher.subscribe(0, &call(Some(version(3))))), [4, 5]);
    assert_eq!(deltas(publisher.subscribe(0, &call(Some(version(0))))), [1, 2, 3, 4, 5]);
    let (configuration, then) = snapshot(publisher.subscribe(0, &call(None)));
    assert_eq!((configuration, then), (publisher.configuration().clone(), vec![]));
    let older_term = Version::new(Term(2), 9);
    assert_eq!(snapshot(publisher.subscribe(0, &call(Some(older_term)))).0.version(), version(5));
    let whole = Subscribe { snapshot_required: true, ..call(Some(version(5))) };
    assert_eq!(snapshot(publisher.subscribe(0, &whole)).0.version(), version(5));
}

#[test]
fn a_version_that_was_never_published_here_is_told_apart() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    let known = version(2);
    let response = publisher.subscribe(0, &call(Some(known)));
    assert!(matches!(response, SubscribeResponse::Ahead { known: k } if k == known));
    let later = Version::new(Term(4), 0);
    assert!(matches!(
        publisher.subscribe(0, &call(Some(later))),
        SubscribeResponse::Superseded { term: Term(4) }
    ));

    assert_eq!(publisher.begin_term(Term(3)), Err(TermNotHigher { current: Term(3) }));
    publisher.begin_term(Term(5)).unwrap();
    assert_eq!(publisher.version(), Version::new(Term(5), 1), "the numbering goes on");
    let (configuration, _) = snapshot(publisher.subscribe(0, &call(Some(known))));
    assert_eq!(configuration.version(), Version::new(Term(5), 1));
    assert_eq!(configuration.tenant("a").map(|value| value.quota), Some(1.0));
}

#[test]
fn the_log_is_bounded_in_deltas_and_bytes() {
    let mut by_count = Publisher::new(Term(3), LogLimits { deltas: 3, bytes: usize::MAX });
    let line = by_count.publish(vec![put("a", 1.0)]).unwrap().line.len();
    let mut by_bytes = Publisher::new(Term(3), LogLimits { deltas: usize::MAX, bytes: 3 * line });
    by_bytes.publish(vec![put("a", 1.0)]).unwrap();
    for publisher in [&mut by_count, &mut by_bytes] {
        for n in 2..=5 {
            publisher.publish(vec![put("a", n as f64)]).unwrap();
        }
        assert_eq!(publisher.oldest_known(), version(2));
        assert_eq!(deltas(publisher.subscribe(0, &call(Some(version(2))))), [3, 4, 5]);
        let (configuration, _) = snapshot(publisher.subscribe(0, &call(Some(version(1)))));
        assert_eq!(configuration, *publisher.configuration());
    }
}

#[test]
fn an_encoded_snapshot_is_used_again_while_it_is_new_enough() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    assert_eq!(snapshot(publisher.subscribe(0, &call(None))).0.version(), version(1));
    publisher.publish(vec![put("a", 2.0)]).unwrap();
    let (older, then) = snapshot(publisher.subscribe(0, &call(None)));
    assert_eq!((older.version(), then), (version(1), vec![2]));
    // Never one that is older than what its caller holds.
    let whole = Subscribe { snapshot_required: true, ..call(Some(version(2))) };
    assert_eq!(snapshot(publisher.subscribe(0, &whole)).0.version(), version(2));
    for n in 0..=MAX_DELTAS_AFTER_SNAPSHOT {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    let (newest, then) = snapshot(publisher.subscribe(0, &call(None)));
    assert_eq!((newest.version(), then), (publisher.version(), vec![]));
}

#[test]
fn a_restored_publisher_goes_on_with_its_numbering() {
    let mut publisher = publisher();
    let base = publisher.configuration().clone();
    let published: Vec<Delta> =
        (1..=4).map(|n| publisher.publish(vec![put("a", n as f64)]).unwrap().delta.clone()).collect();
    let newest = publisher.configuration().clone();
    let restore = |configuration: &Configuration, log: &[Delta]| {
        Publisher::restore(configuration.clone(), log.iter().cloned(), LogLimits::default())
    };

    for configuration in [&base, &newest] {
        let mut restored = restore(configuration, &published).unwrap();
        assert_eq!(*restored.configuration(), newest);
        assert_eq!(deltas(restored.subscribe(0, &call(Some(version(2))))), [3, 4]);
        assert_eq!(restored.publish(vec![put("b", 1.0)]).unwrap().delta.version, version(5));
    }
    let mut without_log = restore(&newest, &[]).unwrap();
    assert_eq!(without_log.version(), version(4));
    assert_eq!(snapshot(without_log.subscribe(0, &call(Some(version(2))))).0, newest);

    let gap = [published[0].clone(), published[2].clone()];
    assert_eq!(restore(&base, &gap).unwrap_err(), RestoreError::LogGap { version: version(3) });
    assert_eq!(restore(&newest, &published[..2]).unwrap_err(), RestoreError::LogTooShort);
    let late = restore(&base, &published[1..]).unwrap_err();
    assert_eq!(late, RestoreError::Apply(ApplyError::BaseMismatch { current: version(0), base: version(1) }));
    let mut damaged = published.clone();
    damaged[3].changes = vec![put("a", 5.0)];
    let error = restore(&base, &damaged).unwrap_err();
    assert!(matches!(error, RestoreError::Apply(ApplyError::DigestMismatch { .. })), "{error:?}");
}

#[test]
fn subscribers_are_known_by_what_they_hold_and_refused() {
    let mut publisher = publisher();
    for n in 1..=3 {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    let report = |version| Report::Acknowledge { subscriber: "proxy-1".to_owned(), version };
    let status = |publisher: &Publisher, now| publisher.subscribers(now).remove(0);

    publisher.subscribe(SECOND, &call(None));
    let first = status(&publisher, 2 * SECOND);
    assert_eq!((first.version, first.behind, first.last_contact_age), (None, None, SECOND));

    publisher.on_report(3 * SECOND, &report(version(2))).unwrap();
    let second = status(&publisher, 5 * SECOND);
    assert_eq!((second.version, second.behind), (Some(version(2)), Some(1)));
    assert_eq!((second.version_age, second.last_contact_age), (2 * SECOND, 2 * SECOND));

    publisher.on_report(5 * SECOND, &Report::reject("proxy-1", version(3), "no class")).unwrap();
    publisher.on_report(6 * SECOND, &report(version(1))).unwrap();
    let rejected = status(&publisher, 6 * SECOND);
    assert_eq!(rejected.version, Some(version(2)), "an overtaken report changes nothing");
    assert_eq!(
        rejected.rejected.map(|rejection| (rejection.version, rejection.reason)).unwrap().1,
        "no class"
    );

    publisher.on_report(7 * SECOND, &report(version(3))).unwrap();
    let current = status(&publisher, 7 * SECOND);
    assert_eq!((current.behind, current.rejected), (Some(0), None));
    assert_eq!(publisher.on_report(7 * SECOND, &report(version(4))), Err(UnknownVersion(version(4))));

    publisher.subscribe(8 * SECOND, &call(Some(version(1))));
    assert_eq!(status(&publisher, 8 * SECOND).behind, Some(2), "a call states what is held");
    publisher.begin_term(Term(4)).unwrap();
    assert_eq!(status(&publisher, 8 * SECOND).behind, None, "a version of another term");
}

#[test]
fn the_table_of_subscribers_is_bounded() {
    let mut publisher = publisher();
    for n in 0..=MAX_TRACKED_SUBSCRIBERS {
        let subscriber = format!("proxy-{n:05}");
        publisher.subscribe(n as u64, &Subscribe { subscriber, known: None, snapshot_required: false });
    }
    let statuses = publisher.subscribers(SECOND);
    assert_eq!(statuses.len(), MAX_TRACKED_SUBSCRIBERS);
    assert_eq!(statuses[0].subscriber, "proxy-00001", "the longest silent has left");
}

#[test]
fn a_whole_configuration_differs_by_its_changes() {
    let held = Configuration::from_resources(
        version(1),
        [Resource::route(None, "/a", "c"), Resource::tenant("a", 1.0), Resource::tenant("b", 1.0)],
    )
    .unwrap();
    let target = Configuration::from_resources(
        version(2),
        [Resource::route(None, "/a", "d"), Resource::tenant("b", 1.0), Resource::tenant("c", 1.0)],
    )
    .unwrap();
    let changes = held.diff(&target);
    let expected = [remove("a"), Change::Put(Resource::route(None, "/a", "d")), put("c", 1.0)];
    assert_eq!(changes, expected);
    let mut reached = held.clone();
    let digest = held.validate_changes(version(2), &changes).unwrap();
    reached.apply(&Delta { base: version(1), version: version(2), changes, digest }).unwrap();
    assert_eq!(reached, target);
}
