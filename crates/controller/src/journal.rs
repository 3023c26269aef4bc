//! What is durable, and who may speak: a folder of terms and journals.
//!
//! - `term-N`: made by whoever becomes the controller, exclusively: term N has one holder. Its number fences
//!   what that holder says.
//! - `journal-N-K`: what term N's holder decided: a header, the whole state, then each event that changed it.
//!   Only that holder writes it. A new one is begun every [`SNAPSHOT_EVERY`] events, so that reading takes the
//!   same time however long a controller has run.
//! - `lease`: the holder's sign of life; no promise rests on it.
//!
//! A line is a checksum and JSON. A last line that is torn was acknowledged to nobody and is passed over; a bad
//! line before others means damage, and nothing is read past it.
//!
//! The order that everything rests on: a holder makes its events durable, **then** sees that no later term has
//! begun, then speaks. A successor begins its term, **then** reads. So whatever a holder says, its successor has
//! read; and a holder that stood still and is late says nothing that its successor does not know.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use violetseam_release::{Event, News, Now, Release};

/// The layout of journals; a later one is refused, untouched.
pub const VERSION: u32 = 1;
/// Events after which a journal is begun anew with the whole state.
pub const SNAPSHOT_EVERY: usize = 10_000;
/// Journals of earlier terms that are kept, for those who want to look back.
const TERMS_KEPT: u64 = 8;

/// One line of a journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The first line.
    Header {
        /// The layout.
        version: u32,
        /// The holder's name.
        holder: String,
    },
    /// The second: the whole state.
    State(Box<Release>),
    /// Something that happened, and the news after it if it changed them.
    Event {
        /// When.
        now: Now,
        /// What.
        event: Event,
        /// The news that it led to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<News>,
    },
}

/// Why a folder cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Written by a later version.
    Newer(PathBuf, u32),
    /// A line before the last is damaged: file and line.
    Damaged(PathBuf, usize),
    /// This version decides otherwise than the one that wrote: file and line.
    Otherwise(PathBuf, usize),
    /// Another controller began a term at the same moment.
    Taken,
    /// The system's word.
    Io(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Newer(path, version) => write!(
                f,
                "{}: layout {version} of a later version; this one knows {VERSION}. Nothing was touched",
                path.display()
            ),
            Fault::Damaged(path, line) => {
                write!(
                    f,
                    "{}: line {line} is damaged, and lines follow it: restore the folder",
                    path.display()
                )
            }
            Fault::Otherwise(path, line) => write!(
                f,
                "{}: line {line}: this version decides otherwise than the one that wrote it; start that one, \
                 end the release, then change versions",
                path.display()
            ),
            Fault::Taken => f.write_str("another controller has just begun"),
            Fault::Io(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Fault {}

fn io(path: &Path) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |e| Fault::Io(format!("{}: {e}", path.display()))
}

/// A journal that is gone since it was listed has been tidied away by somebody who is further on.
fn reading(path: &Path) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |e| if e.kind() == ErrorKind::NotFound { Fault::Taken } else { io(path)(e) }
}

/// A line as it is written.
pub fn encode(line: &Line) -> Vec<u8> {
    let json = serde_json::to_vec(line).unwrap_or_default();
    let mut bytes = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    bytes.extend_from_slice(&json);
    bytes.push(b'\n');
    bytes
}

fn decode(bytes: &[u8]) -> Option<Line> {
    let (sum, json) = bytes.split_at_checked(9)?;
    let sum = u32::from_str_radix(std::str::from_utf8(sum).ok()?.strip_suffix(' ')?, 16).ok()?;
    if crc32fast::hash(json) != sum {
        return None;
    }
    serde_json::from_slice(json).ok()
}

/// What a journal holds.
#[derive(Debug)]
pub struct Past {
    /// The state after all of it.
    pub release: Release,
    /// Events after the snapshot.
    pub events: usize,
    /// The last line was torn.
    pub torn: bool,
}

