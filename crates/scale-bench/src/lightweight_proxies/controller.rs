//! A release controller as a process of the program, with a state folder of its own, for lightweight proxies.

use super::engine_fleet::TRIAL_BUILD;
use crate::ScaleError;
use crate::resources::MeasuredProcess;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam::interface::Micros;
use violetseam_controller::control::{Request, Response, send_request};
use violetseam_release::Reply;

/// Longest wait for the controller to begin its term.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two checks whether it has.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Places of the plan: none is ever reported, so that the build stays on its first wave.
const PLACES: usize = 100;
/// The controller's and the plan's name.
const NAME: &str = "hollow";

/// The fleet that a controller is for.
#[derive(Clone, Copy, Debug)]
pub struct ControllerConfig {
    /// Proxies that vote.
    pub proxies: usize,
    /// How long a vote stands, in microseconds.
    pub vote_ttl: Micros,
    /// Votes a second that the controller accepts.
    pub vote_rate_limit: f64,
}

/// A controller that runs; it ends with this value, and its folder is removed.
pub struct ControllerProcess {
    /// Where it listens.
    pub address: SocketAddr,
    folder: PathBuf,
    child: Child,
    config: ControllerConfig,
}

impl ControllerProcess {
    /// Starts a controller and waits until it has begun a term.
    ///
    /// # Errors
    /// [`ScaleError`] if the controller does not start.
    pub fn start(config: ControllerConfig) -> Result<ControllerProcess, ScaleError> {
        let folder = std::env::temp_dir().join(format!("violetseam-hollow-{}", std::process::id()));
        // An earlier process of this id may have left one.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        // The port is free again when the listener is dropped, and nobody else on the machine asks for it by
        // number.
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let settings = folder.join("controller.star");
        std::fs::write(&settings, settings_script(address, &control_socket(&folder)))?;
        let child = spawn(&folder, &settings)?;
        let controller = ControllerProcess { address, folder, child, config };
        controller.wait_for_term()?;
        Ok(controller)
    }

    /// Offers the build that then stays on trial: its first wave soaks for longer than any run.
    ///
    /// # Errors
    /// [`ScaleError`] if the controller does not accept the plan.
    pub fn offer_build(&self) -> Result<(), ScaleError> {
        let text = plan_script(&self.config);
        match self.send(&Request::SubmitPlan { name: NAME.into(), text })? {
            Response::Reply(Reply::Accepted) => Ok(()),
            other => Err(ScaleError::PlanRejected(Box::new(other))),
        }
    }

    /// The process, for its processor time and memory.
    pub fn measured(&self) -> MeasuredProcess {
        MeasuredProcess::Id(self.child.id())
    }

    fn send(&self, request: &Request) -> Result<Response, ScaleError> {
        Ok(send_request(&control_socket(&self.folder), request, COMMAND_TIMEOUT)?)
    }

    fn wait_for_term(&self) -> Result<(), ScaleError> {
        let give_up_at = Instant::now() + START_TIMEOUT;
        while Instant::now() < give_up_at {
            // The control socket does not exist at first.
            if let Ok(Response::Status(status)) = self.send(&Request::Status)
                && status.term > 0
            {
                return Ok(());
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Err(ScaleError::NoControllerTerm)
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // It may have ended by itself; nothing is left to do then.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

fn control_socket(folder: &Path) -> PathBuf {
    folder.join("control")
}

fn settings_script(address: SocketAddr, control: &Path) -> String {
    format!(
        "controller(name = \"{NAME}\", listen = \"{address}\", build = {}, control = \"{}\")\n",
        TRIAL_BUILD - 1,
        control.display()
    )
}

fn plan_script(config: &ControllerConfig) -> String {
    let ControllerConfig { proxies, vote_ttl, vote_rate_limit } = config;
    format!(
        "plan(name = \"{NAME}\", build = {TRIAL_BUILD}, longest = \"2h\", downtime = \"stops\")\n\
         fleet(proxies = {proxies}, places = {PLACES}, vote_ttl = \"{vote_ttl}us\", \
         votes_per_s = {vote_rate_limit:?}, \
         stage_caps = [0.25, 1.0], votes_back = 0.5, launch = \"1s\", settle = \"1s\")\n\
         wave(name = \"first\", share = 0.25, cap = 0.25, soak = \"1h\", gate = \"share\", votes = 0.5)\n\
         wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"1s\", gate = \"share\", votes = 0.5)\n"
    )
}

fn spawn(folder: &Path, settings: &Path) -> Result<Child, ScaleError> {
    let log = File::create(folder.join("log"))?;
    let child = Command::new(std::env::current_exe()?)
        .arg("controller")
        .arg("--settings")
        .arg(settings)
        .arg("--state")
        .arg(folder.join("state"))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .map_err(|source| ScaleError::StartProcess { subcommand: "controller", source })?;
    Ok(child)
}
