//! Simulates random plans under random scripts, and checks every decision against the plan with an
//! independent checker.
//!
//! A short run is part of the tests. The long run, whose figures are published, is started with `cargo test
//! --release -p violetseam-plan-simulation --test random -- --ignored --nocapture`.

mod common;

use common::{DecisionChecker, MINUTE, S};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use violetseam_plan::{Plan, ScriptError, moment_of, read_text};
use violetseam_plan_simulation::simulate;
use violetseam_release::Release;

/// Returns the script of a random plan, which sometimes contains a contradiction.
fn plan_text(rng: &mut Pcg64) -> String {
    let mut text = String::new();
    let proxies = rng.random_range(1..9);
    let places = rng.random_range(1..16);
    let waves = rng.random_range(1..5);
    let longest = rng.random_range(10..90);
    write_plan(&mut text, rng, longest);
    write_fleet(&mut text, rng, FleetSize { proxies, places, waves });
    write_waves(&mut text, rng, waves);
    write_hold(&mut text, rng, waves);
    write_sign_off(&mut text, rng, waves, longest);
    write_windows(&mut text, rng);
    write_freeze(&mut text, rng);
    if rng.random::<f64>() < 0.6 {
        let _ = writeln!(text, "allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\", \"skip\"])");
    }
    text
}

struct FleetSize {
    proxies: i32,
    places: i32,
    waves: i32,
}

fn write_plan(text: &mut String, rng: &mut Pcg64, longest: i32) {
    let downtime = if rng.random() { "stops" } else { "counts" };
    let _ =
        writeln!(text, "plan(name = \"r\", build = 7, longest = \"{longest}m\", downtime = \"{downtime}\")");
}

fn write_fleet(text: &mut String, rng: &mut Pcg64, size: FleetSize) {
    let FleetSize { proxies, places, waves } = size;
    let caps: Vec<String> = (1..=waves).map(|n| format!("{:.4}", f64::from(n) / f64::from(waves))).collect();
    let _ = writeln!(
        text,
        "fleet(proxies = {proxies}, places = {places}, vote_ttl = \"{}s\", votes_back = {:.2}, votes_per_s = {}.0, stage_caps = [{}], beside = {}, launch = \"2m\")",
        rng.random_range(10..90),
        rng.random_range(0.1..1.0),
        rng.random_range(1..40),
        caps.join(", "),
        if rng.random() { "True" } else { "False" }
    );
}

fn write_waves(text: &mut String, rng: &mut Pcg64, waves: i32) {
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
        let on_close = ["hold", "finish", "back"][rng.random_range(0..3)];
        let _ = writeln!(
            text,
            "wave(name = \"w{name}\", share = {share:.3}, cap = {cap:.4}, soak = \"{}s\", gate = \"{gate}\", votes = {:.2}, on_close = \"{on_close}\")",
            rng.random_range(0..400),
            rng.random_range(0.05..1.02)
        );
    }
}

fn write_hold(text: &mut String, rng: &mut Pcg64, waves: i32) {
    if rng.random::<f64>() < 0.35 {
        let end = match rng.random_range(0..7) {
            0 => "",
            1..=3 => ", at_most = \"4m\"",
            _ => ", leave = [\"lead\"]",
        };
        let _ = writeln!(text, "hold(before = \"w{}\"{end})", rng.random_range(0..waves));
    }
}

fn write_sign_off(text: &mut String, rng: &mut Pcg64, waves: i32, longest: i32) {
    if rng.random::<f64>() < 0.4 {
        let by = ["[]", "[\"qa\"]", "[\"qa\", \"plant\"]"][rng.random_range(0..20).min(2)];
        let _ = writeln!(
            text,
            "sign_off(wave = \"w{}\", by = {by}, count = {}, within = \"{}m\")",
            rng.random_range(0..waves),
            rng.random_range(1..3),
            rng.random_range(1..longest + 4)
        );
    }
}

