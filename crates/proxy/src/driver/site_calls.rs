//! Calls to the roster and the release desk: each one HTTP exchange on a connection of its own. A watch on
//! the roster and the desk's news are answers without an end, one JSON line a message.

use super::ConnectionId;
use super::Proxy;
use super::operators::wall_clock;
use super::timers::TimerKind;
use calloop::{Interest, Readiness};
use std::net::SocketAddr;
use violetseam::interface::{Build, ListKind, Micros, Outcome, Verdict};
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_loopio::{Got, Socket, connect};
use violetseam_site::lines::Lines;
use violetseam_site::{desk, roster};

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum For {
    /// The roster's changes, from the version held on.
    Watch,
    /// The whole roster, once.
    Fetch,
    /// Stage news.
    News,
    /// A vote.
    Vote,
}

pub(super) struct Call {
    generation: u64,
    what: For,
    socket: Socket,
    http: ClientConn,
    lines: Lines,
    /// A vote's reply as it comes.
    body: Vec<u8>,
    /// At least one byte of the call may have reached the other side.
    written: bool,
    /// A message has come: later ones were not asked for one by one.
    answered: bool,
    /// A line has come since the stream was looked at.
    heard: bool,
    /// The status was 200.
    accepted: bool,
}

impl Proxy {
    /// Subscribes to the server list. A new subscription replaces the one before.
    pub(super) fn watch_server_list(&mut self) {
        self.call_discovery(true);
    }

    /// Fetches the whole server list once.
    pub(super) fn fetch_server_list(&mut self) {
        self.call_discovery(false);
    }

    fn call_discovery(&mut self, follow: bool) {
        if follow && let Some(before) = self.watch.take() {
            self.close_call(before);
        }
        let position = self.settings.decisions.position;
        let path = match (follow, self.roster.version()) {
            (true, Some(version)) => format!("/v1/roster/watch?proxy={position}&since={version}"),
            (true, None) => format!("/v1/roster/watch?proxy={position}"),
            (false, _) => format!("/v1/roster?proxy={position}"),
        };
        let what = if follow { For::Watch } else { For::Fetch };
        let (to, span) = (self.settings.roster, self.settings.roster_timeout);
        match self.call(what, to, "GET", &path, &[], Some(span)) {
            Some(key) if follow => self.watch = Some(key),
            Some(_) => {}
            None => self.list_failed("no connection to the roster"),
        }
    }

    /// Opens the stream of stage news; lost, it is opened again after a while.
    pub(super) fn open_release_stream(&mut self) {
        if self.release_stream.is_some() || self.handed_over || self.ending {
            return;
        }
        let path = format!("/v1/stage/watch?proxy={}", self.settings.decisions.position);
        let (to, silence) = (self.release_service(), self.settings.desk_silence);
        self.release_stream = self.call(For::News, to, "GET", &path, &[], silence);
        if self.release_stream.is_none() {
            self.on_release_stream_lost();
        }
    }

    /// The controller that is spoken to.
    fn release_service(&self) -> SocketAddr {
        let desks = &self.settings.desks;
        desks[self.release_service_index % desks.len()]
    }

    fn on_release_stream_lost(&mut self) {
        self.release_stream = None;
        // Whoever stands by may speak now.
        self.release_service_index = (self.release_service_index + 1) % self.settings.desks.len();
        // Drawn, as all proxies lose the desk together.
        let span = self.settings.desk_reconnect.max(10_000);
        let wait = span / 2 + self.draw() % span;
        self.timers.set(self.now() + wait, TimerKind::ReleaseStream);
    }

