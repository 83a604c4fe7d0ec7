//! Tables for people, and JSON for programs.

use std::{fmt::Display, io::Write};

use crate::fault::{CtlError, SystemSnafu};
use comfy_table::{Table, presets};
use control::disk::inspect::GroupReport;
use model::{
    config::{ConfigImage, ServiceRule},
    names::{RouteName, ServiceName},
    patch::PatchRecord,
    report::{CapacityRow, GroupRow, MemberRow, PlacerRow, StatusReport, UpstreamRow},
    route::RouteRule,
};
use operator::answers::{FloorWarning, ServiceDetail, ServiceRow};
use serde::Serialize;
use snafu::ResultExt;

/// Prints answers, as the operator asked for them.
pub(crate) struct Printer<'a, W> {
    pub(crate) out: &'a mut W,
    pub(crate) json: bool,
}

impl<W: Write> Printer<'_, W> {
    /// Prints a value: as one line of JSON, or by `text`.
    pub(crate) fn show<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), CtlError> {
        let shown = if self.json {
            serde_json::to_string(value).expect("answers have a JSON form") + "\n"
        } else {
            text(value)
        };
        self.write(&shown)
    }

    /// Prints a line for people only.
    pub(crate) fn note(&mut self, text: &str) -> Result<(), CtlError> {
        if self.json { Ok(()) } else { self.write(&format!("{text}\n")) }
    }

    fn write(&mut self, text: &str) -> Result<(), CtlError> {
        let written = self.out.write_all(text.as_bytes()).and_then(|()| self.out.flush());
        written.context(SystemSnafu { doing: "print" })
    }
}

