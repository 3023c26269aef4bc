//! The publisher that the measurements run against: a process of its own, or a thread of this one.

use super::super::ScaleError;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use violetseam_publisher::settings::{Bounds, Settings};

/// Snapshots a second: they are small here, and the first start of a whole fleet is not to take minutes.
pub const SNAPSHOTS_PER_SECOND: u32 = 1_000;
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The kernel's unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A publisher as a process.
pub struct Process {
    child: Child,
    state: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Process {
    /// Starts the program's publisher with an empty state, and waits until it listens.
    ///
    /// # Errors
    /// [`ScaleError`] if the process does not start or listen.
    pub fn start(state: PathBuf) -> Result<Process, ScaleError> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (child, address) = spawn(&state, listen)?;
        Ok(Process { child, state, address })
    }

    /// Kills it and starts it again on the same state and address.
    ///
    /// # Errors
    /// [`ScaleError`] if the process does not start or listen.
    pub fn kill_and_start(&mut self) -> Result<(), ScaleError> {
        self.child.kill()?;
        self.child.wait()?;
        let (child, _) = spawn(&self.state, self.address)?;
        self.child = child;
        Ok(())
    }

    /// Its processor time so far, in seconds.
    ///
    /// # Errors
    /// [`ScaleError`] if the system does not say.
    pub fn processor_seconds(&self) -> Result<f64, ScaleError> {
        processor_seconds(&self.child.id().to_string())
    }

    /// Its resident memory, in bytes.
    ///
    /// # Errors
    /// [`ScaleError`] if the system does not say.
    pub fn resident_bytes(&self) -> Result<u64, ScaleError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.map(|count| count * 1_024).ok_or_else(|| ScaleError::Failed("no VmRSS".to_owned()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself; nothing is left to do then.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.state);
    }
}

/// Processor time of a process, in seconds; `self` is this one.
///
/// # Errors
/// [`ScaleError`] if the system does not say.
pub fn processor_seconds(process: &str) -> Result<f64, ScaleError> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    // User and system time are fields 14 and 15 of the line, 12 and 13 after the name.
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_SECOND),
        _ => Err(ScaleError::Failed(format!("/proc/{process}/stat is not understood"))),
    }
}

fn spawn(state: &PathBuf, listen: SocketAddr) -> Result<(Child, SocketAddr), ScaleError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["publisher", "--log", "error", "--listen", &listen.to_string()]);
    command.args(["--snapshots-per-second", &SNAPSHOTS_PER_SECOND.to_string()]).arg("--state").arg(state);
    let mut child = command.stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    if let Some(output) = child.stdout.take() {
        BufReader::new(output).read_line(&mut line)?;
    }
    let address = line.rsplit_once(' ').and_then(|(_, address)| address.trim().parse().ok());
    match address {
        Some(address) => Ok((child, address)),
        None => {
            child.kill()?;
            child.wait()?;
            Err(ScaleError::Failed(format!("the publisher did not start: {line:?}")))
        }
    }
}

/// Runs a publisher on a thread until this process ends, and waits until it listens.
///
/// # Errors
/// [`ScaleError`] if the publisher does not start.
pub fn start_on_thread(state: PathBuf) -> Result<SocketAddr, ScaleError> {
    let (listening, heard) = mpsc::channel();
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let bounds = Bounds { snapshots_per_second: SNAPSHOTS_PER_SECOND, ..Bounds::default() };
    let settings = Settings { state, listen, term: None, bounds };
    thread::spawn(move || {
        violetseam_publisher::serve::serve(settings, |address, _| {
            // The other end has given up waiting: nobody needs the address.
            let _heard = listening.send(address);
        })
    });
    heard
        .recv_timeout(START_TIMEOUT)
        .map_err(|_| ScaleError::Failed("the publisher did not start".to_owned()))
}
