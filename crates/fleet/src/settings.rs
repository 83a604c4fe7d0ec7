//! What a node of the fleet is started with.

use std::net::SocketAddr;

use model::{
    names::{DomainName, MemberName},
    numbers::IncarnationNumber,
    secret::SharedSecret,
};

/// What a node of the fleet is started with.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The VM's name.
    pub member: MemberName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its present life; greater than each earlier one.
    pub incarnation: IncarnationNumber,
    /// Where to listen for the rest of the fleet.
    pub listen: SocketAddr,
    /// Some VMs of the fleet, to begin with. The node itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Proves that a peer belongs to the fleet.
    pub secret: SharedSecret,
}
