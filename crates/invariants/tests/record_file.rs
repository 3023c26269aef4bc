//! The record file's format stays compatible: the bytes are the same as in files that earlier versions wrote.

use violetseam_invariants::record_file::{RecordFileError, read, write};
use violetseam_invariants::*;

/// Length and CRC-32 of the file that an earlier version, with other type and field names, wrote for the same
/// records.
const EARLIER_FILE_LENGTH: usize = 538;
const EARLIER_FILE_CHECKSUM: u32 = 0x63c5_017b;

fn rules() -> Rules {
    let class = |idempotency| RequestClass { idempotency, dedup_window: 2_000_000, streaming: true };
    let classes = [
        Idempotency::Idempotent,
        Idempotency::Keyed(DedupGroup::All),
        Idempotency::Keyed(DedupGroup::Zone),
        Idempotency::Keyed(DedupGroup::Cell),
        Idempotency::NonIdempotent,
    ];
    Rules {
        classes: classes.into_iter().map(class).collect(),
        deadline_grace: 1,
        hedging: true,
        drain_grace: 2,
        poll_interval_max: 3,
        overload_multiple: 3.5,
        overload_span: 4,
        exposure_window: 5,
        exposure_slack: 2.5,
        exposure_per_class: false,
        first_stage_cap: 0.1,
        idempotent_only_stages: 6,
        sticky_to_new_build: true,
        observation_slack: 7,
        fleet_retry_rates: vec![10_000, 8],
        fleet_retry_burst: 9,
    }
}

/// Returns every kind of event, with every value of the enums in it.
fn events() -> Vec<ObservedEvent> {
    let arrival = AttemptArrival {
        attempt: 7,
        request: 8,
        proxy: 9,
        server: 10,
        build: 1_100,
        zone: 1_200,
        cell: 13,
        class: 14,
        key: 15,
        work: 16,
    };
    let start = ServerStart { capacity: 18.5, slow_start_floor: 0.25, slow_start_span: 19 };
    let status_sent = |started| ObservedEvent::ServerStatusSent {
        proxy: 20,
        server: 21,
        status: ServerStatus::Ready,
        started,
    };
    let mut events = vec![
        ObservedEvent::RequestSent { request: 1, proxy: 2, class: 3, deadline: 400 },
        ObservedEvent::ClientDisconnected { request: 5 },
        ObservedEvent::UnexpectedBytes { proxy: 6 },
        ObservedEvent::AttemptArrived(arrival),
        ObservedEvent::ServerStarted { server: 17, start },
        status_sent(Some(22)),
        status_sent(None),
        ObservedEvent::ProxyKilled { proxy: 23 },
        ObservedEvent::ProxyPaused { proxy: 24 },
        ObservedEvent::ProxyResumed { proxy: 25 },
    ];
    let responses = [
        FinalResponse::Served,
        FinalResponse::Rejected,
        FinalResponse::Failed,
        FinalResponse::ConnectionClosed,
    ];
    events.extend(responses.map(|response| ObservedEvent::ResponseReceived { request: 26, response }));
    let outcomes = [AttemptOutcome::Ok, AttemptOutcome::Error, AttemptOutcome::NotRun, AttemptOutcome::Lost];
    events.extend(outcomes.map(|outcome| ObservedEvent::AttemptEnded(AttemptEnd { attempt: 27, outcome })));
    let statuses = [ServerStatus::Ready, ServerStatus::Draining, ServerStatus::Removed];
    events.extend(statuses.map(|status| ObservedEvent::ServerListed { server: 28, status }));
    let calls = [
        EndpointListCall::WatchStarted,
        EndpointListCall::ListFetched,
        EndpointListCall::Failed,
        EndpointListCall::WatchEnded,
    ];
    events.extend(calls.map(|call| ObservedEvent::EndpointListCalled { proxy: 29, call }));
    let phases = [Phase::Trial, Phase::RollingBack, Phase::Released, Phase::Withdrawn];
    events.extend(phases.map(|phase| ObservedEvent::ReleaseStatusSent {
        proxy: 30,
        build: 31,
        stage: 32,
        phase,
        cap: 0.5,
    }));
    events
}

#[test]
fn a_written_file_has_the_same_bytes_as_one_of_an_earlier_version() {
    let records: Vec<EventRecord> = events()
        .into_iter()
        .enumerate()
        .map(|(n, event)| EventRecord { at: n as u64 * 1_000, event })
        .collect();
    let mut file = Vec::new();
    write(&mut file, &rules(), &records).unwrap();
    assert_eq!((file.len(), crc32fast::hash(&file)), (EARLIER_FILE_LENGTH, EARLIER_FILE_CHECKSUM));
    assert_eq!(read(&mut &file[..]).unwrap(), (rules(), records));
}

#[test]
fn each_kind_of_damage_is_reported_with_its_own_error() {
    let mut file = Vec::new();
    write(&mut file, &rules(), &[]).unwrap();
    let magic_bytes = 5;
    let error_of = |bytes: &[u8]| read(&mut &bytes[..]).unwrap_err();
    assert!(matches!(error_of(b"else"), RecordFileError::WrongMagic));
    assert!(matches!(error_of(&file[..magic_bytes]), RecordFileError::MissingRules));
    assert!(matches!(error_of(&file[..magic_bytes + 1]), RecordFileError::TruncatedFrameHead));
    assert!(matches!(error_of(&file[..file.len() - 1]), RecordFileError::TruncatedFrameBody));
    let mut wrong_byte = file.clone();
    *wrong_byte.last_mut().unwrap() ^= 1;
    assert!(matches!(error_of(&wrong_byte), RecordFileError::ChecksumMismatch));
    let mut too_long = file.clone();
    too_long[magic_bytes..magic_bytes + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(error_of(&too_long), RecordFileError::FrameTooLong));
    assert_eq!(error_of(&too_long).to_string(), "a frame past the bound");
}
