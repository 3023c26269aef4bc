//! How costs grow with the size of a fleet: `violetseam lab scale NAME`.
//!
//! Each slope is a file of its own that measures its quantities at one size. This module has them measured
//! at several sizes, each in a process of its own where memory is measured, and fits the values.
//!
//! A new slope takes three lines here: its module, its variant of [`Name`], its arm in [`Name::slope`].

pub mod distribution;
pub mod evidence;
pub mod fit;
pub mod hollow_controller;
pub mod hollow_engine;
pub mod hollow_evidence;
pub mod hollow_list;
pub mod hollow_processes;
pub mod hollow_proxies;
pub mod hollow_registry;
pub mod hollow_release;
pub mod memory;
mod resources;
pub mod routing;
pub mod server_list;
pub mod settings;
pub mod simulated;
pub mod table;

use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::{fmt, io};
use table::{Measurement, Table};

/// The most sizes of one run.
const MOST_SIZES: usize = 16;

/// Arguments of `violetseam lab scale`.
#[derive(Args, Clone, Debug)]
pub struct ScaleArgs {
    /// What is measured
    #[command(subcommand)]
    pub name: Name,
    /// The sizes, separated by commas; the slope's own if not given
    #[arg(long, global = true, value_delimiter = ',')]
    pub sizes: Vec<u64>,
    /// Write the measurements as CSV to this file too; `-`: to standard output in place of the table
    #[arg(long, global = true)]
    pub csv: Option<PathBuf>,
    /// Small sizes and short spans, as in CI
    #[arg(long, global = true)]
    pub quick: bool,
    /// Seed of all random numbers
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
    /// Measure in this process and print JSON; how a slope measures one size alone
    #[arg(long, global = true, hide = true)]
    pub sample: bool,
}

/// The slopes, as subcommands.
#[derive(Subcommand, Clone, Debug)]
pub enum Name {
    /// Time and memory to read and check a settings script with N routes
    Settings,
    /// The same with N tenants
    SettingsTenants,
    /// Bytes, time and memory of whole lists and changes of N servers
    ServerList,
    /// Time of the decisions with N servers: a request, upkeep, lists
    Routing,
    /// What the decisions hold for N servers
    Memory,
    /// What the decisions hold for N tenants
    MemoryTenants,
    /// Configuration to N subscribers over loopback: bytes, time to in force, processor, memory
    Distribution,
    /// Release evidence of N proxies: messages, state and time of a proxy and of a collector
    Evidence {
        /// Requests a second of each proxy
        #[arg(long, default_value_t = 191.0)]
        requests_per_second: f64,
    },
    /// Release evidence of N hollow proxies over loopback: datagrams of a collector and of a proxy
    HollowEvidence(hollow_evidence::EvidenceArgs),
    /// Server list of N hollow proxies before a registry: calls and bytes at rest, changes, cuts, starts
    HollowRegistry(hollow_list::RegistryArgs),
    /// Stage news and votes of N hollow proxies before a release controller
    HollowRelease(hollow_release::ReleaseArgs),
    /// Memory and processor time of N processes of `serve` at rest
    HollowProcesses(hollow_processes::ProcessesArgs),
}

impl Name {
    /// What measures it.
    pub fn slope(&self) -> Box<dyn Slope> {
        match *self {
            Name::Settings => Box::new(settings::Settings::Routes),
            Name::SettingsTenants => Box::new(settings::Settings::Tenants),
            Name::ServerList => Box::new(server_list::ServerList),
            Name::Routing => Box::new(routing::Routing),
            Name::Memory => Box::new(memory::Memory::Servers),
            Name::MemoryTenants => Box::new(memory::Memory::Tenants),
            Name::Distribution => Box::new(distribution::Distribution),
            Name::Evidence { requests_per_second } => Box::new(evidence::Evidence { requests_per_second }),
            Name::HollowEvidence(ref args) => Box::new(args.clone()),
            Name::HollowRegistry(ref args) => Box::new(args.clone()),
            Name::HollowRelease(ref args) => Box::new(args.clone()),
            Name::HollowProcesses(ref args) => Box::new(args.clone()),
        }
    }
}

