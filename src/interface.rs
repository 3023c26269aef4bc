//! The plain types at the boundary of the decision module: its settings, the events that it is given and the
//! actions that it requests.
//!
//! All times are microseconds on one monotonic clock with an arbitrary origin.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a request. It is unique within the lifetime of one balancer.
pub type RequestId = u64;
/// Identifies a server. Only equality and order of the values are meaningful.
pub type ServerId = u64;
/// A build number. Later builds have higher numbers.
pub type Build = u16;

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// The request can safely be executed any number of times.
    Idempotent,
    /// The request carries an idempotency key. Servers of one deduplication group drop a repeated request
    /// with the same key within the deduplication window.
    Keyed,
    /// The request must never be executed twice.
    #[default]
    NonIdempotent,
}

/// The group of servers that share a record of the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DedupGroup {
    /// All servers form one group.
    #[default]
    All,
    /// The servers of each zone form a group.
    Zone,
    /// The servers of each cell form a group.
    Cell,
}

/// A request class, with its latency objective, deadline, weight and idempotency.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RequestClass {
    /// Latency objective: responses within this time earn the full weight of the request. It decides nothing.
    pub latency_objective: Micros,
    /// The total time that a client waits, over all its tries, in microseconds.
    pub deadline: Micros,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// For keyed classes, the servers that share a record of the keys.
    pub dedup_group: DedupGroup,
    /// For keyed classes, how long servers remember a key. The time is counted from the moment when the first
    /// attempt that may have run was sent.
    pub dedup_window: Micros,
    /// Weight of a request relative to requests of other classes, without a unit.
    pub priority_weight: f64,
    /// Share of the weight, 0 to 1, that a response after the latency objective still earns.
    pub late_weight: f64,
    /// Whether responses are streamed.
    pub stream: bool,
}

/// The condition that promotes a release from one stage to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum GateMode {
    /// A single vote to promote is enough.
    #[default]
    Any,
    /// A share of all balancers must hold a vote to promote.
    Share,
    /// Time alone promotes the release, unless a vote holds it.
    Timer,
}

/// How builds are rolled out: the gate between stages, the limits on exposure and the rules for votes.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rollout {
    /// The condition that promotes a release from one stage to the next.
    pub gate: GateMode,
    /// Whether servers of the earlier build drain as soon as their replacements are up. Otherwise they stay
    /// until the new build is released.
    pub in_place: bool,
    /// Exposure cap of each stage: the share of attempts, 0 to 1, that may go to the new build.
    pub stage_caps: Vec<f64>,
    /// Number of initial stages in which only requests of idempotent classes may go to the new build.
    pub idempotent_only_stages: u8,
    /// Length of the window of the exposure rule. The rule applies to every window of this length.
    pub exposure_window: Micros,
    /// Number of attempts at the new build that the exposure rule allows in a window in addition to the cap's
    /// share.
    pub exposure_slack: f64,
    /// Whether the exposure rule counts each request class separately.
    pub exposure_per_class: bool,
    /// Whether idempotency keys are sticky: a key that the new build has answered is never sent to an earlier
    /// build.
    pub sticky_to_new_build: bool,
    /// How long a vote counts after it was cast.
    pub vote_ttl: Micros,
    /// How long to wait for the reply to a vote.
    pub vote_timeout: Micros,
    /// Share of wrong responses that clients report. 0 means that clients do not report them.
    pub flag_share: f64,
    /// Number of votes that promote a release to the next stage.
    pub votes_to_promote: f64,
    /// Number of votes that roll a build back.
    pub votes_to_roll_back: f64,
    /// Votes per second that the platform accepts from all balancers together.
    pub vote_rate_limit: f64,
}

/// The features that the site permits and their limits.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether requests may be hedged, so that two attempts of one request are in flight at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to servers.
    pub health_checks: bool,
    /// Whether gossip messages may be sent to peers.
    pub gossip: bool,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
}

/// Times and limits of the service rules that every balancer has to follow.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceRules {
    /// Time after the deadline within which a final response still counts as in time.
    pub deadline_grace: Micros,
    /// Longest interval between two polls of the server list where there is no subscription.
    pub poll_interval_max: Micros,
    /// Slow start: smallest share of its capacity, 0 to 1, that a server has right after its start.
    pub slow_start_floor: f64,
    /// Slow start: time after which a started server has its full capacity at the latest.
    pub slow_start_span: Micros,
    /// Time within which a balancer must stop sending to a draining server. A lowered exposure cap takes
    /// effect after the same time.
    pub drain_grace: Micros,
    /// A server that is warming up fails if it is sent more than this multiple of its current capacity for
    /// `overload_span`.
    pub overload_multiple: f64,
    /// How long a server that is warming up tolerates more than `overload_multiple` times its current
    /// capacity.
    pub overload_span: Micros,
}

