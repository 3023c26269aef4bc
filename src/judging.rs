//! Judging builds: evidence from attempts' ends and from peers, windows, findings, verdicts, votes.
//!
//! The second part of the balancer's decisions; `src/balance.rs` has the first, which routes requests. In the
//! order of a build's life: `learn_build` and `on_flag` collect, `judge` closes windows and `find` what they
//! say, `vote` casts, and `tell_peers` shares what was counted. See `docs/design.md`.

use crate::balance::{Balancer, MS, SECOND};
use crate::evidence::*;
use crate::interface::*;
use crate::state::*;
use crate::stats::{difference_lower, wilson_lower};

// The design page's defaults.
const WINDOW_ATTEMPTS: usize = 100; // a window closes at so many attempts at the new build ...
const WINDOW_SPAN: Micros = 3 * SECOND; // ... or after this span
const WINDOW_LEAST: f64 = 20.0; // under this many attempts a window says nothing
const Z95: f64 = 1.96; // normal quantile of 95% confidence
const FAILURE_MARGIN: f64 = 0.02; // allowed above the earlier build's failure share
const LATENCY_RATIO: f64 = 1.3; // median and 95th percentile must both exceed it
const WINDOW_SHORTEST: Micros = SECOND; // a full window stays open so long, or one pause spoils two
const BREACHES_TO_BACK: f64 = 2.0; // consecutive breached windows
// Extensions (docs/design.md, "Changed").
const CLASS_LEAST: f64 = 8.0; // attempts that a class of its own needs before it counts or is cleared
const POOL_FROM: f64 = 2.0; // times the own evidence: then it counts as pooled, and the bound as one judge's
pub(crate) const PEER_EVERY: Micros = 800 * MS; // counters go out this often, half as often after the release
const MESH_MOST: usize = 20; // up to so many balancers tell all others; above, collectors add up and pass on
const COLLECTORS: u64 = 3; // drawn anew for each stage
const PEER_TIMES: f64 = 4.0; // own counters: what a peer's may hold at most to be believed
const SILENT_SPAN: Micros = 2 * WINDOW_SPAN; // so long without evidence enough: votes alone gather it
const SPREAD_LEAST: f64 = 0.25; // of a breach must be left on the better half of the machines
const MACHINES_LEAST: usize = 4; // slices of the new machines that can clear a build of a few's breach
const RENEW_SHARE: f64 = 0.6; // of a vote's life: then it is renewed
const VOTE_RETRY: Micros = 400 * MS; // least wait after a vote that did not count, doubled by jitter
const NOTES_MOST: u32 = 100; // log lines a life

impl Balancer {
    /// Counts an attempt's end. Counters are added up over balancers, so times have the same unit at all.
    pub(crate) fn learn_build(
        &mut self,
        attempt: &Attempt,
        class: usize,
        unit: f64,
        late: bool,
        end: AttemptEnd,
    ) {
        let AttemptEnd { outcome, elapsed, .. } = end;
        let error = outcome == Outcome::Error;
        let timeout = outcome == Outcome::Timeout && late && !attempt.cold;
        // Refusals, failed connects and attempts never sent are no answers of the build. One cut short took
        // at least so long, which says something only past the typical time.
        let cut = matches!(outcome, Outcome::Cancelled | Outcome::Timeout);
        let early = cut && (elapsed as f64) < self.m.typical[class].median && !timeout;
        let news = self.m.news.filter(|n| attempt.to.build <= n.build);
        let Some(news) = news.filter(|_| !early && outcome.may_have_run()) else { return };
        let (server, build) = (attempt.to.id, attempt.to.build);
        let failed = error || timeout || outcome == Outcome::Reset;
        let pace = (!attempt.cold && !error).then_some(elapsed as f64 / unit);
        let slow = elapsed as f64 > self.m.typical[class].median * LATENCY_RATIO;
        let sample = Sample { class, server, error, failed, slow, pace };
        self.m.pool.mine.add(usize::from(build < news.build), &sample);
        self.m.window_count += usize::from(build == news.build);
    }

    pub(crate) fn on_flag(&mut self, now: Micros, server: ServerId, class: usize, since: Micros) {
        let Some(server) = self.m.servers.get(&server).map(|s| s.entry) else { return };
        // Reports come late: the window that is open now is the one that learns of it.
        let counted = now.saturating_sub(since) >= self.m.stage_since.max(server.started_at);
        if let Some(news) = self.m.news.filter(|n| counted && server.build <= n.build) {
            self.m.pool.mine.flag(usize::from(server.build < news.build), server.id, class);
        }
    }

