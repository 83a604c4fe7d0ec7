//! The planned stop (FAILURES row 24).

use std::{
    future::pending,
    path::PathBuf,
    time::{Duration, Instant},
};

use daemon::{
    exit::{EXIT_CONTROL, EXIT_CUT, EXIT_START},
    node::DaemonNode,
    process::{ProcessError, finish},
    settings::DaemonSettings,
};
use googletest::prelude::*;
use model::{
    call::CallClass,
    config::{ControlSettings, ServiceRule},
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchId},
    route::RouteRule,
    secret::SharedSecret,
    traffic::RouteTraffic,
};
use standin::call::{call, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use uuid::Uuid;

const SECRET: &str = "the secret of a test";

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

fn code(result: std::result::Result<(), ProcessError>) -> u8 {
    result.map_or_else(|error| error.exit_code(), |()| 0)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_planned_stop_waits_for_calls_in_flight_however_long_they_take() {
    let stop = sleep(Duration::from_secs(3_600));
    expect_that!(code(finish(stop, pending(), None).await), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_second_signal_or_the_limit_cuts_with_a_code_of_its_own() {
    // A supervisor that cannot wait cuts the stop. That breaks what callers were promised, so it
    // must not look like a planned end.
    let again = sleep(Duration::from_secs(5));
    let cut = finish(pending(), again, None).await;
    expect_that!(
        cut.as_ref().map_err(ToString::to_string),
        err(contains_substring("second signal"))
    );
    expect_that!(code(cut), eq(EXIT_CUT));
    let limited = finish(pending(), pending(), Some(Duration::from_secs(30))).await;
    expect_that!(code(limited), eq(EXIT_CUT));
    let in_time = sleep(Duration::from_secs(29));
    let in_time = finish(in_time, pending(), Some(Duration::from_secs(30))).await;
    expect_that!(code(in_time), eq(0));
}

#[gtest]
fn a_failed_control_state_has_a_code_of_its_own_and_its_reason() {
    let reason = std::sync::Arc::new(control::fault::ControlError::NoFounders);
    let error = ProcessError::Control { reason: reason.clone() };
    expect_that!(error.exit_code(), eq(EXIT_CONTROL));
    expect_that!(error.to_string(), contains_substring(reason.to_string()));
}

/// One daemon with a control state of its own.
struct Daemon {
    node: DaemonNode,
    folder: PathBuf,
}

fn settings(folder: &std::path::Path) -> DaemonSettings {
    let any = ([127, 0, 0, 1], 0).into();
    let secret = SharedSecret::from_bytes(SECRET.as_bytes()).unwrap();
    DaemonSettings {
        member: "vm-1".parse().unwrap(),
        domain: "pettah".parse().unwrap(),
        caller_listen: any,
        announce_listen: any,
        operator_listen: any,
        platform_listen: any,
        fleet_listen: any,
        fleet_address: None,
        seeds: Vec::new(),
        data: Some(folder.join("control")),
        founders: Vec::new(),
        fleet_secret: secret.clone(),
        operator_secret: secret.clone(),
        announce_secret: secret,
    }
}

impl Daemon {
    async fn open() -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(Uuid::new_v4().to_string());
        std::fs::create_dir_all(&folder).unwrap();
        Self { node: DaemonNode::spawn(&settings(&folder)).await.unwrap(), folder }
    }

    /// Puts a lame-duck time in force and waits until the balancer is told "ready".
    async fn set_lame_duck(&self, lame_duck_ms: u32) {
        let settings = ControlSettings { lame_duck_ms, ..ControlSettings::default() };
        self.put(vec![ConfigChange::PutSettings { settings }]).await;
    }

    /// Puts changes in force and waits until the balancer is told "ready".
    async fn put(&self, changes: Vec<ConfigChange>) {
        let patch = ConfigPatch {
            id: PatchId(Uuid::now_v7()),
            base: ConfigNumber(0),
            author: "test".to_owned(),
            changes,
        };
        let body = serde_json::to_vec(&patch).unwrap();
        let bearer = format!("Bearer {SECRET}");
        let deadline = Instant::now() + PATIENCE;
        while self.health().await != 200 {
            let post = request("POST", "/patches", &[("authorization", &bearer)], &body);
            call(self.node.operator_address(), post).await.unwrap();
            assert!(Instant::now() < deadline, "not ready in time");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn health(&self) -> u16 {
        health(self.node.platform_address()).await
    }
}

async fn health(address: std::net::SocketAddr) -> u16 {
    call(address, request("GET", "/health", &[], b"")).await.unwrap().status.as_u16()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn health_fails_at_once_while_calls_are_still_taken() {
    // The balancer goes on sending callers until it has seen the health page fail. Calls on new
    // connections in that time are answered: here with "no-route", which is an answer all the same.
    let daemon = Daemon::open().await;
    daemon.set_lame_duck(1_500).await;
    let (platform, callers) = (daemon.node.platform_address(), daemon.node.caller_address());
    let stop = tokio::spawn(daemon.node.stop(None));
    let deadline = Instant::now() + PATIENCE;
    while health(platform).await != 503 {
        assert!(Instant::now() < deadline, "the health page does not fail");
    }
    let answer = call(callers, request("GET", "/nothing", &[], b"")).await.unwrap();
    expect_that!(answer.header("coltsfootcrank-outcome").is_empty(), eq(false));
    tokio::time::timeout(PATIENCE, stop).await.unwrap().unwrap();
    let _ = std::fs::remove_dir_all(daemon.folder);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_an_operator_is_answered_before_the_vm_ends() {
    let daemon = Daemon::open().await;
    daemon.set_lame_duck(0).await;
    let bearer = format!("Bearer {SECRET}");
    let post = request("POST", "/members/vm-1/drain", &[("authorization", &bearer)], b"");
    let drain = call(daemon.node.operator_address(), post);
    let (answer, ()) = tokio::join!(drain, async {
        daemon.node.drain_asked().await;
        tokio::time::timeout(PATIENCE, daemon.node.stop(None)).await.unwrap();
    });
    expect_that!(answer.unwrap().status.as_u16(), eq(200));
    let _ = std::fs::remove_dir_all(daemon.folder);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_address_in_use_is_named_and_has_the_code_of_a_failed_start() {
    let daemon = Daemon::open().await;
    let mut second = settings(&daemon.folder);
    second.data = Some(daemon.folder.join("second"));
    second.operator_listen = daemon.node.operator_address();
    let error = DaemonNode::spawn(&second).await.err().unwrap();
    let error = ProcessError::Start { source: error };
    expect_that!(error.to_string(), contains_substring(second.operator_listen.to_string()));
    expect_that!(error.exit_code(), eq(EXIT_START));
    daemon.node.kill();
    let _ = std::fs::remove_dir_all(daemon.folder);
}

// A stop with a limit was cut at it, with a call that nobody had answered and the exit code of a failure.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_with_a_limit_answers_each_call_and_ends_with_code_0() {
    let daemon = Daemon::open().await;
    let path = "/once".to_owned();
    let rule = RouteRule {
        host: None,
        path,
        methods: Vec::new(),
        service: "desk".parse().unwrap(),
        class: CallClass::Unprotected,
        timeout_ms: 20_000,
        public: false,
        traffic: RouteTraffic::default(),
    };
    let service = ServiceRule::default();
    daemon
        .put(vec![
            ConfigChange::PutService { name: "desk".parse().unwrap(), rule: service },
            ConfigChange::PutRoute { name: "once".parse().unwrap(), rule },
        ])
        .await;
    let mut caller = TcpStream::connect(daemon.node.caller_address()).await.unwrap();
    let slow = b"POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nslow";
    caller.write_all(slow).await.unwrap();
    sleep(Duration::from_millis(100)).await;

    let limit = Duration::from_secs(3);
    let stopped = finish(daemon.node.stop(Some(limit)), pending(), Some(limit)).await;

    expect_that!(code(stopped), eq(0));
    let mut answer = String::new();
    let read = tokio::time::timeout(PATIENCE, caller.read_to_string(&mut answer)).await;
    expect_that!(read.is_ok_and(|read| read.is_ok()), eq(true));
    expect_that!(answer, starts_with("HTTP/1.1 503"));
    let _ = std::fs::remove_dir_all(daemon.folder);
}
