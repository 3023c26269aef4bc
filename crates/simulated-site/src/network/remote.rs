//! A release controller in the desk's place: what it tells goes on to the proxies, their votes go to it, and the
//! machines here are the platform that it directs.
//!
//! The controller is another process and may be gone for a while. Its watches and calls are made by threads
//! with plain blocking sockets; the site's loop only takes what they heard.

use super::NetworkError;
use crate::model::release_service::{BuildOutcome, ServerCommand};
use crate::scenario::Rollout;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use violetseam_site_protocol::placement::{DesiredBuilds, PlaceReport, PlaceStateName, write_reports};
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate, Vote, VoteReply};

/// Threads that carry votes.
const CARRIERS: usize = 8;
/// Silence after which a watch is opened again.
const SILENCE: Duration = Duration::from_secs(2);
/// Between two tries to reach the controller.
const AGAIN: Duration = Duration::from_millis(50);

enum Heard {
    ReleaseUpdate(ReleaseUpdate),
    DesiredBuilds(DesiredBuilds),
    Reply(u64, Option<VoteReply>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Booting(u64),
    Running,
    Draining(u64),
}

struct Machine {
    place: u32,
    build: u16,
    life: Life,
}

/// The link to a controller, and the platform's machines.
pub struct Remote {
    plan: Rollout,
    heard: Receiver<Heard>,
    to_carriers: Sender<(u64, Vec<u8>)>,
    to_reporter: Sender<Vec<PlaceReport>>,
    stop: Arc<AtomicBool>,
    news: ReleaseUpdate,
    wanted: BTreeSet<(u32, u16)>,
    machines: BTreeMap<u64, Machine>,
    next_machine: u64,
    replies: VecDeque<(u64, Option<VoteReply>)>,
    /// What became of each build.
    pub outcomes: Vec<BuildOutcome>,
}

impl Drop for Remote {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, SILENCE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE))?;
    Ok(stream)
}

fn spawn_thread(name: &'static str, body: impl FnOnce() + Send + 'static) -> Result<(), NetworkError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(body);
    spawned.map(drop).map_err(|source| NetworkError::Thread { name, source })
}

/// Reads a watch, line by line, until it breaks.
fn watch(addr: SocketAddr, path: &str, line_heard: &dyn Fn(&[u8])) -> std::io::Result<()> {
    let mut stream = connect(addr)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 || line.starts_with("HTTP/1.1 5") {
            return Ok(());
        }
        // Between the lines of JSON are those of the chunks.
        if line.starts_with('{') {
            line_heard(line.trim_end().as_bytes());
        }
    }
}

/// Posts a body; the answer's, if it was accepted.
fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    let mut stream = connect(addr).ok()?;
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    answer.starts_with(b"HTTP/1.1 200").then(|| answer.split_off(end))
}

/// Starts the thread that reports places: in order, and each until it was taken, as the controller may be gone for a
/// while.
fn spawn_reporter(addr: SocketAddr, stop: Arc<AtomicBool>) -> Result<Sender<Vec<PlaceReport>>, NetworkError> {
    let (to_reporter, reports) = channel::<Vec<PlaceReport>>();
    spawn_thread("reports", move || {
        while let Ok(report) = reports.recv() {
            let body = write_reports(&report);
            while post(addr, "/v1/places", &body).is_none() && !stop.load(Ordering::Relaxed) {
                std::thread::sleep(AGAIN);
            }
        }
    })?;
    Ok(to_reporter)
}

impl Remote {
    /// A link to the controller at an address; all places run the first build, machines 1, 2 and so on.
    pub fn start(addr: SocketAddr, plan: Rollout, places: usize) -> Result<Remote, NetworkError> {
        let (tell, heard) = channel();
        let stop = Arc::new(AtomicBool::new(false));
        for path in ["/v1/stage/watch?proxy=platform", "/v1/places/watch"] {
            let (tell, stop) = (tell.clone(), stop.clone());
            spawn_thread("watch", move || {
                while !stop.load(Ordering::Relaxed) {
                    let _ = watch(addr, path, &|line| {
                        let news = ReleaseUpdate::from_json(line).map(Heard::ReleaseUpdate).ok();
                        let wanted = || DesiredBuilds::parse(line).map(Heard::DesiredBuilds).ok();
                        let _ = news.or_else(wanted).map(|heard| tell.send(heard));
                    });
                    std::thread::sleep(AGAIN);
                }
            })?;
        }
        let (to_carriers, votes) = channel::<(u64, Vec<u8>)>();
        let votes = Arc::new(Mutex::new(votes));
        for _ in 0..CARRIERS {
            let (tell, votes) = (tell.clone(), votes.clone());
            spawn_thread("votes", move || {
                loop {
                    let next = votes.lock().unwrap_or_else(PoisonError::into_inner).recv();
                    let Ok((token, body)) = next else { return };
                    let reply = post(addr, "/v1/vote", &body).and_then(|r| VoteReply::from_json(&r).ok());
                    if tell.send(Heard::Reply(token, reply)).is_err() {
                        return;
                    }
                }
            })?;
        }
        let to_reporter = spawn_reporter(addr, stop.clone())?;
        let build = plan.first_build;
        let running =
            |place: usize| (place as u64 + 1, Machine { place: place as u32, build, life: Life::Running });
        let machines: BTreeMap<u64, Machine> = (0..places).map(running).collect();
        let all =
            machines.values().map(|m| PlaceReport { place: m.place, build, state: PlaceStateName::Running });
        let _ = to_reporter.send(all.collect());
        Ok(Remote {
            news: ReleaseUpdate { build, stage: 0, phase: PhaseName::Released, cap: 1.0, fence: 0 },
            plan,
            heard,
            to_carriers,
            to_reporter,
            stop,
            wanted: BTreeSet::new(),
            next_machine: places as u64 + 1,
            machines,
            replies: VecDeque::new(),
            outcomes: Vec::new(),
        })
    }

