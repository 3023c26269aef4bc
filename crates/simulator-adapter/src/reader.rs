//! Reads fields from a frame. Every read is checked against the frame's end.

use violetseam::interface::{Outcome, ServerId};

/// Why a batch cannot be read or processed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The batch ends within a field of a record.
    #[error("record truncated: the next field needs {needed} bytes, {available} are left")]
    Truncated {
        /// The number of bytes that the field needs.
        needed: usize,
        /// The number of bytes that are left.
        available: usize,
    },
    /// A field has a value that the protocol does not define.
    #[error("unknown {field} {value}")]
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The value that was read.
        value: u16,
    },
    /// A record that is for an instance comes before any record that names an instance.
    #[error("a record for an instance comes before any record that names an instance")]
    NoInstance,
    /// A record names a server table that was not sent.
    #[error("server table {0} is used but was never sent")]
    UnknownServerTable(u8),
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] violetseam_instance_settings::SettingsError),
    /// The batch has bytes after its last record.
    #[error("the batch has bytes after its last record")]
    TrailingBytes,
    /// The reply is longer than the length field of a frame can state.
    #[error("the reply is too long for the length field of a frame")]
    ReplyTooLong,
}

/// Reads fields from the front of a byte slice.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Creates a reader that starts at the front of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes }
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer are left.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        if self.bytes.len() < count {
            return Err(WireError::Truncated { needed: count, available: self.bytes.len() });
        }
        let (head, tail) = self.bytes.split_at(count);
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    /// Reads one byte.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer bytes are left.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads two bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer bytes are left.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads four bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer bytes are left.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads eight bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer bytes are left.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a 32-bit float, little-endian.
    ///
    /// # Errors
    /// [`WireError::Truncated`] if fewer bytes are left.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        self.array().map(f32::from_le_bytes)
    }

    /// Reads a server's IPv4 address and port, which together are its id.
    pub(crate) fn server(&mut self) -> Result<ServerId, WireError> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(u64::from(address) << 16 | u64::from(port))
    }

    /// Skips the load figures that a server reports; the decision module does not use them.
    pub(crate) fn skip_load_figures(&mut self) -> Result<(), WireError> {
        let figure_count = usize::from(self.u8()?);
        self.take(figure_count * 4)?;
        Ok(())
    }

    /// Reads the outcome of an attempt, a health check or a vote.
    pub(crate) fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.u16()? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            other => return Err(WireError::UnknownValue { field: "outcome", value: other }),
        })
    }
}
