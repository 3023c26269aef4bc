//! The fleet that a proxy belongs to, its control over TCP, and the daemons of a fleet file.

use crate::collect::Sections;
use crate::sections::{ControlTls, Fleet, Identity, Member, Peers, Publisher};
use crate::settings::FleetFile;
use std::net::SocketAddr;
use violetseam_starlark_config::{Placed, ScriptError, one};

pub(super) fn check_fleet(fleet: &Placed<Fleet>, peers: Option<&Placed<Peers>>) -> Result<(), ScriptError> {
    let Fleet { name, size, position, .. } = &fleet.is;
    let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if !plain || name.len() > 64 {
        return fleet.fault("fleet: a name has 1 to 64 letters, digits, -, _ or .");
    }
    if *size == 0 || *size > usize::from(u16::MAX) {
        return fleet.fault("fleet: size is 1 to 65535 proxies");
    }
    if position >= size {
        return fleet.fault(format!("fleet: position {position} in a fleet of {size}"));
    }
    if fleet.is.control.is_some() && fleet.is.state_dir.is_none() {
        return fleet.fault("fleet: a control socket needs a state_dir: commands outlive the process");
    }
    match peers {
        Some(p) if p.is.addrs.len() != *size => {
            p.fault(format!("peers: {} addresses for a fleet of {size}", p.is.addrs.len()))
        }
        _ => Ok(()),
    }
}

pub(super) fn check_control_tls(
    fleet: &Placed<Fleet>,
    tls: Option<&Placed<ControlTls>>,
) -> Result<Option<(SocketAddr, Identity)>, ScriptError> {
    let Some(tls) = tls else { return Ok(None) };
    if fleet.is.control.is_none() {
        return tls.fault("control_tls: needs fleet(control = ...), which takeovers and commands go by");
    }
    let ControlTls { listen, cert, key, trusted, revoked } = tls.is.clone();
    Ok(Some((listen, Identity { cert, key, trusted, revoked })))
}

/// The longest name that a publisher knows a proxy by, in bytes: its fleet's name, `-` and its position.
const SUBSCRIBER_BYTES_MOST: usize = 64;

/// Where the publisher is, if the settings name one.
pub(super) fn check_publisher(
    fleet: &Placed<Fleet>,
    publisher: Option<&Placed<Publisher>>,
) -> Result<Option<SocketAddr>, ScriptError> {
    let Some(publisher) = publisher else { return Ok(None) };
    let Fleet { name, position, state_dir, .. } = &fleet.is;
    if state_dir.is_none() {
        return publisher
            .fault("publisher: needs fleet(state_dir = ...), where the last configuration is kept");
    }
    if format!("{name}-{position}").len() > SUBSCRIBER_BYTES_MOST {
        return publisher.fault(format!(
            "publisher: the fleet's name and the position are {SUBSCRIBER_BYTES_MOST} characters at most, with - between"
        ));
    }
    Ok(Some(publisher.is.addr))
}

/// The daemons of a fleet file.
pub(crate) fn members(script: &str, s: &Sections) -> Result<FleetFile, ScriptError> {
    let identity = one("identity", &s.identity)?.map(|placed| placed.is.clone());
    let mut members: Vec<Member> = Vec::new();
    for placed in &s.members {
        let m = &placed.is;
        let plain =
            |text: &String| !text.is_empty() && text.len() <= 128 && !text.contains(char::is_whitespace);
        if !plain(&m.name) || !m.groups.iter().all(plain) || m.control.is_empty() {
            return placed.fault("member: names and groups are 1 to 128 characters without spaces");
        }
        if members.iter().any(|other| other.name == m.name || other.control == m.control) {
            return placed.fault(format!("member: {:?} or its control socket twice", m.name));
        }
        if let Some(place) = m.control.strip_prefix("tls://") {
            let (host, port) = place.rsplit_once(':').unwrap_or_default();
            if host.is_empty() || port.parse::<u16>().is_err() {
                return placed.fault("member: control over TCP is tls://HOST:PORT");
            }
            if identity.is_none() {
                return placed
                    .fault("member: tls:// needs an identity(cert = ..., key = ..., trusted = ...)");
            }
        }
        members.push(m.clone());
    }
    if members.is_empty() {
        return Err(ScriptError::missing_section(script, "member"));
    }
    Ok(FleetFile { members, identity })
}