/// A folder of terms and journals.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// The folder; made if it is not there.
    pub fn open(path: &Path) -> Result<Folder, Fault> {
        std::fs::create_dir_all(path).map_err(io(path))?;
        Ok(Folder(path.to_owned()))
    }

    fn names(&self) -> Result<Vec<String>, Fault> {
        let entries = std::fs::read_dir(&self.0).map_err(io(&self.0))?;
        Ok(entries.flatten().filter_map(|e| e.file_name().into_string().ok()).collect())
    }

    /// The latest term that has begun; 0: none has.
    pub fn latest_term(&self) -> Result<u64, Fault> {
        let terms = self.names()?.into_iter().filter_map(|n| n.strip_prefix("term-")?.parse().ok());
        Ok(terms.max().unwrap_or(0))
    }

    /// Journals, the latest first: term, number, path.
    fn journals(&self) -> Result<Vec<(u64, u64, PathBuf)>, Fault> {
        let numbers = |name: &str| -> Option<(u64, u64)> {
            let (term, number) = name.strip_prefix("journal-")?.split_once('-')?;
            Some((term.parse().ok()?, number.parse().ok()?))
        };
        let mut found: Vec<(u64, u64, PathBuf)> = Vec::new();
        for name in self.names()? {
            found.extend(numbers(&name).map(|(term, number)| (term, number, self.0.join(&name))));
        }
        found.sort_by_key(|j| std::cmp::Reverse((j.0, j.1)));
        Ok(found)
    }

    /// Whether this version can go on from what is here; looked at before anything is touched.
    pub fn check(&self) -> Result<(), Fault> {
        let Some((.., path)) = self.journals()?.into_iter().next() else { return Ok(()) };
        let mut first = Vec::new();
        let file = File::open(&path).map_err(reading(&path))?;
        file.take(4_096).read_to_end(&mut first).map_err(io(&path))?;
        // Of a header of a later layout no more is known than where its version stands.
        let head =
            String::from_utf8_lossy(first.split(|b| *b == b'\n').next().unwrap_or_default()).into_owned();
        let version = head.split_once("\"version\":").map(|(_, rest)| {
            rest.chars()
                .take_while(char::is_ascii_digit)
                .collect::<String>()
                .parse::<u32>()
                .unwrap_or(u32::MAX)
        });
        match version {
            Some(version) if version > VERSION => Err(Fault::Newer(path, version)),
            _ => Ok(()),
        }
    }

    /// Reads the latest journal; none: nothing was ever kept.
    pub fn read(&self) -> Result<Option<Past>, Fault> {
        let Some((.., path)) = self.journals()?.into_iter().next() else { return Ok(None) };
        let bytes = std::fs::read(&path).map_err(reading(&path))?;
        read_journal(&path, &bytes).map(Some)
    }

    /// Begins a term: first exclusively, then with all that earlier holders made durable.
    pub fn begin(&self, holder: &str, build: u16, now: Now) -> Result<Begun, Fault> {
        self.check()?;
        let term = self.latest_term()? + 1;
        let path = self.0.join(format!("term-{term}"));
        let made = OpenOptions::new().write(true).create_new(true).open(&path);
        match made {
            Err(e) if e.kind() == ErrorKind::AlreadyExists => return Err(Fault::Taken),
            other => {
                let mut file = other.map_err(io(&path))?;
                file.write_all(holder.as_bytes()).and_then(|()| file.sync_all()).map_err(io(&path))?;
            }
        }
        self.sync()?;
        let read = self.read()?;
        let (events, torn) = read.as_ref().map_or((0, false), |r| (r.events, r.torn));
        let mut release = read.map_or_else(|| Release::new(build), |r| r.release);
        release.on_event(now, &Event::Started);
        let writer = Writer::begin(self, term, 0, holder, &release)?;
        self.tidy(term)?;
        Ok(Begun { term, release, writer, events, torn })
    }

    /// Journals of long past terms go; terms stay, so that none is ever begun again.
    fn tidy(&self, term: u64) -> Result<(), Fault> {
        for (_, _, path) in self.journals()?.into_iter().filter(|j| j.0 + TERMS_KEPT < term) {
            match std::fs::remove_file(&path) {
                // Another one that begins at this moment tidies, too.
                Err(e) if e.kind() != ErrorKind::NotFound => return Err(io(&path)(e)),
                _ => {}
            }
        }
        Ok(())
    }

    fn sync(&self) -> Result<(), Fault> {
        File::open(&self.0).and_then(|f| f.sync_all()).map_err(io(&self.0))
    }

    /// The holder's sign of life, as it stands: nothing if there is none.
    pub fn lease(&self) -> Option<String> {
        std::fs::read_to_string(self.0.join("lease")).ok().filter(|text| !text.is_empty())
    }

    /// Gives a sign of life; `beat` differs from the one before.
    pub fn renew(&self, term: u64, holder: &str, beat: u64) -> Result<(), Fault> {
        let (path, aside) = (self.0.join("lease"), self.0.join(format!("lease-{term}.new")));
        std::fs::write(&aside, format!("{term} {holder} {beat}"))
            .and_then(|()| std::fs::rename(&aside, &path))
            .map_err(io(&path))
    }

    /// Leaves in order: whoever stands by need not wait.
    pub fn leave(&self, term: u64) {
        if self.latest_term() == Ok(term) {
            let _ = std::fs::remove_file(self.0.join("lease"));
        }
    }
}