fn write_windows(text: &mut String, rng: &mut Pcg64) {
    if rng.random::<f64>() < 0.7 {
        for _ in 0..rng.random_range(1..3) {
            write_window(text, rng);
        }
    }
}

/// Writes a window around the start of the simulation, so that it opens or closes during the simulation.
fn write_window(text: &mut String, rng: &mut Pcg64) {
    let zone = ["UTC", "Africa/Nairobi", "Asia/Kolkata", "Europe/London"][rng.random_range(0..4)];
    let ahead = match zone {
        "Africa/Nairobi" => 180,
        "Asia/Kolkata" => 330,
        _ => 0,
    };
    let from = 480 + ahead + rng.random_range(-40..40);
    let to = from + rng.random_range(5..120);
    let days = ["mon-sun", "tue", "mon-fri", "sat,sun"][rng.random_range(0..14).min(3)];
    let days = if rng.random::<f64>() < 0.9 { "mon-sun" } else { days };
    let clock = |minutes: i32| format!("{:02}:{:02}", minutes / 60, minutes % 60);
    let _ = writeln!(
        text,
        "window(days = \"{days}\", start = \"{}\", end = \"{}\", zone = \"{zone}\")",
        clock(from),
        clock(to)
    );
}

fn write_freeze(text: &mut String, rng: &mut Pcg64) {
    if rng.random::<f64>() < 0.2 {
        let from = rng.random_range(0..40);
        let _ = writeln!(
            text,
            "freeze(start = \"2026-12-01T08:{from:02}\", end = \"2026-12-01T08:{:02}\", zone = \"UTC\")",
            from + rng.random_range(1..19)
        );
    }
}

/// Returns the text of a random simulation script for a plan.
fn script_text(rng: &mut Pcg64, plan: &Plan) -> String {
    let mut text =
        String::from("start(at = \"2026-12-01T08:00\", build = 1, boot = \"7s\", drain = \"5s\")\n");
    for _ in 0..rng.random_range(1..5) {
        write_votes(&mut text, rng, plan);
    }
    write_approvals(&mut text, rng, plan);
    for _ in 0..rng.random_range(0..6) {
        write_order(&mut text, rng, plan);
    }
    write_disturbances(&mut text, rng, plan);
    text
}

/// Returns a random time within the longest duration that the plan permits.
fn moment_within(rng: &mut Pcg64, plan: &Plan) -> String {
    let minutes = (plan.longest / MINUTE) as i32;
    format!("{}s", rng.random_range(0..minutes * 60))
}

fn write_votes(text: &mut String, rng: &mut Pcg64, plan: &Plan) {
    let verdict = ["on", "on", "on", "on", "hold", "back", "withdraw"][rng.random_range(0..7)];
    let first = rng.random_range(0..plan.fleet.proxies);
    let (first, proxies) =
        if rng.random::<f64>() < 0.6 { (0, plan.fleet.proxies) } else { (first, plan.fleet.proxies - first) };
    let until = if rng.random::<f64>() < 0.3 {
        format!(", until = \"{}\"", moment_within(rng, plan))
    } else {
        String::new()
    };
    let from = if rng.random::<f64>() < 0.6 { "0s".into() } else { moment_within(rng, plan) };
    let _ = writeln!(
        text,
        "votes(at = \"{from}\", first = {first}, proxies = {proxies}, verdict = \"{verdict}\", every = \"{}s\"{until})",
        rng.random_range(3..60)
    );
}

fn write_approvals(text: &mut String, rng: &mut Pcg64, plan: &Plan) {
    for who in ["qa", "plant", "stranger"] {
        for wave in &plan.waves {
            for (function, probability) in [("sign", 0.6), ("unsign", 0.15)] {
                if rng.random::<f64>() < probability {
                    let at = moment_within(rng, plan);
                    let _ = writeln!(
                        text,
                        "{function}(at = \"{at}\", who = \"{who}\", wave = \"{}\")",
                        wave.name
                    );
                }
            }
        }
    }
}

