//! How many calls of a customer a holder allows while it reaches no owner.
//!
//! When an owner is lost, or holders are cut off from it, they should neither give a customer its whole quota
//! each nor refuse all its calls. Each holder continues at the rate at which it has allowed calls so far: all
//! holders together were within the quota. A customer that was refused recently is allowed less. A VM without any
//! record of a customer allows it one call, and only if it is one of so few such VMs that one call by each is
//! within the tolerated excess.

use super::{QuotaLimits, RateMeter};
use model::{
    moment::Moment,
    names::{CallerName, MemberName},
};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The time constant of a customer's rate: long enough for customers that call once every few seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// The shortest time over which a rate is computed, so that a VM's first few calls do not make a high rate.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// How long a customer is kept without a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// How long a customer counts as at its limit after a refusal.
const AT_LIMIT_DURATION: Duration = Duration::from_secs(10);

/// The fraction of its observed rate that a customer at its limit is allowed: the VMs that reach an owner may
/// give it its whole quota.
const AT_LIMIT_FRACTION: f64 = 0.5;

/// How much of its observed rate a customer is allowed that was not refused recently.
#[derive(Clone, Copy, Debug)]
pub struct FallbackAllowance {
    fraction: f64,
    /// The burst, in seconds of that rate.
    burst_s: f64,
    /// The smallest burst, in calls, however low the rate.
    min_burst: f64,
}

impl FallbackAllowance {
    /// The allowance at a placer VM. It finds an owner again within a second or two, while the owner continues to
    /// give the whole rate to others.
    pub const HOLDER: Self = Self { fraction: 1.0, burst_s: 0.5, min_burst: 2.0 };
}

/// How often idle customers are removed.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct ObservedCustomer {
    rate: RateMeter,
    refused_at: Option<Moment>,
    /// How many calls were allowed at once at `refilled_at`.
    tokens: f64,
    refilled_at: Option<Moment>,
}

/// The rates at which customers' calls were allowed at one VM.
#[derive(Debug)]
pub struct ObservedRates {
    own: MemberName,
    allowance: FallbackAllowance,
    customers: BTreeMap<CallerName, ObservedCustomer>,
    /// When the first call of any customer arrived.
    first_call_at: Option<Moment>,
    last_sweep: Moment,
}

impl ObservedRates {
    /// Creates the empty record of a VM.
    pub fn new(own: MemberName, allowance: FallbackAllowance) -> Self {
        Self {
            own,
            allowance,
            customers: BTreeMap::new(),
            first_call_at: None,
            last_sweep: Moment::ZERO,
        }
    }

    /// Records a call that an owner's answer allowed.
    pub fn record_allowed(&mut self, customer: &CallerName, now: Moment) {
        self.sweep(now);
        self.first_call_at.get_or_insert(now);
        let observed = self.customers.entry(customer.clone()).or_default();
        observed.rate.record(RATE_TIME_CONSTANT, now);
        observed.refilled_at = None;
    }

    /// Records a call that an owner's answer refused.
    pub fn record_refused(&mut self, customer: &CallerName, now: Moment) {
        self.customers.entry(customer.clone()).or_default().refused_at = Some(now);
    }

    /// Decides on a call while no owner can be asked. `members`: the number of VMs.
    pub fn try_admit(
        &mut self,
        customer: &CallerName,
        limits: &QuotaLimits,
        members: usize,
        now: Moment,
    ) -> bool {
        let known = self.customers.get(customer).is_some_and(|observed| observed.rate.count > 0.0);
        if !known && !self.may_admit_unknown(customer, limits, members) {
            return false;
        }
        let observed_for = now.since(*self.first_call_at.get_or_insert(now)).max(MIN_OBSERVATION);
        let observed = self.customers.entry(customer.clone()).or_default();
        let at_limit = observed.refused_at.is_some_and(|at| now.since(at) < AT_LIMIT_DURATION);
        let fraction = if at_limit { AT_LIMIT_FRACTION } else { self.allowance.fraction };
        let rate_per_s =
            observed.rate.per_second_observed(observed_for, RATE_TIME_CONSTANT, now) * fraction;
        let burst = (rate_per_s * self.allowance.burst_s).max(self.allowance.min_burst);
        let initial = if at_limit { 0.0 } else { (rate_per_s * self.allowance.burst_s).max(1.0) };
        observed.tokens = match observed.refilled_at {
            Some(refilled_at) => {
                (observed.tokens + rate_per_s * now.since(refilled_at).as_secs_f64()).min(burst)
            }
            None => initial,
        };
        observed.refilled_at = Some(now);
        let allowed = observed.tokens >= 1.0;
        if allowed {
            observed.tokens -= 1.0;
            observed.rate.record(RATE_TIME_CONSTANT, now);
        }
        allowed
    }

    /// Returns whether this VM may allow a call of a customer without any record here. Each VM decides by a hash
    /// of its name and the customer's, so that all together allow about as many calls as are tolerated.
    fn may_admit_unknown(
        &self,
        customer: &CallerName,
        limits: &QuotaLimits,
        members: usize,
    ) -> bool {
        let seed = xxh3_64(customer.as_str().as_bytes());
        let drawn = xxh3_64_with_seed(self.own.as_str().as_bytes(), seed) as f64 / u64::MAX as f64;
        drawn * (members.max(1) as f64) < limits.unknown_customer_calls()
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.last_sweep) >= SWEEP_PERIOD {
            self.last_sweep = now;
            self.customers.retain(|_, observed| {
                let last_used =
                    observed.refilled_at.unwrap_or_default().max(observed.rate.updated_at);
                now.since(last_used) < IDLE_TIMEOUT
            });
        }
    }
}
