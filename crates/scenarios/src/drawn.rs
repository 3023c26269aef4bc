//! Scenario files as the operators' bench draws them, played over the sockets at the scale that one machine
//! carries. What cannot be played is named, never skipped silently.

use serde::Deserialize;
use violetseam_simulated_site::scenario::*;

/// The most proxies that are started, each a process.
const PROXIES_MOST: usize = 8;
/// The most first tries a second.
const RATE_MOST: f64 = 1_500.0;
/// The most servers.
const SERVERS_MOST: usize = 76;

/// A drawn day as it can be played here.
#[derive(Debug)]
pub struct Drawn {
    /// The day.
    pub day: Scenario,
    /// Proxies, servers and traffic of the drawn day that are played, as a share.
    pub scale: f64,
    /// What cannot be played, or is played otherwise.
    pub notes: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    site: String,
    family: String,
    length: u64,
    noise: u64,
    zones: Vec<String>,
    entry: String,
    front_notice: u64,
    traffic: FileTraffic,
    clients: FileClients,
    discovery: FileDiscovery,
    allow: FileAllow,
    drain_grace: u64,
    fall_multiple: f64,
    fall_for: u64,
    classes: Vec<FileClass>,
    tenants: Vec<FileTenant>,
    tiers: Vec<FileTier>,
    servers: Vec<FileServer>,
    balancers: Vec<FileBalancer>,
    troubles: Vec<FileTrouble>,
    fam: FileFamily,
}

#[derive(Deserialize)]
struct FileTraffic {
    load: f64,
    shape: Vec<(f64, f64)>,
    keys: u64,
    key_zipf: f64,
    hint_cv: f64,
}

#[derive(Deserialize)]
struct FileClients {
    retries: u32,
    try_share: f64,
    backoff: String,
    backoff_us: f64,
    honour: f64,
    impatient: f64,
}

#[derive(Deserialize)]
struct FileDiscovery {
    notice: u64,
    silent_notice: u64,
    add: u64,
}

#[derive(Deserialize)]
struct FileAllow {
    second_copies: bool,
    max_attempts: usize,
}

