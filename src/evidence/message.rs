//! The gossip messages in which balancers exchange evidence: a header and run-length encoded counters.

use super::counters::{Arm, Evidence};
use crate::interface::Build;

/// Bytes that one message may hold.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The version of the layout; messages of another one are not read.
const LAYOUT_VERSION: u8 = 2;
/// Bits of a counter's value in each of its bytes; the highest bit says that more follow.
const VALUE_BITS: u32 = 7;
const VALUE_MASK: u8 = 0x7f;
const MORE_FOLLOW: u8 = 0x80;
/// Bits after which a counter's value cannot go on.
const MAX_VALUE_BITS: u32 = 35;

/// What a message is about.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct GossipHeader {
    /// The build on trial.
    pub build: Build,
    /// Its stage.
    pub stage: u8,
    /// An aggregator's total, not a balancer's own counters.
    pub is_total: bool,
    /// The sender's incarnation, drawn at each start, so that counters that begin again are not taken for late
    /// ones.
    pub incarnation: u8,
}

/// The bytes of a message. Histograms that do not fit are left out, the last class's first.
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

/// Counters as variable-length integers; runs of zeros as a zero byte and their length. Trailing zeros are
/// left out.
fn encode_counters(counters: &[f64], bytes: &mut Vec<u8>) {
    let mut zeros = 0u8;
    for &counter in counters {
        let counter = counter.clamp(0.0, f64::from(u32::MAX)) as u32;
        if counter == 0 && zeros < u8::MAX {
            zeros += 1;
            continue;
        }
        if zeros > 0 {
            bytes.extend([0, std::mem::take(&mut zeros)]);
        }
        encode_counter(counter, bytes);
    }
}

fn encode_counter(mut counter: u32, bytes: &mut Vec<u8>) {
    while counter > u32::from(VALUE_MASK) {
        bytes.push((counter as u8 & VALUE_MASK) | MORE_FOLLOW);
        counter >>= VALUE_BITS;
    }
    bytes.push(counter as u8);
    if counter == 0 {
        bytes.push(1);
    }
}

/// Reads a message; `None` where the bytes are no such thing or its counts cannot be true.
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
        shift += VALUE_BITS;
        if byte & MORE_FOLLOW == 0 {
            return Some(value);
        }
        byte = *rest.next().filter(|_| shift < MAX_VALUE_BITS)?;
    }
}
