//! Collects the measurements of all rounds and formats them as a table.

use super::client::ClientFigures;
use super::{DISTURBANCES, Disturbance, MEASURED};
use crate::measurement::load_generator::{quantile_ms, response_times};
use crate::measurement::{MeasurementError, median};
use std::fmt::Write;

/// Response times in one round under one disturbance, in milliseconds.
struct RoundTimes {
    p50: f64,
    p99: f64,
    max: f64,
}

/// The measurements of all rounds.
pub(super) struct Totals {
    /// Response times by disturbance, then by round.
    times: [Vec<RoundTimes>; MEASURED.len()],
    rejected: [u64; DISTURBANCES],
    requests: u64,
    lost: u64,
}

impl Totals {
    pub fn new() -> Totals {
        Totals {
            times: std::array::from_fn(|_| Vec::new()),
            rejected: [0; DISTURBANCES],
            requests: 0,
            lost: 0,
        }
    }

    /// Adds the measurements of the clients of one round.
    pub fn add_round(
        &mut self,
        round: usize,
        clients: &[ClientFigures],
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<(), MeasurementError> {
        for disturbance in MEASURED {
            let mut all = response_times()?;
            for client in clients {
                all.add(&client.times[disturbance as usize])?;
            }
            self.requests += all.len();
            let times = RoundTimes {
                p50: quantile_ms(&all, 0.5),
                p99: quantile_ms(&all, 0.99),
                max: all.max() as f64 / 1e3,
            };
            on_progress(&format!(
                "round {round}: {}: p50 {:.3} p99 {:.3} ms",
                disturbance.name(),
                times.p50,
                times.p99
            ));
            self.times[disturbance as usize].push(times);
        }
        for client in clients {
            self.lost += client.lost;
            for (total, rejected) in self.rejected.iter_mut().zip(client.rejected) {
                *total += rejected;
            }
        }
        Ok(())
    }

    /// Formats the table of medians.
    pub fn text(&self, control_connections: usize) -> String {
        let mut text = String::from(
            "| ms, medians | p50 | p99 | worst | refused, all rounds |\n| --- | --- | --- | --- | --- |\n",
        );
        for disturbance in MEASURED {
            let rounds = &self.times[disturbance as usize];
            let median_of = |value: fn(&RoundTimes) -> f64| {
                let values: Vec<f64> = rounds.iter().map(value).collect();
                median(&values)
            };
            let _ = writeln!(
                text,
                "| {} | {:.3} | {:.3} | {:.3} | {} |",
                disturbance.name(),
                median_of(|times| times.p50),
                median_of(|times| times.p99),
                median_of(|times| times.max),
                self.rejected[disturbance as usize]
            );
        }
        let _ = writeln!(
            text,
            "\n{} requests, {} lost, \
             {} refused between spans; {control_connections} control connections made",
            self.requests,
            self.lost,
            self.rejected[Disturbance::Changing as usize]
        );
        text
    }
}
