//! A fleet of hundreds of balancers with sparse traffic. What each balancer may do on its own must stay
//! bounded for the whole fleet.

mod common;
use common::*;
use std::collections::BTreeMap;
use violetseam::balancer::Balancer;
use violetseam::evidence::{Arm, Evidence, EvidencePool, GossipHeader, Histogram, Sample, decode, encode};
use violetseam::interface::*;
use violetseam::state::RandomSource;

const FLEET: usize = 300;

fn fleet_settings(position: usize) -> Settings {
    let mut settings = settings();
    settings.fleet_size = FLEET;
    settings.position = position;
    settings.limits.gossip = true;
    settings
}

/// What a fleet did during a simulation.
#[derive(Default)]
struct FleetResult {
    /// For each attempt: the time since the start, the position of the balancer and the server.
    sends: Vec<(Micros, usize, ServerId)>,
    votes: BTreeMap<usize, Vec<Verdict>>,
    /// Number of messages and bytes delivered to each balancer.
    received: BTreeMap<usize, (usize, usize)>,
    requests: usize,
}

/// A gossip message on its way to a balancer.
struct Message {
    due: Micros,
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// An attempt in flight and how it will end.
struct PendingEnd {
    due: Micros,
    balancer: usize,
    request: RequestId,
    server: ServerId,
    outcome: Outcome,
}

const START: Micros = 100 * S;
const ROUND: Micros = 20 * MS;
const LATENCY: Micros = 60 * MS;

/// A fleet of balancers, the messages between them and their attempts in flight.
struct Simulation<F> {
    fleet: Vec<Balancer>,
    random: RandomSource,
    messages: Vec<Message>,
    pending_ends: Vec<PendingEnd>,
    next_request: RequestId,
    now: Micros,
    messages_lost: bool,
    outcome_of: F,
    result: FleetResult,
}

impl<F: Fn(ServerId, u64) -> Outcome> Simulation<F> {
    fn new(entries: &[ServerEntry], release: ReleaseStatus, messages_lost: bool, outcome_of: F) -> Self {
        let balancer = |position| Balancer::new(fleet_settings(position), 1 + position as u64);
        let mut fleet: Vec<Balancer> = (0..FLEET).map(balancer).collect();
        for balancer in &mut fleet {
            balancer.on_event(START, Event::ServerList { kind: ListKind::Cached, entries }, &mut Vec::new());
            balancer.on_event(START, Event::Release(release), &mut Vec::new());
        }
        Simulation {
            fleet,
            random: RandomSource(5),
            messages: Vec::new(),
            pending_ends: Vec::new(),
            next_request: 1,
            now: START,
            messages_lost,
            outcome_of,
            result: FleetResult::default(),
        }
    }

    fn round(&mut self, requests_per_s: f64) {
        self.now += ROUND;
        let now = self.now;
        let (due_messages, later_messages): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|message| message.due <= now);
        self.messages = later_messages;
        let (due_ends, later_ends): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_ends).into_iter().partition(|end| end.due <= now);
        self.pending_ends = later_ends;
        for position in 0..FLEET {
            let mut actions = Vec::new();
            for message in due_messages.iter().filter(|message| message.to == position) {
                self.deliver(message, &mut actions);
            }
            for end in due_ends.iter().filter(|end| end.balancer == position) {
                self.end_attempt(end, &mut actions);
            }
            self.fleet[position].on_event(now, Event::Timer { token: 0 }, &mut actions);
            if self.random.unit() < requests_per_s * 0.02 {
                self.request(position, &mut actions);
            }
            for action in actions {
                self.apply_action(position, action);
            }
        }
    }

    fn deliver(&mut self, message: &Message, actions: &mut Vec<Action>) {
        let received = self.result.received.entry(message.to).or_default();
        received.0 += 1;
        received.1 += message.payload.len();
        let event = Event::PeerMessage { from: message.from, payload: &message.payload };
        self.fleet[message.to].on_event(self.now, event, actions);
    }

    fn end_attempt(&mut self, end: &PendingEnd, actions: &mut Vec<Action>) {
        let &PendingEnd { balancer, request, server, outcome, .. } = end;
        let finishes_request = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, server, outcome, elapsed: LATENCY, finishes_request };
        self.fleet[balancer].on_event(self.now, Event::AttemptEnded(end), actions);
    }

    fn request(&mut self, position: usize, actions: &mut Vec<Action>) {
        let id = self.next_request;
        let class = (id % 3) as usize;
        let request = Request { id, deadline: self.now + 1_200 * MS, class, ..Request::default() };
        self.next_request += 1;
        self.result.requests += 1;
        self.fleet[position].on_event(self.now, Event::Request(request), actions);
    }

    fn apply_action(&mut self, position: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { request, server, .. } => {
                self.result.sends.push((now - START, position, server));
                let outcome = (self.outcome_of)(server, request);
                let due = now + LATENCY;
                self.pending_ends.push(PendingEnd { due, balancer: position, request, server, outcome });
            }
            Action::Vote { verdict, .. } => {
                self.result.votes.entry(position).or_default().push(verdict);
                let reply = Event::VoteReply { outcome: Outcome::Ok, release: None };
                self.fleet[position].on_event(now, reply, &mut Vec::new());
            }
            Action::GossipToPeer { to, payload } if !self.messages_lost => {
                self.messages.push(Message { due: now + ROUND, from: position, to, payload });
            }
            Action::GossipToAll { payload } if !self.messages_lost => {
                let others = (0..FLEET).filter(|&to| to != position);
                let message = |to| Message { due: now + ROUND, from: position, to, payload: payload.clone() };
                self.messages.extend(others.map(message));
            }
            _ => {}
        }
    }
}

