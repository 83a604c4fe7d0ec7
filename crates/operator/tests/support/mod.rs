//! A small fake of the fleet behind the operators' interface, and a plain HTTP caller.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use model::{
    announcement::UpstreamState,
    config::FleetConfig,
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber, IncarnationNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::{ControlFault, OperatorPort, ReplicaChange},
    report::{CapacityRow, MemberRow, PlacerRow, StatusReport, UpstreamRow},
    secret::SharedSecret,
};
use operator::server::OperatorServer;
use serde_json::Value;
use tokio::{net::TcpStream, sync::watch};

pub(crate) const SECRET: &str = "the secret of a test";

/// Keeps a configuration in memory as one control VM would.
pub(crate) struct FakePort {
    pub(crate) config: watch::Sender<Arc<FleetConfig>>,
    pub(crate) history: Mutex<Vec<PatchRecord>>,
    pub(crate) results: Mutex<HashMap<PatchId, PatchResult>>,
    pub(crate) drained: Mutex<Vec<MemberName>>,
    pub(crate) changed: Mutex<Vec<(GroupNumber, ReplicaChange)>>,
    pub(crate) fault: Mutex<Option<ControlFault>>,
}

impl FakePort {
    pub(crate) fn open() -> Arc<Self> {
        let (config, _) = watch::channel(Arc::new(FleetConfig::default()));
        Arc::new(Self {
            config,
            history: Mutex::default(),
            results: Mutex::default(),
            drained: Mutex::default(),
            changed: Mutex::default(),
            fault: Mutex::default(),
        })
    }

    pub(crate) fn number(&self) -> ConfigNumber {
        self.config.borrow().number()
    }

    fn fail(&self) -> Result<(), ControlFault> {
        self.fault.lock().unwrap().clone().map_or(Ok(()), Err)
    }
}

impl OperatorPort for FakePort {
    async fn submit(&self, patch: ConfigPatch) -> Result<PatchResult, ControlFault> {
        self.fail()?;
        let mut results = self.results.lock().unwrap();
        if let Some(first) = results.get(&patch.id) {
            return Ok(first.clone());
        }
        let next = self.config().apply(&patch);
        let result = next.map(|next| {
            let number = next.number();
            self.config.send_replace(Arc::new(next));
            let record = PatchRecord { number, patch: patch.clone() };
            self.history.lock().unwrap().push(record);
            number
        });
        results.insert(patch.id, result.clone());
        Ok(result)
    }

    fn config(&self) -> Arc<FleetConfig> {
        self.config.borrow().clone()
    }

    async fn config_after(&self, number: ConfigNumber) -> Arc<FleetConfig> {
        let mut watch = self.config.subscribe();
        watch.wait_for(|config| config.number() > number).await.unwrap().clone()
    }

    async fn history(
        &self,
        after: ConfigNumber,
        limit: u32,
    ) -> Result<Vec<PatchRecord>, ControlFault> {
        self.fail()?;
        let history = self.history.lock().unwrap();
        let later = history.iter().filter(|record| record.number > after);
        Ok(later.take(limit as usize).cloned().collect())
    }

    async fn patch(&self, id: PatchId) -> Result<Option<PatchResult>, ControlFault> {
        self.fail()?;
        Ok(self.results.lock().unwrap().get(&id).cloned())
    }

    async fn status(&self) -> StatusReport {
        StatusReport {
            accepted: self.number(),
            digest: self.config().digest(),
            confirmed: true,
            in_force: 2,
            members: 3,
            lagging: vec![("vm-3".parse().unwrap(), ConfigNumber(0))],
            groups: Vec::new(),
        }
    }

    async fn upstreams(&self) -> Vec<UpstreamRow> {
        vec![UpstreamRow {
            service: "cluebook".parse().unwrap(),
            upstream: "cluebook-1".parse().unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            domain: "pettah".parse().unwrap(),
            state: UpstreamState::Serving,
            health: None,
            slots: 4,
            busy: 1,
            incarnation: IncarnationNumber(1),
            lease_left_ms: 900,
            ejected_left_ms: 0,
        }]
    }

    async fn placers(&self) -> Vec<PlacerRow> {
        Vec::new()
    }

    async fn members(&self) -> Vec<MemberRow> {
        Vec::new()
    }

    async fn capacity(&self) -> Vec<CapacityRow> {
        Vec::new()
    }

    async fn drain(&self, member: MemberName) -> Result<(), ControlFault> {
        if member.as_str() != "vm-1" {
            return Err(ControlFault::Refused { reason: format!("there is no VM {member}") });
        }
        self.drained.lock().unwrap().push(member);
        Ok(())
    }

    async fn change_replicas(
        &self,
        group: GroupNumber,
        change: ReplicaChange,
    ) -> Result<(), ControlFault> {
        self.changed.lock().unwrap().push((group, change));
        Ok(())
    }

    async fn snapshot(&self, group: GroupNumber) -> Result<u64, ControlFault> {
        self.fail()?;
        Ok(u64::from(group.0) + 40)
    }
}

pub(crate) async fn serve(port: &Arc<FakePort>) -> OperatorServer {
    let secret = SharedSecret::from_bytes(SECRET.as_bytes()).unwrap();
    OperatorServer::bind(([127, 0, 0, 1], 0).into(), secret, port.clone()).await.unwrap()
}

pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) json: Value,
}

impl Answer {
    pub(crate) fn code(&self) -> &str {
        self.json["error"]["code"].as_str().unwrap_or("no error")
    }

    pub(crate) fn text(&self) -> &str {
        self.json["error"]["text"].as_str().unwrap_or("no text")
    }
}

pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "operators");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    Answer { status, json: serde_json::from_slice(&body).unwrap_or_default() }
}

pub(crate) async fn proved(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Answer {
    let bearer = format!("Bearer {SECRET}");
    send(address, method, path, &[("authorization", &bearer)], body).await
}
