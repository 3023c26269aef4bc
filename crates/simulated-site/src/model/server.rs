//! A server: slots, a waiting room, a cold start, memory of keys, its build's faults and its troubles.

use super::Rng;
use crate::day::{Fault, Kind, Release, ServerSpec, Trouble};
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// What troubles do to a server at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strain {
    /// Times slower.
    pub slow: f64,
    /// Share of the machine that another program takes.
    pub taken: f64,
    /// Share of requests that fail at once.
    pub fast_errors: f64,
    /// Times slower, one class.
    pub slow_class: Option<(usize, f64)>,
}

impl Default for Strain {
    fn default() -> Self {
        Strain { slow: 1.0, taken: 0.0, fast_errors: 0.0, slow_class: None }
    }
}

/// What the troubles that go on do to a server now; pauses begin. `index` names it among those that troubles
/// name, `drag` is what its build does to all, `next_pause` when it may stand still again.
pub fn strike<'a>(
    server: &mut Server,
    next_pause: &mut u64,
    index: usize,
    drag: f64,
    now: u64,
    going: impl Iterator<Item = &'a Trouble>,
) -> Strain {
    let mut strain = Strain { slow: drag, ..Strain::default() };
    for t in going {
        let hit = t.on.contains(&index);
        match t.kind {
            Kind::Slow if hit => strain.slow *= t.size,
            Kind::SharedSlow => strain.slow *= t.size,
            Kind::SlowClass => strain.slow_class = Some((t.which, t.size)),
            Kind::FastErrors if hit => strain.fast_errors = t.size,
            Kind::Neighbour if hit => {
                let period = (t.extra.max(0.1) * 1e6) as u64;
                let phase = (now - t.at + index as u64 * period / 3) / period;
                strain.taken = if phase.is_multiple_of(2) { t.size } else { 0.0 };
            }
            Kind::Pauses if hit && now >= *next_pause => {
                server.pause_until(now + (t.size * 1e3) as u64);
                *next_pause = now + (t.extra.max(0.2) * 1e6) as u64;
            }
            _ => {}
        }
    }
    strain
}

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Names it in its reply.
    pub id: u64,
    /// Its class.
    pub class: usize,
    /// Its key; 0: none.
    pub key: u64,
    /// Its work, in microseconds of a standard core.
    pub work: f64,
}

/// A reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Served; `wrong`: nobody can tell from the answer, but it is.
    Ok {
        /// Wrong all the same.
        wrong: bool,
    },
    /// Failed; it may have run.
    Error,
    /// Turned away unseen.
    NotRun,
}

/// A build's faults in figures.
#[derive(Clone, Debug, Default)]
pub struct Build {
    /// Its number.
    pub number: u16,
    /// Its speed against the first build's.
    pub speed: f64,
    fault: Option<Fault>,
    strength: f64,
}

impl Build {
    /// A build without faults.
    pub fn sound(number: u16) -> Self {
        Build { number, speed: 1.0, fault: None, strength: 0.0 }
    }

    /// An offered build.
    pub fn offered(number: u16, release: &Release) -> Self {
        Build { number, speed: release.speed, fault: release.fault, strength: release.strength }
    }

    /// Whether it is bad.
    pub fn is_bad(&self) -> bool {
        self.fault.is_some()
    }

    /// Its fault.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Between two figures by the strength, evenly on a scale of ratios.
    fn between(&self, mild: f64, strong: f64) -> f64 {
        mild * (strong / mild).powf(self.strength)
    }

    /// Times more work, and the share that fails, of a request of this class at a server that is so busy
    /// and so old.
    fn effect(&self, class: usize, busy: f64, age: u64) -> (f64, f64) {
        match self.fault {
            Some(Fault::Errors) => (1.0, self.between(0.04, 0.36)),
            Some(Fault::Class(c)) if c == class => (1.0, self.between(0.25, 0.9)),
            Some(Fault::Slow) => (self.between(1.7, 3.7), 0.0),
            Some(Fault::Load) if busy > self.between(0.6, 0.3) => (1.8, 0.2),
            Some(Fault::Late) if age as f64 > self.between(11e6, 5e6) => (2.0, 0.2),
            _ => (1.0, 0.0),
        }
    }

    fn wrong(&self) -> f64 {
        if self.fault == Some(Fault::Wrong) { self.between(0.03, 0.24) } else { 0.0 }
    }

    /// How much it slows all servers, given its share of their traffic.
    pub fn drag(&self, share: f64) -> f64 {
        if self.fault == Some(Fault::Shared) { 1.0 + share * self.between(0.7, 2.7) } else { 1.0 }
    }
}

/// Keys that a group of servers has run, and when each is forgotten.
#[derive(Debug, Default)]
pub struct KeyMemory {
    seen: BTreeMap<(usize, u64), u64>,
    order: VecDeque<(u64, (usize, u64))>,
}

