//! Checks a model of the lease protocol by breadth-first search. Three members lend and borrow, their clocks
//! drift apart, the network loses, duplicates, delays and reorders messages, and one member may restart. In
//! every state, the sum of all rates must be within the quota.
//!
//! A message stays on the network for ever, so it can arrive now, later, more than once or never. A pause of
//! a member needs no step of its own: the search includes every order of the other members' steps in which
//! the paused member does nothing while its clock continues to run.

use pathfinding::directed::bfs::bfs_reach;
use violetseam_fleet_state::Rate;
use violetseam_fleet_state::quota_leases::{LeaseGrant, LeaseRequest, LeaseSettings, QuotaLeases};

const TICK: u64 = 1_000_000;
const LEASE: u64 = 3 * TICK;
const QUOTA: Rate = 9_000;
const TICKS: u64 = 8;
/// The rate of each member's clock, in percent of true time. The deviations are within the 10% that the
/// settings allow.
const CLOCK_PERCENT: [u64; 3] = [90, 100, 110];

/// A bug that is injected into the model, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The settings state that clocks do not drift.
    NoDrift,
    /// A restarted member spends its lendable quota at once, although its earlier grants may still be valid.
    ForgetsAtRestart,
    /// One member uses a shorter lease duration than the others.
    ShortLease,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    members: [QuotaLeases; 3],
    /// All messages sent so far. They are sorted and without duplicates, so that equal states compare as
    /// equal.
    network: Vec<Packet>,
    requests_left: usize,
    restarts_left: usize,
}

fn settings(position: usize, bug: Bug) -> LeaseSettings {
    let lease_duration = if bug == Bug::ShortLease && position == 0 { LEASE / 2 } else { LEASE };
    let max_drift_ppm = if bug == Bug::NoDrift { 0 } else { 100_000 };
    LeaseSettings {
        members: 3,
        position,
        quota: QUOTA,
        guaranteed_percent: 40,
        lease_duration,
        max_drift_ppm,
        burst: TICK,
    }
}

impl State {
    fn initial(bug: Bug, restarts_left: usize) -> State {
        // The members started so long ago that no lease of an earlier incarnation can be valid.
        let member = |n| QuotaLeases::new(0, settings(n, bug), 1);
        let tick = 10;
        State { tick, members: [0, 1, 2].map(member), network: Vec::new(), requests_left: 2, restarts_left }
    }

    fn local_time(&self, position: usize) -> u64 {
        self.tick * TICK * CLOCK_PERCENT[position] / 100
    }

    fn total_rate(&self) -> Rate {
        (0..3).map(|position| self.members[position].rate(self.local_time(position))).sum()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let packet = Packet { from, to, message };
        if !self.network.contains(&packet) {
            self.network.push(packet);
            self.network.sort();
        }
    }

    /// Returns the states that one step can lead to: a tick, a request, the arrival of a message, or a
    /// restart.
    fn successors(&self, bug: Bug) -> Vec<State> {
        let mut successors = Vec::new();
        let mut add_successor = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            if state != *self {
                successors.push(state);
            }
        };
        if self.tick < 10 + TICKS {
            add_successor(&|state| state.tick += 1);
        }
        for from in 0..3 {
            for to in (0..3).filter(|to| *to != from && self.requests_left > 0) {
                add_successor(&|state| {
                    state.requests_left -= 1;
                    let request = state.members[from].request_from(self.local_time(from), to, QUOTA);
                    state.send(from, to, Message::Request(request));
                });
            }
        }
        for &Packet { from, to, message } in &self.network {
            add_successor(&|state| match message {
                Message::Request(request) => {
                    if let Some(grant) = state.members[to].on_request(self.local_time(to), from, request) {
                        state.send(to, from, Message::Grant(grant));
                    }
                }
                Message::Grant(grant) => state.members[to].on_grant(self.local_time(to), from, grant),
            });
        }
        for position in (0..3).filter(|_| self.restarts_left > 0) {
            add_successor(&|state| {
                state.restarts_left -= 1;
                let now = self.local_time(position);
                let started_at = if bug == Bug::ForgetsAtRestart { now - 2 * LEASE } else { now };
                state.members[position] = QuotaLeases::new(started_at, settings(position, bug), 2);
            });
        }
        successors
    }
}

/// Searches at most `max_states` states. Returns how many were searched, and the first one that exceeds the
/// quota.
fn search(bug: Bug, restarts: usize, max_states: usize) -> (usize, Option<State>) {
    let mut states = 0;
    for state in bfs_reach(State::initial(bug, restarts), |state| state.successors(bug)).take(max_states) {
        states += 1;
        if state.total_rate() > QUOTA {
            return (states, Some(state));
        }
    }
    (states, None)
}

#[test]
fn no_order_of_messages_ticks_and_restarts_exceeds_the_quota() {
    for restarts in [0, 1] {
        let (states, violation) = search(Bug::None, restarts, 400_000);
        println!("{states} states with {restarts} restarts");
        assert!(violation.is_none(), "{violation:#?}");
        assert!(states > 10_000, "{states}");
    }
}

#[test]
fn the_search_finds_injected_bugs() {
    for (bug, restarts) in [(Bug::NoDrift, 0), (Bug::ForgetsAtRestart, 1), (Bug::ShortLease, 0)] {
        let (states, violation) = search(bug, restarts, 400_000);
        println!("{bug:?}: {states} states, {:?}", violation.as_ref().map(State::total_rate));
        assert!(violation.is_some(), "{bug:?} is not found in {states} states");
    }
}
