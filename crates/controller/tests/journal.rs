//! The journal: torn at any byte, damaged, of a later version, of an earlier leader; terms and snapshots.

use std::path::{Path, PathBuf};
use violetseam_controller::journal::{
    AppendError, JournalError, NewTerm, Record, SNAPSHOT_INTERVAL, StateDir, encode,
};
use violetseam_plan::read_text;
use violetseam_release::{Event, Now, PlaceState, Release, Reply, Verdict, Vote};

const S: u64 = 1_000_000;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("vs-journal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn now(seconds: u64) -> Now {
    Now { wall: 1_800_000_000 * S + seconds * S, steady: seconds * S }
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

/// Decides an event and gives its line, as the controller does.
fn decide(release: &mut Release, at: Now, event: Event) -> Vec<u8> {
    let before = release.announcement();
    let changed = release.on_event(at, &event).changed;
    let news = release.announcement();
    let after = (news != before).then_some(news);
    if changed { encode(&Record::Event { now: at, event, after }) } else { Vec::new() }
}

fn journal(path: &Path, term: u64) -> PathBuf {
    path.join(format!("journal-{term}-0"))
}

/// A term with an offer, its first wave and two votes.
fn begin_and_play(path: &Path) -> (NewTerm, Release) {
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
    let path = folder("goes-on");
    let (_, release) = begin_and_play(&path);
    let replay = StateDir::open(&path).unwrap().read().unwrap().unwrap();
    assert_eq!((replay.release.clone(), replay.torn), (release.clone(), false));
    let new_term = StateDir::open(&path).unwrap().begin_term("two", 1, now(20)).unwrap();
    assert_eq!(
        (new_term.number, new_term.release.announcement(), new_term.release.votes()),
        (2, release.announcement(), 2)
    );
    // Two minutes away: the votes are past their time.
    let late = StateDir::open(&path).unwrap().begin_term("three", 1, now(140)).unwrap();
    assert_eq!(
        (late.number, late.release.announcement(), late.release.votes()),
        (3, release.announcement(), 0)
    );
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn torn_at_any_byte_the_complete_records_are_replayed_and_nothing_is_written() {
    let path = folder("torn");
    begin_and_play(&path);
    let file = journal(&path, 1);
    let whole = std::fs::read(&file).unwrap();
    let lines: Vec<usize> = whole.iter().enumerate().filter(|b| *b.1 == b'\n').map(|b| b.0 + 1).collect();
    let state_end = lines[1];
    let mut known = 0;
    for cut in state_end..=whole.len() {
        std::fs::write(&file, &whole[..cut]).unwrap();
        let replay = StateDir::open(&path).unwrap().read().unwrap().unwrap();
        let wholes = lines.iter().filter(|end| **end <= cut).count() - 2;
        assert_eq!(replay.event_count, wholes, "cut at {cut}");
        assert_eq!(replay.torn, !lines.contains(&cut), "cut at {cut}");
        assert_eq!(std::fs::read(&file).unwrap(), &whole[..cut]);
        known = known.max(replay.event_count);
    }
    assert!(known >= 4);
    // A bit turned in any line but the last is damage, and nothing is begun past it.
    for at in (state_end..lines[lines.len() - 2]).step_by(7) {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        std::fs::write(&file, &bytes).unwrap();
        let error = StateDir::open(&path).unwrap().begin_term("two", 1, now(9)).unwrap_err();
        assert!(matches!(error, JournalError::Damaged { .. }), "at {at}: {error}");
    }
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_journal_of_a_later_format_is_rejected_and_left_untouched() {
    let path = folder("newer");
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
    let path = folder("otherwise");
    let (_, release) = begin_and_play(&path);
    // What another version may have written: news that this one does not come to.
    let after = Some(violetseam_release::Announcement { stage: 1, ..release.announcement() });
    let line = encode(&Record::Event { now: now(7), event: Event::Tick, after });
    let mut bytes = std::fs::read(journal(&path, 1)).unwrap();
    bytes.extend(line);
    bytes.extend(encode(&Record::Event { now: now(8), event: vote(2), after: None }));
    std::fs::write(journal(&path, 1), bytes).unwrap();
    let error = StateDir::open(&path).unwrap().begin_term("two", 1, now(9)).unwrap_err();
    assert!(matches!(error, JournalError::Diverged { .. }), "{error}");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_term_has_one_leader_and_a_superseded_writer_fails_after_its_write() {
    let path = folder("terms");
    let (mut old, mut release) = begin_and_play(&path);
    let one = StateDir::open(&path).unwrap();
    let new = one.begin_term("two", 1, now(10)).unwrap();
    assert_eq!((old.number, new.number), (1, 2));
    let bytes = decide(&mut release, now(11), vote(2));
    assert!(matches!(old.writer.append(&bytes, 1, &release), Err(AppendError::Superseded)));
    // The old one's late write is in its own journal, which no successor reads any more.
    assert_eq!(one.read().unwrap().unwrap().release.votes(), 2);
    std::fs::write(path.join("term-3"), "three").unwrap();
    let fourth = one.begin_term("four", 1, now(12)).unwrap();
    assert_eq!(fourth.number, 4, "a term that was begun and never used is passed over");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn concurrent_leaders_get_different_terms_or_one_fails() {
    let path = folder("race");
    begin_and_play(&path);
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
    let path = folder("anew");
    let (mut new_term, mut release) = begin_and_play(&path);
    let mut appended = 0;
    while appended < 2 * SNAPSHOT_INTERVAL + 10 {
        let mut bytes = Vec::new();
        for n in 0..1_000u64 {
            let at = now(10 + (appended as u64 + n) / 1_000);
            bytes.extend(decide(&mut release, at, vote((n % 4) as u32)));
        }
        new_term.writer.append(&bytes, 1_000, &release).unwrap();
        appended += 1_000;
    }
    let folder = StateDir::open(&path).unwrap();
    let replay = folder.read().unwrap().unwrap();
    assert!(replay.event_count < SNAPSHOT_INTERVAL, "{}", replay.event_count);
    assert_eq!(replay.release, release);
    let reply = release.on_event(now(100), &vote(1)).reply;
    assert!(matches!(reply, Reply::Accepted | Reply::Obsolete(_)));
    std::fs::remove_dir_all(path).unwrap();
}

/// `cargo test --release -p violetseam-controller --test journal -- --ignored --nocapture`
#[test]
#[ignore = "measures; docs/measurements/plans.md"]
fn measure_recovery_and_durable_votes() {
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    for events in [1_000usize, 10_000, 100_000, 1_000_000] {
        let path = folder("measure");
        let (mut new_term, mut release) = begin_and_play(&path);
        // One file with all events and no state between them, beside what the writer makes of the same.
        let one = path.join("one");
        std::fs::create_dir_all(&one).unwrap();
        let mut all = std::fs::read(journal(&path, 1)).unwrap();
        let mut done = 0;
        while done < events {
            let mut bytes = Vec::new();
            let many = 1_000.min(events - done);
            for n in 0..many as u64 {
                let at = now(10 + (done as u64 + n) / 100_000);
                bytes.extend(decide(&mut release, at, vote((n % 4) as u32)));
            }
            new_term.writer.append(&bytes, many, &release).unwrap();
            all.extend(bytes);
            done += many;
        }
        std::fs::write(journal(&one, 1), all).unwrap();
        let time = |path: &Path| {
            let rounds = if events > 100_000 { 3 } else { 7 };
            let times = (0..rounds).map(|_| {
                let began = std::time::Instant::now();
                let replay = StateDir::open(path).unwrap().read().unwrap().unwrap();
                assert_eq!(replay.release, release);
                began.elapsed().as_secs_f64() * 1e3
            });
            median(times.collect())
        };
        println!(
            "{events} events: {:.1} ms as kept, {:.1} ms without states between",
            time(&path),
            time(&one)
        );
        std::fs::remove_dir_all(path).unwrap();
    }
    for batch in [1usize, 10, 100, 1_000] {
        let path = folder("votes");
        let (mut new_term, mut release) = begin_and_play(&path);
        let (began, mut kept) = (std::time::Instant::now(), 0);
        while began.elapsed().as_secs_f64() < 2.0 {
            let bytes: Vec<u8> =
                (0..batch as u64).flat_map(|n| decide(&mut release, now(10), vote((n % 4) as u32))).collect();
            new_term.writer.append(&bytes, batch, &release).unwrap();
            kept += batch;
        }
        println!(
            "batches of {batch}: {:.0} votes a second durable",
            kept as f64 / began.elapsed().as_secs_f64()
        );
        std::fs::remove_dir_all(path).unwrap();
    }
}
