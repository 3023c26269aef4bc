//! Slow start: how much a server that is warming up may be sent, so that it does not fall over.

use crate::balancer::Balancer;
use crate::interface::{Micros, ServerId};
use crate::time::SECOND;

/// Share of a warming server's budget that this balancer allows itself.
const BUDGET_SHARE: f64 = 0.6;
/// Chance, as a share of a warming server's budget, where that is under one request.
const SMALL_BUDGET_CHANCE: f64 = 0.5;
/// Window over which offered and served load are averaged.
const LOAD_WINDOW: Micros = 2 * SECOND;
/// Share of the capacity estimate that is left after each round of maintenance.
const CAPACITY_DECAY: f64 = 0.995;

impl Balancer {
    /// The share of all weight that a warming server may have, 0 to 1.
    ///
    /// Its budget over any overload span is small enough to hold when every balancer does the same: own sends
    /// are counted against what own warm servers are seen to carry. Under one request a chance that keeps to
    /// the budget stands in: one send from each of hundreds of balancers would be hundreds.
    pub(crate) fn slow_start_share(
        &mut self,
        now: Micros,
        id: ServerId,
        cost: f64,
        chance_used: bool,
    ) -> f64 {
        let offered_rate = self.state.offered_cost.sum(now, LOAD_WINDOW) / 2.0;
        let Some(server) = self.state.servers.get_mut(&id) else { return 0.0 };
        let rules = &self.settings.rules;
        let size = server.size(self.settings.sizes_known);
        let warm_fraction = server.warm_fraction(now, rules);
        let rate = BUDGET_SHARE * rules.overload_multiple * warm_fraction * self.state.warm_rate * size;
        let budget = rate * rules.overload_span as f64 / SECOND as f64;
        if budget < cost {
            if chance_used {
                return 0.0;
            }
            return (SMALL_BUDGET_CHANCE * rate / offered_rate.max(1.0)).min(1.0);
        }
        let sent = server.sent_cost.sum(now, rules.overload_span);
        if sent + cost <= budget { 1.0 } else { 0.0 }
    }

    /// Brings up to date what a warm server of size 1 is seen to carry, where at least half of the listed
    /// capacity is warm.
    pub(crate) fn update_capacity_estimate(&mut self, now: Micros) {
        let sizes = self.state.ready_sizes(now, &self.settings.rules, self.settings.sizes_known);
        if sizes.warm * 2.0 >= sizes.all && sizes.warm > 0.0 {
            let rate = self.state.served_cost.sum(now, LOAD_WINDOW) / 2.0 / sizes.warm;
            self.state.warm_rate = rate.max(self.state.warm_rate * CAPACITY_DECAY);
        }
    }
}
