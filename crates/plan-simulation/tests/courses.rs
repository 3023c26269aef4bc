//! The course of releases when events come at difficult times: windows that close, late votes and approvals,
//! clock steps, outages, restarts and lost places.

use violetseam_plan::{Plan, moment_of, read_text};
use violetseam_plan_simulation::{Sample, Script, SimulationRun, simulate};
use violetseam_release::{Announcement, Event, Now, Order, Phase, PlaceState, Release, Reply, Verdict, Vote};

/// A second in microseconds.
const S: u64 = 1_000_000;

fn start() -> u64 {
    moment_of("2026-12-01T08:00", "UTC").unwrap()
}

fn plan(extra_sections: &str) -> Plan {
    plan_with_on_close("hold", extra_sections)
}

fn plan_with_on_close(on_close: &str, extra_sections: &str) -> Plan {
    plan_at(start(), on_close, extra_sections)
}

fn plan_at(at: u64, on_close: &str, extra_sections: &str) -> Plan {
    let text = format!(
        "plan(name = \"p\", build = 7, longest = \"8h\")\n\
         fleet(proxies = 4, places = 4, vote_ttl = \"30s\", stage_caps = [0.25, 1.0], votes_back = 0.5)\n\
         wave(name = \"first\", share = 0.25, cap = 0.25, soak = \"10m\", gate = \"share\", votes = 0.5, on_close = \"{on_close}\")\n\
         wave(name = \"all\", share = 1.0, cap = 1.0, soak = \"10m\", gate = \"share\", votes = 0.5, on_close = \"{on_close}\")\n\
         allow(who = \"on-call\", may = [\"hold\", \"resume\", \"back\"])\n{extra_sections}"
    );
    read_text("p", &text, &[], at).unwrap_or_else(|f| panic!("{f:?}"))
}

fn script(text: &str) -> Script {
    let base = "start(at = \"2026-12-01T08:00\", build = 1)\n";
    violetseam_plan_simulation::read_text("s", &format!("{base}{text}")).unwrap_or_else(|e| panic!("{e}"))
}

const ALL_ON: &str = "votes(proxies = 4, verdict = \"on\", every = \"10s\")\n";

fn simulate_script(plan: &Plan, text: &str) -> SimulationRun {
    simulate(plan, &script(text), &mut |_| {})
}

/// Minutes from the offer at which the release entered a phase and stage.
fn entry_minute(run: &SimulationRun, phase: Phase, stage: u8) -> Option<u64> {
    let entered =
        run.announcements.iter().find(|sample| (sample.value.phase, sample.value.stage) == (phase, stage));
    entered.map(|sample| sample.at / (60 * S))
}

#[test]
fn a_release_without_disturbances_soaks_in_each_wave_and_ends_in_all_places() {
    let run = simulate_script(&plan(""), ALL_ON);
    assert_eq!(entry_minute(&run, Phase::Trial, 0), Some(0));
    assert_eq!(entry_minute(&run, Phase::Trial, 1), Some(10));
    assert_eq!(entry_minute(&run, Phase::Released, 1), Some(20));
    assert_eq!(run.running_places.last().map(|sample| sample.value), Some(4));
    assert!(run.final_status.contains("released"));
}

#[test]
fn a_window_that_closes_during_a_wave_holds_it_lets_it_finish_or_rolls_it_back() {
    // The window closes five minutes into the first wave, and another one opens at 10:00.
    let windows = "window(days = \"mon-sun\", start = \"08:00\", end = \"08:05\", zone = \"UTC\")\n\
                   window(days = \"mon-sun\", start = \"10:00\", end = \"16:00\", zone = \"UTC\")\n";
    let held = simulate_script(&plan_with_on_close("hold", windows), ALL_ON);
    assert_eq!(
        entry_minute(&held, Phase::Trial, 1),
        Some(125),
        "five minutes of soak before the gap, five after it"
    );
    let finished = simulate_script(&plan_with_on_close("finish", windows), ALL_ON);
    assert_eq!(
        entry_minute(&finished, Phase::Trial, 1),
        Some(120),
        "the soak continues, and the next wave waits for a window"
    );
    let back = simulate_script(&plan_with_on_close("back", windows), ALL_ON);
    assert_eq!(entry_minute(&back, Phase::RollingBack, 0), Some(5));
    assert!(
        back.final_status.contains("the window closed") && back.running_places.last().unwrap().value == 0
    );
}

