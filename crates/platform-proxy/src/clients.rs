//! Client connections: from bytes to a whole call for the engine, and from an answer to bytes.
//!
//! Answers go out in the order of a connection's commands. What is no sound call is answered with an error
//! here, and the connection ends after that: nothing of it reaches the decisions or a server.

use super::{Ending, Proxy, What};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use violetseam::interface::{Micros, Request, RequestId};
use violetseam_loopio::{Got, HIGH_WATER, Socket, listen};
use violetseam_platform::answer;
use violetseam_platform::call::{self, Call, Command};
use violetseam_proxy::engine::LocalResponse;
use violetseam_resp::command;

/// Connections accepted in one turn of the loop.
const ACCEPTS_MOST: usize = 64;
/// A listener that ran out of room or descriptors pauses so long.
const ACCEPT_PAUSE: Micros = 20_000;
/// Commands of one connection that wait for their answers at once, and that one read may bring: clients open
/// more connections where all are busy, so a burst of more is none of theirs.
const PIPELINED_MOST: usize = 32;
/// A connection that has not sent one whole command by then is closed.
const UNPROVEN: Micros = 1_500_000;
/// A command must be whole so long after its first byte.
const HALF_COMMAND: Micros = 1_500_000;
/// After the last answer a connection is read and its input dropped for so long and so many bytes: closed at
/// once over unread bytes, it would be reset, and the answer could be lost with it.
const LINGER: Micros = 300_000;
const LINGER_BYTES: usize = 256 * 1024;
/// Answers that a client does not take are held for so long.
const UNREAD: Micros = 3_000_000;

/// A client connection.
pub(super) struct Client {
    generation: u64,
    socket: Socket,
    /// Input that no command has taken yet.
    input: Vec<u8>,
    /// Answers in the order of their commands.
    owed: VecDeque<Owed>,
    state: State,
    /// Its input is being taken apart, and lies elsewhere meanwhile.
    reading: bool,
    /// Commands wait in its input until there is room for their answers.
    waiting: bool,
    /// A whole sound command has come.
    proven: bool,
    /// Since when nothing has been owed, or the present command is on its way.
    quiet_since: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing more is read: the connection ends after the answers that are owed.
    Closing,
    /// An error was the last answer, and this side is closed; so many bytes have been dropped.
    Lingering(usize),
    /// This side has ended the connection between two requests. Nothing is read any more: a request that crossed the
    /// end has not been taken, and its client sends it elsewhere.
    Ended,
}

/// A place in the order of answers.
enum Owed {
    Request(RequestId),
    Ready(Vec<u8>),
}

/// A request that the engine has: what it takes to send it, and where its answer goes.
pub(super) struct Held {
    client: usize,
    client_generation: u64,
    pub call: Call,
    /// Connections of the attempts, by number.
    pub attempts: Vec<Option<usize>>,
}

impl Ending {
    /// Whether this side may end a connection now: on the way out, between two requests.
    fn may_end(self, client: &Client) -> bool {
        match self {
            Ending::No | Ending::Told => false,
            Ending::Leaving => client.is_free(),
            Ending::LastAnswers => client.is_answered(),
        }
    }
}

impl Client {
    /// A whole sound command has come on it.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Nothing is owed on it, and no part of a command has come: it may be closed without a request's loss once
    /// nothing lies unread either.
    pub fn is_free(&self) -> bool {
        self.is_answered() && self.input.is_empty()
    }

    /// Nothing is owed on it: at a process's last answers it may be closed, also over a part of a command.
    pub fn is_answered(&self) -> bool {
        self.owed.is_empty() && !self.socket.waits() && !self.reading
    }

    /// Bytes, or its end, lie unread in the kernel.
    pub fn has_unread(&self) -> bool {
        self.socket.is_stale()
    }

    /// Tells it from others that had its place.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// No further command is taken before an answer has gone.
    fn is_full(&self) -> bool {
        self.owed.len() >= PIPELINED_MOST || self.socket.unwritten() > HIGH_WATER
    }

    /// Since when nothing has been owed on it.
    pub fn quiet_since(&self) -> Micros {
        self.quiet_since
    }
}

