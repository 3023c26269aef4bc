//! The release desk: offers builds in stages, counts votes, starts and drains machines.
//!
//! Machines stand in places. A stage wants the new build in its share of them; with `beside` the machine
//! before stays until the release, else it drains once its successor runs. A build that is sent back is
//! replaced by the one before, which has to be started again where it has gone.

use crate::day::{Gate, Release, Rollout};
use std::collections::BTreeMap;
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate, VerdictName, Vote, VoteOutcome};

/// A stage's clock starts so long after all its machines run, in microseconds ...
const SETTLE: u64 = 1_000_000;
/// ... or so long after their launch at the latest.
const LAUNCH_MOST: u64 = 8_000_000;

/// Something to be done with machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start a machine with this build in a place.
    Start {
        /// The machine's number, given by the desk.
        machine: u64,
        /// Where.
        place: usize,
        /// What it runs.
        build: u16,
    },
    /// It finishes its work.
    Drain {
        /// The machine.
        machine: u64,
    },
    /// It ends.
    Stop {
        /// The machine.
        machine: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Booting(u64),
    Running,
    Draining(u64),
}

#[derive(Clone, Copy, Debug)]
struct Machine {
    place: usize,
    build: u16,
    life: Life,
}

#[derive(Clone, Copy, Debug)]
struct Standing {
    verdict: VerdictName,
    build: u16,
    stage: u8,
    until: u64,
}

/// What became of a build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fate {
    /// The build.
    pub build: u16,
    /// When it was offered.
    pub offered: u64,
    /// When it was released.
    pub released: Option<u64>,
    /// When it was sent or taken back.
    pub back: Option<u64>,
}

/// The desk.
#[derive(Debug)]
pub struct Desk {
    plan: Rollout,
    releases: Vec<Release>,
    offered: usize,
    proxies: usize,
    places: usize,
    machines: BTreeMap<u64, Machine>,
    next_machine: u64,
    news: ReleaseUpdate,
    /// The build that runs everywhere before the newest.
    earlier: u16,
    launched: u64,
    settled: Option<u64>,
    on_hold: u64,
    votes: BTreeMap<usize, Standing>,
    allowance: f64,
    refilled: u64,
    held_since: Option<u64>,
    down_since: Option<u64>,
    /// What became of each build.
    pub fates: Vec<Fate>,
}

impl Desk {
    /// A desk whose places all run the first build: machines 1, 2 and so on.
    pub fn new(plan: Rollout, releases: Vec<Release>, proxies: usize, places: usize) -> Self {
        let build = plan.first_build;
        let running = |place| Machine { place, build, life: Life::Running };
        let machines: BTreeMap<u64, Machine> = (0..places).map(|p| (p as u64 + 1, running(p))).collect();
        let news = ReleaseUpdate { build, stage: 0, phase: PhaseName::Released, cap: 1.0, fence: 0 };
        Desk {
            releases,
            offered: 0,
            proxies,
            places,
            next_machine: places as u64 + 1,
            machines,
            news,
            earlier: build,
            launched: 0,
            settled: None,
            on_hold: 0,
            votes: BTreeMap::new(),
            allowance: plan.calls_per_s * 2.0,
            refilled: 0,
            held_since: None,
            down_since: None,
            fates: Vec::new(),
            plan,
        }
    }

    /// The present news.
    pub fn news(&self) -> ReleaseUpdate {
        self.news
    }

