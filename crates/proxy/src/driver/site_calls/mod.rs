//! Calls to discovery and to the release service. Each is one HTTP exchange on a connection of its own. The
//! server list and the release status are streamed in responses that do not end, with one JSON line for each
//! message.
//!
//! - `call.rs`: a single call of any purpose, from its connection to its end
//! - `error.rs`: the reasons for which a call ends
//! - `list_updates.rs`: the server list
//! - `release_status.rs`: the release status
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
use violetseam::release_order::{ReleaseOrder, ReleaseReport};

/// The lower limit for the reconnect delay and for the idle time-out of the release service's stream.
const MIN_STREAM_WAIT: Micros = 10_000;

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// The call streams changes of the server list, starting from the present version.
    WatchList,
    /// The call fetches the complete server list once.
    FetchList,
    /// The call streams the release status of the newest build.
    WatchRelease,
    /// The call sends a vote.
    Vote,
}

/// The calls in flight, and the state that later calls depend on.
#[derive(Default)]
pub(super) struct SiteCalls {
    in_flight: Slab<Call>,
    /// The key of the call that is subscribed to the server list.
    list_watch: Option<usize>,
    /// The key of the call that streams the release status.
    release_stream: Option<usize>,
    /// The index of the release service that is called, in the settings' list of release services.
    release_service_index: usize,
    /// The highest fencing number received from a release service.
    highest_fence: u64,
    /// Decides which of the statuses on release streams and in replies to votes is in force.
    release_order: ReleaseOrder,
}

impl SiteCalls {
    /// Creates the state without calls. In a takeover, `highest_fence` is the old process's value; otherwise
    /// it is 0.
    pub(super) fn new(highest_fence: u64) -> Self {
        SiteCalls { highest_fence, ..SiteCalls::default() }
    }

    /// Returns the highest fencing number received from a release service.
    pub(super) fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// Returns whether the status of a report is to be put in force. The fencing number is not below the
    /// highest.
    fn admits_release(&mut self, fence: u64, report: ReleaseReport) -> bool {
        if fence > self.highest_fence {
            // The number shows that the report is newer than all before it.
            self.highest_fence = fence;
            self.release_order = ReleaseOrder::default();
        }
        self.release_order.admits(report)
    }

    /// Returns the call with this key, unless the key has been reused by a call of a later generation.
    fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Call> {
        self.in_flight.get_mut(id.key).filter(|call| call.generation == id.generation)
    }
}

impl Proxy {
    /// Ends the streams from discovery and the release service after a hand-over. The new process opens its
    /// own.
    pub(super) fn end_site_streams(&mut self) {
        let list_watch = self.site_calls.list_watch.take();
        let release_stream = self.site_calls.release_stream.take();
        for key in [list_watch, release_stream].into_iter().flatten() {
            self.close_call(key);
        }
    }

    /// Handles one line of a response. The line is not blank.
    fn on_call_line(&mut self, purpose: CallPurpose, generation: u64, line: &[u8]) -> Result<(), CallError> {
        match purpose {
            CallPurpose::WatchList | CallPurpose::FetchList => self.on_list_line(line),
            CallPurpose::WatchRelease => self.on_release_line(generation, line),
            CallPurpose::Vote => Ok(()),
        }
    }

    /// Closes a call that has ended, and notifies the code that waits for its end.
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
            CallPurpose::Vote => self.on_vote_failed(is_written, error),
        }
    }
}
