//! One run of a day.

use crate::controller::{Controller, offer_builds};
use crate::proxies::{Launch, Proxies};
use crate::{report, script};
use rustix::process::Signal;
use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use violetseam_invariants::{CheckReport, EventRecord, ObservedEvent};
use violetseam_simulated_site::Clock;
use violetseam_simulated_site::network::clients::{ClientReport, Progress};
use violetseam_simulated_site::network::site::{ReleaseDecider, SiteOptions, SiteReport};
use violetseam_simulated_site::network::{AddressPlan, clients, site};
use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};

/// From the stand-ins' start to the first request, in microseconds.
const PRELUDE: u64 = 2_000_000;
/// What views from outside may be off by, in the proxy's favour, in microseconds: events of different
/// sockets are seen in any order within a turn of a loop, and all processes share the machine's cores.
pub const SLACK: u64 = 60_000;

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Lab {
    /// The program that has `serve`.
    pub program: PathBuf,
    /// Where logs, records and the day itself go.
    pub out: PathBuf,
    /// Further arguments of `serve`; `{position}` in them stands for the proxy's.
    pub extra: Vec<String>,
    /// Distinguishes runs of one process.
    pub number: u8,
    /// The stand-in desk decides on releases, not the controller: for days of broken desks.
    pub stand_in_desk: bool,
}

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// The rules.
    pub verdict: CheckReport,
    /// What clients got.
    pub clients: ClientReport,
    /// What the site saw.
    pub site: SiteReport,
    /// What else went wrong: proxies that did not drain, requests left open.
    pub faults: Vec<String>,
    /// Processor seconds of the proxies that were there at the end.
    pub cpu: f64,
    /// How many records the verdict rests on.
    pub records: usize,
}

impl Outcome {
    /// All rules were kept, nothing leaked, all proxies drained.
    pub fn is_good(&self) -> bool {
        self.verdict.all_hold() && self.faults.is_empty()
    }
}

/// What happens to proxies: at a moment, kill or start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Blow {
    Kill,
    Start,
    Stop,
    GoOn,
    StartTwin,
    TakeOver,
    KillController,
    StartController,
}

/// The blows of a day in order; a proxy hit by two troubles at once stays down until the later end.
fn blows(day: &Scenario) -> Vec<(u64, Blow, usize)> {
    let mut spells: Vec<(usize, u64, u64)> = Vec::new();
    for t in &day.faults {
        match t.kind {
            FaultKind::ProxyCrash => spells.extend(t.targets.iter().map(|&p| (p, t.at, t.at + t.duration))),
            FaultKind::ProxyRollingRestart => spells.extend(roll(t)),
            FaultKind::ZoneOutage if t.magnitude > 0.5 => {
                let hit = day.proxies.iter().enumerate().filter(|(_, p)| usize::from(p.zone) == t.selector);
                spells.extend(hit.map(|(p, _)| (p, t.at, t.at + t.duration)));
            }
            _ => {}
        }
    }
    spells.retain(|s| s.0 < day.proxies.len());
    spells.sort_unstable();
    let mut merged: Vec<(usize, u64, u64)> = Vec::new();
    for (proxy, from, to) in spells {
        match merged.last_mut() {
            Some(last) if last.0 == proxy && from <= last.2 => last.2 = last.2.max(to),
            _ => merged.push((proxy, from, to)),
        }
    }
    let both = |(p, from, to): (usize, u64, u64)| [(from, Blow::Kill, p), (to, Blow::Start, p)];
    let mut blows: Vec<_> = merged.into_iter().flat_map(both).collect();
    for t in day.faults.iter().filter(|t| t.kind == FaultKind::ProxyTakeover) {
        let times = t.magnitude.max(1.0) as u64;
        let at = |i| t.at + i * t.duration / times;
        blows.extend((0..times).flat_map(|i| t.targets.iter().map(move |&p| (at(i), Blow::TakeOver, p))));
    }
    for t in day.faults.iter().filter(|t| t.kind == FaultKind::ProxyPause) {
        let span = (t.magnitude * 1e3) as u64;
        let every = if t.parameter > 0.0 { (t.parameter * 1e6) as u64 } else { t.duration };
        let times = (t.at..t.at + t.duration).step_by(every.max(span + 1) as usize);
        let both = |at, p| [(at, Blow::Stop, p), (at + span, Blow::GoOn, p)];
        blows.extend(times.flat_map(|at| t.targets.iter().flat_map(move |&p| both(at, p))));
    }
    for t in day.faults.iter().filter(|t| t.kind == FaultKind::DuplicateProxy) {
        blows.extend(t.targets.iter().map(|&p| (t.at, Blow::StartTwin, p)));
    }
    blows.retain(|b| b.2 < day.proxies.len());
    for t in day.faults.iter().filter(|t| t.kind == FaultKind::ControllerCrash) {
        let times = t.magnitude.max(1.0) as u64;
        let down = (t.parameter.max(0.05) * 1e6) as u64;
        let at = |i| t.at + i * t.duration / times;
        blows.extend(
            (0..times)
                .flat_map(|i| [(at(i), Blow::KillController, 0), (at(i) + down, Blow::StartController, 0)]),
        );
    }
    blows.sort_unstable();
    blows
}