#[derive(Deserialize)]
struct FileClass {
    name: String,
    share: f64,
    work: f64,
    cv: f64,
    aim: u64,
    deadline: u64,
    worth: f64,
    late_worth: f64,
    effect: String,
    group: String,
    window: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct FileTenant {
    name: String,
    traffic: f64,
}

#[derive(Deserialize)]
struct FileTier {
    kinds: Vec<FileKind>,
    stated_cold_from: f64,
    stated_cold: u64,
}

#[derive(Deserialize)]
struct FileKind {
    cores: f64,
    slots: usize,
    queue: usize,
    cold_from: f64,
    cold: u64,
    error_rate: f64,
    conn_cap_per_core: Option<f64>,
}

#[derive(Deserialize)]
struct FileServer {
    zone: u16,
    kind: usize,
    cell: u16,
    speed: f64,
    up: bool,
}

#[derive(Deserialize)]
struct FileBalancer {
    zone: u16,
    weight: f64,
}

#[derive(Deserialize)]
struct FileTrouble {
    kind: String,
    at: u64,
    len: u64,
    size: f64,
    extra: f64,
    on: Vec<usize>,
    which: usize,
}

#[derive(Deserialize)]
struct FileRelease {
    at: u64,
    bad: String,
    class: usize,
    speed: f64,
    strength: f64,
}

#[derive(Deserialize)]
struct FileFamily {
    control: String,
    beside: bool,
    stages: Vec<f64>,
    caps: Vec<f64>,
    votes: [f64; 3],
    vote_life: u64,
    bake: u64,
    step: u64,
    boot: u64,
    drain: u64,
    push: u64,
    told_late: u64,
    call: f64,
    call_timeout: u64,
    calls_per_s: f64,
    flag_share: f64,
    flag_late: u64,
    false_flags: f64,
    guarded: u8,
    one_way: bool,
    window: u64,
    free: f64,
    by_class: bool,
    first_build: u16,
    releases: Vec<FileRelease>,
}

/// Reads a drawn day.
///
/// # Errors
/// A text that names the part of the day that cannot be played here.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn read(text: &[u8]) -> Result<Drawn, String> {
    let f: File = serde_json::from_slice(text).map_err(|e| format!("not a drawn day: {e}"))?;
    if f.family != "rollout" || f.tiers.len() != 1 {
        return Err(format!("a day of family {:?} with {} tiers cannot be played", f.family, f.tiers.len()));
    }
    let mut notes = Vec::new();
    let up: Vec<&FileServer> = f.servers.iter().filter(|s| s.up).collect();
    let kinds = &f.tiers[0].kinds;
    let mean_work = {
        let shares: f64 = f.classes.iter().map(|c| c.share).sum();
        f.classes.iter().map(|c| c.share * c.work).sum::<f64>() / shares.max(1e-9)
    };
    let capacity_of = |s: &FileServer| kinds.get(s.kind).map_or(1.0, |k| k.cores) * s.speed * 1e6;
    let capacity: f64 = up.iter().map(|s| capacity_of(s)).sum();
    let rate = f.traffic.load * capacity / mean_work.max(1.0);
    let scale = (RATE_MOST / rate).min(SERVERS_MOST as f64 / up.len().max(1) as f64).min(1.0);
    let servers = ((up.len() as f64 * scale).round() as usize).max(2);
    let proxies = f.balancers.len().min(PROXIES_MOST);
    if proxies < f.balancers.len() {
        notes.push(format!("{proxies} of {} proxies, each with more of the traffic", f.balancers.len()));
    }
    if servers < up.len() {
        notes.push(format!("{servers} of {} servers and as little traffic", up.len()));
    }
    let spec = |s: &FileServer| -> Result<ServerSpec, String> {
        let k = kinds.get(s.kind).ok_or("a server of no known kind")?;
        Ok(ServerSpec {
            zone: s.zone,
            cell: s.cell,
            cores: k.cores,
            speed: s.speed,
            slots: k.slots,
            queue: k.queue,
            connections: (k.conn_cap_per_core.unwrap_or(400.0) * k.cores) as usize,
            slow_start_floor: k.cold_from,
            slow_start_span: k.cold,
            error_rate: k.error_rate,
        })
    };
    let running: Vec<ServerSpec> = up[..servers].iter().map(|s| spec(s)).collect::<Result<_, _>>()?;
    let spares = f.servers.iter().filter(|s| !s.up).enumerate();
    let spares = spares.filter(|(i, _)| i % up.len().max(1) < servers).map(|(_, s)| spec(s));
    let spares = spares.collect::<Result<_, _>>()?;
    let played: f64 = running.iter().map(|s| s.cores * s.speed * 1e6).sum();
    // The drawn day numbers machines by place and generation; kept places keep their numbers.
    let index = |i: usize| {
        let (place, generation) = (i % up.len().max(1), i / up.len().max(1));
        (place < servers).then_some(place + servers * generation)
    };
    let troubles = f.troubles.iter().filter_map(|t| trouble(t, &index, proxies, &mut notes)).collect();
    let classes = f.classes.iter().map(|c| class(c, &mut notes)).collect::<Result<Vec<_>, String>>()?;
    if f.clients.backoff == "exp" {
        notes.push("clients' growing back-off is played with its first wait".into());
    }
    for what in
        ["load reports and probes", "connection handshakes' cost in server work", "list service's capacity"]
    {
        notes.push(format!("not played: {what}"));
    }
    let fam = &f.fam;
    let mut releases = Vec::new();
    for r in &fam.releases {
        let fault = match r.bad.as_str() {
            "" => None,
            "errors" => Some(BuildDefect::Errors),
            "slow" => Some(BuildDefect::Slow),
            "class" => Some(BuildDefect::ClassErrors(r.class)),
            "load" => Some(BuildDefect::UnderLoad),
            "late" => Some(BuildDefect::Delayed),
            "wrong" => Some(BuildDefect::WrongAnswers),
            "shared" => Some(BuildDefect::SlowsFleet),
            other => return Err(format!("a build with an unknown fault {other:?}")),
        };
        releases.push(Release { at: r.at, defect: fault, severity: r.strength, speed: r.speed });
    }
    let day = Scenario {
        name: f.site.clone(),
        length: f.length,
        seed: f.noise,
        proxies: f.balancers[..proxies]
            .iter()
            .map(|b| ProxySpec { zone: b.zone, weight: b.weight })
            .collect(),
        servers: running,
        spares,
        classes,
        tenants: f.tenants.iter().map(|t| (t.name.clone(), t.traffic)).collect(),
        traffic: Traffic {
            rate: f.traffic.load * played / mean_work.max(1.0),
            shape: f.traffic.shape.iter().map(|&(at, factor)| (at, factor)).collect(),
            keys: f.traffic.keys,
            key_skew: f.traffic.key_zipf,
            hints: f.traffic.hint_cv >= 0.0,
        },
        clients: Clients {
            retries: f.clients.retries,
            attempt_timeout_share: f.clients.try_share,
            backoff: if f.clients.backoff == "none" { 0 } else { f.clients.backoff_us as u64 },
            retry_after_compliance: f.clients.honour,
            disconnect_share: f.clients.impatient,
            dead_proxy_detection: f.front_notice,
            own_proxy: f.entry == "own",
        },
        discovery: DiscoveryDelays {
            startup_delay: f.discovery.add,
            drain_delay: f.discovery.notice,
            crash_delay: f.discovery.silent_notice,
        },
        rollout: Rollout {
            gate: match fam.control.as_str() {
                "any" => GateMode::Any,
                "share" => GateMode::Share,
                "timer" => GateMode::Timer,
                other => return Err(format!("an unknown gate {other:?}")),
            },
            keep_previous_build: fam.beside,
            stages: fam.stages.clone(),
            caps: fam.caps.clone(),
            votes_to_promote: fam.votes[0],
            votes_to_hold: fam.votes[1],
            votes_to_roll_back: fam.votes[2],
            vote_lifetime: fam.vote_life,
            bake: fam.bake,
            stage_duration: fam.step,
            startup_time: fam.boot,
            drain_time: fam.drain,
            resend_interval: fam.push,
            status_delay: fam.told_late,
            vote_latency: fam.call as u64,
            vote_timeout: fam.call_timeout,
            vote_rate_limit: fam.calls_per_s,
            report_share: fam.flag_share,
            report_delay: fam.flag_late,
            false_report_share: fam.false_flags,
            idempotent_only_stages: fam.guarded,
            sticky_to_new_build: fam.one_way,
            exposure_window: fam.window,
            exposure_slack: fam.free,
            exposure_per_class: fam.by_class,
            first_build: fam.first_build,
        },
        releases,
        faults: troubles,
        service_rules: ServiceRules {
            deadline_grace: 20_000,
            poll_interval_max: 10_000_000,
            slow_start_floor: f.tiers[0].stated_cold_from,
            slow_start_span: f.tiers[0].stated_cold,
            drain_grace: f.drain_grace,
            overload_multiple: f.fall_multiple,
            overload_span: f.fall_for,
            max_attempts: f.allow.max_attempts,
            hedging: f.allow.second_copies,
        },
        retry_quotas: None,
    };
    if f.zones.len() > 1 {
        notes.push("not played: time between zones".into());
    }
    Ok(Drawn { day, scale, notes })
}

