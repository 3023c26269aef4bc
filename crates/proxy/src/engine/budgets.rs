//! This proxy's part of the fleet's budgets of further attempts (retries and hedges).

use super::deadlines::TimerKind;
use super::{Engine, EngineAction};
use violetseam::interface::{Micros, RequestId};
use violetseam_fleet_state::OutgoingMessage;
use violetseam_fleet_state::fleet_quotas::{FleetQuotas, QuotaStatus};

impl Engine {
    /// Keeps to the fleet's budgets from now on: an attempt beyond a request's first is started only if the
    /// budget covers it, whatever the decision module asks for. Before the first request of an incarnation.
    pub fn set_budgets(&mut self, now: Micros, budgets: FleetQuotas) {
        self.budgets = Some(budgets);
        self.run_budget_round(now);
    }

    /// The state of this proxy's leases on the fleet's budgets.
    pub fn budgets(&self, now: Micros) -> Vec<QuotaStatus> {
        self.budgets.as_ref().map_or_else(Vec::new, |budgets| budgets.status(now))
    }

    /// A peer's message about the fleet's budgets.
    pub fn on_budget_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(payload) = budgets.on_message(now, from, payload) {
            self.pending_actions.push_back(EngineAction::BudgetMessage { to: from, payload });
        }
    }

    /// Requests leases from peers where this proxy's budgets are short, and schedules the next round.
    pub(super) fn run_budget_round(&mut self, now: Micros) {
        let Some(budgets) = &mut self.budgets else { return };
        let lease_requests = budgets.poll_requests(now);
        let next_round = now + budgets.poll_interval();
        for OutgoingMessage { to, payload } in lease_requests {
            self.pending_actions.push_back(EngineAction::BudgetMessage { to, payload });
        }
        self.schedule(next_round, TimerKind::BudgetRound);
    }

    /// Spends one further attempt: one that a cancelled attempt left unused, or one of the fleet's budget.
    pub(super) fn spend_budget(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.unused_budget > 0 {
            request.unused_budget -= 1;
            return true;
        }
        let class = request.class;
        self.budgets.as_mut().is_none_or(|budgets| budgets.try_spend(now, class))
    }
}