/// One batch after another, each down for `extra` seconds.
fn roll(t: &Fault) -> Vec<(usize, u64, u64)> {
    let batch = (t.magnitude.max(1.0) as usize).max(1);
    let batches = t.targets.len().div_ceil(batch).max(1) as u64;
    let down = ((t.parameter.max(0.2)) * 1e6) as u64;
    let step = t.duration / batches;
    let of = |(i, chunk): (usize, &[usize])| {
        let from = t.at + i as u64 * step;
        chunk.iter().map(|&p| (p, from, from + down)).collect::<Vec<_>>()
    };
    t.targets.chunks(batch).enumerate().flat_map(of).collect()
}

impl Lab {
    /// Plays a day; `say` hears what happens as it happens.
    ///
    /// # Errors
    /// A text that says which process or file failed.
    #[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
    pub fn play(&self, day: &Scenario, say: &mut dyn FnMut(&str)) -> Result<Outcome, String> {
        day.validate().map_err(|e| e.to_string())?;
        let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        std::fs::create_dir_all(&self.out).map_err(io("output folder"))?;
        let out = self.out.canonicalize().map_err(io("output folder"))?;
        let net = AddressPlan::of_process(self.number);
        let settings = out.join("proxies.star");
        std::fs::write(&settings, script::settings(day, net, &out)).map_err(io("settings"))?;
        let text = serde_json::to_vec_pretty(day).map_err(|e| e.to_string())?;
        std::fs::write(out.join("day.json"), text).map_err(io("day"))?;

        let mut shifted = day.clone();
        shifted.faults.iter_mut().for_each(|t| t.at += PRELUDE);
        shifted.releases.iter_mut().for_each(|r| r.at += PRELUDE);
        let (clock, stop) = (Clock::start(), Arc::new(AtomicBool::new(false)));
        let (ready, is_ready) = channel();
        let (say_site, said) = channel();
        let mut controller = match self.stand_in_desk {
            true => None,
            false => {
                let control = script::control_path(net).with_extension("controller");
                let build = day.rollout.first_build;
                Some(Controller::start(self.program.clone(), out.clone(), net, control, build)?)
            }
        };
        let site_thread = {
            let (day, stop, remote) = (shifted.clone(), stop.clone(), controller.is_some());
            let release_decider = if remote { ReleaseDecider::Controller } else { ReleaseDecider::Simulated };
            let options = SiteOptions { addresses: net, release_decider, clock, ready, log: say_site };
            std::thread::spawn(move || site::run(&day, options, &stop))
        };
        let offers = controller.as_ref().map(|controller| {
            let (day, stop, control) = (shifted.clone(), stop.clone(), controller.control.clone());
            std::thread::spawn(move || offer_builds(&day, &control, clock, &stop))
        });
        let site_up = is_ready.recv_timeout(Duration::from_secs(10));
        if site_up.is_err() {
            stop.store(true, Ordering::Relaxed);
            let why = site_thread.join().map(|r| r.err().map_or_else(String::new, |e| e.to_string()));
            return Err(format!("the stand-ins did not start: {}", why.unwrap_or_default()));
        }
        let launch =
            Launch { program: self.program.clone(), settings, out: out.clone(), extra: self.extra.clone() };
        let mut proxies = Proxies::new(launch, net, day.proxies.len());
        let started = (0..day.proxies.len())
            .try_for_each(|n| proxies.start(n).map_err(|e| format!("proxy {n}: {e}")))
            .and_then(|()| {
                (0..day.proxies.len()).try_for_each(|n| proxies.wait_ready(n, Duration::from_secs(15)))
            });
        if let Err(why) = started {
            stop.store(true, Ordering::Relaxed);
            let _ = site_thread.join();
            return Err(why);
        }
        let progress = Arc::new(Progress::default());
        let client_thread = {
            let (day, stop, progress) = (shifted.clone(), stop.clone(), progress.clone());
            std::thread::spawn(move || clients::run(&day, net, clock, PRELUDE, &stop, progress))
        };
        let mut entries = Vec::new();
        let blows: Vec<_> = blows(&shifted);
        let played = self.orchestrate(
            clock,
            &blows,
            &mut proxies,
            &mut controller,
            &mut entries,
            &said,
            &progress,
            say,
            || client_thread.is_finished(),
        );
        let clients = client_thread
            .join()
            .map_err(|_| "the clients' thread failed")?
            .map_err(|e| format!("clients: {e}"))?;
        let cpu = (0..day.proxies.len()).filter_map(|n| proxies.cpu_seconds(n)).sum();
        let mut faults = proxies.drain(Duration::from_secs(20));
        // The site sees the proxies' connections close before it ends.
        std::thread::sleep(Duration::from_millis(150));
        stop.store(true, Ordering::Relaxed);
        let site =
            site_thread.join().map_err(|_| "the site's thread failed")?.map_err(|e| format!("site: {e}"))?;
        played?;
        if let Some(Ok(Err(why))) = offers.map(std::thread::JoinHandle::join) {
            return Err(format!("a build could not be offered: {why}"));
        }
        drop(controller);
        if site.open_attempts > 0 {
            faults.push(format!("{} attempts still open after all proxies had drained", site.open_attempts));
        }
        entries.extend(site.entries.iter().cloned());
        entries.extend(clients.entries.iter().cloned());
        entries.sort_by_key(|e| e.at);
        let rules = day.rules(SLACK);
        let file = File::create(out.join("records.vsau")).map_err(io("records"))?;
        violetseam_invariants::record_file::write(&mut BufWriter::new(file), &rules, &entries)
            .map_err(io("records"))?;
        let verdict = violetseam_invariants::check(&rules, &entries);
        let outcome = Outcome { verdict, clients, site, faults, cpu, records: entries.len() };
        let summary =
            serde_json::to_vec_pretty(&report::summary(day, &outcome)).map_err(|e| e.to_string())?;
        std::fs::write(out.join("summary.json"), summary).map_err(io("summary"))?;
        Ok(outcome)
    }

