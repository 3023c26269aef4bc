//! Selecting members of a fleet by name or group.

use violetseam_settings::Member;

/// A name that selects no member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no member or group {0:?}")]
pub struct UnknownNameError(pub String);

/// The members whose name or group is among `names`, in the fleet's order; all if `names` is empty.
///
/// # Errors
/// If a name selects no member.
pub fn select_members(members: Vec<Member>, names: &[String]) -> Result<Vec<Member>, UnknownNameError> {
    if names.is_empty() {
        return Ok(members);
    }
    for name in names {
        if !members.iter().any(|member| matches_name(member, name)) {
            return Err(UnknownNameError(name.clone()));
        }
    }
    let is_selected = |member: &Member| names.iter().any(|name| matches_name(member, name));
    Ok(members.into_iter().filter(is_selected).collect())
}

fn matches_name(member: &Member, name: &String) -> bool {
    member.name == *name || member.groups.contains(name)
}
