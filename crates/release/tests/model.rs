//! A bounded model check of a small system around the real `Release` state machine: two controllers with a
//! shared state directory, three proxies, a network that loses, delays and reorders messages, and a plan of
//! two waves.
//!
//! `pathfinding`'s breadth-first search yields the shortest trace to a state that violates a property. `loom`
//! and `shuttle` do not fit: they search thread schedules and memory orders inside one process. The state
//! machine has no threads; what varies here are messages, crashes and pauses.
//!
//! The model has the steps of `violetseam-controller`: a controller begins a term exclusively and then reads
//! the state; a leader makes a batch durable, **then** checks for a later term, **then** announces the
//! result. Each of these is a step of its own, and a controller can stop between any two of them. Time is
//! coarse: a tick is longer than a wave's soak time and shorter than the lifetime of a vote, two ticks are
//! longer than that lifetime.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use violetseam_plan::{Plan, read_text};
use violetseam_release::{Announcement, Event, Now, Order, Phase, PlaceState, Release, Verdict, Vote};

const MICROS_PER_SECOND: u64 = 1_000_000;
/// The length of a tick, in microseconds.
const TICK_MICROS: u64 = 20 * MICROS_PER_SECOND;
/// The wall clock in the initial state, in microseconds.
const WALL_START_MICROS: u64 = 1_800_000_000 * MICROS_PER_SECOND;

/// Bugs that a test plants to show that the search finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The controller announces a decision before it is durable.
    AnnouncesBeforeDurable,
    /// The controller does not check for a later term after its write.
    SkipsTermCheck,
    /// Proxies obey an announcement whatever its term.
    IgnoresFence,
}

/// The state of one controller.
#[derive(Clone, Debug, PartialEq)]
struct Controller {
    /// The term that the controller believes to lead, if any.
    term: Option<usize>,
    release: Rc<Release>,
    /// The decided state that is not durable yet.
    pending: Option<Rc<Release>>,
    /// Whether the last decision is durable and the check for a later term has yet to follow.
    check_pending: bool,
    /// What the controller may announce to proxies.
    announceable: Option<Announcement>,
}

/// What is durable in the journal of a term.
#[derive(Clone, Debug, PartialEq)]
struct Term {
    /// The state after the last durable batch.
    state: Rc<Release>,
    /// All announcements of the durable states.
    history: BTreeSet<(u16, u8, u8)>,
    /// The history of the term before, as the leader read it when this term began.
    predecessor_history: BTreeSet<(u16, u8, u8)>,
}

impl Term {
    fn new(state: &Rc<Release>, predecessor_history: BTreeSet<(u16, u8, u8)>) -> Term {
        Term {
            state: state.clone(),
            history: [announcement_key(state.announcement())].into(),
            predecessor_history,
        }
    }
}

/// The state of the whole system.
#[derive(Clone, Debug)]
struct SystemState {
    /// The number of ticks that have passed.
    time: u64,
    controllers: [Controller; 2],
    /// All terms, by number. Term 0 has begun in the initial state.
    terms: Vec<Term>,
    /// For each proxy, the highest term that it has seen and the last announcement that it obeyed.
    proxies: [(usize, Option<Announcement>); 3],
    /// Messages in transit, as proxy, term and announcement. Each may be delivered, delayed or lost.
    in_transit: BTreeSet<(usize, usize, (u16, u8, u8))>,
    /// The tick at which each proxy last voted in stage 0, for the check of the number of votes.
    vote_ticks: [Option<u64>; 3],
    /// The steps that led to this state.
    trace: VecDeque<String>,
    /// The property that a step violated, if any.
    violation: Option<String>,
}

fn plan() -> Plan {
    let text = "plan(name = \"p\", build = 2, longest = \"10m\")\n\
        fleet(proxies = 3, places = 1, vote_ttl = \"30s\", stage_caps = [0.5, 1.0], votes_back = 0.6, settle = \"0s\", beside = True)\n\
        wave(name = \"a\", share = 1.0, cap = 0.5, soak = \"10s\", gate = \"share\", votes = 0.6)\n\
        wave(name = \"b\", share = 1.0, cap = 1.0, soak = \"10s\", gate = \"share\", votes = 0.6)\n\
        hold(before = \"b\", leave = [\"lead\"])\n\
        allow(who = \"lead\", may = [\"back\", \"hold\", \"resume\"])\n";
    read_text("p", text, &[], WALL_START_MICROS).unwrap()
}

fn announcement_key(announcement: Announcement) -> (u16, u8, u8) {
    (announcement.build, announcement.stage, announcement.phase as u8)
}

