//! Slow start: limits what is sent to a server that is warming up, so that it is not overloaded.

use crate::balancer::Balancer;
use crate::interface::{Micros, ServerId};
use crate::time::SECOND;

/// The share of a warming server's budget that this balancer uses.
const BUDGET_SHARE: f64 = 0.6;
/// The share of a warming server's budget that is spent at random when the budget is below one request.
const SMALL_BUDGET_SHARE: f64 = 0.5;
/// The window over which offered and served load are averaged.
const LOAD_WINDOW: Micros = 2 * SECOND;
/// The estimate of the capacity falls to no less than this share of itself in each round of maintenance.
const CAPACITY_ESTIMATE_RETAINED: f64 = 0.995;

impl Balancer {
    /// The largest share of all weight that a warming server may have, from 0 to 1.
    ///
    /// The server's budget over any overload span is small enough to hold even when every balancer spends the
    /// same: each balancer counts its own sends against the load that its own warm servers are seen to carry.
    /// When the budget is below one request, requests are sent at random with a chance that keeps to the
    /// budget: if each of hundreds of balancers sent one request, the server would get hundreds.
    pub(crate) fn slow_start_share(
        &mut self,
        now: Micros,
        id: ServerId,
        cost: f64,
        chance_already_drawn: bool,
    ) -> f64 {
        let offered_rate = self.state.offered_cost.sum(now, LOAD_WINDOW) / 2.0;
        let Some(server) = self.state.servers.get_mut(&id) else { return 0.0 };
        let rules = &self.settings.rules;
        let size = server.size(self.settings.sizes_known);
        let warm_fraction = server.warm_fraction(now, rules);
        let rate =
            BUDGET_SHARE * rules.overload_multiple * warm_fraction * self.state.warm_capacity_rate * size;
        let budget = rate * rules.overload_span as f64 / SECOND as f64;
        if budget < cost {
            if chance_already_drawn {
                return 0.0;
            }
            return (SMALL_BUDGET_SHARE * rate / offered_rate.max(1.0)).min(1.0);
        }
        let sent = server.sent_cost.sum(now, rules.overload_span);
        if sent + cost <= budget { 1.0 } else { 0.0 }
    }

    /// Updates the estimate of the load that a warm server of size 1 carries, provided that at least half of
    /// the listed capacity is warm.
    pub(crate) fn update_capacity_estimate(&mut self, now: Micros) {
        let sizes = self.state.ready_sizes(now, &self.settings.rules, self.settings.sizes_known);
        if sizes.warm * 2.0 >= sizes.all && sizes.warm > 0.0 {
            let rate = self.state.served_cost.sum(now, LOAD_WINDOW) / 2.0 / sizes.warm;
            self.state.warm_capacity_rate =
                rate.max(self.state.warm_capacity_rate * CAPACITY_ESTIMATE_RETAINED);
        }
    }
}
