//! Replaying: a fresh module gets the recorded events, and its actions are compared with the recorded ones.

use crate::frame::{Frame, OwnedEvent};
use crate::read::{ReadFault, Reader};
use std::collections::BTreeMap;
use std::path::Path;
use violetseam::balancer::Balancer;
use violetseam::interface::{Action, Build, Micros, RequestId};

/// What to print of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Interest {
    /// All that concerns this request.
    pub request: Option<RequestId>,
    /// Votes, news and notes on this build.
    pub build: Option<Build>,
}

/// What a replay found.
#[derive(Debug, Default)]
pub struct Report {
    /// Events fed.
    pub events: u64,
    /// The same by kind.
    pub kinds: BTreeMap<&'static str, u64>,
    /// Actions compared.
    pub actions: u64,
    /// Module starts.
    pub starts: u64,
    /// The first event whose actions differ: its number, what was recorded, what came now.
    pub difference: Option<(u64, String, String)>,
    /// Where the recording is damaged or cut off; what comes before it was replayed.
    pub fault: Option<ReadFault>,
    /// The recording ended at its bound.
    pub full: bool,
}

/// Replays a recording; `print` gets the lines asked for.
///
/// # Errors
/// [`ReadFault`] if the recording cannot be opened; damage further on is part of the report.
pub fn replay(path: &Path, interest: Interest, print: &mut dyn FnMut(String)) -> Result<Report, ReadFault> {
    let mut reader = Reader::open(path)?;
    let mut report = Report::default();
    let mut module: Option<Balancer> = None;
    let mut begun = None;
    loop {
        let frame = match reader.next_frame() {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(report),
            Err(fault) => {
                report.fault = Some(fault);
                return Ok(report);
            }
        };
        match frame {
            Frame::Start { settings, seed } => {
                report.starts += 1;
                module = Some(Balancer::new(settings.0, seed));
            }
            Frame::Full => report.full = true,
            Frame::Event { now, event, actions } => {
                let Some(module) = &mut module else {
                    report.difference = Some((0, "an event before a start".into(), String::new()));
                    return Ok(report);
                };
                let began = *begun.get_or_insert(now);
                let mut again = Vec::new();
                module.on_event(now, event.event(), &mut again);
                report.events += 1;
                *report.kinds.entry(event.kind()).or_default() += 1;
                report.actions += actions.len() as u64;
                tell(interest, now - began.min(now), &event, &actions, print);
                if again != actions {
                    let recorded = format!("{event:?} gave {actions:?}");
                    report.difference = Some((report.events, recorded, format!("{again:?}")));
                    return Ok(report);
                }
            }
        }
    }
}

fn tell(
    interest: Interest,
    since: Micros,
    event: &OwnedEvent,
    actions: &[Action],
    print: &mut dyn FnMut(String),
) {
    let at = format!("{:>12.6} s", since as f64 / 1e6);
    if let Some(id) = interest.request {
        if event_request(event) == Some(id) {
            print(format!("{at}  event   {event:?}"));
        }
        for action in actions.iter().filter(|a| action_request(a) == Some(id)) {
            print(format!("{at}  action  {action:?}"));
        }
    }
    if let Some(build) = interest.build {
        let news = match event {
            OwnedEvent::Release(news) => Some(news),
            OwnedEvent::VoteReply(_, news) => news.as_ref(),
            _ => None,
        };
        if news.is_some_and(|n| n.build == build) {
            print(format!("{at}  event   {event:?}"));
        }
        for action in actions {
            let said = match action {
                Action::Vote { build: b, .. } => *b == build,
                Action::Log(text) => text.contains(&format!("build {build} ")),
                _ => false,
            };
            if said {
                print(format!("{at}  action  {action:?}"));
            }
        }
    }
}

fn event_request(event: &OwnedEvent) -> Option<RequestId> {
    match event {
        OwnedEvent::Request(r) => Some(r.id),
        OwnedEvent::AttemptEnded(end) => Some(end.request),
        OwnedEvent::StreamStarted(id, _) | OwnedEvent::ClientDisconnected(id) => Some(*id),
        _ => None,
    }
}

fn action_request(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request } => Some(*request),
        _ => None,
    }
}