impl SystemState {
    fn initial() -> SystemState {
        let mut release = Release::new(1);
        let now = Now { wall: WALL_START_MICROS, steady: 0 };
        release.on_event(now, &Event::Started);
        release.on_event(now, &Event::Offer(Box::new(plan())));
        release.on_event(now, &Event::Tick);
        release.on_event(now, &Event::Place { place: 0, build: 2, state: PlaceState::Running });
        assert_eq!(release.announcement().phase, Phase::Trial);
        let release = Rc::new(release);
        let leader = Controller {
            term: Some(0),
            release: release.clone(),
            pending: None,
            check_pending: false,
            announceable: Some(release.announcement()),
        };
        let standby = Controller { term: None, announceable: None, ..leader.clone() };
        SystemState {
            time: 0,
            controllers: [leader, standby],
            terms: vec![Term::new(&release, BTreeSet::new())],
            proxies: [(0, None); 3],
            in_transit: BTreeSet::new(),
            vote_ticks: [None; 3],
            trace: VecDeque::new(),
            violation: None,
        }
    }

    fn now(&self) -> Now {
        Now { wall: WALL_START_MICROS + self.time * TICK_MICROS, steady: self.time * TICK_MICROS }
    }

    fn record_step(&mut self, text: String) {
        self.trace.push_back(text);
    }

    /// A controller that is not waiting for its journal applies an event. Returns `None` if it cannot or if
    /// the event is not recorded.
    fn decide(&self, index: usize, event: &Event, description: &str, bug: Bug) -> Option<SystemState> {
        let controller = &self.controllers[index];
        if controller.term.is_none() || controller.pending.is_some() || controller.check_pending {
            return None;
        }
        let mut next = Release::clone(&controller.release);
        let mut is_recorded = next.on_event(self.now(), event).changed;
        is_recorded |= next.on_event(self.now(), &Event::Tick).changed;
        if !is_recorded {
            return None;
        }
        let mut system = self.clone();
        if let Event::Vote(vote) = event {
            system.vote_ticks[vote.proxy as usize] = Some(self.time);
        }
        system.check_promotion(controller.release.announcement(), next.announcement());
        system.record_step(format!("controller {index} applies {description}: {}", next.describe()));
        if bug == Bug::AnnouncesBeforeDurable {
            system.controllers[index].announceable = Some(next.announcement());
        }
        system.controllers[index].pending = Some(Rc::new(next));
        Some(system)
    }

    fn successors(&self, bug: Bug) -> Vec<SystemState> {
        let mut out = Vec::new();
        if self.violation.is_some() {
            return out;
        }
        for index in 0..2 {
            self.controller_steps(index, bug, &mut out);
        }
        // A message is delivered. It may also be sent again, or never be delivered.
        for &(proxy, term, (build, stage, phase)) in &self.in_transit {
            let (highest_term, _) = self.proxies[proxy];
            let is_obeyed = term >= highest_term || bug == Bug::IgnoresFence;
            let phases = [Phase::Trial, Phase::RollingBack, Phase::Released, Phase::Withdrawn];
            let phase = phases[usize::from(phase)];
            let mut system = self.clone();
            system.in_transit.remove(&(proxy, term, (build, stage, phase as u8)));
            if is_obeyed {
                system.record_step(format!("proxy {proxy} receives term {term}: stage {stage}, {phase:?}"));
                if term < highest_term {
                    system.violation = Some(format!("proxy {proxy} obeys term {term} after {highest_term}"));
                }
                let announcement = Announcement { build, stage, phase, cap: 0.0 };
                system.proxies[proxy] = (term.max(highest_term), Some(announcement));
            }
            out.push(system);
        }
        if self.time < 3 {
            let mut system = self.clone();
            system.time += 1;
            system.record_step("time passes".into());
            out.push(system);
        }
        out
    }

    fn controller_steps(&self, index: usize, bug: Bug, out: &mut Vec<SystemState>) {
        self.event_steps(index, bug, out);
        self.journal_steps(index, bug, out);
        self.announcement_steps(index, out);
        self.takeover_steps(index, out);
    }

    /// A controller applies an event.
    fn event_steps(&self, index: usize, bug: Bug, out: &mut Vec<SystemState>) {
        // A proxy may send its vote to either controller.
        for proxy in 0..3u32 {
            if self.proxies[proxy as usize].1.is_none_or(|n| n.stage == 0 && n.phase == Phase::Trial) {
                let vote = Vote { proxy, build: 2, stage: 0, verdict: Verdict::On };
                out.extend(self.decide(
                    index,
                    &Event::Vote(vote),
                    &format!("the 'on' vote of proxy {proxy}"),
                    bug,
                ));
            }
        }
        for order in [Order::Resume, Order::Back] {
            let event = Event::Order { who: "lead".into(), order };
            out.extend(self.decide(index, &event, &format!("the order {order:?} of the lead"), bug));
        }
        out.extend(self.decide(index, &Event::Tick, "a tick", bug));
    }

