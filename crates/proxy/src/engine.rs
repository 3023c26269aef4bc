//! Requests and attempts in hand, between the sockets and the decisions; without I/O or a clock.
//!
//! What it guarantees whatever the module asks for: each attempt ends exactly once in the module's eyes, a
//! request gets one final answer, and nothing starts for a request that has had it. In the order of a
//! request's life: [`Engine::request`], [`Engine::attempt_ended`] or [`Engine::stream_started`], and the
//! [`Order`]s that come of them. Timers are the module's own and the ends of attempts that it set.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use violetseam::balance::Balancer;
use violetseam::interface::*;
use violetseam::permission::{AttemptFacts, Denial, Lifetime, ListLease, Permissions};
use violetseam_recorder::Recorder;
use violetseam_shared::fleet_quotas::{FleetQuotas, QuotaStatus};

/// Something the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send the request to a server.
    Start {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The server.
        server: ServerId,
    },
    /// Close an attempt's connection; its end has been told already.
    Drop {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Write a final answer that no server gave.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Final,
    },
    /// Nothing about the request is in hand any more.
    Forget {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the roster.
    FollowList,
    /// Ask for the whole roster once.
    FetchList,
    /// Call the release desk.
    Vote {
        /// The build.
        build: Build,
        /// The stage.
        stage: u8,
        /// The verdict.
        verdict: Verdict,
    },
    /// Send peers a message.
    Tell {
        /// One of them, or all.
        to: Option<usize>,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Send a peer a word about the fleet's budgets.
    Rights {
        /// The peer.
        to: usize,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// A line of the module's for the log.
    Note(String),
}

/// A final answer of the proxy's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Refused: it never ran, or repeating is harmless.
    Refused {
        /// How long to stay away; 0: no advice.
        come_back: Micros,
    },
    /// Failed: it may have run.
    Failed {
        /// No server answered in time.
        timed_out: bool,
    },
}

/// Counts of what became of requests and attempts, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Whose client left before the answer.
    pub gone: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Final answers that the module left out until they were overdue; a fault if ever over 0.
    pub overdue: u64,
    /// Attempts that the module asked for where the process may send nothing at all; a fault if ever over 0.
    pub violations: u64,
    /// Attempts that had been started and were held back at the moment of writing.
    pub held_back: u64,
    /// Requests that came while the server list might not be used.
    pub without_list: u64,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    sent_at: Micros,
    cut_at: Micros,
    over: bool,
    /// It never left: what follows is no further attempt.
    withheld: bool,
}

#[derive(Debug)]
struct InHand {
    class: usize,
    deadline: Micros,
    /// The final answer was given, or the client left.
    finished: bool,
    /// The attempt whose answer is being passed on.
    streaming: Option<usize>,
    /// Its body can be sent again.
    repeatable: bool,
    timed_out: bool,
    /// Rights to a further attempt that a withheld one left unused.
    spare_rights: usize,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Cut(RequestId, usize),
    Timer(u64),
    Overdue(RequestId),
    Budgets,
}

/// An answer that a client may still report wrong.
#[derive(Clone, Copy, Debug)]
struct Passed {
    server: ServerId,
    class: usize,
    sent_at: Micros,
}

/// So many answers can be reported wrong; older ones are forgotten.
const PASSED_KEPT: usize = 65_536;

/// One proxy's requests, attempts and decisions.
pub struct Engine {
    module: Balancer,
    settings: Settings,
    recorder: Option<Recorder>,
    requests: HashMap<RequestId, InHand>,
    dues: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    next_due: u64,
    last_id: RequestId,
    passed: HashMap<u64, Passed>,
    passed_order: VecDeque<u64>,
    actions: Vec<Action>,
    orders: VecDeque<Order>,
    /// Events that the module's own actions brought about: it hears them after all of these are done.
    later: VecDeque<Event<'static>>,
    busy: bool,
    permissions: Permissions,
    /// What this proxy may spend of the fleet's budgets of further attempts.
    budgets: Option<FleetQuotas>,
    counts: Counts,
    news: Option<ReleaseStatus>,
    module_time: std::time::Duration,
    timing: bool,
}

