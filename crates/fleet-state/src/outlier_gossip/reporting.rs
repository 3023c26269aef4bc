//! Creates the messages that a member sends: its list of ejected servers for all members, and its
//! observations for the servers' collectors.

use super::message::{Entry, GossipMessage, MAX_ENTRIES, MessageId, MessageKind};
use super::observation::{AttemptCounts, Observation};
use super::{OutlierGossip, ServerId, TrackedServer};
use crate::types::{Micros, OutgoingMessage};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum number of polls between two reports on the same server. A report that changes whether the
/// server is bad is not delayed.
const POLLS_BETWEEN_REPORTS: u64 = 5;
/// How many times a report or a changed list of ejected servers is sent, because each message may be lost.
const TRANSMISSIONS: u8 = 2;
/// The number of broadcast rounds for which a list of ejected servers is valid. The list outlives the loss of
/// two rounds.
const ROUNDS_PER_LIFETIME: u64 = 3;
/// The number of polls that are added to the length of a round to allow for delays.
const SPARE_POLLS_PER_ROUND: u64 = 5;

/// The state of the broadcast of the servers that this member ejects as a collector. In one round, the list
/// is sent to each other member.
#[derive(Clone, Debug)]
pub(super) struct EjectionBroadcast {
    /// The list that is being sent, or was sent last.
    pub ejected: BTreeSet<ServerId>,
    /// The number of messages that the current rounds still have to send.
    remaining: usize,
    next_recipient: usize,
    next_round_at: Micros,
}

/// The last report on a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    sent_at: Micros,
    observed_at: Micros,
    was_bad: bool,
    /// How many times the same observation has been sent.
    transmissions: u8,
}

/// A server that is to be listed in a message, and the counts to report.
#[derive(Clone, Copy, Debug)]
struct DueReport {
    server: ServerId,
    counts: AttemptCounts,
}

impl EjectionBroadcast {
    /// Creates the state of a broadcast without ejected servers.
    pub fn new(now: Micros, next_recipient: usize) -> EjectionBroadcast {
        EjectionBroadcast { ejected: BTreeSet::new(), remaining: 0, next_recipient, next_round_at: now }
    }
}

impl TrackedServer {
    /// Whether an observation must be reported. The first report on a server, and one that changes whether the
    /// server is bad, is due at once. Otherwise, an observation that is new or has been sent fewer than
    /// [`TRANSMISSIONS`] times is due once `min_interval` has passed since the last report.
    fn needs_report(&self, now: Micros, observation: Observation, min_interval: Micros) -> bool {
        let Some(last) = self.last_report else { return true };
        let is_repeat_due = last.observed_at < observation.observed_at || last.transmissions < TRANSMISSIONS;
        let has_changed = last.was_bad != observation.counts.is_bad();
        has_changed || (is_repeat_due && now >= last.sent_at + min_interval)
    }

    /// Records that the current observation is being sent.
    fn record_report(&mut self, now: Micros, is_bad: bool) {
        let Some(observed_at) = self.last_attempt_at else {
            self.last_report = None;
            return;
        };
        let repeated =
            self.last_report.filter(|last| last.observed_at == observed_at && last.was_bad == is_bad);
        let transmissions = repeated.map_or(1, |last| last.transmissions + 1);
        self.last_report = Some(LastReport { sent_at: now, observed_at, was_bad: is_bad, transmissions });
    }
}

impl OutlierGossip {
    /// Returns the messages to send now, at most [`super::GossipSettings::max_messages_per_poll`]. This must
    /// be called every [`super::GossipSettings::poll_interval`]. Lists of ejected servers, which are rare,
    /// are sent before observations.
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

    /// Starts a round if the list of ejected servers must be renewed, and several rounds if it has changed. A
    /// list that has become empty has also changed.
    fn update_broadcast(&mut self, now: Micros, own_observations_trusted: bool) {
        let ejected = self.servers_to_eject(now, own_observations_trusted);
        let has_changed = ejected != self.broadcast.ejected;
        let is_renewal_due = !ejected.is_empty() && now >= self.broadcast.next_round_at;
        if !has_changed && !is_renewal_due {
            return;
        }
        let rounds = if has_changed { usize::from(TRANSMISSIONS) } else { 1 };
        self.broadcast.ejected = ejected;
        self.broadcast.remaining = rounds * (self.settings.members - 1);
        self.broadcast.next_round_at = now + self.ejections_lifetime() / ROUNDS_PER_LIFETIME;
    }

    /// Returns how long a list of ejected servers is valid at its recipients.
    pub(super) fn ejections_lifetime(&self) -> Micros {
        let polls_per_round =
            self.settings.members.div_ceil(self.settings.max_messages_per_poll.max(1)) as u64;
        ROUNDS_PER_LIFETIME * (polls_per_round + SPARE_POLLS_PER_ROUND) * self.settings.poll_interval
    }

    /// Returns the next messages of the current rounds.
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

    /// Returns the messages with the observations that are due, one per collector and at most `max_messages`.
    /// Observations that do not fit wait for the next poll.
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

    /// Returns the observations that are due, with those of bad servers first.
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

    /// Encodes the next message and returns its payload.
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

/// Whether a report to these recipients fits into the messages for them, without more than `max_messages`
/// messages in total.
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
