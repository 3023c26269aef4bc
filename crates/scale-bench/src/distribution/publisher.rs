//! The publisher that the measurements run against: a process of its own, or a thread of this one.

use crate::ScaleError;
use crate::resources::MeasuredProcess;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use violetseam_publisher::settings::{Bounds, Settings};

/// Snapshots a second: they are small here, and the first start of a whole fleet is not to take minutes.
pub const SNAPSHOTS_PER_SECOND: u32 = 1_000;
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A publisher as a process; it ends with this value, and its state is removed.
pub struct PublisherProcess {
    child: Child,
    state_dir: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
}

impl PublisherProcess {
    /// Starts the program's publisher with an empty state, and waits until it listens.
    ///
    /// # Errors
    /// [`ScaleError`] if the process does not start or listen.
    pub fn start(state_dir: PathBuf) -> Result<PublisherProcess, ScaleError> {
        let mut child = spawn(&state_dir, any_port())?;
        let address = read_address(&mut child)?;
        Ok(PublisherProcess { child, state_dir, address })
    }

    /// Kills it and starts it again on the same state and address.
    ///
    /// # Errors
    /// [`ScaleError`] if the process does not start or listen.
    pub fn kill_and_restart(&mut self) -> Result<(), ScaleError> {
        self.child.kill()?;
        self.child.wait()?;
        let mut child = spawn(&self.state_dir, self.address)?;
        read_address(&mut child)?;
        self.child = child;
        Ok(())
    }

    /// The process, for its processor time and memory.
    pub fn measured(&self) -> MeasuredProcess {
        MeasuredProcess::Id(self.child.id())
    }
}

impl Drop for PublisherProcess {
    fn drop(&mut self) {
        // It may have ended by itself; nothing is left to do then.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.state_dir);
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn spawn(state_dir: &Path, listen: SocketAddr) -> Result<Child, ScaleError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["publisher", "--log", "error", "--listen", &listen.to_string()]);
    command.args(["--snapshots-per-second", &SNAPSHOTS_PER_SECOND.to_string()]);
    command.arg("--state").arg(state_dir);
    command
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|source| ScaleError::StartProcess { subcommand: "publisher", source })
}

/// The address that the process prints once it listens; a process that prints none is ended.
fn read_address(child: &mut Child) -> Result<SocketAddr, ScaleError> {
    let mut output = String::new();
    if let Some(stdout) = child.stdout.take() {
        BufReader::new(stdout).read_line(&mut output)?;
    }
    let address = output.rsplit_once(' ').and_then(|(_, address)| address.trim().parse().ok());
    match address {
        Some(address) => Ok(address),
        None => {
            child.kill()?;
            child.wait()?;
            Err(ScaleError::PublisherStart { output })
        }
    }
}

/// Runs a publisher on a thread until this process ends, and waits until it listens.
///
/// # Errors
/// [`ScaleError`] if the publisher does not start.
pub fn start_on_thread(state_dir: PathBuf) -> Result<SocketAddr, ScaleError> {
    let (sender, receiver) = mpsc::channel();
    let bounds = Bounds { snapshots_per_second: SNAPSHOTS_PER_SECOND, ..Bounds::default() };
    let settings = Settings { state: state_dir, listen: any_port(), term: None, bounds };
    thread::spawn(move || {
        violetseam_publisher::serve::serve(settings, |address, _| {
            // The receiver may have timed out: nobody needs the address then.
            let _sent = sender.send(address);
        })
    });
    receiver.recv_timeout(START_TIMEOUT).map_err(ScaleError::PublisherTimeout)
}
