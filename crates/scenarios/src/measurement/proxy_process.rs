//! The proxy under measurement, as a process of its own.

use super::{MeasurementError, MeasurementSettings, stub_site};
use crate::process;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// From the address of a proxy that it listens at, to its first request: it learns of the servers meanwhile.
const SETTLE_SPAN: Duration = Duration::from_millis(300);

/// A running proxy; it is killed when this is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// What a proxy prints of itself when it ends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModuleUse {
    /// Seconds that it spent in the decision module.
    pub seconds: f64,
    /// Requests that it took.
    pub requests: f64,
}

impl ProxyProcess {
    /// Starts a proxy over these servers and waits until it is in service.
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
        std::thread::sleep(SETTLE_SPAN);
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
            .map_err(MeasurementError::io(program.display().to_string()))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.as_mut() {
            // Whatever is read beyond the first line would be lost to `end`.
            BufReader::with_capacity(1, stdout)
                .read_line(&mut line)
                .map_err(MeasurementError::io("a proxy's address"))?;
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

    /// Processor seconds that it has used.
    pub fn cpu_seconds(&self) -> f64 {
        process::cpu_seconds(self.child.id()).unwrap_or(0.0)
    }

    /// Its resident memory in bytes.
    pub fn resident_bytes(&self) -> f64 {
        process::resident_bytes(self.child.id()).unwrap_or(0.0)
    }

    /// Waits for its end; whether it ended without an error.
    pub fn wait(&mut self) -> Result<bool, MeasurementError> {
        let status = self.child.wait().map_err(MeasurementError::io("the end of a proxy"))?;
        Ok(status.success())
    }

    /// Drains it; what it prints of itself.
    pub fn end(mut self) -> ModuleUse {
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
        ModuleUse { seconds, requests }
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
