//! A start over system calls that fail for a moment: no descriptor or buffer free, an address not there yet, a file that
//! cannot be read now. A proxy that gave up on the first of them would be missing until somebody looks.

use rustix::io::Errno;
use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

/// A start waits so long for what it lacks; the platform counts a start of thirty seconds as a crash.
const PATIENCE: Duration = Duration::from_secs(10);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// Errors that go away by themselves and have no kind in the standard library, as socket(2), epoll_create(2) and open(2)
/// name them.
const PASSING: [Errno; 4] = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::IO];

/// Whether an error is likely to go away by itself.
fn is_passing(error: &Error) -> bool {
    let kind = matches!(
        error.kind(),
        ErrorKind::Interrupted
            | ErrorKind::WouldBlock
            | ErrorKind::OutOfMemory
            | ErrorKind::AddrInUse
            | ErrorKind::AddrNotAvailable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
    );
    kind || Errno::from_io_error(error).is_some_and(|errno| PASSING.contains(&errno))
}

/// Tries until it succeeds.
///
/// # Errors
/// The first error that does not pass by itself, or the last one after ten seconds.
pub fn patiently<T>(what: &str, mut attempt: impl FnMut() -> Result<T>) -> Result<T> {
    let until = Instant::now() + PATIENCE;
    let mut told = false;
    loop {
        match attempt() {
            Err(e) if is_passing(&e) && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!("{what}: {e}; trying again");
                }
                std::thread::sleep(PAUSE);
            }
            result => return result,
        }
    }
}