fn write_order(text: &mut String, rng: &mut Pcg64, plan: &Plan) {
    let who = ["on-call", "lead", "lead", "stranger"][rng.random_range(0..4)];
    let what = ["hold", "resume", "resume", "resume", "skip", "back"][rng.random_range(0..6)];
    let _ = writeln!(
        text,
        "order(at = \"{}\", who = \"{who}\", what = \"{what}\", **{{\"for\": \"{}s\"}})",
        moment_within(rng, plan),
        rng.random_range(1..300)
    );
}

/// Sometimes writes the loss of a place, a clock step or an outage of the controller.
fn write_disturbances(text: &mut String, rng: &mut Pcg64, plan: &Plan) {
    if rng.random::<f64>() < 0.3 {
        let _ = writeln!(
            text,
            "lose(at = \"{}\", place = {}, **{{\"for\": \"{}s\"}})",
            moment_within(rng, plan),
            rng.random_range(0..plan.fleet.places),
            rng.random_range(1..400)
        );
    }
    if rng.random::<f64>() < 0.25 {
        let direction = if rng.random() { "ahead" } else { "back" };
        let at = moment_within(rng, plan);
        let _ = writeln!(text, "clock(at = \"{at}\", {direction} = \"{}m\")", rng.random_range(1..120));
    }
    if rng.random::<f64>() < 0.3 {
        let at = moment_within(rng, plan);
        let _ = writeln!(text, "away(at = \"{at}\", **{{\"for\": \"{}s\"}})", rng.random_range(1..600));
    }
}

/// Returns the kind of an error in a plan, recognized by words of its message.
fn error_kind(message: &str) -> &'static str {
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
    kinds.iter().find(|entry| message.contains(entry.0)).map_or("other", |entry| entry.1)
}

/// Totals over all plans of a run.
#[derive(Default)]
struct RunCounts {
    simulated: usize,
    events: usize,
    transitions: usize,
    /// The errors of rejected plans, by kind.
    plan_errors: BTreeMap<&'static str, usize>,
    outcomes: BTreeMap<String, usize>,
}

impl RunCounts {
    fn add_plan_errors(&mut self, errors: Vec<ScriptError>) {
        for error in errors {
            let text = error.to_string();
            if error_kind(&text) == "other" {
                eprintln!("{text}");
            }
            *self.plan_errors.entry(error_kind(&text)).or_default() += 1;
        }
    }
}

fn simulate_random_plans(seed: u64, plan_count: usize) -> RunCounts {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = moment_of("2026-12-01T08:00", "UTC").unwrap();
    let mut counts = RunCounts::default();
    while counts.simulated < plan_count {
        let text = plan_text(&mut rng);
        match read_text("random", &text, &[], start) {
            Ok(plan) => check_simulation(&mut counts, &mut rng, &plan, &text),
            Err(errors) => counts.add_plan_errors(errors),
        }
    }
    counts
}

/// Simulates a plan under a random script, and checks the decisions on every event.
fn check_simulation(counts: &mut RunCounts, rng: &mut Pcg64, plan: &Plan, plan_text: &str) {
    let script_text = script_text(rng, plan);
    let script = violetseam_plan_simulation::read_text("script", &script_text)
        .unwrap_or_else(|error| panic!("{error}\n{script_text}"));
    let mut checker = DecisionChecker::new(plan);
    // A restarted controller knows only the persisted events. From them alone it must reach the same
    // announcements.
    let mut restarted = Release::new(1);
    let run = simulate(plan, &script, &mut |step| {
        counts.events += 1;
        if step.must_persist {
            restarted.on_event(step.now, &step.event);
        }
        let at = step.now.steady / S;
        assert_eq!(
            restarted.announcement(),
            step.after,
            "{plan_text}\nscript: {script:?}\nat {at} s: {step:?}"
        );
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| checker.check(step)));
        if let Err(panic) = result {
            eprintln!("plan:\n{plan_text}\nscript: {script:?}\nat {at} s: {step:?}");
            std::panic::resume_unwind(panic);
        }
    });
    assert!(!run.timeline.is_empty());
    counts.simulated += 1;
    counts.transitions += checker.transitions;
    for (outcome, count) in checker.outcomes {
        *counts.outcomes.entry(outcome).or_default() += count;
    }
}

