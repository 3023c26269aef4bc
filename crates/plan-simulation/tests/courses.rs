//! What releases do when something comes at the wrong moment.

use violetseam_plan::{Plan, moment_of, read_text};
use violetseam_plan_simulation::{Sample, Script, SimulationRun, simulate};
use violetseam_release::{Announcement, Event, Now, Order, Phase, PlaceState, Release, Reply, Verdict, Vote};

const S: u64 = 1_000_000;

fn start() -> u64 {
    moment_of("2026-12-01T08:00", "UTC").unwrap()
}

fn plan(more: &str) -> Plan {
    plan_with("hold", more)
}

fn plan_with(on_close: &str, more: &str) -> Plan {
    plan_at(start(), on_close, more)
}

fn plan_at(at: u64, on_close: &str, more: &str) -> Plan {
    let text = format!(
        "plan(name = \"p\", build = 7, longest = \"8h\")\n\
         fleet(proxies = 4, places = 4, vote_ttl = \"30s\", stage_caps = [0.25, 1.0], votes_back = 0.5)\n\
         wave(name = \"first\", share = 0.25, cap = 0.25, soak = \"10m\", gate = \"share\", votes = 0.5, on_close = \"{on_close}\")\n\
         wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"10m\", gate = \"share\", votes = 0.5, on_close = \"{on_close}\")\n\
         allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\"])\n{more}"
    );
    read_text("p", &text, &[], at).unwrap_or_else(|f| panic!("{f:?}"))
}

fn script(text: &str) -> Script {
    let base = "start(at = \"2026-12-01T08:00\", build = 1)\n";
    violetseam_plan_simulation::read_text("s", &format!("{base}{text}")).unwrap_or_else(|e| panic!("{e}"))
}

const ALL_ON: &str = "votes(proxies = 4, verdict = \"on\", every = \"10s\")\n";

fn run_script(plan: &Plan, text: &str) -> SimulationRun {
    simulate(plan, &script(text), &mut |_| {})
}

/// Minutes from the offer at which the release entered a phase and stage.
fn minute(run: &SimulationRun, phase: Phase, stage: u8) -> Option<u64> {
    let entered =
        run.announcements.iter().find(|sample| (sample.value.phase, sample.value.stage) == (phase, stage));
    entered.map(|sample| sample.at / (60 * S))
}

#[test]
fn a_plain_release_takes_its_soaks_and_runs_everywhere() {
    let p = run_script(&plan(""), ALL_ON);
    assert_eq!(minute(&p, Phase::Trial, 0), Some(0));
    assert_eq!(minute(&p, Phase::Trial, 1), Some(10));
    assert_eq!(minute(&p, Phase::Released, 1), Some(20));
    assert_eq!(p.running_places.last().map(|sample| sample.value), Some(4));
    assert!(p.final_status.contains("released"));
}

#[test]
fn a_window_that_closes_in_the_middle_of_a_wave_holds_finishes_or_goes_back() {
    // Closes five minutes into the first wave, opens again at ten.
    let windows = "window(days = \"mon-sun\", start = \"08:00\", end = \"08:05\", zone = \"UTC\")\n\
                   window(days = \"mon-sun\", start = \"10:00\", end = \"16:00\", zone = \"UTC\")\n";
    let held = run_script(&plan_with("hold", windows), ALL_ON);
    assert_eq!(minute(&held, Phase::Trial, 1), Some(125), "five minutes of soak before, five after");
    let finished = run_script(&plan_with("finish", windows), ALL_ON);
    assert_eq!(minute(&finished, Phase::Trial, 1), Some(120), "soaked on, and waited for a window to move");
    let back = run_script(&plan_with("back", windows), ALL_ON);
    assert_eq!(minute(&back, Phase::RollingBack, 0), Some(5));
    assert!(
        back.final_status.contains("the window closed") && back.running_places.last().unwrap().value == 0
    );
}

