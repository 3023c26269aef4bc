//! Simulates fleets that gossip about servers: members try servers at random, messages are lost, delayed and
//! reordered, servers and uplinks fail, and one member may send false reports.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use violetseam_fleet_state::OutgoingMessage;
use violetseam_fleet_state::outlier_gossip::{
    GossipSettings, MAX_PAYLOAD_BYTES, Outcome, OutlierGossip, ServerEndpoint,
};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const STEP: u64 = 20 * MS;
/// The share of attempts on a healthy server that fail.
const ERROR_RATE: f64 = 0.02;
/// The number of runs per rate of message loss, of which the median is printed.
const RUNS: u64 = 7;

fn settings(members: usize, position: usize) -> GossipSettings {
    GossipSettings {
        members,
        position,
        observation_window: 2 * SECOND,
        max_observation_age: 10 * SECOND,
        unreachable_threshold: 3,
        failure_threshold: 6,
        max_ejected_percent: 34,
        probe_interval: SECOND,
        poll_interval: 100 * MS,
        max_messages_per_poll: 8,
    }
}

/// Servers that are spread over three zones.
fn endpoints(servers: u64) -> Vec<ServerEndpoint> {
    (0..servers).map(|id| ServerEndpoint { id, zone: (id % 3) as u16 }).collect()
}

/// A datagram in flight.
#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    member: usize,
    server: u64,
    outcome: Outcome,
}

struct Fleet {
    rng: Pcg64,
    now: u64,
    members: Vec<OutlierGossip>,
    servers: u64,
    /// The number of attempts per second of each member.
    attempt_rate: f64,
    /// The share of messages that are lost.
    loss: f64,
    /// The longest delay of a message, in microseconds.
    max_delay: u64,
    /// The messages in flight, by time of arrival and then by sequence number.
    network: BTreeMap<(u64, u64), Packet>,
    sent_messages: u64,
    sent_bytes: u64,
    /// The attempts in flight, by time of their end and then by sequence number.
    attempts: BTreeMap<(u64, u64), Attempt>,
    last_sequence_number: u64,
    /// Whether a member, which is the first argument, cannot reach a server.
    is_cut: fn(usize, u64) -> bool,
    /// The member that sends false reports, if there is one.
    false_reporter: Option<usize>,
    /// The number of attempts on servers that could not be reached.
    wasted_attempts: u64,
}

impl Fleet {
    fn new(seed: u64, members: usize, servers: u64, attempt_rate: f64) -> Fleet {
        let member = |position| {
            let mut member = OutlierGossip::new(0, settings(members, position), 1);
            member.set_servers(&endpoints(servers));
            member
        };
        Fleet {
            rng: Pcg64::seed_from_u64(seed),
            now: 0,
            members: (0..members).map(member).collect(),
            servers,
            attempt_rate,
            loss: 0.0,
            max_delay: 20 * MS,
            network: BTreeMap::new(),
            sent_messages: 0,
            sent_bytes: 0,
            attempts: BTreeMap::new(),
            last_sequence_number: 0,
            is_cut: |_, _| false,
            false_reporter: None,
            wasted_attempts: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.end_attempts();
        self.deliver_messages();
        for position in 0..self.members.len() {
            self.start_attempts(position);
            self.send_messages(position);
        }
    }

    fn end_attempts(&mut self) {
        while let Some(entry) = self.attempts.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let Attempt { member, server, outcome } = entry.remove();
            self.members[member].record_attempt(self.now, server, outcome);
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let Packet { from, to, payload } = entry.remove();
            self.members[to].on_message(self.now, from, &payload);
        }
    }

    /// Polls a member if its poll interval has passed. The polls of the members are spread over the interval.
    fn send_messages(&mut self, position: usize) {
        if (self.now + position as u64 * STEP) % settings(1, 0).poll_interval >= STEP {
            return;
        }
        let sends_false_reports = self.false_reporter == Some(position);
        let messages = if sends_false_reports {
            self.false_messages(position)
        } else {
            self.members[position].poll_messages(self.now)
        };
        assert!(sends_false_reports || messages.len() <= settings(1, 0).max_messages_per_poll);
        for message in messages {
            self.send(position, message);
        }
    }

