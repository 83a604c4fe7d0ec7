//! Carries out one command.

use std::io::Write;

use crate::{
    args::{
        Coltsfootcrank, ColtsfootcrankCmd, ConfigCmd, ConfigHistory, ConfigWatch, ControlCmd,
        ControlReplace, PatchCmd, ServiceCmd,
    },
    client::OperatorClient,
    fault::{CtlError, InspectSnafu, NameSnafu, NothingToChangeSnafu},
    patch,
    render::{self, Printer},
    settings::CtlSettings,
};
use model::{
    config::ConfigImage,
    names::{MemberName, ServiceName},
    numbers::ConfigNumber,
    patch::PatchRecord,
    ports::ReplicaChange,
    report::{CapacityRow, GroupRow, MemberRow, PlacerRow, StatusReport, UpstreamRow},
};
use operator::answers::{
    DrainAnswer, ReplicaAnswer, ServiceDetail, ServiceRow, SnapshotAnswer, WatchAnswer,
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, ensure};

/// How many patches `config history` lists where the operator does not say.
const HISTORY_DEFAULT: u32 = 50;

/// Carries out one command and prints its answer to `out`. `variable` looks up an environment
/// variable.
///
/// # Errors
///
/// Fails with what the operator should do; [`CtlError::exit_code`] is what scripts see.
pub async fn run<W: Write>(
    args: Coltsfootcrank,
    variable: impl Fn(&str) -> Option<String>,
    out: &mut W,
) -> Result<(), CtlError> {
    let mut printer = Printer { out, json: args.json };
    if matches!(args.subcommand, ColtsfootcrankCmd::Version(_)) {
        let version = concat!("coltsfootcrank ", env!("CARGO_PKG_VERSION"));
        return printer.show(&version, |version| format!("{version}\n"));
    }
    if let ColtsfootcrankCmd::Control(control) = &args.subcommand
        && let ControlCmd::ControlInspect(inspect) = &control.subcommand
    {
        let reports = control::disk::inspect::inspect(&inspect.folder).context(InspectSnafu)?;
        return printer.show(&reports, |reports| render::folder(reports));
    }
    let client = OperatorClient::new(CtlSettings::from_args(&args, &variable)?);
    Session { client, printer }.run(args.subcommand, variable("USER")).await
}

struct Session<'a, W> {
    client: OperatorClient,
    printer: Printer<'a, W>,
}

