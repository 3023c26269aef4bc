//! An independent checker of the controller's decisions against a plan. After each event, it checks the
//! conditions that the decision on it requires. It shares no code with the decisions except the plan's types.
//! It evaluates windows with fixed UTC offsets, for zones that have no daylight saving time in the tests'
//! season.

use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::{Gate, OnClose, Plan, Power, SignOff};
use violetseam_plan_simulation::Step;
use violetseam_release::{Announcement, Event, Order, Phase, PlaceState, Reply, Verdict, Vote};

/// A second in microseconds.
pub const S: u64 = 1_000_000;
/// A minute in microseconds.
pub const MINUTE: u64 = 60 * S;

/// Returns how many minutes a zone is ahead of UTC, all year or at least in the tests' season.
fn utc_offset_minutes(zone: &str) -> i64 {
    match zone {
        "UTC" | "Europe/London" => 0,
        "Africa/Nairobi" => 180,
        "Asia/Kolkata" => 330,
        other => panic!("the checker does not know the UTC offset of zone {other}"),
    }
}

/// Whether no freeze applies and one of the plan's windows is open, computed from the minutes of the week. A
/// plan without windows is always open.
pub fn is_window_open(plan: &Plan, wall: u64) -> bool {
    if plan.calendar.freezes.iter().any(|f| wall >= f.start && wall < f.end) {
        return false;
    }
    if plan.calendar.windows.is_empty() {
        return true;
    }
    plan.calendar.windows.iter().any(|w| {
        let local = (wall / MINUTE) as i64 + utc_offset_minutes(&w.zone);
        let (day, minute) = (local.div_euclid(1_440), local.rem_euclid(1_440) as u16);
        // 1970-01-01 was a Thursday, which has the number 3.
        let day_of_week = |day: i64| (day + 3).rem_euclid(7) as u8;
        if w.end > w.start {
            w.days.contains(&day_of_week(day)) && minute >= w.start && minute < w.end
        } else {
            (w.days.contains(&day_of_week(day)) && minute >= w.start)
                || (w.days.contains(&day_of_week(day - 1)) && minute < w.end)
        }
    })
}

/// The last vote of a proxy.
struct CastVote {
    verdict: Verdict,
    build: u16,
    stage: u8,
    valid_until: u64,
}

/// Checks the decisions on one release, one event at a time.
pub struct DecisionChecker {
    plan: Plan,
    votes: BTreeMap<u32, CastVote>,
    approvals: BTreeSet<(String, String)>,
    running_builds: BTreeSet<(u32, u16)>,
    offered_at: Option<u64>,
    /// When the current wave, or the wait for the first one, began.
    stage_began_at: u64,
    /// When a place of the current wave first ran the build during that wave.
    first_run_at: Option<u64>,
    skipped: bool,
    hold_ended: bool,
    held_until: Option<u64>,
    rollback_ordered: bool,
    clock_was_set: bool,
    last_clocks: Option<(u64, u64)>,
    pub transitions: usize,
    pub outcomes: BTreeMap<String, usize>,
}

