//! Commands twice, late, out of order, for others, in two steps, and contrary ones at one moment.

use violetseam_control::book::{Book, Change, Present};
use violetseam_control::wire::{Act, Command, Fence, Phase, Reply, read_ask, write};
use violetseam_control::{Ask, Durable};

const S: u64 = 1_000_000;
const NOW: u64 = 1_000_000 * S;
const PRESENT: Present = Present { boot: 3, release: Some((7, 1)) };

fn command(id: &str, act: Act) -> Command {
    let fence = Fence { boot: None, build: Some(7), stage: Some(1) };
    let (id, issuer) = (id.to_owned(), "on-call".to_owned());
    Command { id, issuer, issued_us: 0, expires_us: NOW + 60 * S, fence, phase: Phase::Now, act }
}

fn pause(id: &str) -> Command {
    command(id, Act::Pause { until_us: NOW + 600 * S })
}

fn is_refused(reply: &Reply, why: &str) -> bool {
    matches!(reply, Reply::Refused { reason } if reason.contains(why))
}

#[test]
fn a_command_is_applied_once_however_often_it_arrives_and_over_a_restart() {
    let mut book = Book::default();
    let (first, change) = book.take(NOW, PRESENT, &pause("a"));
    assert_eq!((first, change), (Reply::Agreed { again: false }, Some(Change::Pause)));
    assert_eq!(book.take(NOW + S, PRESENT, &pause("a")), (Reply::Agreed { again: true }, None));
    let mut book = Book::new(book.durable().clone());
    assert_eq!(book.take(NOW + 2 * S, PRESENT, &pause("a")), (Reply::Agreed { again: true }, None));
    assert_eq!(book.pause().map(|p| p.until_us), Some(NOW + 600 * S));
    // Past its expiry a repeat still gets the answer it had, and is not applied again.
    book.take(NOW + 3 * S, PRESENT, &command("b", Act::Resume));
    assert_eq!(book.take(NOW + 90 * S, PRESENT, &pause("a")), (Reply::Agreed { again: true }, None));
    assert_eq!(book.pause(), None);
}

#[test]
fn what_is_late_early_or_for_another_build_stage_or_life_is_refused_with_the_reason() {
    let mut book = Book::default();
    let mut try_it = |change: &dyn Fn(&mut Command), why: &str| {
        let mut c = pause(why);
        change(&mut c);
        let (reply, change) = book.take(NOW, PRESENT, &c);
        assert!(is_refused(&reply, why) && change.is_none(), "{why}: {reply:?}");
    };
    try_it(&|c| c.expires_us = NOW, "expired");
    try_it(&|c| c.expires_us = NOW - 3_600 * S, "3600.0 s ago");
    try_it(&|c| c.expires_us = NOW + 25 * 3_600 * S, "over a day");
    try_it(&|c| c.fence.boot = Some(2), "its boot number is 3");
    try_it(&|c| c.fence.build = Some(6), "build 7 is in stage 1");
    try_it(&|c| c.fence.stage = Some(0), "build 7 is in stage 1");
    try_it(&|c| c.fence.build = None, "must name its build");
    try_it(&|c| c.act = Act::Pause { until_us: NOW }, "a pause ends between");
    assert_eq!(book.pause(), None);
    let unknown = Present { boot: 3, release: None };
    assert!(is_refused(&book.take(NOW, unknown, &pause("n")).0, "not been told"));
}

#[test]
fn what_is_prepared_is_applied_on_commit_and_released_at_its_expiry() {
    let mut book = Book::default();
    let step = |phase| Command { phase, ..pause("two") };
    assert_eq!(book.take(NOW, PRESENT, &step(Phase::Prepare)), (Reply::Prepared, None));
    assert_eq!((book.pause(), book.prepared(), book.due()), (None, 1, Some(NOW + 60 * S)));
    let (reply, change) = book.take(NOW + S, PRESENT, &step(Phase::Commit));
    assert_eq!((reply, change), (Reply::Agreed { again: false }, Some(Change::Pause)));
    // Nothing heard: it releases by itself, and a commit that comes later is refused.
    let late = |phase| Command { phase, ..pause("late") };
    book.take(NOW, PRESENT, &late(Phase::Prepare));
    book.expire(NOW + 61 * S, PRESENT);
    assert_eq!(book.prepared(), 0);
    assert!(is_refused(&book.take(NOW + 61 * S, PRESENT, &late(Phase::Commit)).0, "released"));
    // A restart between the two steps forgets the promise.
    book.take(NOW, PRESENT, &Command { phase: Phase::Prepare, ..pause("gone") });
    let mut restarted = Book::new(book.durable().clone());
    assert!(is_refused(
        &restarted.take(NOW, PRESENT, &Command { phase: Phase::Commit, ..pause("gone") }).0,
        "nothing"
    ));
    // The build moved between the two steps: what was promised no longer holds.
    book.take(NOW, PRESENT, &Command { phase: Phase::Prepare, ..pause("moved") });
    let moved = Present { release: Some((7, 2)), ..PRESENT };
    let commit = Command { phase: Phase::Commit, ..pause("moved") };
    assert!(is_refused(&book.take(NOW, moved, &commit).0, "another build or stage"));
}

