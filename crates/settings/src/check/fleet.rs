//! Validation of the proxy's fleet, its control over TCP, and the publisher of its configuration.

use crate::sections::{ControlTlsSection, FleetSection, Identity, PeersSection, PublisherSection};
use crate::settings::ControlTls;
use std::net::SocketAddr;
use violetseam_starlark_config::{Located, ScriptError};

/// Maximum length of a fleet's name.
const MAX_FLEET_NAME_BYTES: usize = 64;
/// Maximum length of the name under which a proxy subscribes to a publisher. This name consists of the
/// fleet's name, `-` and the proxy's position.
const MAX_SUBSCRIBER_NAME_BYTES: usize = 64;

/// Validates the fleet section, and checks that the `peers` section has one address for each proxy of the
/// fleet.
///
/// # Errors
///
/// - The fleet's name or size, or the proxy's position, is out of bounds.
/// - There is a control socket, but no folder for the daemon's state.
/// - The number of peer addresses differs from the size of the fleet.
pub(super) fn check_fleet(
    fleet: &Located<FleetSection>,
    peers: Option<&Located<PeersSection>>,
) -> Result<(), ScriptError> {
    let FleetSection { name, size, position, control, state_dir, .. } = &fleet.value;
    if !is_valid_fleet_name(name) {
        return fleet.reject("fleet: a name has 1 to 64 letters, digits, -, _ or .");
    }
    if *size == 0 || *size > usize::from(u16::MAX) {
        return fleet.reject("fleet: size is 1 to 65535 proxies");
    }
    if position >= size {
        return fleet.reject(format!("fleet: position {position} in a fleet of {size}"));
    }
    if control.is_some() && state_dir.is_none() {
        return fleet.reject("fleet: a control socket needs a state_dir: commands outlive the process");
    }
    match peers {
        Some(peers) if peers.value.addrs.len() != *size => {
            peers.reject(format!("peers: {} addresses for a fleet of {size}", peers.value.addrs.len()))
        }
        _ => Ok(()),
    }
}

fn is_valid_fleet_name(name: &str) -> bool {
    let is_permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_FLEET_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_permitted)
}

/// Returns the settings for control over TCP, if the script has such a section.
///
/// # Errors
///
/// There is a section for control over TCP, but no local control socket.
pub(super) fn check_control_tls(
    fleet: &Located<FleetSection>,
    section: Option<&Located<ControlTlsSection>>,
) -> Result<Option<ControlTls>, ScriptError> {
    let Some(section) = section else { return Ok(None) };
    if fleet.value.control.is_none() {
        return section.reject("control_tls: needs fleet(control = ...), which takeovers and commands go by");
    }
    let ControlTlsSection { listen, cert, key, trusted, revoked } = section.value.clone();
    Ok(Some(ControlTls { listen, identity: Identity { cert, key, trusted, revoked } }))
}

/// Returns the address of the publisher, if the script names one.
///
/// # Errors
///
/// There is a publisher, but no folder for the last configuration, or the proxy's name is too long for the
/// publisher.
pub(super) fn check_publisher(
    fleet: &Located<FleetSection>,
    publisher: Option<&Located<PublisherSection>>,
) -> Result<Option<SocketAddr>, ScriptError> {
    let Some(publisher) = publisher else { return Ok(None) };
    let FleetSection { name, position, state_dir, .. } = &fleet.value;
    if state_dir.is_none() {
        return publisher
            .reject("publisher: needs fleet(state_dir = ...), where the last configuration is kept");
    }
    if format!("{name}-{position}").len() > MAX_SUBSCRIBER_NAME_BYTES {
        return publisher.reject(format!(
            "publisher: the fleet's name and the position are {MAX_SUBSCRIBER_NAME_BYTES} characters at most, with - between"
        ));
    }
    Ok(Some(publisher.value.addr))
}
