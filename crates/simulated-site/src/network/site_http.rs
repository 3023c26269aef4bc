//! HTTP of the site: takes connections to servers, to the roster and to the release desk, reads requests from them, and
//! answers those to servers.

use super::connection::{Conn, Later, Role};
use super::headers::{BUILD, CLASS, KEY, NOT_RUN, REQUEST, WORK, WRONG, key_of, number, proxy_of};
use super::state::Site;
use super::{NetworkError, listen};
use crate::model::server::{Reply, ServerRequest};
use crate::scenario::FaultKind;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use http::StatusCode;
use http::header::HeaderName;
use std::net::{SocketAddr, TcpListener, TcpStream};
use violetseam_event_io::{ReadOutcome, Socket};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits};
use violetseam_invariants::{AttemptArrival, AttemptOutcome, ObservedEvent};

impl Site {
    pub(super) fn listen_http(&mut self, address: SocketAddr, role: Role) -> Result<(), NetworkError> {
        let source = Generic::new(listen(address)?, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, move |_, listener, site: &mut Site| {
                while let Ok((stream, _)) = listener.accept() {
                    site.add_conn(stream, role);
                }
                Ok(PostAction::Continue)
            })
            .map_err(|e| NetworkError::Register { address, source: e.error })?;
        Ok(())
    }

    pub(super) fn accept_server(&mut self, machine: u64, listener: &TcpListener) {
        let role = Role::Server(machine);
        let most = self.machines.get(&machine).map_or(0, |m| m.server.spec.connections);
        loop {
            let open = self.conns.iter().filter(|(_, c)| c.role == role).count();
            if open >= most {
                // Full: more wait in the kernel, and their senders run out of patience. The listener is
                // looked at again when a connection closes.
                if let Some((_, token)) = self.machines.get(&machine).and_then(|m| m.listener.as_ref()) {
                    let _ = self.handle.disable(token);
                }
                return;
            }
            let Ok((stream, _)) = listener.accept() else { return };
            self.add_conn(stream, role);
        }
    }

