//! The granite wire: little-endian packed frames, read and written field by field.

use violetseam::interface::{
    Action, AttemptEnd, Event, ListKind, Outcome, Phase, ReleaseStatus, Request, ServerEntry, ServerId,
    ServerStatus, Verdict,
};

/// Reads fields off a byte slice; every read is checked.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Starts at the front of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes }
    }

    /// Whether all has been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes `n` bytes.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.bytes.len() < n {
            return Err(format!("record cut short: {n} bytes wanted, {} left", self.bytes.len()));
        }
        let (head, tail) = self.bytes.split_at(n);
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    /// One byte.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_le_bytes)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_le_bytes)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_le_bytes)
    }

    /// A 32-bit float.
    ///
    /// # Errors
    /// A text that says that the input has ended.
    pub fn f32(&mut self) -> Result<f32, String> {
        self.array().map(f32::from_le_bytes)
    }

    fn server(&mut self) -> Result<ServerId, String> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(u64::from(address) << 16 | u64::from(self.u16()?))
    }

    fn load_report(&mut self) -> Result<(), String> {
        let n = usize::from(self.u8()?);
        self.take(n * 4).map(|_| ())
    }

    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u16()? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            other => return Err(format!("unknown outcome {other}")),
        })
    }
}

/// One record of a batch.
pub enum Record<'a> {
    /// The following records belong to this instance.
    Context(u32),
    /// A fresh instance starts: its seed and settings text.
    Born(u64, &'a [u8]),
    /// The instance was killed.
    Kill,
    /// A numbered list of servers for the whole process.
    Ledger(u8, Vec<ServerEntry>),
    /// List news that refers to a numbered list.
    Fleet(ListKind, u8),
    /// Anything else goes to the instance as it is.
    Event(Event<'a>),
}

fn entry(r: &mut Reader) -> Result<ServerEntry, String> {
    let id = r.server()?;
    let zone = r.u16()?;
    let build = r.f32()?;
    r.u8()?; // machine kind: no decision uses it
    let cell = r.u16()?;
    let status = match r.u8()? {
        0 => ServerStatus::Draining,
        2 => ServerStatus::Ready,
        3 => ServerStatus::Removed,
        other => return Err(format!("unknown server status {other}")),
    };
    let size = f64::from(r.f32()?);
    let started_at = r.u64()?;
    let build = build.clamp(0.0, f32::from(u16::MAX)) as u16;
    Ok(ServerEntry { id, zone, build, cell, status, size, started_at })
}

fn stage<'a>(r: &mut Reader<'a>) -> Result<Event<'a>, String> {
    let build = r.u16()?;
    let stage = r.u8()?;
    let phase = match r.u8()? {
        0 => Phase::Trial,
        1 => Phase::RollingBack,
        2 => Phase::Released,
        3 => Phase::Withdrawn,
        other => return Err(format!("unknown standing {other}")),
    };
    let is_reply = r.u8()? == 1;
    let outcome = r.outcome()?;
    let cap = f64::from(r.f32()?);
    r.u32()?;
    let news = ReleaseStatus { build, stage, phase, cap };
    Ok(if is_reply {
        Event::VoteReply { outcome, release: (outcome == Outcome::Ok).then_some(news) }
    } else {
        Event::Release(news)
    })
}

