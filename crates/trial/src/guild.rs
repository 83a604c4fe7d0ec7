//! The Guild Gateway: four services with reads and two kinds of non-idempotent calls.

use model::{call::CallClass, config::ServiceRule};

use crate::plan::{DeploymentPlan, RoutePlan, ServicePlan};

/// Plans the Guild's deployment with `upstreams` targets for each service, 4 slots each.
pub fn plan(upstreams: u32) -> DeploymentPlan {
    let rule = ServiceRule {
        floor_slots: upstreams * 4 * 6 / 10,
        late_detection_price: 1,
        false_ejection_price: 60,
        ..ServiceRule::default()
    };
    let service =
        |name: &'static str| ServicePlan { name, rule: rule.clone(), upstreams, slots: 4 };
    let read = |service, path| RoutePlan { service, path, class: CallClass::Idempotent };
    let write = |service, path| RoutePlan { service, path, class: CallClass::KeyRequired };
    DeploymentPlan {
        name: "guild",
        domains: ["fort-hall", "galle-face", "kollupitiya", "pettah"],
        services: ["cluebook", "entrydesk", "judgebox", "scoreboard"].map(service).to_vec(),
        routes: vec![
            read("cluebook", "/clue"),
            read("scoreboard", "/standings"),
            write("entrydesk", "/entry"),
            write("judgebox", "/answer"),
        ],
        connections: 400,
    }
}
