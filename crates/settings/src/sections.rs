//! The sections as a script writes them: names, types and defaults. What they mean together is checked in
//! `check`.

use serde::Deserialize;
use std::net::SocketAddr;
use violetseam_starlark_config::Span;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    pub name: String,
    pub size: usize,
    pub position: usize,
    #[serde(default)]
    pub site: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default)]
    pub sizes_known: bool,
    #[serde(default)]
    pub seed: Option<u64>,
    #[serde(default)]
    pub state_dir: Option<String>,
    #[serde(default)]
    pub control: Option<String>,
}

/// Files in PEM form: a daemon's for control over TCP, an operator's in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The certificate, followed by those in between.
    pub cert: String,
    /// Its private key, readable by its owner alone.
    pub key: String,
    /// The authorities whose certificates the other side may show.
    pub trusted: String,
    /// Lists of certificates that are no longer accepted.
    #[serde(default)]
    pub revoked: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControlTls {
    pub listen: SocketAddr,
    pub cert: String,
    pub key: String,
    pub trusted: String,
    #[serde(default)]
    pub revoked: Option<String>,
}

/// A daemon of a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The path of its control socket, or `tls://HOST:PORT`.
    pub control: String,
    /// Groups it can be addressed by.
    #[serde(default)]
    pub groups: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Roster {
    pub addr: SocketAddr,
    #[serde(default = "one_second")]
    pub timeout: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Desk {
    pub addr: SocketAddr,
    /// Controllers that may speak when the first does not.
    #[serde(default)]
    pub standby: Vec<SocketAddr>,
    /// News that are silent for so long are lost; blank lines count.
    #[serde(default)]
    pub silence: Option<Span>,
    #[serde(default = "reconnect")]
    pub reconnect: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Publisher {
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peers {
    pub listen: SocketAddr,
    pub addrs: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EffectName {
    Retryable,
    Keyed,
    Fragile,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GroupName {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestClass {
    pub name: String,
    pub aim: Span,
    pub deadline: Span,
    pub effect: EffectName,
    #[serde(default)]
    pub group: GroupName,
    #[serde(default)]
    pub window: Option<Span>,
    #[serde(default = "unit")]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub stream: bool,
    /// Further attempts a second of the whole fleet; 0: no budget.
    #[serde(default)]
    pub further: f64,
}

/// How the fleet's budgets are parted.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct BudgetParts {
    pub floor_percent: u64,
    pub lease: Span,
    pub drift_ppm: u64,
    pub burst: Span,
}

impl Default for BudgetParts {
    fn default() -> Self {
        BudgetParts { floor_percent: 25, lease: Span::ms(2_000), drift_ppm: 1_000, burst: Span::ms(1_000) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteTo {
    #[serde(default)]
    pub method: Option<String>,
    pub prefix: String,
    pub to: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub name: String,
    #[serde(default)]
    pub quota: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct HeaderNames {
    pub key: String,
    pub tenant: String,
    pub cost: String,
    pub deadline: String,
    pub retry: String,
    pub not_run: String,
    pub answer: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            key: "idempotency-key".into(),
            tenant: "x-tenant".into(),
            cost: "x-cost-us".into(),
            deadline: "request-timeout-ms".into(),
            retry: "x-retry".into(),
            not_run: "x-not-run".into(),
            answer: "answer-id".into(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GateName {
    #[default]
    Any,
    Share,
    Timer,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rollout {
    pub stage_caps: Vec<f64>,
    pub counted_over: Span,
    #[serde(default)]
    pub gate: GateName,
    #[serde(default)]
    pub in_place: bool,
    #[serde(default)]
    pub guarded_stages: u8,
    #[serde(default)]
    pub uncounted: f64,
    #[serde(default)]
    pub per_class: bool,
    #[serde(default)]
    pub one_way: bool,
    pub vote_ttl: Span,
    #[serde(default = "one_second")]
    pub call_timeout: Span,
    #[serde(default)]
    pub flag_share: f64,
    #[serde(default = "unit")]
    pub votes_on: f64,
    #[serde(default = "unit")]
    pub votes_back: f64,
    #[serde(default = "allowance")]
    pub vote_allowance: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Limits {
    pub max_attempts: usize,
    pub second_copies: bool,
    pub cancel: bool,
    pub peer_messages: bool,
    pub retry_after: bool,
    pub max_retry_after: Span,
    pub tick: Span,
    pub over_share_worth: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            peer_messages: true,
            retry_after: true,
            max_retry_after: Span::ms(2_000),
            tick: Span::ms(5),
            over_share_worth: 1.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Contract {
    #[serde(default = "grace")]
    pub answer_grace: Span,
    pub ask_within: Span,
    pub cold_from: f64,
    pub cold_span: Span,
    pub drain_grace: Span,
    pub fall_multiple: f64,
    pub fall_span: Span,
}

/// What a client's half-closed connection means.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum HalfClose {
    /// The client has left: nothing is owed. A closed socket looks the same until it is written to.
    #[default]
    Gone,
    /// It still reads: its answer is awaited and written.
    Serve,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ConnectionLimits {
    pub max_head: usize,
    pub max_fields: usize,
    pub max_body: u64,
    pub keep_body: usize,
    pub keep_answer: usize,
    pub head_timeout: Span,
    pub body_timeout: Span,
    pub client_idle: Span,
    pub server_idle: Span,
    pub stream_idle: Span,
    pub connect_timeout: Span,
    pub idle_per_server: usize,
    pub max_clients: usize,
    pub half_close: HalfClose,
    pub flag_path: String,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            max_head: 16 * 1024,
            max_fields: 100,
            max_body: 8 << 20,
            keep_body: 64 * 1024,
            keep_answer: 256 * 1024,
            head_timeout: Span::ms(10_000),
            body_timeout: Span::ms(30_000),
            client_idle: Span::ms(60_000),
            server_idle: Span::ms(15_000),
            stream_idle: Span::ms(30_000),
            connect_timeout: Span::ms(250),
            idle_per_server: 64,
            max_clients: 200_000,
            half_close: HalfClose::Gone,
            flag_path: "/.well-known/wrong-answer".into(),
        }
    }
}

fn one_second() -> Span {
    Span::ms(1_000)
}

fn reconnect() -> Span {
    Span::ms(200)
}

fn grace() -> Span {
    Span::ms(20)
}

fn unit() -> f64 {
    1.0
}

fn allowance() -> f64 {
    f64::MAX
}