fn class(c: &FileClass, notes: &mut Vec<String>) -> Result<ClassSpec, String> {
    let effect = match (c.effect.as_str(), c.group.as_str()) {
        ("safe", _) => Idempotency::Idempotent,
        ("keyed", "all") => Idempotency::KeyedAll,
        ("keyed", "zone") => Idempotency::KeyedZone,
        ("keyed", "cell") => Idempotency::KeyedCell,
        ("unsafe", _) => Idempotency::NonIdempotent,
        (effect, group) => return Err(format!("class {:?}: unknown effect {effect:?}, {group:?}", c.name)),
    };
    if c.stream {
        notes.push(format!("class {:?} is played with whole answers", c.name));
    }
    Ok(ClassSpec {
        name: c.name.clone(),
        share: c.share,
        work: c.work,
        cv: c.cv,
        latency_objective: c.aim,
        deadline: c.deadline,
        priority_weight: c.worth,
        late_weight: c.late_worth,
        idempotency: effect,
        dedup_window: c.window,
    })
}

fn trouble(
    t: &FileTrouble,
    index: &dyn Fn(usize) -> Option<usize>,
    proxies: usize,
    notes: &mut Vec<String>,
) -> Option<Fault> {
    let servers: Vec<usize> = t.on.iter().filter_map(|&i| index(i)).collect();
    let hit: Vec<usize> = t.on.iter().copied().filter(|&i| i < proxies).collect();
    let (kind, on, size) = match t.kind.as_str() {
        "crash" => (FaultKind::ServerCrash, servers, t.size),
        "slow" => (FaultKind::SlowServer, servers, t.size),
        "fast_errors" => (FaultKind::FastErrors, servers, t.size),
        "pauses" => (FaultKind::ServerPauses, servers, t.size),
        "neighbour" => (FaultKind::NoisyNeighbor, servers, t.size),
        "shared_slow" => (FaultKind::SlowFleet, servers, t.size),
        "slow_class" => (FaultKind::SlowClass, servers, t.size),
        "zone_loss" => (FaultKind::ZoneOutage, servers, t.size),
        "peer_down" => (FaultKind::GossipOutage, servers, t.size),
        "handshake_slow" => (FaultKind::SlowHandshake, servers, t.size),
        "balancer_crash" => (FaultKind::ProxyCrash, hit, t.size),
        "balancer_roll" => (FaultKind::ProxyRollingRestart, hit, (t.size * proxies as f64).ceil()),
        "control_down" if t.size > 0.0 => (FaultKind::ReleaseServiceDelay, servers, t.size),
        "control_down" => (FaultKind::ReleaseServiceUnresponsive, servers, t.size),
        "report_late" => (FaultKind::ReleaseServiceDelay, servers, t.size),
        // A mark of the release, which says itself what is wrong with it.
        "bad_build" => return None,
        other => {
            notes.push(format!("trouble {other:?} from {:.1} s on cannot be played here", t.at as f64 / 1e6));
            return None;
        }
    };
    Some(Fault {
        kind,
        at: t.at,
        duration: t.len,
        magnitude: size,
        parameter: t.extra,
        targets: on,
        selector: t.which,
    })
}
