//! Random plans under random scripts: every decision is read against the plan by the tests' own reading.
//!
//! The short run is part of the tests; the long one is measured: `cargo test --release -p violetseam-plan-simulation
//! --test random -- --ignored --nocapture`.

mod common;

use common::{MINUTE, Reader, S};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use violetseam_plan::{Plan, moment_of, read_text};
use violetseam_plan_simulation::{Script, play};
use violetseam_release::Release;

/// A plan's text; now and then with a contradiction in it.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
fn plan_text(rng: &mut Pcg64) -> String {
    let mut s = String::new();
    let (proxies, places) = (rng.random_range(1..9), rng.random_range(1..16));
    let waves = rng.random_range(1..5);
    let longest = rng.random_range(10..90);
    let _ = writeln!(
        s,
        "plan(name = \"r\", build = 7, longest = \"{longest}m\", downtime = \"{}\")",
        if rng.random() { "stops" } else { "counts" }
    );
    let caps: Vec<String> = (1..=waves).map(|n| format!("{:.4}", f64::from(n) / f64::from(waves))).collect();
    let _ = writeln!(
        s,
        "fleet(proxies = {proxies}, places = {places}, vote_ttl = \"{}s\", votes_back = {:.2}, votes_per_s = {}.0, stage_caps = [{}], beside = {}, launch = \"2m\")",
        rng.random_range(10..90),
        rng.random_range(0.1..1.0),
        rng.random_range(1..40),
        caps.join(", "),
        if rng.random() { "True" } else { "False" }
    );
    let mut share = 0.0f64;
    for n in 0..waves {
        share = if n + 1 == waves && rng.random::<f64>() < 0.95 {
            1.0
        } else if rng.random::<f64>() < 0.03 {
            share / 2.0
        } else {
            (share + rng.random_range(0.05..0.5)).min(1.0)
        };
        let cap = f64::from(n + 1) / f64::from(waves) * if rng.random::<f64>() < 0.03 { 1.2 } else { 1.0 };
        let name = if rng.random::<f64>() < 0.02 { 0 } else { n };
        let gate = ["any", "share", "timer"][rng.random_range(0..3)];
        let close = ["hold", "finish", "back"][rng.random_range(0..3)];
        let _ = writeln!(
            s,
            "wave(name = \"w{name}\", share = {share:.3}, cap = {cap:.4}, soak = \"{}s\", gate = \"{gate}\", votes = {:.2}, on_close = \"{close}\")",
            rng.random_range(0..400),
            rng.random_range(0.05..1.02)
        );
    }
    if rng.random::<f64>() < 0.35 {
        let way = match rng.random_range(0..7) {
            0 => "",
            1..=3 => ", at_most = \"4m\"",
            _ => ", leave = [\"lead\"]",
        };
        let _ = writeln!(s, "hold(before = \"w{}\"{way})", rng.random_range(0..waves));
    }
    if rng.random::<f64>() < 0.4 {
        let by = ["[]", "[\"qa\"]", "[\"qa\", \"plant\"]"][rng.random_range(0..20).min(2)];
        let _ = writeln!(
            s,
            "sign_off(wave = \"w{}\", by = {by}, count = {}, within = \"{}m\")",
            rng.random_range(0..waves),
            rng.random_range(1..3),
            rng.random_range(1..longest + 4)
        );
    }
    if rng.random::<f64>() < 0.7 {
        for _ in 0..rng.random_range(1..3) {
            let zone = ["UTC", "Africa/Nairobi", "Asia/Kolkata", "Europe/London"][rng.random_range(0..4)];
            // Round the start of the rehearsal, so that windows open and close within it.
            let ahead = match zone {
                "Africa/Nairobi" => 180,
                "Asia/Kolkata" => 330,
                _ => 0,
            };
            let from = 480 + ahead + rng.random_range(-40..40);
            let to = from + rng.random_range(5..120);
            let days = ["mon-sun", "tue", "mon-fri", "sat,sun"][rng.random_range(0..14).min(3)];
            let days = if rng.random::<f64>() < 0.9 { "mon-sun" } else { days };
            let clock = |m: i32| format!("{:02}:{:02}", m / 60, m % 60);
            let _ = writeln!(
                s,
                "window(days = \"{days}\", start = \"{}\", end = \"{}\", zone = \"{zone}\")",
                clock(from),
                clock(to)
            );
        }
    }
    if rng.random::<f64>() < 0.2 {
        let from = rng.random_range(0..40);
        let _ = writeln!(
            s,
            "freeze(start = \"2026-12-01T08:{from:02}\", end = \"2026-12-01T08:{:02}\", zone = \"UTC\")",
            from + rng.random_range(1..19)
        );
    }
    if rng.random::<f64>() < 0.6 {
        let _ = writeln!(s, "allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\", \"skip\"])");
    }
    s
}

