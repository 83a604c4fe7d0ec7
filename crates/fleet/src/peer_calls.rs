//! Calls whose messages have grown: each goes in the form that the peer knows.

use std::{net::SocketAddr, time::Duration};

use crate::{
    link::{LinkError, PeerLinks},
    settles::EntryEnds,
    wire::{AskFault, FleetPeerClient, NamedGrant, PlacerAsk, WireRevision},
};
use model::names::MemberName;

type AskAnswer = Result<NamedGrant, AskFault>;

impl PeerLinks {
    /// Asks a placer for a slot.
    pub(crate) async fn ask_at(
        &self,
        address: SocketAddr,
        span: Duration,
        ask: PlacerAsk,
    ) -> Result<AskAnswer, LinkError> {
        let named = ask.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.ask_by_name(context, named).await
        };
        let since = WireRevision::NAMED_GRANTS;
        if let Some(answer) = self.call_since(since, address, span, call).await? {
            return Ok(answer);
        }
        let call = |client: FleetPeerClient, context| async move { client.ask(context, ask).await };
        let answer = self.call(address, span, call).await?;
        Ok(answer.map(NamedGrant::from))
    }

    /// Asks a placer for a slot through a relay.
    pub(crate) async fn relay_ask_at(
        &self,
        relay: SocketAddr,
        span: Duration,
        placer: &MemberName,
        ask: PlacerAsk,
    ) -> Result<AskAnswer, LinkError> {
        let (to, named) = (placer.clone(), ask.clone());
        let call = |client: FleetPeerClient, context| async move {
            client.relay_ask_by_name(context, to, named).await
        };
        let since = WireRevision::NAMED_GRANTS;
        if let Some(answer) = self.call_since(since, relay, span, call).await? {
            return Ok(answer);
        }
        let to = placer.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.relay_ask(context, to, ask).await
        };
        let answer = self.call(relay, span, call).await?;
        Ok(answer.map(NamedGrant::from))
    }

    /// Tells a placer ends of grants and asks.
    pub(crate) async fn end_at(
        &self,
        address: SocketAddr,
        span: Duration,
        ends: EntryEnds,
    ) -> Result<(), LinkError> {
        let told = ends.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.end_of_life(context, told).await
        };
        let since = WireRevision::ENDS_OF_LIFE;
        if self.call_since(since, address, span, call).await?.is_some() {
            return Ok(());
        }
        let EntryEnds { entry, ends, .. } = ends;
        let call = |client: FleetPeerClient, context| async move {
            client.end(context, entry, ends).await
        };
        self.call(address, span, call).await
    }

    /// Tells a placer ends through a relay. Tells whether the placer took them.
    pub(crate) async fn relay_end_at(
        &self,
        relay: SocketAddr,
        span: Duration,
        placer: &MemberName,
        ends: EntryEnds,
    ) -> Result<bool, LinkError> {
        let (to, told) = (placer.clone(), ends.clone());
        let call = |client: FleetPeerClient, context| async move {
            client.relay_end_of_life(context, to, told).await
        };
        let since = WireRevision::ENDS_OF_LIFE;
        if let Some(taken) = self.call_since(since, relay, span, call).await? {
            return Ok(taken);
        }
        let EntryEnds { entry, ends, .. } = ends;
        let to = placer.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.relay_end(context, to, entry, ends).await
        };
        self.call(relay, span, call).await
    }
}
