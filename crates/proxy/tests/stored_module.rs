//! A module handed over by an earlier build is read, written again to the same bytes, and decides as it did
//! there.

use std::path::{Path, PathBuf};
use violetseam::balancer::Balancer;
use violetseam::interface::*;

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../cli/tests/stored").join(name)
}

fn module() -> Balancer {
    let bytes = std::fs::read(stored("takeover/module.postcard")).unwrap();
    let (module, rest) = postcard::take_from_bytes(&bytes).unwrap();
    assert!(rest.is_empty());
    module
}

#[test]
fn a_stored_module_is_written_again_to_the_same_bytes() {
    let bytes = std::fs::read(stored("takeover/module.postcard")).unwrap();
    assert!(postcard::to_allocvec(&module()).unwrap() == bytes);
}

/// Feeds requests, ends of attempts, a list and the release service's word, and gives all actions.
fn decide(module: &mut Balancer) -> Vec<Action> {
    const START: Micros = 6_200_000;
    let mut all = Vec::new();
    let mut now = START;
    let mut attempts_of = std::collections::BTreeMap::<RequestId, usize>::new();
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
                let attempt = *attempts_of.entry(request).and_modify(|n| *n += 1).or_insert(0);
                let outcome = match (id + attempt as u64) % 11 {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::Timeout,
                    3 => Outcome::Reset,
                    _ => Outcome::Ok,
                };
                now += 1_500;
                let settled = outcome == Outcome::Ok;
                let elapsed = 1_500 + id % 7 * 900;
                let end =
                    AttemptEnd { request, attempt, server, outcome, elapsed, finishes_request: settled };
                module.on_event(now, Event::AttemptEnded(end), &mut actions);
            }
            next += 1;
        }
        if id.is_multiple_of(20) {
            module.on_event(now, Event::Timer { token: 0 }, &mut actions);
        }
        if id == 200 {
            let news = ReleaseStatus { build: 2, stage: 2, phase: Phase::Trial, cap: 1.0 };
            module.on_event(now, Event::Release(news), &mut actions);
        }
        all.append(&mut actions);
    }
    all
}

#[test]
fn a_stored_module_decides_as_it_did_where_it_was_written() {
    let actions = decide(&mut module());
    let written = postcard::to_allocvec(&actions).unwrap();
    let expected = std::fs::read(stored("expected/actions.postcard")).unwrap();
    assert!(actions.len() > 600, "{}", actions.len());
    assert!(written == expected, "{} bytes against {}", written.len(), expected.len());
}
