//! Header fields by which simulated clients and servers tell each other what the proxy between them need not
//! know.

use violetseam_http1::RequestHead;

/// Number of the client's request.
pub const REQUEST: &str = "x-lab-request";
/// The request's true work, in microseconds of a standard core.
pub const WORK: &str = "x-lab-work-us";
/// Index of the request's class.
pub const CLASS: &str = "x-lab-class";
/// On a response: the answer is wrong, which only the simulation can tell.
pub const WRONG: &str = "x-lab-wrong";
/// On a response: the build that gave it.
pub const BUILD: &str = "x-lab-build";
/// On a 503: the request was not executed.
pub const NOT_RUN: &str = "x-not-run";
/// The request's idempotency key.
pub const KEY: &str = "idempotency-key";

/// A field as a number.
pub(super) fn number(head: &RequestHead, name: &str) -> Option<u64> {
    text(head, name)?.parse().ok()
}

/// The index of the request's class; 0 without one.
pub(super) fn class_of(head: &RequestHead) -> usize {
    number(head, CLASS).unwrap_or(0) as usize
}

/// The proxy that sent a request: the last number of its `Via`.
pub(super) fn proxy_of(head: &RequestHead) -> u32 {
    let last = head.headers.get_all("via").into_iter().next_back();
    let via = last.and_then(|value| value.to_str().ok()).unwrap_or("");
    via.rsplit('-').next().and_then(|number| number.trim().parse().ok()).unwrap_or(u32::MAX)
}

/// The idempotency key as a number: its value, or a hash of its text; 0 without a key.
pub(super) fn key_of(head: &RequestHead) -> u64 {
    let Some(key) = text(head, KEY) else { return 0 };
    let hash = |hash: u64, byte: u8| hash.wrapping_mul(31) + u64::from(byte);
    key.parse().unwrap_or_else(|_| key.bytes().fold(7, hash))
}

fn text<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
