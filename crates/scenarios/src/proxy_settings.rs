//! The settings script of a scenario's proxies: one file for all, the position is given at the start.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use violetseam_simulated_site::day::{ClassSpec, Day, Effect, Gate, Rollout};
use violetseam_simulated_site::drive::Net;

/// Servers whose cores differ by less count as of one size.
const EQUAL_CORES_TOLERANCE: f64 = 1e-9;

/// Where the proxies of a run have their control sockets, less `-N` for the position.
pub fn control_path_prefix(net: Net) -> PathBuf {
    std::env::temp_dir().join(format!("vs-lab-{}", net.roster().ip()))
}

/// The settings of all proxies of a scenario.
pub fn script(day: &Day, net: Net, state_dir: &Path) -> String {
    let mut script = String::from("N = option(\"position\", 0)\n");
    write_fleet(&mut script, day, net, state_dir);
    write_addresses(&mut script, day.proxies.len(), net);
    write_peers(&mut script, day.proxies.len(), net);
    write_classes(&mut script, day);
    for (name, _) in &day.tenants {
        let _ = writeln!(script, "tenant(name = {name:?})");
    }
    write_budgets(&mut script, day);
    write_rollout(&mut script, day);
    write_service_rules(&mut script, day);
    script
}

fn write_fleet(script: &mut String, day: &Day, net: Net, state_dir: &Path) {
    let size = day.proxies.len();
    let zones: Vec<u16> = day.proxies.iter().map(|proxy| proxy.zone).collect();
    let cores = day.servers.iter().map(|server| server.cores);
    let sizes_differ = cores.into_iter().any(|c| (c - day.servers[0].cores).abs() > EQUAL_CORES_TOLERANCE);
    // Paths of sockets are limited to about 100 bytes, so they are not in the state folder.
    let control = control_path_prefix(net);
    let _ = writeln!(
        script,
        "fleet(name = \"lab\", size = {size}, position = N, site = 7, zone = {zones:?}[N], sizes_known = {}, state_dir = \"{}\", control = \"{}-%d\" % N)",
        boolean(sizes_differ),
        state_dir.display(),
        control.display()
    );
}

fn write_addresses(script: &mut String, proxies: usize, net: Net) {
    let listen = quoted((0..proxies).map(|position| net.proxy(position).to_string()));
    let _ = writeln!(script, "listen(addr = [{listen}][N])");
    let _ = writeln!(script, "roster(addr = \"{}\", timeout = \"1s\")", net.roster());
    let _ = writeln!(script, "desk(addr = \"{}\")", net.desk());
}

/// Each proxy sends to its peers by way of the relay, which can hold datagrams back.
fn write_peers(script: &mut String, proxies: usize, net: Net) {
    if proxies <= 1 {
        return;
    }
    let address = |from, to| if from == to { net.peer(to) } else { net.relay(from, to) };
    let row = |from| format!("[{}]", quoted((0..proxies).map(|to| address(from, to).to_string())));
    let rows: Vec<String> = (0..proxies).map(row).collect();
    let listen = quoted((0..proxies).map(|position| net.peer(position).to_string()));
    let _ = writeln!(script, "peers(listen = [{listen}][N], addrs = [{}][N])", rows.join(", "));
}

fn write_classes(script: &mut String, day: &Day) {
    for (index, class) in day.classes.iter().enumerate() {
        let retry_quota = day.budgets.as_ref().map_or(0.0, |budgets| budgets.further[index]);
        write_class(script, class, retry_quota);
        let _ = writeln!(script, "route(prefix = \"/c{index}/\", to = {:?})", class.name);
    }
}

fn write_class(script: &mut String, class: &ClassSpec, retry_quota: f64) {
    let (effect, group) = match class.effect {
        Effect::Safe => ("retryable", None),
        Effect::KeyedAll => ("keyed", Some("all")),
        Effect::KeyedZone => ("keyed", Some("zone")),
        Effect::KeyedCell => ("keyed", Some("cell")),
        Effect::Unsafe => ("fragile", None),
    };
    let keyed = match group {
        Some(group) => format!(", group = \"{group}\", window = {}", span(class.window)),
        None => String::new(),
    };
    let _ = writeln!(
        script,
        "request_class(name = {:?}, aim = {}, deadline = {}, effect = \"{effect}\", worth = {:?}, late_worth = {:?}, further = {retry_quota:?}{keyed})",
        class.name,
        span(class.aim),
        span(class.deadline),
        class.worth,
        class.late_worth,
    );
}

fn write_budgets(script: &mut String, day: &Day) {
    let Some(budgets) = &day.budgets else { return };
    if budgets.further.iter().all(|quota| *quota <= 0.0) {
        return;
    }
    let _ = writeln!(
        script,
        "budgets(floor_percent = {}, lease = {}, burst = {})",
        budgets.floor_percent,
        span(budgets.lease),
        span(budgets.burst)
    );
}

/// The proxies take votes as numbers of proxies; the scenario has them as shares.
fn votes(rollout: &Rollout, proxies: usize, share: f64) -> f64 {
    match rollout.gate {
        Gate::Any => 1.0,
        Gate::Share | Gate::Timer => (share * proxies as f64).ceil().max(1.0),
    }
}

fn write_rollout(script: &mut String, day: &Day) {
    let rollout = &day.rollout;
    let proxies = day.proxies.len();
    let (gate, votes_to_promote) = match rollout.gate {
        Gate::Any => ("any", votes(rollout, proxies, rollout.votes_on)),
        Gate::Share => ("share", votes(rollout, proxies, rollout.votes_on)),
        Gate::Timer => ("timer", 0.0),
    };
    let _ = writeln!(
        script,
        "rollout(stage_caps = {:?}, counted_over = {}, gate = \"{gate}\", in_place = {}, guarded_stages = {}, \
         uncounted = {:?}, per_class = {}, one_way = {}, vote_ttl = {}, call_timeout = {}, flag_share = {:?}, \
         votes_on = {votes_to_promote:?}, votes_back = {:?}, vote_allowance = {:?})",
        rollout.caps,
        span(rollout.window),
        boolean(!rollout.beside),
        rollout.guarded,
        rollout.free,
        boolean(rollout.by_class),
        boolean(rollout.one_way),
        span(rollout.vote_life),
        span(rollout.call_timeout),
        rollout.flag_share,
        votes(rollout, proxies, rollout.votes_back),
        rollout.calls_per_s
    );
}

fn write_service_rules(script: &mut String, day: &Day) {
    let rules = &day.contract;
    let _ = writeln!(
        script,
        "contract(answer_grace = {}, ask_within = {}, cold_from = {:?}, cold_span = {}, drain_grace = {}, \
         fall_multiple = {:?}, fall_span = {})",
        span(rules.answer_grace),
        span(rules.ask_within),
        rules.cold_from,
        span(rules.cold_span),
        span(rules.drain_grace),
        rules.fall_multiple,
        span(rules.fall_span)
    );
    let _ = writeln!(
        script,
        "limits(max_attempts = {}, second_copies = {})",
        rules.max_attempts,
        boolean(rules.second_copies)
    );
}

/// A span in microseconds, as scripts write it.
pub(crate) fn span(micros: u64) -> String {
    format!("\"{micros}us\"")
}

/// A truth value, as scripts write it.
pub(crate) fn boolean(value: bool) -> &'static str {
    if value { "True" } else { "False" }
}

fn quoted(items: impl Iterator<Item = String>) -> String {
    items.map(|item| format!("\"{item}\"")).collect::<Vec<_>>().join(", ")
}
