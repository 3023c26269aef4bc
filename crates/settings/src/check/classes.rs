//! Classes of requests.

use crate::sections::{EffectName, RequestClass};
use violetseam_starlark_config::{Placed, ScriptError};

pub(super) fn check_classes(
    script: &str,
    classes: &[Placed<RequestClass>],
) -> Result<Vec<String>, ScriptError> {
    let mut names: Vec<String> = Vec::new();
    for class in classes {
        let c = &class.is;
        let name = &c.name;
        if names.contains(name) {
            return class.fault(format!("request_class: {name:?} twice"));
        }
        if c.aim.0 == 0 || c.aim > c.deadline {
            return class.fault(format!("request_class {name:?}: the aim is past the deadline, or zero"));
        }
        if c.deadline.0 < 50_000 {
            return class
                .fault(format!("request_class {name:?}: a deadline under 50ms leaves no room to answer"));
        }
        if (c.effect == EffectName::Keyed) != c.window.is_some() {
            return class.fault(format!(
                "request_class {name:?}: a keyed class, and no other, has a window in which servers drop repeats"
            ));
        }
        let fraction = (0.0..=1.0).contains(&c.late_worth);
        if !(c.worth.is_finite() && c.worth >= 0.0 && fraction) {
            return class.fault(format!("request_class {name:?}: worth is 0 or more, late_worth 0 to 1"));
        }
        names.push(name.clone());
    }
    match names.len() {
        0 => Err(ScriptError::missing_section(script, "request_class")),
        1..=64 => Ok(names),
        n => classes[64].fault(format!("request_class: {n} classes, 64 at most")),
    }
}
