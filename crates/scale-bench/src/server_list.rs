//! The server list: a complete list and changes of N servers, from bytes to the proxy's table of addresses.

use crate::resources::{MeasuredProcess, median_micros};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::{Ipv4Addr, SocketAddr};
use violetseam_site_protocol::endpoint_list::{
    Endpoint, EndpointList, EndpointState, ListUpdate, MAX_LINE_BYTES, UpdateKind,
};

/// Zones of the servers.
const ZONES: u16 = 11;
/// Servers of one cell.
const CELL_SERVERS: u64 = 40;
/// Repeats of each timed piece of work.
const REPEATS: usize = 9;
/// Repeats of the change of one server, which takes least.
const SERVER_DELTA_REPEATS: usize = REPEATS * 10;
/// Time at which the lists are applied, in microseconds.
const APPLIED_AT: u64 = 1;
/// Version of the complete list: as long a number as after some time in service.
const FIRST_VERSION: u64 = 1_000_000;
const FIRST_SERVER_ID: u64 = 1_000_000;
/// 10.0.0.0.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 8_080;
/// The build that most servers run; the next one is on trial.
pub const STABLE_BUILD: u16 = 100;
/// Share of the servers that run the build on trial.
const TRIAL_SHARE: f64 = 0.1;

/// A complete list and changes of it, as a proxy receives them.
pub struct ServerListBenchmark;

impl Benchmark for ServerListBenchmark {
    fn name(&self) -> &'static str {
        "server-list"
    }

    fn size_unit(&self) -> &'static str {
        "servers"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[100, 1_000, 4_000] } else { &[1_000, 5_000, 10_000, 20_000, 68_000] }
    }

    fn needs_own_process(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let full = full_list(size, options.seed);
        let encoded = EncodedUpdates {
            full: full.write(),
            zone: delta(&full, zone_removal(&full)).write(),
            server: delta(&full, full.servers[..1].to_vec()).write(),
        };
        let bytes = |quantity: &str, update: &[u8]| {
            Measurement::new(quantity, Unit::Bytes, size, update.len() as f64)
        };
        let is_rejected = encoded.full.len() > MAX_LINE_BYTES || ListUpdate::parse(&encoded.full).is_err();
        let rejected = if is_rejected { 1.0 } else { 0.0 };
        let mut measurements = vec![
            bytes("whole list", &encoded.full),
            bytes("change of a zone", &encoded.zone),
            bytes("change of one server", &encoded.server),
            Measurement::new("refused", Unit::Count, size, rejected),
        ];
        if !is_rejected {
            measurements.extend(measure_costs(size, &encoded)?);
        }
        Ok(measurements)
    }
}

/// A list and two changes of it, as they go over the wire.
struct EncodedUpdates {
    /// The complete list.
    full: Vec<u8>,
    /// The removal of all servers of one zone.
    zone: Vec<u8>,
    /// One server.
    server: Vec<u8>,
}

/// Times and memory of a list that is accepted.
fn measure_costs(size: u64, encoded: &EncodedUpdates) -> Result<Vec<Measurement>, ScaleError> {
    let resident_before = MeasuredProcess::Own.resident_bytes()?;
    let full = ListUpdate::parse(&encoded.full)?;
    let mut list = EndpointList::default();
    list.apply(APPLIED_AT, &full)?;
    let addresses = full.servers.iter().filter(|endpoint| list.address(endpoint.id).is_some()).count();
    let growth = MeasuredProcess::Own.peak_bytes()?.saturating_sub(resident_before);
    let parse_full = median_micros(REPEATS, || drop(ListUpdate::parse(&encoded.full)))?;
    let apply_full = median_micros(REPEATS, || drop(EndpointList::default().apply(APPLIED_AT, &full)))?;
    let server = measure_delta(&mut list, &encoded.server, SERVER_DELTA_REPEATS)?;
    let zone = measure_delta(&mut list, &encoded.zone, REPEATS)?;
    Ok(vec![
        Measurement::new("addresses held", Unit::Count, size, addresses as f64),
        Measurement::new("memory of the whole list", Unit::Bytes, size, growth as f64),
        Measurement::new("parse the whole list", Unit::Microseconds, size, parse_full),
        Measurement::new("apply the whole list", Unit::Microseconds, size, apply_full),
        Measurement::new("parse one change", Unit::Microseconds, size, server.parse_micros),
        Measurement::new("apply one change", Unit::Microseconds, size, server.apply_micros),
        Measurement::new("parse a zone's change", Unit::Microseconds, size, zone.parse_micros),
        Measurement::new("apply a zone's change", Unit::Microseconds, size, zone.apply_micros),
    ])
}

/// Median times of one delta.
struct DeltaTimes {
    /// From bytes to the message, in microseconds.
    parse_micros: f64,
    /// From the message to the list, in microseconds.
    apply_micros: f64,
}

/// Measures one delta. It is applied again and again to the same version of the list.
fn measure_delta(list: &mut EndpointList, bytes: &[u8], repeats: usize) -> Result<DeltaTimes, ScaleError> {
    let parsed = ListUpdate::parse(bytes)?;
    let repeatable = ListUpdate { version: parsed.base, ..parsed };
    let parse_micros = median_micros(repeats, || drop(ListUpdate::parse(bytes)))?;
    let apply_micros = median_micros(repeats, || drop(list.apply(APPLIED_AT, &repeatable)))?;
    Ok(DeltaTimes { parse_micros, apply_micros })
}

/// A complete list of `size` servers in eleven zones.
pub fn full_list(size: u64, seed: u64) -> ListUpdate {
    let mut random = Pcg32::seed_from_u64(seed);
    let endpoint = |id: u64| Endpoint {
        id: FIRST_SERVER_ID + id,
        addr: SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + id as u32), PORT)),
        build: STABLE_BUILD + u16::from(random.random_bool(TRIAL_SHARE)),
        state: EndpointState::Ready,
        zone: (id % u64::from(ZONES)) as u16,
        cell: (id / CELL_SERVERS) as u16,
        size: 1.0,
        age_us: None,
    };
    ListUpdate {
        kind: UpdateKind::Full,
        version: FIRST_VERSION,
        base: 0,
        servers: (0..size).map(endpoint).collect(),
    }
}

/// The servers of one zone, as they are listed when the zone is lost.
pub fn zone_removal(full: &ListUpdate) -> Vec<Endpoint> {
    let of_zone = full.servers.iter().filter(|endpoint| endpoint.zone == 0);
    of_zone.map(|endpoint| Endpoint { state: EndpointState::Gone, ..endpoint.clone() }).collect()
}

/// Changed servers on top of a complete list.
pub fn delta(full: &ListUpdate, servers: Vec<Endpoint>) -> ListUpdate {
    ListUpdate { kind: UpdateKind::Delta, version: full.version + 1, base: full.version, servers }
}
