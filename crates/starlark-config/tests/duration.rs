//! Parsing of the durations that scripts contain.

use violetseam_starlark_config::ScriptDuration;

fn parse(text: &str) -> Option<ScriptDuration> {
    serde_json::from_value(serde_json::Value::String(text.to_owned())).ok()
}

#[test]
fn durations_need_a_unit_and_may_have_fractions() {
    assert_eq!(parse("1.5s"), Some(ScriptDuration::from_micros(1_500_000)));
    assert_eq!(parse("250us"), Some(ScriptDuration::from_micros(250)));
    for malformed in ["", "5", "ms", "-1s", "1e9s", "1 s", "infs", "91d"] {
        assert_eq!(parse(malformed), None, "{malformed}");
    }
}