    /// A batch becomes durable, or the controller checks for a later term after that.
    fn journal_steps(&self, index: usize, bug: Bug, out: &mut Vec<SystemState>) {
        let controller = &self.controllers[index];
        if let Some(pending) = &controller.pending {
            // The batch becomes durable in the controller's own term, even if another controller has begun a
            // later one.
            let mut system = self.clone();
            system.record_step(format!("controller {index} makes its decision durable"));
            let term = controller.term.unwrap_or(0);
            system.terms[term].state = pending.clone();
            system.terms[term].history.insert(announcement_key(pending.announcement()));
            let updated = &mut system.controllers[index];
            updated.release = pending.clone();
            updated.pending = None;
            updated.check_pending = true;
            out.push(system);
            // A crash of the controller before this step is covered by `takeover_steps`.
        }
        if controller.check_pending {
            let mut system = self.clone();
            let superseded = controller.term.is_some_and(|term| term + 1 < self.terms.len());
            let updated = &mut system.controllers[index];
            updated.check_pending = false;
            if superseded && bug != Bug::SkipsTermCheck {
                updated.term = None;
                updated.announceable = None;
                system.record_step(format!("controller {index} sees a later term and announces nothing"));
            } else {
                updated.announceable = Some(updated.release.announcement());
                system.record_step(format!(
                    "controller {index} may announce: {}",
                    system.controllers[index].release.describe()
                ));
            }
            out.push(system);
        }
    }

    /// A controller sends its announcement to a proxy.
    fn announcement_steps(&self, index: usize, out: &mut Vec<SystemState>) {
        let controller = &self.controllers[index];
        let (Some(term), Some(announcement)) = (controller.term, controller.announceable) else { return };
        for proxy in 0..3 {
            let mut system = self.clone();
            if system.in_transit.insert((proxy, term, announcement_key(announcement))) {
                system.record_step(format!(
                    "controller {index} announces to proxy {proxy}: stage {}, {:?}",
                    announcement.stage, announcement.phase
                ));
                system.check_announcement(term, announcement);
                out.push(system);
            }
        }
    }

    /// Any controller may begin a term at any time, because no property may rest on the lease. It is a
    /// standby, or was killed and restarted; what it had not made durable is lost.
    fn takeover_steps(&self, index: usize, out: &mut Vec<SystemState>) {
        if self.terms.len() >= 3 {
            return;
        }
        let mut system = self.clone();
        let latest_term = self.terms.len() - 1;
        let mut state = Release::clone(&self.terms[latest_term].state);
        let before = state.announcement();
        state.on_event(self.now(), &Event::Started);
        system.record_step(format!(
            "controller {index} begins term {}: {}",
            self.terms.len(),
            state.describe()
        ));
        system.check_promotion(before, state.announcement());
        let state = Rc::new(state);
        let predecessor_history = self.terms[latest_term].history.clone();
        system.terms.push(Term::new(&state, predecessor_history));
        let announcement = state.announcement();
        system.controllers[index] = Controller {
            term: Some(self.terms.len()),
            release: state,
            pending: None,
            check_pending: false,
            announceable: Some(announcement),
        };
        out.push(system);
    }

    fn check_promotion(&mut self, before: Announcement, after: Announcement) {
        if after.stage > before.stage {
            self.check_vote_count();
        }
    }

    fn check_vote_count(&mut self) {
        let active_votes = self
            .vote_ticks
            .iter()
            .flatten()
            .filter(|at| (self.time - **at) * TICK_MICROS < 30 * MICROS_PER_SECOND)
            .count();
        if active_votes < 2 {
            self.violation =
                Some(format!("a wave begins with {active_votes} votes in force, two are needed"));
        }
    }

    /// Checks an announcement that is sent to a proxy in a term.
    fn check_announcement(&mut self, term: usize, announcement: Announcement) {
        let key = announcement_key(announcement);
        if !self.terms[term].history.contains(&key) {
            self.violation =
                Some(format!("term {term} announces what is not durable: stage {}", announcement.stage));
        }
        // The successor of a replaced leader must have read whatever that leader announces.
        let successor = self.terms.get(term + 1);
        if successor.is_some_and(|successor| !successor.predecessor_history.contains(&key)) {
            self.violation = Some(format!(
                "term {term} announces what its successor never read: stage {}",
                announcement.stage
            ));
        }
    }

    /// Returns the violated property, if any.
    fn check_state(&self) -> Option<String> {
        if let Some(violation) = &self.violation {
            return Some(violation.clone());
        }
        for (n, term) in self.terms.iter().enumerate().skip(1) {
            let (before, now) = (self.terms[n - 1].state.announcement(), term.state.announcement());
            // This is a violation only if the earlier leader wrote nothing after its successor had read its
            // state.
            if before.phase == Phase::RollingBack && now.phase == Phase::Released {
                return Some(format!("rolled back in term {}, released in term {n}", n - 1));
            }
        }
        self.check_hold_can_end()
    }

