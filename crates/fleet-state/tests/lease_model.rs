//! Model check of the lease protocol, breadth first: three members that lend and borrow, clocks that drift apart, a network
//! that loses, repeats, delays and reorders at will, and one restart. In every state the sum of all rates is within the quota.
//!
//! A message stays on the network for ever: it may arrive now, later, twice or never. A pause of a member needs no step of
//! its own, as every order of the others' steps is searched while its clock goes on.

use pathfinding::directed::bfs::bfs_reach;
use violetseam_fleet_state::Rate;
use violetseam_fleet_state::quota_leases::{LeaseGrant, LeaseRequest, LeaseSettings, QuotaLeases};

const TICK: u64 = 1_000_000;
const LEASE: u64 = 3 * TICK;
const QUOTA: Rate = 9_000;
const TICKS: u64 = 8;
/// What each clock shows of a true tick, in percent: within the 10% that the settings allow for.
const CLOCK_PERCENT: [u64; 3] = [90, 100, 110];

/// Faults injected into the model, to show that the search finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The settings say that clocks do not drift.
    NoDrift,
    /// A restarted member spends its lendable quota at once.
    ForgetsAtRestart,
    /// One member counts shorter leases than the others.
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
    /// Sorted and without duplicates, so that equal states compare equal.
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
    fn start(bug: Bug, restarts_left: usize) -> State {
        // Long ago: no lease of an earlier incarnation can be valid.
        let member = |n| QuotaLeases::new(0, settings(n, bug), 1);
        let tick = 10;
        State { tick, members: [0, 1, 2].map(member), network: Vec::new(), requests_left: 2, restarts_left }
    }

    fn local_time(&self, n: usize) -> u64 {
        self.tick * TICK * CLOCK_PERCENT[n] / 100
    }

    fn total(&self) -> Rate {
        (0..3).map(|n| self.members[n].rate(self.local_time(n))).sum()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let packet = Packet { from, to, message };
        if !self.network.contains(&packet) {
            self.network.push(packet);
            self.network.sort();
        }
    }

    fn next(&self, bug: Bug) -> Vec<State> {
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
        for n in (0..3).filter(|_| self.restarts_left > 0) {
            add_successor(&|state| {
                state.restarts_left -= 1;
                let now = self.local_time(n);
                let began = if bug == Bug::ForgetsAtRestart { now - 2 * LEASE } else { now };
                state.members[n] = QuotaLeases::new(began, settings(n, bug), 2);
            });
        }
        successors
    }
}

/// Searches at most `max_states` states; how many were searched, and the first one that exceeds the quota.
fn search(bug: Bug, restarts: usize, max_states: usize) -> (usize, Option<State>) {
    let mut states = 0;
    for state in bfs_reach(State::start(bug, restarts), |state| state.next(bug)).take(max_states) {
        states += 1;
        if state.total() > QUOTA {
            return (states, Some(state));
        }
    }
    (states, None)
}

#[test]
fn no_order_of_messages_ticks_and_restarts_exceeds_the_quota() {
    for restarts in [0, 1] {
        let (states, over) = search(Bug::None, restarts, 400_000);
        println!("{states} states with {restarts} restarts");
        assert!(over.is_none(), "{over:#?}");
        assert!(states > 10_000, "{states}");
    }
}

#[test]
fn the_search_finds_injected_faults() {
    for (bug, restarts) in [(Bug::NoDrift, 0), (Bug::ForgetsAtRestart, 1), (Bug::ShortLease, 0)] {
        let (states, over) = search(bug, restarts, 400_000);
        println!("{bug:?}: {states} states, {:?}", over.as_ref().map(State::total));
        assert!(over.is_some(), "{bug:?} is not found in {states} states");
    }
}
