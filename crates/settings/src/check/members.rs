//! Validation of fleet files.

use crate::collect::Sections;
use crate::sections::Member;
use crate::settings::FleetFile;
use violetseam_starlark_config::{Located, ScriptError, optional_section};

/// Maximum length of the name of a member or a group.
const MAX_MEMBER_NAME_BYTES: usize = 128;
/// Prefix of the address of a daemon that is controlled over TCP.
const TLS_SCHEME: &str = "tls://";

/// Validates the sections of a fleet file. `script` is the name of the file for errors.
///
/// # Errors
///
/// - There is no member, or one is malformed.
/// - Two members have the same name or the same control address.
/// - There is more than one identity, or none although a member is controlled over TCP.
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
        return section.reject(format!(
            "member {:?}: control must not be empty, and names of members and groups must have \
             1 to {MAX_MEMBER_NAME_BYTES} bytes without spaces",
            member.name
        ));
    }
    let is_duplicate = |other: &Member| other.name == member.name || other.control == member.control;
    if earlier_members.iter().any(is_duplicate) {
        return section.reject(format!(
            "member {:?}: an earlier member has the same name or the same control {:?}",
            member.name, member.control
        ));
    }
    if let Some(host_and_port) = member.control.strip_prefix(TLS_SCHEME) {
        if !is_host_and_port(host_and_port) {
            return section.reject(format!(
                "member {:?}: control must be a path or tls://HOST:PORT, not {:?}",
                member.name, member.control
            ));
        }
        if !has_identity {
            return section.reject(format!(
                "member {:?}: control {:?} needs an identity(cert = ..., key = ..., trusted = ...)",
                member.name, member.control
            ));
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
