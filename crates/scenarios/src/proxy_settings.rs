//! Generates the settings script of a scenario's proxies. All proxies share one file; each gets its position
//! as an option at its start.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::{ClassSpec, GateMode, Idempotency, Rollout, Scenario};

/// Servers whose numbers of cores differ by no more than this count as equal in size.
const EQUAL_CORES_TOLERANCE: f64 = 1e-9;

/// Returns the path of the control sockets of a run without the suffix `-N`, where N is the position.
pub fn control_path_prefix(addresses: AddressPlan) -> PathBuf {
    std::env::temp_dir().join(format!("vs-lab-{}", addresses.discovery().ip()))
}

/// Returns the settings script shared by all proxies of a scenario.
pub fn script(scenario: &Scenario, addresses: AddressPlan, state_dir: &Path) -> String {
    let mut script = String::from("N = option(\"position\", 0)\n");
    write_fleet(&mut script, scenario, addresses, state_dir);
    write_addresses(&mut script, scenario.proxies.len(), addresses);
    write_peers(&mut script, scenario.proxies.len(), addresses);
    write_classes(&mut script, scenario);
    for (name, _) in &scenario.tenants {
        let _ = writeln!(script, "tenant(name = {name:?})");
    }
    write_budgets(&mut script, scenario);
    write_rollout(&mut script, scenario);
    write_service_rules(&mut script, scenario);
    script
}

fn write_fleet(script: &mut String, scenario: &Scenario, addresses: AddressPlan, state_dir: &Path) {
    let size = scenario.proxies.len();
    let zones: Vec<u16> = scenario.proxies.iter().map(|proxy| proxy.zone).collect();
    let cores = scenario.servers.iter().map(|server| server.cores);
    let sizes_differ = cores
        .into_iter()
        .any(|core_count| (core_count - scenario.servers[0].cores).abs() > EQUAL_CORES_TOLERANCE);
    // The control sockets are not in the state folder because socket paths are limited to about 100 bytes.
    let control = control_path_prefix(addresses);
    let _ = writeln!(
        script,
        "fleet(name = \"lab\", size = {size}, position = N, site = 7, zone = {zones:?}[N], \
         sizes_known = {}, state_dir = \"{}\", control = \"{}-%d\" % N)",
        boolean(sizes_differ),
        state_dir.display(),
        control.display()
    );
}

fn write_addresses(script: &mut String, proxies: usize, addresses: AddressPlan) {
    let listen = quoted((0..proxies).map(|position| addresses.proxy(position).to_string()));
    let _ = writeln!(script, "listen(addr = [{listen}][N])");
    let _ = writeln!(script, "roster(addr = \"{}\", timeout = \"1s\")", addresses.discovery());
    let _ = writeln!(script, "desk(addr = \"{}\")", addresses.release_service());
}

/// Writes the peer addresses. Each proxy sends to its peers through a relay, which can hold datagrams back.
fn write_peers(script: &mut String, proxies: usize, addresses: AddressPlan) {
    if proxies <= 1 {
        return;
    }
    let address = |from, to| if from == to { addresses.peer(to) } else { addresses.relay(from, to) };
    let row = |from| format!("[{}]", quoted((0..proxies).map(|to| address(from, to).to_string())));
    let rows: Vec<String> = (0..proxies).map(row).collect();
    let listen = quoted((0..proxies).map(|position| addresses.peer(position).to_string()));
    let _ = writeln!(script, "peers(listen = [{listen}][N], addrs = [{}][N])", rows.join(", "));
}

fn write_classes(script: &mut String, scenario: &Scenario) {
    for (index, class) in scenario.classes.iter().enumerate() {
        let retry_quota =
            scenario.retry_quotas.as_ref().map_or(0.0, |quotas| quotas.retries_per_second[index]);
        write_class(script, class, retry_quota);
        let _ = writeln!(script, "route(prefix = \"/c{index}/\", to = {:?})", class.name);
    }
}