fn script(rng: &mut Pcg64, plan: &Plan) -> Script {
    let mut s = String::from("start(at = \"2026-12-01T08:00\", build = 1, boot = \"7s\", drain = \"5s\")\n");
    let minutes = (plan.longest / MINUTE) as i32;
    let at = |rng: &mut Pcg64| format!("{}s", rng.random_range(0..minutes * 60));
    for _ in 0..rng.random_range(1..5) {
        let verdict = ["on", "on", "on", "on", "hold", "back", "withdraw"][rng.random_range(0..7)];
        let first = rng.random_range(0..plan.fleet.proxies);
        let (first, proxies) = if rng.random::<f64>() < 0.6 {
            (0, plan.fleet.proxies)
        } else {
            (first, plan.fleet.proxies - first)
        };
        let until =
            if rng.random::<f64>() < 0.3 { format!(", until = \"{}\"", at(rng)) } else { String::new() };
        let from = if rng.random::<f64>() < 0.6 { "0s".into() } else { at(rng) };
        let _ = writeln!(
            s,
            "votes(at = \"{from}\", first = {first}, proxies = {proxies}, verdict = \"{verdict}\", every = \"{}s\"{until})",
            rng.random_range(3..60)
        );
    }
    for who in ["qa", "plant", "stranger"] {
        for wave in &plan.waves {
            if rng.random::<f64>() < 0.6 {
                let _ = writeln!(s, "sign(at = \"{}\", who = \"{who}\", wave = \"{}\")", at(rng), wave.name);
            }
            if rng.random::<f64>() < 0.15 {
                let _ =
                    writeln!(s, "unsign(at = \"{}\", who = \"{who}\", wave = \"{}\")", at(rng), wave.name);
            }
        }
    }
    for _ in 0..rng.random_range(0..6) {
        let who = ["on-call", "lead", "lead", "stranger"][rng.random_range(0..4)];
        let what = ["hold", "resume", "resume", "resume", "skip", "back"][rng.random_range(0..6)];
        let _ = writeln!(
            s,
            "order(at = \"{}\", who = \"{who}\", what = \"{what}\", **{{\"for\": \"{}s\"}})",
            at(rng),
            rng.random_range(1..300)
        );
    }
    if rng.random::<f64>() < 0.3 {
        let _ = writeln!(
            s,
            "lose(at = \"{}\", place = {}, **{{\"for\": \"{}s\"}})",
            at(rng),
            rng.random_range(0..plan.fleet.places),
            rng.random_range(1..400)
        );
    }
    if rng.random::<f64>() < 0.25 {
        let way = if rng.random() { "ahead" } else { "back" };
        let _ = writeln!(s, "clock(at = \"{}\", {way} = \"{}m\")", at(rng), rng.random_range(1..120));
    }
    if rng.random::<f64>() < 0.3 {
        let _ = writeln!(s, "away(at = \"{}\", **{{\"for\": \"{}s\"}})", at(rng), rng.random_range(1..600));
    }
    violetseam_plan_simulation::read_text("script", &s).unwrap_or_else(|e| panic!("{e}\n{s}"))
}

/// The kind of a contradiction, from its words.
fn kind(fault: &str) -> &'static str {
    let kinds = [
        ("shrinks", "shares that shrink"),
        ("of this name", "two waves with one name"),
        ("that stage", "cap over a stage's"),
        ("a cap is over 0", "cap over 1"),
        ("under the", "falling cap"),
        ("leaves", "last wave leaves places out"),
        ("cannot be cast", "votes nobody can cast"),
        ("not there within", "votes not within their life"),
        ("not taken within", "votes not within their life"),
        ("asked of nobody", "sign-off of nobody"),
        ("approvals from", "sign-off of too few"),
        ("at most the plan's longest", "sign-off past the limit"),
        ("no way out", "hold without a way out"),
        ("no window opens", "windows that never open"),
        ("no window fits", "a soak that no window fits"),
        ("of open windows", "soaks longer than the open time"),
        ("the soaks take", "soaks longer than the limit"),
        ("timer without a soak", "a timer that does not wait"),
        ("share is over 0", "no share"),
        ("no wave \"", "hold or sign-off of no wave"),
    ];
    kinds.iter().find(|k| fault.contains(k.0)).map_or("other", |k| k.1)
}

struct Tally {
    played: usize,
    events: usize,
    transitions: usize,
    refused: BTreeMap<&'static str, usize>,
    outcomes: BTreeMap<String, usize>,
}

