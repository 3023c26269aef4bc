//! Discovery, the release service and peers that fail, are silent or send invalid data.

mod common;

use common::*;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;
use violetseam_site_protocol::peer_datagram::{self, PayloadKind};

const READ: &str = "GET /read/1 HTTP/1.1";

fn delta(version: u64, base: u64, lines: &[String]) -> String {
    format!("{{\"kind\":\"delta\",\"version\":{version},\"base\":{base},\"servers\":[{}]}}", lines.join(","))
}

/// A server that answers with its name.
fn named(name: &'static str) -> ScriptedServer {
    scripted_server(move |_, mut stream| {
        while read_request(&stream).is_some() {
            answer(&mut stream, "200 OK", "", name);
        }
    })
}

#[test]
fn drains_and_new_servers_are_followed() {
    let (old, new) = (named("old"), named("new"));
    let proxy = Proxy::with_servers(&[old.addr], "");
    assert!(proxy.request(READ, "").ends_with("old"));
    proxy.site.push(&delta(6, 5, &[line(1, old.addr, "draining"), line(2, new.addr, "ready")]));
    wait_for("requests to move", || proxy.request(READ, "").ends_with("new"));
    for _ in 0..30 {
        assert!(proxy.request(READ, "").ends_with("new"), "sent to a draining server");
    }
    proxy.drain();
}

#[test]
fn garbage_gaps_and_versions_that_go_back_change_nothing_and_the_list_is_asked_for_again() {
    let (server, other) = (named("right"), named("wrong"));
    let proxy = Proxy::with_servers(&[server.addr], "");
    let stale = format!("{{\"kind\":\"full\",\"version\":2,\"servers\":[{}]}}", line(9, other.addr, "ready"));
    let lines = [
        "not json at all".to_owned(),
        "{\"kind\":\"full\",\"version\":9,\"servers\":7}".to_owned(),
        stale,
        delta(12, 11, &[line(9, other.addr, "ready")]),
        format!("{{\"kind\":\"full\",\"version\":9,\"servers\":[{}]}}", line(9, other.addr, "gone")),
        "x".repeat(5 << 20),
    ];
    for bad in lines {
        let sent_before = proxy.site.lists_sent.load(Ordering::SeqCst);
        proxy.site.push(&bad);
        wait_for("the roster to be asked again", || {
            proxy.site.lists_sent.load(Ordering::SeqCst) > sent_before
        });
        for _ in 0..5 {
            assert!(proxy.request(READ, "").ends_with("right"), "after {:.40}", bad);
        }
    }
    assert_eq!(other.accepted.load(Ordering::SeqCst), 0);
    proxy.drain();
}

