//! Towards the platform: the balancer's health page and the metrics page.

pub mod server;
