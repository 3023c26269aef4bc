//! Reads the records of a batch, with which the simulator sends events to the balancer instances of this
//! process.

use crate::reader::{Reader, WireError};
use violetseam::interface::{
    AttemptEnd, Event, ListKind, Outcome, Phase, ReleaseStatus, Request, ServerEntry, ServerStatus,
};

// Codes of the records in a batch.
const INSTANCE_STARTED: u8 = 16;
const SERVER_LIST: u8 = 17;
const REQUEST: u8 = 18;
const STREAM_STARTED: u8 = 19;
const ATTEMPT_ENDED: u8 = 20;
const CLIENT_DISCONNECTED: u8 = 21;
const TIMER: u8 = 22;
const HEALTH_CHECKED: u8 = 23;
const PEER_MESSAGE: u8 = 24;
const INSTANCE_KILLED: u8 = 25;
const RELEASE: u8 = 26;
const LOAD_REPORT: u8 = 27;
const ANSWER_FLAGGED: u8 = 28;
const SERVER_TABLE: u8 = 29;
const INSTANCE: u8 = 30;

/// The length of one entry in a server table, in bytes.
const SERVER_ENTRY_BYTES: usize = 28;
/// Option bit of a request: its cost hint is valid.
const HAS_COST_HINT: u8 = 1;
/// Option bit of a request: the client marked it as a retry.
const IS_RETRY: u8 = 2;

/// One record of a batch.
pub enum Record<'a> {
    /// The records that follow are for this instance.
    Instance(u32),
    /// A new instance starts, with this seed and settings text.
    InstanceStarted(u64, &'a [u8]),
    /// The instance is killed.
    InstanceKilled,
    /// Stores a server table under a number, for all instances of the process.
    ServerTable(u8, Vec<ServerEntry>),
    /// The instance gets a server list: the entries of the server table with this number.
    ServerList(ListKind, u8),
    /// The instance gets an event that holds all its data.
    Event(Event<'a>),
}

/// Reads the next record.
///
/// # Errors
/// [`WireError`] if the batch ends within the record, or if a field has a value that the protocol does not
/// define.
pub fn read_record<'a>(reader: &mut Reader<'a>) -> Result<Record<'a>, WireError> {
    Ok(match reader.u8()? {
        INSTANCE => Record::Instance(reader.u32()?),
        INSTANCE_STARTED => {
            let seed = reader.u64()?;
            let length = reader.u32()? as usize;
            Record::InstanceStarted(seed, reader.take(length)?)
        }
        INSTANCE_KILLED => Record::InstanceKilled,
        SERVER_TABLE => read_server_table(reader)?,
        SERVER_LIST => {
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
        CLIENT_DISCONNECTED => Ok(Event::ClientDisconnected { request: reader.u64()? }),
        RELEASE => read_release(reader),
        HEALTH_CHECKED => {
            let server = reader.server()?;
            let outcome = reader.outcome()?;
            reader.u32()?;
            reader.skip_load_figures()?;
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
    let mut entry_reader = Reader::new(reader.take(count.saturating_mul(SERVER_ENTRY_BYTES))?);
    let mut entries = Vec::with_capacity(count);
    while !entry_reader.is_empty() {
        entries.push(read_server_entry(&mut entry_reader)?);
    }
    Ok(Record::ServerTable(table, entries))
}

fn read_server_entry(reader: &mut Reader) -> Result<ServerEntry, WireError> {
    let id = reader.server()?;
    let zone = reader.u16()?;
    let build = reader.f32()?;
    reader.u8()?; // The kind of machine, which the decision module does not use.
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
    let cost_hint = reader.u32()?;
    let key = reader.u64()?;
    let options = reader.u8()?;
    let tenant = reader.u32()? as usize;
    let has_cost_hint = options & HAS_COST_HINT != 0 && cost_hint > 0;
    Ok(Event::Request(Request {
        id,
        deadline,
        class,
        cost_hint: has_cost_hint.then_some(u64::from(cost_hint)),
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
    reader.skip_load_figures()?;
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
        other => return Err(WireError::UnknownValue { field: "release phase", value: u16::from(other) }),
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
