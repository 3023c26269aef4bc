//! Requests as they come: an open loop, drawn ahead of any answer.

use super::Rng;
use crate::day::{ClassSpec, Day};
use rand::{RngExt, SeedableRng};

/// What a client wants.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// When.
    pub at: u64,
    /// Of which class.
    pub class: usize,
    /// For which customer.
    pub tenant: usize,
    /// Its work.
    pub work: u64,
    /// What it says of its work.
    pub hint: Option<u64>,
    /// What it concerns; 0: nothing.
    pub key: u64,
}

/// Draws a day's requests one after another.
#[derive(Debug)]
pub struct Traffic {
    rng: Rng,
    day: Day,
    at: f64,
    /// Keys' popularity, added up.
    keys: Vec<f64>,
    next_key: u64,
}

impl Traffic {
    /// A day's requests.
    pub fn new(day: &Day) -> Self {
        let mut sum = 0.0;
        let weight = |k: u64| 1.0 / ((k + 1) as f64).powf(day.traffic.key_skew);
        let keys = (0..day.traffic.keys)
            .map(|k| {
                sum += weight(k);
                sum
            })
            .collect();
        Traffic { rng: Rng::seed_from_u64(day.seed), day: day.clone(), at: 0.0, keys, next_key: 1 << 40 }
    }

    fn factor(&self) -> f64 {
        let place = self.at / self.day.length as f64;
        let shape = &self.day.traffic.shape;
        let after = shape.iter().position(|p| p.0 >= place);
        match after {
            None => shape.last().map_or(1.0, |p| p.1),
            Some(0) => shape[0].1,
            Some(i) => {
                let (a, b) = (shape[i - 1], shape[i]);
                a.1 + (b.1 - a.1) * (place - a.0) / (b.0 - a.0).max(1e-9)
            }
        }
    }

    fn weighted(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut left = self.rng.random::<f64>() * total;
        for (i, w) in weights.iter().enumerate() {
            left -= w;
            if left < 0.0 {
                return i;
            }
        }
        weights.len().saturating_sub(1)
    }

    /// A lognormal draw of mean 1.
    fn spread(&mut self, cv: f64) -> f64 {
        let sigma2 = (1.0 + cv * cv).ln();
        let (u, v): (f64, f64) = (self.rng.random::<f64>().max(1e-12), self.rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (sigma2.sqrt() * normal - sigma2 / 2.0).exp()
    }

    fn key(&mut self, class: &ClassSpec) -> u64 {
        if let Some(total) = self.keys.last().copied() {
            let point = self.rng.random::<f64>() * total;
            return self.keys.partition_point(|k| *k < point) as u64 + 1;
        }
        if !class.effect.is_keyed() {
            return 0;
        }
        // A key of its own for each request that needs one.
        self.next_key += 1;
        self.next_key
    }
}

impl Iterator for Traffic {
    type Item = Wish;

    fn next(&mut self) -> Option<Wish> {
        let rate = (self.day.traffic.rate * self.factor()).max(1e-3);
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate * 1e6;
        self.at += gap;
        if self.at >= self.day.length as f64 {
            return None;
        }
        let shares: Vec<f64> = self.day.classes.iter().map(|c| c.share).collect();
        let class = self.weighted(&shares);
        let tenants: Vec<f64> = self.day.tenants.iter().map(|t| t.1).collect();
        let tenant = self.weighted(&tenants);
        let spec = self.day.classes[class].clone();
        let work = (spec.work * self.spread(spec.cv)).max(1.0);
        let hint = self.day.traffic.hints.then(|| (work * self.spread(0.3)) as u64).filter(|h| *h > 0);
        let key = self.key(&spec);
        Some(Wish { at: self.at as u64, class, tenant, work: work as u64, hint, key })
    }
}