#[test]
fn a_pause_ends_at_its_moment_or_with_its_stage() {
    let mut book = Book::default();
    book.take(NOW, PRESENT, &pause("a"));
    assert_eq!(book.expire(NOW + 599 * S, PRESENT), None);
    assert_eq!(book.expire(NOW + 600 * S, PRESENT), Some(Change::Resume));
    book.take(NOW, PRESENT, &pause("b"));
    assert_eq!(book.expire(NOW + S, Present { release: Some((8, 0)), ..PRESENT }), Some(Change::Resume));
    assert_eq!(book.pause(), None);
}

#[test]
fn a_damaged_file_reads_as_paused_whatever_build_comes() {
    let mut book = Book::new(Book::safe_reading(NOW));
    assert_eq!(book.expire(NOW + S, Present { release: Some((8, 0)), ..PRESENT }), None);
    assert!(book.pause().is_some_and(|p| p.issuer.contains("damaged")));
    assert_eq!(book.take(NOW, PRESENT, &command("r", Act::Resume)).1, Some(Change::Resume));
    assert_eq!(book.pause(), None);
}

#[test]
fn contrary_commands_have_one_order_and_the_memory_is_bounded() {
    let mut book = Book::default();
    book.take(NOW, PRESENT, &pause("a"));
    book.take(NOW, PRESENT, &command("b", Act::Resume));
    assert_eq!(book.pause(), None, "the later one counts");
    for n in 0..10_000 {
        book.take(NOW, PRESENT, &command(&n.to_string(), Act::Resume));
    }
    assert!(book.durable().seen.len() <= 4_096);
}

#[test]
fn lines_are_read_strictly() {
    let sound = write(&Ask::Command(pause("x")));
    assert_eq!(read_ask(sound.trim_ascii_end()), Ok(Ask::Command(pause("x"))));
    for bad in [&b"{"[..], b"\"sta", b"{\"command\":{}}", b"[]", b"\xff"] {
        assert!(read_ask(bad).is_err());
    }
    let empty = write(&Ask::Command(pause("")));
    assert!(read_ask(empty.trim_ascii_end()).is_err());
    let text = String::from_utf8(sound).unwrap().replace("\"act\"", "\"extra\":1,\"act\"");
    assert!(read_ask(text.trim().as_bytes()).is_err(), "a field nobody knows may change what is meant");
    assert_eq!(Durable::default(), Durable::default());
}

#[test]
fn of_contrary_commands_the_later_issued_stands_in_whatever_order_they_come() {
    let at = |id: &str, act: Act, issued_us: u64| Command { issued_us, ..command(id, act) };
    let one = at("a", Act::Pause { until_us: NOW + 60 * S }, NOW - 2);
    let other = at("b", Act::Resume, NOW - 1);
    let tie = at("c", Act::Pause { until_us: NOW + 60 * S }, NOW - 1);
    let orders = [[&one, &other, &tie], [&tie, &other, &one], [&other, &tie, &one], [&one, &tie, &other]];
    for order in orders {
        let mut book = Book::default();
        let replies: Vec<Reply> = order.iter().map(|c| book.take(NOW, PRESENT, c).0).collect();
        // `c` and `b` are of one moment: the later id stands.
        assert!(book.pause().is_some(), "{replies:?}");
    }
    let mut book = Book::default();
    book.take(NOW, PRESENT, &other);
    assert!(is_refused(&book.take(NOW, PRESENT, &one).0, "overtaken: resume"));
    // On another subject nothing was overtaken.
    assert_eq!(book.take(NOW, PRESENT, &at("d", Act::Drain, NOW - 3)).1, Some(Change::Drain));
    let ahead = at("e", Act::Drain, NOW + 6 * S);
    assert!(is_refused(&book.take(NOW, PRESENT, &ahead).0, "one of the clocks is off"));
}
