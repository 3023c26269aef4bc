//! Checks that the events do not depend on how the input is divided, and that malformed, ambiguous and
//! oversized messages are rejected.

use proptest::prelude::*;
use violetseam_http1::client::{ClientConnection, ClientEvent, write_request_head};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits};

/// Passes `input`, divided at `cuts`, to a server connection that responds to each request at once. Returns a
/// line of text per event, with the parts of a body joined.
fn server_events(input: &[u8], cuts: &[usize], limits: Limits) -> Vec<String> {
    let mut connection = ServerConnection::new(limits);
    let (mut events, mut body, mut out) = (Vec::new(), Vec::new(), Vec::new());
    for piece in pieces(input, cuts) {
        connection.feed(piece);
        while let Some(event) = connection.next_event() {
            match event {
                ServerEvent::Head(head) => {
                    let fields = head.headers.iter().map(|(name, value)| format!("{name}={value:?}"));
                    let fields: Vec<String> = fields.collect();
                    let (method, target, framing, keep_alive) =
                        (&head.method, &head.target, head.framing, head.keep_alive);
                    events.push(format!("{method} {target} {framing:?} {keep_alive} {}", fields.join(" ")));
                }
                ServerEvent::Body(bytes) => body.extend(bytes),
                ServerEvent::End => {
                    events.push(format!("end {:?}", String::from_utf8_lossy(&std::mem::take(&mut body))));
                    let response = ResponseStart::new(http::StatusCode::OK, Framing::Length(0));
                    connection.start_response(&mut out, response);
                    if !connection.finish_response(&mut out) {
                        events.push("closed".into());
                    }
                }
                ServerEvent::Error(error) => events.push(format!("fault {error}")),
            }
        }
    }
    events
}

/// Divides `input` at the offsets `cuts`, which are taken modulo its length plus one.
fn pieces<'a>(input: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut % (input.len() + 1)).collect();
    offsets.extend([0, input.len()]);
    offsets.sort_unstable();
    offsets.windows(2).map(|bounds| &input[bounds[0]..bounds[1]]).collect()
}

/// Passes `input`, divided at `cuts`, to a client connection. `is_head_request` states whether the method of
/// the request was HEAD. Returns a line of text per event.
fn client_events(input: &[u8], cuts: &[usize], is_head_request: bool) -> Vec<String> {
    let mut connection = ClientConnection::new(Limits::default());
    connection.expect_response(is_head_request);
    let (mut events, mut body) = (Vec::new(), Vec::new());
    let record = |event: ClientEvent, body: &mut Vec<u8>, events: &mut Vec<String>| match event {
        ClientEvent::Head(head) => events.push(format!("{} {:?}", head.status.as_u16(), head.framing)),
        ClientEvent::Body(bytes) => body.extend(bytes),
        ClientEvent::End { .. } => {
            events.push(format!("end {:?}", String::from_utf8_lossy(&std::mem::take(body))));
        }
        ClientEvent::Error(error) => events.push(format!("fault {}", error.reason())),
    };
    for piece in pieces(input, cuts) {
        connection.feed(piece);
        while let Some(event) = connection.next_event() {
            record(event, &mut body, &mut events);
        }
    }
    if let Some(event) = connection.close() {
        record(event, &mut body, &mut events);
    }
    events
}

const PIPELINED: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello\
    GET /b?q=1 HTTP/1.1\r\nHost: x\r\n\r\n\
    PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
    3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n\
    GET http://host/d HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

#[test]
fn pipelined_requests_are_returned_one_by_one() {
    let events = server_events(PIPELINED, &[], Limits::default());
    let ends: Vec<&String> = events.iter().filter(|event| event.starts_with("end")).collect();
    assert_eq!(ends, ["end \"hello\"", "end \"\"", "end \"abc0123456789\"", "end \"\""]);
    assert!(events[6].starts_with("GET /d Length(0) false"), "{events:?}");
    assert_eq!(events.last().map(String::as_str), Some("closed"));
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
    for (input, expected) in cases {
        let events = server_events(input.as_bytes(), &[], Limits::default());
        let last = events.last().cloned().unwrap_or_default();
        assert!(last.starts_with(&format!("fault {expected}")), "{input:?} gave {events:?}");
    }
}

