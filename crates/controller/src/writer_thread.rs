//! The thread that appends to the journal. While it makes one batch durable, the event loop gathers the next
//! one.

use crate::journal::{AppendError, Writer};
use calloop::channel::Sender;
use std::sync::Arc;
use violetseam_release::Release;

/// A batch of records to append, and the state after them.
pub struct WriteRequest {
    pub records: Vec<u8>,
    pub event_count: usize,
    pub state: Arc<Release>,
}

/// The result of a [`WriteRequest`].
pub struct WriteCompletion(pub Result<(), AppendError>);

/// Starts the thread. It ends when the returned sender is dropped.
///
/// # Errors
/// The system cannot start another thread.
pub fn spawn(
    mut writer: Writer,
    completions: Sender<WriteCompletion>,
) -> std::io::Result<std::sync::mpsc::Sender<WriteRequest>> {
    let (request_sender, request_receiver) = std::sync::mpsc::channel::<WriteRequest>();
    std::thread::Builder::new().name("journal".into()).spawn(move || {
        while let Ok(request) = request_receiver.recv() {
            let result = writer.append(&request.records, request.event_count, &request.state);
            if completions.send(WriteCompletion(result)).is_err() {
                return;
            }
        }
    })?;
    Ok(request_sender)
}
