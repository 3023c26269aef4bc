//! Tests the parsing of commands and replies: which input is accepted, which is rejected and how early, input
//! that ends at any byte of a message, and agreement with the `redis-protocol` crate.

use proptest::prelude::*;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use violetseam_resp::command::ParsedCommand;
use violetseam_resp::reply::{ParsedReply, Reply};
use violetseam_resp::{Bounds, FramingError, command, reply};

const BOUNDS: Bounds =
    Bounds { max_elements: 6, max_bulk_bytes: 100, max_line_bytes: 32, max_message_bytes: 300 };

#[test]
fn a_command_is_parsed_without_the_bytes_that_follow_it() {
    let input = b"*2\r\n$3\r\nfoo\r\n$0\r\n\r\nrest";
    let command = command::parse(input, &BOUNDS).unwrap().unwrap();
    let expected = ParsedCommand { arguments: vec![&b"foo"[..], b""], length: input.len() - 4 };
    assert_eq!(command, expected);
}

/// Guards against buffering content that is rejected later: a length that is not allowed must be rejected as
/// soon as the line that declares it is complete.
#[test]
fn commands_over_the_bounds_are_rejected_before_their_content_is_buffered() {
    let rejected: [(&[u8], FramingError); 15] = [
        (b"GET / HTTP/1.1\r\n", FramingError::UnexpectedByte(b'G')),
        (b"\x00", FramingError::UnexpectedByte(0)),
        (b"*-1\r\n", FramingError::InvalidLength),
        (b"*0\r\n", FramingError::InvalidLength),
        (b"*x\r\n", FramingError::InvalidLength),
        (b"*\r\n", FramingError::InvalidLength),
        (b"*+1\r\n", FramingError::InvalidLength),
        (b"*7\r\n", FramingError::TooLong),
        (b"*99999999999999999999999\r\n", FramingError::TooLong),
        (b"*1\r\n$101\r\n", FramingError::TooLong),
        (b"*1\r\n$-1\r\n", FramingError::InvalidLength),
        (b"*1\r\n$60000000\r\n", FramingError::TooLong),
        (b"*1\r\n:5\r\n", FramingError::UnexpectedByte(b':')),
        (b"*1\r\n$3\r\nfoobar", FramingError::InvalidLength),
        (b"*1\n", FramingError::UnterminatedLine),
    ];
    for (input, error) in rejected {
        assert_eq!(command::parse(input, &BOUNDS), Err(error), "{:?}", String::from_utf8_lossy(input));
    }
    assert_eq!(
        command::parse(&[b'*'; 32], &BOUNDS),
        Err(FramingError::UnterminatedLine),
        "a line of the maximum length without a line end"
    );
    let message = b"*4\r\n$100\r\n".to_vec();
    let message = [&message[..], &[b'a'; 100], b"\r\n$100\r\n", &[b'a'; 100], b"\r\n$100\r\n"].concat();
    assert_eq!(command::parse(&message, &BOUNDS), Err(FramingError::TooLong), "the bound on the message");
}

#[test]
fn replies_of_each_type_are_parsed() {
    let single = |reply, length| Ok(ParsedReply::Single { reply, length });
    let array = |elements, length| Ok(ParsedReply::Array { elements, length });
    let malformed = |elements, error| Ok(ParsedReply::Malformed { elements, error });
    let cases: [(&[u8], Result<ParsedReply, FramingError>); 11] = [
        (b"+OK\r\n", single(Reply::Simple(b"OK"), 5)),
        (b"-BUSY 20\r\n", single(Reply::Error(b"BUSY 20"), 10)),
        (b":-7\r\n", single(Reply::Integer(-7), 5)),
        (b"$-1\r\n", single(Reply::Null, 5)),
        (b"*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n", array(vec![Reply::Bulk(b"a"), Reply::Null, Reply::Null], 21)),
        (b"*3\r\n$1\r\na\r\n$-1\r\n", Ok(ParsedReply::Incomplete)),
        (
            b"*3\r\n$1\r\na\r\n$-1\r\nnoise",
            malformed(vec![Reply::Bulk(b"a"), Reply::Null], FramingError::UnexpectedByte(b'n')),
        ),
        (b"*3\r\n$4\r\nabcdefgh\r\n", malformed(vec![], FramingError::InvalidLength)),
        (b"$3000000000\r\n", Err(FramingError::TooLong)),
        (b"$-7\r\n", Err(FramingError::InvalidLength)),
        (b"*1000000000\r\n", Err(FramingError::TooLong)),
    ];
    for (input, expected) in cases {
        assert_eq!(reply::parse(input, &BOUNDS), expected, "{:?}", String::from_utf8_lossy(input));
    }
}

