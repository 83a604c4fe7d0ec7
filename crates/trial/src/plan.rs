//! What a deployment is made of: services, routes, failure domains.

use std::{net::SocketAddr, time::Duration};

use model::{call::CallClass, config::ServiceRule};
use standin::upstream::StandinSettings;

/// The secret of all ports of a deployment.
pub const SECRET: &str = "a secret for one machine only";

/// How long a call takes at an upstream.
pub const SERVICE_TIME: Duration = Duration::from_millis(5);

/// One service and its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Its rule.
    pub rule: ServiceRule,
    /// How many upstreams.
    pub upstreams: u32,
    /// How many slots each has.
    pub slots: u32,
}

/// One route.
#[derive(Clone, Copy, Debug)]
pub struct RoutePlan {
    /// The service that answers.
    pub service: &'static str,
    /// The path.
    pub path: &'static str,
    /// The class of its calls.
    pub class: CallClass,
}

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: [&'static str; 4],
    /// Its services.
    pub services: Vec<ServicePlan>,
    /// Its routes.
    pub routes: Vec<RoutePlan>,
    /// How many connections an upstream accepts.
    pub connections: u32,
}

impl DeploymentPlan {
    /// Lists what each upstream is started with. They announce themselves to the given ports, each
    /// to another one first, and stand in the failure domains in turn.
    pub fn upstream_settings(&self, announce: &[SocketAddr]) -> Vec<StandinSettings> {
        let each = self.services.iter().flat_map(|service| {
            (0..service.upstreams).map(move |number| self.one_upstream(service, number, announce))
        });
        each.collect()
    }

    fn one_upstream(
        &self,
        service: &ServicePlan,
        number: u32,
        announce: &[SocketAddr],
    ) -> StandinSettings {
        let mut announce = announce.to_vec();
        let turn = number as usize % announce.len().max(1);
        announce.rotate_left(turn);
        StandinSettings {
            service: service.name.parse().expect("a valid name"),
            upstream: format!("{}-{number}", service.name).parse().expect("a valid name"),
            domain: self.domains[number as usize % 4].parse().expect("a valid name"),
            slots: service.slots,
            connections: self.connections,
            takes: SERVICE_TIME,
            announce,
            secret: SECRET.to_owned(),
            seed: u64::from(number),
        }
    }
}
