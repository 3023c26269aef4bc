//! Plans that are sound, contradictions each with its line and reason, and windows over changes of the clocks.

use violetseam_plan::{Calendar, Freeze, Gate, Plan, Window, diff, moment_of, read_text};

const HEAD: &str = "plan(name = \"p\", build = 7, longest = \"12h\")\n\
fleet(proxies = 4, places = 10, vote_ttl = \"60s\", stage_caps = [0.1, 0.5, 1.0], groups = {\"canary\": [3], \"east\": [0, 3, 7]})\n";
const WAVES: &str = "wave(name = \"canary\", groups = [\"canary\"], cap = 0.1, soak = \"10m\", gate = \"any\")\n\
wave(name = \"half\", share = 0.5, cap = 0.5, soak = \"30m\", gate = \"share\", votes = 0.5)\n\
wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"1h\", gate = \"timer\", votes = 0.5, on_close = \"finish\")\n";

/// Tuesday 2026-12-01 08:00 UTC.
fn tuesday() -> u64 {
    at("2026-12-01T08:00", "UTC")
}

fn at(text: &str, zone: &str) -> u64 {
    moment_of(text, zone).unwrap()
}

fn read(text: &str) -> Result<Plan, Vec<String>> {
    read_text("t", text, &[], tuesday())
        .map_err(|faults| faults.into_iter().map(|fault| fault.to_string()).collect())
}