#[test]
fn heads_over_their_limits_are_rejected_with_431_before_they_are_complete() {
    let limits = Limits { max_head_bytes: 256, max_fields: 4, ..Limits::default() };
    let long_head = format!("GET / HTTP/1.1\r\nHost: x\r\nA: {}", "a".repeat(300));
    assert!(server_events(long_head.as_bytes(), &[], limits)[0].starts_with("fault 431"));
    let head_with_many_fields = "GET / HTTP/1.1\r\nHost: x\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\n\r\n";
    assert!(server_events(head_with_many_fields.as_bytes(), &[], limits)[0].starts_with("fault 431"));
}

#[test]
fn chunked_bodies_over_the_limit_are_rejected_with_413() {
    let limits = Limits { max_body_bytes: 10, ..Limits::default() };
    let input = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nB\r\n0123456789A\r\n";
    assert!(server_events(input.as_bytes(), &[], limits)[1].starts_with("fault 413"));
}

#[test]
fn responses_are_framed_by_length_chunks_or_close_and_head_has_no_body() {
    let length = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(client_events(length, &[], false), ["200 Length(2)", "end \"ok\""]);
    assert_eq!(
        client_events(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", &[], true),
        ["200 Length(0)", "end \"\""]
    );
    let until_close = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n\r\nall of it";
    assert_eq!(client_events(until_close, &[], false), ["200 UntilClose", "end \"all of it\""]);
    assert_eq!(client_events(b"HTTP/1.1 204 No Content\r\n\r\n", &[], false), ["204 Length(0)", "end \"\""]);
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    assert_eq!(client_events(truncated, &[], false), ["200 Length(9)", "fault closed within a body"]);
    assert_eq!(client_events(b"HTTP/1.1 2", &[], false), ["fault closed before an answer"]);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded_and_connection_cannot_strip_an_idempotency_key() {
    let mut connection = ServerConnection::new(Limits::default());
    connection.feed(
        b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: idempotency-key, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
        Idempotency-Key: 7\r\nKeep-Alive: 5\r\nContent-Length: 2\r\n\r\nhi",
    );
    let Some(ServerEvent::Head(head)) = connection.next_event() else { panic!("no head") };
    let mut out = Vec::new();
    let protected = [http::HeaderName::from_static("idempotency-key")];
    write_request_head(&mut out, &head, &protected, &[("via", b"1.1 p")], Framing::Length(2));
    let text = String::from_utf8(out).unwrap();
    assert_eq!(
        text,
        "POST /x HTTP/1.1\r\nhost: h\r\nidempotency-key: 7\r\nvia: 1.1 p\r\ncontent-length: 2\r\n\r\n"
    );
}

#[test]
fn a_response_before_the_request_is_complete_closes_the_connection() {
    let mut connection = ServerConnection::new(Limits::default());
    connection.feed(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
    while connection.next_event().is_some() {}
    let mut out = Vec::new();
    connection.start_response(&mut out, ResponseStart::new(http::StatusCode::OK, Framing::Length(0)));
    assert!(!connection.finish_response(&mut out));
    assert!(String::from_utf8(out).unwrap().contains("connection: close"));
}

proptest! {
    #[test]
    fn any_division_of_the_input_gives_the_same_requests(
        cuts in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        prop_assert_eq!(
            server_events(PIPELINED, &cuts, Limits::default()),
            server_events(PIPELINED, &[], Limits::default())
        );
    }

    #[test]
    fn any_division_of_the_input_gives_the_same_responses(
        cuts in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        let chunked = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
            Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n";
        prop_assert_eq!(client_events(chunked, &cuts, false), client_events(chunked, &[], false));
    }

    // Alters a few bytes of valid requests, as entirely random input would be rejected at its first bytes.
    #[test]
    fn damaged_input_gives_the_same_events_for_any_division_and_never_panics(
        alterations in prop::collection::vec((any::<usize>(), any::<u8>()), 0..6),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = PIPELINED.to_vec();
        for (offset, byte) in alterations {
            let offset = offset % input.len();
            input[offset] = byte;
        }
        prop_assert_eq!(
            server_events(&input, &cuts, Limits::default()),
            server_events(&input, &[], Limits::default())
        );
        let _ = client_events(&input, &cuts, false);
    }
}