/// A tenant of the service and its quota.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Quota of the tenant over all balancers, in requests per second.
    pub quota_per_s: f64,
}

/// All settings of a balancer. They do not change during its lifetime.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Request classes. [`Request::class`] is an index into this list.
    pub classes: Vec<RequestClass>,
    /// Tenants. [`Request::tenant`] is an index into this list, which may be empty.
    pub tenants: Vec<Tenant>,
    /// How builds are rolled out.
    pub rollout: Rollout,
    /// The features that the site permits and their limits.
    pub limits: Limits,
    /// Times and limits of the service rules.
    pub rules: ServiceRules,
    /// Whether the balancer has to subscribe to the server list. Otherwise the list arrives without a
    /// subscription.
    pub subscribes_to_list: bool,
    /// Number of balancers in the fleet.
    pub fleet_size: usize,
    /// Position of this balancer in the fleet.
    pub position: usize,
    /// Zone of this balancer.
    pub zone: u16,
    /// Shortest time between two rounds of events.
    pub tick: Micros,
    /// Weight of a request that exceeds its tenant's quota, as a share of the weight of its class, 0 to 1.
    pub over_quota_weight: f64,
    /// Whether the sizes of servers are known and can be compared with each other.
    pub sizes_known: bool,
}

impl Settings {
    /// Returns the longest deadline of all classes in microseconds, or 0 if there are no classes.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ServerStatus {
    /// The server takes requests.
    Ready,
    /// The server finishes its requests and takes no new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: ServerId,
    /// Zone of the server.
    pub zone: u16,
    /// Build that the server runs.
    pub build: Build,
    /// Cell of the server.
    pub cell: u16,
    /// State of the server.
    pub status: ServerStatus,
    /// Capacity of the server relative to other servers, without a unit.
    pub size: f64,
    /// Time of the server's latest start, in microseconds. 0 means that it started long ago.
    pub started_at: Micros,
}

/// What a server list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListKind {
    /// The event carries only the entries that changed.
    Delta,
    /// The event carries the whole list.
    Full,
    /// The event carries the whole list as it was stored before a restart. It may be stale.
    Cached,
    /// A call failed or the subscription was lost. The event carries no entries.
    Failed,
}

/// How an attempt, a health check or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The request was served, or the vote was accepted.
    Ok,
    /// The server responded with an error. The request may have been executed.
    Error,
    /// The server rejected the request before its execution.
    Rejected,
    /// No reply arrived in time. The request may have been executed.
    Timeout,
    /// No connection could be made, so the request was not executed.
    ConnectFailed,
    /// The connection was closed. The request may have been executed.
    Reset,
    /// The attempt was cancelled. The request may have been executed.
    Cancelled,
    /// The attempt was never sent. For a vote: it was about a stage that is over.
    NotSent,
    /// The attempt was cancelled before it was sent, so the request was not executed. Another attempt may
    /// replace it.
    CancelledBeforeSend,
}

impl Outcome {
    /// Returns whether the attempt was never sent.
    pub fn never_sent(self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::CancelledBeforeSend)
    }

    /// Returns whether the server may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::CancelledBeforeSend
        )
    }
}

/// Phase of the release of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// The build is on trial.
    Trial,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released.
    Released,
    /// The build has been withdrawn.
    Withdrawn,
}

/// Status of the release of the newest build, as reported by the release service.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ReleaseStatus {
    /// The newest build.
    pub build: Build,
    /// Stage of the release, counted from 0.
    pub stage: u8,
    /// Phase of the release.
    pub phase: Phase,
    /// Current exposure cap, 0 to 1.
    pub cap: f64,
}

/// The verdict on a build that a vote carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Verdict {
    /// The build should be promoted to the next stage.
    Promote,
    /// The build should be held at its current stage.
    Hold,
    /// The build should be rolled back.
    RollBack,
    /// The balancer has no vote. A vote that it cast before is withdrawn.
    #[default]
    Withdraw,
}

impl std::fmt::Display for Verdict {
    /// Writes the word that log lines and the status text use for the verdict.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Verdict::Promote => "On",
            Verdict::Hold => "Hold",
            Verdict::RollBack => "Back",
            Verdict::Withdraw => "Withdraw",
        })
    }
}