    fn add_conn(&mut self, stream: TcpStream, role: Role) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        self.kept.generation += 1;
        let generation = self.kept.generation;
        let slow = self.active(FaultKind::SlowHandshake).filter(|_| matches!(role, Role::Server(_)));
        let wait = slow.map(|t| (t.magnitude * 1e3) as u64);
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let interest = if wait.is_some() { Interest::EMPTY } else { Interest::READ };
        let on_ready = move |readiness: Readiness, site: &mut Site| site.on_conn(key, readiness);
        let Ok(socket) = Socket::register(&self.handle, stream, interest, on_ready) else { return };
        let http = ServerConnection::new(Limits::default());
        entry.insert(Conn {
            generation,
            role,
            socket,
            http,
            head: None,
            body: Vec::new(),
            job: None,
            stream: None,
            sender: None,
            severed: false,
        });
        if let Some(wait) = wait {
            self.kept.at(self.clock.now() + wait, Later::Read(key, generation));
        }
    }

    fn on_conn(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush(key);
        }
        if !(readiness.readable || readiness.error) {
            return;
        }
        let mut bytes = [0; 16 * 1024];
        let Some(conn) = self.conns.get_mut(key) else { return };
        match conn.socket.read(&mut bytes) {
            ReadOutcome::Bytes(_) if conn.severed => {}
            ReadOutcome::Bytes(n) => {
                conn.http.feed(&bytes[..n]);
                self.events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.close(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key).filter(|conn| !conn.severed) {
            match conn.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    let proxy = proxy_of(&head);
                    conn.head = Some(head);
                    conn.body.clear();
                    if let Role::Server(machine) = conn.role {
                        conn.sender = Some(proxy);
                        if self.out_of_reach(proxy, machine) {
                            return self.sever(key);
                        }
                        self.arrived(key, machine);
                    }
                }
                Some(ServerEvent::Body(bytes)) => conn.body.extend_from_slice(&bytes),
                Some(ServerEvent::End) => match conn.role {
                    Role::Server(machine) => self.serve(key, machine),
                    Role::Discovery => self.serve_discovery(key),
                    Role::ReleaseService => self.serve_release_service(key),
                },
                Some(ServerEvent::Error(_)) => return self.close(key),
            }
        }
    }

    /// An attempt's head has come: from here on it may run.
    fn arrived(&mut self, key: usize, machine: u64) {
        self.kept.next_job += 1;
        let job = self.kept.next_job;
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = Some(job);
        let Some(head) = &conn.head else { return };
        let (proxy, request) = (proxy_of(head), number(head, REQUEST).unwrap_or(0));
        let class = number(head, CLASS).unwrap_or(0) as usize;
        let key_text = head.headers.get(KEY).and_then(|v| v.to_str().ok());
        let (request_key, work) = (key_text.map_or(0, key_of), number(head, WORK).unwrap_or(0));
        self.kept.jobs.insert(job, key);
        let Some(m) = self.machines.get(&machine) else { return };
        let (build, spec) = (m.server.build.number, &m.server.spec);
        let newest = build > self.scenario.rollout.first_build && build == self.desk.news().build;
        self.lately = (self.lately.0 + f64::from(u8::from(newest)), self.lately.1 + 1.0);
        let arrival = AttemptArrival {
            attempt: job,
            request,
            proxy,
            server: machine,
            build,
            zone: spec.zone,
            cell: spec.cell,
            class,
            key: request_key,
            work,
        };
        self.see(ObservedEvent::AttemptArrived(arrival));
    }

    fn serve(&mut self, key: usize, machine: u64) {
        let now = self.clock.now();
        let contract = self.scenario.service_rules.overload_limit();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (Some(job), Some(head)) = (conn.job, conn.head.take()) else { return };
        let class = (number(&head, CLASS).unwrap_or(0) as usize).min(self.scenario.classes.len() - 1);
        let key_text = head.headers.get(KEY).and_then(|v| v.to_str().ok());
        let request_key = key_text.map_or(0, key_of);
        let work = number(&head, WORK).unwrap_or(1_000) as f64;
        let Some(m) = self.machines.get_mut(&machine) else { return };
        if m.draining {
            return self.reply(job, Reply::NotRun);
        }
        let spec = &self.scenario.classes[class];
        let repeat = self.dedup_caches.is_duplicate(now, spec, class, request_key, &m.server.spec);
        let job_is = ServerRequest { id: job, class, key: request_key, work };
        if let Some(reply) = m.server.accept(now, job_is, repeat, contract, &mut self.rng) {
            self.reply(job, reply);
        }
    }

    /// A server's reply goes out, if its connection is still there.
    pub(super) fn reply(&mut self, job: u64, reply: Reply) {
        let Some(key) = self.kept.jobs.remove(&job) else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = None;
        let (Role::Server(machine), sender) = (conn.role, conn.sender) else { return };
        let build = self.machines.get(&machine).map_or(0, |m| m.server.build.number).to_string();
        let mut fields = vec![(HeaderName::from_static(BUILD), build.as_bytes())];
        let (status, end) = match reply {
            Reply::Ok { is_wrong } => {
                if is_wrong {
                    fields.push((HeaderName::from_static(WRONG), b"1"));
                }
                self.report.replies.ok += 1;
                (StatusCode::OK, AttemptOutcome::Ok)
            }
            Reply::Error => {
                self.report.replies.error += 1;
                (StatusCode::INTERNAL_SERVER_ERROR, AttemptOutcome::Error)
            }
            Reply::NotRun => {
                fields.push((HeaderName::from_static(NOT_RUN), b"1"));
                self.report.replies.not_run += 1;
                (StatusCode::SERVICE_UNAVAILABLE, AttemptOutcome::NotRun)
            }
        };
        self.see_end(job, end);
        if sender.is_some_and(|proxy| self.out_of_reach(proxy, machine)) {
            // The server has answered; the answer is lost on the way.
            return self.sever(key);
        }
        let Some(conn) = self.conns.get_mut(key) else { return };
        let out = conn.socket.write_buffer();
        let start = ResponseStart::new(status, Framing::Length(3));
        conn.http.start_response(out, ResponseStart { extra_fields: &fields, ..start });
        conn.http.write_body(out, b"ok\n");
        conn.http.finish_response(out);
        self.flush(key);
        self.events(key);
    }
}
