//! Discovery, the release service and peers that fail, are silent or send invalid data.

mod common;

use common::*;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;
use violetseam_site_protocol::peer_datagram::{self, PayloadKind};

const READ: &str = "GET /read/1 HTTP/1.1";

/// The JSON of a change of the server list from version `base` to `version`.
fn delta(version: u64, base: u64, entries: &[String]) -> String {
    format!(
        "{{\"kind\":\"delta\",\"version\":{version},\"base\":{base},\"servers\":[{}]}}",
        entries.join(",")
    )
}

/// Starts a server that answers each request with its name.
fn server_with_name(name: &'static str) -> ScriptedServer {
    scripted_server(move |_, mut stream| {
        while read_request(&stream).is_some() {
            write_response(&mut stream, "200 OK", "", name);
        }
    })
}

#[test]
fn requests_move_from_a_draining_server_to_a_new_one() {
    let (old, new) = (server_with_name("old"), server_with_name("new"));
    let proxy = Proxy::with_servers(&[old.addr], "");
    assert!(proxy.request(READ, "").ends_with("old"));
    proxy.site.push(&delta(6, 5, &[server_json(1, old.addr, "draining"), server_json(2, new.addr, "ready")]));
    wait_for("requests to go to the new server", || proxy.request(READ, "").ends_with("new"));
    for _ in 0..30 {
        assert!(proxy.request(READ, "").ends_with("new"), "a request was sent to the draining server");
    }
    proxy.drain();
}

#[test]
fn invalid_or_outdated_list_updates_are_ignored_and_the_list_is_fetched_again() {
    let (server, other) = (server_with_name("right"), server_with_name("wrong"));
    let proxy = Proxy::with_servers(&[server.addr], "");
    let stale =
        format!("{{\"kind\":\"full\",\"version\":2,\"servers\":[{}]}}", server_json(9, other.addr, "ready"));
    let invalid_lines = [
        "not json at all".to_owned(),
        "{\"kind\":\"full\",\"version\":9,\"servers\":7}".to_owned(),
        stale,
        delta(12, 11, &[server_json(9, other.addr, "ready")]),
        format!("{{\"kind\":\"full\",\"version\":9,\"servers\":[{}]}}", server_json(9, other.addr, "gone")),
        "x".repeat(5 << 20),
    ];
    for line in invalid_lines {
        let sent_before = proxy.site.lists_sent.load(Ordering::SeqCst);
        proxy.site.push(&line);
        wait_for("discovery to be asked for the list again", || {
            proxy.site.lists_sent.load(Ordering::SeqCst) > sent_before
        });
        for _ in 0..5 {
            assert!(proxy.request(READ, "").ends_with("right"), "after {:.40}", line);
        }
    }
    assert_eq!(other.accepted.load(Ordering::SeqCst), 0);
    proxy.drain();
}

