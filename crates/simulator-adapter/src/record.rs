//! The records of a batch: what the simulator tells the instances of this process.

use crate::reader::{Reader, WireError};
use violetseam::interface::{
    AttemptEnd, Event, ListKind, Outcome, Phase, ReleaseStatus, Request, ServerEntry, ServerStatus,
};

// Codes of the records.
const BORN: u8 = 16;
const LIST: u8 = 17;
const REQUEST: u8 = 18;
const STREAM_STARTED: u8 = 19;
const ATTEMPT_ENDED: u8 = 20;
const CLIENT_GONE: u8 = 21;
const TIMER: u8 = 22;
const HEALTH_CHECKED: u8 = 23;
const PEER_MESSAGE: u8 = 24;
const KILL: u8 = 25;
const RELEASE: u8 = 26;
const LOAD_REPORT: u8 = 27;
const ANSWER_FLAGGED: u8 = 28;
const SERVER_TABLE: u8 = 29;
const CONTEXT: u8 = 30;

/// Bytes of one server in a numbered list.
const SERVER_BYTES: usize = 28;
/// A request's option: its cost hint counts.
const HAS_HINT: u8 = 1;
/// A request's option: the client marked it as a retry.
const IS_RETRY: u8 = 2;

/// One record of a batch.
pub enum Record<'a> {
    /// The following records belong to this instance.
    Context(u32),
    /// A fresh instance starts: its seed and settings text.
    Born(u64, &'a [u8]),
    /// The instance was killed.
    Kill,
    /// A numbered list of servers for the whole process.
    ServerTable(u8, Vec<ServerEntry>),
    /// The server list, by the number of a list that was sent.
    ServerList(ListKind, u8),
    /// Anything else goes to the instance as it is.
    Event(Event<'a>),
}

/// Reads the next record.
///
/// # Errors
/// [`WireError`] if the input ends within the record, or a field holds a value that has no meaning.
pub fn read_record<'a>(reader: &mut Reader<'a>) -> Result<Record<'a>, WireError> {
    Ok(match reader.u8()? {
        CONTEXT => Record::Context(reader.u32()?),
        BORN => {
            let seed = reader.u64()?;
            let length = reader.u32()? as usize;
            Record::Born(seed, reader.take(length)?)
        }
        KILL => Record::Kill,
        SERVER_TABLE => read_server_table(reader)?,
        LIST => {
            let kind = read_list_kind(reader)?;
            let table = reader.u8()?;
            reader.u32()?;
            Record::ServerList(kind, table)
        }
        code => Record::Event(read_event(code, reader)?),
    })
}

fn read_event<'a>(code: u8, reader: &mut Reader<'a>) -> Result<Event<'a>, WireError> {
    match code {
        REQUEST => read_request(reader),
        TIMER => Ok(Event::Timer { token: reader.u64()? }),
        PEER_MESSAGE => {
            let from = usize::from(reader.u16()?);
            let length = usize::from(reader.u16()?);
            Ok(Event::PeerMessage { from, payload: reader.take(length)? })
        }
        ATTEMPT_ENDED => read_attempt_end(reader),
        STREAM_STARTED => {
            let request = reader.u64()?;
            let attempt = usize::from(reader.u8()?);
            reader.u32()?;
            reader.server()?;
            Ok(Event::StreamStarted { request, attempt })
        }
        ANSWER_FLAGGED => {
            let server = reader.server()?;
            let class = usize::from(reader.u8()?);
            let since = u64::from(reader.u32()?);
            Ok(Event::AnswerFlagged { server, class, since })
        }
        CLIENT_GONE => Ok(Event::ClientDisconnected { request: reader.u64()? }),
        RELEASE => read_release(reader),
        HEALTH_CHECKED => {
            let server = reader.server()?;
            let outcome = reader.outcome()?;
            reader.u32()?;
            reader.skip_load_report()?;
            Ok(Event::HealthChecked { server, outcome })
        }
        LOAD_REPORT => read_load_report(reader),
        other => Err(WireError::UnknownValue { field: "record code", value: u16::from(other) }),
    }
}

