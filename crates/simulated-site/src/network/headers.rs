//! Header fields that simulated clients and servers exchange through the proxy between them. Most carry facts
//! of the simulation that the proxy does not need.

use violetseam_http1::RequestHead;

/// The number of the client's attempt in the records.
pub const REQUEST_NUMBER: &str = "x-lab-request";
/// The work that the request actually takes, in microseconds of a standard core.
pub const WORK_US: &str = "x-lab-work-us";
/// The index of the request's class.
pub const CLASS_INDEX: &str = "x-lab-class";
/// Marks a response whose answer is wrong, which only the simulation can know.
pub const WRONG_ANSWER: &str = "x-lab-wrong";
/// The number of the build that gave the response.
pub const BUILD: &str = "x-lab-build";
/// Marks a 503 response to a request that the server did not execute.
pub const NOT_RUN: &str = "x-not-run";
/// The request's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Returns the value of a field as a number, or `None` if the field is absent or not a number.
pub(super) fn numeric_field(head: &RequestHead, name: &str) -> Option<u64> {
    text_field(head, name)?.parse().ok()
}

/// Returns the index of the request's class, or 0 if the request does not state it.
pub(super) fn class_index(head: &RequestHead) -> usize {
    numeric_field(head, CLASS_INDEX).unwrap_or(0) as usize
}

/// Returns the position of the proxy that sent a request, which is the last number of its `Via` field, or
/// `u32::MAX` if there is none.
pub(super) fn sending_proxy(head: &RequestHead) -> u32 {
    let last = head.headers.get_all("via").into_iter().next_back();
    let via = last.and_then(|value| value.to_str().ok()).unwrap_or("");
    via.rsplit('-').next().and_then(|number| number.trim().parse().ok()).unwrap_or(u32::MAX)
}

/// Returns the idempotency key as a number: its value if it is numeric, otherwise a hash of its text.
/// Returns 0 if the request has no key.
pub(super) fn numeric_key(head: &RequestHead) -> u64 {
    let Some(key) = text_field(head, IDEMPOTENCY_KEY) else { return 0 };
    let hash = |hash: u64, byte: u8| hash.wrapping_mul(31) + u64::from(byte);
    key.parse().unwrap_or_else(|_| key.bytes().fold(7, hash))
}

fn text_field<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
