//! The release service: one connection that watches, and one for each vote.
//!
//! A vote's connection closes after its answer: votes are rare, the service closes connections that stand
//! idle, and a break on one of its own says plainly whether the vote may count.

use super::{Proxy, What};
use calloop::{Interest, Readiness};
use slab::Slab;
use std::net::SocketAddr;
use violetseam::interface::{Build, Micros, Outcome, ReleaseStatus, Verdict};
use violetseam_loopio::{Got, Socket, connect};
use violetseam_platform::pipeline::{self, LINE_MOST, Line};
use violetseam_site::lines::Lines;

/// A sign of life comes each second; without one for so long the watch is opened anew.
const SILENCE: Micros = 3_000_000;
/// Between two tries to open the watch: drawn around this.
const AGAIN: Micros = 300_000;
/// Votes out at once; the module has one, and one may be on its way to an address that was left.
const VOTES_MOST: usize = 4;
/// The first call on each connection has this number.
const WATCH_ID: u64 = 1;

/// The release service as this proxy speaks to it.
pub(super) struct Pipeline {
    address: SocketAddr,
    watch: Option<Watch>,
    votes: Slab<Vote>,
    next_id: u64,
    said: Option<ReleaseStatus>,
}

struct Watch {
    generation: u64,
    socket: Socket,
    lines: Lines,
    heard: Micros,
}

struct Vote {
    generation: u64,
    id: u64,
    socket: Socket,
    lines: Lines,
}

impl Pipeline {
    pub fn new(address: SocketAddr) -> Self {
        Pipeline { address, watch: None, votes: Slab::new(), next_id: WATCH_ID, said: None }
    }
}

impl Proxy {
    /// Opens the watch; lost, it is opened again after a while.
    pub(super) fn open_watch(&mut self) {
        if self.pipeline.watch.is_some() {
            return;
        }
        let (generation, now) = (self.next_generation(), self.now());
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_watch(generation, readiness);
        let opened = connect(self.pipeline.address)
            .and_then(|stream| Socket::register(&self.handle, stream, Interest::BOTH, on_ready));
        match opened {
            Ok(mut socket) => {
                socket.out().extend(pipeline::watch(WATCH_ID));
                let lines = Lines::new(LINE_MOST);
                self.pipeline.watch = Some(Watch { generation, socket, lines, heard: now });
                self.timers.set(now + SILENCE, What::PipelineSilence(generation));
            }
            Err(e) => self.watch_lost(&e.to_string()),
        }
    }

    fn watch_lost(&mut self, why: &str) {
        if let Some(watch) = self.pipeline.watch.take() {
            watch.socket.remove(&self.handle);
        }
        if self.may_say() {
            tracing::warn!("pipeline: {why}");
        }
        let wait = self.jittered(AGAIN);
        self.timers.set(self.now() + wait, What::PipelineAgain);
    }

    pub(super) fn watch_silent(&mut self, generation: u64) {
        let now = self.now();
        let Some(watch) = self.pipeline.watch.as_ref().filter(|w| w.generation == generation) else { return };
        if now >= watch.heard + SILENCE {
            self.watch_lost("silent for too long");
        } else {
            self.timers.set(watch.heard + SILENCE, What::PipelineSilence(generation));
        }
    }

    /// SIGHUP named an address. Votes that are out may still be answered where they went.
    pub(super) fn move_pipeline(&mut self, address: SocketAddr) {
        if self.pipeline.address != address {
            self.pipeline.address = address;
            if let Some(watch) = self.pipeline.watch.take() {
                watch.socket.remove(&self.handle);
            }
            self.open_watch();
        }
    }