impl Engine {
    /// A fresh engine round a fresh module.
    pub fn new(settings: Settings, seed: u64, recorder: Option<Recorder>) -> Self {
        Engine {
            module: Balancer::new(settings.clone(), seed),
            settings,
            recorder,
            requests: HashMap::new(),
            dues: BinaryHeap::new(),
            next_due: 0,
            last_id: 0,
            passed: HashMap::new(),
            passed_order: VecDeque::new(),
            actions: Vec::new(),
            orders: VecDeque::new(),
            later: VecDeque::new(),
            busy: false,
            permissions: Permissions::new(ListLease::unlimited()),
            budgets: None,
            counts: Counts::default(),
            news: None,
            module_time: std::time::Duration::ZERO,
            timing: false,
        }
    }

    /// An engine that goes on with what a process before it had learned; see [`Balancer::successor`].
    pub fn succeed(settings: Settings, module: Balancer) -> Self {
        Engine { module, ..Engine::new(settings, 0, None) }
    }

    /// The module as a process that takes over will have it.
    pub fn successor(&self, seed: u64) -> Balancer {
        self.module.successor(seed)
    }

    /// Whether no attempt is started any more: each that the module asks for ends as moot. After a hand-over
    /// the successor's module counts exposure and cold budgets, and nothing may be sent that it cannot know.
    pub fn start_nothing(&mut self, nothing: bool) {
        self.permissions.hand_over(nothing);
    }

    /// Limits the list's use from now on: it is used only for as long as this lease holds. Before the first request.
    pub fn keep_list_lease(&mut self, now: Micros, lease: ListLease) {
        self.permissions.list = lease;
        self.feed(now, Event::ListLease { until: lease.until() });
    }

    /// Changes the lease on the list.
    pub fn change_list_lease(&mut self, now: Micros, change: impl FnOnce(&mut ListLease)) {
        let before = self.permissions.list.until();
        change(&mut self.permissions.list);
        let until = self.permissions.list.until();
        if until != before {
            self.feed(now, Event::ListLease { until });
        }
    }

    /// What this process may do now.
    pub fn permissions(&self) -> &Permissions {
        &self.permissions
    }

    /// The process was told to end: nothing is sent and everything has its final answer by the time that is returned,
    /// which is an earlier one where it was told before.
    pub fn end(&mut self, now: Micros, lifetime: Lifetime) -> Lifetime {
        let lifetime = self.permissions.end(lifetime);
        let at = lifetime.answer_by;
        let mut cuts = Vec::new();
        for (&id, r) in self.requests.iter_mut().filter(|(_, r)| r.deadline > at) {
            r.deadline = at;
            cuts.push(Due::Overdue(id));
            for (number, attempt) in r.attempts.iter_mut().enumerate().filter(|(_, a)| a.cut_at > at) {
                attempt.cut_at = at;
                cuts.push(Due::Cut(id, number));
            }
        }
        cuts.sort_unstable();
        cuts.into_iter().for_each(|due| self.schedule(at, due));
        self.feed(now, Event::ShutdownAt { at });
        lifetime
    }

    /// Keeps to the fleet's budgets from now on: an attempt beyond a request's first is started only with a right to it,
    /// whatever the module asks for. Before the first request of a life.
    pub fn share(&mut self, now: Micros, budgets: FleetQuotas) {
        self.budgets = Some(budgets);
        self.turn_budgets(now);
    }

    /// What is held of the fleet's budgets.
    pub fn budgets(&self, now: Micros) -> Vec<QuotaStatus> {
        self.budgets.as_ref().map_or_else(Vec::new, |b| b.status(now))
    }

    /// Measures from now on how long the module takes.
    pub fn time_module(&mut self) {
        self.timing = true;
    }

