//! The engine's actions, and what attempts report back to it.

use super::Proxy;
#[cfg(feature = "sabotage")]
use super::Sabotage;
use crate::engine::{EngineAction, LocalResponse};
#[cfg(feature = "sabotage")]
use violetseam::interface::Micros;
use violetseam::interface::{Outcome, RequestId};
use violetseam_site_protocol::peer_datagram::PayloadKind;

/// How much later than its deadline a response is that is delayed on purpose.
#[cfg(feature = "sabotage")]
const RESPONSE_DELAY: Micros = 2_000_000;

impl Proxy {
    /// Performs the engine's actions, and what comes of them, until nothing is left. Called from within, it
    /// leaves that to the call it came from.
    pub(super) fn run_engine_actions(&mut self) {
        self.had_socket_events = true;
        if std::mem::replace(&mut self.is_running_actions, true) {
            return;
        }
        loop {
            if let Some(action) = self.engine.next_action() {
                self.perform(action);
            } else if let Some(client) = self.clients_to_resume.pop() {
                self.resume_client(client);
            } else {
                break;
            }
        }
        self.is_running_actions = false;
    }

    fn perform(&mut self, action: EngineAction) {
        // These are the successor's now: two processes must not vote or speak as one proxy.
        if self.has_handed_over() && speaks_as_proxy(&action) {
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
                self.last_finding = Some(text);
            }
        }
    }

    /// Gives a final response of the proxy's own, unless sabotage delays it.
    fn respond(&mut self, request: RequestId, response: LocalResponse) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::LateAnswer) {
            return self.delay_response(self.now() + RESPONSE_DELAY, request, response);
        }
        self.send_local_response(request, response);
    }

    /// Reports an attempt's end to the engine; the caller's `run_engine_actions` performs the actions that
    /// come of it.
    pub(super) fn end_attempt(&mut self, request: u64, attempt: usize, outcome: Outcome) -> bool {
        let now = self.now();
        self.engine.on_attempt_ended(now, request, attempt, outcome)
    }
}

/// Whether an action sends something to others in the proxy's name.
fn speaks_as_proxy(action: &EngineAction) -> bool {
    matches!(
        action,
        EngineAction::WatchServerList
            | EngineAction::FetchServerList
            | EngineAction::Vote { .. }
            | EngineAction::Gossip { .. }
            | EngineAction::BudgetMessage { .. }
    )
}
