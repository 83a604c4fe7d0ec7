//! What operators may have done beside patches: planned stops and the care of control replicas.

use std::sync::Arc;

use crate::{
    answers::{DrainAnswer, PageFault, ReplicaAnswer, SnapshotAnswer, ok},
    body,
    reads::{number_param, param},
};
use model::{
    names::MemberName,
    numbers::GroupNumber,
    ports::{OperatorPort, ReplicaChange},
};
use poem::{Request, Response};

/// Begins the planned stop of a VM. Asking again for one that is stopping changes nothing.
pub(crate) async fn drain<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let member: MemberName = param(&request, "member", "give a name of GET /members")?;
    port.drain(member.clone()).await?;
    log::info!(member:%; "planned stop asked for by an operator");
    Ok(ok(&DrainAnswer { draining: member }))
}

/// Shows the replicated groups, as this VM sees them.
pub(crate) async fn control<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.status().await.groups))
}

/// Adds or removes one replica of a group.
pub(crate) async fn change_replicas<P: OperatorPort>(
    port: Arc<P>,
    mut request: Request,
) -> Result<Response, PageFault> {
    let group = group_of(&request)?;
    let change: ReplicaChange = body::read(&mut request).await?;
    port.change_replicas(group, change.clone()).await?;
    log::info!(group:%, change:?; "replicas changed by an operator");
    Ok(ok(&ReplicaAnswer { group }))
}

/// Has this VM's replica of a group write a snapshot.
pub(crate) async fn snapshot<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let group = group_of(&request)?;
    let index = port.snapshot(group).await?;
    log::info!(group:%, index; "snapshot asked for by an operator");
    Ok(ok(&SnapshotAnswer { group, index }))
}

fn group_of(request: &Request) -> Result<GroupNumber, PageFault> {
    number_param(request, "group", "0 is the configuration, 1 and up are ledgers").map(GroupNumber)
}
