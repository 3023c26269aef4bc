//! What the decision module is told and what it may ask for, as plain types.
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

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Effect {
    /// Safe to repeat at any time.
    Retryable,
    /// Carries a key; servers of one group drop a repeat for a while.
    Deduplicated,
    /// Must never run twice.
    #[default]
    Fragile,
}

/// Which servers share their memory of keys already seen.
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

/// One class of requests.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Answers within this span earn their full worth.
    pub aim: Micros,
    /// The client's total wait over all its tries.
    pub deadline: Micros,
    /// What a repeat does.
    pub effect: Effect,
    /// For deduplicated classes: who remembers a key.
    pub group: DedupGroup,
    /// For deduplicated classes: how long, from the send of the first attempt that may have run.
    pub dedup_window: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Answers come as a stream.
    pub stream: bool,
}

/// How stages move on.
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
    /// How stages move on.
    pub gate: GateMode,
    /// Earlier machines drain as their successors come up (else they stay until the release).
    pub in_place: bool,
    /// Exposure cap of each stage.
    pub stage_cap: Vec<f64>,
    /// Stages below this number admit only classes that are safe to repeat.
    pub guarded_stages: u8,
    /// Any span of this length counts for the exposure rule.
    pub counted_over: Micros,
    /// Attempts that the exposure rule allows beyond the cap's share.
    pub uncounted: f64,
    /// The exposure rule counts each class by itself.
    pub per_class: bool,
    /// A key answered by the new build goes to no earlier one.
    pub one_way: bool,
    /// How long a vote stands.
    pub vote_ttl: Micros,
    /// How long a vote's reply may take.
    pub call_timeout: Micros,
    /// The share of wrong answers that clients report; 0: no reports.
    pub flag_share: f64,
    /// Votes that move a stage on.
    pub votes_on: f64,
    /// Votes that send a build back.
    pub votes_back: f64,
    /// Votes a second that the platform takes from all balancers together.
    pub vote_allowance: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Messages to peers may be sent.
    pub peer_messages: bool,
    /// Refusals may carry advice when to come back.
    pub retry_after: bool,
    /// The longest advice that clients honour.
    pub max_retry_after: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Contract {
    /// A final answer this long after the deadline is still in time.
    pub answer_grace: Micros,
    /// Without a subscription the list must have been asked for within this span.
    pub ask_within: Micros,
    /// A server starts with this share of its capacity or more.
    pub cold_from: f64,
    /// And is warm after this span at the latest.
    pub cold_span: Micros,
    /// Sends to a draining server must stop within this span; lower caps bind after it.
    pub drain_grace: Micros,
    /// A cold server falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this span.
    pub fall_span: Micros,
}

/// A customer and its share of the service.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Requests a second, over all balancers, within its share.
    pub quota_per_s: f64,
}

/// All that a balancer is told when it starts.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Rollout settings.
    pub rollout: Rollout,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub contract: Contract,
    /// The server list must be asked for.
    pub list_on_request: bool,
    /// Balancers in this tier.
    pub fleet_size: usize,
    /// This balancer's number among them.
    pub position: usize,
    /// This balancer's zone.
    pub zone: u16,
    /// Shortest span between two rounds of events.
    pub tick: Micros,
    /// Worth of a request past its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Servers' sizes can be set against each other.
    pub sizes_known: bool,
}

/// A server's state as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Status {
    /// Takes work.
    Ready,
    /// Finishing its work; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
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
    pub status: Status,
    /// Its size against the others.
    pub size: f64,
    /// Its latest start; 0: long past.
    pub started_at: Micros,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListKind {
    /// Only changed lines.
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
    /// Turned away unseen; never ran.
    Rejected,
    /// No reply in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection dropped; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent, or no longer meaningful.
    Moot,
    /// Taken back before it left: never ran. Another may take its place.
    Withheld,
}

impl Settings {
    /// The longest deadline of all classes, in microseconds; 0 without a class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Moot | Outcome::Withheld)
    }
}

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}

/// The platform's word on the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StageNews {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: u8,
    /// Where it stands.
    pub phase: Phase,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
}

/// A verdict on a build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Verdict {
    /// Move on.
    On,
    /// Stop the clock.
    Hold,
    /// Send back.
    Back,
    /// No vote.
    #[default]
    Withdraw,
}

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// Its class.
    pub class: usize,
    /// Work expected, where known.
    pub hint: Option<Micros>,
    /// The thing it concerns, where known.
    pub key: Option<u64>,
    /// Its tenant.
    pub tenant: usize,
    /// The client marked it as a repeat.
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
    /// The request is finished.
    pub settled: bool,
}

/// An operator's word on the newest build's present stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Operator {
    /// Withhold votes; where stages move by the clock, hold it.
    Pause,
    /// Vote again.
    Resume,
    /// Vote it back.
    Back,
}

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// News of the server list.
    ServerList {
        /// What it carries.
        kind: ListKind,
        /// The lines.
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
    /// The client left; nothing is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// News of the newest build, unasked.
    Stage(StageNews),
    /// A vote's reply.
    VoteReply {
        /// Whether it counts.
        outcome: Outcome,
        /// News that came with it, valid only for an accepted vote.
        news: Option<StageNews>,
    },
    /// A message from a peer.
    PeerMessage {
        /// Its number.
        from: usize,
        /// The bytes.
        payload: &'a [u8],
    },
    /// An operator overrides this balancer's vote.
    Operator(Operator),
    /// A probe's result.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The platform's count for one build and class.
    PlatformCount {
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
    /// An attempt that was decided a while ago could leave only now: its connection has come up, or takes the
    /// rest of it. It leaves unless the balancer withholds it.
    Leaving {
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
    /// The process was told to end: nothing is sent any more from that moment on, and all has been answered by then.
    EndsAt {
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
        /// When to drop the attempt.
        cut_at: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused; repeating is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long to stay away; 0: no advice.
        come_back: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake up later.
    SetTimer {
        /// From now.
        after: Micros,
        /// Returned as given.
        token: u64,
    },
    /// Subscribe to the server list.
    FollowList,
    /// Pull the whole server list once.
    FetchList,
    /// Vote on a build.
    Vote {
        /// The build.
        build: Build,
        /// The stage.
        stage: u8,
        /// The verdict.
        verdict: Verdict,
    },
    /// Send a message to every peer.
    TellPeers {
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Send a message to one peer.
    TellPeer {
        /// Its number.
        to: usize,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// A line for the log.
    Note(String),
    /// The answer to [`Event::Leaving`] where the attempt may not leave any more; it ends as withheld.
    Withhold {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
}
