//! TLS settings of daemons and operators from their certificates and private keys. The files are read and checked before
//! anything is bound, and the settings are TLS 1.3 with mutual authentication only.
//!
//! Both sides have three files in PEM form: their certificate (with its chain), its private key, and the certificates of
//! the authorities that they trust. An error names the file and what is wrong with it, as TLS itself tells an operator no
//! more than that a handshake failed.
//!
//! `rustls` with `ring`: no C library to keep up to date, and a state machine without I/O, which is what the event loop
//! needs. `x509-parser` reads the dates and names that `rustls` does not expose.

mod error;
mod files;

pub use error::{KeyFileError, PemKind};
pub use files::KeyFiles;

use files::Credentials;
use rustls::client::{Resumption, WebPkiServerVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::{ClientConfig, ServerConfig};
use std::sync::Arc;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Seconds before a certificate expires from which on this is worth a warning: two weeks.
pub const EXPIRY_WARNING_S: i64 = 14 * 86_400;
/// Characters of a holder's name that are kept.
const MAX_HOLDER_CHARS: usize = 128;

/// TLS settings made from one side's files.
#[derive(Clone, Debug)]
pub struct TlsSettings<T> {
    /// The settings.
    pub config: Arc<T>,
    /// When the first certificate of the side's own chain expires, in seconds since 1970.
    pub expires_at_s: i64,
}

/// A daemon's settings: a client without a certificate of a trusted authority is rejected. `now_s` is the time in seconds
/// since 1970.
///
/// # Errors
///
/// The first file that cannot be read, is out of date, or does not fit the others.
pub fn server_tls(files: &KeyFiles, now_s: i64) -> Result<TlsSettings<ServerConfig>, KeyFileError> {
    let Credentials { chain, key, roots, expires_at_s } = files.load(now_s)?;
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider())
        .with_crls(files.load_revocation_lists()?)
        .build()
        .map_err(|source| KeyFileError::UnusableVerifier { path: files.trusted.clone(), source })?;
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|source| KeyFileError::UnsupportedProtocol { path: files.cert.clone(), source })?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|source| KeyFileError::KeyMismatch { path: files.key.clone(), source })?;
    // A resumed session would skip the check of the certificate, which may have been revoked meanwhile.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(TlsSettings { config: Arc::new(config), expires_at_s })
}

/// An operator's settings: a daemon without a certificate of a trusted authority is rejected. `now_s` is the time in
/// seconds since 1970.
///
/// # Errors
///
/// The first file that cannot be read, is out of date, or does not fit the others.
pub fn client_tls(files: &KeyFiles, now_s: i64) -> Result<TlsSettings<ClientConfig>, KeyFileError> {
    let Credentials { chain, key, roots, expires_at_s } = files.load(now_s)?;
    let verifier = WebPkiServerVerifier::builder_with_provider(Arc::new(roots), provider())
        .with_crls(files.load_revocation_lists()?)
        .build()
        .map_err(|source| KeyFileError::UnusableVerifier { path: files.trusted.clone(), source })?;
    let mut config = ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|source| KeyFileError::UnsupportedProtocol { path: files.cert.clone(), source })?
        .with_webpki_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .map_err(|source| KeyFileError::KeyMismatch { path: files.key.clone(), source })?;
    config.resumption = Resumption::disabled();
    Ok(TlsSettings { config: Arc::new(config), expires_at_s })
}

/// The holder of a certificate: its common name, else its first alternative name, else its serial number.
pub fn holder(cert: &CertificateDer<'_>) -> String {
    let Ok((_, cert)) = X509Certificate::from_der(cert) else { return "unreadable certificate".into() };
    let common_name = cert.subject().iter_common_name().find_map(|name| name.as_str().ok());
    let name = match common_name.or_else(|| alternative_name(&cert)) {
        Some(name) => name.to_owned(),
        None => format!("serial {}", cert.raw_serial_as_string()),
    };
    // The name goes into logs and the audit log, and its authority may have made it of any length and characters.
    name.chars().filter(|c| !c.is_control()).take(MAX_HOLDER_CHARS).collect()
}

/// The first alternative name that is a host, a mail address or a URI.
fn alternative_name<'a>(cert: &X509Certificate<'a>) -> Option<&'a str> {
    let names = cert.subject_alternative_name().ok()??;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::DNSName(name) | GeneralName::RFC822Name(name) | GeneralName::URI(name) => Some(*name),
        _ => None,
    })
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
