//! The arithmetic: from a slope to a figure at the size of the users' letter.

use crate::slopes::{SlopeError, SlopeTable};

// The users' letter.
const NODES: f64 = 5_700.0;
const TARGETS: f64 = 170_000.0;
const CALLS: f64 = 1_600_000.0;
const ROUTES: f64 = 93_000.0;
const CHANGES_A_DAY: f64 = 20_000.0;
const DAY: f64 = 86_400.0;

// The letter's budgets.
const NODE_MEMORY_MB: f64 = 64.0;
const NODE_BYTES: f64 = 3_000.0;
const NODE_CORE_PERCENT: f64 = 1.5;
const CONTROL_VMS: f64 = 29.0;
const IN_FORCE_MS: f64 = 3_000.0;
const ADDED_P99_MS: f64 = 2.4;

// What the letter does not say and the page states as assumptions.
/// The share of calls with an idempotency key.
const KEYED_SHARE: f64 = 0.1;
/// How long a key is kept at that size.
const KEEP_SECONDS: f64 = 600.0;
/// How often an upstream renews: four times in the longest lease that is accepted, 60 s.
const RENEWAL_SECONDS: f64 = 15.0;
/// Replicas of each ledger group.
const REPLICAS: f64 = 3.0;
/// Facts a second: VMs that go and come (three facts each), targets three times a day.
const FACTS: f64 = ((740.0 + 11_000.0) * 3.0 + TARGETS * 3.0) / DAY;
/// The memory of a control VM, in MB.
const CONTROL_VM_MB: f64 = 8_192.0;

/// What a figure is held against.
#[derive(Clone, Copy)]
enum RowBudget {
    /// This much for the row alone.
    Alone(f64),
    /// This much for all rows of the same role and unit together, of which one more row tells.
    Shared(f64),
    /// Nothing: it goes with each request, or is told for planning.
    None,
}

/// One row of the page.
pub(crate) struct CapacityRow {
    role: &'static str,
    what: &'static str,
    slope: String,
    arithmetic: &'static str,
    figure: f64,
    budget: RowBudget,
    unit: &'static str,
}

impl CapacityRow {
    /// Returns the row as the table shows it.
    pub(crate) fn cells(&self) -> [String; 7] {
        let (budget, kept) = match self.budget {
            RowBudget::Alone(budget) if self.figure > budget => (self.show(budget), "**no**"),
            RowBudget::Alone(budget) => (self.show(budget), "yes"),
            RowBudget::Shared(_) => ("shared, see the sum".to_owned(), ""),
            RowBudget::None => ("none: with requests, or for planning".to_owned(), ""),
        };
        [
            self.role.to_owned(),
            self.what.to_owned(),
            self.slope.clone(),
            self.arithmetic.to_owned(),
            self.show(self.figure),
            budget,
            kept.to_owned(),
        ]
    }

    fn show(&self, value: f64) -> String {
        let digits = if value < 10.0 { 2 } else { 0 };
        format!("{value:.digits$} {}", self.unit)
    }
}

/// Makes rows, each from one slope.
struct RowMaker<'a> {
    slopes: &'a SlopeTable,
    rows: Vec<CapacityRow>,
}

/// What a row is worked out of.
struct RowPlan {
    role: &'static str,
    what: &'static str,
    slope: &'static str,
    arithmetic: &'static str,
    times: f64,
    budget: RowBudget,
    unit: &'static str,
}

impl RowMaker<'_> {
    fn add(&mut self, plan: &RowPlan) -> Result<(), SlopeError> {
        let slope = self.slopes.get(plan.slope)?;
        self.rows.push(CapacityRow {
            role: plan.role,
            what: plan.what,
            slope: format!("{} {} {}", plan.slope, short(slope.value), slope.unit),
            arithmetic: plan.arithmetic,
            figure: slope.value * plan.times,
            budget: plan.budget,
            unit: plan.unit,
        });
        Ok(())
    }
}

