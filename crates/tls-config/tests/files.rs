//! Tests with certificates that are valid, not valid yet, expired or revoked, and with handshakes in memory.

use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, CertifiedIssuer, DnType, IsCa,
    KeyIdMethod, KeyPair, KeyUsagePurpose, RevokedCertParams, SerialNumber,
};
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, ServerConnection};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};
use violetseam_tls_config::{KeyFileError, KeyFiles, client_tls, holder, server_tls};

type Authority = CertifiedIssuer<'static, KeyPair>;

fn new_authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

/// Issues a certificate that becomes valid `from_days` days from now and expires in 90 days, and writes its
/// files.
fn issue(issuer: &Authority, folder: &Path, name: &str, serial: u64, from_days: i64) -> KeyFiles {
    let mut params = CertificateParams::new(vec!["daemon.test".to_owned()]).unwrap();
    params.distinguished_name.push(DnType::CommonName, name);
    params.serial_number = Some(SerialNumber::from(serial));
    params.not_before = OffsetDateTime::now_utc() + Duration::days(from_days);
    params.not_after = OffsetDateTime::now_utc() + Duration::days(90);
    let key = KeyPair::generate().unwrap();
    let cert = params.signed_by(&key, issuer).unwrap().pem();
    let write_file = |extension: &str, text: &str| -> PathBuf {
        let path = folder.join(format!("{name}.{extension}"));
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        path
    };
    KeyFiles {
        cert: write_file("cert", &cert),
        key: write_file("key", &key.serialize_pem()),
        trusted: write_file("trusted", &issuer.pem()),
        revoked: None,
    }
}

fn test_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-keyfiles-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn now_s() -> i64 {
    OffsetDateTime::now_utc().unix_timestamp()
}

/// Runs a handshake in memory. Returns the holder of the client's certificate as the daemon sees it, or the
/// error of the side that rejected the handshake.
fn handshake(daemon_files: &KeyFiles, operator_files: &KeyFiles) -> Result<String, String> {
    let mut daemon = ServerConnection::new(server_tls(daemon_files, now_s()).unwrap().config).unwrap();
    let name = ServerName::try_from("daemon.test").unwrap();
    let mut operator =
        ClientConnection::new(client_tls(operator_files, now_s()).unwrap().config, name).unwrap();
    for _ in 0..10 {
        let mut sent = Vec::new();
        while operator.wants_write() {
            operator.write_tls(&mut sent).unwrap();
        }
        let mut received = &sent[..];
        while !received.is_empty() {
            daemon.read_tls(&mut received).unwrap();
            daemon.process_new_packets().map_err(|e| e.to_string())?;
        }
        let mut sent = Vec::new();
        while daemon.wants_write() {
            daemon.write_tls(&mut sent).unwrap();
        }
        let mut received = &sent[..];
        while !received.is_empty() {
            operator.read_tls(&mut received).unwrap();
            operator.process_new_packets().map_err(|e| e.to_string())?;
        }
    }
    daemon.peer_certificates().map(|certs| holder(&certs[0])).ok_or_else(|| "no certificate".into())
}

#[test]
fn both_sides_present_certificates_and_a_revoked_one_is_rejected() {
    let (folder, authority) = (test_folder("meet"), new_authority());
    let mut daemon_files = issue(&authority, &folder, "daemon", 1, -1);
    let (on_call, revoked) =
        (issue(&authority, &folder, "on-call", 2, -1), issue(&authority, &folder, "left", 3, -1));
    assert_eq!(handshake(&daemon_files, &on_call), Ok("on-call".into()));
    assert_eq!(handshake(&daemon_files, &revoked), Ok("left".into()));
    let now = OffsetDateTime::now_utc();
    let revocation_list = CertificateRevocationListParams {
        this_update: now - Duration::days(1),
        next_update: now + Duration::days(1),
        crl_number: SerialNumber::from(1),
        issuing_distribution_point: None,
        revoked_certs: vec![RevokedCertParams {
            serial_number: SerialNumber::from(3),
            revocation_time: now - Duration::days(1),
            reason_code: None,
            invalidity_date: None,
        }],
        key_identifier_method: KeyIdMethod::Sha256,
    };
    let path = folder.join("revoked");
    std::fs::write(&path, revocation_list.signed_by(&authority).unwrap().pem().unwrap()).unwrap();
    daemon_files.revoked = Some(path);
    assert_eq!(handshake(&daemon_files, &on_call), Ok("on-call".into()));
    assert!(handshake(&daemon_files, &revoked).unwrap_err().contains("Revoked"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn certificates_that_are_not_valid_yet_or_expired_are_rejected_with_different_errors() {
    let (folder, authority) = (test_folder("times"), new_authority());
    let not_valid_yet = issue(&authority, &folder, "early", 1, 7);
    let error = client_tls(&not_valid_yet, now_s()).unwrap_err();
    assert!(error.to_string().contains("not valid for another"), "{error}");
    let valid = issue(&authority, &folder, "sound", 2, -1);
    let after_expiry_s = now_s() + 91 * 86_400;
    assert!(matches!(server_tls(&valid, after_expiry_s), Err(KeyFileError::Expired { .. })));
    let loaded = server_tls(&valid, now_s()).unwrap();
    assert!((loaded.expires_at_s - now_s() - 90 * 86_400).abs() < 60);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_message_of_an_error_names_the_file_and_what_is_wrong_with_it() {
    let (folder, authority) = (test_folder("texts"), new_authority());
    let valid = issue(&authority, &folder, "sound", 1, -1);
    let other = issue(&authority, &folder, "other", 2, -1);
    let error_message = |files: &KeyFiles| server_tls(files, now_s()).unwrap_err().to_string();
    let assert_error = |files: &KeyFiles, path: &Path, reason: &str| {
        let (message, expected_start) = (error_message(files), format!("{}: {reason}", path.display()));
        assert!(message.starts_with(&expected_start), "{message}");
    };
    let missing = folder.join("missing");
    assert_error(
        &KeyFiles { cert: missing.clone(), ..valid.clone() },
        &missing,
        "cannot be read: No such file",
    );
    let no_key = KeyFiles { key: valid.cert.clone(), ..valid.clone() };
    assert_error(&no_key, &valid.cert, "holds no private key in PEM form");
    let no_certificate = KeyFiles { trusted: valid.key.clone(), ..valid.clone() };
    assert_error(&no_certificate, &valid.key, "holds no certificate in PEM form");
    let wrong_key = KeyFiles { key: other.key.clone(), ..valid.clone() };
    assert_error(&wrong_key, &other.key, "the key does not fit the certificate: ");
    let no_revocation_list = KeyFiles { revoked: Some(valid.cert.clone()), ..valid.clone() };
    assert_error(&no_revocation_list, &valid.cert, "holds no revocation list in PEM form");
    std::fs::set_permissions(&valid.key, std::fs::Permissions::from_mode(0o640)).unwrap();
    assert_error(&valid, &valid.key, "has mode 0640; a private key is its owner's alone: chmod 600");
    std::fs::remove_dir_all(folder).unwrap();
}
