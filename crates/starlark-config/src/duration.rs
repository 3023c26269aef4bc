//! Durations in the text form that scripts use, such as `"300ms"` or `"1.5s"`.

use serde::de::{Deserialize, Deserializer, Error};

const MICROS_PER_MILLISECOND: f64 = 1e3;
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MINUTE: f64 = 60.0 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: f64 = 60.0 * MICROS_PER_MINUTE;
const MICROS_PER_DAY: f64 = 24.0 * MICROS_PER_HOUR;

/// Longest duration that a script may contain, in microseconds. The limit of 90 days keeps sums of durations
/// far from overflow.
const MAX_DURATION_MICROS: f64 = 90.0 * MICROS_PER_DAY;

/// A duration of at most 90 days in whole microseconds. Scripts write it as a decimal number followed by a
/// unit: us, ms, s, m, h or d.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScriptDuration {
    micros: u64,
}

impl ScriptDuration {
    /// The duration of length zero.
    pub const ZERO: ScriptDuration = ScriptDuration::from_micros(0);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: u64) -> ScriptDuration {
        ScriptDuration { micros }
    }

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> ScriptDuration {
        ScriptDuration::from_micros(millis * 1_000)
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> ScriptDuration {
        ScriptDuration::from_micros(seconds * 1_000_000)
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Parses a decimal number with a unit, without a sign or an exponent. Returns `None` if the text is
    /// malformed or the duration exceeds [`MAX_DURATION_MICROS`].
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
