//! Spans of time as people write them: `"300ms"`, `"1.5s"`.

use serde::de::{Deserialize, Deserializer, Error};

/// A span in microseconds, read from a number with its unit: us, ms, s, m, h or d.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// So many milliseconds.
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
        let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let value = number.parse::<f64>().ok().filter(|_| plain)? * scale;
        // Past any span here, and sums of spans stay far from overflow.
        (value <= 90.0 * 24.0 * 3600e6).then_some(Span(value.round() as u64))
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

#[cfg(test)]
mod tests {
    use super::Span;

    #[test]
    fn spans_need_a_unit_and_keep_fractions() {
        assert_eq!(Span::parse("1.5s"), Some(Span(1_500_000)));
        assert_eq!(Span::parse("250us"), Some(Span(250)));
        for bad in ["", "5", "ms", "-1s", "1e9s", "1 s", "infs", "91d"] {
            assert_eq!(Span::parse(bad), None, "{bad}");
        }
    }
}
