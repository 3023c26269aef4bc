//! Keys and certificates of daemons and operators: read and checked before anything is bound, and made into
//! TLS 1.3 settings that accept nobody without a certificate.
//!
//! Both sides have three files in PEM form: their certificate (with its chain), its private key, and the
//! certificates of the authorities that they trust. What is wrong with a file is said in plain words, since
//! TLS itself tells an operator no more than that a handshake failed.
//!
//! `rustls` with `ring`: no C library to keep in step, and a state machine without I/O, which is what the
//! event loop needs. `x509-parser` reads the dates and names that `rustls` does not show.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Seconds before its end from which on a certificate's end is worth a warning: two weeks.
pub const ENDS_SOON_S: i64 = 14 * 86_400;

/// The files of one side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Its certificate, followed by those in between, if any.
    pub cert: PathBuf,
    /// The certificate's private key; nobody but its owner may read it.
    pub key: PathBuf,
    /// The authorities whose certificates the other side may show.
    pub trusted: PathBuf,
    /// Lists of certificates that are no longer accepted.
    pub revoked: Option<PathBuf>,
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It cannot be read.
    Missing(PathBuf, String),
    /// Others than its owner may read or write it.
    Mode(PathBuf, u32),
    /// It holds nothing of the kind that is wanted.
    Empty(PathBuf, &'static str),
    /// It holds something that is not what it says.
    Damaged(PathBuf, String),
    /// The certificate has ended, so many seconds ago.
    Expired(PathBuf, i64),
    /// The certificate begins in so many seconds.
    NotYet(PathBuf, i64),
    /// The key is another certificate's, or of a kind that cannot be used.
    Mismatch(PathBuf, String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Missing(path, why) => write!(f, "{}: cannot be read: {why}", path.display()),
            Fault::Mode(path, mode) => write!(
                f,
                "{}: has mode {mode:04o}; a private key is its owner's alone: chmod 600",
                path.display()
            ),
            Fault::Empty(path, what) => write!(f, "{}: holds no {what} in PEM form", path.display()),
            Fault::Damaged(path, why) => write!(f, "{}: {why}", path.display()),
            Fault::Expired(path, ago) => {
                write!(f, "{}: the certificate expired {} ago", path.display(), span(*ago))
            }
            Fault::NotYet(path, left) => {
                write!(f, "{}: the certificate is not valid for another {}", path.display(), span(*left))
            }
            Fault::Mismatch(path, why) => {
                write!(f, "{}: the key does not fit the certificate: {why}", path.display())
            }
        }
    }
}

impl std::error::Error for Fault {}

/// TLS settings made from a side's files.
#[derive(Clone, Debug)]
pub struct Loaded<T> {
    /// The settings.
    pub config: Arc<T>,
    /// When the first of the own certificates ends, in seconds since 1970.
    pub ends_s: i64,
}

/// A daemon's settings: everybody who connects shows a certificate of a trusted authority, or is not spoken
/// to. `now_s`: seconds since 1970.
pub fn daemon(files: &KeyFiles, now_s: i64) -> Result<Loaded<ServerConfig>, Fault> {
    let Own { chain, key, roots, ends_s } = own(files, now_s)?;
    let mut verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider());
    if let Some(path) = &files.revoked {
        verifier = verifier.with_crls(revoked(path)?);
    }
    let verifier =
        verifier.build().map_err(|e| Fault::Damaged(files.trusted.clone(), format!("not usable: {e}")))?;
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| Fault::Damaged(files.cert.clone(), e.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|e| Fault::Mismatch(files.key.clone(), e.to_string()))?;
    // A resumed session would skip the look at the certificate, which may have been revoked meanwhile.
    config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(Loaded { config: Arc::new(config), ends_s })
}

/// An operator's settings.
pub fn operator(files: &KeyFiles, now_s: i64) -> Result<Loaded<ClientConfig>, Fault> {
    let Own { chain, key, roots, ends_s } = own(files, now_s)?;
    let mut verifier =
        rustls::client::WebPkiServerVerifier::builder_with_provider(Arc::new(roots), provider());
    if let Some(path) = &files.revoked {
        verifier = verifier.with_crls(revoked(path)?);
    }
    let verifier =
        verifier.build().map_err(|e| Fault::Damaged(files.trusted.clone(), format!("not usable: {e}")))?;
    let mut config = ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| Fault::Damaged(files.cert.clone(), e.to_string()))?
        .with_webpki_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .map_err(|e| Fault::Mismatch(files.key.clone(), e.to_string()))?;
    config.resumption = rustls::client::Resumption::disabled();
    Ok(Loaded { config: Arc::new(config), ends_s })
}