/// How one run measures.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Short spans, as in CI.
    pub quick: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Something whose cost grows with a size.
pub trait Slope {
    /// Its name, as the subcommand has it.
    fn name(&self) -> &'static str;

    /// What the size counts, such as "servers".
    fn size_of(&self) -> &'static str;

    /// The sizes to measure at if none are given: three at least.
    fn sizes(&self, quick: bool) -> &'static [u64];

    /// Whether each size is measured in a process of its own, as peak memory needs it.
    fn isolated(&self) -> bool {
        false
    }

    /// Measures at one size.
    ///
    /// # Errors
    /// [`ScaleError`] if a process, a socket or a measurement fails.
    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError>;
}

/// Why nothing could be measured.
#[derive(Debug)]
pub enum ScaleError {
    /// Files, sockets or processes failed.
    Io(io::Error),
    /// What was measured did not do what it should have done.
    Failed(String),
    /// More sizes than one run takes.
    TooManySizes,
}

impl fmt::Display for ScaleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScaleError::Io(e) => e.fmt(f),
            ScaleError::Failed(reason) => f.write_str(reason),
            ScaleError::TooManySizes => write!(f, "more than {MOST_SIZES} sizes"),
        }
    }
}

impl std::error::Error for ScaleError {}

impl From<io::Error> for ScaleError {
    fn from(e: io::Error) -> ScaleError {
        ScaleError::Io(e)
    }
}

/// Measures a slope at each size, in this process.
///
/// # Errors
/// [`ScaleError`] if a size cannot be measured.
pub fn measure(slope: &dyn Slope, sizes: &[u64], run: &Run) -> Result<Table, ScaleError> {
    collect(slope, sizes, |size| slope.sample(size, run))
}

/// Measures a slope at each size, each in a process of its own.
fn measure_isolated(slope: &dyn Slope, sizes: &[u64], run: &Run) -> Result<Table, ScaleError> {
    let program = std::env::current_exe()?;
    collect(slope, sizes, |size| {
        let mut command = Command::new(&program);
        command.args(["lab", "scale", slope.name(), "--sample"]);
        command.args(["--sizes", &size.to_string(), "--seed", &run.seed.to_string()]);
        if run.quick {
            command.arg("--quick");
        }
        let output = command.stderr(Stdio::inherit()).output()?;
        if !output.status.success() {
            return Err(ScaleError::Failed(format!("{} at {size}: {}", slope.name(), output.status)));
        }
        serde_json::from_slice(&output.stdout).map_err(|e| ScaleError::Failed(e.to_string()))
    })
}

fn collect(
    slope: &dyn Slope,
    sizes: &[u64],
    mut sample: impl FnMut(u64) -> Result<Vec<Measurement>, ScaleError>,
) -> Result<Table, ScaleError> {
    if sizes.len() > MOST_SIZES {
        return Err(ScaleError::TooManySizes);
    }
    let mut table =
        Table { name: slope.name().into(), size_of: slope.size_of().into(), measurements: Vec::new() };
    for size in sizes {
        table.measurements.extend(sample(*size)?);
    }
    Ok(table)
}

/// Runs `violetseam lab scale`.
///
/// # Errors
/// [`ScaleError`] if a measurement, the fit or the output fails.
pub fn run(args: &ScaleArgs) -> Result<(), ScaleError> {
    let slope = args.name.slope();
    let run = Run { quick: args.quick, seed: args.seed };
    let sizes = if args.sizes.is_empty() { slope.sizes(args.quick) } else { &args.sizes };
    let table = match slope.isolated() && !args.sample {
        true => measure_isolated(&*slope, sizes, &run)?,
        false => measure(&*slope, sizes, &run)?,
    };
    if args.sample {
        let json = serde_json::to_string(&table.measurements);
        println!("{}", json.map_err(|e| ScaleError::Failed(e.to_string()))?);
        return Ok(());
    }
    match args.csv.as_deref() {
        Some(path) if path.as_os_str() == "-" => return Ok(table.write_csv(&mut io::stdout())?),
        Some(path) => table.write_csv(&mut std::fs::File::create(path)?)?,
        None => {}
    }
    print!("{}", table.text());
    Ok(())
}
