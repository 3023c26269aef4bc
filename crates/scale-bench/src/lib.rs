//! How costs grow with the size of a fleet: `violetseam lab scale NAME`.
//!
//! Each [`Benchmark`] measures its quantities at one size. The runner has them measured at several sizes,
//! each in a process of its own where memory is measured, and fits a line and a power law to the values.
//!
//! A new benchmark takes three steps: its module here, its variant of [`BenchmarkName`], and its arm in
//! [`BenchmarkName::benchmark`].

pub mod benchmark;
pub mod command;
pub mod distribution;
pub mod error;
pub mod evidence;
pub mod fit;
pub mod lightweight_proxies;
pub mod memory;
pub mod resources;
pub mod routing;
pub mod server_list;
pub mod settings;
pub mod simulated_proxy;
pub mod table;

pub use benchmark::{Benchmark, MAX_SIZES, RunOptions, measure};
pub use command::{BenchmarkName, ScaleArgs, run};
pub use error::ScaleError;
