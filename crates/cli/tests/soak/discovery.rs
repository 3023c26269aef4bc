//! The discovery of a soak: one list for all proxies, told to each at addresses of its own, so that it is known who was
//! told what and when. It declines, falls silent, closes, and cuts its answers.

use super::common::platform::line;
use super::common::services::{DECLINED, reset, watch_of};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Good,
    /// Declines at once.
    Declines,
    /// Declines after a wait.
    Crowded,
    Silent,
    Closes,
    /// Resets after a wait.
    Resets,
    /// Writes the first half of each answer and closes.
    Cuts,
}

pub const MOODS: [Mood; 6] =
    [Mood::Declines, Mood::Crowded, Mood::Silent, Mood::Closes, Mood::Resets, Mood::Cuts];
const CROWDED_WAIT: Duration = Duration::from_millis(300);
const LOOK: Duration = Duration::from_millis(5);

/// A server's place in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Gone,
}

/// Since when a server takes nothing new, until when.
#[derive(Clone, Debug)]
pub struct Away {
    pub server: usize,
    pub since: Instant,
    pub until: Option<Instant>,
    /// When each proxy was told on the wire, if it was.
    pub told: Vec<Option<Instant>>,
}

struct State {
    mood: Mood,
    version: u64,
    phases: Vec<Phase>,
    away: Vec<Away>,
}

#[derive(Clone)]
pub struct Discovery {
    servers: Arc<Vec<SocketAddr>>,
    proxies: usize,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn begin(servers: Vec<SocketAddr>, proxies: usize) -> Discovery {
        let phases = vec![Phase::Up; servers.len()];
        let state = State { mood: Mood::Good, version: 1, phases, away: Vec::new() };
        Discovery { servers: Arc::new(servers), proxies, state: Arc::new(Mutex::new(state)) }
    }

    /// An address at which this proxy reaches it.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.serve(proxy, stream));
            }
        });
        addr
    }

    pub fn set(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    /// How many servers take work.
    pub fn up(&self) -> usize {
        self.state.lock().unwrap().phases.iter().filter(|phase| **phase == Phase::Up).count()
    }

    pub fn phase(&self, server: usize) -> Phase {
        self.state.lock().unwrap().phases[server]
    }

    pub fn change(&self, server: usize, phase: Phase) {
        let mut state = self.state.lock().unwrap();
        let before = std::mem::replace(&mut state.phases[server], phase);
        state.version += 1;
        let now = Instant::now();
        match (before, phase) {
            (Phase::Up, Phase::Up) => {}
            (_, Phase::Up) => {
                let open = state.away.iter_mut().rfind(|away| away.server == server);
                open.into_iter().for_each(|away| away.until = Some(now));
            }
            (Phase::Up, _) => {
                let told = vec![None; self.proxies];
                state.away.push(Away { server, since: now, until: None, told });
            }
            _ => {}
        }
    }

    pub fn away(&self) -> Vec<Away> {
        self.state.lock().unwrap().away.clone()
    }

    /// The whole list as a proxy's configuration holds it.
    pub fn list(&self) -> String {
        list(&self.state.lock().unwrap(), &self.servers)
    }

    fn mood(&self) -> Mood {
        self.state.lock().unwrap().mood
    }

    fn serve(&self, proxy: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = line(&mut reader) {
            while line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            if !self.answer(proxy, &request, &mut stream) {
                return;
            }
        }
    }

    /// Answers a call; whether the connection goes on.
    fn answer(&self, proxy: usize, request: &str, stream: &mut TcpStream) -> bool {
        self.wait(request);
        match self.mood() {
            Mood::Good => stream.write_all(&self.written(proxy, request)).is_ok(),
            Mood::Declines => stream.write_all(DECLINED).is_ok(),
            Mood::Crowded => {
                std::thread::sleep(CROWDED_WAIT);
                stream.write_all(DECLINED).is_ok()
            }
            Mood::Silent => {
                while self.mood() == Mood::Silent {
                    std::thread::sleep(LOOK);
                }
                false
            }
            Mood::Closes => false,
            Mood::Resets => {
                std::thread::sleep(CROWDED_WAIT);
                reset(stream);
                // The reader's handle on it goes with it.
                false
            }
            Mood::Cuts => {
                let text = self.written(proxy, request);
                let _ = stream.write_all(&text[..text.len() / 2]);
                false
            }
        }
    }

    /// A watch waits until there is something newer, for its time, while the service stands well.
    fn wait(&self, request: &str) {
        let Some((held, wait)) = watch_of(request) else { return };
        let until = Instant::now() + wait;
        let nothing = || {
            let state = self.state.lock().unwrap();
            state.mood == Mood::Good && state.version <= held
        };
        while Instant::now() < until && nothing() {
            std::thread::sleep(LOOK);
        }
    }

    /// The answer's bytes; from now on this proxy counts as told of what they say.
    fn written(&self, proxy: usize, request: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        for away in state.away.iter_mut().filter(|away| away.until.is_none()) {
            away.told[proxy].get_or_insert(now);
        }
        let held = watch_of(request).map(|(held, _)| held);
        let body = match held {
            Some(held) if held >= state.version => {
                format!(r#"{{"revision":{},"complete":false,"members":[]}}"#, state.version)
            }
            _ => list(&state, &self.servers),
        };
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

fn list(state: &State, servers: &[SocketAddr]) -> String {
    let listed = state.phases.iter().enumerate().filter(|(_, phase)| **phase != Phase::Gone);
    let one = |(server, phase): (usize, &Phase)| {
        let word = if *phase == Phase::Up { "up" } else { "draining" };
        format!(
            r#"{{"id":"s-{server}","host_port":"{}","locality":"a","flavor":"m","cell":1,"phase":"{word}","size":1.0,"up_since_ms":0,"version_no":7}}"#,
            servers[server]
        )
    };
    let members = listed.map(one).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{},"complete":true,"members":[{members}]}}"#, state.version)
}
