//! The proxies of a run, as processes: started, killed, started again, drained.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam_simulated_site::network::AddressPlan;

/// How the processes are started.
#[derive(Clone, Debug)]
pub struct Launch {
    pub program: PathBuf,
    pub settings: PathBuf,
    pub out: PathBuf,
    pub extra: Vec<String>,
}

/// One fleet of proxies.
pub struct Proxies {
    launch: Launch,
    net: AddressPlan,
    children: Vec<Option<Child>>,
    /// Processes whose sockets were taken over: each ends by itself.
    leaving: Vec<(usize, Child)>,
    /// Second processes under an identity that is in use: each must end by itself, and not well.
    twins: Vec<(usize, Child)>,
}

impl Proxies {
    pub fn new(launch: Launch, net: AddressPlan, count: usize) -> Self {
        Proxies {
            launch,
            net,
            children: (0..count).map(|_| None).collect(),
            leaving: Vec::new(),
            twins: Vec::new(),
        }
    }

    fn log(&self, n: usize) -> std::io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.launch.out.join(format!("proxy-{n}.log")))
    }

    pub fn start(&mut self, n: usize) -> std::io::Result<()> {
        let child = self.spawn(n, &[])?;
        self.children[n] = Some(child);
        Ok(())
    }

    /// Starts a process that takes over from a running one.
    pub fn take_over(&mut self, n: usize) -> std::io::Result<()> {
        let child = self.spawn(n, &["--takeover"])?;
        let before = self.children[n].replace(child);
        self.leaving.extend(before.map(|child| (n, child)));
        Ok(())
    }

    /// Starts a second process under a proxy's identity.
    pub fn start_twin(&mut self, n: usize) -> std::io::Result<()> {
        let child = self.spawn(n, &[])?;
        self.twins.push((n, child));
        Ok(())
    }

    /// Sends a proxy a signal, if it is there.
    pub fn signal(&self, n: usize, signal: Signal) {
        let pid = self.children[n].as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    fn spawn(&self, n: usize, more: &[&str]) -> std::io::Result<Child> {
        let log = self.log(n)?;
        Command::new(&self.launch.program)
            .arg("serve")
            .arg("--settings")
            .arg(&self.launch.settings)
            .args(["--set", &format!("position={n}")])
            .args(self.launch.extra.iter().map(|arg| arg.replace("{position}", &n.to_string())))
            .args(more)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Waits until a proxy takes connections.
    pub fn wait_ready(&mut self, n: usize, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if TcpStream::connect_timeout(&self.net.proxy(n), Duration::from_millis(200)).is_ok() {
                return Ok(());
            }
            if let Some(Ok(Some(status))) = self.children[n].as_mut().map(Child::try_wait) {
                let log = self.launch.out.join(format!("proxy-{n}.log"));
                return Err(format!("proxy {n} ended at once ({status}), see {}", log.display()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("proxy {n} takes no connections"))
    }

    /// Ends a proxy at once, with all it holds.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks all to drain and waits; the ones that did not end well.
    pub fn drain(&mut self, within: Duration) -> Vec<String> {
        (0..self.children.len()).for_each(|n| self.signal(n, Signal::TERM));
        let until = Instant::now() + within;
        let mut wrong = Vec::new();
        for (n, mut twin) in self.twins.drain(..) {
            match twin.try_wait() {
                Ok(Some(status)) if !status.success() => {}
                other => {
                    wrong.push(format!("a second process as proxy {n} was not refused: {other:?}"));
                    let _ = twin.kill();
                    let _ = twin.wait();
                }
            }
        }
        let all = self.children.iter_mut().enumerate().filter_map(|(n, c)| Some((n, c.take()?)));
        let all: Vec<(usize, Child)> = all.chain(self.leaving.drain(..)).collect();
        for (n, mut child) in all {
            loop {
                match child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(Some(status)) => {
                        wrong.push(format!("proxy {n} ended with {status}"));
                        break;
                    }
                    Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
                    _ => {
                        wrong.push(format!("proxy {n} did not end after it was asked to drain"));
                        let _ = child.kill();
                        let _ = child.wait();
                        break;
                    }
                }
            }
        }
        wrong
    }

    /// Seconds of processor time that a running proxy has used.
    pub fn cpu_seconds(&self, n: usize) -> Option<f64> {
        let pid = self.children[n].as_ref()?.id();
        cpu_seconds(Path::new(&format!("/proc/{pid}/stat")))
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
        for (_, child) in self.leaving.iter_mut().chain(&mut self.twins) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// User and system time of a process, in seconds; the kernel counts hundredths.
fn cpu_seconds(stat: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(stat).ok()?;
    let fields: Vec<&str> = text.rsplit(") ").next()?.split(' ').collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}
