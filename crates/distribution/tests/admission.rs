//! Tests of admission: all subscribers are admitted at the configured rate, however many call at once and
//! even if some call before their slot.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use violetseam_distribution::Micros;
use violetseam_distribution::admission::{Admission, AdmissionDecision, AdmissionLimits};

const SECOND: Micros = 1_000_000;
const FLEET_SIZE: usize = 4_700;
const SNAPSHOTS_PER_SECOND: u32 = 50;

/// A subscriber in the simulated fleet.
#[derive(Clone, Default)]
struct Caller {
    calls: u32,
    admitted_at: Option<Micros>,
}

/// A simulation of subscribers that request a snapshot. Each one calls again after the wait that it was
/// given, plus a delay of its own.
struct Fleet {
    admission: Admission,
    callers: BTreeMap<String, Caller>,
    scheduled_calls: BTreeSet<(Micros, String)>,
    admitted_times: Vec<Micros>,
}

impl Fleet {
    fn new(limits: AdmissionLimits) -> Fleet {
        Fleet {
            admission: Admission::new(limits),
            callers: BTreeMap::new(),
            scheduled_calls: BTreeSet::new(),
            admitted_times: Vec::new(),
        }
    }

    fn call_at(&mut self, at: Micros, name: &str) {
        self.callers.entry(name.to_owned()).or_default();
        self.scheduled_calls.insert((at, name.to_owned()));
    }

    /// Runs all calls. A repeated call comes `delay` after the wait that it was given. Returns when the last
    /// subscriber was admitted.
    fn run(&mut self, mut delay: impl FnMut(&str, u32) -> Micros) -> Micros {
        while let Some((now, name)) = self.scheduled_calls.pop_first() {
            let caller = self.callers.get_mut(&name).unwrap();
            caller.calls += 1;
            assert!(caller.calls < 100, "{name} is still not admitted after 99 calls");
            match self.admission.request(now, &name) {
                AdmissionDecision::Admit => {
                    caller.admitted_at = Some(now);
                    self.admitted_times.push(now);
                }
                AdmissionDecision::RetryAfter(wait) => {
                    let at = now + wait + delay(&name, caller.calls);
                    self.scheduled_calls.insert((at, name));
                }
            }
        }
        self.admitted_times.iter().copied().max().unwrap_or(0)
    }

    /// Returns the largest number of snapshots admitted within any time span of this length.
    fn max_admitted_within(&self, span: Micros) -> usize {
        let mut recent: VecDeque<Micros> = VecDeque::new();
        let mut max_count = 0;
        for at in &self.admitted_times {
            recent.push_back(*at);
            while recent.front().is_some_and(|first| first + span < *at) {
                recent.pop_front();
            }
            max_count = max_count.max(recent.len());
        }
        max_count
    }
}