impl Proxy {
    pub(super) fn listen(&mut self) -> std::io::Result<()> {
        let listener: Rc<TcpListener> = Rc::new(listen(self.config.listen, 1024)?);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, |_, listener, proxy: &mut Proxy| {
                proxy.accept(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        self.listener = Some((listener, token));
        Ok(())
    }

    fn accept(&mut self, listener: &TcpListener) {
        self.heard = true;
        for _ in 0..ACCEPTS_MOST {
            if !self.room_for_client() {
                return self.pause_accepting();
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.add_client(stream)
                        && self.may_say()
                    {
                        tracing::warn!("client not taken: {e}");
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    return if self.is_leaving() {
                        self.stop_listening()
                    };
                }
                // The client left before it was accepted.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                // Out of descriptors or memory: connections wait in the kernel's queue, none is lost.
                Err(e) => {
                    if self.may_say() {
                        tracing::warn!("accepting pauses: {e}");
                    }
                    return self.pause_accepting();
                }
            }
        }
    }

    fn pause_accepting(&mut self) {
        if let Some((_, token)) = &self.listener
            && std::mem::replace(&mut self.accepting, false)
        {
            drop(self.handle.disable(token));
            self.timers.set(self.now() + ACCEPT_PAUSE, What::Accept);
        }
    }

    pub(super) fn accept_again(&mut self) {
        if let Some((_, token)) = &self.listener {
            drop(self.handle.enable(token));
            self.accepting = true;
            if self.is_leaving() {
                self.accept_rest();
            }
        }
    }

    /// On the way out: takes what waits in the kernel's queue, and listens no more once that is empty. One in the
    /// queue would else be neither taken nor free to go elsewhere.
    fn accept_rest(&mut self) {
        if let Some((listener, _)) = &self.listener {
            let listener = listener.clone();
            self.accept(&listener);
        }
    }

    fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let (generation, quiet_since) = (self.next_generation(), self.now());
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::READ, on_ready)?;
        entry.insert(Client {
            generation,
            socket,
            input: Vec::new(),
            owed: VecDeque::new(),
            state: State::Open,
            reading: false,
            waiting: false,
            proven: false,
            quiet_since,
        });
        Ok(())
    }

    /// Takes a connection off the loop and tells nobody.
    pub(super) fn close_client(&mut self, key: usize) {
        if let Some(client) = self.clients.try_remove(key) {
            self.closed_while_owed += u64::from(!client.is_answered());
            client.socket.remove(&self.handle);
        }
    }

    /// The connection broke, or its client closed it: nothing is owed any more.
    fn client_gone(&mut self, key: usize) {
        let Some(client) = self.clients.try_remove(key) else { return };
        client.socket.remove(&self.handle);
        let now = self.now();
        for owed in client.owed {
            if let Owed::Request(id) = owed {
                self.engine.on_client_disconnected(now, id);
            }
        }
    }

    fn on_client(&mut self, key: usize, readiness: Readiness) {
        if self.clients.get(key).is_some_and(|client| client.state == State::Ended) {
            // Nothing is asked for: the other side has ended, too.
            return self.close_client(key);
        }
        if readiness.writable {
            self.flush_client(key);
        }
        if readiness.readable || readiness.error {
            self.read_client(key);
        }
        self.pump();
    }

    /// Reads once; whether anything was there.
    fn read_client(&mut self, key: usize) -> bool {
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut got = Got::Nothing;
        if let Some(client) = self.clients.get_mut(key) {
            got = client.socket.read(&mut scratch);
            match (got, client.state) {
                (Got::Bytes(n), State::Open) => {
                    client.input.extend_from_slice(&scratch[..n]);
                    self.client_commands(key);
                }
                (Got::Bytes(n), State::Lingering(dropped)) if dropped + n < LINGER_BYTES => {
                    client.state = State::Lingering(dropped + n);
                }
                (Got::Bytes(_), State::Lingering(_)) => self.close_client(key),
                (Got::Bytes(_) | Got::Nothing, _) => {}
                (Got::Closed | Got::Broken, _) => self.client_gone(key),
            }
        }
        self.scratch = scratch;
        self.rest_client(key);
        got != Got::Nothing
    }

