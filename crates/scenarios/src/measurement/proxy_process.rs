//! The measured proxy, which runs as a process of its own.

use super::{MeasurementError, MeasurementSettings, stub_site};
use crate::process;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Delay between the start of a proxy and its first request, in which it receives its list of servers.
const DISCOVERY_SPAN: Duration = Duration::from_millis(300);

/// A running proxy process, which is killed on drop.
pub(super) struct ProxyProcess {
    child: Child,
    /// The address at which it listens for requests.
    pub address: SocketAddr,
}

/// The statistics that a proxy prints when it exits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModuleStatistics {
    /// Seconds spent in the decision module.
    pub seconds: f64,
    /// Number of requests that the proxy received.
    pub requests: f64,
}

impl ProxyProcess {
    /// Starts a proxy in front of the given servers and waits for it to receive its server list.
    pub fn start(
        settings: &MeasurementSettings,
        name: &str,
        servers: &[SocketAddr],
        deadline: &str,
    ) -> Result<ProxyProcess, MeasurementError> {
        let site = stub_site::start(servers)?;
        let script = settings.write_script(name, &stub_site::proxy_script(site, "seed = 1", deadline))?;
        let mut args = vec!["--time-module".to_owned()];
        args.extend(settings.extra_args.iter().cloned());
        let proxy = ProxyProcess::spawn(&settings.program, &script, &args)?;
        std::thread::sleep(DISCOVERY_SPAN);
        Ok(proxy)
    }

    /// Starts a proxy with these settings and reads the address that it prints.
    pub fn spawn(program: &Path, script: &Path, args: &[String]) -> Result<ProxyProcess, MeasurementError> {
        let mut child = Command::new(program)
            .args(["serve", "--log", "error", "--settings"])
            .arg(script)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(MeasurementError::io(format!("starting {}", program.display())))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.as_mut() {
            // With a larger buffer, output after the first line would be read here and missed by `end`.
            BufReader::with_capacity(1, stdout)
                .read_line(&mut line)
                .map_err(MeasurementError::io("reading the address that a proxy prints"))?;
        }
        match line.trim().rsplit(' ').next().and_then(|word| word.parse().ok()) {
            Some(address) => Ok(ProxyProcess { child, address }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(MeasurementError::NoAddress { line })
            }
        }
    }

    /// Returns the CPU time that it has used, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        process::cpu_seconds(self.child.id()).unwrap_or(0.0)
    }

    /// Returns its resident memory, in bytes.
    pub fn resident_bytes(&self) -> f64 {
        process::resident_bytes(self.child.id()).unwrap_or(0.0)
    }

    /// Waits for the process to exit and returns whether it exited without an error.
    pub fn wait(&mut self) -> Result<bool, MeasurementError> {
        let status = self.child.wait().map_err(MeasurementError::io("waiting for a proxy to exit"))?;
        Ok(status.success())
    }

    /// Drains the proxy, waits for its exit and returns the statistics that it prints.
    pub fn end(mut self) -> ModuleStatistics {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let mut text = String::new();
        if let Some(mut stdout) = self.child.stdout.take() {
            let _ = stdout.read_to_string(&mut text);
        }
        let _ = self.child.wait();
        let mut numbers = text.split_whitespace().filter_map(|word| word.parse().ok());
        let seconds = numbers.next().unwrap_or(0.0);
        let requests = numbers.next().unwrap_or(0.0);
        ModuleStatistics { seconds, requests }
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
