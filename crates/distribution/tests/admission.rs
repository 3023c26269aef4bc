//! Admission: however many call at once, and whoever calls out of turn, all are served at the stated rate.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use violetseam_distribution::Micros;
use violetseam_distribution::admission::{Admission, AdmissionDecision, AdmissionLimits};

const SECOND: Micros = 1_000_000;
const FLEET: usize = 4_700;
const RATE: u32 = 50;

/// One caller of a simulated fleet.
#[derive(Clone, Default)]
struct Caller {
    calls: u32,
    served_at: Option<Micros>,
}

/// Calls in simulated time: each caller comes back when it was told, later by its own delay.
struct Fleet {
    admission: Admission,
    callers: BTreeMap<String, Caller>,
    agenda: BTreeSet<(Micros, String)>,
    served: Vec<Micros>,
}

impl Fleet {
    fn new(limits: AdmissionLimits) -> Fleet {
        Fleet {
            admission: Admission::new(limits),
            callers: BTreeMap::new(),
            agenda: BTreeSet::new(),
            served: Vec::new(),
        }
    }

    fn call_at(&mut self, at: Micros, name: &str) {
        self.callers.entry(name.to_owned()).or_default();
        self.agenda.insert((at, name.to_owned()));
    }

    /// Plays all calls, `delay` after the time told; returns when the last caller was served.
    fn play(&mut self, mut delay: impl FnMut(&str, u32) -> Micros) -> Micros {
        while let Some((now, name)) = self.agenda.pop_first() {
            let caller = self.callers.get_mut(&name).unwrap();
            caller.calls += 1;
            assert!(caller.calls < 100, "{name} calls without end");
            match self.admission.request(now, &name) {
                AdmissionDecision::Admit => {
                    caller.served_at = Some(now);
                    self.served.push(now);
                }
                AdmissionDecision::RetryAfter(wait) => {
                    let at = now + wait + delay(&name, caller.calls);
                    self.agenda.insert((at, name));
                }
            }
        }
        self.served.iter().copied().max().unwrap_or(0)
    }

    /// The most snapshots served within any span of this length.
    fn most_within(&self, span: Micros) -> usize {
        let mut recent: VecDeque<Micros> = VecDeque::new();
        let mut most = 0;
        for at in &self.served {
            recent.push_back(*at);
            while recent.front().is_some_and(|first| first + span < *at) {
                recent.pop_front();
            }
            most = most.max(recent.len());
        }
        most
    }
}