fn run(seed: u64, wanted: usize) -> Tally {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = moment_of("2026-12-01T08:00", "UTC").unwrap();
    let mut tally =
        Tally { played: 0, events: 0, transitions: 0, refused: BTreeMap::new(), outcomes: BTreeMap::new() };
    while tally.played < wanted {
        let text = plan_text(&mut rng);
        let plan = match read_text("random", &text, &[], start) {
            Ok(plan) => plan,
            Err(faults) => {
                for fault in faults {
                    if kind(&fault.to_string()) == "other" {
                        eprintln!("{fault}");
                    }
                    *tally.refused.entry(kind(&fault.to_string())).or_default() += 1;
                }
                continue;
            }
        };
        let script = script(&mut rng, &plan);
        let mut reader = Reader::new(&plan);
        let mut events = 0;
        // What a start would know: told only the events that were kept, it must come to the same.
        let mut again = Release::new(1);
        let played = play(&plan, &script, &mut |step| {
            events += 1;
            if step.kept {
                again.on_event(step.now, &step.event);
            }
            assert_eq!(
                again.announcement(),
                step.after,
                "{text}\nscript: {script:?}\nat {} s: {step:?}",
                step.now.steady / S
            );
            let read = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| reader.read(step)));
            if let Err(why) = read {
                eprintln!("plan:\n{text}\nscript: {script:?}\nat {} s: {step:?}", step.now.steady / S);
                std::panic::resume_unwind(why);
            }
        });
        assert!(!played.entries.is_empty());
        tally.played += 1;
        tally.events += events;
        tally.transitions += reader.transitions;
        for (outcome, n) in reader.outcomes {
            *tally.outcomes.entry(outcome).or_default() += n;
        }
    }
    tally
}

#[test]
fn every_decision_on_random_plans_follows_the_plan() {
    let tally = run(11, 120);
    // The draw must be able to fail: all ends and several kinds of contradiction occur.
    for outcome in ["released", "back: votes", "back: too long", "back: window"] {
        assert!(tally.outcomes.contains_key(outcome), "{outcome} never: {:?}", tally.outcomes);
    }
    assert!(tally.transitions > 300 && tally.refused.len() >= 5, "{} {:?}", tally.transitions, tally.refused);
    assert!(!tally.refused.contains_key("other"), "{:?}", tally.refused);
}

/// The reader must be able to find something: told another plan than the one that is played, it does.
#[test]
fn a_reader_of_a_stricter_plan_objects() {
    let start = moment_of("2026-12-01T08:00", "UTC").unwrap();
    let text = "plan(name = \"r\", build = 7, longest = \"60m\")\n\
        fleet(proxies = 4, places = 4, vote_ttl = \"30s\", stage_caps = [0.5, 1.0])\n\
        wave(name = \"a\", share = 0.5, cap = 0.5, soak = \"60s\", gate = \"share\", votes = 0.5)\n\
        wave(name = \"b\", share = 1.0, cap = 1.0, soak = \"60s\", gate = \"share\", votes = 0.5)\n";
    let plan = read_text("r", text, &[], start).unwrap();
    let script = violetseam_plan_simulation::healthy(&plan, start, 1);
    let objects = |stricter: &dyn Fn(&mut Plan)| {
        let mut other = plan.clone();
        stricter(&mut other);
        let mut reader = Reader::new(&other);
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            play(&plan, &script, &mut |step| reader.read(step));
        }))
        .is_err()
    };
    assert!(!objects(&|_| {}), "the very plan is objected to");
    assert!(objects(&|p| p.waves[0].soak += 60 * S), "a soak cut short");
    assert!(objects(&|p| p.fleet.proxies = 400), "votes short of the share");
    assert!(objects(&|p| p.waves[1].cap = 0.9), "a cap too high");
    assert!(
        objects(&|p| p.calendar.freezes.push(violetseam_plan::Freeze {
            start: start + 30 * S,
            end: start + 3_600 * S,
            reason: String::new()
        })),
        "a freeze passed over"
    );
    let sign = |p: &mut Plan| {
        let (wave, by) = ("b".to_owned(), vec!["qa".to_owned()]);
        p.sign_offs.push(violetseam_plan::SignOff { wave, by, count: 1, within: 3_600 * S });
    };
    assert!(objects(&sign), "an approval passed over");
}

#[test]
#[ignore = "minutes; measured in docs/measurements/plans.md"]
fn thousands_of_random_plans() {
    let tally = run(2_026, 3_000);
    println!("{} plans played, {} events, {} changes of news", tally.played, tally.events, tally.transitions);
    println!("outcomes: {:#?}", tally.outcomes);
    println!("refused: {:#?}", tally.refused);
    assert!(!tally.refused.contains_key("other"));
}
