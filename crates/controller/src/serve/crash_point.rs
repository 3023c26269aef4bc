//! Crashes on purpose, for tests of what a restart makes of them.

use super::{ServeError, Summary, serve};
use crate::settings::Settings;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;

/// A step of the `n`th batch, from 1, at which a controller aborts: what a kill at that very moment would do,
/// without the luck that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Decided, and not handed to the journal.
    Decided(u64),
    /// Durable, and not announced.
    Durable(u64),
    /// Announced and answered.
    Announced(u64),
}

thread_local! {
    static CRASH_POINT: Cell<Option<CrashPoint>> = const { Cell::new(None) };
}

/// Runs a controller as [`serve`] does, until it aborts at a step.
///
/// # Errors
/// As for [`serve`].
pub fn serve_until(
    settings: Settings,
    state: &Path,
    crash_point: Option<CrashPoint>,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<Summary, ServeError> {
    CRASH_POINT.set(crash_point);
    serve(settings, state, None, on_listening)
}

/// Aborts if this step was chosen.
pub(super) fn reach(step: CrashPoint) {
    if CRASH_POINT.get() == Some(step) {
        std::process::abort();
    }
}
