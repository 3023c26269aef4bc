//! Golden frames from the wire's byte layout, and odd input.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use violetseam::interface::*;
use violetseam_simulator_adapter::action::{write_action, write_by};
use violetseam_simulator_adapter::host::Host;
use violetseam_simulator_adapter::reader::Reader;
use violetseam_simulator_adapter::record::{Record, read_record};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap()).collect()
}

fn event(text: &str) -> String {
    let bytes = hex(text);
    let mut reader = Reader::new(&bytes);
    let Ok(Record::Event(event)) = read_record(&mut reader) else { panic!("no event in {text}") };
    assert!(reader.is_empty(), "bytes left");
    format!("{event:?}")
}

fn action(action: &Action) -> Vec<u8> {
    let mut out = Vec::new();
    write_action(&mut out, action);
    out
}

const SERVER: ServerId = 0x0a12_4a07_1f93;

#[test]
fn events_are_read_as_laid_out() {
    let request = event("12 c4913a5d9b230400 da05840000000000 00 e02e0000 640ad2557c3bf091 01 00000000");
    assert!(request.contains("id: 1165050097865156") && request.contains("deadline: 8652250"), "{request}");
    assert!(request.contains("cost_hint: Some(12000)") && request.contains("is_retry: false"), "{request}");
    let end = event("14 c4913a5d9b230400 00 0a124a07 931f 0a00 44480000 01 00");
    assert!(end.contains(&format!("server: {SERVER}")) && end.contains("outcome: Ok"), "{end}");
    assert!(end.contains("elapsed: 18500") && end.contains("finishes_request: true"), "{end}");
    assert!(event("16 4d00000000000000").contains("token: 77"));
    assert!(event("18 0200 0400 68692037").contains("from: 2, payload: [104, 105, 32, 55]"));
    assert!(event("13 c4913a5d9b230400 00 22240000 0a124a07 931f").contains("StreamStarted"));
    assert!(event("1c 0a9011f2 bc1f 00 009f2400").contains("since: 2400000"));
    assert!(event("15 192b6f0efcdb0800").contains("ClientDisconnected"));
    let reply = event("1a 2a00 02 00 01 0a00 0000003e f0ba0400");
    assert!(reply.contains("VoteReply") && reply.contains("build: 42, stage: 2, phase: Trial, cap: 0.125"));
    assert!(event("17 0a9011f2 bc1f 0a00 78050000 00").contains("HealthChecked"));
    let count = event("1b b4000000 00 fc530000 d0121300 2a00 04000000");
    assert!(
        count.contains("build: 42, class: 0, attempts: 180, failed: 4, mean: 21500, age: 1250000"),
        "{count}"
    );
}

#[test]
fn lists_are_read_as_laid_out() {
    let bytes = hex("1d 00 02000000 0a124a07 931f 0000 00002442 00 0000 02 0000803f 0000000000000000
        0a9011f2 bc1f 0000 00002842 00 0000 02 0000c03f 20145d0000000000");
    let Ok(Record::ServerTable(0, entries)) = read_record(&mut Reader::new(&bytes)) else {
        panic!("no list")
    };
    assert_eq!((entries.len(), entries[0].id, entries[0].build, entries[1].build), (2, SERVER, 41, 42));
    assert_eq!((entries[1].size, entries[1].started_at), (1.5, 6_100_000));
}

#[test]
fn actions_are_written_as_laid_out() {
    let request = 0x0004_239b_5d3a_91c4;
    let send = Action::Send { request, server: SERVER, cut_at: 8_688_858 };
    assert_eq!(action(&send), hex("1d c4913a5d9b230400 0a124a07 931f da94840000000000"));
    assert_eq!(
        action(&Action::Vote { build: 42, stage: 2, verdict: Verdict::Promote }),
        hex("1b 02 2a00 01")
    );
    assert_eq!(action(&Action::SetTimer { after: 500_000, token: 77 }), hex("18 20a10700 4d00000000000000"));
    assert_eq!(action(&Action::Cancel { request, attempt: 0 }), hex("16 c4913a5d9b230400 00"));
    assert_eq!(action(&Action::GossipToAll { payload: b"hi 7".to_vec() }), hex("13 ffff 0400 68692037"));
    assert_eq!(action(&Action::Log("two servers known".into()))[..3], hex("11 1100"));
    assert_eq!(action(&Action::WatchServerList), hex("12 01"));
    assert_eq!(action(&Action::FetchServerList), hex("1a"));
    let reject = Action::Reject { request: 0x0008_dbfc_0e6f_2b19, retry_after: 250_000 };
    assert_eq!(action(&reject), hex("15 192b6f0efcdb0800 90d00300"));
    assert_eq!(action(&Action::Fail { request: 0x0008_dbfc_0e6f_2b19 }), hex("17 192b6f0efcdb0800"));
    let mut by = Vec::new();
    write_by(&mut by, 3);
    assert_eq!(by, hex("1c 03000000"));
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(Host::default().batch(&hex("00000000 5a5c800000000000")).unwrap(), hex("00000000"));
}

#[test]
fn malformed_batches_are_refused() {
    for text in [
        "01000000",                                                                // clock missing
        "01000000 5a5c800000000000",                                               // record missing
        "01000000 5a5c800000000000 63",                                            // unknown code
        "01000000 5a5c800000000000 16 4d000000",                                   // record cut short
        "01000000 5a5c800000000000 16 4d00000000000000",                           // no context
        "00000000 5a5c800000000000 00",                                            // bytes left over
        "02000000 5a5c800000000000 1e 03000000 10 0100000000000000 02000000 7b5b", // settings are no JSON
        "02000000 5a5c800000000000 1e 03000000 11 01 05 00000000", // a list that was never sent
        "01000000 5a5c800000000000 1d 00 ffffffff",                // a list longer than the frame
    ] {
        assert!(Host::default().batch(&hex(text)).is_err(), "{text}");
    }
}

fn run(input: &[u8]) -> Output {
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
fn the_program_ends_well_with_its_input_and_badly_on_a_torn_frame() {
    let fine = run(&hex("0c000000 00000000 5a5c800000000000"));
    assert!(fine.status.success() && fine.stdout == hex("00000000"));
    for torn in ["0c00", "0c000000 00000000", "0d000000 01000000 5a5c800000000000 63"] {
        let output = run(&hex(torn));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && !text.is_empty() && !text.contains("panicked"), "{torn}: {text}");
    }
}
