//! Writes actions in the byte layout of the simulator's wire protocol.

use violetseam::interface::{Action, ServerId, Verdict};

// Codes of the records in a reply.
const LOG: u8 = 17;
const WATCH_SERVER_LIST: u8 = 18;
const PEER_MESSAGE: u8 = 19;
const REJECT: u8 = 21;
const CANCEL: u8 = 22;
const FAIL: u8 = 23;
const SET_TIMER: u8 = 24;
const DECISION_FAILED: u8 = 25;
const FETCH_SERVER_LIST: u8 = 26;
const VOTE: u8 = 27;
const INSTANCE: u8 = 28;
const SEND: u8 = 29;

/// The peer number that addresses all peers.
const ALL_PEERS: u16 = u16::MAX;
/// The maximum length of a message to peers, in bytes. A longer message is truncated.
const MAX_MESSAGE_BYTES: usize = 256;

/// Writes the record that names the instance whose actions follow.
pub fn write_instance(out: &mut Vec<u8>, instance: u32) {
    out.push(INSTANCE);
    out.extend(instance.to_le_bytes());
}

/// Writes the record that reports a panic of the decision module, with the panic's message.
pub fn write_decision_failure(out: &mut Vec<u8>, text: &str) {
    write_text(out, DECISION_FAILED, text.as_bytes());
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
            out.extend(encode_duration(*retry_after));
        }
        Action::Fail { request } => write_request(out, FAIL, *request),
        Action::SetTimer { after, token } => {
            out.push(SET_TIMER);
            out.extend(encode_duration(*after));
            out.extend(token.to_le_bytes());
        }
        Action::WatchServerList => out.extend([WATCH_SERVER_LIST, 1]),
        Action::FetchServerList => out.push(FETCH_SERVER_LIST),
        Action::Vote { build, stage, verdict } => {
            out.extend([VOTE, *stage]);
            out.extend(build.to_le_bytes());
            out.push(verdict_code(*verdict));
        }
        Action::GossipToAll { payload } => write_message(out, ALL_PEERS, payload),
        Action::GossipToPeer { to, payload } => {
            // The wire has 16 bits for a peer's number, and the highest number stands for all peers. A
            // message to a peer with that number or a higher one is dropped.
            if let Some(to) = u16::try_from(*to).ok().filter(|&to| to != ALL_PEERS) {
                write_message(out, to, payload);
            }
        }
        Action::Log(text) => write_text(out, LOG, text.as_bytes()),
        // The simulator sends an attempt in the tick in which it is decided on and never asks again before
        // sending, so there is nothing to cancel.
        Action::CancelBeforeSend { .. } => {}
    }
}

/// A duration as 32 bits on the wire. A duration that does not fit is written as the longest one that does.
fn encode_duration(microseconds: u64) -> [u8; 4] {
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
    out.push(PEER_MESSAGE);
    out.extend(to.to_le_bytes());
    let payload = &payload[..payload.len().min(MAX_MESSAGE_BYTES)];
    out.extend((payload.len() as u16).to_le_bytes());
    out.extend(payload);
}
