//! The protocols between a proxy and its site: which messages are accepted, which are rejected, and that no
//! input causes a panic.

use proptest::prelude::*;
use violetseam::interface::{ListKind, Outcome, ServerStatus, Verdict};
use violetseam_site_protocol::answer_report;
use violetseam_site_protocol::endpoint_list::{
    AppliedUpdate, EndpointList, EndpointState, ListUpdate, MAX_SERVERS, UpdateKind,
};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::peer_datagram::{self, Datagram, DatagramError, PayloadKind};
use violetseam_site_protocol::placement::{
    DesiredBuilds, PlaceReport, PlaceStateName, parse_reports, write_reports,
};
use violetseam_site_protocol::release_service::{
    FencedRelease, PhaseName, ReleaseUpdate, Vote, VoteOutcome, VoteReply, VoteResult,
};

fn list_update(kind: &str, version: u64, base: u64, servers: &str) -> String {
    format!(r#"{{"kind":"{kind}","version":{version},"base":{base},"servers":[{servers}]}}"#)
}

const ENDPOINT_JSON: &str = r#"{"id":7,"addr":"127.0.0.1:9000","build":3,"state":"ready","age_us":500}"#;

/// Guards against a copy that keeps the address of each server that ever left, while discovery sends changes
/// and never a full list.
#[test]
fn the_addresses_of_removed_servers_do_not_accumulate_while_only_deltas_arrive() {
    const REPLACED_SERVERS: u64 = 3 * MAX_SERVERS as u64;
    let mut list = EndpointList::default();
    let mut full = ListUpdate::parse(list_update("full", 1, 0, ENDPOINT_JSON).as_bytes()).unwrap();
    list.apply(0, &full).unwrap();
    let mut delta = full.clone();
    delta.kind = UpdateKind::Delta;
    for version in 2..REPLACED_SERVERS {
        delta.servers[0].id = 100 + version;
        delta.servers[0].state = EndpointState::Gone;
        (delta.version, delta.base) = (version, version - 1);
        list.apply(0, &delta).unwrap();
        if list.version().is_none() {
            full.version = version;
            list.apply(0, &full).unwrap();
        }
    }
    let is_remembered = |id: &u64| list.address(100 + id).is_some();
    let remembered = (2..REPLACED_SERVERS).filter(is_remembered).count();
    assert!(remembered <= 2 * MAX_SERVERS, "{remembered} addresses of removed servers are remembered");
    assert!(list.address(7).is_some(), "the address of a listed server was forgotten");
}

#[test]
fn a_full_list_and_a_delta_on_top_of_it_are_applied() {
    let mut list = EndpointList::default();
    let full = ListUpdate::parse(list_update("full", 4, 0, ENDPOINT_JSON).as_bytes()).unwrap();
    let AppliedUpdate { kind, entries } = list.apply(10_000, &full).unwrap();
    assert_eq!((kind, entries[0].id, entries[0].build, entries[0].started_at), (ListKind::Full, 7, 3, 9_500));
    let removed = ENDPOINT_JSON.replace("ready", "gone");
    let delta = ListUpdate::parse(list_update("delta", 5, 4, &removed).as_bytes()).unwrap();
    let AppliedUpdate { kind, entries } = list.apply(20_000, &delta).unwrap();
    assert_eq!((kind, entries[0].status, list.version()), (ListKind::Delta, ServerStatus::Removed, Some(5)));
    assert!(list.address(7).is_some(), "attempts to a removed server may still be in flight");
}

#[test]
fn regressed_versions_and_deltas_after_a_gap_leave_the_list_unchanged() {
    let mut list = EndpointList::default();
    let full_at =
        |version| ListUpdate::parse(list_update("full", version, 0, ENDPOINT_JSON).as_bytes()).unwrap();
    list.apply(0, &full_at(9)).unwrap();
    assert!(list.apply(0, &full_at(8)).is_err());
    let delta_after_gap = ListUpdate::parse(list_update("delta", 12, 11, ENDPOINT_JSON).as_bytes()).unwrap();
    assert!(list.apply(0, &delta_after_gap).is_err());
    assert_eq!(list.version(), Some(9));
}

#[test]
fn malformed_lists_statuses_votes_and_reports_are_rejected() {
    let same_endpoint_twice = format!("{ENDPOINT_JSON},{ENDPOINT_JSON}");
    let malformed_lists = [
        list_update("full", 1, 0, &ENDPOINT_JSON.replace("ready", "gone")),
        list_update("full", 1, 0, &same_endpoint_twice),
        list_update("full", 1, 0, &ENDPOINT_JSON.replace(r#""age_us":500"#, r#""size":0"#)),
        list_update("full", 1, 0, &ENDPOINT_JSON.replace("127.0.0.1:9000", "nowhere")),
        list_update("half", 1, 0, ENDPOINT_JSON),
        "{".into(),
        String::new(),
    ];
    for text in malformed_lists {
        assert!(ListUpdate::parse(text.as_bytes()).is_err(), "{text}");
    }
    assert!(FencedRelease::parse(br#"{"build":1,"stage":0,"phase":"trial","cap":1.5}"#).is_err());
    assert!(FencedRelease::parse(br#"{"build":70000,"stage":0,"phase":"trial","cap":0.5}"#).is_err());
    assert!(FencedRelease::parse(br#"{"build":1,"stage":0,"phase":"trial","cap":0.5}"#).is_ok());
    assert!(VoteResult::parse(br#"{"outcome":"maybe"}"#).is_err());
    let rate_limited = VoteResult::parse(br#"{"outcome":"full"}"#).unwrap();
    assert_eq!(rate_limited, VoteResult { outcome: Outcome::Rejected, release: None });
    assert_eq!(answer_report::parse(br#"{"answer":"00000000000000ff"}"#).unwrap(), 255);
    for text in [&br#"{"answer":"ff"}"#[..], br#"{"answer":"+0000000000000ff"}"#, b"[]", &[b' '; 300]] {
        assert!(answer_report::parse(text).is_err());
    }
}

/// Guards against a renamed type or field that also changes its name on the wire.
#[test]
fn messages_have_their_published_json_form() {
    let desired = DesiredBuilds { fence: 3, builds: vec![(7, 2)] };
    assert_eq!(desired.write(), b"{\"fence\":3,\"wanted\":[[7,2]]}\n");
    assert_eq!(DesiredBuilds::parse(&desired.write()).unwrap(), desired);
    let release =
        ReleaseUpdate { build: 2, stage: 1, phase: PhaseName::RollingBack, cap: 0.5, fence: 0, revision: 0 };
    let release_json = r#"{"build":2,"stage":1,"phase":"rolling_back","cap":0.5}"#;
    assert_eq!(release.write(), format!("{release_json}\n").into_bytes());
    let numbered = ReleaseUpdate { fence: 4, revision: 9, ..release };
    let numbered_json = r#"{"build":2,"stage":1,"phase":"rolling_back","cap":0.5,"fence":4,"revision":9}"#;
    assert_eq!(numbered.write(), format!("{numbered_json}\n").into_bytes());
    assert_eq!(ReleaseUpdate::from_json(numbered_json.as_bytes()).unwrap(), numbered);
    let replies = [
        (VoteOutcome::Ok, Some(release), format!(r#"{{"outcome":"ok","news":{release_json}}}"#)),
        (VoteOutcome::Obsolete, None, r#"{"outcome":"moot"}"#.to_owned()),
        (VoteOutcome::RateLimited, None, r#"{"outcome":"full"}"#.to_owned()),
        (VoteOutcome::Error, None, r#"{"outcome":"error"}"#.to_owned()),
    ];
    for (outcome, release, text) in replies {
        let reply = VoteReply { outcome, release };
        assert_eq!(String::from_utf8(reply.write()).unwrap(), text);
        assert_eq!(VoteReply::from_json(text.as_bytes()).unwrap(), reply);
    }
    let vote = Vote::new(4, 2, 1, Verdict::RollBack);
    assert_eq!(vote.write(), br#"{"proxy":4,"build":2,"stage":1,"verdict":"back"}"#);
    let reports = [PlaceReport { place: 7, build: 2, state: PlaceStateName::Running }];
    assert_eq!(write_reports(&reports), br#"[{"place":7,"build":2,"state":"running"}]"#);
    assert_eq!(parse_reports(&write_reports(&reports)).unwrap(), reports);
}

#[test]
fn only_complete_lines_are_returned_and_a_line_over_the_bound_ends_the_stream() {
    let mut lines = LineReader::new(8);
    lines.feed(b"one\ntw");
    assert_eq!(lines.next_line().unwrap(), Some(&b"one"[..]));
    assert_eq!(lines.next_line().unwrap(), None);
    lines.feed(b"o\r\nfar too long");
    assert_eq!(lines.next_line().unwrap(), Some(&b"two"[..]));
    assert!(lines.next_line().is_err());
    lines.feed(b"x\n");
    assert_eq!(lines.next_line().unwrap(), None);
}

#[test]
fn datagrams_of_another_version_site_or_length_are_dropped() {
    let valid = peer_datagram::encode(5, 3, PayloadKind::QuotaLeases, b"payload").unwrap();
    assert_eq!(
        peer_datagram::decode(5, &valid),
        Ok(Datagram { sender: 3, kind: PayloadKind::QuotaLeases, payload: b"payload" })
    );
    assert!(peer_datagram::decode(6, &valid).is_err());
    assert!(peer_datagram::encode(5, 3, PayloadKind::Gossip, &[0; 257]).is_none());
    let mut other_version = valid.clone();
    other_version[2] = 2;
    let error = peer_datagram::decode(5, &other_version).unwrap_err();
    assert_eq!(error, DatagramError::UnsupportedVersion(2));
    assert_eq!(error.to_string(), "peer: version 2");
    assert!(peer_datagram::decode(5, &valid[..valid.len() - 1]).is_err());
}

proptest! {
    #[test]
    fn any_single_damaged_byte_of_a_datagram_is_detected(at in 0usize..23, flip in 1u8..) {
        let mut bytes = peer_datagram::encode(5, 3, PayloadKind::Gossip, b"payload").unwrap();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        prop_assert!(peer_datagram::decode(5, &bytes).is_err());
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = ListUpdate::parse(&bytes);
        let _ = FencedRelease::parse(&bytes);
        let _ = VoteResult::parse(&bytes);
        let _ = answer_report::parse(&bytes);
        let _ = peer_datagram::decode(1, &bytes);
    }
}