impl DecisionChecker {
    pub fn new(plan: &Plan) -> DecisionChecker {
        DecisionChecker {
            plan: plan.clone(),
            votes: BTreeMap::new(),
            approvals: BTreeSet::new(),
            running_builds: BTreeSet::new(),
            offered_at: None,
            stage_began_at: 0,
            first_run_at: None,
            skipped: false,
            hold_ended: false,
            held_until: None,
            rollback_ordered: false,
            clock_was_set: false,
            last_clocks: None,
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

    /// Returns how many votes a share of the proxies is; one vote is enough at a gate of any proxy.
    fn votes_needed(&self, gate: Gate, share: f64) -> usize {
        match gate {
            Gate::Any => 1,
            _ => ((share * f64::from(self.plan.fleet.proxies)).ceil() as usize).max(1),
        }
    }

    fn is_approved(&self, wave: &str) -> bool {
        self.plan.sign_offs.iter().filter(|s| s.wave == wave).all(|s| {
            let approvals =
                s.by.iter().filter(|who| self.approvals.contains(&((*who).clone(), wave.to_owned())));
            approvals.count() >= s.count
        })
    }

    /// Checks one event and the decision on it.
    pub fn check(&mut self, step: &Step) {
        let now = step.now.steady;
        let wall = step.now.wall;
        self.detect_clock_step(now, wall);
        if step.reply == Reply::Accepted {
            self.apply_event(step, now);
        }
        self.record_first_run(step, now);
        if step.before != step.after {
            self.check_change(step, now, wall);
        }
        self.check_desired_builds(step);
    }

    /// Detects whether the wall clock was set since the last event.
    fn detect_clock_step(&mut self, now: u64, wall: u64) {
        if let Some((last_now, last_wall)) = self.last_clocks {
            let elapsed = (now - last_now) as i64;
            let wall_elapsed = wall as i64 - last_wall as i64;
            self.clock_was_set |= (wall_elapsed - elapsed).unsigned_abs() > 2 * S;
        }
        self.last_clocks = Some((now, wall));
    }

    fn apply_event(&mut self, step: &Step, now: u64) {
        match &step.event {
            Event::Offer(_) => {
                self.offered_at = Some(now);
                self.stage_began_at = now;
            }
            Event::Vote(vote) => self.apply_vote(vote, step.before, now),
            Event::Sign { who, wave } => {
                let was_asked = |sign_off: &SignOff| sign_off.wave == *wave && sign_off.by.contains(who);
                assert!(self.plan.sign_offs.iter().any(was_asked), "{who} was not asked");
                self.approvals.insert((who.clone(), wave.clone()));
            }
            Event::Unsign { who, wave } => {
                self.approvals.remove(&(who.clone(), wave.clone()));
            }
            Event::Order { who, order } => self.apply_order(who, *order, now, step),
            Event::Place { place, build, state: PlaceState::Running } => {
                self.running_builds.insert((*place, *build));
            }
            Event::Place { place, build, .. } => {
                self.running_builds.remove(&(*place, *build));
            }
            _ => {}
        }
    }

    fn apply_vote(&mut self, vote: &Vote, before: Announcement, now: u64) {
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

    /// Records when a place of the current wave first ran the build.
    fn record_first_run(&mut self, step: &Step, now: u64) {
        if step.before.phase == Phase::Trial && self.first_run_at.is_none() {
            let wave = &self.plan.waves[usize::from(step.before.stage)];
            let runs_somewhere =
                wave.places.iter().any(|place| self.running_builds.contains(&(*place, self.plan.build)));
            self.first_run_at = runs_somewhere.then_some(now);
        }
    }

    fn check_desired_builds(&self, step: &Step) {
        if step.after.phase == Phase::Trial {
            let wave = &self.plan.waves[usize::from(step.after.stage)];
            let desired = step.desired_builds.iter().filter(|(_, build)| *build == self.plan.build);
            let places: BTreeSet<u32> = desired.map(|(place, _)| *place).collect();
            assert_eq!(places, wave.places, "the places that should run the build are not those of the wave");
        }
    }

    fn apply_order(&mut self, who: &str, order: Order, now: u64, step: &Step) {
        let may_order = |power| self.plan.overrides.iter().any(|o| o.who == who && o.may.contains(&power));
        let next = match step.before.phase {
            Phase::Trial => usize::from(step.before.stage) + 1,
            _ => 0,
        };
        let name = self.plan.waves.get(next).map(|w| w.name.clone()).unwrap_or_default();
        let may_end_hold =
            self.plan.holds.iter().any(|h| h.before == name && h.leave.iter().any(|l| l == who));
        match order {
            Order::Hold(span) => {
                assert!(may_order(Power::Hold));
                self.held_until = Some(now + span);
            }
            Order::Resume => {
                assert!(may_order(Power::Resume) || may_end_hold);
                self.held_until = None;
                self.hold_ended |= may_end_hold;
            }
            Order::Back => {
                assert!(may_order(Power::Back));
                self.rollback_ordered = true;
            }
            Order::Skip => {
                assert!(may_order(Power::Skip));
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
                self.check_wave_begins(0, now, wall);
                self.begin_stage(now);
            }
            (Phase::Trial, Phase::Trial) => {
                assert_eq!(
                    (before.build, before.stage + 1),
                    (after.build, after.stage),
                    "more than one wave was passed at once"
                );
                let next = usize::from(after.stage);
                assert_eq!(after.cap, self.plan.waves[next].cap);
                self.check_wave_ends(before, now, wall);
                self.check_wave_begins(next, now, wall);
                self.begin_stage(now);
            }
            (Phase::Trial, Phase::Released) => {
                assert_eq!(
                    usize::from(before.stage) + 1,
                    self.plan.waves.len(),
                    "released before its last wave"
                );
                assert_eq!(after.cap, 1.0);
                self.check_wave_ends(before, now, wall);
                let last = &self.plan.waves[usize::from(before.stage)];
                assert!(
                    last.on_close == OnClose::Finish || is_window_open(&self.plan, wall),
                    "released in a closed window"
                );
                self.stage_began_at = now;
                *self.outcomes.entry("released".into()).or_default() += 1;
            }
            (Phase::Trial | Phase::Released, Phase::RollingBack) => {
                let reason = self.rollback_reason(before, now, wall);
                assert!(reason.is_some(), "the release is rolled back without a reason: {step:?}");
                assert!(after.cap <= before.cap);
                *self.outcomes.entry(format!("back: {}", reason.unwrap_or(""))).or_default() += 1;
            }
            (Phase::RollingBack, Phase::RollingBack) => {
                assert!(after.cap < before.cap, "the cap did not fall during a rollback");
            }
            (Phase::RollingBack, Phase::Withdrawn) => {
                assert_eq!(after.cap, 0.0);
                assert!(
                    self.running_builds.iter().all(|r| r.1 != self.plan.build),
                    "withdrawn while a place still runs it"
                );
            }
            other => panic!("a transition that no plan permits: {other:?} in {step:?}"),
        }
    }

    fn begin_stage(&mut self, now: u64) {
        self.stage_began_at = now;
        self.first_run_at = None;
        self.skipped = false;
        self.hold_ended = false;
        self.clock_was_set = false;
        self.votes.clear();
    }

    fn check_wave_begins(&self, wave: usize, now: u64, wall: u64) {
        let name = &self.plan.waves[wave].name;
        assert!(is_window_open(&self.plan, wall), "wave {name:?} begins in a closed window");
        assert!(self.is_approved(name), "wave {name:?} begins without its approvals");
        assert!(self.held_until.is_none_or(|until| now >= until), "wave {name:?} begins under a hold");
        if let Some(hold) = self.plan.holds.iter().find(|h| h.before == *name) {
            let hold_expired = hold.at_most.is_some_and(|most| now - self.stage_began_at >= most);
            assert!(self.hold_ended || hold_expired, "wave {name:?} begins before its hold is ended");
        }
    }

    fn check_wave_ends(&self, announcement: Announcement, now: u64, wall: u64) {
        let wave = &self.plan.waves[usize::from(announcement.stage)];
        let name = &wave.name;
        let back = self.votes_needed(wave.gate, self.plan.fleet.votes_back);
        assert!(
            self.valid_votes(Verdict::Back, now, announcement) < back,
            "wave {name:?} moves on against 'back'"
        );
        let needed = self.votes_needed(wave.gate, wave.votes);
        if wave.gate == Gate::Timer {
            assert!(
                self.valid_votes(Verdict::Hold, now, announcement) < needed,
                "wave {name:?} moves on against 'hold'"
            );
        } else {
            let on = self.valid_votes(Verdict::On, now, announcement);
            assert!(on >= needed, "wave {name:?} moves on with {on} of {needed} votes");
        }
        assert!(self.held_until.is_none_or(|until| now >= until), "wave {name:?} moves on under a hold");
        let Some(ran_at) = self.first_run_at else {
            panic!("wave {name:?} moves on without having run anywhere")
        };
        if self.skipped {
            return;
        }
        assert!(
            now - ran_at >= wave.soak,
            "wave {name:?} soaked {} of {} s",
            (now - ran_at) / S,
            wave.soak / S
        );
        // Soak time outside windows does not count, unless the wave may finish outside them.
        if wave.on_close != OnClose::Finish && !self.clock_was_set {
            let began = wall - (now - ran_at);
            let seconds = (began..wall).step_by(S as usize);
            let counted_seconds = seconds.filter(|at| is_window_open(&self.plan, *at)).count() as u64;
            assert!(
                counted_seconds + 2 >= wave.soak / S,
                "wave {name:?} soaked {counted_seconds} s in open windows"
            );
        }
    }

    fn rollback_reason(&self, announcement: Announcement, now: u64, wall: u64) -> Option<&'static str> {
        let wave = &self.plan.waves[usize::from(announcement.stage)];
        let offered_at = self.offered_at.unwrap_or(now);
        let later_waves =
            &self.plan.waves[(usize::from(announcement.stage) + 1).min(self.plan.waves.len())..];
        let is_overdue = |s: &SignOff| {
            later_waves.iter().any(|w| w.name == s.wave)
                && now - offered_at > s.within
                && !self.is_approved(&s.wave)
        };
        if self.valid_votes(Verdict::Back, now, announcement)
            >= self.votes_needed(wave.gate, self.plan.fleet.votes_back)
        {
            Some("votes")
        } else if self.rollback_ordered {
            Some("order")
        } else if now - offered_at >= self.plan.longest {
            Some("too long")
        } else if self.plan.sign_offs.iter().any(is_overdue) {
            Some("no approval")
        } else if wave.on_close == OnClose::Back && !is_window_open(&self.plan, wall) {
            Some("window")
        } else {
            None
        }
    }
}
