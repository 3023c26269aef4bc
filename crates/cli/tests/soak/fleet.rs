//! The proxy processes of the soak test, and the faults that are injected into them.

use super::clients::Class;
use super::common::platform::{Proxy, config, free_address, launch_at};
use super::discovery::Discovery;
use super::judge::{Crash, DrainBounds};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The platform kills a process this long after SIGTERM: the longest deadline of its settings, of which at
/// most three seconds count, and 700 ms.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// The memory that the configuration grants.
const MEMORY_LIMIT_KB: usize = 32 * 1024;
/// The shortest time between two pauses of one process.
const PAUSE_INTERVAL: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The address and configuration of one proxy, and the process that runs there now.
pub struct ProxySlot {
    number: usize,
    seed: u64,
    pub addr: SocketAddr,
    discovery_addrs: [SocketAddr; 2],
    config: Mutex<Value>,
    /// The lock is held by whoever acts on the process, so that nobody else does at the same time.
    running: Mutex<Option<Proxy>>,
    /// The most memory that any process of this slot has taken, in kB.
    peak_memory_kb: AtomicUsize,
}

impl ProxySlot {
    pub fn new(
        number: usize,
        discovery: &Discovery,
        release_service: SocketAddr,
        bounds: DrainBounds,
        seed: u64,
        descriptors: usize,
    ) -> ProxySlot {
        let discovery_addrs = [discovery.address(number), discovery.address(number)];
        let mut config: Value =
            serde_json::from_str(&config(discovery_addrs[0], release_service, &[], descriptors)).unwrap();
        config["known"] = serde_json::from_str(&discovery.list_json()).unwrap();
        config["seed"] = json!(format!("{:x}", seed * 1_000 + number as u64));
        let class = |name: &str, effect: &str, class: Class| {
            json!({"Name": name, "Effect": effect, "Group": "all", "Gain": 1.0, "Window": 2_000_000,
                "HardLimit": class.deadline_ms() * 1_000, "Objective": class.deadline_ms() * 250})
        };
        let settings = &mut config["settings"];
        settings["Classes"] = json!([
            class("look", "retryable", Class::Look),
            class("once", "fragile", Class::Once),
            class("book", "dedup", Class::Book)
        ]);
        settings["Contract"]["AskWithin"] = json!(bounds.ask_within.as_micros() as u64);
        settings["Contract"]["DrainGrace"] = json!(bounds.drain_grace.as_micros() as u64);
        let slot = ProxySlot {
            number,
            seed,
            addr: free_address(),
            discovery_addrs,
            config: Mutex::new(config),
            running: Mutex::default(),
            peak_memory_kb: AtomicUsize::new(0),
        };
        slot.start();
        slot
    }

    /// Returns the number of the proxy.
    pub fn number(&self) -> usize {
        self.number
    }

    fn start(&self) {
        let config = self.config.lock().unwrap().to_string();
        let name = format!("soak-{}-{}", self.seed, self.number);
        *self.running.lock().unwrap() = Some(launch_at(&name, &config, self.addr));
    }

    /// Restarts the process by SIGTERM, which `further_signals` follow. `known` is the server list that the
    /// next process starts with. Returns what went wrong.
    pub fn restart(&self, known: &str, further_signals: &[Signal]) -> Option<String> {
        let mut proxy = self.running.lock().unwrap().take()?;
        proxy.signal(Signal::TERM);
        let killed_at = Instant::now() + KILL_DELAY;
        let mut further_signals = further_signals.iter();
        let mut status = None;
        while status.is_none() && Instant::now() < killed_at {
            self.record_memory(&proxy);
            std::thread::sleep(POLL_INTERVAL);
            status = proxy.child.try_wait().unwrap();
            if let (None, Some(signal)) = (status, further_signals.next()) {
                proxy.signal(*signal);
            }
        }
        let failure = match status {
            None => Some(format!("proxy {} had not exited {KILL_DELAY:?} after SIGTERM", self.number)),
            // A signal that arrives before the process handles signals ends it at once.
            Some(status)
                if status.signal() == Some(Signal::TERM.as_raw()) && !proxy.log().contains("started") =>
            {
                None
            }
            Some(status) if !status.success() => Some(format!("proxy {} exited with {status}", self.number)),
            Some(_) => check_final_counts(&proxy.log()),
        };
        drop(proxy);
        self.config.lock().unwrap()["known"] = serde_json::from_str(known).unwrap();
        self.start();
        failure
    }