#[test]
fn a_whole_fleet_that_calls_at_once_is_served_at_the_rate_each_on_its_second_call() {
    let mut fleet = Fleet::new(AdmissionLimits::per_second(RATE));
    for index in 0..FLEET {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let last = fleet.play(|_, _| 0);
    assert_eq!(fleet.served.len(), FLEET);
    let span = FLEET as Micros * SECOND / Micros::from(RATE);
    assert!(last - SECOND <= span, "the last after {} us, {span} are enough", last - SECOND);
    assert!(fleet.callers.values().all(|caller| caller.calls <= 2));
    assert!(fleet.most_within(SECOND) <= RATE as usize + 1, "{} within a second", fleet.most_within(SECOND));
    assert_eq!(fleet.admission.reserved_slots(), 0);
}

#[test]
fn callers_that_are_late_within_the_grace_are_served_and_the_rate_holds() {
    let limits = AdmissionLimits::per_second(RATE);
    let mut fleet = Fleet::new(limits);
    for index in 0..FLEET {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let mut draw: u64 = 1;
    fleet.play(|_, _| {
        draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (draw >> 33) % AdmissionLimits::GRACE
    });
    assert_eq!(fleet.served.len(), FLEET);
    assert!(fleet.callers.values().all(|caller| caller.calls <= 2));
    let span = 10 * SECOND;
    let most = (span + limits.grace) / limits.interval + 1;
    assert!(fleet.most_within(span) as Micros <= most, "{} within 10 s", fleet.most_within(span));
}

#[test]
fn callers_out_of_turn_gain_nothing_and_take_nothing() {
    let mut fleet = Fleet::new(AdmissionLimits::per_second(RATE));
    for index in 0..FLEET {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    // A hundred more, first in the queue's middle, that call every 50 ms whatever they are told.
    let mut hasty: BTreeMap<String, Micros> = BTreeMap::new();
    for round in 0..2_400 {
        let now = SECOND + 1 + round * 50_000;
        for index in 0..100 {
            let name = format!("hasty-{index}");
            if hasty.contains_key(&name) {
                continue;
            }
            if fleet.admission.request(now, &name) == AdmissionDecision::Admit {
                hasty.insert(name, now);
            }
        }
        // The others call in between, each at its time.
        while fleet.agenda.first().is_some_and(|(at, _)| *at < now + 50_000) {
            let (at, name) = fleet.agenda.pop_first().unwrap();
            let caller = fleet.callers.get_mut(&name).unwrap();
            caller.calls += 1;
            match fleet.admission.request(at, &name) {
                AdmissionDecision::Admit => {
                    caller.served_at = Some(at);
                    fleet.served.push(at);
                }
                AdmissionDecision::RetryAfter(wait) => {
                    fleet.agenda.insert((at + wait, name));
                }
            }
        }
    }
    fleet.served.extend(hasty.values());
    fleet.served.sort_unstable();
    let most = fleet.most_within(SECOND);
    assert!(most <= RATE as usize * 11 / 10, "{most} within a second: those that call early gain by it");
    let all = FLEET as Micros + 100;
    let span = all * SECOND / Micros::from(RATE) + AdmissionLimits::GRACE;
    assert_eq!(hasty.len(), 100, "all of the hasty are served as well");
    for (name, caller) in &fleet.callers {
        let served = caller.served_at.unwrap_or_else(|| panic!("{name} is never served"));
        assert!(served <= SECOND + span, "{name} after {} us", served - SECOND);
        assert!(caller.calls <= 2, "{name} calls {} times", caller.calls);
    }
}

#[test]
fn a_caller_that_comes_too_late_gets_a_new_slot() {
    let limits = AdmissionLimits { interval: SECOND, grace: 2 * SECOND, max_reservations: 8 };
    let mut admission = Admission::new(limits);
    assert_eq!(admission.request(SECOND, "a"), AdmissionDecision::Admit);
    assert_eq!(admission.request(SECOND, "b"), AdmissionDecision::RetryAfter(SECOND));
    assert_eq!(admission.request(SECOND, "c"), AdmissionDecision::RetryAfter(2 * SECOND));
    // At its slot's grace to the microsecond: served.
    assert_eq!(admission.request(4 * SECOND, "b"), AdmissionDecision::Admit);
    // After it: as if it called for the first time, and at once as nobody waits.
    assert_eq!(admission.request(6 * SECOND, "c"), AdmissionDecision::Admit);
    assert_eq!(
        admission.request(6 * SECOND, "c"),
        AdmissionDecision::RetryAfter(SECOND),
        "a second snapshot queues again"
    );
}

#[test]
fn a_publisher_that_stood_still_is_not_flooded_and_serves_all() {
    // Everybody's slot passes while the publisher is stopped for 30 s; then all call together.
    let limits = AdmissionLimits::per_second(RATE);
    let mut fleet = Fleet::new(limits);
    for index in 0..FLEET {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    let resumed = 31 * SECOND;
    let mut first_calls = std::mem::take(&mut fleet.agenda);
    while let Some((now, name)) = first_calls.pop_first() {
        let caller = fleet.callers.get_mut(&name).unwrap();
        caller.calls += 1;
        match fleet.admission.request(now, &name) {
            AdmissionDecision::Admit => fleet.served.push(now),
            AdmissionDecision::RetryAfter(wait) => {
                fleet.agenda.insert(((now + wait).max(resumed), name));
            }
        }
    }
    let last = fleet.play(|_, _| 0);
    assert_eq!(fleet.served.len(), FLEET);
    assert!(fleet.callers.values().all(|caller| caller.calls <= 3));
    let burst = ((SECOND + limits.grace) / limits.interval) as usize + 1;
    assert!(fleet.most_within(SECOND) <= burst, "{} within a second", fleet.most_within(SECOND));
    let span = FLEET as Micros * limits.interval;
    assert!(last <= resumed + span, "the last at {last}");
}

#[test]
fn slots_are_bounded_and_those_beyond_are_served_later() {
    let limits = AdmissionLimits { interval: SECOND / 100, grace: SECOND, max_reservations: 100 };
    let mut fleet = Fleet::new(limits);
    for index in 0..1_000 {
        fleet.call_at(SECOND, &format!("proxy-{index}"));
    }
    while let Some((now, name)) = fleet.agenda.pop_first() {
        assert!(fleet.admission.reserved_slots() <= 100);
        let caller = fleet.callers.get_mut(&name).unwrap();
        caller.calls += 1;
        match fleet.admission.request(now, &name) {
            AdmissionDecision::Admit => caller.served_at = Some(now),
            AdmissionDecision::RetryAfter(wait) => {
                fleet.agenda.insert((now + wait, name));
            }
        }
    }
    assert!(fleet.callers.values().all(|caller| caller.served_at.is_some()));
    assert!(fleet.callers.values().all(|caller| caller.calls <= 1_000 / 100 + 2));
}

proptest! {
    /// Whatever the arrivals and delays: all served, and no span serves more than its slots and one grace.
    #[test]
    fn all_are_served_and_the_rate_holds(
        arrivals in prop::collection::vec(0..20 * SECOND, 1..200),
        delays in prop::collection::vec(0..4 * SECOND, 1..50),
        interval in 1_000..SECOND,
    ) {
        let limits = AdmissionLimits { interval, grace: 2 * SECOND, max_reservations: 1_000 };
        let mut fleet = Fleet::new(limits);
        for (index, at) in arrivals.iter().enumerate() {
            fleet.call_at(*at, &format!("proxy-{index}"));
        }
        // Late on the first three returns only: who is late for ever is served never.
        let mut turn = 0;
        fleet.play(|_, calls| {
            turn += 1;
            if calls <= 3 { delays[turn % delays.len()] } else { 0 }
        });
        prop_assert_eq!(fleet.served.len(), arrivals.len());
        prop_assert!(fleet.callers.values().all(|caller| caller.calls <= 5));
        for span in [0, SECOND, 10 * SECOND] {
            let most = (span + limits.grace) / interval + 2;
            prop_assert!(fleet.most_within(span) as Micros <= most);
        }
    }
}
