//! Validation of request classes.

use crate::sections::{IdempotencyName, RequestClassSection};
use violetseam_starlark_config::{Located, ScriptDuration, ScriptError};

/// Maximum number of request classes.
const MAX_CLASSES: usize = 64;
/// Minimum deadline of a request class. A shorter one leaves servers no time to respond.
const MIN_DEADLINE: ScriptDuration = ScriptDuration::from_millis(50);

/// Validates the request classes, and returns their names in the order of the script.
///
/// # Errors
///
/// There is no class or there are too many, two classes have the same name, or a value of a class is out of
/// bounds.
pub(super) fn check_classes(
    script: &str,
    classes: &[Located<RequestClassSection>],
) -> Result<Vec<String>, ScriptError> {
    let mut names: Vec<String> = Vec::new();
    for class in classes {
        let name = &class.value.name;
        if names.contains(name) {
            return class.reject(format!("request_class: {name:?} twice"));
        }
        check_class(class)?;
        names.push(name.clone());
    }
    match names.len() {
        0 => Err(ScriptError::missing_section(script, "request_class")),
        1..=MAX_CLASSES => Ok(names),
        count => {
            classes[MAX_CLASSES].reject(format!("request_class: {count} classes, {MAX_CLASSES} at most"))
        }
    }
}

fn check_class(class: &Located<RequestClassSection>) -> Result<(), ScriptError> {
    let section = &class.value;
    let name = &section.name;
    if section.aim == ScriptDuration::ZERO || section.aim > section.deadline {
        return class.reject(format!("request_class {name:?}: the aim is past the deadline, or zero"));
    }
    if section.deadline < MIN_DEADLINE {
        return class
            .reject(format!("request_class {name:?}: a deadline under 50ms leaves no room to answer"));
    }
    if (section.effect == IdempotencyName::Keyed) != section.window.is_some() {
        return class.reject(format!(
            "request_class {name:?}: a keyed class, and no other, has a window in which servers drop repeats"
        ));
    }
    let is_worth_valid = section.worth.is_finite() && section.worth >= 0.0;
    let is_late_worth_valid = (0.0..=1.0).contains(&section.late_worth);
    if !(is_worth_valid && is_late_worth_valid) {
        return class.reject(format!("request_class {name:?}: worth is 0 or more, late_worth 0 to 1"));
    }
    Ok(())
}