/// Reads the next record.
///
/// # Errors
/// A text that says which record cannot be read.
pub fn record<'a>(r: &mut Reader<'a>) -> Result<Record<'a>, String> {
    let event = match r.u8()? {
        30 => return Ok(Record::Context(r.u32()?)),
        16 => {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            return Ok(Record::Born(seed, r.take(n)?));
        }
        25 => return Ok(Record::Kill),
        29 => {
            let sheet = r.u8()?;
            let n = r.u32()? as usize;
            let mut rows = Reader::new(r.take(n.saturating_mul(28))?);
            let mut entries = Vec::with_capacity(n);
            while !rows.is_empty() {
                entries.push(entry(&mut rows)?);
            }
            return Ok(Record::Ledger(sheet, entries));
        }
        17 => {
            let kind = match r.u8()? {
                0 => ListKind::Failed,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Delta,
                other => return Err(format!("unknown list kind {other}")),
            };
            let sheet = r.u8()?;
            r.u32()?;
            return Ok(Record::Fleet(kind, sheet));
        }
        18 => {
            let (id, deadline) = (r.u64()?, r.u64()?);
            let (class, hint) = (usize::from(r.u8()?), r.u32()?);
            let (key, opts, tenant) = (r.u64()?, r.u8()?, r.u32()? as usize);
            let hint = (opts & 1 != 0 && hint > 0).then_some(u64::from(hint));
            let key = (key != 0).then_some(key);
            Event::Request(Request {
                id,
                deadline,
                class,
                cost_hint: hint,
                key,
                tenant,
                is_retry: opts & 2 != 0,
            })
        }
        22 => Event::Timer { token: r.u64()? },
        24 => {
            let from = usize::from(r.u16()?);
            let n = usize::from(r.u16()?);
            Event::PeerMessage { from, payload: r.take(n)? }
        }
        20 => {
            let (request, attempt, server) = (r.u64()?, usize::from(r.u8()?), r.server()?);
            let (outcome, elapsed, settled) = (r.outcome()?, u64::from(r.u32()?), r.u8()? != 0);
            r.load_report()?;
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                server,
                outcome,
                elapsed,
                finishes_request: settled,
            })
        }
        19 => {
            let (request, attempt) = (r.u64()?, usize::from(r.u8()?));
            r.u32()?;
            r.server()?;
            Event::StreamStarted { request, attempt }
        }
        28 => {
            let (server, class, since) = (r.server()?, usize::from(r.u8()?), u64::from(r.u32()?));
            Event::AnswerFlagged { server, class, since }
        }
        21 => Event::ClientDisconnected { request: r.u64()? },
        26 => stage(r)?,
        23 => {
            let (server, outcome) = (r.server()?, r.outcome()?);
            r.u32()?;
            r.load_report()?;
            Event::HealthChecked { server, outcome }
        }
        27 => {
            let (attempts, class, mean) = (r.u32()?, usize::from(r.u8()?), u64::from(r.u32()?));
            let (age, build, failed) = (u64::from(r.u32()?), r.u16()?, r.u32()?);
            Event::LoadReport { build, class, attempts, failed, mean, age }
        }
        other => return Err(format!("unknown record code {other}")),
    };
    Ok(Record::Event(event))
}

/// Writes the record that names the instance of the following actions.
pub fn write_by(out: &mut Vec<u8>, instance: u32) {
    out.push(28);
    out.extend(instance.to_le_bytes());
}

fn write_text(out: &mut Vec<u8>, code: u8, text: &[u8]) {
    let text = &text[..text.len().min(usize::from(u16::MAX))];
    out.push(code);
    out.extend((text.len() as u16).to_le_bytes());
    out.extend(text);
}

/// Writes the record that declares that decision code failed.
pub fn write_give_in(out: &mut Vec<u8>, text: &str) {
    write_text(out, 25, text.as_bytes());
}

/// Writes one action.
pub fn write_action(out: &mut Vec<u8>, action: &Action) {
    let span = |us: u64| u32::try_from(us).unwrap_or(u32::MAX).to_le_bytes();
    match action {
        Action::Send { request, server, cut_at } => {
            out.push(29);
            out.extend(request.to_le_bytes());
            out.extend(((server >> 16) as u32).to_be_bytes());
            out.extend((*server as u16).to_le_bytes());
            out.extend(cut_at.to_le_bytes());
        }
        Action::Cancel { request, attempt } => {
            out.push(22);
            out.extend(request.to_le_bytes());
            out.push(*attempt as u8);
        }
        Action::Reject { request, retry_after: come_back } => {
            out.push(21);
            out.extend(request.to_le_bytes());
            out.extend(span(*come_back));
        }
        Action::Fail { request } => {
            out.push(23);
            out.extend(request.to_le_bytes());
        }
        Action::SetTimer { after, token } => {
            out.push(24);
            out.extend(span(*after));
            out.extend(token.to_le_bytes());
        }
        Action::WatchServerList => out.extend([18, 1]),
        Action::FetchServerList => out.push(26),
        Action::Vote { build, stage, verdict } => {
            out.extend([27, *stage]);
            out.extend(build.to_le_bytes());
            out.push(match verdict {
                Verdict::Promote => 1,
                Verdict::Hold => 2,
                Verdict::RollBack => 3,
                Verdict::Withdraw => 0,
            });
        }
        Action::GossipToAll { payload } => write_message(out, u16::MAX, payload),
        Action::GossipToPeer { to, payload } => {
            // All bits set would mean every peer; no such number is sent.
            if let Some(to) = u16::try_from(*to).ok().filter(|&to| to != u16::MAX) {
                write_message(out, to, payload);
            }
        }
        Action::Log(text) => write_text(out, 17, text.as_bytes()),
        // An attempt leaves there in the tick in which it is decided: it is never asked about again.
        Action::CancelBeforeSend { .. } => {}
    }
}

fn write_message(out: &mut Vec<u8>, to: u16, payload: &[u8]) {
    out.push(19);
    out.extend(to.to_le_bytes());
    let payload = &payload[..payload.len().min(256)];
    out.extend((payload.len() as u16).to_le_bytes());
    out.extend(payload);
}
