//! Updates of the endpoint list: one JSON line each, with all servers or those that changed.

use super::MAX_SERVERS;
use crate::json::{from_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use violetseam::interface::ServerId;

/// Sizes from this on are rejected.
const MAX_SIZE: f64 = 1e9;

/// Whether an update has all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    /// All servers.
    Full,
    /// The servers that changed since the version `base`.
    Delta,
}

/// A server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list; in deltas only.
    Gone,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id, the same at every proxy and after a restart.
    pub id: ServerId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The build it runs.
    pub build: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its zone's number.
    #[serde(default)]
    pub zone: u16,
    /// Its cell's number. The servers of a cell share which idempotency keys they have seen.
    #[serde(default)]
    pub cell: u16,
    /// Its capacity in relation to the other servers, above 0.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Microseconds from its latest start to when the update was written; none: it started long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_us: Option<u64>,
}

fn default_size() -> f64 {
    1.0
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Whether it has all servers.
    pub kind: UpdateKind,
    /// The list's version after the update; never decreases.
    pub version: u64,
    /// Of a delta: the version that it applies to.
    #[serde(default)]
    pub base: u64,
    /// The servers.
    pub servers: Vec<Endpoint>,
}

impl ListUpdate {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, lists a server twice, or a value is out of
    /// bounds.
    pub fn parse(line: &[u8]) -> Result<ListUpdate, MessageError> {
        let update: ListUpdate = from_json(MessageType::EndpointList, line)?;
        update.validate()?;
        Ok(update)
    }

    fn validate(&self) -> Result<(), MessageError> {
        if self.servers.len() > MAX_SERVERS {
            return Err(MessageError::TooManyServers);
        }
        let mut ids = BTreeSet::new();
        for endpoint in &self.servers {
            let size_is_valid = endpoint.size.is_finite() && endpoint.size > 0.0 && endpoint.size < MAX_SIZE;
            if !size_is_valid {
                return Err(MessageError::InvalidSize(endpoint.id));
            }
            if self.kind == UpdateKind::Full && endpoint.state == EndpointState::Gone {
                return Err(MessageError::RemovedInFullList(endpoint.id));
            }
            if !ids.insert(endpoint.id) {
                return Err(MessageError::DuplicateServer(endpoint.id));
            }
        }
        Ok(())
    }

    /// Serializes the update as one line, including the line end.
    pub fn write(&self) -> Vec<u8> {
        to_json_line(self)
    }
}
