//! What the sections mean together: refuses contradictions, gives the settings that the program runs by.

use crate::script::Sections;
use crate::sections::*;
use http::{HeaderName, Method};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use violetseam::interface as v;
use violetseam::interface::Micros;
use violetseam_script::{Fault, Placed, needed, one};
use violetseam_shared::budgets::Plan;

/// Requests with this method and path prefix are of this class.
#[derive(Clone, Debug)]
pub struct Route {
    /// Any, where none is given.
    pub method: Option<Method>,
    /// Of the path.
    pub prefix: String,
    /// The class's index.
    pub class: usize,
}

/// The header fields that carry what the decisions look at.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The key of a keyed request.
    pub key: HeaderName,
    /// The tenant's name.
    pub tenant: HeaderName,
    /// The work expected, in microseconds.
    pub cost: HeaderName,
    /// How long the client waits, in milliseconds from the request's head.
    pub deadline: HeaderName,
    /// Present on a client's own repeats.
    pub retry: HeaderName,
    /// On a server's 503: the request was never run.
    pub not_run: HeaderName,
    /// On an answer: the id to report it wrong by.
    pub answer: HeaderName,
}

/// Bounds and time-outs of connections. Spans in microseconds, sizes in bytes.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Bytes of a head; past it 431.
    pub max_head: usize,
    /// Fields of a head; past it 431.
    pub max_fields: usize,
    /// Bytes of a request body; past it 413.
    pub max_body: u64,
    /// Bytes of a request body kept for a further attempt.
    pub keep_body: usize,
    /// Bytes of an answer awaited whole before it is passed on.
    pub keep_answer: usize,
    /// For a request's head, from its first byte; past it 408.
    pub head_timeout: Micros,
    /// For a request's body, from its head; past it 408.
    pub body_timeout: Micros,
    /// Between requests of a client.
    pub client_idle: Micros,
    /// Between requests to a server.
    pub server_idle: Micros,
    /// Without a byte of an answer that is being passed on.
    pub stream_idle: Micros,
    /// For a connection to a server.
    pub connect_timeout: Micros,
    /// Idle connections kept to each server.
    pub idle_per_server: usize,
    /// Client connections taken at once.
    pub max_clients: usize,
    /// What a half-closed client means.
    pub half_close: HalfClose,
    /// Where clients report wrong answers.
    pub flag_path: String,
}

/// All that a proxy runs by.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Its fleet's name.
    pub name: String,
    /// A number that all proxies of the fleet share.
    pub site: u32,
    /// Where clients connect.
    pub listen: Vec<SocketAddr>,
    /// The roster.
    pub roster: SocketAddr,
    /// For a roster call's first line.
    pub roster_timeout: Micros,
    /// The release desk, and those that stand by for it.
    pub desks: Vec<SocketAddr>,
    /// News that are silent for so long are lost.
    pub desk_silence: Option<Micros>,
    /// Before a lost stream of stage news is opened again.
    pub desk_reconnect: Micros,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Peers by position, this proxy's own among them.
    pub peers: Vec<SocketAddr>,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Tenants' indices by name.
    pub tenants: BTreeMap<String, usize>,
    /// In the order in which they are tried.
    pub routes: Vec<Route>,
    /// Header fields.
    pub headers: Headers,
    /// Bounds of connections.
    pub connections: Connections,
    /// A fixed seed for the decisions' draws; else drawn at each start.
    pub seed: Option<u64>,
    /// Where the last list and the daemon's state are kept over restarts.
    pub state_dir: Option<PathBuf>,
    /// The path of the control socket.
    pub control: Option<PathBuf>,
    /// Control over TCP under mutual TLS: where it listens, and the daemon's files.
    pub control_tls: Option<(SocketAddr, Identity)>,
    /// Budgets that the whole fleet keeps, if any class has one.
    pub budgets: Option<Plan>,
    /// What the decisions run by.
    pub decisions: v::Settings,
}

/// The largest budget of further attempts, a second.
const FURTHER_MOST: f64 = 1e6;

