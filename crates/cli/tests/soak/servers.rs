//! The servers of a soak: what each got and when, and how it behaves at the moment.

use super::common::platform::{Say, Server, good, server};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Manner {
    Good,
    Hangs,
    Slow,
    Closes,
    Fails,
    Busy,
    Spoils,
}

/// Hanging is drawn most often: it is what finds a process with something left to answer.
pub const MANNERS: [Manner; 8] = [
    Manner::Hangs,
    Manner::Hangs,
    Manner::Hangs,
    Manner::Slow,
    Manner::Closes,
    Manner::Fails,
    Manner::Busy,
    Manner::Spoils,
];
const SLOW: Duration = Duration::from_millis(250);
const QUICK: Duration = Duration::from_millis(2);

/// One command as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: usize,
    /// The request's id, which begins with the number of the proxy that it was sent to.
    pub id: String,
    /// What the attempt told of its time.
    pub wait: Duration,
    /// It was not turned away.
    pub may_have_run: bool,
}

pub struct Servers {
    servers: Vec<Server>,
    manners: Vec<Arc<AtomicU8>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Servers {
    pub fn begin(count: usize) -> Servers {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let manners: Vec<Arc<AtomicU8>> = (0..count).map(|_| Arc::default()).collect();
        let one = |(number, manner): (usize, &Arc<AtomicU8>)| {
            let (manner, arrivals) = (manner.clone(), arrivals.clone());
            server(move |words, _| {
                let manner = manner.load(Ordering::Relaxed);
                arrivals.lock().unwrap().push(arrival(number, words, manner != Manner::Busy as u8));
                say(manner, words)
            })
        };
        let servers = manners.iter().enumerate().map(one).collect();
        Servers { servers, manners, arrivals }
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.servers[server].addr
    }

    pub fn set(&self, server: usize, manner: Manner) {
        self.manners[server].store(manner as u8, Ordering::Relaxed);
    }

    pub fn all_good(&self) {
        (0..self.manners.len()).for_each(|server| self.set(server, Manner::Good));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

fn arrival(server: usize, words: &[String], may_have_run: bool) -> Arrival {
    let wait = words[3].split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap();
    Arrival {
        at: Instant::now(),
        server,
        id: words[2].clone(),
        wait: Duration::from_millis(wait.parse().unwrap()),
        may_have_run,
    }
}

fn say(manner: u8, words: &[String]) -> Say {
    const GOOD: u8 = Manner::Good as u8;
    const HANGS: u8 = Manner::Hangs as u8;
    const SLOWLY: u8 = Manner::Slow as u8;
    const CLOSES: u8 = Manner::Closes as u8;
    const FAILS: u8 = Manner::Fails as u8;
    const BUSY: u8 = Manner::Busy as u8;
    match manner {
        GOOD => Say::Later(QUICK, good(words)),
        HANGS => Say::Nothing,
        SLOWLY => Say::Later(SLOW, good(words)),
        CLOSES => Say::Close,
        FAILS => Say::Bytes(b"-ERR failed\r\n".to_vec()),
        BUSY => Say::Bytes(b"-BUSY\r\n".to_vec()),
        _ => Say::Bytes(b"*3\r\n$7\r\nspo".to_vec()),
    }
}