/// Simulates `span` of sparse traffic. Each balancer gets about `requests_per_s` requests per second, each
/// attempt ends with the outcome that `outcome_of` returns, and messages arrive 20 ms after they are sent
/// unless `messages_lost`.
fn simulate(
    entries: &[ServerEntry],
    release: ReleaseStatus,
    requests_per_s: f64,
    span: Micros,
    messages_lost: bool,
    outcome_of: impl Fn(ServerId, u64) -> Outcome,
) -> FleetResult {
    let mut simulation = Simulation::new(entries, release, messages_lost, outcome_of);
    while simulation.now < START + span {
        simulation.round(requests_per_s);
    }
    simulation.result
}

fn ok(_: ServerId, _: u64) -> Outcome {
    Outcome::Ok
}

fn voters(result: &FleetResult, verdict: Verdict) -> usize {
    result.votes.values().filter(|votes| votes.contains(&verdict)).count()
}

/// Guards against gossip whose volume grows with the square of the fleet size, as it would if each balancer
/// sent its counters to every peer.
#[test]
fn gossip_received_by_a_balancer_does_not_grow_with_the_fleet() {
    let result =
        simulate(&server_list(30, 6), release_status(2, 1, Phase::Trial, 0.5), 4.0, 8 * S, false, ok);
    let mut bytes: Vec<usize> = result.received.values().map(|received| received.1).collect();
    bytes.sort_unstable();
    // Whatever the size of the fleet, each balancer receives the totals of three aggregators every 0.8 s, at
    // most 256 bytes each.
    assert!(bytes[FLEET / 2] <= 8 * 3 * 2 * 256, "the median balancer received {} bytes", bytes[FLEET / 2]);
    let aggregators = result.received.values().filter(|received| received.0 > 200).count();
    assert!((1..=3).contains(&aggregators), "{aggregators} balancers receive messages from all others");
}

/// Guards against a stage that never ends because each balancer alone has only a few attempts as evidence.
#[test]
fn with_sparse_traffic_more_than_half_of_the_balancers_vote_to_promote_a_good_build() {
    let result =
        simulate(&server_list(30, 10), release_status(2, 1, Phase::Trial, 0.5), 3.0, 8 * S, false, ok);
    assert!(
        voters(&result, Verdict::Promote) > FLEET / 2,
        "{} balancers vote to promote",
        voters(&result, Verdict::Promote)
    );
    assert_eq!(voters(&result, Verdict::RollBack), 0);
}

#[test]
fn with_sparse_traffic_a_failing_build_is_rolled_back_and_nobody_votes_to_promote_it() {
    let failing_build = |to, id| if to >= 100 && id % 8 == 0 { Outcome::Error } else { Outcome::Ok };
    let result = simulate(
        &server_list(30, 10),
        release_status(2, 1, Phase::Trial, 0.5),
        3.0,
        10 * S,
        false,
        failing_build,
    );
    assert!(
        voters(&result, Verdict::RollBack) > FLEET / 2,
        "{} balancers vote to roll back",
        voters(&result, Verdict::RollBack)
    );
    assert_eq!(voters(&result, Verdict::Promote), 0);
}

