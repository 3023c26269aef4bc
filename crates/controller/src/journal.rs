//! Durable state and leadership, in a directory that the leader and its standbys share.
//!
//! - `term-N`: a file that the controller creates exclusively when it becomes the leader, so that each term
//!   has one leader. The number is the fence of everything that this leader announces.
//! - `journal-N-K`: journal K of term N, counted from 0. Only the leader of that term writes it. It holds a
//!   header, a snapshot of the whole state, and each later event that changed the state. The leader begins a
//!   new journal every [`SNAPSHOT_INTERVAL`] events, so that the time to read a journal does not grow with
//!   the uptime.
//! - `lease`: the leader's heartbeat. A standby uses it to decide when to take over; no safety property rests
//!   on it.
//!
//! A record is one line of a checksum and JSON. If the last record is torn, it was not acknowledged to anyone
//! and is ignored. An invalid record before others means that the journal is damaged, and it is rejected as a
//! whole.
//!
//! Safety rests on the order of steps. A leader makes its events durable, **then** checks that no later term
//! has begun, and only then announces them. A successor begins its term and **then** reads the journal. A
//! successor has therefore read everything that an earlier leader announced, even if that leader was paused
//! in between.

mod record;
mod replay;
mod state_dir;
mod writer;

pub use record::{Record, encode};
pub use replay::Replay;
pub use state_dir::{NewTerm, StateDir};
pub use writer::{AppendError, Writer};

use std::path::{Path, PathBuf};

/// The version of the journal format. Journals of a later version are rejected and left untouched.
pub const FORMAT_VERSION: u32 = 1;
/// The number of events after which the leader begins a new journal with a snapshot of the whole state.
pub const SNAPSHOT_INTERVAL: usize = 10_000;

/// The reason why a state directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The journal was written by a later version of the controller.
    #[error(
        "{}: journal format {version}; this version supports up to {FORMAT_VERSION}. Nothing was touched",
        .path.display()
    )]
    NewerFormat {
        /// The path of the journal.
        path: PathBuf,
        /// The version of the journal's format.
        version: u32,
    },
    /// A record is damaged and is not a torn last record.
    #[error(
        "{}: line {line} is damaged and is not a torn last record: restore the state directory",
        .path.display()
    )]
    Damaged {
        /// The path of the journal.
        path: PathBuf,
        /// The line of the damaged record, from 1.
        line: usize,
    },
    /// The replay of a record led to another announcement than the recorded one, because this version decides
    /// differently from the one that wrote the journal.
    #[error(
        "{}: line {line}: this version decides differently from the version that wrote the journal; \
         start that version, end the release, then upgrade",
        .path.display()
    )]
    Diverged {
        /// The path of the journal.
        path: PathBuf,
        /// The line of the first record with another outcome, from 1.
        line: usize,
    },
    /// Another controller began this term or a later one.
    #[error("another controller has just begun a term")]
    TermTaken,
    /// A file or directory cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error that the system reported.
        source: std::io::Error,
    },
}

/// Returns a function that adds the path to an I/O error.
fn io_error(path: &Path) -> impl Fn(std::io::Error) -> JournalError + '_ {
    move |source| JournalError::Io { path: path.to_owned(), source }
}
