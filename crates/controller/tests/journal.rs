//! Tests of the state directory: journals that are torn at any byte, damaged, of a later format, diverging on
//! replay or written by a superseded leader; the exclusive start of terms; snapshots.

use std::path::{Path, PathBuf};
use violetseam_controller::journal::{
    AppendError, JournalError, NewTerm, Record, SNAPSHOT_INTERVAL, StateDir, encode,
};
use violetseam_plan::read_text;
use violetseam_release::{Event, Now, PlaceState, Release, Reply, Verdict, Vote};

const MICROS_PER_SECOND: u64 = 1_000_000;

fn temp_state_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("vs-journal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn now(seconds: u64) -> Now {
    Now {
        wall: 1_800_000_000 * MICROS_PER_SECOND + seconds * MICROS_PER_SECOND,
        steady: seconds * MICROS_PER_SECOND,
    }
}

fn offer() -> Event {
    let text = "plan(name = \"p\", build = 7, longest = \"8h\")\n\
        fleet(proxies = 4, places = 2, vote_ttl = \"30s\", stage_caps = [0.5, 1.0])\n\
        wave(name = \"a\", share = 0.5, cap = 0.5, soak = \"1m\", gate = \"share\")\n\
        wave(name = \"b\", share = 1.0, cap = 1.0, soak = \"1m\", gate = \"share\")\n";
    Event::Offer(Box::new(read_text("p", text, &[], now(0).wall).unwrap()))
}

fn vote(proxy: u32) -> Event {
    Event::Vote(Vote { proxy, build: 7, stage: 0, verdict: Verdict::On })
}

/// Applies an event and returns its record, as the controller does; empty if the event changed nothing.
fn decide(release: &mut Release, time: Now, event: Event) -> Vec<u8> {
    let before = release.announcement();
    let changed = release.on_event(time, &event).changed;
    let announcement = release.announcement();
    let after = (announcement != before).then_some(announcement);
    if changed { encode(&Record::Event { now: time, event, after }) } else { Vec::new() }
}

fn journal(path: &Path, term: u64) -> PathBuf {
    path.join(format!("journal-{term}-0"))
}

/// Begins a term and records a submitted plan, the start of its first wave and two votes.
fn begin_term_with_votes(path: &Path) -> (NewTerm, Release) {
    let mut new_term = StateDir::open(path).unwrap().begin_term("one", 1, now(0)).unwrap();
    let mut release = new_term.release.clone();
    let events = [
        offer(),
        Event::Tick,
        Event::Place { place: 0, build: 7, state: PlaceState::Running },
        vote(0),
        vote(1),
    ];
    for (n, event) in events.into_iter().enumerate() {
        let bytes = decide(&mut release, now(n as u64 + 1), event);
        new_term.writer.append(&bytes, usize::from(!bytes.is_empty()), &release).unwrap();
    }
    (new_term, release)
}

