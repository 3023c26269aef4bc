//! Sections for the names of header fields and the limits of connections.

use serde::Deserialize;
use violetseam_starlark_config::ScriptDuration;

/// `headers(...)`: the names of the header fields that the proxy reads or writes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct HeadersSection {
    /// Field with the idempotency key.
    pub key: String,
    pub tenant: String,
    pub cost: String,
    pub deadline: String,
    pub retry: String,
    /// Response field of a server that did not process the request.
    pub not_run: String,
    /// Response field with the id of the response.
    pub answer: String,
}

impl Default for HeadersSection {
    fn default() -> Self {
        HeadersSection {
            key: "idempotency-key".into(),
            tenant: "x-tenant".into(),
            cost: "x-cost-us".into(),
            deadline: "request-timeout-ms".into(),
            retry: "x-retry".into(),
            not_run: "x-not-run".into(),
            answer: "answer-id".into(),
        }
    }
}

/// How the proxy treats a client that has closed the sending side of its connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub enum HalfClose {
    /// Treats the client as gone and cancels its request, because a completely closed socket cannot be told
    /// apart from a half-closed one until it is written to.
    #[default]
    #[serde(rename = "gone")]
    Cancel,
    /// Assumes that the client still reads, and sends it the response.
    #[serde(rename = "serve")]
    Serve,
}

/// `connections(...)`: limits and time-outs of connections. Sizes are in bytes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ConnectionsSection {
    pub max_head: usize,
    pub max_fields: usize,
    pub max_body: u64,
    /// Maximum size of a request body that is retained for a further attempt.
    pub keep_body: usize,
    /// Maximum size of a response that is received completely before it is forwarded.
    pub keep_answer: usize,
    pub head_timeout: ScriptDuration,
    pub body_timeout: ScriptDuration,
    pub client_idle: ScriptDuration,
    pub server_idle: ScriptDuration,
    pub stream_idle: ScriptDuration,
    pub connect_timeout: ScriptDuration,
    pub idle_per_server: usize,
    pub max_clients: usize,
    /// Maximum memory that all clients together make the proxy hold.
    pub client_memory: usize,
    pub half_close: HalfClose,
    /// Request path at which clients report wrong responses.
    pub flag_path: String,
}

impl Default for ConnectionsSection {
    fn default() -> Self {
        ConnectionsSection {
            max_head: 16 * 1024,
            max_fields: 100,
            max_body: 8 << 20,
            keep_body: 64 * 1024,
            keep_answer: 256 * 1024,
            head_timeout: ScriptDuration::from_secs(10),
            body_timeout: ScriptDuration::from_secs(30),
            client_idle: ScriptDuration::from_secs(60),
            server_idle: ScriptDuration::from_secs(15),
            stream_idle: ScriptDuration::from_secs(30),
            connect_timeout: ScriptDuration::from_millis(250),
            idle_per_server: 64,
            max_clients: 200_000,
            client_memory: 256 << 20,
            half_close: HalfClose::Cancel,
            flag_path: "/.well-known/wrong-answer".into(),
        }
    }
}
