//! A discovery stand-in of a stated capacity: it works through its calls one by one, the first come first, and a call
//! that waited for too long is declined after it has cost its work all the same. A watch that is renewed at once goes
//! on without a place in the queue, and its answer costs nothing; a whole list costs several times what a delta does.

use super::platform::line;
use super::services::watch_of;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What the service costs and grants.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// A call for what is newer.
    pub delta: Duration,
    /// A call for the whole list.
    pub whole: Duration,
    /// A call that waited for longer is declined.
    pub patience: Duration,
}

/// What was asked so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// Calls for the whole list.
    pub whole: usize,
    /// Watches opened, without those renewed at once.
    pub watches: usize,
    /// Calls declined.
    pub declined: usize,
}

/// A renewal that comes so soon after an answer goes on with its watch.
const RENEWED_WITHIN: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(5);

struct State {
    /// Lists by version: whole, and what has changed since the version before.
    version: u64,
    told: String,
    asked: Asked,
    /// Calls in the queue by number.
    queue: VecDeque<u64>,
    next: u64,
    /// Connections, and the version that its caller said it holds.
    open: BTreeMap<u64, (TcpStream, u64)>,
}

/// The stand-in.
#[derive(Clone)]
pub struct LimitedDiscovery {
    pub addr: SocketAddr,
    capacity: Capacity,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl LimitedDiscovery {
    /// Listens; `told` is the whole list of this version.
    pub fn new(capacity: Capacity, version: u64, told: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let (queue, open, asked) = (VecDeque::new(), BTreeMap::new(), Asked::default());
        let state = State { version, told, asked, queue, next: 0, open };
        let service =
            LimitedDiscovery { addr, capacity, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let shared = service.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let service = shared.clone();
                service.lock(|state| state.open.insert(number as u64, (stream.try_clone().unwrap(), 0)));
                std::thread::spawn(move || service.serve(number as u64, stream));
            }
        });
        service
    }

    fn lock<T>(&self, with: impl FnOnce(&mut State) -> T) -> T {
        with(&mut self.state.0.lock().unwrap())
    }

    /// What was asked so far.
    pub fn asked(&self) -> Asked {
        self.lock(|state| state.asked)
    }

    /// From now on the list is this.
    pub fn tell(&self, version: u64, told: String) {
        self.lock(|state| (state.version, state.told) = (version, told));
    }

    /// On how many connections a caller has asked for what is newer than this version or a later one.
    pub fn holding(&self, version: u64) -> usize {
        self.lock(|state| state.open.values().filter(|(_, held)| *held >= version).count())
    }

    /// Breaks every connection.
    pub fn break_all(&self) {
        self.lock(|state| {
            for (stream, _) in std::mem::take(&mut state.open).into_values() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    fn serve(&self, number: u64, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut answered: Option<Instant> = None;
        while let Some(request) = line(&mut reader) {
            while line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            let watch = watch_of(&request);
            self.lock(|state| {
                if let (Some((index, _)), Some(caller)) = (watch, state.open.get_mut(&number)) {
                    caller.1 = index;
                }
            });
            let renewed = watch.is_some() && answered.is_some_and(|at| at.elapsed() < RENEWED_WITHIN);
            let body = match renewed || self.in_turn(watch.is_none()) {
                true => self.body(watch),
                false => None,
            };
            let text = match body {
                Some(body) => format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()),
                None => "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            answered = Some(Instant::now());
        }
        self.lock(|state| state.open.remove(&number));
    }

    /// Waits in the queue and costs its work there; whether it is served.
    fn in_turn(&self, whole: bool) -> bool {
        let began = Instant::now();
        let (lock, turn) = &*self.state;
        let mut state = lock.lock().unwrap();
        match whole {
            true => state.asked.whole += 1,
            false => state.asked.watches += 1,
        }
        let number = state.next;
        state.next += 1;
        state.queue.push_back(number);
        while state.queue.front() != Some(&number) {
            state = turn.wait(state).unwrap();
        }
        drop(state);
        let served = began.elapsed() <= self.capacity.patience;
        std::thread::sleep(if whole { self.capacity.whole } else { self.capacity.delta });
        self.lock(|state| {
            state.queue.pop_front();
            state.asked.declined += usize::from(!served);
        });
        turn.notify_all();
        served
    }

    /// The answer to a call that is served.
    fn body(&self, watch: Option<(u64, Duration)>) -> Option<String> {
        let until = Instant::now() + watch.map_or(Duration::ZERO, |(_, wait)| wait);
        loop {
            let (version, told) = self.lock(|state| (state.version, state.told.clone()));
            match watch {
                None => return Some(told),
                Some((index, _)) if version > index => {
                    return Some(told.replace(r#""complete":true"#, r#""complete":false"#));
                }
                Some(_) if Instant::now() >= until => {
                    return Some(format!(r#"{{"revision":{version},"complete":false,"members":[]}}"#));
                }
                Some(_) => std::thread::sleep(LOOK),
            }
        }
    }
}
