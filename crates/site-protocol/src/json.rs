//! Functions that serialize and deserialize all JSON messages.

use crate::{MessageError, MessageType};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deserializes a message of the type `message`, which the error names.
pub(crate) fn from_json<T: DeserializeOwned>(message: MessageType, bytes: &[u8]) -> Result<T, MessageError> {
    serde_json::from_slice(bytes).map_err(|source| MessageError::InvalidJson { message, source })
}

/// Serializes a message. This cannot fail, because all messages of this package have a form in JSON.
pub(crate) fn to_json<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Serializes a message as one line, including the line end.
pub(crate) fn to_json_line<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    let mut line = to_json(message);
    line.push(b'\n');
    line
}
