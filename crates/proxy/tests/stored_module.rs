//! A decision module that an earlier build stored at a hand-over can be read, is written again to the same
//! bytes, and makes the recorded decisions.

use std::path::{Path, PathBuf};
use violetseam::balancer::Balancer;
use violetseam::interface::*;

/// The path of a file that an earlier build stored.
fn stored_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../cli/tests/stored").join(name)
}

/// Reads the stored module.
fn read_module() -> Balancer {
    let bytes = std::fs::read(stored_path("takeover/module.postcard")).unwrap();
    let (module, rest) = postcard::take_from_bytes(&bytes).unwrap();
    assert!(rest.is_empty());
    module
}

#[test]
fn a_stored_module_is_written_again_to_the_same_bytes() {
    let bytes = std::fs::read(stored_path("takeover/module.postcard")).unwrap();
    assert!(postcard::to_allocvec(&read_module()).unwrap() == bytes);
}

/// Feeds requests, ends of attempts, timers and a release status to the module; returns all its actions.
fn feed_events(module: &mut Balancer) -> Vec<Action> {
    const START: Micros = 6_200_000;
    let mut all_actions = Vec::new();
    let mut now = START;
    let mut last_attempts = std::collections::BTreeMap::<RequestId, usize>::new();
    for id in 1..=400u64 {
        now += 3_000;
        let class = (id % 3) as usize;
        let key = (class == 1).then_some(id % 40);
        let request = Request { id, deadline: now + 1_000_000, class, key, ..Request::default() };
        let mut actions = Vec::new();
        module.on_event(now, Event::Request(request), &mut actions);
        let mut next = 0;
        while next < actions.len() {
            if let Action::Send { request, server, .. } = actions[next] {
                let attempt = *last_attempts.entry(request).and_modify(|number| *number += 1).or_insert(0);
                let outcome = match (id + attempt as u64) % 11 {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::Timeout,
                    3 => Outcome::Reset,
                    _ => Outcome::Ok,
                };
                now += 1_500;
                let finishes_request = outcome == Outcome::Ok;
                let elapsed = 1_500 + id % 7 * 900;
                let end = AttemptEnd { request, attempt, server, outcome, elapsed, finishes_request };
                module.on_event(now, Event::AttemptEnded(end), &mut actions);
            }
            next += 1;
        }
        if id.is_multiple_of(20) {
            module.on_event(now, Event::Timer { token: 0 }, &mut actions);
        }
        if id == 200 {
            let release = ReleaseStatus { build: 2, stage: 2, phase: Phase::Trial, cap: 1.0 };
            module.on_event(now, Event::Release(release), &mut actions);
        }
        all_actions.append(&mut actions);
    }
    all_actions
}

#[test]
fn a_stored_module_makes_the_recorded_decisions() {
    let actions = feed_events(&mut read_module());
    let written = postcard::to_allocvec(&actions).unwrap();
    let expected = std::fs::read(stored_path("expected/actions-deadline-aware.postcard")).unwrap();
    assert!(actions.len() > 600, "only {} actions", actions.len());
    assert!(written == expected, "the actions differ: {} bytes, expected {}", written.len(), expected.len());
}
