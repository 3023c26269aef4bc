//! Reads and checks the key files of one side.

use crate::error::{KeyFileError, PemKind};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use x509_parser::prelude::{FromDer, X509Certificate};

/// The permission bits of a file, without those of its type.
const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of the group and of everybody else.
const GROUP_AND_OTHERS: u32 = 0o077;

/// The files of one side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Its certificate, followed by the intermediate ones, if any.
    pub cert: PathBuf,
    /// The certificate's private key; only its owner may read it.
    pub key: PathBuf,
    /// The authorities that the other side's certificate may come from.
    pub trusted: PathBuf,
    /// Lists of revoked certificates.
    pub revoked: Option<PathBuf>,
}

/// What the files of one side hold.
pub(crate) struct Credentials {
    /// The certificate and the intermediate ones.
    pub chain: Vec<CertificateDer<'static>>,
    pub key: PrivateKeyDer<'static>,
    /// The trusted authorities.
    pub roots: RootCertStore,
    /// When the first certificate of the chain expires, in seconds since 1970.
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

    /// Reads the lists of revoked certificates; none if no file is given.
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

/// Reads the authorities. One of them may be out of date, as a change of authorities has both for a while, but not all.
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

/// All items of one kind in a PEM file, at least one.
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

/// Checks that only its owner may read or write a file.
fn check_permissions(path: &Path) -> Result<(), KeyFileError> {
    let metadata = std::fs::metadata(path).map_err(KeyFileError::unreadable(path))?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & GROUP_AND_OTHERS != 0 {
        return Err(KeyFileError::PermissionsTooOpen { path: path.to_owned(), mode });
    }
    Ok(())
}

/// Checks that a certificate is valid now: when it expires, in seconds since 1970.
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