impl KeyMemory {
    /// Whether a key was run before and is remembered; notes it if not.
    pub fn is_repeat(&mut self, now: u64, class: usize, key: u64, window: u64) -> bool {
        while let Some((until, which)) = self.order.front().copied().filter(|o| o.0 < now) {
            self.order.pop_front();
            if self.seen.get(&which) == Some(&until) {
                self.seen.remove(&which);
            }
        }
        if self.seen.contains_key(&(class, key)) {
            return true;
        }
        self.seen.insert((class, key), now + window);
        self.order.push_back((now + window, (class, key)));
        false
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// What it is like.
    pub spec: ServerSpec,
    /// What it runs.
    pub build: Build,
    /// When it started; long past for one that was there before the day.
    pub born: u64,
    warm_from_start: bool,
    waiting: VecDeque<Job>,
    working: BinaryHeap<Reverse<(u64, u64)>>,
    jobs: BTreeMap<u64, (Job, Reply)>,
    paused_until: u64,
    strain: Strain,
    arrivals: VecDeque<(u64, f64)>,
    /// It fell over and stays down.
    pub collapsed: bool,
}

impl Server {
    /// Starts one; `warm`: it has run for long.
    pub fn start(spec: ServerSpec, build: Build, now: u64, warm: bool) -> Self {
        Server {
            spec,
            build,
            born: now,
            warm_from_start: warm,
            waiting: VecDeque::new(),
            working: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            paused_until: 0,
            strain: Strain::default(),
            arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// Its present share of its capacity.
    pub fn warmth(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.born) as f64 / self.spec.cold_span.max(1) as f64;
        let cold = self.spec.cold_from + (1.0 - self.spec.cold_from) * age;
        if self.warm_from_start { 1.0 } else { cold.min(1.0) }
    }

    /// What it can do when warm, in work a second.
    pub fn capacity(&self) -> f64 {
        self.spec.cores * self.spec.speed * self.build.speed * 1e6
    }

    /// Sets what troubles do to it.
    pub fn set_strain(&mut self, strain: Strain) {
        self.strain = strain;
    }

    /// Stands still until a moment.
    pub fn pause_until(&mut self, until: u64) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Requests in work or waiting.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.working.len()
    }

    /// A request arrives. A cold server that is sent more than it can bear falls over: `bears` is the
    /// multiple and the span.
    pub fn arrive(
        &mut self,
        now: u64,
        job: Job,
        repeat: bool,
        bears: (f64, u64),
        rng: &mut Rng,
    ) -> Option<Reply> {
        if self.warmth(now) < 1.0 {
            self.arrivals.push_back((now, job.work));
            while self.arrivals.front().is_some_and(|a| a.0 + bears.1 < now) {
                self.arrivals.pop_front();
            }
            let sent: f64 = self.arrivals.iter().map(|a| a.1).sum();
            let can = self.warmth(now) * self.capacity() * bears.1 as f64 / 1e6;
            self.collapsed |= sent > bears.0 * can * 1.25;
        } else {
            self.arrivals.clear();
        }
        if self.collapsed {
            return None;
        }
        if rng.random::<f64>() < self.strain.fast_errors {
            return Some(Reply::Error);
        }
        if self.working.len() >= self.spec.slots && self.waiting.len() >= self.spec.queue {
            return Some(Reply::NotRun);
        }
        let (_, fails) = self.build.effect(job.class, self.busy(), now.saturating_sub(self.born));
        let failed = rng.random::<f64>() < fails + self.spec.error_rate;
        let wrong = rng.random::<f64>() < self.build.wrong();
        let reply = if failed { Reply::Error } else { Reply::Ok { wrong } };
        // A repeat whose first run is remembered costs next to nothing.
        let job = Job { work: if repeat { job.work * 0.05 } else { job.work }, ..job };
        self.jobs.insert(job.id, (job, reply));
        self.waiting.push_back(job);
        self.begin_waiting(now);
        None
    }

    fn busy(&self) -> f64 {
        self.working.len() as f64 / self.spec.slots.max(1) as f64
    }

    fn begin_waiting(&mut self, now: u64) {
        while self.working.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            let (more, _) = self.build.effect(job.class, self.busy(), now.saturating_sub(self.born));
            // More slots than cores: they share.
            let sharing = ((self.working.len() + 1) as f64 / self.spec.cores).max(1.0);
            let class = self.strain.slow_class.filter(|s| s.0 == job.class).map_or(1.0, |s| s.1);
            let slow = self.strain.slow * class / (1.0 - self.strain.taken).max(0.05);
            let speed = self.spec.speed * self.build.speed * self.warmth(now);
            let span = job.work * more * sharing * slow / speed.max(1e-3);
            self.working.push(Reverse((now.max(self.paused_until) + span as u64, job.id)));
        }
    }

    /// When it next has something to do.
    pub fn due(&self) -> Option<u64> {
        self.working.peek().map(|Reverse((at, _))| (*at).max(self.paused_until))
    }

    /// Replies that are due.
    pub fn advance(&mut self, now: u64, out: &mut Vec<(u64, Reply)>) {
        if now < self.paused_until {
            return;
        }
        while let Some(Reverse((at, id))) = self.working.peek().copied().filter(|w| w.0.0 <= now) {
            self.working.pop();
            if let Some((_, reply)) = self.jobs.remove(&id) {
                out.push((id, reply));
            }
            self.begin_waiting(at.max(self.paused_until).min(now));
        }
    }

    /// The proxy went away: what waits is dropped, what is in work stops.
    pub fn cancel(&mut self, now: u64, id: u64) {
        if self.jobs.remove(&id).is_some() {
            self.waiting.retain(|j| j.id != id);
            self.working.retain(|w| w.0.1 != id);
            self.begin_waiting(now);
        }
    }
}
