//! Memory and state of the decision module with N servers and with N tenants.

use crate::resources::MeasuredProcess;
use crate::simulated_proxy::{BalancerSize, SECOND, SimulatedProxy, balancer_settings, server_entries};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};

/// Servers where the size counts tenants.
const SERVERS_WITH_TENANTS: u64 = 20;
/// Proxies of the fleet that the measured one belongs to.
const FLEET_SIZE: usize = 3;
/// Requests of tenants between two steps of the clock.
const REQUESTS_PER_STEP: usize = 4;

/// What there are N of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryBenchmark {
    /// Listed servers.
    Servers,
    /// Tenants, each with one request.
    Tenants,
}

impl Benchmark for MemoryBenchmark {
    fn name(&self) -> &'static str {
        match self {
            MemoryBenchmark::Servers => "memory",
            MemoryBenchmark::Tenants => "memory-tenants",
        }
    }

    fn size_unit(&self) -> &'static str {
        match self {
            MemoryBenchmark::Servers => "servers",
            MemoryBenchmark::Tenants => "tenants",
        }
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        match (self, quick) {
            (_, true) => &[100, 400, 1_600],
            (MemoryBenchmark::Servers, false) => &[1_000, 10_000, 30_000, 68_000],
            (MemoryBenchmark::Tenants, false) => &[1_000, 10_000, 30_000, 110_000],
        }
    }

    fn needs_own_process(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let server_count = match self {
            MemoryBenchmark::Servers => size,
            MemoryBenchmark::Tenants => SERVERS_WITH_TENANTS,
        };
        let tenants = match self {
            MemoryBenchmark::Servers => 0,
            MemoryBenchmark::Tenants => size as usize,
        };
        let servers = server_entries(server_count, options.seed)?;
        let resident_before = MeasuredProcess::Own.resident_bytes()?;
        let balancer = BalancerSize { proxies: FLEET_SIZE, position: 0, tenants };
        let mut proxy = SimulatedProxy::new(balancer_settings(balancer), &servers, options.seed);
        for tenant in 0..tenants {
            proxy.request(tenant);
            if tenant % REQUESTS_PER_STEP == 0 {
                proxy.step();
            }
        }
        proxy.run(SECOND, 0.0);
        let growth = MeasuredProcess::Own.resident_bytes()?.saturating_sub(resident_before);
        Ok(vec![
            Measurement::new("state, serialized", Unit::Bytes, size, proxy.state_bytes()? as f64),
            Measurement::new("resident memory", Unit::Bytes, size, growth as f64),
        ])
    }
}
