//! Generates the clients' requests as an open loop: arrivals do not depend on any response.

use super::RandomSource;
use crate::scenario::{ClassSpec, Scenario};
use rand::{RngExt, SeedableRng};

/// Start of the unique keys that requests of keyed classes get when the scenario defines no set of keys.
const FIRST_UNIQUE_KEY: u64 = 1 << 40;
/// Lower bound of the request rate, in requests per second.
const MIN_RATE: f64 = 1e-3;
/// Lower bound of a uniform draw before its logarithm is taken.
const MIN_UNIFORM: f64 = 1e-12;
/// Coefficient of variation of the cost hints around the actual work.
const COST_HINT_VARIATION: f64 = 0.3;

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// When the request arrives.
    pub at: u64,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// Work of the request.
    pub work: u64,
    /// The client's estimate of the work, if the request carries one.
    pub cost_hint: Option<u64>,
    /// The request's key; 0 if it has none.
    pub key: u64,
}

/// Draws the requests of a scenario in the order of their arrival.
#[derive(Debug)]
pub struct TrafficGenerator {
    random: RandomSource,
    scenario: Scenario,
    /// Arrival time of the last request.
    at: f64,
    /// Cumulative popularity of the keys; empty if the scenario defines no set of keys.
    cumulative_key_weights: Vec<f64>,
    next_unique_key: u64,
}

impl TrafficGenerator {
    /// Creates the generator of a scenario's requests.
    pub fn new(scenario: &Scenario) -> Self {
        let mut total = 0.0;
        let key_weight = |key: u64| 1.0 / ((key + 1) as f64).powf(scenario.traffic.key_skew);
        let cumulative = (0..scenario.traffic.keys).map(|key| {
            total += key_weight(key);
            total
        });
        TrafficGenerator {
            cumulative_key_weights: cumulative.collect(),
            random: RandomSource::seed_from_u64(scenario.seed),
            scenario: scenario.clone(),
            at: 0.0,
            next_unique_key: FIRST_UNIQUE_KEY,
        }
    }

    /// Factor on the average rate at the arrival time of the last request.
    fn rate_factor(&self) -> f64 {
        let position = self.at / self.scenario.length as f64;
        let shape = &self.scenario.traffic.shape;
        match shape.iter().position(|point| point.0 >= position) {
            None => shape.last().map_or(1.0, |point| point.1),
            Some(0) => shape[0].1,
            Some(next) => interpolate(shape[next - 1], shape[next], position),
        }
    }

    /// Draws an index with a probability in proportion to its weight.
    fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut remaining = self.random.random::<f64>() * total;
        for (index, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        weights.len().saturating_sub(1)
    }

    /// Draws from the lognormal distribution of mean 1 and coefficient of variation `cv`.
    fn lognormal(&mut self, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let radius_draw: f64 = self.random.random::<f64>().max(MIN_UNIFORM);
        let angle_draw: f64 = self.random.random();
        let normal = (-2.0 * radius_draw.ln()).sqrt() * (std::f64::consts::TAU * angle_draw).cos();
        (variance.sqrt() * normal - variance / 2.0).exp()
    }

    /// Draws the key of a request; 0 if it has none.
    fn draw_key(&mut self, class: &ClassSpec) -> u64 {
        if let Some(total) = self.cumulative_key_weights.last().copied() {
            let point = self.random.random::<f64>() * total;
            return self.cumulative_key_weights.partition_point(|weight| *weight < point) as u64 + 1;
        }
        if !class.idempotency.is_keyed() {
            return 0;
        }
        self.next_unique_key += 1;
        self.next_unique_key
    }
}

/// Interpolates the factor at a position between two points, each of a position and a factor.
fn interpolate(before: (f64, f64), after: (f64, f64), position: f64) -> f64 {
    before.1 + (after.1 - before.1) * (position - before.0) / (after.0 - before.0).max(1e-9)
}

impl Iterator for TrafficGenerator {
    type Item = ClientRequest;

    fn next(&mut self) -> Option<ClientRequest> {
        let rate = (self.scenario.traffic.rate * self.rate_factor()).max(MIN_RATE);
        let gap = -self.random.random::<f64>().max(MIN_UNIFORM).ln() / rate * 1e6;
        self.at += gap;
        if self.at >= self.scenario.length as f64 {
            return None;
        }
        let class_shares: Vec<f64> = self.scenario.classes.iter().map(|class| class.share).collect();
        let class = self.weighted_index(&class_shares);
        let tenant_shares: Vec<f64> = self.scenario.tenants.iter().map(|tenant| tenant.1).collect();
        let tenant = self.weighted_index(&tenant_shares);
        let spec = self.scenario.classes[class].clone();
        let work = (spec.work * self.lognormal(spec.cv)).max(1.0);
        let cost_hint = if self.scenario.traffic.hints {
            Some((work * self.lognormal(COST_HINT_VARIATION)) as u64).filter(|hint| *hint > 0)
        } else {
            None
        };
        let key = self.draw_key(&spec);
        Some(ClientRequest { at: self.at as u64, class, tenant, work: work as u64, cost_hint, key })
    }
}
