//! When the windows are open: weekday and time in a time zone, less freezes.
//!
//! A window opens on a day at the first moment at which the clocks there show its start, or have jumped over
//! it, and closes at the first moment at which they show its end, or have jumped over it. So a window lies
//! once on a day whose clocks go back, with the repeated hour in it where both its ends are outside, and a
//! window that a jump swallows whole is not there that day.
//!
//! `jiff` knows the zones; its database is built in, so that a machine without one reads a plan alike.

use crate::Micros;
use jiff::civil::{Date, DateTime, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

/// A window as a plan gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Weekdays on which it opens, Monday is 0.
    pub days: Vec<u8>,
    /// Minutes since midnight at which it opens.
    pub start: u16,
    /// Minutes since midnight at which it closes; up to the start: on the day after.
    pub end: u16,
    /// IANA name of its zone.
    pub zone: String,
}

/// A span in which no window is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// When it begins.
    pub start: Micros,
    /// When it is over.
    pub end: Micros,
    /// Why.
    pub reason: String,
}

/// Windows and freezes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calendar {
    /// None: always open.
    pub windows: Vec<Window>,
    /// Nothing is open in them.
    pub freezes: Vec<Freeze>,
}

/// Boundaries looked at for one answer; windows repeat weekly, so that far fewer are ever needed.
const STEPS_MOST: usize = 20_000;
const DAY: Micros = 86_400_000_000;

/// The first moment at which the clocks of a zone (its IANA name) show a time such as `2026-12-01T08:00`.
pub fn moment_of(at: &str, zone_name: &str) -> Option<Micros> {
    moment(&zone(zone_name)?, at.parse().ok()?)
}

/// A zone by its name.
pub(crate) fn zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// The first moment at which the clocks of a zone show a time, or have jumped over it.
pub(crate) fn moment(zone: &TimeZone, at: DateTime) -> Option<Micros> {
    let ambiguous = zone.to_ambiguous_timestamp(at);
    let moment = match ambiguous.offset() {
        AmbiguousOffset::Gap { .. } => {
            // The two readings lie on either side of the jump.
            let before = ambiguous.earlier().ok()?;
            zone.following(before).next().map_or(before, |jump| jump.timestamp())
        }
        AmbiguousOffset::Unambiguous { .. } | AmbiguousOffset::Fold { .. } => ambiguous.earlier().ok()?,
    };
    u64::try_from(moment.as_microsecond()).ok()
}

fn weekday(day: Weekday) -> u8 {
    day.to_monday_zero_offset() as u8
}

impl Window {
    /// The span in which it is open on a date, if it is.
    fn on(&self, zone: &TimeZone, date: Date) -> Option<(Micros, Micros)> {
        if !self.days.contains(&weekday(date.weekday())) {
            return None;
        }
        let at = |date: Date, minutes: u16| {
            // 24:00 is the next day's midnight.
            let (date, minutes) = if minutes >= 1_440 {
                (date.checked_add(1.day()).ok()?, minutes - 1_440)
            } else {
                (date, minutes)
            };
            moment(zone, date.at((minutes / 60) as i8, (minutes % 60) as i8, 0, 0))
        };
        let last = if self.end <= self.start { date.checked_add(1.day()).ok()? } else { date };
        let (start, end) = (at(date, self.start)?, at(last, self.end)?);
        (start < end).then_some((start, end))
    }

    /// The spans in which it is open that may touch `from` to `to`.
    fn spans(&self, from: Micros, to: Micros) -> Vec<(Micros, Micros)> {
        let Some(zone) = zone(&self.zone) else { return Vec::new() };
        let date = |at: Micros| -> Option<Date> {
            Some(zone.to_datetime(Timestamp::from_microsecond(at as i64).ok()?).date())
        };
        let (Some(first), Some(last)) = (date(from.saturating_sub(DAY)), date(to)) else { return Vec::new() };
        let mut spans = Vec::new();
        let mut day = first;
        while day <= last {
            spans.extend(self.on(&zone, day).filter(|s| s.1 > from && s.0 < to));
            let Ok(next) = day.checked_add(1.day()) else { break };
            day = next;
        }
        spans
    }
}

impl Calendar {
    /// Whether a window is open.
    pub fn is_open(&self, at: Micros) -> bool {
        if self.freezes.iter().any(|f| f.start <= at && at < f.end) {
            return false;
        }
        self.windows.is_empty()
            || self.windows.iter().any(|w| w.spans(at, at + 1).iter().any(|s| s.0 <= at && at < s.1))
    }

    /// The next moment at which it may open or close, if there is one within a month.
    fn next_edge(&self, at: Micros) -> Option<Micros> {
        let windows = self.windows.iter().flat_map(|w| w.spans(at, at + 9 * DAY));
        let freezes = self.freezes.iter().map(|f| (f.start, f.end));
        windows.chain(freezes).flat_map(|s| [s.0, s.1]).filter(|edge| *edge > at).min()
    }

    /// The next moment at which it opens or closes, looked for up to `until`.
    pub fn next_change(&self, at: Micros, until: Micros) -> Option<Micros> {
        let open = self.is_open(at);
        let mut edge = at;
        for _ in 0..STEPS_MOST {
            edge = self.next_edge(edge).filter(|edge| *edge < until)?;
            if self.is_open(edge) != open {
                return Some(edge);
            }
        }
        None
    }

    /// The first open moment from `at` on, before `until`.
    pub fn next_open(&self, at: Micros, until: Micros) -> Option<Micros> {
        if self.is_open(at) { Some(at) } else { self.next_change(at, until) }
    }

    /// Open spans from `from` to `to`.
    pub fn open_spans(&self, from: Micros, to: Micros) -> Vec<(Micros, Micros)> {
        let (mut spans, mut at) = (Vec::new(), from);
        while at < to && spans.len() < STEPS_MOST {
            let Some(start) = self.next_open(at, to) else { break };
            let end = self.next_change(start, to).unwrap_or(to);
            spans.push((start, end));
            at = end;
        }
        spans
    }

    /// How much of a span is open.
    pub fn open_time(&self, from: Micros, to: Micros) -> Micros {
        self.open_spans(from, to).iter().map(|s| s.1 - s.0).sum()
    }
}
