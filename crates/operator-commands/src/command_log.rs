//! The command log: decides whether a command is applied, prepared or rejected. It is deterministic, reads no
//! clock and does no I/O.

use crate::command::{Action, Command, MAX_CLOCK_LEAD_US, MAX_EXPIRY_US, Phase};
use crate::persisted_state::{CommandInForce, DecidedCommand, Pause, PersistedState};
use crate::release_stage::ReleaseStage;
use crate::wire::Reply;
use std::collections::BTreeMap;

/// The maximum number of decided commands in the log. They are kept past their expiry, so that a command that
/// is sent again late still gets its first reply.
const MAX_DECIDED_COMMANDS: usize = 4_096;
/// The maximum number of commands that are prepared at the same time.
const MAX_PREPARED_COMMANDS: usize = 64;
const MICROS_PER_SECOND: f64 = 1e6;

/// A change that the daemon has to make because of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Withdraw the votes on the current stage; where a timer promotes stages, vote to hold instead.
    Pause,
    /// Resume voting after a pause.
    Resume,
    /// Vote to roll the newest build back.
    RollBack,
    /// Accept no new requests.
    Drain,
    /// Accept requests again.
    Undrain,
    /// Replace the log filter with this one.
    LogLevel(String),
    /// Reload the settings.
    Reload,
}

/// The part of the daemon's state on which the decisions of the command log depend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonContext {
    /// The daemon's boot number.
    pub boot: u64,
    /// The newest build and its stage; none before the release service has announced a build.
    pub release: Option<ReleaseStage>,
}

/// The decision about a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The reply to the issuer.
    pub reply: Reply,
    /// The change that the daemon has to make, if any.
    pub change: Option<Change>,
}

impl Decision {
    fn unchanged(reply: Reply) -> Self {
        Decision { reply, change: None }
    }

    fn rejected(reason: impl Into<String>) -> Self {
        Decision::unchanged(Reply::rejected(reason))
    }
}

/// The commands that a daemon has decided, and those that are prepared.
#[derive(Clone, Debug, Default)]
pub struct CommandLog {
    persisted: PersistedState,
    /// The prepared commands, by id. They are not persisted, so a restart releases them.
    prepared: BTreeMap<String, Command>,
}

impl CommandLog {
    /// Creates a log that continues from the state that the previous process stored.
    pub fn new(persisted: PersistedState) -> Self {
        CommandLog { persisted, prepared: BTreeMap::new() }
    }

    /// Returns the state to persist. After a decision it must be durable before the command is answered.
    pub fn persisted(&self) -> &PersistedState {
        &self.persisted
    }

    /// Returns the pause that is in force, if any.
    pub fn pause(&self) -> Option<&Pause> {
        self.persisted.pause.as_ref()
    }

    /// Returns the number of commands that are prepared and neither committed nor released.
    pub fn prepared_count(&self) -> usize {
        self.prepared.len()
    }

    /// Decides about a command that has arrived. A command whose id was decided before changes nothing and
    /// gets its first reply again, so that an issuer that did not receive that reply can send the command
    /// again.
    pub fn submit(&mut self, now_us: u64, context: DaemonContext, command: &Command) -> Decision {
        self.expire(now_us, context);
        if let Some(decided) = self.persisted.decided.get(&command.id) {
            return Decision::unchanged(reply_to_repeat(&decided.reply));
        }
        match command.phase {
            Phase::Immediate => self.apply(now_us, context, command),
            Phase::Prepare => self.prepare(now_us, context, command),
            Phase::Commit => self.commit(now_us, context, command),
            Phase::Abort => self.abort(command),
        }
    }

    fn prepare(&mut self, now_us: u64, context: DaemonContext, command: &Command) -> Decision {
        if let Some(reason) = self.rejection_reason(now_us, context, command) {
            return Decision::rejected(reason);
        }
        if !self.prepared.contains_key(&command.id) {
            if self.prepared.len() >= MAX_PREPARED_COMMANDS {
                return Decision::rejected("too many prepared commands");
            }
            self.prepared.insert(command.id.clone(), command.clone());
        }
        Decision::unchanged(Reply::Prepared)
    }