fn read_list_kind(reader: &mut Reader) -> Result<ListKind, WireError> {
    match reader.u8()? {
        0 => Ok(ListKind::Failed),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Delta),
        other => Err(WireError::UnknownValue { field: "list kind", value: u16::from(other) }),
    }
}

fn read_server_table<'a>(reader: &mut Reader<'a>) -> Result<Record<'a>, WireError> {
    let table = reader.u8()?;
    let count = reader.u32()? as usize;
    let mut rows = Reader::new(reader.take(count.saturating_mul(SERVER_BYTES))?);
    let mut entries = Vec::with_capacity(count);
    while !rows.is_empty() {
        entries.push(read_server(&mut rows)?);
    }
    Ok(Record::ServerTable(table, entries))
}

fn read_server(reader: &mut Reader) -> Result<ServerEntry, WireError> {
    let id = reader.server()?;
    let zone = reader.u16()?;
    let build = reader.f32()?;
    reader.u8()?; // the kind of machine: no decision uses it
    let cell = reader.u16()?;
    let status = match reader.u8()? {
        0 => ServerStatus::Draining,
        2 => ServerStatus::Ready,
        3 => ServerStatus::Removed,
        other => return Err(WireError::UnknownValue { field: "server status", value: u16::from(other) }),
    };
    let size = f64::from(reader.f32()?);
    let started_at = reader.u64()?;
    let build = build.clamp(0.0, f32::from(u16::MAX)) as u16;
    Ok(ServerEntry { id, zone, build, cell, status, size, started_at })
}

fn read_request<'a>(reader: &mut Reader<'a>) -> Result<Event<'a>, WireError> {
    let id = reader.u64()?;
    let deadline = reader.u64()?;
    let class = usize::from(reader.u8()?);
    let hint = reader.u32()?;
    let key = reader.u64()?;
    let options = reader.u8()?;
    let tenant = reader.u32()? as usize;
    let has_hint = options & HAS_HINT != 0 && hint > 0;
    Ok(Event::Request(Request {
        id,
        deadline,
        class,
        cost_hint: has_hint.then_some(u64::from(hint)),
        key: (key != 0).then_some(key),
        tenant,
        is_retry: options & IS_RETRY != 0,
    }))
}

fn read_attempt_end<'a>(reader: &mut Reader<'a>) -> Result<Event<'a>, WireError> {
    let request = reader.u64()?;
    let attempt = usize::from(reader.u8()?);
    let server = reader.server()?;
    let outcome = reader.outcome()?;
    let elapsed = u64::from(reader.u32()?);
    let finishes_request = reader.u8()? != 0;
    reader.skip_load_report()?;
    Ok(Event::AttemptEnded(AttemptEnd { request, attempt, server, outcome, elapsed, finishes_request }))
}

fn read_release<'a>(reader: &mut Reader<'a>) -> Result<Event<'a>, WireError> {
    let build = reader.u16()?;
    let stage = reader.u8()?;
    let phase = match reader.u8()? {
        0 => Phase::Trial,
        1 => Phase::RollingBack,
        2 => Phase::Released,
        3 => Phase::Withdrawn,
        other => return Err(WireError::UnknownValue { field: "standing", value: u16::from(other) }),
    };
    let is_reply = reader.u8()? == 1;
    let outcome = reader.outcome()?;
    let cap = f64::from(reader.f32()?);
    reader.u32()?;
    let release = ReleaseStatus { build, stage, phase, cap };
    if is_reply {
        Ok(Event::VoteReply { outcome, release: (outcome == Outcome::Ok).then_some(release) })
    } else {
        Ok(Event::Release(release))
    }
}

fn read_load_report<'a>(reader: &mut Reader<'a>) -> Result<Event<'a>, WireError> {
    let attempts = reader.u32()?;
    let class = usize::from(reader.u8()?);
    let mean = u64::from(reader.u32()?);
    let age = u64::from(reader.u32()?);
    let build = reader.u16()?;
    let failed = reader.u32()?;
    Ok(Event::LoadReport { build, class, attempts, failed, mean, age })
}
