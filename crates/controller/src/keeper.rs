//! Writes the journal on a thread of its own: while one batch becomes durable, the next one gathers.

use crate::journal::{NotKept, Writer};
use calloop::channel::Sender;
use std::sync::Arc;
use violetseam_release::Release;

/// Lines that belong together, and the state after them.
pub struct Job {
    pub bytes: Vec<u8>,
    pub events: usize,
    pub state: Arc<Release>,
}

/// What became of a job.
pub struct Done(pub Result<(), NotKept>);

/// Starts the thread; it ends when the sender of jobs is dropped.
pub fn start(mut writer: Writer, done: Sender<Done>) -> std::io::Result<std::sync::mpsc::Sender<Job>> {
    let (jobs, todo) = std::sync::mpsc::channel::<Job>();
    std::thread::Builder::new().name("journal".into()).spawn(move || {
        while let Ok(job) = todo.recv() {
            let kept = writer.keep(&job.bytes, job.events, &job.state);
            if done.send(Done(kept)).is_err() {
                return;
            }
        }
    })?;
    Ok(jobs)
}
