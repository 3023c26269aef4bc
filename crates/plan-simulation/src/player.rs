//! Plays a script against the controller's decisions.

use crate::platform::{Platform, Told};
use crate::script::{Script, Votes};
use std::collections::BTreeSet;
use violetseam_plan::{Micros, Plan, Power};
use violetseam_release::{
    Announcement, Event, EventOutcome, Now, Order, Phase, Release, Reply, Verdict, Vote, VoteRateLimit,
};

/// Steps of a rehearsal at most, so that every one ends.
const STEPS_MOST: usize = 2_000_000;
/// Past the plan's longest, so that a way back is seen to its end.
const AFTER: Micros = 3_600_000_000;

/// A line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Microseconds from the offer.
    pub at: Micros,
    /// What happened.
    pub text: String,
}

/// One event as it was played, with what stood before and after it; for those who check decisions.
#[derive(Clone, Debug)]
pub struct Step {
    /// When.
    pub now: Now,
    /// What happened.
    pub event: Event,
    /// The reply.
    pub reply: Reply,
    /// Whether the event must be kept.
    pub kept: bool,
    /// News before.
    pub before: Announcement,
    /// News after.
    pub after: Announcement,
    /// Places that are to run what, after.
    pub wanted: BTreeSet<(u32, u16)>,
}

/// What a rehearsal gave.
#[derive(Clone, Debug)]
pub struct Played {
    /// The timeline.
    pub entries: Vec<Entry>,
    /// News with the moments from which they stood.
    pub news: Vec<(Micros, Announcement)>,
    /// Places that ran the new build, with the moments from which they did.
    pub running: Vec<(Micros, usize)>,
    /// The controller's last word on the release.
    pub standing: String,
}

struct Player<'a> {
    plan: &'a Plan,
    script: &'a Script,
    release: Release,
    /// The same, told only what is kept: what a controller that went away comes back with.
    durable: Release,
    platform: Platform,
    allowance: VoteRateLimit,
    /// From the offer on.
    at: Micros,
    /// Of the wall clock, from what it was.
    shift: i64,
    played: Played,
    watch: &'a mut dyn FnMut(&Step),
}

/// Something scripted.
enum Due {
    Sign(usize),
    Unsign(usize),
    Order(usize),
    Lose(usize),
    Clock(usize),
    Away(Micros),
}

/// Plays a script; `watch` sees every event with the decisions on it.
pub fn play(plan: &Plan, script: &Script, watch: &mut dyn FnMut(&Step)) -> Played {
    let allowance = VoteRateLimit::new(plan.fleet.votes_per_s, 0);
    let platform = Platform::new(plan.fleet.places, script.build, script.boot, script.drain);
    let played =
        Played { entries: Vec::new(), news: Vec::new(), running: Vec::new(), standing: String::new() };
    let mut player = Player {
        plan,
        script,
        release: Release::new(script.build),
        durable: Release::new(script.build),
        platform,
        allowance,
        at: 0,
        shift: 0,
        played,
        watch,
    };
    player.run();
    player.played.standing = player.release.describe();
    player.played
}

