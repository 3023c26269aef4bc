//! What the decisions hold for N servers and for N tenants.

use super::resources::resident_bytes;
use super::simulated::{Proxy, entries, settings};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};

const FEW_SERVERS: u64 = 20;
/// Requests of tenants that are put between two steps of the clock.
const TOGETHER: usize = 4;

/// What there are N of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    /// Listed servers.
    Servers,
    /// Tenants, each with one request.
    Tenants,
}

impl Slope for Memory {
    fn name(&self) -> &'static str {
        match self {
            Memory::Servers => "memory",
            Memory::Tenants => "memory-tenants",
        }
    }

    fn size_of(&self) -> &'static str {
        match self {
            Memory::Servers => "servers",
            Memory::Tenants => "tenants",
        }
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        match (self, quick) {
            (_, true) => &[100, 400, 1_600],
            (Memory::Servers, false) => &[1_000, 10_000, 30_000, 68_000],
            (Memory::Tenants, false) => &[1_000, 10_000, 30_000, 110_000],
        }
    }

    fn isolated(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let (servers, tenants) = match self {
            Memory::Servers => (size, 0),
            Memory::Tenants => (FEW_SERVERS, size as usize),
        };
        let servers = entries(servers, run.seed)?;
        let before = resident_bytes()?;
        let mut proxy = Proxy::new(settings(3, 0, tenants), &servers, run.seed);
        for tenant in 0..tenants {
            proxy.request(tenant);
            if tenant % TOGETHER == 0 {
                proxy.step();
            }
        }
        proxy.run(super::simulated::SECOND, 0.0);
        let grown = resident_bytes()?.saturating_sub(before);
        Ok(vec![
            Measurement::new("state, serialized", Unit::Bytes, size, proxy.state_bytes()? as f64),
            Measurement::new("resident memory", Unit::Bytes, size, grown as f64),
        ])
    }
}
