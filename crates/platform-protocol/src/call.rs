//! Parses clients' commands, and writes the calls among them to servers.
//!
//! A server must receive what the client sent, so a valid call is forwarded byte for byte except for its
//! timeout, which is replaced by the remaining time. Invalid calls are rejected here and never reach the
//! engine.

use crate::CallError;
use std::ops::Range;
use violetseam::interface::{Idempotency, Micros};
use violetseam_instance_settings::Instance;
use violetseam_site_protocol::key_number;

/// The name of the command for calls of idempotent classes.
pub const GET: &[u8] = b"CALL.GET";
/// The name of the command for calls of all other classes.
pub const POST: &[u8] = b"CALL.POST";
/// The maximum length of a call's key, identity and options each.
const MAX_ARGUMENT_BYTES: usize = 1024;
/// The longest timeout that a client may set, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// The index of the options in a call's words, which start with the command's name.
const OPTIONS_INDEX: usize = 3;
/// The estimated memory that a word of a call needs in addition to its bytes.
const WORD_OVERHEAD_BYTES: usize = 32;
/// The estimated memory that a call needs in addition to its words, with its entries in the tables of requests.
const CALL_OVERHEAD_BYTES: usize = 1024;

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this proxy accepts calls.
    Ping,
    /// A command that client libraries send when they connect. It is accepted and has no effect.
    Handshake,
    /// A request that is forwarded to a server.
    Call(Box<Call>),
}

/// A valid call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The index of the call's class in the settings.
    pub class: usize,
    /// The index of the call's tenant in the settings, or the number of tenants in the settings if the tenant
    /// is missing or unknown.
    pub tenant: usize,
    /// The hash of the call's key: equal keys have equal hashes.
    pub key: u64,
    /// The identity that the client gave the call.
    pub id: Box<[u8]>,
    /// How long the client waits for the response, counted from when it sent the call.
    pub timeout: Micros,
    /// Whether the client marked the call as a retry.
    pub is_retry: bool,
    /// All words of the command, its name first.
    words: Vec<Box<[u8]>>,
    /// The position of the timeout's digits within the options.
    timeout_range: Range<usize>,
}

/// The arguments of a call that the proxy reads. The body of a call is forwarded unread.
struct CallArguments<'a> {
    key: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
}

/// Parses the words of a command, which are its name and its arguments.
///
/// # Errors
/// Returns a [`CallError`] if the command is unknown or is not a valid call.
pub fn parse(words: &[&[u8]], instance: &Instance) -> Result<Command, CallError> {
    let Some((name, arguments)) = words.split_first() else { return Err(CallError::Empty) };
    if name.eq_ignore_ascii_case(b"PING") {
        return Ok(Command::Ping);
    }
    if name.eq_ignore_ascii_case(b"CLIENT") || name.eq_ignore_ascii_case(b"SELECT") {
        return Ok(Command::Handshake);
    }
    let is_get = name.eq_ignore_ascii_case(GET);
    if !is_get && !name.eq_ignore_ascii_case(POST) {
        return Err(CallError::UnknownCommand);
    }
    let CallArguments { key, id, options: option_text } = check_arguments(arguments, is_get)?;
    let options = Options::parse(option_text)?;
    let class = check_class(&options, is_get, instance)?;
    let Some(timeout_range) = options.timeout_range else { return Err(CallError::MissingTimeout) };
    let timeout_ms = parse_timeout_ms(&option_text[timeout_range.clone()])?;
    let tenant = options.tenant.and_then(|name| instance.tenants.iter().position(|t| t.as_bytes() == name));
    Ok(Command::Call(Box::new(Call {
        class,
        tenant: tenant.unwrap_or(instance.tenants.len()),
        key: key_number(key),
        id: id.into(),
        timeout: timeout_ms * 1000,
        is_retry: options.is_retry,
        words: words.iter().map(|word| Box::from(*word)).collect(),
        timeout_range,
    })))
}

/// Checks the number of a call's arguments and the lengths of its key, identity and options.
fn check_arguments<'a>(arguments: &[&'a [u8]], is_get: bool) -> Result<CallArguments<'a>, CallError> {
    let (key, id, options) = match (arguments, is_get) {
        ([key, id, options], true) | ([key, id, options, _], false) => (*key, *id, *options),
        _ => return Err(CallError::ArgumentCount),
    };
    if [key, id, options].iter().any(|argument| argument.is_empty() || argument.len() > MAX_ARGUMENT_BYTES) {
        return Err(CallError::ArgumentLength);
    }
    Ok(CallArguments { key, id, options })
}

/// Returns the index of a call's class, if the command and the options are valid for that class.
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

/// The options of a call that the proxy reads. Other options are forwarded unread.
#[derive(Default)]
struct Options<'a> {
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    idempotency_key: Option<&'a [u8]>,
    /// The position of the timeout's digits within the text of the options.
    timeout_range: Option<Range<usize>>,
    is_retry: bool,
}

impl<'a> Options<'a> {
    /// Parses `name=value` pairs that are separated by commas.
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
                b"d" => options.timeout_range.replace(value_range).is_some(),
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

fn parse_timeout_ms(digits: &[u8]) -> Result<u64, CallError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(CallError::InvalidTimeout);
    }
    let number = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<u64>().ok());
    number.filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms)).ok_or(CallError::InvalidTimeout)
}

impl Call {
    /// Returns the estimated memory that the call needs, in bytes.
    pub fn size(&self) -> usize {
        let words: usize = self.words.iter().map(|word| word.len() + WORD_OVERHEAD_BYTES).sum();
        words + CALL_OVERHEAD_BYTES
    }

    /// Appends the call to `out`, as it is sent to a server, with this timeout in place of the client's. The
    /// timeout is rounded up to a whole number of milliseconds, at least 1.
    pub fn write(&self, out: &mut Vec<u8>, timeout: Micros) {
        let timeout_ms = timeout.div_ceil(1000).max(1).to_string();
        let options = &self.words[OPTIONS_INDEX];
        let before_timeout = &options[..self.timeout_range.start];
        let after_timeout = &options[self.timeout_range.end..];
        let options = [before_timeout, timeout_ms.as_bytes(), after_timeout].concat();
        let mut words: Vec<&[u8]> = self.words.iter().map(|word| &**word).collect();
        words[OPTIONS_INDEX] = &options;
        violetseam_resp::command::write(out, &words);
    }
}
