//! Tests of the wire format: encoded messages parse to the same value, and values out of bounds are rejected.

use proptest::prelude::*;
use violetseam_distribution::message::{
    MAX_DELTA_BYTES, MAX_DELTA_CHANGES, MAX_LINE_BYTES, MAX_PART_BYTES, MAX_REASON_BYTES, MAX_REPORT_BYTES,
    MAX_RETRY_AFTER, MAX_SNAPSHOT_PARTS, MAX_SUBSCRIBER_NAME_BYTES,
};
use violetseam_distribution::resource::{
    MAX_CLASS_BYTES, MAX_METHOD_BYTES, MAX_PREFIX_BYTES, MAX_QUOTA, MAX_TENANT_NAME_BYTES, QUOTA_STEPS,
    ResourceError,
};
use violetseam_distribution::version::MAX_VERSION_NUMBER;
use violetseam_distribution::{
    Change, Configuration, Delta, Digest, Message, ParseError, Report, Resource, ResourceKey, RouteKey,
    SnapshotPart, Subscribe, Tenant, TenantValue, Term, Version,
};

fn version(term: u64, number: u64) -> Version {
    Version::new(Term(term), number)
}

fn delta(changes: Vec<Change>) -> Delta {
    Delta { base: version(1, 4), version: version(1, 5), changes, digest: Digest(7) }
}

fn part(resources: Vec<Resource>) -> SnapshotPart {
    SnapshotPart { version: version(1, 5), part: 0, parts: 1, digest: Digest(7), resources }
}

fn parse(message: &Message) -> Result<Message, ParseError> {
    Message::parse(&message.write())
}

#[test]
fn every_message_parses_to_what_was_encoded() {
    let route = Resource::route(Some("GET"), "/api/v1", "read");
    let tenant = Resource::tenant("müller & co", 12.5);
    let removal = Change::Remove(ResourceKey::Route(RouteKey { method: None, prefix: "/".to_owned() }));
    let messages = [
        Message::Delta(delta(vec![Change::Put(route.clone()), removal])),
        Message::SnapshotPart(part(vec![route, tenant])),
        Message::Heartbeat {
            version: version(MAX_VERSION_NUMBER, MAX_VERSION_NUMBER),
            digest: Digest(u128::MAX),
        },
        Message::RetryAfter { micros: MAX_RETRY_AFTER },
    ];
    for message in messages {
        let line = message.write();
        assert_eq!(line.iter().filter(|byte| **byte == b'\n').count(), 1, "one line");
        assert_eq!(parse(&message), Ok(message));
    }
}

#[test]
fn a_message_is_encoded_as_documented() {
    let change = Change::Put(Resource::route(Some("GET"), "/api", "read"));
    let message = Message::Delta(Delta { digest: Digest(0xabc), ..delta(vec![change]) });
    let written = String::from_utf8(message.write().to_vec()).unwrap();
    let documented = concat!(
        r#"{"delta":{"base":{"term":1,"number":4},"version":{"term":1,"number":5},"#,
        r#""changes":[{"put":{"route":{"key":{"method":"GET","prefix":"/api"},"value":{"class":"read"}}}}],"#,
        r#""digest":"00000000000000000000000000000abc"}}"#,
        "\n"
    );
    assert_eq!(written, documented);
}

