//! Tests of the publisher: which changes it rejects, how it responds to subscriptions, and which status it
//! records for its subscribers.

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

fn subscribe_from(known: Option<Version>) -> Subscribe {
    Subscribe { subscriber: "proxy-1".to_owned(), known, snapshot_required: false }
}

/// Returns the version numbers of the deltas in a response.
fn delta_numbers(response: SubscribeResponse) -> Vec<u64> {
    let SubscribeResponse::Deltas(deltas) = response else { panic!("not deltas: {response:?}") };
    deltas.iter().map(|entry| entry.delta.version.number).collect()
}

/// Returns the configuration in a snapshot response, and the version numbers of the deltas after it.
fn snapshot_and_delta_numbers(response: SubscribeResponse) -> (Configuration, Vec<u64>) {
    let SubscribeResponse::Snapshot { snapshot, deltas: later_deltas } = response else {
        panic!("not a snapshot: {response:?}")
    };
    let parse = |line: &[u8]| match Message::parse(line) {
        Ok(Message::SnapshotPart(part)) => part,
        other => panic!("not a snapshot part: {other:?}"),
    };
    let parts: Vec<SnapshotPart> = snapshot.parts.iter().map(|line| parse(line)).collect();
    let (first, count) = (parts[0].clone(), parts.len());
    assert!(parts.iter().enumerate().all(|(index, part)| part.part as usize == index));
    assert!(parts.iter().all(|part| part.parts as usize == count && part.digest == first.digest));
    let resources = parts.into_iter().flat_map(|part| part.resources);
    let configuration =
        Configuration::from_resources_with_digest(first.version, resources, first.digest).unwrap();
    (configuration, later_deltas.iter().map(|entry| entry.delta.version.number).collect())
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
fn invalid_changes_are_not_published_and_change_nothing() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    let before = publisher.configuration().clone();
    let tenant = |name: &str| ResourceKey::Tenant(name.to_owned());
    let apply = PublishError::Apply;
    let rejected = [
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
    for (changes, error) in rejected {
        assert_eq!(publisher.publish(changes).unwrap_err(), error);
    }
    let with_long_name = |n: usize| put(&format!("{n:0250}"), 1.0);
    let count = MAX_DELTA_BYTES / with_long_name(0).max_encoded_bytes() + 1;
    assert_eq!(
        publisher.publish((0..count).map(with_long_name).collect()).unwrap_err(),
        PublishError::TooLarge
    );
    assert_eq!(*publisher.configuration(), before);
}

#[test]
fn a_configuration_is_bounded_in_routes_tenants_and_bytes() {
    let route = |n: usize| Resource::route(None, &format!("/{n}"), "c");
    let tenant = |n: usize| Resource::tenant(&format!("t{n}"), 1.0);
    let with_long_name =
        |n: usize| Resource::tenant(&format!("{n:0width$}", width = MAX_TENANT_NAME_BYTES), 1.0);
    let mut publisher = publisher();

    let all_routes = publisher.propose_replacement((0..MAX_ROUTES).map(route)).unwrap();
    publisher.replace(all_routes).unwrap();
    let one_more = publisher.publish(vec![Change::Put(route(MAX_ROUTES))]).unwrap_err();
    assert_eq!(one_more, PublishError::Apply(ApplyError::TooManyRoutes));
    publisher.publish(vec![Change::Put(Resource::route(None, "/1", "d"))]).unwrap();

    let too_many = publisher.propose_replacement((0..=MAX_TENANTS).map(tenant)).unwrap_err();
    assert_eq!(too_many, PublishError::Apply(ApplyError::TooManyTenants));
    let count = MAX_CONFIGURATION_BYTES / with_long_name(0).max_encoded_bytes();
    let too_large = publisher.propose_replacement((0..=count).map(with_long_name)).unwrap_err();
    assert_eq!(too_large, PublishError::Apply(ApplyError::TooLarge));

    let largest = publisher.propose_replacement((0..count).map(with_long_name)).unwrap();
    publisher.replace(largest).unwrap();
    let (configuration, _) = snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(None)));
    assert_eq!(
        configuration,
        *publisher.configuration(),
        "the largest configuration fits in {MAX_SNAPSHOT_PARTS} parts"
    );
}