    /// Takes the commands that the input holds. All are read before the first is taken, as what is taken must
    /// be answered: of a burst none is.
    fn client_commands(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.waiting = client.is_full();
        if client.waiting {
            return;
        }
        let input = std::mem::take(&mut client.input);
        client.reading = true;
        let (mut commands, mut used) = (Vec::new(), 0);
        let fault = loop {
            match command::read(&input[used..], &self.bounds) {
                Ok(Some((words, length))) => {
                    used += length;
                    commands.push(words);
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault.to_string()),
            }
            if commands.len() > PIPELINED_MOST {
                commands.clear();
                break Some("too many commands at once".into());
            }
        };
        for words in commands {
            self.client_command(key, &words);
        }
        if let Some(why) = fault
            && self.is_open(key)
        {
            self.decline(key, &why);
        }
        let now = self.now();
        if let Some(client) = self.clients.get_mut(key) {
            client.reading = false;
            if client.state == State::Open {
                client.quiet_since = if used > 0 { now } else { client.quiet_since };
                client.input = if used == 0 { input } else { input[used..].to_vec() };
            }
        }
        self.flush_client(key);
    }

    fn is_open(&self, key: usize) -> bool {
        self.clients.get(key).is_some_and(|c| c.state == State::Open)
    }

    fn client_command(&mut self, key: usize, words: &[&[u8]]) {
        if !self.is_open(key) {
            return;
        }
        if self.clients[key].owed.len() >= PIPELINED_MOST {
            return self.decline(key, "too many commands at once");
        }
        match call::read(words, &self.config.instance) {
            Ok(Command::Ping) if self.is_ready() => self.reply(key, b"+PONG\r\n"),
            Ok(Command::Ping) => self.reply(key, b"-LOADING no server list yet\r\n"),
            Ok(Command::Courtesy) => self.reply(key, b"+OK\r\n"),
            Ok(Command::Call(call)) => self.take_call(key, *call),
            Err(why) => self.decline(key, &why.0),
        }
    }

    /// Answers at once what is no request.
    fn reply(&mut self, key: usize, bytes: &[u8]) {
        if let Some(client) = self.clients.get_mut(key) {
            client.owed.push_back(Owed::Ready(bytes.to_vec()));
        }
    }

    /// Answers what cannot be taken, and ends the connection after that.
    fn decline(&mut self, key: usize, why: &str) {
        tracing::debug!(client = key, "declined: {why}");
        if let Some(client) = self.clients.get_mut(key) {
            let mut bytes = Vec::new();
            answer::write_malformed(&mut bytes, why);
            client.owed.push_back(Owed::Ready(bytes));
            client.state = State::Closing;
        }
    }

