//! Reads and checks the key files of a daemon or an operator.

use crate::error::{KeyFileError, PemKind};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use x509_parser::prelude::{FromDer, X509Certificate};

/// The read, write and execute bits of a file mode.
const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of the file's group and of all other users.
const GROUP_AND_OTHERS_BITS: u32 = 0o077;

/// The key files of one side, which is a daemon or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// The side's certificate, followed by the intermediate certificates, if any.
    pub cert: PathBuf,
    /// The private key of the certificate. Only the file's owner may have access to it.
    pub key: PathBuf,
    /// The certificates of the authorities that may have issued the other side's certificate.
    pub trusted: PathBuf,
    /// The certificate revocation lists, if there are any.
    pub revoked: Option<PathBuf>,
}

/// The contents of the key files of one side.
pub(crate) struct Credentials {
    /// The side's certificate, followed by the intermediate certificates.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key of the certificate.
    pub key: PrivateKeyDer<'static>,
    /// The trusted authorities.
    pub roots: RootCertStore,
    /// The earliest expiry of all certificates in the chain, in seconds since 1970.
    pub expires_at_s: i64,
}

impl KeyFiles {
    /// Reads and checks the certificate, the key and the authorities.
    pub(crate) fn load(&self, now_s: i64) -> Result<Credentials, KeyFileError> {
        let chain = read_certificates(&self.cert)?;
        let mut expires_at_s = i64::MAX;
        for cert in &chain {
            expires_at_s = expires_at_s.min(check_validity(&self.cert, cert, now_s)?);
        }
        let key = read_private_key(&self.key)?;
        let roots = read_authorities(&self.trusted, now_s)?;
        Ok(Credentials { chain, key, roots, expires_at_s })
    }

    /// Reads the certificate revocation lists. Returns an empty list if no file is given.
    pub(crate) fn load_revocation_lists(
        &self,
    ) -> Result<Vec<CertificateRevocationListDer<'static>>, KeyFileError> {
        match &self.revoked {
            Some(path) => read_pem_items(path, PemKind::RevocationList),
            None => Ok(Vec::new()),
        }
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyFileError> {
    read_pem_items(path, PemKind::Certificate)
}

fn read_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, KeyFileError> {
    let kind = PemKind::PrivateKey;
    let bytes = read_file(path)?;
    check_permissions(path)?;
    PrivateKeyDer::from_pem_slice(&bytes).map_err(|error| match error {
        rustls::pki_types::pem::Error::NoItemsFound => KeyFileError::Empty { path: path.to_owned(), kind },
        source => KeyFileError::InvalidPem { path: path.to_owned(), kind, source },
    })
}

/// Reads the certificates of the authorities. Some of them may be expired or not valid yet, but not all:
/// while one authority replaces another, the file has the certificates of both.
fn read_authorities(path: &Path, now_s: i64) -> Result<RootCertStore, KeyFileError> {
    let authorities = read_certificates(path)?;
    let mut first_error = None;
    let mut any_valid = false;
    for cert in &authorities {
        match check_validity(path, cert, now_s) {
            Ok(_) => any_valid = true,
            Err(error) => first_error = first_error.or(Some(error)),
        }
    }
    if let Some(error) = first_error.filter(|_| !any_valid) {
        return Err(error);
    }
    let mut roots = RootCertStore::empty();
    for cert in authorities {
        roots
            .add(cert)
            .map_err(|source| KeyFileError::UnusableAuthority { path: path.to_owned(), source })?;
    }
    Ok(roots)
}

/// Reads all items of one kind from a PEM file, which must have at least one.
fn read_pem_items<T: PemObject>(path: &Path, kind: PemKind) -> Result<Vec<T>, KeyFileError> {
    let bytes = read_file(path)?;
    let items = T::pem_slice_iter(&bytes)
        .collect::<Result<Vec<T>, _>>()
        .map_err(|source| KeyFileError::InvalidPem { path: path.to_owned(), kind, source })?;
    if items.is_empty() {
        return Err(KeyFileError::Empty { path: path.to_owned(), kind });
    }
    Ok(items)
}

fn read_file(path: &Path) -> Result<Vec<u8>, KeyFileError> {
    std::fs::read(path).map_err(KeyFileError::unreadable(path))
}

/// Checks that only the owner of a file has access to it.
fn check_permissions(path: &Path) -> Result<(), KeyFileError> {
    let metadata = std::fs::metadata(path).map_err(KeyFileError::unreadable(path))?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & GROUP_AND_OTHERS_BITS != 0 {
        return Err(KeyFileError::PermissionsTooOpen { path: path.to_owned(), mode });
    }
    Ok(())
}

/// Checks that a certificate is valid now. Returns when it expires, in seconds since 1970.
fn check_validity(path: &Path, cert: &CertificateDer<'_>, now_s: i64) -> Result<i64, KeyFileError> {
    let (_, cert) = X509Certificate::from_der(cert)
        .map_err(|source| KeyFileError::InvalidCertificate { path: path.to_owned(), source })?;
    let not_before_s = cert.validity().not_before.timestamp();
    let not_after_s = cert.validity().not_after.timestamp();
    if now_s > not_after_s {
        return Err(KeyFileError::Expired { path: path.to_owned(), seconds_ago: now_s - not_after_s });
    }
    if now_s < not_before_s {
        return Err(KeyFileError::NotYetValid { path: path.to_owned(), seconds_left: not_before_s - now_s });
    }
    Ok(not_after_s)
}
