//! Appends to the journal on its own thread: while one batch becomes durable, the next one gathers.

use crate::journal::{AppendError, Writer};
use calloop::channel::Sender;
use std::sync::Arc;
use violetseam_release::Release;

/// Records that are appended together, and the state after them.
pub struct WriteRequest {
    pub records: Vec<u8>,
    pub event_count: usize,
    pub state: Arc<Release>,
}

/// The result of a [`WriteRequest`].
pub struct WriteCompletion(pub Result<(), AppendError>);

/// Starts the thread; it ends when the returned sender is dropped.
///
/// # Errors
/// The system refuses another thread.
pub fn spawn(
    mut writer: Writer,
    completions: Sender<WriteCompletion>,
) -> std::io::Result<std::sync::mpsc::Sender<WriteRequest>> {
    let (requests, received) = std::sync::mpsc::channel::<WriteRequest>();
    std::thread::Builder::new().name("journal".into()).spawn(move || {
        while let Ok(request) = received.recv() {
            let result = writer.append(&request.records, request.event_count, &request.state);
            if completions.send(WriteCompletion(result)).is_err() {
                return;
            }
        }
    })?;
    Ok(requests)
}
