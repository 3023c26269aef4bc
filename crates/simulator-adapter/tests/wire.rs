//! Records and actions against bytes written by hand from the protocol's layout, and malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use violetseam::interface::*;
use violetseam_simulator_adapter::action::{write_action, write_instance};
use violetseam_simulator_adapter::host::Host;
use violetseam_simulator_adapter::reader::Reader;
use violetseam_simulator_adapter::record::{Record, read_record};

/// The bytes of a text of hexadecimal digits; all other characters are skipped.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// The debug output of the event that a record holds.
fn decode_event(text: &str) -> String {
    let bytes = hex(text);
    let mut reader = Reader::new(&bytes);
    let Ok(Record::Event(event)) = read_record(&mut reader) else {
        panic!("the record holds no event: {text}")
    };
    assert!(reader.is_empty(), "bytes are left after the record: {text}");
    format!("{event:?}")
}

/// The bytes of an action's record.
fn encode_action(action: &Action) -> Vec<u8> {
    let mut out = Vec::new();
    write_action(&mut out, action);
    out
}

const SERVER: ServerId = 0x0a12_4a07_1f93;

#[test]
fn events_are_read_in_the_layout_of_the_protocol() {
    let request =
        decode_event("12 c4913a5d9b230400 da05840000000000 00 e02e0000 640ad2557c3bf091 01 00000000");
    assert!(request.contains("id: 1165050097865156") && request.contains("deadline: 8652250"), "{request}");
    assert!(request.contains("cost_hint: Some(12000)") && request.contains("is_retry: false"), "{request}");
    let end = decode_event("14 c4913a5d9b230400 00 0a124a07 931f 0a00 44480000 01 00");
    assert!(end.contains(&format!("server: {SERVER}")) && end.contains("outcome: Ok"), "{end}");
    assert!(end.contains("elapsed: 18500") && end.contains("finishes_request: true"), "{end}");
    assert!(decode_event("16 4d00000000000000").contains("token: 77"));
    assert!(decode_event("18 0200 0400 68692037").contains("from: 2, payload: [104, 105, 32, 55]"));
    assert!(decode_event("13 c4913a5d9b230400 00 22240000 0a124a07 931f").contains("StreamStarted"));
    assert!(decode_event("1c 0a9011f2 bc1f 00 009f2400").contains("since: 2400000"));
    assert!(decode_event("15 192b6f0efcdb0800").contains("ClientDisconnected"));
    let reply = decode_event("1a 2a00 02 00 01 0a00 0000003e f0ba0400");
    assert!(reply.contains("VoteReply") && reply.contains("build: 42, stage: 2, phase: Trial, cap: 0.125"));
    assert!(decode_event("17 0a9011f2 bc1f 0a00 78050000 00").contains("HealthChecked"));
    let load_report = decode_event("1b b4000000 00 fc530000 d0121300 2a00 04000000");
    assert!(
        load_report.contains("build: 42, class: 0, attempts: 180, failed: 4, mean: 21500, age: 1250000"),
        "{load_report}"
    );
}

#[test]
fn server_tables_are_read_in_the_layout_of_the_protocol() {
    let bytes = hex("1d 00 02000000 0a124a07 931f 0000 00002442 00 0000 02 0000803f 0000000000000000
        0a9011f2 bc1f 0000 00002842 00 0000 02 0000c03f 20145d0000000000");
    let Ok(Record::ServerTable(0, entries)) = read_record(&mut Reader::new(&bytes)) else {
        panic!("the record holds no server table")
    };
    assert_eq!((entries.len(), entries[0].id, entries[0].build, entries[1].build), (2, SERVER, 41, 42));
    assert_eq!((entries[1].size, entries[1].started_at), (1.5, 6_100_000));
}

#[test]
fn actions_are_written_in_the_layout_of_the_protocol() {
    let request = 0x0004_239b_5d3a_91c4;
    let send = Action::Send { request, server: SERVER, cut_at: 8_688_858 };
    assert_eq!(encode_action(&send), hex("1d c4913a5d9b230400 0a124a07 931f da94840000000000"));
    assert_eq!(
        encode_action(&Action::Vote { build: 42, stage: 2, verdict: Verdict::Promote }),
        hex("1b 02 2a00 01")
    );
    assert_eq!(
        encode_action(&Action::SetTimer { after: 500_000, token: 77 }),
        hex("18 20a10700 4d00000000000000")
    );
    assert_eq!(encode_action(&Action::Cancel { request, attempt: 0 }), hex("16 c4913a5d9b230400 00"));
    assert_eq!(
        encode_action(&Action::GossipToAll { payload: b"hi 7".to_vec() }),
        hex("13 ffff 0400 68692037")
    );
    assert_eq!(encode_action(&Action::Log("two servers known".into()))[..3], hex("11 1100"));
    assert_eq!(encode_action(&Action::WatchServerList), hex("12 01"));
    assert_eq!(encode_action(&Action::FetchServerList), hex("1a"));
    let reject = Action::Reject { request: 0x0008_dbfc_0e6f_2b19, retry_after: 250_000 };
    assert_eq!(encode_action(&reject), hex("15 192b6f0efcdb0800 90d00300"));
    assert_eq!(encode_action(&Action::Fail { request: 0x0008_dbfc_0e6f_2b19 }), hex("17 192b6f0efcdb0800"));
    let mut instance = Vec::new();
    write_instance(&mut instance, 3);
    assert_eq!(instance, hex("1c 03000000"));
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(Host::default().process_batch(&hex("00000000 5a5c800000000000")).unwrap(), hex("00000000"));
}

#[test]
fn malformed_batches_are_rejected() {
    for text in [
        "01000000",                                                                // no clock
        "01000000 5a5c800000000000",                                               // no record
        "01000000 5a5c800000000000 63",                                            // unknown record code
        "01000000 5a5c800000000000 16 4d000000",                                   // truncated record
        "01000000 5a5c800000000000 16 4d00000000000000",                           // no instance named
        "00000000 5a5c800000000000 00",                                            // trailing bytes
        "02000000 5a5c800000000000 1e 03000000 10 0100000000000000 02000000 7b5b", // settings not in JSON
        "02000000 5a5c800000000000 1e 03000000 11 01 05 00000000", // a server table that was never sent
        "01000000 5a5c800000000000 1d 00 ffffffff",                // a server table longer than the frame
    ] {
        assert!(Host::default().process_batch(&hex(text)).is_err(), "{text}");
    }
}

/// Runs the adapter on an input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetseam-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_adapter_succeeds_when_its_input_ends_and_fails_on_a_truncated_frame() {
    let complete = run_adapter(&hex("0c000000 00000000 5a5c800000000000"));
    assert!(complete.status.success() && complete.stdout == hex("00000000"));
    for truncated in ["0c00", "0c000000 00000000", "0d000000 01000000 5a5c800000000000 63"] {
        let output = run_adapter(&hex(truncated));
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && !stderr.is_empty() && !stderr.contains("panicked"),
            "{truncated}: {stderr}"
        );
    }
}
