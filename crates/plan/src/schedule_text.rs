//! Parses the weekdays and times of the windows and freezes of a script.

use crate::calendar::{Freeze, Window, moment_of, time_zone};
use crate::sections::{FreezeSection, WindowSection};
use std::collections::BTreeSet;
use violetseam_starlark_config::{Located, ScriptError};

/// The names of weekdays in scripts. The index is the weekday's number; Monday is 0.
const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;

/// Converts a section to a window.
///
/// # Errors
///
/// The days, the times or the time zone are not valid, or the window opens and closes at the same time.
pub(crate) fn parse_window(section: &Located<WindowSection>) -> Result<Window, ScriptError> {
    let WindowSection { days, start, end, zone } = &section.value;
    let Some(weekdays) = parse_weekdays(days) else {
        return section.reject(format!("window: {days:?} are no days: mon-fri, or sat,sun"));
    };
    let (Some(start), Some(end)) = (parse_time_of_day(start), parse_time_of_day(end)) else {
        return section.reject("window: times are HH:MM, from 00:00 to 24:00");
    };
    if start == end || start >= MINUTES_PER_DAY {
        return section.reject("window: opens before 24:00, and closes at another time than it opens");
    }
    if time_zone(zone).is_none() {
        return section.reject(format!("window: no time zone {zone:?}"));
    }
    Ok(Window { days: weekdays, start, end, zone: zone.clone() })
}

/// Converts a section to a freeze.
///
/// # Errors
///
/// The times or the time zone are not valid, or the freeze does not end after its start.
pub(crate) fn parse_freeze(section: &Located<FreezeSection>) -> Result<Freeze, ScriptError> {
    let FreezeSection { start, end, zone, reason } = &section.value;
    if time_zone(zone).is_none() {
        return section.reject(format!("freeze: no time zone {zone:?}"));
    }
    let (Some(start), Some(end)) = (moment_of(start, zone), moment_of(end, zone)) else {
        return section.reject("freeze: moments are YYYY-MM-DDTHH:MM, by the clocks of its zone");
    };
    if end <= start {
        return section.reject("freeze: ends before it begins");
    }
    Ok(Freeze { start, end, reason: reason.clone() })
}

/// Parses the numbers of weekdays from a text such as `mon-fri`, `sat,sun` or `mon-wed,fri`. A range may wrap
/// round the end of the week.
fn parse_weekdays(text: &str) -> Option<Vec<u8>> {
    let mut weekdays = BTreeSet::new();
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let last = parse_weekday(last)?;
        let mut weekday = parse_weekday(first)?;
        weekdays.insert(weekday);
        while weekday != last {
            weekday = (weekday + 1) % WEEKDAYS.len() as u8;
            weekdays.insert(weekday);
        }
    }
    Some(weekdays.into_iter().collect())
}

fn parse_weekday(name: &str) -> Option<u8> {
    let number = WEEKDAYS.iter().position(|weekday| *weekday == name.trim())?;
    Some(number as u8)
}

/// Parses a time of day such as `07:30`, up to `24:00`, and returns it in minutes since midnight.
fn parse_time_of_day(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let hours = parse_two_digits(hours)?;
    let minutes = parse_two_digits(minutes)?;
    let total = hours * MINUTES_PER_HOUR + minutes;
    (minutes < MINUTES_PER_HOUR && total <= MINUTES_PER_DAY).then_some(total)
}

fn parse_two_digits(text: &str) -> Option<u16> {
    let is_two_digits = text.len() == 2 && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_two_digits { text.parse().ok() } else { None }
}
