//! What a member sends: its list of ejected servers to all members, and its observations to the servers' collectors.

use super::message::{Entry, GossipMessage, MAX_ENTRIES, MessageId, MessageKind};
use super::observation::{AttemptCounts, Observation};
use super::{OutlierGossip, ServerId, TrackedServer};
use crate::types::{Micros, OutgoingMessage};
use std::collections::{BTreeMap, BTreeSet};

/// Polls between two reports on the same server, unless the finding has changed.
const POLLS_BETWEEN_REPORTS: u64 = 5;
/// How often a report or a changed list of ejected servers is sent, as either may be lost.
const TRANSMISSIONS: u8 = 2;
/// Rounds to all members during which a list of ejected servers is valid: it outlives two that are lost.
const ROUNDS_PER_LIFETIME: u64 = 3;
/// Polls that are added to the length of a round, for delays.
const SPARE_POLLS_PER_ROUND: u64 = 5;

/// The broadcast of the servers that this member has ejected as a collector.
#[derive(Clone, Debug)]
pub(super) struct EjectionBroadcast {
    /// The list that was sent last.
    pub ejected: BTreeSet<ServerId>,
    /// Messages that are still to be sent in the present round or rounds.
    remaining: usize,
    next_recipient: usize,
    next_round_at: Micros,
}

/// What was last reported on a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    sent_at: Micros,
    observed_at: Micros,
    was_bad: bool,
    transmissions: u8,
}

/// An entry of a message that is to be sent.
#[derive(Clone, Copy, Debug)]
struct DueReport {
    server: ServerId,
    counts: AttemptCounts,
}

impl EjectionBroadcast {
    /// No server ejected so far.
    pub fn new(now: Micros, next_recipient: usize) -> EjectionBroadcast {
        EjectionBroadcast { ejected: BTreeSet::new(), remaining: 0, next_recipient, next_round_at: now }
    }
}

impl TrackedServer {
    /// Whether an observation has not been reported yet, or not often enough.
    fn needs_report(&self, now: Micros, observation: Observation, min_interval: Micros) -> bool {
        let Some(last) = self.last_report else { return true };
        let is_repeat_due = last.observed_at < observation.observed_at || last.transmissions < TRANSMISSIONS;
        let has_changed = last.was_bad != observation.counts.is_bad();
        has_changed || (is_repeat_due && now >= last.sent_at + min_interval)
    }

    /// Notes that the present observation is being sent.
    fn record_report(&mut self, now: Micros, is_bad: bool) {
        let Some(observed_at) = self.last_attempt_at else {
            self.last_report = None;
            return;
        };
        let same = self.last_report.filter(|last| last.observed_at == observed_at && last.was_bad == is_bad);
        let transmissions = same.map_or(1, |last| last.transmissions + 1);
        self.last_report = Some(LastReport { sent_at: now, observed_at, was_bad: is_bad, transmissions });
    }
}

impl OutlierGossip {
    /// The messages to send now, at most [`super::GossipSettings::max_messages_per_poll`]. To be called every
    /// [`super::GossipSettings::poll_interval`]. Lists of ejected servers, which are rare, go before observations.
    pub fn poll_messages(&mut self, now: Micros) -> Vec<OutgoingMessage> {
        let own_observations_trusted = !self.suspects_own_uplink(now);
        self.update_broadcast(now, own_observations_trusted);
        let mut outgoing = self.broadcast_messages(now);
        if own_observations_trusted {
            let max_messages = self.settings.max_messages_per_poll - outgoing.len();
            outgoing.extend(self.report_messages(now, max_messages));
        }
        outgoing
    }

    /// Starts a round if the list of ejected servers has changed, also to an empty one, or is to be renewed.
    fn update_broadcast(&mut self, now: Micros, own_observations_trusted: bool) {
        let ejected = self.judge(now, own_observations_trusted);
        let has_changed = ejected != self.broadcast.ejected;
        let renewal_due = !ejected.is_empty() && now >= self.broadcast.next_round_at;
        if !has_changed && !renewal_due {
            return;
        }
        let rounds = if has_changed { usize::from(TRANSMISSIONS) } else { 1 };
        self.broadcast.ejected = ejected;
        self.broadcast.remaining = rounds * (self.settings.members - 1);
        self.broadcast.next_round_at = now + self.ejections_lifetime() / ROUNDS_PER_LIFETIME;
    }

