//! Operators' words over the control socket (Unix-domain, mode 0600): one JSON line each way.
//!
//! A thread of its own reads and checks, plans among them, whose scripts may take a while; the loop gets events.
//! Who may open the socket may say who they are: names are for the plan's rules and the journal, not a proof.

use calloop::channel::Sender;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{Sender as Answering, channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use violetseam_release::{Event, News, Order, Reply};

/// The longest line, in bytes: a plan is one.
const LINE_MOST: u64 = 1 << 20;
/// How long either side waits for the other.
const PATIENCE: Duration = Duration::from_secs(5);

/// What an operator says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Where does the release stand?
    State,
    /// A plan, as its script.
    Offer {
        /// What the script is called in faults.
        name: String,
        /// The script.
        text: String,
    },
    /// An approval.
    Sign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// An approval taken back.
    Unsign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// An order beside the plan.
    Order {
        /// Who.
        who: String,
        /// What.
        order: Order,
    },
}

/// Where the release stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The controller's name.
    pub name: String,
    /// Its term, which fences what it says; 0: it stands by.
    pub term: u64,
    /// What proxies are told.
    pub news: Option<News>,
    /// In words, with what is waited for.
    pub text: String,
    /// Votes that stand.
    pub votes: usize,
    /// Watches of proxies and of platforms.
    pub watches: (usize, usize),
    /// Why the last batch was not kept, if it was not.
    pub trouble: Option<String>,
}

/// What an operator hears.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The state.
    State(Box<Standing>),
    /// What became of an event.
    Reply(Reply),
    /// A plan's faults.
    Faults(Vec<String>),
    /// It was not understood, not kept, or this controller stands by.
    Not(String),
}

/// Something for the loop.
pub enum Asked {
    /// Where does it stand?
    State(Answering<Answer>),
    /// An event.
    Event(Event, Answering<Answer>),
}

/// Microseconds since 1970.
pub(crate) fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Opens the socket and serves it on a thread.
pub fn open(path: &Path, to_loop: Sender<Asked>) -> std::io::Result<()> {
    let mut aside = path.to_owned().into_os_string();
    aside.push(".new");
    let _ = std::fs::remove_file(&aside);
    let listener = UnixListener::bind(&aside)?;
    std::fs::set_permissions(&aside, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&aside, path)?;
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, answer) = channel();
            if hear(&stream, &to_loop, tell).is_err() {
                continue;
            }
            let answer = answer.recv_timeout(PATIENCE);
            let answer = answer.unwrap_or_else(|_| Answer::Not("no answer in time; it may count".into()));
            let mut line = serde_json::to_vec(&answer).unwrap_or_default();
            line.push(b'\n');
            let _ = (&stream).write_all(&line);
        }
    })?;
    Ok(())
}

/// Reads one word and passes it on, or answers by itself.
fn hear(stream: &UnixStream, to_loop: &Sender<Asked>, tell: Answering<Answer>) -> std::io::Result<()> {
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let mut line = Vec::new();
    BufReader::new(stream.take(LINE_MOST)).read_until(b'\n', &mut line)?;
    let say = |answer: Answer| {
        let _ = tell.send(answer);
        Ok(())
    };
    let word: Word = match serde_json::from_slice(&line) {
        Ok(word) => word,
        Err(e) => return say(Answer::Not(format!("not understood: {e}"))),
    };
    let plain = |text: &str| !text.is_empty() && text.len() <= 128 && !text.chars().any(char::is_control);
    let asked = match word {
        Word::State => Asked::State(tell),
        Word::Offer { name, text } => match violetseam_plan::read_text(&name, &text, &[], wall_clock()) {
            Ok(plan) => Asked::Event(Event::Offer(Box::new(plan)), tell),
            Err(faults) => {
                return say(Answer::Faults(faults.into_iter().map(|fault| fault.to_string()).collect()));
            }
        },
        Word::Sign { who, wave } if plain(&who) && plain(&wave) => {
            Asked::Event(Event::Sign { who, wave }, tell)
        }
        Word::Unsign { who, wave } if plain(&who) && plain(&wave) => {
            Asked::Event(Event::Unsign { who, wave }, tell)
        }
        Word::Order { who, order } if plain(&who) => Asked::Event(Event::Order { who, order }, tell),
        _ => return say(Answer::Not("names have 1 to 128 printable characters".into())),
    };
    to_loop.send(asked).map_err(|_| std::io::ErrorKind::BrokenPipe.into())
}

/// Says a word to a controller and hears its answer; for the command line.
pub fn say(path: &Path, word: &Word, timeout: Duration) -> Result<Answer, String> {
    let words = |e: std::io::Error| format!("{}: {e}", path.display());
    let stream = UnixStream::connect(path).map_err(words)?;
    stream
        .set_read_timeout(Some(timeout))
        .and_then(|()| stream.set_write_timeout(Some(timeout)))
        .map_err(words)?;
    let mut line = serde_json::to_vec(word).map_err(|e| e.to_string())?;
    line.push(b'\n');
    (&stream).write_all(&line).map_err(words)?;
    let mut answer = Vec::new();
    BufReader::new((&stream).take(LINE_MOST)).read_until(b'\n', &mut answer).map_err(words)?;
    serde_json::from_slice(&answer)
        .map_err(|e| format!("{}: no answer that can be read: {e}", path.display()))
}
