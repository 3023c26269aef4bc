//! Clients' commands: which are calls, what they ask for, and how they go on to a server.
//!
//! A call that is sound goes on byte for byte, only its waiting time is written anew: a server must find
//! what the client sent. What is not sound is told apart here, before the decisions hear of it.

use crate::{Malformed, malformed};
use violetseam::interface::{Idempotency, Micros};
use violetseam_instance::Instance;
use violetseam_site::key_number;

/// For classes that are safe to repeat.
pub const GET: &[u8] = b"CALL.GET";
/// For all others.
pub const POST: &[u8] = b"CALL.POST";
/// The longest word of a call apart from its body.
const WORD_MOST: usize = 1024;
/// The longest time that a client may say it waits.
const WAIT_MOST: u64 = 24 * 3600 * 1000;

/// What a command is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this proxy serves.
    Ping,
    /// What client libraries say when they connect; accepted without effect.
    Courtesy,
    /// A request.
    Call(Box<Call>),
}

/// A sound call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The class.
    pub class: usize,
    /// The tenant; where it is not one of the settings', the number behind the last of them.
    pub tenant: usize,
    /// The thing it concerns, as a number: equal for equal words.
    pub key: u64,
    /// Its identity, as the client wrote it.
    pub id: Box<[u8]>,
    /// How long the client waits, from the sending on.
    pub wait: Micros,
    /// The client marked it as a repeat.
    pub is_retry: bool,
    words: Vec<Box<[u8]>>,
    /// Where the waiting time stands within the list of values.
    wait_from: usize,
    wait_to: usize,
}

/// Reads a command's words.
pub fn read(words: &[&[u8]], instance: &Instance) -> Result<Command, Malformed> {
    let Some((verb, rest)) = words.split_first() else { return malformed("empty command") };
    if verb.eq_ignore_ascii_case(b"PING") {
        return Ok(Command::Ping);
    }
    if verb.eq_ignore_ascii_case(b"CLIENT") || verb.eq_ignore_ascii_case(b"SELECT") {
        return Ok(Command::Courtesy);
    }
    let is_get = verb.eq_ignore_ascii_case(GET);
    if !is_get && !verb.eq_ignore_ascii_case(POST) {
        return malformed("unknown command");
    }
    let (key, id, list) = match (rest, is_get) {
        ([key, id, list], true) | ([key, id, list, _], false) => (*key, *id, *list),
        _ => return malformed("wrong number of words"),
    };
    if [key, id, list].iter().any(|word| word.is_empty() || word.len() > WORD_MOST) {
        return malformed("a word is empty or too long");
    }
    let values = Values::read(list)?;
    let class = values.class.and_then(|name| instance.classes.iter().position(|c| c.as_bytes() == name));
    let Some(class) = class else { return malformed("unknown class") };
    let effect = instance.decisions.classes[class].idempotency;
    if (effect == Idempotency::Idempotent) != is_get {
        return malformed("this class is not served by this command");
    }
    if effect == Idempotency::Keyed && values.key.is_none_or(<[u8]>::is_empty) {
        return malformed("no k= in a class with keys");
    }
    let Some((wait_from, wait_to)) = values.wait else { return malformed("no d=") };
    let wait = milliseconds(&list[wait_from..wait_to])?;
    let tenant = values.tenant.and_then(|name| instance.tenants.iter().position(|t| t.as_bytes() == name));
    Ok(Command::Call(Box::new(Call {
        class,
        tenant: tenant.unwrap_or(instance.tenants.len()),
        key: key_number(key),
        id: id.into(),
        wait: wait * 1000,
        is_retry: values.retry,
        words: words.iter().map(|word| Box::from(*word)).collect(),
        wait_from,
        wait_to,
    })))
}

/// The values of a call's list that matter here; others go on unread.
#[derive(Default)]
struct Values<'a> {
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    key: Option<&'a [u8]>,
    wait: Option<(usize, usize)>,
    retry: bool,
}

impl<'a> Values<'a> {
    fn read(list: &'a [u8]) -> Result<Self, Malformed> {
        let mut values = Values::default();
        let mut at = 0;
        for item in list.split(|b| *b == b',') {
            let Some(equals) = item.iter().position(|b| *b == b'=') else {
                return malformed("a value without a name");
            };
            let (name, value) = (&item[..equals], &item[equals + 1..]);
            let span = (at + equals + 1, at + item.len());
            at += item.len() + 1;
            let taken = match name {
                b"c" => values.class.replace(value).is_some(),
                b"t" => values.tenant.replace(value).is_some(),
                b"k" => values.key.replace(value).is_some(),
                b"d" => values.wait.replace(span).is_some(),
                b"r" => std::mem::replace(&mut values.retry, value == b"1"),
                _ => false,
            };
            if taken {
                return malformed("a value given twice");
            }
        }
        Ok(values)
    }
}

fn milliseconds(digits: &[u8]) -> Result<u64, Malformed> {
    let number = (!digits.is_empty() && digits.iter().all(u8::is_ascii_digit))
        .then(|| std::str::from_utf8(digits).ok()?.parse::<u64>().ok())
        .flatten();
    number.filter(|ms| (1..=WAIT_MOST).contains(ms)).ok_or(Malformed("d= is no time".into()))
}

impl Call {
    /// Bytes held for it.
    pub fn size(&self) -> usize {
        self.words.iter().map(|word| word.len() + 32).sum::<usize>() + 128
    }

    /// Appends the call as it goes to a server that will be waited for so long.
    pub fn write(&self, out: &mut Vec<u8>, wait: Micros) {
        let (list, ms) = (&self.words[3], wait.div_ceil(1000).max(1).to_string());
        let list = [&list[..self.wait_from], ms.as_bytes(), &list[self.wait_to..]].concat();
        let mut words: Vec<&[u8]> = self.words.iter().map(|word| &**word).collect();
        words[3] = &list;
        violetseam_resp::command::write(out, &words);
    }
}
