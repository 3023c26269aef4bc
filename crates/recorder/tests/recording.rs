//! Recordings are read back and replayed with the same actions; damage stops a replay and is reported.

use std::path::{Path, PathBuf};
use violetseam::balancer::Balancer;
use violetseam::interface::*;
use violetseam_recorder::{Reader, Recorder, RecordingLimits, ReplayFilter, replay};

fn settings() -> Settings {
    let class = RequestClass {
        latency_objective: 300_000,
        deadline: 1_000_000,
        idempotency: Idempotency::Idempotent,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class],
        fleet_size: 1,
        limits: Limits { max_attempts: 3, ..Limits::default() },
        ..Settings::default()
    }
}

/// Records a module that handles `request_count` requests with three servers; returns the recording's path.
fn record(name: &str, request_count: u64, limits: RecordingLimits) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("violetseam-recording-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("flight");
    let (mut module, seed) = (Balancer::new(settings(), 9), 9);
    let mut recorder = Recorder::start(&path, limits, &settings(), seed).unwrap();
    let mut feed = |now: Micros, event: Event<'_>| {
        let mut actions = Vec::new();
        module.on_event(now, event, &mut actions);
        recorder.record_event(now, &event, &actions);
        actions
    };
    let entry = |id| ServerEntry {
        id,
        zone: 0,
        build: 1,
        cell: 0,
        status: ServerStatus::Ready,
        size: 1.0,
        started_at: 0,
    };
    let entries = [entry(1), entry(2), entry(3)];
    feed(1_000, Event::ServerList { kind: ListKind::Full, entries: &entries });
    for id in 1..=request_count {
        let now = 2_000 + id * 500;
        let request = Request { id, deadline: now + 1_000_000, ..Request::default() };
        for action in feed(now, Event::Request(request)) {
            if let Action::Send { request, server, .. } = action {
                let end = AttemptEnd {
                    request,
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    elapsed: 400,
                    finishes_request: true,
                };
                feed(now + 400, Event::AttemptEnded(end));
            }
        }
    }
    recorder.finish().unwrap();
    path
}

/// Removes the recording's directory.
fn remove(path: &Path) {
    std::fs::remove_dir_all(path.parent().unwrap()).unwrap();
}

#[test]
fn a_recording_over_several_segments_replays_the_same() {
    let limits = RecordingLimits { max_segment_bytes: 200_000, max_total_bytes: 1 << 30 };
    let path = record("same", 20_000, limits);
    assert!(path.with_extension("1").exists(), "the recording has no second segment");
    let mut lines = Vec::new();
    let filter = ReplayFilter { request: Some(77), build: None };
    let report = replay(&path, filter, &mut |line| lines.push(line)).unwrap();
    assert_eq!((report.events, report.starts), (40_001, 1));
    assert!(report.difference.is_none() && report.read_error.is_none() && !report.reached_size_limit);
    assert_eq!(lines.len(), 3, "want the request, its attempt and the attempt's end: {lines:?}");
    remove(&path);
}

#[test]
fn a_recording_ends_at_its_size_limit_and_reports_it() {
    let path =
        record("bound", 20_000, RecordingLimits { max_segment_bytes: 1 << 30, max_total_bytes: 300_000 });
    let report = replay(&path, ReplayFilter::default(), &mut |_| {}).unwrap();
    assert!(report.reached_size_limit && report.difference.is_none() && report.events < 40_000);
    assert!(std::fs::metadata(&path).unwrap().len() < 310_000);
    remove(&path);
}

#[test]
fn damaged_and_truncated_frames_stop_a_replay_and_are_reported() {
    let path = record("damage", 500, RecordingLimits::default());
    let intact = std::fs::read(&path).unwrap();
    for (length, reason) in [(intact.len() - 3, "ends after"), (5 + 4, "within a frame's head")] {
        std::fs::write(&path, &intact[..length]).unwrap();
        let report = replay(&path, ReplayFilter::default(), &mut |_| {}).unwrap();
        assert!(
            report.read_error.as_ref().is_some_and(|error| error.reason.to_string().contains(reason)),
            "{report:?}"
        );
        assert!(report.difference.is_none());
    }
    let mut corrupted = intact.clone();
    corrupted[intact.len() / 2] ^= 0x10;
    std::fs::write(&path, &corrupted).unwrap();
    assert!(replay(&path, ReplayFilter::default(), &mut |_| {}).unwrap().read_error.is_some());
    std::fs::write(&path, b"VSFR\x09").unwrap();
    assert!(Reader::open(&path).unwrap_err().reason.to_string().contains("version 9"));
    std::fs::write(&path, b"hello").unwrap();
    assert!(Reader::open(&path).unwrap_err().reason.to_string().contains("not a recording"));
    remove(&path);
}

#[test]
fn a_module_that_decides_differently_is_detected() {
    let path = record("other", 50, RecordingLimits::default());
    // Rewrites the recording with another server in each first send, so that it no longer matches the module.
    let mut reader = Reader::open(&path).unwrap();
    let mut bytes = b"VSFR\x01".to_vec();
    while let Some(mut frame) = reader.next_frame().unwrap() {
        if let violetseam_recorder::Frame::Event { actions, .. } = &mut frame
            && let Some(Action::Send { server, .. }) = actions.first_mut()
        {
            *server = server.wrapping_add(1);
        }
        let content = postcard::to_allocvec(&frame).unwrap();
        bytes.extend((content.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&content).to_le_bytes());
        bytes.extend(content);
    }
    std::fs::write(&path, bytes).unwrap();
    let report = replay(&path, ReplayFilter::default(), &mut |_| {}).unwrap();
    assert!(report.difference.is_some());
    remove(&path);
}