#[test]
fn approvals_after_a_call_back_withdrawn_at_the_gate_or_not_in_time() {
    let asked = "sign_off(wave = \"all\", by = [\"qa\", \"plant\"], count = 2, within = \"2h\")\n";
    let p = plan(asked);
    let good = format!(
        "{ALL_ON}sign(at = \"30m\", who = \"qa\", wave = \"all\")\nsign(at = \"40m\", who = \"plant\", wave = \"all\")\n"
    );
    assert_eq!(minute(&run_script(&p, &good), Phase::Trial, 1), Some(40));
    // Withdrawn in the very turn in which the second comes: the gate does not open.
    let withdrawn = format!(
        "{good}unsign(at = \"40m\", who = \"qa\", wave = \"all\")\nsign(at = \"50m\", who = \"qa\", wave = \"all\")\n"
    );
    assert_eq!(minute(&run_script(&p, &withdrawn), Phase::Trial, 1), Some(50));
    let late = run_script(
        &p,
        &format!(
            "{ALL_ON}sign(at = \"30m\", who = \"qa\", wave = \"all\")\nsign(at = \"121m\", who = \"plant\", wave = \"all\")\n"
        ),
    );
    assert_eq!(minute(&late, Phase::RollingBack, 0), Some(120));
    assert!(late.final_status.contains("not approved in time"), "{}", late.final_status);
    let called = run_script(&p, &format!("order(at = \"20m\", who = \"on-call\", what = \"back\")\n{good}"));
    assert_eq!(minute(&called, Phase::Trial, 1), None);
    assert!(called.final_status.contains("called back by on-call"));
}

#[test]
fn wall_clocks_that_step_move_no_soak_and_no_vote() {
    let windows = "window(days = \"mon-sun\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n";
    let p = plan(windows);
    let plain = run_script(&p, ALL_ON).announcements;
    let back = run_script(&p, &format!("{ALL_ON}clock(at = \"5m\", back = \"40m\")\n")).announcements;
    let times = |samples: &[Sample<Announcement>]| {
        samples.iter().map(|sample| sample.at / (30 * S)).collect::<Vec<_>>()
    };
    assert_eq!(times(&plain), times(&back), "a step back repeats nothing and delays nothing");
    // Forwards over the whole window: it is night by that clock, and nothing moves until the clock is set
    // right.
    let night = run_script(
        &p,
        &format!("{ALL_ON}clock(at = \"5m\", ahead = \"12h\")\nclock(at = \"65m\", back = \"12h\")\n"),
    );
    assert_eq!(minute(&night, Phase::Trial, 1), Some(70));
    // Forwards by weeks: the longest a release may take is not over for that.
    let weeks = run_script(&p, &format!("{ALL_ON}clock(at = \"5m\", ahead = \"20d\")\n"));
    assert_eq!(minute(&weeks, Phase::Released, 1), Some(20));
}

#[test]
fn the_two_hours_of_a_change_of_the_clocks() {
    // London goes from 01:00 to 02:00 on 2027-03-28 and from 02:00 back to 01:00 on 2027-10-31.
    let windows = "window(days = \"sun\", start = \"00:30\", end = \"02:30\", zone = \"Europe/London\")\n";
    let text =
        |date: &str| format!("start(at = \"{date}T00:30\", zone = \"Europe/London\", build = 1)\n{ALL_ON}");
    let run = |date: &str| {
        let at = moment_of(&format!("{date}T00:30"), "Europe/London").unwrap();
        let mut p = plan_at(at, "hold", windows);
        p.waves[0].soak = 3_000 * S;
        p.waves[1].soak = 3_000 * S;
        let script = violetseam_plan_simulation::read_text("s", &text(date)).unwrap();
        simulate(&p, &script, &mut |_| {})
    };
    // One hour is open in March: the first wave fits, the second soaks ten minutes of fifty.
    let spring = run("2027-03-28");
    assert_eq!(minute(&spring, Phase::Trial, 1), Some(50));
    assert_eq!(minute(&spring, Phase::Released, 1), None, "it would have released outside its window");
    // Three are in October: both fit.
    let autumn = run("2027-10-31");
    assert_eq!(minute(&autumn, Phase::Released, 1), Some(100));
}

#[test]
fn time_without_a_controller_counts_as_the_plan_says_and_votes_do_not_outlive_it() {
    let stops = plan("");
    let mut counts = stops.clone();
    counts.downtime = violetseam_plan::Downtime::Counts;
    // Proxies vote until the controller goes away, five minutes into the first wave, and an hour after it.
    let text = "votes(proxies = 4, verdict = \"on\", every = \"10s\", until = \"5m\")\n\
                away(at = \"5m\", **{\"for\": \"20m\"})\nvotes(at = \"40m\", proxies = 4, verdict = \"on\", every = \"10s\")\n";
    let stopped = run_script(&stops, text);
    assert_eq!(minute(&stopped, Phase::Trial, 1), Some(40));
    let counted = run_script(&counts, text);
    assert_eq!(
        minute(&counted, Phase::Trial, 1),
        Some(40),
        "soaked while away, and not on votes from before"
    );
    let voted =
        "votes(proxies = 4, verdict = \"on\", every = \"10s\")\naway(at = \"5m\", **{\"for\": \"20m\"})\n";
    assert_eq!(minute(&run_script(&counts, voted), Phase::Trial, 1), Some(25));
    let still = minute(&run_script(&stops, voted), Phase::Trial, 1);
    assert!(still == Some(30) || still == Some(29), "{still:?}");
}

