//! The proxy processes of a run: starts, kills, restarts and drains them.

use crate::error::ScenarioRunError;
use crate::process;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam_simulated_site::network::AddressPlan;

/// Timeout of a connection attempt that probes whether a proxy is listening.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a draining process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The program, files and arguments with which proxy processes are started.
#[derive(Clone, Debug)]
pub(crate) struct ProxyCommand {
    /// Path of the program whose `serve` command runs a proxy.
    pub program: PathBuf,
    /// The settings script of all proxies.
    pub settings: PathBuf,
    /// Folder for the logs.
    pub out: PathBuf,
    /// Additional arguments; `{position}` in them is replaced by the proxy's position.
    pub extra_args: Vec<String>,
}

/// A process and the fleet position of the proxy that it runs.
struct PositionedChild {
    position: usize,
    child: Child,
}

/// The processes of a fleet of proxies.
pub(crate) struct ProxyFleet {
    command: ProxyCommand,
    addresses: AddressPlan,
    /// The current process of each position, if one is running.
    running: Vec<Option<Child>>,
    /// Processes whose sockets were taken over. Each must exit by itself.
    replaced: Vec<PositionedChild>,
    /// Second processes under an identity that is in use. Each must exit by itself, with an error.
    duplicates: Vec<PositionedChild>,
}

impl ProxyFleet {
    /// Returns a fleet of `count` proxies, none of which is running yet.
    pub fn new(command: ProxyCommand, addresses: AddressPlan, count: usize) -> Self {
        let running = (0..count).map(|_| None).collect();
        ProxyFleet { command, addresses, running, replaced: Vec::new(), duplicates: Vec::new() }
    }

    fn log_path(&self, position: usize) -> PathBuf {
        self.command.out.join(format!("proxy-{position}.log"))
    }

    /// Starts all proxies and waits up to `timeout` for each until it accepts connections.
    pub fn start_all(&mut self, timeout: Duration) -> Result<(), ScenarioRunError> {
        for position in 0..self.running.len() {
            self.start(position)?;
        }
        for position in 0..self.running.len() {
            self.wait_until_ready(position, timeout)?;
        }
        Ok(())
    }

    /// Starts the proxy at a position.
    pub fn start(&mut self, position: usize) -> Result<(), ScenarioRunError> {
        let child = self.spawn(position, &[])?;
        self.running[position] = Some(child);
        Ok(())
    }

    /// Starts a process that takes over from the running process of a proxy.
    pub fn take_over(&mut self, position: usize) -> Result<(), ScenarioRunError> {
        let child = self.spawn(position, &["--takeover"])?;
        if let Some(child) = self.running[position].replace(child) {
            self.replaced.push(PositionedChild { position, child });
        }
        Ok(())
    }

    /// Starts a second process under a proxy's identity.
    pub fn start_duplicate(&mut self, position: usize) -> Result<(), ScenarioRunError> {
        let child = self.spawn(position, &[])?;
        self.duplicates.push(PositionedChild { position, child });
        Ok(())
    }

    /// Sends a signal to a proxy if it is running.
    pub fn signal(&self, position: usize, signal: Signal) {
        let pid = self.running[position].as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    fn spawn(&self, position: usize, takeover_args: &[&str]) -> Result<Child, ScenarioRunError> {
        self.try_spawn(position, takeover_args)
            .map_err(ScenarioRunError::io(format!("starting proxy {position}")))
    }

    fn try_spawn(&self, position: usize, takeover_args: &[&str]) -> std::io::Result<Child> {
        let log = OpenOptions::new().create(true).append(true).open(self.log_path(position))?;
        let extra_args = self.command.extra_args.iter();
        Command::new(&self.command.program)
            .arg("serve")
            .arg("--settings")
            .arg(&self.command.settings)
            .args(["--set", &format!("position={position}")])
            .args(extra_args.map(|arg| arg.replace("{position}", &position.to_string())))
            .args(takeover_args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Waits until a proxy accepts a connection.
    fn wait_until_ready(&mut self, position: usize, timeout: Duration) -> Result<(), ScenarioRunError> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if TcpStream::connect_timeout(&self.addresses.proxy(position), PROBE_TIMEOUT).is_ok() {
                return Ok(());
            }
            if let Some(Ok(Some(status))) = self.running[position].as_mut().map(Child::try_wait) {
                let log = self.log_path(position);
                return Err(ScenarioRunError::ProxyExited { proxy: position, status, log });
            }
            std::thread::sleep(PROBE_INTERVAL);
        }
        Err(ScenarioRunError::ProxyNotReady { proxy: position })
    }

    /// Kills a proxy with SIGKILL, without draining it.
    pub fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.running[position].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to all proxies so that they drain, and waits for their exit. Returns a line for each
    /// process that did not exit as expected.
    pub fn drain(&mut self, timeout: Duration) -> Vec<String> {
        for position in 0..self.running.len() {
            self.signal(position, Signal::TERM);
        }
        let deadline = Instant::now() + timeout;
        let mut failures = self.collect_duplicates();
        let mut draining = Vec::new();
        for (position, slot) in self.running.iter_mut().enumerate() {
            draining.extend(slot.take().map(|child| PositionedChild { position, child }));
        }
        draining.append(&mut self.replaced);
        failures.extend(draining.into_iter().filter_map(|process| process.wait_for_clean_exit(deadline)));
        failures
    }

    /// Returns a line for each duplicate that did not exit by itself with an error, and kills it.
    fn collect_duplicates(&mut self) -> Vec<String> {
        let mut failures = Vec::new();
        for PositionedChild { position, mut child } in self.duplicates.drain(..) {
            match child.try_wait() {
                Ok(Some(status)) if !status.success() => {}
                other => {
                    failures.push(format!("a second process as proxy {position} was not refused: {other:?}"));
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
        }
        failures
    }

    /// Returns the CPU time of the running proxies, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let children = self.running.iter().flatten();
        children.filter_map(|child| process::cpu_seconds(child.id())).sum()
    }
}

impl Drop for ProxyFleet {
    fn drop(&mut self) {
        for position in 0..self.running.len() {
            self.kill(position);
        }
        for process in self.replaced.iter_mut().chain(&mut self.duplicates) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

impl PositionedChild {
    /// Waits for the process to exit and kills it at the deadline. Returns a description of the failure if it
    /// did not exit cleanly.
    fn wait_for_clean_exit(mut self, deadline: Instant) -> Option<String> {
        let position = self.position;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) if status.success() => return None,
                Ok(Some(status)) => return Some(format!("proxy {position} ended with {status}")),
                Ok(None) if Instant::now() < deadline => std::thread::sleep(EXIT_POLL_INTERVAL),
                _ => {
                    let _ = self.child.kill();
                    let _ = self.child.wait();
                    return Some(format!("proxy {position} did not end after it was asked to drain"));
                }
            }
        }
    }
}
