//! Encoding of the gossip messages in which balancers exchange evidence: a header, followed by the counters
//! with run-length encoded zeros.

use super::counters::{Arm, Evidence};
use crate::interface::Build;

/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Version of the message layout and of the units of its counters. Messages of other versions are ignored.
const LAYOUT_VERSION: u8 = 3;
/// Number of bits of a counter's value in each byte. The highest bit tells whether another byte follows.
const VALUE_BITS_PER_BYTE: u32 = 7;
const VALUE_MASK: u8 = 0x7f;
const CONTINUATION_BIT: u8 = 0x80;
/// Maximum number of bits of a counter's value. An encoding that goes on after them is malformed.
const MAX_VALUE_BITS: u32 = 35;

/// The header of a message: the stage that it is about, and its sender's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct GossipHeader {
    /// Build on trial.
    pub build: Build,
    /// Stage of the build on trial.
    pub stage: u8,
    /// Whether the counters are an aggregator's total instead of the sender's own counters.
    pub is_total: bool,
    /// Incarnation of the sender. It is drawn at random at each start, so that counters that restart from
    /// zero are not mistaken for a late message.
    pub incarnation: u8,
}

/// Encodes a message. If it would exceed [`MAX_MESSAGE_BYTES`], histograms are left out, starting with the
/// last class.
pub fn encode(header: GossipHeader, evidence: &Evidence) -> Vec<u8> {
    let mut bytes = Vec::new();
    for classes in (0..=evidence.classes()).rev() {
        bytes = vec![LAYOUT_VERSION, u8::from(header.is_total), header.incarnation];
        bytes.extend(header.build.to_le_bytes());
        bytes.push(header.stage);
        encode_counters(&evidence.0[..evidence.bins_start(Arm::New, classes)], &mut bytes);
        if bytes.len() <= MAX_MESSAGE_BYTES {
            break;
        }
    }
    bytes
}

/// Encodes counters as variable-length integers. A run of zeros is encoded as a zero byte and the length of
/// the run. Trailing zeros are left out.
fn encode_counters(counters: &[f64], bytes: &mut Vec<u8>) {
    let mut zero_run = 0u8;
    for &counter in counters {
        let counter = counter.clamp(0.0, f64::from(u32::MAX)) as u32;
        if counter == 0 && zero_run < u8::MAX {
            zero_run += 1;
            continue;
        }
        if zero_run > 0 {
            bytes.extend([0, std::mem::take(&mut zero_run)]);
        }
        encode_counter(counter, bytes);
    }
}

/// Encodes one counter. A zero is encoded as a run of a single zero.
fn encode_counter(mut counter: u32, bytes: &mut Vec<u8>) {
    while counter > u32::from(VALUE_MASK) {
        bytes.push((counter as u8 & VALUE_MASK) | CONTINUATION_BIT);
        counter >>= VALUE_BITS_PER_BYTE;
    }
    bytes.push(counter as u8);
    if counter == 0 {
        bytes.push(1);
    }
}

/// Decodes a message. Returns `None` if the bytes are malformed, or if the counters are inconsistent or
/// exceed `max_attempts`.
pub fn decode(bytes: &[u8], classes: usize, max_attempts: f64) -> Option<(GossipHeader, Evidence)> {
    let [LAYOUT_VERSION, is_total @ 0..=1, incarnation, build_low, build_high, stage, rest @ ..] = bytes
    else {
        return None;
    };
    let header = GossipHeader {
        build: u16::from_le_bytes([*build_low, *build_high]),
        stage: *stage,
        is_total: *is_total == 1,
        incarnation: *incarnation,
    };
    let mut evidence = Evidence::new(classes);
    decode_counters(rest, &mut evidence.0)?;
    evidence.is_plausible(max_attempts).then_some((header, evidence))
}

fn decode_counters(bytes: &[u8], counters: &mut [f64]) -> Option<()> {
    let mut index = 0;
    let mut rest = bytes.iter();
    while let Some(&first) = rest.next() {
        if first == 0 {
            index += usize::from(*rest.next()?);
            continue;
        }
        *counters.get_mut(index)? = decode_counter(first, &mut rest)? as f64;
        index += 1;
    }
    Some(())
}

fn decode_counter(first: u8, rest: &mut std::slice::Iter<'_, u8>) -> Option<u64> {
    let mut value = 0u64;
    let mut byte = first;
    let mut shift = 0;
    loop {
        value |= u64::from(byte & VALUE_MASK) << shift;
        shift += VALUE_BITS_PER_BYTE;
        if byte & CONTINUATION_BIT == 0 {
            return Some(value);
        }
        byte = *rest.next().filter(|_| shift < MAX_VALUE_BITS)?;
    }
}
