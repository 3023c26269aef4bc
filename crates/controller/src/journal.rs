//! Durable state and leadership: a directory of terms and journals.
//!
//! - `term-N`: created exclusively by the controller that becomes the leader, so that term N has one leader. The
//!   number fences everything that leader announces.
//! - `journal-N-K`: what the leader of term N decided: a header, a snapshot of the whole state, then each event
//!   that changed it. Only that leader writes it. A new journal is begun every [`SNAPSHOT_INTERVAL`] events, so
//!   that reading takes the same time however long a controller has run.
//! - `lease`: the leader's heartbeat; no safety property rests on it.
//!
//! A record is one line: a checksum and JSON. A torn last record was acknowledged to nobody and is ignored; a bad
//! record before others means damage, and nothing is read past it.
//!
//! The order that safety rests on: a leader makes its events durable, **then** checks that no later term has
//! begun, then announces them. A successor begins its term, **then** reads. So its successor has read whatever a
//! leader announced, and a leader that was paused announces nothing that its successor does not know.

mod record;
mod replay;
mod state_dir;
mod writer;

pub use record::{Record, encode};
pub use replay::Replay;
pub use state_dir::{NewTerm, StateDir};
pub use writer::{AppendError, Writer};

use std::path::{Path, PathBuf};

/// The format of journals; a later one is rejected and left untouched.
pub const FORMAT_VERSION: u32 = 1;
/// Events after which a new journal is begun with a snapshot of the whole state.
pub const SNAPSHOT_INTERVAL: usize = 10_000;

/// Why a state directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The journal was written by a later version.
    #[error(
        "{}: layout {version} of a later version; this one knows {FORMAT_VERSION}. Nothing was touched",
        .path.display()
    )]
    NewerFormat {
        /// The journal.
        path: PathBuf,
        /// Its format.
        version: u32,
    },
    /// A record before the last is damaged.
    #[error("{}: line {line} is damaged, and lines follow it: restore the folder", .path.display())]
    Damaged {
        /// The journal.
        path: PathBuf,
        /// The record's line, from 1.
        line: usize,
    },
    /// This version decides differently from the one that wrote the journal.
    #[error(
        "{}: line {line}: this version decides otherwise than the one that wrote it; start that one, \
         end the release, then change versions",
        .path.display()
    )]
    Diverged {
        /// The journal.
        path: PathBuf,
        /// The first record with another outcome, from 1.
        line: usize,
    },
    /// Another controller began a term at the same moment.
    #[error("another controller has just begun")]
    TermTaken,
    /// A file or directory cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
}

/// Adds the path to an I/O error.
fn io_error(path: &Path) -> impl Fn(std::io::Error) -> JournalError + '_ {
    move |source| JournalError::Io { path: path.to_owned(), source }
}
