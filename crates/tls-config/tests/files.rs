//! Certificates that are valid, not yet valid, expired or revoked; handshakes in memory.

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

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn issue(by: &Authority, folder: &Path, name: &str, serial: u64, from_days: i64) -> KeyFiles {
    let mut params = CertificateParams::new(vec!["daemon.test".to_owned()]).unwrap();
    params.distinguished_name.push(DnType::CommonName, name);
    params.serial_number = Some(SerialNumber::from(serial));
    params.not_before = OffsetDateTime::now_utc() + Duration::days(from_days);
    params.not_after = OffsetDateTime::now_utc() + Duration::days(90);
    let key = KeyPair::generate().unwrap();
    let cert = params.signed_by(&key, by).unwrap().pem();
    let put = |what: &str, text: &str| -> PathBuf {
        let path = folder.join(format!("{name}.{what}"));
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        path
    };
    KeyFiles {
        cert: put("cert", &cert),
        key: put("key", &key.serialize_pem()),
        trusted: put("trusted", &by.pem()),
        revoked: None,
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-keyfiles-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn now_s() -> i64 {
    OffsetDateTime::now_utc().unix_timestamp()
}

/// A handshake in memory: the holder of the certificate that the daemon saw, or why it rejected it.
fn handshake(server: &KeyFiles, client: &KeyFiles) -> Result<String, String> {
    let mut daemon = ServerConnection::new(server_tls(server, now_s()).unwrap().config).unwrap();
    let name = ServerName::try_from("daemon.test").unwrap();
    let mut operator = ClientConnection::new(client_tls(client, now_s()).unwrap().config, name).unwrap();
    for _ in 0..10 {
        let mut wire = Vec::new();
        while operator.wants_write() {
            operator.write_tls(&mut wire).unwrap();
        }
        let mut sealed = &wire[..];
        while !sealed.is_empty() {
            daemon.read_tls(&mut sealed).unwrap();
            daemon.process_new_packets().map_err(|e| e.to_string())?;
        }
        let mut wire = Vec::new();
        while daemon.wants_write() {
            daemon.write_tls(&mut wire).unwrap();
        }
        let mut sealed = &wire[..];
        while !sealed.is_empty() {
            operator.read_tls(&mut sealed).unwrap();
            operator.process_new_packets().map_err(|e| e.to_string())?;
        }
    }
    daemon.peer_certificates().map(|certs| holder(&certs[0])).ok_or_else(|| "no certificate".into())
}

#[test]
fn both_sides_show_certificates_and_a_revoked_one_is_refused() {
    let (folder, by) = (folder("meet"), authority());
    let mut server = issue(&by, &folder, "daemon", 1, -1);
    let (one, two) = (issue(&by, &folder, "on-call", 2, -1), issue(&by, &folder, "left", 3, -1));
    assert_eq!(handshake(&server, &one), Ok("on-call".into()));
    assert_eq!(handshake(&server, &two), Ok("left".into()));
    let now = OffsetDateTime::now_utc();
    let list = CertificateRevocationListParams {
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
    std::fs::write(&path, list.signed_by(&by).unwrap().pem().unwrap()).unwrap();
    server.revoked = Some(path);
    assert_eq!(handshake(&server, &one), Ok("on-call".into()));
    assert!(handshake(&server, &two).unwrap_err().contains("Revoked"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_certificate_of_next_week_and_one_that_has_ended_are_told_apart() {
    let (folder, by) = (folder("times"), authority());
    let early = issue(&by, &folder, "early", 1, 7);
    let fault = client_tls(&early, now_s()).unwrap_err();
    assert!(fault.to_string().contains("not valid for another"), "{fault}");
    let sound = issue(&by, &folder, "sound", 2, -1);
    let later = now_s() + 91 * 86_400;
    assert!(matches!(server_tls(&sound, later), Err(KeyFileError::Expired { .. })));
    let loaded = server_tls(&sound, now_s()).unwrap();
    assert!((loaded.expires_at_s - now_s() - 90 * 86_400).abs() < 60);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_text_of_an_error_names_the_file_and_what_is_wrong_with_it() {
    let (folder, by) = (folder("texts"), authority());
    let sound = issue(&by, &folder, "sound", 1, -1);
    let other = issue(&by, &folder, "other", 2, -1);
    let text = |files: &KeyFiles| server_tls(files, now_s()).unwrap_err().to_string();
    let expect = |files: &KeyFiles, path: &Path, reason: &str| {
        let (text, expected) = (text(files), format!("{}: {reason}", path.display()));
        assert!(text.starts_with(&expected), "{text}");
    };
    let missing = folder.join("missing");
    expect(&KeyFiles { cert: missing.clone(), ..sound.clone() }, &missing, "cannot be read: No such file");
    let no_key = KeyFiles { key: sound.cert.clone(), ..sound.clone() };
    expect(&no_key, &sound.cert, "holds no private key in PEM form");
    let no_certificate = KeyFiles { trusted: sound.key.clone(), ..sound.clone() };
    expect(&no_certificate, &sound.key, "holds no certificate in PEM form");
    let wrong_key = KeyFiles { key: other.key.clone(), ..sound.clone() };
    expect(&wrong_key, &other.key, "the key does not fit the certificate: ");
    let no_list = KeyFiles { revoked: Some(sound.cert.clone()), ..sound.clone() };
    expect(&no_list, &sound.cert, "holds no revocation list in PEM form");
    std::fs::set_permissions(&sound.key, std::fs::Permissions::from_mode(0o640)).unwrap();
    expect(&sound, &sound.key, "has mode 0640; a private key is its owner's alone: chmod 600");
    std::fs::remove_dir_all(folder).unwrap();
}
