//! HTTP of the site: connections to servers, to the roster and to the release desk.

use super::site::Releases;
use super::site::{Site, rule_state};
use crate::day::{Effect, Kind, Trouble};
use crate::model::server::{Job, Reply};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use violetseam_audit::record::{Call, State as RuleState};
use violetseam_audit::{Arrival, End, Record};
use violetseam_http1::server::{ServerConn, ServerEvent};
use violetseam_http1::{Framing, Limits, RequestHead};
use violetseam_loopio::{Got, Socket};
use violetseam_site::desk::{News, Vote, VoteOutcome, VoteReply};
use violetseam_site::roster::{Kind as ListKind, Message};

/// Names the client's request to the servers.
pub const REQUEST: &str = "x-lab-request";
/// The request's true work, in microseconds of a standard core.
pub const WORK: &str = "x-lab-work-us";
/// The request's class, by index.
pub const CLASS: &str = "x-lab-class";
/// On an answer: nobody but the stand-ins can tell that it is wrong.
pub const WRONG: &str = "x-lab-wrong";
/// On an answer: the build that gave it.
pub const BUILD: &str = "x-lab-build";
/// On a 503: the request was not run.
pub const NOT_RUN: &str = "x-not-run";
/// The request's key.
pub const KEY: &str = "idempotency-key";

/// What a connection is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Server(u64),
    Roster,
    Desk,
}

pub(super) struct Conn {
    generation: u64,
    role: Role,
    socket: Socket,
    http: ServerConn,
    head: Option<Box<RequestHead>>,
    body: Vec<u8>,
    /// The attempt that is out on it.
    job: Option<u64>,
    /// It is an endless answer to this proxy: what was told last, and when.
    stream: Option<(u32, Option<News>, u64)>,
    /// Who sent the last request on it to a server.
    sender: Option<u32>,
    /// Nothing of it arrives any more, either way.
    severed: bool,
}

#[derive(Clone, Debug)]
enum Later {
    /// A vote's reply.
    Reply(usize, u64, Vec<u8>),
    /// A connection is read only now.
    Read(usize, u64),
}

/// What the connections keep: attempts out, watches, things to be done later.
#[derive(Default)]
pub(super) struct Kept {
    generation: u64,
    next_job: u64,
    /// Connections by attempt.
    jobs: HashMap<u64, usize>,
    /// Each proxy's latest watch.
    watches: BTreeMap<u32, usize>,
    later: BTreeMap<(u64, u64), Later>,
    /// Votes that the controller has: who waits for the reply.
    votes: HashMap<u64, (Option<(usize, u64)>, Vote)>,
}

impl Kept {
    pub fn due(&self) -> Option<u64> {
        self.later.keys().next().map(|k| k.0)
    }

    fn at(&mut self, at: u64, what: Later) {
        self.generation += 1;
        self.later.insert((at, self.generation), what);
    }
}

fn number(head: &RequestHead, name: &str) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The proxy that sent a request: the last number of its `Via`.
fn proxy_of(head: &RequestHead) -> u32 {
    let via = head.headers.get_all("via").into_iter().next_back().and_then(|v| v.to_str().ok()).unwrap_or("");
    via.rsplit('-').next().and_then(|n| n.trim().parse().ok()).unwrap_or(u32::MAX)
}

/// A key as a number: the number it is, or one that stands for its text.
pub(super) fn key_of(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| text.bytes().fold(7, |h: u64, b| h.wrapping_mul(31) + u64::from(b)))
}