/// Whose certificate it is: its common name, else its first alternative name, else a mark of its serial.
pub fn holder(cert: &CertificateDer<'_>) -> String {
    let Ok((_, cert)) = X509Certificate::from_der(cert) else { return "unreadable certificate".into() };
    let common = cert.subject().iter_common_name().find_map(|name| name.as_str().ok());
    let alternative = || {
        let names = cert.subject_alternative_name().ok()??;
        names.value.general_names.iter().find_map(|name| match name {
            GeneralName::DNSName(name) | GeneralName::RFC822Name(name) | GeneralName::URI(name) => {
                Some(*name)
            }
            _ => None,
        })
    };
    let name = common
        .or_else(alternative)
        .map_or_else(|| format!("serial {}", cert.raw_serial_as_string()), str::to_owned);
    // It goes into logs and the audit log, and is as long and as odd as its authority let it be.
    name.chars().filter(|c| !c.is_control()).take(128).collect()
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

struct Own {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: RootCertStore,
    ends_s: i64,
}

fn own(files: &KeyFiles, now_s: i64) -> Result<Own, Fault> {
    let chain = certificates(&files.cert)?;
    let mut ends_s = i64::MAX;
    for cert in &chain {
        ends_s = ends_s.min(valid(&files.cert, cert, now_s)?);
    }
    let bytes = read(&files.key)?;
    mode(&files.key)?;
    let key = PrivateKeyDer::from_pem_slice(&bytes).map_err(|e| match e {
        rustls::pki_types::pem::Error::NoItemsFound => Fault::Empty(files.key.clone(), "private key"),
        other => Fault::Damaged(files.key.clone(), format!("no private key: {other}")),
    })?;
    let mut roots = RootCertStore::empty();
    let trusted = certificates(&files.trusted)?;
    // One authority that has ended beside one that has not is a change of authorities under way.
    let states: Vec<_> = trusted.iter().map(|cert| valid(&files.trusted, cert, now_s)).collect();
    if let (false, Some(Err(fault))) = (states.iter().any(Result::is_ok), states.into_iter().next()) {
        return Err(fault);
    }
    for cert in trusted {
        roots.add(cert).map_err(|e| Fault::Damaged(files.trusted.clone(), format!("not usable: {e}")))?;
    }
    Ok(Own { chain, key, roots, ends_s })
}

fn read(path: &Path) -> Result<Vec<u8>, Fault> {
    std::fs::read(path).map_err(|e| Fault::Missing(path.to_owned(), e.to_string()))
}

fn mode(path: &Path) -> Result<(), Fault> {
    use std::os::unix::fs::PermissionsExt;
    let meta = std::fs::metadata(path).map_err(|e| Fault::Missing(path.to_owned(), e.to_string()))?;
    let mode = meta.permissions().mode() & 0o777;
    if mode & 0o077 == 0 { Ok(()) } else { Err(Fault::Mode(path.to_owned(), mode)) }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Fault> {
    let bytes = read(path)?;
    let certs: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let certs = certs.map_err(|e| Fault::Damaged(path.to_owned(), format!("no certificate: {e}")))?;
    if certs.is_empty() { Err(Fault::Empty(path.to_owned(), "certificate")) } else { Ok(certs) }
}

fn revoked(path: &Path) -> Result<Vec<CertificateRevocationListDer<'static>>, Fault> {
    let bytes = read(path)?;
    let lists: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(&bytes).collect();
    let lists = lists.map_err(|e| Fault::Damaged(path.to_owned(), format!("no revocation list: {e}")))?;
    if lists.is_empty() { Err(Fault::Empty(path.to_owned(), "revocation list")) } else { Ok(lists) }
}

/// When it ends, if it is valid now.
fn valid(path: &Path, cert: &CertificateDer<'_>, now_s: i64) -> Result<i64, Fault> {
    let (_, cert) = X509Certificate::from_der(cert)
        .map_err(|e| Fault::Damaged(path.to_owned(), format!("no certificate: {e}")))?;
    let (from, to) = (cert.validity().not_before.timestamp(), cert.validity().not_after.timestamp());
    if now_s > to {
        return Err(Fault::Expired(path.to_owned(), now_s - to));
    }
    if now_s < from {
        return Err(Fault::NotYet(path.to_owned(), from - now_s));
    }
    Ok(to)
}

fn span(seconds: i64) -> String {
    match seconds {
        s if s >= 2 * 86_400 => format!("{} days", s / 86_400),
        s if s >= 2 * 3_600 => format!("{} hours", s / 3_600),
        s if s >= 120 => format!("{} minutes", s / 60),
        s => format!("{s} seconds"),
    }
}