#[test]
fn a_successor_resumes_the_state_of_the_leader_before() {
    let path = temp_state_path("goes-on");
    let (_, release) = begin_term_with_votes(&path);
    let replay = StateDir::open(&path).unwrap().read().unwrap().unwrap();
    assert_eq!((replay.release.clone(), replay.torn), (release.clone(), false));
    let new_term = StateDir::open(&path).unwrap().begin_term("two", 1, now(20)).unwrap();
    assert_eq!(
        (new_term.number, new_term.release.announcement(), new_term.release.votes()),
        (2, release.announcement(), 2)
    );
    // After two minutes, the votes have exceeded their lifetime of 30 s.
    let after_vote_ttl = StateDir::open(&path).unwrap().begin_term("three", 1, now(140)).unwrap();
    assert_eq!(
        (after_vote_ttl.number, after_vote_ttl.release.announcement(), after_vote_ttl.release.votes()),
        (3, release.announcement(), 0)
    );
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn torn_at_any_byte_the_complete_records_are_replayed_and_nothing_is_written() {
    let path = temp_state_path("torn");
    begin_term_with_votes(&path);
    let journal_file = journal(&path, 1);
    let complete_bytes = std::fs::read(&journal_file).unwrap();
    let line_ends: Vec<usize> =
        complete_bytes.iter().enumerate().filter(|b| *b.1 == b'\n').map(|b| b.0 + 1).collect();
    let snapshot_end = line_ends[1];
    let mut max_event_count = 0;
    for cut in snapshot_end..=complete_bytes.len() {
        std::fs::write(&journal_file, &complete_bytes[..cut]).unwrap();
        let replay = StateDir::open(&path).unwrap().read().unwrap().unwrap();
        let complete_events = line_ends.iter().filter(|end| **end <= cut).count() - 2;
        assert_eq!(replay.event_count, complete_events, "cut at {cut}");
        assert_eq!(replay.torn, !line_ends.contains(&cut), "cut at {cut}");
        assert_eq!(std::fs::read(&journal_file).unwrap(), &complete_bytes[..cut]);
        max_event_count = max_event_count.max(replay.event_count);
    }
    assert!(max_event_count >= 4);
    // A flipped bit in any line but the last means damage, and no term begins from such a journal.
    for offset in (snapshot_end..line_ends[line_ends.len() - 2]).step_by(7) {
        let mut bytes = complete_bytes.clone();
        bytes[offset] ^= 0x10;
        std::fs::write(&journal_file, &bytes).unwrap();
        let error = StateDir::open(&path).unwrap().begin_term("two", 1, now(9)).unwrap_err();
        assert!(matches!(error, JournalError::Damaged { .. }), "at {offset}: {error}");
    }
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_journal_of_a_later_format_is_rejected_and_left_untouched() {
    let path = temp_state_path("newer");
    std::fs::create_dir_all(&path).unwrap();
    let header = encode(&Record::Header { version: 9, leader: "later".into() });
    let mut bytes = header.clone();
    bytes.extend_from_slice(b"something of another layout\n");
    std::fs::write(journal(&path, 4), &bytes).unwrap();
    std::fs::write(path.join("term-4"), "later").unwrap();
    let error = StateDir::open(&path).unwrap().begin_term("one", 1, now(0)).unwrap_err();
    assert!(
        matches!(error, JournalError::NewerFormat { version: 9, .. })
            && error.to_string().contains("Nothing was touched")
    );
    let mut names: Vec<String> =
        std::fs::read_dir(&path).unwrap().flatten().map(|e| e.file_name().into_string().unwrap()).collect();
    names.sort();
    assert_eq!(names, ["journal-4-0", "term-4"]);
    assert_eq!(std::fs::read(journal(&path, 4)).unwrap(), bytes);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_replay_that_diverges_is_rejected() {
    let path = temp_state_path("otherwise");
    let (_, release) = begin_term_with_votes(&path);
    // Another version may have recorded an announcement that this version does not arrive at.
    let after = Some(violetseam_release::Announcement { stage: 1, ..release.announcement() });
    let record = encode(&Record::Event { now: now(7), event: Event::Tick, after });
    let mut bytes = std::fs::read(journal(&path, 1)).unwrap();
    bytes.extend(record);
    bytes.extend(encode(&Record::Event { now: now(8), event: vote(2), after: None }));
    std::fs::write(journal(&path, 1), bytes).unwrap();
    let error = StateDir::open(&path).unwrap().begin_term("two", 1, now(9)).unwrap_err();
    assert!(matches!(error, JournalError::Diverged { .. }), "{error}");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_term_has_one_leader_and_a_superseded_writer_fails_after_its_write() {
    let path = temp_state_path("terms");
    let (mut superseded_term, mut release) = begin_term_with_votes(&path);
    let state_dir = StateDir::open(&path).unwrap();
    let new_term = state_dir.begin_term("two", 1, now(10)).unwrap();
    assert_eq!((superseded_term.number, new_term.number), (1, 2));
    let bytes = decide(&mut release, now(11), vote(2));
    assert!(matches!(superseded_term.writer.append(&bytes, 1, &release), Err(AppendError::Superseded)));
    // The late write of the superseded leader is in its own journal, which no successor reads.
    assert_eq!(state_dir.read().unwrap().unwrap().release.votes(), 2);
    std::fs::write(path.join("term-3"), "three").unwrap();
    let fourth_term = state_dir.begin_term("four", 1, now(12)).unwrap();
    assert_eq!(fourth_term.number, 4, "a term without a journal is skipped");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn concurrent_leaders_get_different_terms_or_one_fails() {
    let path = temp_state_path("race");
    begin_term_with_votes(&path);
    for _ in 0..20 {
        let begin = |name: &'static str| {
            let path = path.clone();
            std::thread::spawn(move || {
                StateDir::open(&path).unwrap().begin_term(name, 1, now(20)).map(|new_term| new_term.number)
            })
        };
        let (a, b) = (begin("a"), begin("b"));
        match (a.join().unwrap(), b.join().unwrap()) {
            (Ok(a), Ok(b)) => assert_ne!(a, b),
            (Ok(_), Err(JournalError::TermTaken)) | (Err(JournalError::TermTaken), Ok(_)) => {}
            other => panic!("{other:?}"),
        }
    }
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_new_journal_begins_with_a_snapshot_and_only_that_is_read() {
    let path = temp_state_path("anew");
    let (mut new_term, mut release) = begin_term_with_votes(&path);
    let mut appended = 0;
    while appended < 2 * SNAPSHOT_INTERVAL + 10 {
        let mut bytes = Vec::new();
        for n in 0..1_000u64 {
            let time = now(10 + (appended as u64 + n) / 1_000);
            bytes.extend(decide(&mut release, time, vote((n % 4) as u32)));
        }
        new_term.writer.append(&bytes, 1_000, &release).unwrap();
        appended += 1_000;
    }
    let state_dir = StateDir::open(&path).unwrap();
    let replay = state_dir.read().unwrap().unwrap();
    assert!(replay.event_count < SNAPSHOT_INTERVAL, "{}", replay.event_count);
    assert_eq!(replay.release, release);
    let reply = release.on_event(now(100), &vote(1)).reply;
    assert!(matches!(reply, Reply::Accepted | Reply::Obsolete(_)));
    std::fs::remove_dir_all(path).unwrap();
}

/// Run with `cargo test --release -p violetseam-controller --test journal -- --ignored --nocapture`.
#[test]
#[ignore = "measurement; results in docs/measurements/plans.md"]
fn measure_recovery_and_durable_votes() {
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    for events in [1_000usize, 10_000, 100_000, 1_000_000] {
        let path = temp_state_path("measure");
        let (mut new_term, mut release) = begin_term_with_votes(&path);
        // For comparison, one journal that holds all events without any later snapshot.
        let single_journal = path.join("one");
        std::fs::create_dir_all(&single_journal).unwrap();
        let mut bytes_without_snapshots = std::fs::read(journal(&path, 1)).unwrap();
        let mut appended = 0;
        while appended < events {
            let mut bytes = Vec::new();
            let batch_len = 1_000.min(events - appended);
            for n in 0..batch_len as u64 {
                let time = now(10 + (appended as u64 + n) / 100_000);
                bytes.extend(decide(&mut release, time, vote((n % 4) as u32)));
            }
            new_term.writer.append(&bytes, batch_len, &release).unwrap();
            bytes_without_snapshots.extend(bytes);
            appended += batch_len;
        }
        std::fs::write(journal(&single_journal, 1), bytes_without_snapshots).unwrap();
        let median_read_ms = |path: &Path| {
            let rounds = if events > 100_000 { 3 } else { 7 };
            let times = (0..rounds).map(|_| {
                let started_at = std::time::Instant::now();
                let replay = StateDir::open(path).unwrap().read().unwrap().unwrap();
                assert_eq!(replay.release, release);
                started_at.elapsed().as_secs_f64() * 1e3
            });
            median(times.collect())
        };
        println!(
            "{events} events: {:.1} ms as written, {:.1} ms without later snapshots",
            median_read_ms(&path),
            median_read_ms(&single_journal)
        );
        std::fs::remove_dir_all(path).unwrap();
    }
    for batch in [1usize, 10, 100, 1_000] {
        let path = temp_state_path("votes");
        let (mut new_term, mut release) = begin_term_with_votes(&path);
        let (started_at, mut appended) = (std::time::Instant::now(), 0);
        while started_at.elapsed().as_secs_f64() < 2.0 {
            let bytes: Vec<u8> =
                (0..batch as u64).flat_map(|n| decide(&mut release, now(10), vote((n % 4) as u32))).collect();
            new_term.writer.append(&bytes, batch, &release).unwrap();
            appended += batch;
        }
        println!(
            "batches of {batch}: {:.0} votes made durable per second",
            appended as f64 / started_at.elapsed().as_secs_f64()
        );
        std::fs::remove_dir_all(path).unwrap();
    }
}
