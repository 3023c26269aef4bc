//! Rule 1: every request that a running proxy accepted gets one final response in time, and no attempt is
//! sent after that response.

use crate::run::{RequestHistory, Run, SentRequest, Timed};
use crate::{CheckReport, FinalResponse, Rule, Rules};

/// Checks the responses to every request, and that no proxy wrote bytes outside a response.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    for (&id, history) in &run.requests {
        let Some(sent) = history.sent else {
            let at = history.attempts.first().map_or(0, |&index| run.attempts[index].at);
            let description = format!("request {id} reached a server, but no client sent it");
            report.add_violation(Rule::FinalResponse, at, description);
            continue;
        };
        report.count_examined(Rule::FinalResponse);
        RequestCheck::new(rules, run, id, history, sent).check(report);
    }
    for bytes in &run.unexpected_bytes {
        let description = format!("proxy {} sent bytes that belong to no response", bytes.value);
        report.add_violation(Rule::FinalResponse, bytes.at, description);
    }
}

/// The state for checking one request.
struct RequestCheck<'a> {
    rules: &'a Rules,
    run: &'a Run<'a>,
    id: u64,
    history: &'a RequestHistory,
    sent: SentRequest,
    /// The total length of the proxy's pauses between the request and its due time, in microseconds.
    paused: u64,
    /// The latest time of a response that is still in time.
    latest: u64,
    /// The final responses, without connections that closed before a response.
    responses: Vec<Timed<FinalResponse>>,
}

impl<'a> RequestCheck<'a> {
    fn new(
        rules: &'a Rules,
        run: &'a Run<'a>,
        id: u64,
        history: &'a RequestHistory,
        sent: SentRequest,
    ) -> Self {
        let due = sent.deadline + rules.deadline_grace + rules.observation_slack;
        // A paused proxy cannot respond, so the time that it was paused is added to its deadline.
        let paused = run.paused_within(sent.proxy, sent.at, due);
        let responses = history.responses.iter().filter(|r| r.value != FinalResponse::ConnectionClosed);
        let responses = responses.copied().collect();
        RequestCheck { rules, run, id, history, sent, paused, latest: due + paused, responses }
    }

    fn check(&self, report: &mut CheckReport) {
        let id = self.id;
        if let Some(second) = self.responses.get(1) {
            let description = format!("request {id} got {} final answers", self.responses.len());
            report.add_violation(Rule::FinalResponse, second.at, description);
        }
        match self.responses.first() {
            Some(response) => {
                self.check_deadline(response.at, report);
                self.check_nothing_sent_after(response.at, report);
            }
            None => self.check_unanswered(report),
        }
    }

    fn check_deadline(&self, responded_at: u64, report: &mut CheckReport) {
        if responded_at > self.latest && !self.is_excused(responded_at) {
            let late_ms = (responded_at - self.sent.deadline) / 1_000;
            let description = format!("request {} answered {late_ms} ms after its deadline", self.id);
            report.add_violation(Rule::FinalResponse, responded_at, description);
        }
    }

    fn check_nothing_sent_after(&self, responded_at: u64, report: &mut CheckReport) {
        let mut arrivals = self.history.attempts.iter().map(|&index| self.run.attempts[index].at);
        if let Some(at) = arrivals.find(|at| *at > responded_at + self.rules.observation_slack) {
            let late_ms = (at - responded_at) / 1_000;
            let description = format!("request {} sent to a server {late_ms} ms after its answer", self.id);
            report.add_violation(Rule::FinalResponse, at, description);
        }
    }

    fn check_unanswered(&self, report: &mut CheckReport) {
        let id = self.id;
        let proxy = self.sent.proxy;
        let closed = self.history.responses.iter().find(|r| r.value == FinalResponse::ConnectionClosed);
        if let Some(closed) = closed {
            let streaming = self.rules.classes.get(self.sent.class).is_some_and(|class| class.streaming);
            if !streaming && !self.is_excused(closed.at + self.rules.observation_slack) {
                let description = format!("request {id}: closed by proxy {proxy} without an answer");
                report.add_violation(Rule::FinalResponse, closed.at, description);
            }
            return;
        }
        // A request near the end of the run is no violation if its response was not yet due when the
        // records end.
        let was_due = self.run.last_event >= self.latest;
        if was_due && !self.is_excused(self.latest) {
            let description = format!("request {id} got no answer from proxy {proxy}");
            report.add_violation(Rule::FinalResponse, self.latest, description);
        }
    }

    /// Whether the proxy owes no response: it was killed by `until`, the client disconnected before the
    /// deadline, or the client disconnected at any time and the proxy had been paused.
    fn is_excused(&self, until: u64) -> bool {
        let slack = self.rules.observation_slack;
        let client_disconnected =
            self.history.disconnected.is_some_and(|at| at + slack < self.sent.deadline || self.paused > 0);
        let from = self.sent.at.saturating_sub(slack);
        client_disconnected || self.run.killed_within(self.sent.proxy, from, until)
    }
}
