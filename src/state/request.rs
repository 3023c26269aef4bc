//! Requests in flight and their attempts.

use crate::interface::{Micros, Outcome, Request, ServerEntry};

/// One attempt of a request.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Attempt {
    /// The server's entry as listed when the attempt was made.
    pub to: ServerEntry,
    /// That server may still have been in slow start.
    pub warming_up: bool,
    /// When it was sent.
    pub sent_at: Micros,
    /// Own attempts in flight at that server by then, this one included.
    pub concurrency: u32,
    /// It counts as one at a build on trial.
    pub exposed: bool,
    /// How it ended.
    pub ended: Option<Outcome>,
}

impl Attempt {
    /// Whether it has or may still have an effect.
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(Outcome::may_have_run)
    }
}

/// A request that awaits its final answer, or has it while attempts are still in flight.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlightRequest {
    /// As it arrived.
    pub request: Request,
    /// When it arrived.
    pub arrived: Micros,
    /// Its cost in microseconds, as hinted or as typical of its class.
    pub cost: f64,
    /// Its attempts in order.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or needs none.
    pub done: bool,
    /// Its answer is streaming.
    pub streaming: bool,
    /// When it is checked again.
    pub next_check: Micros,
}

impl InFlightRequest {
    /// A request just taken.
    pub fn new(request: Request, arrived: Micros, cost: f64) -> Self {
        InFlightRequest { request, arrived, cost, ..InFlightRequest::default() }
    }

    /// The first attempt that has or may still have an effect.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Numbers of the attempts in flight.
    pub fn unended(&self) -> impl Iterator<Item = usize> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.ended.is_none()).map(|(number, _)| number)
    }

    /// How many attempts are in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.unended().count()
    }
}
