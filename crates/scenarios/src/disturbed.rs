//! What a flood of control connections and a takeover add to the times of requests, beside quiet spans of the
//! same run.
//!
//! Clients ask at a fixed rate, each on a connection of its own, and a request counts from the moment it was
//! due. A connection that the proxy closes between two requests is opened again, as any client does; a request
//! is lost if a second connection does not answer it either.

use crate::measure::{Plan, echo, median, settings, site};
use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: usize = 32;
const FLOOD: usize = 1_000;
const KINDS: [&str; 3] = ["quiet", "1,000 control connections", "takeover"];

/// One client: asks at its rate until told to stop; times by the kind of span in which a request was due.
fn client(
    addr: SocketAddr,
    n: usize,
    pace: f64,
    kind: &AtomicUsize,
    stop: &AtomicBool,
) -> (Vec<Histogram<u64>>, u64, Vec<u64>) {
    let new = || Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut times: Vec<Histogram<u64>> = (0..=KINDS.len()).filter_map(|_| new().ok()).collect();
    let gap = Duration::from_secs_f64(CLIENTS as f64 / pace);
    let mut due = Instant::now() + gap.mul_f64(n as f64 / CLIENTS as f64);
    let (mut stream, mut lost, mut refused) = (None, 0, vec![0; KINDS.len() + 1]);
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let during = kind.load(Ordering::Relaxed);
        match ask(&mut stream, addr).or_else(|| ask(&mut stream, addr)) {
            Some(200) => {}
            Some(_) => refused[during] += 1,
            None => lost += 1,
        }
        times[during].saturating_record((due.elapsed().as_micros() as u64).max(1));
        due += gap;
    }
    (times, lost, refused)
}

/// Whether `held` is a whole answer: its status and whether the connection closes after it.
fn whole(held: &[u8]) -> Option<(u16, bool)> {
    let end = held.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&held[..end]).to_ascii_lowercase();
    let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).map(str::trim);
    let length: usize = field("content-length:").and_then(|l| l.parse().ok()).unwrap_or(0);
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok())?;
    (held.len() >= end + length).then_some((status, field("connection:") == Some("close")))
}

/// The status of an answer, if one came.
fn ask(open: &mut Option<TcpStream>, addr: SocketAddr) -> Option<u16> {
    let mut asked = || -> std::io::Result<(TcpStream, u16, bool)> {
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(addr)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_secs(5)))?;
                stream
            }
        };
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: measure\r\n\r\n")?;
        let (mut held, mut bytes) = (Vec::new(), [0; 1024]);
        loop {
            match stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => held.extend_from_slice(&bytes[..n]),
            }
            if let Some((status, closes)) = whole(&held) {
                return Ok((stream, status, closes));
            }
        }
    };
    let (stream, status, closes) = asked().ok()?;
    *open = (!closes).then_some(stream);
    Some(status)
}

fn spawn(plan: &Plan, file: &Path, takeover: bool) -> Result<(Child, SocketAddr), String> {
    let mut command = Command::new(&plan.program);
    command.args(["serve", "--log", "error", "--settings"]).arg(file).stdout(Stdio::piped());
    if takeover {
        command.arg("--takeover");
    }
    let mut child = command.spawn().map_err(|e| e.to_string())?;
    let mut line = String::new();
    let out = child.stdout.as_mut().ok_or("no output")?;
    BufReader::with_capacity(1, out).read_line(&mut line).map_err(|e| e.to_string())?;
    let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or("no address")?;
    Ok((child, addr))
}

/// Connects over and over for one span, keeping up to 1,000 open: idle, half a line, nonsense, questions.
fn flood(control: &Path, span: Duration) -> usize {
    let (until, mut open, mut made) = (Instant::now() + span, Vec::new(), 0);
    while Instant::now() < until {
        if open.len() >= FLOOD {
            open.clear();
        }
        if let Ok(mut stream) = UnixStream::connect(control) {
            let line: &[u8] = [&b"{\"state\""[..], b"nonsense\n", b"\"state\"\n\"state\"\n", b""][made % 4];
            let _ = stream.write_all(line);
            open.push(stream);
            made += 1;
        }
    }
    made
}

