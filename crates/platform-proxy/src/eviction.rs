//! Chooses what gives way when a limit of the process is reached: connection slots, or a share of the memory.
//!
//! A client that gives way with an incomplete command gets a refusal first. A request that has been read whole
//! is never dropped.

use crate::client::{Client, ClientState};
use crate::metrics::CloseReason;
use crate::proxy::Proxy;
use crate::servers::ServerConnection;
use violetseam::interface::{Micros, Outcome};
use violetseam_event_io::memory::weight;

/// The memory that a connection takes besides its buffers, in bytes.
const CONNECTION_BYTES: usize = 1024;
/// How long a connection must have been idle before it may be evicted: a client that has just been answered
/// is likely to send another request.
const MIN_IDLE_BEFORE_EVICTION: Micros = 2_000_000;
/// A connection that has sent no call this long after it was accepted may be evicted.
const MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL: Micros = 100_000;
/// A connection that this side has closed may be evicted after this time, in which its client can read the
/// last response.
const MIN_LINGER_BEFORE_EVICTION: Micros = 50_000;
/// A command that has been incomplete for this long may be refused to make room for another connection.
const MIN_INCOMPLETE_BEFORE_EVICTION: Micros = 100_000;
/// How many connections with unread input are read, instead of evicted, to make room for one other.
const MAX_READS_TO_MAKE_ROOM: usize = 4;

/// The order in which client connections give way to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// This side has closed the connection.
    Ended,
    /// The connection has never sent a call.
    NeverUsed,
    /// The connection is between two requests.
    Idle,
    /// A command has been incomplete for some time.
    IncompleteCommand,
}

/// Returns the class of a connection and since when it is in it, or `None` if it must not be evicted.
fn eviction_class(client: &Client, now: Micros) -> Option<(EvictionClass, Micros)> {
    if !client.is_fully_answered() {
        return None;
    }
    let (class, since, min_age) = match (client.state, client.input.oldest_at()) {
        (ClientState::Lingering(_) | ClientState::Ended, _) => {
            (EvictionClass::Ended, client.idle_since, MIN_LINGER_BEFORE_EVICTION)
        }
        (_, Some(since)) => (EvictionClass::IncompleteCommand, since, MIN_INCOMPLETE_BEFORE_EVICTION),
        (_, None) if client.has_sent_call => {
            (EvictionClass::Idle, client.idle_since, MIN_IDLE_BEFORE_EVICTION)
        }
        (_, None) => (EvictionClass::NeverUsed, client.idle_since, MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL),
    };
    (now >= since + min_age).then_some((class, since))
}

fn input_weight(client: &Client, now: Micros) -> u128 {
    weight(client.input.held_bytes(), client.input.oldest_at().unwrap_or(now), now)
}

fn responses_weight(client: &Client, now: Micros) -> u128 {
    weight(client.response_bytes(), client.unread_since.unwrap_or(now), now)
}

fn server_data_weight(connection: &ServerConnection, now: Micros) -> u128 {
    weight(connection.held_bytes(), connection.busy_since(), now)
}

impl Proxy {
    /// Makes room for a client connection and returns whether there is room.
    pub(super) fn make_room_for_client(&mut self) -> bool {
        for _ in 0..MAX_READS_TO_MAKE_ROOM {
            if self.clients.len() < self.budgets.client_connections {
                return true;
            }
            let now = self.now();
            let Some(slot) = self.next_client_to_evict(now) else { return false };
            // The unread bytes may be the rest of a request.
            let has_unread_input = self.clients.get(slot).is_some_and(Client::has_unread_input);
            if has_unread_input {
                self.read_client(slot);
                self.run_engine_actions();
            } else {
                self.evict_client(slot);
            }
        }
        self.clients.len() < self.budgets.client_connections
    }

    fn next_client_to_evict(&self, now: Micros) -> Option<usize> {
        let ranked = self.clients.iter().filter_map(|(slot, client)| {
            let (class, since) = eviction_class(client, now)?;
            let bytes = CONNECTION_BYTES + client.input.held_bytes();
            Some((class, std::cmp::Reverse(weight(bytes, since, now)), slot))
        });
        ranked.min().map(|(_, _, slot)| slot)
    }

    /// Ends a connection to make room for another one. An incomplete command is refused first.
    fn evict_client(&mut self, slot: usize) {
        if self.clients.get(slot).is_some_and(|client| !client.input.is_empty()) {
            self.refuse_input(slot);
        }
        if self.clients.get(slot).is_some_and(Client::is_fully_answered) {
            self.end_client(slot, CloseReason::Evicted);
        }
    }

    /// Refuses input until its share of the memory is kept.
    pub(super) fn relieve_input(&mut self) {
        while self.memory.input.is_exceeded() {
            let now = self.now();
            let holders = self.clients.iter().filter(|(_, client)| !client.input.is_empty());
            let heaviest = holders.max_by_key(|(_, client)| input_weight(client, now));
            let Some((slot, _)) = heaviest else { return };
            self.refuse_input(slot);
        }
    }

    /// Drops responses that clients do not take until their share of the memory is kept. Responses that have
    /// not begun become failures first; then the connection ends, as it would some time later in any case.
    pub(super) fn relieve_responses(&mut self) {
        while self.memory.responses.is_exceeded() {
            let now = self.now();
            let holders = self.clients.iter().filter(|(_, client)| client.response_bytes() > 0);
            let heaviest = holders.max_by_key(|(_, client)| responses_weight(client, now));
            let Some((slot, _)) = heaviest else { return };
            let Some(client) = self.clients.get_mut(slot) else { return };
            let shed = client.fail_queued_responses();
            self.metrics.shed_responses += shed;
            if shed > 0 {
                tracing::debug!(client = slot, shed, "responses dropped: their share of the memory is full");
                self.restate_client(slot);
            } else if client.socket.has_unwritten_bytes() {
                self.end_client(slot, CloseReason::ResponsesUnread);
            } else {
                return;
            }
        }
    }

    /// Ends attempts until the data of servers keep their share of the memory.
    pub(super) fn relieve_server_data(&mut self) {
        while self.memory.server_data.is_exceeded() {
            let now = self.now();
            let holders = self.server_connections.iter().filter(|(_, connection)| connection.is_busy());
            let heaviest = holders.max_by_key(|(_, connection)| server_data_weight(connection, now));
            let Some((slot, _)) = heaviest else { return };
            self.metrics.shed_attempts += 1;
            self.end_server_connection(slot, Outcome::NotSent);
        }
    }

    /// Makes room for a connection to a server and returns whether there is room. The connection that has
    /// been idle longest is evicted, whichever server it leads to.
    pub(super) fn make_room_for_server_connection(&mut self) -> bool {
        if self.server_connections.len() < self.budgets.server_connections {
            return true;
        }
        let longest_idle = self
            .idle_server_connections
            .oldest_of_each()
            .min_by_key(|slot| self.server_connections.get(*slot).map_or(0, ServerConnection::idle_since));
        let Some(slot) = longest_idle else { return false };
        self.close_server_connection(slot);
        true
    }
}
