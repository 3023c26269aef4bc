//! Builds the TLS settings of daemons and operators from their certificates and private keys. The files are
//! read and checked before the daemon listens on any address. The settings allow only TLS 1.3 with mutual
//! authentication.
//!
//! Each side has three files in PEM form: its certificate (with its chain), the private key of the
//! certificate, and the certificates of the authorities that it trusts. An error names the file and what is
//! wrong with it, because TLS itself only tells an operator that a handshake failed.
//!
//! The package uses `rustls` with `ring`, because there is no C library to keep up to date, and because
//! `rustls` is a state machine without I/O, which the event loop needs. `x509-parser` reads the dates and
//! names that `rustls` does not expose.

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

/// The daemon and the operator's tool warn if a certificate expires within this many seconds: two weeks.
pub const EXPIRY_WARNING_S: i64 = 14 * 86_400;
/// The maximum length of a holder's name, in characters. Longer names are cut.
const MAX_HOLDER_CHARS: usize = 128;

/// The TLS settings of one side, built from its key files.
#[derive(Clone, Debug)]
pub struct TlsSettings<T> {
    /// The settings for `rustls`.
    pub config: Arc<T>,
    /// The earliest expiry of all certificates in the side's own chain, in seconds since 1970.
    pub expires_at_s: i64,
}

/// Builds the settings of a daemon. They reject a client without a certificate from a trusted authority.
/// `now_s` is the current time, in seconds since 1970.
///
/// # Errors
///
/// Returns an error for the first file that cannot be read, has expired or is not valid yet, or does not fit
/// the other files.
pub fn server_tls(files: &KeyFiles, now_s: i64) -> Result<TlsSettings<ServerConfig>, KeyFileError> {
    let Credentials { chain, key, roots, expires_at_s } = files.load(now_s)?;
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), crypto_provider())
        .with_crls(files.load_revocation_lists()?)
        .build()
        .map_err(|source| KeyFileError::UnusableVerifier { path: files.trusted.clone(), source })?;
    let mut config = ServerConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|source| KeyFileError::UnsupportedProtocol { path: files.cert.clone(), source })?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|source| KeyFileError::KeyMismatch { path: files.key.clone(), source })?;
    // Session resumption is disabled, because a resumed session would skip the check of the client's
    // certificate, which may have been revoked since.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(TlsSettings { config: Arc::new(config), expires_at_s })
}

/// Builds the settings of an operator. They reject a daemon without a certificate from a trusted authority.
/// `now_s` is the current time, in seconds since 1970.
///
/// # Errors
///
/// Returns an error for the first file that cannot be read, has expired or is not valid yet, or does not fit
/// the other files.
pub fn client_tls(files: &KeyFiles, now_s: i64) -> Result<TlsSettings<ClientConfig>, KeyFileError> {
    let Credentials { chain, key, roots, expires_at_s } = files.load(now_s)?;
    let verifier = WebPkiServerVerifier::builder_with_provider(Arc::new(roots), crypto_provider())
        .with_crls(files.load_revocation_lists()?)
        .build()
        .map_err(|source| KeyFileError::UnusableVerifier { path: files.trusted.clone(), source })?;
    let mut config = ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|source| KeyFileError::UnsupportedProtocol { path: files.cert.clone(), source })?
        .with_webpki_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .map_err(|source| KeyFileError::KeyMismatch { path: files.key.clone(), source })?;
    config.resumption = Resumption::disabled();
    Ok(TlsSettings { config: Arc::new(config), expires_at_s })
}

/// Returns the name of a certificate's holder: the common name if there is one, else the first alternative
/// name, else the serial number.
pub fn holder(cert: &CertificateDer<'_>) -> String {
    let Ok((_, cert)) = X509Certificate::from_der(cert) else { return "unreadable certificate".into() };
    let common_name = cert.subject().iter_common_name().find_map(|name| name.as_str().ok());
    let name = match common_name.or_else(|| alternative_name(&cert)) {
        Some(name) => name.to_owned(),
        None => format!("serial {}", cert.raw_serial_as_string()),
    };
    // The name is written to logs and to the audit log, but the authority may have given it any length and
    // any characters.
    name.chars().filter(|c| !c.is_control()).take(MAX_HOLDER_CHARS).collect()
}

/// Returns the first alternative name that is a host name, a mail address or a URI.
fn alternative_name<'a>(cert: &X509Certificate<'a>) -> Option<&'a str> {
    let names = cert.subject_alternative_name().ok()??;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::DNSName(name) | GeneralName::RFC822Name(name) | GeneralName::URI(name) => Some(*name),
        _ => None,
    })
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
