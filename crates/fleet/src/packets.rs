//! Carries what replicas send each other, as far as it goes.
//!
//! The replicas resend by themselves whatever matters, so a packet that meets a full queue or a lost
//! connection is dropped. Each destination has a queue and a task of its own: one that does not
//! answer must not delay the packets for another, or a single lost replica would cost the leader its
//! majority.

use std::{collections::HashMap, time::Duration};

use crate::{driver::SharedState, wire::FleetPeerClient};
use control::packet::ReplicaPacket;
use model::names::MemberName;
use tokio::sync::mpsc;

/// How many packets wait for one destination.
const QUEUE_LIMIT: usize = 256;

/// How many go in one message, so that it stays far below the size limit of messages.
const BATCH_LIMIT: usize = 16;

/// How long one message may take. An election starts after a similar time.
const PACKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries packets until the replicas of this VM end.
pub(crate) async fn carry(mut packets: mpsc::Receiver<ReplicaPacket>, shared: SharedState) {
    let mut queues = HashMap::<MemberName, mpsc::Sender<ReplicaPacket>>::new();
    while let Some(packet) = packets.recv().await {
        let to = packet.to.clone();
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let (queue, waiting) = mpsc::channel(QUEUE_LIMIT);
            tokio::spawn(send(to, waiting, shared.clone()));
            queue
        });
        if queue.try_send(packet).is_err() {
            log::debug!("a packet between replicas was dropped: its queue is full");
        }
    }
}

async fn send(to: MemberName, mut waiting: mpsc::Receiver<ReplicaPacket>, shared: SharedState) {
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
        let packets = std::mem::take(&mut batch);
        let address = shared.view.load().member(&to).map(|member| member.address);
        let Some(address) = address else { continue };
        let call = |client: FleetPeerClient, context| async move {
            client.packets(context, packets).await
        };
        if let Err(error) = shared.links.call(address, PACKET_TIMEOUT, call).await {
            log::debug!(to:% = to, error:% = error; "packets between replicas were lost");
        }
    }
}
