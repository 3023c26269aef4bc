//! All states of a small world, to a stated depth: two controllers with a shared store, three proxies, a network
//! that loses and delays, a plan of two waves, over the real decisions.
//!
//! The search is `pathfinding`'s breadth-first search: it gives the shortest trace to a state that breaks a
//! property. `loom` and `shuttle` were looked at: they search the schedules of threads and their memory orders
//! inside one process, of which the decisions have none; the world here is messages, crashes and pauses.
//!
//! What is modelled of the controller's shell is what `violetseam-controller` does: a term is begun exclusively
//! and then the store is read; a batch becomes durable, **then** the holder sees whether a later term has begun,
//! **then** it speaks. Each of these is a step of its own, and a controller can stop between any two of them.
//! Time is coarse: a tick lasts longer than a soak and half as long as a vote stands.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use violetseam_plan::{Plan, read_text};
use violetseam_release::{Announcement, Event, Now, Order, Phase, PlaceState, Release, Verdict, Vote};

const S: u64 = 1_000_000;
const TICK: u64 = 20 * S;
const WALL: u64 = 1_800_000_000 * S;

/// Bugs that are planted to see that the search finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// Speaks before the batch is durable.
    SpeaksFirst,
    /// Does not look for a later term after its write.
    DoesNotLook,
    /// Proxies obey whatever number news have.
    NoFence,
}

/// One controller.
#[derive(Clone, Debug, PartialEq)]
struct Controller {
    /// Its term, if it believes to hold one.
    term: Option<usize>,
    release: Rc<Release>,
    /// Decided and not durable yet.
    pending: Option<Rc<Release>>,
    /// Durable, and it has not looked for a later term yet.
    written: bool,
    /// What it may say.
    speaks: Option<Announcement>,
}

/// What became durable in a term: the state, all news that it went through, and those that its holder had read
/// of the term before when it began.
#[derive(Clone, Debug, PartialEq)]
struct Term {
    state: Rc<Release>,
    history: BTreeSet<(u16, u8, u8)>,
    read: BTreeSet<(u16, u8, u8)>,
}

impl Term {
    fn new(state: &Rc<Release>, read: BTreeSet<(u16, u8, u8)>) -> Term {
        Term { state: state.clone(), history: [code(state.announcement())].into(), read }
    }
}

#[derive(Clone, Debug)]
struct World {
    /// Ticks passed.
    time: u64,
    controllers: [Controller; 2],
    /// Term numbers are indices; the first is begun at the start.
    terms: Vec<Term>,
    /// Term of the state that the latest successor read.
    proxies: [(usize, Option<Announcement>); 3],
    /// Messages under way: to a proxy, number, news. Any of them may come, get lost or be late.
    wire: BTreeSet<(usize, usize, (u16, u8, u8))>,
    /// Votes that each proxy cast for stage 0, as time; for the property on quorums.
    cast: [Option<u64>; 3],
    /// What happened, for the trace.
    said: VecDeque<String>,
    broken: Option<String>,
}

fn plan() -> Plan {
    let text = "plan(name = \"p\", build = 2, longest = \"10m\")\n\
        fleet(proxies = 3, places = 1, vote_ttl = \"30s\", stage_caps = [0.5, 1.0], votes_back = 0.6, settle = \"0s\", beside = True)\n\
        wave(name = \"a\", share = 1.0, cap = 0.5, soak = \"10s\", gate = \"share\", votes = 0.6)\n\
        wave(name = \"b\", share = 1.0, cap = 1.0, soak = \"10s\", gate = \"share\", votes = 0.6)\n\
        hold(before = \"b\", leave = [\"lead\"])\n\
        allow(who = \"lead\", may = [\"back\", \"hold\", \"resume\"])\n";
    read_text("p", text, &[], WALL).unwrap()
}

fn code(news: Announcement) -> (u16, u8, u8) {
    (news.build, news.stage, news.phase as u8)
}