/// Guards against rolling a build back because of a few failing servers, when servers of both builds fail
/// alike.
#[test]
fn with_sparse_traffic_a_few_failing_servers_do_not_roll_back_the_build() {
    let failing_servers = |to, _| if to == 10 || to == 100 { Outcome::Error } else { Outcome::Ok };
    let result = simulate(
        &server_list(30, 10),
        release_status(2, 1, Phase::Trial, 0.5),
        3.0,
        10 * S,
        false,
        failing_servers,
    );
    assert_eq!(voters(&result, Verdict::RollBack), 0);
}

/// Guards against judging a build by too little evidence when all gossip messages are lost.
#[test]
fn with_all_messages_lost_sparse_evidence_casts_no_vote() {
    let failing_build = |to, id| if to >= 100 && id % 8 == 0 { Outcome::Error } else { Outcome::Ok };
    let result = simulate(
        &server_list(30, 3),
        release_status(2, 1, Phase::Trial, 0.5),
        2.0,
        6 * S,
        true,
        failing_build,
    );
    assert!(result.votes.is_empty(), "votes were cast: {:?}", result.votes);
}

/// Guards against a burst at the start of a trial, which comes about if hundreds of balancers have saved up
/// trial credit and use it at the same time.
#[test]
fn attempts_of_all_balancers_at_the_trial_build_are_spread_over_time() {
    let result =
        simulate(&server_list(27, 3), release_status(2, 1, Phase::Trial, 0.5), 4.0, 4 * S, false, ok);
    let trial_attempts =
        |from, to| result.sends.iter().filter(|send| send.2 >= 100 && send.0 >= from && send.0 < to).count();
    let (first_eighth, total) = (trial_attempts(0, 500 * MS), trial_attempts(0, 4 * S));
    assert!(total > 200, "{total} attempts at the trial build");
    assert!(first_eighth * 8 < total * 2, "{first_eighth} of {total} attempts in the first eighth");
    for i in 0..FLEET {
        let trial_attempts = result.sends.iter().filter(|send| send.1 == i && send.2 >= 100).count() as f64;
        let attempts = result.sends.iter().filter(|send| send.1 == i).count() as f64;
        assert!(
            trial_attempts <= 2.0 + 0.5 * attempts,
            "{trial_attempts} of {attempts} attempts went to the trial build"
        );
    }
}

/// Guards against overloading a cold server by one unlimited first attempt from each of hundreds of
/// balancers. The first server of the earlier build in a rollback is most at risk, because all traffic is
/// offered to it.
#[test]
fn all_balancers_together_do_not_overload_a_single_cold_server() {
    let requests_per_s = 4.0;
    let (warm, span) = (30, 3 * S);
    let mut entries = server_list(warm, 0);
    let (start, cost) = (100 * S, 0.075); // any cost: it is a factor of both the work sent and its limit
    entries.push(ServerEntry { started_at: start, ..server(50, 1) });
    let result =
        simulate(&entries, release_status(1, 3, Phase::Released, 1.0), requests_per_s, span, false, ok);
    // The load that all warm servers serve, divided by their number.
    let served = FLEET as f64 * requests_per_s * cost / warm as f64;
    let sent = result.sends.iter().filter(|send| send.2 == 50).count() as f64 * cost;
    let limit = 3.0 * (0.3 + 0.7 * 0.375) * served * 3.0;
    assert!(sent <= limit, "{sent:.2} s of work sent to a cold server, more than the limit of {limit:.2} s");
    // With cold servers alone, most requests are not sent, so that the few servers stay below their limit.
    let cold: Vec<ServerEntry> =
        (0..3).map(|i| ServerEntry { started_at: start, ..server(50 + i, 1) }).collect();
    let result = simulate(&cold, release_status(1, 3, Phase::Released, 1.0), requests_per_s, span, false, ok);
    assert!(result.sends.len() < FLEET, "{} attempts sent to three cold servers", result.sends.len());
}