impl Site {
    pub(super) fn listen_http(&mut self, addr: SocketAddr, role: Role) -> std::io::Result<()> {
        let source = Generic::new(violetseam_loopio::listen(addr, 1024)?, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, move |_, listener, site: &mut Site| {
                while let Ok((stream, _)) = listener.accept() {
                    site.add_conn(stream, role);
                }
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(())
    }

    pub(super) fn accept_server(&mut self, machine: u64, listener: &TcpListener) {
        let role = Role::Server(machine);
        let most = self.machines.get(&machine).map_or(0, |m| m.server.spec.connections);
        loop {
            let open = self.conns.iter().filter(|(_, c)| c.role == role).count();
            if open >= most {
                // Full: more wait in the kernel, and their senders run out of patience. The listener is
                // looked at again when a connection closes.
                if let Some((_, token)) = self.machines.get(&machine).and_then(|m| m.listener.as_ref()) {
                    let _ = self.handle.disable(token);
                }
                return;
            }
            let Ok((stream, _)) = listener.accept() else { return };
            self.add_conn(stream, role);
        }
    }

    fn add_conn(&mut self, stream: TcpStream, role: Role) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        self.kept.generation += 1;
        let generation = self.kept.generation;
        let slow = self.active(Kind::HandshakeSlow).filter(|_| matches!(role, Role::Server(_)));
        let wait = slow.map(|t| (t.size * 1e3) as u64);
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let interest = if wait.is_some() { Interest::EMPTY } else { Interest::READ };
        let on_ready = move |readiness: Readiness, site: &mut Site| site.on_conn(key, readiness);
        let Ok(socket) = Socket::register(&self.handle, stream, interest, on_ready) else { return };
        let http = ServerConn::new(Limits::default());
        entry.insert(Conn {
            generation,
            role,
            socket,
            http,
            head: None,
            body: Vec::new(),
            job: None,
            stream: None,
            sender: None,
            severed: false,
        });
        if let Some(wait) = wait {
            self.kept.at(self.clock.now() + wait, Later::Read(key, generation));
        }
    }

    fn on_conn(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush(key);
        }
        if !(readiness.readable || readiness.error) {
            return;
        }
        let mut bytes = [0; 16 * 1024];
        let Some(conn) = self.conns.get_mut(key) else { return };
        match conn.socket.read(&mut bytes) {
            Got::Bytes(_) if conn.severed => {}
            Got::Bytes(n) => {
                conn.http.feed(&bytes[..n]);
                self.events(key);
            }
            Got::Nothing => {}
            Got::Closed | Got::Broken => self.close(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key).filter(|conn| !conn.severed) {
            match conn.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    let proxy = proxy_of(&head);
                    conn.head = Some(head);
                    conn.body.clear();
                    if let Role::Server(machine) = conn.role {
                        conn.sender = Some(proxy);
                        if self.out_of_reach(proxy, machine) {
                            return self.sever(key);
                        }
                        self.arrived(key, machine);
                    }
                }
                Some(ServerEvent::Body(bytes)) => conn.body.extend_from_slice(&bytes),
                Some(ServerEvent::End) => match conn.role {
                    Role::Server(machine) => self.serve(key, machine),
                    Role::Roster => self.serve_roster(key),
                    Role::Desk => self.serve_desk(key),
                },
                Some(ServerEvent::Fault(_)) => return self.close(key),
            }
        }
    }

    /// From now on nothing of a connection arrives. The other side learns of that by its own time-out, and its end of
    /// the connection is still seen, so that nothing of it stays open.
    fn sever(&mut self, key: usize) {
        if let Some(conn) = self.conns.get_mut(key) {
            (conn.severed, conn.head) = (true, None);
        }
    }

    /// Servers can be reached again: what was severed is closed, as its bytes are lost.
    pub(super) fn end_unreachable(&mut self) {
        let severed: Vec<usize> = self.conns.iter().filter(|(_, c)| c.severed).map(|(k, _)| k).collect();
        severed.into_iter().for_each(|key| self.close(key));
    }

    /// Proxies are cut off from the roster or the desk: their endless answers end.
    pub(super) fn cut_streams(&mut self, trouble: &Trouble) {
        let role = if trouble.kind == Kind::RosterCut { Role::Roster } else { Role::Desk };
        let cut = |c: &Conn| c.role == role && c.stream.is_some_and(|s| trouble.on.contains(&(s.0 as usize)));
        let cut: Vec<usize> = self.conns.iter().filter(|(_, c)| cut(c)).map(|(k, _)| k).collect();
        cut.into_iter().for_each(|key| self.close(key));
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.socket.flush().is_err() {
            return self.close(key);
        }
        conn.socket.want(&self.handle, true);
    }

    fn close(&mut self, key: usize) {
        if !self.conns.contains(key) {
            return;
        }
        let conn = self.conns.remove(key);
        conn.socket.remove(&self.handle);
        if let Some(job) = conn.job {
            self.kept.jobs.remove(&job);
            self.see_end(job, End::Lost);
        }
        if let Role::Server(machine) = conn.role
            && let Some(m) = self.machines.get_mut(&machine)
        {
            if let Some(job) = conn.job {
                m.server.cancel(self.clock.now(), job);
            }
            if let Some((_, token)) = m.listener.as_ref().filter(|_| !m.silent) {
                let _ = self.handle.enable(token);
            }
        }
        if let (Role::Roster, Some((proxy, ..))) = (conn.role, conn.stream)
            && self.kept.watches.get(&proxy) == Some(&key)
        {
            self.kept.watches.remove(&proxy);
            self.see(Record::Called { proxy, call: Call::WatchLost });
        }
    }

    pub(super) fn close_connections_of(&mut self, machine: u64) {
        let of = |c: &Conn| c.role == Role::Server(machine);
        let keys: Vec<usize> = self.conns.iter().filter(|(_, c)| of(c)).map(|(k, _)| k).collect();
        keys.into_iter().for_each(|key| self.close(key));
    }

    /// A machine is cut off: it answers nobody, and nobody hears that it is gone. What it held ends there
    /// for the records, as from then on it cannot see a cancel. When it is back, nothing that was sent to it
    /// meanwhile has arrived: old connections close unread.
    pub(super) fn set_silent(&mut self, machine: u64, silent: bool) {
        let now = self.clock.now();
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.silent = silent;
        let listener = m.listener.clone();
        if !silent {
            if let Some((listener, token)) = listener {
                while listener.accept().is_ok() {}
                let _ = self.handle.enable(&token);
            }
            return self.close_connections_of(machine);
        }
        if let Some((_, token)) = &listener {
            let _ = self.handle.disable(token);
        }
        let mut jobs = Vec::new();
        for (_, conn) in self.conns.iter_mut().filter(|(_, c)| c.role == Role::Server(machine)) {
            conn.socket.want(&self.handle, false);
            jobs.extend(conn.job.take());
        }
        for job in jobs {
            self.kept.jobs.remove(&job);
            self.see_end(job, End::Lost);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.server.cancel(now, job);
            }
        }
    }

    pub(super) fn open_requests(&self) -> usize {
        self.kept.jobs.len()
    }

    /// An attempt's head has come: from here on it may run.
    fn arrived(&mut self, key: usize, machine: u64) {
        self.kept.next_job += 1;
        let job = self.kept.next_job;
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = Some(job);
        let Some(head) = &conn.head else { return };
        let (proxy, request) = (proxy_of(head), number(head, REQUEST).unwrap_or(0));
        let class = number(head, CLASS).unwrap_or(0) as usize;
        let key_text = head.headers.get(KEY).and_then(|v| v.to_str().ok());
        let (request_key, work) = (key_text.map_or(0, key_of), number(head, WORK).unwrap_or(0));
        self.kept.jobs.insert(job, key);
        let Some(m) = self.machines.get(&machine) else { return };
        let (build, spec) = (m.server.build.number, &m.server.spec);
        let newest = build > self.day.rollout.first_build && build == self.desk.news().build;
        self.lately = (self.lately.0 + f64::from(u8::from(newest)), self.lately.1 + 1.0);
        let arrival = Arrival {
            number: job,
            request,
            proxy,
            server: machine,
            build,
            place: (spec.zone, spec.cell),
            class,
            key: request_key,
            work,
        };
        self.see(Record::Arrived(arrival));
    }

    fn serve(&mut self, key: usize, machine: u64) {
        let now = self.clock.now();
        let contract = (self.day.contract.fall_multiple, self.day.contract.fall_span);
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (Some(job), Some(head)) = (conn.job, conn.head.take()) else { return };
        let class = (number(&head, CLASS).unwrap_or(0) as usize).min(self.day.classes.len() - 1);
        let key_text = head.headers.get(KEY).and_then(|v| v.to_str().ok());
        let request_key = key_text.map_or(0, key_of);
        let work = number(&head, WORK).unwrap_or(1_000) as f64;
        let Some(m) = self.machines.get_mut(&machine) else { return };
        if m.draining {
            return self.reply(job, Reply::NotRun);
        }
        let spec = &self.day.classes[class];
        let group = match spec.effect {
            Effect::KeyedAll => Some(0),
            Effect::KeyedZone => Some(1 + u32::from(m.server.spec.zone)),
            Effect::KeyedCell => Some(100_000 + u32::from(m.server.spec.cell)),
            Effect::Safe | Effect::Unsafe => None,
        };
        let memory = group.filter(|_| request_key != 0).map(|g| self.memories.entry(g).or_default());
        let repeat = memory.is_some_and(|m| m.is_repeat(now, class, request_key, spec.window));
        let job_is = Job { id: job, class, key: request_key, work };
        if let Some(reply) = m.server.arrive(now, job_is, repeat, contract, &mut self.rng) {
            self.reply(job, reply);
        }
    }

    /// A server's reply goes out, if its connection is still there.
    pub(super) fn reply(&mut self, job: u64, reply: Reply) {
        let Some(key) = self.kept.jobs.remove(&job) else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = None;
        let (Role::Server(machine), sender) = (conn.role, conn.sender) else { return };
        let build = self.machines.get(&machine).map_or(0, |m| m.server.build.number).to_string();
        let mut fields = vec![(HeaderName::from_static(BUILD), build.as_bytes())];
        let (status, end) = match reply {
            Reply::Ok { wrong } => {
                if wrong {
                    fields.push((HeaderName::from_static(WRONG), b"1"));
                }
                self.report.replies[0] += 1;
                (StatusCode::OK, End::Ok)
            }
            Reply::Error => {
                self.report.replies[1] += 1;
                (StatusCode::INTERNAL_SERVER_ERROR, End::Error)
            }
            Reply::NotRun => {
                fields.push((HeaderName::from_static(NOT_RUN), b"1"));
                self.report.replies[2] += 1;
                (StatusCode::SERVICE_UNAVAILABLE, End::NotRun)
            }
        };
        self.see_end(job, end);
        if sender.is_some_and(|proxy| self.out_of_reach(proxy, machine)) {
            // The server has answered; the answer is lost on the way.
            return self.sever(key);
        }
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (out, none) = (conn.socket.out(), HeaderMap::new());
        conn.http.start_answer(out, status, &none, &fields, Framing::Length(3), false);
        conn.http.write_body(out, b"ok\n");
        conn.http.finish_answer(out);
        self.flush(key);
        self.events(key);
    }

    fn serve_roster(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let Some(head) = conn.head.take() else { return };
        let query = |name: &str| -> Option<u64> {
            let (_, query) = head.target.split_once('?')?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (proxy, since) = (query("proxy").unwrap_or(u64::from(u32::MAX)) as u32, query("since"));
        let watch = head.target.starts_with("/v1/roster/watch");
        if self.active(Kind::RosterLost).is_some() || self.cut_off(Kind::RosterCut, proxy) {
            // Never answered; the caller gives up.
            return self.see(Record::Called { proxy, call: Call::Failed });
        }
        if self.active(Kind::RosterGarbage).is_some() {
            self.see(Record::Called { proxy, call: Call::Failed });
            return self.stream(key, &[b"{\"kind\":\"full\",\"version\":", &b"7,]\n"[..]].concat(), true);
        }
        let delta = since.filter(|_| watch).map(|base| {
            let none = Message { kind: ListKind::Delta, version: base, base, servers: Vec::new() };
            self.roster.since(now, base).unwrap_or(none)
        });
        let mut message = delta.unwrap_or_else(|| self.roster.full(now));
        if self.active(Kind::RosterBack).is_some() {
            message = Message { version: 1, ..self.roster.full(now) };
        }
        self.see(Record::Called { proxy, call: if watch { Call::Watch } else { Call::Fetch } });
        self.see_told(proxy, &message);
        self.stream(key, &message.write(), !watch);
        if watch {
            let version = message.version;
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, None, version));
                self.kept.watches.insert(proxy, key);
            }
        }
    }

    fn see_told(&mut self, proxy: u32, message: &Message) {
        for line in &message.servers {
            let started = self.roster.started(line.id);
            let state = rule_state(line.state);
            self.see(Record::Told { proxy, server: line.id, state, started });
        }
        if message.kind == ListKind::Full {
            // Who is absent from a whole list has left.
            let there: Vec<u64> = message.servers.iter().map(|l| l.id).collect();
            let gone: Vec<u64> = (1..=self.machines.keys().next_back().copied().unwrap_or(0)).collect();
            for server in gone.into_iter().filter(|id| !there.contains(id)) {
                self.see(Record::Told { proxy, server, state: RuleState::Gone, started: None });
            }
        }
    }

    /// Starts an answer of lines; `whole`: it ends with them.
    fn stream(&mut self, key: usize, lines: &[u8], whole: bool) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (out, none) = (conn.socket.out(), HeaderMap::new());
        let framing = if whole { Framing::Length(lines.len() as u64) } else { Framing::Chunked };
        conn.http.start_answer(out, StatusCode::OK, &none, &[], framing, false);
        conn.http.write_body(out, lines);
        if whole {
            conn.http.finish_answer(out);
        }
        self.flush(key);
    }

    fn stream_more(&mut self, key: usize, line: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.http.write_body(conn.socket.out(), line);
        self.flush(key);
    }

    /// What changed goes to those who watch.
    pub(super) fn tell_roster(&mut self, now: u64) {
        if self.active(Kind::RosterLost).is_some() || self.active(Kind::RosterBack).is_some() {
            return;
        }
        let watches: Vec<(u32, usize)> = self.kept.watches.iter().map(|(p, k)| (*p, *k)).collect();
        for (proxy, key) in watches {
            let Some((_, _, held)) = self.conns.get(key).and_then(|c| c.stream) else { continue };
            let Some(message) = self.roster.since(now, held) else { continue };
            self.see_told(proxy, &message);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, None, message.version));
            }
            self.stream_more(key, &message.write());
        }
    }

    /// A trouble of the roster begins.
    pub(super) fn trouble_roster(&mut self, kind: Kind) {
        let now = self.clock.now();
        let watches: Vec<usize> = self.kept.watches.values().copied().collect();
        for key in watches {
            match kind {
                Kind::RosterGarbage => self.stream_more(key, b"\xff\xfe not a list\n"),
                Kind::RosterBack => {
                    let old = Message { version: 1, ..self.roster.full(now) };
                    self.stream_more(key, &old.write());
                }
                _ => self.close(key),
            }
        }
    }

    fn serve_desk(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let Some(head) = conn.head.take() else { return };
        let body = std::mem::take(&mut conn.body);
        let generation = conn.generation;
        if head.method == Method::POST {
            let reply = self.vote(now, key, generation, &body);
            if let Some(reply) = reply {
                self.kept.at(now + self.day.rollout.call, Later::Reply(key, generation, reply.write()));
            }
            return;
        }
        let proxy = head.target.split_once("proxy=").and_then(|(_, n)| n.parse().ok()).unwrap_or(u32::MAX);
        if self.cut_off(Kind::DeskCut, proxy) {
            return;
        }
        let news = self.news_told(now);
        self.see_news(proxy, news);
        self.stream(key, &news.write(), false);
        if let Some(conn) = self.conns.get_mut(key) {
            conn.stream = Some((proxy, Some(news), now));
        }
    }

    /// A vote; no reply while the desk is silent, though half of them count.
    fn vote(&mut self, now: u64, key: usize, generation: u64, body: &[u8]) -> Option<VoteReply> {
        let vote = match Vote::parse(body) {
            Ok(vote) => vote,
            Err(_) => return Some(VoteReply { outcome: VoteOutcome::Error, news: None }),
        };
        if self.cut_off(Kind::DeskCut, vote.proxy as u32) {
            return None;
        }
        let silent = self.active(Kind::DeskSilent).is_some();
        if silent && self.rng.random::<f64>() < 0.5 {
            return None;
        }
        if self.active(Kind::DeskErrors).is_some() {
            return Some(VoteReply { outcome: VoteOutcome::Error, news: None });
        }
        let outcome = match &mut self.desk {
            Releases::StandIn(desk) => desk.vote(now, &vote),
            Releases::Controller(remote) => {
                self.kept.generation += 1;
                let token = self.kept.generation;
                let waits = (!silent).then_some((key, generation));
                self.kept.votes.insert(token, (waits, vote));
                remote.vote(token, &vote);
                return None;
            }
        };
        if outcome == VoteOutcome::Ok {
            *self.report.votes.entry(vote.proxy).or_default() += 1;
            let Vote { proxy, build, stage, verdict } = vote;
            let _ = self.say.send(format!("proxy {proxy} votes {verdict:?} on build {build}, stage {stage}"));
        }
        let news = (outcome == VoteOutcome::Ok).then(|| self.desk.news());
        if let Some(news) = news.filter(|_| !silent) {
            self.see_news(vote.proxy as u32, news);
        }
        (!silent).then_some(VoteReply { outcome, news })
    }

    /// Replies of the controller's go on to the proxies that wait for them.
    pub(super) fn pass_replies(&mut self, now: u64) {
        while let Releases::Controller(remote) = &mut self.desk
            && let Some((token, reply)) = remote.reply()
        {
            let Some((waits, vote)) = self.kept.votes.remove(&token) else { continue };
            // Out of reach: the proxy hears nothing, and whether its vote counts is open.
            let Some(mut reply) = reply else { continue };
            if reply.outcome == VoteOutcome::Ok {
                *self.report.votes.entry(vote.proxy).or_default() += 1;
                let Vote { proxy, build, stage, verdict } = vote;
                let _ =
                    self.say.send(format!("proxy {proxy} votes {verdict:?} on build {build}, stage {stage}"));
            }
            let Some((key, generation)) = waits else { continue };
            // All news are equally late here: a reply ahead of the stream would be followed by older news.
            reply.news = reply.news.map(|_| self.news_told(now));
            if let Some(news) = reply.news {
                self.see_news(vote.proxy as u32, news);
            }
            self.kept.at(now, Later::Reply(key, generation, reply.write()));
        }
    }

    /// News go to each proxy when they change, and again now and then.
    pub(super) fn tell_news(&mut self, now: u64) {
        if self.active(Kind::DeskSilent).is_some() {
            return;
        }
        let (news, push) = (self.news_told(now), self.day.rollout.push);
        let due = |c: &Conn| {
            let told = c.stream.filter(|_| c.role == Role::Desk);
            told.filter(|(_, last, at)| *last != Some(news) || now >= at + push).map(|t| t.0)
        };
        let due: Vec<(usize, u32)> = self.conns.iter().filter_map(|(k, c)| Some((k, due(c)?))).collect();
        for (key, proxy) in due {
            self.see_news(proxy, news);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, Some(news), now));
            }
            self.stream_more(key, &news.write());
        }
    }

    pub(super) fn play_kept(&mut self, now: u64) {
        while let Some((&at, _)) = self.kept.later.first_key_value().filter(|(k, _)| k.0 <= now) {
            let Some(later) = self.kept.later.remove(&at) else { return };
            let fresh =
                |key: usize, generation| self.conns.get(key).is_some_and(|c| c.generation == generation);
            match later {
                Later::Reply(key, generation, body) if fresh(key, generation) => {
                    self.stream(key, &body, true);
                }
                Later::Read(key, generation) if fresh(key, generation) => {
                    self.conns[key].socket.want(&self.handle, true);
                }
                Later::Reply(..) | Later::Read(..) => {}
            }
        }
    }
}
