//! The retry budgets of an entry's services. What they allow is decided in [`decide::retry`].

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use decide::retry::{FailedTry, RetryBudget, RetryPolicy, RetryStop};
use log::info;
use model::{
    call::OutcomeClass,
    config::{FleetConfig, ServiceRule},
    names::ServiceName,
};

use crate::request::CallContext;

/// One budget for each service: a service that fails must not spend what another has saved.
#[derive(Debug, Default)]
pub(crate) struct ServiceBudgets {
    services: Mutex<HashMap<ServiceName, RetryBudget>>,
    policy: RetryPolicy,
}

impl ServiceBudgets {
    /// Counts a first try, under the rule in force.
    pub(crate) fn count_call(&self, context: &CallContext, config: &FleetConfig) {
        let rule = config.service(&context.rule.service);
        let percent =
            rule.map_or_else(|| ServiceRule::default().retry_percent, |rule| rule.retry_percent);
        let mut services = self.lock();
        if let Some(budget) = services.get_mut(&context.rule.service) {
            budget.set_percent(percent);
            return budget.count_call();
        }
        let mut budget = RetryBudget::new(percent);
        budget.count_call();
        services.insert(context.rule.service.clone(), budget);
    }

    /// Decides whether a failed try is followed by another.
    pub(crate) fn allows_retry(
        &self,
        context: &CallContext,
        attempt: u32,
        outcome: OutcomeClass,
    ) -> bool {
        if !context.body.is_available() {
            return false;
        }
        let failed = FailedTry {
            class: context.rule.class,
            outcome,
            attempt,
            answer_begun: false,
            left: context.left(),
            shortest: std::time::Duration::ZERO,
        };
        let decision = self.decide(context, &failed);
        if let Err(stop) = decision {
            info!(
                call:% = context.number,
                attempt,
                service:% = context.rule.service,
                route:% = context.route,
                reason:? = stop;
                "not tried again"
            );
        }
        decision.is_ok()
    }

    /// Takes a hedge out of the budget, if it holds one.
    pub(crate) fn allows_hedge(&self, context: &CallContext) -> bool {
        let mut services = self.lock();
        let budget = services.get_mut(&context.rule.service);
        context.body.is_available() && budget.is_some_and(RetryBudget::spend)
    }

    fn decide(&self, context: &CallContext, failed: &FailedTry) -> Result<(), RetryStop> {
        let mut services = self.lock();
        let budget = services.get_mut(&context.rule.service).ok_or(RetryStop::Budget)?;
        self.policy.decide(failed, budget)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RetryBudget>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