pub(crate) fn check(script: &str, s: &Sections) -> Result<ProxySettings, Fault> {
    let fleet = needed(script, "fleet", &s.fleet)?;
    let roster = needed(script, "roster", &s.roster)?;
    let desk = needed(script, "desk", &s.desk)?;
    let rollout = needed(script, "rollout", &s.rollout)?;
    let contract = needed(script, "contract", &s.contract)?;
    let peers = one("peers", &s.peers)?;
    let limits = one("limits", &s.limits)?;
    let connections = one("connections", &s.connections)?;
    if s.listen.is_empty() {
        return Err(Fault(format!("{script}: no listen(...)")));
    }
    check_fleet(fleet, peers)?;
    let class_names = check_classes(script, &s.classes)?;
    check_rollout(rollout, s)?;
    check_contract(contract, &s.classes)?;
    if let Some(limits) = limits {
        check_limits(limits)?;
    }
    let routes = check_routes(script, &s.routes, &class_names)?;
    let mut tenants = BTreeMap::new();
    for (index, tenant) in s.tenants.iter().enumerate() {
        if !(tenant.is.quota >= 0.0 && tenant.is.quota.is_finite()) {
            return tenant.fault("tenant: a quota is a number of requests a second, 0 or more");
        }
        if tenants.insert(tenant.is.name.clone(), index).is_some() {
            return tenant.fault(format!("tenant: {:?} twice", tenant.is.name));
        }
    }
    let names = one("headers", &s.headers)?;
    Ok(ProxySettings {
        name: fleet.is.name.clone(),
        site: fleet.is.site,
        listen: s.listen.iter().map(|l| l.is.addr).collect(),
        roster: roster.is.addr,
        roster_timeout: roster.is.timeout.0,
        desks: std::iter::once(desk.is.addr).chain(desk.is.standby.iter().copied()).collect(),
        desk_silence: desk.is.silence.map(|span| span.0),
        desk_reconnect: desk.is.reconnect.0,
        peer_listen: peers.map(|p| p.is.listen),
        peers: peers.map(|p| p.is.addrs.clone()).unwrap_or_default(),
        class_names,
        tenants,
        routes,
        headers: check_headers(names)?,
        connections: check_connections(connections)?,
        seed: fleet.is.seed,
        state_dir: fleet.is.state_dir.as_ref().map(PathBuf::from),
        control: fleet.is.control.as_ref().map(PathBuf::from),
        control_tls: check_control_tls(fleet, one("control_tls", &s.control_tls)?)?,
        budgets: check_budgets(fleet, &s.classes, one("budgets", &s.budgets)?)?,
        decisions: decisions(s, &fleet.is, &rollout.is, &contract.is, limits, peers.is_some()),
    })
}

/// The fleet's budgets; none where no class has one.
fn check_budgets(
    fleet: &Placed<Fleet>,
    classes: &[Placed<RequestClass>],
    parts: Option<&Placed<BudgetParts>>,
) -> Result<Option<Plan>, Fault> {
    if let Some(class) = classes.iter().find(|c| !(0.0..=FURTHER_MOST).contains(&c.is.further)) {
        return class.fault(format!("request_class {:?}: further is 0 to {FURTHER_MOST}", class.is.name));
    }
    let by_class: Vec<u64> = classes.iter().map(|c| (c.is.further * 1e3).round() as u64).collect();
    if by_class.iter().all(|budget| *budget == 0) {
        return match parts {
            Some(parts) => parts.fault("budgets: no request_class has a budget of further attempts"),
            None => Ok(None),
        };
    }
    let is = parts.map(|p| p.is.clone()).unwrap_or_default();
    let plan = Plan {
        members: fleet.is.size,
        position: fleet.is.position,
        by_class,
        floor_percent: is.floor_percent,
        lease: is.lease.0,
        drift_ppm: is.drift_ppm,
        burst: is.burst.0,
    };
    match plan.fault() {
        Some((class, why)) => classes[class].fault(format!("budgets of {:?}: {why}", classes[class].is.name)),
        None => Ok(Some(plan)),
    }
}

/// What a fleet file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetFile {
    /// The daemons.
    pub members: Vec<Member>,
    /// The operator's files, for those that are spoken to over TCP.
    pub identity: Option<Identity>,
}

fn check_control_tls(
    fleet: &Placed<Fleet>,
    tls: Option<&Placed<ControlTls>>,
) -> Result<Option<(SocketAddr, Identity)>, Fault> {
    let Some(tls) = tls else { return Ok(None) };
    if fleet.is.control.is_none() {
        return tls.fault("control_tls: needs fleet(control = ...), which takeovers and commands go by");
    }
    let ControlTls { listen, cert, key, trusted, revoked } = tls.is.clone();
    Ok(Some((listen, Identity { cert, key, trusted, revoked })))
}

