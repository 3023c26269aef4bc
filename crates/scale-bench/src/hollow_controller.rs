//! A release controller as a process of the program, with a state folder of its own, for hollow proxies.

use super::ScaleError;
use super::hollow_engine::TRIAL;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam::interface::Micros;
use violetseam_controller::control::{Request, Response, send_request};
use violetseam_release::Reply;

/// Longest wait for the controller to begin its term.
const PATIENCE: Duration = Duration::from_secs(10);
/// Places of the plan: none is ever reported, so that the build stays on its first wave.
const PLACES: usize = 100;

/// A controller that runs; it ends with this value, and its folder is removed.
pub struct HollowController {
    /// Where it listens.
    pub addr: SocketAddr,
    folder: PathBuf,
    child: Child,
    proxies: usize,
    vote_life: Micros,
    allowance: f64,
}

impl HollowController {
    /// Starts one for so many proxies, whose votes stand for `vote_life` and of which it takes `allowance` a second.
    ///
    /// # Errors
    /// [`ScaleError`] if the controller does not start.
    pub fn start(proxies: usize, vote_life: Micros, allowance: f64) -> Result<HollowController, ScaleError> {
        let folder = std::env::temp_dir().join(format!("violetseam-hollow-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        // The port is free again when the listener is dropped, and nobody else on the machine asks for it by number.
        let addr = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let control = folder.join("control");
        let settings = folder.join("controller.star");
        let build = TRIAL - 1;
        let text = format!(
            "controller(name = \"hollow\", listen = \"{addr}\", build = {build}, control = \"{}\")\n",
            control.display()
        );
        std::fs::write(&settings, text)?;
        let log = std::fs::File::create(folder.join("log"))?;
        let child = Command::new(std::env::current_exe()?)
            .arg("controller")
            .arg("--settings")
            .arg(&settings)
            .arg("--state")
            .arg(folder.join("state"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let controller = HollowController { addr, folder, child, proxies, vote_life, allowance };
        controller.await_term()?;
        Ok(controller)
    }

    fn send(&self, request: &Request) -> Result<Response, ScaleError> {
        send_request(&self.folder.join("control"), request, Duration::from_secs(5))
            .map_err(|e| ScaleError::Failed(e.to_string()))
    }

    fn await_term(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Ok(Response::Status(status)) = self.send(&Request::Status)
                && status.term > 0
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(ScaleError::Failed("the controller does not begin a term".into()))
    }

    /// Offers the build that then stays on trial: its first wave soaks for longer than any run.
    ///
    /// # Errors
    /// [`ScaleError`] if the controller does not take the plan.
    pub fn offer(&self) -> Result<(), ScaleError> {
        let (proxies, allowance) = (self.proxies, self.allowance);
        let text = format!(
            "plan(name = \"hollow\", build = {TRIAL}, longest = \"2h\", downtime = \"stops\")\n\
             fleet(proxies = {proxies}, places = {PLACES}, vote_ttl = \"{}us\", votes_per_s = {allowance:?}, \
             stage_caps = [0.25, 1.0], votes_back = 0.5, launch = \"1s\", settle = \"1s\")\n\
             wave(name = \"first\", share = 0.25, cap = 0.25, soak = \"1h\", gate = \"share\", votes = 0.5)\n\
             wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"1s\", gate = \"share\", votes = 0.5)\n",
            self.vote_life
        );
        match self.send(&Request::SubmitPlan { name: "hollow".into(), text })? {
            Response::Reply(Reply::Accepted) => Ok(()),
            other => Err(ScaleError::Failed(format!("the plan was not taken: {other:?}"))),
        }
    }

    fn proc(&self, file: &str) -> Result<String, ScaleError> {
        Ok(std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))?)
    }

    /// User and system time so far, in seconds; the kernel counts hundredths.
    ///
    /// # Errors
    /// [`ScaleError`] if the system does not say.
    pub fn cpu_seconds(&self) -> Result<f64, ScaleError> {
        super::hollow_processes::cpu_seconds(&self.proc("stat")?)
    }

    /// Resident memory, in bytes.
    ///
    /// # Errors
    /// [`ScaleError`] if the system does not say.
    pub fn resident_bytes(&self) -> Result<f64, ScaleError> {
        super::hollow_processes::resident_bytes(&self.proc("status")?)
    }
}

impl Drop for HollowController {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
