//! What is held for a limited time: the lease on the server list, a process's life, and what may start by them.

mod common;

use common::{MS, S, settings};
use violetseam::interface::Micros;
use violetseam::lease::{AttemptFacts, ListLease, SendDenial, SendPermissions, ShutdownSchedule};

/// After a change counts as told it may be ignored for so long: the grace of the settings, less a hold-up.
const GRACE: Micros = 1_750 * MS;

fn lease() -> ListLease {
    ListLease::unconfirmed(&settings().rules)
}

fn attempt(cut_at: Micros) -> AttemptFacts {
    AttemptFacts {
        request_finished: false,
        streaming: false,
        earlier_attempts: 0,
        earlier_sent: false,
        max_attempts: 4,
        body_replayable: true,
        cut_at,
    }
}

#[test]
fn the_lease_holds_from_the_first_confirmation_until_a_missed_change_could_exceed_its_grace() {
    let mut lease = lease();
    assert!(!lease.holds(0) && !lease.holds(100 * S), "a list of unknown age");
    lease.confirm(100 * S);
    assert!(lease.holds(106 * S + GRACE - 1) && !lease.holds(106 * S + GRACE));
    lease.confirm(99 * S);
    assert_eq!(lease.until(), 106 * S + GRACE, "an older word takes nothing back");
}

#[test]
fn a_shorter_poll_interval_shortens_the_lease() {
    let mut contract = settings().rules;
    contract.poll_interval_max = 2 * S;
    let mut lease = ListLease::unconfirmed(&contract);
    lease.confirm(100 * S);
    assert_eq!(lease.until(), 102 * S + GRACE);
}

#[test]
fn an_outage_extends_the_lease_unless_a_notification_was_missed() {
    let mut lease = lease();
    lease.confirm(100 * S);
    lease.discovery_down(104 * S);
    assert_eq!(lease.until(), 110 * S + GRACE);
    lease.notification_missed(105 * S);
    assert_eq!(lease.until(), 105 * S + GRACE);
    lease.discovery_down(106 * S);
    assert_eq!(lease.until(), 105 * S + GRACE, "an outage brings no list");
    lease.confirm(107 * S);
    lease.discovery_down(108 * S);
    assert_eq!(lease.until(), 114 * S + GRACE);
}

#[test]
fn a_move_of_discovery_and_the_loss_of_a_watch_shorten_the_lease() {
    let mut moved = lease();
    moved.confirm(100 * S);
    moved.discovery_moved(100 * S);
    assert_eq!(moved.until(), 104 * S + GRACE);
    moved.discovery_moved(101 * S);
    moved.discovery_down(103 * S);
    assert_eq!(moved.until(), 104 * S + GRACE, "the first move counts, and an outage does not lengthen it");
    let mut pushed = lease();
    pushed.confirm(100 * S);
    pushed.watch_lost(101 * S);
    assert_eq!(pushed.until(), 101 * S + GRACE);
}

#[test]
fn a_process_sends_final_responses_and_exits_before_it_is_killed() {
    for (longest, killed_at) in
        [(300 * MS, S), (3 * S, 3_700 * MS), (7_933 * MS, 3_700 * MS), (70 * S, 3_700 * MS)]
    {
        let life = ShutdownSchedule::starting_at(100 * S, longest);
        assert!(100 * S < life.answer_by && life.answer_by < life.exit_by, "{life:?}");
        // A process may be held up for 0.15 s between reading its clock and writing.
        assert!(life.exit_by + 150 * MS < 100 * S + killed_at, "{longest}: {life:?}");
    }
}

#[test]
fn the_first_reason_that_denies_an_attempt_is_returned() {
    let mut list = lease();
    let mut permissions = SendPermissions::new(list);
    let now = 100 * S;
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Err(SendDenial::LeaseExpired));
    list.confirm(now);
    permissions.list = list;
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Ok(()));
    let over = AttemptFacts { request_finished: true, ..attempt(now + S) };
    assert_eq!(permissions.may_send(now, &over), Err(SendDenial::RequestFinished));
    let spent = AttemptFacts { earlier_attempts: 4, ..attempt(now + S) };
    assert_eq!(permissions.may_start(now, &spent), Err(SendDenial::AttemptsExhausted));
    let gone =
        AttemptFacts { body_replayable: false, earlier_attempts: 1, earlier_sent: true, ..attempt(now + S) };
    assert_eq!(permissions.may_start(now, &gone), Err(SendDenial::BodyNotReplayable));
    assert_eq!(permissions.may_start(now, &attempt(now)), Err(SendDenial::DeadlineExceeded));
    permissions.set_handed_over(true);
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Err(SendDenial::HandedOver));
    assert_eq!(permissions.may_send(now, &attempt(now + S)), Ok(()), "what was booked before may leave");
    permissions.set_handed_over(false);
    let life = permissions.begin_shutdown(ShutdownSchedule::starting_at(now, 2 * S));
    assert_eq!(
        permissions.begin_shutdown(ShutdownSchedule::starting_at(now + S, 2 * S)),
        life,
        "the first word stands"
    );
    assert_eq!(permissions.answer_by(now + 60 * S), life.answer_by);
    assert_eq!(permissions.answer_by(now + S), now + S);
    let late = life.answer_by;
    assert_eq!(permissions.may_start(late, &attempt(late + S)), Err(SendDenial::ShuttingDown));
}