    /// Plays the blows to proxies until the clients are through.
    #[allow(clippy::too_many_arguments)]
    #[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
    fn orchestrate(
        &self,
        clock: Clock,
        blows: &[(u64, Blow, usize)],
        proxies: &mut Proxies,
        controller: &mut Option<Controller>,
        entries: &mut Vec<EventRecord>,
        said: &Receiver<String>,
        progress: &Progress,
        say: &mut dyn FnMut(&str),
        over: impl Fn() -> bool,
    ) -> Result<(), String> {
        let mut blows = blows.iter().copied().peekable();
        let mut told = PRELUDE;
        loop {
            let now = clock.now();
            while let Some((_, blow, n)) = blows.next_if(|b| b.0 <= now) {
                match blow {
                    Blow::Kill => {
                        say(&format!("{} proxy {n} is killed", at(now)));
                        entries.push(EventRecord {
                            at: clock.now(),
                            event: ObservedEvent::ProxyKilled { proxy: n as u32 },
                        });
                        proxies.kill(n);
                        // What it sent in its last moment is seen a little later: its life ends here.
                        entries.push(EventRecord {
                            at: clock.now(),
                            event: ObservedEvent::ProxyKilled { proxy: n as u32 },
                        });
                    }
                    Blow::Stop | Blow::GoOn => {
                        let (proxy, stops) = (n as u32, blow == Blow::Stop);
                        say(&format!(
                            "{} proxy {n} {}",
                            at(now),
                            if stops { "is stopped" } else { "goes on" }
                        ));
                        // Seen from outside a standstill begins and ends in the process's favour.
                        if stops {
                            entries.push(EventRecord {
                                at: clock.now(),
                                event: ObservedEvent::ProxyPaused { proxy },
                            });
                            proxies.signal(n, Signal::STOP);
                        } else {
                            proxies.signal(n, Signal::CONT);
                            entries.push(EventRecord {
                                at: clock.now(),
                                event: ObservedEvent::ProxyResumed { proxy },
                            });
                        }
                    }
                    Blow::StartTwin => {
                        say(&format!("{} a second process starts as proxy {n}", at(now)));
                        proxies.start_twin(n).map_err(|e| format!("proxy {n}: {e}"))?;
                    }
                    Blow::KillController => {
                        say(&format!("{} the controller is killed", at(now)));
                        controller.iter_mut().for_each(Controller::kill);
                    }
                    Blow::StartController => {
                        say(&format!("{} the controller is started again", at(now)));
                        let started = controller.iter_mut().try_for_each(Controller::spawn);
                        started.map_err(|e| format!("controller: {e}"))?;
                    }
                    Blow::TakeOver => {
                        say(&format!("{} proxy {n} is taken over", at(now)));
                        proxies.take_over(n).map_err(|e| format!("proxy {n}: {e}"))?;
                    }
                    Blow::Start => {
                        say(&format!("{} proxy {n} is started again", at(now)));
                        proxies.start(n).map_err(|e| format!("proxy {n}: {e}"))?;
                    }
                }
            }
            while let Ok(line) = said.try_recv() {
                say(&format!("{} {line}", at(now)));
            }
            if now >= told + 5_000_000 {
                told = now;
                let counters = [&progress.requests, &progress.in_time, &progress.rejected, &progress.failed];
                let [asked, in_time, refused, failed] = counters.map(|count| count.load(Ordering::Relaxed));
                say(&format!(
                    "{} {asked} requests, {in_time} served in time, tries refused {refused}, failed {failed}",
                    at(now)
                ));
            }
            if over() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// A moment of the day, as it is told.
fn at(now: u64) -> String {
    format!("{:6.1} s", now.saturating_sub(PRELUDE) as f64 / 1e6)
}
