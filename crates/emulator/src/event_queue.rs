//! The events to come, by their moment, and in the order in which they were scheduled within one.

use crate::client_try::ClientTry;
use std::collections::BTreeMap;
use violetseam::interface::{Outcome, ReleaseStatus};
use violetseam_release::Vote;
use violetseam_simulated_site::model::server::Reply;

/// How much of the endpoint list a proxy gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list.
    Full,
    /// What has changed since the version that the proxy has.
    Changes,
}

/// Something that happens. Proxies are named by their position, attempts by their number.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// The next request is drawn.
    RequestArrival,
    /// A client sends a try to a proxy.
    ClientTry(ClientTry),
    /// An attempt reaches its server.
    AttemptArrival {
        /// The attempt.
        attempt: u64,
    },
    /// A server has completed requests.
    ServerCompletion {
        /// The server.
        server: u64,
    },
    /// A server's reply reaches its proxy.
    ReplyArrival {
        /// The attempt.
        attempt: u64,
        /// The reply.
        reply: Reply,
    },
    /// A proxy notices that its connection was refused or lost.
    ConnectionLost {
        /// The attempt.
        attempt: u64,
    },
    /// A server notices that a proxy cancelled an attempt.
    CancelArrival {
        /// The attempt.
        attempt: u64,
    },
    /// A proxy's deadline is due.
    ProxyDeadline {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy gets the release status.
    ReleaseStatus {
        /// The proxy.
        proxy: usize,
        /// The status.
        status: ReleaseStatus,
    },
    /// A proxy gets the endpoint list.
    EndpointList {
        /// The proxy.
        proxy: usize,
        /// How much of it.
        scope: ListScope,
    },
    /// A proxy's vote reaches the controller.
    Vote(Vote),
    /// The controller's reply to a vote reaches its proxy.
    VoteReply {
        /// The proxy.
        proxy: usize,
        /// How the vote ended.
        outcome: Outcome,
        /// The release status that the reply carries.
        status: Option<ReleaseStatus>,
    },
    /// A gossip message arrives.
    Gossip {
        /// The proxy that sent it.
        from: usize,
        /// The proxy that gets it.
        to: usize,
        /// The message.
        payload: Vec<u8>,
    },
    /// Changes of the endpoint list become visible.
    EndpointListChange,
    /// The controller and the platform look at the time.
    ControllerTick,
    /// A release is offered.
    ReleaseOffer {
        /// The release's index in the scenario.
        release: usize,
    },
    /// Faults begin, go on and end.
    FaultTick,
}

/// The events to come.
#[derive(Debug, Default)]
pub struct EventQueue {
    /// By moment and sequence number.
    events: BTreeMap<(u64, u64), SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event for a moment, after those that are scheduled for it already.
    pub fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Takes the next event and its moment.
    pub fn pop(&mut self) -> Option<(u64, SimulationEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
