//! Scripted discovery and release services whose behaviour a test sets: they can respond normally, be silent,
//! close connections, decline calls or send bytes that are no valid response, and recover.

use super::platform::{config, read_line};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Accepts connections and calls and does not respond.
    Silent,
    /// Closes every connection.
    Closed,
    /// Declines calls: discovery with status 503, the release service with the error `unavailable`.
    Unavailable,
    /// Responds with bytes that are no valid response.
    Garbage,
    /// Has more callers than it can serve: it responds with 503 after a wait, which callers cannot tell from
    /// an outage.
    Overloaded,
    /// As `Overloaded`, but resets the connection after the wait.
    OverloadedResets,
}

/// How long an overloaded service keeps a call waiting before it declines it.
pub const OVERLOADED_WAIT: Duration = Duration::from_millis(500);

/// The four kinds of outage.
pub const OUTAGES: [Behaviour; 4] =
    [Behaviour::Silent, Behaviour::Closed, Behaviour::Unavailable, Behaviour::Garbage];

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The response by which discovery declines a call.
pub const DECLINED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const GARBAGE: &[u8] = b"\x02\xfe{{{ 17 \r\n\r\n\x00noise\r\n";

/// One server as discovery lists it.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub build: u64,
    /// Start of the server as Unix time in milliseconds; 0 for a server that started long ago.
    pub started_ms: u64,
}

/// A list entry for a server that started long ago.
pub fn member(id: &'static str, addr: SocketAddr, build: u64) -> Member {
    Member { id, addr, build, started_ms: 0 }
}

/// A full server list in the format of discovery.
pub fn list_json(revision: u64, members: &[Member]) -> String {
    let member_json = |m: &Member| {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m","cell":1,"phase":"up","size":1.0,"up_since_ms":{},"version_no":{}}}"#,
            m.id, m.addr, m.started_ms, m.build
        )
    };
    let members = members.iter().map(member_json).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// A configuration that uses these services. `known` is the server list held at the start, `status` the
/// release status of the newest build.
pub fn service_config(services: [&Service; 2], known: &[Member], status: &str) -> String {
    let text = config(services[0].addr, services[1].addr, &[], 256);
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["known"] = serde_json::from_str(&list_json(1, known)).unwrap();
    json["pipeline"]["news"] = serde_json::from_str(status).unwrap();
    json["settings"]["FamilyInfo"]["Uncounted"] = 2.into();
    json.to_string()
}

/// The content that a service publishes, and how it behaves.
struct State {
    behaviour: Behaviour,
    /// Increases by one with each change of the content.
    revision: u64,
    content: String,
}

