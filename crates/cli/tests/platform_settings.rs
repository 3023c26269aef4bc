//! Runs the same program with the settings of three customers, one after the other, under the same name and
//! address. What it sends and accepts must follow the current settings, and nothing of the previous ones.

mod common;

use common::platform::{Heard, Proxy, encode_command, good};
use common::services::{discovery, list_json, member};
use common::steps::{ManualConnection, ManualListener};
use common::world::{Environment, RELEASED_TO_ALL, environment};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

/// The settings of one customer.
struct Customer {
    name: &'static str,
    /// The name, effect and deadline in ms of each class.
    classes: &'static [(&'static str, &'static str, u64)],
    tenants: &'static [&'static str],
    attempts: usize,
    idle_ms: u64,
    connect_ms: u64,
    max_retry_after_ms: u64,
}

const CUSTOMERS: [Customer; 3] = [
    Customer {
        name: "tolls",
        classes: &[("gate", "retryable", 700), ("charge", "dedup", 3600), ("barrier", "fragile", 1600)],
        tenants: &["east", "west"],
        attempts: 2,
        idle_ms: 140,
        connect_ms: 300,
        max_retry_after_ms: 1200,
    },
    Customer {
        name: "ledger",
        classes: &[("entry", "dedup", 6000), ("read", "retryable", 1000)],
        tenants: &["mill", "granary", "orchard", "apiary", "dairy"],
        attempts: 4,
        idle_ms: 60_000,
        connect_ms: 600,
        max_retry_after_ms: 0,
    },
    // A single class, no tenants, and no optional settings.
    Customer {
        name: "lamps",
        classes: &[("", "retryable", 900)],
        tenants: &[],
        attempts: 1,
        idle_ms: 0,
        connect_ms: 0,
        max_retry_after_ms: 0,
    },
];

impl Customer {
    fn environment(&self, servers: &ManualListener) -> Environment {
        let known = [member("s-1", servers.addr, 7)];
        let mut environment = environment(&known, RELEASED_TO_ALL);
        // The proxy uses a list only once discovery has confirmed it.
        environment.config["discovery"] = json!(discovery(list_json(2, &known)).addr.to_string());
        let class = |(name, effect, ms): &(&str, &str, u64)| {
            json!({"Name": name, "Effect": effect, "Group": "all", "HardLimit": ms * 1000,
                "Objective": ms * 900, "Window": 5_000_000})
        };
        let settings = &mut environment.config["settings"];
        settings["Classes"] = self.classes.iter().map(class).collect::<Vec<Value>>().into();
        settings["Tenants"] =
            self.tenants.iter().map(|t| json!({"Name": t, "QuotaPerS": 50.0})).collect::<Vec<Value>>().into();
        let mut caps = json!({"AttemptsCap": self.attempts, "Cancelling": true});
        if self.idle_ms > 0 {
            caps["IdleClose"] = json!(self.idle_ms * 1000);
            caps["ConnectTimeout"] = json!(self.connect_ms * 1000);
        }
        if self.max_retry_after_ms > 0 {
            caps["RetryAfter"] = json!(true);
            caps["MaxRetryAfter"] = json!(self.max_retry_after_ms * 1000);
        }
        settings["Caps"] = caps;
        environment
    }

    fn call(&self, class: usize, tenant: &str, id: &str, wait_ms: u64) -> Vec<u8> {
        let (name, effect, _) = self.classes[class];
        let list = format!("c={name},t={tenant},d={wait_ms},k=5c0f");
        match effect {
            "retryable" => encode_command(&["CALL.GET", "key", id, &list]),
            _ => encode_command(&["CALL.POST", "key", id, &list, "BODY"]),
        }
    }
}

/// Sends a call and resets the connection of each attempt. Returns the number of attempts and the reply.
fn attempts(proxy: &Proxy, servers: &ManualListener, call: &[u8]) -> (usize, Heard) {
    let mut client = proxy.open();
    client.send(call);
    let stream = client.stream.try_clone().unwrap();
    stream.set_nonblocking(true).unwrap();
    let (mut attempts_seen, mut byte) = (0, [0]);
    // Resets every connection with a command until the client has its reply.
    while stream.peek(&mut byte).is_err() {
        if let Some(mut connection) = servers.try_accept()
            && connection.next_command().is_some()
        {
            attempts_seen += 1;
            connection.reset();
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    stream.set_nonblocking(false).unwrap();
    (attempts_seen, client.read_reply())
}

#[test]
fn each_customers_settings_apply_to_that_customer_alone() {
    let servers = ManualListener::new();
    let mut previous: Option<(Proxy, Environment, &Customer)> = None;
    for customer in &CUSTOMERS {
        let environment = customer.environment(&servers);
        let proxy = match previous.take() {
            None => common::platform::start("customers", &environment.config.to_string()),
            Some((mut proxy, ..)) => {
                std::fs::write(&proxy.config_file, environment.config.to_string()).unwrap();
                common::platform::restart("customers", &mut proxy, Signal::TERM);
                proxy
            }
        };
        check_customer(customer, &proxy, &servers);
        previous = Some((proxy, environment, customer));
    }
    previous.unwrap().0.end();
}

fn check_customer(customer: &Customer, proxy: &Proxy, servers: &ManualListener) {
    let name = customer.name;
    // The classes of this customer are served, for each of its tenants and for an unknown one.
    for class in 0..customer.classes.len() {
        for tenant in customer.tenants.iter().chain(&["nobody"]) {
            let id = format!("{name}-{class}-{tenant}");
            let mut client = proxy.open();
            client.send(&customer.call(class, tenant, &id, 600));
            let (mut connection, received): (ManualConnection, _) = servers.accept_command();
            assert_eq!(received[2], id);
            connection.send(&good(&received));
            assert!(matches!(client.read_reply(), Heard::Value(_)), "{id}");
            connection.reset();
        }
    }
    // Classes of other customers are unknown, whatever their position in the settings.
    for other in CUSTOMERS.iter().filter(|c| c.name != name) {
        for class in 0..other.classes.len() {
            let reply = proxy.open().ask(&other.call(class, "east", "stranger", 600));
            assert_eq!(
                reply,
                Heard::Line("-ERR unknown class".into()),
                "{name} accepted a class of {}",
                other.name
            );
        }
    }
    // The number of attempts and the retry-after value stay within the settings, and a class that may not be
    // repeated gets one attempt.
    for (class, (_, effect, _)) in customer.classes.iter().enumerate() {
        let (attempts_seen, reply) =
            attempts(proxy, servers, &customer.call(class, "east", &format!("r{class}"), 600));
        let max_attempts = if *effect == "fragile" { 1 } else { customer.attempts };
        assert!(
            (1..=max_attempts).contains(&attempts_seen),
            "{name}: {attempts_seen} attempts, {max_attempts} at most"
        );
        let Heard::Line(text) = reply else { panic!("{name}: {reply:?}") };
        match *effect {
            "fragile" => assert_eq!(text, "-ERR failed", "{name}"),
            _ => assert!(text.starts_with("-BUSY"), "{name}: {text}"),
        }
        let retry_after_ms = text.strip_prefix("-BUSY ").map_or(0, |ms| ms.parse::<u64>().unwrap());
        assert!(
            retry_after_ms <= customer.max_retry_after_ms,
            "{name}: the proxy advised a retry after {retry_after_ms} ms"
        );
    }
}
