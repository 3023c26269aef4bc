//! A reading of plans of its own: from each event, what must have held for the decision on it. It shares
//! nothing with the decisions but the plan's text; windows are read by fixed offsets of zones without summer
//! time.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::{Gate, OnClose, Plan, Power};
use violetseam_plan_simulation::Step;
use violetseam_release::{Announcement, Event, Order, Phase, PlaceState, Reply, Verdict};

pub const S: u64 = 1_000_000;
pub const MINUTE: u64 = 60 * S;

/// Minutes that a zone is ahead of UTC, all year or at least in the tests' season.
fn ahead(zone: &str) -> i64 {
    match zone {
        "UTC" | "Europe/London" => 0,
        "Africa/Nairobi" => 180,
        "Asia/Kolkata" => 330,
        other => panic!("the reader does not know {other}"),
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

struct Cast {
    verdict: Verdict,
    build: u16,
    stage: u8,
    until: u64,
}

/// Reads one release.
pub struct Reader {
    plan: Plan,
    votes: BTreeMap<u32, Cast>,
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

impl Reader {
    pub fn new(plan: &Plan) -> Reader {
        Reader {
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

    fn valid_votes(&self, verdict: Verdict, now: u64, news: Announcement) -> usize {
        let counts = |c: &&Cast| {
            c.verdict == verdict
                && c.build == news.build
                && c.until > now
                && (verdict == Verdict::Back || c.stage == news.stage)
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

    /// One event and the decision on it.
    pub fn read(&mut self, step: &Step) {
        let (now, wall) = (step.now.steady, step.now.wall);
        if let Some((steady, before)) = self.last {
            self.clock_set |= (wall as i64 - before as i64 - (now - steady) as i64).unsigned_abs() > 2 * S;
        }
        self.last = Some((now, wall));
        let ok = step.reply == Reply::Accepted;
        match &step.event {
            Event::Offer(_) if ok => (self.offered, self.since) = (Some(now), now),
            Event::Vote(v) if ok => {
                assert_eq!(v.build, step.before.build, "a vote on another build counts");
                let any = matches!(v.verdict, Verdict::Back | Verdict::Withdraw);
                assert!(any || v.stage == step.before.stage, "a vote on another stage counts");
                assert!(v.proxy < self.plan.fleet.proxies);
                let until = now + self.plan.fleet.vote_ttl;
                let (verdict, build, stage) = (v.verdict, v.build, v.stage);
                if verdict == Verdict::Withdraw {
                    self.votes.remove(&v.proxy);
                } else {
                    self.votes.insert(v.proxy, Cast { verdict, build, stage, until });
                }
            }
            Event::Sign { who, wave } if ok => {
                let asked = |s: &&violetseam_plan::SignOff| s.wave == *wave && s.by.contains(who);
                assert!(self.plan.sign_offs.iter().any(|s| asked(&s)), "{who} was not asked");
                self.signed.insert((who.clone(), wave.clone()));
            }
            Event::Unsign { who, wave } if ok => {
                self.signed.remove(&(who.clone(), wave.clone()));
            }
            Event::Order { who, order } if ok => self.ordered(who, *order, now, step),
            Event::Place { place, build, state } if ok => {
                if *state == PlaceState::Running {
                    self.runs.insert((*place, *build));
                } else {
                    self.runs.remove(&(*place, *build));
                }
            }
            _ => {}
        }
        if step.before.phase == Phase::Trial && self.first_run.is_none() {
            let wave = &self.plan.waves[usize::from(step.before.stage)];
            let any = wave.places.iter().any(|p| self.runs.contains(&(*p, self.plan.build)));
            self.first_run = any.then_some(now);
        }
        if step.before != step.after {
            self.changed(step, now, wall);
        }
        if step.after.phase == Phase::Trial {
            let wave = &self.plan.waves[usize::from(step.after.stage)];
            let new: BTreeSet<u32> =
                step.desired_builds.iter().filter(|w| w.1 == self.plan.build).map(|w| w.0).collect();
            assert_eq!(new, wave.places, "places other than the wave's are to run the build");
        }
    }

    fn ordered(&mut self, who: &str, order: Order, now: u64, step: &Step) {
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

    fn changed(&mut self, step: &Step, now: u64, wall: u64) {
        let (a, b) = (step.before, step.after);
        self.transitions += 1;
        match (a.phase, b.phase) {
            (Phase::Released | Phase::Withdrawn, Phase::Trial) => {
                assert_eq!((b.build, b.stage, b.cap), (self.plan.build, 0, self.plan.waves[0].cap));
                self.may_begin(0, now, wall);
                self.enter(now);
            }
            (Phase::Trial, Phase::Trial) => {
                assert_eq!((a.build, a.stage + 1), (b.build, b.stage), "one wave at a time");
                let next = usize::from(b.stage);
                assert_eq!(b.cap, self.plan.waves[next].cap);
                self.may_leave(a, now, wall);
                self.may_begin(next, now, wall);
                self.enter(now);
            }
            (Phase::Trial, Phase::Released) => {
                assert_eq!(usize::from(a.stage) + 1, self.plan.waves.len(), "released before its last wave");
                assert_eq!(b.cap, 1.0);
                self.may_leave(a, now, wall);
                let last = &self.plan.waves[usize::from(a.stage)];
                assert!(
                    last.on_close == OnClose::Finish || open(&self.plan, wall),
                    "released in a closed window"
                );
                self.since = now;
                *self.outcomes.entry("released".into()).or_default() += 1;
            }
            (Phase::Trial | Phase::Released, Phase::RollingBack) => {
                let why = self.reason_to_go_back(a, now, wall);
                assert!(why.is_some(), "it goes back without a reason: {step:?}");
                assert!(b.cap <= a.cap);
                *self.outcomes.entry(format!("back: {}", why.unwrap_or(""))).or_default() += 1;
            }
            (Phase::RollingBack, Phase::RollingBack) => assert!(b.cap < a.cap, "a cap rose on the way back"),
            (Phase::RollingBack, Phase::Withdrawn) => {
                assert_eq!(b.cap, 0.0);
                assert!(self.runs.iter().all(|r| r.1 != self.plan.build), "withdrawn, and still running");
            }
            other => panic!("no plan has this: {other:?} in {step:?}"),
        }
    }

    fn enter(&mut self, now: u64) {
        self.since = now;
        (self.first_run, self.skipped, self.left, self.clock_set) = (None, false, false, false);
        self.votes.clear();
    }

    fn may_begin(&self, wave: usize, now: u64, wall: u64) {
        let name = &self.plan.waves[wave].name;
        assert!(open(&self.plan, wall), "wave {name:?} begins in a closed window");
        assert!(self.signed_off(name), "wave {name:?} begins without its approvals");
        assert!(self.stopped_until.is_none_or(|until| now >= until), "wave {name:?} begins under a hold");
        if let Some(hold) = self.plan.holds.iter().find(|h| h.before == *name) {
            let over = hold.at_most.is_some_and(|most| now - self.since >= most);
            assert!(self.left || over, "wave {name:?} begins before its hold is left");
        }
    }

    fn may_leave(&self, news: Announcement, now: u64, wall: u64) {
        let wave = &self.plan.waves[usize::from(news.stage)];
        let name = &wave.name;
        let back = self.share(wave.gate, self.plan.fleet.votes_back);
        assert!(self.valid_votes(Verdict::Back, now, news) < back, "wave {name:?} moves on against 'back'");
        let needed = self.share(wave.gate, wave.votes);
        if wave.gate == Gate::Timer {
            assert!(
                self.valid_votes(Verdict::Hold, now, news) < needed,
                "wave {name:?} moves on against 'hold'"
            );
        } else {
            let on = self.valid_votes(Verdict::On, now, news);
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

    fn reason_to_go_back(&self, news: Announcement, now: u64, wall: u64) -> Option<&'static str> {
        let wave = &self.plan.waves[usize::from(news.stage)];
        let offered = self.offered.unwrap_or(now);
        let ahead = &self.plan.waves[(usize::from(news.stage) + 1).min(self.plan.waves.len())..];
        let unsigned = |s: &violetseam_plan::SignOff| {
            ahead.iter().any(|w| w.name == s.wave) && now - offered > s.within && !self.signed_off(&s.wave)
        };
        if self.valid_votes(Verdict::Back, now, news) >= self.share(wave.gate, self.plan.fleet.votes_back) {
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
