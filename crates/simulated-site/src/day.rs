//! The script of a day: who is there, what they ask for, what goes wrong and when. Plain data that reads
//! and writes as JSON. Times are microseconds from the day's start, work is microseconds of a standard core.

use serde::{Deserialize, Serialize};
use violetseam_invariants::{DedupGroup, Idempotency, RequestClass, Rules};

/// A day.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// How long requests arrive.
    pub length: u64,
    /// All draws come from it.
    pub seed: u64,
    /// The proxies.
    pub proxies: Vec<ProxySpec>,
    /// Servers that run at the start, one for each place.
    pub servers: Vec<ServerSpec>,
    /// What new machines are like: the first for each place, then the second for each, and so on; after the
    /// last from the front again.
    pub spares: Vec<ServerSpec>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Customers: name and share of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// Requests.
    pub traffic: Traffic,
    /// Clients.
    pub clients: Clients,
    /// How late the roster lists what happens.
    pub roster: RosterSpec,
    /// How builds come.
    pub rollout: Rollout,
    /// The builds that are offered.
    pub releases: Vec<Release>,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// The rules' figures.
    pub contract: Contract,
    /// Budgets of the whole fleet, if it has any.
    #[serde(default)]
    pub budgets: Option<Budgets>,
}

/// Budgets of the whole fleet, and how its proxies part them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Budgets {
    /// By class: attempts a second beyond each request's first; 0: no bound.
    pub further: Vec<f64>,
    /// The part that is never lent, in percent.
    pub floor_percent: u64,
    /// How long rights are lent for.
    pub lease: u64,
    /// Rights of so long a span may be saved up.
    pub burst: u64,
}

/// A proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxySpec {
    /// Its zone.
    pub zone: u16,
    /// Its share of the clients, against the others'.
    pub weight: f64,
}

/// A server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its cores.
    pub cores: f64,
    /// Their speed; 1 is a standard core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Connections taken; more wait in the kernel.
    pub connections: usize,
    /// Capacity at a start, as a share.
    pub cold_from: f64,
    /// Until it is warm.
    pub cold_span: u64,
    /// The share of requests that fail for no reason.
    pub error_rate: f64,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing new.
    Safe,
    /// Dropped by its key by all servers.
    KeyedAll,
    /// By those of a zone.
    KeyedZone,
    /// By those of a cell.
    KeyedCell,
    /// A second effect.
    Unsafe,
}

impl Effect {
    /// Repeats are dropped by key.
    pub fn is_keyed(self) -> bool {
        matches!(self, Effect::KeyedAll | Effect::KeyedZone | Effect::KeyedCell)
    }
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against the others'.
    pub share: f64,
    /// Mean work.
    pub work: f64,
    /// Spread of the work: standard deviation over mean, of a lognormal distribution.
    pub cv: f64,
    /// Answers within it are worth all.
    pub aim: u64,
    /// The clients' patience over all tries.
    pub deadline: u64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of it for a late answer.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// How long keys are remembered.
    pub window: u64,
}

/// Requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// First tries a second, on average.
    pub rate: f64,
    /// How the rate goes: points of share of the day and factor; straight lines between.
    pub shape: Vec<(f64, f64)>,
    /// Distinct keys; 0: requests of classes that need none carry none.
    pub keys: u64,
    /// How much more popular some are (Zipf's exponent).
    pub key_skew: f64,
    /// Requests tell their work, roughly.
    pub hints: bool,
}

/// Clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// A try is given up after this share of the deadline.
    pub try_share: f64,
    /// Wait before a further try.
    pub backoff: u64,
    /// The share that heeds advice when to come back.
    pub honour: f64,
    /// The share of requests whose client leaves early.
    pub impatient: f64,
    /// How long clients go on connecting to a dead proxy before they notice.
    pub notice: u64,
    /// Every client process has a proxy of its own, by weight; else they spread evenly.
    pub own_proxy: bool,
}

/// How late the roster lists what happens, in microseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RosterSpec {
    /// A new server.
    pub add: u64,
    /// A drain or an orderly end.
    pub notice: u64,
    /// A death.
    pub silent_notice: u64,
}

/// What moves stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// One vote.
    Any,
    /// A share of all proxies.
    Share,
    /// The clock.
    Timer,
}

