//! The servers of the soak test: the commands that each received and when, and how each behaves at the
//! moment.

use super::common::platform::{Say, good, timed_server};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ServerBehaviour {
    Healthy,
    Hangs,
    Slow,
    Closes,
    Fails,
    Busy,
    Truncates,
}

/// `Hangs` is chosen most often: it makes processes shut down with requests that are still unanswered.
pub const FAULTY_SERVER_BEHAVIOURS: [ServerBehaviour; 8] = [
    ServerBehaviour::Hangs,
    ServerBehaviour::Hangs,
    ServerBehaviour::Hangs,
    ServerBehaviour::Slow,
    ServerBehaviour::Closes,
    ServerBehaviour::Fails,
    ServerBehaviour::Busy,
    ServerBehaviour::Truncates,
];
const SLOW_DELAY: Duration = Duration::from_millis(250);
const NORMAL_DELAY: Duration = Duration::from_millis(2);

/// One command as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the kernel had its last byte.
    pub at: Instant,
    /// How much later the thread of the server read it.
    pub read_delay: Duration,
    pub server: usize,
    /// The id of the request, which begins with the number of the proxy that it was sent to.
    pub id: String,
    /// The deadline that the attempt stated.
    pub wait: Duration,
    /// The server did not turn the request away.
    pub may_have_run: bool,
}

pub struct Servers {
    addresses: Vec<SocketAddr>,
    behaviours: Vec<Arc<AtomicU8>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Servers {
    pub fn new(count: usize) -> Servers {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let behaviours: Vec<Arc<AtomicU8>> = (0..count).map(|_| Arc::default()).collect();
        let spawn_server = |(number, behaviour): (usize, &Arc<AtomicU8>)| {
            let (behaviour, arrivals) = (behaviour.clone(), arrivals.clone());
            timed_server(move |words, arrived_at| {
                let behaviour = behaviour.load(Ordering::Relaxed);
                let may_have_run = behaviour != ServerBehaviour::Busy as u8;
                let arrival = arrival(number, words, arrived_at, may_have_run);
                arrivals.lock().unwrap().push(arrival);
                reply(behaviour, words)
            })
        };
        let addresses = behaviours.iter().enumerate().map(spawn_server).collect();
        Servers { addresses, behaviours, arrivals }
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.addresses[server]
    }

    pub fn set(&self, server: usize, behaviour: ServerBehaviour) {
        self.behaviours[server].store(behaviour as u8, Ordering::Relaxed);
    }

    pub fn set_all_healthy(&self) {
        (0..self.behaviours.len()).for_each(|server| self.set(server, ServerBehaviour::Healthy));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

fn arrival(server: usize, words: &[String], at: Instant, may_have_run: bool) -> Arrival {
    let wait = words[3].split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap();
    Arrival {
        at,
        read_delay: at.elapsed(),
        server,
        id: words[2].clone(),
        wait: Duration::from_millis(wait.parse().unwrap()),
        may_have_run,
    }
}

fn reply(behaviour: u8, words: &[String]) -> Say {
    const HEALTHY: u8 = ServerBehaviour::Healthy as u8;
    const HANGS: u8 = ServerBehaviour::Hangs as u8;
    const SLOWLY: u8 = ServerBehaviour::Slow as u8;
    const CLOSES: u8 = ServerBehaviour::Closes as u8;
    const FAILS: u8 = ServerBehaviour::Fails as u8;
    const BUSY: u8 = ServerBehaviour::Busy as u8;
    match behaviour {
        HEALTHY => Say::Later(NORMAL_DELAY, good(words)),
        HANGS => Say::Nothing,
        SLOWLY => Say::Later(SLOW_DELAY, good(words)),
        CLOSES => Say::Close,
        FAILS => Say::Bytes(b"-ERR failed\r\n".to_vec()),
        BUSY => Say::Bytes(b"-BUSY\r\n".to_vec()),
        _ => Say::Bytes(b"*3\r\n$7\r\nspo".to_vec()),
    }
}
