//! Requests and commands to all daemons of a fleet.

use crate::call::{CallError, CallResult, call};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use violetseam_operator_commands::{
    Action, Command, DaemonState, Fence, Phase, ReleaseStage, Reply, Request, Response,
};
use violetseam_settings::Member;

/// The daemons of a fleet, and how they are called.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The daemons.
    pub members: Vec<Member>,
    /// How long a daemon may take for each request.
    pub timeout: Duration,
    /// The number of daemons that are called at once.
    pub parallel: usize,
    /// The operator's certificate and key, for daemons that are reached over TCP.
    pub identity: Option<Arc<rustls::ClientConfig>>,
}

/// What became of a command at one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The daemon applied the command.
    Applied {
        /// It had applied the command before.
        already: bool,
    },
    /// The daemon rejected the command, or released it after it was prepared.
    Rejected(String),
    /// No response arrived, or none that can be parsed. The daemon may have applied the command.
    Unanswered(String),
}

/// What became of a command at one daemon, with the daemon's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonOutcome {
    /// The daemon's name in the fleet file.
    pub daemon: String,
    /// What became of the command.
    pub outcome: Outcome,
}

/// What became of a command in the fleet.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// The command's id; the same id sent again is the same command.
    pub id: String,
    /// The release stage that the command was fenced with.
    pub release: Option<ReleaseStage>,
    /// The outcomes, in the fleet's order.
    pub outcomes: Vec<DaemonOutcome>,
}

/// The state of one daemon, with the daemon's name.
#[derive(Debug)]
pub struct DaemonReading {
    /// The daemon's name in the fleet file.
    pub daemon: String,
    /// Its state, or why there is none.
    pub state: Result<DaemonState, CallError>,
}

/// Whether the daemons apply a command independently of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Each daemon applies or rejects it for itself.
    Independent,
    /// Two-phase commit: all prepare it, and it is committed only if all are prepared.
    AllOrNone,
}

/// How a command is sent.
#[derive(Clone, Debug)]
pub struct CommandOptions {
    /// Who issues the command.
    pub issuer: String,
    /// How long after it is sent a daemon may still apply it.
    pub validity: Duration,
    /// Whether the daemons apply it independently of each other.
    pub delivery: Delivery,
}

/// Microseconds since 1970.
pub fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// The parts of a command that are the same for all daemons.
struct CommandTemplate<'a> {
    id: String,
    issued_us: u64,
    release: Option<ReleaseStage>,
    action: &'a Action,
    options: &'a CommandOptions,
}

impl CommandTemplate<'_> {
    /// The command for a daemon, fenced with its boot number.
    fn request(&self, boot: u64, phase: Phase) -> Request {
        let fence = Fence {
            boot: Some(boot),
            build: self.release.map(|release| release.build),
            stage: self.release.map(|release| release.stage),
        };
        Request::Command(Command {
            id: self.id.clone(),
            issuer: self.options.issuer.clone(),
            issued_us: self.issued_us,
            expires_us: wall_clock() + self.options.validity.as_micros() as u64,
            fence,
            phase,
            action: self.action.clone(),
        })
    }
}

/// The request for the member with this index; none: the member is not called.
type RequestFor<'a> = dyn Fn(usize) -> Option<Request> + Sync + 'a;

/// The command in a phase for the member with this index; none: the member is not sent the command.
type CommandFor<'a> = dyn Fn(usize, Phase) -> Option<Request> + Sync + 'a;

/// A result with the index of the member that it is from.
struct MemberResult {
    member: usize,
    result: CallResult,
}

impl Fleet {
    /// Sends each member its request. `on_progress` is called with the number of members that are done.
    /// Returns the results in the fleet's order.
    pub fn query(&self, request_for: &RequestFor<'_>, on_progress: &mut dyn FnMut(usize)) -> Vec<CallResult> {
        let queue = Mutex::new((0..self.members.len()).collect());
        let (sender, receiver) = channel();
        let mut results: Vec<CallResult> = self.members.iter().map(|_| Err(CallError::NotSent)).collect();
        std::thread::scope(|scope| {
            for _ in 0..self.parallel.clamp(1, self.members.len().max(1)) {
                let queue = &queue;
                let sender = sender.clone();
                scope.spawn(move || self.call_queued(queue, request_for, &sender));
            }
            // The loop below ends when the last thread drops its sender.
            drop(sender);
            for (done_before, MemberResult { member, result }) in receiver.iter().enumerate() {
                results[member] = result;
                on_progress(done_before + 1);
            }
        });
        results
    }

    /// Calls the members in the queue one after the other until it is empty.
    fn call_queued(
        &self,
        queue: &Mutex<VecDeque<usize>>,
        request_for: &RequestFor<'_>,
        sender: &Sender<MemberResult>,
    ) {
        loop {
            let next = queue.lock().map(|mut members| members.pop_front());
            let Ok(Some(member)) = next else { return };
            let Some(request) = request_for(member) else { continue };
            let control = &self.members[member].control;
            let result = call(control, &request, self.timeout, self.identity.as_ref());
            if sender.send(MemberResult { member, result }).is_err() {
                return;
            }
        }
    }