    fn take_call(&mut self, key: usize, call: Call) {
        if self.open_ids.contains_key(&call.id) {
            return self.decline(key, "a request with this id is open");
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        client.proven = true;
        let client_generation = client.generation;
        if self.held.len() >= self.budgets.open || self.held_bytes + call.size() > self.budgets.held_bytes {
            // Bounds of this process, not of the service: it never ran.
            return self.reply(key, b"-BUSY\r\n");
        }
        let now = self.now();
        // The client's wait began when it sent; how late this loop is, the call may have lain unread.
        let unread = self.timers.behind(now, self.engine.next_deadline());
        let request = Request {
            id: 0,
            deadline: now + call.wait.saturating_sub(unread),
            class: call.class,
            cost_hint: None,
            key: Some(call.key),
            tenant: call.tenant,
            is_retry: call.is_retry,
        };
        self.held_bytes += call.size();
        let (class, wait, is_retry) = (call.class, call.wait, call.is_retry);
        let id = self.engine.on_request(now, request, true);
        let client_id = String::from_utf8_lossy(&call.id);
        tracing::debug!(request = id, %client_id, client = key, class, wait, unread, is_retry, "request");
        self.open_ids.insert(call.id.clone(), id);
        self.held.insert(id, Held { client: key, client_generation, call, attempts: Vec::new() });
        if let Some(client) = self.clients.get_mut(key) {
            client.owed.push_back(Owed::Request(id));
        }
        self.pump();
    }

    /// A final answer of the proxy's own.
    pub(super) fn answer_own(&mut self, request: RequestId, last: LocalResponse) {
        let mut bytes = Vec::new();
        tracing::debug!(request, ?last, "own answer");
        match last {
            LocalResponse::Rejected { retry_after } => answer::write_refused(&mut bytes, retry_after),
            LocalResponse::Failed { .. } => answer::write_failed(&mut bytes),
        }
        self.answer(request, bytes);
    }

    /// Puts a final answer in its place and writes what is in turn.
    pub(super) fn answer(&mut self, request: RequestId, bytes: Vec<u8>) {
        let Some(held) = self.held.get(&request) else { return };
        let (key, generation) = (held.client, held.client_generation);
        let Some(client) = self.clients.get_mut(key).filter(|c| c.generation == generation) else { return };
        let place = client.owed.iter_mut().find(|o| matches!(o, Owed::Request(id) if *id == request));
        if let Some(place) = place {
            *place = Owed::Ready(bytes);
        }
        self.flush_client(key);
        self.rest_client(key);
    }

    /// Nothing about the request is in hand any more.
    pub(super) fn forget(&mut self, request: RequestId) {
        if let Some(held) = self.held.remove(&request) {
            self.held_bytes -= held.call.size();
            self.open_ids.remove(&held.call.id);
        }
    }

    /// Writes the answers that are in turn.
    fn flush_client(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut moved = false;
        while let Some(Owed::Ready(_)) = client.owed.front() {
            if let Some(Owed::Ready(bytes)) = client.owed.pop_front() {
                client.socket.out().extend_from_slice(&bytes);
                moved = true;
            }
        }
        if moved || client.socket.waits() {
            client.quiet_since = now;
        }
        if client.socket.flush().is_err() {
            return self.client_gone(key);
        }
        if client.state == State::Closing && client.owed.is_empty() && !client.socket.waits() {
            client.socket.close_write();
            client.state = State::Lingering(0);
        }
        let ends = self.ending.may_end(client);
        let goes_on = client.waiting && !client.is_full();
        if client.state == State::Open && (ends || goes_on) {
            self.revisit.push((key, client.generation));
        }
    }

    /// Looks again at connections on which commands waited for room, or that may end as this process does. What
    /// has come is read first, as the request in it was taken: a connection that closes over unread bytes is reset,
    /// and an answer that its client has not read yet may be lost with it.
    pub(super) fn revisit_clients(&mut self) {
        for (key, generation) in std::mem::take(&mut self.revisit) {
            let is = |c: &&mut Client| c.generation == generation && c.state == State::Open;
            let Some(client) = self.clients.get_mut(key).filter(is) else { continue };
            if client.waiting && !client.is_full() {
                self.client_commands(key);
                self.rest_client(key);
            }
            let came = self.read_client(key);
            self.pump();
            let now = self.now();
            let ending = self.ending;
            let Some(client) = self.clients.get_mut(key).filter(is).filter(|c| ending.may_end(c)) else {
                continue;
            };
            if came {
                self.revisit.push((key, generation));
            } else {
                client.socket.close_write();
                (client.state, client.quiet_since) = (State::Ended, now);
                self.rest_client(key);
            }
        }
    }

    /// Sets what the connection is to be woken for.
    fn rest_client(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let read = match client.state {
            // Read on while commands wait, within the bound of one: that the client has left shows in nothing else.
            State::Open => !client.is_full() || client.input.len() < self.bounds.whole,
            // What comes now is read for its end only.
            State::Closing => false,
            State::Lingering(_) => true,
            State::Ended => false,
        };
        client.socket.want(&self.handle, read);
    }

    /// Closes what has had its time: silent connections, half commands, answers that nobody takes.
    pub(super) fn clients_upkeep(&mut self, now: Micros) {
        let over = |c: &Client| {
            let quiet = now.saturating_sub(c.quiet_since);
            match c.state {
                State::Lingering(_) | State::Ended => quiet >= LINGER,
                _ if c.socket.waits() => quiet >= UNREAD,
                _ if !c.owed.is_empty() => false,
                _ if !c.proven => quiet >= UNPROVEN,
                _ => !c.input.is_empty() && quiet >= HALF_COMMAND,
            }
        };
        let over: Vec<usize> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        for key in over {
            let state = self.clients.get(key).map(|client| (client.state, client.owed.len()));
            tracing::debug!(client = key, ?state, "closed: its time is over");
            self.client_gone(key);
        }
    }

    /// Takes nothing new but what is on its way: connections in the kernel's queue, commands on those that have
    /// none yet. The others end between two requests.
    pub(super) fn leave(&mut self) {
        self.ending = self.ending.max(Ending::Leaving);
        self.accept_rest();
        let free = self.clients.iter().filter(|(_, c)| c.proven && c.is_free());
        self.revisit.extend(free.map(|(key, c)| (key, c.generation)));
    }
}
