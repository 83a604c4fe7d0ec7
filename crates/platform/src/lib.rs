//! Towards the platform: the balancer's health page and the metrics page.
//!
//! - [`server`]: serves both pages within bounds;
//! - [`ready`]: what the balancer is told;
//! - [`metrics`]: what is counted, and the page that shows it;
//! - `gauges`: what the fleet knows, as shown on that page;
//! - [`tally`]: the counters that traffic threads touch;
//! - [`metered`]: ports that count what passes through them.

pub mod metered;
pub mod metrics;
pub mod ready;
pub mod server;
pub mod tally;

mod gauges;
