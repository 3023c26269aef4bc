//! The release controller of a run, as a process: started, killed, started again, told of builds.

use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use violetseam_controller::control::{Request, Response, send_request};
use violetseam_release::{Order, Reply};
use violetseam_simulated_site::Clock;
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::{GateMode, Scenario};

/// One controller.
pub struct Controller {
    program: PathBuf,
    settings: PathBuf,
    out: PathBuf,
    /// Its control socket.
    pub control: PathBuf,
    child: Option<Child>,
}

impl Controller {
    /// Writes its settings and starts it.
    pub fn start(
        program: PathBuf,
        out: PathBuf,
        net: AddressPlan,
        control: PathBuf,
        build: u16,
    ) -> Result<Self, String> {
        let settings = out.join("controller.star");
        let text = format!(
            "controller(name = \"lab\", listen = \"{}\", build = {build}, control = \"{}\", lease = \"500ms\", beat = \"250ms\")\n",
            net.controller(),
            control.display()
        );
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        // A run begins with nothing decided.
        let _ = std::fs::remove_dir_all(out.join("controller"));
        let mut controller = Controller { program, settings, out, control, child: None };
        controller.spawn().map_err(|e| e.to_string())?;
        controller.wait_to_speak(Duration::from_secs(10))?;
        Ok(controller)
    }

    /// Starts it, or starts it again.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(self.out.join("controller.log"))?;
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

    fn wait_to_speak(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Response::Status(status)) =
                send_request(&self.control, &Request::Status, Duration::from_secs(1))
                && status.term > 0
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("the controller does not speak, see {}", self.out.join("controller.log").display()))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.control);
    }
}

/// The plan of a day's `n`th build, as a script.
pub fn plan(day: &Scenario, n: usize) -> String {
    let r = &day.rollout;
    let us = |span: u64| format!("\"{span}us\"");
    let build = usize::from(r.first_build) + n + 1;
    let mut s = String::new();
    let _ = writeln!(
        s,
        "plan(name = \"{}-{build}\", build = {build}, longest = \"1h\", downtime = \"stops\")",
        day.name
    );
    let _ = writeln!(
        s,
        "fleet(proxies = {}, places = {}, vote_ttl = {}, votes_per_s = {:?}, stage_caps = {:?}, votes_back = {:?}, beside = {}, launch = \"8s\", settle = \"1s\")",
        day.proxies.len(),
        day.servers.len(),
        us(r.vote_lifetime),
        r.vote_rate_limit,
        r.caps,
        r.votes_to_roll_back.max(0.001),
        if r.keep_previous_build { "True" } else { "False" }
    );
    for (stage, (share, cap)) in r.stages.iter().zip(&r.caps).enumerate() {
        let (gate, votes, soak) = match r.gate {
            GateMode::Any => ("any", 0.5, r.bake),
            GateMode::Share => ("share", r.votes_to_promote.max(0.001), r.bake),
            // Nobody's 'hold' stops a clock that no share of them stops.
            GateMode::Timer => {
                ("timer", if r.votes_to_hold > 0.0 { r.votes_to_hold } else { 1.0 }, r.stage_duration)
            }
        };
        let _ = writeln!(
            s,
            "wave(name = \"stage-{stage}\", share = {share:?}, cap = {cap:?}, soak = {}, gate = \"{gate}\", votes = {votes:?})",
            us(soak)
        );
    }
    s.push_str("allow(who = \"lab\", may = [\"back\"])\n");
    s
}

/// Offers the day's builds at their moments: one that is still on trial is called back for the next.
pub fn offer_builds(
    day: &Scenario,
    control: &std::path::Path,
    clock: Clock,
    stop: &Arc<AtomicBool>,
) -> Result<(), String> {
    for (n, release) in day.releases.iter().enumerate() {
        let text = plan(day, n);
        loop {
            if stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
            if clock.now() < release.at {
                continue;
            }
            let offer = Request::SubmitPlan { name: format!("build {n}"), text: text.clone() };
            match send_request(control, &offer, Duration::from_secs(2)) {
                Ok(Response::Reply(Reply::Accepted | Reply::Obsolete(_))) => break,
                Ok(Response::InvalidPlan(faults)) => return Err(faults.join("; ")),
                Ok(Response::Reply(Reply::Rejected(why))) if why.contains("on trial") => {
                    let order = Request::Order { operator: "lab".into(), order: Order::Back };
                    let _ = send_request(control, &order, Duration::from_secs(2));
                }
                // Gone for a while, or something else waits: again.
                _ => {}
            }
        }
    }
    Ok(())
}
