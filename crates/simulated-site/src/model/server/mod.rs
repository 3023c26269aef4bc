//! A simulated server with slots, a queue and slow start. The defects of its build and injected faults affect
//! it.
//!
//! A server waits instead of computing while it processes a request, so that one machine can run a whole
//! fleet of servers.

mod build;
mod dedup;
mod impairment;

pub use build::Build;
pub use dedup::DedupCaches;
pub use impairment::{FaultTarget, Impairment, SlowClass};

use super::RandomSource;
use crate::scenario::ServerSpec;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Work of a duplicate whose key the server remembers, as a share of the work of its first execution.
const DUPLICATE_WORK_SHARE: f64 = 0.05;
/// A server collapses only above its overload limit times this factor, so that rounding does not decide for a
/// proxy that sends exactly as much as the limit.
const COLLAPSE_MARGIN: f64 = 1.25;
/// The smallest share of a machine that a noisy neighbor leaves to the server.
const MIN_REMAINING_SHARE: f64 = 0.05;

/// A request as a server receives it.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest {
    /// Id that the completed request carries.
    pub id: u64,
    /// Index of the request's class.
    pub class: usize,
    /// Idempotency key; 0 if the request has none.
    pub key: u64,
    /// Work of the request, in microseconds of a standard core.
    pub work: f64,
}

/// A server's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request was served.
    Ok {
        /// Whether the answer is wrong. The reply itself does not show that.
        is_wrong: bool,
    },
    /// The request failed; it may have been executed.
    Error,
    /// The request was rejected without being executed.
    NotRun,
}

/// A request that the server has completed, with its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// The request's [`ServerRequest::id`].
    pub id: u64,
    /// The reply to the request.
    pub reply: Reply,
}

/// The most work that a server that is warming up can take without collapsing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadLimit {
    /// The limit as a multiple of the server's current capacity.
    pub multiple: f64,
    /// Span over which the arriving work is summed up, in microseconds.
    pub span: u64,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// The server's properties.
    pub spec: ServerSpec,
    /// The build that the server runs.
    pub build: Build,
    /// When the server started.
    pub started_at: u64,
    started_warm: bool,
    queue: VecDeque<ServerRequest>,
    /// Time of completion and id of each request in process.
    in_process: BinaryHeap<Reverse<(u64, u64)>>,
    replies: BTreeMap<u64, Reply>,
    paused_until: u64,
    impairment: Impairment,
    /// Time and work of the requests that arrived recently, while the server warms up.
    warm_up_arrivals: VecDeque<(u64, f64)>,
    /// Whether the server was overloaded while warming up. It then stays down.
    pub collapsed: bool,
}

