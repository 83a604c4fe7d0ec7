//! What the fleet knows, as shown on the metrics page.

use std::sync::Arc;

use crate::metrics::service_label;
use arc_swap::ArcSwapOption;
use model::report::{CapacityRow, ReplicaRole, StatusReport};
use opentelemetry::metrics::Meter;

/// What the fleet knew when the page was last read.
#[derive(Debug)]
pub(crate) struct FleetSnapshot {
    pub(crate) status: StatusReport,
    pub(crate) capacity: Vec<CapacityRow>,
}

pub(crate) type SnapshotCell = Arc<ArcSwapOption<FleetSnapshot>>;

struct GaugePlan<T> {
    name: &'static str,
    about: &'static str,
    read: fn(&T) -> u64,
}

const STATUS_GAUGES: [GaugePlan<StatusReport>; 6] = [
    GaugePlan {
        name: "config_number",
        about: "The configuration in force here.",
        read: |status| status.accepted.0,
    },
    GaugePlan {
        name: "config_confirmed",
        about: "1 where the leader confirmed the number.",
        read: |status| u64::from(status.confirmed),
    },
    GaugePlan {
        name: "config_lagging",
        about: "VMs on which an older number is in force.",
        read: |status| status.lagging.len() as u64,
    },
    GaugePlan {
        name: "members",
        about: "VMs of the fleet that are known here.",
        read: |status| u64::from(status.members),
    },
    GaugePlan {
        name: "groups",
        about: "Replicated groups of which this VM holds a replica.",
        read: |status| {
            let held = status.groups.iter().filter(|group| group.role != ReplicaRole::Absent);
            held.count() as u64
        },
    },
    GaugePlan {
        name: "groups_led",
        about: "Replicated groups that this VM leads.",
        read: |status| {
            let led = status.groups.iter().filter(|group| group.role == ReplicaRole::Leader);
            led.count() as u64
        },
    },
];

const CAPACITY_GAUGES: [GaugePlan<CapacityRow>; 6] = [
    GaugePlan {
        name: "healthy_slots",
        about: "Slots of upstreams that take work.",
        read: |row| u64::from(row.healthy_slots),
    },
    GaugePlan {
        name: "announced_slots",
        about: "Slots of upstreams that are announced and not leaving.",
        read: |row| u64::from(row.announced_slots),
    },
    GaugePlan {
        name: "floor_slots",
        about: "The agreed floor.",
        read: |row| u64::from(row.floor_slots),
    },
    GaugePlan {
        name: "busy_slots_p95",
        about: "Slots in use, 95th percentile of the last minutes.",
        read: |row| u64::from(row.busy_p95),
    },
    GaugePlan {
        name: "switch_on",
        about: "Upstreams that should be switched on.",
        read: |row| u64::from(row.switch_on),
    },
    GaugePlan {
        name: "may_stay_off",
        about: "Upstreams that could be switched off.",
        read: |row| u64::from(row.may_stay_off),
    },
];

/// Registers the gauges over what was last told.
pub(crate) fn observe_snapshot(meter: &Meter, snapshot: &SnapshotCell) {
    for GaugePlan { name, about, read } in STATUS_GAUGES {
        let held = snapshot.clone();
        let gauge = meter.u64_observable_gauge(name).with_description(about);
        let gauge = gauge.with_callback(move |observer| {
            if let Some(snapshot) = held.load().as_deref() {
                observer.observe(read(&snapshot.status), &[]);
            }
        });
        gauge.build();
    }
    for GaugePlan { name, about, read } in CAPACITY_GAUGES {
        let held = snapshot.clone();
        let gauge = meter.u64_observable_gauge(name).with_description(about);
        let gauge = gauge.with_callback(move |observer| {
            let snapshot = held.load();
            for row in snapshot.iter().flat_map(|snapshot| &snapshot.capacity) {
                observer.observe(read(row), &[service_label(&row.service)]);
            }
        });
        gauge.build();
    }
}