#[test]
fn approvals_that_are_withdrawn_late_or_given_after_a_rollback_open_no_gate() {
    let asked = "sign_off(wave = \"all\", by = [\"qa\", \"plant\"], count = 2, within = \"2h\")\n";
    let plan = plan(asked);
    let good = format!(
        "{ALL_ON}sign(at = \"30m\", who = \"qa\", wave = \"all\")\nsign(at = \"40m\", who = \"plant\", wave = \"all\")\n"
    );
    assert_eq!(entry_minute(&simulate_script(&plan, &good), Phase::Trial, 1), Some(40));
    // An approval is withdrawn at the same time at which the second one is given: the gate stays closed.
    let withdrawn = format!(
        "{good}unsign(at = \"40m\", who = \"qa\", wave = \"all\")\nsign(at = \"50m\", who = \"qa\", wave = \"all\")\n"
    );
    assert_eq!(entry_minute(&simulate_script(&plan, &withdrawn), Phase::Trial, 1), Some(50));
    let late = simulate_script(
        &plan,
        &format!(
            "{ALL_ON}sign(at = \"30m\", who = \"qa\", wave = \"all\")\nsign(at = \"121m\", who = \"plant\", wave = \"all\")\n"
        ),
    );
    assert_eq!(entry_minute(&late, Phase::RollingBack, 0), Some(120));
    assert!(late.final_status.contains("not approved in time"), "{}", late.final_status);
    let called =
        simulate_script(&plan, &format!("order(at = \"20m\", who = \"on-call\", what = \"back\")\n{good}"));
    assert_eq!(entry_minute(&called, Phase::Trial, 1), None);
    assert!(called.final_status.contains("called back by on-call"));
}

#[test]
fn steps_of_the_wall_clock_change_neither_soaks_nor_the_life_of_votes() {
    let windows = "window(days = \"mon-sun\", start = \"07:00\", end = \"16:00\", zone = \"UTC\")\n";
    let plan = plan(windows);
    let plain = simulate_script(&plan, ALL_ON).announcements;
    let back = simulate_script(&plan, &format!("{ALL_ON}clock(at = \"5m\", back = \"40m\")\n")).announcements;
    let times = |samples: &[Sample<Announcement>]| {
        samples.iter().map(|sample| sample.at / (30 * S)).collect::<Vec<_>>()
    };
    assert_eq!(times(&plain), times(&back), "a step back changes the times of announcements");
    // The clock steps forward past the end of the window. The window counts as closed until the clock is
    // corrected.
    let night = simulate_script(
        &plan,
        &format!("{ALL_ON}clock(at = \"5m\", ahead = \"12h\")\nclock(at = \"65m\", back = \"12h\")\n"),
    );
    assert_eq!(entry_minute(&night, Phase::Trial, 1), Some(70));
    // The clock steps forward by weeks. The longest duration of the release is not measured by that clock.
    let weeks = simulate_script(&plan, &format!("{ALL_ON}clock(at = \"5m\", ahead = \"20d\")\n"));
    assert_eq!(entry_minute(&weeks, Phase::Released, 1), Some(20));
}

