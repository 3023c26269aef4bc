//! Validation of the names of header fields and the limits of connections.

use super::value_or_default;
use crate::sections::{ConnectionsSection, HeadersSection};
use crate::settings::{ConnectionLimits, HeaderNames};
use http::HeaderName;
use std::ops::RangeInclusive;
use violetseam_starlark_config::{Located, ScriptDuration, ScriptError};

/// Minimum of each time-out of a connection.
const MIN_TIMEOUT: ScriptDuration = ScriptDuration::from_millis(1);
/// Permitted values of `max_head`, the maximum size of a request head in bytes.
const MAX_HEAD_BOUNDS: RangeInclusive<usize> = 256..=1 << 20;
/// Permitted values of `max_fields`, the maximum number of header fields of a request.
const MAX_FIELDS_BOUNDS: RangeInclusive<usize> = 1..=128;

/// Validates and returns the names of the header fields. Without a section, these are the default names.
///
/// # Errors
///
/// A name is not a valid HTTP field name, or the same name is configured for two request fields.
pub(super) fn check_headers(section: Option<&Located<HeadersSection>>) -> Result<HeaderNames, ScriptError> {
    let configured_names = value_or_default(section);
    let location = section.map_or("headers", |section| section.location.as_str());
    let parse = |text: &str| {
        HeaderName::from_bytes(text.as_bytes())
            .map_err(|_| ScriptError::invalid(location, format!("headers: {text:?} is no field name")))
    };
    let names = HeaderNames {
        idempotency_key: parse(&configured_names.key)?,
        tenant: parse(&configured_names.tenant)?,
        cost: parse(&configured_names.cost)?,
        deadline: parse(&configured_names.deadline)?,
        retry: parse(&configured_names.retry)?,
        not_processed: parse(&configured_names.not_run)?,
        response_id: parse(&configured_names.answer)?,
    };
    match section {
        Some(section) if has_duplicate_request_field(&names) => {
            section.reject("headers: one field for two purposes")
        }
        _ => Ok(names),
    }
}

fn has_duplicate_request_field(names: &HeaderNames) -> bool {
    let request_fields = [&names.idempotency_key, &names.tenant, &names.cost, &names.deadline, &names.retry];
    let is_repeated = |index: usize| request_fields[..index].contains(&request_fields[index]);
    (1..request_fields.len()).any(is_repeated)
}

/// Validates and returns the limits of connections. Without a section, these are the default limits.
///
/// # Errors
///
/// The section sets a limit that is too low or too high.
pub(super) fn check_connections(
    section: Option<&Located<ConnectionsSection>>,
) -> Result<ConnectionLimits, ScriptError> {
    if let Some(section) = section {
        check_connection_bounds(section)?;
    }
    Ok(connection_limits(value_or_default(section)))
}

fn check_connection_bounds(section: &Located<ConnectionsSection>) -> Result<(), ScriptError> {
    let limits = &section.value;
    let timeouts = [
        limits.head_timeout,
        limits.body_timeout,
        limits.client_idle,
        limits.server_idle,
        limits.stream_idle,
        limits.connect_timeout,
    ];
    if timeouts.iter().any(|timeout| *timeout < MIN_TIMEOUT) {
        return section.reject("connections: a time-out under 1ms");
    }
    if !MAX_HEAD_BOUNDS.contains(&limits.max_head) || !MAX_FIELDS_BOUNDS.contains(&limits.max_fields) {
        return section.reject("connections: max_head is 256 bytes to 1 MiB, max_fields 1 to 128");
    }
    if limits.keep_body as u64 > limits.max_body {
        return section.reject("connections: keep_body is over max_body");
    }
    if limits.client_memory < limits.max_head + limits.keep_body {
        return section.reject("connections: client_memory holds at least one max_head and one keep_body");
    }
    if limits.max_clients == 0 || !limits.flag_path.starts_with('/') {
        return section.reject("connections: max_clients is 1 or more, flag_path starts with /");
    }
    Ok(())
}

fn connection_limits(section: ConnectionsSection) -> ConnectionLimits {
    ConnectionLimits {
        max_head_bytes: section.max_head,
        max_header_fields: section.max_fields,
        max_body_bytes: section.max_body,
        max_retained_body_bytes: section.keep_body,
        max_buffered_response_bytes: section.keep_answer,
        head_timeout: section.head_timeout.as_micros(),
        body_timeout: section.body_timeout.as_micros(),
        client_idle_timeout: section.client_idle.as_micros(),
        server_idle_timeout: section.server_idle.as_micros(),
        stream_idle_timeout: section.stream_idle.as_micros(),
        connect_timeout: section.connect_timeout.as_micros(),
        max_idle_per_server: section.idle_per_server,
        max_clients: section.max_clients,
        max_client_memory_bytes: section.client_memory,
        half_close: section.half_close,
        wrong_answer_path: section.flag_path,
    }
}
