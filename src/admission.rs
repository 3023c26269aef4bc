//! Admission: decides which requests are admitted, and rejects at once those whose response would come after
//! their clients have stopped waiting.

use crate::balancer::Balancer;
use crate::completion::UnansweredReason;
use crate::interface::{Action, Micros, Request, RequestId, ServerId};
use crate::retry::{MAX_RETRY_BUDGET, RETRY_BUDGET_PER_REQUEST};
use crate::slow_start::LOAD_WINDOW;
use crate::state::{ClientTime, InFlightRequest, Lane, smooth};

/// The share of the exposure cap that each request adds to the allowance of a build on trial. It is below 1
/// so that rounding errors cannot push the exposure over the cap.
const EARNED_CAP_SHARE: f64 = 0.995;
/// The weight of the newest request in the time that clients of a class wait.
const CLIENT_TIME_SMOOTHING: f64 = 0.1;
/// The weight of the newest request in the shares of the classes among all requests.
const REQUEST_SHARE_SMOOTHING: f64 = 0.01;
/// Other clients give way to those of a class only if it has at least this share of the requests: the
/// platform counts service for each class with a twentieth of them. Fewer must not keep all others from the
/// servers.
const MIN_REQUEST_SHARE: f64 = 0.05;

/// A request that waits for a server is checked after this part of the time that it has waited, so that many
/// that wait for long leave the processor to others. A change of the server list is looked at at once.
const WAIT_PER_CHECK_INTERVAL: Micros = 16;

/// The clients with the least time.
#[derive(Clone, Copy, Debug)]
struct ShortestClientTime {
    class: usize,
    /// The time from a request's arrival to its deadline, in microseconds.
    given: f64,
}

impl Balancer {
    pub(crate) fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let Request { id, class, .. } = request;
        if class >= self.settings.classes.len() {
            out.push(Action::Reject { request: id, retry_after: 0 });
            return;
        }
        if let Some(key) = request.key
            && self.settings.rollout.sticky_to_new_build
        {
            self.state.sticky_keys.count_arrival(key);
        }
        self.record_client_time(now, &request);
        self.state.retry_budget = (self.state.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.add_exposure_allowance(now, class);
        // Until the first response shows a cost, all requests of the class count as one microsecond.
        let typical_cost = self.state.latencies[class].median;
        let cost = request.cost_hint.map_or(typical_cost, |hint| hint as f64).max(1.0);
        self.state.offered_cost.add(now, cost, LOAD_WINDOW);
        self.state.requests.insert(id, InFlightRequest::new(request, now, cost));
        if self.should_shed(&request) {
            self.finish_unanswered(id, UnansweredReason::Overloaded, out);
        } else {
            self.route_request(now, id, out);
        }
    }

    /// Adds the allowance that a request earns for each build on trial: a fraction of an attempt, equal to
    /// [`EARNED_CAP_SHARE`] of the build's exposure cap.
    fn add_exposure_allowance(&mut self, now: Micros, class: usize) {
        for build in self.state.builds.clone() {
            let allowance = if self.on_trial(build) { self.cap(now, build) * EARNED_CAP_SHARE } else { 0.0 };
            self.state
                .exposure_counter_mut(build, class, self.settings.rollout.exposure_per_class)
                .add_allowance(allowance);
        }
    }

    /// Returns the lane in which it is counted whether a request was answered.
    pub(crate) fn lane(&self, request: &Request) -> Lane {
        Lane { class: request.class, tenant: request.tenant.min(self.settings.tenants.len()) }
    }

    /// Whether to refuse a request at once because of what lately became of others. As large a share of a
    /// lane is refused as ran out of time at the servers, by random choice: these clients would get no answer
    /// in their time, and the work spent on them is missing for others.
    fn should_shed(&mut self, request: &Request) -> bool {
        let lane_share = self.state.unanswered_share_by_lane.get(&self.lane(request)).copied();
        // A lane of which no attempt has ended yet is taken to fare as all do.
        let own_share = lane_share.unwrap_or(self.state.unanswered_share);
        let shed_share = own_share.max(self.share_to_yield(request.class));
        self.state.random.unit() < shed_share
    }

