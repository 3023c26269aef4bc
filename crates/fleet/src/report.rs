//! What a fleet said, as tables and as JSON.

use crate::call::Silence;
use crate::{Outcome, Told};
use comfy_table::{Table, presets};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use violetseam_control::Reading;
use violetseam_control::state::ConfigurationVersion;

/// Exit statuses of the tool.
pub mod status {
    /// All agreed.
    pub const AGREED: u8 = 0;
    /// Some refused, all answered.
    pub const REFUSED: u8 = 3;
    /// Some never answered, none refused.
    pub const SILENT: u8 = 4;
    /// Some refused and some never answered.
    pub const BOTH: u8 = 5;
}

/// The exit status for a command.
pub fn exit_status(told: &Told) -> u8 {
    let refused = told.outcomes.iter().any(|o| matches!(o.1, Outcome::Refused(_)));
    let silent = told.outcomes.iter().any(|o| matches!(o.1, Outcome::Silent(_)));
    match (refused, silent) {
        (false, false) => status::AGREED,
        (true, false) => status::REFUSED,
        (false, true) => status::SILENT,
        (true, true) => status::BOTH,
    }
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head.to_vec());
    table
}

/// A command's outcomes as a table, those that did not agree first.
pub fn told_table(told: &Told) -> String {
    let mut rows = table(&["daemon", "outcome", "why"]);
    let rank = |o: &Outcome| match o {
        Outcome::Silent(_) => 0,
        Outcome::Refused(_) => 1,
        Outcome::Agreed { .. } => 2,
    };
    let mut outcomes: Vec<_> = told.outcomes.iter().collect();
    outcomes.sort_by_key(|o| rank(&o.1));
    for (name, outcome) in outcomes {
        match outcome {
            Outcome::Agreed { again: false } => rows.add_row([name.as_str(), "agreed", ""]),
            Outcome::Agreed { again: true } => rows.add_row([name.as_str(), "agreed", "had before"]),
            Outcome::Refused(why) => rows.add_row([name.as_str(), "REFUSED", why]),
            Outcome::Silent(why) => rows.add_row([name.as_str(), "SILENT", why]),
        };
    }
    let count = |r| told.outcomes.iter().filter(|o| rank(&o.1) == r).count();
    let about = told.about.map_or(String::new(), |(b, s)| format!(" about build {b}, stage {s}"));
    format!(
        "{rows}\ncommand {}{about}: {} agreed, {} refused, {} never answered\n",
        told.id,
        count(2),
        count(1),
        count(0)
    )
}

/// A command's outcomes as data.
pub fn told_json(told: &Told) -> Value {
    let row = |(name, outcome): &(String, Outcome)| match outcome {
        Outcome::Agreed { again } => json!({"daemon": name, "outcome": "agreed", "again": again}),
        Outcome::Refused(why) => json!({"daemon": name, "outcome": "refused", "why": why}),
        Outcome::Silent(why) => json!({"daemon": name, "outcome": "silent", "why": why}),
    };
    let outcomes: Vec<Value> = told.outcomes.iter().map(row).collect();
    json!({"id": told.id, "build": told.about.map(|a| a.0), "stage": told.about.map(|a| a.1), "daemons": outcomes})
}

/// States as a table.
pub fn state_table(names: &[String], readings: &[Result<Reading, Silence>]) -> String {
    let mut rows = table(&[
        "daemon", "boot", "build", "stage", "phase", "cap", "vote", "paused", "served", "refused", "failed",
        "owed", "servers", "peers", "list age",
    ]);
    for (name, reading) in names.iter().zip(readings) {
        match reading {
            Ok(r) => {
                let release = r.release.clone().unwrap_or_default();
                let paused = r.paused.as_ref().map_or("-", |_| "paused").to_owned();
                let age = r.list_age_us.map_or("never".into(), |us| format!("{:.1} s", us as f64 / 1e6));
                rows.add_row([
                    name.clone(),
                    r.boot.to_string(),
                    release.build.to_string(),
                    release.stage.to_string(),
                    if r.draining { "draining".into() } else { release.phase },
                    format!("{:.2}", release.cap),
                    r.vote.clone().unwrap_or_else(|| "-".into()),
                    paused,
                    r.counts.served.to_string(),
                    r.counts.refused.to_string(),
                    r.counts.failed.to_string(),
                    r.owed.to_string(),
                    r.servers.to_string(),
                    r.peers.to_string(),
                    age,
                ]);
            }
            Err(Silence(why)) => {
                rows.add_row([name.clone(), format!("SILENT: {why}")]);
            }
        }
    }
    let silent = readings.iter().filter(|r| r.is_err()).count();
    format!("{rows}\n{} answered, {silent} never did\n", readings.len() - silent)
}

