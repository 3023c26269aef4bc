//! The discovery service of the soak test: one list for all proxies, served to each proxy at addresses of its
//! own, so that the test knows when each proxy was told of a change. It can decline calls, be silent, close
//! connections and truncate responses.

use super::common::platform::read_line;
use super::common::services::{DECLINED_RESPONSE, parse_watch, set_reset_on_close};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Declines calls at once.
    Declines,
    /// Declines calls after a wait.
    Overloaded,
    Silent,
    Closes,
    /// Resets the connection after a wait.
    Resets,
    /// Writes the first half of each response and closes the connection.
    Truncates,
}

pub const FAULTY_BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Declines,
    Behaviour::Overloaded,
    Behaviour::Silent,
    Behaviour::Closes,
    Behaviour::Resets,
    Behaviour::Truncates,
];
const OVERLOADED_WAIT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Gone,
}

/// A period in which a server takes no new requests.
#[derive(Clone, Debug)]
pub struct OutOfService {
    pub server: usize,
    pub since: Instant,
    pub until: Option<Instant>,
    /// When each proxy was told on the wire, if it was.
    pub told_at: Vec<Option<Instant>>,
}

struct State {
    behaviour: Behaviour,
    version: u64,
    phases: Vec<Phase>,
    out_of_service: Vec<OutOfService>,
}

#[derive(Clone)]
pub struct Discovery {
    servers: Arc<Vec<SocketAddr>>,
    proxies: usize,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn new(servers: Vec<SocketAddr>, proxies: usize) -> Discovery {
        let phases = vec![Phase::Up; servers.len()];
        let state = State { behaviour: Behaviour::Healthy, version: 1, phases, out_of_service: Vec::new() };
        Discovery { servers: Arc::new(servers), proxies, state: Arc::new(Mutex::new(state)) }
    }

    /// Opens an address at which this proxy reaches the service.
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

    pub fn set(&self, behaviour: Behaviour) {
        self.state.lock().unwrap().behaviour = behaviour;
    }

    /// The number of servers that take requests.
    pub fn up(&self) -> usize {
        self.state.lock().unwrap().phases.iter().filter(|phase| **phase == Phase::Up).count()
    }

    pub fn phase(&self, server: usize) -> Phase {
        self.state.lock().unwrap().phases[server]
    }

    pub fn set_phase(&self, server: usize, phase: Phase) {
        let mut state = self.state.lock().unwrap();
        let before = std::mem::replace(&mut state.phases[server], phase);
        state.version += 1;
        let now = Instant::now();
        match (before, phase) {
            (Phase::Up, Phase::Up) => {}
            (_, Phase::Up) => {
                let open_period = state.out_of_service.iter_mut().rfind(|period| period.server == server);
                open_period.into_iter().for_each(|period| period.until = Some(now));
            }
            (Phase::Up, _) => {
                let told_at = vec![None; self.proxies];
                state.out_of_service.push(OutOfService { server, since: now, until: None, told_at });
            }
            _ => {}
        }
    }

    pub fn out_of_service(&self) -> Vec<OutOfService> {
        self.state.lock().unwrap().out_of_service.clone()
    }

    /// The full list in the format of a proxy configuration.
    pub fn list_json(&self) -> String {
        list_json(&self.state.lock().unwrap(), &self.servers)
    }

    fn behaviour(&self) -> Behaviour {
        self.state.lock().unwrap().behaviour
    }

    fn serve(&self, proxy: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            if !self.answer(proxy, &request, &mut stream) {
                return;
            }
        }
    }

    /// Responds to a call. Returns whether the connection stays open.
    fn answer(&self, proxy: usize, request: &str, stream: &mut TcpStream) -> bool {
        self.wait(request, stream);
        // Nobody is told anything on a connection that the proxy has closed, as it does when it moves.
        if is_closed_by_peer(stream) {
            return false;
        }
        match self.behaviour() {
            Behaviour::Healthy => stream.write_all(&self.response(proxy, request)).is_ok(),
            Behaviour::Declines => stream.write_all(DECLINED_RESPONSE).is_ok(),
            Behaviour::Overloaded => {
                std::thread::sleep(OVERLOADED_WAIT);
                stream.write_all(DECLINED_RESPONSE).is_ok()
            }
            Behaviour::Silent => {
                while self.behaviour() == Behaviour::Silent {
                    std::thread::sleep(POLL_INTERVAL);
                }
                false
            }
            Behaviour::Closes => false,
            Behaviour::Resets => {
                std::thread::sleep(OVERLOADED_WAIT);
                set_reset_on_close(stream);
                // The caller returns and drops its handle of the socket as well, which sends the reset.
                false
            }
            Behaviour::Truncates => {
                let text = self.response(proxy, request);
                let _ = stream.write_all(&text[..text.len() / 2]);
                false
            }
        }
    }

    /// Keeps a watch waiting until the list is newer, its wait has passed, its proxy has closed it, or the service
    /// no longer behaves normally.
    fn wait(&self, request: &str, stream: &TcpStream) {
        let Some((held, wait)) = parse_watch(request) else { return };
        let until = Instant::now() + wait;
        let nothing_newer = || {
            let state = self.state.lock().unwrap();
            state.behaviour == Behaviour::Healthy && state.version <= held
        };
        while Instant::now() < until && nothing_newer() && !is_closed_by_peer(stream) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The bytes of the response. From now on this proxy counts as told of the current list.
    fn response(&self, proxy: usize, request: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        for period in state.out_of_service.iter_mut().filter(|period| period.until.is_none()) {
            period.told_at[proxy].get_or_insert(now);
        }
        let held = parse_watch(request).map(|(held, _)| held);
        let body = match held {
            Some(held) if held >= state.version => {
                format!(r#"{{"revision":{},"complete":false,"members":[]}}"#, state.version)
            }
            _ => list_json(&state, &self.servers),
        };
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    match recv(stream, &mut [0; 1], flags) {
        Ok((count, _)) => count == 0,
        Err(error) => !matches!(error, Errno::WOULDBLOCK | Errno::INTR),
    }
}

fn list_json(state: &State, servers: &[SocketAddr]) -> String {
    let listed = state.phases.iter().enumerate().filter(|(_, phase)| **phase != Phase::Gone);
    let member_json = |(server, phase): (usize, &Phase)| {
        let word = if *phase == Phase::Up { "up" } else { "draining" };
        format!(
            r#"{{"id":"s-{server}","host_port":"{}","locality":"a","flavor":"m","cell":1,"phase":"{word}","size":1.0,"up_since_ms":0,"version_no":7}}"#,
            servers[server]
        )
    };
    let members = listed.map(member_json).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{},"complete":true,"members":[{members}]}}"#, state.version)
}
