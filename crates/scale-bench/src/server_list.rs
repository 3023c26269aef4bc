//! The server list: a whole list and changes of N servers, from bytes to the proxy's table of addresses.

use super::resources::{median_micros, peak_bytes, resident_bytes};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
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
const REPEATS: usize = 9;

/// See the module.
pub struct ServerList;

impl Slope for ServerList {
    fn name(&self) -> &'static str {
        "server-list"
    }

    fn size_of(&self) -> &'static str {
        "servers"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[100, 1_000, 4_000] } else { &[1_000, 5_000, 10_000, 20_000, 68_000] }
    }

    fn isolated(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let whole = whole_list(size, run.seed);
        let bytes = whole.write();
        let count = |quantity: &str, value: f64| Measurement::new(quantity, Unit::Count, size, value);
        let mut found = vec![Measurement::new("whole list", Unit::Bytes, size, bytes.len() as f64)];
        let zone_bytes = changes(&whole, zone_lines(&whole)).write();
        found.push(Measurement::new("change of a zone", Unit::Bytes, size, zone_bytes.len() as f64));
        let one_bytes = changes(&whole, whole.servers[..1].to_vec()).write();
        found.push(Measurement::new("change of one server", Unit::Bytes, size, one_bytes.len() as f64));
        let taken = bytes.len() <= MAX_LINE_BYTES && ListUpdate::parse(&bytes).is_ok();
        found.push(count("refused", if taken { 0.0 } else { 1.0 }));
        if !taken {
            return Ok(found);
        }
        found.extend(costs(size, &bytes, &one_bytes, &zone_bytes)?);
        Ok(found)
    }
}

/// Times and memory of a list that is taken.
fn costs(size: u64, whole: &[u8], one: &[u8], zone: &[u8]) -> Result<Vec<Measurement>, ScaleError> {
    let failed = |e: violetseam_site_protocol::MessageError| ScaleError::Failed(e.to_string());
    let before = resident_bytes()?;
    let message = ListUpdate::parse(whole).map_err(failed)?;
    let mut roster = EndpointList::default();
    roster.apply(1, &message).map_err(failed)?;
    let held = message.servers.iter().filter(|line| roster.address(line.id).is_some()).count();
    let grown = peak_bytes()?.saturating_sub(before);
    let parse = median_micros(REPEATS, || drop(ListUpdate::parse(whole)))?;
    let apply = median_micros(REPEATS, || drop(EndpointList::default().apply(1, &message)))?;
    let repeats = REPEATS * 10;
    let (parse_one, apply_one) = change_costs(&mut roster, one, repeats)?;
    let (parse_zone, apply_zone) = change_costs(&mut roster, zone, REPEATS)?;
    Ok(vec![
        Measurement::new("addresses held", Unit::Count, size, held as f64),
        Measurement::new("memory of the whole list", Unit::Bytes, size, grown as f64),
        Measurement::new("parse the whole list", Unit::Microseconds, size, parse),
        Measurement::new("apply the whole list", Unit::Microseconds, size, apply),
        Measurement::new("parse one change", Unit::Microseconds, size, parse_one),
        Measurement::new("apply one change", Unit::Microseconds, size, apply_one),
        Measurement::new("parse a zone's change", Unit::Microseconds, size, parse_zone),
        Measurement::new("apply a zone's change", Unit::Microseconds, size, apply_zone),
    ])
}

/// The times to parse a change and to apply it, in microseconds. It is applied again and again to the same
/// version.
fn change_costs(roster: &mut EndpointList, bytes: &[u8], repeats: usize) -> Result<(f64, f64), ScaleError> {
    let change = ListUpdate::parse(bytes).map_err(|e| ScaleError::Failed(e.to_string()))?;
    let again = ListUpdate { version: change.base, ..change };
    let parse = median_micros(repeats, || drop(ListUpdate::parse(bytes)))?;
    let apply = median_micros(repeats, || drop(roster.apply(1, &again)))?;
    Ok((parse, apply))
}

/// A whole list of `size` servers in eleven zones.
pub fn whole_list(size: u64, seed: u64) -> ListUpdate {
    let mut random = Pcg32::seed_from_u64(seed);
    let line = |id: u64| Endpoint {
        id: 1_000_000 + id,
        addr: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + id as u32), 8_080)),
        build: 100 + u16::from(random.random_bool(0.1)),
        state: EndpointState::Ready,
        zone: (id % u64::from(ZONES)) as u16,
        cell: (id / CELL_SERVERS) as u16,
        size: 1.0,
        age_us: None,
    };
    ListUpdate { kind: UpdateKind::Full, version: 1_000_000, base: 0, servers: (0..size).map(line).collect() }
}

/// The servers of one zone, as they are listed when the zone is lost.
pub fn zone_lines(whole: &ListUpdate) -> Vec<Endpoint> {
    let of_zone = whole.servers.iter().filter(|line| line.zone == 0);
    of_zone.map(|line| Endpoint { state: EndpointState::Gone, ..line.clone() }).collect()
}

/// Changed lines on top of a whole list.
pub fn changes(whole: &ListUpdate, servers: Vec<Endpoint>) -> ListUpdate {
    ListUpdate { kind: UpdateKind::Delta, version: whole.version + 1, base: whole.version, servers }
}