    /// The desk's own clock: one turn. `down`: it stands still, and stages with it.
    pub fn advance(&mut self, now: u64, down: bool, out: &mut Vec<Command>) {
        self.tend_machines(now, out);
        if down {
            self.down_since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.down_since.take() {
            let within = self.settled.map_or(0, |settled| now.saturating_sub(since.max(settled)));
            self.on_hold += within;
        }
        self.votes.retain(|_, v| v.until > now);
        let due = self.releases.get(self.offered).is_some_and(|r| r.at <= now);
        if due && self.news.phase == PhaseName::Trial {
            self.send_back(now);
        }
        let free = matches!(self.news.phase, PhaseName::Released | PhaseName::Withdrawn);
        if due && free && self.machines.values().all(|m| m.life == Life::Running) {
            self.offer(now);
        }
        match self.news.phase {
            PhaseName::Trial => self.stage(now, out),
            PhaseName::RollingBack => self.roll_back(now, out),
            PhaseName::Released if self.standing(VerdictName::Back) >= self.needed(self.plan.votes_back) => {
                if self.earlier != self.news.build {
                    self.send_back(now);
                }
            }
            PhaseName::Released | PhaseName::Withdrawn => {}
        }
    }

    fn offer(&mut self, now: u64) {
        if self.news.phase == PhaseName::Released {
            self.earlier = self.news.build;
        }
        self.offered += 1;
        let newest = self.plan.first_build + self.offered as u16;
        self.news = ReleaseUpdate {
            build: newest,
            stage: 0,
            phase: PhaseName::Trial,
            cap: self.plan.caps[0],
            fence: 0,
        };
        self.fates.push(Fate { build: newest, offered: now, released: None, back: None });
        (self.launched, self.settled, self.on_hold) = (now, None, 0);
        self.votes.clear();
    }

    fn send_back(&mut self, now: u64) {
        self.news.phase = PhaseName::RollingBack;
        if let Some(fate) = self.fates.last_mut() {
            fate.back = Some(now);
        }
        self.votes.clear();
    }

    fn machines_of(&self, build: u16) -> impl Iterator<Item = (&u64, &Machine)> {
        self.machines.iter().filter(move |(_, m)| m.build == build && !matches!(m.life, Life::Draining(_)))
    }

    fn launch(&mut self, now: u64, place: usize, build: u16) {
        let life = Life::Booting(now + self.plan.boot);
        self.machines.insert(self.next_machine, Machine { place, build, life });
        self.next_machine += 1;
    }

    /// Boots end, drains end.
    fn tend_machines(&mut self, now: u64, out: &mut Vec<Command>) {
        let mut gone = Vec::new();
        for (&machine, m) in &mut self.machines {
            match m.life {
                Life::Booting(at) if at <= now => {
                    m.life = Life::Running;
                    out.push(Command::Start { machine, place: m.place, build: m.build });
                }
                Life::Draining(at) if at <= now => gone.push(machine),
                _ => {}
            }
        }
        for machine in gone {
            self.machines.remove(&machine);
            out.push(Command::Stop { machine });
        }
    }

    fn drain(&mut self, now: u64, machine: u64, out: &mut Vec<Command>) {
        if let Some(m) = self.machines.get_mut(&machine).filter(|m| m.life == Life::Running) {
            m.life = Life::Draining(now + self.plan.drain);
            out.push(Command::Drain { machine });
        }
    }

    /// Drains each machine of one build whose place has a running one of the other.
    fn replace(&mut self, now: u64, old: u16, new: u16, out: &mut Vec<Command>) {
        let runs = |m: &&Machine| m.build == new && m.life == Life::Running;
        let places: Vec<usize> = self.machines.values().filter(runs).map(|m| m.place).collect();
        let of_old = self.machines_of(old).filter(|(_, m)| places.contains(&m.place));
        let replaced: Vec<u64> = of_old.map(|(id, _)| *id).collect();
        replaced.into_iter().for_each(|machine| self.drain(now, machine, out));
    }

    fn stage(&mut self, now: u64, out: &mut Vec<Command>) {
        let (build, stage) = (self.news.build, usize::from(self.news.stage));
        let wanted = ((self.plan.stages[stage] * self.places as f64).ceil() as usize).clamp(1, self.places);
        let taken: Vec<usize> = self.machines_of(build).map(|(_, m)| m.place).collect();
        // Spread over the places, and so over zones and cells.
        let free = (0..self.places).map(|i| (i * 7 + 3) % self.places.max(1)).chain(0..self.places);
        let free: Vec<usize> = free.filter(|p| !taken.contains(p)).collect();
        let mut chosen: Vec<usize> = Vec::new();
        for place in free {
            if taken.len() + chosen.len() < wanted && !chosen.contains(&place) {
                chosen.push(place);
            }
        }
        chosen.into_iter().for_each(|place| self.launch(now, place, build));
        if !self.plan.beside {
            self.replace(now, self.earlier, build, out);
        }
        let running = self.machines_of(build).filter(|(_, m)| m.life == Life::Running).count();
        let all = running >= wanted || now >= self.launched + LAUNCH_MOST;
        let settled = match self.settled {
            Some(at) => at,
            None if all => *self.settled.insert(now + SETTLE),
            None => return,
        };
        let holding = self.plan.gate == Gate::Timer
            && self.plan.votes_hold > 0.0
            && self.standing(VerdictName::Hold) >= self.needed(self.plan.votes_hold);
        if let Some(since) = self.held_since.take() {
            self.on_hold += now.saturating_sub(since);
        }
        self.held_since = holding.then_some(now);
        if self.standing(VerdictName::Back) >= self.needed(self.plan.votes_back) {
            return self.send_back(now);
        }
        let age = now.saturating_sub(settled + self.on_hold);
        let moves = match self.plan.gate {
            Gate::Timer => age >= self.plan.step && now >= settled,
            Gate::Any | Gate::Share => {
                let enough = self.standing(VerdictName::On) >= self.needed(self.plan.votes_on);
                enough && now >= settled && age >= self.plan.bake
            }
        };
        if !moves {
            return;
        }
        self.votes.clear();
        if stage + 1 < self.plan.stages.len() {
            self.news.stage += 1;
            self.news.cap = self.plan.caps[stage + 1];
            (self.launched, self.settled, self.on_hold) = (now, None, 0);
        } else {
            (self.news.phase, self.news.cap) = (PhaseName::Released, 1.0);
            if let Some(fate) = self.fates.last_mut() {
                fate.released = Some(now);
            }
            let old: Vec<u64> = self.machines_of(self.earlier).map(|(id, _)| *id).collect();
            old.into_iter().for_each(|machine| self.drain(now, machine, out));
        }
    }

    /// The way back: the cap falls with the machines of the build that goes.
    fn roll_back(&mut self, now: u64, out: &mut Vec<Command>) {
        let (build, earlier) = (self.news.build, self.earlier);
        let there: Vec<usize> = self.machines_of(earlier).map(|(_, m)| m.place).collect();
        for place in (0..self.places).filter(|p| !there.contains(p)) {
            self.launch(now, place, earlier);
        }
        // Machines that were to run the build and are not up yet never start.
        self.machines.retain(|_, m| !(m.build == build && matches!(m.life, Life::Booting(_))));
        self.replace(now, build, earlier, out);
        let left = self.machines_of(build).count() as f64 / self.places as f64;
        let slack = self.plan.caps[0] / self.plan.stages[0];
        self.news.cap = if left == 0.0 { 0.0 } else { self.news.cap.min((left * slack).min(1.0)) };
        let going = self.machines.values().any(|m| m.build == build);
        let complete =
            self.machines_of(earlier).filter(|(_, m)| m.life == Life::Running).count() >= self.places;
        if !going && complete {
            (self.news.phase, self.news.cap) = (PhaseName::Withdrawn, 0.0);
        }
    }

    fn standing(&self, verdict: VerdictName) -> usize {
        let (build, stage) = (self.news.build, self.news.stage);
        let stands = |v: &&Standing| {
            let any_stage = matches!(v.verdict, VerdictName::Back | VerdictName::Withdraw);
            v.verdict == verdict && v.build == build && (v.stage == stage || any_stage)
        };
        self.votes.values().filter(stands).count()
    }

    /// Votes needed: one under `any`, else a share of all proxies.
    fn needed(&self, share: f64) -> usize {
        match self.plan.gate {
            Gate::Any => 1,
            Gate::Share | Gate::Timer => ((share * self.proxies as f64).ceil() as usize).max(1),
        }
    }

    /// A vote arrives.
    pub fn vote(&mut self, now: u64, vote: &Vote) -> VoteOutcome {
        let rate = self.plan.calls_per_s;
        self.allowance += now.saturating_sub(self.refilled) as f64 / 1e6 * rate;
        (self.allowance, self.refilled) = (self.allowance.min(2.0 * rate), now);
        if self.allowance < 1.0 {
            return VoteOutcome::RateLimited;
        }
        self.allowance -= 1.0;
        if vote.proxy >= self.proxies {
            return VoteOutcome::Error;
        }
        let timer = self.plan.gate == Gate::Timer;
        let known = match vote.verdict {
            VerdictName::On => !timer,
            VerdictName::Hold => timer,
            VerdictName::Back | VerdictName::Withdraw => true,
        };
        let any_stage = matches!(vote.verdict, VerdictName::Back | VerdictName::Withdraw);
        let here = vote.build == self.news.build && (any_stage || vote.stage == self.news.stage);
        let open = match self.news.phase {
            PhaseName::Trial => true,
            PhaseName::Released => any_stage,
            PhaseName::RollingBack | PhaseName::Withdrawn => false,
        };
        if !(known && here && open) {
            return VoteOutcome::Obsolete;
        }
        if vote.verdict == VerdictName::Withdraw {
            self.votes.remove(&vote.proxy);
        } else {
            let until = now + self.plan.vote_life;
            let (verdict, build, stage) = (vote.verdict, vote.build, vote.stage);
            self.votes.insert(vote.proxy, Standing { verdict, build, stage, until });
        }
        VoteOutcome::Ok
    }
}
