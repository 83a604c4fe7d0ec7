//! What this VM knows by itself, for its metrics page.

use std::collections::BTreeMap;

use crate::{driver::FleetDriver, handle::FleetNode};
use model::{
    names::ServiceName,
    numbers::ConfigNumber,
    ports::LocalPort,
    report::{LocalReport, UpstreamHealth},
};

impl LocalPort for FleetNode {
    async fn local(&self) -> Option<LocalReport> {
        let number = self.shared.config.load().number();
        let groups = self.shared.control.as_ref().map(|control| control.rows());
        let mut report = self.inbox.query(|driver| report_of(driver)).await?;
        report.number = number;
        report.groups = groups.unwrap_or_default();
        Some(report)
    }
}

fn report_of(driver: &FleetDriver) -> LocalReport {
    let overview = driver.overview();
    let mut ejected: BTreeMap<ServiceName, u32> =
        overview.placers.iter().map(|row| (row.service.clone(), 0)).collect();
    for row in overview.health {
        if matches!(row.health, UpstreamHealth::Ejected | UpstreamHealth::Trial) {
            *ejected.entry(row.service).or_default() += 1;
        }
    }
    let members = driver.gossip.records().count();
    let lost = driver.gossip.records().filter(|record| !driver.gossip.is_reachable(&record.member));
    LocalReport {
        number: ConfigNumber::default(),
        members: u32::try_from(members).unwrap_or(u32::MAX),
        lost: u32::try_from(lost.count()).unwrap_or(u32::MAX),
        groups: Vec::new(),
        placers: overview.placers,
        capacity: overview.capacity,
        ejected: ejected.into_iter().collect(),
    }
}
