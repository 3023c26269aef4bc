//! Selects members of a fleet by name or group.

use violetseam_settings::Member;

/// A name that is neither the name nor a group of any member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet has no member or group {0:?}")]
pub struct UnknownNameError(pub String);

/// Returns the members whose name or one of whose groups is in `names`, in the fleet's order. Returns all
/// members if `names` is empty.
///
/// # Errors
/// [`UnknownNameError`] with the first of `names` that selects no member.
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
