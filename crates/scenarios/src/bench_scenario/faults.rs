//! Converts the faults of a bench file to faults of a scenario.

use super::format::BenchFault;
use super::scale::Scale;
use violetseam_simulated_site::scenario::{Fault, FaultKind};

/// Kind of fault with which the bench marks a defective release. The release itself has the defect, so no
/// fault is injected for it.
const BAD_BUILD: &str = "bad_build";

/// Whether the target indices of a fault refer to servers or to proxies.
#[derive(Clone, Copy)]
enum Targets {
    Servers,
    Proxies,
}

/// Converts a fault, or returns `None` if it is not injected. Faults that cannot be played are added to
/// `notes`.
pub(super) fn convert(fault: &BenchFault, scale: &Scale, notes: &mut Vec<String>) -> Option<Fault> {
    if fault.kind == BAD_BUILD {
        return None;
    }
    let Some((kind, targets)) = kind_and_targets(fault) else {
        let seconds = fault.at as f64 / 1e6;
        notes.push(format!("not played: fault {:?} from {seconds:.1} s on", fault.kind));
        return None;
    };
    let indices = fault.on.iter().copied();
    let targets = match targets {
        Targets::Servers => indices.filter_map(|index| scale.server_index(index)).collect(),
        Targets::Proxies => indices.filter(|&index| index < scale.proxies).collect(),
    };
    // The bench states the batch size of a rolling restart as a share of the proxies.
    let magnitude = match kind {
        FaultKind::ProxyRollingRestart => (fault.size * scale.proxies as f64).ceil(),
        _ => fault.size,
    };
    Some(Fault {
        kind,
        at: fault.at,
        duration: fault.len,
        magnitude,
        parameter: fault.extra,
        targets,
        selector: fault.which,
    })
}

fn kind_and_targets(fault: &BenchFault) -> Option<(FaultKind, Targets)> {
    let kind = match fault.kind.as_str() {
        "balancer_crash" => return Some((FaultKind::ProxyCrash, Targets::Proxies)),
        "balancer_roll" => return Some((FaultKind::ProxyRollingRestart, Targets::Proxies)),
        "crash" => FaultKind::ServerCrash,
        "slow" => FaultKind::SlowServer,
        "fast_errors" => FaultKind::FastErrors,
        "pauses" => FaultKind::ServerPauses,
        "neighbour" => FaultKind::NoisyNeighbor,
        "shared_slow" => FaultKind::SlowFleet,
        "slow_class" => FaultKind::SlowClass,
        "zone_loss" => FaultKind::ZoneOutage,
        "peer_down" => FaultKind::GossipOutage,
        "handshake_slow" => FaultKind::SlowHandshake,
        "control_down" if fault.size > 0.0 => FaultKind::ReleaseServiceDelay,
        "control_down" => FaultKind::ReleaseServiceUnresponsive,
        "report_late" => FaultKind::ReleaseServiceDelay,
        _ => return None,
    };
    Some((kind, Targets::Servers))
}
