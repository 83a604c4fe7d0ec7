//! The commands on patches.

use std::io::Write;

use crate::{
    args::{PatchCheck, PatchSubmit},
    client::OperatorClient,
    draft::{PatchDraft, SentFile},
    fault::{CtlError, MalformedSnafu, PatchUnknownSnafu},
    render::{Printer, warning_lines},
};
use model::{
    numbers::ConfigNumber,
    patch::{ConfigPatch, PatchId},
};
use operator::answers::{CheckAnswer, KnownPatch, PatchAnswer, WatchAnswer};
use serde::Serialize;
use snafu::{IntoError, OptionExt};
use uuid::Uuid;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct SubmitReport<'a> {
    id: PatchId,
    base: ConfigNumber,
    answer: &'a PatchAnswer,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct CheckReport {
    base: ConfigNumber,
    answer: CheckAnswer,
}

/// Validates a patch and changes nothing.
pub(crate) async fn check<W: Write>(
    client: &OperatorClient,
    printer: &mut Printer<'_, W>,
    args: &PatchCheck,
) -> Result<(), CtlError> {
    let draft = PatchDraft::open(&args.file)?;
    let given = args.base.map(ConfigNumber).or(draft.base);
    let base = base_or_present(client, given).await?;
    let patch = patch_of(draft, base, None);
    let answer: CheckAnswer = client.post("/patches/check", &patch).await?;
    let report = CheckReport { base, answer };
    printer.show(&report, |report| {
        let warnings = warning_lines(&report.answer.warnings);
        format!("valid against number {base}; nothing was changed\n{warnings}")
    })
}

/// Submits a patch, or sends again what was sent before.
pub(crate) async fn submit<W: Write>(
    client: &OperatorClient,
    printer: &mut Printer<'_, W>,
    args: PatchSubmit,
    user: Option<String>,
) -> Result<(), CtlError> {
    let draft = PatchDraft::open(&args.file)?;
    let sent = SentFile::beside(&args.file);
    let given = args.base.map(ConfigNumber).or(draft.base);
    let before = if args.new { None } else { sent.find(&draft.changes, given)? };
    let again = before.is_some();
    let patch = match before {
        Some(patch) => patch,
        None => {
            let base = base_or_present(client, given).await?;
            let patch = patch_of(draft, base, args.author.or(user));
            sent.keep(&patch)?;
            patch
        }
    };
    let (id, base) = (patch.id, patch.base);
    printer.note(&format!("patch {id} against number {base}{}", again_text(again)))?;
    let answer: Result<PatchAnswer, CtlError> = client.post("/patches", &patch).await;
    let answer = answer.map_err(|error| match error {
        CtlError::Unreached { .. } => PatchUnknownSnafu { id: id.to_string() }.into_error(error),
        other => other,
    })?;
    printer.show(&SubmitReport { id, base, answer: &answer }, |_| answer_text(&answer))
}

fn again_text(again: bool) -> &'static str {
    if again { " (sent before; --new makes a new one)" } else { "" }
}

fn answer_text(answer: &PatchAnswer) -> String {
    match answer {
        PatchAnswer::Accepted { number, warnings } => format!(
            "accepted as number {number}; `coltsfootcrank status` tells where it is in force\n{}",
            warning_lines(warnings)
        ),
        PatchAnswer::Refused { text, .. } => format!("refused: {text}\n"),
    }
}

/// Shows the first result of a patch.
pub(crate) async fn show<W: Write>(
    client: &OperatorClient,
    printer: &mut Printer<'_, W>,
    id: &str,
) -> Result<(), CtlError> {
    let expected = "the identifier that `patch submit` printed";
    let parsed: Option<Uuid> = id.parse().ok();
    let parsed = parsed.context(MalformedSnafu { flag: "ID", value: id, expected })?;
    let known: KnownPatch = client.get(&format!("/patches/{parsed}")).await?;
    printer.show(&known, |known| match (&known.number, &known.refusal) {
        (Some(number), _) => format!("patch {parsed}: accepted as number {number}\n"),
        (None, Some(refusal)) => format!("patch {parsed}: refused: {refusal}\n"),
        (None, None) => format!("patch {parsed}: no result\n"),
    })
}

/// Returns the number in force on the asked VM.
pub(crate) async fn present(client: &OperatorClient) -> Result<ConfigNumber, CtlError> {
    let now: WatchAnswer = client.get("/config/watch?wait-ms=0").await?;
    Ok(now.number)
}

async fn base_or_present(
    client: &OperatorClient,
    given: Option<ConfigNumber>,
) -> Result<ConfigNumber, CtlError> {
    match given {
        Some(base) => Ok(base),
        None => present(client).await,
    }
}

fn patch_of(draft: PatchDraft, base: ConfigNumber, author: Option<String>) -> ConfigPatch {
    let author = author.or(draft.author).unwrap_or_else(|| "unnamed".to_owned());
    ConfigPatch { id: PatchId(Uuid::now_v7()), base, author, changes: draft.changes }
}