/// Measures; a text with a table of medians.
///
/// # Errors
/// A text that says which process or measurement failed.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn disturbed(plan: &Plan, say: &mut dyn FnMut(&str)) -> Result<String, String> {
    std::fs::create_dir_all(&plan.out).map_err(|e| e.to_string())?;
    let servers = echo(12, Arc::new(AtomicBool::new(false))).map_err(|e| e.to_string())?;
    let site = site(&servers).map_err(|e| e.to_string())?;
    let control: PathBuf = std::env::temp_dir().join(format!("vs-q{}", std::process::id()));
    let state = plan.out.join("state");
    let more = format!("state_dir = \"{}\", control = \"{}\"", state.display(), control.display());
    let text = settings(site, &more, "2s");
    let file = plan.out.join("disturbed.star");
    std::fs::write(&file, text).map_err(|e| e.to_string())?;
    let (mut child, addr) = spawn(plan, &file, false)?;
    // Requests of the kind after the last are not counted: they were due while one span gave way to another.
    let kind = AtomicUsize::new(KINDS.len());
    let mut figures: Vec<Vec<[f64; 3]>> = vec![Vec::new(); KINDS.len()];
    let (mut lost, mut asked, mut connections) = (0, 0, 0);
    let mut refused = [0; KINDS.len() + 1];
    for round in 0..plan.rounds {
        let stop = AtomicBool::new(false);
        let (gave, result) = std::thread::scope(|scope| {
            let (kind, stop, pace) = (&kind, &stop, plan.pace);
            let start = |n| scope.spawn(move || client(addr, n, pace, kind, stop));
            let clients: Vec<_> = (0..CLIENTS).map(start).collect();
            std::thread::sleep(plan.span / 4);
            let mut play = || -> Result<(), String> {
                kind.store(0, Ordering::Relaxed);
                std::thread::sleep(plan.span);
                kind.store(1, Ordering::Relaxed);
                connections += flood(&control, plan.span);
                kind.store(KINDS.len(), Ordering::Relaxed);
                std::thread::sleep(plan.span / 4);
                kind.store(2, Ordering::Relaxed);
                let began = Instant::now();
                let (new, _) = spawn(plan, &file, true)?;
                let ended = child.wait().map_err(|e| e.to_string())?;
                child = new;
                if !ended.success() {
                    return Err("the old process left something open".into());
                }
                // A second with the takeover in it, whatever the span: what it adds, it adds at once.
                std::thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                kind.store(KINDS.len(), Ordering::Relaxed);
                Ok(())
            };
            let result = play();
            stop.store(true, Ordering::Relaxed);
            let gave: Vec<_> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
            (gave, result)
        });
        result?;
        for (n, figures) in figures.iter_mut().enumerate() {
            let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
            for (times, ..) in &gave {
                all.add(&times[n]).map_err(|e| e.to_string())?;
            }
            asked += all.len();
            let at = |q| all.value_at_quantile(q) as f64 / 1e3;
            figures.push([at(0.5), at(0.99), all.max() as f64 / 1e3]);
            say(&format!("round {}: {}: p50 {:.3} p99 {:.3} ms", round + 1, KINDS[n], at(0.5), at(0.99)));
        }
        lost += gave.iter().map(|g| g.1).sum::<u64>();
        for (n, refused) in refused.iter_mut().enumerate() {
            *refused += gave.iter().map(|g| g.2[n]).sum::<u64>();
        }
    }
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(&control);
    let mut text = String::from(
        "| ms, medians | p50 | p99 | worst | refused, all rounds |\n| --- | --- | --- | --- | --- |\n",
    );
    for (n, (name, figures)) in KINDS.iter().zip(&figures).enumerate() {
        let of = |i: usize| median(&figures.iter().map(|f| f[i]).collect::<Vec<_>>());
        let _ = writeln!(text, "| {name} | {:.3} | {:.3} | {:.3} | {} |", of(0), of(1), of(2), refused[n]);
    }
    let _ = writeln!(
        text,
        "\n{asked} requests, {lost} lost, {} refused between spans; {connections} control connections made",
        refused[KINDS.len()]
    );
    Ok(text)
}