#[test]
fn every_decision_on_random_plans_follows_the_plan() {
    let counts = simulate_random_plans(11, 120);
    // The random plans must cover the ends of releases and several kinds of errors. Otherwise the checks
    // above could pass without having checked them.
    for outcome in ["released", "back: votes", "back: too long", "back: window"] {
        assert!(counts.outcomes.contains_key(outcome), "{outcome} never: {:?}", counts.outcomes);
    }
    assert!(
        counts.transitions > 300 && counts.plan_errors.len() >= 5,
        "{} {:?}",
        counts.transitions,
        counts.plan_errors
    );
    assert!(!counts.plan_errors.contains_key("other"), "{:?}", counts.plan_errors);
}

/// The checker must be able to fail. It fails when it checks against a stricter plan than the simulated one.
#[test]
fn the_checker_fails_against_a_stricter_plan_than_the_simulated_one() {
    let start = moment_of("2026-12-01T08:00", "UTC").unwrap();
    let text = "plan(name = \"r\", build = 7, longest = \"60m\")\n\
        fleet(proxies = 4, places = 4, vote_ttl = \"30s\", stage_caps = [0.5, 1.0])\n\
        wave(name = \"a\", share = 0.5, cap = 0.5, soak = \"60s\", gate = \"share\", votes = 0.5)\n\
        wave(name = \"b\", share = 1.0, cap = 1.0, soak = \"60s\", gate = \"share\", votes = 0.5)\n";
    let plan = read_text("r", text, &[], start).unwrap();
    let script = violetseam_plan_simulation::default_script(&plan, start, 1);
    let check_fails = |stricter: &dyn Fn(&mut Plan)| {
        let mut other = plan.clone();
        stricter(&mut other);
        let mut checker = DecisionChecker::new(&other);
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            simulate(&plan, &script, &mut |step| checker.check(step));
        }))
        .is_err()
    };
    assert!(!check_fails(&|_| {}), "the checker fails against the simulated plan itself");
    assert!(check_fails(&|p| p.waves[0].soak += 60 * S), "a soak that is too short passes");
    assert!(check_fails(&|p| p.fleet.proxies = 400), "too few votes pass");
    assert!(check_fails(&|p| p.waves[1].cap = 0.9), "a cap that is too high passes");
    assert!(
        check_fails(&|p| p.calendar.freezes.push(violetseam_plan::Freeze {
            start: start + 30 * S,
            end: start + 3_600 * S,
            reason: String::new()
        })),
        "a wave that begins during a freeze passes"
    );
    let add_sign_off = |p: &mut Plan| {
        let (wave, by) = ("b".to_owned(), vec!["qa".to_owned()]);
        p.sign_offs.push(violetseam_plan::SignOff { wave, by, count: 1, within: 3_600 * S });
    };
    assert!(check_fails(&add_sign_off), "a wave without its approval passes");
}

#[test]
#[ignore = "minutes; measured in docs/measurements/plans.md"]
fn thousands_of_random_plans() {
    let counts = simulate_random_plans(2_026, 3_000);
    println!(
        "{} plans simulated, {} events, {} changes of the announcement",
        counts.simulated, counts.events, counts.transitions
    );
    println!("outcomes: {:#?}", counts.outcomes);
    println!("errors of rejected plans: {:#?}", counts.plan_errors);
    assert!(!counts.plan_errors.contains_key("other"));
}
