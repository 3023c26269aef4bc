//! The idle connections of a pool: taken newest first or oldest first, and out of the middle.

use violetseam_event_io::IdleConnections;

fn with_three_of_server_1() -> IdleConnections<u64> {
    let mut idle = IdleConnections::default();
    for connection in [10, 11, 12] {
        idle.insert(1, connection);
    }
    idle.insert(2, 20);
    idle
}

#[test]
fn connections_are_taken_newest_first_or_seen_oldest_first() {
    let mut idle = with_three_of_server_1();
    assert_eq!(idle.oldest(&1), Some(10));
    assert_eq!(idle.pop_newest(&1), Some(12));
    assert_eq!(idle.of_server(&1).collect::<Vec<_>>(), [10, 11]);
    assert_eq!(idle.oldest_of_each().collect::<Vec<_>>(), [10, 20]);
}

#[test]
fn a_removed_connection_is_not_taken_and_an_emptied_server_has_none() {
    let mut idle = with_three_of_server_1();
    idle.remove(&1, 10);
    idle.remove(&1, 20);
    assert_eq!((idle.count(&1), idle.oldest(&1)), (2, Some(11)));
    idle.remove(&2, 20);
    assert_eq!((idle.count(&2), idle.oldest(&2), idle.pop_newest(&2)), (0, None, None));
    assert_eq!(idle.oldest_of_each().collect::<Vec<_>>(), [11]);
}
