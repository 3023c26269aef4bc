//! Days that come with the program.

use crate::fleet_days;
use violetseam_simulated_site::day::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// Names of the days that come with the program.
pub const NAMES: [&str; 13] = [
    "demo",
    "bad-day",
    "bad-day-short",
    "quiet",
    "takeovers",
    "takeover-short",
    "controller-kills",
    "controller-spared",
    "controller-kills-short",
    "fleet-links",
    "fleet-deaths",
    "fleet-deaf",
    "fleet-lending",
];

/// Proxies of a fleet day, where no other number is asked for.
const FLEET: usize = 3;

/// A day by its name; a fleet day may be followed by its number of proxies, as in `fleet-links:12`, and `fleet-lending` by
/// the share of datagrams that is lost as well, in percent, as in `fleet-lending:12:20`.
pub fn named(name: &str) -> Option<Day> {
    let mut parts = name.split(':');
    let (name, count, loss) = (parts.next()?, parts.next(), parts.next());
    let may = |part: Option<&str>, days: &str| part.is_none() || name.starts_with(days);
    if !may(count, "fleet-") || !may(loss, "fleet-lending") || parts.next().is_some() {
        return None;
    }
    let proxies = count.map_or(Some(FLEET), |n| n.parse().ok()).filter(|n| (3..=60).contains(n))?;
    let loss = loss.map_or(Some(0.0), |n| n.parse().ok()).filter(|n| (0.0..=100.0).contains(n))? / 100.0;
    match name {
        "fleet-links" => Some(fleet_days::links(proxies)),
        "fleet-deaths" => Some(fleet_days::deaths(proxies)),
        "fleet-deaf" => Some(fleet_days::deaf(proxies)),
        "fleet-lending" => Some(fleet_days::lending(proxies, loss)),
        "demo" => Some(demo()),
        "bad-day" => Some(bad_day()),
        "bad-day-short" => Some(bad_day_short()),
        "quiet" => Some(quiet()),
        "takeovers" => Some(takeovers()),
        "takeover-short" => Some(takeover_short()),
        "controller-kills" => Some(controller_kills()),
        "controller-kills-short" => Some(controller_kills_short()),
        "controller-spared" => Some(Day { troubles: Vec::new(), ..controller_kills() }),
        _ => None,
    }
}

fn server(zone: u16, cell: u16, speed: f64) -> ServerSpec {
    ServerSpec {
        zone,
        cell,
        cores: 3.0,
        speed,
        slots: 3,
        queue: 60,
        connections: 600,
        cold_from: 0.4,
        cold_span: 3 * S,
        error_rate: 0.0005,
    }
}

fn class(
    name: &str,
    share: f64,
    work: f64,
    aim: u64,
    deadline: u64,
    worth: f64,
    effect: Effect,
) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share,
        work,
        cv: 0.7,
        aim,
        deadline,
        worth,
        late_worth: 0.0,
        effect,
        window: 3 * S,
    }
}