    /// The share of a class that gives way to the clients with the least time, while these run out of it:
    /// as much as takes longer at the servers than they have, and no more than they leave unanswered.
    fn share_to_yield(&self, class: usize) -> f64 {
        let Some(shortest) = self.shortest_client_time() else { return 0.0 };
        if shortest.class == class {
            return 0.0;
        }
        let first_lane = Lane { class: shortest.class, tenant: 0 };
        let last_lane = Lane { class: shortest.class, tenant: self.settings.tenants.len() };
        let lanes = self.state.unanswered_share_by_lane.range(first_lane..=last_lane);
        let unanswered = lanes.map(|(_, share)| *share).fold(0.0, f64::max);
        unanswered.min(self.state.latencies[class].share_above(shortest.given))
    }

    /// Records how long the client of a new request waits. One that waits for less than an answer usually
    /// takes could not be served whatever else was refused, and is left out.
    fn record_client_time(&mut self, now: Micros, request: &Request) {
        let given = request.deadline.saturating_sub(now) as f64;
        if given < self.state.latencies[request.class].median {
            return;
        }
        self.state.client_times.resize(self.settings.classes.len(), ClientTime::default());
        for (class, time) in self.state.client_times.iter_mut().enumerate() {
            let is_own_class = class == request.class;
            smooth(&mut time.request_share, f64::from(u8::from(is_own_class)), REQUEST_SHARE_SMOOTHING);
            if is_own_class && time.given > 0.0 {
                smooth(&mut time.given, given, CLIENT_TIME_SMOOTHING);
            } else if is_own_class {
                time.given = given;
            }
        }
    }

    /// The class whose clients wait for the shortest time, among those with enough requests.
    fn shortest_client_time(&self) -> Option<ShortestClientTime> {
        let times = self.state.client_times.iter().enumerate();
        let counted = times.filter(|(_, time)| time.request_share >= MIN_REQUEST_SHARE);
        let shortest = counted.min_by(|(_, first), (_, second)| first.given.total_cmp(&second.given));
        shortest.map(|(class, time)| ShortestClientTime { class, given: time.given })
    }

    /// Sends a request to a server, or lets it wait when no server may take it, for as long as an answer can
    /// still come in time. A request whose response would be late anyway is rejected at once, so that an
    /// overload does not make every response late.
    pub(crate) fn route_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(&InFlightRequest { request, waiting_since, .. }) = self.state.requests.get(&id) else {
            return;
        };
        let latest_start = self.latest_start(&request);
        if let Some(server) = self.pick_server(now, id) {
            if self.is_congested(now, &request, server) {
                self.finish_unanswered(id, UnansweredReason::Overloaded, out);
            } else {
                self.send(now, id, server, out);
            }
        } else if now < latest_start {
            let waited = now.saturating_sub(waiting_since);
            let interval = self.settings.tick.max(waited / WAIT_PER_CHECK_INTERVAL);
            self.state.schedule_check(id, (now + interval).min(latest_start));
        } else {
            self.finish_unanswered(id, UnansweredReason::NoServer, out);
        }
    }

    /// The time from which an answer to a request would come too late if it took as long as answers of its
    /// class usually do, and no shorter than its expected service time.
    pub(crate) fn latest_start(&self, request: &Request) -> Micros {
        let &Request { class, cost_hint, deadline, .. } = request;
        let usual_latency = self.state.latencies[class].median as Micros;
        let expected_latency = usual_latency.max(cost_hint.unwrap_or(0));
        deadline.saturating_sub(self.final_response_margin()).saturating_sub(expected_latency)
    }

    /// Whether the response to one more request at this server would probably come too late: for its own
    /// client, or for the clients who come next and have the least time. Servers work in the order of
    /// arrival, so whatever is sent now stands before those; a client with more time can come again when
    /// less does.
    ///
    /// A server without own attempts in flight is always tried, because only its answer shows how long it
    /// takes.
    pub(crate) fn is_congested(&self, now: Micros, request: &Request, server: ServerId) -> bool {
        let server = &self.state.servers[&server];
        if server.in_flight == 0 {
            return false;
        }
        let work_ahead = server.latency_per_attempt * f64::from(server.in_flight);
        let own_work = request.cost_hint.map_or(server.latency_per_attempt, |hint| hint as f64);
        let time_left = request.deadline.saturating_sub(now) as f64;
        let shortest_client_time = self.shortest_client_time().map_or(f64::INFINITY, |time| time.given);
        let margin = self.final_response_margin() as f64;
        work_ahead + own_work + margin > time_left.min(shortest_client_time)
    }
}
