//! Deliberate crashes at defined steps, for tests of recovery.

use super::{ServeError, Summary, serve};
use crate::settings::Settings;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;

/// A step in the handling of the `n`th batch, counted from 1, at which a controller aborts. The effect is
/// that of a kill at this step, which a test cannot time reliably from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// The batch is decided and not yet handed to the journal writer.
    Decided(u64),
    /// The batch is durable and not yet announced.
    Durable(u64),
    /// The batch is announced and its replies are sent.
    Announced(u64),
}

thread_local! {
    static CRASH_POINT: Cell<Option<CrashPoint>> = const { Cell::new(None) };
}

/// Runs a controller as [`serve`] does, until it aborts at `crash_point`.
///
/// # Errors
/// The same as of [`serve`].
pub fn serve_until(
    settings: Settings,
    state: &Path,
    crash_point: Option<CrashPoint>,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<Summary, ServeError> {
    CRASH_POINT.set(crash_point);
    serve(settings, state, None, on_listening)
}

/// Aborts the process if this step is the chosen crash point.
pub(super) fn abort_if_chosen(step: CrashPoint) {
    if CRASH_POINT.get() == Some(step) {
        std::process::abort();
    }
}
