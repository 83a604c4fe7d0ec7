//! Patches: submit, check, show.

use std::sync::Arc;

use crate::{
    answers::{
        CheckAnswer, FloorWarning, KnownPatch, NotFoundSnafu, PageFault, PatchAnswer, PatchSnafu,
        ok,
    },
    body,
    reads::param,
};
use model::{
    announcement::UpstreamState,
    names::ServiceName,
    patch::{ConfigChange, ConfigPatch, PatchId, PatchRefusal},
    ports::OperatorPort,
    report::UpstreamRow,
};
use poem::{Request, Response};
use snafu::OptionExt;

/// How many later patches are looked through for conflicts with a stale one.
const CONFLICTS_LIMIT: u32 = 1_000;

/// Submits a patch.
pub(crate) async fn submit<P: OperatorPort>(
    port: Arc<P>,
    mut request: Request,
) -> Result<Response, PageFault> {
    let patch: ConfigPatch = body::read(&mut request).await?;
    let result = port.submit(patch.clone()).await;
    let accepted = matches!(result, Ok(Ok(_)));
    log::info!(id:% = patch.id, base:% = patch.base, author:% = patch.author, accepted; "patch");
    match result? {
        Ok(number) => {
            let warnings = floor_warnings(port.as_ref(), &patch.changes).await;
            Ok(ok(&PatchAnswer::Accepted { number, warnings }))
        }
        Err(refusal) => refuse(port.as_ref(), &patch, refusal).await,
    }
}

/// Checks a patch against the configuration in force on this VM and changes nothing.
pub(crate) async fn check<P: OperatorPort>(
    port: Arc<P>,
    mut request: Request,
) -> Result<Response, PageFault> {
    let patch: ConfigPatch = body::read(&mut request).await?;
    match port.config().apply(&patch) {
        Ok(next) => {
            let warnings = floor_warnings(port.as_ref(), &patch.changes).await;
            Ok(ok(&CheckAnswer { would_make: next.number(), warnings }))
        }
        Err(refusal) => refuse(port.as_ref(), &patch, refusal).await,
    }
}

/// Shows the first result of a patch.
pub(crate) async fn show<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let id: PatchId = param(&request, "id", "the identifier that `patch submit` printed")?;
    let advice = "it was never accepted or is too old: sending the same patch again is safe";
    let missing = NotFoundSnafu { kind: "patch", name: id.to_string(), advice };
    let result = port.patch(id).await?.context(missing)?;
    Ok(ok(&KnownPatch { id, number: result.as_ref().ok().copied(), refusal: result.err() }))
}

async fn refuse<P: OperatorPort>(
    port: &P,
    patch: &ConfigPatch,
    refusal: PatchRefusal,
) -> Result<Response, PageFault> {
    let refusal = match refusal {
        PatchRefusal::StaleBase { base, present, conflicts } if conflicts.is_empty() => {
            let conflicts = conflicts_of(port, patch).await;
            PatchRefusal::StaleBase { base, present, conflicts }
        }
        other => other,
    };
    PatchSnafu { refusal }.fail()
}

/// Lists the changes that later patches made to what a stale one touches, so that its author sees
/// whose work it would undo. Without the history the refusal stands without them.
async fn conflicts_of<P: OperatorPort>(port: &P, patch: &ConfigPatch) -> Vec<ConfigChange> {
    let Ok(later) = port.history(patch.base, CONFLICTS_LIMIT).await else { return Vec::new() };
    let later = later.into_iter().flat_map(|record| record.patch.changes);
    later.filter(|change| patch.changes.iter().any(|own| own.touches_same(change))).collect()
}

async fn floor_warnings<P: OperatorPort>(port: &P, changes: &[ConfigChange]) -> Vec<FloorWarning> {
    let floors = changes.iter().filter_map(|change| match change {
        ConfigChange::PutService { name, rule } if rule.floor_slots > 0 => {
            Some((name, rule.floor_slots))
        }
        _ => None,
    });
    let floors: Vec<_> = floors.collect();
    if floors.is_empty() {
        return Vec::new();
    }
    let upstreams = port.upstreams().await;
    let warnings = floors.into_iter().filter_map(|(service, floor_slots)| {
        let announced_slots = announced_slots(&upstreams, service);
        (announced_slots < floor_slots)
            .then(|| floor_warning(service, floor_slots, announced_slots))
    });
    warnings.collect()
}

fn announced_slots(upstreams: &[UpstreamRow], service: &ServiceName) -> u32 {
    let serving = upstreams.iter().filter(|row| row.service == *service);
    serving.filter(|row| row.state == UpstreamState::Serving).map(|row| row.slots).sum()
}

fn floor_warning(service: &ServiceName, floor_slots: u32, announced_slots: u32) -> FloorWarning {
    let text = format!(
        "service {service}: the floor is {floor_slots} slots, but only {announced_slots} are \
         announced; nothing can be ejected until upstreams are switched on or the floor is lowered"
    );
    FloorWarning { service: service.clone(), floor_slots, announced_slots, text }
}