impl Player<'_> {
    fn now(&self) -> Now {
        Now { wall: (self.script.start + self.at).saturating_add_signed(self.shift), steady: self.at }
    }

    fn say(&mut self, text: impl Into<String>) {
        self.played.entries.push(Entry { at: self.at, text: text.into() });
    }

    fn tell(&mut self, event: Event) -> Reply {
        let (now, before) = (self.now(), self.release.announcement());
        let EventOutcome { reply, changed: kept } = self.release.on_event(now, &event);
        if kept {
            self.durable.on_event(now, &event);
        }
        let after = self.release.announcement();
        if before != after {
            self.played.news.push((self.at, after));
            if (before.build, before.stage, before.phase) != (after.build, after.stage, after.phase) {
                self.say(self.release.describe());
            }
        }
        let wanted = self.release.desired_builds();
        (self.watch)(&Step { now, event, reply: reply.clone(), kept, before, after, wanted });
        reply
    }

    fn told(&mut self, told: Vec<Told>) {
        for (place, build, state) in told {
            self.tell(Event::Place { place, build, state });
        }
        let all = self.platform.all();
        let runs = |t: &&Told| t.1 == self.plan.build && t.2 == violetseam_release::PlaceState::Running;
        let running = all.iter().filter(runs).count();
        if self.played.running.last().map(|r| r.1) != Some(running) {
            self.played.running.push((self.at, running));
        }
    }

    /// The platform hears what is wanted, and its places tell what they do.
    fn settle(&mut self) {
        let wanted = self.release.desired_builds();
        if !wanted.is_empty() {
            let told = self.platform.want(self.at, &wanted);
            self.told(told);
        }
    }

    /// Everything scripted but votes, in order.
    fn agenda(&self) -> Vec<(Micros, Due)> {
        let s = self.script;
        let mut agenda: Vec<(Micros, Due)> = Vec::new();
        agenda.extend(s.signs.iter().enumerate().map(|(n, x)| (x.at.as_micros(), Due::Sign(n))));
        agenda.extend(s.unsigns.iter().enumerate().map(|(n, x)| (x.at.as_micros(), Due::Unsign(n))));
        agenda.extend(s.orders.iter().enumerate().map(|(n, x)| (x.at.as_micros(), Due::Order(n))));
        agenda.extend(s.loses.iter().enumerate().map(|(n, x)| (x.at.as_micros(), Due::Lose(n))));
        agenda.extend(s.clocks.iter().enumerate().map(|(n, x)| (x.at.as_micros(), Due::Clock(n))));
        agenda.extend(s.aways.iter().map(|x| (x.at.as_micros(), Due::Away(x.span.as_micros()))));
        agenda.sort_by_key(|(at, _)| *at);
        agenda
    }

    fn run(&mut self) {
        let end = self.script.end.unwrap_or(self.plan.longest + AFTER);
        let mut agenda = self.agenda().into_iter().peekable();
        let mut votes: Vec<(Micros, &Votes)> =
            self.script.votes.iter().map(|v| (v.at.as_micros(), v)).collect();
        self.tell(Event::Started);
        let told = self.platform.all();
        self.told(told);
        match self.tell(Event::Offer(Box::new(self.plan.clone()))) {
            Reply::Accepted => self.say(format!("build {} is offered", self.plan.build)),
            Reply::Obsolete(why) | Reply::Rejected(why) => {
                return self.say(format!("the offer is refused: {why}"));
            }
        }
        let mut next_tick = 0;
        for _ in 0..STEPS_MOST {
            let next_vote = votes.iter().map(|v| v.0).min();
            let scripted = agenda.peek().map(|a| a.0);
            let platform = self.platform.due();
            let next = [Some(next_tick), next_vote, scripted, platform].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.at = self.at.max(next);
            let done = self.platform.advance(self.at);
            self.told(done);
            while let Some((_, due)) = agenda.next_if(|a| a.0 <= self.at) {
                self.do_scripted(due);
            }
            self.vote(&mut votes);
            let before = self.release.announcement();
            self.tell(Event::Tick);
            if self.release.announcement() != before {
                // Those who wait for news vote on them at once, not in their old rhythm.
                let begun = votes.iter_mut().filter(|v| v.0 < Micros::MAX && v.1.at.as_micros() <= self.at);
                begun.for_each(|v| v.0 = v.0.min(self.at + v.1.every.as_micros()));
            }
            self.settle();
            next_tick = match self.release.next_due() {
                Some(span) => self.at + span.max(1),
                None => Micros::MAX,
            };
            let news = self.release.announcement();
            let over = news.build == self.plan.build && self.release.is_settled();
            if over && self.platform.due().is_none() {
                break;
            }
        }
    }

    fn do_scripted(&mut self, due: Due) {
        let script = self.script;
        let again = matches!(due, Due::Order(n) if script.orders[n].until_it_counts);
        let (what, event) = match due {
            Due::Sign(n) => {
                let s = &script.signs[n];
                let (who, wave) = (s.who.clone(), s.wave.clone());
                (format!("{who} approves wave {wave:?}"), Event::Sign { who, wave })
            }
            Due::Unsign(n) => {
                let s = &script.unsigns[n];
                let (who, wave) = (s.who.clone(), s.wave.clone());
                (format!("{who} takes the approval of wave {wave:?} back"), Event::Unsign { who, wave })
            }
            Due::Order(n) => {
                let o = &script.orders[n];
                let order = match o.what {
                    Power::Hold => Order::Hold(o.span.map_or(self.plan.longest, |span| span.as_micros())),
                    Power::Resume => Order::Resume,
                    Power::Back => Order::Back,
                    Power::Skip => Order::Skip,
                };
                let who = o.who.clone();
                (
                    format!("{who} orders {}", format!("{:?}", o.what).to_lowercase()),
                    Event::Order { who, order },
                )
            }
            Due::Lose(n) => {
                let l = &script.loses[n];
                self.say(format!("place {} is lost", l.place));
                let gone = self.platform.lose(l.place, self.at + l.span.as_micros());
                return self.told(gone);
            }
            Due::Clock(n) => {
                let c = &script.clocks[n];
                self.shift += c.ahead.as_micros() as i64 - c.back.as_micros() as i64;
                return self.say("the controller's clock is set");
            }
            Due::Away(span) => {
                self.say("no controller runs");
                self.at += span;
                self.release = self.durable.clone();
                self.tell(Event::Started);
                let told = self.platform.advance(self.at);
                self.told(told);
                return self.say("a controller runs again");
            }
        };
        match self.tell(event) {
            Reply::Accepted => self.say(what),
            // Repeats of a healthy script's orders are no news.
            Reply::Obsolete(_) => {}
            Reply::Rejected(_) if again => {}
            Reply::Rejected(why) => self.say(format!("{what}: refused: {why}")),
        }
    }

    fn vote(&mut self, votes: &mut [(Micros, &Votes)]) {
        for (at, spec) in votes {
            if *at > self.at {
                continue;
            }
            *at = self.at + spec.every.as_micros();
            if spec.until.is_some_and(|until| self.at > until.as_micros()) {
                *at = Micros::MAX;
                continue;
            }
            let Announcement { build, stage, phase, .. } = self.release.announcement();
            let meant = spec.stage.is_none_or(|s| s == stage) && build == self.plan.build;
            if !meant || !matches!(phase, Phase::Trial | Phase::Released) {
                continue;
            }
            if phase == Phase::Released && spec.verdict != Verdict::Back {
                continue;
            }
            for proxy in spec.first..spec.first.saturating_add(spec.proxies) {
                if self.allowance.try_take(self.at) {
                    self.tell(Event::Vote(Vote { proxy, build, stage, verdict: spec.verdict }));
                }
            }
        }
    }
}