/// The daemons of a fleet file.
pub(crate) fn members(script: &str, s: &Sections) -> Result<FleetFile, Fault> {
    let identity = one("identity", &s.identity)?.map(|placed| placed.is.clone());
    let mut members: Vec<Member> = Vec::new();
    for placed in &s.members {
        let m = &placed.is;
        let plain =
            |text: &String| !text.is_empty() && text.len() <= 128 && !text.contains(char::is_whitespace);
        if !plain(&m.name) || !m.groups.iter().all(plain) || m.control.is_empty() {
            return placed.fault("member: names and groups are 1 to 128 characters without spaces");
        }
        if members.iter().any(|other| other.name == m.name || other.control == m.control) {
            return placed.fault(format!("member: {:?} or its control socket twice", m.name));
        }
        if let Some(place) = m.control.strip_prefix("tls://") {
            let (host, port) = place.rsplit_once(':').unwrap_or_default();
            if host.is_empty() || port.parse::<u16>().is_err() {
                return placed.fault("member: control over TCP is tls://HOST:PORT");
            }
            if identity.is_none() {
                return placed
                    .fault("member: tls:// needs an identity(cert = ..., key = ..., trusted = ...)");
            }
        }
        members.push(m.clone());
    }
    if members.is_empty() {
        return Err(Fault(format!("{script}: no member(...)")));
    }
    Ok(FleetFile { members, identity })
}

fn check_fleet(fleet: &Placed<Fleet>, peers: Option<&Placed<Peers>>) -> Result<(), Fault> {
    let Fleet { name, size, position, .. } = &fleet.is;
    let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if !plain || name.len() > 64 {
        return fleet.fault("fleet: a name has 1 to 64 letters, digits, -, _ or .");
    }
    if *size == 0 || *size > usize::from(u16::MAX) {
        return fleet.fault("fleet: size is 1 to 65535 proxies");
    }
    if position >= size {
        return fleet.fault(format!("fleet: position {position} in a fleet of {size}"));
    }
    if fleet.is.control.is_some() && fleet.is.state_dir.is_none() {
        return fleet.fault("fleet: a control socket needs a state_dir: commands outlive the process");
    }
    match peers {
        Some(p) if p.is.addrs.len() != *size => {
            p.fault(format!("peers: {} addresses for a fleet of {size}", p.is.addrs.len()))
        }
        _ => Ok(()),
    }
}

fn check_classes(script: &str, classes: &[Placed<RequestClass>]) -> Result<Vec<String>, Fault> {
    let mut names: Vec<String> = Vec::new();
    for class in classes {
        let c = &class.is;
        let name = &c.name;
        if names.contains(name) {
            return class.fault(format!("request_class: {name:?} twice"));
        }
        if c.aim.0 == 0 || c.aim > c.deadline {
            return class.fault(format!("request_class {name:?}: the aim is past the deadline, or zero"));
        }
        if c.deadline.0 < 50_000 {
            return class
                .fault(format!("request_class {name:?}: a deadline under 50ms leaves no room to answer"));
        }
        if (c.effect == EffectName::Keyed) != c.window.is_some() {
            return class.fault(format!(
                "request_class {name:?}: a keyed class, and no other, has a window in which servers drop repeats"
            ));
        }
        let fraction = (0.0..=1.0).contains(&c.late_worth);
        if !(c.worth.is_finite() && c.worth >= 0.0 && fraction) {
            return class.fault(format!("request_class {name:?}: worth is 0 or more, late_worth 0 to 1"));
        }
        names.push(name.clone());
    }
    match names.len() {
        0 => Err(Fault(format!("{script}: no request_class(...)"))),
        1..=64 => Ok(names),
        n => classes[64].fault(format!("request_class: {n} classes, 64 at most")),
    }
}

fn check_routes(script: &str, routes: &[Placed<RouteTo>], classes: &[String]) -> Result<Vec<Route>, Fault> {
    let mut out: Vec<Route> = Vec::new();
    for route in routes {
        let Some(class) = classes.iter().position(|name| *name == route.is.to) else {
            return route.fault(format!("route: no class {:?}", route.is.to));
        };
        let method = match route.is.method.as_ref().map(|m| Method::from_bytes(m.as_bytes())).transpose() {
            Ok(method) => method,
            Err(_) => return route.fault("route: malformed method"),
        };
        let prefix = route.is.prefix.clone();
        if !prefix.starts_with('/') {
            return route.fault("route: a prefix starts with /");
        }
        let covers = |r: &Route| prefix.starts_with(&r.prefix) && (r.method.is_none() || r.method == method);
        if out.iter().any(covers) {
            return route.fault(format!("route: {prefix:?} can never match, an earlier route covers it"));
        }
        out.push(Route { method, prefix, class });
    }
    for (index, name) in classes.iter().enumerate() {
        if !out.iter().any(|r| r.class == index) {
            return Err(Fault(format!("{script}: no route leads to class {name:?}")));
        }
    }
    Ok(out)
}