impl World {
    fn start() -> World {
        let mut release = Release::new(1);
        let now = Now { wall: WALL, steady: 0 };
        release.on_event(now, &Event::Started);
        release.on_event(now, &Event::Offer(Box::new(plan())));
        release.on_event(now, &Event::Tick);
        release.on_event(now, &Event::Place { place: 0, build: 2, state: PlaceState::Running });
        assert_eq!(release.announcement().phase, Phase::Trial);
        let release = Rc::new(release);
        let holder = Controller {
            term: Some(0),
            release: release.clone(),
            pending: None,
            written: false,
            speaks: Some(release.announcement()),
        };
        let standby = Controller { term: None, speaks: None, ..holder.clone() };
        World {
            time: 0,
            controllers: [holder, standby],
            terms: vec![Term::new(&release, BTreeSet::new())],
            proxies: [(0, None); 3],
            wire: BTreeSet::new(),
            cast: [None; 3],
            said: VecDeque::new(),
            broken: None,
        }
    }

    fn now(&self) -> Now {
        Now { wall: WALL + self.time * TICK, steady: self.time * TICK }
    }

    fn say(&mut self, text: String) {
        self.said.push_back(text);
    }

    /// A controller's next step in its own order, or one of the events that may come to it.
    fn decide(&self, c: usize, event: &Event, what: &str, bug: Bug) -> Option<World> {
        let controller = &self.controllers[c];
        if controller.term.is_none() || controller.pending.is_some() || controller.written {
            return None;
        }
        let mut next = Release::clone(&controller.release);
        let mut kept = next.on_event(self.now(), event).changed;
        kept |= next.on_event(self.now(), &Event::Tick).changed;
        if !kept {
            return None;
        }
        let mut world = self.clone();
        if let Event::Vote(vote) = event {
            world.cast[vote.proxy as usize] = Some(self.time);
        }
        world.check_step(controller.release.announcement(), next.announcement());
        world.say(format!("controller {c} decides on {what}: {}", next.describe()));
        if bug == Bug::SpeaksFirst {
            world.controllers[c].speaks = Some(next.announcement());
        }
        world.controllers[c].pending = Some(Rc::new(next));
        Some(world)
    }

    fn successors(&self, bug: Bug) -> Vec<World> {
        let mut out = Vec::new();
        if self.broken.is_some() {
            return out;
        }
        for c in 0..2 {
            self.steps_of(c, bug, &mut out);
        }
        // A message comes; it may come again, or never.
        for &(proxy, term, (build, stage, phase)) in &self.wire {
            let (seen, _) = self.proxies[proxy];
            let obeyed = term >= seen || bug == Bug::NoFence;
            let phases = [Phase::Trial, Phase::RollingBack, Phase::Released, Phase::Withdrawn];
            let phase = phases[usize::from(phase)];
            let mut world = self.clone();
            world.wire.remove(&(proxy, term, (build, stage, phase as u8)));
            if obeyed {
                world.say(format!("proxy {proxy} hears of term {term}: stage {stage}, {phase:?}"));
                if term < seen {
                    world.broken = Some(format!("proxy {proxy} obeys term {term} after {seen}"));
                }
                let news = Announcement { build, stage, phase, cap: 0.0 };
                world.proxies[proxy] = (term.max(seen), Some(news));
            }
            out.push(world);
        }
        if self.time < 3 {
            let mut world = self.clone();
            world.time += 1;
            world.say("time passes".into());
            out.push(world);
        }
        out
    }

    fn steps_of(&self, c: usize, bug: Bug, out: &mut Vec<World>) {
        self.event_steps(c, bug, out);
        self.journal_steps(c, bug, out);
        self.announcement_steps(c, out);
        self.takeover_steps(c, out);
    }

    /// Events that a controller decides.
    fn event_steps(&self, c: usize, bug: Bug, out: &mut Vec<World>) {
        // Votes go to whichever controller a proxy last heard, or to any: here to both.
        for proxy in 0..3u32 {
            if self.proxies[proxy as usize].1.is_none_or(|n| n.stage == 0 && n.phase == Phase::Trial) {
                let vote = Vote { proxy, build: 2, stage: 0, verdict: Verdict::On };
                out.extend(self.decide(c, &Event::Vote(vote), &format!("'on' of proxy {proxy}"), bug));
            }
        }
        for order in [Order::Resume, Order::Back] {
            let event = Event::Order { who: "lead".into(), order };
            out.extend(self.decide(c, &event, &format!("{order:?} of the lead"), bug));
        }
        out.extend(self.decide(c, &Event::Tick, "time", bug));
    }

