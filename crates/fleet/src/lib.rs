//! The fleet tool's work: one question or command to many daemons at once, each with a time-out of its own,
//! and a report that says of every one whether it agreed, refused or never answered.
//!
//! [`call`] speaks to one daemon, [`Fleet`] to many, [`report`] shows what came of it.

pub mod call;
pub mod report;

use call::Heard;
pub use call::Silence;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use violetseam_control::wire::{Act, Answer, Ask, Command, Fence, Phase, Reply};
use violetseam_control::{Reading, wire};
use violetseam_settings::Member;

/// How a fleet is spoken to.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The daemons.
    pub members: Vec<Member>,
    /// How long one may take for each question.
    pub timeout: Duration,
    /// How many are spoken to at once.
    pub parallel: usize,
    /// What it shows to daemons that are spoken to over TCP.
    pub keys: Option<Arc<rustls::ClientConfig>>,
}

/// What became of a daemon's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It agreed; `again`: it had before.
    Agreed {
        /// It had been applied before.
        again: bool,
    },
    /// It refused, or took back what it had promised.
    Refused(String),
    /// No answer came, or none that can be read. It may have applied the command.
    Silent(String),
}

/// What became of a command.
#[derive(Clone, Debug)]
pub struct Told {
    /// The command's id; the same id sent again is the same command.
    pub id: String,
    /// The build and stage it was fenced with.
    pub about: Option<(u16, u8)>,
    /// By daemon, in the fleet's order.
    pub outcomes: Vec<(String, Outcome)>,
}

/// Microseconds since 1970.
pub fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Only the members that a name or group picks; an error names what picks none.
pub fn pick(members: Vec<Member>, only: &[String]) -> Result<Vec<Member>, String> {
    if only.is_empty() {
        return Ok(members);
    }
    let fits = |m: &Member, word: &String| m.name == *word || m.groups.contains(word);
    if let Some(none) = only.iter().find(|word| !members.iter().any(|m| fits(m, word))) {
        return Err(format!("no member or group {none:?}"));
    }
    Ok(members.into_iter().filter(|m| only.iter().any(|word| fits(m, word))).collect())
}

impl Fleet {
    /// Asks all; `heard` is told of each answer as it comes. Answers come back in the fleet's order.
    pub fn ask(
        &self,
        ask_of: &(dyn Fn(usize) -> Option<Ask> + Sync),
        heard: &mut dyn FnMut(usize),
    ) -> Vec<Heard> {
        let todo: Mutex<VecDeque<usize>> = Mutex::new((0..self.members.len()).collect());
        let (tell, told) = channel();
        let mut answers: Vec<Heard> =
            (0..self.members.len()).map(|_| Err(Silence("not asked".into()))).collect();
        std::thread::scope(|scope| {
            for _ in 0..self.parallel.clamp(1, self.members.len().max(1)) {
                let (tell, todo) = (tell.clone(), &todo);
                scope.spawn(move || {
                    loop {
                        let next = todo.lock().map(|mut t| t.pop_front());
                        let Ok(Some(n)) = next else { return };
                        let Some(ask) = ask_of(n) else { continue };
                        let answer =
                            call::call(&self.members[n].control, &ask, self.timeout, self.keys.as_ref());
                        if tell.send((n, answer)).is_err() {
                            return;
                        }
                    }
                });
            }
            drop(tell);
            for (done, (n, answer)) in told.iter().enumerate() {
                answers[n] = answer;
                heard(done + 1);
            }
        });
        answers
    }

    /// The state of each.
    pub fn state(&self, heard: &mut dyn FnMut(usize)) -> Vec<Result<Reading, Silence>> {
        let answers = self.ask(&|_| Some(Ask::State), heard);
        let reading = |answer: Heard| match answer {
            Ok(Answer::State(reading)) => Ok(*reading),
            Ok(other) => Err(Silence(format!("answered something else: {other:?}"))),
            Err(silence) => Err(silence),
        };
        answers.into_iter().map(reading).collect()
    }

