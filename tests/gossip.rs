//! Hundreds of balancers with thin traffic: what each may do once must stay bounded for all together.

mod common;
use common::*;
use std::collections::BTreeMap;
use violetseam::balancer::Balancer;
use violetseam::evidence::{Arm, Evidence, GossipHeader, Histogram, Sample, decode, encode};
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

/// What a fleet did over a while.
#[derive(Default)]
struct Done {
    /// When, by whom and where attempts went.
    sends: Vec<(Micros, usize, ServerId)>,
    votes: BTreeMap<usize, Vec<Verdict>>,
    /// Messages and bytes delivered to each balancer.
    heard: BTreeMap<usize, (usize, usize)>,
    taken: usize,
}

/// A gossip message on its way.
struct Mail {
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
    mail: Vec<Mail>,
    ends: Vec<PendingEnd>,
    next: RequestId,
    now: Micros,
    lost: bool,
    outcome_of: F,
    done: Done,
}

impl<F: Fn(ServerId, u64) -> Outcome> Simulation<F> {
    fn new(entries: &[ServerEntry], stage: ReleaseStatus, lost: bool, outcome_of: F) -> Self {
        let balancer = |position| Balancer::new(fleet_settings(position), 1 + position as u64);
        let mut fleet: Vec<Balancer> = (0..FLEET).map(balancer).collect();
        for balancer in &mut fleet {
            balancer.on_event(START, Event::ServerList { kind: ListKind::Cached, entries }, &mut Vec::new());
            balancer.on_event(START, Event::Release(stage), &mut Vec::new());
        }
        Simulation {
            fleet,
            random: RandomSource(5),
            mail: Vec::new(),
            ends: Vec::new(),
            next: 1,
            now: START,
            lost,
            outcome_of,
            done: Done::default(),
        }
    }

    fn round(&mut self, per_s: f64) {
        self.now += ROUND;
        let now = self.now;
        let (mail, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|mail| mail.due <= now);
        self.mail = later;
        let (ended, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ends).into_iter().partition(|end| end.due <= now);
        self.ends = open;
        for position in 0..FLEET {
            let mut actions = Vec::new();
            for mail in mail.iter().filter(|mail| mail.to == position) {
                self.deliver(mail, &mut actions);
            }
            for end in ended.iter().filter(|end| end.balancer == position) {
                self.end_attempt(end, &mut actions);
            }
            self.fleet[position].on_event(now, Event::Timer { token: 0 }, &mut actions);
            if self.random.unit() < per_s * 0.02 {
                self.request(position, &mut actions);
            }
            for action in actions {
                self.act(position, action);
            }
        }
    }

    fn deliver(&mut self, mail: &Mail, actions: &mut Vec<Action>) {
        let heard = self.done.heard.entry(mail.to).or_default();
        heard.0 += 1;
        heard.1 += mail.payload.len();
        let event = Event::PeerMessage { from: mail.from, payload: &mail.payload };
        self.fleet[mail.to].on_event(self.now, event, actions);
    }

    fn end_attempt(&mut self, end: &PendingEnd, actions: &mut Vec<Action>) {
        let &PendingEnd { balancer, request, server, outcome, .. } = end;
        let finishes_request = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, server, outcome, elapsed: LATENCY, finishes_request };
        self.fleet[balancer].on_event(self.now, Event::AttemptEnded(end), actions);
    }

    fn request(&mut self, position: usize, actions: &mut Vec<Action>) {
        let id = self.next;
        let class = (id % 3) as usize;
        let request = Request { id, deadline: self.now + 1_200 * MS, class, ..Request::default() };
        self.next += 1;
        self.done.taken += 1;
        self.fleet[position].on_event(self.now, Event::Request(request), actions);
    }

    fn act(&mut self, position: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { request, server, .. } => {
                self.done.sends.push((now - START, position, server));
                let outcome = (self.outcome_of)(server, request);
                let due = now + LATENCY;
                self.ends.push(PendingEnd { due, balancer: position, request, server, outcome });
            }
            Action::Vote { verdict, .. } => {
                self.done.votes.entry(position).or_default().push(verdict);
                let reply = Event::VoteReply { outcome: Outcome::Ok, release: None };
                self.fleet[position].on_event(now, reply, &mut Vec::new());
            }
            Action::GossipToPeer { to, payload } if !self.lost => {
                self.mail.push(Mail { due: now + ROUND, from: position, to, payload });
            }
            Action::GossipToAll { payload } if !self.lost => {
                let others = (0..FLEET).filter(|&to| to != position);
                let mail = |to| Mail { due: now + ROUND, from: position, to, payload: payload.clone() };
                self.mail.extend(others.map(mail));
            }
            _ => {}
        }
    }
}