    /// A batch becomes durable, and the controller looks for a later term after it.
    fn journal_steps(&self, c: usize, bug: Bug, out: &mut Vec<World>) {
        let controller = &self.controllers[c];
        if let Some(pending) = &controller.pending {
            // It becomes durable in its own term, whatever terms others have begun.
            let mut world = self.clone();
            world.say(format!("controller {c}: durable"));
            let term = controller.term.unwrap_or(0);
            world.terms[term].state = pending.clone();
            world.terms[term].history.insert(code(pending.announcement()));
            let me = &mut world.controllers[c];
            me.release = pending.clone();
            me.pending = None;
            me.written = true;
            out.push(world);
            // Or it is killed just before that, and a restarted one begins a term.
        }
        if controller.written {
            let mut world = self.clone();
            let later = controller.term.is_some_and(|term| term + 1 < self.terms.len());
            let me = &mut world.controllers[c];
            me.written = false;
            if later && bug != Bug::DoesNotLook {
                me.term = None;
                me.speaks = None;
                world.say(format!("controller {c} sees a later term and is silent"));
            } else {
                me.speaks = Some(me.release.announcement());
                world.say(format!("controller {c} may speak: {}", world.controllers[c].release.describe()));
            }
            out.push(world);
        }
    }

    /// The controller announces to each proxy what it may.
    fn announcement_steps(&self, c: usize, out: &mut Vec<World>) {
        let controller = &self.controllers[c];
        let (Some(term), Some(announcement)) = (controller.term, controller.speaks) else { return };
        for proxy in 0..3 {
            let mut world = self.clone();
            if world.wire.insert((proxy, term, code(announcement))) {
                world.say(format!(
                    "controller {c} tells proxy {proxy}: stage {}, {:?}",
                    announcement.stage, announcement.phase
                ));
                world.check_said(term, announcement);
                out.push(world);
            }
        }
    }

    /// Any controller may begin a term at any moment: a lease is a hint, and no property may rest on it. One that
    /// does so was killed, or was a standby; what it had not made durable is lost.
    fn takeover_steps(&self, c: usize, out: &mut Vec<World>) {
        if self.terms.len() >= 3 {
            return;
        }
        let mut world = self.clone();
        let last = self.terms.len() - 1;
        let mut state = Release::clone(&self.terms[last].state);
        let before = state.announcement();
        state.on_event(self.now(), &Event::Started);
        world.say(format!("controller {c} begins term {}: {}", self.terms.len(), state.describe()));
        world.check_step(before, state.announcement());
        let state = Rc::new(state);
        let read = self.terms[last].history.clone();
        world.terms.push(Term::new(&state, read));
        let announcement = state.announcement();
        world.controllers[c] = Controller {
            term: Some(self.terms.len()),
            release: state,
            pending: None,
            written: false,
            speaks: Some(announcement),
        };
        out.push(world);
    }

    fn check_step(&mut self, before: Announcement, after: Announcement) {
        if after.stage > before.stage {
            self.check_quorum();
        }
    }

    fn check_quorum(&mut self) {
        let standing = self.cast.iter().flatten().filter(|at| (self.time - **at) * TICK < 30 * S).count();
        if standing < 2 {
            self.broken = Some(format!("a wave begins on {standing} votes that stand, two are needed"));
        }
    }

    /// Something is said to a proxy under a term's number.
    fn check_said(&mut self, term: usize, news: Announcement) {
        let said = code(news);
        if !self.terms[term].history.contains(&said) {
            self.broken = Some(format!("term {term} says what is not durable: stage {}", news.stage));
        }
        // Whatever a replaced holder says, its successor has read.
        let successor = self.terms.get(term + 1);
        if successor.is_some_and(|s| !s.read.contains(&said)) {
            self.broken =
                Some(format!("term {term} says what its successor never read: stage {}", news.stage));
        }
    }

    /// Properties of the state itself.
    fn check_state(&self) -> Option<String> {
        if let Some(broken) = &self.broken {
            return Some(broken.clone());
        }
        for (n, term) in self.terms.iter().enumerate().skip(1) {
            let (before, now) = (self.terms[n - 1].state.announcement(), term.state.announcement());
            // Only while the earlier holder has not written past its replacement.
            if before.phase == Phase::RollingBack && now.phase == Phase::Released {
                return Some(format!("called back in term {}, released in term {n}", n - 1));
            }
        }
        self.check_hold()
    }

