//! The release controller of a run: starts, kills and restarts its process, and offers builds to it.

use crate::error::ScenarioRunError;
use crate::release_plan;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use violetseam_controller::control::{Request, Response, send_request};
use violetseam_release::{Order, Reply};
use violetseam_simulated_site::Clock;
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::Scenario;

/// Time limit for a started controller to become the leader.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two status requests while waiting for the controller to lead.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of one such status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two attempts to offer a build.
const OFFER_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for the response to an offer or an order.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// The process of the controller, if it is running, and the settings with which it is started.
pub(crate) struct ControllerProcess {
    program: PathBuf,
    settings: PathBuf,
    out: PathBuf,
    control: PathBuf,
    child: Option<Child>,
}

impl ControllerProcess {
    /// Writes the settings of the controller, starts it with an empty state and waits until it leads.
    ///
    /// # Errors
    /// Returns an error if the settings cannot be written or the process cannot be started, and
    /// [`ScenarioRunError::ControllerNotReady`] if the controller does not lead in time.
    pub fn start(
        program: PathBuf,
        out: PathBuf,
        addresses: AddressPlan,
        control: PathBuf,
        build: u16,
    ) -> Result<Self, ScenarioRunError> {
        let settings = out.join("controller.star");
        let script = format!(
            "controller(name = \"lab\", listen = \"{}\", build = {build}, control = \"{}\", \
             lease = \"500ms\", beat = \"250ms\")\n",
            addresses.controller(),
            control.display()
        );
        std::fs::write(&settings, script).map_err(ScenarioRunError::io(format!(
            "writing the controller settings {}",
            settings.display()
        )))?;
        // Removes the state of an earlier run in the same folder, if there is one.
        let _ = std::fs::remove_dir_all(out.join("controller"));
        let mut controller = ControllerProcess { program, settings, out, control, child: None };
        controller.spawn().map_err(ScenarioRunError::io("starting the release controller"))?;
        controller.wait_until_leading()?;
        Ok(controller)
    }

    /// Returns the path of the control socket.
    pub fn control(&self) -> &Path {
        &self.control
    }

    /// Starts the process. A restarted controller continues with its stored state.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let child = Command::new(&self.program)
            .arg("controller")
            .arg("--settings")
            .arg(&self.settings)
            .arg("--state")
            .arg(self.out.join("controller"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn log_path(&self) -> PathBuf {
        self.out.join("controller.log")
    }

    fn wait_until_leading(&self) -> Result<(), ScenarioRunError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_leading() {
                return Ok(());
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
        Err(ScenarioRunError::ControllerNotReady { log: self.log_path() })
    }

    fn is_leading(&self) -> bool {
        let response = send_request(&self.control, &Request::Status, STATUS_TIMEOUT);
        matches!(response, Ok(Response::Status(status)) if status.term > 0)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.control);
    }
}

/// Offers each build of the scenario at its scheduled time, until `stop` is set. A build that is still on
/// trial when the next one is due is rolled back first.
///
/// # Errors
/// Returns [`ScenarioRunError::PlanRejected`] if the controller finds faults in a plan.
pub(crate) fn offer_builds(
    scenario: &Scenario,
    control: &Path,
    clock: Clock,
    stop: &AtomicBool,
) -> Result<(), ScenarioRunError> {
    for (index, release) in scenario.releases.iter().enumerate() {
        let text = release_plan::script(scenario, index);
        let offer = Request::SubmitPlan { name: format!("build {index}"), text };
        loop {
            if stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            std::thread::sleep(OFFER_INTERVAL);
            if clock.now() >= release.at && try_offer(control, &offer)? {
                break;
            }
        }
    }
    Ok(())
}

/// Offers a build once and returns whether the controller accepted it. A controller that is down or has
/// another build on trial does not accept it.
fn try_offer(control: &Path, offer: &Request) -> Result<bool, ScenarioRunError> {
    match send_request(control, offer, COMMAND_TIMEOUT) {
        Ok(Response::Reply(Reply::Accepted | Reply::Obsolete(_))) => Ok(true),
        Ok(Response::InvalidPlan(faults)) => Err(ScenarioRunError::PlanRejected { faults }),
        Ok(Response::Reply(Reply::Rejected(reason))) if reason.contains("on trial") => {
            let roll_back = Request::Order { operator: "lab".into(), order: Order::Back };
            let _ = send_request(control, &roll_back, COMMAND_TIMEOUT);
            Ok(false)
        }
        _ => Ok(false),
    }
}
