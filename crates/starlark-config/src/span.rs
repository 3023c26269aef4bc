//! Durations as scripts write them: `"300ms"`, `"1.5s"`.

use serde::de::{Deserialize, Deserializer, Error};

/// The longest duration of a script, in microseconds: 90 days, so that sums of durations stay far from overflow.
const MAX_MICROS: f64 = 90.0 * 24.0 * 3600e6;

/// A duration in microseconds, read from a number with its unit: us, ms, s, m, h or d. At most 90 days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// A duration of `n` milliseconds.
    pub const fn ms(n: u64) -> Span {
        Span(n * 1_000)
    }

    fn parse(text: &str) -> Option<Span> {
        let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
        let (number, unit) = text.split_at(unit_at);
        let scale = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3600e6,
            "d" => 24.0 * 3600e6,
            _ => return None,
        };
        let is_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let value = number.parse::<f64>().ok().filter(|_| is_decimal)? * scale;
        (value <= MAX_MICROS).then_some(Span(value.round() as u64))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        Span::parse(&text).ok_or_else(|| {
            D::Error::custom(format!("{text:?} is no span of time: a number with us, ms, s, m, h or d"))
        })
    }
}