    /// Time spent in the module while measured.
    pub fn module_time(&self) -> std::time::Duration {
        self.module_time
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The news last told.
    pub fn news(&self) -> Option<ReleaseStatus> {
        self.news
    }

    /// Requests in hand.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// Requests whose final answer is still owed.
    pub fn owed(&self) -> usize {
        self.requests.values().filter(|r| !r.finished).count()
    }

    /// The flight recorder.
    pub fn recorder(&mut self) -> Option<&mut Recorder> {
        self.recorder.as_mut()
    }

    /// Gives the recorder up, to be finished.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }

    /// The next order.
    pub fn next_order(&mut self) -> Option<Order> {
        self.orders.pop_front()
    }

    /// A request has arrived; its id. `deadline` is when its client gives up. A request whose body cannot
    /// be sent twice (`repeatable` false) still gets its first attempt.
    pub fn request(&mut self, now: Micros, request: Request, repeatable: bool) -> RequestId {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = self.permissions.answer_by(request.deadline);
        let request = Request { deadline, ..request };
        let in_hand = InHand {
            class: request.class,
            deadline,
            finished: false,
            streaming: None,
            repeatable,
            timed_out: false,
            spare_rights: 0,
            attempts: Vec::new(),
        };
        self.requests.insert(id, in_hand);
        self.counts.taken += 1;
        self.counts.without_list += u64::from(!self.permissions.list.holds(now));
        self.schedule(deadline + self.settings.rules.deadline_grace, Due::Overdue(id));
        self.feed(now, Event::Request(Request { id, ..request }));
        id
    }

    /// Bytes of the request's body have left that are not kept: it cannot be sent again.
    pub fn not_repeatable(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.repeatable = false;
        }
    }

    /// Whether an attempt is still awaited.
    pub fn awaits(&self, id: RequestId, attempt: usize) -> bool {
        self.requests.get(&id).and_then(|r| r.attempts.get(attempt)).is_some_and(|a| !a.over)
    }

    /// Asks again at the moment of writing, for an attempt that could not leave in the turn in which it was
    /// ordered: its connection has come up only now, or takes the rest of it. False if it must not; its end has
    /// been told then, and an [`Order::Drop`] closes its connection.
    pub fn may_leave(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        if !self.awaits(id, number) {
            return false;
        }
        self.feed(now, Event::ReadyToSend { request: id, attempt: number });
        self.may_write(now, id, number)
    }

    /// Asks at the moment of writing whether an attempt that was started in this turn may be written, whatever the module
    /// decided. If not, its end has been told, and an [`Order::Drop`] closes its connection.
    pub fn may_write(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        if !self.awaits(id, number) {
            return false;
        }
        let facts = self
            .requests
            .get(&id)
            .zip(self.cut_at(id, number))
            .map(|(r, cut_at)| self.facts(r, number, cut_at));
        let denied = facts.is_some_and(|facts| self.permissions.may_write(now, &facts).is_err());
        if denied {
            self.counts.held_back += 1;
            self.withhold(now, id, number);
        }
        !denied
    }

    fn facts(&self, r: &InHand, number: usize, cut_at: Micros) -> AttemptFacts {
        AttemptFacts {
            request_over: r.finished,
            streaming: r.streaming.is_some(),
            earlier: number,
            // One that was withheld left nothing of the body, and no right, used.
            earlier_left: r.attempts.iter().take(number).any(|a| !a.withheld),
            most: self.settings.limits.max_attempts,
            repeatable: r.repeatable,
            cut_at,
        }
    }

    fn withhold(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let further = r.attempts.iter().take(number).any(|a| !a.withheld);
        let Some(attempt) = r.attempts.get_mut(number).filter(|a| !a.over) else { return };
        attempt.withheld = true;
        r.spare_rights += usize::from(further);
        self.counts.attempts -= 1;
        self.orders.push_back(Order::Drop { request: id, attempt: number });
        self.attempt_ended(now, id, number, Outcome::CancelledBeforeSend);
    }