    /// Kills the process and starts another one after `downtime`.
    pub fn crash(&self, downtime: Duration) -> Option<Crash> {
        let proxy = self.running.lock().unwrap().take()?;
        let crash = Crash { proxy: self.number, at: Instant::now() };
        self.record_memory(&proxy);
        drop(proxy);
        std::thread::sleep(downtime);
        self.start();
        Some(crash)
    }

    /// Kills one process after another, each a moment after its start.
    pub fn crash_in_series(&self, times: u64, interval: Duration) -> Vec<Crash> {
        let crash = |_| {
            std::thread::sleep(interval);
            self.crash(Duration::ZERO)
        };
        (0..times).filter_map(crash).collect()
    }

    fn record_memory(&self, proxy: &Proxy) {
        if let Some(peak_kb) = proxy.peak_memory_kb() {
            self.peak_memory_kb.fetch_max(peak_kb, Ordering::Relaxed);
        }
    }

    /// Returns what is wrong with the memory that the processes have taken so far, if anything is.
    pub fn check_memory(&self) -> Option<String> {
        if let Some(proxy) = &*self.running.lock().unwrap() {
            self.record_memory(proxy);
        }
        let peak_kb = self.peak_memory_kb.load(Ordering::Relaxed);
        (peak_kb > MEMORY_LIMIT_KB)
            .then(|| format!("memory: proxy {} took {peak_kb} kB of {MEMORY_LIMIT_KB} kB", self.number))
    }

    /// Stops the process for a moment, as on a busy machine. It runs for a while before the next pause.
    pub fn pause(&self, span: Duration) {
        if let Some(proxy) = &*self.running.lock().unwrap() {
            proxy.signal(Signal::STOP);
            std::thread::sleep(span);
            proxy.signal(Signal::CONT);
            std::thread::sleep(PAUSE_INTERVAL);
        }
    }

    /// Reloads the configuration several times; each names the other address of discovery. Returns when.
    pub fn reload(&self, times: u64, interval: Duration) -> Vec<Crash> {
        let mut reloads = Vec::new();
        for _ in 0..times {
            if let Some(proxy) = &*self.running.lock().unwrap() {
                let mut config = self.config.lock().unwrap();
                let before = config["discovery"].clone();
                let next =
                    self.discovery_addrs.iter().find(|host| json!(host.to_string()) != before).unwrap();
                config["discovery"] = json!(next.to_string());
                std::fs::write(&proxy.config_file, config.to_string()).unwrap();
                proxy.signal(Signal::HUP);
                reloads.push(Crash { proxy: self.number, at: Instant::now() });
            }
            std::thread::sleep(interval);
        }
        reloads
    }

    /// Whether the proxy reports that it serves.
    pub fn is_ready(&self) -> bool {
        self.running.lock().unwrap().as_ref().is_some_and(|proxy| proxy.ping() == Some(b"+PONG\r\n".to_vec()))
    }

    /// Ends the process for good. Returns what went wrong.
    pub fn end(&self) -> Option<String> {
        let proxy = self.running.lock().unwrap().take()?;
        let log = proxy.config_file.with_file_name("log");
        proxy.signal(Signal::TERM);
        let status = proxy.wait_for_exit();
        if !status.success() {
            return Some(format!("proxy {} exited with {status}", self.number));
        }
        check_final_counts(&std::fs::read_to_string(log).unwrap())
    }
}

/// Checks the counts that a process logs when it stops: no request overdue, no violation, no connection
/// closed while a request was owed an answer. Returns the line where a count is not 0 or the process
/// panicked.
fn check_final_counts(log: &str) -> Option<String> {
    let Some(last) = log.lines().find(|line| line.contains("stopped taken=")) else {
        return Some(format!("no final counts in the log: {log}"));
    };
    let kept =
        ["overdue=0 ", "violations=0 ", "closed_while_owed=0 "].iter().all(|count| last.contains(count));
    (!kept || log.contains("panicked")).then(|| last.to_owned())
}
