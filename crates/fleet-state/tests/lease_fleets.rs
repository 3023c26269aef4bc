//! Simulates fleets that borrow quota, with random faults: messages are lost, delayed by seconds, duplicated
//! and reordered; members are paused, restarted and partitioned; clocks differ and drift. At no moment may
//! the sum of all rates exceed the quota, and in no second may all members together spend more than the quota
//! plus one burst.

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
/// Ten tokens per second.
const QUOTA_PER_MEMBER: Rate = 10_000;

/// Whether members borrow from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lending {
    Enabled,
    Disabled,
}

/// The faults that a run injects.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The share of messages that are lost.
    loss: f64,
    /// The longest delay of a message, in microseconds.
    max_delay: u64,
    /// Whether a third of the members is partitioned for a while, a third is restarted, and some members are
    /// paused until after their leases have expired.
    has_outages: bool,
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
    /// The time on the member's clock at the start of the run.
    clock_offset: u64,
    /// The rate of the member's clock, in parts per million of true time.
    clock_rate: u64,
    /// The average number of tokens that the member requests per step.
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
    /// The number of tokens that a central limiter with full knowledge could have granted.
    attainable: f64,
    /// The maximum number of tokens spent in one second.
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

/// The number of tokens that a member requests per second. One member in ten requests eight times as many as
/// the others.
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
    /// The messages in flight, by time of arrival and then by number.
    network: BTreeMap<(u64, u64), Packet>,
    last_packet_number: u64,
    /// The number of tokens spent in each step of the last second.
    spent_by_step: VecDeque<u64>,
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
            last_packet_number: 0,
            spent_by_step: VecDeque::new(),
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
        if self.faults.has_outages && self.now == 8 * SECOND {
            self.partition_and_pause();
        }
        if self.faults.has_outages && self.now == 12 * SECOND {
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
                let local_now = member.local_time(self.now);
                member.leases = QuotaLeases::new(local_now, settings(size, position), self.rng.random());
            }
        }
    }

    /// Makes each member spend tokens and send a lease request if it has too few. Returns the number of
    /// tokens spent.
    fn step_members(&mut self) -> u64 {
        let mut spent = 0;
        let mut attainable: f64 = 0.0;
        for position in 0..self.members.len() {
            let member = &mut self.members[position];
            attainable += member.wanted_per_step;
            if member.paused_until > self.now {
                continue;
            }
            let local_now = member.local_time(self.now);
            let whole_tokens = member.wanted_per_step as u64;
            let wanted = whole_tokens + u64::from(self.rng.random_bool(member.wanted_per_step.fract()));
            self.totals.wanted += wanted;
            spent += (0..wanted).filter(|_| member.leases.try_spend(local_now)).count() as u64;
            let request = member.leases.next_request(local_now);
            let may_send = self.lending == Lending::Enabled && self.now >= member.partitioned_until;
            if let Some(addressed) = request.filter(|_| may_send) {
                self.send_over_network(position, addressed.owner, Message::Request(addressed.request));
            }
        }
        self.totals.spent += spent;
        self.totals.attainable += attainable.min(self.quota as f64 / 1e3 * 0.02);
        spent
    }

    /// Sends a message, which may be lost or duplicated.
    fn send_over_network(&mut self, from: usize, to: usize, message: Message) {
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss) {
                self.send(from, to, message);
            }
        }
    }

    /// Sends a message that arrives after a random delay.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let arrival = self.now + self.rng.random_range(1_000..=self.faults.max_delay);
        self.enqueue(arrival, Packet { from, to, message });
    }

    fn enqueue(&mut self, arrival: u64, packet: Packet) {
        self.last_packet_number += 1;
        self.network.insert((arrival, self.last_packet_number), packet);
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let packet = entry.remove();
            // A paused member receives the message when the pause ends. A message from or to a partitioned
            // member is lost.
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
        let local_now = receiver.local_time(self.now);
        match message {
            Message::Request(request) => {
                if let Some(grant) = receiver.leases.on_request(local_now, from, request) {
                    self.send(to, from, Message::Grant(grant));
                }
            }
            Message::Grant(grant) => receiver.leases.on_grant(local_now, from, grant),
        }
    }

    fn check_rates(&self) {
        let total_rate: Rate = self.members.iter().map(|m| m.leases.rate(m.local_time(self.now))).sum();
        let Fleet { seed, now, quota, .. } = self;
        assert!(total_rate <= *quota, "seed {seed} at {now} us: rates sum to {total_rate}, quota is {quota}");
    }

    fn check_spending(&mut self, spent: u64) {
        self.spent_by_step.push_back(spent);
        if self.spent_by_step.len() as u64 > SECOND / STEP {
            self.spent_by_step.pop_front();
        }
        let in_second: u64 = self.spent_by_step.iter().sum();
        self.totals.max_in_second = self.totals.max_in_second.max(in_second);
        let Fleet { seed, now, quota, .. } = self;
        // The bound is the quota of one second plus one burst, which is also the quota of one second here.
        assert!(in_second <= 2 * *quota / 1_000, "seed {seed} at {now} us: {in_second} tokens in a second");
    }
}

#[test]
fn rates_of_three_hundred_members_never_exceed_the_quota() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2), (4, 0.5), (5, 1.0)] {
        let faults = Faults { loss, max_delay: 3 * SECOND, has_outages: true };
        let totals = Fleet::new(300, seed, faults, Lending::Enabled).run(25 * SECOND);
        println!("loss {loss}: {totals:?}");
        assert!(totals.spent > 0);
    }
}

#[test]
fn rates_of_small_fleets_never_exceed_the_quota_over_many_seeds() {
    for seed in 0..200 {
        let loss = [0.0, 0.05, 0.2, 0.5][seed as usize % 4];
        let max_delay = [10_000, 300_000, 3 * SECOND][seed as usize % 3];
        let faults = Faults { loss, max_delay, has_outages: true };
        Fleet::new(3 + seed as usize % 8, seed, faults, Lending::Enabled).run(25 * SECOND);
    }
}

/// Guards the purpose of lending: members that request more than their part of the quota get what others do
/// not use.
#[test]
fn lending_serves_what_static_quotas_leave_unspent() {
    for loss in [0.0, 0.05, 0.2, 0.5] {
        let faults = Faults { loss, max_delay: 50_000, has_outages: false };
        let with_lending = Fleet::new(50, 11, faults, Lending::Enabled).run(30 * SECOND);
        let with_static_quotas = Fleet::new(50, 11, faults, Lending::Disabled).run(30 * SECOND);
        println!("loss {loss}: lending {with_lending:?}, static {with_static_quotas:?}");
        let min_gain = if loss > 0.3 { 1.05 } else { 1.15 };
        assert!(with_lending.spent as f64 > with_static_quotas.spent as f64 * min_gain);
    }
}
