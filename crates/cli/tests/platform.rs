//! Tests of the platform proxy, started by the `run` line against scripted servers and services: it serves,
//! reloads its configuration and shuts down, and bad clients and bad servers do no harm to others.

mod common;

use common::PROGRAM;
use common::platform::{
    Heard, Say, Server, config, discovery, discovery_at_revision, encode_command, good, look, pipeline,
    server, start, value, wait_until,
};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

fn start_proxy(name: &str, servers: &[&Server]) -> common::platform::Proxy {
    let addrs: Vec<SocketAddr> = servers.iter().map(|s| s.addr).collect();
    start(name, &config(discovery(&addrs), pipeline().0, &addrs, 256))
}

#[test]
fn calls_are_forwarded_unchanged_and_answered_in_order() {
    // The server takes longer to answer the first call than the second.
    let slow = |words: &[String]| if words[2] == "first" { 60 } else { 5 };
    let server_a = server(move |words, _| Say::Later(Duration::from_millis(slow(words)), good(words)));
    let proxy = start_proxy("order", &[&server_a]);
    let mut client = proxy.open();
    let post =
        encode_command(&["CALL.POST", "k2", "second", "c=book,t=one,d=2000,k=5c0f,r=1", "BODY\r\nmore"]);
    client.send(&[look("first", 1000), post].concat());
    assert_eq!(client.read_reply(), Heard::Value(value("first")));
    assert_eq!(client.read_reply(), Heard::Value(value("second")));
    let received = server_a.received.lock().unwrap().clone();
    let second = received.iter().find(|w| w[2] == "second").unwrap();
    assert_eq!((&second[0][..], &second[1][..], &second[4][..]), ("CALL.POST", "k2", "BODY\r\nmore"));
    let list: Vec<&str> = second[3].split(',').collect();
    assert_eq!((list[0], list[1], list[3], list[4]), ("c=book", "t=one", "k=5c0f", "r=1"));
    let wait: u64 = list[2].strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..=2000).contains(&wait), "an attempt states {wait} ms as its deadline, expected 1 to 2000 ms");
    proxy.end();
}

#[test]
fn reload_takes_effect_and_shutdown_answers_every_accepted_call() {
    let server_a = server(|words, _| Say::Later(Duration::from_millis(20), good(words)));
    let server_b = server(|words, _| Say::Later(Duration::from_millis(300), good(words)));
    let proxy = start_proxy("reload", &[&server_a]);
    let mut client = proxy.open();
    assert_eq!(client.ask(&look("a", 1000)), Heard::Value(value("a")));
    // A configuration file that cannot be read leaves the old configuration in force.
    std::fs::write(&proxy.config_file, "{").unwrap();
    proxy.signal(Signal::HUP);
    assert_eq!(client.ask(&look("b", 1000)), Heard::Value(value("b")));
    let (release_service, watch_count) = pipeline();
    // The same discovery service at another address, with a list that has changed since.
    let moved_discovery = discovery_at_revision(42, &[server_b.addr]);
    std::fs::write(&proxy.config_file, config(moved_discovery, release_service, &[], 256)).unwrap();
    proxy.signal(Signal::HUP);
    let mut call_number = 0;
    wait_until("no call reached the server of the new list", || {
        call_number += 1;
        assert!(matches!(client.ask(&look(&format!("c{call_number}"), 1000)), Heard::Value(_)));
        !server_b.received.lock().unwrap().is_empty()
    });
    wait_until("no watch reached the new release service", || *watch_count.lock().unwrap() > 0);
    // When the process gets SIGTERM with a request in flight, it still accepts another one, answers both and
    // closes.
    client.send(&look("last", 1000));
    wait_until("the last call did not reach the server", || {
        server_b.received.lock().unwrap().iter().any(|w| w[2] == "last")
    });
    proxy.signal(Signal::TERM);
    let mut late = proxy.open();
    assert_eq!(late.ask(&look("late", 1000)), Heard::Value(value("late")));
    assert_eq!(client.read_reply(), Heard::Value(value("last")));
    assert_eq!((client.read_reply(), late.read_reply()), (Heard::Closed, Heard::Closed));
    assert!(proxy.wait_for_exit().success());
}

