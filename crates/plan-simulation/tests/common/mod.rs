//! An independent check of decisions against a plan: from each event, what must have been true for the
//! decision on it. It shares nothing with the decisions but the plan; windows are read by fixed offsets of
//! zones without summer time.

use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::{Gate, OnClose, Plan, Power, SignOff};
use violetseam_plan_simulation::Step;
use violetseam_release::{Announcement, Event, Order, Phase, PlaceState, Reply, Verdict, Vote};

pub const S: u64 = 1_000_000;
pub const MINUTE: u64 = 60 * S;

/// Minutes that a zone is ahead of UTC, all year or at least in the tests' season.
fn ahead(zone: &str) -> i64 {
    match zone {
        "UTC" | "Europe/London" => 0,
        "Africa/Nairobi" => 180,
        "Asia/Kolkata" => 330,
        other => panic!("the check does not know {other}"),
    }
}

/// Whether the plan's windows are open: by minutes of the week.
pub fn open(plan: &Plan, wall: u64) -> bool {
    if plan.calendar.freezes.iter().any(|f| wall >= f.start && wall < f.end) {
        return false;
    }
    if plan.calendar.windows.is_empty() {
        return true;
    }
    plan.calendar.windows.iter().any(|w| {
        let local = (wall / MINUTE) as i64 + ahead(&w.zone);
        let (day, minute) = (local.div_euclid(1_440), local.rem_euclid(1_440) as u16);
        // 1970-01-01 was a Thursday, which is 3.
        let of_week = |day: i64| (day + 3).rem_euclid(7) as u8;
        if w.end > w.start {
            w.days.contains(&of_week(day)) && minute >= w.start && minute < w.end
        } else {
            (w.days.contains(&of_week(day)) && minute >= w.start)
                || (w.days.contains(&of_week(day - 1)) && minute < w.end)
        }
    })
}

/// A proxy's last vote.
struct CastVote {
    verdict: Verdict,
    build: u16,
    stage: u8,
    valid_until: u64,
}

/// Checks the decisions on one release.
pub struct DecisionChecker {
    plan: Plan,
    votes: BTreeMap<u32, CastVote>,
    signed: BTreeSet<(String, String)>,
    runs: BTreeSet<(u32, u16)>,
    offered: Option<u64>,
    /// When the present wave, or the wait for the first, began.
    since: u64,
    /// When a place of the wave first ran the build in it.
    first_run: Option<u64>,
    skipped: bool,
    left: bool,
    stopped_until: Option<u64>,
    ordered_back: bool,
    clock_set: bool,
    last: Option<(u64, u64)>,
    pub transitions: usize,
    pub outcomes: BTreeMap<String, usize>,
}

impl DecisionChecker {
    pub fn new(plan: &Plan) -> DecisionChecker {
        DecisionChecker {
            plan: plan.clone(),
            votes: BTreeMap::new(),
            signed: BTreeSet::new(),
            runs: BTreeSet::new(),
            offered: None,
            since: 0,
            first_run: None,
            skipped: false,
            left: false,
            stopped_until: None,
            ordered_back: false,
            clock_set: false,
            last: None,
            transitions: 0,
            outcomes: BTreeMap::new(),
        }
    }

    fn valid_votes(&self, verdict: Verdict, now: u64, announcement: Announcement) -> usize {
        let counts = |c: &&CastVote| {
            c.verdict == verdict
                && c.build == announcement.build
                && c.valid_until > now
                && (verdict == Verdict::Back || c.stage == announcement.stage)
        };
        self.votes.values().filter(counts).count()
    }

    fn share(&self, gate: Gate, share: f64) -> usize {
        match gate {
            Gate::Any => 1,
            _ => ((share * f64::from(self.plan.fleet.proxies)).ceil() as usize).max(1),
        }
    }

    fn signed_off(&self, wave: &str) -> bool {
        self.plan.sign_offs.iter().filter(|s| s.wave == wave).all(|s| {
            let given = s.by.iter().filter(|who| self.signed.contains(&((*who).clone(), wave.to_owned())));
            given.count() >= s.count
        })
    }

    /// Checks one event and the decision on it.
    pub fn check(&mut self, step: &Step) {
        let now = step.now.steady;
        let wall = step.now.wall;
        self.note_clock(now, wall);
        if step.reply == Reply::Accepted {
            self.take_event(step, now);
        }
        self.note_first_run(step, now);
        if step.before != step.after {
            self.check_change(step, now, wall);
        }
        self.check_desired_builds(step);
    }

    /// Notes whether the wall clock was set since the last event.
    fn note_clock(&mut self, now: u64, wall: u64) {
        if let Some((last_now, last_wall)) = self.last {
            let elapsed = (now - last_now) as i64;
            let shown = wall as i64 - last_wall as i64;
            self.clock_set |= (shown - elapsed).unsigned_abs() > 2 * S;
        }
        self.last = Some((now, wall));
    }

