//! Writing actions as the simulator's wire lays them out.

use violetseam::interface::{Action, ServerId, Verdict};

// Codes of the records.
const LOG: u8 = 17;
const WATCH_LIST: u8 = 18;
const MESSAGE: u8 = 19;
const REJECT: u8 = 21;
const CANCEL: u8 = 22;
const FAIL: u8 = 23;
const SET_TIMER: u8 = 24;
const GIVE_IN: u8 = 25;
const FETCH_LIST: u8 = 26;
const VOTE: u8 = 27;
const BY: u8 = 28;
const SEND: u8 = 29;

/// The number that stands for every peer.
const ALL_PEERS: u16 = u16::MAX;
/// Bytes of a message to peers.
const MAX_MESSAGE_BYTES: usize = 256;

/// Writes the record that names the instance of the following actions.
pub fn write_by(out: &mut Vec<u8>, instance: u32) {
    out.push(BY);
    out.extend(instance.to_le_bytes());
}

/// Writes the record that declares that decision code failed.
pub fn write_give_in(out: &mut Vec<u8>, text: &str) {
    write_text(out, GIVE_IN, text.as_bytes());
}

/// Writes one action.
pub fn write_action(out: &mut Vec<u8>, action: &Action) {
    match action {
        Action::Send { request, server, cut_at } => {
            write_request(out, SEND, *request);
            write_server(out, *server);
            out.extend(cut_at.to_le_bytes());
        }
        Action::Cancel { request, attempt } => {
            write_request(out, CANCEL, *request);
            out.push(*attempt as u8);
        }
        Action::Reject { request, retry_after } => {
            write_request(out, REJECT, *request);
            out.extend(span(*retry_after));
        }
        Action::Fail { request } => write_request(out, FAIL, *request),
        Action::SetTimer { after, token } => {
            out.push(SET_TIMER);
            out.extend(span(*after));
            out.extend(token.to_le_bytes());
        }
        Action::WatchServerList => out.extend([WATCH_LIST, 1]),
        Action::FetchServerList => out.push(FETCH_LIST),
        Action::Vote { build, stage, verdict } => {
            out.extend([VOTE, *stage]);
            out.extend(build.to_le_bytes());
            out.push(verdict_code(*verdict));
        }
        Action::GossipToAll { payload } => write_message(out, ALL_PEERS, payload),
        Action::GossipToPeer { to, payload } => {
            // A peer with the number of all peers, or a higher one, cannot be named on this wire.
            if let Some(to) = u16::try_from(*to).ok().filter(|&to| to != ALL_PEERS) {
                write_message(out, to, payload);
            }
        }
        Action::Log(text) => write_text(out, LOG, text.as_bytes()),
        // An attempt is sent there in the tick in which it is decided: it is never asked about again.
        Action::CancelBeforeSend { .. } => {}
    }
}

/// A span in 32 bits; a longer one is the longest.
fn span(microseconds: u64) -> [u8; 4] {
    u32::try_from(microseconds).unwrap_or(u32::MAX).to_le_bytes()
}

fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Withdraw => 0,
        Verdict::Promote => 1,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}

fn write_request(out: &mut Vec<u8>, code: u8, request: u64) {
    out.push(code);
    out.extend(request.to_le_bytes());
}

fn write_server(out: &mut Vec<u8>, server: ServerId) {
    out.extend(((server >> 16) as u32).to_be_bytes());
    out.extend((server as u16).to_le_bytes());
}

fn write_text(out: &mut Vec<u8>, code: u8, text: &[u8]) {
    let text = &text[..text.len().min(usize::from(u16::MAX))];
    out.push(code);
    out.extend((text.len() as u16).to_le_bytes());
    out.extend(text);
}

fn write_message(out: &mut Vec<u8>, to: u16, payload: &[u8]) {
    out.push(MESSAGE);
    out.extend(to.to_le_bytes());
    let payload = &payload[..payload.len().min(MAX_MESSAGE_BYTES)];
    out.extend((payload.len() as u16).to_le_bytes());
    out.extend(payload);
}
