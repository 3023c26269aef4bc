//! A simulated discovery service of limited capacity. It serves calls one by one in the order in which they
//! arrive. A call that has waited for too long is declined, and still costs the work of a call. A watch that
//! is renewed at once does not queue again, and its response costs nothing. A full list costs several times
//! as much as a delta.

use super::platform::read_line;
use super::services::parse_watch;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The cost of each call and the longest wait.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// The time that a call for changes takes.
    pub delta: Duration,
    /// The time that a call for the full list takes.
    pub full_list: Duration,
    /// A call that has waited in the queue for longer than this is declined.
    pub max_queue_wait: Duration,
}

/// The calls received so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Calls for the full list.
    pub full_list: usize,
    /// Watches opened, not counting renewals that follow a response at once.
    pub watches: usize,
    /// Calls that were declined.
    pub declined: usize,
}

/// A watch call that follows a response within this time renews its watch and does not queue.
const RENEWAL_WINDOW: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct State {
    /// The version of the current list, and the list itself.
    version: u64,
    list: String,
    calls: CallCounts,
    /// The tickets of the calls in the queue.
    queue: VecDeque<u64>,
    next_ticket: u64,
    /// The open connections, each with the version that its caller said it holds.
    connections: BTreeMap<u64, (TcpStream, u64)>,
}

/// The simulated discovery service.
#[derive(Clone)]
pub struct LimitedDiscovery {
    pub addr: SocketAddr,
    capacity: Capacity,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl LimitedDiscovery {
    /// Starts the service; `list` is the full list at this version.
    pub fn new(capacity: Capacity, version: u64, list: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let (queue, connections, calls) = (VecDeque::new(), BTreeMap::new(), CallCounts::default());
        let state = State { version, list, calls, queue, next_ticket: 0, connections };
        let service =
            LimitedDiscovery { addr, capacity, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let shared = service.clone();
        std::thread::spawn(move || {
            for (id, stream) in listener.incoming().flatten().enumerate() {
                let service = shared.clone();
                service.lock(|state| state.connections.insert(id as u64, (stream.try_clone().unwrap(), 0)));
                std::thread::spawn(move || service.serve(id as u64, stream));
            }
        });
        service
    }

    fn lock<T>(&self, with: impl FnOnce(&mut State) -> T) -> T {
        with(&mut self.state.0.lock().unwrap())
    }

    /// The calls received so far.
    pub fn calls(&self) -> CallCounts {
        self.lock(|state| state.calls)
    }

    /// Replaces the current list.
    pub fn publish(&self, version: u64, list: String) {
        self.lock(|state| (state.version, state.list) = (version, list));
    }

    /// The number of connections whose caller has asked for changes since this version or a later one.
    pub fn connections_holding(&self, version: u64) -> usize {
        self.lock(|state| {
            state.connections.values().filter(|(_, held_version)| *held_version >= version).count()
        })
    }

    /// Shuts every connection down.
    pub fn close_all_connections(&self) {
        self.lock(|state| {
            for (stream, _) in std::mem::take(&mut state.connections).into_values() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    fn serve(&self, id: u64, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut answered: Option<Instant> = None;
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            let watch = parse_watch(&request);
            self.lock(|state| {
                if let (Some((index, _)), Some(caller)) = (watch, state.connections.get_mut(&id)) {
                    caller.1 = index;
                }
            });
            let renewed = watch.is_some() && answered.is_some_and(|at| at.elapsed() < RENEWAL_WINDOW);
            let response_body = match renewed || self.wait_for_turn(watch.is_none()) {
                true => self.response_body(watch),
                false => None,
            };
            let text = match response_body {
                Some(response_body) => format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{response_body}",
                    response_body.len()
                ),
                None => "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            answered = Some(Instant::now());
        }
        self.lock(|state| state.connections.remove(&id));
    }

    /// Waits in the queue and spends the cost of the call there. Returns whether the call is to be served.
    fn wait_for_turn(&self, full_list: bool) -> bool {
        let queued_at = Instant::now();
        let (lock, queue_moved) = &*self.state;
        let mut state = lock.lock().unwrap();
        match full_list {
            true => state.calls.full_list += 1,
            false => state.calls.watches += 1,
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back(ticket);
        while state.queue.front() != Some(&ticket) {
            state = queue_moved.wait(state).unwrap();
        }
        drop(state);
        let served = queued_at.elapsed() <= self.capacity.max_queue_wait;
        std::thread::sleep(if full_list { self.capacity.full_list } else { self.capacity.delta });
        self.lock(|state| {
            state.queue.pop_front();
            state.calls.declined += usize::from(!served);
        });
        queue_moved.notify_all();
        served
    }

    /// The response to a call that is served.
    fn response_body(&self, watch: Option<(u64, Duration)>) -> Option<String> {
        let until = Instant::now() + watch.map_or(Duration::ZERO, |(_, wait)| wait);
        loop {
            let (version, list) = self.lock(|state| (state.version, state.list.clone()));
            match watch {
                None => return Some(list),
                Some((index, _)) if version > index => {
                    return Some(list.replace(r#""complete":true"#, r#""complete":false"#));
                }
                Some(_) if Instant::now() >= until => {
                    return Some(format!(r#"{{"revision":{version},"complete":false,"members":[]}}"#));
                }
                Some(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }
}
