//! Header fields that carry what the decisions look at, and bounds of connections.

use crate::sections::{ConnectionLimits, HeaderNames};
use crate::settings::{Connections, Headers};
use http::HeaderName;
use violetseam_starlark_config::{Placed, ScriptError};

pub(super) fn check_headers(names: Option<&Placed<HeaderNames>>) -> Result<Headers, ScriptError> {
    let is = names.map(|n| n.is.clone()).unwrap_or_default();
    let read = |text: &str| {
        HeaderName::from_bytes(text.as_bytes()).map_err(|_| {
            let at = names.map_or("headers", |n| n.at.as_str());
            ScriptError::invalid(at, format!("headers: {text:?} is no field name"))
        })
    };
    let headers = Headers {
        key: read(&is.key)?,
        tenant: read(&is.tenant)?,
        cost: read(&is.cost)?,
        deadline: read(&is.deadline)?,
        retry: read(&is.retry)?,
        not_run: read(&is.not_run)?,
        answer: read(&is.answer)?,
    };
    let all = [&headers.key, &headers.tenant, &headers.cost, &headers.deadline, &headers.retry];
    if let (Some(n), true) = (names, (1..all.len()).any(|i| all[..i].contains(&all[i]))) {
        return n.fault("headers: one field for two purposes");
    }
    Ok(headers)
}

pub(super) fn check_connections(
    section: Option<&Placed<ConnectionLimits>>,
) -> Result<Connections, ScriptError> {
    let is = section.map(|c| c.is.clone()).unwrap_or_default();
    if let Some(c) = section {
        let spans = [is.head_timeout, is.body_timeout, is.client_idle, is.server_idle, is.stream_idle];
        if spans.iter().chain([&is.connect_timeout]).any(|s| s.0 < 1_000) {
            return c.fault("connections: a time-out under 1ms");
        }
        if is.max_head < 256 || is.max_head > 1 << 20 || is.max_fields == 0 || is.max_fields > 128 {
            return c.fault("connections: max_head is 256 bytes to 1 MiB, max_fields 1 to 128");
        }
        if is.keep_body as u64 > is.max_body {
            return c.fault("connections: keep_body is over max_body");
        }
        if is.max_clients == 0 || !is.flag_path.starts_with('/') {
            return c.fault("connections: max_clients is 1 or more, flag_path starts with /");
        }
    }
    Ok(Connections {
        max_head: is.max_head,
        max_fields: is.max_fields,
        max_body: is.max_body,
        keep_body: is.keep_body,
        keep_answer: is.keep_answer,
        head_timeout: is.head_timeout.0,
        body_timeout: is.body_timeout.0,
        client_idle: is.client_idle.0,
        server_idle: is.server_idle.0,
        stream_idle: is.stream_idle.0,
        connect_timeout: is.connect_timeout.0,
        idle_per_server: is.idle_per_server,
        max_clients: is.max_clients,
        half_close: is.half_close,
        flag_path: is.flag_path,
    })
}
