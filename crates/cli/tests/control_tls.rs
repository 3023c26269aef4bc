//! Control over TCP with mutual TLS: trusted and untrusted operators, invalid key files, and keys that are
//! replaced on a reload.

mod common;

use common::PROGRAM;
use common::fleet::{Fleet, count_outcomes, daemon_states, take_over};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, StreamOwned};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use time::OffsetDateTime;
use violetseam_tls_config::KeyFiles;

/// A certificate authority that writes the certificates it issues into a folder.
struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "authority");
        Authority { issuer: CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap() }
    }

    /// Writes a certificate that expires in this number of days, its key, and the authority's own
    /// certificate.
    fn issue(&self, folder: &Path, name: &str, days: i64) {
        std::fs::create_dir_all(folder).unwrap();
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.not_before = OffsetDateTime::now_utc() - time::Duration::days(30);
        params.not_after = OffsetDateTime::now_utc() + time::Duration::days(days);
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        let write_file = |extension: &str, text: String| {
            let path = folder.join(format!("{name}.{extension}"));
            let _ = std::fs::remove_file(&path);
            std::fs::write(&path, text).unwrap();
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        };
        write_file("cert", cert.pem());
        write_file("key", key.serialize_pem());
        write_file("trusted", self.issuer.pem());
    }
}

fn key_files(folder: &Path, name: &str) -> KeyFiles {
    let path = |extension: &str| folder.join(format!("{name}.{extension}"));
    KeyFiles { cert: path("cert"), key: path("key"), trusted: path("trusted"), revoked: None }
}

fn free_port() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

fn control_tls_section(keys: &Path, listen: SocketAddr) -> String {
    let f = key_files(keys, "daemon");
    format!(
        ")\ncontrol_tls(listen = \"{listen}\", cert = \"{}\", key = \"{}\", trusted = \"{}\"",
        f.cert.display(),
        f.key.display(),
        f.trusted.display()
    )
}

struct Site {
    fleet: Fleet,
    keys: PathBuf,
    listen: SocketAddr,
}

/// Starts a fleet of one daemon that is controlled over TCP.
fn start(name: &str) -> (Site, Authority) {
    let authority = Authority::new();
    let keys = std::env::temp_dir().join(format!("vs-keys-{name}-{}", std::process::id()));
    authority.issue(&keys, "daemon", 30);
    authority.issue(&keys, "operator", 30);
    let listen = free_port();
    let fleet = Fleet::start_with_settings(name, "", 1, &control_tls_section(&keys, listen));
    let site = Site { fleet, keys, listen };
    site.use_identity("operator");
    (site, authority)
}

impl Site {
    /// Writes the fleet file with the keys of this operator.
    fn use_identity(&self, name: &str) {
        let f = key_files(&self.keys, name);
        let text = format!(
            "identity(cert = \"{}\", key = \"{}\", trusted = \"{}\")\nmember(name = \"d0\", control = \"tls://{}\")\n",
            f.cert.display(),
            f.key.display(),
            f.trusted.display(),
            self.listen
        );
        std::fs::write(self.fleet.folder.join("fleet.star"), text).unwrap();
    }

    fn connect(&self, name: &str) -> StreamOwned<ClientConnection, TcpStream> {
        let now = OffsetDateTime::now_utc().unix_timestamp();
        let config = violetseam_tls_config::client_tls(&key_files(&self.keys, name), now).unwrap().config;
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let host = ServerName::try_from("127.0.0.1").unwrap();
        StreamOwned::new(ClientConnection::new(config, host).unwrap(), stream)
    }

    fn end(self) {
        std::fs::remove_dir_all(&self.keys).unwrap();
        self.fleet.end();
    }
}

