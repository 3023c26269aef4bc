//! Retries system calls that fail with a transient error at the start: no descriptor or buffer is free, an
//! address is not available yet, or a file cannot be read at that moment. A proxy that exited on the first of
//! these errors would stay down until an operator intervened.

use rustix::io::Errno;
use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

/// How long an operation is retried at the start. The platform counts a start that takes thirty seconds as a
/// crash.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Transient errors that `std::io::ErrorKind` does not cover, as documented for socket(2), epoll_create(2)
/// and open(2).
const TRANSIENT_ERRNOS: [Errno; 4] = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::IO];

/// Whether an error is likely to go away without intervention.
fn is_transient(error: &Error) -> bool {
    let has_transient_kind = matches!(
        error.kind(),
        ErrorKind::Interrupted
            | ErrorKind::WouldBlock
            | ErrorKind::OutOfMemory
            | ErrorKind::AddrInUse
            | ErrorKind::AddrNotAvailable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
    );
    has_transient_kind || Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRNOS.contains(&errno))
}

/// Repeats an attempt until it succeeds or fails with an error that is not transient. `operation` names the
/// attempt in the log.
///
/// # Errors
/// Returns the first error that is not transient, or the last transient error after ten seconds.
pub(super) fn retry_transient_errors<T>(
    operation: &str,
    mut attempt: impl FnMut() -> Result<T>,
) -> Result<T> {
    let give_up_at = Instant::now() + START_TIMEOUT;
    let mut is_logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                if !is_logged {
                    tracing::warn!("{operation} failed: {error}; trying again");
                    is_logged = true;
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