    /// Applies the command as it was prepared. Only the id of the commit counts, not its other fields.
    fn commit(&mut self, now_us: u64, context: DaemonContext, command: &Command) -> Decision {
        match self.prepared.remove(&command.id) {
            Some(prepared) => self.apply(now_us, context, &prepared),
            None => Decision::rejected("nothing was prepared under this id, or it was released"),
        }
    }

    fn abort(&mut self, command: &Command) -> Decision {
        match self.prepared.remove(&command.id) {
            Some(_) => Decision::unchanged(Reply::Released),
            None => Decision::rejected("nothing was prepared under this id"),
        }
    }

    fn apply(&mut self, now_us: u64, context: DaemonContext, command: &Command) -> Decision {
        if let Some(reason) = self.rejection_reason(now_us, context, command) {
            let reply = Reply::rejected(reason);
            self.record_decision(command, &reply);
            return Decision::unchanged(reply);
        }
        let change = self.update_pause(context, command);
        if let Some(subject) = command.action.subject() {
            self.persisted.in_force.insert(subject.to_owned(), command_in_force(now_us, command));
        }
        let reply = Reply::Applied { already: false };
        self.record_decision(command, &reply);
        Decision { reply, change: Some(change) }
    }

    /// Updates the persisted pause if the command starts or ends one, and returns the change that the daemon
    /// has to make.
    fn update_pause(&mut self, context: DaemonContext, command: &Command) -> Change {
        match &command.action {
            Action::Pause { until_us } => {
                self.persisted.pause = Some(Pause {
                    until_us: *until_us,
                    issuer: command.issuer.clone(),
                    release: context.release,
                });
                Change::Pause
            }
            Action::Resume => {
                self.persisted.pause = None;
                Change::Resume
            }
            Action::RollBack => Change::RollBack,
            Action::Drain => Change::Drain,
            Action::Undrain => Change::Undrain,
            Action::LogLevel { filter } => Change::LogLevel(filter.clone()),
            Action::Reload => Change::Reload,
        }
    }

    /// Returns the reason why a command may not be applied: the first condition that it violates, if any.
    fn rejection_reason(&self, now_us: u64, context: DaemonContext, command: &Command) -> Option<String> {
        expiry_violation(now_us, command)
            .or_else(|| fence_violation(context, command))
            .or_else(|| clock_violation(now_us, command))
            .or_else(|| self.precedence_violation(now_us, command))
            .or_else(|| pause_violation(now_us, &command.action))
    }

    /// Returns why the command is overridden, if a command on the same subject that was issued later is in
    /// force. As the time of issue decides, all daemons end with the same command in force, whichever arrived
    /// first.
    fn precedence_violation(&self, now_us: u64, command: &Command) -> Option<String> {
        if command.issued_us == 0 {
            return None;
        }
        let in_force = self.persisted.in_force.get(command.action.subject()?)?;
        if *in_force <= command_in_force(now_us, command) {
            return None;
        }
        let CommandInForce { action, issuer, issued_us, .. } = in_force;
        let later_by = seconds(issued_us.saturating_sub(command.issued_us));
        Some(format!("overtaken: {action} by {issuer} was issued {later_by:.3} s after it"))
    }

    fn record_decision(&mut self, command: &Command, reply: &Reply) {
        let decided = DecidedCommand { expires_us: command.expires_us, reply: reply.clone() };
        self.persisted.decided.insert(command.id.clone(), decided);
        while self.persisted.decided.len() > MAX_DECIDED_COMMANDS {
            self.evict_earliest_expiry();
        }
    }

