//! Sends requests and commands to the daemons of a fleet.

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

/// The daemons of a fleet, and the settings of calls to them.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The daemons, in the order of the fleet file.
    pub members: Vec<Member>,
    /// How long each request to a daemon may take.
    pub timeout: Duration,
    /// The maximum number of concurrent calls.
    pub parallel: usize,
    /// The TLS settings with the operator's certificate and key, for daemons that are reached over TCP.
    pub identity: Option<Arc<rustls::ClientConfig>>,
}

/// The outcome of a command at one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The daemon applied the command.
    Applied {
        /// Whether the daemon had applied the command before.
        already: bool,
    },
    /// The daemon rejected the command, or prepared and then released it; the reason.
    Rejected(String),
    /// No valid response arrived; the reason. The daemon may have applied the command.
    Unanswered(String),
}

/// The outcome of a command at one daemon, with the daemon's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonOutcome {
    /// The daemon's name in the fleet file.
    pub daemon: String,
    /// The outcome of the command.
    pub outcome: Outcome,
}

/// The outcomes of a command at all daemons of the fleet.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// The id of the command. A daemon applies an id once, however often it is sent.
    pub id: String,
    /// The release stage in the command's fence; none if the command concerns no stage or no stage is known.
    pub release: Option<ReleaseStage>,
    /// The outcomes, in the fleet's order.
    pub outcomes: Vec<DaemonOutcome>,
}

/// The state of one daemon, with the daemon's name.
#[derive(Debug)]
pub struct DaemonReading {
    /// The daemon's name in the fleet file.
    pub daemon: String,
    /// The state, or why the daemon did not report it.
    pub state: Result<DaemonState, CallError>,
}

/// Whether the daemons apply a command independently of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Each daemon applies or rejects the command, whatever the others do.
    Independent,
    /// A two-phase commit: the command is committed only if all daemons have prepared it.
    AllOrNone,
}

/// The options for sending a command.
#[derive(Clone, Debug)]
pub struct CommandOptions {
    /// The operator who issues the command.
    pub issuer: String,
    /// The time from sending the command to its expiry, after which a daemon rejects it.
    pub validity: Duration,
    /// Whether the daemons apply it independently of each other.
    pub delivery: Delivery,
}

/// Returns the wall-clock time in microseconds since 1970.
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
    /// Returns the command for a daemon, fenced with the daemon's boot number.
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

/// Returns the request for the member with this index, or none if the member is not to be called.
type RequestFor<'a> = dyn Fn(usize) -> Option<Request> + Sync + 'a;

/// Returns the command in this phase for the member with this index, or none if the member is not to get it.
type CommandFor<'a> = dyn Fn(usize, Phase) -> Option<Request> + Sync + 'a;

/// The result of a call, with the index of the member that was called.
struct MemberResult {
    member: usize,
    result: CallResult,
}

impl Fleet {
    /// Sends each member its request and returns the results in the fleet's order. Calls `on_progress` after
    /// each member with the number of members that are done.
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
            // The loop below ends when all senders are dropped: this one, and those of the threads when they
            // end.
            drop(sender);
            for (done_before, MemberResult { member, result }) in receiver.iter().enumerate() {
                results[member] = result;
                on_progress(done_before + 1);
            }
        });
        results
    }

    /// Calls the members in the queue, which all threads share, one after the other until the queue is empty.
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

    /// Requests the state of each daemon.
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

    /// Sends a command to all daemons. First requests the state of each daemon: the command is fenced with
    /// the boot number that the daemon reports and, if it concerns a release stage, with the stage that most
    /// daemons report. A daemon that has restarted since, or whose release is in another stage, rejects the
    /// command.
    pub fn send_command(
        &self,
        action: &Action,
        options: &CommandOptions,
        on_progress: &mut dyn FnMut(usize),
    ) -> CommandReport {
        let readings = self.state(on_progress);
        let release = if action.concerns_release_stage() { most_common_release(&readings) } else { None };
        let template = CommandTemplate {
            // The id is random: the standard library takes the keys of a hasher from the system's generator.
            id: format!("{:016x}", RandomState::new().build_hasher().finish()),
            issued_us: wall_clock(),
            release,
            action,
            options,
        };
        let command_for = |member: usize, phase: Phase| {
            let state = readings[member].state.as_ref().ok()?;
            Some(template.request(state.boot, phase))
        };
        let outcomes = match options.delivery {
            Delivery::Independent => self.send_phase(&command_for, Phase::Immediate, on_progress),
            Delivery::AllOrNone => self.send_in_two_phases(&command_for, on_progress),
        };
        let outcomes = readings.iter().zip(outcomes).map(|(reading, outcome)| DaemonOutcome {
            daemon: reading.daemon.clone(),
            outcome: match &reading.state {
                Ok(_) => outcome,
                // The request for the state failed, so the command was not sent.
                Err(error) => Outcome::Unanswered(error.to_string()),
            },
        });
        CommandReport { outcomes: outcomes.collect(), id: template.id.clone(), release }
    }

    fn send_phase(
        &self,
        command_for: &CommandFor<'_>,
        phase: Phase,
        on_progress: &mut dyn FnMut(usize),
    ) -> Vec<Outcome> {
        let results = self.query(&|member| command_for(member, phase), on_progress);
        results.into_iter().map(command_outcome).collect()
    }

    /// Prepares the command on all daemons. Then commits it if all have prepared it, and aborts it otherwise.
    fn send_in_two_phases(
        &self,
        command_for: &CommandFor<'_>,
        on_progress: &mut dyn FnMut(usize),
    ) -> Vec<Outcome> {
        let results = self.query(&|member| command_for(member, Phase::Prepare), on_progress);
        let prepared: Vec<bool> = results.iter().map(is_prepared).collect();
        if prepared.iter().all(|is_prepared| *is_prepared) {
            return self.send_phase(command_for, Phase::Commit, on_progress);
        }
        // A daemon that prepared the command but whose response was lost gets no abort: it releases the
        // command at its expiry.
        let abort = |member: usize| if prepared[member] { command_for(member, Phase::Abort) } else { None };
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

/// Returns the release stage that most daemons report. Of several that are reported equally often, returns
/// the latest one.
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