    /// How long a list of ejected servers is valid at those who received it.
    pub(super) fn ejections_lifetime(&self) -> Micros {
        let polls_per_round =
            self.settings.members.div_ceil(self.settings.max_messages_per_poll.max(1)) as u64;
        ROUNDS_PER_LIFETIME * (polls_per_round + SPARE_POLLS_PER_ROUND) * self.settings.poll_interval
    }

    /// The next part of the present round.
    fn broadcast_messages(&mut self, now: Micros) -> Vec<OutgoingMessage> {
        let no_counts = AttemptCounts::default();
        let listed: Vec<DueReport> =
            self.broadcast.ejected.iter().map(|&server| DueReport { server, counts: no_counts }).collect();
        let mut outgoing = Vec::new();
        while outgoing.len() < self.settings.max_messages_per_poll && self.broadcast.remaining > 0 {
            let recipient = self.broadcast.next_recipient;
            if recipient != self.settings.position {
                self.broadcast.remaining -= 1;
                let payload = self.encode(now, MessageKind::Ejections, &listed);
                outgoing.push(OutgoingMessage { to: recipient, payload });
            }
            self.broadcast.next_recipient = (recipient + 1) % self.settings.members;
        }
        outgoing
    }

    /// Observations that are new to their collectors, in at most `max_messages` messages, one per collector. What does not
    /// fit waits for the next poll.
    fn report_messages(&mut self, now: Micros, max_messages: usize) -> Vec<OutgoingMessage> {
        if max_messages == 0 {
            return Vec::new();
        }
        let mut by_collector: BTreeMap<usize, Vec<DueReport>> = BTreeMap::new();
        for report in self.due_reports(now) {
            let position = self.settings.position;
            let Some(server) = self.servers.get_mut(&report.server) else { continue };
            let recipients: Vec<usize> =
                server.collectors.iter().copied().filter(|collector| *collector != position).collect();
            if !has_room(&by_collector, &recipients, max_messages) {
                continue;
            }
            server.record_report(now, report.counts.is_bad());
            for recipient in recipients {
                by_collector.entry(recipient).or_default().push(report);
            }
        }
        let mut outgoing = Vec::new();
        for (collector, reports) in by_collector {
            let payload = self.encode(now, MessageKind::Observations, &reports);
            outgoing.push(OutgoingMessage { to: collector, payload });
        }
        outgoing
    }

    /// The observations that are to be sent, bad ones first.
    fn due_reports(&self, now: Micros) -> Vec<DueReport> {
        let min_interval = POLLS_BETWEEN_REPORTS * self.settings.poll_interval;
        let mut due: Vec<DueReport> = Vec::new();
        for (&id, server) in &self.servers {
            let observation = server.recent_observation(now, self.settings.observation_window);
            let Some(observation) = observation else { continue };
            if server.needs_report(now, observation, min_interval) {
                due.push(DueReport { server: id, counts: observation.counts });
            }
        }
        due.sort_unstable_by_key(|report| (!report.counts.is_bad(), report.server));
        due
    }

    /// The payload of the next message.
    fn encode(&mut self, now: Micros, kind: MessageKind, reports: &[DueReport]) -> Vec<u8> {
        self.last_message_number = self.last_message_number.wrapping_add(1);
        let id = MessageId { incarnation: self.incarnation, number: self.last_message_number };
        let entry = |report: &DueReport| {
            let last_attempt_at = self.servers.get(&report.server).and_then(|server| server.last_attempt_at);
            let age = now.saturating_sub(last_attempt_at.unwrap_or(now));
            Entry { server: report.server, counts: report.counts, age }
        };
        let entries = reports.iter().map(entry).collect();
        GossipMessage { kind, id, entries }.encode()
    }
}

/// Whether a report to these recipients fits into their messages without more than `max_messages` in all.
fn has_room(
    by_collector: &BTreeMap<usize, Vec<DueReport>>,
    recipients: &[usize],
    max_messages: usize,
) -> bool {
    let new_messages = recipients.iter().filter(|recipient| !by_collector.contains_key(recipient)).count();
    let is_full =
        |recipient: &usize| by_collector.get(recipient).is_some_and(|reports| reports.len() >= MAX_ENTRIES);
    by_collector.len() + new_messages <= max_messages && !recipients.iter().any(is_full)
}