/// Guards against bad gossip messages that change a balancer's votes. The messages are truncated, late,
/// repeated, about another build or stage, in another layout, or have implausible counts.
#[test]
fn invalid_and_implausible_messages_change_no_vote() {
    let mut settings = settings();
    (settings.fleet_size, settings.limits.gossip) = (4, true);
    let votes_of_clean_run = |disturb: &dyn Fn(&mut Harness)| {
        let mut harness =
            Harness::new(settings.clone(), &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
        let mut actions = Vec::new();
        for _ in 0..9 {
            disturb(&mut harness);
            actions.extend(
                harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 100, |_, _| (Outcome::Ok, 50 * MS)),
            );
        }
        votes(&actions)
    };
    let mut failing = Evidence::new(3);
    let failure = |server| Sample { class: 0, server, error: true, failed: true, slow: true, pace: None };
    (0..5_000).for_each(|i| failing.add(Arm::New, &failure(i % 40)));
    let header = |build, stage, is_total| GossipHeader { build, stage, is_total, incarnation: 1 };
    let votes_after_messages = |bytes: Vec<u8>| {
        votes_of_clean_run(&move |harness: &mut Harness| {
            for from in [1, 1, 2, 3, 0, 9, 70_000] {
                harness.feed(Event::PeerMessage { from, payload: &bytes });
            }
        })
    };
    let undisturbed = votes_of_clean_run(&|_| {});
    assert!(undisturbed.contains(&Verdict::Promote));
    let complete = encode(header(2, 2, false), &failing);
    for bytes in [
        complete[..complete.len() - 1].to_vec(),
        encode(header(3, 2, false), &failing),
        encode(header(2, 1, true), &failing),
        [&[1], &complete[1..]].concat(),
        complete.clone(),
        [&[2], &complete[1..]].concat(),
        vec![3, 0, 1, 2, 0, 2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![3],
        Vec::new(),
    ] {
        assert_eq!(
            votes_after_messages(bytes.clone()),
            undisturbed,
            "votes changed after the message {bytes:?}"
        );
    }
}

#[test]
fn messages_round_trip_within_256_bytes() {
    let mut evidence = Evidence::new(2);
    for i in 0..3_000u64 {
        let pace = Some(0.2 * 1.3f64.powi((i % 9) as i32));
        let (error, failed) = (i % 50 == 0, i % 40 == 0 || i % 50 == 0);
        let sample =
            Sample { class: (i % 2) as usize, server: i % 60, error, failed, slow: i % 5 == 0, pace };
        let arm = if i % 3 == 0 { Arm::Earlier } else { Arm::New };
        evidence.add(arm, &sample);
    }
    let header = GossipHeader { build: 700, stage: 3, is_total: true, incarnation: 200 };
    let bytes = encode(header, &evidence);
    assert!(bytes.len() <= 256, "the message has {} bytes", bytes.len());
    assert_eq!(decode(&bytes, 2, 3_000.0), Some((header, evidence)));
    assert_eq!(decode(&bytes, 2, 2_999.0), None);
}

#[test]
fn a_histogram_returns_quantiles_and_can_be_rescaled() {
    let (mut original, mut rescaled) = (Histogram::default(), Histogram::default());
    (1..=1_000).for_each(|i| original.add(f64::from(i) / 1_000.0));
    rescaled.merge(&original, 0.5, 0.25);
    let median = original.quantile(0.5).unwrap();
    assert!((0.45..0.56).contains(&median), "the median is {median}");
    assert!((rescaled.quantile(0.5).unwrap() / median - 4.0).abs() < 0.5);
    assert!((rescaled.total() - 500.0).abs() < 1e-6);
    assert_eq!(Histogram::default().quantile(0.5), None);
}

/// Guards against evidence that counts twice: a peer that has restarted has a new incarnation, and a message of
/// its earlier one may arrive after the first of the new one.
#[test]
fn a_late_message_of_an_ended_incarnation_adds_no_evidence() {
    let peer = 1;
    let evidence = |attempts: u32| {
        let sample =
            Sample { class: IDEMPOTENT, server: 7, error: false, failed: false, slow: false, pace: None };
        let mut evidence = Evidence::new(1);
        (0..attempts).for_each(|_| evidence.add(Arm::New, &sample));
        evidence
    };
    for is_total in [false, true] {
        let mut pool = EvidencePool::default();
        pool.restart(1);
        let mut receive = |incarnation, attempts| {
            let header = GossipHeader { build: 2, stage: 0, is_total, incarnation };
            pool.receive(peer, header, evidence(attempts));
        };
        receive(200, 10);
        receive(17, 4);
        receive(200, 8);
        receive(200, 12);
        receive(17, 5);
        let counted = if is_total {
            pool.best_available(0, f64::INFINITY).stage.attempts(Arm::New)
        } else {
            pool.pooled_total().attempts(Arm::New)
        };
        // Counters of a single balancer add up over its incarnations; a total replaces the one before.
        let expected = if is_total { 5.0 } else { 15.0 };
        assert_eq!(counted, expected, "is_total: {is_total}");
    }
}