proptest! {
    /// A command that is cut at any byte needs more input, and is complete with its last byte.
    #[test]
    fn a_command_is_complete_at_its_last_byte(
        arguments in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..6),
    ) {
        let arguments: Vec<&[u8]> = arguments.iter().map(Vec::as_slice).collect();
        let mut input = Vec::new();
        command::write(&mut input, &arguments);
        for length in 0..input.len() {
            prop_assert_eq!(command::parse(&input[..length], &BOUNDS), Ok(None));
        }
        let expected = ParsedCommand { arguments, length: input.len() };
        prop_assert_eq!(command::parse(&input, &BOUNDS), Ok(Some(expected)));
    }

    /// Parsing never panics, and the length of a parsed message is within the input.
    #[test]
    fn any_bytes_are_parsed_without_a_panic(
        input in prop::collection::vec(
            prop_oneof![
                Just(b'*'), Just(b'$'), Just(b'-'), Just(b'1'), Just(b'\r'), Just(b'\n'), any::<u8>()
            ],
            0..80,
        ),
    ) {
        if let Ok(Some(command)) = command::parse(&input, &BOUNDS) {
            prop_assert!(command.length <= input.len());
        }
        let parsed = reply::parse(&input, &BOUNDS);
        if let Ok(ParsedReply::Array { length, .. } | ParsedReply::Single { length, .. }) = parsed {
            prop_assert!(length <= input.len());
        }
    }

    /// Any complete reply within the bounds, without nested arrays, is parsed as the `redis-protocol` crate
    /// parses it.
    #[test]
    fn complete_replies_agree_with_another_implementation(input in prop_oneof![
        prop::collection::vec(any::<u8>(), 0..60).prop_map(|value| {
            let mut out = Vec::new();
            violetseam_resp::write_bulk(&mut out, &value);
            out
        }),
        "[ -~]{0,20}".prop_map(|text| format!("-{text}\r\n").into_bytes()),
        any::<i64>().prop_map(|n| format!(":{n}\r\n").into_bytes()),
        prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 1..6).prop_map(|elements| {
            let mut out = Vec::new();
            command::write(&mut out, &elements.iter().map(Vec::as_slice).collect::<Vec<_>>());
            out
        }),
    ]) {
        let (expected, expected_length) = decode(&input).unwrap().unwrap();
        let is_equal = |reply: &Reply, expected: &OwnedFrame| match (reply, expected) {
            (Reply::Simple(a), OwnedFrame::SimpleString(b)) => *a == &b[..],
            (Reply::Error(a), OwnedFrame::Error(b)) => *a == b.as_bytes(),
            (Reply::Integer(a), OwnedFrame::Integer(b)) => a == b,
            (Reply::Bulk(a), OwnedFrame::BulkString(b)) => *a == &b[..],
            (Reply::Null, OwnedFrame::Null) => true,
            _ => false,
        };
        match reply::parse(&input, &BOUNDS).unwrap() {
            ParsedReply::Single { reply, length } => {
                prop_assert!(length == expected_length && is_equal(&reply, &expected));
            }
            ParsedReply::Array { elements, length } => {
                let OwnedFrame::Array(expected) = expected else { panic!("not an array: {expected:?}") };
                prop_assert!(length == expected_length && elements.len() == expected.len());
                prop_assert!(elements.iter().zip(&expected).all(|(a, b)| is_equal(a, b)));
            }
            other => prop_assert!(false, "{other:?}"),
        }
    }
}