    /// An attempt has ended. True if its answer is the client's: the first served one of a request that is
    /// not finished. What comes after that, or after the attempt was given up, goes to nobody.
    pub fn attempt_ended(&mut self, now: Micros, id: RequestId, number: usize, outcome: Outcome) -> bool {
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = r.attempts.get_mut(number).filter(|a| !a.over) else { return false };
        attempt.over = true;
        let (server, elapsed) = (attempt.server, now.saturating_sub(attempt.sent_at));
        // A stream that breaks has been the client's since its first byte: its end is the request's.
        let was_stream = r.streaming == Some(number);
        let wins = !r.finished && (outcome == Outcome::Ok || was_stream);
        if wins {
            r.finished = true;
            self.counts.served += u64::from(outcome == Outcome::Ok);
            self.counts.failed += u64::from(outcome != Outcome::Ok);
        }
        r.timed_out |= outcome == Outcome::Timeout;
        let settled = r.finished;
        let end =
            AttemptEnd { request: id, attempt: number, server, outcome, elapsed, finishes_request: settled };
        self.tell(now, Event::AttemptEnded(end));
        self.forget_if_over(id);
        wins && outcome == Outcome::Ok
    }

    /// An answer has begun that will be passed on as it comes. True if it is the client's: from now on no
    /// time-out applies and no other answer counts.
    pub fn stream_started(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let awaited = r.attempts.get(number).is_some_and(|a| !a.over);
        if r.finished || r.streaming.is_some() || !awaited {
            return false;
        }
        r.streaming = Some(number);
        self.feed(now, Event::StreamStarted { request: id, attempt: number });
        true
    }

    /// Notes an answer that is passed on under `answer`, so that the client can report it wrong.
    pub fn passed_on(&mut self, id: RequestId, number: usize, answer: u64) {
        let Some(r) = self.requests.get(&id) else { return };
        let mine = r.streaming.is_none_or(|s| s == number) && !r.finished;
        let Some(attempt) = r.attempts.get(number).filter(|a| mine && !a.over) else { return };
        let (server, sent_at) = (attempt.server, attempt.sent_at);
        self.passed.insert(answer, Passed { server, class: r.class, sent_at });
        self.passed_order.push_back(answer);
        if self.passed_order.len() > PASSED_KEPT {
            self.passed_order.pop_front().map(|oldest| self.passed.remove(&oldest));
        }
    }

    /// A client reports an answer wrong. False if it is not known, or was reported before.
    pub fn flagged(&mut self, now: Micros, answer: u64) -> bool {
        let Some(Passed { server, class, sent_at }) = self.passed.remove(&answer) else { return false };
        self.answer_flagged(now, server, class, now.saturating_sub(sent_at));
        true
    }

    /// A platform that names the server itself tells of a wrong answer.
    pub fn answer_flagged(&mut self, now: Micros, server: ServerId, class: usize, since: Micros) {
        self.feed(now, Event::AnswerFlagged { server, class, since });
    }

    /// When an awaited attempt will be dropped.
    pub fn cut_at(&self, id: RequestId, number: usize) -> Option<Micros> {
        self.requests.get(&id)?.attempts.get(number).filter(|a| !a.over).map(|a| a.cut_at)
    }

