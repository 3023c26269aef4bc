//! Bounds what one client may take of one turn of the event loop. What is left waits for the next turn, after
//! every other connection has had its own.

/// How many requests of one connection are handled in one turn.
const MAX_REQUESTS_PER_TURN: u32 = 8;
/// How often one connection is read in one turn.
const MAX_READS_PER_TURN: u32 = 8;

/// What a client has taken of the turn that it was last active in. Turns are numbered from 1 by the driver.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnUsage {
    /// The number of that turn.
    turn: u64,
    requests: u32,
    reads: u32,
}

impl TurnUsage {
    /// Returns what the client has taken of this turn, which is nothing if it was last active in another one.
    fn in_turn(&mut self, turn: u64) -> &mut Self {
        if self.turn != turn {
            *self = TurnUsage { turn, ..TurnUsage::default() };
        }
        self
    }

    /// Whether another request may be handled in this turn. Counts it if so.
    pub fn take_request(&mut self, turn: u64) -> bool {
        let usage = self.in_turn(turn);
        let is_allowed = usage.requests < MAX_REQUESTS_PER_TURN;
        usage.requests += u32::from(is_allowed);
        is_allowed
    }

    /// Whether no further request may be handled in this turn.
    pub fn has_no_requests_left(&mut self, turn: u64) -> bool {
        self.in_turn(turn).requests >= MAX_REQUESTS_PER_TURN
    }

    /// Whether the connection may be read again in this turn. Counts the read if so.
    pub fn take_read(&mut self, turn: u64) -> bool {
        let usage = self.in_turn(turn);
        let is_allowed = usage.reads < MAX_READS_PER_TURN;
        usage.reads += u32::from(is_allowed);
        is_allowed
    }
}
