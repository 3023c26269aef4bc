//! Tests of the lease on the server list, of the shutdown schedule, and of whether an attempt may start under
//! both.

mod common;

use common::{MS, S, settings};
use violetseam::interface::Micros;
use violetseam::lease::{AttemptFacts, ListLease, SendDenial, SendPermissions, ShutdownSchedule};

/// How long a list may still be used after a change to it counts as notified: the drain grace of the service
/// rules minus the longest stall of a process.
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
    assert!(!lease.holds(0) && !lease.holds(100 * S), "the lease holds for a list that was never confirmed");
    lease.record_confirmation(100 * S);
    assert!(lease.holds(106 * S + GRACE - 1) && !lease.holds(106 * S + GRACE));
    lease.record_confirmation(99 * S);
    assert_eq!(lease.until(), 106 * S + GRACE, "an older confirmation shortened the lease");
}

#[test]
fn a_shorter_poll_interval_shortens_the_lease() {
    let mut rules = settings().rules;
    rules.poll_interval_max = 2 * S;
    let mut lease = ListLease::unconfirmed(&rules);
    lease.record_confirmation(100 * S);
    assert_eq!(lease.until(), 102 * S + GRACE);
}

#[test]
fn an_outage_extends_the_lease_unless_a_notification_was_missed() {
    let mut lease = lease();
    lease.record_confirmation(100 * S);
    lease.discovery_down(104 * S);
    assert_eq!(lease.until(), 110 * S + GRACE);
    lease.notification_missed(105 * S);
    assert_eq!(lease.until(), 105 * S + GRACE);
    lease.discovery_down(106 * S);
    assert_eq!(lease.until(), 105 * S + GRACE, "an outage extended the lease after a missed notification");
    lease.record_confirmation(107 * S);
    lease.discovery_down(108 * S);
    assert_eq!(lease.until(), 114 * S + GRACE);
}

/// Guards against a list from before the start that is used in an outage, although nothing ever confirmed it.
#[test]
fn an_outage_makes_no_lease_valid_before_the_first_confirmation() {
    let mut unconfirmed = lease();
    for at in 100..110 {
        unconfirmed.discovery_down(at * S);
        unconfirmed.watch_lost(at * S);
        unconfirmed.response_lost(at * S);
        unconfirmed.loss_was_outage();
        assert!(!unconfirmed.holds(at * S), "the lease holds for a list that was never confirmed");
    }
    unconfirmed.record_confirmation(110 * S);
    unconfirmed.discovery_down(111 * S);
    assert_eq!(unconfirmed.until(), 117 * S + GRACE);
}

/// Guards against an outage that revives the lease on a list whose watch had fallen silent before.
#[test]
fn an_outage_does_not_extend_a_lease_after_an_unanswered_query() {
    let mut silent = lease();
    silent.record_confirmation(100 * S);
    silent.query_unanswered();
    silent.discovery_down(105 * S);
    silent.discovery_down(110 * S);
    assert_eq!(silent.until(), 106 * S + GRACE);
    let mut lost = lease();
    lost.record_confirmation(100 * S);
    lost.response_lost(101 * S);
    lost.query_unanswered();
    assert_eq!(lost.until(), 101 * S + GRACE, "an unanswered query explained the loss before it");
    lost.discovery_down(105 * S);
    assert_eq!(lost.until(), 106 * S + GRACE);
    lost.record_confirmation(107 * S);
    lost.discovery_down(108 * S);
    assert_eq!(lost.until(), 114 * S + GRACE, "a confirmation did not end the limit");
}

#[test]
fn a_move_of_discovery_and_the_loss_of_a_watch_shorten_the_lease() {
    let mut moved = lease();
    moved.record_confirmation(100 * S);
    moved.discovery_moved(100 * S);
    assert_eq!(moved.until(), 104 * S + GRACE);
    moved.discovery_moved(101 * S);
    moved.discovery_down(103 * S);
    assert_eq!(
        moved.until(),
        104 * S + GRACE,
        "a later move or an outage changed the lease after the first move"
    );
    let mut watched = lease();
    watched.record_confirmation(100 * S);
    watched.watch_lost(101 * S);
    assert_eq!(watched.until(), 101 * S + GRACE);
}