/// What each daemon holds of the fleet's budgets, class by class, and what they come to together. The readings are of
/// moments close to each other, not of one: while rights move, their sum may be off by what moves.
pub fn rights_table(names: &[String], readings: &[Result<Reading, Silence>]) -> String {
    let mut rows = table(&[
        "class",
        "daemon",
        "budget/s",
        "floor",
        "lot",
        "lent",
        "borrowed",
        "may spend",
        "spent",
        "denied",
    ]);
    let a_second = |rate: u64| format!("{:.1}", rate as f64 / 1e3);
    let held = || names.iter().zip(readings).filter_map(|(n, r)| Some((n, r.as_ref().ok()?)));
    let classes: BTreeSet<&str> =
        held().flat_map(|(_, r)| r.rights.iter().map(|r| r.class.as_str())).collect();
    let silent: Vec<&str> =
        names.iter().zip(readings).filter(|(_, r)| r.is_err()).map(|(n, _)| n.as_str()).collect();
    let mut sums = String::new();
    for class in classes {
        let (mut may, mut budgets, mut without) = (0, BTreeMap::<u64, usize>::new(), 0);
        for (name, reading) in held() {
            let Some(r) = reading.rights.iter().find(|r| r.class == class) else {
                without += 1;
                continue;
            };
            may += r.rate;
            *budgets.entry(r.budget).or_default() += 1;
            rows.add_row([
                class.to_owned(),
                name.clone(),
                a_second(r.budget),
                a_second(r.floor),
                a_second(r.lot),
                a_second(r.lent),
                a_second(r.borrowed),
                a_second(r.rate),
                r.spent.to_string(),
                r.denied.to_string(),
            ]);
        }
        let said: Vec<String> = budgets.iter().map(|(b, n)| format!("{} ({n})", a_second(*b))).collect();
        let _ = write!(
            sums,
            "{class}: those that answered may spend {} of {} a second",
            a_second(may),
            said.join(", ")
        );
        if budgets.len() > 1 || without > 0 {
            let _ = write!(
                sums,
                "; THEY DISAGREE on the budget, {without} have none: they neither ask nor lend each other"
            );
        }
        sums.push('\n');
    }
    if sums.is_empty() {
        sums.push_str("no class has a budget of the fleet\n");
    }
    if !silent.is_empty() {
        let _ = writeln!(
            sums,
            "SILENT, may spend their floor, what they own and what they hold: {}",
            silent.join(", ")
        );
    }
    format!("{rows}\n{sums}")
}

/// Which version of the distributed configuration each daemon has, how long ago that was confirmed to be
/// the newest, and by how many versions it is behind the newest among those that answered.
pub fn configuration_table(names: &[String], readings: &[Result<Reading, Silence>]) -> String {
    let mut rows = table(&["daemon", "version", "behind", "routes", "confirmed", "watch", "refused"]);
    let versions = readings.iter().filter_map(|r| r.as_ref().ok()?.distributed.as_ref()?.version);
    let newest = versions.max();
    let (mut current, mut behind, mut without) = (0, 0, 0);
    for (name, reading) in names.iter().zip(readings) {
        let reading = match reading {
            Ok(reading) => reading,
            Err(Silence(why)) => {
                rows.add_row([name.clone(), format!("SILENT: {why}")]);
                continue;
            }
        };
        let Some(distributed) = &reading.distributed else {
            without += 1;
            rows.add_row([name.as_str(), "no publisher in its settings"]);
            continue;
        };
        let is_current = distributed.version == newest;
        current += usize::from(is_current);
        behind += usize::from(!is_current);
        rows.add_row([
            name.clone(),
            distributed.version.map_or("none".into(), |version| version.to_string()),
            versions_behind(distributed.version, newest),
            distributed.routes.to_string(),
            distributed.age_us.map_or("never".into(), |us| format!("{:.1} s ago", us as f64 / 1e6)),
            if distributed.watching { "open".into() } else { "CLOSED".into() },
            distributed
                .refused
                .as_ref()
                .map_or("-".into(), |refused| format!("{}: {}", refused.version, refused.reason)),
        ]);
    }
    let newest = newest.map_or("none".into(), |version| version.to_string());
    let silent = readings.iter().filter(|r| r.is_err()).count();
    format!(
        "{rows}\nnewest version {newest}: {current} have it, {behind} are behind, {without} without a publisher, \
         {silent} never answered\n"
    )
}

/// How far a daemon is behind: a number of versions within a term; of an older term or without a version, so said.
fn versions_behind(held: Option<ConfigurationVersion>, newest: Option<ConfigurationVersion>) -> String {
    match (held, newest) {
        (held, newest) if held == newest => "-".into(),
        (Some(held), Some(newest)) if held.term == newest.term => (newest.number - held.number).to_string(),
        (Some(_), _) => "OLDER TERM".into(),
        (None, _) => "ALL".into(),
    }
}

/// States as data.
pub fn state_json(names: &[String], readings: &[Result<Reading, Silence>]) -> Value {
    let row = |(name, reading): (&String, &Result<Reading, Silence>)| match reading {
        Ok(reading) => json!({"daemon": name, "state": reading}),
        Err(Silence(why)) => json!({"daemon": name, "silent": why}),
    };
    Value::Array(names.iter().zip(readings).map(row).collect())
}
