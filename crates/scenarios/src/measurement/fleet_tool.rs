//! Measures the response times of the fleet tool with many local daemons, and with a small fleet of which one
//! daemon is frozen, or killed and restarted.

use super::echo_servers::EchoServers;
use super::{MeasurementError, MeasurementSettings, median, milliseconds, stub_site};
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use violetseam_fleet::{CommandOptions, CommandReport, Delivery, Fleet, Outcome, wall_clock};
use violetseam_operator_commands::Action;
use violetseam_settings::Member;

/// Time limit for all daemons to receive the release status.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which their states are polled meanwhile.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for reading the state of a daemon that is starting.
const START_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call to a running daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call in a fleet of which one daemon may not respond.
const FROZEN_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent calls of the tool.
const PARALLEL_CALLS: usize = 64;
/// Duration of a pause, in microseconds.
const PAUSE_SPAN: u64 = 600_000_000;
/// Validity of a command after it was issued.
const COMMAND_VALIDITY: Duration = Duration::from_secs(30);
/// Number of daemons in the fleet of which one is frozen or killed.
const SMALL_FLEET: usize = 20;
/// Index of the daemon that is frozen.
const FROZEN_DAEMON: usize = 7;
/// Index of the daemon that is killed.
const KILLED_DAEMON: usize = 0;
/// Delay after each round with a frozen daemon, in which that daemon continues.
const RESUME_SPAN: Duration = Duration::from_millis(50);
/// Time limit for a killed and restarted daemon to restore its pause.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which its state is polled meanwhile.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Measures a fleet of `daemons` daemons, then one of twenty of which one daemon is frozen and later another
/// killed. Returns a text with medians; `on_progress` is called with a line for each round.
///
/// # Errors
/// Returns [`MeasurementError`] if a process fails or a daemon does not apply a command as expected.
pub fn measure(
    settings: &MeasurementSettings,
    daemons: usize,
    on_progress: &mut dyn FnMut(&str),
) -> Result<String, MeasurementError> {
    settings.create_folder()?;
    let mut text = measure_command(settings, daemons, on_progress)?;
    let mut daemons = Daemons::start(settings, SMALL_FLEET)?;
    text.push_str(&measure_with_one_frozen(&daemons)?);
    text.push_str(&measure_restart(&mut daemons)?);
    Ok(text)
}

/// Running daemons, which are killed on drop.
struct Daemons {
    settings: MeasurementSettings,
    site: SocketAddr,
    children: Vec<Child>,
}

impl Daemons {
    fn start(settings: &MeasurementSettings, count: usize) -> Result<Daemons, MeasurementError> {
        let servers = EchoServers::start(1)?;
        let site = stub_site::start(&servers.addresses)?;
        let mut daemons = Daemons { settings: settings.clone(), site, children: Vec::new() };
        for index in 0..count {
            let child = daemons.spawn(index)?;
            daemons.children.push(child);
        }
        daemons.wait_until_ready()?;
        Ok(daemons)
    }

    /// Returns the path of a control socket. It is not in the output folder because socket paths are limited
    /// to about 100 bytes.
    fn control_path(&self, index: usize) -> PathBuf {
        std::env::temp_dir().join(format!("vs-m{}-{index}", std::process::id()))
    }

