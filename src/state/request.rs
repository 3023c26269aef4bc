//! Requests in flight and their attempts.

use crate::interface::{Micros, Outcome, Request, ServerEntry};

/// One attempt of a request.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Attempt {
    /// Entry of the server in the server list when the attempt was made.
    pub to: ServerEntry,
    /// Whether the server may still have been in slow start when the attempt was made.
    pub warming_up: bool,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Number of own attempts in flight at the server when this attempt was made, including this one.
    pub concurrency: u32,
    /// Whether the attempt counts as one at a build on trial.
    pub exposed: bool,
    /// How the attempt ended, or `None` while it is in flight.
    pub ended: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the server may have executed the request or may still execute it.
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(Outcome::may_have_run)
    }
}

/// A request that has no final response yet, or that has it while attempts are still in flight.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlightRequest {
    /// The request as it arrived.
    pub request: Request,
    /// Time at which the request arrived.
    pub arrived: Micros,
    /// Cost of the request in microseconds: its cost hint, or the typical latency of its class.
    pub cost: f64,
    /// Attempts of the request, in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final response or needs none.
    pub done: bool,
    /// Whether the response is being streamed.
    pub streaming: bool,
    /// Time of the next check of the request.
    pub next_check: Micros,
    /// Time since which the request has needed a server: its arrival or the end of its last attempt.
    pub waiting_since: Micros,
}

impl InFlightRequest {
    /// Creates the state of a request that has just arrived.
    pub fn new(request: Request, arrived: Micros, cost: f64) -> Self {
        InFlightRequest { request, arrived, cost, waiting_since: arrived, ..InFlightRequest::default() }
    }

    /// Returns the first attempt that may have run or may still run.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns the numbers of the attempts in flight.
    pub fn attempt_numbers_in_flight(&self) -> impl Iterator<Item = usize> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.ended.is_none()).map(|(number, _)| number)
    }

    /// Returns how many attempts are in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempt_numbers_in_flight().count()
    }
}
