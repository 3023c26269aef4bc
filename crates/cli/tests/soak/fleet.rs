//! The proxies of a soak as processes, and what is done to them.

use super::clients::Class;
use super::common::platform::{Proxy, config, free_address, launch_at};
use super::discovery::Discovery;
use super::judge::{Crash, Terms};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A process that was told to end is killed so long after that beyond its longest deadline, of which three seconds count.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
const LOOK: Duration = Duration::from_millis(5);

/// One proxy's place: who runs there now.
pub struct Place {
    number: usize,
    pub addr: SocketAddr,
    hosts: [SocketAddr; 2],
    config: Mutex<Value>,
    /// Nobody else acts on the process while one does.
    running: Mutex<Option<Proxy>>,
}

impl Place {
    pub fn begin(
        number: usize,
        discovery: &Discovery,
        releases: SocketAddr,
        terms: Terms,
        seed: u64,
    ) -> Place {
        let hosts = [discovery.address(number), discovery.address(number)];
        let mut config: Value = serde_json::from_str(&config(hosts[0], releases, &[], 256)).unwrap();
        config["known"] = serde_json::from_str(&discovery.list()).unwrap();
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
        settings["Contract"]["AskWithin"] = json!(terms.ask_within.as_micros() as u64);
        settings["Contract"]["DrainGrace"] = json!(terms.drain_grace.as_micros() as u64);
        let place = Place {
            number,
            addr: free_address(),
            hosts,
            config: Mutex::new(config),
            running: Mutex::default(),
        };
        place.start();
        place
    }

    fn start(&self) {
        let config = self.config.lock().unwrap().to_string();
        let name = format!("soak-{}", self.number);
        *self.running.lock().unwrap() = Some(launch_at(&name, &config, self.addr));
    }

    /// A planned restart: what went wrong with it. `known`: the list that the next life starts with.
    pub fn restart(&self, known: &str) -> Option<String> {
        let mut proxy = self.running.lock().unwrap().take()?;
        proxy.signal(Signal::TERM);
        let killed_at = Instant::now() + KILLED_AFTER;
        let mut status = None;
        while status.is_none() && Instant::now() < killed_at {
            std::thread::sleep(LOOK);
            status = proxy.child.try_wait().unwrap();
        }
        let fault = match status {
            None => Some(format!("proxy {} had not ended when it would be killed", self.number)),
            // A signal that comes before signals are heard ends the process at once.
            Some(status)
                if status.signal() == Some(Signal::TERM.as_raw()) && !proxy.log().contains("started") =>
            {
                None
            }
            Some(status) if !status.success() => Some(format!("proxy {} ended with {status}", self.number)),
            Some(_) => told_of_itself(&proxy.log()),
        };
        drop(proxy);
        self.config.lock().unwrap()["known"] = serde_json::from_str(known).unwrap();
        self.start();
        fault
    }

    /// Kills the process and starts another one after a while.
    pub fn crash(&self, away: Duration) -> Option<Crash> {
        let proxy = self.running.lock().unwrap().take()?;
        let crash = Crash { proxy: self.number, at: Instant::now() };
        drop(proxy);
        std::thread::sleep(away);
        self.start();
        Some(crash)
    }

    /// Stops the process for a moment, as a busy machine does.
    pub fn hold_up(&self, span: Duration) {
        if let Some(proxy) = &*self.running.lock().unwrap() {
            proxy.signal(Signal::STOP);
            std::thread::sleep(span);
            proxy.signal(Signal::CONT);
        }
    }

    /// New configurations in a row, each naming the other address of discovery.
    pub fn reload(&self, times: u64, apart: Duration) {
        for _ in 0..times {
            if let Some(proxy) = &*self.running.lock().unwrap() {
                let mut config = self.config.lock().unwrap();
                let before = config["discovery"].clone();
                let next = self.hosts.iter().find(|host| json!(host.to_string()) != before).unwrap();
                config["discovery"] = json!(next.to_string());
                std::fs::write(&proxy.file, config.to_string()).unwrap();
                proxy.signal(Signal::HUP);
            }
            std::thread::sleep(apart);
        }
    }

    /// Whether it says that it serves.
    pub fn is_ready(&self) -> bool {
        self.running.lock().unwrap().as_ref().is_some_and(|proxy| proxy.ping() == Some(b"+PONG\r\n".to_vec()))
    }

    /// Ends the process for good; what went wrong.
    pub fn end(&self) -> Option<String> {
        let proxy = self.running.lock().unwrap().take()?;
        let log = proxy.file.with_file_name("log");
        proxy.signal(Signal::TERM);
        let status = proxy.ended();
        if !status.success() {
            return Some(format!("proxy {} ended with {status}", self.number));
        }
        told_of_itself(&std::fs::read_to_string(log).unwrap())
    }
}

/// What a process counted of its own faults.
fn told_of_itself(log: &str) -> Option<String> {
    let Some(last) = log.lines().find(|line| line.contains("stopped taken=")) else {
        return Some(format!("no count at the end of {log}"));
    };
    let kept =
        ["overdue=0 ", "violations=0 ", "closed_while_owed=0 "].iter().all(|count| last.contains(count));
    (!kept || log.contains("panicked")).then(|| last.to_owned())
}