impl<W: Write> Session<'_, W> {
    async fn run(&mut self, cmd: ColtsfootcrankCmd, user: Option<String>) -> Result<(), CtlError> {
        match cmd {
            ColtsfootcrankCmd::Status(_) => {
                self.page("/status", |report: &StatusReport| render::status(report)).await
            }
            ColtsfootcrankCmd::Upstreams(_) => {
                self.page("/upstreams", |rows: &Vec<UpstreamRow>| render::upstreams(rows)).await
            }
            ColtsfootcrankCmd::Placers(_) => {
                self.page("/placers", |rows: &Vec<PlacerRow>| render::placers(rows)).await
            }
            ColtsfootcrankCmd::Members(_) => {
                self.page("/members", |rows: &Vec<MemberRow>| render::members(rows)).await
            }
            ColtsfootcrankCmd::Capacity(_) => {
                self.page("/capacity", |rows: &Vec<CapacityRow>| render::capacity(rows)).await
            }
            ColtsfootcrankCmd::Drain(drain) => self.drain(&drain.member).await,
            ColtsfootcrankCmd::Service(service) => self.service(service.subcommand).await,
            ColtsfootcrankCmd::Patch(patch) => self.patch(patch.subcommand, user).await,
            ColtsfootcrankCmd::Config(config) => self.config(config.subcommand).await,
            ColtsfootcrankCmd::Control(control) => self.control(control.subcommand).await,
            ColtsfootcrankCmd::Version(_) => Ok(()),
        }
    }

    async fn page<T: Serialize + DeserializeOwned>(
        &mut self,
        path: &str,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), CtlError> {
        let answer: T = self.client.get(path).await?;
        self.printer.show(&answer, text)
    }

    async fn service(&mut self, cmd: ServiceCmd) -> Result<(), CtlError> {
        match cmd {
            ServiceCmd::ServiceList(_) => {
                self.page("/services", |rows: &Vec<ServiceRow>| render::services(rows)).await
            }
            ServiceCmd::ServiceShow(show) => {
                let name: ServiceName = name("the service", &show.name)?;
                let path = format!("/services/{name}");
                self.page(&path, |detail: &ServiceDetail| render::service(detail)).await
            }
        }
    }

    async fn patch(&mut self, cmd: PatchCmd, user: Option<String>) -> Result<(), CtlError> {
        let Self { client, printer } = self;
        match cmd {
            PatchCmd::PatchCheck(check) => patch::check(client, printer, &check).await,
            PatchCmd::PatchSubmit(submit) => patch::submit(client, printer, submit, user).await,
            PatchCmd::PatchShow(show) => patch::show(client, printer, &show.id).await,
        }
    }

    async fn config(&mut self, cmd: ConfigCmd) -> Result<(), CtlError> {
        match cmd {
            ConfigCmd::ConfigShow(_) => {
                self.page("/config", |image: &ConfigImage| render::config(image)).await
            }
            ConfigCmd::ConfigHistory(history) => self.history(&history).await,
            ConfigCmd::ConfigWatch(watch) => self.watch(&watch).await,
        }
    }

    async fn history(&mut self, history: &ConfigHistory) -> Result<(), CtlError> {
        let limit = history.limit.unwrap_or(HISTORY_DEFAULT);
        let path = format!("/config/history?after={}&limit={limit}", history.after.unwrap_or(0));
        self.page(&path, |records: &Vec<PatchRecord>| render::history(records)).await
    }

    async fn watch(&mut self, watch: &ConfigWatch) -> Result<(), CtlError> {
        let mut number = match watch.after {
            Some(number) => ConfigNumber(number),
            None => patch::present(&self.client).await?,
        };
        let mut left = watch.count;
        while left != Some(0) {
            let path = format!("/config/watch?after={number}");
            let answer: WatchAnswer = self.client.get(&path).await?;
            if answer.changed {
                number = answer.number;
                left = left.map(|left| left - 1);
                self.printer
                    .show(&answer, |answer| format!("number {} in force\n", answer.number))?;
            }
        }
        Ok(())
    }

    async fn drain(&mut self, member: &str) -> Result<(), CtlError> {
        let member: MemberName = name("the VM", member)?;
        let answer: DrainAnswer =
            self.client.post(&format!("/members/{member}/drain"), &()).await?;
        self.printer.show(&answer, |answer| {
            format!("{} stops as planned; `coltsfootcrank members` shows it\n", answer.draining)
        })
    }

    async fn control(&mut self, cmd: ControlCmd) -> Result<(), CtlError> {
        match cmd {
            ControlCmd::ControlStatus(_) => {
                self.page("/control", |rows: &Vec<GroupRow>| render::groups(rows)).await
            }
            ControlCmd::ControlInspect(_) => Ok(()),
            ControlCmd::ControlReplace(replace) => self.replace(&replace).await,
            ControlCmd::ControlSnapshot(snapshot) => {
                let path = format!("/control/{}/snapshot", snapshot.group);
                let answer: SnapshotAnswer = self.client.post(&path, &()).await?;
                self.printer.show(&answer, |answer| {
                    format!("group {}: snapshot up to index {}\n", answer.group, answer.index)
                })
            }
        }
    }

    /// Adds before it removes, so that the group never has fewer replicas than before.
    async fn replace(&mut self, replace: &ControlReplace) -> Result<(), CtlError> {
        let mut changes = Vec::new();
        if let Some(member) = &replace.add {
            changes.push(ReplicaChange::Add { member: name("--add", member)? });
        }
        if let Some(member) = &replace.remove {
            changes.push(ReplicaChange::Remove { member: name("--remove", member)? });
        }
        ensure!(!changes.is_empty(), NothingToChangeSnafu);
        let path = format!("/control/{}/replicas", replace.group);
        for change in changes {
            let answer: ReplicaAnswer = self.client.post(&path, &change).await?;
            let done = match change {
                ReplicaChange::Add { member } => format!("{member} added"),
                ReplicaChange::Remove { member } => format!("{member} removed"),
            };
            self.printer.show(&answer, |answer| format!("group {}: {done}\n", answer.group))?;
        }
        Ok(())
    }
}

fn name<T: std::str::FromStr<Err = model::names::NameError>>(
    what: &'static str,
    value: &str,
) -> Result<T, CtlError> {
    value.parse().context(NameSnafu { what, value })
}