fn whoami(stream: &mut StreamOwned<ClientConnection, TcpStream>) -> String {
    stream.write_all(b"\"whoami\"\n").unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn only_an_operator_with_a_trusted_certificate_gets_a_response_and_its_name_is_recorded() {
    let (site, _) = start("tls-who");
    let (code, report, text) = site.fleet.run_tool(&["pause", "--for", "60"]);
    assert_eq!((code, count_outcomes(&report, "agreed")), (0, 1), "{report} {text}");
    let state = daemon_states(&site.fleet.run_tool(&["state"]).1)[0].clone();
    assert_eq!(state["paused"][1], "operator as test", "the certificate says who it was");

    // An operator with a certificate of another authority gets no response.
    let stranger = Authority::new();
    stranger.issue(&site.keys, "stranger", 30);
    std::fs::copy(site.keys.join("operator.trusted"), site.keys.join("stranger.trusted")).unwrap();
    site.use_identity("stranger");
    let (code, report, _) = site.fleet.run_tool(&["resume"]);
    assert_eq!((code, count_outcomes(&report, "silent")), (4, 1), "{report}");
    assert!(report["daemons"][0]["why"].as_str().unwrap().contains("closed the connection"), "{report}");
    // The operator sends nothing to a daemon whose certificate it does not trust.
    site.use_identity("operator");
    std::fs::copy(site.keys.join("operator.trusted"), site.keys.join("kept")).unwrap();
    stranger.issue(&site.keys, "other", 30);
    std::fs::copy(site.keys.join("other.trusted"), site.keys.join("operator.trusted")).unwrap();
    let (code, report, _) = site.fleet.run_tool(&["resume"]);
    assert!(code == 4 && report["daemons"][0]["why"].as_str().unwrap().contains("not trusted"), "{report}");
    std::fs::copy(site.keys.join("kept"), site.keys.join("operator.trusted")).unwrap();

    // A client that speaks no TLS gets no readable bytes.
    let mut plain = TcpStream::connect(site.listen).unwrap();
    plain.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    plain.write_all(b"\"state\"\n").unwrap();
    let mut received = Vec::new();
    let _ = plain.read_to_end(&mut received);
    assert!(received.is_empty(), "{received:?}");
    // A takeover is possible only over the local socket.
    let mut stream = site.connect("operator");
    stream.write_all(b"\"takeover\"\n").unwrap();
    let mut line = String::new();
    BufReader::new(&mut stream).read_line(&mut line).unwrap();
    assert!(line.contains("local control socket"), "{line}");
    assert!(
        !daemon_states(&site.fleet.run_tool(&["state"]).1)[0]["paused"].is_null(),
        "a stranger ended the pause"
    );
    site.end();
}

#[test]
fn invalid_key_files_prevent_the_start_with_a_message_that_names_the_fault() {
    let (authority, listen) = (Authority::new(), free_port());
    let folder = std::env::temp_dir().join(format!("vs-keys-wrong-{}", std::process::id()));
    let state = folder.join("state");
    let settings = folder.join("settings.star");
    let assert_start_fails = |message: &str, damage_keys: &dyn Fn()| {
        authority.issue(&folder, "daemon", 30);
        damage_keys();
        let text = format!(
            "fleet(name = \"t\", size = 1, position = 0, state_dir = \"{0}\", control = \"{0}/c\"{1})\n\
             listen(addr = \"127.0.0.1:0\")\nroster(addr = \"127.0.0.1:9\")\ndesk(addr = \"127.0.0.1:9\")\n\
             request_class(name = \"read\", aim = \"1s\", deadline = \"2s\", effect = \"retryable\")\n\
             route(prefix = \"/\", to = \"read\")\n\
             rollout(stage_caps = [1.0], counted_over = \"2s\", vote_ttl = \"4s\")\n\
             contract(ask_within = \"1h\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"1s\", fall_multiple = 3.0, fall_span = \"1s\")\n",
            state.display(),
            control_tls_section(&folder, listen)
        );
        std::fs::write(&settings, text).unwrap();
        let out = Command::new(PROGRAM).args(["serve", "--settings"]).arg(&settings).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && text.contains(message), "{message}: {text}");
    };
    let path = |extension: &str| folder.join(format!("daemon.{extension}"));
    assert_start_fails("cannot be read", &|| std::fs::remove_file(path("cert")).unwrap());
    assert_start_fails("has mode 0644", &|| {
        std::fs::set_permissions(path("key"), std::fs::Permissions::from_mode(0o644)).unwrap();
    });
    assert_start_fails("expired 10 days ago", &|| authority.issue(&folder, "daemon", -10));
    assert_start_fails("does not fit the certificate", &|| {
        let kept = std::fs::read(path("cert")).unwrap();
        authority.issue(&folder, "daemon", 30);
        std::fs::write(path("cert"), kept).unwrap();
    });
    assert_start_fails("holds no certificate", &|| std::fs::write(path("trusted"), "nothing").unwrap());
    assert_start_fails("holds no private key", &|| {
        let cert = std::fs::read(path("cert")).unwrap();
        std::fs::write(path("key"), cert).unwrap();
    });
    assert!(!state.exists(), "state was touched before the keys were checked");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_reload_replaces_the_keys_and_keeps_open_connections() {
    let (site, _) = start("tls-reload");
    let mut open_connection = site.connect("operator");
    assert!(whoami(&mut open_connection).contains("test-0"));
    let before = key_files(&site.keys, "operator");
    let old = std::fs::read(&before.cert).unwrap();
    // Invalid keys are refused, and the old ones stay in use.
    let good = std::fs::read(site.keys.join("daemon.cert")).unwrap();
    std::fs::write(site.keys.join("daemon.cert"), "nothing").unwrap();
    let (code, report, _) = site.fleet.run_tool(&["reload"]);
    let text = report["daemons"][0]["why"].as_str().unwrap().to_owned();
    assert!(code == 3 && text.contains("holds no certificate"), "{report}");
    std::fs::write(site.keys.join("daemon.cert"), good).unwrap();
    assert!(whoami(&mut site.connect("operator")).contains("test-0"));
    // Both sides change to another authority.
    let next = Authority::new();
    next.issue(&site.keys, "daemon", 30);
    let (code, report, _) = site.fleet.run_tool(&["reload"]);
    assert_eq!((code, count_outcomes(&report, "agreed")), (0, 1), "{report}");
    assert!(whoami(&mut open_connection).contains("test-0"), "the reload dropped an open connection");
    assert_eq!(site.fleet.run_tool(&["state"]).0, 4, "the old authority is still trusted");
    next.issue(&site.keys, "operator", 30);
    assert_ne!(std::fs::read(&before.cert).unwrap(), old);
    assert_eq!(site.fleet.run_tool(&["state"]).0, 0);
    site.end();
}

#[test]
fn a_flood_of_untrusted_connections_does_not_lock_operators_out() {
    let (site, _) = start("tls-flood");
    let untrusted_connections: Vec<TcpStream> =
        (0..300).filter_map(|_| TcpStream::connect(site.listen).ok()).collect();
    assert!(untrusted_connections.len() > 250);
    let began = Instant::now();
    while site.fleet.run_tool(&["state"]).0 != 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "untrusted connections keep the operator out");
    }
    // The local socket has its own connection limit.
    assert_eq!(site.fleet.local_name(0), "test-0");
    assert!(site.fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok")));
    drop(untrusted_connections);
    site.end();
}

#[test]
fn a_takeover_hands_over_the_address_for_control() {
    let (mut site, _) = start("tls-takeover");
    let boot = daemon_states(&site.fleet.run_tool(&["state"]).1)[0]["boot"].as_u64().unwrap();
    let new = take_over("tls-takeover");
    assert!(site.fleet.daemons[0].child.wait().unwrap().success());
    site.fleet.daemons[0].child = new;
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let (code, state, _) = site.fleet.run_tool(&["state"]);
        if code == 0 && daemon_states(&state)[0]["boot"].as_u64() == Some(boot + 1) {
            break;
        }
        assert!(Instant::now() < until, "the new process is not spoken to over TCP");
    }
    site.end();
}
