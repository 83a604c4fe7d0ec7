//! What the tests on the whole path share.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::ledger::CallKey;
use trial::{
    balancer::BalancerStandin,
    deployment::Deployment,
    load::{LoadPlan, LoadRun, now_ms},
    plan::RoutePlan,
};

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(15);

/// How often it is looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Starts callers on all routes of a deployment.
pub(crate) fn start_load(deployment: &Deployment) -> LoadRun {
    start_load_on(deployment, deployment.plan.routes.clone())
}

/// Starts callers that only read, for tests without a ledger: each payment would take as long as its
/// deadline.
#[allow(dead_code, reason = "each test file uses some of these")]
pub(crate) fn start_reads(deployment: &Deployment) -> LoadRun {
    let routes = deployment.plan.routes.iter().filter(|route| route.class.is_idempotent());
    start_load_on(deployment, routes.copied().collect())
}

fn start_load_on(deployment: &Deployment, routes: Vec<RoutePlan>) -> LoadRun {
    let plan = LoadPlan { routes, callers: 12, pause: Duration::from_millis(2), seed: 3 };
    LoadRun::spawn(&plan, &Arc::new(BalancerStandin::spawn(deployment.entries())))
}

/// Waits until a condition holds. Returns false when it does not within 15 s.
pub(crate) async fn eventually(mut condition: impl AsyncFnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if condition().await {
            return true;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    false
}

/// Makes the idempotency key of a number.
#[allow(dead_code, reason = "each test file uses some of these")]
pub(crate) fn new_key(number: u64) -> String {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    CallKey::from_parts(now_ms(), random).to_string()
}