    fn on_watch(&mut self, generation: u64, readiness: Readiness) {
        let Some(watch) = self.pipeline.watch.as_mut().filter(|w| w.generation == generation) else { return };
        if readiness.writable {
            if watch.socket.connect_error().is_some() || watch.socket.flush().is_err() {
                return self.watch_lost("no connection");
            }
            watch.socket.want(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_watch();
        }
        self.pump();
    }

    fn read_watch(&mut self) {
        let now = self.now();
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(watch) = &mut self.pipeline.watch {
            match watch.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    watch.heard = now;
                    watch.lines.feed(&scratch[..n]);
                    self.watch_lines();
                }
                Got::Nothing => {}
                Got::Closed | Got::Broken => self.watch_lost("connection lost"),
            }
        }
        self.scratch = scratch;
    }

    fn watch_lines(&mut self) {
        while let Some(watch) = &mut self.pipeline.watch {
            let line = match watch.lines.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => Line::parse(line).map_err(|why| why.0),
                Err(fault) => Err(fault.to_string()),
            };
            match line {
                Err(why) => return self.watch_lost(&why),
                Ok(Line::Stage(news)) => self.news(news),
                Ok(Line::Flag { server, class, since }) => self.flagged(&server, &class, since),
                Ok(Line::Accepted { news: Some(news), .. }) => self.news(news),
                Ok(Line::Declined { message, .. }) => return self.watch_lost(&message),
                Ok(Line::Accepted { news: None, .. } | Line::Alive) => {}
            }
        }
    }

    fn news(&mut self, news: ReleaseStatus) {
        self.note_news(news);
        let now = self.now();
        self.engine.on_release_status(now, news);
        self.pump();
    }

    /// News are logged when they say something new.
    fn note_news(&mut self, news: ReleaseStatus) {
        if self.pipeline.said.replace(news) != Some(news) {
            let (build, stage, phase, cap) = (news.build, news.stage, news.phase, news.cap);
            tracing::info!(target: "verdict", build, stage, ?phase, cap, "stage news");
        }
    }

    fn flagged(&mut self, server: &str, class: &str, since: Micros) {
        let number = self.roster.number(server);
        let class = self.config.instance.classes.iter().position(|name| name == class);
        if let (Some(number), Some(class)) = (number, class) {
            let now = self.now();
            self.engine.on_answer_flagged(now, number, class, since);
            self.pump();
        }
    }

    pub(super) fn call_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        tracing::info!(target: "verdict", build, stage, ?verdict, "vote");
        self.pipeline.next_id += 1;
        let id = self.pipeline.next_id;
        if self.open_vote(id, pipeline::vote(id, build, stage, verdict)).is_none() {
            self.vote_ended(Outcome::Error, None);
        }
    }

    fn open_vote(&mut self, id: u64, call: Vec<u8>) -> Option<()> {
        if self.pipeline.votes.len() >= VOTES_MOST {
            return None;
        }
        let stream = connect(self.pipeline.address).ok()?;
        let generation = self.next_generation();
        let entry = self.pipeline.votes.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_vote(key, readiness);
        let mut socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready).ok()?;
        socket.out().extend(call);
        entry.insert(Vote { generation, id, socket, lines: Lines::new(LINE_MOST) });
        let until = self.now() + self.config.instance.decisions.rollout.vote_timeout.min(10_000_000);
        self.timers.set(until, What::Vote(key, generation));
        Some(())
    }

    fn on_vote(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable
            && let Some(vote) = self.pipeline.votes.get_mut(key)
        {
            if vote.socket.connect_error().is_some() || vote.socket.flush().is_err() {
                self.vote_broke(key);
                return self.pump();
            }
            vote.socket.want(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_vote(key);
        }
        self.pump();
    }

    fn read_vote(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(vote) = self.pipeline.votes.get_mut(key) {
            match vote.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    vote.lines.feed(&scratch[..n]);
                    self.vote_lines(key);
                }
                Got::Nothing => {}
                Got::Closed | Got::Broken => self.vote_broke(key),
            }
        }
        self.scratch = scratch;
    }

    fn vote_lines(&mut self, key: usize) {
        while let Some(vote) = self.pipeline.votes.get_mut(key) {
            let id = vote.id;
            let line = match vote.lines.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => Line::parse(line).ok(),
                Err(_) => None,
            };
            let (outcome, news) = match line {
                Some(Line::Accepted { id: of, news: Some(news) }) if of == id => (Outcome::Ok, Some(news)),
                Some(Line::Declined { id: of, outcome, message }) if of == id => {
                    tracing::debug!(target: "verdict", "vote declined: {message}");
                    (outcome, None)
                }
                // News between answers: the watch tells them too.
                Some(Line::Stage(_) | Line::Flag { .. } | Line::Alive) => continue,
                // It was taken by something whose answer cannot be read: whether it counts is open.
                _ => (Outcome::Timeout, None),
            };
            self.close_vote(key);
            return self.vote_ended(outcome, news);
        }
    }

    pub(super) fn vote_timeout(&mut self, key: usize, generation: u64) {
        if self.pipeline.votes.get(key).is_some_and(|v| v.generation == generation) {
            self.vote_broke(key);
        }
    }

    /// No answer will come: it cannot count unless all of it was written.
    fn vote_broke(&mut self, key: usize) {
        let Some(vote) = self.pipeline.votes.get(key) else { return };
        let outcome = if vote.socket.waits() { Outcome::Error } else { Outcome::Timeout };
        self.close_vote(key);
        self.vote_ended(outcome, None);
    }

    fn close_vote(&mut self, key: usize) {
        if let Some(vote) = self.pipeline.votes.try_remove(key) {
            vote.socket.remove(&self.handle);
        }
    }

    fn vote_ended(&mut self, outcome: Outcome, news: Option<ReleaseStatus>) {
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        news.into_iter().for_each(|news| self.note_news(news));
        let now = self.now();
        self.engine.on_vote_reply(now, outcome, news);
    }
}
