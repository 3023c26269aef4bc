//! The errors on reading and checking the key files of a daemon or an operator.

use std::path::{Path, PathBuf};
use thiserror::Error;

const SECONDS_PER_MINUTE: i64 = 60;
const SECONDS_PER_HOUR: i64 = 3_600;
const SECONDS_PER_DAY: i64 = 86_400;

/// Why a key file cannot be used. Each message starts with the path of the file.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The permissions of a private key allow access to others than its owner.
    #[error("{}: has mode {mode:04o}; a private key is its owner's alone: chmod 600", path.display())]
    PermissionsTooOpen {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file has no item of the expected kind.
    #[error("{}: holds no {kind} in PEM form", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
        /// What the file should contain.
        kind: PemKind,
    },
    /// An item of the file is not valid PEM.
    #[error("{}: no {kind}: {source}", path.display())]
    InvalidPem {
        /// The file.
        path: PathBuf,
        /// What the file should contain.
        kind: PemKind,
        /// What is wrong with the item.
        source: rustls::pki_types::pem::Error,
    },
    /// The file has a certificate that cannot be decoded.
    #[error("{}: no certificate: {source}", path.display())]
    InvalidCertificate {
        /// The file.
        path: PathBuf,
        /// What is wrong with the certificate.
        source: x509_parser::nom::Err<x509_parser::error::X509Error>,
    },
    /// A certificate of an authority cannot be used as a trust anchor.
    #[error("{}: not usable: {source}", path.display())]
    UnusableAuthority {
        /// The file.
        path: PathBuf,
        /// Why the certificate cannot be used.
        source: rustls::Error,
    },
    /// The certificates of the authorities, or the revocation lists, cannot be used to verify the other side.
    #[error("{}: not usable: {source}", path.display())]
    UnusableVerifier {
        /// The file of the authorities.
        path: PathBuf,
        /// Why they cannot be used.
        source: rustls::server::VerifierBuilderError,
    },
    /// The cryptographic provider does not support TLS 1.3.
    #[error("{}: {source}", path.display())]
    UnsupportedProtocol {
        /// The file of the certificate that the settings are for.
        path: PathBuf,
        /// The provider's error.
        source: rustls::Error,
    },
    /// A certificate has expired.
    #[error("{}: the certificate expired {} ago", path.display(), describe_duration(*seconds_ago))]
    Expired {
        /// The file.
        path: PathBuf,
        /// How long ago the certificate expired, in seconds.
        seconds_ago: i64,
    },
    /// A certificate is not valid yet.
    #[error(
        "{}: the certificate is not valid for another {}",
        path.display(),
        describe_duration(*seconds_left)
    )]
    NotYetValid {
        /// The file.
        path: PathBuf,
        /// The time until the certificate becomes valid, in seconds.
        seconds_left: i64,
    },
    /// The private key belongs to another certificate, or is of an unsupported kind.
    #[error("{}: the key does not fit the certificate: {source}", path.display())]
    KeyMismatch {
        /// The file of the key.
        path: PathBuf,
        /// What is wrong with the key.
        source: rustls::Error,
    },
}

/// The kind of items that a PEM file is expected to contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PemKind {
    /// One or more certificates.
    #[error("certificate")]
    Certificate,
    /// A private key.
    #[error("private key")]
    PrivateKey,
    /// One or more certificate revocation lists.
    #[error("revocation list")]
    RevocationList,
}

impl KeyFileError {
    /// Returns a function that builds the error for a file that cannot be read.
    pub(crate) fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> KeyFileError {
        move |source| KeyFileError::Unreadable { path: path.to_owned(), source }
    }
}

/// Formats a duration in the largest unit of which it has at least two.
fn describe_duration(seconds: i64) -> String {
    if seconds >= 2 * SECONDS_PER_DAY {
        format!("{} days", seconds / SECONDS_PER_DAY)
    } else if seconds >= 2 * SECONDS_PER_HOUR {
        format!("{} hours", seconds / SECONDS_PER_HOUR)
    } else if seconds >= 2 * SECONDS_PER_MINUTE {
        format!("{} minutes", seconds / SECONDS_PER_MINUTE)
    } else {
        format!("{seconds} seconds")
    }
}