/// A fleet of three zones and one class of each kind.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub(crate) fn base(name: &str, length: u64, proxies: usize, servers: usize, rate: f64) -> Day {
    let speed = |i: usize| 0.9 + 0.05 * (i % 5) as f64;
    let spec = |i: usize| server((i % 3) as u16, (i % 4) as u16, speed(i));
    Day {
        name: name.into(),
        length,
        seed: 1,
        proxies: (0..proxies).map(|i| ProxySpec { zone: (i % 3) as u16, weight: 1.0 }).collect(),
        servers: (0..servers).map(spec).collect(),
        spares: (0..2 * servers).map(spec).collect(),
        classes: vec![
            class("status-read", 0.6, 18_000.0, 250 * MS, 1_200 * MS, 3.0, Effect::Safe),
            class("service-log", 0.2, 30_000.0, 500 * MS, 2_000 * MS, 2.0, Effect::KeyedAll),
            class("print-order", 0.1, 24_000.0, 400 * MS, 1_500 * MS, 2.0, Effect::KeyedZone),
            class("proof-drop", 0.1, 20_000.0, 400 * MS, 1_500 * MS, 3.0, Effect::Unsafe),
        ],
        tenants: vec![("first".into(), 0.6), ("second".into(), 0.4)],
        traffic: Traffic {
            rate,
            shape: vec![(0.0, 0.9), (0.5, 1.1), (1.0, 0.95)],
            keys: 4_000,
            key_skew: 0.6,
            hints: false,
        },
        clients: Clients {
            retries: 1,
            try_share: 0.9,
            backoff: 60 * MS,
            honour: 0.7,
            impatient: 0.003,
            notice: 800 * MS,
            own_proxy: false,
        },
        roster: RosterSpec { add: 500 * MS, notice: 900 * MS, silent_notice: 2_500 * MS },
        rollout: Rollout {
            gate: Gate::Any,
            beside: false,
            stages: vec![0.1, 0.3, 0.6, 1.0],
            caps: vec![0.2, 0.5, 1.0, 1.0],
            votes_on: 0.0,
            votes_hold: 0.0,
            votes_back: 0.0,
            vote_life: 4 * S,
            bake: 1_500 * MS,
            step: 0,
            boot: 800 * MS,
            drain: 1_200 * MS,
            push: 2 * S,
            told_late: 300 * MS,
            call: 60 * MS,
            call_timeout: 800 * MS,
            calls_per_s: 100.0,
            flag_share: 0.3,
            flag_late: S,
            false_flags: 0.0005,
            guarded: 1,
            one_way: true,
            window: 4 * S,
            free: 2.0,
            by_class: false,
            first_build: 100,
        },
        releases: Vec::new(),
        troubles: Vec::new(),
        contract: Contract {
            answer_grace: 20 * MS,
            ask_within: 10 * S,
            cold_from: 0.35,
            cold_span: 3_500 * MS,
            drain_grace: 2 * S,
            fall_multiple: 3.0,
            fall_span: 2 * S,
            max_attempts: 4,
            second_copies: false,
        },
        budgets: None,
    }
}

fn release(at: u64, fault: Option<Fault>, strength: f64) -> Release {
    Release { at, fault, strength, speed: 1.0 }
}

pub(crate) fn trouble(
    kind: Kind,
    at: u64,
    len: u64,
    size: f64,
    extra: f64,
    on: &[usize],
    which: usize,
) -> Trouble {
    Trouble { kind, at, len, size, extra, on: on.to_vec(), which }
}

/// Two proxies, one good build and one bad one, a slow server; under a minute.
pub fn demo() -> Day {
    let mut day = base("demo", 44 * S, 2, 8, 420.0);
    day.releases = vec![release(2 * S, None, 0.0), release(29 * S, Some(Fault::Errors), 0.6)];
    day.troubles = vec![trouble(Kind::Slow, 8 * S, 6 * S, 4.0, 0.0, &[3], 0)];
    day
}

/// Nothing goes wrong, nothing is released.
pub fn quiet() -> Day {
    base("quiet", 10 * S, 3, 12, 500.0)
}

/// Twenty takeovers of two proxies at 70% load while builds come.
pub fn takeovers() -> Day {
    let mut day = base("takeovers", 46 * S, 2, 8, 800.0);
    day.traffic.shape = vec![(0.0, 1.0), (1.0, 1.0)];
    day.clients.impatient = 0.0;
    day.releases = vec![release(2 * S, None, 0.0), release(26 * S, Some(Fault::Errors), 0.6)];
    day.troubles = vec![trouble(Kind::ProxyTakeover, 3 * S, 40 * S, 10.0, 0.0, &[0, 1], 0)];
    day
}

/// A good build, and a bad one after it, while the controller is killed five times.
pub fn controller_kills() -> Day {
    let mut day = base("controller-kills", 46 * S, 3, 12, 400.0);
    day.clients.impatient = 0.0;
    day.releases = vec![release(2 * S, None, 0.0), release(28 * S, Some(Fault::Errors), 0.6)];
    day.troubles = vec![trouble(Kind::ControllerCrash, 3 * S, 30 * S, 5.0, 0.4, &[], 0)];
    day
}

