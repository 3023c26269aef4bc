//! Scenario files as the operators' bench generates them, played over sockets at the scale that one machine
//! carries. What cannot be played is named, never skipped silently.

mod convert;
mod error;
mod faults;
mod format;
mod scale;

pub use error::BenchScenarioError;

use format::BenchFile;
use scale::Scale;
use violetseam_simulated_site::scenario::{ProxySpec, Scenario, Traffic};

/// The family of files that can be played: those with releases.
const PLAYED_FAMILY: &str = "rollout";
/// What no file's scenario is played with.
const NEVER_PLAYED: [&str; 3] =
    ["load reports and probes", "connection handshakes' cost in server work", "list service's capacity"];

/// A scenario of the bench as it can be played here.
#[derive(Debug)]
pub struct BenchScenario {
    /// The scenario.
    pub scenario: Scenario,
    /// Servers and traffic of the file that are played, as a share.
    pub scale: f64,
    /// What cannot be played, or is played otherwise.
    pub notes: Vec<String>,
}

/// Reads a scenario file of the bench.
///
/// # Errors
/// [`BenchScenarioError`] names the part of the file that cannot be played here.
pub fn read(text: &[u8]) -> Result<BenchScenario, BenchScenarioError> {
    let file: BenchFile = serde_json::from_slice(text)?;
    if file.family != PLAYED_FAMILY || file.tiers.len() != 1 {
        return Err(BenchScenarioError::UnsupportedFamily { family: file.family, tiers: file.tiers.len() });
    }
    let mut notes = Vec::new();
    let scale = Scale::of(&file);
    scale.note(&mut notes);
    let scenario = convert_scenario(&file, &scale, &mut notes)?;
    if file.zones.len() > 1 {
        notes.push("not played: time between zones".into());
    }
    Ok(BenchScenario { scenario, scale: scale.ratio, notes })
}

fn convert_scenario(
    file: &BenchFile,
    scale: &Scale,
    notes: &mut Vec<String>,
) -> Result<Scenario, BenchScenarioError> {
    let servers = scale.running_servers(file)?;
    let spares = scale.spare_servers(file)?;
    let capacity: f64 = servers.iter().map(|server| server.cores * server.speed * 1e6).sum();
    let faults = file.faults.iter().filter_map(|fault| faults::convert(fault, scale, notes)).collect();
    let mut classes = Vec::new();
    for class in &file.classes {
        classes.push(convert::class(class, notes)?);
    }
    let clients = convert::clients(file, notes);
    notes.extend(NEVER_PLAYED.iter().map(|part| format!("not played: {part}")));
    let releases = file.rollout.releases.iter().map(convert::release).collect::<Result<_, _>>()?;
    let proxies = file.proxies[..scale.proxies].iter();
    Ok(Scenario {
        name: file.site.clone(),
        length: file.length,
        seed: file.noise,
        proxies: proxies.map(|proxy| ProxySpec { zone: proxy.zone, weight: proxy.weight }).collect(),
        servers,
        spares,
        classes,
        tenants: file.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.traffic)).collect(),
        traffic: Traffic {
            rate: file.traffic.load * capacity / file.mean_work().max(1.0),
            shape: file.traffic.shape.clone(),
            keys: file.traffic.keys,
            key_skew: file.traffic.key_zipf,
            hints: file.traffic.hint_cv >= 0.0,
        },
        clients,
        discovery: convert::discovery_delays(&file.discovery),
        rollout: convert::rollout(&file.rollout)?,
        releases,
        faults,
        service_rules: convert::service_rules(file),
        retry_quotas: None,
    })
}
