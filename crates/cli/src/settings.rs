//! `violetseam settings`: checks settings scripts.

use crate::arguments::parse_script_option;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Check a script and report its first fault, if it has one
    Check {
        /// Settings script
        file: PathBuf,
        /// Value that option(...) returns in the script, as NAME=VALUE; may be repeated
        #[arg(long = "set", value_parser = parse_script_option)]
        set: Vec<(String, String)>,
    },
}

/// Runs a settings command.
pub fn run(command: &Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Check { file, set } => check(file, set),
    }
}

fn check(file: &Path, script_options: &[(String, String)]) -> anyhow::Result<ExitCode> {
    let settings = violetseam_settings::read_file(file, script_options)?;
    let classes = settings.class_names.len();
    let routes = settings.routes.len();
    println!("{}: {classes} classes, {routes} routes, no fault found", file.display());
    Ok(ExitCode::SUCCESS)
}