#[test]
fn a_restart_goes_on_with_the_list_saved_and_without_the_roster() {
    let server = named("saved");
    let folder = std::env::temp_dir().join(format!("violetseam-saved-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let more = format!("STATE = \"{}\"", folder.display());
    let with_state =
        |site: &Site, more: &str| settings(site, more).replace("seed = 3", "seed = 3, state_dir = STATE");
    // The script is read top down: the folder's name comes before the section that uses it.
    let start = |site: Site| {
        let text = format!("{more}\n{}", with_state(&site, ""));
        Proxy::with_settings(site, &text)
    };
    let first = start(Site::start(list(&[server.addr])));
    wait_for("the list to be known", || first.request(READ, "").ends_with("saved"));
    first.drain();
    // Discovery never answers: the saved list is used.
    let mut site = Site::start(String::new());
    site.discovery = scripted_server(|_, stream| {
        std::thread::sleep(Duration::from_secs(5));
        drop(stream);
    });
    let second = start(site);
    assert!(second.request(READ, "").ends_with("saved"));
    second.drain();
    // What was saved is damaged: it is ignored, requests are refused until a list comes.
    std::fs::write(folder.join("roster-0.json"), "17\n{\"kind\"").unwrap();
    let third = start(Site::start(list(&[server.addr])));
    wait_for("the list to be known", || third.request(READ, "").ends_with("saved"));
    third.drain();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_silent_or_rude_desk_disturbs_no_request() {
    let server = named("fine");
    for rude in [false, true] {
        let mut site = Site::start(list(&[server.addr]));
        site.release_service = scripted_server(move |_, mut stream| {
            if rude {
                answer(&mut stream, "200 OK", "", "{\"build\":-1}\n");
            } else {
                std::thread::sleep(Duration::from_secs(2));
            }
        });
        let text = settings(&site, "");
        let proxy = Proxy::with_settings(site, &text);
        wait_for("the list to be known", || proxy.request(READ, "").ends_with("fine"));
        for _ in 0..20 {
            assert!(proxy.request(READ, "").ends_with("fine"));
        }
        if rude {
            let calls_before = proxy.site.release_service.accepted.load(Ordering::SeqCst);
            wait_for("the desk to be called again", || {
                proxy.site.release_service.accepted.load(Ordering::SeqCst) > calls_before + 2
            });
        }
        proxy.drain();
    }
}

#[test]
fn datagrams_from_strangers_other_versions_and_garbage_are_dropped() {
    let (seen, _requests) = channel();
    let server = healthy_server(seen);
    let peer_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let free = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let own: SocketAddr = free.local_addr().unwrap();
    drop(free);
    let peers =
        format!("peers(listen = \"{own}\", addrs = [\"{own}\", \"{}\"])", peer_socket.local_addr().unwrap());
    let site = Site::start(list(&[server.addr]));
    let text = settings(&site, &peers).replace("size = 1", "size = 2, site = 4");
    let proxy = Proxy::with_settings(site, &text);
    wait_for("the list to be known", || outcome(&proxy.request(READ, "")) == "served");
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let sound = peer_datagram::encode(4, 1, PayloadKind::Gossip, &[0; 64]).unwrap();
    for n in 0..2_000u32 {
        let mut bytes = sound.clone();
        match n % 5 {
            0 => bytes[2] = 9,
            1 => bytes.truncate((n % 60) as usize),
            2 => bytes[12 + (n % 60) as usize] ^= 0xff,
            3 => bytes = peer_datagram::encode(4, n as u16, PayloadKind::Gossip, &[n as u8; 200]).unwrap(),
            _ => {}
        }
        stranger.send_to(&bytes, own).unwrap();
        peer_socket.send_to(&bytes, own).unwrap();
    }
    for _ in 0..20 {
        assert_eq!(outcome(&proxy.request(READ, "")), "served");
    }
    proxy.drain();
}

#[test]
fn a_controller_that_stood_still_is_left_for_the_next_and_its_older_word_is_not_obeyed() {
    use std::io::{Read, Write};
    let status_response = |fence: u64, stage: u8, phase: &str| {
        let line = format!(
            "{{\"build\":2,\"stage\":{stage},\"phase\":\"{phase}\",\"cap\":0.5,\"fence\":{fence}}}\n"
        );
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())
    };
    // The first tells once and stands still; asked again, it is still where it was, and further.
    let (left, is_left) = channel();
    let left = std::sync::Mutex::new(left);
    let first = scripted_server(move |n, mut stream| {
        if read_request(&stream).is_none() {
            return;
        }
        let line = if n == 0 { status_response(1, 0, "trial") } else { status_response(1, 1, "trial") };
        let _ = stream.write_all(line.as_bytes());
        let began = std::time::Instant::now();
        // Until the proxy goes away.
        while !matches!(stream.read(&mut [0; 64]), Ok(0)) && began.elapsed() < Duration::from_secs(5) {}
        let _ = left.lock().unwrap().send((n, began.elapsed()));
    });
    let second = scripted_server(move |_, mut stream| {
        if read_request(&stream).is_some() {
            let _ = stream.write_all(status_response(2, 0, "rolling_back").as_bytes());
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let server = named("served");
    let site = Site::start(list(&[server.addr]));
    let desks = format!(
        "desk(addr = \"{}\", standby = [\"{}\"], silence = \"300ms\", reconnect = \"20ms\")",
        first.addr, second.addr
    );
    let text = settings(&site, "");
    let old = text.lines().find(|l| l.starts_with("desk(")).unwrap().to_owned();
    let proxy = Proxy::with_settings(site, &text.replace(&old, &desks));
    let (n, stood) = is_left.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(n == 0 && stood >= Duration::from_millis(200), "silence is waited for: {stood:?}");
    // From then on the first one's word is older than what was heard: left at once, each time.
    for _ in 0..3 {
        let (n, stood) = is_left.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(n > 0 && stood < Duration::from_millis(200), "an older word was listened to for {stood:?}");
    }
    assert!(second.accepted.load(Ordering::SeqCst) >= 3);
    assert!(proxy.request(READ, "").ends_with("served"));
    proxy.drain();
}