    pub(crate) fn start_window(&mut self, now: Micros) {
        (self.m.window_start, self.m.window_count) = (now, 0);
        self.m.pool.mark(self.set.position);
    }

    /// The build that can be voted on; not one released before an earlier build was ever seen to compare.
    pub(crate) fn subject(&self) -> Option<ReleaseStatus> {
        self.m.news.filter(|n| n.phase == Phase::Trial || (n.phase == Phase::Released && self.m.compared))
    }

    /// Closes the window when it is full or old enough, and turns its finding into a verdict.
    pub(crate) fn judge(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.subject() else { return };
        let age = now.saturating_sub(self.m.window_start);
        if age < WINDOW_SHORTEST {
            return;
        }
        let (whole, window) = self.m.pool.widest(self.set.position, WINDOW_ATTEMPTS as f64);
        let open = age < WINDOW_SPAN && (window.attempts(0) as usize) < WINDOW_ATTEMPTS;
        let finding = if open { Finding::Thin } else { self.find(now, news, &whole, &window) };
        if finding == Finding::Thin {
            return; // the window stays open and carries its evidence on until it suffices
        }
        let timer = self.set.rollout.gate == GateMode::Timer;
        let (breached, weight) = finding.breach();
        self.m.breaches = if breached { self.m.breaches + weight } else { 0.0 };
        let verdict = match news.phase {
            // A conviction stands until the news changes: a desk that hears late must not find it replaced.
            _ if self.m.verdict == Verdict::RollBack || self.m.breaches >= BREACHES_TO_BACK => {
                Verdict::RollBack
            }
            Phase::Trial if breached && timer => Verdict::Hold,
            Phase::Trial if !breached && !timer => Verdict::Promote,
            _ => Verdict::Withdraw,
        };
        if verdict != self.m.verdict || weight > 0.0 {
            let text = format!("build {} stage {}: {verdict} {finding:?}", news.build, news.stage);
            out.extend(self.m.note(text, NOTES_MOST));
        }
        self.m.verdict = verdict;
        if weight > 0.0 || !breached || age >= WINDOW_SPAN {
            self.start_window(now);
        }
    }

    /// Compares the new build with the earlier one over the open window, then failures over the stage: a
    /// small steady share passes each window's bounds, but not the whole stage's.
    pub(crate) fn find(
        &mut self,
        now: Micros,
        news: ReleaseStatus,
        whole: &Evidence,
        window: &Evidence,
    ) -> Finding {
        let (age, seen) = (now.saturating_sub(self.m.window_start), window.tallies(0));
        let many = window.slices(0, Hits::Failed).len() >= MACHINES_LEAST;
        if window.attempts(0) < WINDOW_LEAST {
            // Peers silent, own traffic thin: where votes are counted, they add up what each has seen. Votes
            // that together stand for a full window move a stage; one failure withholds this balancer's.
            let together = window.attempts(0) * self.set.rollout.votes_to_promote;
            let counted = self.set.rollout.gate == GateMode::Share && age >= SILENT_SPAN;
            let fine = seen.iter().all(|t| t.failed == 0.0) && share(&window.slices(0, Hits::Slow)) < 0.5;
            let on = counted && fine && together >= WINDOW_ATTEMPTS as f64;
            return if on { Finding::Clean } else { Finding::Thin };
        }
        let alone = window.attempts(1) < WINDOW_LEAST;
        self.m.compared |= !alone;
        // Each of many balancers that judge on their own may be unlucky, and few votes decide.
        let pooled = window.attempts(0) > POOL_FROM * self.m.window_count as f64;
        let judges =
            if pooled { 1.0 } else { self.set.fleet_size as f64 / self.set.rollout.votes_to_roll_back };
        let z = (Z95 * Z95 + 2.0 * judges.max(1.0).ln()).sqrt();
        let judge = |evidence: &Evidence, limit: f64| {
            let (mut new, mut earlier) = (evidence.tallies(0), evidence.tallies(1));
            if alone {
                // Without an earlier arm beside it, time-outs and resets may be the load's or the machines'.
                new.iter_mut().for_each(|t| t.failed = t.errors + t.flagged);
                earlier.fill(Tally::default());
            }
            let compared = self.compare(&new, &earlier, limit, z);
            compared.map_err(|(why, hits, mild)| (why, mild, of_machines(evidence, hits)))
        };
        let over_stage = |judged| judge(whole, f64::INFINITY).map(|_| judged);
        let judged = match judge(window, LATENCY_RATIO).and_then(over_stage) {
            // A queue that builds up and drains lifts median and tail for a while: latency convicts over the
            // whole span only (till then no 'on' stands), or past the limit squared.
            Err((why, true, _)) if age < WINDOW_SPAN => return Finding::Breach(why, 0.0),
            // The doing of some machines among many for a whole span: the others clear the build.
            Err((_, _, true)) if age >= WINDOW_SPAN && many => true,
            Err((why, _, machines)) => return Finding::Breach(why, if machines { 0.0 } else { 1.0 }),
            Ok(judged) => judged,
        };
        // A class admitted late needs evidence of its own; what was not compared clears no breach.
        let guarded = news.stage < self.set.rollout.idempotent_only_stages;
        let admitted = |c: &RequestClass| !guarded || c.idempotency == Idempotency::Idempotent;
        let short = self.set.classes.iter().zip(&seen).any(|(c, t)| admitted(c) && t.n < CLASS_LEAST / 2.0);
        let unclear = short || (self.m.breaches > 0.0 && !judged);
        if unclear && age < 3 * WINDOW_SPAN { Finding::Thin } else { Finding::Clean }
    }