    /// Tells all. The command is fenced with each daemon's boot number as just read and, where it is about a
    /// stage, with the build and stage that most of them report, so that one that is elsewhere refuses.
    pub fn tell(
        &self,
        act: &Act,
        issuer: &str,
        valid: Duration,
        all_or_none: bool,
        heard: &mut dyn FnMut(usize),
    ) -> Told {
        let readings = self.state(heard);
        let about = act.is_about_a_stage().then(|| most_common(&readings)).flatten();
        // The standard library's hash keys are drawn from the system for each.
        let id = format!("{:016x}", RandomState::new().build_hasher().finish());
        let issued_us = wall_clock();
        let command = |n: usize, phase: Phase| -> Option<Ask> {
            let boot = readings[n].as_ref().ok()?.boot;
            let fence = Fence { boot: Some(boot), build: about.map(|a| a.0), stage: about.map(|a| a.1) };
            let expires_us = wall_clock() + valid.as_micros() as u64;
            let (id, issuer, act) = (id.clone(), issuer.to_owned(), act.clone());
            Some(Ask::Command(Command { id, issuer, issued_us, expires_us, fence, phase, act }))
        };
        let outcomes = if all_or_none {
            self.in_two_steps(&command, heard)
        } else {
            self.ask(&|n| command(n, Phase::Now), heard).into_iter().map(outcome).collect::<Vec<_>>()
        };
        // One that gave no state was not sent the command: its silence is of the first question.
        let named = outcomes.into_iter().zip(&readings).zip(&self.members).map(|((outcome, reading), m)| {
            let silent = reading.as_ref().err().map(|s| Outcome::Silent(s.0.clone()));
            (m.name.clone(), silent.unwrap_or(outcome))
        });
        Told { id, about, outcomes: named.collect() }
    }

    /// Prepare, then commit if all are prepared, else release.
    fn in_two_steps(
        &self,
        command: &(dyn Fn(usize, Phase) -> Option<Ask> + Sync),
        heard: &mut dyn FnMut(usize),
    ) -> Vec<Outcome> {
        let prepared = self.ask(&|n| command(n, Phase::Prepare), heard);
        let is_prepared = |answer: &Heard| matches!(answer, Ok(Answer::Command(Reply::Prepared)));
        if prepared.iter().all(is_prepared) {
            return self.ask(&|n| command(n, Phase::Commit), heard).into_iter().map(outcome).collect();
        }
        let ready: Vec<bool> = prepared.iter().map(is_prepared).collect();
        // Those that stay silent release by themselves at the expiry.
        self.ask(&|n| if ready[n] { command(n, Phase::Abort) } else { None }, heard);
        let released = |answer: Heard| match answer {
            Ok(Answer::Command(Reply::Prepared)) => Outcome::Refused("released: not all were ready".into()),
            other => outcome(other),
        };
        prepared.into_iter().map(released).collect()
    }
}

fn outcome(answer: Heard) -> Outcome {
    match answer {
        Ok(Answer::Command(Reply::Agreed { again })) => Outcome::Agreed { again },
        Ok(Answer::Command(Reply::Refused { reason })) => Outcome::Refused(reason),
        Ok(Answer::Malformed { reason }) => Outcome::Refused(format!("not understood: {reason}")),
        Ok(other) => Outcome::Silent(format!("answered something else: {other:?}")),
        Err(Silence(why)) => Outcome::Silent(why),
    }
}

/// The build and stage that most daemons report; the later ones among equals.
fn most_common(readings: &[Result<Reading, Silence>]) -> Option<(u16, u8)> {
    let mut counts: BTreeMap<(u16, u8), usize> = BTreeMap::new();
    for release in readings.iter().flatten().filter_map(|r| r.release.as_ref()) {
        *counts.entry((release.build, release.stage)).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(place, n)| (*n, *place)).map(|(place, _)| place)
}

/// The most a line of a daemon's may be long.
pub const LINE_MOST: usize = 4 * wire::LINE_MOST;