fn check_rollout(rollout: &Placed<Rollout>, s: &Sections) -> Result<(), Fault> {
    let r = &rollout.is;
    if r.stage_caps.is_empty() || r.stage_caps.len() > 64 {
        return rollout.fault("rollout: 1 to 64 stage_caps");
    }
    if let Some(cap) = r.stage_caps.iter().find(|c| !(**c > 0.0 && **c <= 1.0)) {
        return rollout.fault(format!("rollout: a stage cap of {cap}: over 0, at most 1"));
    }
    if r.stage_caps.windows(2).any(|w| w[1] < w[0]) {
        return rollout.fault("rollout: stage_caps fall from one stage to the next");
    }
    if usize::from(r.guarded_stages) > r.stage_caps.len() {
        return rollout.fault("rollout: more guarded_stages than stages");
    }
    if usize::from(r.guarded_stages) == r.stage_caps.len()
        && s.classes.iter().all(|c| c.is.effect != EffectName::Retryable)
    {
        return rollout
            .fault("rollout: all stages guarded and no retryable class: no build could ever be tried");
    }
    if r.counted_over.0 == 0 || r.vote_ttl.0 == 0 || r.call_timeout.0 == 0 {
        return rollout.fault("rollout: counted_over, vote_ttl and call_timeout are over 0");
    }
    if r.call_timeout >= r.vote_ttl {
        return rollout
            .fault("rollout: a vote would expire before its reply is given up (call_timeout, vote_ttl)");
    }
    if !(r.uncounted >= 0.0 && r.uncounted.is_finite() && (0.0..=1.0).contains(&r.flag_share)) {
        return rollout.fault("rollout: uncounted is 0 or more, flag_share 0 to 1");
    }
    let votes = [r.votes_on, r.votes_back, r.vote_allowance];
    if votes.iter().any(|v| v.is_nan() || *v < 0.0) {
        return rollout.fault("rollout: votes_on, votes_back and vote_allowance are 0 or more");
    }
    Ok(())
}

fn check_contract(contract: &Placed<Contract>, classes: &[Placed<RequestClass>]) -> Result<(), Fault> {
    let c = &contract.is;
    if !(c.cold_from > 0.0 && c.cold_from <= 1.0) {
        return contract.fault("contract: cold_from is over 0, at most 1");
    }
    if !(c.fall_multiple >= 1.0 && c.fall_multiple.is_finite()) || c.fall_span.0 == 0 {
        return contract.fault("contract: fall_multiple is 1 or more, fall_span over 0");
    }
    if c.ask_within.0 < 1_000_000 || c.drain_grace.0 < 50_000 {
        return contract.fault("contract: ask_within is 1s or more, drain_grace 50ms or more");
    }
    let shortest = classes.iter().map(|k| k.is.deadline).min().unwrap_or_default();
    if c.answer_grace > shortest {
        return contract.fault("contract: answer_grace is longer than a class's deadline");
    }
    Ok(())
}

fn check_limits(limits: &Placed<Limits>) -> Result<(), Fault> {
    let l = &limits.is;
    if l.max_attempts == 0 || l.max_attempts > 100 {
        return limits.fault("limits: max_attempts is 1 to 100");
    }
    if l.tick.0 < 1_000 || l.tick.0 > 50_000 {
        return limits.fault("limits: tick is 1ms to 50ms");
    }
    Ok(())
}

fn check_headers(names: Option<&Placed<HeaderNames>>) -> Result<Headers, Fault> {
    let is = names.map(|n| n.is.clone()).unwrap_or_default();
    let read = |text: &str| {
        HeaderName::from_bytes(text.as_bytes()).map_err(|_| {
            let at = names.map_or("headers", |n| n.at.as_str());
            Fault(format!("{at}: headers: {text:?} is no field name"))
        })
    };
    let headers = Headers {
        key: read(&is.key)?,
        tenant: read(&is.tenant)?,
        cost: read(&is.cost)?,
        deadline: read(&is.deadline)?,
        retry: read(&is.retry)?,
        not_run: read(&is.not_run)?,
        answer: read(&is.answer)?,
    };
    let all = [&headers.key, &headers.tenant, &headers.cost, &headers.deadline, &headers.retry];
    if let (Some(n), true) = (names, (1..all.len()).any(|i| all[..i].contains(&all[i]))) {
        return n.fault("headers: one field for two purposes");
    }
    Ok(headers)
}

