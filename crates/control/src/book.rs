//! The book of commands: what is applied, refused or held. Deterministic; told the time, keeps none.

use crate::wire::{AHEAD_MOST_US, Act, Command, EXPIRY_MOST_US, Phase, Reply};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Commands remembered past their expiry, so that a late repeat is known for what it is.
const REMEMBERED_MOST: usize = 4_096;
/// Prepared commands held at once.
const PREPARED_MOST: usize = 64;

/// Something for the daemon to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Withdraw votes on the present stage, or hold its clock.
    Pause,
    /// Vote again.
    Resume,
    /// Vote the present build back.
    Back,
    /// Take nothing new.
    Drain,
    /// Take requests again.
    Undrain,
    /// Another log filter.
    LogLevel(String),
    /// Read the settings again.
    Reload,
}

/// What the book needs to know of the daemon when a command arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Its boot number.
    pub boot: u64,
    /// The newest build and its stage, if told.
    pub release: Option<(u16, u8)>,
}

/// A pause in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pause {
    /// Ends then, microseconds since 1970.
    pub until_us: u64,
    /// Who asked for it.
    pub issuer: String,
    /// The build and stage it is about; none: whatever comes, as after a damaged file.
    pub about: Option<(u16, u8)>,
}

/// What outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Durable {
    /// The standing pause.
    pub pause: Option<Pause>,
    /// Commands seen: when each expires and what became of it.
    pub seen: BTreeMap<String, (u64, Reply)>,
    /// By subject, the command that stands.
    #[serde(default)]
    pub standing: BTreeMap<String, Standing>,
}

/// The command that stands on a subject: contrary ones issued before it are refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Standing {
    /// When it was issued.
    pub issued_us: u64,
    /// Its id, which orders those issued at one moment.
    pub id: String,
    /// Who issued it.
    pub issuer: String,
    /// What it asked for.
    pub act: String,
}

/// The book.
#[derive(Clone, Debug, Default)]
pub struct Book {
    durable: Durable,
    prepared: BTreeMap<String, Command>,
}

impl Book {
    /// A book that goes on with what outlived the process before.
    pub fn new(durable: Durable) -> Self {
        Book { durable, prepared: BTreeMap::new() }
    }

    /// What must outlive the process; to be kept before a command is answered.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// The pause in force.
    pub fn pause(&self) -> Option<&Pause> {
        self.durable.pause.as_ref()
    }

    /// Commands promised and not yet committed.
    pub fn prepared(&self) -> usize {
        self.prepared.len()
    }

    /// A command arrives: what becomes of it, and what the daemon has to do. Nothing is done for a repeat.
    pub fn take(&mut self, now_us: u64, present: Present, command: &Command) -> (Reply, Option<Change>) {
        self.expire(now_us, present);
        if let Some((_, before)) = self.durable.seen.get(&command.id) {
            // The same answer as the first time, so that an issuer that lost it can ask again.
            let reply = match before {
                Reply::Agreed { .. } => Reply::Agreed { again: true },
                other => other.clone(),
            };
            return (reply, None);
        }
        match command.phase {
            Phase::Abort => {
                let was = self.prepared.remove(&command.id).is_some();
                let reply = if was { Reply::Released } else { refused("nothing was prepared under this id") };
                (reply, None)
            }
            Phase::Prepare => match self.refusal(now_us, present, command) {
                Some(reason) => (refused(reason), None),
                None if self.prepared.contains_key(&command.id) => (Reply::Prepared, None),
                None if self.prepared.len() >= PREPARED_MOST => (refused("too many prepared commands"), None),
                None => {
                    self.prepared.insert(command.id.clone(), command.clone());
                    (Reply::Prepared, None)
                }
            },
            Phase::Commit => match self.prepared.remove(&command.id) {
                None => (refused("nothing was prepared under this id, or it was released"), None),
                // What was promised is what is applied, whatever the commit says.
                Some(promised) => self.apply(now_us, present, &promised),
            },
            Phase::Now => self.apply(now_us, present, command),
        }
    }

    fn apply(&mut self, now_us: u64, present: Present, command: &Command) -> (Reply, Option<Change>) {
        if let Some(reason) = self.refusal(now_us, present, command) {
            let reply = refused(reason);
            self.remember(command, &reply);
            return (reply, None);
        }
        let change = match &command.act {
            Act::Pause { until_us } => {
                let (until_us, issuer) = (*until_us, command.issuer.clone());
                self.durable.pause = Some(Pause { until_us, issuer, about: present.release });
                Change::Pause
            }
            Act::Resume => {
                self.durable.pause = None;
                Change::Resume
            }
            Act::Back => Change::Back,
            Act::Drain => Change::Drain,
            Act::Undrain => Change::Undrain,
            Act::LogLevel { filter } => Change::LogLevel(filter.clone()),
            Act::Reload => Change::Reload,
        };
        if let Some(subject) = command.act.subject() {
            self.durable.standing.insert(subject.to_owned(), standing(now_us, command));
        }
        let reply = Reply::Agreed { again: false };
        self.remember(command, &reply);
        (reply, Some(change))
    }

