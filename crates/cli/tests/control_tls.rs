//! Control over TCP: who gets through, who gets nothing, keys that are wrong, keys that change.

mod common;

use common::PROGRAM;
use common::fleet::{Fleet, count, states, take_over};
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

/// An authority that issues certificates into a folder.
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

    /// A certificate that ends in so many days, its key, and this authority's own certificate.
    fn issue(&self, folder: &Path, name: &str, days: i64) {
        std::fs::create_dir_all(folder).unwrap();
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.not_before = OffsetDateTime::now_utc() - time::Duration::days(30);
        params.not_after = OffsetDateTime::now_utc() + time::Duration::days(days);
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        let put = |what: &str, text: String| {
            let path = folder.join(format!("{name}.{what}"));
            let _ = std::fs::remove_file(&path);
            std::fs::write(&path, text).unwrap();
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        };
        put("cert", cert.pem());
        put("key", key.serialize_pem());
        put("trusted", self.issuer.pem());
    }
}

fn files(folder: &Path, name: &str) -> KeyFiles {
    let path = |what: &str| folder.join(format!("{name}.{what}"));
    KeyFiles { cert: path("cert"), key: path("key"), trusted: path("trusted"), revoked: None }
}

fn free_port() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

fn section(keys: &Path, listen: SocketAddr) -> String {
    let f = files(keys, "daemon");
    format!(
        ")\ncontrol_tls(listen = \"{listen}\", cert = \"{}\", key = \"{}\", trusted = \"{}\"",
        f.cert.display(),
        f.key.display(),
        f.trusted.display()
    )
}

struct World {
    fleet: Fleet,
    keys: PathBuf,
    listen: SocketAddr,
}

/// A fleet of one that is spoken to over TCP.
fn start(name: &str) -> (World, Authority) {
    let authority = Authority::new();
    let keys = std::env::temp_dir().join(format!("vs-keys-{name}-{}", std::process::id()));
    authority.issue(&keys, "daemon", 30);
    authority.issue(&keys, "operator", 30);
    let listen = free_port();
    let fleet = Fleet::start_more(name, "", 1, &section(&keys, listen));
    let world = World { fleet, keys, listen };
    world.show("operator");
    (world, authority)
}