fn check_connections(section: Option<&Placed<ConnectionLimits>>) -> Result<Connections, Fault> {
    let is = section.map(|c| c.is.clone()).unwrap_or_default();
    if let Some(c) = section {
        let spans = [is.head_timeout, is.body_timeout, is.client_idle, is.server_idle, is.stream_idle];
        if spans.iter().chain([&is.connect_timeout]).any(|s| s.0 < 1_000) {
            return c.fault("connections: a time-out under 1ms");
        }
        if is.max_head < 256 || is.max_head > 1 << 20 || is.max_fields == 0 || is.max_fields > 128 {
            return c.fault("connections: max_head is 256 bytes to 1 MiB, max_fields 1 to 128");
        }
        if is.keep_body as u64 > is.max_body {
            return c.fault("connections: keep_body is over max_body");
        }
        if is.max_clients == 0 || !is.flag_path.starts_with('/') {
            return c.fault("connections: max_clients is 1 or more, flag_path starts with /");
        }
    }
    Ok(Connections {
        max_head: is.max_head,
        max_fields: is.max_fields,
        max_body: is.max_body,
        keep_body: is.keep_body,
        keep_answer: is.keep_answer,
        head_timeout: is.head_timeout.0,
        body_timeout: is.body_timeout.0,
        client_idle: is.client_idle.0,
        server_idle: is.server_idle.0,
        stream_idle: is.stream_idle.0,
        connect_timeout: is.connect_timeout.0,
        idle_per_server: is.idle_per_server,
        max_clients: is.max_clients,
        half_close: is.half_close,
        flag_path: is.flag_path,
    })
}

fn decisions(
    s: &Sections,
    fleet: &Fleet,
    r: &Rollout,
    c: &Contract,
    limits: Option<&Placed<Limits>>,
    peers: bool,
) -> v::Settings {
    let limits = limits.map(|l| l.is.clone()).unwrap_or_default();
    let class = |c: &RequestClass| v::Class {
        aim: c.aim.0,
        deadline: c.deadline.0,
        effect: match c.effect {
            EffectName::Retryable => v::Effect::Retryable,
            EffectName::Keyed => v::Effect::Deduplicated,
            EffectName::Fragile => v::Effect::Fragile,
        },
        group: match c.group {
            GroupName::All => v::DedupGroup::All,
            GroupName::Zone => v::DedupGroup::Zone,
            GroupName::Cell => v::DedupGroup::Cell,
        },
        dedup_window: c.window.map_or(0, |w| w.0),
        worth: c.worth,
        late_worth: c.late_worth,
        stream: c.stream,
    };
    v::Settings {
        classes: s.classes.iter().map(|c| class(&c.is)).collect(),
        tenants: s.tenants.iter().map(|t| v::Tenant { quota_per_s: t.is.quota }).collect(),
        rollout: v::Rollout {
            gate: match r.gate {
                GateName::Any => v::GateMode::Any,
                GateName::Share => v::GateMode::Share,
                GateName::Timer => v::GateMode::Timer,
            },
            in_place: r.in_place,
            stage_cap: r.stage_caps.clone(),
            guarded_stages: r.guarded_stages,
            counted_over: r.counted_over.0,
            uncounted: r.uncounted,
            per_class: r.per_class,
            one_way: r.one_way,
            vote_ttl: r.vote_ttl.0,
            call_timeout: r.call_timeout.0,
            flag_share: r.flag_share,
            votes_on: r.votes_on,
            votes_back: r.votes_back,
            vote_allowance: r.vote_allowance,
        },
        limits: v::Limits {
            max_attempts: limits.max_attempts,
            second_copies: limits.second_copies,
            cancel: limits.cancel,
            probes: false,
            peer_messages: limits.peer_messages && peers,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after.0,
        },
        contract: v::Contract {
            answer_grace: c.answer_grace.0,
            ask_within: c.ask_within.0,
            cold_from: c.cold_from,
            cold_span: c.cold_span.0,
            drain_grace: c.drain_grace.0,
            fall_multiple: c.fall_multiple,
            fall_span: c.fall_span.0,
        },
        // The roster is always asked: a watch that breaks is the decisions' to open again.
        list_on_request: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits.tick.0,
        over_share_worth: limits.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}
