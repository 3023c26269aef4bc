//! The queue of scheduled events. Events at the same time occur in the order in which they were scheduled.

use crate::client_try::ClientTry;
use std::collections::BTreeMap;
use violetseam::interface::{Outcome, ReleaseStatus};
use violetseam_release::Vote;
use violetseam_simulated_site::model::server::Reply;

/// The part of the endpoint list that is sent to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list.
    Full,
    /// The changes since the version that the proxy has.
    Changes,
}

/// A simulated event. Proxies are identified by their position and attempts by their number.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// The next request is drawn from the traffic model.
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
    /// A server's reply reaches the proxy.
    ReplyArrival {
        /// The attempt.
        attempt: u64,
        /// The reply.
        reply: Reply,
    },
    /// A proxy notices that the connection of an attempt was refused or lost.
    ConnectionLost {
        /// The attempt.
        attempt: u64,
    },
    /// A proxy's cancellation of an attempt reaches the server.
    CancelArrival {
        /// The attempt.
        attempt: u64,
    },
    /// A deadline of a proxy's engine is due.
    ProxyDeadline {
        /// The proxy.
        proxy: usize,
    },
    /// The release status reaches a proxy.
    ReleaseStatus {
        /// The proxy.
        proxy: usize,
        /// The status.
        status: ReleaseStatus,
    },
    /// The endpoint list reaches a proxy.
    EndpointList {
        /// The proxy.
        proxy: usize,
        /// The part of the list.
        scope: ListScope,
    },
    /// A proxy's vote reaches the controller.
    Vote(Vote),
    /// The controller's reply to a vote reaches its proxy.
    VoteReply {
        /// The proxy.
        proxy: usize,
        /// How the call with the vote ended.
        outcome: Outcome,
        /// The release status in the reply, if there is one.
        status: Option<ReleaseStatus>,
    },
    /// A gossip message reaches a proxy.
    Gossip {
        /// The proxy that sent it.
        from: usize,
        /// The proxy that receives it.
        to: usize,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Changes of the endpoint list become visible.
    EndpointListChange,
    /// The platform advances and the controller gets a tick.
    ControllerTick,
    /// A release is offered to the controller.
    ReleaseOffer {
        /// The release's index in the scenario.
        release: usize,
    },
    /// Faults are applied to the servers.
    FaultTick,
}

/// The scheduled events.
#[derive(Debug, Default)]
pub struct EventQueue {
    /// By time and sequence number.
    events: BTreeMap<(u64, u64), SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event. It occurs after all events that are already scheduled for the same time.
    pub fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, SimulationEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
