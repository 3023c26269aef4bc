//! The proxies of a run, as processes: started, killed, started again, drained.

use crate::error::ScenarioRunError;
use crate::process;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam_simulated_site::network::AddressPlan;

/// For one connection that probes whether a proxy listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Between two looks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the processes are started.
#[derive(Clone, Debug)]
pub(crate) struct ProxyCommand {
    /// The program that has `serve`.
    pub program: PathBuf,
    /// The settings script of all proxies.
    pub settings: PathBuf,
    /// Where the logs go.
    pub out: PathBuf,
    /// Further arguments; `{position}` in them stands for the proxy's.
    pub extra_args: Vec<String>,
}

/// A process and the position that it serves at.
struct PositionedChild {
    position: usize,
    child: Child,
}

/// One fleet of proxies, by position.
pub(crate) struct ProxyFleet {
    command: ProxyCommand,
    addresses: AddressPlan,
    /// The process that serves at each position, if there is one.
    running: Vec<Option<Child>>,
    /// Processes whose sockets were taken over: each ends by itself.
    replaced: Vec<PositionedChild>,
    /// Second processes under an identity that is in use: each must end by itself, with an error.
    duplicates: Vec<PositionedChild>,
}

impl ProxyFleet {
    /// A fleet of this size, of which nothing runs yet.
    pub fn new(command: ProxyCommand, addresses: AddressPlan, count: usize) -> Self {
        let running = (0..count).map(|_| None).collect();
        ProxyFleet { command, addresses, running, replaced: Vec::new(), duplicates: Vec::new() }
    }

    fn log_path(&self, position: usize) -> PathBuf {
        self.command.out.join(format!("proxy-{position}.log"))
    }

    /// Starts all proxies and waits until each takes connections, up to `timeout` for each.
    pub fn start_all(&mut self, timeout: Duration) -> Result<(), ScenarioRunError> {
        for position in 0..self.running.len() {
            self.start(position)?;
        }
        for position in 0..self.running.len() {
            self.wait_until_ready(position, timeout)?;
        }
        Ok(())
    }

    /// Starts a proxy.
    pub fn start(&mut self, position: usize) -> Result<(), ScenarioRunError> {
        let child = self.spawn(position, &[])?;
        self.running[position] = Some(child);
        Ok(())
    }

    /// Starts a process that takes over from a running one.
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

    /// Sends a proxy a signal, if it runs.
    pub fn signal(&self, position: usize, signal: Signal) {
        let pid = self.running[position].as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    fn spawn(&self, position: usize, takeover_args: &[&str]) -> Result<Child, ScenarioRunError> {
        self.try_spawn(position, takeover_args).map_err(ScenarioRunError::io(format!("proxy {position}")))
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

    /// Waits until a proxy takes connections.
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

    /// Ends a proxy at once, with all it holds.
    pub fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.running[position].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks all to drain and waits; a line for each process that did not end as it should.
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

    /// A line for each duplicate that did not end by itself with an error.
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

    /// Seconds of processor time that the running proxies have used.
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
    /// Waits until the process ends, and kills it at the deadline; what went wrong, if anything did.
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
