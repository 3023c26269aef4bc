//! The command `violetseam lab scale`, which measures each size in its own process and prints tables or CSV.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetseam");

fn run_scale(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(["lab", "scale"]).args(arguments).output().unwrap()
}

#[test]
fn a_slope_is_measured_at_each_size_and_printed_as_csv() {
    let output = run_scale(&["memory", "--sizes", "100,200,400", "--csv", "-"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let mut lines = text.lines();
    assert_eq!(lines.next(), Some("slope,size_of,quantity,unit,size,value"));
    let state_lines: Vec<&str> = lines.filter(|line| line.contains("state, serialized")).collect();
    assert_eq!(state_lines.len(), 3, "{text}");
    for (line, size) in state_lines.iter().zip(["100", "200", "400"]) {
        assert!(line.contains(&format!("bytes,{size},")), "{line}");
    }
}

#[test]
fn the_table_names_sizes_and_fits() {
    let output = run_scale(&["settings", "--sizes", "10,20,40"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    for expected in ["10 routes", "40 routes", "line", "power law", "entries held", "1.00*n^1.00"] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}

#[test]
fn too_many_sizes_are_refused() {
    let sizes = (1..=17).map(|size| size.to_string()).collect::<Vec<_>>().join(",");
    let output = run_scale(&["memory", "--sizes", &sizes]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("more than 16 sizes"), "{output:?}");
}
