//! A settings script with N routes or N tenants: time and memory of reading and checking it whole.
//!
//! A change of one route or tenant has the whole script checked again, so this is the cost of a change.

use super::resources::{peak_bytes, resident_bytes};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use std::time::Instant;
use violetseam_settings::read_text;

const SCRIPT_NAME: &str = "scale.star";

/// What there are N of in the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settings {
    /// Routes to one class, none a prefix of another.
    Routes,
    /// Tenants with a quota each.
    Tenants,
}

impl Slope for Settings {
    fn name(&self) -> &'static str {
        match self {
            Settings::Routes => "settings",
            Settings::Tenants => "settings-tenants",
        }
    }

    fn size_of(&self) -> &'static str {
        match self {
            Settings::Routes => "routes",
            Settings::Tenants => "tenants",
        }
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        match (self, quick) {
            (_, true) => &[100, 300, 1_000],
            (Settings::Routes, false) => &[1_000, 3_000, 10_000, 30_000],
            (Settings::Tenants, false) => &[1_000, 3_000, 10_000, 30_000, 110_000],
        }
    }

    fn isolated(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, _: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let text = self.script(size);
        let before = resident_bytes()?;
        let start = Instant::now();
        let read = read_text(SCRIPT_NAME, &text, &[]);
        let time = start.elapsed().as_secs_f64();
        let grown = peak_bytes()?.saturating_sub(before);
        let mut found = vec![
            Measurement::new("refused", Unit::Count, size, if read.is_err() { 1.0 } else { 0.0 }),
            Measurement::new("time until taken or refused", Unit::Seconds, size, time),
            Measurement::new("peak memory", Unit::Bytes, size, grown as f64),
        ];
        if let Ok(settings) = read {
            let held = match self {
                Settings::Routes => settings.routes.len(),
                Settings::Tenants => settings.tenants.len(),
            };
            found.push(Measurement::new("entries held", Unit::Count, size, held as f64));
        }
        Ok(found)
    }
}

impl Settings {
    /// The script with N entries.
    pub fn script(&self, size: u64) -> String {
        let entries = match self {
            Settings::Routes => "route(prefix = \"/service-%d/\" % i, to = \"read\")",
            Settings::Tenants => "tenant(name = \"customer-%d\" % i, quota = 10)",
        };
        let other = match self {
            Settings::Routes => "",
            Settings::Tenants => "route(prefix = \"/\", to = \"read\")\n",
        };
        format!("{COMMON}{other}for i in range({size}):\n    {entries}\n")
    }
}

const COMMON: &str = r#"
fleet(name = "scale", size = 3, position = 0)
listen(addr = "127.0.0.1:8000")
roster(addr = "127.0.0.1:7100")
desk(addr = "127.0.0.1:7200")
request_class(name = "read", aim = "300ms", deadline = "1.2s", effect = "retryable")
rollout(stage_caps = [0.16, 0.5, 1.0], counted_over = "6s", vote_ttl = "4s")
contract(ask_within = "10s", cold_from = 0.31, cold_span = "4.2s", drain_grace = "2s",
         fall_multiple = 3.0, fall_span = "3s")
"#;
