//! Passes events to the decision module and applies the actions that it returns.

use super::deadlines::TimerKind;
use super::{Engine, EngineAction, LocalResponse};
use std::time::{Duration, Instant};
use violetseam::interface::{
    Action, Event, ListKind, Micros, OperatorCommand, Outcome, ReleaseStatus, ServerEntry,
};

impl Engine {
    /// Handles a new or changed server list, or a failed call for it.
    pub fn on_server_list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        self.feed(now, Event::ServerList { kind, entries });
    }

    /// Handles the status of the newest build's release, pushed by the release service.
    pub fn on_release_status(&mut self, now: Micros, release: ReleaseStatus) {
        self.release = Some(release);
        self.feed(now, Event::Release(release));
    }

    /// Handles the release service's reply to a vote, or the vote's failure.
    pub fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, release: Option<ReleaseStatus>) {
        self.release = release.or(self.release);
        self.feed(now, Event::VoteReply { outcome, release });
    }

    /// Handles an operator's command about the current stage.
    pub fn on_operator_command(&mut self, now: Micros, command: OperatorCommand) {
        self.feed(now, Event::Operator(command));
    }

    /// Handles a peer's gossip message.
    pub fn on_peer_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        self.feed(now, Event::PeerMessage { from, payload });
    }

    /// Passes an event to the decision module, or defers it if it was caused by an action that is being
    /// applied now: the module gets events in the order in which they occurred.
    pub(super) fn feed_or_defer(&mut self, now: Micros, event: Event<'static>) {
        if self.dispatching {
            self.deferred_events.push_back(event);
        } else {
            self.feed(now, event);
        }
    }

    /// Passes an event to the decision module and applies its actions, then does the same with the deferred
    /// events.
    pub(super) fn feed(&mut self, now: Micros, event: Event<'_>) {
        self.dispatching = true;
        self.dispatch(now, &event);
        while let Some(event) = self.deferred_events.pop_front() {
            self.dispatch(now, &event);
        }
        self.dispatching = false;
    }

    fn dispatch(&mut self, now: Micros, event: &Event<'_>) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        let started_at = self.measures_module_time.then(Instant::now);
        self.module.on_event(now, *event, &mut actions);
        self.module_time += started_at.map_or(Duration::ZERO, |started_at| started_at.elapsed());
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(now, event, &actions);
        }
        for action in actions.drain(..) {
            self.apply(now, action);
        }
        self.action_buffer = actions;
    }

    fn apply(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, cut_at } => self.start_attempt(now, request, server, cut_at),
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt),
            Action::CancelBeforeSend { request, attempt } => self.cancel_before_send(now, request, attempt),
            Action::Reject { request, retry_after } => {
                self.respond(request, LocalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => {
                let timed_out = self.has_timed_out(request);
                self.respond(request, LocalResponse::Failed { timed_out });
            }
            Action::SetTimer { after, token } => self.schedule(now + after, TimerKind::ModuleTimer(token)),
            Action::WatchServerList => self.pending_actions.push_back(EngineAction::WatchServerList),
            Action::FetchServerList => self.pending_actions.push_back(EngineAction::FetchServerList),
            Action::Vote { build, stage, verdict } => {
                self.pending_actions.push_back(EngineAction::Vote { build, stage, verdict });
            }
            Action::GossipToAll { payload } => {
                self.pending_actions.push_back(EngineAction::Gossip { to: None, payload });
            }
            Action::GossipToPeer { to, payload } => {
                self.pending_actions.push_back(EngineAction::Gossip { to: Some(to), payload });
            }
            Action::Log(text) => self.pending_actions.push_back(EngineAction::Log(text)),
        }
    }
}
