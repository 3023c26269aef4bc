//! A simulated fleet that gossips about servers: members that try servers at random, messages that are lost, late
//! and out of order, servers and uplinks that fail, and one that lies.

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
/// Share of the attempts at a healthy server that fail.
const ERRORS: f64 = 0.02;
/// Runs of each kind of which the median is printed.
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

/// Servers in three zones.
fn endpoints(servers: u64) -> Vec<ServerEndpoint> {
    (0..servers).map(|id| ServerEndpoint { id, zone: (id % 3) as u16 }).collect()
}

/// A datagram under way.
#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// An attempt under way.
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
    /// Attempts a second of each member.
    rate: f64,
    loss: f64,
    delay: u64,
    /// By arrival and order of sending.
    network: BTreeMap<(u64, u64), Packet>,
    sent: u64,
    bytes: u64,
    /// By end and order of starting.
    attempts: BTreeMap<(u64, u64), Attempt>,
    order: u64,
    /// Which member cannot reach which server.
    cut: fn(usize, u64) -> bool,
    liar: Option<usize>,
    /// Attempts at servers that could not be reached.
    wasted: u64,
}

impl Fleet {
    fn new(seed: u64, members: usize, servers: u64, rate: f64) -> Fleet {
        let member = |n| {
            let mut member = OutlierGossip::new(0, settings(members, n), 1);
            member.set_servers(&endpoints(servers));
            member
        };
        Fleet {
            rng: Pcg64::seed_from_u64(seed),
            now: 0,
            members: (0..members).map(member).collect(),
            servers,
            rate,
            loss: 0.0,
            delay: 20 * MS,
            network: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            attempts: BTreeMap::new(),
            order: 0,
            cut: |_, _| false,
            liar: None,
            wasted: 0,
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

    /// Polls a member, if it is time. The polls of the members are spread.
    fn send_messages(&mut self, position: usize) {
        if (self.now + position as u64 * STEP) % settings(1, 0).poll_interval >= STEP {
            return;
        }
        let lies = self.liar == Some(position);
        let messages =
            if lies { self.lies(position) } else { self.members[position].poll_messages(self.now) };
        assert!(lies || messages.len() <= settings(1, 0).max_messages_per_poll);
        for message in messages {
            self.send(position, message);
        }
    }

    fn start_attempts(&mut self, position: usize) {
        let mut due = self.rate * STEP as f64 / 1e6;
        while due > 0.0 {
            let tries = self.rng.random::<f64>() < due;
            due -= 1.0;
            if !tries {
                continue;
            }
            let ejected = self.members[position].ejected(self.now);
            let free: Vec<u64> = (0..self.servers).filter(|s| !ejected.contains(s)).collect();
            let server = free[self.rng.random_range(0..free.len())];
            let (outcome, after) = if (self.cut)(position, server) {
                self.wasted += 1;
                (Outcome::Unreachable, 250 * MS)
            } else if self.rng.random::<f64>() < ERRORS {
                (Outcome::Failure, 20 * MS)
            } else {
                (Outcome::Success, 20 * MS)
            };
            self.order += 1;
            self.attempts
                .insert((self.now + after, self.order), Attempt { member: position, server, outcome });
        }
    }

    fn send(&mut self, from: usize, OutgoingMessage { to, payload }: OutgoingMessage) {
        assert!(payload.len() <= MAX_PAYLOAD_BYTES && from != to);
        self.sent += 1;
        self.bytes += payload.len() as u64;
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        self.order += 1;
        let arrival = self.now + self.rng.random_range(MS..=self.delay);
        self.network.insert((arrival, self.order), Packet { from, to, payload });
    }

    /// Each server is bad, with the greatest counts, to everybody, in reports and in lists of ejected servers.
    fn lies(&mut self, n: usize) -> Vec<OutgoingMessage> {
        let mut out = Vec::new();
        for to in (0..self.members.len()).filter(|to| *to != n) {
            for (kind, first) in [(1_u8, 0), (0x81, 0), (1, 18), (0x81, 18)] {
                let ids: Vec<u64> = (first..self.servers).take(18).collect();
                self.order += 1;
                let mut bytes = vec![kind];
                bytes.extend_from_slice(&u64::MAX.to_le_bytes());
                bytes.extend_from_slice(&(self.order as u32).to_le_bytes());
                bytes.push(ids.len() as u8);
                for id in ids {
                    bytes.extend_from_slice(&id.to_le_bytes());
                    bytes.extend_from_slice(&[0, 255, 255, 0]);
                }
                out.push(OutgoingMessage { to, payload: bytes });
            }
        }
        out
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Members that have ejected a server.
    fn avoiding(&self, server: u64) -> usize {
        self.members.iter().filter(|m| m.ejected(self.now).contains(&server)).count()
    }

    /// Runs until so many avoid a server; how long that took.
    fn until_avoided(&mut self, server: u64, members: usize, most: u64) -> Option<u64> {
        let began = self.now;
        while self.avoiding(server) < members {
            if self.now >= began + most {
                return None;
            }
            self.step();
        }
        Some(self.now - began)
    }
}

/// Fifty members with little traffic: each meets a server once in 20 s, as fifty do with a hundred servers.
fn low_traffic_fleet(seed: u64) -> Fleet {
    Fleet::new(seed, 50, 100, 5.0)
}

#[test]
fn a_dead_server_is_avoided_by_most_of_fifty_thin_members_within_seconds_and_used_again_when_it_is_back() {
    for loss in [0.0, 0.05, 0.2, 0.5] {
        let (mut took, mut back, mut wasted, mut traffic) = (Vec::new(), Vec::new(), 0, 0.0);
        for seed in 0..RUNS {
            let mut fleet = low_traffic_fleet(seed);
            fleet.loss = loss;
            fleet.run(5 * SECOND);
            fleet.sent = 0;
            fleet.bytes = 0;
            fleet.cut = |_, server| server == 17;
            took.push(fleet.until_avoided(17, 45, 20 * SECOND).expect("avoided"));
            fleet.wasted = 0;
            fleet.run(3 * SECOND);
            wasted += fleet.wasted;
            traffic +=
                fleet.bytes as f64 / fleet.members.len() as f64 / ((fleet.now - 5 * SECOND) as f64 / 1e6);
            fleet.cut = |_, _| false;
            let began = fleet.now;
            while fleet.avoiding(17) > 5 {
                assert!(fleet.now < began + 20 * SECOND, "not used again");
                fleet.step();
            }
            back.push(fleet.now - began);
        }
        let line = |what: &str, times: &mut Vec<u64>| {
            times.sort_unstable();
            let s = |us: u64| us as f64 / 1e6;
            let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "loss {loss}: {what} after {:.1} s (median of {RUNS}, worst {:.1})",
                s(median),
                s(worst)
            );
            median
        };
        let median = line("avoided by 90%", &mut took);
        line("used again", &mut back);
        let of = |sum: f64| sum / RUNS as f64;
        println!("  {:.1} attempts wasted in the 3 s after", of(wasted as f64));
        println!("  {:.0} bytes a second for each member", of(traffic));
        // Left alone, 7.5 attempts go there in that time.
        assert!(wasted < RUNS * 5, "{wasted}");
        assert!(median <= if loss < 0.5 { 4 * SECOND } else { 8 * SECOND }, "{took:?}");
    }
}

#[test]
fn with_all_messages_lost_nothing_is_ejected() {
    let mut fleet = low_traffic_fleet(3);
    fleet.loss = 1.0;
    fleet.cut = |_, server| server == 17;
    fleet.run(20 * SECOND);
    assert!(fleet.wasted > 25, "{}", fleet.wasted);
    assert!(fleet.members.iter().all(|m| m.ejected(fleet.now).is_empty()));
}

#[test]
fn a_liar_among_ten_has_no_server_ejected() {
    for seed in 0..1_000 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed, 10, rng.random_range(6..40), rng.random_range(1.0..30.0));
        fleet.liar = Some(rng.random_range(0..10));
        fleet.loss = rng.random_range(0.0..0.3);
        fleet.delay = rng.random_range(5 * MS..3 * SECOND);
        for _ in 0..40 {
            fleet.run(5 * STEP);
            for (n, member) in fleet.members.iter().enumerate().filter(|(n, _)| Some(*n) != fleet.liar) {
                assert!(member.ejected(fleet.now).is_empty(), "seed {seed}, member {n}, {} us", fleet.now);
            }
        }
    }
}

