//! Events that the decision module takes, actions that it asks for, and its settings, as plain types.
//!
//! Times are microseconds on one monotonic clock whose origin means nothing.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A request's identity, unique within one balancer's life.
pub type RequestId = u64;
/// A server's identity; carries no meaning beyond equality and order.
pub type ServerId = u64;
/// A build number; a later build has a higher one.
pub type Build = u16;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// Safe to execute any number of times.
    Idempotent,
    /// Carries an idempotency key: servers of one deduplication group drop a repeat within a window.
    Keyed,
    /// Must never be executed twice.
    #[default]
    NonIdempotent,
}

/// Which servers share their memory of the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DedupGroup {
    /// Every server.
    #[default]
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// One class of requests: its latency objective, deadline, weight and idempotency.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RequestClass {
    /// Latency objective: answers within this span earn their full weight.
    pub latency_objective: Micros,
    /// The client's total wait over all its tries, in microseconds.
    pub deadline: Micros,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// For keyed classes: which servers remember a key.
    pub dedup_group: DedupGroup,
    /// For keyed classes: how long they remember it, counted from the send of the first attempt that may have run.
    pub dedup_window: Micros,
    /// Weight of a request against those of other classes; unitless.
    pub priority_weight: f64,
    /// Share of the weight that an answer past the latency objective still earns, 0 to 1.
    pub late_weight: f64,
    /// Answers come as a stream.
    pub stream: bool,
}

/// What promotes a release from one stage to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum GateMode {
    /// One vote is enough.
    #[default]
    Any,
    /// A share of all balancers must stand for it.
    Share,
    /// By the clock, unless held.
    Timer,
}

/// How builds are rolled out, voted on and bounded.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rollout {
    /// What promotes a release from one stage to the next.
    pub gate: GateMode,
    /// Earlier machines drain as their successors come up (else they stay until the release).
    pub in_place: bool,
    /// Exposure cap of each stage: the share of attempts that may go to the new build, 0 to 1.
    pub stage_caps: Vec<f64>,
    /// Stages below this number admit only idempotent classes to the new build.
    pub idempotent_only_stages: u8,
    /// The exposure rule holds over every window of this length.
    pub exposure_window: Micros,
    /// Attempts that the exposure rule allows in a window beyond the cap's share.
    pub exposure_slack: f64,
    /// The exposure rule counts each class by itself.
    pub exposure_per_class: bool,
    /// A key that the new build has answered is sticky to it: it goes to no earlier build.
    pub sticky_to_new_build: bool,
    /// How long a vote stands.
    pub vote_ttl: Micros,
    /// How long a vote's reply may take.
    pub vote_timeout: Micros,
    /// The share of wrong answers that clients report; 0: no reports.
    pub flag_share: f64,
    /// Votes that promote a release to the next stage.
    pub votes_to_promote: f64,
    /// Votes that roll a build back.
    pub votes_to_roll_back: f64,
    /// Votes a second that the platform takes from all balancers together.
    pub vote_rate_limit: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Requests may be hedged: two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be sent health checks.
    pub health_checks: bool,
    /// Gossip messages may be sent to peers.
    pub gossip: bool,
    /// Rejections may carry a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
}

/// Figures of the rules that every balancer keeps.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceRules {
    /// A final answer this long after the deadline is still in time.
    pub deadline_grace: Micros,
    /// Without a subscription the server list must be polled at least this often.
    pub poll_interval_max: Micros,
    /// Slow start: a server starts with this share of its capacity or more, 0 to 1 ...
    pub slow_start_floor: f64,
    /// ... and has its full capacity after this span at the latest.
    pub slow_start_span: Micros,
    /// Sends to a draining server must stop within this span; lower caps bind after it.
    pub drain_grace: Micros,
    /// A server that is warming up falls over when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this span.
    pub overload_span: Micros,
}

/// A customer and its quota of the service.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Requests a second, over all balancers, within its quota.
    pub quota_per_s: f64,
}

/// All settings of a balancer; they do not change during its life.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Classes of requests, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Rollout settings.
    pub rollout: Rollout,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: ServiceRules,
    /// The server list has to be subscribed to; it does not come unasked.
    pub subscribes_to_list: bool,
    /// Balancers in this tier.
    pub fleet_size: usize,
    /// This balancer's number among them.
    pub position: usize,
    /// This balancer's zone.
    pub zone: u16,
    /// Shortest span between two rounds of events.
    pub tick: Micros,
    /// Weight of a request past its tenant's quota, as a share of its class's weight, 0 to 1.
    pub over_quota_weight: f64,
    /// Servers' sizes can be set against each other.
    pub sizes_known: bool,
}

impl Settings {
    /// The longest deadline of all classes, in microseconds; 0 without a class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }
}

/// A server's state as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ServerStatus {
    /// Takes requests.
    Ready,
    /// Draining: finishes its requests and takes no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// The build it runs.
    pub build: Build,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub status: ServerStatus,
    /// Its capacity against the others, unitless.
    pub size: f64,
    /// Its latest start, in microseconds; 0: long past.
    pub started_at: Micros,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListKind {
    /// Only changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart; may be stale.
    Cached,
    /// A call failed or the subscription dropped; nothing carried.
    Failed,
}

