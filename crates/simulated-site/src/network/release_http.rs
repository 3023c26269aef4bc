//! The release desk over HTTP: news, votes and their replies.

use super::connection::{Conn, Later, Role};
use super::state::{Releases, Site};
use crate::scenario::FaultKind;
use http::Method;
use rand::RngExt;
use violetseam_site_protocol::release_service::{Vote, VoteOutcome, VoteReply};

impl Site {
    pub(super) fn serve_release_service(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let Some(head) = conn.head.take() else { return };
        let body = std::mem::take(&mut conn.body);
        let generation = conn.generation;
        if head.method == Method::POST {
            let reply = self.vote(now, key, generation, &body);
            if let Some(reply) = reply {
                self.kept.at(
                    now + self.scenario.rollout.vote_latency,
                    Later::Reply(key, generation, reply.write()),
                );
            }
            return;
        }
        let proxy = head.target.split_once("proxy=").and_then(|(_, n)| n.parse().ok()).unwrap_or(u32::MAX);
        if self.cut_off(FaultKind::ReleaseServicePartition, proxy) {
            return;
        }
        let news = self.news_told(now);
        self.see_news(proxy, news);
        self.stream(key, &news.write(), false);
        if let Some(conn) = self.conns.get_mut(key) {
            conn.stream = Some((proxy, Some(news), now));
        }
    }

    /// A vote; no reply while the desk is silent, though half of them count.
    fn vote(&mut self, now: u64, key: usize, generation: u64, body: &[u8]) -> Option<VoteReply> {
        let Ok(vote) = Vote::parse(body) else {
            return Some(VoteReply { outcome: VoteOutcome::Error, release: None });
        };
        if self.cut_off(FaultKind::ReleaseServicePartition, vote.proxy as u32) {
            return None;
        }
        let silent = self.active(FaultKind::ReleaseServiceUnresponsive).is_some();
        if silent && self.rng.random::<f64>() < 0.5 {
            return None;
        }
        if self.active(FaultKind::ReleaseServiceErrors).is_some() {
            return Some(VoteReply { outcome: VoteOutcome::Error, release: None });
        }
        let outcome = match &mut self.desk {
            Releases::StandIn(desk) => desk.vote(now, &vote),
            Releases::Controller(remote) => {
                self.kept.generation += 1;
                let token = self.kept.generation;
                let waits = (!silent).then_some((key, generation));
                self.kept.votes.insert(token, (waits, vote));
                remote.vote(token, &vote);
                return None;
            }
        };
        if outcome == VoteOutcome::Ok {
            *self.report.votes.entry(vote.proxy).or_default() += 1;
            let Vote { proxy, build, stage, verdict } = vote;
            let _ = self.say.send(format!("proxy {proxy} votes {verdict:?} on build {build}, stage {stage}"));
        }
        let news = (outcome == VoteOutcome::Ok).then(|| self.desk.news());
        if let Some(news) = news.filter(|_| !silent) {
            self.see_news(vote.proxy as u32, news);
        }
        (!silent).then_some(VoteReply { outcome, release: news })
    }

    /// Replies of the controller's go on to the proxies that wait for them.
    pub(super) fn pass_replies(&mut self, now: u64) {
        while let Releases::Controller(remote) = &mut self.desk
            && let Some((token, reply)) = remote.reply()
        {
            let Some((waits, vote)) = self.kept.votes.remove(&token) else { continue };
            // Out of reach: the proxy hears nothing, and whether its vote counts is open.
            let Some(mut reply) = reply else { continue };
            if reply.outcome == VoteOutcome::Ok {
                *self.report.votes.entry(vote.proxy).or_default() += 1;
                let Vote { proxy, build, stage, verdict } = vote;
                let _ =
                    self.say.send(format!("proxy {proxy} votes {verdict:?} on build {build}, stage {stage}"));
            }
            let Some((key, generation)) = waits else { continue };
            // All news are equally late here: a reply ahead of the stream would be followed by older news.
            reply.release = reply.release.map(|_| self.news_told(now));
            if let Some(news) = reply.release {
                self.see_news(vote.proxy as u32, news);
            }
            self.kept.at(now, Later::Reply(key, generation, reply.write()));
        }
    }

    /// News go to each proxy when they change, and again now and then.
    pub(super) fn tell_news(&mut self, now: u64) {
        if self.active(FaultKind::ReleaseServiceUnresponsive).is_some() {
            return;
        }
        let (news, push) = (self.news_told(now), self.scenario.rollout.resend_interval);
        let due = |c: &Conn| {
            let told = c.stream.filter(|_| c.role == Role::ReleaseService);
            told.filter(|(_, last, at)| *last != Some(news) || now >= at + push).map(|t| t.0)
        };
        let due: Vec<(usize, u32)> = self.conns.iter().filter_map(|(k, c)| Some((k, due(c)?))).collect();
        for (key, proxy) in due {
            self.see_news(proxy, news);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, Some(news), now));
            }
            self.stream_more(key, &news.write());
        }
    }
}