    pub(super) fn call_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        tracing::info!(target: "verdict", build, stage, ?verdict, "vote");
        let body = desk::Vote::new(self.settings.decisions.position, build, stage, verdict).write();
        let span = self.settings.decisions.rollout.vote_timeout;
        if self.call(For::Vote, self.release_service(), "POST", "/v1/vote", &body, Some(span)).is_none() {
            // Nothing left for the desk: it cannot count.
            self.vote_ended(Outcome::Error, &[]);
        }
    }

    fn call(
        &mut self,
        what: For,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        within: Option<Micros>,
    ) -> Option<usize> {
        let stream = connect(to).ok()?;
        let generation = self.next_generation();
        let entry = self.calls.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_call(key, readiness);
        let mut socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.out().extend_from_slice(head.as_bytes());
        socket.out().extend_from_slice(body);
        let mut http = ClientConn::new(violetseam_http1::Limits::default());
        http.expect_answer(false);
        let most = if what == For::News { desk::LINE_MOST } else { roster::LINE_MOST };
        entry.insert(Call {
            generation,
            what,
            socket,
            http,
            lines: Lines::new(most),
            body: Vec::new(),
            written: false,
            answered: false,
            heard: false,
            accepted: false,
        });
        if let Some(span) = within {
            self.timers.set(self.now() + span, TimerKind::Call(ConnectionId { key, generation }));
        }
        Some(key)
    }

    fn on_call(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            let Some(call) = self.calls.get_mut(key) else { return };
            if call.socket.connect_error().is_some() {
                return self.call_ended(key, "no connection");
            }
            match call.socket.flush() {
                Ok(n) => call.written |= n > 0,
                Err(_) => return self.call_ended(key, "connection lost"),
            }
            call.socket.want(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_call(key);
        }
        self.pump();
    }

    fn read_call(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(call) = self.calls.get_mut(key) {
            match call.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    call.http.feed(&scratch[..n]);
                    self.call_events(key);
                }
                Got::Nothing => break,
                Got::Closed => {
                    if let Some(ClientEvent::End { .. }) = call.http.close() {
                        self.call_complete(key);
                    }
                    self.call_ended(key, "closed");
                    break;
                }
                Got::Broken => {
                    self.call_ended(key, "connection lost");
                    break;
                }
            }
        }
        self.scratch = scratch;
    }

    fn call_events(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => {
                    call.accepted = head.status == 200;
                    if !call.accepted {
                        return self.call_ended(key, "not accepted");
                    }
                }
                Some(ClientEvent::Body(bytes)) if call.what == For::Vote => {
                    call.body.extend_from_slice(&bytes);
                    if call.body.len() > desk::LINE_MOST {
                        return self.call_ended(key, "reply too long");
                    }
                }
                Some(ClientEvent::Body(bytes)) => {
                    call.lines.feed(&bytes);
                    self.call_lines(key);
                }
                Some(ClientEvent::End { .. }) => {
                    self.call_complete(key);
                    return self.call_ended(key, "closed");
                }
                Some(ClientEvent::Fault(_)) => return self.call_ended(key, "malformed answer"),
            }
        }
    }

    fn call_lines(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            let line = match call.lines.next_line() {
                Ok(Some(line)) => line.to_vec(),
                Ok(None) => return,
                Err(fault) => return self.call_ended(key, &fault.to_string()),
            };
            call.heard = true;
            // A blank line keeps a quiet stream alive.
            if line.is_empty() {
                continue;
            }
            call.answered = true;
            let taken = match call.what {
                For::Watch | For::Fetch => self.roster_line(&line),
                For::News => self.news_line(&line),
                For::Vote => Ok(()),
            };
            if let Err(reason) = taken {
                if let Some(call) = self.calls.get_mut(key) {
                    call.answered = false;
                }
                return self.call_ended(key, &reason);
            }
        }
    }

    fn roster_line(&mut self, line: &[u8]) -> Result<(), String> {
        let message = roster::Message::parse(line).map_err(|e| e.to_string())?;
        let now = self.now();
        let applied = self.roster.apply(now, &message);
        #[allow(unused_mut)]
        let (kind, mut entries) = match applied {
            Ok(news) => news,
            Err(fault) => {
                // Whatever the roster lost, its whole list is asked for next and must be newer.
                if message.kind == roster::Kind::Delta {
                    self.roster.forget_version();
                }
                return Err(fault.to_string());
            }
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(super::Sabotage::IgnoreDrains) {
            for entry in &mut entries {
                entry.status = violetseam::interface::ServerStatus::Ready;
            }
        }
        if kind == ListKind::Full {
            self.roster_lines.clear();
        }
        for line in message.servers {
            if line.state == roster::State::Gone {
                self.roster_lines.remove(&line.id);
            } else {
                self.roster_lines.insert(line.id, (now, line));
            }
        }
        self.roster_changed = true;
        self.list_heard = Some(now);
        self.engine.on_server_list(now, kind, &entries);
        Ok(())
    }

    fn news_line(&mut self, line: &[u8]) -> Result<(), String> {
        let (news, fence) = desk::News::parse(line).map_err(|e| e.to_string())?;
        if fence < self.release_fence {
            // A controller that stood still while another took its place: not obeyed, and left.
            return Err(format!("news under number {fence} after {}", self.release_fence));
        }
        self.release_fence = fence;
        if self.engine.release() != Some(news) {
            let (build, stage, phase, cap) = (news.build, news.stage, news.phase, news.cap);
            tracing::info!(target: "verdict", build, stage, ?phase, cap, "stage news");
        }
        let now = self.now();
        self.engine.on_release_status(now, news);
        Ok(())
    }

    /// The answer has come whole.
    fn call_complete(&mut self, key: usize) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.what == For::Vote && !call.answered {
            call.answered = true;
            let body = std::mem::take(&mut call.body);
            self.vote_ended(Outcome::Ok, &body);
        }
    }

    fn vote_ended(&mut self, outcome: Outcome, body: &[u8]) {
        let (outcome, news) = match outcome {
            Outcome::Ok => desk::VoteReply::parse(body).unwrap_or_else(|fault| {
                tracing::warn!("{fault}");
                // It was taken by something that does not speak the protocol; whether it counts is open.
                (Outcome::Timeout, None)
            }),
            other => (other, None),
        };
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        let now = self.now();
        let (outcome, news) = match news {
            // What an older controller counts, counts nowhere.
            Some((_, fence)) if fence < self.release_fence => (Outcome::Error, None),
            Some((news, fence)) => {
                self.release_fence = fence;
                (outcome, Some(news))
            }
            None => (outcome, None),
        };
        self.engine.on_vote_reply(now, outcome, news);
    }

    fn list_failed(&mut self, why: &str) {
        tracing::warn!("roster: {why}");
        let now = self.now();
        self.engine.on_server_list(now, ListKind::Failed, &[]);
    }

    pub(super) fn call_timeout(&mut self, id: ConnectionId) {
        let ConnectionId { key, generation } = id;
        let now = self.now();
        let (timers, silence) = (&mut self.timers, self.settings.desk_silence);
        if let Some(call) =
            self.calls.get_mut(key).filter(|c| c.generation == generation && c.what == For::News)
        {
            if std::mem::take(&mut call.heard) {
                return timers.set(
                    now + silence.unwrap_or(0).max(10_000),
                    TimerKind::Call(ConnectionId { key, generation }),
                );
            }
            return self.call_ended(key, "silent for too long");
        }
        let late = self.calls.get(key).is_some_and(|c| c.generation == generation && !c.answered);
        if late {
            self.call_ended(key, "no answer in time");
        }
    }

    /// Ends the streams from the roster and the desk: they are a successor's now.
    pub(super) fn leave_site(&mut self) {
        let streams = [self.watch.take(), self.release_stream.take()];
        streams.into_iter().flatten().for_each(|key| self.close_call(key));
    }

    fn close_call(&mut self, key: usize) {
        if self.calls.contains(key) {
            self.calls.remove(key).socket.remove(&self.handle);
        }
    }

    /// The call is over: says so to whoever waits for it.
    fn call_ended(&mut self, key: usize, why: &str) {
        let Some(call) = self.calls.get(key) else { return };
        let (what, answered, written) = (call.what, call.answered, call.written);
        self.close_call(key);
        match what {
            For::Watch => {
                // A newer subscription may have taken its place.
                if self.watch == Some(key) {
                    self.watch = None;
                    self.list_failed(why);
                }
            }
            For::Fetch if !answered => self.list_failed(why),
            For::Fetch => {}
            For::News => {
                tracing::warn!("desk: {why}");
                self.on_release_stream_lost();
            }
            For::Vote if !answered => {
                let may_count = written && why != "not accepted";
                self.vote_ended(if may_count { Outcome::Timeout } else { Outcome::Error }, &[]);
            }
            For::Vote => {}
        }
    }

    /// The list held before a restart. Ages count on over the restart by the wall clock; should that have
    /// gone back, servers look younger than they are, which is the safe side.
    pub(super) fn saved_roster(&mut self) -> Option<roster::Message> {
        let path = self.settings.state_dir.as_ref()?.join(self.roster_file());
        let bytes = std::fs::read(&path).ok()?;
        let mut lines = bytes.splitn(2, |b| *b == b'\n');
        let (saved_at, list) = (lines.next()?, lines.next()?);
        let saved_at = std::str::from_utf8(saved_at).ok().and_then(|t| t.parse::<u64>().ok());
        match (saved_at, roster::Message::parse(list.trim_ascii_end())) {
            (Some(saved_at), Ok(mut message)) => {
                let since = wall_clock().saturating_sub(saved_at);
                for line in &mut message.servers {
                    line.age_us = line.age_us.map(|age| age.saturating_add(since));
                }
                let now = self.now();
                let kept = message.servers.iter().map(|l| (l.id, (now, l.clone())));
                self.roster_lines = kept.collect();
                Some(message)
            }
            (_, Err(fault)) => {
                tracing::warn!("saved roster ignored: {fault}");
                None
            }
            (None, _) => {
                tracing::warn!("saved roster ignored: no time of saving");
                None
            }
        }
    }

    fn roster_file(&self) -> String {
        format!("roster-{}.json", self.settings.decisions.position)
    }

    /// Saves the list for a restart: written aside and renamed, so that a crash leaves the old or the new.
    pub(super) fn save_roster(&mut self) {
        let now = self.now();
        let Some(folder) = &self.settings.state_dir else { return };
        let grown = |(heard, line): &(Micros, roster::Line)| roster::Line {
            age_us: line.age_us.map(|age| age + now.saturating_sub(*heard)),
            ..line.clone()
        };
        let servers = self.roster_lines.values().map(grown).collect();
        let version = self.roster.version().unwrap_or(0);
        let message = roster::Message { kind: roster::Kind::Full, version, base: 0, servers };
        let mut bytes = format!("{}\n", wall_clock()).into_bytes();
        bytes.extend(message.write());
        let (path, aside) = (folder.join(self.roster_file()), folder.join(self.roster_file() + ".new"));
        let saved = std::fs::write(&aside, bytes).and_then(|()| std::fs::rename(&aside, &path));
        if let Err(e) = saved
            && self.log_limit.allows(now)
        {
            tracing::warn!("roster not saved: {e}");
        }
    }
}