fn table<const N: usize>(header: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    let lines = table.to_string();
    lines.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// Returns the word that a value has in JSON.
fn word(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).expect("values have a JSON form");
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn list<T: Display>(values: &[T]) -> String {
    if values.is_empty() {
        return "-".to_owned();
    }
    values.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

pub(crate) fn warning_lines(warnings: &[FloorWarning]) -> String {
    warnings.iter().map(|warning| format!("warning: {}\n", warning.text)).collect()
}

pub(crate) fn status(report: &StatusReport) -> String {
    let confirmed = if report.confirmed {
        "confirmed by the leader"
    } else {
        "as this VM knows it; the leader has not confirmed it"
    };
    let mut text = format!(
        "accepted  number {} ({confirmed})\nin force  on {} of {} VMs\n",
        report.accepted, report.in_force, report.members
    );
    for (member, number) in &report.lagging {
        text += &format!("lagging   {member} at number {number}\n");
    }
    if !report.groups.is_empty() {
        text += "\n";
        text += &groups(&report.groups);
    }
    text
}

pub(crate) fn groups(rows: &[GroupRow]) -> String {
    let header = ["GROUP", "ROLE HERE", "TERM", "LEADER", "COMMITTED", "VOTERS", "LEARNERS"];
    let cells = rows.iter().map(|row| {
        [
            row.group.to_string(),
            word(&row.role),
            row.term.to_string(),
            row.leader.as_ref().map_or_else(|| "unknown".to_owned(), ToString::to_string),
            row.committed.to_string(),
            list(&row.voters),
            list(&row.learners),
        ]
    });
    table(header, cells)
}

pub(crate) fn upstreams(rows: &[UpstreamRow]) -> String {
    let header = [
        "SERVICE",
        "UPSTREAM",
        "ADDRESS",
        "DOMAIN",
        "STATE",
        "HEALTH",
        "BUSY",
        "SLOTS",
        "LEASE ms",
        "OUT FOR ms",
    ];
    let cells = rows.iter().map(|row| {
        [
            row.service.to_string(),
            row.upstream.to_string(),
            row.address.to_string(),
            row.domain.to_string(),
            word(&row.state),
            row.health.as_ref().map_or_else(|| "unknown".to_owned(), word),
            row.busy.to_string(),
            row.slots.to_string(),
            row.lease_left_ms.to_string(),
            row.ejected_left_ms.to_string(),
        ]
    });
    table(header, cells)
}

pub(crate) fn placers(rows: &[PlacerRow]) -> String {
    let header = ["SERVICE", "SHARD", "VM", "EPOCH", "BUSY", "QUEUED", "GRANTED", "REFUSED"];
    let cells = rows.iter().map(|row| {
        [
            row.service.to_string(),
            row.shard.to_string(),
            row.member.to_string(),
            row.epoch.to_string(),
            row.busy.to_string(),
            row.queued.to_string(),
            row.granted.to_string(),
            row.refused.to_string(),
        ]
    });
    table(header, cells)
}

pub(crate) fn members(rows: &[MemberRow]) -> String {
    let header =
        ["VM", "DOMAIN", "ADDRESS", "REACHABLE", "HEARD ms", "IN FORCE", "STOPPING", "REPLICA"];
    let cells = rows.iter().map(|row| {
        [
            row.member.to_string(),
            row.domain.to_string(),
            row.address.to_string(),
            yes(row.reachable),
            row.heard_ms.to_string(),
            row.in_force.to_string(),
            yes(row.stopping),
            yes(row.replica),
        ]
    });
    table(header, cells)
}

pub(crate) fn capacity(rows: &[CapacityRow]) -> String {
    let header = [
        "SERVICE",
        "UPSTREAMS",
        "HEALTHY",
        "ANNOUNCED",
        "FLOOR",
        "BUSY p95",
        "REFUSED",
        "SWITCH ON",
        "MAY STAY OFF",
    ];
    let cells = rows.iter().map(|row| {
        [
            row.service.to_string(),
            row.upstreams.to_string(),
            row.healthy_slots.to_string(),
            row.announced_slots.to_string(),
            row.floor_slots.to_string(),
            row.busy_p95.to_string(),
            row.refused.to_string(),
            row.switch_on.to_string(),
            row.may_stay_off.to_string(),
        ]
    });
    table(header, cells)
}

pub(crate) fn services(rows: &[ServiceRow]) -> String {
    rules(rows.iter().map(|row| (&row.service, &row.rule, row.routes.to_string())))
}

fn rules<'a>(rows: impl Iterator<Item = (&'a ServiceName, &'a ServiceRule, String)>) -> String {
    let header = [
        "SERVICE",
        "ROUTES",
        "FLOOR",
        "LATE PRICE",
        "FALSE PRICE",
        "QUEUE",
        "RETRY %",
        "HEDGE",
        "EJECTION ms",
        "RAMP ms",
        "SHARDS",
    ];
    let cells = rows.map(|(service, rule, routes)| {
        [
            service.to_string(),
            routes,
            rule.floor_slots.to_string(),
            rule.late_detection_price.to_string(),
            rule.false_ejection_price.to_string(),
            rule.queue_limit.to_string(),
            rule.retry_percent.to_string(),
            yes(rule.hedge),
            rule.ejection_ms.to_string(),
            rule.ramp_ms.to_string(),
            rule.shards.to_string(),
        ]
    });
    table(header, cells)
}

fn routes(rows: &[(RouteName, RouteRule)]) -> String {
    let header = ["ROUTE", "HOST", "PATH", "METHODS", "SERVICE", "CLASS", "TIMEOUT ms"];
    let cells = rows.iter().map(|(name, rule)| {
        [
            name.to_string(),
            rule.host.clone().unwrap_or_else(|| "any".to_owned()),
            rule.path.clone(),
            if rule.methods.is_empty() { "any".to_owned() } else { rule.methods.join(",") },
            rule.service.to_string(),
            word(&rule.class),
            rule.timeout_ms.to_string(),
        ]
    });
    table(header, cells)
}

pub(crate) fn service(detail: &ServiceDetail) -> String {
    let count = detail.routes.len().to_string();
    let rule = rules(std::iter::once((&detail.service, &detail.rule, count)));
    let routes = routes(&detail.routes);
    let upstreams = upstreams(&detail.upstreams);
    let capacity = capacity(&detail.capacity);
    format!("{rule}\n{routes}\n{upstreams}\n{capacity}")
}

pub(crate) fn config(image: &ConfigImage) -> String {
    let count = |service: &ServiceName| {
        image.routes.iter().filter(|(_, rule)| rule.service == *service).count().to_string()
    };
    let services = rules(image.services.iter().map(|(name, rule)| (name, rule, count(name))));
    let routes = routes(&image.routes);
    let settings = &image.settings;
    format!(
        "number {}\n\n{services}\n{routes}\nkeys kept {} ms, at most {} in a group, {} groups; \
         lame duck {} ms\n",
        image.number,
        settings.keep_keys_ms,
        settings.keys_limit,
        settings.ledger_groups,
        settings.lame_duck_ms
    )
}

pub(crate) fn history(records: &[PatchRecord]) -> String {
    let cells = records.iter().map(|record| {
        let targets = record.patch.changes.iter().map(|change| {
            let (kind, name) = change.target();
            format!("{kind} {name}").trim_end().to_owned()
        });
        let patch = &record.patch;
        [
            record.number.to_string(),
            patch.author.clone(),
            patch.id.to_string(),
            targets.collect::<Vec<_>>().join(", "),
        ]
    });
    table(["NUMBER", "AUTHOR", "PATCH", "CHANGES"], cells)
}

pub(crate) fn folder(reports: &[GroupReport]) -> String {
    let header = ["GROUP", "TERM", "NUMBER", "DIGEST", "COMMITTED", "LAST", "SNAPSHOT", "TORN AT"];
    let optional = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |v| v.to_string());
    let cells = reports.iter().map(|report| {
        [
            report.group.to_string(),
            report.term.to_string(),
            report.number.to_string(),
            format!("{:016x}", report.digest),
            report.committed.to_string(),
            report.last_index.to_string(),
            optional(report.snapshot),
            optional(report.torn_at),
        ]
    });
    let damage = reports.iter().filter_map(|report| {
        let damage = report.damage.as_ref()?;
        Some(format!("group {} is damaged: {damage}\n", report.group))
    });
    table(header, cells) + &damage.collect::<String>()
}
