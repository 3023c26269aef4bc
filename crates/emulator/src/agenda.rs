//! What happens next: events by their moment, and in the order in which they were planned within one.

use std::collections::BTreeMap;
use violetseam::interface::{Outcome, ReleaseStatus};
use violetseam_release::Vote;
use violetseam_simulated_site::model::server::Reply;

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Happening {
    /// The next request is drawn.
    Arrival,
    /// A client tries: the request's number, and which try.
    Try(u64, u32),
    /// An attempt reaches its server.
    Reaches(u64),
    /// A server has replies to give.
    Server(u64),
    /// A reply reaches its proxy.
    Returns(u64, Reply),
    /// A proxy's connection is refused: the server is not there.
    Unreachable(u64),
    /// A proxy gave an attempt up, and its server notices.
    GivenUp(u64),
    /// A proxy's own timers.
    Proxy(usize),
    /// A proxy hears news.
    News(usize, ReleaseStatus),
    /// A proxy hears what changed on the roster since a version; none: the whole list.
    List(usize, bool),
    /// A proxy's vote reaches the controller.
    Vote(Vote),
    /// Its reply.
    VoteReply(usize, Outcome, Option<ReleaseStatus>),
    /// A peer's message arrives: from, to.
    Peer(usize, usize, Vec<u8>),
    /// The roster lists something.
    Roster,
    /// The controller and the platform look at the time.
    Controller,
    /// A build is offered.
    Offer(usize),
    /// Troubles begin, go on and end.
    Troubles,
}

/// Events to come.
#[derive(Debug, Default)]
pub struct Agenda {
    events: BTreeMap<(u64, u64), Happening>,
    next: u64,
}

impl Agenda {
    /// Something will happen.
    pub fn at(&mut self, at: u64, what: Happening) {
        self.next += 1;
        self.events.insert((at, self.next), what);
    }

    /// The next event and its moment.
    pub fn pop(&mut self) -> Option<(u64, Happening)> {
        self.events.pop_first().map(|((at, _), what)| (at, what))
    }
}
