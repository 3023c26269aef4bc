//! Retries of system calls that fail for a moment at the start: no descriptor or buffer is free, an address
//! is not there yet, a file cannot be read now. A proxy that stopped at the first of them would be missing
//! until somebody looks.

use rustix::io::Errno;
use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

/// How long a start retries; the platform counts a start of thirty seconds as a crash.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The span between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Transient errors that have no kind in the standard library, as socket(2), epoll_create(2) and open(2) name
/// them.
const TRANSIENT_ERRNOS: [Errno; 4] = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::IO];

/// Whether an error is likely to go away by itself.
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

/// Repeats an attempt until it succeeds or fails for good. `operation` names it in the log.
///
/// # Errors
/// The first error that is not transient, or the last one after ten seconds.
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
                    tracing::warn!("{operation}: {error}; trying again");
                    is_logged = true;
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
