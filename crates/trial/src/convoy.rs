//! The Convoy Routing Gateway: four services with reads and two kinds of non-idempotent calls.

use model::{call::CallClass, config::ServiceRule};

use crate::plan::{DeploymentPlan, RoutePlan, ServicePlan};

/// Plans the Convoy Society's deployment with `upstreams` targets for each service, 6 slots each.
pub fn plan(upstreams: u32) -> DeploymentPlan {
    let rule = ServiceRule {
        floor_slots: upstreams * 6 * 6 / 10,
        late_detection_price: 10,
        false_ejection_price: 30,
        ..ServiceRule::default()
    };
    let service =
        |name: &'static str| ServicePlan { name, rule: rule.clone(), upstreams, slots: 6 };
    let read = |service, path| RoutePlan { service, path, class: CallClass::Idempotent };
    let write = |service, path| RoutePlan { service, path, class: CallClass::KeyRequired };
    DeploymentPlan {
        name: "convoy",
        domains: ["kamloops", "prince-george", "nelson", "williams-lake"],
        services: ["passwatch", "fuelledger", "dispatchboard", "stockroll"].map(service).to_vec(),
        routes: vec![
            read("passwatch", "/pass"),
            read("stockroll", "/stock"),
            write("fuelledger", "/fuel"),
            write("dispatchboard", "/departure"),
        ],
        connections: 330,
    }
}