/// How an attempt, a probe or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// Served, or accepted.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected before execution; never ran.
    Rejected,
    /// No reply in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection dropped; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent, or (of a vote) about a stage that is over.
    NotSent,
    /// Cancelled before it was sent: never ran. Another attempt may take its place.
    CancelledBeforeSend,
}

impl Outcome {
    /// Whether the attempt was never sent.
    pub fn never_sent(self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::CancelledBeforeSend)
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::CancelledBeforeSend
        )
    }
}

/// Where the release of a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// On trial.
    Trial,
    /// Being rolled back.
    RollingBack,
    /// Released.
    Released,
    /// Withdrawn.
    Withdrawn,
}

/// The release of the newest build, as the release service states it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ReleaseStatus {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: u8,
    /// Where it stands.
    pub phase: Phase,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
}

/// What a vote says about a build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Verdict {
    /// Promote it to the next stage.
    Promote,
    /// Hold it at its stage.
    Hold,
    /// Roll it back.
    RollBack,
    /// No vote; one that stands is withdrawn.
    #[default]
    Withdraw,
}

impl std::fmt::Display for Verdict {
    /// The words of the log and of the status text.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Verdict::Promote => "On",
            Verdict::Hold => "Hold",
            Verdict::RollBack => "Back",
            Verdict::Withdraw => "Withdraw",
        })
    }
}

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Its class.
    pub class: usize,
    /// Expected service time, where known.
    pub cost_hint: Option<Micros>,
    /// Its idempotency key, where it has one.
    pub key: Option<u64>,
    /// Its tenant.
    pub tenant: usize,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Micros,
    /// The request is finished with it: it has its final answer.
    pub finishes_request: bool,
}

/// An operator's command about the newest build's present stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum OperatorCommand {
    /// Cast no votes; where stages are promoted by the clock, vote to hold.
    Pause,
    /// Vote again.
    Resume,
    /// Vote to roll it back.
    RollBack,
}

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The server list has changed, or a call for it has failed.
    ServerList {
        /// What it carries.
        kind: ListKind,
        /// The entries.
        entries: &'a [ServerEntry],
    },
    /// A client's request has arrived.
    Request(Request),
    /// A timer came due.
    Timer {
        /// As set.
        token: u64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A streamed answer has started.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// A client found an answer wrong.
    AnswerFlagged {
        /// Who gave it.
        server: ServerId,
        /// The request's class.
        class: usize,
        /// Time since that attempt was sent.
        since: Micros,
    },
    /// The client has disconnected; it needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The release service pushed the state of the newest build.
    Release(ReleaseStatus),
    /// A vote's reply.
    VoteReply {
        /// Whether it counts.
        outcome: Outcome,
        /// The release's state that came with it, valid only for an accepted vote.
        release: Option<ReleaseStatus>,
    },
    /// A message from a peer.
    PeerMessage {
        /// Its number.
        from: usize,
        /// The bytes.
        payload: &'a [u8],
    },
    /// An operator overrides this balancer's vote.
    Operator(OperatorCommand),
    /// A health check's result.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The platform's load report for one build and class.
    LoadReport {
        /// The build.
        build: Build,
        /// The class.
        class: usize,
        /// Attempts in the sample.
        attempts: u32,
        /// Those that did not end well.
        failed: u32,
        /// Mean time of the rest.
        mean: Micros,
        /// Time since the period ended.
        age: Micros,
    },
    /// An attempt that was decided on earlier can be sent only now: its connection has come up, or takes the
    /// rest of it. It is sent unless the balancer answers with [`Action::CancelBeforeSend`].
    ReadyToSend {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Until when the server list may be used, unless it is confirmed again. Without this event nothing limits it.
    ListLease {
        /// That moment.
        until: Micros,
    },
    /// The process shuts down: from that moment on nothing is sent, and by then every request has its final answer.
    ShutdownAt {
        /// That moment.
        at: Micros,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// When to time the attempt out.
        cut_at: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: rejected; repeating is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After, in microseconds; 0: none.
        retry_after: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake up later.
    SetTimer {
        /// Counted from now, in microseconds.
        after: Micros,
        /// Returned as given.
        token: u64,
    },
    /// Subscribe to the server list.
    WatchServerList,
    /// Fetch the whole server list once.
    FetchServerList,
    /// Vote on a build.
    Vote {
        /// The build.
        build: Build,
        /// The stage.
        stage: u8,
        /// The verdict.
        verdict: Verdict,
    },
    /// Send a gossip message to every peer.
    GossipToAll {
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Send a gossip message to one peer.
    GossipToPeer {
        /// Its number.
        to: usize,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// The answer to [`Event::ReadyToSend`] where the attempt must not be sent any more; it ends as
    /// [`Outcome::CancelledBeforeSend`].
    CancelBeforeSend {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
}
