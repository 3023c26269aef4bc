//! Writing to connections, cutting them off and closing them.

use super::connection::{Conn, Later, Role};
use super::state::Site;
use crate::scenario::{Fault, FaultKind};
use http::StatusCode;
use violetseam_http1::Framing;
use violetseam_http1::server::ResponseStart;
use violetseam_invariants::{AttemptOutcome, EndpointListCall, ObservedEvent};

impl Site {
    pub(super) fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.socket.flush().is_err() {
            return self.close(key);
        }
        conn.socket.set_read_interest(&self.handle, true);
    }

    pub(super) fn close(&mut self, key: usize) {
        if !self.conns.contains(key) {
            return;
        }
        let conn = self.conns.remove(key);
        conn.socket.remove(&self.handle);
        if let Some(job) = conn.job {
            self.kept.jobs.remove(&job);
            self.see_end(job, AttemptOutcome::Lost);
        }
        if let Role::Server(machine) = conn.role
            && let Some(m) = self.machines.get_mut(&machine)
        {
            if let Some(job) = conn.job {
                m.server.cancel(self.clock.now(), job);
            }
            if let Some((_, token)) = m.listener.as_ref().filter(|_| !m.silent) {
                let _ = self.handle.enable(token);
            }
        }
        if let (Role::Discovery, Some((proxy, ..))) = (conn.role, conn.stream)
            && self.kept.watches.get(&proxy) == Some(&key)
        {
            self.kept.watches.remove(&proxy);
            self.see(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::WatchEnded });
        }
    }

    pub(super) fn close_connections_of(&mut self, machine: u64) {
        let of = |c: &Conn| c.role == Role::Server(machine);
        let keys: Vec<usize> = self.conns.iter().filter(|(_, c)| of(c)).map(|(k, _)| k).collect();
        keys.into_iter().for_each(|key| self.close(key));
    }

    /// From now on nothing of a connection arrives. The other side learns of that by its own time-out, and its end of
    /// the connection is still seen, so that nothing of it stays open.
    pub(super) fn sever(&mut self, key: usize) {
        if let Some(conn) = self.conns.get_mut(key) {
            (conn.severed, conn.head) = (true, None);
        }
    }

    /// Servers can be reached again: what was severed is closed, as its bytes are lost.
    pub(super) fn end_unreachable(&mut self) {
        let severed: Vec<usize> = self.conns.iter().filter(|(_, c)| c.severed).map(|(k, _)| k).collect();
        severed.into_iter().for_each(|key| self.close(key));
    }

    /// Proxies are cut off from the roster or the desk: their endless answers end.
    pub(super) fn cut_streams(&mut self, trouble: &Fault) {
        let role = if trouble.kind == FaultKind::DiscoveryPartition {
            Role::Discovery
        } else {
            Role::ReleaseService
        };
        let cut =
            |c: &Conn| c.role == role && c.stream.is_some_and(|s| trouble.targets.contains(&(s.0 as usize)));
        let cut: Vec<usize> = self.conns.iter().filter(|(_, c)| cut(c)).map(|(k, _)| k).collect();
        cut.into_iter().for_each(|key| self.close(key));
    }

    /// A machine is cut off: it answers nobody, and nobody hears that it is gone. What it held ends there
    /// for the records, as from then on it cannot see a cancel. When it is back, nothing that was sent to it
    /// meanwhile has arrived: old connections close unread.
    pub(super) fn set_silent(&mut self, machine: u64, silent: bool) {
        let now = self.clock.now();
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.silent = silent;
        let listener = m.listener.clone();
        if !silent {
            if let Some((listener, token)) = listener {
                while listener.accept().is_ok() {}
                let _ = self.handle.enable(&token);
            }
            return self.close_connections_of(machine);
        }
        if let Some((_, token)) = &listener {
            let _ = self.handle.disable(token);
        }
        let mut jobs = Vec::new();
        for (_, conn) in self.conns.iter_mut().filter(|(_, c)| c.role == Role::Server(machine)) {
            conn.socket.set_read_interest(&self.handle, false);
            jobs.extend(conn.job.take());
        }
        for job in jobs {
            self.kept.jobs.remove(&job);
            self.see_end(job, AttemptOutcome::Lost);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.server.cancel(now, job);
            }
        }
    }

    pub(super) fn open_requests(&self) -> usize {
        self.kept.jobs.len()
    }

    /// Starts an answer of lines; `whole`: it ends with them.
    pub(super) fn stream(&mut self, key: usize, lines: &[u8], whole: bool) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let out = conn.socket.write_buffer();
        let framing = if whole { Framing::Length(lines.len() as u64) } else { Framing::Chunked };
        conn.http.start_response(out, ResponseStart::new(StatusCode::OK, framing));
        conn.http.write_body(out, lines);
        if whole {
            conn.http.finish_response(out);
        }
        self.flush(key);
    }

    pub(super) fn stream_more(&mut self, key: usize, line: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.http.write_body(conn.socket.write_buffer(), line);
        self.flush(key);
    }

    pub(super) fn play_kept(&mut self, now: u64) {
        while let Some((&at, _)) = self.kept.later.first_key_value().filter(|(k, _)| k.0 <= now) {
            let Some(later) = self.kept.later.remove(&at) else { return };
            let fresh =
                |key: usize, generation| self.conns.get(key).is_some_and(|c| c.generation == generation);
            match later {
                Later::Reply(key, generation, body) if fresh(key, generation) => {
                    self.stream(key, &body, true);
                }
                Later::Read(key, generation) if fresh(key, generation) => {
                    self.conns[key].socket.set_read_interest(&self.handle, true);
                }
                Later::Reply(..) | Later::Read(..) => {}
            }
        }
    }
}