    /// Removes the decided command with the earliest expiry. It has the least need of a stored reply: once it
    /// has expired, it is rejected anyway when it is sent again.
    fn evict_earliest_expiry(&mut self) {
        let earliest = self.persisted.decided.iter().min_by_key(|(_, decided)| decided.expires_us);
        if let Some(id) = earliest.map(|(id, _)| id.clone()) {
            self.persisted.decided.remove(&id);
        }
    }

    /// Releases the prepared commands that have expired, and ends the pause if its end has passed or the
    /// release is in another stage or of another build. Returns the change that the daemon has to make, if
    /// any.
    pub fn expire(&mut self, now_us: u64, context: DaemonContext) -> Option<Change> {
        self.prepared.retain(|_, command| command.expires_us > now_us);
        let pause = self.persisted.pause.as_ref()?;
        if !has_ended(pause, now_us, context) {
            return None;
        }
        self.persisted.pause = None;
        Some(Change::Resume)
    }

    /// Returns when a prepared command or the pause expires next, in microseconds since 1970;
    /// [`CommandLog::expire`] is due then.
    pub fn next_expiry(&self) -> Option<u64> {
        let prepared = self.prepared.values().map(|command| command.expires_us);
        let pause = self.pause().map(|pause| pause.until_us);
        prepared.chain(pause).min()
    }
}

fn reply_to_repeat(first: &Reply) -> Reply {
    match first {
        Reply::Applied { .. } => Reply::Applied { already: true },
        other => other.clone(),
    }
}

fn has_ended(pause: &Pause, now_us: u64, context: DaemonContext) -> bool {
    let release_has_changed =
        pause.release.is_some() && context.release.is_some() && pause.release != context.release;
    pause.until_us <= now_us || release_has_changed
}

fn expiry_violation(now_us: u64, command: &Command) -> Option<String> {
    if command.expires_us <= now_us {
        let expired_for = seconds(now_us - command.expires_us);
        return Some(format!("expired {expired_for:.1} s ago by this daemon's clock"));
    }
    if command.expires_us > now_us + MAX_EXPIRY_US {
        return Some("expires over a day from now by this daemon's clock".into());
    }
    None
}

fn fence_violation(context: DaemonContext, command: &Command) -> Option<String> {
    let fence = command.fence;
    if fence.boot.is_some_and(|boot| boot != context.boot) {
        return Some(format!("for another life of this daemon: its boot number is {}", context.boot));
    }
    if !command.action.concerns_release_stage() {
        return None;
    }
    let Some(ReleaseStage { build, stage }) = context.release else {
        return Some("this daemon has not been told of a build yet".into());
    };
    let is_other_build = fence.build.is_some_and(|fenced| fenced != build);
    let is_other_stage = fence.stage.is_some_and(|fenced| fenced != stage);
    if is_other_build || is_other_stage {
        return Some(format!("for another build or stage: build {build} is in stage {stage}"));
    }
    if fence.build.is_none() {
        return Some("a command about a stage must name its build".into());
    }
    None
}

fn clock_violation(now_us: u64, command: &Command) -> Option<String> {
    if command.issued_us <= now_us + MAX_CLOCK_LEAD_US {
        return None;
    }
    let ahead_by = seconds(command.issued_us - now_us);
    Some(format!("issued {ahead_by:.1} s from now by this daemon's clock: one of the clocks is off"))
}

fn pause_violation(now_us: u64, action: &Action) -> Option<String> {
    let Action::Pause { until_us } = action else { return None };
    let is_in_range = *until_us > now_us && *until_us <= now_us + MAX_EXPIRY_US;
    (!is_in_range).then(|| "a pause ends between now and a day from now".into())
}

fn command_in_force(now_us: u64, command: &Command) -> CommandInForce {
    CommandInForce {
        issued_us: if command.issued_us == 0 { now_us } else { command.issued_us },
        id: command.id.clone(),
        issuer: command.issuer.clone(),
        action: command.action.name().to_owned(),
    }
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}