#[test]
fn a_member_with_a_broken_uplink_suspects_its_own_uplink_and_ejects_nobody() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 10, 30, 20.0);
        fleet.run(3 * SECOND);
        fleet.cut = |member, _| member == 4;
        for _ in 0..500 {
            fleet.step();
            assert!((0..30).all(|server| fleet.avoiding(server) == 0), "seed {seed}, {} us", fleet.now);
        }
        assert!(fleet.members[4].suspects_own_uplink(fleet.now));
        assert!(!fleet.members[5].suspects_own_uplink(fleet.now));
    }
}

#[test]
fn a_server_dead_for_a_third_of_the_members_stays_in_use_at_the_others() {
    let mut others = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 12, 30, 20.0);
        fleet.run(3 * SECOND);
        fleet.cut = |member, server| member < 4 && server == 7;
        for _ in 0..500 {
            fleet.step();
            others += fleet.members[4..].iter().filter(|m| m.ejected(fleet.now).contains(&7)).count();
        }
    }
    // Four that met it last may all be of the third, at times, until the next one has met it.
    let share = others as f64 / (20.0 * 500.0 * 8.0);
    println!("a server dead for a third: ejected by the others for {:.2}% of the time", share * 100.0);
    assert!(share < 0.02, "{share}");
}

#[test]
fn of_a_lost_zone_no_more_than_the_configured_share_is_ejected() {
    let mut fleet = Fleet::new(9, 20, 30, 20.0);
    fleet.run(3 * SECOND);
    fleet.cut = |_, server| server % 3 == 1;
    let mut most = 0;
    for _ in 0..500 {
        fleet.step();
        let ejected = fleet.members.iter().map(|m| m.ejected(fleet.now));
        let zone = ejected.map(|ids| ids.iter().filter(|id| *id % 3 == 1).count()).max();
        most = most.max(zone.unwrap_or(0));
    }
    // Ten servers a zone, 34 in a hundred of them.
    assert_eq!(most, 3);
}

#[test]
fn old_messages_of_members_killed_at_once_change_nothing() {
    let mut fleet = low_traffic_fleet(11);
    fleet.run(3 * SECOND);
    fleet.cut = |_, server| server == 17;
    fleet.until_avoided(17, 45, 20 * SECOND).expect("avoided");
    let old: Vec<Packet> = fleet.network.values().cloned().collect();
    for n in 0..25 {
        fleet.members[n] = OutlierGossip::new(fleet.now, settings(50, n), 2);
        fleet.members[n].set_servers(&endpoints(fleet.servers));
    }
    // Members that know nothing yet receive the lists again, while messages of earlier incarnations arrive late.
    let took = fleet.until_avoided(17, 45, 10 * SECOND).expect("avoided again");
    println!("half of fifty killed: avoided by 90% again after {:.1} s", took as f64 / 1e6);
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

/// The exact bytes, as members of different versions talk to each other.
#[test]
fn the_layout_of_a_payload_stays() {
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

/// The exact bytes of a collector's list of ejected servers.
#[test]
fn the_layout_of_a_list_of_ejected_servers_stays() {
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
