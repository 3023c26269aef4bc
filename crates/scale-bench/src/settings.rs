//! A settings script with N routes or N tenants: time and memory of reading and checking all of it.
//!
//! A change of one route or tenant has the complete script checked again, so this is the cost of a change.

use crate::resources::MeasuredProcess;
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use std::time::Instant;
use violetseam_settings::read_text;

/// Name of the script in error messages.
const SCRIPT_NAME: &str = "scale.star";

/// What there are N of in the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsBenchmark {
    /// Routes to one class, none a prefix of another.
    Routes,
    /// Tenants with a quota each.
    Tenants,
}

impl Benchmark for SettingsBenchmark {
    fn name(&self) -> &'static str {
        match self {
            SettingsBenchmark::Routes => "settings",
            SettingsBenchmark::Tenants => "settings-tenants",
        }
    }

    fn size_unit(&self) -> &'static str {
        match self {
            SettingsBenchmark::Routes => "routes",
            SettingsBenchmark::Tenants => "tenants",
        }
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        match (self, quick) {
            (_, true) => &[100, 300, 1_000],
            (SettingsBenchmark::Routes, false) => &[1_000, 3_000, 10_000, 30_000],
            (SettingsBenchmark::Tenants, false) => &[1_000, 3_000, 10_000, 30_000, 110_000],
        }
    }

    fn needs_own_process(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, _: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let script = self.script(size);
        let resident_before = MeasuredProcess::Own.resident_bytes()?;
        let start = Instant::now();
        let result = read_text(SCRIPT_NAME, &script, &[]);
        let time = start.elapsed().as_secs_f64();
        let growth = MeasuredProcess::Own.peak_bytes()?.saturating_sub(resident_before);
        let mut measurements = vec![
            Measurement::new("refused", Unit::Count, size, if result.is_err() { 1.0 } else { 0.0 }),
            Measurement::new("time until taken or refused", Unit::Seconds, size, time),
            Measurement::new("peak memory", Unit::Bytes, size, growth as f64),
        ];
        if let Ok(settings) = result {
            let entries = match self {
                SettingsBenchmark::Routes => settings.routes.len(),
                SettingsBenchmark::Tenants => settings.tenants.len(),
            };
            measurements.push(Measurement::new("entries held", Unit::Count, size, entries as f64));
        }
        Ok(measurements)
    }
}

impl SettingsBenchmark {
    /// The script with N entries.
    pub fn script(&self, size: u64) -> String {
        let entries = match self {
            SettingsBenchmark::Routes => "route(prefix = \"/service-%d/\" % i, to = \"read\")",
            SettingsBenchmark::Tenants => "tenant(name = \"customer-%d\" % i, quota = 10)",
        };
        let other_sections = match self {
            SettingsBenchmark::Routes => "",
            SettingsBenchmark::Tenants => "route(prefix = \"/\", to = \"read\")\n",
        };
        format!("{COMMON_SECTIONS}{other_sections}for i in range({size}):\n    {entries}\n")
    }
}

/// The part of the script that is the same at every size.
const COMMON_SECTIONS: &str = r#"
fleet(name = "scale", size = 3, position = 0)
listen(addr = "127.0.0.1:8000")
roster(addr = "127.0.0.1:7100")
desk(addr = "127.0.0.1:7200")
request_class(name = "read", aim = "300ms", deadline = "1.2s", effect = "retryable")
rollout(stage_caps = [0.16, 0.5, 1.0], counted_over = "6s", vote_ttl = "4s")
contract(ask_within = "10s", cold_from = 0.31, cold_span = "4.2s", drain_grace = "2s",
         fall_multiple = 3.0, fall_span = "3s")
"#;