    fn spawn(&self, index: usize) -> Result<Child, MeasurementError> {
        let name = format!("d{index}");
        let state = self.settings.out.join(&name);
        let control = self.control_path(index);
        let options = format!("state_dir = \"{}\", control = \"{}\"", state.display(), control.display());
        let script = stub_site::proxy_script(self.site, &options, "2s");
        let file = self.settings.write_script(&name, &script)?;
        Command::new(&self.settings.program)
            .args(["serve", "--log", "error", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .map_err(MeasurementError::io(format!("starting {}", self.settings.program.display())))
    }

    /// Returns the first `count` daemons as a fleet of the fleet tool.
    fn fleet_of(&self, count: usize, timeout: Duration) -> Fleet {
        let member = |index: usize| Member {
            name: format!("d{index}"),
            control: self.control_path(index).display().to_string(),
            groups: Vec::new(),
        };
        let members = (0..count).map(member).collect();
        Fleet { members, timeout, parallel: PARALLEL_CALLS, identity: None }
    }

    fn fleet(&self, timeout: Duration) -> Fleet {
        self.fleet_of(self.children.len(), timeout)
    }

    /// Waits until each daemon has received the release status.
    fn wait_until_ready(&self) -> Result<(), MeasurementError> {
        let fleet = self.fleet(START_CALL_TIMEOUT);
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let readings = fleet.state(&mut |_| {});
            let is_ready = readings
                .iter()
                .all(|reading| reading.state.as_ref().is_ok_and(|state| state.release.is_some()));
            if is_ready {
                return Ok(());
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
        Err(MeasurementError::DaemonsNotReady)
    }

    fn signal(&self, index: usize, signal: Signal) -> Result<(), MeasurementError> {
        let Some(pid) = Pid::from_raw(self.children[index].id() as i32) else { return Ok(()) };
        kill_process(pid, signal).map_err(|error| {
            MeasurementError::io(format!("sending a signal to daemon {index}"))(error.into())
        })
    }

    /// Kills and restarts a daemon; returns the time of the restart.
    fn restart(&mut self, index: usize) -> Result<Instant, MeasurementError> {
        let _ = self.children[index].kill();
        let _ = self.children[index].wait();
        let started = Instant::now();
        self.children[index] = self.spawn(index)?;
        Ok(started)
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for index in 0..self.children.len() {
            let _ = std::fs::remove_file(self.control_path(index));
        }
    }
}

/// A pause command sent to a fleet, with its report and the time of each response. The tool reads the states
/// of all daemons before it sends the command, so the second half of the responses belongs to the command.
struct TimedCommand {
    report: CommandReport,
    response_times: Vec<Duration>,
    elapsed: Duration,
}

impl TimedCommand {
    fn send_pause(fleet: &Fleet) -> TimedCommand {
        let pause = Action::Pause { until_us: wall_clock() + PAUSE_SPAN };
        let options = CommandOptions {
            issuer: "measure".to_owned(),
            validity: COMMAND_VALIDITY,
            delivery: Delivery::Independent,
        };
        let sent = Instant::now();
        let mut response_times = Vec::new();
        let report = fleet.send_command(&pause, &options, &mut |_| response_times.push(sent.elapsed()));
        TimedCommand { report, response_times, elapsed: sent.elapsed() }
    }

    fn applied(&self) -> usize {
        let outcomes = self.report.outcomes.iter();
        outcomes.filter(|outcome| matches!(outcome.outcome, Outcome::Applied { .. })).count()
    }
}

fn measure_command(
    settings: &MeasurementSettings,
    count: usize,
    on_progress: &mut dyn FnMut(&str),
) -> Result<String, MeasurementError> {
    let daemons = Daemons::start(settings, count)?;
    let fleet = daemons.fleet(CALL_TIMEOUT);
    let mut p50 = Vec::new();
    let mut p95 = Vec::new();
    let mut worst = Vec::new();
    let mut total = Vec::new();
    for round in 0..settings.rounds {
        let command = TimedCommand::send_pause(&fleet);
        let times = &command.response_times;
        let applied = command.applied();
        if applied != count || times.len() != 2 * count {
            return Err(MeasurementError::NotAllApplied { round, applied, expected: count });
        }
        let states_read = times[count - 1];
        let mut acknowledged: Vec<f64> =
            times[count..].iter().map(|time| milliseconds(*time - states_read)).collect();
        acknowledged.sort_by(f64::total_cmp);
        p50.push(acknowledged[count / 2]);
        p95.push(acknowledged[count * 95 / 100]);
        worst.push(acknowledged[count - 1]);
        let last_response = milliseconds(times[2 * count - 1]);
        total.push(last_response);
        on_progress(&format!("round {}: {count} daemons in {last_response:.1} ms", round + 1));
    }
    Ok(format!(
        "{count} daemons, command to acknowledged and kept: p50 {:.1} ms, p95 {:.1} ms, worst {:.1} ms; \
         whole tool, states first: {:.1} ms\n",
        median(&p50),
        median(&p95),
        median(&worst),
        median(&total)
    ))
}

fn measure_with_one_frozen(daemons: &Daemons) -> Result<String, MeasurementError> {
    let fleet = daemons.fleet(FROZEN_CALL_TIMEOUT);
    let others = SMALL_FLEET - 1;
    let mut command_spans = Vec::new();
    let mut report_times = Vec::new();
    for round in 0..daemons.settings.rounds {
        daemons.signal(FROZEN_DAEMON, Signal::STOP)?;
        let command = TimedCommand::send_pause(&fleet);
        report_times.push(milliseconds(command.elapsed));
        daemons.signal(FROZEN_DAEMON, Signal::CONT)?;
        let applied = command.applied();
        if applied != others {
            return Err(MeasurementError::NotAllApplied { round, applied, expected: others });
        }
        let first = command.response_times[others];
        let last = command.response_times[2 * others - 1];
        command_spans.push(milliseconds(last - first));
        std::thread::sleep(RESUME_SPAN);
    }
    Ok(format!(
        "20 daemons, one frozen, time-out 1 s: the report of all is complete after {:.0} ms, the nineteen's \
         command within {:.1} ms of its first answer\n",
        median(&report_times),
        median(&command_spans)
    ))
}

fn measure_restart(daemons: &mut Daemons) -> Result<String, MeasurementError> {
    let killed = daemons.fleet_of(KILLED_DAEMON + 1, FROZEN_CALL_TIMEOUT);
    let mut times = Vec::new();
    for _ in 0..daemons.settings.rounds {
        let started = daemons.restart(KILLED_DAEMON)?;
        wait_until_paused(&killed, started + RESTART_TIMEOUT)?;
        times.push(milliseconds(started.elapsed()));
    }
    let median = median(&times);
    Ok(format!("SIGKILL, then start to serving with the pause standing again: {median:.1} ms\n"))
}

fn wait_until_paused(fleet: &Fleet, deadline: Instant) -> Result<(), MeasurementError> {
    loop {
        let mut states = fleet.state(&mut |_| {}).into_iter().filter_map(|reading| reading.state.ok());
        if states.any(|state| state.pause.is_some()) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(MeasurementError::PauseNotRestored);
        }
        std::thread::sleep(RESTART_POLL_INTERVAL);
    }
}
