//! Slow start: limits what is sent to a server that is warming up, so that it is not overloaded.

use crate::balancer::Balancer;
use crate::interface::{Micros, ServerId};
use crate::time::SECOND;

/// The share of a warming server's budget that this balancer uses.
const BUDGET_SHARE: f64 = 0.6;
/// The share of a warming server's budget that is used, by random choice, when the budget is below the cost
/// of one request.
const SMALL_BUDGET_SHARE: f64 = 0.5;
/// The window over which offered and served load are averaged.
pub(crate) const LOAD_WINDOW: Micros = 2 * SECOND;
/// In each round of maintenance the capacity estimate falls to no less than this share of its value.
const CAPACITY_ESTIMATE_RETAINED: f64 = 0.995;

impl Balancer {
    /// The largest share of all weight that a warming server may have, from 0 to 1.
    ///
    /// The budget limits the cost that this balancer sends to the server within an overload span. It is
    /// derived from the load that this balancer alone puts on a warm server, so the server is not overloaded
    /// even if every balancer uses up its budget. When the budget is below the cost of one request, requests
    /// are sent at random with a probability that keeps to the budget: if each of hundreds of balancers sent
    /// one request, the server would get hundreds.
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

    /// Updates the estimate of the load that a warm server of size 1 carries for this balancer, provided that
    /// at least half of the ready capacity is warm.
    pub(crate) fn update_capacity_estimate(&mut self, now: Micros) {
        let sizes = self.state.ready_sizes(now, &self.settings.rules, self.settings.sizes_known);
        if sizes.warm * 2.0 >= sizes.all && sizes.warm > 0.0 {
            let rate = self.state.served_cost.sum(now, LOAD_WINDOW) / 2.0 / sizes.warm;
            self.state.warm_capacity_rate =
                rate.max(self.state.warm_capacity_rate * CAPACITY_ESTIMATE_RETAINED);
        }
    }
}