#[test]
fn a_window_is_an_hour_shorter_or_longer_when_daylight_saving_time_begins_or_ends() {
    // The clocks in London go from 01:00 to 02:00 on 2027-03-28, and from 02:00 back to 01:00 on 2027-10-31.
    let windows = "window(days = \"sun\", start = \"00:30\", end = \"02:30\", zone = \"Europe/London\")\n";
    let text =
        |date: &str| format!("start(at = \"{date}T00:30\", zone = \"Europe/London\", build = 1)\n{ALL_ON}");
    let run = |date: &str| {
        let at = moment_of(&format!("{date}T00:30"), "Europe/London").unwrap();
        let mut plan = plan_at(at, "hold", windows);
        plan.waves[0].soak = 3_000 * S;
        plan.waves[1].soak = 3_000 * S;
        let script = violetseam_plan_simulation::read_text("s", &text(date)).unwrap();
        simulate(&plan, &script, &mut |_| {})
    };
    // In March the window is open for one hour: the first wave fits, and the second soaks for ten of its
    // fifty minutes.
    let spring = run("2027-03-28");
    assert_eq!(entry_minute(&spring, Phase::Trial, 1), Some(50));
    assert_eq!(entry_minute(&spring, Phase::Released, 1), None, "it would have released outside its window");
    // In October it is open for three hours, and both waves fit.
    let autumn = run("2027-10-31");
    assert_eq!(entry_minute(&autumn, Phase::Released, 1), Some(100));
}

#[test]
fn soak_during_an_outage_counts_as_the_plan_says_and_votes_expire_during_it() {
    let stops = plan("");
    let mut counts = stops.clone();
    counts.downtime = violetseam_plan::Downtime::Counts;
    // Proxies vote until the controller goes down five minutes into the first wave, and again from minute 40.
    let text = "votes(proxies = 4, verdict = \"on\", every = \"10s\", until = \"5m\")\n\
                away(at = \"5m\", **{\"for\": \"20m\"})\nvotes(at = \"40m\", proxies = 4, verdict = \"on\", every = \"10s\")\n";
    let stopped = simulate_script(&stops, text);
    assert_eq!(entry_minute(&stopped, Phase::Trial, 1), Some(40));
    let counted = simulate_script(&counts, text);
    assert_eq!(
        entry_minute(&counted, Phase::Trial, 1),
        Some(40),
        "the soak counts during the outage, but votes from before it do not"
    );
    let voted =
        "votes(proxies = 4, verdict = \"on\", every = \"10s\")\naway(at = \"5m\", **{\"for\": \"20m\"})\n";
    assert_eq!(entry_minute(&simulate_script(&counts, voted), Phase::Trial, 1), Some(25));
    let still = entry_minute(&simulate_script(&stops, voted), Phase::Trial, 1);
    assert!(still == Some(30) || still == Some(29), "{still:?}");
}

#[test]
fn a_release_past_its_longest_duration_is_rolled_back_and_holds_can_be_ended() {
    let never = simulate_script(&plan(""), "");
    assert_eq!(entry_minute(&never, Phase::RollingBack, 0), Some(480));
    assert!(never.final_status.contains("longer than its plan permits"));
    let hold = "hold(before = \"all\", leave = [\"lead\"], at_most = \"3h\")\n";
    assert_eq!(entry_minute(&simulate_script(&plan(hold), ALL_ON), Phase::Trial, 1), Some(180));
    let left = format!(
        "{ALL_ON}order(at = \"60m\", who = \"on-call\", what = \"resume\")\norder(at = \"70m\", who = \"lead\", what = \"resume\")\n"
    );
    assert_eq!(
        entry_minute(&simulate_script(&plan(hold), &left), Phase::Trial, 1),
        Some(70),
        "on-call may not end the plan's hold"
    );
    let stopped =
        format!("{ALL_ON}order(at = \"2m\", who = \"on-call\", what = \"hold\", **{{\"for\": \"30m\"}})\n");
    assert_eq!(
        entry_minute(&simulate_script(&plan(""), &stopped), Phase::Trial, 1),
        Some(40),
        "an operator's hold ends by itself"
    );
    let stranger = simulate_script(
        &plan(""),
        &format!("{ALL_ON}order(at = \"2m\", who = \"stranger\", what = \"back\")\n"),
    );
    assert_eq!(entry_minute(&stranger, Phase::Released, 1), Some(20));
    assert!(stranger.timeline.iter().any(|e| e.text.contains("does not allow stranger")));
}