#[test]
fn lines_that_are_not_messages_are_rejected() {
    let digest = Digest(1).to_string();
    let lines = [
        String::new(),
        "{}".to_owned(),
        "[]".to_owned(),
        r#"{"heartbeat":{}}"#.to_owned(),
        format!(r#"{{"heartbeat":{{"version":{{"term":1,"number":-1}},"digest":"{digest}"}}}}"#),
        format!(r#"{{"heartbeat":{{"version":{{"term":1,"number":1}},"digest":"{digest}","more":1}}}}"#),
        r#"{"heartbeat":{"version":{"term":1,"number":1},"digest":"+0000000000000000000000000000001"}}"#
            .to_owned(),
        r#"{"retry_after":{"micros":1}} x"#.to_owned(),
    ];
    for line in lines {
        assert!(matches!(Message::parse(line.as_bytes()), Err(ParseError::InvalidJson(_))), "{line}");
    }
    let long_line = vec![b' '; MAX_LINE_BYTES + 1];
    assert_eq!(Message::parse(&long_line), Err(ParseError::LineTooLong(MAX_LINE_BYTES)));
}

#[test]
fn versions_out_of_range_or_order_are_rejected() {
    let put = vec![Change::Put(Resource::tenant("a", 1.0))];
    let out_of_range = Message::Heartbeat { version: version(1, MAX_VERSION_NUMBER + 1), digest: Digest(1) };
    assert_eq!(parse(&out_of_range), Err(ParseError::VersionOutOfRange));
    let not_greater = Delta { version: version(1, 4), ..delta(put.clone()) };
    assert_eq!(parse(&Message::Delta(not_greater)), Err(ParseError::VersionOrder));
    let across_terms = Delta { version: version(2, 5), ..delta(put) };
    assert_eq!(parse(&Message::Delta(across_terms)), Err(ParseError::VersionOrder));
    let long_wait = Message::RetryAfter { micros: MAX_RETRY_AFTER + 1 };
    assert_eq!(parse(&long_wait), Err(ParseError::WaitTooLong));
}

#[test]
fn deltas_and_parts_that_are_too_large_are_rejected() {
    assert_eq!(parse(&Message::Delta(delta(Vec::new()))), Err(ParseError::InvalidChanges));
    let tenant = |index: usize| Resource::tenant(&format!("t{index}"), 1.0);
    let too_many: Vec<Change> = (0..=MAX_DELTA_CHANGES).map(tenant).map(Change::Put).collect();
    assert_eq!(parse(&Message::Delta(delta(too_many))), Err(ParseError::InvalidChanges));
    let with_long_name = |index: usize| Resource::tenant(&format!("{index:0250}"), 1.0);
    let count = MAX_DELTA_BYTES / with_long_name(0).max_encoded_bytes() + 1;
    let too_large: Vec<Change> = (0..count).map(with_long_name).map(Change::Put).collect();
    assert!(
        too_large.len() <= MAX_DELTA_CHANGES,
        "the delta is rejected for its size, not its number of changes"
    );
    assert_eq!(parse(&Message::Delta(delta(too_large))), Err(ParseError::InvalidChanges));

    let count = MAX_PART_BYTES / with_long_name(0).max_encoded_bytes() + 1;
    let large_part = part((0..count).map(with_long_name).collect());
    assert_eq!(parse(&Message::SnapshotPart(large_part)), Err(ParseError::InvalidPart));
    let too_many_parts = MAX_SNAPSHOT_PARTS as u32 + 1;
    for (number, parts) in [(0, 0), (1, 1), (2, 1), (0, too_many_parts)] {
        let invalid = SnapshotPart { part: number, parts, ..part(Vec::new()) };
        assert_eq!(
            parse(&Message::SnapshotPart(invalid)),
            Err(ParseError::InvalidPart),
            "part {number} of {parts}"
        );
    }
}

#[test]
fn resources_out_of_bounds_are_rejected() {
    let text_of = |length: usize| "x".repeat(length);
    let invalid = [
        Resource::route(Some(""), "/", "c"),
        Resource::route(Some(&text_of(MAX_METHOD_BYTES + 1)), "/", "c"),
        Resource::route(Some("GE T"), "/", "c"),
        Resource::route(None, "", "c"),
        Resource::route(None, "api", "c"),
        Resource::route(None, "/a b", "c"),
        Resource::route(None, "/é", "c"),
        Resource::route(None, &format!("/{}", text_of(MAX_PREFIX_BYTES)), "c"),
        Resource::route(None, "/", ""),
        Resource::route(None, "/", &text_of(MAX_CLASS_BYTES + 1)),
        Resource::route(None, "/", "a\"b"),
        Resource::tenant("", 1.0),
        Resource::tenant(&text_of(MAX_TENANT_NAME_BYTES + 1), 1.0),
        Resource::tenant("a\nb", 1.0),
        Resource::tenant("a\\b", 1.0),
        Resource::tenant("a", -1.0),
        Resource::tenant("a", MAX_QUOTA * 1.01),
        Resource::tenant("a", f64::NAN),
        Resource::tenant("a", f64::INFINITY),
        Resource::Tenant(Tenant { name: "a".to_owned(), value: TenantValue { quota: 1.0 / 3.0 } }),
    ];
    for resource in invalid {
        assert!(resource.validate().is_err(), "{resource:?}");
    }
    let valid = [
        Resource::route(Some(&text_of(MAX_METHOD_BYTES)), "/", &text_of(MAX_CLASS_BYTES)),
        Resource::route(None, &format!("/{}", text_of(MAX_PREFIX_BYTES - 1)), "c"),
        Resource::tenant(&text_of(MAX_TENANT_NAME_BYTES), MAX_QUOTA),
        Resource::tenant("a", 0.0),
    ];
    for resource in valid {
        assert_eq!(resource.validate(), Ok(()), "{resource:?}");
    }
    let message = Message::Delta(delta(vec![Change::Put(Resource::tenant("a", -1.0))]));
    assert_eq!(parse(&message), Err(ParseError::InvalidResource(ResourceError::InvalidQuota)));
    let removal = Change::Remove(ResourceKey::Tenant(String::new()));
    assert!(matches!(parse(&Message::Delta(delta(vec![removal]))), Err(ParseError::InvalidResource(_))));
}

#[test]
fn the_largest_delta_and_part_fit_in_a_line() {
    // Short names and long numbers give the longest JSON for the size that counts towards the limits.
    let tenant = |index: usize| Resource::tenant(&format!("{index:x}"), MAX_QUOTA - 1.0 / QUOTA_STEPS);
    let within_limit = |max_bytes: usize| {
        let mut bytes = 0;
        (0..MAX_DELTA_CHANGES).map(tenant).take_while(move |resource| {
            bytes += resource.max_encoded_bytes();
            bytes <= max_bytes
        })
    };
    let changes: Vec<Change> = within_limit(MAX_DELTA_BYTES).map(Change::Put).collect();
    let resources: Vec<Resource> = within_limit(MAX_PART_BYTES).collect();
    for message in [Message::Delta(delta(changes)), Message::SnapshotPart(part(resources))] {
        assert!(message.write().len() <= MAX_LINE_BYTES);
        assert_eq!(parse(&message), Ok(message));
    }
}

#[test]
fn reports_parse_to_what_was_encoded_and_are_bounded() {
    let acknowledge = Report::Acknowledge { subscriber: "proxy-1.a_b".to_owned(), version: version(2, 9) };
    let reject = Report::reject("proxy-1", version(2, 9), "no class \"x\"\n");
    for report in [acknowledge, reject.clone()] {
        assert_eq!(Report::parse(&report.write()), Ok(report));
    }
    let Report::Reject { reason, .. } = reject else { panic!("not a rejection") };
    assert_eq!(reason, "no class \"x\" ", "control characters become spaces");

    let long_reason = Report::reject("proxy-1", version(2, 9), &"ü\"".repeat(MAX_REASON_BYTES));
    assert!(long_reason.write().len() <= MAX_REPORT_BYTES, "the longest reason fits in a report");
    assert!(Report::parse(&long_reason.write()).is_ok());

    let without_name = Report::Acknowledge { subscriber: String::new(), version: version(1, 1) };
    assert_eq!(Report::parse(&without_name.write()), Err(ParseError::InvalidSubscriberName));
    let out_of_range =
        Report::Acknowledge { subscriber: "a".to_owned(), version: version(1, MAX_VERSION_NUMBER + 1) };
    assert_eq!(Report::parse(&out_of_range.write()), Err(ParseError::VersionOutOfRange));
    let reason = "x".repeat(MAX_REASON_BYTES + 1);
    let too_long = Report::Reject { subscriber: "a".to_owned(), version: version(1, 1), reason };
    assert_eq!(Report::parse(&too_long.write()), Err(ParseError::InvalidReason));
    assert_eq!(Report::parse(&[b' '; MAX_REPORT_BYTES + 1]), Err(ParseError::LineTooLong(MAX_REPORT_BYTES)));
}

#[test]
fn subscriptions_parse_to_what_was_encoded_and_are_bounded() {
    let name = "p".repeat(MAX_SUBSCRIBER_NAME_BYTES);
    for known in [None, Some(version(0, 0)), Some(version(MAX_VERSION_NUMBER, MAX_VERSION_NUMBER))] {
        for snapshot_required in [false, true] {
            let subscribe = Subscribe { subscriber: name.clone(), known, snapshot_required };
            assert_eq!(Subscribe::from_query(&subscribe.to_query()), Ok(subscribe));
        }
    }
    let invalid = [
        "",
        "subscriber",
        "term=1&number=1",
        "subscriber=a&term=1",
        "subscriber=a&number=1",
        "subscriber=a&term=1&number=+1",
        "subscriber=a&term=1&number=",
        "subscriber=a&term=1&number=99999999999999999999",
        "subscriber=a&subscriber=b",
        "subscriber=a&colour=blue",
        "subscriber=a&whole=1",
        "subscriber=a%20b",
        "subscriber=",
    ];
    for query in invalid {
        assert!(Subscribe::from_query(query).is_err(), "{query}");
    }
    let out_of_range = format!("subscriber=a&term=1&number={}", MAX_VERSION_NUMBER + 1);
    assert_eq!(Subscribe::from_query(&out_of_range), Err(ParseError::VersionOutOfRange));
    let long_name = format!("subscriber={name}p");
    assert_eq!(Subscribe::from_query(&long_name), Err(ParseError::InvalidSubscriberName));
}

#[test]
fn a_digest_covers_version_key_and_value_but_not_the_order() {
    let resources = [
        Resource::route(None, "/a", "c"),
        Resource::route(Some("GET"), "/a", "c"),
        Resource::tenant("t", 1.0),
    ];
    let digest = |version, resources: &[Resource]| {
        Configuration::from_resources(version, resources.iter().cloned()).unwrap().digest()
    };
    let [a, b, c] = resources.clone();
    let expected = digest(version(1, 1), &resources);
    assert_eq!(digest(version(1, 1), &[c.clone(), a.clone(), b.clone()]), expected);
    assert_ne!(digest(version(1, 2), &resources), expected);
    assert_ne!(digest(version(2, 1), &resources), expected);
    assert_ne!(digest(version(1, 1), &[a.clone(), b.clone()]), expected);
    assert_ne!(digest(version(1, 1), &[a.clone(), b.clone(), Resource::tenant("t", 1.000001)]), expected);
    assert_ne!(digest(version(1, 1), &[a, b, Resource::tenant("u", 1.0)]), expected);
    // Moving a byte from one field to the next changes the digest.
    let digest_of_first = Digest::of_resource(&Resource::route(None, "/ab", "c"));
    let digest_of_second = Digest::of_resource(&Resource::route(None, "/a", "bc"));
    assert_ne!(digest_of_first, digest_of_second);
}

proptest! {
    #[test]
    fn quotas_are_unchanged_by_encoding_and_parsing(millionths in 0u64..=1_000_000_000_000_000) {
        let quota = millionths as f64 / QUOTA_STEPS;
        let resource = Resource::tenant("t", quota);
        prop_assert_eq!(resource.validate(), Ok(()));
        let message = Message::SnapshotPart(part(vec![resource]));
        prop_assert_eq!(parse(&message), Ok(message));
    }

    #[test]
    fn damaged_lines_never_panic(position in 0usize..300, byte in any::<u8>()) {
        let message = Message::Delta(delta(vec![Change::Put(Resource::route(None, "/a", "c"))]));
        let mut line = message.write().to_vec();
        let position = position % line.len();
        line[position] = byte;
        if let Ok(message) = Message::parse(&line) {
            prop_assert_eq!(message.validate(), Ok(()));
        }
    }
}
