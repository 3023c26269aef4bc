//! `violetseam settings`: checks settings scripts.

use crate::arguments::script_option;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Read a script, say what is wrong with it or that nothing is
    Check {
        /// The script
        file: PathBuf,
        /// A value for the script's option(...): NAME=VALUE
        #[arg(long = "set", value_parser = script_option)]
        set: Vec<(String, String)>,
    },
}

/// Runs a settings command.
pub fn run(command: &Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Check { file, set } => check(file, set),
    }
}

fn check(file: &Path, set: &[(String, String)]) -> anyhow::Result<ExitCode> {
    let settings = violetseam_settings::read_file(file, set)?;
    let classes = settings.class_names.len();
    let routes = settings.routes.len();
    println!("{}: {classes} classes, {routes} routes, no fault found", file.display());
    Ok(ExitCode::SUCCESS)
}