/// Plays `span` of thin traffic: each balancer takes about `per_s` requests a second, each attempt ends as
/// `outcome_of` says, and messages arrive 20 ms later unless they are lost.
fn play(
    entries: &[ServerEntry],
    stage: ReleaseStatus,
    per_s: f64,
    span: Micros,
    lost: bool,
    outcome_of: impl Fn(ServerId, u64) -> Outcome,
) -> Done {
    let mut simulation = Simulation::new(entries, stage, lost, outcome_of);
    while simulation.now < START + span {
        simulation.round(per_s);
    }
    simulation.done
}

fn ok(_: ServerId, _: u64) -> Outcome {
    Outcome::Ok
}

fn voters(done: &Done, verdict: Verdict) -> usize {
    done.votes.values().filter(|votes| votes.contains(&verdict)).count()
}

/// Guards: summaries to every peer grow with the square of the fleet.
#[test]
fn a_balancer_hears_a_few_messages_a_second_however_many_there_are() {
    let done = play(&fleet(30, 6), release(2, 1, Phase::Trial, 0.5), 4.0, 8 * S, false, ok);
    let mut bytes: Vec<usize> = done.heard.values().map(|h| h.1).collect();
    bytes.sort_unstable();
    // Three collectors' sums every 0.8 s, at most 256 bytes each, whatever the fleet's size.
    assert!(bytes[FLEET / 2] <= 8 * 3 * 2 * 256, "{} bytes at the median balancer", bytes[FLEET / 2]);
    let collectors = done.heard.values().filter(|h| h.0 > 200).count();
    assert!((1..=3).contains(&collectors), "{collectors} balancers hear from all others");
}

/// Guards: a balancer's own share of the evidence is a handful of attempts.
#[test]
fn a_thin_fleet_lets_a_good_build_on_with_more_than_half_voting() {
    let done = play(&fleet(30, 10), release(2, 1, Phase::Trial, 0.5), 3.0, 8 * S, false, ok);
    assert!(voters(&done, Verdict::Promote) > FLEET / 2, "{} vote on", voters(&done, Verdict::Promote));
    assert_eq!(voters(&done, Verdict::RollBack), 0);
}

#[test]
fn a_thin_fleet_sends_a_failing_build_back_and_nobody_votes_it_on() {
    let bad = |to, id| if to >= 100 && id % 8 == 0 { Outcome::Error } else { Outcome::Ok };
    let done = play(&fleet(30, 10), release(2, 1, Phase::Trial, 0.5), 3.0, 10 * S, false, bad);
    assert!(voters(&done, Verdict::RollBack) > FLEET / 2, "{} vote back", voters(&done, Verdict::RollBack));
    assert_eq!(voters(&done, Verdict::Promote), 0);
}

/// Guards: a few failing machines, alike in both builds, must not convict: the breach is theirs alone.
#[test]
fn failing_machines_of_a_thin_fleet_convict_nobody() {
    let fault = |to, _| if to == 10 || to == 100 { Outcome::Error } else { Outcome::Ok };
    let done = play(&fleet(30, 10), release(2, 1, Phase::Trial, 0.5), 3.0, 10 * S, false, fault);
    assert_eq!(voters(&done, Verdict::RollBack), 0);
}

/// Guards: with all messages lost nobody may judge on next to nothing.
#[test]
fn with_all_messages_lost_thin_evidence_casts_no_vote() {
    let bad = |to, id| if to >= 100 && id % 8 == 0 { Outcome::Error } else { Outcome::Ok };
    let done = play(&fleet(30, 3), release(2, 1, Phase::Trial, 0.5), 2.0, 6 * S, true, bad);
    assert!(done.votes.is_empty(), "{:?}", done.votes);
}

/// Guards: turns at the trial build saved up by hundreds would come in one burst at the start.
#[test]
fn trial_turns_of_all_balancers_are_spread() {
    let done = play(&fleet(27, 3), release(2, 1, Phase::Trial, 0.5), 4.0, 4 * S, false, ok);
    let trial = |from, to| done.sends.iter().filter(|s| s.2 >= 100 && s.0 >= from && s.0 < to).count();
    let (first, all) = (trial(0, 500 * MS), trial(0, 4 * S));
    assert!(all > 200, "{all} attempts at the trial build");
    assert!(first * 8 < all * 2, "{first} of {all} in the first eighth");
    for i in 0..FLEET {
        let own = done.sends.iter().filter(|s| s.1 == i && s.2 >= 100).count() as f64;
        let taken = done.sends.iter().filter(|s| s.1 == i).count() as f64;
        assert!(own <= 2.0 + 0.5 * taken, "{own} of {taken} at the trial build");
    }
}

