//! Processes of `violetseam serve` without clients: memory and processor time of a proxy at rest.

use super::registry::RegistryServer;
use super::threads::{ControlPlane, settings_script};
use super::{FleetLimit, FleetSize, counted_span};
use crate::resources::MeasuredProcess;
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use clap::Args;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Most processes of one run.
const MAX_PROCESSES: u64 = 150;
/// Longest wait until all have the list.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two checks whether all have the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// After all have the list, before processor time counts.
const SETTLING_SPAN: Duration = Duration::from_secs(2);
/// Counted in a quick run, in seconds.
const QUICK_SECONDS: f64 = 2.0;

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

impl Benchmark for ProcessesArgs {
    fn name(&self) -> &'static str {
        "hollow-processes"
    }

    fn size_unit(&self) -> &'static str {
        if self.proxies.is_some() { "servers" } else { "proxies" }
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        match (self.proxies.is_some(), quick) {
            (false, true) => &[1, 2, 4],
            (false, false) => &[10, 30, 100],
            (true, true) => &[10, 100, 1_000],
            (true, false) => &[12, 100, 1_000, 5_000, 20_000],
        }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let limit = FleetLimit { unit: "processes", max_proxies: MAX_PROCESSES };
        let fleet = FleetSize::new(size, self.servers, self.proxies, limit)?;
        let plan = Plan {
            processes: fleet.proxies,
            servers: fleet.servers,
            span: counted_span(options.quick, QUICK_SECONDS, self.seconds),
        };
        let usage = measure(&plan)?;
        Ok(vec![
            Measurement::new("resident memory of a proxy", Unit::Bytes, size, usage.resident_bytes),
            Measurement::new("processor of a proxy at rest", Unit::Cores, size, usage.cores),
            Measurement::new(
                "from the first start until all hold the list",
                Unit::Seconds,
                size,
                usage.start_seconds,
            ),
        ])
    }
}

/// What is measured.
struct Plan {
    processes: usize,
    /// Servers on the list.
    servers: usize,
    /// Over which processor time is counted.
    span: Duration,
}

/// What processes use: the mean of one process, and the start of all.
struct Usage {
    /// Resident memory of one process.
    resident_bytes: f64,
    /// Processor time of one process, as a share of a core.
    cores: f64,
    /// From the first start until all have the list.
    start_seconds: f64,
}

fn measure(plan: &Plan) -> Result<Usage, ScaleError> {
    let registry = RegistryServer::start(plan.servers)?;
    let control_plane = ControlPlane { registry: registry.address, controller: registry.address };
    let start = Instant::now();
    let processes = ProxyProcesses::start(plan.processes, control_plane)?;
    wait_for_lists(&registry, plan.processes, start)?;
    let start_seconds = start.elapsed().as_secs_f64();
    std::thread::sleep(SETTLING_SPAN);
    let counted_from = Instant::now();
    let processor_before = processes.total_processor_seconds()?;
    std::thread::sleep(plan.span);
    let processor_seconds = processes.total_processor_seconds()? - processor_before;
    let cores = processor_seconds / counted_from.elapsed().as_secs_f64();
    let resident_bytes = processes.total_resident_bytes()?;
    let count = plan.processes as f64;
    Ok(Usage { resident_bytes: resident_bytes / count, cores: cores / count, start_seconds })
}

/// Waits until all have an open watch and nothing of the list waits to be sent.
fn wait_for_lists(registry: &RegistryServer, processes: usize, start: Instant) -> Result<(), ScaleError> {
    loop {
        let counts = registry.counts();
        if counts.open_watches >= processes as u64 && counts.unsent_bytes == 0 {
            return Ok(());
        }
        if start.elapsed() > START_TIMEOUT {
            return Err(ScaleError::RegistryTimeout { expected: "the list at all proxies", counts });
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Processes with their settings; they end with this value, and the folder is removed.
struct ProxyProcesses {
    folder: PathBuf,
    children: Vec<Child>,
}

impl ProxyProcesses {
    fn start(count: usize, control_plane: ControlPlane) -> Result<ProxyProcesses, ScaleError> {
        let folder = std::env::temp_dir().join(format!("violetseam-processes-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut processes = ProxyProcesses { folder, children: Vec::new() };
        for position in 0..count {
            let script = processes.folder.join(format!("{position}.star"));
            std::fs::write(&script, settings_script(control_plane, count, position))?;
            let child = Command::new(std::env::current_exe()?)
                .args(["serve", "--log", "error", "--settings"])
                .arg(&script)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .spawn()
                .map_err(|source| ScaleError::StartProcess { subcommand: "serve", source })?;
            processes.children.push(child);
        }
        Ok(processes)
    }

    fn total_processor_seconds(&self) -> Result<f64, ScaleError> {
        self.measured().map(MeasuredProcess::processor_seconds).sum()
    }

    fn total_resident_bytes(&self) -> Result<f64, ScaleError> {
        let total: u64 = self.measured().map(MeasuredProcess::resident_bytes).sum::<Result<_, _>>()?;
        Ok(total as f64)
    }

    fn measured(&self) -> impl Iterator<Item = MeasuredProcess> {
        self.children.iter().map(|child| MeasuredProcess::Id(child.id()))
    }
}

impl Drop for ProxyProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // It may have ended by itself; nothing is left to do then.
            let _killed = child.kill();
            let _waited = child.wait();
        }
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}
