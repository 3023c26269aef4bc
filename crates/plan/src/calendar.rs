//! The times at which a release may proceed: weekly windows, each in its time zone, minus freezes.
//!
//! A window opens at the first moment at which local clocks show its start time, or have been set forward
//! past it. It closes at the first moment at which they show its end time, or have been set forward past it.
//! Consequences for the days on which clocks change:
//!
//! - On a day with a repeated hour, a window opens only once. It includes both passes of the repeated hour if
//!   its start and its end are outside of that hour.
//! - A window that lies entirely in a skipped hour does not open on that day.
//!
//! Time zones come from `jiff`. Its database is compiled in, so that a plan has the same meaning on a machine
//! without a time zone database.

use crate::Micros;
use jiff::civil::{Date, DateTime, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

/// A weekly window in which a release may proceed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Weekdays on which the window opens; Monday is 0.
    pub days: Vec<u8>,
    /// Opening time, in minutes since midnight.
    pub start: u16,
    /// Closing time, in minutes since midnight. If it is not after `start`, the window closes on the next
    /// day.
    pub end: u16,
    /// IANA name of the window's time zone.
    pub zone: String,
}

/// A period in which no window is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// Start of the freeze.
    pub start: Micros,
    /// End of the freeze, exclusive.
    pub end: Micros,
    /// Reason for the freeze, as a text for operators.
    pub reason: String,
}

/// The windows and freezes of a plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calendar {
    /// The windows. Without any, the calendar is open except during freezes.
    pub windows: Vec<Window>,
    /// The periods in which no window is open.
    pub freezes: Vec<Freeze>,
}

/// A period in which a window or the calendar is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenInterval {
    /// Start of the interval.
    pub start: Micros,
    /// End of the interval, exclusive.
    pub end: Micros,
}

impl OpenInterval {
    /// Returns whether the interval contains this moment.
    pub fn contains(&self, at: Micros) -> bool {
        self.start <= at && at < self.end
    }

    /// Returns the length of the interval.
    pub fn duration(&self) -> Micros {
        self.end - self.start
    }
}

/// Maximum number of edges of windows and freezes that one query examines. Windows repeat weekly, so that far
/// fewer are ever needed.
const MAX_EDGES: usize = 20_000;
const DAY: Micros = 86_400_000_000;
/// Time span in which the next edge of a window is searched. It is longer than a week, after which windows
/// repeat.
const EDGE_SEARCH_SPAN: Micros = 9 * DAY;
const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;

/// Returns the first moment at which the clocks of a time zone show a local time such as `2026-12-01T08:00`,
/// or have been set forward past it. `zone_name` is the IANA name of the zone. Returns `None` if the time or
/// the zone is not valid.
pub fn moment_of(time: &str, zone_name: &str) -> Option<Micros> {
    first_moment(&time_zone(zone_name)?, time.parse().ok()?)
}

/// Returns the time zone with this IANA name.
pub(crate) fn time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// Returns the first moment at which the clocks of a zone show a local time, or have been set forward past
/// it.
fn first_moment(zone: &TimeZone, time: DateTime) -> Option<Micros> {
    let ambiguous = zone.to_ambiguous_timestamp(time);
    let moment = match ambiguous.offset() {
        AmbiguousOffset::Gap { .. } => {
            // The clocks never show this time. Its two interpretations, with the UTC offset before and after
            // the transition, lie on either side of the transition.
            let before = ambiguous.earlier().ok()?;
            zone.following(before).next().map_or(before, |jump| jump.timestamp())
        }
        AmbiguousOffset::Unambiguous { .. } | AmbiguousOffset::Fold { .. } => ambiguous.earlier().ok()?,
    };
    u64::try_from(moment.as_microsecond()).ok()
}

/// Returns the first moment at which the clocks of a zone show a time of day, in minutes since midnight, on a
/// date. 24:00 is midnight of the next day.
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
    /// Returns the interval of the window that starts on this date, if there is one.
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

    /// Returns the intervals of the window that overlap the time between two moments.
    fn intervals_between(&self, from: Micros, to: Micros) -> Vec<OpenInterval> {
        let Some(zone) = time_zone(&self.zone) else { return Vec::new() };
        // A window that opened on the previous day may still be open.
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
    /// Returns whether the calendar is open: a window is open, or there are none, and there is no freeze.
    pub fn is_open(&self, at: Micros) -> bool {
        let is_frozen = self.freezes.iter().any(|freeze| freeze.start <= at && at < freeze.end);
        if is_frozen {
            return false;
        }
        self.windows.is_empty() || self.windows.iter().any(|window| window.is_open(at))
    }

    /// Returns the next start or end of a window or a freeze. Windows are only searched within
    /// [`EDGE_SEARCH_SPAN`].
    fn next_edge(&self, at: Micros) -> Option<Micros> {
        let windows =
            self.windows.iter().flat_map(|window| window.intervals_between(at, at + EDGE_SEARCH_SPAN));
        let window_edges = windows.flat_map(|interval| [interval.start, interval.end]);
        let freeze_edges = self.freezes.iter().flat_map(|freeze| [freeze.start, freeze.end]);
        window_edges.chain(freeze_edges).filter(|edge| *edge > at).min()
    }

    /// Returns the next moment after `at` and before `until` at which the calendar opens or closes.
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

    /// Returns `at` if the calendar is open then, and otherwise the next moment before `until` at which it
    /// opens.
    pub fn next_open(&self, at: Micros, until: Micros) -> Option<Micros> {
        if self.is_open(at) { Some(at) } else { self.next_change(at, until) }
    }

    /// Returns the intervals in which the calendar is open between two moments, in order.
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

    /// Returns the total time for which the calendar is open between two moments.
    pub fn open_time(&self, from: Micros, to: Micros) -> Micros {
        self.open_intervals(from, to).iter().map(OpenInterval::duration).sum()
    }
}