/// A scripted service.
#[derive(Clone)]
pub struct Service {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    fn spawn(content: String, serve: fn(&Service, TcpStream)) -> Service {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let state = State { behaviour: Behaviour::Healthy, revision: 1, content };
        let service = Service { addr: listener.local_addr().unwrap(), state: Arc::new(Mutex::new(state)) };
        let shared = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = shared.clone();
                std::thread::spawn(move || serve(&service, stream));
            }
        });
        service
    }

    /// Sets the behaviour. Waiting calls end according to the new behaviour.
    pub fn set(&self, behaviour: Behaviour) {
        self.state.lock().unwrap().behaviour = behaviour;
    }

    /// Replaces the published content.
    pub fn publish(&self, content: String) {
        let mut state = self.state.lock().unwrap();
        (state.content, state.revision) = (content, state.revision + 1);
    }

    fn current(&self) -> (Behaviour, u64, String) {
        let state = self.state.lock().unwrap();
        (state.behaviour, state.revision, state.content.clone())
    }

    /// Waits until the service is no longer silent.
    fn wait_while_silent(&self) {
        while self.current().0 == Behaviour::Silent {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Starts a discovery service that publishes a server list. A watch waits for a newer list, and ends without
/// changes once its wait has passed.
pub fn discovery(content: String) -> Service {
    Service::spawn(content, |service, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            let watch = parse_watch(&request);
            if let Some((index, wait)) = watch {
                let until = Instant::now() + wait;
                let still_waits = |(behaviour, _, content): (Behaviour, u64, String)| {
                    behaviour == Behaviour::Healthy && revision(&content) <= index
                };
                while Instant::now() < until && still_waits(service.current()) {
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
            let (behaviour, _, content) = service.current();
            let sent = match behaviour {
                Behaviour::Healthy => {
                    let now = revision(&content);
                    let unchanged = format!(r#"{{"revision":{now},"complete":false,"members":[]}}"#);
                    let body = if watch.is_some_and(|(index, _)| now <= index) { unchanged } else { content };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    stream.write_all(format!("{head}{body}").as_bytes())
                }
                Behaviour::Unavailable => stream.write_all(DECLINED_RESPONSE),
                Behaviour::Overloaded => {
                    std::thread::sleep(OVERLOADED_WAIT);
                    stream.write_all(DECLINED_RESPONSE)
                }
                Behaviour::OverloadedResets => {
                    std::thread::sleep(OVERLOADED_WAIT);
                    return set_reset_on_close(&stream);
                }
                Behaviour::Garbage => stream.write_all(GARBAGE),
                Behaviour::Silent => return service.wait_while_silent(),
                Behaviour::Closed => return,
            };
            if sent.is_err() {
                return;
            }
        }
    })
}

/// Configures the connection to be closed with a reset.
pub fn set_reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// The version and the wait of a watch request; `None` for a call for the full list.
pub fn parse_watch(request: &str) -> Option<(u64, Duration)> {
    let number = |name: &str| {
        let text = request.split(name).nth(1)?;
        text.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
    };
    Some((number("index=")?, Duration::from_millis(number("wait=")?)))
}

/// The version in the JSON text of a list.
fn revision(content: &str) -> u64 {
    let list: serde_json::Value = serde_json::from_str(content).unwrap();
    list["revision"].as_u64().unwrap()
}

/// The status of a build in the format of the release service.
pub fn release_status(build: u64, wave: u64, state: &str, share: f64) -> String {
    format!(r#"{{"Revision":{build},"Wave":{wave},"State":"{state}","MaxShare":{share:?},"AgeMs":5}}"#)
}

/// Starts a release service that publishes the status of the newest build, with a heartbeat each second. It
/// accepts votes.
pub fn pipeline(content: String) -> Service {
    Service::spawn(content, |service, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_line(&mut reader) {
            let id = call.split("\"id\":").nth(1).unwrap_or("0").to_owned();
            let id: String = id.chars().take_while(char::is_ascii_digit).collect();
            let (behaviour, _, content) = service.current();
            let reply = match behaviour {
                Behaviour::Silent => return service.wait_while_silent(),
                Behaviour::Closed => return,
                Behaviour::Garbage => String::from_utf8_lossy(GARBAGE).into_owned(),
                Behaviour::Unavailable | Behaviour::Overloaded | Behaviour::OverloadedResets => {
                    format!(
                        r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":-32000,"message":"unavailable"}}}}"#
                    )
                }
                Behaviour::Healthy if call.contains("Events.Watch") => {
                    format!(r#"{{"jsonrpc":"2.0","id":{id},"result":true}}"#)
                }
                Behaviour::Healthy => format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{content}}}"#),
            };
            if stream.write_all(format!("{reply}\n").as_bytes()).is_err() {
                return;
            }
            if call.contains("Events.Watch") && behaviour == Behaviour::Healthy {
                return push_status(service, stream);
            }
        }
    })
}

/// Pushes status changes on a watching connection until the service no longer behaves normally.
fn push_status(service: &Service, mut stream: TcpStream) {
    let (mut sent_revision, mut last_ping) = (0, Instant::now());
    loop {
        let (behaviour, revision, content) = service.current();
        let mut text = String::new();
        match behaviour {
            Behaviour::Healthy => {}
            Behaviour::Silent => return service.wait_while_silent(),
            Behaviour::Garbage => {
                // The reader may have closed the connection by now.
                let _ = stream.write_all(GARBAGE);
                return;
            }
            Behaviour::Closed
            | Behaviour::Unavailable
            | Behaviour::Overloaded
            | Behaviour::OverloadedResets => return,
        }
        if revision > sent_revision {
            text += &format!("{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{content}}}\n");
            sent_revision = revision;
        }
        if last_ping.elapsed() >= Duration::from_secs(1) {
            text += "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
            last_ping = Instant::now();
        }
        if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
