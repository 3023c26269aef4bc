//! This proxy's share of the fleet's retry budgets. They limit attempts after a request's first: retries and
//! hedges.

use super::deadlines::TimerKind;
use super::{Engine, EngineAction};
use violetseam::interface::{Micros, RequestId};
use violetseam_fleet_state::OutgoingMessage;
use violetseam_fleet_state::fleet_quotas::{FleetQuotas, QuotaStatus};

impl Engine {
    /// Enforces the fleet's budgets from now on: an attempt after a request's first starts only if the budget
    /// covers it, whatever the decision module asks for. Must be called before the first request of an
    /// incarnation.
    pub fn set_budgets(&mut self, now: Micros, budgets: FleetQuotas) {
        self.budgets = Some(budgets);
        self.run_budget_round(now);
    }

    /// The state of this proxy's leases on the fleet's budgets; empty without budgets.
    pub fn budgets(&self, now: Micros) -> Vec<QuotaStatus> {
        self.budgets.as_ref().map_or_else(Vec::new, |budgets| budgets.status(now))
    }

    /// Handles a peer's message about the fleet's budgets, and queues the reply if there is one.
    pub fn on_budget_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(payload) = budgets.on_message(now, from, payload) {
            self.pending_actions.push_back(EngineAction::BudgetMessage { to: from, payload });
        }
    }

    /// Requests leases from peers for each class whose budget runs short, and schedules the next round.
    pub(super) fn run_budget_round(&mut self, now: Micros) {
        let Some(budgets) = &mut self.budgets else { return };
        let lease_requests = budgets.poll_requests(now);
        let next_round = now + budgets.poll_interval();
        for OutgoingMessage { to, payload } in lease_requests {
            self.pending_actions.push_back(EngineAction::BudgetMessage { to, payload });
        }
        self.schedule(next_round, TimerKind::BudgetRound);
    }

    /// Charges one attempt after a request's first. It uses up a charge left by an attempt that was cancelled
    /// before it was sent, if there is one, and the fleet's budget otherwise. Returns false if the budget
    /// does not cover the attempt.
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
