//! Header fields by which clients and servers here tell each other what the proxy between them does not need to know.

use violetseam_http1::RequestHead;

/// Names the client's request to the servers.
pub const REQUEST: &str = "x-lab-request";
/// The request's true work, in microseconds of a standard core.
pub const WORK: &str = "x-lab-work-us";
/// The request's class, by index.
pub const CLASS: &str = "x-lab-class";
/// On an answer: nobody but the stand-ins can tell that it is wrong.
pub const WRONG: &str = "x-lab-wrong";
/// On an answer: the build that gave it.
pub const BUILD: &str = "x-lab-build";
/// On a 503: the request was not run.
pub const NOT_RUN: &str = "x-not-run";
/// The request's key.
pub const KEY: &str = "idempotency-key";

/// A field as a number.
pub(super) fn number(head: &RequestHead, name: &str) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The proxy that sent a request: the last number of its `Via`.
pub(super) fn proxy_of(head: &RequestHead) -> u32 {
    let via = head.headers.get_all("via").into_iter().next_back().and_then(|v| v.to_str().ok()).unwrap_or("");
    via.rsplit('-').next().and_then(|n| n.trim().parse().ok()).unwrap_or(u32::MAX)
}

/// A key as a number: the number it is, or one that stands for its text.
pub(super) fn key_of(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| text.bytes().fold(7, |h: u64, b| h.wrapping_mul(31) + u64::from(b)))
}
