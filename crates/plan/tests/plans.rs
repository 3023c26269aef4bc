//! Valid plans, plans with contradictions, which are rejected with a line and a reason, and windows on days
//! on which clocks change.

use violetseam_plan::{
    Calendar, Freeze, Gate, OpenInterval, Plan, Power, Window, diff, moment_of, read_text,
};

/// The `plan` and `fleet` sections of a valid plan.
const HEAD: &str = "plan(name = \"p\", build = 7, longest = \"12h\")\n\
fleet(proxies = 4, places = 10, vote_ttl = \"60s\", stage_caps = [0.1, 0.5, 1.0], groups = {\"canary\": [3], \"east\": [0, 3, 7]})\n";
/// The waves of a valid plan.
const WAVES: &str = "wave(name = \"canary\", groups = [\"canary\"], cap = 0.1, soak = \"10m\", gate = \"any\")\n\
wave(name = \"half\", share = 0.5, cap = 0.5, soak = \"30m\", gate = \"share\", votes = 0.5)\n\
wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"1h\", gate = \"timer\", votes = 0.5, on_close = \"finish\")\n";

/// The time at which the tests offer the release: Tuesday 2026-12-01 08:00 UTC.
fn tuesday() -> u64 {
    at("2026-12-01T08:00", "UTC")
}

fn at(text: &str, zone: &str) -> u64 {
    moment_of(text, zone).unwrap()
}

