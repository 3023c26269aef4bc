//! Tests of the order of release reports that arrive over different connections.

mod common;

use common::{MS, S};
use proptest::prelude::*;
use violetseam::interface::{Micros, Phase, ReleaseStatus};
use violetseam::release_order::{ReleaseOrder, ReleaseReport};

/// The longest delay of a report on a stream, and the longest time from a call to its reply in these tests.
const MAX_STREAM_DELAY: Micros = 2_900 * MS;
const MAX_CALL_TIME: Micros = 800 * MS;
/// The interval at which a release service repeats its status on a stream.
const REPEAT_INTERVAL: Micros = 4 * S;
const STREAM: u64 = 1;

fn status(build: u16, stage: u8, phase: Phase, cap: f64) -> ReleaseStatus {
    ReleaseStatus { build, stage, phase, cap }
}

fn trial(stage: u8, cap: f64) -> ReleaseStatus {
    status(8, stage, Phase::Trial, cap)
}

const ROLLING_BACK: ReleaseStatus = ReleaseStatus { build: 8, stage: 1, phase: Phase::RollingBack, cap: 0.0 };

/// An order in which a trial has been reported on a stream at 100 s, in force for ten seconds then.
fn order_with_trial() -> ReleaseOrder {
    let mut order = ReleaseOrder::default();
    assert!(order.admits(ReleaseReport::on_stream(trial(1, 0.3), STREAM, 100 * S).with_age(10 * S)));
    order
}

#[test]
fn the_first_report_and_those_behind_it_on_its_stream_are_admitted() {
    let mut order = order_with_trial();
    let later_statuses = [ROLLING_BACK, trial(1, 0.3), status(7, 0, Phase::Released, 1.0)];
    for later in later_statuses {
        assert!(order.admits(ReleaseReport::on_stream(later, STREAM, 100 * S + 1)), "{later:?}");
    }
}

#[test]
fn a_reply_from_before_the_news_on_the_stream_is_ignored() {
    let mut order = order_with_trial();
    assert!(order.admits(ReleaseReport::on_stream(ROLLING_BACK, STREAM, 105 * S).with_age(0)));
    let reply = ReleaseReport::in_reply(trial(1, 0.3), 104_500 * MS, 105_100 * MS);
    assert!(!order.admits(reply.with_age(15 * S)), "the age shows that the reply is older");
    assert!(!order.admits(reply), "without an age the lower cap stays in force");
}

#[test]
fn a_reply_that_is_newer_than_the_stream_is_admitted_and_late_news_is_ignored() {
    let mut order = order_with_trial();
    let reply = ReleaseReport::in_reply(ROLLING_BACK, 105 * S, 105_100 * MS);
    assert!(order.admits(reply.with_age(20 * MS)));
    let repeated = ReleaseReport::on_stream(trial(1, 0.3), STREAM, 105_200 * MS);
    assert!(!order.admits(repeated.with_age(15 * S)));
    assert!(!order.admits(repeated), "without an age the lower cap stays in force");
    // Once the stream has confirmed the status, what follows on it is newer.
    assert!(order.admits(ReleaseReport::on_stream(ROLLING_BACK, STREAM, 105_300 * MS)));
    assert!(order.admits(ReleaseReport::on_stream(trial(2, 0.5), STREAM, 105_400 * MS)));
}

#[test]
fn a_stream_that_still_says_otherwise_after_the_longest_delay_is_believed() {
    let mut order = order_with_trial();
    assert!(order.admits(ReleaseReport::in_reply(ROLLING_BACK, 105 * S, 105 * S).with_age(0)));
    let repeated = |at: Micros| ReleaseReport::on_stream(trial(1, 0.3), STREAM, at).with_age(at - 90 * S);
    assert!(!order.admits(repeated(108 * S - 1)));
    assert!(order.admits(repeated(108 * S)), "a wrong reply stays in force for ever");
}

#[test]
fn a_later_build_is_newer_whatever_its_cap() {
    let mut order = order_with_trial();
    let next = status(9, 0, Phase::Trial, 0.9);
    assert!(order.admits(ReleaseReport::in_reply(next, 99 * S, 100 * S)));
    assert!(!order.admits(ReleaseReport::in_reply(trial(1, 0.3), 99 * S, 100 * S)));
}

#[test]
fn revisions_decide_where_reports_state_them() {
    let mut order = ReleaseOrder::default();
    assert!(order.admits(ReleaseReport::on_stream(ROLLING_BACK, STREAM, 100 * S).with_revision(3)));
    let reply =
        |status, revision| ReleaseReport::in_reply(status, 99 * S, 100 * S + 1).with_revision(revision);
    assert!(!order.admits(reply(trial(1, 0.3), 2)));
    assert!(order.admits(reply(trial(2, 0.5), 4)));
    // The same status under a later number: what came between the two is older.
    assert!(order.admits(reply(trial(2, 0.5), 6)));
    assert!(!order.admits(reply(trial(1, 0.3), 5)));
}

/// One change of a simulated release service.
#[derive(Clone, Debug)]
struct Change {
    /// The time since the change before.
    after: Micros,
    cap: f64,
    is_new_build: bool,
}