    /// Compares the arms class by class on the same footing: the reason of a breach, else whether there
    /// was enough to compare latency.
    pub(crate) fn compare(&self, new: &[Tally], earlier: &[Tally], limit: f64, z: f64) -> Compared {
        // What the earlier build would have done with the new one's mix of classes is its base.
        let (mut sum, mut base, mut earlier_n) = (Tally::default(), Tally::default(), 0.0);
        for (class, (ours, theirs)) in new.iter().zip(earlier).enumerate() {
            let share = theirs.failed / theirs.n.max(1.0);
            if ours.n >= CLASS_LEAST && wilson_lower(ours.failed, ours.n, z) > share + FAILURE_MARGIN {
                let (failed, n) = (ours.failed, ours.n);
                return Err((
                    format!("class {class} fails {failed}/{n} against {share:.3}"),
                    Hits::Failed,
                    false,
                ));
            }
            let median = theirs.paces.quantile(0.5).filter(|_| theirs.n >= CLASS_LEAST);
            sum.merge(ours, 1.0, median);
            base.merge(theirs, ours.n / theirs.n.max(1.0), median);
            earlier_n += theirs.n;
        }
        let (n, share) = (sum.n, base.failed / sum.n.max(1.0));
        if wilson_lower(sum.errors, n, z) > share + FAILURE_MARGIN {
            return Err((format!("errors {}/{n} against {share:.3}", sum.errors), Hits::Failed, false));
        }
        if difference_lower((sum.failed, n), (share * earlier_n, earlier_n), z) > FAILURE_MARGIN {
            let why = format!("failures {}/{n} against {share:.3} of {earlier_n}", sum.failed);
            return Err((why, Hits::Failed, false));
        }
        // Only a share of wrong answers is reported, so the margin is scaled down by it.
        let flags = base.flagged / n.max(1.0) + FAILURE_MARGIN * self.set.rollout.flag_share;
        if sum.flagged >= 2.0 && wilson_lower(sum.flagged, n, z) > flags {
            let why = format!("wrong answers {}/{n} against {flags:.3}", sum.flagged);
            return Err((why, Hits::Failed, false));
        }
        if sum.paces.total().min(base.paces.total()) < WINDOW_LEAST {
            return Ok(false);
        }
        let ratio = |q| sum.paces.quantile(q).zip(base.paces.quantile(q)).map_or(1.0, |(a, b)| a / b);
        let (median, tail) = (ratio(0.5), ratio(0.95));
        if median <= limit || tail <= limit {
            return Ok(true);
        }
        let why = format!("slower: median x{median:.2}, p95 x{tail:.2} over {n}");
        Err((why, Hits::Slow, median < limit * limit))
    }