    /// Reads the state of each daemon.
    pub fn state(&self, on_progress: &mut dyn FnMut(usize)) -> Vec<DaemonReading> {
        let results = self.query(&|_| Some(Request::State), on_progress);
        let readings = self.members.iter().zip(results).map(|(member, result)| {
            let state = match result {
                Ok(Response::State(state)) => Ok(*state),
                Ok(other) => Err(CallError::Unexpected(Box::new(other))),
                Err(error) => Err(error),
            };
            DaemonReading { daemon: member.name.clone(), state }
        });
        readings.collect()
    }

    /// Sends a command to all daemons. It is fenced with each daemon's boot number as just read and, where it
    /// is about a stage, with the release stage that most daemons report, so that a daemon in another one
    /// rejects it.
    pub fn send_command(
        &self,
        action: &Action,
        options: &CommandOptions,
        on_progress: &mut dyn FnMut(usize),
    ) -> CommandReport {
        let readings = self.state(on_progress);
        let release = if action.concerns_release_stage() { most_common_release(&readings) } else { None };
        let template = CommandTemplate {
            // The standard library draws the keys of each hasher from the system.
            id: format!("{:016x}", RandomState::new().build_hasher().finish()),
            issued_us: wall_clock(),
            release,
            action,
            options,
        };
        let command = |member: usize, phase: Phase| {
            let state = readings[member].state.as_ref().ok()?;
            Some(template.request(state.boot, phase))
        };
        let outcomes = match options.delivery {
            Delivery::Independent => self.send_phase(&command, Phase::Immediate, on_progress),
            Delivery::AllOrNone => self.send_in_two_phases(&command, on_progress),
        };
        let named = readings.iter().zip(outcomes).map(|(reading, outcome)| DaemonOutcome {
            daemon: reading.daemon.clone(),
            outcome: match &reading.state {
                Ok(_) => outcome,
                // The command was not sent; what failed is the request for the state.
                Err(error) => Outcome::Unanswered(error.to_string()),
            },
        });
        CommandReport { outcomes: named.collect(), id: template.id.clone(), release }
    }

    fn send_phase(
        &self,
        command: &CommandFor<'_>,
        phase: Phase,
        on_progress: &mut dyn FnMut(usize),
    ) -> Vec<Outcome> {
        let results = self.query(&|member| command(member, phase), on_progress);
        results.into_iter().map(command_outcome).collect()
    }

    /// Prepares the command on all daemons, then commits it if all are prepared and aborts it otherwise.
    fn send_in_two_phases(
        &self,
        command: &CommandFor<'_>,
        on_progress: &mut dyn FnMut(usize),
    ) -> Vec<Outcome> {
        let results = self.query(&|member| command(member, Phase::Prepare), on_progress);
        let prepared: Vec<bool> = results.iter().map(is_prepared).collect();
        if prepared.iter().all(|is_prepared| *is_prepared) {
            return self.send_phase(command, Phase::Commit, on_progress);
        }
        // Daemons that do not answer release the command at its expiry.
        let abort = |member: usize| if prepared[member] { command(member, Phase::Abort) } else { None };
        self.query(&abort, on_progress);
        let outcomes = results.into_iter().map(|result| {
            if is_prepared(&result) {
                Outcome::Rejected("released: not all were ready".into())
            } else {
                command_outcome(result)
            }
        });
        outcomes.collect()
    }
}

fn is_prepared(result: &CallResult) -> bool {
    matches!(result, Ok(Response::Command(Reply::Prepared)))
}

fn command_outcome(result: CallResult) -> Outcome {
    match result {
        Ok(Response::Command(Reply::Applied { already })) => Outcome::Applied { already },
        Ok(Response::Command(Reply::Rejected { reason })) => Outcome::Rejected(reason),
        Ok(Response::Malformed { reason }) => Outcome::Rejected(format!("not understood: {reason}")),
        Ok(other) => Outcome::Unanswered(CallError::Unexpected(Box::new(other)).to_string()),
        Err(error) => Outcome::Unanswered(error.to_string()),
    }
}

/// The release stage that most daemons report; the latest of those that are reported equally often.
fn most_common_release(readings: &[DaemonReading]) -> Option<ReleaseStage> {
    let mut counts: BTreeMap<ReleaseStage, usize> = BTreeMap::new();
    let states = readings.iter().filter_map(|reading| reading.state.as_ref().ok());
    for release in states.filter_map(|state| state.release.as_ref()) {
        let stage = ReleaseStage { build: release.build, stage: release.stage };
        *counts.entry(stage).or_default() += 1;
    }
    let most_common = counts.into_iter().max_by_key(|(stage, count)| (*count, *stage));
    most_common.map(|(stage, _)| stage)
}