#[test]
fn invalid_calls_get_an_error_or_a_close_and_reach_no_server() {
    let server_a = server(|words, _| Say::Later(Duration::from_millis(200), good(words)));
    let proxy = start_proxy("rude", &[&server_a]);
    let mut valid_client = proxy.open();
    valid_client.send(&look("open", 3000));
    wait_until("the valid call did not reach the server", || !server_a.received.lock().unwrap().is_empty());
    let call = |list: &str| encode_command(&["CALL.GET", "key", "bad", list]);
    let burst: Vec<u8> = (0..300).flat_map(|_| look("bad", 1000)).collect();
    let bad: Vec<(&str, Vec<u8>)> = vec![
        ("noise", vec![0x8e, 0xff, 0x00, 0x0a]),
        ("HTTP", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("an endless line", vec![b'*'; 5000]),
        ("a wrong length", b"*1\r\n$x\r\n".to_vec()),
        ("a negative length", b"*-3\r\n".to_vec()),
        ("a huge count", b"*1000000000\r\n".to_vec()),
        ("60 MB", b"*2\r\n$8\r\nCALL.GET\r\n$60000000\r\naaaaaaaaaaaaaaaa".to_vec()),
        ("no such class", call("c=none,t=one,d=480")),
        ("no deadline", call("c=look,t=one")),
        ("a deadline that is no number", call("c=look,t=one,d=soon")),
        ("a negative deadline", call("c=look,t=one,d=-1")),
        ("no id", encode_command(&["CALL.GET", "key", "c=look,t=one,d=480"])),
        (
            "no key in a class with keys",
            encode_command(&["CALL.POST", "key", "bad", "c=book,t=one,d=480", "b"]),
        ),
        ("the wrong verb", encode_command(&["CALL.POST", "key", "bad", "c=look,t=one,d=480", "b"])),
        ("an id that is open", look("open", 1000)),
        ("hundreds at once", burst),
    ];
    for (what, bytes) in &bad {
        let mut client = proxy.open();
        client.send(bytes);
        match client.read_reply() {
            Heard::Line(text) => {
                assert!(text.starts_with("-ERR "), "{what}: {text}");
                assert_eq!(client.read_reply(), Heard::Closed, "{what}");
            }
            other => panic!("{what}: {other:?}"),
        }
    }
    // A connection with half a command, and one with no input at all, are closed in time.
    for bytes in [&b"*4\r\n$8\r\nCALL.GET\r\n$3\r\nke"[..], b""] {
        let (started, mut client) = (Instant::now(), proxy.open());
        client.send(bytes);
        assert_eq!(client.read_reply(), Heard::Closed);
        assert!(started.elapsed() < Duration::from_secs(3));
    }
    assert_eq!(valid_client.read_reply(), Heard::Value(value("open")));
    assert_eq!(valid_client.ask(&look("after", 2000)), Heard::Value(value("after")));
    let received = server_a.received.lock().unwrap().clone();
    assert!(received.iter().all(|w| w[2] != "bad"), "an invalid call reached a server: {received:?}");
    proxy.end();
}

/// Opens more silent connections than the process has descriptors, while another client must be served.
#[test]
fn silent_connections_do_not_block_other_clients() {
    let server_a = server(|words, _| Say::Bytes(good(words)));
    let proxy = start_proxy("silent", &[&server_a]);
    let silent: Vec<_> = (0..600).map(|_| proxy.open()).collect();
    for n in 0..20 {
        let mut client = proxy.open();
        assert_eq!(client.ask(&look(&format!("n{n}"), 3000)), Heard::Value(value(&format!("n{n}"))));
    }
    for mut client in silent {
        assert_eq!(client.read_reply(), Heard::Closed);
    }
    proxy.end();
}

/// Of the first server, every second response is malformed, in turn in each of nine ways; the second server
/// closes every third connection. A client gets the value that belongs to its request, or an error.
#[test]
fn malformed_responses_are_never_served() {
    let malformed: [&[u8]; 9] = [
        b"\x14\xff\r\nnoise\r\n",
        b"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
        b":5\r\n",
        b"*1000000000\r\n",
        b"*3\r\n$-7\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$3000000000\r\naaaaaaaaaaaaaaaaaaaaa",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"+OK\r\n",
    ];
    let malformed_or_nothing = move |_: &[String], n: usize| {
        if n.is_multiple_of(2) {
            Say::Bytes(malformed[n / 2 % malformed.len()].to_vec())
        } else {
            Say::Nothing
        }
    };
    let server_a = server(move |words, n| match malformed_or_nothing(words, n) {
        Say::Nothing => Say::Bytes(good(words)),
        other => other,
    });
    let server_b = server(|words, n| if n.is_multiple_of(3) { Say::Close } else { Say::Bytes(good(words)) });
    let proxy = start_proxy("spoilt", &[&server_a, &server_b]);
    let (mut served, mut client) = (0, proxy.open());
    for n in 0..100 {
        let id = format!("n{n}");
        match client.ask(&look(&id, 1000)) {
            Heard::Value(received) => {
                assert_eq!(received, value(&id));
                served += 1;
            }
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            Heard::Closed => panic!("the connection closed with a request in flight"),
        }
    }
    assert!(served > 50 && server_a.received.lock().unwrap().len() > 20, "{served} of 100 calls were served");
    proxy.end();
}

/// Bytes that follow a complete response, at once or a little later, must not answer another request.
#[test]
fn bytes_after_a_complete_response_answer_no_request() {
    let server_a = server(|words, n| match n % 3 {
        0 => Say::Bytes([good(words), good(words)].concat()),
        1 => Say::Bytes([good(words), b"noise".to_vec()].concat()),
        _ => Say::Bytes([&good(words)[..good(words).len() - 5], b"$99999999\r\n"].concat()),
    });
    let proxy = start_proxy("surplus", &[&server_a]);
    let mut client = proxy.open();
    for n in 0..30 {
        let id = format!("n{n}");
        assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)));
    }
    proxy.end();
}