#[test]
fn a_release_that_takes_too_long_goes_back_and_holds_can_be_left() {
    let never = run_script(&plan(""), "");
    assert_eq!(minute(&never, Phase::RollingBack, 0), Some(480));
    assert!(never.final_status.contains("longer than its plan permits"));
    let hold = "hold(before = \"all\", leave = [\"lead\"], at_most = \"3h\")\n";
    assert_eq!(minute(&run_script(&plan(hold), ALL_ON), Phase::Trial, 1), Some(180));
    let left = format!(
        "{ALL_ON}order(at = \"60m\", who = \"on-call\", what = \"resume\")\norder(at = \"70m\", who = \"lead\", what = \"resume\")\n"
    );
    assert_eq!(
        minute(&run_script(&plan(hold), &left), Phase::Trial, 1),
        Some(70),
        "on-call may not leave the plan's hold"
    );
    let stopped =
        format!("{ALL_ON}order(at = \"2m\", who = \"on-call\", what = \"hold\", **{{\"for\": \"30m\"}})\n");
    assert_eq!(
        minute(&run_script(&plan(""), &stopped), Phase::Trial, 1),
        Some(40),
        "an operator's hold ends by itself"
    );
    let stranger =
        run_script(&plan(""), &format!("{ALL_ON}order(at = \"2m\", who = \"stranger\", what = \"back\")\n"));
    assert_eq!(minute(&stranger, Phase::Released, 1), Some(20));
    assert!(stranger.timeline.iter().any(|e| e.text.contains("does not allow stranger")));
}

#[test]
fn places_that_do_not_come_up_hold_a_wave_up_only_for_the_launch() {
    let mut p = plan("");
    p.waves[0].places = [0, 1].into();
    let lost = format!("lose(at = \"0s\", place = 0, **{{\"for\": \"7h\"}})\n{ALL_ON}");
    let minutes = minute(&run_script(&p, &lost), Phase::Trial, 1);
    assert_eq!(minutes, Some(15), "five minutes of launch, then the soak");
}

// From here on without the simulation, event by event.

/// A release that gets single events.
struct DirectRelease {
    release: Release,
    now: Now,
}

impl DirectRelease {
    fn new(plan: &Plan) -> DirectRelease {
        let mut d = DirectRelease { release: Release::new(1), now: Now { wall: start(), steady: 0 } };
        d.apply(Event::Started);
        assert_eq!(d.apply(Event::Offer(Box::new(plan.clone()))), Reply::Accepted);
        d.apply(Event::Tick);
        for place in 0..4 {
            d.apply(Event::Place { place, build: 1, state: PlaceState::Running });
        }
        d
    }

    fn apply(&mut self, event: Event) -> Reply {
        self.release.on_event(self.now, &event).reply
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = Now { wall: self.now.wall + S, steady: self.now.steady + S };
            self.apply(Event::Tick);
        }
    }

    fn vote(&mut self, proxy: u32, stage: u8, verdict: Verdict) -> Reply {
        self.apply(Event::Vote(Vote { proxy, build: 7, stage, verdict }))
    }

    /// The wave's places run, and it has soaked.
    fn soak(&mut self) {
        for (place, build) in self.release.desired_builds() {
            self.apply(Event::Place { place, build, state: PlaceState::Running });
        }
        self.advance(610);
    }
}

#[test]
fn late_votes_for_an_earlier_stage_are_obsolete_and_none_counts_twice() {
    let mut d = DirectRelease::new(&plan(""));
    d.soak();
    assert_eq!(d.vote(0, 0, Verdict::On), Reply::Accepted);
    for _ in 0..10 {
        assert_eq!(d.vote(0, 0, Verdict::On), Reply::Accepted);
    }
    d.advance(1);
    assert_eq!(d.release.announcement().stage, 0, "one proxy counted twice");
    assert_eq!(d.vote(1, 0, Verdict::On), Reply::Accepted);
    d.advance(1);
    assert_eq!(d.release.announcement().stage, 1);
    for proxy in 0..4 {
        assert!(matches!(d.vote(proxy, 0, Verdict::On), Reply::Obsolete(_)));
    }
    d.soak();
    assert_eq!(d.release.announcement().phase, Phase::Trial, "votes of the first wave released it");
    assert!(matches!(d.vote(9, 1, Verdict::On), Reply::Rejected(_)));
    // Votes of the wave expire.
    assert_eq!(
        (d.vote(0, 1, Verdict::On), d.vote(2, 1, Verdict::Withdraw)),
        (Reply::Accepted, Reply::Accepted)
    );
    d.advance(31);
    d.vote(1, 1, Verdict::On);
    d.advance(1);
    assert_eq!(d.release.announcement().phase, Phase::Trial, "a vote outlived its time");
}

