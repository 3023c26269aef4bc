//! Discovery and the release service as scripts whose state a test sets: they answer, fall silent, refuse, say that
//! they cannot, or send spoilt bytes, and come back.

use super::platform::{config, line};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a service stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Good,
    /// Takes connections and calls and says nothing.
    Silent,
    /// Closes every connection.
    Closed,
    /// 503, or `unavailable`.
    Unavailable,
    /// Bytes that are no answer.
    Spoilt,
    /// Has more callers than it can serve: 503 after a wait, which nobody can tell from an outage.
    Crowded,
    /// The same, by a reset.
    CrowdedResets,
}

/// How long a crowded service has a call wait before it declines it.
pub const CROWDED_WAIT: Duration = Duration::from_millis(500);

/// The four ways to fail.
pub const FAILURES: [Mood; 4] = [Mood::Silent, Mood::Closed, Mood::Unavailable, Mood::Spoilt];

const LOOK: Duration = Duration::from_millis(10);
/// How a call to discovery is declined.
pub const DECLINED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const NOISE: &[u8] = b"\x02\xfe{{{ 17 \r\n\r\n\x00noise\r\n";

/// One server as discovery lists it.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub build: u64,
    /// Unix time, milliseconds; 0: long ago.
    pub started: u64,
}

/// A member that has stood for long.
pub fn member(id: &'static str, addr: SocketAddr, build: u64) -> Member {
    Member { id, addr, build, started: 0 }
}

/// A list in discovery's form.
pub fn list(revision: u64, members: &[Member]) -> String {
    let one = |m: &Member| {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m","cell":1,"phase":"up","size":1.0,"up_since_ms":{},"version_no":{}}}"#,
            m.id, m.addr, m.started, m.build
        )
    };
    let members = members.iter().map(one).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// A configuration over these services; `known` is the list as last held, `trial` the newest build's state.
pub fn told(services: [&Service; 2], known: &[Member], trial: &str) -> String {
    let text = config(services[0].addr, services[1].addr, &[], 256);
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["known"] = serde_json::from_str(&list(1, known)).unwrap();
    json["pipeline"]["news"] = serde_json::from_str(trial).unwrap();
    json["settings"]["FamilyInfo"]["Uncounted"] = 2.into();
    json.to_string()
}

/// What a service tells, and how it stands.
struct State {
    mood: Mood,
    /// Counts up with each change of what is told.
    revision: u64,
    told: String,
}

/// A service.
#[derive(Clone)]
pub struct Service {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    fn begin(told: String, serve: fn(&Service, TcpStream)) -> Service {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let state = State { mood: Mood::Good, revision: 1, told };
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

    /// Sets how it stands; calls that wait end as that has it.
    pub fn set(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    /// Sets what it tells.
    pub fn tell(&self, told: String) {
        let mut state = self.state.lock().unwrap();
        (state.told, state.revision) = (told, state.revision + 1);
    }

    fn look(&self) -> (Mood, u64, String) {
        let state = self.state.lock().unwrap();
        (state.mood, state.revision, state.told.clone())
    }

    /// Stays as long as the service is silent.
    fn sit_out(&self) {
        while self.look().0 == Mood::Silent {
            std::thread::sleep(LOOK);
        }
    }
}

/// Discovery: tells a list. A watch waits for a newer one, and ends without changes when its wait is over.
pub fn discovery(told: String) -> Service {
    Service::begin(told, |service, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = line(&mut reader) {
            while line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            let watch = watch_of(&request);
            if let Some((index, wait)) = watch {
                let until = Instant::now() + wait;
                let waits =
                    |(mood, _, told): (Mood, u64, String)| mood == Mood::Good && revision(&told) <= index;
                while Instant::now() < until && waits(service.look()) {
                    std::thread::sleep(LOOK);
                }
            }
            let (mood, _, told) = service.look();
            let sent = match mood {
                Mood::Good => {
                    let now = revision(&told);
                    let unchanged = format!(r#"{{"revision":{now},"complete":false,"members":[]}}"#);
                    let body = if watch.is_some_and(|(index, _)| now <= index) { unchanged } else { told };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    stream.write_all(format!("{head}{body}").as_bytes())
                }
                Mood::Unavailable => stream.write_all(DECLINED),
                Mood::Crowded => {
                    std::thread::sleep(CROWDED_WAIT);
                    stream.write_all(DECLINED)
                }
                Mood::CrowdedResets => {
                    std::thread::sleep(CROWDED_WAIT);
                    return reset(&stream);
                }
                Mood::Spoilt => stream.write_all(NOISE),
                Mood::Silent => return service.sit_out(),
                Mood::Closed => return,
            };
            if sent.is_err() {
                return;
            }
        }
    })
}

/// Has the other side see a reset once this connection is dropped.
pub fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A watch's version and how long it waits; `None` for a call for the whole list.
pub fn watch_of(request: &str) -> Option<(u64, Duration)> {
    let number = |name: &str| {
        let text = request.split(name).nth(1)?;
        text.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
    };
    Some((number("index=")?, Duration::from_millis(number("wait=")?)))
}

/// The version of a list as written.
fn revision(told: &str) -> u64 {
    let list: serde_json::Value = serde_json::from_str(told).unwrap();
    list["revision"].as_u64().unwrap()
}

/// News of a build in the release service's form.
pub fn news(build: u64, wave: u64, state: &str, share: f64) -> String {
    format!(r#"{{"Revision":{build},"Wave":{wave},"State":"{state}","MaxShare":{share:?},"AgeMs":5}}"#)
}

/// The release service: tells the newest build's state, with a sign of life each second; votes count.
pub fn pipeline(told: String) -> Service {
    Service::begin(told, |service, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = line(&mut reader) {
            let id = call.split("\"id\":").nth(1).unwrap_or("0").to_owned();
            let id: String = id.chars().take_while(char::is_ascii_digit).collect();
            let (mood, _, told) = service.look();
            let answer = match mood {
                Mood::Silent => return service.sit_out(),
                Mood::Closed => return,
                Mood::Spoilt => String::from_utf8_lossy(NOISE).into_owned(),
                Mood::Unavailable | Mood::Crowded | Mood::CrowdedResets => {
                    format!(
                        r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":-32000,"message":"unavailable"}}}}"#
                    )
                }
                Mood::Good if call.contains("Events.Watch") => {
                    format!(r#"{{"jsonrpc":"2.0","id":{id},"result":true}}"#)
                }
                Mood::Good => format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{told}}}"#),
            };
            if stream.write_all(format!("{answer}\n").as_bytes()).is_err() {
                return;
            }
            if call.contains("Events.Watch") && mood == Mood::Good {
                return watched(service, stream);
            }
        }
    })
}

/// Tells on a connection that watches, until the service no longer stands well.
fn watched(service: &Service, mut stream: TcpStream) {
    let (mut seen, mut life) = (0, Instant::now());
    loop {
        let (mood, revision, told) = service.look();
        let mut text = String::new();
        match mood {
            Mood::Good => {}
            Mood::Silent => return service.sit_out(),
            Mood::Spoilt => {
                // The reader may have left by now.
                let _ = stream.write_all(NOISE);
                return;
            }
            Mood::Closed | Mood::Unavailable | Mood::Crowded | Mood::CrowdedResets => return,
        }
        if revision > seen {
            text += &format!("{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{told}}}\n");
            seen = revision;
        }
        if life.elapsed() >= Duration::from_secs(1) {
            text += "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
            life = Instant::now();
        }
        if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(LOOK);
    }
}
