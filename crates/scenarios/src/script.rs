//! A day's settings script for its proxies: one file, the position given at the start.

use std::fmt::Write;
use std::path::Path;
use violetseam_simulated_site::day::{Day, Effect, Gate};
use violetseam_simulated_site::drive::Net;

/// Where the proxies of a run have their control sockets, less `-N`.
pub fn control_path(net: Net) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("vs-lab-{}", net.roster().ip()))
}

fn us(span: u64) -> String {
    format!("\"{span}us\"")
}

fn flag(is: bool) -> &'static str {
    if is { "True" } else { "False" }
}

/// The settings of all proxies of a day.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn settings(day: &Day, net: Net, state_dir: &Path) -> String {
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
    let _ = writeln!(s, "roster(addr = \"{}\", timeout = \"1s\")", net.roster());
    let _ = writeln!(s, "desk(addr = \"{}\")", net.desk());
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
        let (effect, group) = match c.effect {
            Effect::Safe => ("retryable", None),
            Effect::KeyedAll => ("keyed", Some("all")),
            Effect::KeyedZone => ("keyed", Some("zone")),
            Effect::KeyedCell => ("keyed", Some("cell")),
            Effect::Unsafe => ("fragile", None),
        };
        let keyed = group.map_or(String::new(), |g| format!(", group = \"{g}\", window = {}", us(c.window)));
        let _ = writeln!(
            s,
            "request_class(name = {:?}, aim = {}, deadline = {}, effect = \"{effect}\", worth = {:?}, late_worth = {:?}, further = {:?}{keyed})",
            c.name,
            us(c.aim),
            us(c.deadline),
            c.worth,
            c.late_worth,
            day.budgets.as_ref().map_or(0.0, |b| b.further[i])
        );
        let _ = writeln!(s, "route(prefix = \"/c{i}/\", to = {:?})", c.name);
    }
    for (name, _) in &day.tenants {
        let _ = writeln!(s, "tenant(name = {name:?})");
    }
    if let Some(b) = day.budgets.as_ref().filter(|b| b.further.iter().any(|f| *f > 0.0)) {
        let (lease, burst) = (us(b.lease), us(b.burst));
        let _ = writeln!(s, "budgets(floor_percent = {}, lease = {lease}, burst = {burst})", b.floor_percent);
    }
    let r = &day.rollout;
    let gate = match r.gate {
        Gate::Any => "any",
        Gate::Share => "share",
        Gate::Timer => "timer",
    };
    // Votes are told to the proxies as numbers of proxies.
    let votes = |share: f64| if r.gate == Gate::Any { 1.0 } else { (share * n as f64).ceil().max(1.0) };
    let _ = writeln!(
        s,
        "rollout(stage_caps = {:?}, counted_over = {}, gate = \"{gate}\", in_place = {}, guarded_stages = {}, \
         uncounted = {:?}, per_class = {}, one_way = {}, vote_ttl = {}, call_timeout = {}, flag_share = {:?}, \
         votes_on = {:?}, votes_back = {:?}, vote_allowance = {:?})",
        r.caps,
        us(r.window),
        flag(!r.beside),
        r.guarded,
        r.free,
        flag(r.by_class),
        flag(r.one_way),
        us(r.vote_life),
        us(r.call_timeout),
        r.flag_share,
        if r.gate == Gate::Timer { 0.0 } else { votes(r.votes_on) },
        votes(r.votes_back),
        r.calls_per_s
    );
    let c = &day.contract;
    let _ = writeln!(
        s,
        "contract(answer_grace = {}, ask_within = {}, cold_from = {:?}, cold_span = {}, drain_grace = {}, \
         fall_multiple = {:?}, fall_span = {})",
        us(c.answer_grace),
        us(c.ask_within),
        c.cold_from,
        us(c.cold_span),
        us(c.drain_grace),
        c.fall_multiple,
        us(c.fall_span)
    );
    let _ =
        writeln!(s, "limits(max_attempts = {}, second_copies = {})", c.max_attempts, flag(c.second_copies));
    s
}

fn quoted(items: impl Iterator<Item = String>) -> String {
    items.map(|i| format!("\"{i}\"")).collect::<Vec<_>>().join(", ")
}