    fn take_event(&mut self, step: &Step, now: u64) {
        match &step.event {
            Event::Offer(_) => {
                self.offered = Some(now);
                self.since = now;
            }
            Event::Vote(vote) => self.take_vote(vote, step.before, now),
            Event::Sign { who, wave } => {
                let was_asked = |sign_off: &SignOff| sign_off.wave == *wave && sign_off.by.contains(who);
                assert!(self.plan.sign_offs.iter().any(was_asked), "{who} was not asked");
                self.signed.insert((who.clone(), wave.clone()));
            }
            Event::Unsign { who, wave } => {
                self.signed.remove(&(who.clone(), wave.clone()));
            }
            Event::Order { who, order } => self.take_order(who, *order, now, step),
            Event::Place { place, build, state: PlaceState::Running } => {
                self.runs.insert((*place, *build));
            }
            Event::Place { place, build, .. } => {
                self.runs.remove(&(*place, *build));
            }
            _ => {}
        }
    }

    fn take_vote(&mut self, vote: &Vote, before: Announcement, now: u64) {
        assert_eq!(vote.build, before.build, "a vote on another build counts");
        let counts_in_any_stage = matches!(vote.verdict, Verdict::Back | Verdict::Withdraw);
        assert!(counts_in_any_stage || vote.stage == before.stage, "a vote on another stage counts");
        assert!(vote.proxy < self.plan.fleet.proxies);
        let &Vote { proxy, build, stage, verdict } = vote;
        if verdict == Verdict::Withdraw {
            self.votes.remove(&proxy);
        } else {
            let valid_until = now + self.plan.fleet.vote_ttl;
            self.votes.insert(proxy, CastVote { verdict, build, stage, valid_until });
        }
    }

    /// Notes when a place of the present wave first ran the build.
    fn note_first_run(&mut self, step: &Step, now: u64) {
        if step.before.phase == Phase::Trial && self.first_run.is_none() {
            let wave = &self.plan.waves[usize::from(step.before.stage)];
            let runs_somewhere =
                wave.places.iter().any(|place| self.runs.contains(&(*place, self.plan.build)));
            self.first_run = runs_somewhere.then_some(now);
        }
    }

    fn check_desired_builds(&self, step: &Step) {
        if step.after.phase == Phase::Trial {
            let wave = &self.plan.waves[usize::from(step.after.stage)];
            let desired = step.desired_builds.iter().filter(|(_, build)| *build == self.plan.build);
            let places: BTreeSet<u32> = desired.map(|(place, _)| *place).collect();
            assert_eq!(places, wave.places, "places other than the wave's are to run the build");
        }
    }

    fn take_order(&mut self, who: &str, order: Order, now: u64, step: &Step) {
        let may = |power| self.plan.overrides.iter().any(|o| o.who == who && o.may.contains(&power));
        let next = match step.before.phase {
            Phase::Trial => usize::from(step.before.stage) + 1,
            _ => 0,
        };
        let name = self.plan.waves.get(next).map(|w| w.name.clone()).unwrap_or_default();
        let leaves = self.plan.holds.iter().any(|h| h.before == name && h.leave.iter().any(|l| l == who));
        match order {
            Order::Hold(span) => {
                assert!(may(Power::Hold));
                self.stopped_until = Some(now + span);
            }
            Order::Resume => {
                assert!(may(Power::Resume) || leaves);
                self.stopped_until = None;
                self.left |= leaves;
            }
            Order::Back => {
                assert!(may(Power::Back));
                self.ordered_back = true;
            }
            Order::Skip => {
                assert!(may(Power::Skip));
                self.skipped = true;
            }
        }
    }