/// How builds come.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollout {
    /// What moves stages.
    pub gate: Gate,
    /// Earlier machines stay until the release.
    pub beside: bool,
    /// Shares of the places, by stage.
    pub stages: Vec<f64>,
    /// Caps, by stage.
    pub caps: Vec<f64>,
    /// Proxies whose 'on' moves a stage.
    pub votes_on: f64,
    /// Whose 'hold' stops the clock.
    pub votes_hold: f64,
    /// Whose 'back' sends a build back.
    pub votes_back: f64,
    /// How long a vote stands.
    pub vote_life: u64,
    /// The least time of a stage, once its machines run.
    pub bake: u64,
    /// A stage's time under the clock.
    pub step: u64,
    /// A machine's start.
    pub boot: u64,
    /// How long a machine drains.
    pub drain: u64,
    /// News are repeated this often.
    pub push: u64,
    /// How late news are.
    pub told_late: u64,
    /// How long a vote's call takes.
    pub call: u64,
    /// A vote's reply may take this long.
    pub call_timeout: u64,
    /// Votes a second from all proxies.
    pub calls_per_s: f64,
    /// The share of wrong answers that clients report ...
    pub flag_share: f64,
    /// ... so late.
    pub flag_late: u64,
    /// The share of right answers reported wrong.
    pub false_flags: f64,
    /// Stages that admit only what is safe to repeat.
    pub guarded: u8,
    /// A key that the new build answered goes to no earlier one.
    pub one_way: bool,
    /// Exposure counts over this span.
    pub window: u64,
    /// Attempts beyond the cap's share.
    pub free: f64,
    /// Each class counts by itself.
    pub by_class: bool,
    /// The first build's number.
    pub first_build: u16,
}

/// A build that is offered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// When.
    pub at: u64,
    /// What is wrong with it.
    pub fault: Option<Fault>,
    /// How strongly, 0 to 1.
    pub strength: f64,
    /// Its speed against the first build's.
    pub speed: f64,
}

/// A build's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A share of all requests fails.
    Errors,
    /// A share of one class fails.
    Class(usize),
    /// It needs more work.
    Slow,
    /// Slow, and fails, when its server is busy.
    Load,
    /// Slow, and fails, some seconds after its start.
    Late,
    /// A share of its answers is wrong.
    Wrong,
    /// It slows all servers in step with its traffic.
    Shared,
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// From when on.
    pub at: u64,
    /// For how long.
    pub len: u64,
    /// How much; see [`Kind`].
    #[serde(default)]
    pub size: f64,
    /// A second figure; see [`Kind`].
    #[serde(default)]
    pub extra: f64,
    /// Which servers or proxies, by index; a place's later machines count on by the number of places.
    #[serde(default)]
    pub on: Vec<usize>,
    /// Which zone or class.
    #[serde(default)]
    pub which: usize,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Servers die and come back cold.
    Crash,
    /// Servers are `size` times slower.
    Slow,
    /// Servers quickly fail a share `size` of their requests.
    FastErrors,
    /// Servers stand still for `size` ms every `extra` seconds.
    Pauses,
    /// Another program takes the share `size`, on and off every `extra` seconds.
    Neighbour,
    /// All servers are `size` times slower.
    SharedSlow,
    /// One class (`which`) is `size` times slower everywhere.
    SlowClass,
    /// A zone (`which`) is lost: silent if `extra` is over 0.5, else its servers die; with its proxies if
    /// `size` is over 0.5.
    ZoneLoss,
    /// Proxies (`on`) are killed and started again after `len`.
    ProxyCrash,
    /// Proxies (`on`) are killed and started again one after another, `size` of them at a time.
    ProxyRoll,
    /// Proxies (`on`) stand still for `size` ms every `extra` seconds; once, if that is 0.
    ProxyStall,
    /// A second process is started under the identity of each of these proxies (`on`). It must end by itself and say
    /// why.
    ProxyTwin,
    /// Datagrams between proxies `on` and the others are lost: all (`which` 0), those that `on` send (1), those sent
    /// to `on` (2). If `extra` is over 0.5, those within `on` as well.
    PeersCut,
    /// A share `size` of the datagrams from and to proxies `on` is lost; of all if none are named.
    PeersLoss,
    /// Datagrams from and to proxies `on` (all if none are named) are held for up to `size` seconds, and so arrive in any
    /// order.
    PeersSlow,
    /// The roster answers none of the proxies `on`.
    RosterCut,
    /// Proxies `on` hear nothing from the desk: no news, no replies; their votes do not arrive.
    DeskCut,
    /// Proxies `on` and the servers of zone `which` hear nothing of each other.
    ServersCut,
    /// Proxies (`on`) are replaced by a new process that takes over, `size` times one after another.
    ProxyTakeover,
    /// The release controller is killed, `size` times one after another, and started again after `extra`
    /// seconds.
    ControllerCrash,
    /// Votes get no answer, half of them count, and news stop.
    DeskSilent,
    /// Votes end in errors.
    DeskErrors,
    /// News are `size` seconds later.
    DeskLate,
    /// The roster answers nobody.
    RosterLost,
    /// The roster lists what happens `size` seconds later.
    RosterLate,
    /// The roster tells a version that goes back.
    RosterBack,
    /// The roster tells garbage.
    RosterGarbage,
    /// Peers' datagrams are lost.
    PeersLost,
    /// Peers' datagrams come twice, late and out of order.
    PeersDisordered,
    /// New connections to servers take `size` ms longer.
    HandshakeSlow,
}

