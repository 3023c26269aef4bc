//! Updates of the endpoint list. Each update is one JSON line with all servers, or with those that changed.

use super::MAX_SERVERS;
use crate::json::{from_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use violetseam::interface::ServerId;

/// A server's size must be below this value.
const SIZE_LIMIT: f64 = 1e9;

/// Whether an update has all servers, or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    /// The update has all servers.
    Full,
    /// The update has the servers that changed since the version `base`.
    Delta,
}

/// A server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server is removed from the list. This state is allowed in deltas only.
    Gone,
}

/// A server in an update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The server's id, which is the same at every proxy and after a restart.
    pub id: ServerId,
    /// The address on which the server listens.
    pub addr: SocketAddr,
    /// The build that the server runs.
    pub build: u16,
    /// The server's state.
    pub state: EndpointState,
    /// The number of the server's zone.
    #[serde(default)]
    pub zone: u16,
    /// The number of the server's cell. The servers of one cell share the idempotency keys that they have
    /// seen.
    #[serde(default)]
    pub cell: u16,
    /// The server's capacity in relation to the other servers; above 0.
    #[serde(default = "default_size")]
    pub size: f64,
    /// How long before the update was written the server last started, in microseconds. None means that it
    /// started long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_us: Option<u64>,
}

fn default_size() -> f64 {
    1.0
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Whether the update has all servers, or only those that changed.
    pub kind: UpdateKind,
    /// The version of the list after the update. Versions never decrease.
    pub version: u64,
    /// The version that a delta applies to. A full list does not use it.
    #[serde(default)]
    pub base: u64,
    /// The servers of the update.
    pub servers: Vec<Endpoint>,
}

impl ListUpdate {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, if it lists a server twice, or if a value is
    /// out of range.
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
            let size_is_valid =
                endpoint.size.is_finite() && endpoint.size > 0.0 && endpoint.size < SIZE_LIMIT;
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
