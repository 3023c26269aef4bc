//! The call with which a subscriber opens a watch, carried as a query.

use crate::message::{MAX_SUBSCRIBER_NAME_BYTES, ParseError, check_version};
use crate::version::{Term, Version};

/// A call for everything after the version known. Carried as the query of the watch's path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The subscriber's name.
    pub subscriber: String,
    /// The current version; none: nothing yet.
    pub known: Option<Version>,
    /// A snapshot not older than `known` is required even where deltas would lead on from it: the current
    /// configuration has proved to differ from what was published. `whole` in the query.
    pub snapshot_required: bool,
}

impl Subscribe {
    /// Writes the query of the watch's path: `subscriber=proxy-1&term=3&number=1402`, without term and
    /// number where nothing is known, and with `whole=true` where a snapshot is wanted.
    pub fn to_query(&self) -> String {
        let mut query = format!("subscriber={}", self.subscriber);
        if let Some(known) = self.known {
            query.push_str(&format!("&term={}&number={}", known.term, known.number));
        }
        if self.snapshot_required {
            query.push_str("&whole=true");
        }
        query
    }

    /// Parses the query of the watch's path.
    ///
    /// # Errors
    /// A field is missing, repeated, unknown or malformed.
    pub fn from_query(query: &str) -> Result<Subscribe, ParseError> {
        let mut subscriber = None;
        let mut term = None;
        let mut number = None;
        let mut whole = None;
        for field in query.split('&') {
            let (name, value) = field.split_once('=').ok_or(ParseError::InvalidQuery)?;
            let slot = match name {
                "subscriber" => &mut subscriber,
                "term" => &mut term,
                "number" => &mut number,
                "whole" => &mut whole,
                _ => return Err(ParseError::InvalidQuery),
            };
            if slot.replace(value).is_some() {
                return Err(ParseError::InvalidQuery);
            }
        }
        let subscriber = subscriber.ok_or(ParseError::InvalidQuery)?.to_owned();
        validate_subscriber_name(&subscriber)?;
        let known = match (term, number) {
            (None, None) => None,
            (Some(term), Some(number)) => {
                Some(Version::new(Term(read_integer(term)?), read_integer(number)?))
            }
            _ => return Err(ParseError::InvalidQuery),
        };
        known.map_or(Ok(()), check_version)?;
        let snapshot_required = match whole {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(ParseError::InvalidQuery),
        };
        Ok(Subscribe { subscriber, known, snapshot_required })
    }
}

/// Checks a subscriber's name.
///
/// # Errors
/// The name is empty, too long, or holds another character.
pub fn validate_subscriber_name(name: &str) -> Result<(), ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_SUBSCRIBER_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(ParseError::InvalidSubscriberName);
    }
    Ok(())
}

fn read_integer(text: &str) -> Result<u64, ParseError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::InvalidQuery);
    }
    text.parse().map_err(|_| ParseError::InvalidQuery)
}