/// The rules' figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Contract {
    /// See [`Rules::deadline_grace`].
    pub answer_grace: u64,
    /// See [`Rules::poll_interval_max`].
    pub ask_within: u64,
    /// The least share of its capacity that a server starts with, as stated.
    pub cold_from: f64,
    /// Until it is warm at the latest, as stated.
    pub cold_span: u64,
    /// See [`Rules::drain_grace`].
    pub drain_grace: u64,
    /// See [`Rules::overload_multiple`].
    pub fall_multiple: f64,
    /// See [`Rules::overload_span`].
    pub fall_span: u64,
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Two of them may be out together.
    pub second_copies: bool,
}

impl Day {
    /// The rules as the checker wants them.
    pub fn rules(&self, slack: u64) -> Rules {
        let class = |c: &ClassSpec| RequestClass {
            idempotency: match c.effect {
                Effect::Safe => Idempotency::Idempotent,
                Effect::KeyedAll => Idempotency::Keyed(DedupGroup::All),
                Effect::KeyedZone => Idempotency::Keyed(DedupGroup::Zone),
                Effect::KeyedCell => Idempotency::Keyed(DedupGroup::Cell),
                Effect::Unsafe => Idempotency::NonIdempotent,
            },
            dedup_window: c.window,
            streaming: false,
        };
        Rules {
            classes: self.classes.iter().map(class).collect(),
            deadline_grace: self.contract.answer_grace,
            hedging: self.contract.second_copies,
            drain_grace: self.contract.drain_grace,
            poll_interval_max: self.contract.ask_within,
            overload_multiple: self.contract.fall_multiple,
            overload_span: self.contract.fall_span,
            exposure_window: self.rollout.window,
            exposure_slack: self.rollout.free,
            exposure_per_class: self.rollout.by_class,
            first_stage_cap: self.rollout.caps.first().copied().unwrap_or(0.0),
            idempotent_only_stages: self.rollout.guarded,
            sticky_to_new_build: self.rollout.one_way,
            observation_slack: slack,
            fleet_retry_rates: self
                .budgets
                .iter()
                .flat_map(|b| &b.further)
                .map(|f| (f * 1e3).round() as u64)
                .collect(),
            fleet_retry_burst: self.budgets.as_ref().map_or(0, |b| b.burst),
        }
    }

    /// What the servers that run at the start can do, in work a second.
    pub fn capacity(&self) -> f64 {
        self.servers.iter().map(|s| s.cores * s.speed).sum::<f64>() * 1e6
    }

    /// Mean work of a request.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * c.work).sum::<f64>() / shares.max(1e-9)
    }

    /// Checks that the parts fit together.
    ///
    /// # Errors
    /// A text that names the part that does not fit.
    pub fn check(&self) -> Result<(), String> {
        if self.proxies.is_empty() || self.servers.is_empty() || self.classes.is_empty() {
            return Err("a day needs proxies, servers and classes".into());
        }
        if self.proxies.len() > 200 || self.servers.len() > 1_000 || self.classes.len() > 64 {
            return Err("too many proxies, servers or classes".into());
        }
        if self.rollout.stages.len() != self.rollout.caps.len() || self.rollout.stages.is_empty() {
            return Err("each stage needs a share and a cap".into());
        }
        if !(self.traffic.rate > 0.0 && self.traffic.rate <= 100_000.0) {
            return Err("a rate is over 0, at most 100,000 a second".into());
        }
        if self.budgets.as_ref().is_some_and(|b| b.further.len() != self.classes.len()) {
            return Err("each class needs a budget, if any has one; 0 is none".into());
        }
        if self.length == 0 || self.length > 600_000_000 {
            return Err("a day lasts 10 minutes at most".into());
        }
        Ok(())
    }
}
