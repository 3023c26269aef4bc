//! Random runs of large fleets: messages lost, late by seconds, repeated, out of order; members stopped, killed and started
//! again, cut off for a while; clocks that differ and drift. At no moment may the sum of all rights be over the budget,
//! and over no second may all members together spend more than the budget and one burst of it.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use violetseam_shared::rights::{Ask, Grant, Rate, Rights, Settings};

const STEP: u64 = 20_000;
const SECOND: u64 = 1_000_000;
const LEASE: u64 = 2 * SECOND;
const DRIFT_PPM: u64 = 1_000;
const BURST: u64 = SECOND;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug)]
struct Faults {
    loss: f64,
    /// Longest delay of a message.
    delay: u64,
    /// Whether a third hears nothing for a while, a third is killed, and some stand still past their leases.
    blows: bool,
}

enum Message {
    Ask(Ask),
    Grant(Grant),
}

struct Member {
    rights: Rights,
    /// What its clock shows at the start, and how fast it runs in parts per million.
    offset: u64,
    pace: u64,
    /// Tokens wanted a step, on average.
    want: f64,
    stopped_till: u64,
    cut_till: u64,
}

impl Member {
    fn local(&self, now: u64) -> u64 {
        self.offset + (u128::from(now) * u128::from(self.pace) / 1_000_000) as u64
    }
}

/// What came of a run, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    wanted: u64,
    spent: u64,
    /// What an all-knowing centre could have served.
    could: f64,
    /// The most that was spent in a second.
    most: u64,
}

fn settings(members: usize, position: usize, budget: Rate, floor_percent: u64) -> Settings {
    Settings { members, position, budget, floor_percent, lease: LEASE, drift_ppm: DRIFT_PPM, burst: BURST }
}

/// Plays a fleet; `shares`: whether members ask at all.
fn play(members: usize, seed: u64, span: u64, faults: Faults, shares: bool) -> Seen {
    let mut rng = Pcg64::seed_from_u64(seed);
    // Ten tokens a second for each member; one in ten wants eight times as much as the others.
    let budget = members as Rate * 10_000;
    let rate = |n: usize| if n % 10 == 3 { 32.0 } else { 4.0 };
    let floor = 20;
    assert_eq!(settings(members, 0, budget, floor).fault(), None);
    let mut fleet: Vec<Member> = (0..members)
        .map(|n| {
            let offset = rng.random_range(SECOND..1_000 * SECOND);
            let pace = 1_000_000 + rng.random_range(0..=2 * DRIFT_PPM) - DRIFT_PPM;
            let rights = Rights::new(offset, settings(members, n, budget, floor), rng.random());
            Member { rights, offset, pace, want: rate(n) * 0.02, stopped_till: 0, cut_till: 0 }
        })
        .collect();
    let mut wire: BTreeMap<(u64, u64), (usize, usize, Message)> = BTreeMap::new();
    let (mut number, mut seen) = (0, Seen::default());
    let mut second: VecDeque<u64> = VecDeque::new();
    for step in 1..=span / STEP {
        let now = step * STEP;
        if faults.blows && now == 8 * SECOND {
            (0..members).filter(|n| n % 3 == 1).for_each(|n| fleet[n].cut_till = now + 10 * SECOND);
            (0..members).filter(|n| n % 7 == 2).for_each(|n| fleet[n].stopped_till = now + 3 * SECOND);
        }
        if faults.blows && now == 12 * SECOND {
            for n in (0..members).filter(|n| n % 10 < 3) {
                let (local, life) = (fleet[n].local(now), rng.random());
                fleet[n].rights = Rights::new(local, settings(members, n, budget, floor), life);
            }
        }
        let mut send = |rng: &mut Pcg64, from: usize, to: usize, message: &dyn Fn() -> Message| {
            for _ in 0..if rng.random_bool(0.1) { 2 } else { 1 } {
                if !rng.random_bool(faults.loss) {
                    number += 1;
                    let at = now + rng.random_range(1_000..=faults.delay);
                    wire.insert((at, number), (from, to, message()));
                }
            }
        };
        let mut spent = 0;
        let mut could: f64 = 0.0;
        for (n, member) in fleet.iter_mut().enumerate() {
            could += member.want;
            if member.stopped_till > now {
                continue;
            }
            let local = member.local(now);
            let wants = member.want as u64 + u64::from(rng.random_bool(member.want.fract()));
            seen.wanted += wants;
            spent += (0..wants).filter(|_| member.rights.spend(local)).count() as u64;
            if let Some((to, ask)) = member.rights.ask(local).filter(|_| shares && now >= member.cut_till) {
                send(&mut rng, n, to, &|| Message::Ask(ask));
            }
        }
        while let Some(entry) = wire.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, message) = entry.remove();
            // One that stands still reads it when it goes on; one that is cut off never does.
            if fleet[to].stopped_till > now {
                number += 1;
                wire.insert((fleet[to].stopped_till + 1, number), (from, to, message));
                continue;
            }
            let local = fleet[to].local(now);
            if fleet[to].cut_till > now || fleet[from].cut_till > now {
                continue;
            }
            match message {
                Message::Ask(ask) => {
                    let granted = fleet[to].rights.on_ask(local, from, ask);
                    let mut send = |grant| {
                        number += 1;
                        let at = now + rng.random_range(1_000..=faults.delay);
                        wire.insert((at, number), (to, from, Message::Grant(grant)));
                    };
                    granted.into_iter().for_each(&mut send);
                }
                Message::Grant(grant) => fleet[to].rights.on_grant(local, from, grant),
            }
        }
        let total: Rate = fleet.iter().map(|m| m.rights.rate(m.local(now))).sum();
        assert!(total <= budget, "seed {seed} at {now}: rights of {total} over {budget}");
        seen.spent += spent;
        seen.could += could.min(budget as f64 / 1e3 * 0.02);
        second.push_back(spent);
        if second.len() as u64 > SECOND / STEP {
            second.pop_front();
        }
        let within: u64 = second.iter().sum();
        seen.most = seen.most.max(within);
        // The budget of a second and one burst, which is a second's here.
        assert!(within <= 2 * budget / 1_000, "seed {seed} at {now}: {within} spent in a second");
    }
    seen
}

#[test]
fn three_hundred_members_never_hold_more_than_the_budget() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2), (4, 0.5), (5, 1.0)] {
        let faults = Faults { loss, delay: 3 * SECOND, blows: true };
        let seen = play(300, seed, 25 * SECOND, faults, true);
        println!("loss {loss}: {seen:?}");
        assert!(seen.spent > 0);
    }
}

#[test]
fn small_fleets_never_do_over_many_seeds() {
    for seed in 0..200 {
        let loss = [0.0, 0.05, 0.2, 0.5][seed as usize % 4];
        let delay = [10_000, 300_000, 3 * SECOND][seed as usize % 3];
        play(3 + seed as usize % 8, seed, 25 * SECOND, Faults { loss, delay, blows: true }, true);
    }
}

/// What lending is for: members that want more than their part get what others leave.
#[test]
fn lending_serves_what_static_parts_leave_unspent() {
    for loss in [0.0, 0.05, 0.2, 0.5] {
        let faults = Faults { loss, delay: 50_000, blows: false };
        let [lent, parted] = [true, false].map(|shares| play(50, 11, 30 * SECOND, faults, shares));
        println!("loss {loss}: lent {lent:?}, static {parted:?}");
        assert!(lent.spent as f64 > parted.spent as f64 * if loss > 0.3 { 1.05 } else { 1.15 });
    }
}