fn read(text: &str) -> Result<Plan, Vec<String>> {
    read_text("t", text, &[], tuesday()).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

/// Reads a valid plan with these additional sections.
fn valid_plan(additional_sections: &str) -> Plan {
    read(&format!("{HEAD}{WAVES}{additional_sections}")).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn a_valid_plan_has_the_expected_places_votes_and_permissions() {
    let plan = valid_plan(
        "hold(before = \"all\", leave = [\"lead\"], at_most = \"4h\")\n\
         window(days = \"mon-fri\", start = \"07:00\", end = \"16:00\", zone = \"Africa/Nairobi\")\n\
         freeze(start = \"2026-12-24T00:00\", end = \"2027-01-02T00:00\", zone = \"Africa/Nairobi\", reason = \"holidays\")\n\
         sign_off(wave = \"all\", by = [\"qa\", \"plant\"], count = 2, within = \"6h\")\n\
         allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\"])\n",
    );
    assert_eq!(plan.waves[0].places.iter().copied().collect::<Vec<_>>(), [3]);
    assert_eq!((plan.waves[1].places.len(), plan.waves[2].places.len()), (5, 10));
    assert!(plan.waves[1].places.is_superset(&plan.waves[0].places));
    assert_eq!((plan.deciding_votes(&plan.waves[0]), plan.deciding_votes(&plan.waves[1])), (1, 2));
    assert_eq!(plan.waves[2].gate, Gate::Timer);
    assert!(plan.permits("on-call", Power::Back));
    assert!(!plan.permits("qa", Power::Back));
}

/// A plan with a contradiction, and a part of the expected error message.
struct Contradiction {
    name: &'static str,
    text: String,
    error: &'static str,
}

/// Returns the line of one wave of the valid plan.
fn wave_line(stage: usize) -> String {
    WAVES.lines().nth(stage).unwrap().to_owned()
}

fn assert_all_rejected(contradictions: &[Contradiction]) {
    for Contradiction { name, text, error } in contradictions {
        let errors = read(text).expect_err(name);
        assert!(errors.iter().any(|text| text.contains(error)), "{name}: expected {error:?}, got {errors:?}");
    }
}

#[test]
fn contradictions_of_waves_are_rejected() {
    assert_all_rejected(&[
        Contradiction {
            name: "places that are not in the next wave",
            text: format!(
                "{HEAD}{}\n{}\n{}\n",
                wave_line(0),
                wave_line(2),
                wave_line(1).replace("cap = 0.5", "cap = 1.0")
            ),
            error: "t:5: wave \"half\": shrinks",
        },
        Contradiction {
            name: "two waves with one name",
            text: format!("{HEAD}{}", WAVES.replace("\"half\"", "\"canary\"")),
            error: "there is one of this name at t:3",
        },
        Contradiction {
            name: "cap above the maximum of its stage",
            text: format!("{HEAD}{}", WAVES.replace("cap = 0.1", "cap = 0.2")),
            error: "t:3: wave \"canary\": cap 0.2 over the 0.1 that stage 0 permits",
        },
        Contradiction {
            name: "cap below that of the wave before",
            text: format!("{HEAD}{}", WAVES.replace("cap = 1.0", "cap = 0.4")),
            error: "cap 0.4 under the 0.5 of wave \"half\"",
        },
        Contradiction {
            name: "more waves than stages",
            text: format!("{HEAD}{WAVES}{}", wave_line(2).replace("\"all\"", "\"again\"")),
            error: "the proxies know 3 stages",
        },
        Contradiction {
            name: "last wave without all places",
            text: format!("{HEAD}{}", WAVES.replace("share = 1.0", "share = 0.9")),
            error: "leaves 1 places without the build",
        },
        Contradiction { name: "no waves", text: HEAD.to_owned(), error: "t: no wave(...)" },
        Contradiction {
            name: "unknown group",
            text: format!("{HEAD}{}", WAVES.replace("[\"canary\"]", "[\"west\"]")),
            error: "t:3: wave \"canary\": the fleet has no group \"west\"",
        },
        Contradiction {
            name: "both share and groups",
            text: format!("{HEAD}{}", WAVES.replace("groups = ", "share = 0.1, groups = ")),
            error: "either share or groups",
        },
    ]);
}

#[test]
fn votes_and_gates_that_cannot_decide_are_rejected() {
    assert_all_rejected(&[
        Contradiction {
            name: "more votes than proxies",
            text: format!("{HEAD}{}", WAVES.replace("votes = 0.5)", "votes = 1.5)")),
            error: "t:4: wave \"half\": votes of 1.5 of the proxies cannot be cast",
        },
        Contradiction {
            name: "votes that expire before enough are accepted",
            text: format!("{}{WAVES}", HEAD.replace("proxies = 4", "proxies = 480, votes_per_s = 2.0")),
            error: "240 votes at 2 a second are not there within a vote's 60.0 s",
        },
        Contradiction {
            name: "rollback votes that expire before enough are accepted",
            text: format!("{}{WAVES}", HEAD.replace("proxies = 4", "proxies = 480, votes_per_s = 2.0")),
            error: "160 'back' votes are not taken",
        },
        Contradiction {
            name: "timer gate without a soak",
            text: format!("{HEAD}{}", WAVES.replace("soak = \"1h\"", "soak = \"0s\"")),
            error: "a timer without a soak",
        },
    ]);
}

#[test]
fn sign_offs_and_holds_that_cannot_end_are_rejected() {
    assert_all_rejected(&[
        Contradiction {
            name: "sign-off without approvers",
            text: format!("{HEAD}{WAVES}sign_off(wave = \"all\", by = [], within = \"1h\")\n"),
            error: "t:6: sign_off: asked of nobody",
        },
        Contradiction {
            name: "sign-off with more approvals than approvers",
            text: format!(
                "{HEAD}{WAVES}sign_off(wave = \"all\", by = [\"a\"], count = 2, within = \"1h\")\n"
            ),
            error: "2 approvals from 1 people",
        },
        Contradiction {
            name: "sign-off of an unknown wave",
            text: format!("{HEAD}{WAVES}sign_off(wave = \"none\", by = [\"a\"], within = \"1h\")\n"),
            error: "no wave \"none\"",
        },
        Contradiction {
            name: "sign-off after the maximum duration of the release",
            text: format!("{HEAD}{WAVES}sign_off(wave = \"all\", by = [\"a\"], within = \"13h\")\n"),
            error: "at most the plan's longest",
        },
        Contradiction {
            name: "hold that cannot end",
            text: format!("{HEAD}{WAVES}hold(before = \"all\")\n"),
            error: "t:6: hold: has no way out",
        },
        Contradiction {
            name: "two holds before one wave",
            text: format!(
                "{HEAD}{WAVES}hold(before = \"all\", at_most = \"1h\")\nhold(before = \"all\", at_most = \"2h\")\n"
            ),
            error: "there is one already",
        },
        Contradiction {
            name: "operator's hold that nobody can end",
            text: format!("{HEAD}{WAVES}allow(who = \"a\", may = [\"hold\"])\n"),
            error: "nobody may resume",
        },
    ]);
}

#[test]
fn windows_and_soaks_that_do_not_fit_are_rejected() {
    assert_all_rejected(&[
        Contradiction {
            name: "windows that never open",
            text: format!(
                "{HEAD}{WAVES}window(days = \"sun\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n"
            ),
            error: "t:6: no window opens within the plan's 12.0 h",
        },
        Contradiction {
            name: "windows that are entirely within a freeze",
            text: format!(
                "{HEAD}{WAVES}window(days = \"mon-sun\", start = \"00:00\", end = \"24:00\", zone = \"UTC\")\nfreeze(start = \"2026-11-30T00:00\", end = \"2026-12-05T00:00\", zone = \"UTC\")\n"
            ),
            error: "no window opens within",
        },
        Contradiction {
            name: "soak that is longer than any window",
            text: format!(
                "{HEAD}{}window(days = \"mon-sun\", start = \"09:00\", end = \"09:20\", zone = \"UTC\")\n",
                WAVES.replace(
                    "votes = 0.5)\nwave(name = \"all\"",
                    "votes = 0.5, on_close = \"back\")\nwave(name = \"all\""
                )
            ),
            error: "no window fits its soak of 30.0 min",
        },
        Contradiction {
            name: "soaks that are longer than the open time",
            text: format!(
                "{HEAD}{WAVES}window(days = \"mon-sun\", start = \"09:00\", end = \"09:30\", zone = \"UTC\")\n"
            ),
            error: "the soaks need 40.0 min of open windows, there are 30.0 min",
        },
        Contradiction {
            name: "soaks that are longer than the maximum duration of the release",
            text: format!("{}{WAVES}", HEAD.replace("\"12h\"", "\"1h\"")),
            error: "longest is 60.0 min",
        },
        Contradiction {
            name: "unknown time zone",
            text: format!(
                "{HEAD}{WAVES}window(days = \"mon\", start = \"07:00\", end = \"16:00\", zone = \"Mars/Base\")\n"
            ),
            error: "t:6: window: no time zone \"Mars/Base\"",
        },
        Contradiction {
            name: "unknown weekday",
            text: format!(
                "{HEAD}{WAVES}window(days = \"moonday\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n"
            ),
            error: "are no days",
        },
    ]);
}

#[test]
fn unknown_arguments_and_endless_scripts_are_rejected() {
    assert_all_rejected(&[
        Contradiction {
            name: "unknown argument",
            text: format!("{HEAD}{WAVES}hold(befor = \"all\")\n"),
            error: "t:6: hold: ",
        },
        Contradiction {
            name: "endless script",
            text: format!(
                "{HEAD}{WAVES}def f(n):\n    for i in range(100000):\n        for j in range(100000):\n            n = n + 1\n    return n\nf(0)\n"
            ),
            error: "t:",
        },
    ]);
}

#[test]
fn all_errors_are_reported_together() {
    let text = format!(
        "{HEAD}{}hold(before = \"nowhere\")\nsign_off(wave = \"all\", by = [], within = \"1h\")\n",
        WAVES.replace("cap = 0.1", "cap = 0.2")
    );
    let errors = read(&text).unwrap_err();
    assert!(errors.len() >= 4, "{errors:?}");
}

#[test]
fn diff_describes_new_holds_and_changed_caps() {
    let (plan, with_hold) = (valid_plan(""), valid_plan("hold(before = \"all\", at_most = \"1h\")\n"));
    assert_eq!(diff(&plan, &plan), Vec::<String>::new());
    assert!(diff(&plan, &with_hold).iter().any(|line| line.starts_with("hold new")));
    let mut with_lower_cap = plan.clone();
    with_lower_cap.waves[1].cap = 0.4;
    assert_eq!(diff(&plan, &with_lower_cap), ["wave \"half\": cap: 0.5 -> 0.4"]);
}

fn calendar(zone: &str, days: &[u8], start: u16, end: u16) -> Calendar {
    let window = Window { days: days.to_vec(), start, end, zone: zone.into() };
    Calendar { windows: vec![window], freezes: Vec::new() }
}

const EVERY_DAY: [u8; 7] = [0, 1, 2, 3, 4, 5, 6];
const MINUTE: u64 = 60_000_000;

fn interval(start: u64, end: u64) -> OpenInterval {
    OpenInterval { start, end }
}

#[test]
fn windows_on_a_day_with_a_skipped_hour() {
    // In London on 2027-03-28, clocks are set forward from 01:00 GMT to 02:00 BST.
    let skip_moment = at("2027-03-28T00:00", "UTC") + 60 * MINUTE;
    let spanning = calendar("Europe/London", &EVERY_DAY, 30, 150);
    assert_eq!(
        spanning.open_intervals(skip_moment - 60 * MINUTE, skip_moment + 180 * MINUTE),
        [interval(skip_moment - 30 * MINUTE, skip_moment + 30 * MINUTE)],
        "00:30 to 02:30 is one hour long on that day"
    );
    let open_on_that_day = |start, end| {
        let calendar = calendar("Europe/London", &EVERY_DAY, start, end);
        calendar.open_intervals(skip_moment - 60 * MINUTE, skip_moment + 600 * MINUTE)
    };
    assert_eq!(
        open_on_that_day(90, 180),
        [interval(skip_moment, skip_moment + 60 * MINUTE)],
        "the start is in the skipped hour"
    );
    assert_eq!(
        open_on_that_day(0, 90),
        [interval(skip_moment - 60 * MINUTE, skip_moment)],
        "the end is in the skipped hour"
    );
    assert_eq!(open_on_that_day(75, 105), [], "the window is in the skipped hour");
}

#[test]
fn windows_on_a_day_with_a_repeated_hour() {
    // In London on 2027-10-31, clocks are set back from 02:00 BST to 01:00 GMT, at 01:00 UTC.
    let fold_moment = at("2027-10-31T00:00", "UTC") + 60 * MINUTE;
    let open_on_that_day = |start, end| {
        let calendar = calendar("Europe/London", &EVERY_DAY, start, end);
        calendar.open_intervals(fold_moment - 120 * MINUTE, fold_moment + 240 * MINUTE)
    };
    assert_eq!(
        open_on_that_day(30, 150),
        [interval(fold_moment - 90 * MINUTE, fold_moment + 90 * MINUTE)],
        "00:30 to 02:30 is three hours long on that day"
    );
    assert_eq!(
        open_on_that_day(30, 90),
        [interval(fold_moment - 90 * MINUTE, fold_moment - 30 * MINUTE)],
        "the window closes at the first 01:30 and does not open again before the second"
    );
    // On Lord Howe Island, clocks change by half an hour: on 2027-04-04, they are set back from 02:00 to
    // 01:30.
    let half_hour_fold = calendar("Australia/Lord_Howe", &EVERY_DAY, 60, 180);
    let day = at("2027-04-04T00:00", "Australia/Lord_Howe");
    assert_eq!(half_hour_fold.open_time(day, day + 1_440 * MINUTE), 150 * MINUTE);
}

#[test]
fn windows_across_midnight_and_freezes() {
    let night = calendar("UTC", &[4], 22 * 60, 6 * 60);
    let friday = at("2026-12-04T00:00", "UTC");
    assert!(!night.is_open(friday + 60 * MINUTE), "no window opened on Thursday night");
    assert!(night.is_open(friday + 23 * 60 * MINUTE));
    assert!(night.is_open(friday + 29 * 60 * MINUTE), "the window is open until Saturday morning");
    assert!(!night.is_open(friday + 30 * 60 * MINUTE));
    let mut frozen = night.clone();
    let (start, end) = (friday + 23 * 60 * MINUTE, friday + 25 * 60 * MINUTE);
    frozen.freezes.push(Freeze { start, end, reason: String::new() });
    assert_eq!(frozen.open_time(friday, friday + 2 * 1_440 * MINUTE), 6 * 60 * MINUTE);
    assert_eq!(frozen.next_change(start - MINUTE, u64::MAX), Some(start));
    assert_eq!(frozen.next_open(start, u64::MAX), Some(end));
    assert_eq!(Calendar::default().next_change(friday, u64::MAX), None);
    assert!(Calendar::default().is_open(friday));
}