/// Guards: one free first send from each of hundreds pushes a cold server over, most of all the first
/// machine of a way back, which is offered everything.
#[test]
fn a_lone_cold_server_is_not_pushed_over_by_all_together() {
    let per_s = 4.0;
    let (warm, span) = (30, 3 * S);
    let mut entries = fleet(warm, 0);
    let (start, cost) = (100 * S, 0.075); // a quarter of the aim: the first guess of an attempt's cost
    entries.push(ServerEntry { started_at: start, ..server(50, 1) });
    let done = play(&entries, release(1, 3, Phase::Released, 1.0), per_s, span, false, ok);
    // All warm servers together are seen to carry this; a lone one its part of it.
    let carried = FLEET as f64 * per_s * cost / warm as f64;
    let sent = done.sends.iter().filter(|s| s.2 == 50).count() as f64 * cost;
    let limit = 3.0 * (0.3 + 0.7 * 0.375) * carried * 3.0;
    assert!(sent <= limit, "{sent:.2} s of work to a cold server that may get {limit:.2}");
    // Nothing but cold ones: most requests go without, and the few servers stay under their limit.
    let cold: Vec<ServerEntry> =
        (0..3).map(|i| ServerEntry { started_at: start, ..server(50 + i, 1) }).collect();
    let done = play(&cold, release(1, 3, Phase::Released, 1.0), per_s, span, false, ok);
    assert!(done.sends.len() < FLEET, "{} sends to three cold servers", done.sends.len());
}

/// Guards: a peer's message that is cut short, late, repeated, of another build, stage or layout, or that
/// holds absurd counts is ignored, and none of them outvotes own evidence.
#[test]
fn odd_messages_change_nothing() {
    let mut settings = settings();
    (settings.fleet_size, settings.limits.gossip) = (4, true);
    let clean = |odd: &dyn Fn(&mut Rig)| {
        let mut rig = Rig::new(settings.clone(), &fleet(6, 4), release(2, 2, Phase::Trial, 1.0));
        let mut all = Vec::new();
        for _ in 0..9 {
            odd(&mut rig);
            all.extend(rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 100, |_, _| (Outcome::Ok, 50 * MS)));
        }
        votes(&all)
    };
    let mut failing = Evidence::new(3);
    let failure = |server| Sample { class: 0, server, error: true, failed: true, slow: true, pace: None };
    (0..5_000).for_each(|i| failing.add(Arm::New, &failure(i % 40)));
    let header = |build, stage, is_total| GossipHeader { build, stage, is_total, incarnation: 1 };
    let heard = |bytes: Vec<u8>| {
        clean(&move |rig: &mut Rig| {
            for from in [1, 1, 2, 3, 0, 9, 70_000] {
                rig.feed(Event::PeerMessage { from, payload: &bytes });
            }
        })
    };
    let undisturbed = clean(&|_| {});
    assert!(undisturbed.contains(&Verdict::Promote));
    let whole = encode(header(2, 2, false), &failing);
    for bytes in [
        whole[..whole.len() - 1].to_vec(),
        encode(header(3, 2, false), &failing),
        encode(header(2, 1, true), &failing),
        [&[1], &whole[1..]].concat(),
        whole.clone(),
        vec![2, 0, 1, 2, 0, 2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![2],
        Vec::new(),
    ] {
        assert_eq!(heard(bytes.clone()), undisturbed, "after {bytes:?}");
    }
}

#[test]
fn messages_keep_their_counts_within_256_bytes() {
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
    assert!(bytes.len() <= 256, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes, 2, 3_000.0), Some((header, evidence)));
    assert_eq!(decode(&bytes, 2, 2_999.0), None);
}

#[test]
fn a_histogram_gives_quantiles_and_rescales() {
    let (mut one, mut two) = (Histogram::default(), Histogram::default());
    (1..=1_000).for_each(|i| one.add(f64::from(i) / 1_000.0));
    two.merge(&one, 0.5, 0.25);
    let median = one.quantile(0.5).unwrap();
    assert!((0.45..0.56).contains(&median), "{median}");
    assert!((two.quantile(0.5).unwrap() / median - 4.0).abs() < 0.5);
    assert!((two.total() - 500.0).abs() < 1e-6);
    assert_eq!(Histogram::default().quantile(0.5), None);
}