    fn start_attempts(&mut self, position: usize) {
        let mut expected_attempts = self.attempt_rate * STEP as f64 / 1e6;
        while expected_attempts > 0.0 {
            let starts_attempt = self.rng.random::<f64>() < expected_attempts;
            expected_attempts -= 1.0;
            if !starts_attempt {
                continue;
            }
            let ejected = self.members[position].ejected(self.now);
            let usable: Vec<u64> = (0..self.servers).filter(|s| !ejected.contains(s)).collect();
            let server = usable[self.rng.random_range(0..usable.len())];
            let (outcome, duration) = if (self.is_cut)(position, server) {
                self.wasted_attempts += 1;
                (Outcome::Unreachable, 250 * MS)
            } else if self.rng.random::<f64>() < ERROR_RATE {
                (Outcome::Failure, 20 * MS)
            } else {
                (Outcome::Success, 20 * MS)
            };
            self.last_sequence_number += 1;
            self.attempts.insert(
                (self.now + duration, self.last_sequence_number),
                Attempt { member: position, server, outcome },
            );
        }
    }

    fn send(&mut self, from: usize, OutgoingMessage { to, payload }: OutgoingMessage) {
        assert!(payload.len() <= MAX_PAYLOAD_BYTES && from != to);
        self.sent_messages += 1;
        self.sent_bytes += payload.len() as u64;
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        self.last_sequence_number += 1;
        let arrival = self.now + self.rng.random_range(MS..=self.max_delay);
        self.network.insert((arrival, self.last_sequence_number), Packet { from, to, payload });
    }

    /// Returns messages to all other members in which every server is bad, with the highest counts, as
    /// observations and as lists of ejected servers.
    fn false_messages(&mut self, sender: usize) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for to in (0..self.members.len()).filter(|to| *to != sender) {
            for (kind, first) in [(1_u8, 0), (0x81, 0), (1, 18), (0x81, 18)] {
                let ids: Vec<u64> = (first..self.servers).take(18).collect();
                self.last_sequence_number += 1;
                let mut payload = vec![kind];
                payload.extend_from_slice(&u64::MAX.to_le_bytes());
                payload.extend_from_slice(&(self.last_sequence_number as u32).to_le_bytes());
                payload.push(ids.len() as u8);
                for id in ids {
                    payload.extend_from_slice(&id.to_le_bytes());
                    payload.extend_from_slice(&[0, 255, 255, 0]);
                }
                outgoing.push(OutgoingMessage { to, payload });
            }
        }
        outgoing
    }

    fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the number of members that have ejected a server.
    fn members_ejecting(&self, server: u64) -> usize {
        self.members.iter().filter(|m| m.ejected(self.now).contains(&server)).count()
    }

    /// Runs until this many members have ejected a server. Returns how long that took, or `None` if it took
    /// `max_duration` or longer.
    fn run_until_ejected(&mut self, server: u64, members: usize, max_duration: u64) -> Option<u64> {
        let started_at = self.now;
        while self.members_ejecting(server) < members {
            if self.now >= started_at + max_duration {
                return None;
            }
            self.step();
        }
        Some(self.now - started_at)
    }
}

/// Fifty members with little traffic, and a hundred servers. Each member tries each server once in 20 s on
/// average.
fn low_traffic_fleet(seed: u64) -> Fleet {
    Fleet::new(seed, 50, 100, 5.0)
}

