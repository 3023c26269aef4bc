//! Runs one case of the review: `cases N FOLDER`. See `platform.rs` for the stand-ins.

#![allow(dead_code)]

mod platform;

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, folder] = &arguments[..] else {
        eprintln!("usage: cases N FOLDER");
        std::process::exit(2);
    };
    platform::begin(std::path::Path::new(folder));
    let broken = match number.as_str() {
        "1" => case_1::run(),
        "2" => case_2::run(),
        "3" => case_3::run(),
        _ => panic!("no such case"),
    };
    platform::say(if broken { "the rule was broken" } else { "the rule held" });
    platform::end(i32::from(broken))
}