fn write_class(script: &mut String, class: &ClassSpec, retry_quota: f64) {
    let (effect, group) = match class.idempotency {
        Idempotency::Idempotent => ("retryable", None),
        Idempotency::KeyedAll => ("keyed", Some("all")),
        Idempotency::KeyedZone => ("keyed", Some("zone")),
        Idempotency::KeyedCell => ("keyed", Some("cell")),
        Idempotency::NonIdempotent => ("fragile", None),
    };
    let keyed = match group {
        Some(group) => format!(", group = \"{group}\", window = {}", span(class.dedup_window)),
        None => String::new(),
    };
    let _ = writeln!(
        script,
        "request_class(name = {:?}, aim = {}, deadline = {}, effect = \"{effect}\", worth = {:?}, \
         late_worth = {:?}, further = {retry_quota:?}{keyed})",
        class.name,
        span(class.latency_objective),
        span(class.deadline),
        class.priority_weight,
        class.late_weight,
    );
}

fn write_budgets(script: &mut String, scenario: &Scenario) {
    let Some(quotas) = &scenario.retry_quotas else { return };
    if quotas.retries_per_second.iter().all(|quota| *quota <= 0.0) {
        return;
    }
    let _ = writeln!(
        script,
        "budgets(floor_percent = {}, lease = {}, burst = {})",
        quotas.guaranteed_percent,
        span(quotas.lease),
        span(quotas.burst)
    );
}

/// Converts a share of votes in the scenario to a number of proxies, as the settings expect.
fn votes(rollout: &Rollout, proxies: usize, share: f64) -> f64 {
    match rollout.gate {
        GateMode::Any => 1.0,
        GateMode::Share | GateMode::Timer => (share * proxies as f64).ceil().max(1.0),
    }
}

fn write_rollout(script: &mut String, scenario: &Scenario) {
    let rollout = &scenario.rollout;
    let proxies = scenario.proxies.len();
    let (gate, votes_to_promote) = match rollout.gate {
        GateMode::Any => ("any", votes(rollout, proxies, rollout.votes_to_promote)),
        GateMode::Share => ("share", votes(rollout, proxies, rollout.votes_to_promote)),
        GateMode::Timer => ("timer", 0.0),
    };
    let _ = writeln!(
        script,
        "rollout(stage_caps = {:?}, counted_over = {}, gate = \"{gate}\", in_place = {}, \
         guarded_stages = {}, uncounted = {:?}, per_class = {}, one_way = {}, vote_ttl = {}, \
         call_timeout = {}, flag_share = {:?}, \
         votes_on = {votes_to_promote:?}, votes_back = {:?}, vote_allowance = {:?})",
        rollout.caps,
        span(rollout.exposure_window),
        boolean(!rollout.keep_previous_build),
        rollout.idempotent_only_stages,
        rollout.exposure_slack,
        boolean(rollout.exposure_per_class),
        boolean(rollout.sticky_to_new_build),
        span(rollout.vote_lifetime),
        span(rollout.vote_timeout),
        rollout.report_share,
        votes(rollout, proxies, rollout.votes_to_roll_back),
        rollout.vote_rate_limit
    );
}

fn write_service_rules(script: &mut String, scenario: &Scenario) {
    let rules = &scenario.service_rules;
    let _ = writeln!(
        script,
        "contract(answer_grace = {}, ask_within = {}, cold_from = {:?}, cold_span = {}, drain_grace = {}, \
         fall_multiple = {:?}, fall_span = {})",
        span(rules.deadline_grace),
        span(rules.poll_interval_max),
        rules.slow_start_floor,
        span(rules.slow_start_span),
        span(rules.drain_grace),
        rules.overload_multiple,
        span(rules.overload_span)
    );
    let _ = writeln!(
        script,
        "limits(max_attempts = {}, second_copies = {})",
        rules.max_attempts,
        boolean(rules.hedging)
    );
}

/// Formats a duration in microseconds as a script literal.
pub(crate) fn span(micros: u64) -> String {
    format!("\"{micros}us\"")
}

/// Formats a Boolean as a script literal.
pub(crate) fn boolean(value: bool) -> &'static str {
    if value { "True" } else { "False" }
}

fn quoted(items: impl Iterator<Item = String>) -> String {
    items.map(|item| format!("\"{item}\"")).collect::<Vec<_>>().join(", ")
}