#[test]
fn a_dead_server_is_ejected_by_most_of_fifty_low_traffic_members_and_used_again_after_it_recovers() {
    for loss in [0.0, 0.05, 0.2, 0.5] {
        let (mut ejection_times, mut recovery_times, mut wasted_attempts, mut traffic) =
            (Vec::new(), Vec::new(), 0, 0.0);
        for seed in 0..RUNS {
            let mut fleet = low_traffic_fleet(seed);
            fleet.loss = loss;
            fleet.run(5 * SECOND);
            fleet.sent_messages = 0;
            fleet.sent_bytes = 0;
            fleet.is_cut = |_, server| server == 17;
            ejection_times.push(fleet.run_until_ejected(17, 45, 20 * SECOND).expect("ejected"));
            fleet.wasted_attempts = 0;
            fleet.run(3 * SECOND);
            wasted_attempts += fleet.wasted_attempts;
            traffic += fleet.sent_bytes as f64
                / fleet.members.len() as f64
                / ((fleet.now - 5 * SECOND) as f64 / 1e6);
            fleet.is_cut = |_, _| false;
            let recovered_at = fleet.now;
            while fleet.members_ejecting(17) > 5 {
                assert!(fleet.now < recovered_at + 20 * SECOND, "not used again within 20 s");
                fleet.step();
            }
            recovery_times.push(fleet.now - recovered_at);
        }
        let print_median = |event: &str, times: &mut Vec<u64>| {
            times.sort_unstable();
            let seconds = |us: u64| us as f64 / 1e6;
            let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "loss {loss}: {event} after {:.1} s (median of {RUNS}, worst {:.1})",
                seconds(median),
                seconds(worst)
            );
            median
        };
        let median = print_median("ejected by 90%", &mut ejection_times);
        print_median("used again", &mut recovery_times);
        let mean = |sum: f64| sum / RUNS as f64;
        println!("  {:.1} attempts wasted in the following 3 s", mean(wasted_attempts as f64));
        println!("  {:.0} bytes per second and member", mean(traffic));
        // Without ejection, 7.5 attempts would be made on the server in that time.
        assert!(wasted_attempts < RUNS * 5, "{wasted_attempts}");
        assert!(median <= if loss < 0.5 { 4 * SECOND } else { 8 * SECOND }, "{ejection_times:?}");
    }
}

#[test]
fn no_server_is_ejected_while_all_messages_are_lost() {
    let mut fleet = low_traffic_fleet(3);
    fleet.loss = 1.0;
    fleet.is_cut = |_, server| server == 17;
    fleet.run(20 * SECOND);
    assert!(fleet.wasted_attempts > 25, "{}", fleet.wasted_attempts);
    assert!(fleet.members.iter().all(|m| m.ejected(fleet.now).is_empty()));
}

#[test]
fn false_reports_of_a_single_member_eject_no_server() {
    for seed in 0..1_000 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed, 10, rng.random_range(6..40), rng.random_range(1.0..30.0));
        fleet.false_reporter = Some(rng.random_range(0..10));
        fleet.loss = rng.random_range(0.0..0.3);
        fleet.max_delay = rng.random_range(5 * MS..3 * SECOND);
        for _ in 0..40 {
            fleet.run(5 * STEP);
            for (n, member) in
                fleet.members.iter().enumerate().filter(|(n, _)| Some(*n) != fleet.false_reporter)
            {
                assert!(member.ejected(fleet.now).is_empty(), "seed {seed}, member {n}, {} us", fleet.now);
            }
        }
    }
}

#[test]
fn a_member_with_a_broken_uplink_suspects_its_uplink_and_causes_no_ejection() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 10, 30, 20.0);
        fleet.run(3 * SECOND);
        fleet.is_cut = |member, _| member == 4;
        for _ in 0..500 {
            fleet.step();
            assert!(
                (0..30).all(|server| fleet.members_ejecting(server) == 0),
                "seed {seed}, {} us",
                fleet.now
            );
        }
        assert!(fleet.members[4].suspects_own_uplink(fleet.now));
        assert!(!fleet.members[5].suspects_own_uplink(fleet.now));
    }
}

#[test]
fn a_server_that_a_third_of_the_members_cannot_reach_stays_in_use_at_the_others() {
    let mut ejected_steps = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 12, 30, 20.0);
        fleet.run(3 * SECOND);
        fleet.is_cut = |member, server| member < 4 && server == 7;
        for _ in 0..500 {
            fleet.step();
            ejected_steps += fleet.members[4..].iter().filter(|m| m.ejected(fleet.now).contains(&7)).count();
        }
    }
    // At times, the four members that tried the server most recently all belong to the third that cannot
    // reach it. The others then eject the server until the next of them has tried it.
    let ejected_share = ejected_steps as f64 / (20.0 * 500.0 * 8.0);
    println!(
        "server unreachable for a third: ejected by the others for {:.2}% of the time",
        ejected_share * 100.0
    );
    assert!(ejected_share < 0.02, "{ejected_share}");
}

