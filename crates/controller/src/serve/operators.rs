//! The calls from the control socket.

use super::Controller;
use super::batches::QueuedEvent;
use super::responses::Origin;
use super::watches::Watch;
use crate::control::{ControlCall, Response, Status, WatchCounts};

impl Controller {
    /// Answers a status request, or queues an operator's event.
    pub(super) fn on_control_call(&mut self, call: ControlCall) {
        match call {
            ControlCall::Status { response } => {
                let _ = response.send(Response::Status(Box::new(self.status())));
            }
            ControlCall::Event { event, response } => {
                if let Some(term) = &mut self.term {
                    term.queue.push(QueuedEvent { event, origin: Origin::Operator(response) });
                } else {
                    let not_leader = "this controller stands by: say it to the one that speaks";
                    let _ = response.send(Response::Failed(not_leader.into()));
                }
            }
        }
    }

    fn status(&self) -> Status {
        let name = self.settings.name.clone();
        let watches = self.count_watches();
        let Some(term) = &self.term else {
            return Status {
                name,
                term: 0,
                announcement: None,
                description: "stands by".into(),
                votes: 0,
                watches,
                write_error: None,
            };
        };
        Status {
            name,
            term: term.number,
            announcement: Some(term.release.announcement()),
            description: term.release.describe(),
            votes: term.release.votes(),
            watches,
            write_error: term.write_error.clone(),
        }
    }

    fn count_watches(&self) -> WatchCounts {
        let mut counts = WatchCounts::default();
        for (_, connection) in &self.connections {
            match connection.watch {
                Watch::None => {}
                Watch::Release(_) => counts.proxies += 1,
                Watch::DesiredBuilds(_) => counts.platforms += 1,
            }
        }
        counts
    }
}