/// A call to the simulated release service.
#[derive(Clone, Debug)]
struct Call {
    /// The time since the reply to the call before was received.
    after: Micros,
    /// The time until the service writes its reply, and the time until that is received.
    delays: [Micros; 2],
}

/// A report and the number of the change that it reports.
struct Arrival {
    change: usize,
    report: ReleaseReport,
    received_at: Micros,
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (0..6 * S, 0u8..=10, prop::bool::weighted(0.2)).prop_map(|(after, tenths, is_new_build)| {
        Change { after, cap: f64::from(tenths) / 10.0, is_new_build }
    });
    prop::collection::vec(change, 1..12)
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let half = MAX_CALL_TIME / 2;
    let call = (0..2 * S, [0..half, 0..half]).prop_map(|(after, delays)| Call { after, delays });
    prop::collection::vec(call, 0..40)
}

/// A release service's status over time.
struct Course {
    /// When each change comes into force, and its status.
    changes: Vec<(Micros, ReleaseStatus)>,
}

impl Course {
    fn new(changes: &[Change]) -> Course {
        let (mut at, mut build) = (100 * S, 8);
        let mut course = vec![(0, status(build, 0, Phase::Trial, 0.5))];
        for (index, change) in changes.iter().enumerate() {
            at += change.after;
            build += u16::from(change.is_new_build);
            // The stage tells all changes apart.
            course.push((at, status(build, index as u8 + 1, Phase::Trial, change.cap)));
        }
        Course { changes: course }
    }

    /// The number of the change that is in force, and how long it has been.
    fn at(&self, now: Micros) -> (usize, Micros) {
        let index = self.changes.partition_point(|(at, _)| *at <= now) - 1;
        (index, now - self.changes[index].0)
    }

    fn end(&self) -> Micros {
        self.changes[self.changes.len() - 1].0
    }

    /// The reports on the stream: each change, and the status again at intervals. Delays keep their order.
    fn on_stream(&self, delays: &[Micros], states_age: bool) -> Vec<Arrival> {
        let last_repeat = self.end() + MAX_STREAM_DELAY + MAX_CALL_TIME + 2 * REPEAT_INTERVAL;
        let repeats = (100 * S..=last_repeat).step_by(REPEAT_INTERVAL as usize);
        let mut written: Vec<Micros> = self.changes.iter().map(|(at, _)| *at).chain(repeats).collect();
        written.retain(|at| *at >= 100 * S);
        written.sort_unstable();
        let mut received_at = 0;
        let mut arrivals = Vec::new();
        for (written_at, delay) in written.into_iter().zip(delays.iter().cycle()) {
            received_at = received_at.max(written_at + delay);
            let (change, age) = self.at(written_at);
            let report = ReleaseReport::on_stream(self.changes[change].1, STREAM, received_at);
            let report = if states_age { report.with_age(age) } else { report };
            arrivals.push(Arrival { change, report, received_at });
        }
        arrivals
    }

    /// The reports in the replies to calls, one call after another.
    fn in_replies(&self, calls: &[Call], states_age: bool) -> Vec<Arrival> {
        let mut sent_at = 100 * S;
        let mut arrivals = Vec::new();
        for Call { after, delays: [until_written, until_received] } in calls {
            sent_at += after;
            let written_at = sent_at + until_written;
            let received_at = written_at + until_received;
            let (change, age) = self.at(written_at);
            let report = ReleaseReport::in_reply(self.changes[change].1, sent_at, received_at);
            let report = if states_age { report.with_age(age) } else { report };
            arrivals.push(Arrival { change, report, received_at });
            sent_at = received_at;
        }
        arrivals
    }
}

proptest! {
    /// Whatever the delays, no report raises the cap over that of a later change, and at the end the last
    /// change is in force.
    #[test]
    fn no_older_report_raises_the_cap_and_the_last_change_prevails(
        changes in changes(),
        calls in calls(),
        delays in prop::collection::vec(0..MAX_STREAM_DELAY, 1..20),
        states_age: bool,
    ) {
        let course = Course::new(&changes);
        let mut arrivals = course.on_stream(&delays, states_age);
        arrivals.extend(course.in_replies(&calls, states_age));
        arrivals.sort_by_key(|arrival| arrival.received_at);
        // The stream has the last word, a repeat after the last reply.
        let last_reply = arrivals.iter().map(|arrival| arrival.received_at).max().unwrap_or(0);
        let (change, age) = course.at(last_reply);
        let received_at = last_reply + REPEAT_INTERVAL;
        let report = ReleaseReport::on_stream(course.changes[change].1, STREAM, received_at);
        arrivals.push(Arrival { change, report: report.with_age(age + REPEAT_INTERVAL), received_at });

        let mut order = ReleaseOrder::default();
        let mut in_force: Option<usize> = None;
        for Arrival { change, report, .. } in arrivals {
            let cap_in_force = in_force.map(|index| course.changes[index].1.cap);
            if order.admits(report) {
                let raises_cap = cap_in_force.is_some_and(|cap| report.status().cap > cap);
                prop_assert!(
                    !raises_cap || in_force.is_none_or(|index| change >= index),
                    "change {change} raised the cap over {in_force:?}"
                );
                in_force = Some(change);
            }
        }
        prop_assert_eq!(in_force, Some(course.changes.len() - 1));
    }
}
