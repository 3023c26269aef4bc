//! The release status, which arrives on a stream and in replies to votes: a report that was overtaken on the
//! other connection must not replace a newer one.

mod common;

use common::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const READ: &str = "GET /read/1 HTTP/1.1";
/// The trial of build 2, and the same build as it is rolled back. The release service does not number its
/// statuses.
const TRIAL: &str = r#"{"build":2,"stage":0,"phase":"trial","cap":0.5}"#;
const ROLLING_BACK: &str = r#"{"build":2,"stage":0,"phase":"rolling_back","cap":0.0}"#;
/// How long the test waits for the vote, which needs several windows of evidence.
const VOTE_LIMIT: Duration = Duration::from_secs(60);
/// Longer than the drain grace of the settings, after which a lower cap binds, and than the time that the
/// proxy takes to read a report.
const PAST_GRACE: Duration = Duration::from_millis(600);
const REQUESTS_AFTER_GRACE: usize = 60;

/// A release service whose statuses and replies the test sends.
struct ReleaseService {
    addr: SocketAddr,
    /// Sends lines on the proxy's stream.
    lines: Receiver<Sender<String>>,
    /// The connections of votes, whose requests have been read.
    votes: Receiver<TcpStream>,
}

fn release_service() -> ReleaseService {
    let (line_senders, lines) = channel();
    let (vote_streams, votes) = channel();
    let senders = Mutex::new((line_senders, vote_streams));
    let server = scripted_server(move |_, mut stream| {
        let Some(request) = read_request(&stream) else { return };
        if request.starts_with("POST") {
            let _ = senders.lock().unwrap().1.send(stream);
            return;
        }
        let (line_sender, received) = channel();
        line_sender.send(TRIAL.to_owned()).unwrap();
        senders.lock().unwrap().0.send(line_sender).unwrap();
        stream_lines(&mut stream, &received);
    });
    ReleaseService { addr: server.addr, lines, votes }
}

/// Starts a server that answers each request at once and counts the requests.
fn counting_server() -> (ScriptedServer, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let server = scripted_server(move |_, mut stream| {
        while read_request(&stream).is_some() {
            counted.fetch_add(1, Ordering::SeqCst);
            write_response(&mut stream, "200 OK", "", "fine");
        }
    });
    (server, count)
}

/// A proxy that has voted on build 2.
struct VotedTrial {
    proxy: Proxy,
    new_build_requests: Arc<AtomicUsize>,
    lines: Sender<String>,
    vote: TcpStream,
}

impl VotedTrial {
    fn start() -> VotedTrial {
        let (earlier, _) = counting_server();
        let (new, new_build_requests) = counting_server();
        let service = release_service();
        let entry = |id: u64, addr: SocketAddr, build: u16| {
            format!("{{\"id\":{id},\"addr\":\"{addr}\",\"build\":{build},\"state\":\"ready\"}}")
        };
        let entries = [entry(1, earlier.addr, 1), entry(2, new.addr, 2)].join(",");
        let site = Site::start(format!("{{\"kind\":\"full\",\"version\":5,\"servers\":[{entries}]}}"));
        let text = settings_text(&site, "")
            .replace(
                &format!("desk(addr = \"{}\"", site.release_service.addr),
                &format!("desk(addr = \"{}\"", service.addr),
            )
            .replace("vote_ttl = \"4s\"", "vote_ttl = \"60s\", call_timeout = \"10s\", uncounted = 2");
        let proxy = Proxy::with_settings(site, &text);
        let lines = service.lines.recv().unwrap();
        let vote = VotedTrial::request_until_voted(&proxy, &service.votes);
        VotedTrial { proxy, new_build_requests, lines, vote }
    }

    fn request_until_voted(proxy: &Proxy, votes: &Receiver<TcpStream>) -> TcpStream {
        let give_up_at = Instant::now() + VOTE_LIMIT;
        let mut stream = proxy.connect();
        loop {
            assert!(Instant::now() < give_up_at, "the proxy does not vote");
            send_request(&mut stream, READ, "");
            read_response(&mut stream);
            if let Ok(vote) = votes.try_recv() {
                return vote;
            }
        }
    }

    fn reply_to_vote(&mut self, status: &str) {
        let body = format!("{{\"outcome\":\"ok\",\"news\":{status}}}");
        write_response(&mut self.vote, "200 OK", "", &body);
    }

    /// Waits until no request goes to the new build any more.
    fn await_rollback(&self) {
        wait_for("the cap of 0 to bind", || self.new_build_share(20) == 0);
    }

    /// Makes requests, and returns how many of them went to the new build.
    fn new_build_share(&self, requests: usize) -> usize {
        let before = self.new_build_requests.load(Ordering::SeqCst);
        let mut stream = self.proxy.connect();
        for _ in 0..requests {
            send_request(&mut stream, READ, "");
            let response = read_response(&mut stream);
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        }
        self.new_build_requests.load(Ordering::SeqCst) - before
    }

    fn expect_no_requests_at_new_build(self) {
        std::thread::sleep(PAST_GRACE);
        assert_eq!(self.new_build_share(REQUESTS_AFTER_GRACE), 0, "requests to a build with the cap 0");
        drop((self.lines, self.vote));
        self.proxy.drain();
    }
}

/// Guards against requests to a build that is rolled back, because the reply to a vote was late and brought
/// back the status before.
#[test]
fn a_late_reply_to_a_vote_does_not_override_a_rollback_on_the_stream() {
    let mut trial = VotedTrial::start();
    trial.lines.send(ROLLING_BACK.to_owned()).unwrap();
    trial.await_rollback();
    trial.reply_to_vote(TRIAL);
    trial.expect_no_requests_at_new_build();
}

/// Guards against requests to a build that is rolled back, because a status on the stream was late and
/// replaced the one in the reply to a vote.
#[test]
fn a_late_status_on_the_stream_does_not_override_a_rollback_in_a_reply() {
    let mut trial = VotedTrial::start();
    trial.reply_to_vote(ROLLING_BACK);
    trial.await_rollback();
    trial.lines.send(TRIAL.to_owned()).unwrap();
    trial.expect_no_requests_at_new_build();
}