#[test]
fn a_subscription_gets_the_missing_deltas_or_a_snapshot() {
    let mut publisher = publisher();
    for n in 1..=5 {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    assert!(matches!(publisher.subscribe(0, &subscribe_from(Some(version(5)))), SubscribeResponse::UpToDate));
    assert_eq!(delta_numbers(publisher.subscribe(0, &subscribe_from(Some(version(3))))), [4, 5]);
    assert_eq!(delta_numbers(publisher.subscribe(0, &subscribe_from(Some(version(0))))), [1, 2, 3, 4, 5]);
    let (configuration, later_deltas) =
        snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(None)));
    assert_eq!((configuration, later_deltas), (publisher.configuration().clone(), vec![]));
    let older_term = Version::new(Term(2), 9);
    assert_eq!(
        snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(Some(older_term)))).0.version(),
        version(5)
    );
    let snapshot_request = Subscribe { snapshot_required: true, ..subscribe_from(Some(version(5))) };
    assert_eq!(snapshot_and_delta_numbers(publisher.subscribe(0, &snapshot_request)).0.version(), version(5));
}

#[test]
fn a_version_that_was_never_published_is_detected() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    let known = version(2);
    let response = publisher.subscribe(0, &subscribe_from(Some(known)));
    assert!(matches!(response, SubscribeResponse::Ahead { known: reported } if reported == known));
    let later = Version::new(Term(4), 0);
    assert!(matches!(
        publisher.subscribe(0, &subscribe_from(Some(later))),
        SubscribeResponse::Superseded { term: Term(4) }
    ));

    assert_eq!(publisher.begin_term(Term(3)), Err(TermNotHigher { current: Term(3) }));
    publisher.begin_term(Term(5)).unwrap();
    assert_eq!(publisher.version(), Version::new(Term(5), 1), "the new term continues the numbering");
    let (configuration, _) = snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(Some(known))));
    assert_eq!(configuration.version(), Version::new(Term(5), 1));
    assert_eq!(configuration.tenant("a").map(|value| value.quota), Some(1.0));
}

#[test]
fn the_log_is_bounded_in_deltas_and_bytes() {
    let mut by_count = Publisher::new(Term(3), LogLimits { deltas: 3, bytes: usize::MAX });
    let line_bytes = by_count.publish(vec![put("a", 1.0)]).unwrap().line.len();
    let mut by_bytes = Publisher::new(Term(3), LogLimits { deltas: usize::MAX, bytes: 3 * line_bytes });
    by_bytes.publish(vec![put("a", 1.0)]).unwrap();
    for publisher in [&mut by_count, &mut by_bytes] {
        for n in 2..=5 {
            publisher.publish(vec![put("a", n as f64)]).unwrap();
        }
        assert_eq!(publisher.oldest_known(), version(2));
        assert_eq!(delta_numbers(publisher.subscribe(0, &subscribe_from(Some(version(2))))), [3, 4, 5]);
        let (configuration, _) =
            snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(Some(version(1)))));
        assert_eq!(configuration, *publisher.configuration());
    }
}

#[test]
fn an_encoded_snapshot_is_reused_while_few_deltas_follow_it() {
    let mut publisher = publisher();
    publisher.publish(vec![put("a", 1.0)]).unwrap();
    assert_eq!(
        snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(None))).0.version(),
        version(1)
    );
    publisher.publish(vec![put("a", 2.0)]).unwrap();
    let (older, later_deltas) = snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(None)));
    assert_eq!((older.version(), later_deltas), (version(1), vec![2]));
    // The reused snapshot must not be older than the subscriber's version.
    let snapshot_request = Subscribe { snapshot_required: true, ..subscribe_from(Some(version(2))) };
    assert_eq!(snapshot_and_delta_numbers(publisher.subscribe(0, &snapshot_request)).0.version(), version(2));
    for n in 0..=MAX_DELTAS_AFTER_SNAPSHOT {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    let (newest, later_deltas) = snapshot_and_delta_numbers(publisher.subscribe(0, &subscribe_from(None)));
    assert_eq!((newest.version(), later_deltas), (publisher.version(), vec![]));
}

