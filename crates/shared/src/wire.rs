//! Asks and grants as one datagram's payload, at most [`PAYLOAD_MOST`] bytes.
//!
//! ```text
//! 0  1  layout, 1
//! 1  4  digest of the budgets' settings (little-endian, as all that follow): asks and grants count only between
//!       members that part the same budgets in the same way
//! 5  1  number of items, 1 to 13
//! 6  17 each: the class, with the high bit set for a grant (1); life (4); number (4); amount (8)
//! ```
//!
//! Whatever does not read exactly so is dropped whole.

use crate::rights::{Ask, Grant};

/// The most bytes of a payload: with a proxy's header and checksum a datagram stays within 256.
pub const PAYLOAD_MOST: usize = 240;
/// The most items of a payload.
pub const ITEMS_MOST: usize = (PAYLOAD_MOST - HEAD) / ITEM;
/// Classes are numbered below this.
pub const CLASSES_MOST: usize = 128;

const LAYOUT: u8 = 1;
const HEAD: usize = 6;
const ITEM: usize = 17;
const GRANT: u8 = 0x80;

/// One word about the rights of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// A member wants to borrow.
    Ask(Ask),
    /// An owner lends.
    Grant(Grant),
}

/// A word and its class.
pub type Item = (usize, Word);

/// Writes a payload; none for no items, too many, or a class past the bound.
pub fn encode(digest: u32, items: &[Item]) -> Option<Vec<u8>> {
    if items.is_empty() || items.len() > ITEMS_MOST || items.iter().any(|i| i.0 >= CLASSES_MOST) {
        return None;
    }
    let mut out = Vec::with_capacity(HEAD + ITEM * items.len());
    out.push(LAYOUT);
    out.extend_from_slice(&digest.to_le_bytes());
    out.push(items.len() as u8);
    for &(class, word) in items {
        let (mark, life, number, amount) = match word {
            Word::Ask(ask) => (0, ask.life, ask.number, ask.want),
            Word::Grant(grant) => (GRANT, grant.life, grant.number, grant.amount),
        };
        out.push(class as u8 | mark);
        out.extend_from_slice(&life.to_le_bytes());
        out.extend_from_slice(&number.to_le_bytes());
        out.extend_from_slice(&amount.to_le_bytes());
    }
    Some(out)
}

/// Reads a payload: its digest and items; none for anything else.
pub fn decode(bytes: &[u8]) -> Option<(u32, Vec<Item>)> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    let count = usize::from(head[5]);
    if head[0] != LAYOUT || count == 0 || count > ITEMS_MOST || rest.len() != count * ITEM {
        return None;
    }
    let digest = u32::from_le_bytes(head[1..5].try_into().ok()?);
    let item = |bytes: &[u8]| {
        let (class, is_grant) = (usize::from(bytes[0] & !GRANT), bytes[0] & GRANT != 0);
        let life = u32::from_le_bytes(bytes[1..5].try_into().ok()?);
        let number = u32::from_le_bytes(bytes[5..9].try_into().ok()?);
        let amount = u64::from_le_bytes(bytes[9..17].try_into().ok()?);
        let word = match is_grant {
            true => Word::Grant(Grant { life, number, amount }),
            false => Word::Ask(Ask { life, number, want: amount }),
        };
        Some((class, word))
    };
    let items: Option<Vec<Item>> = rest.chunks_exact(ITEM).map(item).collect();
    Some((digest, items?))
}