    fn check_change(&mut self, step: &Step, now: u64, wall: u64) {
        let before = step.before;
        let after = step.after;
        self.transitions += 1;
        match (before.phase, after.phase) {
            (Phase::Released | Phase::Withdrawn, Phase::Trial) => {
                assert_eq!(
                    (after.build, after.stage, after.cap),
                    (self.plan.build, 0, self.plan.waves[0].cap)
                );
                self.check_begin(0, now, wall);
                self.enter(now);
            }
            (Phase::Trial, Phase::Trial) => {
                assert_eq!(
                    (before.build, before.stage + 1),
                    (after.build, after.stage),
                    "one wave at a time"
                );
                let next = usize::from(after.stage);
                assert_eq!(after.cap, self.plan.waves[next].cap);
                self.check_leave(before, now, wall);
                self.check_begin(next, now, wall);
                self.enter(now);
            }
            (Phase::Trial, Phase::Released) => {
                assert_eq!(
                    usize::from(before.stage) + 1,
                    self.plan.waves.len(),
                    "released before its last wave"
                );
                assert_eq!(after.cap, 1.0);
                self.check_leave(before, now, wall);
                let last = &self.plan.waves[usize::from(before.stage)];
                assert!(
                    last.on_close == OnClose::Finish || open(&self.plan, wall),
                    "released in a closed window"
                );
                self.since = now;
                *self.outcomes.entry("released".into()).or_default() += 1;
            }
            (Phase::Trial | Phase::Released, Phase::RollingBack) => {
                let why = self.rollback_reason(before, now, wall);
                assert!(why.is_some(), "it goes back without a reason: {step:?}");
                assert!(after.cap <= before.cap);
                *self.outcomes.entry(format!("back: {}", why.unwrap_or(""))).or_default() += 1;
            }
            (Phase::RollingBack, Phase::RollingBack) => {
                assert!(after.cap < before.cap, "a cap rose on the way back");
            }
            (Phase::RollingBack, Phase::Withdrawn) => {
                assert_eq!(after.cap, 0.0);
                assert!(self.runs.iter().all(|r| r.1 != self.plan.build), "withdrawn, and still running");
            }
            other => panic!("no plan has this: {other:?} in {step:?}"),
        }
    }

    fn enter(&mut self, now: u64) {
        self.since = now;
        self.first_run = None;
        self.skipped = false;
        self.left = false;
        self.clock_set = false;
        self.votes.clear();
    }

    fn check_begin(&self, wave: usize, now: u64, wall: u64) {
        let name = &self.plan.waves[wave].name;
        assert!(open(&self.plan, wall), "wave {name:?} begins in a closed window");
        assert!(self.signed_off(name), "wave {name:?} begins without its approvals");
        assert!(self.stopped_until.is_none_or(|until| now >= until), "wave {name:?} begins under a hold");
        if let Some(hold) = self.plan.holds.iter().find(|h| h.before == *name) {
            let over = hold.at_most.is_some_and(|most| now - self.since >= most);
            assert!(self.left || over, "wave {name:?} begins before its hold is left");
        }
    }

    fn check_leave(&self, announcement: Announcement, now: u64, wall: u64) {
        let wave = &self.plan.waves[usize::from(announcement.stage)];
        let name = &wave.name;
        let back = self.share(wave.gate, self.plan.fleet.votes_back);
        assert!(
            self.valid_votes(Verdict::Back, now, announcement) < back,
            "wave {name:?} moves on against 'back'"
        );
        let needed = self.share(wave.gate, wave.votes);
        if wave.gate == Gate::Timer {
            assert!(
                self.valid_votes(Verdict::Hold, now, announcement) < needed,
                "wave {name:?} moves on against 'hold'"
            );
        } else {
            let on = self.valid_votes(Verdict::On, now, announcement);
            assert!(on >= needed, "wave {name:?} moves on with {on} of {needed} votes");
        }
        assert!(self.stopped_until.is_none_or(|until| now >= until), "wave {name:?} moves on under a hold");
        let Some(ran) = self.first_run else { panic!("wave {name:?} moves on and ran nowhere") };
        if self.skipped {
            return;
        }
        assert!(now - ran >= wave.soak, "wave {name:?} soaked {} of {} s", (now - ran) / S, wave.soak / S);
        // Soak outside windows does not count, unless the wave may finish there.
        if wave.on_close != OnClose::Finish && !self.clock_set {
            let began = wall - (now - ran);
            let seconds = (began..wall).step_by(S as usize);
            let counted = seconds.filter(|at| open(&self.plan, *at)).count() as u64;
            assert!(counted + 2 >= wave.soak / S, "wave {name:?} soaked {counted} s in open windows");
        }
    }

    fn rollback_reason(&self, announcement: Announcement, now: u64, wall: u64) -> Option<&'static str> {
        let wave = &self.plan.waves[usize::from(announcement.stage)];
        let offered = self.offered.unwrap_or(now);
        let ahead = &self.plan.waves[(usize::from(announcement.stage) + 1).min(self.plan.waves.len())..];
        let unsigned = |s: &SignOff| {
            ahead.iter().any(|w| w.name == s.wave) && now - offered > s.within && !self.signed_off(&s.wave)
        };
        if self.valid_votes(Verdict::Back, now, announcement)
            >= self.share(wave.gate, self.plan.fleet.votes_back)
        {
            Some("votes")
        } else if self.ordered_back {
            Some("order")
        } else if now - offered >= self.plan.longest {
            Some("too long")
        } else if self.plan.sign_offs.iter().any(unsigned) {
            Some("no approval")
        } else if wave.on_close == OnClose::Back && !open(&self.plan, wall) {
            Some("window")
        } else {
            None
        }
    }
}
