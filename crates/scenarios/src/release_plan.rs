//! Generates the release plan of a scenario's build as a script for the release controller.

use crate::proxy_settings::{boolean, span};
use std::fmt::Write;
use violetseam_simulated_site::scenario::{GateMode, Rollout, Scenario};

/// The smallest share of votes that a plan may state.
const MIN_VOTE_SHARE: f64 = 0.001;

/// Returns the plan script for the release with this index in the scenario.
pub fn script(scenario: &Scenario, release_index: usize) -> String {
    let mut script = String::new();
    write_plan_and_fleet(&mut script, scenario, release_index);
    write_waves(&mut script, &scenario.rollout);
    script.push_str("allow(who = \"lab\", may = [\"back\"])\n");
    script
}

fn write_plan_and_fleet(script: &mut String, scenario: &Scenario, release_index: usize) {
    let rollout = &scenario.rollout;
    let build = usize::from(rollout.first_build) + release_index + 1;
    let _ = writeln!(
        script,
        "plan(name = \"{}-{build}\", build = {build}, longest = \"1h\", downtime = \"stops\")",
        scenario.name
    );
    let _ = writeln!(
        script,
        "fleet(proxies = {}, places = {}, vote_ttl = {}, votes_per_s = {:?}, stage_caps = {:?}, \
         votes_back = {:?}, beside = {}, launch = \"8s\", settle = \"1s\")",
        scenario.proxies.len(),
        scenario.servers.len(),
        span(rollout.vote_lifetime),
        rollout.vote_rate_limit,
        rollout.caps,
        rollout.votes_to_roll_back.max(MIN_VOTE_SHARE),
        boolean(rollout.keep_previous_build)
    );
}

fn write_waves(script: &mut String, rollout: &Rollout) {
    let gate = WaveGate::of(rollout);
    for (stage, (share, cap)) in rollout.stages.iter().zip(&rollout.caps).enumerate() {
        let _ = writeln!(
            script,
            "wave(name = \"stage-{stage}\", share = {share:?}, cap = {cap:?}, soak = {}, gate = \"{}\", \
             votes = {:?})",
            span(gate.soak),
            gate.name,
            gate.votes
        );
    }
}

/// The promotion gate of the waves of a plan.
struct WaveGate {
    /// Name of the gate mode in the script.
    name: &'static str,
    /// Share of the proxies whose votes promote the wave or, with the timer gate, hold it.
    votes: f64,
    /// Soak time of the wave, in microseconds.
    soak: u64,
}

impl WaveGate {
    fn of(rollout: &Rollout) -> WaveGate {
        match rollout.gate {
            GateMode::Any => WaveGate { name: "any", votes: 0.5, soak: rollout.bake },
            GateMode::Share => WaveGate {
                name: "share",
                votes: rollout.votes_to_promote.max(MIN_VOTE_SHARE),
                soak: rollout.bake,
            },
            GateMode::Timer => {
                // Without a share of votes that holds the timer, it takes the votes of all proxies.
                let votes = if rollout.votes_to_hold > 0.0 { rollout.votes_to_hold } else { 1.0 };
                WaveGate { name: "timer", votes, soak: rollout.stage_duration }
            }
        }
    }
}