impl Server {
    /// Starts a server. With `warm`, it has its full capacity at once, as if it had been running for long.
    pub fn start(spec: ServerSpec, build: Build, now: u64, warm: bool) -> Self {
        Server {
            spec,
            build,
            started_at: now,
            started_warm: warm,
            queue: VecDeque::new(),
            in_process: BinaryHeap::new(),
            replies: BTreeMap::new(),
            paused_until: 0,
            impairment: Impairment::default(),
            warm_up_arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// The share of its full capacity that the server has now. The share grows during slow start.
    pub fn warm_fraction(&self, now: u64) -> f64 {
        if self.started_warm {
            return 1.0;
        }
        let floor = self.spec.slow_start_floor;
        let progress = self.age(now) as f64 / self.spec.slow_start_span.max(1) as f64;
        (floor + (1.0 - floor) * progress).min(1.0)
    }

    /// The start time for the endpoint list; 0 for a server that was warm from its start.
    pub fn listed_start(&self) -> u64 {
        if self.warm_fraction(self.started_at) < 1.0 { self.started_at } else { 0 }
    }

    /// Capacity of the server when it is warm, in work per second.
    pub fn capacity(&self) -> f64 {
        self.spec.cores * self.spec.speed * self.build.speed * 1e6
    }

    /// Sets the effect of the active faults.
    pub fn set_impairment(&mut self, impairment: Impairment) {
        self.impairment = impairment;
    }

    /// Pauses the server until a time. A longer pause that is already set stays.
    pub fn pause_until(&mut self, until: u64) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Accepts a request. Returns a reply if the request fails or is rejected at once. A server that is
    /// warming up collapses if more work arrives than `limit` allows.
    pub fn accept(
        &mut self,
        now: u64,
        request: ServerRequest,
        is_duplicate: bool,
        limit: OverloadLimit,
        random: &mut RandomSource,
    ) -> Option<Reply> {
        self.check_overload(now, request.work, limit);
        if self.collapsed {
            return None;
        }
        if random.random::<f64>() < self.impairment.fast_error_rate {
            return Some(Reply::Error);
        }
        let is_full = self.in_process.len() >= self.spec.slots && self.queue.len() >= self.spec.queue;
        if is_full {
            return Some(Reply::NotRun);
        }
        let reply = self.draw_reply(now, request.class, random);
        let work = if is_duplicate { request.work * DUPLICATE_WORK_SHARE } else { request.work };
        self.replies.insert(request.id, reply);
        self.queue.push_back(ServerRequest { work, ..request });
        self.process_queue(now);
        None
    }

    /// Lets the server collapse if the work that arrived recently during slow start exceeds the limit.
    fn check_overload(&mut self, now: u64, work: f64, limit: OverloadLimit) {
        let warm_fraction = self.warm_fraction(now);
        if warm_fraction >= 1.0 {
            self.warm_up_arrivals.clear();
            return;
        }
        self.warm_up_arrivals.push_back((now, work));
        while self.warm_up_arrivals.front().is_some_and(|(at, _)| at + limit.span < now) {
            self.warm_up_arrivals.pop_front();
        }
        let arrived: f64 = self.warm_up_arrivals.iter().map(|(_, work)| work).sum();
        let capacity = warm_fraction * self.capacity() * limit.span as f64 / 1e6;
        self.collapsed |= arrived > limit.multiple * capacity * COLLAPSE_MARGIN;
    }

    fn draw_reply(&self, now: u64, class: usize, random: &mut RandomSource) -> Reply {
        let defect = self.build.effect_on(class, self.utilization(), self.age(now));
        let failed = random.random::<f64>() < defect.error_rate + self.spec.error_rate;
        let is_wrong = random.random::<f64>() < self.build.wrong_answer_rate();
        if failed { Reply::Error } else { Reply::Ok { is_wrong } }
    }

    fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_at)
    }

    fn utilization(&self) -> f64 {
        self.in_process.len() as f64 / self.spec.slots.max(1) as f64
    }

    /// Moves requests from the queue to free slots.
    fn process_queue(&mut self, now: u64) {
        while self.in_process.len() < self.spec.slots {
            let Some(request) = self.queue.pop_front() else { return };
            let duration = self.processing_time(now, &request);
            let completed_at = now.max(self.paused_until) + duration;
            self.in_process.push(Reverse((completed_at, request.id)));
        }
    }

    /// Time for which a request that starts now is in process, in microseconds.
    fn processing_time(&self, now: u64, request: &ServerRequest) -> u64 {
        let defect = self.build.effect_on(request.class, self.utilization(), self.age(now));
        // If more requests are in process than there are cores, they share the cores.
        let core_sharing = ((self.in_process.len() + 1) as f64 / self.spec.cores).max(1.0);
        let remaining_share = (1.0 - self.impairment.stolen_share).max(MIN_REMAINING_SHARE);
        let class_slowdown = self.impairment.slowdown_of_class(request.class);
        let slowdown = self.impairment.slowdown * class_slowdown / remaining_share;
        let speed = self.spec.speed * self.build.speed * self.warm_fraction(now);
        (request.work * defect.work_factor * core_sharing * slowdown / speed.max(1e-3)) as u64
    }

    /// When the next request is complete, if one is in process.
    pub fn next_completion(&self) -> Option<u64> {
        let Reverse((completed_at, _)) = self.in_process.peek()?;
        Some((*completed_at).max(self.paused_until))
    }

    /// Appends the requests that are complete by now, unless the server is paused.
    pub fn take_completed(&mut self, now: u64, completed: &mut Vec<CompletedRequest>) {
        if now < self.paused_until {
            return;
        }
        while let Some(Reverse((at, id))) = self.in_process.peek().copied().filter(|next| next.0.0 <= now) {
            self.in_process.pop();
            if let Some(reply) = self.replies.remove(&id) {
                completed.push(CompletedRequest { id, reply });
            }
            self.process_queue(at.max(self.paused_until).min(now));
        }
    }

    /// Drops a request whose sender has disconnected.
    pub fn cancel(&mut self, now: u64, id: u64) {
        if self.replies.remove(&id).is_some() {
            self.queue.retain(|request| request.id != id);
            self.in_process.retain(|entry| entry.0.1 != id);
            self.process_queue(now);
        }
    }
}
