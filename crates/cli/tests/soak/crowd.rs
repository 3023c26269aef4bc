//! A crowd of bad clients at one proxy: they stop inside commands, write slowly, send bursts and noise, and
//! leave while what they sent is unread.

use super::common::piecewise_writer::PiecewiseWriter;
use super::common::platform::{encode_command, look};
use super::draw::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The number of connections of one member of the crowd.
const CONNECTIONS: usize = 100;
/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
const ROUND: Duration = Duration::from_millis(10);
const LARGE_BODY_BYTES: usize = 64 * 1024;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// One connection: what is left to be sent on it, and how much of it at once.
struct BadClient {
    writer: PiecewiseWriter,
    piece: usize,
    /// For how many rounds the client stays.
    rounds_left: u64,
}

/// Draws what a bad client sends.
fn draw_message(rng: &mut Rng, proxy: usize, n: usize) -> Vec<u8> {
    let id = format!("{proxy}-crowd-{n}");
    let body = "x".repeat(LARGE_BODY_BYTES);
    let options = format!("c=book,t=one,d=2000,k={n}");
    let large = encode_command(&["CALL.POST", &format!("key-{id}"), &id, &options, &body]);
    let call = look(&id, 1_000);
    match rng.below(7) {
        0 => large[..large.len() - 1 - rng.below(60_000) as usize].to_vec(),
        1 => large,
        2 => PING.repeat(1 + rng.below(400) as usize),
        3 => [call, b"hello\r\n".to_vec()].concat(),
        4 => (0..200).flat_map(|m| look(&format!("{id}-{m}"), 500)).collect(),
        5 => [call, large].concat(),
        _ => [b"*16\r\n".to_vec(), b"$1\r\na\r\n".repeat(15)].concat(),
    }
}

impl BadClient {
    fn connect(addr: SocketAddr, rng: &mut Rng, message: Vec<u8>) -> Option<BadClient> {
        let writer = PiecewiseWriter::connect(addr, CONNECT_TIMEOUT, message)?;
        let piece = *rng.pick(&[7, 900, 20_000, usize::MAX]);
        Some(BadClient { writer, piece, rounds_left: rng.below(200) })
    }

    /// Sends a piece and reads what has come. Returns whether the client stays.
    fn run_round(&mut self) -> bool {
        let is_open = self.writer.write_piece(self.piece);
        self.rounds_left = self.rounds_left.saturating_sub(1);
        is_open && self.rounds_left > 0
    }
}

/// Keeps [`CONNECTIONS`] bad clients at one proxy until told to stop.
pub fn run_crowd(proxy: usize, member: u64, addr: SocketAddr, seed: u64, stop: &AtomicBool) {
    let mut rng = Rng::new(seed, 9_000 + member);
    let mut clients: Vec<Option<BadClient>> = (0..CONNECTIONS).map(|_| None).collect();
    let mut opened = member as usize * 1_000_000;
    while !stop.load(Ordering::Relaxed) {
        for client in &mut clients {
            if client.as_mut().is_none_or(|client| !client.run_round()) {
                opened += 1;
                let message = draw_message(&mut rng, proxy, opened);
                *client = BadClient::connect(addr, &mut rng, message);
            }
        }
        std::thread::sleep(ROUND);
    }
}
