//! Random runs of large fleets: messages lost, late by seconds, repeated, out of order; members paused, killed and started
//! again, partitioned for a while; clocks that differ and drift. At no moment may the sum of all rates exceed the quota,
//! and over no second may all members together spend more than the quota and one burst of it.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use violetseam_fleet_state::Rate;
use violetseam_fleet_state::quota_leases::{LeaseGrant, LeaseRequest, LeaseSettings, QuotaLeases};

const STEP: u64 = 20_000;
const SECOND: u64 = 1_000_000;
const LEASE: u64 = 2 * SECOND;
const DRIFT_PPM: u64 = 1_000;
const BURST: u64 = SECOND;
const GUARANTEED_PERCENT: u64 = 20;
/// Ten tokens a second.
const QUOTA_PER_MEMBER: Rate = 10_000;

/// Whether members borrow from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lending {
    Enabled,
    Disabled,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Share of messages that are lost.
    loss: f64,
    /// Longest delay of a message.
    delay: u64,
    /// Whether a third is partitioned for a while, a third is killed, and some are paused past their leases.
    outages: bool,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

struct Member {
    leases: QuotaLeases,
    /// What its clock shows at the start.
    clock_offset: u64,
    /// How fast its clock runs, in parts per million.
    clock_rate: u64,
    /// Tokens wanted a step, on average.
    wanted_per_step: f64,
    paused_until: u64,
    partitioned_until: u64,
}

impl Member {
    fn local_time(&self, now: u64) -> u64 {
        self.clock_offset + (u128::from(now) * u128::from(self.clock_rate) / 1_000_000) as u64
    }
}

/// The results of a run, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    wanted: u64,
    spent: u64,
    /// What an omniscient central limiter could have served.
    attainable: f64,
    /// The most that was spent in a second.
    max_in_second: u64,
}

fn settings(members: usize, position: usize) -> LeaseSettings {
    LeaseSettings {
        members,
        position,
        quota: members as Rate * QUOTA_PER_MEMBER,
        guaranteed_percent: GUARANTEED_PERCENT,
        lease_duration: LEASE,
        max_drift_ppm: DRIFT_PPM,
        burst: BURST,
    }
}

/// Tokens that a member wants a second: one in ten wants eight times as much as the others.
fn wanted_per_second(position: usize) -> f64 {
    if position % 10 == 3 { 32.0 } else { 4.0 }
}

struct Fleet {
    rng: Pcg64,
    seed: u64,
    now: u64,
    faults: Faults,
    lending: Lending,
    quota: Rate,
    members: Vec<Member>,
    /// By arrival and order of sending.
    network: BTreeMap<(u64, u64), Packet>,
    last_packet: u64,
    /// What was spent in each step of the last second.
    last_second: VecDeque<u64>,
    totals: Totals,
}

impl Fleet {
    fn new(size: usize, seed: u64, faults: Faults, lending: Lending) -> Fleet {
        assert_eq!(settings(size, 0).validate(), Ok(()));
        let mut rng = Pcg64::seed_from_u64(seed);
        let members = (0..size).map(|position| Fleet::member(&mut rng, size, position)).collect();
        Fleet {
            rng,
            seed,
            now: 0,
            faults,
            lending,
            quota: size as Rate * QUOTA_PER_MEMBER,
            members,
            network: BTreeMap::new(),
            last_packet: 0,
            last_second: VecDeque::new(),
            totals: Totals::default(),
        }
    }

    fn member(rng: &mut Pcg64, size: usize, position: usize) -> Member {
        let clock_offset = rng.random_range(SECOND..1_000 * SECOND);
        let clock_rate = 1_000_000 + rng.random_range(0..=2 * DRIFT_PPM) - DRIFT_PPM;
        Member {
            leases: QuotaLeases::new(clock_offset, settings(size, position), rng.random()),
            clock_offset,
            clock_rate,
            wanted_per_step: wanted_per_second(position) * 0.02,
            paused_until: 0,
            partitioned_until: 0,
        }
    }

    fn run(mut self, duration: u64) -> Totals {
        for _ in 0..duration / STEP {
            self.now += STEP;
            self.inject_outages();
            let spent = self.step_members();
            self.deliver_messages();
            self.check_rates();
            self.check_spending(spent);
        }
        self.totals
    }

    fn inject_outages(&mut self) {
        if self.faults.outages && self.now == 8 * SECOND {
            self.partition_and_pause();
        }
        if self.faults.outages && self.now == 12 * SECOND {
            self.restart_members();
        }
    }

    fn partition_and_pause(&mut self) {
        for (position, member) in self.members.iter_mut().enumerate() {
            if position % 3 == 1 {
                member.partitioned_until = self.now + 10 * SECOND;
            }
            if position % 7 == 2 {
                member.paused_until = self.now + 3 * SECOND;
            }
        }
    }

    fn restart_members(&mut self) {
        let size = self.members.len();
        for (position, member) in self.members.iter_mut().enumerate() {
            if position % 10 < 3 {
                let local = member.local_time(self.now);
                member.leases = QuotaLeases::new(local, settings(size, position), self.rng.random());
            }
        }
    }

