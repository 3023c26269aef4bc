//! The request with which a subscriber opens a watch. It is sent as the query of the watch's URL.

use crate::message::{MAX_SUBSCRIBER_NAME_BYTES, ParseError, check_version};
use crate::version::{Term, Version};

/// A request for all updates after the version that the subscriber has. It is sent as the query of the
/// watch's URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The subscriber's name.
    pub subscriber: String,
    /// The version in force at the subscriber, or `None` if it has no configuration yet.
    pub known: Option<Version>,
    /// Whether a snapshot at least as new as `known` is required, even if deltas lead on from `known`. Set
    /// when the subscriber cannot reach the newest version by deltas, for example because its configuration
    /// differs from the published one. The query field is named `whole`.
    pub snapshot_required: bool,
}

impl Subscribe {
    /// Encodes the request as a query such as `subscriber=proxy-1&term=3&number=1402`. The fields `term` and
    /// `number` are left out if `known` is `None`; `whole=true` is added if a snapshot is required.
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

    /// Parses the query of the watch's URL.
    ///
    /// # Errors
    /// Returns an error if a field is missing, repeated, unknown or malformed.
    pub fn from_query(query: &str) -> Result<Subscribe, ParseError> {
        let mut subscriber = None;
        let mut term = None;
        let mut number = None;
        let mut whole = None;
        for field in query.split('&') {
            let (name, value) = field.split_once('=').ok_or(ParseError::InvalidQuery)?;
            let target = match name {
                "subscriber" => &mut subscriber,
                "term" => &mut term,
                "number" => &mut number,
                "whole" => &mut whole,
                _ => return Err(ParseError::InvalidQuery),
            };
            if target.replace(value).is_some() {
                return Err(ParseError::InvalidQuery);
            }
        }
        let subscriber = subscriber.ok_or(ParseError::InvalidQuery)?.to_owned();
        validate_subscriber_name(&subscriber)?;
        let known = match (term, number) {
            (None, None) => None,
            (Some(term), Some(number)) => {
                Some(Version::new(Term(parse_integer(term)?), parse_integer(number)?))
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
/// Returns an error if the name is empty, is too long, or contains a character that is not allowed.
pub fn validate_subscriber_name(name: &str) -> Result<(), ParseError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_SUBSCRIBER_NAME_BYTES || !name.bytes().all(is_allowed) {
        return Err(ParseError::InvalidSubscriberName);
    }
    Ok(())
}

fn parse_integer(text: &str) -> Result<u64, ParseError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::InvalidQuery);
    }
    text.parse().map_err(|_| ParseError::InvalidQuery)
}
