//! Clients' commands: parsing them, and writing calls on to servers.
//!
//! A valid call is sent on byte for byte, only its wait is written anew: a server must receive
//! what the client sent. Invalid ones are rejected here, before the engine learns of them.

use crate::CallError;
use std::ops::Range;
use violetseam::interface::{Idempotency, Micros};
use violetseam_instance_settings::Instance;
use violetseam_site_protocol::key_number;

/// The command for idempotent classes.
pub const GET: &[u8] = b"CALL.GET";
/// The command for all other classes.
pub const POST: &[u8] = b"CALL.POST";
/// The longest word of a call apart from its body.
const MAX_WORD_BYTES: usize = 1024;
/// The longest wait that a client may state, in milliseconds.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;
/// The place of the options among a call's words.
const OPTIONS_WORD: usize = 3;
/// What a word of a call is taken to need in memory besides its bytes.
const WORD_OVERHEAD_BYTES: usize = 32;
/// What a call is taken to need in memory besides its words.
const CALL_OVERHEAD_BYTES: usize = 128;

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this proxy serves.
    Ping,
    /// A command that client libraries send when they connect; accepted without effect.
    Handshake,
    /// A request.
    Call(Box<Call>),
}

/// A valid call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The class.
    pub class: usize,
    /// The tenant; for one that is not in the settings, the number after the last of them.
    pub tenant: usize,
    /// The key of the object that it concerns, as a number: equal for equal keys.
    pub key: u64,
    /// Its identity, as the client wrote it.
    pub id: Box<[u8]>,
    /// How long the client waits, counted from its send.
    pub wait: Micros,
    /// The client marked it as a retry.
    pub is_retry: bool,
    words: Vec<Box<[u8]>>,
    /// Where the wait stands within the options.
    wait_range: Range<usize>,
}

/// The words of a call that matter here.
struct CallWords<'a> {
    key: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
}

/// Parses a command's words.
///
/// # Errors
/// A [`CallError`] if the command is unknown or is not a valid call.
pub fn parse(words: &[&[u8]], instance: &Instance) -> Result<Command, CallError> {
    let Some((verb, arguments)) = words.split_first() else { return Err(CallError::Empty) };
    if verb.eq_ignore_ascii_case(b"PING") {
        return Ok(Command::Ping);
    }
    if verb.eq_ignore_ascii_case(b"CLIENT") || verb.eq_ignore_ascii_case(b"SELECT") {
        return Ok(Command::Handshake);
    }
    let is_get = verb.eq_ignore_ascii_case(GET);
    if !is_get && !verb.eq_ignore_ascii_case(POST) {
        return Err(CallError::UnknownCommand);
    }
    let CallWords { key, id, options: option_text } = call_words(arguments, is_get)?;
    let options = Options::parse(option_text)?;
    let class = check_class(&options, is_get, instance)?;
    let Some(wait_range) = options.wait else { return Err(CallError::MissingWait) };
    let wait_ms = parse_wait_ms(&option_text[wait_range.clone()])?;
    let tenant = options.tenant.and_then(|name| instance.tenants.iter().position(|t| t.as_bytes() == name));
    Ok(Command::Call(Box::new(Call {
        class,
        tenant: tenant.unwrap_or(instance.tenants.len()),
        key: key_number(key),
        id: id.into(),
        wait: wait_ms * 1000,
        is_retry: options.is_retry,
        words: words.iter().map(|word| Box::from(*word)).collect(),
        wait_range,
    })))
}

/// Checks the number and the lengths of a call's words.
fn call_words<'a>(arguments: &[&'a [u8]], is_get: bool) -> Result<CallWords<'a>, CallError> {
    let (key, id, options) = match (arguments, is_get) {
        ([key, id, options], true) | ([key, id, options, _], false) => (*key, *id, *options),
        _ => return Err(CallError::WordCount),
    };
    if [key, id, options].iter().any(|word| word.is_empty() || word.len() > MAX_WORD_BYTES) {
        return Err(CallError::WordLength);
    }
    Ok(CallWords { key, id, options })
}

/// The class of a call, if its command and its options fit that class.
fn check_class(options: &Options, is_get: bool, instance: &Instance) -> Result<usize, CallError> {
    let class = options
        .class
        .and_then(|name| instance.classes.iter().position(|class| class.as_bytes() == name))
        .ok_or(CallError::UnknownClass)?;
    let idempotency = instance.decisions.classes[class].idempotency;
    if (idempotency == Idempotency::Idempotent) != is_get {
        return Err(CallError::WrongCommand);
    }
    if idempotency == Idempotency::Keyed && options.idempotency_key.is_none_or(<[u8]>::is_empty) {
        return Err(CallError::MissingIdempotencyKey);
    }
    Ok(class)
}

/// The options of a call that matter here; others are sent on unread.
#[derive(Default)]
struct Options<'a> {
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    idempotency_key: Option<&'a [u8]>,
    /// Where the wait stands within the text.
    wait: Option<Range<usize>>,
    is_retry: bool,
}

impl<'a> Options<'a> {
    /// Parses `name=value` pairs, separated by commas.
    fn parse(text: &'a [u8]) -> Result<Self, CallError> {
        let mut options = Options::default();
        let mut start = 0;
        for item in text.split(|byte| *byte == b',') {
            let Some(equals) = item.iter().position(|byte| *byte == b'=') else {
                return Err(CallError::UnnamedOption);
            };
            let name = &item[..equals];
            let value = &item[equals + 1..];
            let value_range = start + equals + 1..start + item.len();
            start += item.len() + 1;
            let is_duplicate = match name {
                b"c" => options.class.replace(value).is_some(),
                b"t" => options.tenant.replace(value).is_some(),
                b"k" => options.idempotency_key.replace(value).is_some(),
                b"d" => options.wait.replace(value_range).is_some(),
                b"r" => std::mem::replace(&mut options.is_retry, value == b"1"),
                _ => false,
            };
            if is_duplicate {
                return Err(CallError::DuplicateOption);
            }
        }
        Ok(options)
    }
}

fn parse_wait_ms(digits: &[u8]) -> Result<u64, CallError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(CallError::InvalidWait);
    }
    let number = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<u64>().ok());
    number.filter(|ms| (1..=MAX_WAIT_MS).contains(ms)).ok_or(CallError::InvalidWait)
}

impl Call {
    /// The memory that it is taken to need, in bytes.
    pub fn size(&self) -> usize {
        let words: usize = self.words.iter().map(|word| word.len() + WORD_OVERHEAD_BYTES).sum();
        words + CALL_OVERHEAD_BYTES
    }

    /// Appends the call for a server, which will be waited for during `wait`.
    pub fn write(&self, out: &mut Vec<u8>, wait: Micros) {
        let wait_ms = wait.div_ceil(1000).max(1).to_string();
        let options = &self.words[OPTIONS_WORD];
        let before_wait = &options[..self.wait_range.start];
        let after_wait = &options[self.wait_range.end..];
        let options = [before_wait, wait_ms.as_bytes(), after_wait].concat();
        let mut words: Vec<&[u8]> = self.words.iter().map(|word| &**word).collect();
        words[OPTIONS_WORD] = &options;
        violetseam_resp::command::write(out, &words);
    }
}