    /// Casts, renews or withdraws the vote.
    pub(crate) fn vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.subject() else { return };
        let age = |cast: &Cast| now.saturating_sub(cast.at);
        let ttl = self.set.rollout.vote_ttl;
        // A reply can be lost itself; a vote stands for its span only.
        self.m.pending = self.m.pending.filter(|p| age(p) <= 2 * self.set.rollout.vote_timeout);
        let held = self.m.standing.filter(|s| age(s) < ttl);
        let aged = held.is_some_and(|s| age(&s) as f64 >= ttl as f64 * RENEW_SHARE);
        let (build, stage) = (news.build, news.stage);
        let timer = self.set.rollout.gate == GateMode::Timer && news.phase == Phase::Trial;
        let withheld = if timer { Verdict::Hold } else { Verdict::Withdraw };
        let verdict = if self.m.paused { withheld } else { self.m.verdict };
        let same = held.map_or(Verdict::Withdraw, |s| s.verdict) == verdict && !aged;
        if self.m.pending.is_none() && now >= self.m.vote_at && !same {
            self.m.pending = Some(Cast { build, stage, verdict, at: now });
            out.push(Action::Vote { build, stage, verdict });
        }
    }

    /// An operator's word: a pause withholds votes and goes on judging, 'back' stands as a conviction does.
    pub(crate) fn on_operator(&mut self, now: Micros, word: OperatorCommand, out: &mut Vec<Action>) {
        self.m.paused = word == OperatorCommand::Pause;
        if word == OperatorCommand::RollBack && self.subject().is_some() {
            self.m.verdict = Verdict::RollBack;
        }
        self.vote(now, out);
    }

    pub(crate) fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, news: Option<ReleaseStatus>) {
        // The reply to a vote on another stage says nothing of this one.
        let current = self.m.news.map(|n| (n.build, n.stage));
        let cast = self.m.pending.take().filter(|c| Some((c.build, c.stage)) == current);
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            // One without a reply may have counted: it stands, but old, so that it is soon sent again.
            let renewed = (self.set.rollout.vote_ttl as f64 * RENEW_SHARE) as Micros;
            let at = now.saturating_sub(if outcome == Outcome::Ok { 0 } else { renewed });
            self.m.standing = cast.map(|c| Cast { at, ..c }).or(self.m.standing);
        }
        if outcome != Outcome::Ok {
            // The allowance is shared by all balancers: back off with jitter.
            self.m.vote_at = now + (VOTE_RETRY as f64 * (1.0 + self.m.rng.unit())) as Micros;
        }
        news.into_iter().for_each(|news| self.on_news(now, news));
    }

    /// Tells own counters on the stage: to all peers where these are few, else to the stage's collectors,
    /// which tell all what theirs add up to: each hears a few messages a second, however many there are.
    pub(crate) fn tell_peers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (fleet, position) = (self.set.fleet_size, self.set.position);
        let due = self.set.limits.gossip && fleet > 1 && now >= self.m.next_tell;
        let Some(news) = self.subject().filter(|_| due) else { return };
        self.m.next_tell = now + if news.phase == Phase::Trial { PEER_EVERY } else { 2 * PEER_EVERY };
        let label = Label { build: news.build, stage: news.stage, sum: false, life: self.m.life };
        let payload = encode(label, &self.m.pool.mine);
        if fleet <= MESH_MOST {
            return out.push(Action::GossipToAll { payload });
        }
        for draw in 0..COLLECTORS {
            let seed = (u64::from(news.build) << 16) + (u64::from(news.stage) << 8) + draw;
            let collector = (Rng(seed).unit() * fleet as f64) as usize;
            if collector == position {
                let label = Label { sum: true, ..label };
                out.push(Action::GossipToAll { payload: encode(label, &self.m.pool.total()) });
            } else {
                out.push(Action::GossipToPeer { to: collector, payload: payload.clone() });
            }
        }
    }

    /// A supplement: none need come, and what cannot be true is not believed.
    pub(crate) fn on_peer_message(&mut self, from: usize, payload: &[u8]) {
        let fleet = self.set.fleet_size;
        let most = PEER_TIMES * (self.m.pool.mine.all() + WINDOW_ATTEMPTS as f64);
        let read = decode(payload, self.set.classes.len(), most * fleet as f64);
        let Some((label, evidence)) = read else { return };
        let current = self.m.news.is_some_and(|n| (n.build, n.stage) == (label.build, label.stage));
        let peer = from < fleet && from != self.set.position;
        if current && peer && (label.sum || evidence.all() <= most) {
            self.m.pool.hear(from, label, evidence);
        }
    }
}

/// Whether a breach over all machines is the doing of a part of them: the better half of the slices is
/// then hardly worse than the better half of the earlier ones. A lone one must stand out from their worst.
fn of_machines(evidence: &Evidence, hits: Hits) -> bool {
    let [new, earlier] = [evidence.slices(0, hits), evidence.slices(1, hits)];
    if let ([one], Some(worst)) = (&new[..], earlier.last()) {
        return share(&[*one]) <= share(&[*worst]);
    }
    let better = |slices: &[Slice]| share(&slices[..slices.len().div_ceil(2)]);
    better(&new) - better(&earlier) <= SPREAD_LEAST * (share(&new) - share(&earlier))
}