    /// Why a command may not be applied.
    fn refusal(&self, now_us: u64, present: Present, command: &Command) -> Option<String> {
        if command.expires_us <= now_us {
            let ago = (now_us - command.expires_us) as f64 / 1e6;
            return Some(format!("expired {ago:.1} s ago by this daemon's clock"));
        }
        if command.expires_us > now_us + EXPIRY_MOST_US {
            return Some("expires over a day from now by this daemon's clock".into());
        }
        let fence = command.fence;
        if fence.boot.is_some_and(|boot| boot != present.boot) {
            return Some(format!("for another life of this daemon: its boot number is {}", present.boot));
        }
        if command.act.is_about_a_stage() {
            let Some((build, stage)) = present.release else {
                return Some("this daemon has not been told of a build yet".into());
            };
            if fence.build.is_some_and(|b| b != build) || fence.stage.is_some_and(|s| s != stage) {
                return Some(format!("for another build or stage: build {build} is in stage {stage}"));
            }
            if fence.build.is_none() {
                return Some("a command about a stage must name its build".into());
            }
        }
        if command.issued_us > now_us + AHEAD_MOST_US {
            let ahead = (command.issued_us - now_us) as f64 / 1e6;
            return Some(format!(
                "issued {ahead:.1} s from now by this daemon's clock: one of the clocks is off"
            ));
        }
        // The same on all daemons: whichever of two contrary commands comes first, the later issued stands.
        let later = command.act.subject().and_then(|subject| self.durable.standing.get(subject));
        if let Some(later) = later.filter(|s| command.issued_us > 0 && **s > standing(now_us, command)) {
            let Standing { act, issuer, issued_us, .. } = later;
            let by = issued_us.saturating_sub(command.issued_us) as f64 / 1e6;
            return Some(format!("overtaken: {act} by {issuer} was issued {by:.3} s after it"));
        }
        if let Act::Pause { until_us } = &command.act
            && (*until_us <= now_us || *until_us > now_us + EXPIRY_MOST_US)
        {
            return Some("a pause ends between now and a day from now".into());
        }
        None
    }

    fn remember(&mut self, command: &Command, reply: &Reply) {
        self.durable.seen.insert(command.id.clone(), (command.expires_us, reply.clone()));
        while self.durable.seen.len() > REMEMBERED_MOST {
            // The one that expired first: an arrival of it is refused by its expiry anyway.
            let oldest = self.durable.seen.iter().min_by_key(|s| s.1.0).map(|s| s.0.clone());
            oldest.map(|id| self.durable.seen.remove(&id));
        }
    }

    /// Lets time pass: prepared commands are released at their expiry, a pause ends at its own, or when
    /// another build or stage has come. What the daemon has to do then.
    pub fn expire(&mut self, now_us: u64, present: Present) -> Option<Change> {
        self.prepared.retain(|_, c| c.expires_us > now_us);
        let over = self.durable.pause.as_ref().is_some_and(|p| {
            let moved = p.about.is_some() && present.release.is_some() && p.about != present.release;
            p.until_us <= now_us || moved
        });
        if over {
            self.durable.pause = None;
        }
        over.then_some(Change::Resume)
    }

    /// When [`Book::expire`] has something to do next.
    pub fn due(&self) -> Option<u64> {
        let prepared = self.prepared.values().map(|c| c.expires_us);
        prepared.chain(self.durable.pause.as_ref().map(|p| p.until_us)).min()
    }

    /// The durable state could not be read: unknown pauses are taken to stand, for so long.
    pub fn safe_reading(now_us: u64) -> Durable {
        let until_us = now_us + EXPIRY_MOST_US;
        let issuer = "unknown: the state file was damaged".to_owned();
        Durable { pause: Some(Pause { until_us, issuer, about: None }), ..Durable::default() }
    }
}

fn standing(now_us: u64, command: &Command) -> Standing {
    let issued_us = if command.issued_us == 0 { now_us } else { command.issued_us };
    let (id, issuer, act) = (command.id.clone(), command.issuer.clone(), command.act.name().to_owned());
    Standing { issued_us, id, issuer, act }
}

fn refused(reason: impl Into<String>) -> Reply {
    Reply::Refused { reason: reason.into() }
}