#[test]
fn a_fleet_that_calls_at_once_is_admitted_at_the_rate_with_at_most_two_calls_each() {
    let mut fleet = Fleet::new(AdmissionLimits::per_second(SNAPSHOTS_PER_SECOND));
    for index in 0..FLEET_SIZE {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let last = fleet.run(|_, _| 0);
    assert_eq!(fleet.admitted_times.len(), FLEET_SIZE);
    let span = FLEET_SIZE as Micros * SECOND / Micros::from(SNAPSHOTS_PER_SECOND);
    assert!(
        last - SECOND <= span,
        "the last one is admitted after {} us instead of at most {span} us",
        last - SECOND
    );
    assert!(fleet.callers.values().all(|caller| caller.calls <= 2));
    assert!(
        fleet.max_admitted_within(SECOND) <= SNAPSHOTS_PER_SECOND as usize + 1,
        "{} admitted within one second",
        fleet.max_admitted_within(SECOND)
    );
    assert_eq!(fleet.admission.reserved_slots(), 0);
}

#[test]
fn subscribers_that_are_late_within_the_grace_period_are_admitted_at_the_rate() {
    let limits = AdmissionLimits::per_second(SNAPSHOTS_PER_SECOND);
    let mut fleet = Fleet::new(limits);
    for index in 0..FLEET_SIZE {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let mut random_state: u64 = 1;
    fleet.run(|_, _| {
        random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random_state >> 33) % AdmissionLimits::GRACE
    });
    assert_eq!(fleet.admitted_times.len(), FLEET_SIZE);
    assert!(fleet.callers.values().all(|caller| caller.calls <= 2));
    let span = 10 * SECOND;
    let max_admitted = (span + limits.grace) / limits.interval + 1;
    assert!(
        fleet.max_admitted_within(span) as Micros <= max_admitted,
        "{} admitted within 10 s",
        fleet.max_admitted_within(span)
    );
}

#[test]
fn subscribers_that_call_early_gain_nothing_and_delay_nobody() {
    let mut fleet = Fleet::new(AdmissionLimits::per_second(SNAPSHOTS_PER_SECOND));
    for index in 0..FLEET_SIZE {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    // From 1 us after the others, a hundred more subscribers call every 50 ms, whatever wait they are given.
    let mut impatient: BTreeMap<String, Micros> = BTreeMap::new();
    for round in 0..2_400 {
        let now = SECOND + 1 + round * 50_000;
        for index in 0..100 {
            let name = format!("impatient-{index}");
            if impatient.contains_key(&name) {
                continue;
            }
            if fleet.admission.request(now, &name) == AdmissionDecision::Admit {
                impatient.insert(name, now);
            }
        }
        // In between, the other subscribers call, each after the wait that it was given.
        while fleet.scheduled_calls.first().is_some_and(|(at, _)| *at < now + 50_000) {
            let (at, name) = fleet.scheduled_calls.pop_first().unwrap();
            let caller = fleet.callers.get_mut(&name).unwrap();
            caller.calls += 1;
            match fleet.admission.request(at, &name) {
                AdmissionDecision::Admit => {
                    caller.admitted_at = Some(at);
                    fleet.admitted_times.push(at);
                }
                AdmissionDecision::RetryAfter(wait) => {
                    fleet.scheduled_calls.insert((at + wait, name));
                }
            }
        }
    }
    fleet.admitted_times.extend(impatient.values());
    fleet.admitted_times.sort_unstable();
    let max_admitted = fleet.max_admitted_within(SECOND);
    assert!(
        max_admitted <= SNAPSHOTS_PER_SECOND as usize * 11 / 10,
        "{max_admitted} admitted within one second: calling early brings an advantage"
    );
    let subscribers = FLEET_SIZE as Micros + 100;
    let span = subscribers * SECOND / Micros::from(SNAPSHOTS_PER_SECOND) + AdmissionLimits::GRACE;
    assert_eq!(impatient.len(), 100, "all impatient subscribers are admitted as well");
    for (name, caller) in &fleet.callers {
        let admitted_at = caller.admitted_at.unwrap_or_else(|| panic!("{name} is never admitted"));
        assert!(admitted_at <= SECOND + span, "{name} is admitted after {} us", admitted_at - SECOND);
        assert!(caller.calls <= 2, "{name} calls {} times", caller.calls);
    }
}

#[test]
fn a_subscriber_that_returns_too_late_gets_a_new_slot() {
    let limits = AdmissionLimits { interval: SECOND, grace: 2 * SECOND, max_reservations: 8 };
    let mut admission = Admission::new(limits);
    assert_eq!(admission.request(SECOND, "a"), AdmissionDecision::Admit);
    assert_eq!(admission.request(SECOND, "b"), AdmissionDecision::RetryAfter(SECOND));
    assert_eq!(admission.request(SECOND, "c"), AdmissionDecision::RetryAfter(2 * SECOND));
    // At the last microsecond of the grace period the subscriber is admitted.
    assert_eq!(admission.request(4 * SECOND, "b"), AdmissionDecision::Admit);
    // After the grace period the call counts as a first one. It is admitted at once because nobody waits.
    assert_eq!(admission.request(6 * SECOND, "c"), AdmissionDecision::Admit);
    assert_eq!(
        admission.request(6 * SECOND, "c"),
        AdmissionDecision::RetryAfter(SECOND),
        "a request for a second snapshot waits for a new slot"
    );
}

#[test]
fn after_a_pause_of_the_publisher_all_are_admitted_without_a_flood() {
    // All slots expire while the publisher is stopped for 30 s; then all subscribers call at the same time.
    let limits = AdmissionLimits::per_second(SNAPSHOTS_PER_SECOND);
    let mut fleet = Fleet::new(limits);
    for index in 0..FLEET_SIZE {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let resumed = 31 * SECOND;
    let mut first_calls = std::mem::take(&mut fleet.scheduled_calls);
    while let Some((now, name)) = first_calls.pop_first() {
        let caller = fleet.callers.get_mut(&name).unwrap();
        caller.calls += 1;
        match fleet.admission.request(now, &name) {
            AdmissionDecision::Admit => fleet.admitted_times.push(now),
            AdmissionDecision::RetryAfter(wait) => {
                fleet.scheduled_calls.insert(((now + wait).max(resumed), name));
            }
        }
    }
    let last = fleet.run(|_, _| 0);
    assert_eq!(fleet.admitted_times.len(), FLEET_SIZE);
    assert!(fleet.callers.values().all(|caller| caller.calls <= 3));
    let max_burst = ((SECOND + limits.grace) / limits.interval) as usize + 1;
    assert!(
        fleet.max_admitted_within(SECOND) <= max_burst,
        "{} admitted within one second",
        fleet.max_admitted_within(SECOND)
    );
    let span = FLEET_SIZE as Micros * limits.interval;
    assert!(last <= resumed + span, "the last one is admitted at {last} us");
}

#[test]
fn slots_are_bounded_and_further_subscribers_are_admitted_later() {
    let limits = AdmissionLimits { interval: SECOND / 100, grace: SECOND, max_reservations: 100 };
    let mut fleet = Fleet::new(limits);
    for index in 0..1_000 {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    while let Some((now, name)) = fleet.scheduled_calls.pop_first() {
        assert!(fleet.admission.reserved_slots() <= 100);
        let caller = fleet.callers.get_mut(&name).unwrap();
        caller.calls += 1;
        match fleet.admission.request(now, &name) {
            AdmissionDecision::Admit => caller.admitted_at = Some(now),
            AdmissionDecision::RetryAfter(wait) => {
                fleet.scheduled_calls.insert((now + wait, name));
            }
        }
    }
    assert!(fleet.callers.values().all(|caller| caller.admitted_at.is_some()));
    assert!(fleet.callers.values().all(|caller| caller.calls <= 1_000 / 100 + 2));
}

proptest! {
    /// For any arrivals and delays, all subscribers are admitted, and no time span admits more than the slots
    /// in the span plus one grace period.
    #[test]
    fn all_are_admitted_at_the_rate(
        arrivals in prop::collection::vec(0..20 * SECOND, 1..200),
        delays in prop::collection::vec(0..4 * SECOND, 1..50),
        interval in 1_000..SECOND,
    ) {
        let limits = AdmissionLimits { interval, grace: 2 * SECOND, max_reservations: 1_000 };
        let mut fleet = Fleet::new(limits);
        for (index, at) in arrivals.iter().enumerate() {
            fleet.call_at(*at, &format!("proxy-{index}"));
        }
        // Subscribers are late only on their first three returns: one that is always late is never admitted.
        let mut return_count = 0;
        fleet.run(|_, calls| {
            return_count += 1;
            if calls <= 3 { delays[return_count % delays.len()] } else { 0 }
        });
        prop_assert_eq!(fleet.admitted_times.len(), arrivals.len());
        prop_assert!(fleet.callers.values().all(|caller| caller.calls <= 5));
        for span in [0, SECOND, 10 * SECOND] {
            let max_admitted = (span + limits.grace) / interval + 2;
            prop_assert!(fleet.max_admitted_within(span) as Micros <= max_admitted);
        }
    }
}