#[test]
fn a_restarted_proxy_uses_the_saved_list_while_discovery_does_not_respond() {
    let server = server_with_name("saved");
    let directory = std::env::temp_dir().join(format!("violetseam-saved-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let state_setting = format!("STATE = \"{}\"", directory.display());
    let with_state =
        |site: &Site, end: &str| settings_text(site, end).replace("seed = 3", "seed = 3, state_dir = STATE");
    // The script is evaluated from top to bottom, so STATE must be defined before the section that uses it.
    let start = |site: Site| {
        let text = format!("{state_setting}\n{}", with_state(&site, ""));
        Proxy::with_settings(site, &text)
    };
    let first = start(Site::start(full_list(&[server.addr])));
    wait_for("the proxy to have the server list", || first.request(READ, "").ends_with("saved"));
    first.drain();
    // Discovery never responds, so the saved list is used.
    let mut site = Site::start(String::new());
    site.discovery = scripted_server(|_, stream| {
        std::thread::sleep(Duration::from_secs(5));
        drop(stream);
    });
    let second = start(site);
    assert!(second.request(READ, "").ends_with("saved"));
    second.drain();
    // The saved list is damaged and ignored; requests are refused until discovery has sent a list.
    std::fs::write(directory.join("roster-0.json"), "17\n{\"kind\"").unwrap();
    let third = start(Site::start(full_list(&[server.addr])));
    wait_for("the proxy to have the server list", || third.request(READ, "").ends_with("saved"));
    third.drain();
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_silent_or_invalid_release_service_disturbs_no_request() {
    let server = server_with_name("fine");
    for invalid in [false, true] {
        let mut site = Site::start(full_list(&[server.addr]));
        site.release_service = scripted_server(move |_, mut stream| {
            if invalid {
                write_response(&mut stream, "200 OK", "", "{\"build\":-1}\n");
            } else {
                std::thread::sleep(Duration::from_secs(2));
            }
        });
        let text = settings_text(&site, "");
        let proxy = Proxy::with_settings(site, &text);
        wait_for("the proxy to have the server list", || proxy.request(READ, "").ends_with("fine"));
        for _ in 0..20 {
            assert!(proxy.request(READ, "").ends_with("fine"));
        }
        if invalid {
            let calls_before = proxy.site.release_service.accepted.load(Ordering::SeqCst);
            wait_for("the release service to be called again", || {
                proxy.site.release_service.accepted.load(Ordering::SeqCst) > calls_before + 2
            });
        }
        proxy.drain();
    }
}

#[test]
fn datagrams_from_unknown_senders_of_other_versions_or_malformed_are_dropped() {
    let (request_sender, _requests) = channel();
    let server = healthy_server(request_sender);
    let peer_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let reserved = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let own_addr: SocketAddr = reserved.local_addr().unwrap();
    drop(reserved);
    let peers = format!(
        "peers(listen = \"{own_addr}\", addrs = [\"{own_addr}\", \"{}\"])",
        peer_socket.local_addr().unwrap()
    );
    let site = Site::start(full_list(&[server.addr]));
    let text = settings_text(&site, &peers).replace("size = 1", "size = 2, site = 4");
    let proxy = Proxy::with_settings(site, &text);
    wait_for("the proxy to have the server list", || outcome(&proxy.request(READ, "")) == "served");
    let unknown_sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let valid = peer_datagram::encode(4, 1, PayloadKind::Gossip, &[0; 64]).unwrap();
    for n in 0..2_000u32 {
        let mut bytes = valid.clone();
        match n % 5 {
            0 => bytes[2] = 9,
            1 => bytes.truncate((n % 60) as usize),
            2 => bytes[12 + (n % 60) as usize] ^= 0xff,
            3 => bytes = peer_datagram::encode(4, n as u16, PayloadKind::Gossip, &[n as u8; 200]).unwrap(),
            _ => {}
        }
        unknown_sender.send_to(&bytes, own_addr).unwrap();
        peer_socket.send_to(&bytes, own_addr).unwrap();
    }
    for _ in 0..20 {
        assert_eq!(outcome(&proxy.request(READ, "")), "served");
    }
    proxy.drain();
}

#[test]
fn a_silent_controller_is_left_for_the_standby_and_its_outdated_status_is_ignored() {
    use std::io::{Read, Write};
    let status_response = |fence: u64, stage: u8, phase: &str| {
        let status = format!(
            "{{\"build\":2,\"stage\":{stage},\"phase\":\"{phase}\",\"cap\":0.5,\"fence\":{fence}}}\n"
        );
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{status}\r\n", status.len())
    };
    // The first controller sends one status and then nothing more. When it is asked again, it still has its
    // old fence, now with a later stage.
    let (close_sender, closed) = channel();
    let close_sender = std::sync::Mutex::new(close_sender);
    let first = scripted_server(move |number, mut stream| {
        if read_request(&stream).is_none() {
            return;
        }
        let response =
            if number == 0 { status_response(1, 0, "trial") } else { status_response(1, 1, "trial") };
        let _ = stream.write_all(response.as_bytes());
        let started_at = std::time::Instant::now();
        // Waits until the proxy closes the connection.
        while !matches!(stream.read(&mut [0; 64]), Ok(0)) && started_at.elapsed() < Duration::from_secs(5) {}
        let _ = close_sender.lock().unwrap().send((number, started_at.elapsed()));
    });
    let second = scripted_server(move |_, mut stream| {
        if read_request(&stream).is_some() {
            let _ = stream.write_all(status_response(2, 0, "rolling_back").as_bytes());
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let server = server_with_name("served");
    let site = Site::start(full_list(&[server.addr]));
    let controllers = format!(
        "desk(addr = \"{}\", standby = [\"{}\"], silence = \"300ms\", reconnect = \"20ms\")",
        first.addr, second.addr
    );
    let text = settings_text(&site, "");
    let old_section = text.lines().find(|line| line.starts_with("desk(")).unwrap().to_owned();
    let proxy = Proxy::with_settings(site, &text.replace(&old_section, &controllers));
    let (number, open_for) = closed.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(
        number == 0 && open_for >= Duration::from_millis(200),
        "connection {number} to the silent controller was closed after {open_for:?}"
    );
    // The status of the first controller is now older than the one received from the second, so that the
    // proxy leaves the first at once each time.
    for _ in 0..3 {
        let (number, open_for) = closed.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(
            number > 0 && open_for < Duration::from_millis(200),
            "connection {number} to the outdated controller stayed open for {open_for:?}"
        );
    }
    assert!(second.accepted.load(Ordering::SeqCst) >= 3);
    assert!(proxy.request(READ, "").ends_with("served"));
    proxy.drain();
}
