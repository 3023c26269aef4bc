//! Replays recordings: feeds the recorded events to a new decision module and compares its actions with the
//! recorded actions.

use crate::frame::{Frame, OwnedEvent};
use crate::read::{ReadError, Reader};
use std::collections::BTreeMap;
use std::path::Path;
use violetseam::balancer::Balancer;
use violetseam::interface::{Action, Build, Micros, RequestId};

/// Which events and actions of a replay are printed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayFilter {
    /// Print the events and actions of this request.
    pub request: Option<RequestId>,
    /// Print the release statuses, votes and log lines about this build.
    pub build: Option<Build>,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct ReplayReport {
    /// The number of replayed events.
    pub events: u64,
    /// The number of replayed events of each kind.
    pub kinds: BTreeMap<&'static str, u64>,
    /// The number of recorded actions.
    pub actions: u64,
    /// How often a decision module was started.
    pub starts: u64,
    /// The first event whose actions differ from the recorded ones. The replay stops there.
    pub difference: Option<Difference>,
    /// Where the recording is damaged or truncated. Everything before that was replayed.
    pub read_error: Option<ReadError>,
    /// Whether the recording ended at its size limit.
    pub reached_size_limit: bool,
}

/// An event for which the replay did not return the recorded actions.
#[derive(Debug)]
pub struct Difference {
    /// The event's number, counted from 1; 0 for an event that was recorded before any start of a module.
    pub event_number: u64,
    /// The event and the recorded actions.
    pub recorded: String,
    /// The actions that the replay returned.
    pub replayed: String,
}

/// Replays a recording. `print` is called with each line that the filter selects.
///
/// # Errors
/// [`ReadError`] if the recording cannot be opened. Damage after its first bytes is part of the report
/// instead.
pub fn replay(
    path: &Path,
    filter: ReplayFilter,
    print: &mut dyn FnMut(String),
) -> Result<ReplayReport, ReadError> {
    let mut reader = Reader::open(path)?;
    let mut replay =
        Replay { filter, print, module: None, first_event_at: None, report: ReplayReport::default() };
    while replay.report.difference.is_none() {
        match reader.next_frame() {
            Ok(Some(frame)) => replay.on_frame(frame),
            Ok(None) => break,
            Err(error) => {
                replay.report.read_error = Some(error);
                break;
            }
        }
    }
    Ok(replay.report)
}

/// The state of a running replay.
struct Replay<'a> {
    filter: ReplayFilter,
    print: &'a mut dyn FnMut(String),
    module: Option<Balancer>,
    /// The module's clock at the first event, in microseconds.
    first_event_at: Option<Micros>,
    report: ReplayReport,
}

impl Replay<'_> {
    fn on_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Start { settings, seed } => {
                self.report.starts += 1;
                self.module = Some(Balancer::new(settings.0, seed));
            }
            Frame::Event { now, event, actions } => self.on_event(now, &event, &actions),
            Frame::Full => self.report.reached_size_limit = true,
        }
    }

    fn on_event(&mut self, now: Micros, event: &OwnedEvent, recorded: &[Action]) {
        let Some(module) = &mut self.module else {
            self.report.difference = Some(Difference {
                event_number: 0,
                recorded: "an event before any start of a module".to_owned(),
                replayed: String::new(),
            });
            return;
        };
        let mut replayed = Vec::new();
        module.on_event(now, event.event(), &mut replayed);
        self.report.events += 1;
        *self.report.kinds.entry(event.kind()).or_default() += 1;
        self.report.actions += recorded.len() as u64;
        self.print_selected(now, event, recorded);
        if replayed != recorded {
            self.report.difference = Some(Difference {
                event_number: self.report.events,
                recorded: format!("{event:?} gave {recorded:?}"),
                replayed: format!("{replayed:?}"),
            });
        }
    }

    /// Prints the events and actions that the filter selects, with the time since the first event.
    fn print_selected(&mut self, now: Micros, event: &OwnedEvent, actions: &[Action]) {
        let first_event_at = *self.first_event_at.get_or_insert(now);
        let time = format!("{:>12.6} s", now.saturating_sub(first_event_at) as f64 / 1e6);
        if let Some(request) = self.filter.request {
            if event_request(event) == Some(request) {
                (self.print)(format!("{time}  event   {event:?}"));
            }
            for action in actions.iter().filter(|action| action_request(action) == Some(request)) {
                (self.print)(format!("{time}  action  {action:?}"));
            }
        }
        if let Some(build) = self.filter.build {
            if event_build(event) == Some(build) {
                (self.print)(format!("{time}  event   {event:?}"));
            }
            for action in actions.iter().filter(|action| is_about_build(action, build)) {
                (self.print)(format!("{time}  action  {action:?}"));
            }
        }
    }
}

/// The request that an event is about, for the kinds of events that the filter prints.
fn event_request(event: &OwnedEvent) -> Option<RequestId> {
    match event {
        OwnedEvent::Request(request) => Some(request.id),
        OwnedEvent::AttemptEnded(end) => Some(end.request),
        OwnedEvent::StreamStarted { request, .. } | OwnedEvent::ClientDisconnected { request } => {
            Some(*request)
        }
        _ => None,
    }
}

/// The request that an action is about, for the kinds of actions that the filter prints.
fn action_request(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request } => Some(*request),
        _ => None,
    }
}

/// The build whose release status an event carries.
fn event_build(event: &OwnedEvent) -> Option<Build> {
    match event {
        OwnedEvent::Release(release) => Some(release.build),
        OwnedEvent::VoteReply { release, .. } => release.as_ref().map(|release| release.build),
        _ => None,
    }
}

/// Whether an action is a vote on a build or a log line about it.
fn is_about_build(action: &Action, build: Build) -> bool {
    match action {
        Action::Vote { build: voted, .. } => *voted == build,
        Action::Log(text) => text.contains(&format!("build {build} ")),
        _ => false,
    }
}
