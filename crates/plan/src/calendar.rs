//! When the windows are open: weekday and time in a time zone, less freezes.
//!
//! A window opens on a day at the first moment at which the clocks there show its start, or have jumped over
//! it, and closes at the first moment at which they show its end, or have jumped over it. So a window is open
//! once on a day whose clocks go back, with the repeated hour in it where both its ends are outside, and a
//! window that a jump skips entirely does not open that day.
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
    /// Weekdays on which it opens; Monday is 0.
    pub days: Vec<u8>,
    /// Minutes since midnight at which it opens.
    pub start: u16,
    /// Minutes since midnight at which it closes; if that is not after the start, on the next day.
    pub end: u16,
    /// IANA name of its zone.
    pub zone: String,
}

/// A time in which no window is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// When it begins.
    pub start: Micros,
    /// When it ends.
    pub end: Micros,
    /// Why, for people.
    pub reason: String,
}

/// Windows and freezes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calendar {
    /// The windows; with none, always open.
    pub windows: Vec<Window>,
    /// Times in which no window is open.
    pub freezes: Vec<Freeze>,
}

/// A time in which a window is open, from its start to before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenInterval {
    /// When it begins.
    pub start: Micros,
    /// When it ends.
    pub end: Micros,
}

impl OpenInterval {
    /// Whether a moment is in it.
    pub fn contains(&self, at: Micros) -> bool {
        self.start <= at && at < self.end
    }

    /// How long it is.
    pub fn duration(&self) -> Micros {
        self.end - self.start
    }
}

/// The most edges that are looked at for one answer. Windows repeat weekly, so that far fewer are ever
/// needed.
const MAX_EDGES: usize = 20_000;
const DAY: Micros = 86_400_000_000;
/// An edge is looked for within this span: more than a week, after which windows repeat.
const EDGE_SEARCH_SPAN: Micros = 9 * DAY;
const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;

/// The first moment at which the clocks of a zone (its IANA name) show a time such as `2026-12-01T08:00`.
pub fn moment_of(time: &str, zone_name: &str) -> Option<Micros> {
    first_moment(&time_zone(zone_name)?, time.parse().ok()?)
}

/// A zone by its IANA name.
pub(crate) fn time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// The first moment at which the clocks of a zone show a time, or have jumped over it.
fn first_moment(zone: &TimeZone, time: DateTime) -> Option<Micros> {
    let ambiguous = zone.to_ambiguous_timestamp(time);
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

/// The first moment at which the clocks of a zone show a time of a date. 24:00 is the next day's midnight.
fn first_moment_on(zone: &TimeZone, date: Date, minutes: u16) -> Option<Micros> {
    if minutes >= MINUTES_PER_DAY {
        return first_moment_on(zone, next_day(date)?, minutes - MINUTES_PER_DAY);
    }
    let hour = (minutes / MINUTES_PER_HOUR) as i8;
    let minute = (minutes % MINUTES_PER_HOUR) as i8;
    first_moment(zone, date.at(hour, minute, 0, 0))
}

fn date_at(zone: &TimeZone, at: Micros) -> Option<Date> {
    let timestamp = Timestamp::from_microsecond(at as i64).ok()?;
    Some(zone.to_datetime(timestamp).date())
}

fn next_day(date: Date) -> Option<Date> {
    date.checked_add(1.day()).ok()
}

fn weekday_number(weekday: Weekday) -> u8 {
    weekday.to_monday_zero_offset() as u8
}

impl Window {
    /// When it is open on a date, if it is.
    fn interval_on(&self, zone: &TimeZone, date: Date) -> Option<OpenInterval> {
        if !self.days.contains(&weekday_number(date.weekday())) {
            return None;
        }
        let closes_next_day = self.end <= self.start;
        let closing_date = if closes_next_day { next_day(date)? } else { date };
        let start = first_moment_on(zone, date, self.start)?;
        let end = first_moment_on(zone, closing_date, self.end)?;
        (start < end).then_some(OpenInterval { start, end })
    }

    /// When it is open, as far as that overlaps the time between two moments.
    fn intervals_between(&self, from: Micros, to: Micros) -> Vec<OpenInterval> {
        let Some(zone) = time_zone(&self.zone) else { return Vec::new() };
        // A window that opened on the day before may still be open.
        let first_date = date_at(&zone, from.saturating_sub(DAY));
        let last_date = date_at(&zone, to);
        let (Some(first_date), Some(last_date)) = (first_date, last_date) else { return Vec::new() };
        let dates = std::iter::successors(Some(first_date), |date| next_day(*date));
        dates
            .take_while(|date| *date <= last_date)
            .filter_map(|date| self.interval_on(&zone, date))
            .filter(|interval| interval.end > from && interval.start < to)
            .collect()
    }

    fn is_open(&self, at: Micros) -> bool {
        self.intervals_between(at, at + 1).iter().any(|interval| interval.contains(at))
    }
}

impl Calendar {
    /// Whether a window is open.
    pub fn is_open(&self, at: Micros) -> bool {
        let is_frozen = self.freezes.iter().any(|freeze| freeze.start <= at && at < freeze.end);
        if is_frozen {
            return false;
        }
        self.windows.is_empty() || self.windows.iter().any(|window| window.is_open(at))
    }

    /// The next edge of a window or freeze: a window's within [`EDGE_SEARCH_SPAN`].
    fn next_edge(&self, at: Micros) -> Option<Micros> {
        let windows =
            self.windows.iter().flat_map(|window| window.intervals_between(at, at + EDGE_SEARCH_SPAN));
        let window_edges = windows.flat_map(|interval| [interval.start, interval.end]);
        let freeze_edges = self.freezes.iter().flat_map(|freeze| [freeze.start, freeze.end]);
        window_edges.chain(freeze_edges).filter(|edge| *edge > at).min()
    }

    /// The next moment at which the calendar opens or closes, before `until`.
    pub fn next_change(&self, at: Micros, until: Micros) -> Option<Micros> {
        let is_open = self.is_open(at);
        let mut edge = at;
        for _ in 0..MAX_EDGES {
            edge = self.next_edge(edge).filter(|edge| *edge < until)?;
            if self.is_open(edge) != is_open {
                return Some(edge);
            }
        }
        None
    }

    /// The first open moment from `at` on, before `until`.
    pub fn next_open(&self, at: Micros, until: Micros) -> Option<Micros> {
        if self.is_open(at) { Some(at) } else { self.next_change(at, until) }
    }

    /// When the calendar is open between two moments, in order.
    pub fn open_intervals(&self, from: Micros, to: Micros) -> Vec<OpenInterval> {
        let mut intervals = Vec::new();
        let mut at = from;
        while at < to && intervals.len() < MAX_EDGES {
            let Some(start) = self.next_open(at, to) else { break };
            let end = self.next_change(start, to).unwrap_or(to);
            intervals.push(OpenInterval { start, end });
            at = end;
        }
        intervals
    }

    /// How long the calendar is open between two moments.
    pub fn open_time(&self, from: Micros, to: Micros) -> Micros {
        self.open_intervals(from, to).iter().map(OpenInterval::duration).sum()
    }
}
