//! Processes of `violetseam serve` without clients: memory and processor time of a proxy at rest.

use super::hollow_proxies::{ControlPlane, settings};
use super::hollow_registry::Registry;
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use clap::Args;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Most processes of one run.
const PROCESSES_MOST: u64 = 150;
/// Most servers that are listed.
const SERVERS_MOST: u64 = violetseam_site_protocol::endpoint_list::MAX_SERVERS as u64;
/// Longest wait for all to hold the list.
const PATIENCE: Duration = Duration::from_secs(60);
/// After the list is there, before processor time counts.
const SETTLE: Duration = Duration::from_secs(2);
/// The kernel counts processor time in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Arguments of `violetseam lab scale hollow-processes`.
#[derive(Args, Clone, Debug)]
pub struct ProcessesArgs {
    /// Servers on the list, where the sizes are proxies
    #[arg(long, default_value_t = 100)]
    pub servers: u64,
    /// So many proxies: the sizes are servers
    #[arg(long)]
    pub proxies: Option<u64>,
    /// Seconds over which processor time is counted
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
}

impl Slope for ProcessesArgs {
    fn name(&self) -> &'static str {
        "hollow-processes"
    }

    fn size_of(&self) -> &'static str {
        if self.proxies.is_some() { "servers" } else { "proxies" }
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        match (self.proxies.is_some(), quick) {
            (false, true) => &[1, 2, 4],
            (false, false) => &[10, 30, 100],
            (true, true) => &[10, 100, 1_000],
            (true, false) => &[12, 100, 1_000, 5_000, 20_000],
        }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let (proxies, servers) = self.proxies.map_or((size, self.servers), |proxies| (proxies, size));
        if !(1..=PROCESSES_MOST).contains(&proxies) || !(1..=SERVERS_MOST).contains(&servers) {
            let bounds = format!("1 to {PROCESSES_MOST} processes and 1 to {SERVERS_MOST} servers");
            return Err(ScaleError::Failed(bounds));
        }
        let seconds = if run.quick { 2.0 } else { self.seconds.clamp(1.0, 60.0) };
        measure(proxies as usize, servers as usize, Duration::from_secs_f64(seconds), size)
    }
}

/// Processes with their settings; they end with this value, and the folder is removed.
struct Processes {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Processes {
    fn start(count: usize, control: ControlPlane) -> Result<Processes, ScaleError> {
        let folder = std::env::temp_dir().join(format!("violetseam-processes-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut processes = Processes { folder, children: Vec::new() };
        for position in 0..count {
            let file = processes.folder.join(format!("{position}.star"));
            std::fs::write(&file, settings(control, count, position))?;
            let child = Command::new(std::env::current_exe()?)
                .args(["serve", "--log", "error", "--settings"])
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .spawn()?;
            processes.children.push(child);
        }
        Ok(processes)
    }

    fn sum(&self, file: &str, read: fn(&str) -> Result<f64, ScaleError>) -> Result<f64, ScaleError> {
        let of = |child: &Child| read(&std::fs::read_to_string(format!("/proc/{}/{file}", child.id()))?);
        self.children.iter().map(of).sum()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn measure(count: usize, servers: usize, span: Duration, size: u64) -> Result<Vec<Measurement>, ScaleError> {
    let registry = Registry::start(servers)?;
    let control = ControlPlane { registry: registry.addr, controller: registry.addr };
    let began = Instant::now();
    let processes = Processes::start(count, control)?;
    while {
        let counts = registry.counts();
        counts.watches < count as u64 || counts.unsent > 0
    } {
        if began.elapsed() > PATIENCE {
            return Err(ScaleError::Failed(format!("not all hold the list: {:?}", registry.counts())));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let served = began.elapsed().as_secs_f64();
    std::thread::sleep(SETTLE);
    let (began, before) = (Instant::now(), processes.sum("stat", cpu_seconds)?);
    std::thread::sleep(span);
    let cpu = (processes.sum("stat", cpu_seconds)? - before) / began.elapsed().as_secs_f64();
    let resident = processes.sum("status", resident_bytes)?;
    let proxies = count as f64;
    Ok(vec![
        Measurement::new("resident memory of a proxy", Unit::Bytes, size, resident / proxies),
        Measurement::new("processor of a proxy at rest", Unit::Cores, size, cpu / proxies),
        Measurement::new("from the first start until all hold the list", Unit::Seconds, size, served),
    ])
}

/// User and system time in a text of `/proc/PID/stat`, in seconds.
///
/// # Errors
/// [`ScaleError`] if the text is not of this form.
pub fn cpu_seconds(stat: &str) -> Result<f64, ScaleError> {
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
    let both = ticks(11).zip(ticks(12)).map(|(user, system)| (user + system) / TICKS_PER_SECOND);
    both.ok_or_else(|| ScaleError::Failed("a process's times cannot be read".into()))
}

/// Resident memory in a text of `/proc/PID/status`, in bytes.
///
/// # Errors
/// [`ScaleError`] if the text is not of this form.
pub fn resident_bytes(status: &str) -> Result<f64, ScaleError> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.map(|count| count * 1_024.0).ok_or_else(|| ScaleError::Failed("no VmRSS".into()))
}
