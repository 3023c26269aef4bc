//! Framing under any cut of the bytes, and the messages that must be refused.

use proptest::prelude::*;
use violetseam_http1::client::{ClientConnection, ClientEvent, write_request_head};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits};

/// Feeds `input` cut at `cuts`; answers each request at once; returns a line per event, bodies joined.
fn serve(input: &[u8], cuts: &[usize], limits: Limits) -> Vec<String> {
    let mut conn = ServerConnection::new(limits);
    let (mut seen, mut body, mut out) = (Vec::new(), Vec::new(), Vec::new());
    for piece in pieces(input, cuts) {
        conn.feed(piece);
        while let Some(event) = conn.next_event() {
            match event {
                ServerEvent::Head(h) => {
                    let fields = h.headers.iter().map(|(n, v)| format!("{n}={v:?}"));
                    let fields: Vec<String> = fields.collect();
                    let (method, target, framing, keep) = (&h.method, &h.target, h.framing, h.keep_alive);
                    seen.push(format!("{method} {target} {framing:?} {keep} {}", fields.join(" ")));
                }
                ServerEvent::Body(bytes) => body.extend(bytes),
                ServerEvent::End => {
                    seen.push(format!("end {:?}", String::from_utf8_lossy(&std::mem::take(&mut body))));
                    let response = ResponseStart::new(http::StatusCode::OK, Framing::Length(0));
                    conn.start_response(&mut out, response);
                    if !conn.finish_response(&mut out) {
                        seen.push("closed".into());
                    }
                }
                ServerEvent::Error(error) => seen.push(format!("fault {error}")),
            }
        }
    }
    seen
}

fn pieces<'a>(input: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|c| c % (input.len() + 1)).collect();
    at.extend([0, input.len()]);
    at.sort_unstable();
    at.windows(2).map(|w| &input[w[0]..w[1]]).collect()
}

/// The same for answers; `heads` says which requests were HEAD.
fn receive(input: &[u8], cuts: &[usize], to_head: bool) -> Vec<String> {
    let mut conn = ClientConnection::new(Limits::default());
    conn.expect_response(to_head);
    let (mut seen, mut body) = (Vec::new(), Vec::new());
    let note = |event: ClientEvent, body: &mut Vec<u8>, seen: &mut Vec<String>| match event {
        ClientEvent::Head(h) => seen.push(format!("{} {:?}", h.status.as_u16(), h.framing)),
        ClientEvent::Body(bytes) => body.extend(bytes),
        ClientEvent::End { .. } => {
            seen.push(format!("end {:?}", String::from_utf8_lossy(&std::mem::take(body))));
        }
        ClientEvent::Error(error) => seen.push(format!("fault {}", error.reason())),
    };
    for piece in pieces(input, cuts) {
        conn.feed(piece);
        while let Some(event) = conn.next_event() {
            note(event, &mut body, &mut seen);
        }
    }
    if let Some(event) = conn.close() {
        note(event, &mut body, &mut seen);
    }
    seen
}

const PIPELINED: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello\
    GET /b?q=1 HTTP/1.1\r\nHost: x\r\n\r\n\
    PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
    3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n\
    GET http://host/d HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

#[test]
fn pipelined_requests_come_one_by_one() {
    let seen = serve(PIPELINED, &[], Limits::default());
    let ends: Vec<&String> = seen.iter().filter(|s| s.starts_with("end")).collect();
    assert_eq!(ends, ["end \"hello\"", "end \"\"", "end \"abc0123456789\"", "end \"\""]);
    assert!(seen[6].starts_with("GET /d Length(0) false"), "{seen:?}");
    assert_eq!(seen.last().map(String::as_str), Some("closed"));
}

#[test]
fn ambiguous_requests_are_rejected() {
    let cases: [(&str, &str); 17] = [
        ("GET / HTTP/1.1\nHost: x\r\n\r\n", "400: bare line feed in a head"),
        ("GET / HTTP/1.1\r\nHost: x\ry\r\n\r\n", "400: bare carriage return in a head"),
        ("GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n", "400: malformed field name"),
        ("GET / HTTP/1.1\r\nHost : x\r\n\r\n", "400: malformed field name"),
        ("GET / HTTP/1.1\r\n\r\n", "400: Host missing or repeated"),
        ("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400: Host missing or repeated"),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "400: two different lengths",
        ),
        ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n", "400: malformed Content-Length"),
        ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n", "400: malformed Content-Length"),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "400: both Transfer-Encoding and Content-Length",
        ),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            "501: unknown transfer coding",
        ),
        (
            "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
            "400: Transfer-Encoding in HTTP/1.0",
        ),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
            "400: malformed chunk size",
        ),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
            "400: chunk longer than its size",
        ),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\nabc",
            "400: bare line feed in a body",
        ),
        ("GET / HTTP/2.0\r\nHost: x\r\n\r\n", "505: not HTTP/1.x"),
        ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", "413: body over the limit"),
    ];
    for (input, want) in cases {
        let seen = serve(input.as_bytes(), &[], Limits::default());
        let last = seen.last().cloned().unwrap_or_default();
        assert!(last.starts_with(&format!("fault {want}")), "{input:?} gave {seen:?}");
    }
}

