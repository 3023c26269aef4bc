//! The daemons of a fleet file.

use crate::collect::Sections;
use crate::sections::Member;
use crate::settings::FleetFile;
use violetseam_starlark_config::{Located, ScriptError, optional_section};

/// The longest name of a member or a group, in bytes.
const MAX_MEMBER_NAME_BYTES: usize = 128;
/// What the address of a daemon that is controlled over TCP starts with.
const TLS_SCHEME: &str = "tls://";

/// Checks the sections of a fleet file; `script` is its name.
///
/// # Errors
///
/// There is no member, one is malformed or there twice, or the operator's identity is missing where it is
/// needed.
pub(crate) fn check_fleet_file(script: &str, sections: &Sections) -> Result<FleetFile, ScriptError> {
    let identity = optional_section("identity", &sections.identity)?.map(|section| section.value.clone());
    let mut members: Vec<Member> = Vec::new();
    for section in &sections.members {
        check_member(section, &members, identity.is_some())?;
        members.push(section.value.clone());
    }
    if members.is_empty() {
        return Err(ScriptError::missing_section(script, "member"));
    }
    Ok(FleetFile { members, identity })
}

fn check_member(
    section: &Located<Member>,
    earlier_members: &[Member],
    has_identity: bool,
) -> Result<(), ScriptError> {
    let member = &section.value;
    let are_names_valid =
        is_valid_name(&member.name) && member.groups.iter().all(|group| is_valid_name(group));
    if !are_names_valid || member.control.is_empty() {
        return section.reject("member: names and groups are 1 to 128 characters without spaces");
    }
    let is_same = |other: &Member| other.name == member.name || other.control == member.control;
    if earlier_members.iter().any(is_same) {
        return section.reject(format!("member: {:?} or its control socket twice", member.name));
    }
    if let Some(host_and_port) = member.control.strip_prefix(TLS_SCHEME) {
        if !is_host_and_port(host_and_port) {
            return section.reject("member: control over TCP is tls://HOST:PORT");
        }
        if !has_identity {
            return section.reject("member: tls:// needs an identity(cert = ..., key = ..., trusted = ...)");
        }
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_MEMBER_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_whitespace)
}

fn is_host_and_port(text: &str) -> bool {
    let (host, port) = text.rsplit_once(':').unwrap_or_default();
    !host.is_empty() && port.parse::<u16>().is_ok()
}