    /// Checks that from any state in the first wave, the hold before the second wave can still be ended.
    fn check_hold_can_end(&self) -> Option<String> {
        let mut state = Release::clone(&self.terms.last()?.state);
        if (state.announcement().phase, state.announcement().stage) != (Phase::Trial, 0) {
            return None;
        }
        let now_in = |ticks: u64| Now {
            wall: WALL_START_MICROS + (self.time + ticks) * TICK_MICROS,
            steady: (self.time + ticks) * TICK_MICROS,
        };
        state.on_event(now_in(0), &Event::Order { who: "lead".into(), order: Order::Resume });
        state.on_event(now_in(1), &Event::Tick);
        for proxy in 0..3 {
            let vote = Vote { proxy, build: 2, stage: 0, verdict: Verdict::On };
            state.on_event(now_in(2), &Event::Vote(vote));
        }
        state.on_event(now_in(2), &Event::Tick);
        let is_promoted = state.announcement().stage == 1;
        (!is_promoted).then(|| format!("the hold cannot be ended: {}", state.describe()))
    }
}

/// A node of the search. Two nodes are equal if the same steps can follow, so the trace is not compared.
#[derive(Clone, Debug)]
struct SearchNode(SystemState);

impl PartialEq for SearchNode {
    fn eq(&self, other: &SearchNode) -> bool {
        let (a, b) = (&self.0, &other.0);
        (a.time, &a.in_transit, a.vote_ticks, a.proxies) == (b.time, &b.in_transit, b.vote_ticks, b.proxies)
            && a.violation == b.violation
            && a.controllers == b.controllers
            && a.terms == b.terms
    }
}
impl Eq for SearchNode {}
impl Hash for SearchNode {
    /// Hashes what is cheap to read; equality compares the rest.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let system = &self.0;
        (
            system.time,
            &system.in_transit,
            system.vote_ticks,
            system.proxies.map(|p| (p.0, p.1.map(announcement_key))),
        )
            .hash(state);
        let release_key = |release: &Release| (announcement_key(release.announcement()), release.votes());
        for controller in &system.controllers {
            (
                controller.term,
                controller.check_pending,
                controller.announceable.map(announcement_key),
                release_key(&controller.release),
                controller.pending.as_deref().map(release_key),
            )
                .hash(state);
        }
        for term in &system.terms {
            (release_key(&term.state), &term.history, &term.predecessor_history).hash(state);
        }
    }
}

/// Searches breadth first, up to a number of states. Returns the number of states seen, the greatest depth,
/// and the trace to the first violation if there is one.
fn search(bug: Bug, max_states: usize) -> (usize, usize, Option<Vec<String>>) {
    let start = SystemState::initial();
    let (mut states, mut depth) = (0, 0);
    let next = |n: &SearchNode| n.0.successors(bug).into_iter().map(SearchNode).collect::<Vec<_>>();
    for reached in bfs_reach(SearchNode(start), next) {
        states += 1;
        depth = depth.max(reached.0.trace.len());
        if let Some(violation) = reached.0.check_state() {
            let mut trace: Vec<String> = reached.0.trace.into_iter().collect();
            trace.push(format!("VIOLATION: {violation}"));
            return (states, depth, Some(trace));
        }
        if states >= max_states {
            break;
        }
    }
    (states, depth, None)
}

#[test]
fn no_state_within_the_searched_depth_violates_a_property() {
    let (states, depth, trace) = search(Bug::None, 4_000);
    assert!(trace.is_none(), "{trace:#?}");
    assert!(states >= 4_000 && depth >= 4, "{states} states, {depth} steps deep");
}

#[test]
fn planted_bugs_are_found_with_a_short_trace() {
    let expectations = [
        (Bug::AnnouncesBeforeDurable, "not durable"),
        (Bug::IgnoresFence, "obeys term"),
        (Bug::SkipsTermCheck, "its successor never read"),
    ];
    for (bug, expected_text) in expectations {
        let (states, _, trace) = search(bug, 400_000);
        let trace = trace.unwrap_or_else(|| panic!("{bug:?} was not found in {states} states"));
        println!("{bug:?}, {states} states:");
        trace.iter().for_each(|line| println!("  {line}"));
        assert!(trace.last().is_some_and(|step| step.contains(expected_text)), "{bug:?}: {trace:#?}");
        assert!(trace.len() <= 16, "{bug:?}: {trace:#?}");
    }
}

#[test]
#[ignore = "takes minutes; results in docs/measurements/plans.md"]
fn a_long_search_finds_no_violation() {
    let (states, depth, trace) = search(Bug::None, 500_000);
    println!("{states} states, {depth} steps deep, {trace:?}");
    assert!(trace.is_none(), "{trace:#?}");
}