#[test]
fn of_an_unreachable_zone_at_most_the_configured_share_is_ejected() {
    let mut fleet = Fleet::new(9, 20, 30, 20.0);
    fleet.run(3 * SECOND);
    fleet.is_cut = |_, server| server % 3 == 1;
    let mut max_ejected = 0;
    for _ in 0..500 {
        fleet.step();
        let ejected = fleet.members.iter().map(|m| m.ejected(fleet.now));
        let in_zone = ejected.map(|ids| ids.iter().filter(|id| *id % 3 == 1).count()).max();
        max_ejected = max_ejected.max(in_zone.unwrap_or(0));
    }
    // The zone has ten servers, of which at most 34% are ejected.
    assert_eq!(max_ejected, 3);
}

/// Guards against messages from before a restart: half of the members restart at once while messages of their
/// earlier incarnations are in flight. Such a message must not replace what a later one has reported.
#[test]
fn old_messages_from_before_a_restart_change_nothing() {
    let mut fleet = low_traffic_fleet(11);
    fleet.run(3 * SECOND);
    fleet.is_cut = |_, server| server == 17;
    fleet.run_until_ejected(17, 45, 20 * SECOND).expect("ejected");
    let old: Vec<Packet> = fleet.network.values().cloned().collect();
    for n in 0..25 {
        fleet.members[n] = OutlierGossip::new(fleet.now, settings(50, n), 2);
        fleet.members[n].set_servers(&endpoints(fleet.servers));
    }
    // The restarted members know nothing and receive the lists again, while messages of earlier incarnations
    // arrive.
    let duration = fleet.run_until_ejected(17, 45, 10 * SECOND).expect("ejected again");
    println!("half of fifty restarted: ejected by 90% again after {:.1} s", duration as f64 / 1e6);
    for Packet { from, to, payload } in old {
        let before = fleet.members[to].ejected(fleet.now);
        fleet.members[to].on_message(fleet.now, from, &payload);
        assert_eq!(fleet.members[to].ejected(fleet.now), before);
    }
}

#[test]
fn garbage_changes_nothing() {
    let mut fleet = low_traffic_fleet(2);
    fleet.run(3 * SECOND);
    let mut rng = Pcg64::seed_from_u64(4);
    for _ in 0..50_000 {
        let mut bytes: Vec<u8> = (0..rng.random_range(0..260)).map(|_| rng.random()).collect();
        if let (Some(first), true) = (bytes.first_mut(), rng.random()) {
            *first = if rng.random() { 1 } else { 0x81 };
        }
        fleet.members[0].on_message(fleet.now, rng.random_range(0..60), &bytes);
    }
    assert!(fleet.members[0].ejected(fleet.now).is_empty());
}

/// Members of different versions exchange messages, so the layout must not change.
#[test]
fn the_layout_of_a_payload_is_unchanged() {
    let mut member = OutlierGossip::new(0, settings(2, 0), 0x0102);
    member.set_servers(&endpoints(9));
    member.record_attempt(SECOND, 7, Outcome::Success);
    member.record_attempt(SECOND, 7, Outcome::Unreachable);
    member.record_attempt(SECOND, 7, Outcome::Failure);
    let reported = member.poll_messages(SECOND + 100 * MS);
    let header = [1, 2, 1, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1];
    let entry = [7, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 5];
    let payload = [&header[..], &entry].concat();
    assert_eq!(reported, [OutgoingMessage { to: 1, payload }]);
}

/// Members of different versions exchange lists of ejected servers, so the layout must not change.
#[test]
fn the_layout_of_a_list_of_ejected_servers_is_unchanged() {
    let mut member = OutlierGossip::new(0, settings(4, 0), 1);
    member.set_servers(&endpoints(9));
    for reporter in 1..4_u8 {
        let mut payload = vec![1, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9];
        for server in 0..9 {
            payload.extend([server, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, reporter]);
        }
        member.on_message(SECOND, usize::from(reporter), &payload);
    }
    let lists = member.poll_messages(SECOND + 100 * MS);
    assert_eq!(lists.iter().map(|list| list.to).collect::<Vec<_>>(), [1, 2, 3, 1, 2, 3]);
    let mut expected = vec![0x81, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 5];
    for server in [0, 2, 4, 5, 8] {
        expected.extend([server, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    }
    assert_eq!(lists[0].payload, expected);
}