    /// The hold before the second wave can be left, from wherever the first is.
    fn check_hold(&self) -> Option<String> {
        let mut state = Release::clone(&self.terms.last()?.state);
        if (state.announcement().phase, state.announcement().stage) != (Phase::Trial, 0) {
            return None;
        }
        let at =
            |ticks: u64| Now { wall: WALL + (self.time + ticks) * TICK, steady: (self.time + ticks) * TICK };
        state.on_event(at(0), &Event::Order { who: "lead".into(), order: Order::Resume });
        state.on_event(at(1), &Event::Tick);
        for proxy in 0..3 {
            let vote = Vote { proxy, build: 2, stage: 0, verdict: Verdict::On };
            state.on_event(at(2), &Event::Vote(vote));
        }
        state.on_event(at(2), &Event::Tick);
        let left = state.announcement().stage == 1;
        (!left).then(|| format!("the hold cannot be left: {}", state.describe()))
    }
}

/// A world as the search knows it: equal if it would go on equally. The words said are for the trace alone.
#[derive(Clone, Debug)]
struct Node(World);

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        let (a, b) = (&self.0, &other.0);
        (a.time, &a.wire, a.cast, a.proxies) == (b.time, &b.wire, b.cast, b.proxies)
            && a.broken == b.broken
            && a.controllers == b.controllers
            && a.terms == b.terms
    }
}
impl Eq for Node {}
impl Hash for Node {
    /// Of what is cheap to look at; equality looks at the rest.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let w = &self.0;
        (w.time, &w.wire, w.cast, w.proxies.map(|p| (p.0, p.1.map(code)))).hash(state);
        let of = |r: &Release| (code(r.announcement()), r.votes());
        for c in &w.controllers {
            (c.term, c.written, c.speaks.map(code), of(&c.release), c.pending.as_deref().map(of)).hash(state);
        }
        for t in &w.terms {
            (of(&t.state), &t.history, &t.read).hash(state);
        }
    }
}

/// Searches breadth first: states seen, and the first trace that breaks a property.
fn search(bug: Bug, states_most: usize) -> (usize, usize, Option<Vec<String>>) {
    let start = World::start();
    let (mut states, mut depth) = (0, 0);
    let next = |n: &Node| n.0.successors(bug).into_iter().map(Node).collect::<Vec<_>>();
    for found in bfs_reach(Node(start), next) {
        states += 1;
        depth = depth.max(found.0.said.len());
        if let Some(why) = found.0.check_state() {
            let mut trace: Vec<String> = found.0.said.into_iter().collect();
            trace.push(format!("BROKEN: {why}"));
            return (states, depth, Some(trace));
        }
        if states >= states_most {
            break;
        }
    }
    (states, depth, None)
}

#[test]
fn no_state_within_reach_breaks_a_property() {
    let (states, depth, trace) = search(Bug::None, 4_000);
    assert!(trace.is_none(), "{trace:#?}");
    assert!(states >= 4_000 && depth >= 4, "{states} states, {depth} steps deep");
}

#[test]
fn planted_bugs_are_found_with_a_short_trace() {
    let words = [
        (Bug::SpeaksFirst, "not durable"),
        (Bug::NoFence, "obeys term"),
        (Bug::DoesNotLook, "its successor never read"),
    ];
    for (bug, word) in words {
        let (states, _, trace) = search(bug, 400_000);
        let trace = trace.unwrap_or_else(|| panic!("{bug:?} is not found in {states} states"));
        println!("{bug:?}, {states} states:");
        trace.iter().for_each(|line| println!("  {line}"));
        assert!(trace.last().is_some_and(|last| last.contains(word)), "{bug:?}: {trace:#?}");
        assert!(trace.len() <= 16, "{bug:?}: {trace:#?}");
    }
}

#[test]
#[ignore = "minutes; measured in docs/measurements/plans.md"]
fn a_long_search() {
    let (states, depth, trace) = search(Bug::None, 500_000);
    println!("{states} states, {depth} steps deep, {trace:?}");
    assert!(trace.is_none(), "{trace:#?}");
}
