//! Events for the decision module, and what becomes of the actions that it returns.

use super::deadlines::TimerKind;
use super::{Engine, EngineAction, LocalResponse};
use std::time::{Duration, Instant};
use violetseam::interface::{
    Action, Event, ListKind, Micros, OperatorCommand, Outcome, ReleaseStatus, ServerEntry,
};

impl Engine {
    /// The server list has changed, or a call for it has failed.
    pub fn on_server_list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        self.feed(now, Event::ServerList { kind, entries });
    }

    /// The release service pushed the state of the newest build.
    pub fn on_release_status(&mut self, now: Micros, release: ReleaseStatus) {
        self.release = Some(release);
        self.feed(now, Event::Release(release));
    }

    /// A vote's reply.
    pub fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, release: Option<ReleaseStatus>) {
        self.release = release.or(self.release);
        self.feed(now, Event::VoteReply { outcome, release });
    }

    /// An operator's command about the present stage.
    pub fn on_operator_command(&mut self, now: Micros, command: OperatorCommand) {
        self.feed(now, Event::Operator(command));
    }

    /// A peer's gossip message.
    pub fn on_peer_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        self.feed(now, Event::PeerMessage { from, payload });
    }

    /// Passes an event on that may come of the decision module's own actions: then it has to wait until the module
    /// has been given what came before.
    pub(super) fn feed_or_defer(&mut self, now: Micros, event: Event<'static>) {
        if self.dispatching {
            self.deferred_events.push_back(event);
        } else {
            self.feed(now, event);
        }
    }

    /// Passes an event to the decision module, applies its actions, then passes on what came of these.
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
        let began = self.measures_module_time.then(Instant::now);
        self.module.on_event(now, *event, &mut actions);
        self.module_time += began.map_or(Duration::ZERO, |began| began.elapsed());
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
            Action::SetTimer { after, token } => self.schedule(now + after, TimerKind::Module(token)),
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