    /// The client left; nothing is owed any more.
    pub fn client_gone(&mut self, now: Micros, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.finished) else { return };
        r.finished = true;
        self.counts.gone += 1;
        // A stream's connection is the driver's to close; the module never cancels one.
        if let Some(attempt) = r.streaming {
            self.orders.push_back(Order::Drop { request: id, attempt });
            self.feed(now, Event::ClientDisconnected { request: id });
            self.attempt_ended(now, id, attempt, Outcome::Cancelled);
        } else {
            self.feed(now, Event::ClientDisconnected { request: id });
        }
        self.forget_if_over(id);
    }

    /// News of the roster.
    pub fn list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        self.feed(now, Event::ServerList { kind, entries });
    }

    /// News of the release desk.
    pub fn stage(&mut self, now: Micros, news: ReleaseStatus) {
        self.news = Some(news);
        self.feed(now, Event::Release(news));
    }

    /// A vote's reply.
    pub fn vote_reply(&mut self, now: Micros, outcome: Outcome, news: Option<ReleaseStatus>) {
        self.news = news.or(self.news);
        self.feed(now, Event::VoteReply { outcome, release: news });
    }

    /// An operator's word on the present stage.
    pub fn operator(&mut self, now: Micros, word: OperatorCommand) {
        self.feed(now, Event::Operator(word));
    }

    /// A peer's message.
    pub fn peer_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        self.feed(now, Event::PeerMessage { from, payload });
    }

    /// A peer's word about the fleet's budgets.
    pub fn rights_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        let Some(budgets) = &mut self.budgets else { return };
        let answer = budgets.on_message(now, from, payload);
        self.orders.extend(answer.map(|payload| Order::Rights { to: from, payload }));
    }

    /// Asks peers for rights where they are short, and looks again later.
    fn turn_budgets(&mut self, now: Micros) {
        let Some(budgets) = &mut self.budgets else { return };
        let asks = budgets.poll_requests(now);
        let next = now + budgets.poll_interval();
        let requests =
            asks.into_iter().map(|message| Order::Rights { to: message.to, payload: message.payload });
        self.orders.extend(requests);
        self.schedule(next, Due::Budgets);
    }

    /// When [`Engine::on_due`] must be called next.
    pub fn due(&self) -> Option<Micros> {
        self.dues.peek().map(|Reverse((at, ..))| *at)
    }

    /// Plays what is due, in the order in which it came due: after a standstill of the loop the module
    /// hears everything as it would have, only later.
    pub fn on_due(&mut self, now: Micros) {
        self.on_due_by(now, now);
    }

    /// The same for what had come due by `looked`, when a driver looked at its sockets last: what came due since
    /// then may have been overtaken by an answer that lies unread.
    pub fn on_due_by(&mut self, now: Micros, looked: Micros) {
        while let Some(Reverse((at, _, due))) = self.dues.peek().copied().filter(|d| d.0.0 <= looked) {
            self.dues.pop();
            match due {
                Due::Timer(token) => self.feed(now, Event::Timer { token }),
                Due::Cut(id, number) => self.cut(now, at, id, number),
                Due::Overdue(id) => self.overdue(now, id),
                Due::Budgets => self.turn_budgets(now),
            }
        }
    }

    /// The span that the module set for an attempt is over.
    fn cut(&mut self, now: Micros, at: Micros, id: RequestId, number: usize) {
        let Some(r) = self.requests.get(&id) else { return };
        let awaited = r.attempts.get(number).is_some_and(|a| !a.over && a.cut_at <= at);
        if awaited && r.streaming != Some(number) {
            self.orders.push_back(Order::Drop { request: id, attempt: number });
            self.attempt_ended(now, id, number, Outcome::Timeout);
        }
    }

    /// The module owes each answer before the deadline; should it ever not give one, the client still gets
    /// its answer and the module hears that the request is over.
    fn overdue(&mut self, now: Micros, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.finished && r.streaming.is_none()) else {
            return;
        };
        r.finished = true;
        self.counts.overdue += 1;
        self.counts.failed += 1;
        let answer = Final::Failed { timed_out: true };
        self.orders.push_back(Order::Answer { request: id, answer });
        self.feed(now, Event::ClientDisconnected { request: id });
        self.forget_if_over(id);
    }

    /// The process ends: each client that is owed an answer gets it as failed, and the module hears of none any more.
    pub fn abandon(&mut self, now: Micros) {
        let owed = |r: &InHand| !r.finished && r.streaming.is_none();
        let mut ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| owed(r)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.answer(id, Final::Failed { timed_out: true });
            self.feed(now, Event::ClientDisconnected { request: id });
        }
    }

    fn schedule(&mut self, at: Micros, due: Due) {
        self.next_due += 1;
        self.dues.push(Reverse((at, self.next_due, due)));
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.finished && r.attempts.iter().all(|a| a.over)) {
            self.requests.remove(&id);
            self.orders.push_back(Order::Forget { request: id });
        }
    }

    /// Tells the module an event that may come of its own actions.
    fn tell(&mut self, now: Micros, event: Event<'static>) {
        if self.busy {
            self.later.push_back(event);
        } else {
            self.feed(now, event);
        }
    }

    /// Tells the module an event and does what it asks for, then what came of that.
    fn feed(&mut self, now: Micros, event: Event<'_>) {
        self.busy = true;
        self.run(now, &event);
        while let Some(event) = self.later.pop_front() {
            self.run(now, &event);
        }
        self.busy = false;
    }

    fn run(&mut self, now: Micros, event: &Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        let began = self.timing.then(std::time::Instant::now);
        self.module.on_event(now, *event, &mut actions);
        self.module_time += began.map_or(std::time::Duration::ZERO, |b| b.elapsed());
        if let Some(recorder) = &mut self.recorder {
            recorder.event(now, event, &actions);
        }
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, cut_at } => self.start(now, request, server, cut_at),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::Reject { request, retry_after: come_back } => {
                self.answer(request, Final::Refused { come_back });
            }
            Action::Fail { request } => {
                // The module gives up shortly before the deadline, with the last attempt still out.
                let out = |r: &InHand| r.attempts.iter().any(|a| !a.over);
                let timed_out = self.requests.get(&request).is_some_and(|r| r.timed_out || out(r));
                self.answer(request, Final::Failed { timed_out });
            }
            Action::SetTimer { after, token } => self.schedule(now + after, Due::Timer(token)),
            Action::WatchServerList => self.orders.push_back(Order::FollowList),
            Action::FetchServerList => self.orders.push_back(Order::FetchList),
            Action::Vote { build, stage, verdict } => {
                self.orders.push_back(Order::Vote { build, stage, verdict });
            }
            Action::GossipToAll { payload } => self.orders.push_back(Order::Tell { to: None, payload }),
            Action::GossipToPeer { to, payload } => {
                self.orders.push_back(Order::Tell { to: Some(to), payload })
            }
            Action::Log(text) => self.orders.push_back(Order::Note(text)),
            Action::CancelBeforeSend { request, attempt } => self.withhold(now, request, attempt),
        }
    }

    /// Starts an attempt, or ends it at once where none may start ([`Permissions::may_start`]) or the fleet's budget is
    /// used up.
    fn start(&mut self, now: Micros, id: RequestId, server: ServerId, cut_at: Micros) {
        let Some(r) = self.requests.get(&id) else { return };
        let number = r.attempts.len();
        let cut_at = if cut_at == 0 { r.deadline } else { cut_at.min(r.deadline) };
        let facts = self.facts(r, number, cut_at);
        let permitted = self.permissions.may_start(now, &facts);
        // A right is taken last, for an attempt that would leave now.
        let has_right = permitted.is_err() || !facts.earlier_left || self.take_right(now, id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.attempts.push(Attempt { server, sent_at: now, cut_at, over: false, withheld: false });
        match permitted {
            Ok(()) if has_right => {
                self.counts.attempts += 1;
                self.schedule(cut_at, Due::Cut(id, number));
                self.orders.push_back(Order::Start { request: id, attempt: number, server });
            }
            Err(Denial::TimeOver) => {
                self.attempt_ended(now, id, number, Outcome::Timeout);
            }
            Ok(()) => {
                self.attempt_ended(now, id, number, Outcome::NotSent);
            }
            Err(denial) => {
                // The module is told of both, and has to keep to them by itself.
                self.counts.violations += u64::from(matches!(denial, Denial::Ending | Denial::ListExpired));
                self.attempt_ended(now, id, number, Outcome::NotSent);
            }
        }
    }

    /// Takes a right to a further attempt: one that a withheld attempt left unused, or one of the fleet's budget.
    fn take_right(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(r) = self.requests.get_mut(&id) else { return false };
        if r.spare_rights > 0 {
            r.spare_rights -= 1;
            return true;
        }
        let class = r.class;
        self.budgets.as_mut().is_none_or(|budgets| budgets.try_spend(now, class))
    }

    fn cancel(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.streaming != Some(number) && r.attempts.get(number).is_some_and(|a| !a.over) {
            self.orders.push_back(Order::Drop { request: id, attempt: number });
            self.attempt_ended(now, id, number, Outcome::Cancelled);
        }
    }

    fn answer(&mut self, id: RequestId, answer: Final) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.finished && r.streaming.is_none()) else {
            return;
        };
        r.finished = true;
        match answer {
            Final::Refused { .. } => self.counts.refused += 1,
            Final::Failed { .. } => self.counts.failed += 1,
        }
        self.orders.push_back(Order::Answer { request: id, answer });
        self.forget_if_over(id);
    }
}