impl World {
    /// Writes the fleet file with an operator's keys.
    fn show(&self, name: &str) {
        let f = files(&self.keys, name);
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
        let config = violetseam_tls_config::client_tls(&files(&self.keys, name), now).unwrap().config;
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
fn an_operator_with_a_trusted_certificate_is_heard_and_named_and_nobody_else_gets_a_word() {
    let (world, _) = start("tls-who");
    let (code, told, text) = world.fleet.tool(&["pause", "--for", "60"]);
    assert_eq!((code, count(&told, "agreed")), (0, 1), "{told} {text}");
    let state = states(&world.fleet.tool(&["state"]).1)[0].clone();
    assert_eq!(state["paused"][1], "operator as test", "the certificate says who it was");

    // Another authority's certificate.
    let stranger = Authority::new();
    stranger.issue(&world.keys, "stranger", 30);
    std::fs::copy(world.keys.join("operator.trusted"), world.keys.join("stranger.trusted")).unwrap();
    world.show("stranger");
    let (code, told, _) = world.fleet.tool(&["resume"]);
    assert_eq!((code, count(&told, "silent")), (4, 1), "{told}");
    assert!(told["daemons"][0]["why"].as_str().unwrap().contains("closed the connection"), "{told}");
    // A daemon that the operator does not trust.
    world.show("operator");
    std::fs::copy(world.keys.join("operator.trusted"), world.keys.join("kept")).unwrap();
    stranger.issue(&world.keys, "other", 30);
    std::fs::copy(world.keys.join("other.trusted"), world.keys.join("operator.trusted")).unwrap();
    let (code, told, _) = world.fleet.tool(&["resume"]);
    assert!(code == 4 && told["daemons"][0]["why"].as_str().unwrap().contains("not trusted"), "{told}");
    std::fs::copy(world.keys.join("kept"), world.keys.join("operator.trusted")).unwrap();

    // No TLS at all, and TLS without a certificate: nothing that can be read comes back.
    let mut plain = TcpStream::connect(world.listen).unwrap();
    plain.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    plain.write_all(b"\"state\"\n").unwrap();
    let mut got = Vec::new();
    let _ = plain.read_to_end(&mut got);
    assert!(got.is_empty(), "{got:?}");
    // A takeover is a matter of the local socket.
    let mut stream = world.connect("operator");
    stream.write_all(b"\"takeover\"\n").unwrap();
    let mut line = String::new();
    BufReader::new(&mut stream).read_line(&mut line).unwrap();
    assert!(line.contains("local control socket"), "{line}");
    assert!(!states(&world.fleet.tool(&["state"]).1)[0]["paused"].is_null(), "a stranger ended the pause");
    world.end();
}

#[test]
fn keys_that_are_missing_expired_too_open_or_anothers_stop_the_start_with_a_plain_message() {
    let (authority, listen) = (Authority::new(), free_port());
    let folder = std::env::temp_dir().join(format!("vs-keys-wrong-{}", std::process::id()));
    let state = folder.join("state");
    let settings = folder.join("settings.star");
    let told = |what: &str, spoil: &dyn Fn()| {
        authority.issue(&folder, "daemon", 30);
        spoil();
        let text = format!(
            "fleet(name = \"t\", size = 1, position = 0, state_dir = \"{0}\", control = \"{0}/c\"{1})\n\
             listen(addr = \"127.0.0.1:0\")\nroster(addr = \"127.0.0.1:9\")\ndesk(addr = \"127.0.0.1:9\")\n\
             request_class(name = \"read\", aim = \"1s\", deadline = \"2s\", effect = \"retryable\")\n\
             route(prefix = \"/\", to = \"read\")\n\
             rollout(stage_caps = [1.0], counted_over = \"2s\", vote_ttl = \"4s\")\n\
             contract(ask_within = \"1h\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"1s\", fall_multiple = 3.0, fall_span = \"1s\")\n",
            state.display(),
            section(&folder, listen)
        );
        std::fs::write(&settings, text).unwrap();
        let out = Command::new(PROGRAM).args(["serve", "--settings"]).arg(&settings).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && text.contains(what), "{what}: {text}");
    };
    let path = |what: &str| folder.join(format!("daemon.{what}"));
    told("cannot be read", &|| std::fs::remove_file(path("cert")).unwrap());
    told("has mode 0644", &|| {
        std::fs::set_permissions(path("key"), std::fs::Permissions::from_mode(0o644)).unwrap();
    });
    told("expired 10 days ago", &|| authority.issue(&folder, "daemon", -10));
    told("does not fit the certificate", &|| {
        let kept = std::fs::read(path("cert")).unwrap();
        authority.issue(&folder, "daemon", 30);
        std::fs::write(path("cert"), kept).unwrap();
    });
    told("holds no certificate", &|| std::fs::write(path("trusted"), "nothing").unwrap());
    told("holds no private key", &|| {
        let cert = std::fs::read(path("cert")).unwrap();
        std::fs::write(path("key"), cert).unwrap();
    });
    assert!(!state.exists(), "state was touched before the keys were checked");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn keys_change_on_reload_and_connections_that_stand_go_on() {
    let (world, _) = start("tls-reload");
    let mut standing = world.connect("operator");
    assert!(whoami(&mut standing).contains("test-0"));
    let before = files(&world.keys, "operator");
    let old = std::fs::read(&before.cert).unwrap();
    // Keys that are no good: refused, and the old ones stay.
    let good = std::fs::read(world.keys.join("daemon.cert")).unwrap();
    std::fs::write(world.keys.join("daemon.cert"), "nothing").unwrap();
    let (code, told, _) = world.fleet.tool(&["reload"]);
    let text = told["daemons"][0]["why"].as_str().unwrap().to_owned();
    assert!(code == 3 && text.contains("holds no certificate"), "{told}");
    std::fs::write(world.keys.join("daemon.cert"), good).unwrap();
    assert!(whoami(&mut world.connect("operator")).contains("test-0"));
    // Another authority for both sides.
    let next = Authority::new();
    next.issue(&world.keys, "daemon", 30);
    let (code, told, _) = world.fleet.tool(&["reload"]);
    assert_eq!((code, count(&told, "agreed")), (0, 1), "{told}");
    assert!(whoami(&mut standing).contains("test-0"), "a standing connection was dropped");
    assert_eq!(world.fleet.tool(&["state"]).0, 4, "the old authority is still trusted");
    next.issue(&world.keys, "operator", 30);
    assert_ne!(std::fs::read(&before.cert).unwrap(), old);
    assert_eq!(world.fleet.tool(&["state"]).0, 0);
    world.end();
}

#[test]
fn a_flood_of_strangers_keeps_no_operator_out() {
    let (world, _) = start("tls-flood");
    let strangers: Vec<TcpStream> = (0..300).filter_map(|_| TcpStream::connect(world.listen).ok()).collect();
    assert!(strangers.len() > 250);
    let began = Instant::now();
    while world.fleet.tool(&["state"]).0 != 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "strangers keep the operator out");
    }
    // The local socket has its own room.
    assert_eq!(world.fleet.state_local(0), "test-0");
    assert!(world.fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok")));
    drop(strangers);
    world.end();
}

#[test]
fn a_takeover_hands_the_address_for_control_on() {
    let (mut world, _) = start("tls-takeover");
    let boot = states(&world.fleet.tool(&["state"]).1)[0]["boot"].as_u64().unwrap();
    let new = take_over("tls-takeover");
    assert!(world.fleet.daemons[0].child.wait().unwrap().success());
    world.fleet.daemons[0].child = new;
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let (code, state, _) = world.fleet.tool(&["state"]);
        if code == 0 && states(&state)[0]["boot"].as_u64() == Some(boot + 1) {
            break;
        }
        assert!(Instant::now() < until, "the new process is not spoken to over TCP");
    }
    world.end();
}
