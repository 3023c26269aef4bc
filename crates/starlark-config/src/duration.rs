//! Durations as scripts write them: `"300ms"`, `"1.5s"`.

use serde::de::{Deserialize, Deserializer, Error};

const MICROS_PER_MILLISECOND: f64 = 1e3;
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MINUTE: f64 = 60.0 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: f64 = 60.0 * MICROS_PER_MINUTE;
const MICROS_PER_DAY: f64 = 24.0 * MICROS_PER_HOUR;

/// The longest duration of a script, in microseconds: 90 days, so that sums of durations stay far from
/// overflow.
const MAX_DURATION_MICROS: f64 = 90.0 * MICROS_PER_DAY;

/// A duration in whole microseconds, read from a number with its unit: us, ms, s, m, h or d. At most 90 days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScriptDuration {
    micros: u64,
}

impl ScriptDuration {
    /// The empty duration.
    pub const ZERO: ScriptDuration = ScriptDuration::from_micros(0);

    /// A duration of so many microseconds.
    pub const fn from_micros(micros: u64) -> ScriptDuration {
        ScriptDuration { micros }
    }

    /// A duration of so many milliseconds.
    pub const fn from_millis(millis: u64) -> ScriptDuration {
        ScriptDuration::from_micros(millis * 1_000)
    }

    /// A duration of so many seconds.
    pub const fn from_secs(seconds: u64) -> ScriptDuration {
        ScriptDuration::from_micros(seconds * 1_000_000)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    fn parse(text: &str) -> Option<ScriptDuration> {
        let unit_start = text.find(|character: char| character.is_ascii_alphabetic())?;
        let (number, unit) = text.split_at(unit_start);
        let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !is_decimal {
            return None;
        }
        let micros = number.parse::<f64>().ok()? * micros_per_unit(unit)?;
        (micros <= MAX_DURATION_MICROS).then_some(ScriptDuration::from_micros(micros.round() as u64))
    }
}

fn micros_per_unit(unit: &str) -> Option<f64> {
    match unit {
        "us" => Some(1.0),
        "ms" => Some(MICROS_PER_MILLISECOND),
        "s" => Some(MICROS_PER_SECOND),
        "m" => Some(MICROS_PER_MINUTE),
        "h" => Some(MICROS_PER_HOUR),
        "d" => Some(MICROS_PER_DAY),
        _ => None,
    }
}

impl<'de> Deserialize<'de> for ScriptDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        ScriptDuration::parse(&text).ok_or_else(|| {
            D::Error::custom(format!("{text:?} is no span of time: a number with us, ms, s, m, h or d"))
        })
    }
}
