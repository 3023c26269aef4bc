//! The records: what the stand-ins and clients saw, and how a file of them is laid out.
//!
//! A file is `VSAU` and a version byte, then frames: length and CRC-32 (four bytes each, little-endian) and
//! a postcard-encoded [`Entry`]; the first frame holds the [`Rules`].

use serde::{Deserialize, Serialize};
use std::io::{Read, Write};

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats of a key are dropped by servers of one group.
    Keyed(Group),
    /// Must never run twice.
    Unsafe,
}

/// Who drops repeats together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All servers.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests, as far as the rules go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// What a repeat does.
    pub effect: Effect,
    /// How long repeats are dropped, in microseconds.
    pub window: u64,
    /// Answers are passed on as they come and may break.
    pub stream: bool,
}

/// The rules' figures for one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Classes by index.
    pub classes: Vec<Class>,
    /// After the deadline, in microseconds: still in time.
    pub answer_grace: u64,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// For sends to a draining server to stop, and for a lower cap to bind.
    pub drain_grace: u64,
    /// Without a subscription the roster must be asked this often.
    pub ask_within: u64,
    /// A cold server may be sent this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over any span of this length.
    pub fall_span: u64,
    /// Exposure: any span of this length counts.
    pub counted_over: u64,
    /// Exposure: attempts beyond the cap's share.
    pub uncounted: f64,
    /// Exposure: each class by itself.
    pub per_class: bool,
    /// The cap of the first stage: for builds not announced yet.
    pub first_cap: f64,
    /// Stages below this admit only classes that are safe to repeat.
    pub guarded_stages: u8,
    /// A key that the new build answered goes to no earlier one.
    pub one_way: bool,
    /// How far outside views may be off, in microseconds; in the proxy's favour.
    pub slack: u64,
    /// By class: attempts beyond each request's first that the whole fleet may make, in thousandths a second; 0, or
    /// past the end: no bound.
    pub further: Vec<u64>,
    /// A span of so long may be saved up of these, in microseconds.
    pub further_burst: u64,
}

/// A server's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes its work.
    Draining,
    /// Removed.
    Gone,
}

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}

/// A final answer as a client got it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A server's.
    Served,
    /// Refused: repeating is harmless.
    Refused,
    /// Failed.
    Failed,
    /// None: the connection closed.
    Broken,
}

/// A start of a server, and how fast it may be sent work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Work it does in a second when warm, in microseconds of a standard core.
    pub capacity: f64,
    /// Its share of that at the start ...
    pub cold_from: f64,
    /// ... which rises evenly to the whole over this span.
    pub cold_span: u64,
}

/// An attempt as its server saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Names the attempt in its [`Finish`].
    pub number: u64,
    /// The client's request.
    pub request: u64,
    /// The proxy that sent it.
    pub proxy: u32,
    /// The server.
    pub server: u64,
    /// The build it runs.
    pub build: u16,
    /// Its zone and cell.
    pub place: (u16, u16),
    /// The request's class.
    pub class: usize,
    /// The request's key; 0: none.
    pub key: u64,
    /// Its work, in microseconds of a standard core.
    pub work: u64,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Answered well.
    Ok,
    /// Answered with an error after it may have run.
    Error,
    /// Turned away unseen, and said so.
    NotRun,
    /// The proxy closed the connection, or the server died.
    Lost,
}

/// See [`Record::Ended`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The attempt.
    pub number: u64,
    /// How it ended.
    pub end: End,
}

