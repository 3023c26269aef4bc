//! Performs the engine's actions, and reports the outcomes of attempts to the engine.

use super::Proxy;
#[cfg(feature = "sabotage")]
use super::Sabotage;
use crate::engine::{EngineAction, LocalResponse};
#[cfg(feature = "sabotage")]
use violetseam::interface::Micros;
use violetseam::interface::{Outcome, RequestId};
use violetseam_site_protocol::peer_datagram::PayloadKind;

/// How long the sabotage [`Sabotage::LateResponse`] delays a response, so that it misses its deadline.
#[cfg(feature = "sabotage")]
const RESPONSE_DELAY: Micros = 2_000_000;

impl Proxy {
    /// Performs the engine's actions, and those that result from them, until none is left. A nested call
    /// returns at once, because the outermost call performs these actions too.
    pub(super) fn run_engine_actions(&mut self) {
        self.had_socket_events = true;
        if std::mem::replace(&mut self.is_running_actions, true) {
            return;
        }
        loop {
            if let Some(action) = self.engine.next_action() {
                self.perform_action(action);
            } else if let Some(client) = self.clients_to_resume.pop() {
                self.resume_client(client);
            } else {
                break;
            }
        }
        self.is_running_actions = false;
    }

    fn perform_action(&mut self, action: EngineAction) {
        // After a hand-over the new process votes and sends messages in this proxy's place. The two processes
        // must not both vote or send messages as the same proxy.
        if self.has_handed_over() && communicates_as_proxy(&action) {
            return;
        }
        match action {
            EngineAction::StartAttempt { request, attempt, server } => {
                self.start_attempt(request, attempt, server);
            }
            EngineAction::CloseAttempt { request, attempt } => self.close_attempt(request, attempt),
            EngineAction::Respond { request, response } => self.respond(request, response),
            EngineAction::Forget { request } => self.forget_request(request),
            EngineAction::WatchServerList => self.watch_server_list(),
            EngineAction::FetchServerList => self.fetch_server_list(),
            EngineAction::Vote { build, stage, verdict } => {
                self.record_vote(build, stage, verdict);
                self.send_vote(build, stage, verdict);
            }
            EngineAction::Gossip { to, payload } => self.send_to_peers(to, PayloadKind::Gossip, &payload),
            EngineAction::BudgetMessage { to, payload } => {
                self.send_to_peers(Some(to), PayloadKind::QuotaLeases, &payload);
            }
            EngineAction::Log(text) => {
                tracing::info!(target: "verdict", "{text}");
                self.last_analysis_line = Some(text);
            }
        }
    }

    /// Sends a final response that the proxy itself generates; the sabotage `LateResponse` delays it.
    fn respond(&mut self, request: RequestId, response: LocalResponse) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::LateResponse) {
            return self.delay_response(self.now() + RESPONSE_DELAY, request, response);
        }
        self.send_local_response(request, response);
    }

    /// Reports the end of an attempt to the engine. The caller must call `run_engine_actions` afterwards,
    /// which performs the resulting actions. Returns true if the attempt's response is the one to be sent to
    /// the client.
    pub(super) fn end_attempt(&mut self, request: u64, attempt: usize, outcome: Outcome) -> bool {
        let now = self.now();
        self.engine.on_attempt_ended(now, request, attempt, outcome)
    }
}

/// Whether an action sends something to the site or to peers in the proxy's name.
fn communicates_as_proxy(action: &EngineAction) -> bool {
    matches!(
        action,
        EngineAction::WatchServerList
            | EngineAction::FetchServerList
            | EngineAction::Vote { .. }
            | EngineAction::Gossip { .. }
            | EngineAction::BudgetMessage { .. }
    )
}