    /// Each member spends what it wants and requests what it lacks; the tokens spent.
    fn step_members(&mut self) -> u64 {
        let mut spent = 0;
        let mut attainable: f64 = 0.0;
        for position in 0..self.members.len() {
            let member = &mut self.members[position];
            attainable += member.wanted_per_step;
            if member.paused_until > self.now {
                continue;
            }
            let local = member.local_time(self.now);
            let whole = member.wanted_per_step as u64;
            let wanted = whole + u64::from(self.rng.random_bool(member.wanted_per_step.fract()));
            self.totals.wanted += wanted;
            spent += (0..wanted).filter(|_| member.leases.try_spend(local)).count() as u64;
            let request = member.leases.next_request(local);
            let may_send = self.lending == Lending::Enabled && self.now >= member.partitioned_until;
            if let Some(addressed) = request.filter(|_| may_send) {
                self.send_over_network(position, addressed.owner, Message::Request(addressed.request));
            }
        }
        self.totals.spent += spent;
        self.totals.attainable += attainable.min(self.quota as f64 / 1e3 * 0.02);
        spent
    }

    /// Sends a message that may be lost or duplicated.
    fn send_over_network(&mut self, from: usize, to: usize, message: Message) {
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss) {
                self.send(from, to, message);
            }
        }
    }

    /// Sends a message that arrives.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let arrival = self.now + self.rng.random_range(1_000..=self.faults.delay);
        self.enqueue(arrival, Packet { from, to, message });
    }

    fn enqueue(&mut self, arrival: u64, packet: Packet) {
        self.last_packet += 1;
        self.network.insert((arrival, self.last_packet), packet);
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let packet = entry.remove();
            // A paused member reads it when it goes on; a partitioned one never does.
            let paused_until = self.members[packet.to].paused_until;
            if paused_until > self.now {
                self.enqueue(paused_until + 1, packet);
                continue;
            }
            let is_partitioned = |position: usize| self.members[position].partitioned_until > self.now;
            if !is_partitioned(packet.to) && !is_partitioned(packet.from) {
                self.deliver(packet);
            }
        }
    }

    fn deliver(&mut self, Packet { from, to, message }: Packet) {
        let receiver = &mut self.members[to];
        let local = receiver.local_time(self.now);
        match message {
            Message::Request(request) => {
                if let Some(grant) = receiver.leases.on_request(local, from, request) {
                    self.send(to, from, Message::Grant(grant));
                }
            }
            Message::Grant(grant) => receiver.leases.on_grant(local, from, grant),
        }
    }

    fn check_rates(&self) {
        let total: Rate = self.members.iter().map(|m| m.leases.rate(m.local_time(self.now))).sum();
        let Fleet { seed, now, quota, .. } = self;
        assert!(total <= *quota, "seed {seed} at {now}: rates of {total} over {quota}");
    }

    fn check_spending(&mut self, spent: u64) {
        self.last_second.push_back(spent);
        if self.last_second.len() as u64 > SECOND / STEP {
            self.last_second.pop_front();
        }
        let in_second: u64 = self.last_second.iter().sum();
        self.totals.max_in_second = self.totals.max_in_second.max(in_second);
        let Fleet { seed, now, quota, .. } = self;
        // The quota of a second and one burst, which is a second's here.
        assert!(in_second <= 2 * *quota / 1_000, "seed {seed} at {now}: {in_second} spent in a second");
    }
}

#[test]
fn rates_of_three_hundred_members_never_exceed_the_quota() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2), (4, 0.5), (5, 1.0)] {
        let faults = Faults { loss, delay: 3 * SECOND, outages: true };
        let totals = Fleet::new(300, seed, faults, Lending::Enabled).run(25 * SECOND);
        println!("loss {loss}: {totals:?}");
        assert!(totals.spent > 0);
    }
}

#[test]
fn rates_of_small_fleets_never_exceed_the_quota_over_many_seeds() {
    for seed in 0..200 {
        let loss = [0.0, 0.05, 0.2, 0.5][seed as usize % 4];
        let delay = [10_000, 300_000, 3 * SECOND][seed as usize % 3];
        let faults = Faults { loss, delay, outages: true };
        Fleet::new(3 + seed as usize % 8, seed, faults, Lending::Enabled).run(25 * SECOND);
    }
}

/// The purpose of lending: members that want more than their part get what others leave.
#[test]
fn lending_serves_what_static_quotas_leave_unspent() {
    for loss in [0.0, 0.05, 0.2, 0.5] {
        let faults = Faults { loss, delay: 50_000, outages: false };
        let with_lending = Fleet::new(50, 11, faults, Lending::Enabled).run(30 * SECOND);
        let with_static_quotas = Fleet::new(50, 11, faults, Lending::Disabled).run(30 * SECOND);
        println!("loss {loss}: lending {with_lending:?}, static {with_static_quotas:?}");
        let min_gain = if loss > 0.3 { 1.05 } else { 1.15 };
        assert!(with_lending.spent as f64 > with_static_quotas.spent as f64 * min_gain);
    }
}