/// A call of the roster as the roster saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A watch began and was answered.
    Watch,
    /// The whole list was asked for and given.
    Fetch,
    /// A call that got no good answer.
    Failed,
    /// A watch ended.
    WatchLost,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A client has sent a request whole.
    Sent {
        /// The request.
        request: u64,
        /// To which proxy.
        proxy: u32,
        /// Its class.
        class: usize,
        /// When its client gives up.
        deadline: u64,
    },
    /// A client got a final answer whole, or its connection closed without one.
    Answered {
        /// The request.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client gave up and closed.
    Left {
        /// The request.
        request: u64,
    },
    /// A client got bytes that belong to no answer.
    Surplus {
        /// From which proxy.
        proxy: u32,
    },
    /// A server read an attempt's head.
    Arrived(Arrival),
    /// An attempt ended at its server.
    Ended(Finish),
    /// A server started.
    Started {
        /// The server.
        server: u64,
        /// How fast.
        start: Start,
    },
    /// The roster listed a server so.
    Listed {
        /// The server.
        server: u64,
        /// Its state.
        state: State,
    },
    /// The roster told a proxy of a server.
    Told {
        /// The proxy.
        proxy: u32,
        /// The server.
        server: u64,
        /// Its state.
        state: State,
        /// When it started, as told.
        started: Option<u64>,
    },
    /// A proxy called the roster.
    Called {
        /// The proxy.
        proxy: u32,
        /// How.
        call: Call,
    },
    /// The desk told a proxy its news.
    News {
        /// The proxy.
        proxy: u32,
        /// The newest build.
        build: u16,
        /// Its stage.
        stage: u8,
        /// Where it stands.
        phase: Phase,
        /// The exposure cap.
        cap: f64,
    },
    /// A proxy was killed: what it held is nobody's duty.
    Killed {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy was stopped: it hears and does nothing.
    Stopped {
        /// The proxy.
        proxy: u32,
    },
    /// It goes on as if nothing had been.
    WentOn {
        /// The proxy.
        proxy: u32,
    },
}

/// A record and when it was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// In microseconds.
    pub at: u64,
    /// What.
    pub record: Record,
}

const MAGIC: [u8; 5] = [b'V', b'S', b'A', b'U', 2];
const FRAME_MOST: usize = 1 << 20;

/// Why a file was not read.
#[derive(Debug)]
pub struct FileFault(pub String);

impl std::fmt::Display for FileFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FileFault {}

fn frame<T: Serialize>(out: &mut impl Write, item: &T) -> std::io::Result<()> {
    let body = postcard::to_stdvec(item).map_err(std::io::Error::other)?;
    out.write_all(&(body.len() as u32).to_le_bytes())?;
    out.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    out.write_all(&body)
}

/// Writes a file of records.
///
/// # Errors
/// Errors of the writer; an entry that cannot be encoded as one of kind `Other`.
pub fn write(out: &mut impl Write, rules: &Rules, entries: &[Entry]) -> std::io::Result<()> {
    out.write_all(&MAGIC)?;
    frame(out, rules)?;
    entries.iter().try_for_each(|entry| frame(out, entry))
}

/// Reads a file of records whole; a damaged or cut one is no evidence and is refused.
///
/// # Errors
/// [`FileFault`] if the file cannot be read, is cut short, or a frame of it is damaged.
pub fn read(input: &mut impl Read) -> Result<(Rules, Vec<Entry>), FileFault> {
    let fault = |why: &str| FileFault(why.to_owned());
    let mut bytes = Vec::new();
    input.read_to_end(&mut bytes).map_err(|e| FileFault(e.to_string()))?;
    let mut rest = bytes.strip_prefix(&MAGIC[..]).ok_or_else(|| fault("not a file of records"))?;
    let mut next = || -> Result<Option<&[u8]>, FileFault> {
        if rest.is_empty() {
            return Ok(None);
        }
        let (head, tail) = rest.split_at_checked(8).ok_or_else(|| fault("cut within a frame's head"))?;
        let word = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
        let length = word(0) as usize;
        if length > FRAME_MOST {
            return Err(fault("a frame past the bound"));
        }
        let (body, after) = tail.split_at_checked(length).ok_or_else(|| fault("cut within a frame"))?;
        if crc32fast::hash(body) != word(4) {
            return Err(fault("a frame whose checksum does not fit"));
        }
        rest = after;
        Ok(Some(body))
    };
    let unreadable = |e: postcard::Error| FileFault(format!("a frame that cannot be read: {e}"));
    let rules = next()?.ok_or_else(|| fault("no rules"))?;
    let rules = postcard::from_bytes(rules).map_err(unreadable)?;
    let mut entries = Vec::new();
    while let Some(body) = next()? {
        entries.push(postcard::from_bytes(body).map_err(unreadable)?);
    }
    Ok((rules, entries))
}
