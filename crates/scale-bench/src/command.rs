//! The command `violetseam lab scale`: its arguments and its output.

use crate::benchmark::{Benchmark, RunOptions, measure, measure_in_processes};
use crate::error::ScaleError;
use crate::lightweight_proxies::{endpoint_list, evidence as evidence_traffic, idle_processes, release};
use crate::table::Table;
use crate::{distribution, evidence, memory, routing, server_list, settings};
use clap::{Args, Subcommand};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Arguments of `violetseam lab scale`.
#[derive(Args, Clone, Debug)]
pub struct ScaleArgs {
    /// What is measured
    #[command(subcommand)]
    pub name: BenchmarkName,
    /// The sizes, separated by commas; the benchmark's own if not given
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
    /// Measure in this process and print JSON; how one size is measured alone
    #[arg(long, global = true, hide = true)]
    pub sample: bool,
}

/// The benchmarks, as subcommands.
#[derive(Subcommand, Clone, Debug)]
pub enum BenchmarkName {
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
    HollowEvidence(evidence_traffic::EvidenceArgs),
    /// Server list of N hollow proxies before a registry: calls and bytes at rest, changes, cuts, starts
    HollowRegistry(endpoint_list::RegistryArgs),
    /// Stage news and votes of N hollow proxies before a release controller
    HollowRelease(release::ReleaseArgs),
    /// Memory and processor time of N processes of `serve` at rest
    HollowProcesses(idle_processes::ProcessesArgs),
}

impl BenchmarkName {
    /// The benchmark with its arguments.
    pub fn benchmark(&self) -> Box<dyn Benchmark> {
        match *self {
            BenchmarkName::Settings => Box::new(settings::SettingsBenchmark::Routes),
            BenchmarkName::SettingsTenants => Box::new(settings::SettingsBenchmark::Tenants),
            BenchmarkName::ServerList => Box::new(server_list::ServerListBenchmark),
            BenchmarkName::Routing => Box::new(routing::RoutingBenchmark),
            BenchmarkName::Memory => Box::new(memory::MemoryBenchmark::Servers),
            BenchmarkName::MemoryTenants => Box::new(memory::MemoryBenchmark::Tenants),
            BenchmarkName::Distribution => Box::new(distribution::DistributionBenchmark),
            BenchmarkName::Evidence { requests_per_second } => {
                Box::new(evidence::EvidenceBenchmark { requests_per_second })
            }
            BenchmarkName::HollowEvidence(ref args) => Box::new(args.clone()),
            BenchmarkName::HollowRegistry(ref args) => Box::new(args.clone()),
            BenchmarkName::HollowRelease(ref args) => Box::new(args.clone()),
            BenchmarkName::HollowProcesses(ref args) => Box::new(args.clone()),
        }
    }
}

/// Runs `violetseam lab scale`: the table, the CSV or a sample's JSON goes to standard output.
///
/// # Errors
/// [`ScaleError`] if a measurement or the output fails.
pub fn run(args: &ScaleArgs) -> Result<(), ScaleError> {
    let benchmark = args.name.benchmark();
    let options = RunOptions { quick: args.quick, seed: args.seed };
    let sizes = if args.sizes.is_empty() { benchmark.default_sizes(args.quick) } else { &args.sizes };
    if args.sample {
        let table = measure(&*benchmark, sizes, &options)?;
        println!("{}", serde_json::to_string(&table.measurements).map_err(ScaleError::SampleFormat)?);
        return Ok(());
    }
    let table = if benchmark.needs_own_process() {
        measure_in_processes(&*benchmark, sizes, &options)?
    } else {
        measure(&*benchmark, sizes, &options)?
    };
    match args.csv.as_deref() {
        Some(path) if path.as_os_str() == "-" => return Ok(table.write_csv(&mut io::stdout())?),
        Some(path) => write_csv_file(&table, path)?,
        None => {}
    }
    print!("{}", table.text());
    Ok(())
}

fn write_csv_file(table: &Table, path: &Path) -> Result<(), ScaleError> {
    File::create(path)
        .and_then(|mut file| table.write_csv(&mut file))
        .map_err(|source| ScaleError::File { path: path.display().to_string(), source })
}