    /// The latest news.
    pub fn news(&self) -> ReleaseUpdate {
        self.news
    }

    /// Takes what was heard, and lets the platform do what is wanted.
    pub fn advance(&mut self, now: u64, out: &mut Vec<ServerCommand>) {
        while let Ok(heard) = self.heard.try_recv() {
            match heard {
                Heard::ReleaseUpdate(news) if news.fence >= self.news.fence => self.heard_news(now, news),
                Heard::DesiredBuilds(wanted)
                    if wanted.fence >= self.news.fence && !wanted.builds.is_empty() =>
                {
                    self.wanted = wanted.builds.into_iter().collect();
                }
                Heard::Reply(token, reply) => self.replies.push_back((token, reply)),
                Heard::ReleaseUpdate(_) | Heard::DesiredBuilds(_) => {}
            }
        }
        let mut reports = Vec::new();
        self.tend(now, out, &mut reports);
        self.reconcile(now, out, &mut reports);
        if !reports.is_empty() {
            let _ = self.to_reporter.send(reports);
        }
    }

    fn heard_news(&mut self, now: u64, news: ReleaseUpdate) {
        let before = std::mem::replace(&mut self.news, news);
        if news.build != before.build {
            self.outcomes.push(BuildOutcome {
                build: news.build,
                offered_at: now,
                released_at: None,
                rolled_back_at: None,
            });
        }
        let Some(fate) = self.outcomes.last_mut().filter(|f| f.build == news.build) else { return };
        match news.phase {
            PhaseName::Released => fate.released_at = fate.released_at.or(Some(now)),
            PhaseName::RollingBack | PhaseName::Withdrawn => {
                fate.rolled_back_at = fate.rolled_back_at.or(Some(now))
            }
            PhaseName::Trial => {}
        }
    }

    /// Boots end, drains end.
    fn tend(&mut self, now: u64, out: &mut Vec<ServerCommand>, reports: &mut Vec<PlaceReport>) {
        let mut gone = Vec::new();
        for (&machine, m) in &mut self.machines {
            match m.life {
                Life::Booting(at) if at <= now => {
                    m.life = Life::Running;
                    out.push(ServerCommand::Start {
                        server: machine,
                        place: m.place as usize,
                        build: m.build,
                    });
                    reports.push(PlaceReport {
                        place: m.place,
                        build: m.build,
                        state: PlaceStateName::Running,
                    });
                }
                Life::Draining(at) if at <= now => gone.push(machine),
                _ => {}
            }
        }
        for machine in gone {
            if let Some(m) = self.machines.remove(&machine) {
                out.push(ServerCommand::Stop { server: machine });
                reports.push(PlaceReport { place: m.place, build: m.build, state: PlaceStateName::Gone });
            }
        }
    }

    /// Starts what is wanted and missing, drains what is not wanted.
    fn reconcile(&mut self, now: u64, out: &mut Vec<ServerCommand>, reports: &mut Vec<PlaceReport>) {
        if self.wanted.is_empty() {
            return;
        }
        let stays = |m: &&Machine| !matches!(m.life, Life::Draining(_));
        let there: BTreeSet<(u32, u16)> =
            self.machines.values().filter(stays).map(|m| (m.place, m.build)).collect();
        for &(place, build) in self.wanted.difference(&there) {
            let life = Life::Booting(now + self.plan.startup_time);
            self.machines.insert(self.next_machine, Machine { place, build, life });
            self.next_machine += 1;
            reports.push(PlaceReport { place, build, state: PlaceStateName::Starting });
        }
        let mut dropped = Vec::new();
        for (&machine, m) in &mut self.machines {
            if self.wanted.contains(&(m.place, m.build)) {
                continue;
            }
            match m.life {
                // It was never there for anybody.
                Life::Booting(_) => dropped.push(machine),
                Life::Running => {
                    m.life = Life::Draining(now + self.plan.drain_time);
                    out.push(ServerCommand::Drain { server: machine });
                    reports.push(PlaceReport {
                        place: m.place,
                        build: m.build,
                        state: PlaceStateName::Draining,
                    });
                }
                Life::Draining(_) => {}
            }
        }
        for machine in dropped {
            if let Some(m) = self.machines.remove(&machine) {
                reports.push(PlaceReport { place: m.place, build: m.build, state: PlaceStateName::Gone });
            }
        }
    }

    /// Sends a vote on; its reply comes with [`Remote::reply`] under the token.
    pub fn vote(&self, token: u64, vote: &Vote) {
        let _ = self.to_carriers.send((token, vote.write()));
    }

    /// A vote's reply, if one came; none in it: the controller could not be reached.
    pub fn reply(&mut self) -> Option<(u64, Option<VoteReply>)> {
        self.replies.pop_front()
    }
}
