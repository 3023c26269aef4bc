//! All orders of a small world: three members that lend and borrow, clocks that drift apart, a network that loses, repeats,
//! delays and reorders at will, and one restart. In every state the sum of what all may spend is within the budget.
//!
//! A message stays on the wire for ever: it may arrive now, later, twice or never. That a member stands still needs no
//! step of its own, as every order of the others' steps is searched while its clock goes on.

use pathfinding::directed::bfs::bfs_reach;
use violetseam_shared::rights::{Ask, Grant, Rate, Rights, Settings};

const TICK: u64 = 1_000_000;
const LEASE: u64 = 3 * TICK;
const BUDGET: Rate = 9_000;
const TICKS: u64 = 8;
/// What each clock shows of a true tick, in percent: within the 10% that the settings allow for.
const PACE: [u64; 3] = [90, 100, 110];

/// Mistakes that are planted to see that the search finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The settings say that clocks do not drift.
    NoDrift,
    /// A new life spends its lot at once.
    ForgetsAtRestart,
    /// One member counts shorter leases than the others.
    ShortLease,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask(Ask),
    Grant(Grant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u64,
    members: [Rights; 3],
    /// Sender, receiver, message.
    wire: Vec<(usize, usize, Message)>,
    asks_left: usize,
    restarts_left: usize,
}

fn settings(position: usize, bug: Bug) -> Settings {
    let lease = if bug == Bug::ShortLease && position == 0 { LEASE / 2 } else { LEASE };
    let drift_ppm = if bug == Bug::NoDrift { 0 } else { 100_000 };
    Settings { members: 3, position, budget: BUDGET, floor_percent: 40, lease, drift_ppm, burst: TICK }
}

impl World {
    fn start(bug: Bug, restarts_left: usize) -> World {
        // Long ago: no lease of an earlier life can stand.
        let member = |n| Rights::new(0, settings(n, bug), 1);
        let tick = 10;
        World { tick, members: [0, 1, 2].map(member), wire: Vec::new(), asks_left: 2, restarts_left }
    }

    fn local(&self, n: usize) -> u64 {
        self.tick * TICK * PACE[n] / 100
    }

    fn total(&self) -> Rate {
        (0..3).map(|n| self.members[n].rate(self.local(n))).sum()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.wire.contains(&(from, to, message)) {
            self.wire.push((from, to, message));
            self.wire.sort();
        }
    }

    fn next(&self, bug: Bug) -> Vec<World> {
        let mut worlds = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            if world != *self {
                worlds.push(world);
            }
        };
        if self.tick < 10 + TICKS {
            step(&|w| w.tick += 1);
        }
        for from in 0..3 {
            for to in (0..3).filter(|to| *to != from && self.asks_left > 0) {
                step(&|w| {
                    w.asks_left -= 1;
                    let ask = w.members[from].ask_of(self.local(from), to, BUDGET);
                    w.send(from, to, Message::Ask(ask));
                });
            }
        }
        for &(from, to, message) in &self.wire {
            step(&|w| match message {
                Message::Ask(ask) => {
                    if let Some(grant) = w.members[to].on_ask(self.local(to), from, ask) {
                        w.send(to, from, Message::Grant(grant));
                    }
                }
                Message::Grant(grant) => w.members[to].on_grant(self.local(to), from, grant),
            });
        }
        for n in (0..3).filter(|_| self.restarts_left > 0) {
            step(&|w| {
                w.restarts_left -= 1;
                let now = self.local(n);
                let began = if bug == Bug::ForgetsAtRestart { now - 2 * LEASE } else { now };
                w.members[n] = Rights::new(began, settings(n, bug), 2);
            });
        }
        worlds
    }
}

/// Searches; how many states there were and the first that is over the budget.
fn search(bug: Bug, restarts: usize, most: usize) -> (usize, Option<World>) {
    let mut states = 0;
    for world in bfs_reach(World::start(bug, restarts), |w| w.next(bug)).take(most) {
        states += 1;
        if world.total() > BUDGET {
            return (states, Some(world));
        }
    }
    (states, None)
}

#[test]
fn no_order_of_messages_ticks_and_restarts_gives_more_than_the_budget() {
    for restarts in [0, 1] {
        let (states, over) = search(Bug::None, restarts, 400_000);
        println!("{states} states with {restarts} restarts");
        assert!(over.is_none(), "{over:#?}");
        assert!(states > 10_000, "{states}");
    }
}

#[test]
fn the_search_finds_mistakes_that_are_planted() {
    for (bug, restarts) in [(Bug::NoDrift, 0), (Bug::ForgetsAtRestart, 1), (Bug::ShortLease, 0)] {
        let (states, over) = search(bug, restarts, 400_000);
        println!("{bug:?}: {states} states, {:?}", over.as_ref().map(World::total));
        assert!(over.is_some(), "{bug:?} is not found in {states} states");
    }
}