/// A request as it arrives from a client.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// Index of the request's class in [`Settings::classes`].
    pub class: usize,
    /// Expected service time, if known.
    pub cost_hint: Option<Micros>,
    /// Idempotency key of the request, if it has one.
    pub key: Option<u64>,
    /// Index of the request's tenant in [`Settings::tenants`].
    pub tenant: usize,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptEnd {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt among the attempts of its request, counted from 0.
    pub attempt: usize,
    /// Server that the attempt was made at.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the request is finished with this attempt, because it has its final response.
    pub finishes_request: bool,
}

/// An operator's command that concerns the current stage of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum OperatorCommand {
    /// Cast no votes. Where a timer promotes stages, vote to hold instead.
    Pause,
    /// Resume voting after a pause.
    Resume,
    /// Vote to roll the build back.
    RollBack,
}

/// An event that the balancer is given.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The server list changed, or a call for it failed.
    ServerList {
        /// What the event carries.
        kind: ListKind,
        /// The entries of the list, or the changed ones.
        entries: &'a [ServerEntry],
    },
    /// A request arrived from a client.
    Request(Request),
    /// A timer expired.
    Timer {
        /// Token that the timer was set with.
        token: u64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A server started to stream its response.
    StreamStarted {
        /// Request that the response belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// A client reported a response as wrong.
    AnswerFlagged {
        /// Server that gave the response.
        server: ServerId,
        /// Class of the request.
        class: usize,
        /// Time since the attempt was sent.
        since: Micros,
    },
    /// The client disconnected and needs no response any more.
    ClientDisconnected {
        /// Request of the client.
        request: RequestId,
    },
    /// The release service pushed the release status of the newest build.
    Release(ReleaseStatus),
    /// The reply to a vote arrived.
    VoteReply {
        /// Whether the vote counts.
        outcome: Outcome,
        /// Release status that came with the reply. It is valid only if the vote was accepted.
        release: Option<ReleaseStatus>,
    },
    /// A gossip message arrived from a peer.
    PeerMessage {
        /// Position of the peer in the fleet.
        from: usize,
        /// Bytes of the message.
        payload: &'a [u8],
    },
    /// An operator overrides the vote of this balancer.
    Operator(OperatorCommand),
    /// A health check ended.
    HealthChecked {
        /// Server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
    },
    /// The platform reported the load of one build and class over a period.
    LoadReport {
        /// Build that the report is about.
        build: Build,
        /// Request class that the report is about.
        class: usize,
        /// Number of attempts in the period.
        attempts: u32,
        /// Number of attempts that failed.
        failed: u32,
        /// Mean time of the attempts that did not fail.
        mean: Micros,
        /// Time since the end of the reported period.
        age: Micros,
    },
    /// An attempt that was started earlier can be sent only now, because its connection has just been
    /// established or is ready to take the rest of it. The attempt is sent unless the balancer responds with
    /// [`Action::CancelBeforeSend`].
    ReadyToSend {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// The lease on the server list changed. Until the first such event the list may be used without limit.
    ListLease {
        /// Time until which the list may be used unless it is confirmed again.
        until: Micros,
    },
    /// The process shuts down.
    ShutdownAt {
        /// Time by which every request has its final response and from which nothing is sent any more.
        at: Micros,
    },
}

/// An action that the balancer requests.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Server to send the attempt to.
        server: ServerId,
        /// Time at which the attempt times out.
        cut_at: Micros,
    },
    /// Cancel an attempt and stop waiting for it.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Give the final response that rejects the request. The client can safely repeat it.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Retry-After in microseconds. 0 means that the response carries none.
        retry_after: Micros,
    },
    /// Give the final response that fails the request. It may have been executed.
    Fail {
        /// Request to fail.
        request: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// Time from now until the timer expires, in microseconds.
        after: Micros,
        /// Token that [`Event::Timer`] returns unchanged.
        token: u64,
    },
    /// Subscribe to the server list.
    WatchServerList,
    /// Fetch the whole server list once.
    FetchServerList,
    /// Vote on a build.
    Vote {
        /// Build that the vote is about.
        build: Build,
        /// Stage that the vote is about.
        stage: u8,
        /// Verdict on the build.
        verdict: Verdict,
    },
    /// Send a gossip message to every peer.
    GossipToAll {
        /// Bytes of the message.
        payload: Vec<u8>,
    },
    /// Send a gossip message to one peer.
    GossipToPeer {
        /// Position of the peer in the fleet.
        to: usize,
        /// Bytes of the message.
        payload: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Do not send an attempt after [`Event::ReadyToSend`], because it must not be sent any more. The attempt
    /// then ends with [`Outcome::CancelledBeforeSend`].
    CancelBeforeSend {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
}