#[test]
fn an_unanswered_attempt_ends_by_the_deadline() {
    let server_a = server(|_, _| Say::Nothing);
    let proxy = start_proxy("nothing", &[&server_a]);
    let (started, mut client) = (Instant::now(), proxy.open());
    let Heard::Line(text) = client.ask(&look("a", 400)) else {
        panic!("no error line, though no server answers")
    };
    assert!(text.starts_with("-BUSY"), "a call that is safe to retry got {text}");
    assert!(started.elapsed() < Duration::from_millis(470), "{:?}", started.elapsed());
    proxy.end();
}

#[test]
fn a_failed_start_prints_one_line_and_exits_with_status_2() {
    let file = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-config.json");
    std::fs::write(&file, "{\"name\":7}").unwrap();
    let run = |set: &[(&str, &str)]| {
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--platform"]);
        for name in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONFIG"] {
            command.env_remove(name);
        }
        let out = command.envs(set.iter().copied()).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let all = [("PROXY_NAME", "n"), ("PROXY_LISTEN", "127.0.0.1:0"), ("PROXY_DISCOVERY", "127.0.0.1:1")];
    let (code, text) = run(&all);
    assert_eq!((code, text.trim()), (Some(2), "violetseam: PROXY_CONFIG is not set"));
    let with = [&all[..], &[("PROXY_CONFIG", file.to_str().unwrap())]].concat();
    let (code, text) = run(&with);
    assert!(code == Some(2) && text.contains("configuration: ") && text.lines().count() == 1, "{text}");
}
