//! Reading fields off a frame; every read is checked.

use violetseam::interface::{Outcome, ServerId};

/// Why a batch cannot be read or played.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input ends within a record.
    #[error("record cut short: {wanted} bytes wanted, {left} left")]
    CutShort {
        /// Bytes that the field needs.
        wanted: usize,
        /// Bytes that are left.
        left: usize,
    },
    /// A field holds a value that has no meaning.
    #[error("unknown {field} {value}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// The value.
        value: u16,
    },
    /// A record of an instance comes before any record that names one.
    #[error("event before any context record")]
    NoContext,
    /// A list is named that was never sent.
    #[error("list {0} was never sent")]
    UnknownList(u8),
    /// An instance's settings do not read.
    #[error(transparent)]
    Settings(#[from] violetseam_instance_settings::SettingsError),
    /// Bytes are left after the last record.
    #[error("bytes left over after the last record")]
    TrailingBytes,
    /// The reply does not fit into a frame.
    #[error("reply too long")]
    ReplyTooLong,
}

/// Reads fields off a byte slice.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Starts at the front of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes }
    }

    /// Whether all has been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes `count` bytes.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer are left.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        if self.bytes.len() < count {
            return Err(WireError::CutShort { wanted: count, left: self.bytes.len() });
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

    /// One byte.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer bytes are left.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer bytes are left.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_le_bytes)
    }

    /// Four bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer bytes are left.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_le_bytes)
    }

    /// Eight bytes, little-endian.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer bytes are left.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_le_bytes)
    }

    /// A 32-bit float, little-endian.
    ///
    /// # Errors
    /// [`WireError::CutShort`] if fewer bytes are left.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        self.array().map(f32::from_le_bytes)
    }

    /// A server's address and port, which are its identity.
    pub(crate) fn server(&mut self) -> Result<ServerId, WireError> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(u64::from(address) << 16 | u64::from(port))
    }

    /// Skips a load report, which no decision uses.
    pub(crate) fn skip_load_report(&mut self) -> Result<(), WireError> {
        let figures = usize::from(self.u8()?);
        self.take(figures * 4)?;
        Ok(())
    }

    /// How an attempt, a health check or a vote ended.
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
