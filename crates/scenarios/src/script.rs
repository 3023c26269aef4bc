//! A day's settings script for its proxies: one file, the position given at the start.

use std::fmt::Write;
use std::path::Path;
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::{GateMode, Idempotency, Scenario};

/// Where the proxies of a run have their control sockets, less `-N`.
pub fn control_path(net: AddressPlan) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("vs-lab-{}", net.discovery().ip()))
}

fn us(span: u64) -> String {
    format!("\"{span}us\"")
}

fn flag(is: bool) -> &'static str {
    if is { "True" } else { "False" }
}

/// The settings of all proxies of a day.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn settings(day: &Scenario, net: AddressPlan, state_dir: &Path) -> String {
    let mut s = String::from("N = option(\"position\", 0)\n");
    let n = day.proxies.len();
    let zones: Vec<u16> = day.proxies.iter().map(|p| p.zone).collect();
    let dir = state_dir.display();
    // Control sockets have short paths by nature.
    let control = control_path(net);
    let control = control.display();
    let hints = flag(day.servers.iter().any(|x| (x.cores - day.servers[0].cores).abs() > 1e-9));
    let _ = writeln!(
        s,
        "fleet(name = \"lab\", size = {n}, position = N, site = 7, zone = {zones:?}[N], sizes_known = {hints}, state_dir = \"{dir}\", control = \"{control}-%d\" % N)"
    );
    let _ = writeln!(s, "listen(addr = [{}][N])", quoted((0..n).map(|i| net.proxy(i).to_string())));
    let _ = writeln!(s, "roster(addr = \"{}\", timeout = \"1s\")", net.discovery());
    let _ = writeln!(s, "desk(addr = \"{}\")", net.release_service());
    if n > 1 {
        let rows = (0..n).map(|from| {
            let at = |to| if from == to { net.peer(to) } else { net.relay(from, to) };
            format!("[{}]", quoted((0..n).map(|to| at(to).to_string())))
        });
        let rows: Vec<String> = rows.collect();
        let own = quoted((0..n).map(|i| net.peer(i).to_string()));
        let _ = writeln!(s, "peers(listen = [{own}][N], addrs = [{}][N])", rows.join(", "));
    }
    for (i, c) in day.classes.iter().enumerate() {
        let (effect, group) = match c.idempotency {
            Idempotency::Idempotent => ("retryable", None),
            Idempotency::KeyedAll => ("keyed", Some("all")),
            Idempotency::KeyedZone => ("keyed", Some("zone")),
            Idempotency::KeyedCell => ("keyed", Some("cell")),
            Idempotency::NonIdempotent => ("fragile", None),
        };
        let keyed =
            group.map_or(String::new(), |g| format!(", group = \"{g}\", window = {}", us(c.dedup_window)));
        let _ = writeln!(
            s,
            "request_class(name = {:?}, aim = {}, deadline = {}, effect = \"{effect}\", worth = {:?}, late_worth = {:?}, further = {:?}{keyed})",
            c.name,
            us(c.latency_objective),
            us(c.deadline),
            c.priority_weight,
            c.late_weight,
            day.retry_quotas.as_ref().map_or(0.0, |b| b.retries_per_second[i])
        );
        let _ = writeln!(s, "route(prefix = \"/c{i}/\", to = {:?})", c.name);
    }
    for (name, _) in &day.tenants {
        let _ = writeln!(s, "tenant(name = {name:?})");
    }
    if let Some(b) = day.retry_quotas.as_ref().filter(|b| b.retries_per_second.iter().any(|f| *f > 0.0)) {
        let (lease, burst) = (us(b.lease), us(b.burst));
        let _ = writeln!(
            s,
            "budgets(floor_percent = {}, lease = {lease}, burst = {burst})",
            b.guaranteed_percent
        );
    }
    let r = &day.rollout;
    let gate = match r.gate {
        GateMode::Any => "any",
        GateMode::Share => "share",
        GateMode::Timer => "timer",
    };
    // Votes are told to the proxies as numbers of proxies.
    let votes = |share: f64| if r.gate == GateMode::Any { 1.0 } else { (share * n as f64).ceil().max(1.0) };
    let _ = writeln!(
        s,
        "rollout(stage_caps = {:?}, counted_over = {}, gate = \"{gate}\", in_place = {}, guarded_stages = {}, \
         uncounted = {:?}, per_class = {}, one_way = {}, vote_ttl = {}, call_timeout = {}, flag_share = {:?}, \
         votes_on = {:?}, votes_back = {:?}, vote_allowance = {:?})",
        r.caps,
        us(r.exposure_window),
        flag(!r.keep_previous_build),
        r.idempotent_only_stages,
        r.exposure_slack,
        flag(r.exposure_per_class),
        flag(r.sticky_to_new_build),
        us(r.vote_lifetime),
        us(r.vote_timeout),
        r.report_share,
        if r.gate == GateMode::Timer { 0.0 } else { votes(r.votes_to_promote) },
        votes(r.votes_to_roll_back),
        r.vote_rate_limit
    );
    let c = &day.service_rules;
    let _ = writeln!(
        s,
        "contract(answer_grace = {}, ask_within = {}, cold_from = {:?}, cold_span = {}, drain_grace = {}, \
         fall_multiple = {:?}, fall_span = {})",
        us(c.deadline_grace),
        us(c.poll_interval_max),
        c.slow_start_floor,
        us(c.slow_start_span),
        us(c.drain_grace),
        c.overload_multiple,
        us(c.overload_span)
    );
    let _ = writeln!(s, "limits(max_attempts = {}, second_copies = {})", c.max_attempts, flag(c.hedging));
    s
}

fn quoted(items: impl Iterator<Item = String>) -> String {
    items.map(|i| format!("\"{i}\"")).collect::<Vec<_>>().join(", ")
}
