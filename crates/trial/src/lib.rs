//! The whole path on one machine: daemons, upstream stand-ins, a balancer and callers on loopback.
//!
//! - [`deployment`]: starts daemons and upstreams and puts a configuration in force;
//! - [`guild`] and [`convoy`]: the two deployments of the brief, with fewer upstreams;
//! - [`balancer`]: sends callers to the VMs whose health page says so;
//! - [`plan`]: what a deployment is made of;
//! - [`load`]: callers and what became of their calls;
//! - [`promise`]: what must hold after any load;
//! - [`watch`]: which upstreams were taken out, and when;
//! - [`folder`]: a temporary data folder.

pub mod balancer;
pub mod convoy;
pub mod deployment;
pub mod folder;
pub mod guild;
pub mod load;
pub mod plan;
pub mod promise;
pub mod watch;