/// A good build while the controller is killed twice, for CI.
pub fn controller_kills_short() -> Day {
    let mut day = base("controller-kills-short", 20 * S, 2, 8, 250.0);
    day.clients.impatient = 0.0;
    day.releases = vec![release(S, None, 0.0)];
    day.troubles = vec![trouble(Kind::ControllerCrash, 3 * S, 8 * S, 2.0, 0.3, &[], 0)];
    day
}

/// Four takeovers of two proxies while a build comes, for CI.
pub fn takeover_short() -> Day {
    let mut day = base("takeover-short", 12 * S, 2, 8, 300.0);
    day.clients.impatient = 0.0;
    day.releases = vec![release(S, None, 0.0)];
    day.troubles = vec![trouble(Kind::ProxyTakeover, 3 * S, 6 * S, 2.0, 0.0, &[0, 1], 0)];
    day
}

/// All at once: a bad build while servers fail, a shared slowness, a lost zone, a killed proxy, a silent
/// desk, a late roster and lost datagrams.
pub fn bad_day() -> Day {
    let mut day = base("bad-day", 40 * S, 3, 12, 620.0);
    day.releases = vec![release(2 * S, Some(Fault::Errors), 0.7), release(20 * S, None, 0.0)];
    day.troubles = vec![
        trouble(Kind::FastErrors, 3 * S, 8 * S, 0.8, 0.0, &[1, 6], 0),
        trouble(Kind::PeersLost, 4 * S, 6 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::RosterLate, 5 * S, 8 * S, 2.0, 0.0, &[], 0),
        trouble(Kind::ProxyCrash, 7 * S, 2 * S, 0.0, 0.0, &[1], 0),
        trouble(Kind::SharedSlow, 12 * S, 4 * S, 2.2, 0.0, &[], 0),
        trouble(Kind::DeskSilent, 14 * S, 5 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::Crash, 16 * S, 4 * S, 0.0, 0.0, &[4], 0),
        trouble(Kind::PeersDisordered, 18 * S, 8 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::ZoneLoss, 22 * S, 6 * S, 0.0, 1.0, &[], 2),
        trouble(Kind::RosterGarbage, 24 * S, 2 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::Pauses, 27 * S, 8 * S, 200.0, 1.5, &[0, 3, 7], 0),
        trouble(Kind::ProxyRoll, 30 * S, 6 * S, 1.0, 0.6, &[0, 1, 2], 0),
        trouble(Kind::RosterBack, 33 * S, 2 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::HandshakeSlow, 35 * S, 3 * S, 60.0, 0.0, &[], 0),
    ];
    day
}

/// The bad day in a short form, for CI: fewer requests, the same kinds of trouble closer together.
pub fn bad_day_short() -> Day {
    let mut day = base("bad-day-short", 18 * S, 3, 12, 300.0);
    day.releases = vec![release(S, Some(Fault::Errors), 0.8)];
    day.troubles = vec![
        trouble(Kind::FastErrors, 2 * S, 5 * S, 0.7, 0.0, &[1, 6], 0),
        trouble(Kind::PeersLost, 2 * S, 4 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::RosterLate, 3 * S, 5 * S, 1.5, 0.0, &[], 0),
        trouble(Kind::ProxyCrash, 5 * S, 1_500 * MS, 0.0, 0.0, &[1], 0),
        trouble(Kind::SharedSlow, 6 * S, 3 * S, 2.0, 0.0, &[], 0),
        trouble(Kind::DeskSilent, 8 * S, 3 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::Crash, 9 * S, 3 * S, 0.0, 0.0, &[4], 0),
        trouble(Kind::PeersDisordered, 9 * S, 4 * S, 0.0, 0.0, &[], 0),
        trouble(Kind::ZoneLoss, 11 * S, 4 * S, 0.0, 1.0, &[], 2),
        trouble(Kind::RosterGarbage, 13 * S, 1_500 * MS, 0.0, 0.0, &[], 0),
        trouble(Kind::RosterBack, 15 * S, 1_500 * MS, 0.0, 0.0, &[], 0),
    ];
    day
}
