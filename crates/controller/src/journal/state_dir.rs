//! The state directory, which the leader and its standbys share: terms, journals and the lease.

use super::replay::{Replay, replay};
use super::writer::Writer;
use super::{FORMAT_VERSION, JournalError, io_error};
use std::cmp::Reverse;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use violetseam_release::{Event, Now, Release};

/// The number of earlier terms whose journals are retained for inspection.
const RETAINED_TERMS: u64 = 8;
/// The number of bytes at the start of a journal that are read to find its format.
const HEADER_READ_LIMIT: u64 = 4_096;

/// A state directory.
#[derive(Clone, Debug)]
pub struct StateDir(PathBuf);

/// A term that this controller has begun as its leader.
#[derive(Debug)]
pub struct NewTerm {
    /// The number of the term, which is the fence of the leader's announcements.
    pub number: u64,
    /// The state that the term starts from.
    pub release: Release,
    /// The writer of the term's journals.
    pub writer: Writer,
    /// The number of events that were replayed after the last snapshot.
    pub replayed_events: usize,
    /// Whether the last record of the earlier journal was torn.
    pub torn: bool,
}

/// A journal file, as its name describes it.
struct JournalFile {
    term: u64,
    /// The sequence number of the journal within its term.
    sequence: u64,
    path: PathBuf,
}

