//! One program, the settings of three customers, one after the other under the same name and address: what crosses the
//! wire is what each allows, and nothing of the one before.

mod common;

use common::platform::{Heard, Proxy, good, words};
use common::services::{discovery, list, member};
use common::steps::{Peer, Wire};
use common::world::{ALL, World, world};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

/// What one customer allows.
struct Customer {
    name: &'static str,
    /// Names of classes with their effects, deadlines in ms.
    classes: &'static [(&'static str, &'static str, u64)],
    tenants: &'static [&'static str],
    attempts: usize,
    idle_ms: u64,
    connect_ms: u64,
    advise_ms: u64,
}

const CUSTOMERS: [Customer; 3] = [
    Customer {
        name: "tolls",
        classes: &[("gate", "retryable", 700), ("charge", "dedup", 3600), ("barrier", "fragile", 1600)],
        tenants: &["east", "west"],
        attempts: 2,
        idle_ms: 140,
        connect_ms: 300,
        advise_ms: 1200,
    },
    Customer {
        name: "ledger",
        classes: &[("entry", "dedup", 6000), ("read", "retryable", 1000)],
        tenants: &["mill", "granary", "orchard", "apiary", "dairy"],
        attempts: 4,
        idle_ms: 60_000,
        connect_ms: 600,
        advise_ms: 0,
    },
    // One class alone, no tenants, nothing said that may be left out.
    Customer {
        name: "lamps",
        classes: &[("", "retryable", 900)],
        tenants: &[],
        attempts: 1,
        idle_ms: 0,
        connect_ms: 0,
        advise_ms: 0,
    },
];

impl Customer {
    fn world(&self, servers: &Peer) -> World {
        let known = [member("s-1", servers.addr, 7)];
        let mut world = world(&known, ALL);
        // A list is used once discovery has confirmed it.
        world.config["discovery"] = json!(discovery(list(2, &known)).addr.to_string());
        let class = |(name, effect, ms): &(&str, &str, u64)| {
            json!({"Name": name, "Effect": effect, "Group": "all", "HardLimit": ms * 1000,
                "Objective": ms * 900, "Window": 5_000_000})
        };
        let settings = &mut world.config["settings"];
        settings["Classes"] = self.classes.iter().map(class).collect::<Vec<Value>>().into();
        settings["Tenants"] =
            self.tenants.iter().map(|t| json!({"Name": t, "QuotaPerS": 50.0})).collect::<Vec<Value>>().into();
        let mut caps = json!({"AttemptsCap": self.attempts, "Cancelling": true});
        if self.idle_ms > 0 {
            caps["IdleClose"] = json!(self.idle_ms * 1000);
            caps["ConnectTimeout"] = json!(self.connect_ms * 1000);
        }
        if self.advise_ms > 0 {
            caps["RetryAfter"] = json!(true);
            caps["MaxRetryAfter"] = json!(self.advise_ms * 1000);
        }
        settings["Caps"] = caps;
        world
    }

    fn call(&self, class: usize, tenant: &str, id: &str, wait_ms: u64) -> Vec<u8> {
        let (name, effect, _) = self.classes[class];
        let list = format!("c={name},t={tenant},d={wait_ms},k=5c0f");
        match effect {
            "retryable" => words(&["CALL.GET", "key", id, &list]),
            _ => words(&["CALL.POST", "key", id, &list, "BODY"]),
        }
    }
}

/// How many attempts a call has whose server resets each, and what its client hears.
fn attempts(proxy: &Proxy, servers: &Peer, call: &[u8]) -> (usize, Heard) {
    let mut client = proxy.open();
    client.send(call);
    let stream = client.stream.try_clone().unwrap();
    stream.set_nonblocking(true).unwrap();
    let (mut seen, mut byte) = (0, [0]);
    // Until the client has its answer, every connection that says something is reset.
    while stream.peek(&mut byte).is_err() {
        if let Some(mut wire) = servers.try_accept()
            && wire.next_command().is_some()
        {
            seen += 1;
            wire.reset();
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    stream.set_nonblocking(false).unwrap();
    (seen, client.hear())
}

#[test]
fn each_customers_settings_hold_for_it_alone() {
    let servers = Peer::new();
    let mut before: Option<(Proxy, World, &Customer)> = None;
    for customer in &CUSTOMERS {
        let world = customer.world(&servers);
        let proxy = match before.take() {
            None => common::platform::start("customers", &world.config.to_string()),
            Some((mut proxy, ..)) => {
                std::fs::write(&proxy.file, world.config.to_string()).unwrap();
                common::platform::run_again("customers", &mut proxy, Signal::TERM);
                proxy
            }
        };
        check(customer, &proxy, &servers);
        before = Some((proxy, world, customer));
    }
    before.unwrap().0.end();
}

fn check(customer: &Customer, proxy: &Proxy, servers: &Peer) {
    let name = customer.name;
    // Its own classes are served, each with the tenants that it has and with one that it has not.
    for class in 0..customer.classes.len() {
        for tenant in customer.tenants.iter().chain(&["nobody"]) {
            let id = format!("{name}-{class}-{tenant}");
            let mut client = proxy.open();
            client.send(&customer.call(class, tenant, &id, 600));
            let (mut wire, got): (Wire, _) = servers.accept_command();
            assert_eq!(got[2], id);
            wire.say(&good(&got));
            assert!(matches!(client.hear(), Heard::Value(_)), "{id}");
            wire.reset();
        }
    }
    // The others' are not known here, whatever their place.
    for other in CUSTOMERS.iter().filter(|c| c.name != name) {
        for class in 0..other.classes.len() {
            let heard = proxy.open().ask(&other.call(class, "east", "stranger", 600));
            assert_eq!(
                heard,
                Heard::Line("-ERR unknown class".into()),
                "{name} took a class of {}",
                other.name
            );
        }
    }
    // Attempts and advice as its settings allow: not one more, and a class that may not be repeated has one.
    for (class, (_, effect, _)) in customer.classes.iter().enumerate() {
        let (seen, heard) =
            attempts(proxy, servers, &customer.call(class, "east", &format!("r{class}"), 600));
        let most = if *effect == "fragile" { 1 } else { customer.attempts };
        assert!((1..=most).contains(&seen), "{name}: {seen} attempts, {most} at most");
        let Heard::Line(text) = heard else { panic!("{name}: {heard:?}") };
        match *effect {
            "fragile" => assert_eq!(text, "-ERR failed", "{name}"),
            _ => assert!(text.starts_with("-BUSY"), "{name}: {text}"),
        }
        let advised = text.strip_prefix("-BUSY ").map_or(0, |ms| ms.parse::<u64>().unwrap());
        assert!(advised <= customer.advise_ms, "{name}: advised {advised} ms");
    }
}
