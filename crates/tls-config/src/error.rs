//! Why a side's key files cannot be used.

use std::path::{Path, PathBuf};
use thiserror::Error;

const MINUTE_S: i64 = 60;
const HOUR_S: i64 = 3_600;
const DAY_S: i64 = 86_400;

/// Why a key file cannot be used. Each text starts with the file.
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
    /// A private key that others than its owner may read or write.
    #[error("{}: has mode {mode:04o}; a private key is its owner's alone: chmod 600", path.display())]
    PermissionsTooOpen {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file holds nothing of the kind that is expected.
    #[error("{}: holds no {kind} in PEM form", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        kind: PemKind,
    },
    /// An item of the file cannot be decoded as PEM.
    #[error("{}: no {kind}: {source}", path.display())]
    InvalidPem {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        kind: PemKind,
        /// What is wrong with the item.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate cannot be decoded.
    #[error("{}: no certificate: {source}", path.display())]
    InvalidCertificate {
        /// The file.
        path: PathBuf,
        /// What is wrong with the certificate.
        source: x509_parser::nom::Err<x509_parser::error::X509Error>,
    },
    /// An authority's certificate cannot be used as a trust anchor.
    #[error("{}: not usable: {source}", path.display())]
    UnusableAuthority {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: rustls::Error,
    },
    /// The authorities and revocation lists cannot be used to verify the other side.
    #[error("{}: not usable: {source}", path.display())]
    UnusableVerifier {
        /// The file of the authorities.
        path: PathBuf,
        /// Why not.
        source: rustls::server::VerifierBuilderError,
    },
    /// The cryptographic provider has no TLS 1.3.
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
        /// How long ago, in seconds.
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
        /// When it will be, in seconds from now.
        seconds_left: i64,
    },
    /// The private key is another certificate's, or of a kind that cannot be used.
    #[error("{}: the key does not fit the certificate: {source}", path.display())]
    KeyMismatch {
        /// The file of the key.
        path: PathBuf,
        /// What was found.
        source: rustls::Error,
    },
}

/// What a PEM file is expected to hold.
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
    /// Builds the error of a file that cannot be read.
    pub(crate) fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> KeyFileError {
        move |source| KeyFileError::Unreadable { path: path.to_owned(), source }
    }
}

/// A duration in the largest unit of which it has at least two.
fn describe_duration(seconds: i64) -> String {
    if seconds >= 2 * DAY_S {
        format!("{} days", seconds / DAY_S)
    } else if seconds >= 2 * HOUR_S {
        format!("{} hours", seconds / HOUR_S)
    } else if seconds >= 2 * MINUTE_S {
        format!("{} minutes", seconds / MINUTE_S)
    } else {
        format!("{seconds} seconds")
    }
}