fn sound(more: &str) -> Plan {
    read(&format!("{HEAD}{WAVES}{more}")).unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[test]
fn a_sound_plan_reads_with_its_places_votes_and_powers() {
    let plan = sound(
        "hold(before = \"all\", leave = [\"lead\"], at_most = \"4h\")\n\
         window(days = \"mon-fri\", start = \"07:00\", end = \"16:00\", zone = \"Africa/Nairobi\")\n\
         freeze(start = \"2026-12-24T00:00\", end = \"2027-01-02T00:00\", zone = \"Africa/Nairobi\", reason = \"holidays\")\n\
         sign_off(wave = \"all\", by = [\"qa\", \"plant\"], count = 2, within = \"6h\")\n\
         allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\"])\n",
    );
    assert_eq!(plan.waves[0].places.iter().copied().collect::<Vec<_>>(), [3]);
    assert_eq!((plan.waves[1].places.len(), plan.waves[2].places.len()), (5, 10));
    assert!(plan.waves[1].places.is_superset(&plan.waves[0].places));
    assert_eq!((plan.votes_of(&plan.waves[0]), plan.votes_of(&plan.waves[1])), (1, 2));
    assert_eq!(plan.waves[2].gate, Gate::Timer);
    assert!(
        plan.may("on-call", violetseam_plan::Power::Back) && !plan.may("qa", violetseam_plan::Power::Back)
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "the cases of one table stand together")]
fn each_contradiction_is_refused_with_its_line_and_reason() {
    let wave = |n: usize| WAVES.lines().nth(n).unwrap().to_owned();
    let cases: Vec<(&str, String, &str)> = vec![
        (
            "shares that shrink",
            format!("{HEAD}{}\n{}\n{}\n", wave(0), wave(2), wave(1).replace("cap = 0.5", "cap = 1.0")),
            "t:5: wave \"half\": shrinks",
        ),
        (
            "two waves with one name",
            format!("{HEAD}{}", WAVES.replace("\"half\"", "\"canary\"")),
            "there is one of this name at t:3",
        ),
        (
            "cap over a stage's",
            format!("{HEAD}{}", WAVES.replace("cap = 0.1", "cap = 0.2")),
            "t:3: wave \"canary\": cap 0.2 over the 0.1 that stage 0 permits",
        ),
        (
            "falling cap",
            format!("{HEAD}{}", WAVES.replace("cap = 1.0", "cap = 0.4")),
            "cap 0.4 under the 0.5 of wave \"half\"",
        ),
        (
            "more waves than stages",
            format!("{HEAD}{WAVES}{}", wave(2).replace("\"all\"", "\"again\"")),
            "the proxies know 3 stages",
        ),
        (
            "last wave not all",
            format!("{HEAD}{}", WAVES.replace("share = 1.0", "share = 0.9")),
            "leaves 1 places without the build",
        ),
        (
            "votes nobody can cast",
            format!("{HEAD}{}", WAVES.replace("votes = 0.5)", "votes = 1.5)")),
            "t:4: wave \"half\": votes of 1.5 of the proxies cannot be cast",
        ),
        (
            "votes not within their life",
            format!("{}{WAVES}", HEAD.replace("proxies = 4", "proxies = 480, votes_per_s = 2.0")),
            "240 votes at 2 a second are not there within a vote's 60.0 s",
        ),
        (
            "back votes not within their life",
            format!("{}{WAVES}", HEAD.replace("proxies = 4", "proxies = 480, votes_per_s = 2.0")),
            "160 'back' votes are not taken",
        ),
        (
            "sign-off of nobody",
            format!("{HEAD}{WAVES}sign_off(wave = \"all\", by = [], within = \"1h\")\n"),
            "t:6: sign_off: asked of nobody",
        ),
        (
            "sign-off of too few",
            format!("{HEAD}{WAVES}sign_off(wave = \"all\", by = [\"a\"], count = 2, within = \"1h\")\n"),
            "2 approvals from 1 people",
        ),
        (
            "sign-off of no wave",
            format!("{HEAD}{WAVES}sign_off(wave = \"none\", by = [\"a\"], within = \"1h\")\n"),
            "no wave \"none\"",
        ),
        (
            "sign-off past the limit",
            format!("{HEAD}{WAVES}sign_off(wave = \"all\", by = [\"a\"], within = \"13h\")\n"),
            "at most the plan's longest",
        ),
        (
            "hold without a way out",
            format!("{HEAD}{WAVES}hold(before = \"all\")\n"),
            "t:6: hold: has no way out",
        ),
        (
            "two holds",
            format!(
                "{HEAD}{WAVES}hold(before = \"all\", at_most = \"1h\")\nhold(before = \"all\", at_most = \"2h\")\n"
            ),
            "there is one already",
        ),
        (
            "operator's hold without a way out",
            format!("{HEAD}{WAVES}allow(who = \"a\", may = [\"hold\"])\n"),
            "nobody may resume",
        ),
        (
            "windows that never open",
            format!(
                "{HEAD}{WAVES}window(days = \"sun\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n"
            ),
            "t:6: no window opens within the plan's 12.0 h",
        ),
        (
            "windows in a freeze",
            format!(
                "{HEAD}{WAVES}window(days = \"mon-sun\", start = \"00:00\", end = \"24:00\", zone = \"UTC\")\nfreeze(start = \"2026-11-30T00:00\", end = \"2026-12-05T00:00\", zone = \"UTC\")\n"
            ),
            "no window opens within",
        ),
        (
            "a soak no window fits",
            format!(
                "{HEAD}{}window(days = \"mon-sun\", start = \"09:00\", end = \"09:20\", zone = \"UTC\")\n",
                WAVES.replace(
                    "votes = 0.5)\nwave(name = \"all\"",
                    "votes = 0.5, on_close = \"back\")\nwave(name = \"all\""
                )
            ),
            "no window fits its soak of 30.0 min",
        ),
        (
            "soaks longer than the open time",
            format!(
                "{HEAD}{WAVES}window(days = \"mon-sun\", start = \"09:00\", end = \"09:30\", zone = \"UTC\")\n"
            ),
            "the soaks need 40.0 min of open windows, there are 30.0 min",
        ),
        (
            "soaks longer than the limit",
            format!("{}{WAVES}", HEAD.replace("\"12h\"", "\"1h\"")),
            "longest is 60.0 min",
        ),
        ("no waves", HEAD.to_owned(), "t: no wave(...)"),
        (
            "no such group",
            format!("{HEAD}{}", WAVES.replace("[\"canary\"]", "[\"west\"]")),
            "t:3: wave \"canary\": the fleet has no group \"west\"",
        ),
        (
            "both share and groups",
            format!("{HEAD}{}", WAVES.replace("groups = ", "share = 0.1, groups = ")),
            "either share or groups",
        ),
        (
            "no such zone",
            format!(
                "{HEAD}{WAVES}window(days = \"mon\", start = \"07:00\", end = \"16:00\", zone = \"Mars/Base\")\n"
            ),
            "t:6: window: no time zone \"Mars/Base\"",
        ),
        (
            "no such day",
            format!(
                "{HEAD}{WAVES}window(days = \"moonday\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n"
            ),
            "are no days",
        ),
        ("unknown argument", format!("{HEAD}{WAVES}hold(befor = \"all\")\n"), "t:6: hold: "),
        (
            "a timer that does not wait",
            format!("{HEAD}{}", WAVES.replace("soak = \"1h\"", "soak = \"0s\"")),
            "a timer without a soak",
        ),
        (
            "endless",
            format!(
                "{HEAD}{WAVES}def f(n):\n    for i in range(100000):\n        for j in range(100000):\n            n = n + 1\n    return n\nf(0)\n"
            ),
            "t:",
        ),
    ];
    for (what, text, reason) in cases {
        let faults = read(&text).expect_err(what);
        assert!(faults.iter().any(|f| f.contains(reason)), "{what}: wanted {reason:?}, got {faults:?}");
    }
}

#[test]
fn all_faults_are_told_together() {
    let text = format!(
        "{HEAD}{}hold(before = \"nowhere\")\nsign_off(wave = \"all\", by = [], within = \"1h\")\n",
        WAVES.replace("cap = 0.1", "cap = 0.2")
    );
    let faults = read(&text).unwrap_err();
    assert!(faults.len() >= 4, "{faults:?}");
}

#[test]
fn differences_are_told_in_words() {
    let (a, b) = (sound(""), sound("hold(before = \"all\", at_most = \"1h\")\n"));
    assert_eq!(diff(&a, &a), Vec::<String>::new());
    assert!(diff(&a, &b).iter().any(|line| line.starts_with("hold new")));
    let mut c = a.clone();
    c.waves[1].cap = 0.4;
    assert_eq!(diff(&a, &c), ["wave \"half\": cap: 0.5 -> 0.4"]);
}

fn calendar(zone: &str, days: &[u8], start: u16, end: u16) -> Calendar {
    let window = Window { days: days.to_vec(), start, end, zone: zone.into() };
    Calendar { windows: vec![window], freezes: Vec::new() }
}

const EVERY: [u8; 7] = [0, 1, 2, 3, 4, 5, 6];
const MINUTE: u64 = 60_000_000;

#[test]
fn the_hour_that_is_skipped_and_the_hour_that_comes_twice() {
    // London, 2027-03-28: 01:00 GMT becomes 02:00 BST.
    let jump = at("2027-03-28T00:00", "UTC") + 60 * MINUTE;
    let over = calendar("Europe/London", &EVERY, 30, 150).open_spans(jump - 60 * MINUTE, jump + 180 * MINUTE);
    assert_eq!(over, [(jump - 30 * MINUTE, jump + 30 * MINUTE)], "00:30 to 02:30 is an hour that day");
    let starts_inside = calendar("Europe/London", &EVERY, 90, 180);
    assert_eq!(
        starts_inside.open_spans(jump - 60 * MINUTE, jump + 600 * MINUTE),
        [(jump, jump + 60 * MINUTE)]
    );
    let ends_inside = calendar("Europe/London", &EVERY, 0, 90);
    assert_eq!(ends_inside.open_spans(jump - 60 * MINUTE, jump + 600 * MINUTE), [(jump - 60 * MINUTE, jump)]);
    let swallowed = calendar("Europe/London", &EVERY, 75, 105);
    assert_eq!(swallowed.open_spans(jump - 60 * MINUTE, jump + 600 * MINUTE), []);
    // London, 2027-10-31: 02:00 BST becomes 01:00 GMT; 01:00 UTC.
    let fold = at("2027-10-31T00:00", "UTC") + 60 * MINUTE;
    let around =
        calendar("Europe/London", &EVERY, 30, 150).open_spans(fold - 120 * MINUTE, fold + 240 * MINUTE);
    assert_eq!(around, [(fold - 90 * MINUTE, fold + 90 * MINUTE)], "00:30 to 02:30 is three hours that day");
    let ends_inside = calendar("Europe/London", &EVERY, 30, 90);
    let spans = ends_inside.open_spans(fold - 120 * MINUTE, fold + 240 * MINUTE);
    assert_eq!(spans, [(fold - 90 * MINUTE, fold - 30 * MINUTE)], "once, and not again in the second 01:30");
    // Lord Howe's clocks move by half an hour: 2027-04-04, 02:00 becomes 01:30.
    let half = calendar("Australia/Lord_Howe", &EVERY, 60, 180);
    let day = at("2027-04-04T00:00", "Australia/Lord_Howe");
    assert_eq!(half.open_time(day, day + 1_440 * MINUTE), 150 * MINUTE);
}

#[test]
fn windows_over_midnight_and_freezes() {
    let night = calendar("UTC", &[4], 22 * 60, 6 * 60);
    let friday = at("2026-12-04T00:00", "UTC");
    assert!(!night.is_open(friday + 60 * MINUTE), "Thursday night has none");
    assert!(night.is_open(friday + 23 * 60 * MINUTE));
    assert!(night.is_open(friday + 29 * 60 * MINUTE), "until Saturday morning");
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