#[test]
fn heads_over_their_limits_are_431_before_they_are_complete() {
    let limits = Limits { max_head_bytes: 256, max_fields: 4, ..Limits::default() };
    let long = format!("GET / HTTP/1.1\r\nHost: x\r\nA: {}", "a".repeat(300));
    assert!(serve(long.as_bytes(), &[], limits)[0].starts_with("fault 431"));
    let many = "GET / HTTP/1.1\r\nHost: x\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\n\r\n";
    assert!(serve(many.as_bytes(), &[], limits)[0].starts_with("fault 431"));
}

#[test]
fn chunked_bodies_over_the_limit_are_413() {
    let limits = Limits { max_body_bytes: 10, ..Limits::default() };
    let input = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nB\r\n0123456789A\r\n";
    assert!(serve(input.as_bytes(), &[], limits)[1].starts_with("fault 413"));
}

#[test]
fn responses_are_framed_by_length_chunks_or_close_and_head_has_no_body() {
    let length = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(receive(length, &[], false), ["200 Length(2)", "end \"ok\""]);
    assert_eq!(
        receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", &[], true),
        ["200 Length(0)", "end \"\""]
    );
    let until_close = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n\r\nall of it";
    assert_eq!(receive(until_close, &[], false), ["200 UntilClose", "end \"all of it\""]);
    assert_eq!(receive(b"HTTP/1.1 204 No Content\r\n\r\n", &[], false), ["204 Length(0)", "end \"\""]);
    let cut = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    assert_eq!(receive(cut, &[], false), ["200 Length(9)", "fault closed within a body"]);
    assert_eq!(receive(b"HTTP/1.1 2", &[], false), ["fault closed before an answer"]);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded_and_a_key_cannot_be_stripped() {
    let mut conn = ServerConnection::new(Limits::default());
    conn.feed(
        b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: idempotency-key, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
        Idempotency-Key: 7\r\nKeep-Alive: 5\r\nContent-Length: 2\r\n\r\nhi",
    );
    let Some(ServerEvent::Head(head)) = conn.next_event() else { panic!("no head") };
    let mut out = Vec::new();
    let kept = [http::HeaderName::from_static("idempotency-key")];
    write_request_head(&mut out, &head, &kept, &[("via", b"1.1 p")], Framing::Length(2));
    let text = String::from_utf8(out).unwrap();
    assert_eq!(
        text,
        "POST /x HTTP/1.1\r\nhost: h\r\nidempotency-key: 7\r\nvia: 1.1 p\r\ncontent-length: 2\r\n\r\n"
    );
}

#[test]
fn a_response_before_the_request_is_complete_closes_the_connection() {
    let mut conn = ServerConnection::new(Limits::default());
    conn.feed(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
    while conn.next_event().is_some() {}
    let mut out = Vec::new();
    conn.start_response(&mut out, ResponseStart::new(http::StatusCode::OK, Framing::Length(0)));
    assert!(!conn.finish_response(&mut out));
    assert!(String::from_utf8(out).unwrap().contains("connection: close"));
}

proptest! {
    #[test]
    fn any_cut_gives_the_same_requests(cuts in prop::collection::vec(any::<usize>(), 0..40)) {
        prop_assert_eq!(serve(PIPELINED, &cuts, Limits::default()), serve(PIPELINED, &[], Limits::default()));
    }

    #[test]
    fn any_cut_gives_the_same_responses(cuts in prop::collection::vec(any::<usize>(), 0..40)) {
        let chunked = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
            Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n";
        prop_assert_eq!(receive(chunked, &cuts, false), receive(chunked, &[], false));
    }

    // Bytes altered at a few places of a sound exchange reach deeper than wholly random ones.
    #[test]
    fn damaged_input_is_cut_independent_and_never_panics(
        hits in prop::collection::vec((any::<usize>(), any::<u8>()), 0..6),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = PIPELINED.to_vec();
        for (at, byte) in hits {
            let at = at % input.len();
            input[at] = byte;
        }
        prop_assert_eq!(serve(&input, &cuts, Limits::default()), serve(&input, &[], Limits::default()));
        let _ = receive(&input, &cuts, false);
    }
}
