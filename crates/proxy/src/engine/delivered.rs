//! The latest answers that were delivered to clients, kept so that a client can report one of them as wrong.

use super::Engine;
use std::collections::{HashMap, VecDeque};
use violetseam::interface::{Event, Micros, RequestId, ServerId};

/// The number of answers that are kept; an older answer can no longer be reported as wrong.
const MAX_DELIVERED_ANSWERS: usize = 65_536;

/// The facts about a delivered answer that are needed when a client reports it as wrong.
#[derive(Clone, Copy, Debug)]
struct DeliveredAnswer {
    server: ServerId,
    class: usize,
    sent_at: Micros,
}

/// The latest delivered answers, by the answer id that the client was given.
#[derive(Debug, Default)]
pub(super) struct DeliveredAnswers {
    by_id: HashMap<u64, DeliveredAnswer>,
    oldest_first: VecDeque<u64>,
}

impl DeliveredAnswers {
    fn insert(&mut self, answer: u64, delivered: DeliveredAnswer) {
        self.by_id.insert(answer, delivered);
        self.oldest_first.push_back(answer);
        if self.oldest_first.len() <= MAX_DELIVERED_ANSWERS {
            return;
        }
        if let Some(oldest) = self.oldest_first.pop_front() {
            self.by_id.remove(&oldest);
        }
    }
}

impl Engine {
    /// Records an answer that is about to be delivered with the id `answer`, so that the client can report it
    /// as wrong. An answer that will not be delivered is not recorded.
    pub fn record_delivered_answer(&mut self, id: RequestId, number: usize, answer: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_final = request.streaming.is_none_or(|streaming| streaming == number) && !request.finished;
        if !is_final {
            return;
        }
        let Some(attempt) = request.pending_attempt(number) else { return };
        let delivered =
            DeliveredAnswer { server: attempt.server, class: request.class, sent_at: attempt.sent_at };
        self.delivered.insert(answer, delivered);
    }

    /// Handles a client's report that the answer with this id is wrong. Returns false if the id is unknown or
    /// the answer was reported before.
    pub fn on_answer_reported(&mut self, now: Micros, answer: u64) -> bool {
        let Some(delivered) = self.delivered.by_id.remove(&answer) else { return false };
        let since = now.saturating_sub(delivered.sent_at);
        self.on_answer_flagged(now, delivered.server, delivered.class, since);
        true
    }

    /// Handles a report of a wrong answer from a platform that names the server itself. `since` is the time
    /// since the attempt was sent, in microseconds.
    pub fn on_answer_flagged(&mut self, now: Micros, server: ServerId, class: usize, since: Micros) {
        self.feed(now, Event::AnswerFlagged { server, class, since });
    }
}