/// Works out all rows.
///
/// # Errors
///
/// Fails when a slope is missing.
pub(crate) fn work_out(slopes: &SlopeTable) -> Result<Vec<CapacityRow>, SlopeError> {
    let mut maker = RowMaker { slopes, rows: Vec::new() };
    let plans = [
        entry_control(),
        entry_requests(),
        placer(),
        config_replica(),
        ledger_replica(),
        operators(),
    ];
    for plan in plans.into_iter().flatten() {
        maker.add(&plan)?;
    }
    let sums = [sum(&maker.rows, "entry", "MB"), sum(&maker.rows, "entry", "B/s")];
    maker.rows.extend(sums.into_iter().flatten());
    Ok(maker.rows)
}

/// Adds up the rows that share a budget.
fn sum(rows: &[CapacityRow], role: &'static str, unit: &'static str) -> Option<CapacityRow> {
    let shared = rows.iter().filter(|row| row.role == role && row.unit == unit);
    let shared: Vec<_> = shared
        .filter_map(|row| match row.budget {
            RowBudget::Shared(budget) => Some((row.figure, budget)),
            RowBudget::Alone(_) | RowBudget::None => None,
        })
        .collect();
    let (_, budget) = *shared.first()?;
    Some(CapacityRow {
        role,
        what: "sum of the shared rows",
        slope: String::new(),
        arithmetic: "",
        figure: shared.iter().map(|(figure, _)| figure).sum(),
        budget: RowBudget::Alone(budget),
        unit,
    })
}

fn entry_control() -> Vec<RowPlan> {
    let memory = |what, slope, arithmetic, count: f64| RowPlan {
        role: "entry",
        what,
        slope,
        arithmetic,
        times: count / 1e6,
        budget: RowBudget::Shared(NODE_MEMORY_MB),
        unit: "MB",
    };
    let bytes = |what, slope, arithmetic, times| RowPlan {
        role: "entry",
        what,
        slope,
        arithmetic,
        times,
        budget: RowBudget::Shared(NODE_BYTES),
        unit: "B/s",
    };
    vec![
        memory("members", "fleet.member-memory", "x 5,700", NODES),
        memory("announcements", "fleet.announcement-memory", "x 170,000", TARGETS),
        memory("routes and services", "model.route-memory", "x 93,000", ROUTES),
        bytes("heartbeats, quiet", "fleet.quiet-bytes", "x 1: flat", 1.0),
        bytes("digests", "fleet.digest-bytes", "x 1: flat from 70,000 facts", 1.0),
        bytes(
            "changes of VMs and targets",
            "fleet.fact-bytes",
            "x (11,740 x 3 + 170,000 x 3) / day",
            FACTS,
        ),
        bytes("configuration", "fleet.config-bytes", "x 20,000 / day", CHANGES_A_DAY / DAY),
        bytes(
            "renewals passed on to the lease's keeper",
            "fleet.renewal-bytes",
            "x 170,000 / 15 s / 5,700, for leases of 60 s",
            TARGETS / RENEWAL_SECONDS / NODES,
        ),
        RowPlan {
            role: "entry",
            what: "processor time of gossip",
            slope: "fleet.core-percent",
            arithmetic: "x 1 (at 1,024 VMs)",
            times: 1.0,
            budget: RowBudget::Alone(NODE_CORE_PERCENT),
            unit: "%",
        },
        RowPlan {
            role: "entry",
            what: "a change in force",
            slope: "fleet.config-ms",
            arithmetic: "x log 5,700 / log 1,024",
            times: NODES.ln() / 1_024_f64.ln(),
            budget: RowBudget::Alone(IN_FORCE_MS),
            unit: "ms",
        },
    ]
}

