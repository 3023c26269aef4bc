//! Settings scripts: a valid script gives the expected settings, and each kind of error is rejected with its
//! file, line and reason.

use std::path::PathBuf;
use violetseam::interface::{GateMode, Idempotency};
use violetseam_settings::{HalfClose, read_file, read_text};

/// A valid script, from which the tests derive invalid ones.
const VALID_SCRIPT: &str = r#"
PORT = 7000
fleet(name = "plant", size = 3, position = option("position", 0), site = 17)
listen(addr = "127.0.0.1:%d" % (8000 + option("position", 0)))
roster(addr = "127.0.0.1:7100")
desk(addr = "127.0.0.1:7200")
peers(listen = "127.0.0.1:7300", addrs = ["127.0.0.1:%d" % (7300 + i) for i in range(3)])
request_class(name = "read", aim = "300ms", deadline = "1.2s", effect = "retryable", worth = 3)
request_class(name = "log", aim = "800ms", deadline = "3s", effect = "keyed", window = "2s")
route(method = "GET", prefix = "/status", to = "read")
route(prefix = "/log", to = "log")
tenant(name = "a", quota = 10)
rollout(stage_caps = [0.16, 0.5, 1.0], counted_over = "6s", vote_ttl = "4s", guarded_stages = 1, uncounted = 2)
contract(ask_within = "10s", cold_from = 0.31, cold_span = "4.2s", drain_grace = "2s",
         fall_multiple = 3.0, fall_span = "3s")
connections(half_close = "serve")
"#;

fn options(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
}

#[test]
fn a_valid_script_gives_the_expected_settings() {
    let settings = read_text("s.star", VALID_SCRIPT, &options(&[("position", "2")])).unwrap();
    assert_eq!(settings.listen[0].port(), 8002);
    assert_eq!((settings.decisions.position, settings.decisions.fleet_size), (2, 3));
    assert_eq!(settings.decisions.classes[1].idempotency, Idempotency::Keyed);
    assert_eq!(settings.decisions.classes[1].dedup_window, 2_000_000);
    assert_eq!(settings.decisions.rollout.gate, GateMode::Any);
    assert_eq!(settings.connections.half_close, HalfClose::Serve);
    assert!(settings.decisions.limits.gossip);
    assert_eq!((settings.routes[0].class, settings.routes[1].class, settings.tenants["a"]), (0, 1, 0));
}

/// Replaces a piece of the valid script, and checks that the script is rejected with this reason at the line
/// of the piece.
fn assert_rejected(piece: &str, replacement: &str, reason: &str) {
    let offset = VALID_SCRIPT.find(piece).unwrap_or_else(|| panic!("{piece:?} is not in the script"));
    let line = VALID_SCRIPT[..offset].matches('\n').count() + 1;
    let error = read_text("s.star", &VALID_SCRIPT.replacen(piece, replacement, 1), &[])
        .expect_err(replacement)
        .to_string();
    assert!(error.contains(reason), "{replacement}: {error}, expected {reason:?}");
    assert!(error.starts_with(&format!("s.star:{line}:")), "{replacement}: {error}, expected line {line}");
}

