//! Tests the order in which timers fire, and the poll timeout and lateness that follow from them.

use std::time::Duration;
use violetseam_event_io::timers::Timers;

#[test]
fn timers_fire_by_time_and_then_by_kind() {
    let mut timers = Timers::default();
    for (at, kind) in [(300, 'a'), (100, 'c'), (100, 'b')] {
        timers.set(at, kind);
    }
    assert_eq!(timers.next_deadline(), Some(100));
    assert_eq!(timers.pop(99), None);
    assert_eq!((timers.pop(100), timers.pop(100), timers.pop(100)), (Some('b'), Some('c'), None));
    assert_eq!((timers.pop(300), timers.next_deadline()), (Some('a'), None));
}

#[test]
fn poll_timeout_and_lateness_refer_to_the_earlier_deadline() {
    let mut timers = Timers::default();
    assert_eq!(timers.poll_timeout(0, None), Duration::from_secs(1), "at most a second");
    timers.set(500, 'a');
    assert_eq!(timers.poll_timeout(100, None), Duration::from_micros(400));
    assert_eq!(timers.poll_timeout(100, Some(300)), Duration::from_micros(200));
    assert_eq!(timers.poll_timeout(900, None), Duration::ZERO);
    assert_eq!((timers.lateness(100, None), timers.lateness(900, Some(600))), (0, 400));
}