impl StateDir {
    /// Opens the directory, and creates it if it is missing.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn open(path: &Path) -> Result<StateDir, JournalError> {
        std::fs::create_dir_all(path).map_err(io_error(path))?;
        Ok(StateDir(path.to_owned()))
    }

    fn file_names(&self) -> Result<Vec<String>, JournalError> {
        let entries = std::fs::read_dir(&self.0).map_err(io_error(&self.0))?;
        Ok(entries.flatten().filter_map(|entry| entry.file_name().into_string().ok()).collect())
    }

    /// Returns the number of the latest term that has begun; 0 if none has.
    ///
    /// # Errors
    /// The directory cannot be listed.
    pub fn latest_term(&self) -> Result<u64, JournalError> {
        let names = self.file_names()?;
        let terms = names.iter().filter_map(|name| name.strip_prefix("term-")?.parse().ok());
        Ok(terms.max().unwrap_or(0))
    }

    pub(super) fn journal_path(&self, term: u64, sequence: u64) -> PathBuf {
        self.0.join(format!("journal-{term}-{sequence}"))
    }

    /// Returns all journals, the latest first.
    fn journals(&self) -> Result<Vec<JournalFile>, JournalError> {
        let mut journals: Vec<JournalFile> =
            self.file_names()?.iter().filter_map(|name| self.parse_journal_name(name)).collect();
        journals.sort_by_key(|journal| Reverse((journal.term, journal.sequence)));
        Ok(journals)
    }

    fn parse_journal_name(&self, name: &str) -> Option<JournalFile> {
        let (term, sequence) = name.strip_prefix("journal-")?.split_once('-')?;
        let term = term.parse().ok()?;
        let sequence = sequence.parse().ok()?;
        Some(JournalFile { term, sequence, path: self.0.join(name) })
    }

    fn latest_journal(&self) -> Result<Option<PathBuf>, JournalError> {
        Ok(self.journals()?.into_iter().next().map(|journal| journal.path))
    }

    /// Checks that this version can read the format of the latest journal. Changes nothing in the directory.
    ///
    /// # Errors
    /// The journal has a later format, or the file cannot be read.
    pub fn check(&self) -> Result<(), JournalError> {
        let Some(path) = self.latest_journal()? else { return Ok(()) };
        let mut start = Vec::new();
        let file = File::open(&path).map_err(read_error(&path))?;
        file.take(HEADER_READ_LIMIT).read_to_end(&mut start).map_err(io_error(&path))?;
        match header_version(&start) {
            Some(version) if version > FORMAT_VERSION => Err(JournalError::NewerFormat { path, version }),
            _ => Ok(()),
        }
    }

    /// Replays the latest journal; `None` if there is none.
    ///
    /// # Errors
    /// The journal cannot be read or is damaged, or its replay leads to another announcement than the
    /// recorded one.
    pub fn read(&self) -> Result<Option<Replay>, JournalError> {
        let Some(path) = self.latest_journal()? else { return Ok(None) };
        let bytes = std::fs::read(&path).map_err(read_error(&path))?;
        replay(&path, &bytes).map(Some)
    }

    /// Begins a term. It claims the term exclusively and then reads what earlier leaders made durable, in
    /// this order.
    ///
    /// # Errors
    /// [`JournalError::TermTaken`] if another controller claimed this term or a later one. Other errors mean
    /// that the latest journal cannot be used or that the directory cannot be written.
    pub fn begin_term(&self, leader: &str, build: u16, now: Now) -> Result<NewTerm, JournalError> {
        self.check()?;
        let number = self.latest_term()? + 1;
        self.claim_term(number, leader)?;
        let mut release = Release::new(build);
        let mut replayed_events = 0;
        let mut torn = false;
        if let Some(replay) = self.read()? {
            release = replay.release;
            replayed_events = replay.event_count;
            torn = replay.torn;
        }
        release.on_event(now, &Event::Started);
        let writer = Writer::create(self, number, 0, leader, &release)?;
        self.remove_old_journals(number)?;
        Ok(NewTerm { number, release, writer, replayed_events, torn })
    }

    /// Creates the file of a term, which fails if another controller has created it.
    fn claim_term(&self, number: u64, leader: &str) -> Result<(), JournalError> {
        let path = self.0.join(format!("term-{number}"));
        let created = OpenOptions::new().write(true).create_new(true).open(&path);
        let mut file = created.map_err(|error| {
            if error.kind() == ErrorKind::AlreadyExists {
                JournalError::TermTaken
            } else {
                io_error(&path)(error)
            }
        })?;
        file.write_all(leader.as_bytes()).map_err(io_error(&path))?;
        file.sync_all().map_err(io_error(&path))?;
        self.sync()
    }

    /// Removes the journals of terms that are no longer retained. The term files stay, so that no term is
    /// begun twice.
    fn remove_old_journals(&self, current_term: u64) -> Result<(), JournalError> {
        for journal in self.journals()? {
            if journal.term + RETAINED_TERMS >= current_term {
                continue;
            }
            match std::fs::remove_file(&journal.path) {
                // Another controller that begins a term at the same time may have removed the journal
                // already.
                Err(error) if error.kind() != ErrorKind::NotFound => {
                    return Err(io_error(&journal.path)(error));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Makes created, renamed and removed files in the directory durable.
    pub(super) fn sync(&self) -> Result<(), JournalError> {
        File::open(&self.0).and_then(|directory| directory.sync_all()).map_err(io_error(&self.0))
    }

    fn lease_path(&self) -> PathBuf {
        self.0.join("lease")
    }

    /// Returns the leader's latest heartbeat; `None` if the lease was released or cannot be read.
    pub fn read_lease(&self) -> Option<String> {
        std::fs::read_to_string(self.lease_path()).ok().filter(|text| !text.is_empty())
    }

    /// Renews the lease. Each renewal must have another `heartbeat` number, so that standbys see a change.
    ///
    /// # Errors
    /// The lease cannot be written.
    pub fn renew_lease(&self, term: u64, leader: &str, heartbeat: u64) -> Result<(), JournalError> {
        let path = self.lease_path();
        let temporary = self.0.join(format!("lease-{term}.new"));
        std::fs::write(&temporary, format!("{term} {leader} {heartbeat}"))
            .and_then(|()| std::fs::rename(&temporary, &path))
            .map_err(io_error(&path))
    }

    /// Releases the lease unless a later term has begun. A standby then takes over without waiting for the
    /// lease to expire.
    pub fn release_lease(&self, term: u64) {
        if self.latest_term().is_ok_and(|latest| latest == term) {
            let _ = std::fs::remove_file(self.lease_path());
        }
    }
}

/// Returns a function that adds the path to an error of reading a journal. A journal that has disappeared
/// since it was listed was removed by a controller in a later term.
fn read_error(path: &Path) -> impl Fn(std::io::Error) -> JournalError + '_ {
    move |error| {
        if error.kind() == ErrorKind::NotFound { JournalError::TermTaken } else { io_error(path)(error) }
    }
}

/// Returns the format version in a journal's header. It relies on nothing but the `"version":` field in the
/// first line, because a later format may change the rest.
fn header_version(start: &[u8]) -> Option<u32> {
    let first_line = start.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let header = String::from_utf8_lossy(first_line);
    let (_, rest) = header.split_once("\"version\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    Some(digits.parse().unwrap_or(u32::MAX))
}
