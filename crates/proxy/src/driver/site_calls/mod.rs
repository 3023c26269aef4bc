//! Calls to discovery and to the release service: each one HTTP exchange on a connection of its own. A watch
//! on the server list and the release's status are answers without an end, one JSON line a message.
//!
//! - `call.rs`: a call from its connection to its end, whatever it is for
//! - `error.rs`: why a call ended
//! - `list_updates.rs`: the server list
//! - `release_status.rs`: the release's status
//! - `votes.rs`: votes on the release

mod call;
mod error;
mod list_updates;
mod release_status;
mod votes;

use super::{ConnectionId, Proxy};
use call::Call;
use error::CallError;
use slab::Slab;
use violetseam::interface::Micros;

/// The least wait for another try on the release service's stream, or for a line on it.
const MIN_STREAM_SPAN: Micros = 10_000;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// Changes of the server list, from the present version on.
    WatchList,
    /// The complete server list, once.
    FetchList,
    /// The status of the newest build's release.
    WatchRelease,
    /// A vote.
    Vote,
}

/// The calls in flight, and what the next ones go by.
#[derive(Default)]
pub(super) struct SiteCalls {
    in_flight: Slab<Call>,
    /// The call that is subscribed to the server list.
    list_watch: Option<usize>,
    /// The call that streams the release's status.
    release_stream: Option<usize>,
    /// Which of the settings' release services is called.
    release_service_index: usize,
    /// The highest fencing number received from a release service.
    highest_fence: u64,
}

impl SiteCalls {
    /// No calls yet; `highest_fence` is what a process before this one has received.
    pub(super) fn new(highest_fence: u64) -> Self {
        SiteCalls { highest_fence, ..SiteCalls::default() }
    }

    /// The highest fencing number received from a release service.
    pub(super) fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// The call in this slot, if it is still the one of this generation.
    fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Call> {
        self.in_flight.get_mut(id.key).filter(|call| call.generation == id.generation)
    }
}

impl Proxy {
    /// Ends the streams from discovery and the release service: they are a successor's now.
    pub(super) fn end_site_streams(&mut self) {
        let list_watch = self.site_calls.list_watch.take();
        let release_stream = self.site_calls.release_stream.take();
        for key in [list_watch, release_stream].into_iter().flatten() {
            self.close_call(key);
        }
    }

    /// Handles one line of an answer, which is not blank.
    fn on_call_line(&mut self, purpose: CallPurpose, line: &[u8]) -> Result<(), CallError> {
        match purpose {
            CallPurpose::WatchList | CallPurpose::FetchList => self.on_list_line(line),
            CallPurpose::WatchRelease => self.on_release_line(line),
            CallPurpose::Vote => Ok(()),
        }
    }

    /// Closes a call that is over, and reports that to whatever waits for it.
    fn end_call(&mut self, key: usize, error: &CallError) {
        let Some(call) = self.site_calls.in_flight.get(key) else { return };
        let purpose = call.purpose;
        let is_answered = call.is_answered;
        let is_written = call.is_written;
        self.close_call(key);
        match purpose {
            CallPurpose::WatchList => self.on_list_watch_ended(key, error),
            CallPurpose::FetchList if is_answered => {}
            CallPurpose::FetchList => self.on_list_failed(error),
            CallPurpose::WatchRelease => {
                tracing::warn!("desk: {error}");
                self.on_release_stream_lost();
            }
            CallPurpose::Vote if is_answered => {}
            CallPurpose::Vote => self.on_vote_unanswered(is_written, error),
        }
    }
}