fn entry_requests() -> Vec<RowPlan> {
    let each = |what, slope, arithmetic, times, unit| RowPlan {
        role: "entry",
        what,
        slope,
        arithmetic,
        times,
        budget: RowBudget::None,
        unit,
    };
    vec![
        each("slot messages", "fleet.call-bytes", "x 1.6 M / 5,700", CALLS / NODES / 1e3, "KB/s"),
        each(
            "route look-up",
            "model.find-us",
            "x 1.6 M / 5,700",
            CALLS / NODES / 1e4,
            "% of a core",
        ),
        RowPlan {
            role: "entry",
            what: "delay added to a read at p99 by the entry alone, on one machine",
            slope: "caller.added-p99-ms",
            arithmetic: "x 1; a placer in another failure domain adds its round trip",
            times: 1.0,
            budget: RowBudget::Alone(ADDED_P99_MS),
            unit: "ms",
        },
    ]
}

fn placer() -> Vec<RowPlan> {
    vec![RowPlan {
        role: "placer",
        what: "processor time of placing",
        slope: "decide.placement-ns",
        arithmetic: "x 1.6 M / 5,700",
        times: CALLS / NODES / 1e7,
        budget: RowBudget::None,
        unit: "% of a core",
    }]
}

fn config_replica() -> Vec<RowPlan> {
    vec![
        RowPlan {
            role: "configuration replica",
            what: "processor time of changes",
            slope: "control.change-us",
            arithmetic: "x 20,000 / day",
            times: CHANGES_A_DAY / DAY / 1e4,
            budget: RowBudget::Alone(NODE_CORE_PERCENT),
            unit: "% of a core",
        },
        RowPlan {
            role: "configuration replica",
            what: "restart after 100,000 changes",
            slope: "control.restart-ms",
            arithmetic: "x 1",
            times: 1.0,
            budget: RowBudget::None,
            unit: "ms",
        },
    ]
}

fn ledger_replica() -> Vec<RowPlan> {
    let claims = CALLS * KEYED_SHARE;
    vec![
        RowPlan {
            role: "ledger replica",
            what: "groups for 160,000 claims and closes a second",
            slope: "control.claim-seconds",
            arithmetic: "x 160,000 x 2, one leader a group",
            times: claims * 2.0,
            budget: RowBudget::Alone(CONTROL_VMS),
            unit: "groups",
        },
        RowPlan {
            role: "ledger replica",
            what: "memory of kept keys a VM, kept for 10 minutes",
            slope: "control.key-memory",
            arithmetic: "x 160,000 x 600 s x 3 / 29",
            times: claims * KEEP_SECONDS * REPLICAS / CONTROL_VMS / 1e6,
            budget: RowBudget::Alone(CONTROL_VM_MB),
            unit: "MB",
        },
        RowPlan {
            role: "ledger replica",
            what: "bytes between replicas a VM",
            slope: "control.claim-bytes",
            arithmetic: "x 160,000 x 2 / 29",
            times: claims * 2.0 / CONTROL_VMS / 1e6,
            budget: RowBudget::None,
            unit: "MB/s",
        },
    ]
}

fn operators() -> Vec<RowPlan> {
    let page = |what, slope, arithmetic, times, unit| RowPlan {
        role: "operators' interface",
        what,
        slope,
        arithmetic,
        times,
        budget: RowBudget::None,
        unit,
    };
    vec![
        page("page of all VMs", "operator.member-bytes", "x 5,700", NODES / 1e6, "MB"),
        page("its processor time", "operator.member-us", "x 5,700", NODES / 1e3, "ms"),
        page("page of all upstreams", "operator.upstream-bytes", "x 170,000", TARGETS / 1e6, "MB"),
        page("its processor time", "operator.upstream-us", "x 170,000", TARGETS / 1e3, "ms"),
    ]
}

/// Shows a slope with three or four digits, whatever its size.
fn short(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else if value >= 0.01 {
        format!("{value:.2}")
    } else {
        format!("{value:.2e}")
    }
}
