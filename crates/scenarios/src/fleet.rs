//! What the fleet tool takes: many local daemons, one of them frozen, one killed and started again.

use crate::measure::{Plan, echo, median, settings, site};
use rustix::process::{Pid, Signal, kill_process};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use violetseam_fleet::{CommandOptions, Delivery, Fleet, Outcome, wall_clock};
use violetseam_operator_commands::Action;
use violetseam_settings::Member;

struct Daemons {
    plan: Plan,
    site: SocketAddr,
    children: Vec<Child>,
}

impl Daemons {
    fn control(&self, n: usize) -> PathBuf {
        // Control sockets have short paths by nature.
        std::env::temp_dir().join(format!("vs-m{}-{n}", std::process::id()))
    }

    fn spawn(&self, n: usize) -> Result<Child, String> {
        let (site, state) = (self.site, self.plan.out.join(format!("d{n}")));
        let control = self.control(n);
        let more = format!("state_dir = \"{}\", control = \"{}\"", state.display(), control.display());
        let text = settings(site, &more, "2s");
        let file = self.plan.out.join(format!("d{n}.star"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        Command::new(&self.plan.program)
            .args(["serve", "--log", "error", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())
    }

    fn fleet(&self, timeout: Duration) -> Fleet {
        let member = |n: usize| Member {
            name: format!("d{n}"),
            control: self.control(n).display().to_string(),
            groups: Vec::new(),
        };
        let members = (0..self.children.len()).map(member).collect();
        Fleet { members, timeout, parallel: 64, identity: None }
    }

    fn start(plan: &Plan, count: usize) -> Result<Daemons, String> {
        let servers = echo(1, Arc::new(AtomicBool::new(false))).map_err(|e| e.to_string())?;
        let site = site(&servers).map_err(|e| e.to_string())?;
        let mut daemons = Daemons { plan: plan.clone(), site, children: Vec::new() };
        for n in 0..count {
            let child = daemons.spawn(n)?;
            daemons.children.push(child);
        }
        daemons.wait_ready()?;
        Ok(daemons)
    }

    /// Waits until each has been told of a build.
    fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            let readings = self.fleet(Duration::from_secs(2)).state(&mut |_| {});
            if readings.iter().all(|r| r.state.as_ref().is_ok_and(|state| state.release.is_some())) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the daemons did not come up".into())
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        (0..self.children.len()).for_each(|n| drop(std::fs::remove_file(self.control(n))));
    }
}

fn pause() -> Action {
    Action::Pause { until_us: wall_clock() + 600_000_000 }
}

fn options() -> CommandOptions {
    CommandOptions {
        issuer: "measure".to_owned(),
        validity: Duration::from_secs(30),
        delivery: Delivery::Independent,
    }
}

/// Measures `many` daemons and twenty with one frozen; a text with medians.
///
/// # Errors
/// A text that says which process or measurement failed.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn fleet(plan: &Plan, many: usize, say: &mut dyn FnMut(&str)) -> Result<String, String> {
    std::fs::create_dir_all(&plan.out).map_err(|e| e.to_string())?;
    let mut text = String::new();
    let ms = |span: Duration| span.as_secs_f64() * 1e3;

    let daemons = Daemons::start(plan, many)?;
    let fleet = daemons.fleet(Duration::from_secs(5));
    let (mut p50, mut p95, mut worst, mut whole) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for round in 0..plan.rounds {
        // The states come first, then the command: the last `many` answers are the command's.
        let (began, mut times) = (Instant::now(), Vec::new());
        let told = fleet.send_command(&pause(), &options(), &mut |_| times.push(began.elapsed()));
        let agreed = told.outcomes.iter().filter(|o| matches!(o.outcome, Outcome::Applied { .. })).count();
        if agreed != many || times.len() != 2 * many {
            return Err(format!("round {round}: {agreed} of {many} agreed"));
        }
        let read = times[many - 1];
        let mut acks: Vec<f64> = times[many..].iter().map(|t| ms(*t - read)).collect();
        acks.sort_by(f64::total_cmp);
        p50.push(acks[many / 2]);
        p95.push(acks[many * 95 / 100]);
        worst.push(acks[many - 1]);
        whole.push(ms(times[2 * many - 1]));
        say(&format!("round {}: {many} daemons in {:.1} ms", round + 1, whole[round]));
    }
    let _ = writeln!(
        text,
        "{many} daemons, command to acknowledged and kept: p50 {:.1} ms, p95 {:.1} ms, worst {:.1} ms; whole tool, states first: {:.1} ms",
        median(&p50),
        median(&p95),
        median(&worst),
        median(&whole)
    );
    drop(daemons);

    let mut daemons = Daemons::start(plan, 20)?;
    let fleet = daemons.fleet(Duration::from_secs(1));
    let frozen = Pid::from_raw(daemons.children[7].id() as i32).ok_or("no process")?;
    let (mut others, mut report) = (Vec::new(), Vec::new());
    for _ in 0..plan.rounds {
        kill_process(frozen, Signal::STOP).map_err(|e| e.to_string())?;
        let (began, mut times) = (Instant::now(), Vec::new());
        let told = fleet.send_command(&pause(), &options(), &mut |_| times.push(began.elapsed()));
        report.push(ms(began.elapsed()));
        kill_process(frozen, Signal::CONT).map_err(|e| e.to_string())?;
        let agreed = told.outcomes.iter().filter(|o| matches!(o.outcome, Outcome::Applied { .. })).count();
        if agreed != 19 {
            return Err(format!("{agreed} of 19 agreed beside a frozen one"));
        }
        others.push(ms(times[19 + 18] - times[19]));
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = writeln!(
        text,
        "20 daemons, one frozen, time-out 1 s: the report of all is complete after {:.0} ms, the nineteen's command within {:.1} ms of its first answer",
        median(&report),
        median(&others)
    );

    let mut back = Vec::new();
    for _ in 0..plan.rounds {
        let _ = daemons.children[0].kill();
        let _ = daemons.children[0].wait();
        let began = Instant::now();
        daemons.children[0] = daemons.spawn(0)?;
        let one = Fleet { members: fleet.members[..1].to_vec(), ..fleet.clone() };
        loop {
            let mut states = one.state(&mut |_| {}).into_iter().flat_map(|reading| reading.state);
            let paused = states.any(|state| state.pause.is_some());
            if paused {
                break;
            }
            if began.elapsed() > Duration::from_secs(10) {
                return Err("a killed daemon did not come back paused".into());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        back.push(ms(began.elapsed()));
    }
    let _ = writeln!(
        text,
        "SIGKILL, then start to serving with the pause standing again: {:.1} ms",
        median(&back)
    );
    Ok(text)
}
