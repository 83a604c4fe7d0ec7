//! How many calls of a customer a holder allows while it reaches no owner.
//!
//! Load: an owner is lost, or some holders are cut off from it. Harm prevented: each of them gives a
//! customer its whole quota, or refuses it everything. So each continues at the rate at which it usually
//! allowed calls: all together were within the quota. A customer that was refused recently is allowed somewhat
//! less. A VM that knows nothing of a customer allows it one call, and only if it is one of so few such VMs
//! that one call by each is within what is borne.

use super::{QuotaLimits, RateMeter};
use model::{
    moment::Moment,
    names::{CallerName, MemberName},
};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Over which time a customer's usual rate is taken: long enough for customers with a call in some seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// For how long a VM takes itself to have seen calls at least, so that its first few do not make a rate.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// After which time without a call a customer is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// For how long a refusal says that a customer is at its limit.
const AT_LIMIT_SPAN: Duration = Duration::from_secs(10);

/// The part of its usual rate that a customer at its limit is allowed: the VMs that reach an owner may
/// give it all that it is allowed.
const AT_LIMIT_FRACTION: f64 = 0.5;

/// How much of its usual rate a customer is allowed that was refused nothing of late.
#[derive(Clone, Copy, Debug)]
pub struct FallbackAllowance {
    fraction: f64,
    /// For how many seconds of that rate it may call at once.
    burst_s: f64,
    /// How many calls it may make at once, however seldom it calls.
    min_burst: f64,
}

impl FallbackAllowance {
    /// Of a VM that places: it finds an owner again within a second or two, while the owner
    /// continues to give the whole rate to others.
    pub const HOLDER: Self = Self { fraction: 1.0, burst_s: 0.5, min_burst: 2.0 };
}

/// How often customers are looked through for some to forget.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct ObservedCustomer {
    rate: RateMeter,
    refused_at: Option<Moment>,
    /// What may be allowed now, since the moment of the last look.
    tokens: f64,
    refilled_at: Option<Moment>,
}

/// How often customers usually call through one VM.
#[derive(Debug)]
pub struct ObservedRates {
    own: MemberName,
    allowance: FallbackAllowance,
    customers: BTreeMap<CallerName, ObservedCustomer>,
    /// When the first call of any customer came.
    first_call_at: Option<Moment>,
    last_sweep: Moment,
}

impl ObservedRates {
    /// Opens the memory of a VM.
    pub fn new(own: MemberName, allowance: FallbackAllowance) -> Self {
        Self {
            own,
            allowance,
            customers: BTreeMap::new(),
            first_call_at: None,
            last_sweep: Moment::ZERO,
        }
    }

    /// Notes a call that an owner's answer allowed.
    pub fn record_allowed(&mut self, customer: &CallerName, now: Moment) {
        self.sweep(now);
        self.first_call_at.get_or_insert(now);
        let customer_rate = self.customers.entry(customer.clone()).or_default();
        customer_rate.rate.record(RATE_TIME_CONSTANT, now);
        customer_rate.refilled_at = None;
    }

    /// Notes a call that an owner's answer refused.
    pub fn record_refused(&mut self, customer: &CallerName, now: Moment) {
        self.customers.entry(customer.clone()).or_default().refused_at = Some(now);
    }

    /// Tells whether a call is allowed for which no owner could be asked. `members`: how many VMs there are.
    pub fn try_admit(
        &mut self,
        customer: &CallerName,
        limits: &QuotaLimits,
        members: usize,
        now: Moment,
    ) -> bool {
        let known = self
            .customers
            .get(customer)
            .is_some_and(|customer_rate| customer_rate.rate.count > 0.0);
        if !known && !self.may_admit_unknown(customer, limits, members) {
            return false;
        }
        let observed_for = now.since(*self.first_call_at.get_or_insert(now)).max(MIN_OBSERVATION);
        let customer_rate = self.customers.entry(customer.clone()).or_default();
        let at_limit = customer_rate.refused_at.is_some_and(|at| now.since(at) < AT_LIMIT_SPAN);
        let fraction = if at_limit { AT_LIMIT_FRACTION } else { self.allowance.fraction };
        let rate_per_s =
            customer_rate.rate.per_second_observed(observed_for, RATE_TIME_CONSTANT, now)
                * fraction;
        let burst = (rate_per_s * self.allowance.burst_s).max(self.allowance.min_burst);
        let initial = if at_limit { 0.0 } else { (rate_per_s * self.allowance.burst_s).max(1.0) };
        customer_rate.tokens = match customer_rate.refilled_at {
            Some(refilled_at) => (customer_rate.tokens
                + rate_per_s * now.since(refilled_at).as_secs_f64())
            .min(burst),
            None => initial,
        };
        customer_rate.refilled_at = Some(now);
        let allowed = customer_rate.tokens >= 1.0;
        if allowed {
            customer_rate.tokens -= 1.0;
            customer_rate.rate.record(RATE_TIME_CONSTANT, now);
        }
        allowed
    }

    /// Tells whether this VM is one of those that may allow a customer a first call. Others draw
    /// themselves the same way, so that all together allow about as many as are borne.
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
            self.customers.retain(|_, customer_rate| {
                let last_used = customer_rate
                    .refilled_at
                    .unwrap_or_default()
                    .max(customer_rate.rate.updated_at);
                now.since(last_used) < IDLE_TIMEOUT
            });
        }
    }
}