#[test]
fn errors_state_their_line_and_reason() {
    assert_rejected("worth = 3", "wrth = 3", "unknown field `wrth`");
    assert_rejected("worth = 3", "worth = \"3\"", "worth: invalid type");
    assert_rejected("aim = \"300ms\"", "aim = 300", "aim: invalid type");
    assert_rejected("aim = \"300ms\"", "aim = \"300 ms\"", "is no span of time");
    assert_rejected("aim = \"300ms\"", "aim = \"2s\"", "the aim is past the deadline");
    assert_rejected(", window = \"2s\"", "", "a keyed class, and no other, has a window");
    assert_rejected("0.5, 1.0]", "0.5, 1.5]", "a stage cap of 1.5");
    assert_rejected("0.5, 1.0]", "0.1, 1.0]", "stage_caps fall");
    assert_rejected("to = \"log\"", "to = \"lag\"", "no class \"lag\"");
    assert_rejected("prefix = \"/log\"", "prefix = \"log\"", "starts with /");
    assert_rejected("range(3)", "range(2)", "2 addresses for a fleet of 3");
    assert_rejected("position = option(\"position\", 0)", "position = 3", "position 3 in a fleet of 3");
    assert_rejected("cold_from = 0.31", "cold_from = 0", "cold_from is over 0");
    assert_rejected("half_close = \"serve\"", "half_close = \"maybe\"", "unknown variant");
    assert_rejected("half_close = \"serve\"", "keep_body = 100, max_body = 10", "keep_body is over max_body");
    assert_rejected("tenant(name = \"a\", quota = 10)", "tenant(name = \"a\", quota = nope)", "nope");
    assert_rejected("PORT = 7000", "PORT = 7000 +", "Parse error");
    assert_rejected(
        "connections(half_close = \"serve\"",
        "budgets(lease = \"1s\"",
        "no request_class has a budget",
    );
    assert_rejected("worth = 3", "worth = 3, further = -1", "further is 0 to");
    assert_rejected("worth = 3", "worth = 3, further = 1", "never saves up one token");
}

#[test]
fn scripts_that_exceed_resource_limits_are_rejected() {
    let endless =
        VALID_SCRIPT.replace("PORT = 7000", "PORT = [0 for a in range(100000) for b in range(100000)]");
    assert!(read_text("s.star", &endless, &[]).unwrap_err().to_string().contains("limit"));
    let too_deep = VALID_SCRIPT.replace("PORT = 7000", "def f(n):\n    return f(n + 1)\nPORT = f(0)");
    assert!(read_text("s.star", &too_deep, &[]).is_err());
}

#[test]
fn missing_sections_unknown_options_and_routes_that_cannot_match_are_rejected() {
    let without = |piece: &str| VALID_SCRIPT.replacen(piece, "", 1);
    let error = |text: &str| read_text("s.star", text, &[]).unwrap_err().to_string();
    assert!(error(&without("desk(addr = \"127.0.0.1:7200\")")).contains("no desk(...)"));
    assert!(error(&without("route(prefix = \"/log\", to = \"log\")")).contains("no route leads to class"));
    let covered = VALID_SCRIPT
        .replace("route(prefix = \"/log\"", "route(prefix = \"/\", to = \"read\")\nroute(prefix = \"/log\"");
    assert!(error(&covered).contains("can never match"));
    let unknown = read_text("s.star", VALID_SCRIPT, &options(&[("positon", "1")])).unwrap_err().to_string();
    assert!(unknown.contains("asks for no option \"positon\""));
    assert!(
        read_text("s.star", VALID_SCRIPT, &options(&[("position", "x")]))
            .unwrap_err()
            .to_string()
            .contains("is no number")
    );
}

#[test]
fn scripts_can_only_load_files_from_their_own_folder() {
    let folder: PathBuf = std::env::temp_dir().join(format!("violetseam-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("common.star"), "CAPS = [0.1, 1.0]\n").unwrap();
    std::fs::write(folder.join("round.star"), "load(\"round.star\", \"X\")\n").unwrap();
    let write_and_read = |load: &str, caps: &str| {
        let text = format!("{load}\n{}", VALID_SCRIPT.replace("[0.16, 0.5, 1.0]", caps));
        std::fs::write(folder.join("main.star"), text).unwrap();
        read_file(&folder.join("main.star"), &[])
    };
    let settings = write_and_read("load(\"common.star\", \"CAPS\")", "CAPS").unwrap();
    assert_eq!(settings.decisions.rollout.stage_caps, [0.1, 1.0]);
    for outside in ["../common.star", "/etc/hostname", ".hidden", "sub/common.star"] {
        let error =
            write_and_read(&format!("load(\"{outside}\", \"CAPS\")"), "[1.0]").unwrap_err().to_string();
        assert!(error.contains("only plain names"), "{error}");
    }
    assert!(
        write_and_read("load(\"round.star\", \"X\")", "[1.0]")
            .unwrap_err()
            .to_string()
            .contains("in a circle")
    );
    assert!(write_and_read("load(\"none.star\", \"X\")", "[1.0]").is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}