#[test]
fn a_place_that_does_not_start_delays_its_wave_only_by_the_launch_time() {
    let mut plan = plan("");
    plan.waves[0].places = [0, 1].into();
    let lost = format!("lose(at = \"0s\", place = 0, **{{\"for\": \"7h\"}})\n{ALL_ON}");
    let minutes = entry_minute(&simulate_script(&plan, &lost), Phase::Trial, 1);
    assert_eq!(minutes, Some(15), "five minutes of launch time, then the soak");
}

// The tests below apply single events to the release, without the simulation.

/// A release to which a test applies single events.
struct DirectRelease {
    release: Release,
    now: Now,
}

impl DirectRelease {
    fn new(plan: &Plan) -> DirectRelease {
        let mut direct = DirectRelease { release: Release::new(1), now: Now { wall: start(), steady: 0 } };
        direct.apply(Event::Started);
        assert_eq!(direct.apply(Event::Offer(Box::new(plan.clone()))), Reply::Accepted);
        direct.apply(Event::Tick);
        for place in 0..4 {
            direct.apply(Event::Place { place, build: 1, state: PlaceState::Running });
        }
        direct
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

    /// Reports that all places of the wave run its build, and lets the soak time pass.
    fn soak(&mut self) {
        for (place, build) in self.release.desired_builds() {
            self.apply(Event::Place { place, build, state: PlaceState::Running });
        }
        self.advance(610);
    }
}

#[test]
fn votes_for_an_earlier_stage_are_obsolete_and_no_vote_counts_twice() {
    let mut direct = DirectRelease::new(&plan(""));
    direct.soak();
    assert_eq!(direct.vote(0, 0, Verdict::On), Reply::Accepted);
    for _ in 0..10 {
        assert_eq!(direct.vote(0, 0, Verdict::On), Reply::Accepted);
    }
    direct.advance(1);
    assert_eq!(direct.release.announcement().stage, 0, "one proxy counted twice");
    assert_eq!(direct.vote(1, 0, Verdict::On), Reply::Accepted);
    direct.advance(1);
    assert_eq!(direct.release.announcement().stage, 1);
    for proxy in 0..4 {
        assert!(matches!(direct.vote(proxy, 0, Verdict::On), Reply::Obsolete(_)));
    }
    direct.soak();
    assert_eq!(
        direct.release.announcement().phase,
        Phase::Trial,
        "votes of the first wave released the build"
    );
    assert!(matches!(direct.vote(9, 1, Verdict::On), Reply::Rejected(_)));
    // A vote expires after its time to live.
    assert_eq!(
        (direct.vote(0, 1, Verdict::On), direct.vote(2, 1, Verdict::Withdraw)),
        (Reply::Accepted, Reply::Accepted)
    );
    direct.advance(31);
    direct.vote(1, 1, Verdict::On);
    direct.advance(1);
    assert_eq!(direct.release.announcement().phase, Phase::Trial, "a vote counted after its time to live");
}

#[test]
fn votes_to_promote_and_to_roll_back_before_one_tick_end_in_a_rollback() {
    let mut direct = DirectRelease::new(&plan(""));
    direct.soak();
    // All votes come before the next tick, as in one turn of the controller's event loop.
    for proxy in 0..4 {
        direct.vote(proxy, 0, Verdict::On);
    }
    direct.vote(0, 0, Verdict::Back);
    direct.vote(1, 0, Verdict::Back);
    direct.advance(1);
    assert_eq!(
        (direct.release.announcement().phase, direct.release.announcement().stage),
        (Phase::RollingBack, 0)
    );
    assert!(matches!(direct.vote(2, 0, Verdict::On), Reply::Obsolete(_)));
    assert!(matches!(direct.apply(Event::Sign { who: "qa".into(), wave: "all".into() }), Reply::Obsolete(_)));
}

#[test]
fn a_build_offered_during_a_rollback_waits_for_its_end_and_a_rolled_back_build_is_rejected() {
    let mut direct = DirectRelease::new(&plan(""));
    direct.soak();
    direct.apply(Event::Order { who: "on-call".into(), order: Order::Back });
    assert_eq!(direct.release.announcement().phase, Phase::RollingBack);
    let mut next = plan("");
    next.build = 8;
    assert!(matches!(direct.apply(Event::Offer(Box::new(plan("")))), Reply::Obsolete(_)));
    assert_eq!(direct.apply(Event::Offer(Box::new(next.clone()))), Reply::Accepted);
    let mut third = next.clone();
    third.build = 9;
    assert!(matches!(direct.apply(Event::Offer(Box::new(third))), Reply::Rejected(_)));
    direct.advance(30);
    assert_eq!(direct.release.announcement().build, 7, "a trial began before the rollback had ended");
    for place in 0..4 {
        direct.apply(Event::Place { place, build: 1, state: PlaceState::Running });
        direct.apply(Event::Place { place, build: 7, state: PlaceState::Gone });
    }
    direct.advance(2);
    assert_eq!((direct.release.announcement().build, direct.release.announcement().phase), (8, Phase::Trial));
    direct.apply(Event::Order { who: "on-call".into(), order: Order::Back });
    for place in 0..4 {
        direct.apply(Event::Place { place, build: 8, state: PlaceState::Gone });
    }
    direct.advance(2);
    assert_eq!(direct.release.announcement().phase, Phase::Withdrawn);
    assert!(matches!(direct.apply(Event::Offer(Box::new(plan("")))),
        Reply::Rejected(reason) if reason.contains("called back")));
    assert!(matches!(direct.apply(Event::Offer(Box::new(next))), Reply::Rejected(_)));
}

#[test]
fn a_restarted_release_continues_in_the_same_stage_with_the_same_state() {
    let mut direct = DirectRelease::new(&plan(""));
    direct.soak();
    direct.vote(0, 0, Verdict::On);
    // The release is read back from its persisted state.
    let text = to_json(&direct.release);
    let mut restarted: Release = serde_json::from_str(&text).unwrap();
    assert_eq!(restarted, direct.release);
    let later = Now { wall: direct.now.wall + 5 * S, steady: 77 };
    restarted.on_event(later, &Event::Started);
    assert_eq!(restarted.announcement(), direct.release.announcement());
    let vote = Vote { proxy: 1, build: 7, stage: 0, verdict: Verdict::On };
    restarted.on_event(Now { wall: later.wall + S, steady: 77 + S }, &Event::Vote(vote));
    restarted.on_event(Now { wall: later.wall + 2 * S, steady: 77 + 2 * S }, &Event::Tick);
    assert_eq!(restarted.announcement().stage, 1, "the vote from before the restart does not count");
    // The wall clock stepped back while the controller was down. The age of the votes is unknown, so no vote
    // counts.
    let mut after_clock_step: Release = serde_json::from_str(&text).unwrap();
    after_clock_step.on_event(Now { wall: direct.now.wall - 60 * S, steady: 5 }, &Event::Started);
    assert_eq!(after_clock_step.votes(), 0);
}

fn to_json(release: &Release) -> String {
    serde_json::to_string(release).unwrap()
}

#[test]
fn of_480_votes_within_100_ms_as_many_are_accepted_as_the_rate_limit_permits() {
    let mut allowance = violetseam_release::VoteRateLimit::new(150.0, 0);
    let taken = (0..480u64).filter(|n| allowance.try_take(n * 100_000 / 480)).count();
    assert!((300..=316).contains(&taken), "expected a burst of two seconds plus the rate of 100 ms: {taken}");
    // The proxies whose votes exceeded the limit retry over the next two seconds, and all are accepted.
    let late = (0..180u64).filter(|n| allowance.try_take(100_000 + n * 2_000_000 / 180)).count();
    assert_eq!(late, 180);
}