#[test]
fn on_and_back_in_one_turn_end_in_back() {
    let mut d = DirectRelease::new(&plan(""));
    d.soak();
    // All of one turn, with the tick at its end, as the controller does.
    for proxy in 0..4 {
        d.vote(proxy, 0, Verdict::On);
    }
    d.vote(0, 0, Verdict::Back);
    d.vote(1, 0, Verdict::Back);
    d.advance(1);
    assert_eq!((d.release.announcement().phase, d.release.announcement().stage), (Phase::RollingBack, 0));
    assert!(matches!(d.vote(2, 0, Verdict::On), Reply::Obsolete(_)));
    assert!(matches!(d.apply(Event::Sign { who: "qa".into(), wave: "all".into() }), Reply::Obsolete(_)));
}

#[test]
fn a_build_offered_while_one_goes_back_waits_for_its_end_and_a_called_back_one_stays_back() {
    let mut d = DirectRelease::new(&plan(""));
    d.soak();
    d.apply(Event::Order { who: "on-call".into(), order: Order::Back });
    assert_eq!(d.release.announcement().phase, Phase::RollingBack);
    let mut next = plan("");
    next.build = 8;
    assert!(matches!(d.apply(Event::Offer(Box::new(plan("")))), Reply::Obsolete(_)));
    assert_eq!(d.apply(Event::Offer(Box::new(next.clone()))), Reply::Accepted);
    let mut third = next.clone();
    third.build = 9;
    assert!(matches!(d.apply(Event::Offer(Box::new(third))), Reply::Rejected(_)));
    d.advance(30);
    assert_eq!(d.release.announcement().build, 7, "two builds on their way in one place");
    for p in 0..4 {
        d.apply(Event::Place { place: p, build: 1, state: PlaceState::Running });
        d.apply(Event::Place { place: p, build: 7, state: PlaceState::Gone });
    }
    d.advance(2);
    assert_eq!((d.release.announcement().build, d.release.announcement().phase), (8, Phase::Trial));
    d.apply(Event::Order { who: "on-call".into(), order: Order::Back });
    for p in 0..4 {
        d.apply(Event::Place { place: p, build: 8, state: PlaceState::Gone });
    }
    d.advance(2);
    assert_eq!(d.release.announcement().phase, Phase::Withdrawn);
    assert!(
        matches!(d.apply(Event::Offer(Box::new(plan("")))), Reply::Rejected(w) if w.contains("called back"))
    );
    assert!(matches!(d.apply(Event::Offer(Box::new(next))), Reply::Rejected(_)));
}

#[test]
fn a_restart_goes_on_in_the_same_stage_with_the_same_state() {
    let mut d = DirectRelease::new(&plan(""));
    d.soak();
    d.vote(0, 0, Verdict::On);
    // What is durable, read again.
    let text = to_json(&d.release);
    let mut again: Release = serde_json::from_str(&text).unwrap();
    assert_eq!(again, d.release);
    let later = Now { wall: d.now.wall + 5 * S, steady: 77 };
    again.on_event(later, &Event::Started);
    assert_eq!(again.announcement(), d.release.announcement());
    let vote = Vote { proxy: 1, build: 7, stage: 0, verdict: Verdict::On };
    again.on_event(Now { wall: later.wall + S, steady: 77 + S }, &Event::Vote(vote));
    again.on_event(Now { wall: later.wall + 2 * S, steady: 77 + 2 * S }, &Event::Tick);
    assert_eq!(again.announcement().stage, 1, "the vote from before the restart still stood");
    // A clock that went back while it was away: how old the votes are is unknown, so none stands.
    let mut unsure: Release = serde_json::from_str(&text).unwrap();
    unsure.on_event(Now { wall: d.now.wall - 60 * S, steady: 5 }, &Event::Started);
    assert_eq!(unsure.votes(), 0);
}

fn to_json(release: &Release) -> String {
    serde_json::to_string(release).unwrap()
}

#[test]
fn four_hundred_and_eighty_votes_within_100_ms_are_taken_up_to_the_allowance() {
    let mut allowance = violetseam_release::VoteRateLimit::new(150.0, 0);
    let taken = (0..480u64).filter(|n| allowance.try_take(n * 100_000 / 480)).count();
    assert!((300..=316).contains(&taken), "two seconds' worth and what 100 ms bring: {taken}");
    // Those that heard `full` come again over the next seconds: all are heard within two more.
    let late = (0..180u64).filter(|n| allowance.try_take(100_000 + n * 2_000_000 / 180)).count();
    assert_eq!(late, 180);
}
