//! Tests the idle connections of a pool: taking the newest, finding the oldest, and removing any of them.

use violetseam_event_io::IdleConnections;

/// Three idle connections to server 1 and one to server 2.
fn three_to_server_1_and_one_to_server_2() -> IdleConnections<u64> {
    let mut idle = IdleConnections::default();
    for connection in [10, 11, 12] {
        idle.insert(1, connection);
    }
    idle.insert(2, 20);
    idle
}

#[test]
fn connections_are_taken_newest_first_and_listed_oldest_first() {
    let mut idle = three_to_server_1_and_one_to_server_2();
    assert_eq!(idle.oldest(&1), Some(10));
    assert_eq!(idle.pop_newest(&1), Some(12));
    assert_eq!(idle.of_server(&1).collect::<Vec<_>>(), [10, 11]);
    assert_eq!(idle.oldest_of_each().collect::<Vec<_>>(), [10, 20]);
}

#[test]
fn a_removed_connection_is_no_longer_listed() {
    let mut idle = three_to_server_1_and_one_to_server_2();
    idle.remove(&1, 10);
    idle.remove(&1, 20);
    assert_eq!((idle.count(&1), idle.oldest(&1)), (2, Some(11)));
    idle.remove(&2, 20);
    assert_eq!((idle.count(&2), idle.oldest(&2), idle.pop_newest(&2)), (0, None, None));
    assert_eq!(idle.oldest_of_each().collect::<Vec<_>>(), [11]);
}