/// Reads a journal's bytes: the state after all whole lines.
fn read_journal(path: &Path, bytes: &[u8]) -> Result<Past, Fault> {
    let damaged = |line: usize| Fault::Damaged(path.to_owned(), line);
    let mut release: Option<Release> = None;
    let (mut events, mut torn, mut at) = (0, false, 0);
    for (n, line) in bytes.split_inclusive(|b| *b == b'\n').enumerate() {
        at += line.len();
        let whole = line.strip_suffix(b"\n").and_then(decode);
        let Some(line) = whole else {
            // Only the last line can be torn: each is durable before the next is begun.
            if at == bytes.len() && n >= 2 {
                torn = true;
                break;
            }
            return Err(damaged(n + 1));
        };
        match (n, line) {
            (0, Line::Header { version, .. }) if version <= VERSION => {}
            (0, Line::Header { version, .. }) => return Err(Fault::Newer(path.to_owned(), version)),
            (1, Line::State(state)) => release = Some(*state),
            (2.., Line::Event { now, event, after }) => {
                let Some(release) = &mut release else { return Err(damaged(n + 1)) };
                let before = release.news();
                release.on_event(now, &event);
                let news = release.news();
                if after != (news != before).then_some(news) {
                    return Err(Fault::Otherwise(path.to_owned(), n + 1));
                }
                events += 1;
            }
            _ => return Err(damaged(n + 1)),
        }
    }
    let release = release.ok_or_else(|| damaged(2))?;
    Ok(Past { release, events, torn })
}

/// A term that has begun.
#[derive(Debug)]
pub struct Begun {
    /// Its number: what fences the holder's words.
    pub term: u64,
    /// The state it goes on with.
    pub release: Release,
    /// Its journal.
    pub writer: Writer,
    /// Events read after the last snapshot.
    pub events: usize,
    /// The last line of the journal before was torn.
    pub torn: bool,
}

/// Why something was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotKept {
    /// A later term has begun: this holder must not speak any more.
    Superseded,
    /// The system's word; nothing of it counts.
    Failed(String),
}

/// Writes a term's journal.
#[derive(Debug)]
pub struct Writer {
    folder: Folder,
    term: u64,
    holder: String,
    number: u64,
    file: File,
    /// Bytes that are whole and durable; what follows them is cut before anything is added.
    good: u64,
    events: usize,
}

impl Writer {
    fn begin(
        folder: &Folder,
        term: u64,
        number: u64,
        holder: &str,
        state: &Release,
    ) -> Result<Writer, Fault> {
        let path = folder.0.join(format!("journal-{term}-{number}"));
        let aside = folder.0.join(format!("journal-{term}-{number}.new"));
        let mut bytes = encode(&Line::Header { version: VERSION, holder: holder.to_owned() });
        bytes.extend(encode(&Line::State(Box::new(state.clone()))));
        let mut file = File::create(&aside).map_err(io(&aside))?;
        file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(io(&aside))?;
        std::fs::rename(&aside, &path).map_err(io(&path))?;
        folder.sync()?;
        let (good, holder) = (bytes.len() as u64, holder.to_owned());
        Ok(Writer { folder: folder.clone(), term, holder, number, file, good, events: 0 })
    }

    /// Keeps lines, as [`encode`] makes them, and the state after them where a new journal is due. Done only
    /// when they would survive a crash and no later term has begun.
    pub fn keep(&mut self, bytes: &[u8], events: usize, state: &Release) -> Result<(), NotKept> {
        let failed = |e: std::io::Error| NotKept::Failed(e.to_string());
        use std::io::{Seek, SeekFrom};
        // Whatever a write that failed has left behind must not stand before what is added now.
        self.file.set_len(self.good).map_err(failed)?;
        self.file.seek(SeekFrom::Start(self.good)).map_err(failed)?;
        self.file.write_all(bytes).and_then(|()| self.file.sync_data()).map_err(failed)?;
        self.good += bytes.len() as u64;
        self.events += events;
        if self.folder.latest_term().map_err(|e| NotKept::Failed(e.to_string()))? > self.term {
            return Err(NotKept::Superseded);
        }
        if self.events >= SNAPSHOT_EVERY {
            // The events are durable as they are; that a new journal cannot be begun is tried again later.
            match Writer::begin(&self.folder, self.term, self.number + 1, &self.holder, state) {
                Ok(next) => {
                    let old =
                        self.folder.0.join(format!("journal-{}-{}", self.term, self.number.wrapping_sub(1)));
                    let _ = std::fs::remove_file(old);
                    *self = next;
                }
                Err(why) => {
                    tracing::warn!("no new journal: {why}");
                    self.events = SNAPSHOT_EVERY / 2;
                }
            }
        }
        Ok(())
    }
}