#[test]
fn a_restored_publisher_continues_its_numbering() {
    let mut publisher = publisher();
    let base = publisher.configuration().clone();
    let deltas: Vec<Delta> =
        (1..=4).map(|n| publisher.publish(vec![put("a", n as f64)]).unwrap().delta.clone()).collect();
    let newest = publisher.configuration().clone();
    let restore = |configuration: &Configuration, log: &[Delta]| {
        Publisher::restore(configuration.clone(), log.iter().cloned(), LogLimits::default())
    };

    for configuration in [&base, &newest] {
        let mut restored = restore(configuration, &deltas).unwrap();
        assert_eq!(*restored.configuration(), newest);
        assert_eq!(delta_numbers(restored.subscribe(0, &subscribe_from(Some(version(2))))), [3, 4]);
        assert_eq!(restored.publish(vec![put("b", 1.0)]).unwrap().delta.version, version(5));
    }
    let mut without_log = restore(&newest, &[]).unwrap();
    assert_eq!(without_log.version(), version(4));
    assert_eq!(
        snapshot_and_delta_numbers(without_log.subscribe(0, &subscribe_from(Some(version(2))))).0,
        newest
    );

    let gap = [deltas[0].clone(), deltas[2].clone()];
    assert_eq!(restore(&base, &gap).unwrap_err(), RestoreError::LogGap { version: version(3) });
    assert_eq!(restore(&newest, &deltas[..2]).unwrap_err(), RestoreError::LogTooShort);
    let missing_base = restore(&base, &deltas[1..]).unwrap_err();
    assert_eq!(
        missing_base,
        RestoreError::Apply(ApplyError::BaseMismatch { current: version(0), base: version(1) })
    );
    let mut damaged = deltas.clone();
    damaged[3].changes = vec![put("a", 5.0)];
    let error = restore(&base, &damaged).unwrap_err();
    assert!(matches!(error, RestoreError::Apply(ApplyError::DigestMismatch { .. })), "{error:?}");
}

#[test]
fn subscriber_status_shows_the_current_and_the_rejected_version() {
    let mut publisher = publisher();
    for n in 1..=3 {
        publisher.publish(vec![put("a", n as f64)]).unwrap();
    }
    let acknowledge = |version| Report::Acknowledge { subscriber: "proxy-1".to_owned(), version };
    let status = |publisher: &Publisher, now| publisher.subscribers(now).remove(0);

    publisher.subscribe(SECOND, &subscribe_from(None));
    let first = status(&publisher, 2 * SECOND);
    assert_eq!((first.version, first.behind, first.last_contact_age), (None, None, SECOND));

    publisher.on_report(3 * SECOND, &acknowledge(version(2))).unwrap();
    let second = status(&publisher, 5 * SECOND);
    assert_eq!((second.version, second.behind), (Some(version(2)), Some(1)));
    assert_eq!((second.version_age, second.last_contact_age), (2 * SECOND, 2 * SECOND));

    publisher.on_report(5 * SECOND, &Report::reject("proxy-1", version(3), "no class")).unwrap();
    publisher.on_report(6 * SECOND, &acknowledge(version(1))).unwrap();
    let rejected = status(&publisher, 6 * SECOND);
    assert_eq!(rejected.version, Some(version(2)), "an outdated report changes nothing");
    assert_eq!(
        rejected.rejected.map(|rejection| (rejection.version, rejection.reason)).unwrap().1,
        "no class"
    );

    publisher.on_report(7 * SECOND, &acknowledge(version(3))).unwrap();
    let current = status(&publisher, 7 * SECOND);
    assert_eq!((current.behind, current.rejected), (Some(0), None));
    assert_eq!(publisher.on_report(7 * SECOND, &acknowledge(version(4))), Err(UnknownVersion(version(4))));

    publisher.subscribe(8 * SECOND, &subscribe_from(Some(version(1))));
    assert_eq!(status(&publisher, 8 * SECOND).behind, Some(2), "a call states the subscriber's version");
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
    assert_eq!(statuses[0].subscriber, "proxy-00001", "the subscriber with the oldest contact is evicted");
}

#[test]
fn the_diff_of_two_configurations_leads_from_one_to_the_other() {
    let current = Configuration::from_resources(
        version(1),
        [Resource::route(None, "/a", "c"), Resource::tenant("a", 1.0), Resource::tenant("b", 1.0)],
    )
    .unwrap();
    let target = Configuration::from_resources(
        version(2),
        [Resource::route(None, "/a", "d"), Resource::tenant("b", 1.0), Resource::tenant("c", 1.0)],
    )
    .unwrap();
    let changes = current.diff(&target);
    let expected = [remove("a"), Change::Put(Resource::route(None, "/a", "d")), put("c", 1.0)];
    assert_eq!(changes, expected);
    let mut changed = current.clone();
    let digest = current.validate_changes(version(2), &changes).unwrap();
    changed.apply(&Delta { base: version(1), version: version(2), changes, digest }).unwrap();
    assert_eq!(changed, target);
}