/// Guards against a list that is used on although its change was lost with the connection, and against
/// service that stops because an outage begins with a lost connection.
#[test]
fn a_lost_response_counts_as_notified_unless_an_outage_explains_the_loss() {
    let mut lost = lease();
    lost.record_confirmation(100 * S);
    lost.response_lost(101 * S);
    lost.response_lost(102 * S);
    assert_eq!(lost.until(), 101 * S + GRACE, "a second loss changed the lease");
    let mut confirmed = lost;
    confirmed.record_confirmation(102 * S);
    confirmed.loss_was_outage();
    assert_eq!(confirmed.until(), 108 * S + GRACE, "a loss from before the confirmation changed the lease");
    let mut unreachable = lost;
    unreachable.loss_was_outage();
    assert_eq!(unreachable.until(), 106 * S + GRACE, "the lease differs from the one before the loss");
    let mut refused = lost;
    refused.discovery_down(103 * S);
    assert_eq!(refused.until(), 109 * S + GRACE, "an outage after a loss did not extend the lease");
    let mut cut = lost;
    cut.notification_missed(102 * S);
    cut.loss_was_outage();
    assert_eq!(cut.until(), 102 * S + GRACE, "a missed notification after the loss was forgotten");
    let mut moved = lost;
    moved.discovery_moved(102 * S);
    moved.discovery_down(103 * S);
    assert_eq!(moved.until(), 101 * S + GRACE, "an outage at a new address explained a loss at the old one");
}

#[test]
fn a_process_sends_final_responses_and_exits_before_it_is_killed() {
    for (longest_deadline, kill_delay) in
        [(300 * MS, S), (3 * S, 3_700 * MS), (7_933 * MS, 3_700 * MS), (70 * S, 3_700 * MS)]
    {
        let schedule = ShutdownSchedule::starting_at(100 * S, longest_deadline);
        assert!(100 * S < schedule.answer_by && schedule.answer_by < schedule.exit_by, "{schedule:?}");
        // A process may stall for 0.15 s between reading its clock and writing.
        assert!(
            schedule.exit_by + 150 * MS < 100 * S + kill_delay,
            "exits too late for a longest deadline of {longest_deadline} us: {schedule:?}"
        );
    }
}

#[test]
fn the_first_reason_that_denies_an_attempt_is_returned() {
    let mut list = lease();
    let mut permissions = SendPermissions::new(list);
    let now = 100 * S;
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Err(SendDenial::LeaseExpired));
    list.record_confirmation(now);
    permissions.list = list;
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Ok(()));
    let finished = AttemptFacts { request_finished: true, ..attempt(now + S) };
    assert_eq!(permissions.may_send(now, &finished), Err(SendDenial::RequestFinished));
    let exhausted = AttemptFacts { earlier_attempts: 4, ..attempt(now + S) };
    assert_eq!(permissions.may_start(now, &exhausted), Err(SendDenial::AttemptsExhausted));
    let not_replayable =
        AttemptFacts { body_replayable: false, earlier_attempts: 1, earlier_sent: true, ..attempt(now + S) };
    assert_eq!(permissions.may_start(now, &not_replayable), Err(SendDenial::BodyNotReplayable));
    assert_eq!(permissions.may_start(now, &attempt(now)), Err(SendDenial::DeadlineExceeded));
    permissions.set_handed_over(true);
    assert_eq!(permissions.may_start(now, &attempt(now + S)), Err(SendDenial::HandedOver));
    assert_eq!(
        permissions.may_send(now, &attempt(now + S)),
        Ok(()),
        "an attempt that was started before the hand-over is denied"
    );
    permissions.set_handed_over(false);
    let schedule = permissions.begin_shutdown(ShutdownSchedule::starting_at(now, 2 * S));
    assert_eq!(
        permissions.begin_shutdown(ShutdownSchedule::starting_at(now + S, 2 * S)),
        schedule,
        "a second shutdown changed the schedule"
    );
    assert_eq!(permissions.answer_by(now + 60 * S), schedule.answer_by);
    assert_eq!(permissions.answer_by(now + S), now + S);
    let shut_down_at = schedule.answer_by;
    assert_eq!(
        permissions.may_start(shut_down_at, &attempt(shut_down_at + S)),
        Err(SendDenial::ShuttingDown)
    );
}
