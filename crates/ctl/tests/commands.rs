//! The command line as a library against the operators' interface in the same process.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use control::{handle::ControlHandle, settings::ReplicaSettings};
use ctl::{
    args::Coltsfootcrank,
    fault::{CtlError, EXIT_REFUSED, EXIT_STALE, EXIT_SYSTEM, EXIT_UNREACHED, EXIT_USAGE},
    run::run,
};
use googletest::prelude::*;
use model::{
    config::ControlSettings,
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigChange, ConfigPatch, PatchId},
    ports::ControlFault,
};
use operator::server::OperatorServer;
use serde_json::{Value, json};
use support::{FakePort, SECRET, serve};
use uuid::Uuid;

#[path = "../../operator/tests/support/mod.rs"]
mod support;

/// A fleet of one fake, and a folder for the operator's files.
struct Desk {
    port: Arc<FakePort>,
    server: OperatorServer,
    folder: PathBuf,
}

impl Desk {
    async fn open() -> Self {
        let port = FakePort::open();
        let server = serve(&port).await;
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(Uuid::new_v4().to_string());
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("secret"), SECRET).unwrap();
        Self { port, server, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    fn patch(&self, floor: u32) -> String {
        let text = format!(
            "[[changes]]\nput-service = {{ name = \"cluebook\", rule = {{ floor-slots = {floor} }} }}\n"
        );
        self.file("patch.toml", &text)
    }

    async fn run(&self, words: &[&str]) -> std::result::Result<String, CtlError> {
        self.run_at(&[self.server.address()], words).await
    }

    async fn run_at(
        &self,
        addresses: &[SocketAddr],
        words: &[&str],
    ) -> std::result::Result<String, CtlError> {
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        let secret = self.folder.join("secret").to_str().unwrap().to_owned();
        let variables = HashMap::from([
            ("COLTSFOOTCRANK_OPERATOR", addresses.join(",")),
            ("COLTSFOOTCRANK_OPERATOR_SECRET", secret),
            ("USER", "asha".to_owned()),
        ]);
        let args = Coltsfootcrank::from_vec(words.iter().map(Into::into).collect()).unwrap();
        let mut out = Vec::new();
        run(args, |name| variables.get(name).cloned(), &mut out).await?;
        Ok(String::from_utf8(out).unwrap())
    }

    async fn json(&self, words: &[&str]) -> Value {
        let words: Vec<_> = std::iter::once("--json").chain(words.iter().copied()).collect();
        serde_json::from_str(&self.run(&words).await.unwrap()).unwrap()
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        // What is left behind is in the build's own folder for it.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An address at which nobody listens.
async fn dead_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

fn code(result: std::result::Result<String, CtlError>) -> u8 {
    result.map_or_else(|error| error.exit_code(), |_| 0)
}

#[gtest]
#[tokio::test]
async fn submit_after_a_lost_answer_sends_the_same_patch() {
    // The operator's first try gets no answer, and in the meantime somebody else's patch moves the
    // number on. The second try sends the same identifier and base, so it cannot undo that work.
    let desk = Desk::open().await;
    let file = desk.patch(2);
    desk.run(&["patch", "submit", &file]).await.unwrap();
    let other = desk.file("other.json", r#"{"changes": [{"put-settings": {"settings": {}}}]}"#);
    desk.run(&["patch", "submit", &other]).await.unwrap();
    let again = desk.run(&["patch", "submit", &file]).await.unwrap();
    expect_that!(again, contains_substring("sent before"));
    expect_that!(again, contains_substring("accepted as number 1"));
    expect_that!(desk.port.number(), eq(ConfigNumber(2)));
}

#[gtest]
#[tokio::test]
async fn submit_without_an_answer_names_the_patch_and_keeps_it() {
    let desk = Desk::open().await;
    let file = desk.patch(2);
    let dead = [dead_address().await];
    let error = desk.run_at(&dead, &["patch", "submit", "--base", "0", &file]).await.unwrap_err();
    expect_that!(error.exit_code(), eq(EXIT_UNREACHED));
    expect_that!(error.to_string(), contains_substring("run the same command again"));
    let kept = fs::read_to_string(format!("{file}.sent.json")).unwrap();
    let kept: Value = serde_json::from_str(&kept).unwrap();
    let id = kept["id"].as_str().unwrap();
    expect_that!(error.to_string(), contains_substring(id));
    let report = desk.json(&["patch", "submit", &file]).await;
    expect_that!(report["id"].as_str(), some(eq(id)));
    expect_that!(report["answer"]["accepted"]["number"], eq(&json!(1)));
}

#[gtest]
#[tokio::test]
async fn other_changes_another_base_or_new_make_another_patch() {
    let desk = Desk::open().await;
    let file = desk.patch(1);
    let first = desk.json(&["patch", "submit", &file]).await;
    desk.patch(2);
    let changed = desk.json(&["patch", "submit", &file]).await;
    let based = desk.json(&["patch", "submit", "--base", "2", &file]).await;
    let new = desk.json(&["patch", "submit", "--new", &file]).await;
    let ids = [&first["id"], &changed["id"], &based["id"], &new["id"]];
    for (place, id) in ids.iter().enumerate() {
        expect_that!(ids[..place].contains(id), eq(false));
    }
    expect_that!(desk.port.number(), eq(ConfigNumber(4)));
}

#[gtest]
#[tokio::test]
async fn a_stale_base_ends_with_its_own_code_and_shows_the_newer_work() {
    let desk = Desk::open().await;
    let file = desk.patch(1);
    desk.run(&["patch", "submit", &file]).await.unwrap();
    desk.patch(9);
    for command in ["check", "submit"] {
        let stale = desk.run(&["patch", command, "--base", "0", &file]).await.unwrap_err();
        expect_that!(stale.exit_code(), eq(EXIT_STALE));
        expect_that!(stale.to_string(), contains_substring("\"floor-slots\":1"));
        expect_that!(stale.to_string(), contains_substring("--base 1"));
    }
    expect_that!(desk.port.number(), eq(ConfigNumber(1)));
}

#[gtest]
#[tokio::test]
async fn a_check_prints_warnings_and_changes_nothing() {
    let desk = Desk::open().await;
    let file = desk.patch(9);
    let text = desk.run(&["patch", "check", &file]).await.unwrap();
    expect_that!(text, contains_substring("valid against number 0"));
    expect_that!(text, contains_substring("warning: service cluebook: the floor is 9 slots"));
    expect_that!(desk.port.number(), eq(ConfigNumber(0)));
    expect_that!(PathBuf::from(format!("{file}.sent.json")).exists(), eq(false));
}

#[gtest]
#[tokio::test]
async fn the_next_vm_is_asked_when_one_is_gone_or_without_a_majority() {
    let desk = Desk::open().await;
    let cut_off = Desk::open().await;
    let group = GroupNumber::CONFIG;
    *cut_off.port.fault.lock().unwrap() = Some(ControlFault::Unavailable { group });
    let file = desk.patch(1);
    let addresses = [dead_address().await, cut_off.server.address(), desk.server.address()];
    let text = desk.run_at(&addresses, &["patch", "submit", &file]).await.unwrap();
    expect_that!(text, contains_substring("accepted as number 1"));
    let text = desk.run_at(&addresses[..2], &["config", "history"]).await.unwrap_err();
    expect_that!(text.exit_code(), eq(EXIT_UNREACHED));
    expect_that!(text.to_string(), contains_substring("no connection"));
    expect_that!(text.to_string(), contains_substring("no majority"));
}

#[gtest]
#[tokio::test]
async fn exit_codes_tell_usage_system_and_refusal_apart() {
    let desk = Desk::open().await;
    let bad = desk.file("bad.toml", "changes = 7");
    expect_that!(code(desk.run(&["patch", "check", &bad]).await), eq(EXIT_USAGE));
    expect_that!(code(desk.run(&["patch", "show", "seven"]).await), eq(EXIT_USAGE));
    expect_that!(code(desk.run(&["drain", "a b"]).await), eq(EXIT_USAGE));
    expect_that!(code(desk.run(&["control", "replace", "0"]).await), eq(EXIT_USAGE));
    expect_that!(code(desk.run(&["patch", "check", "/nowhere/p.toml"]).await), eq(EXIT_SYSTEM));
    expect_that!(code(desk.run(&["drain", "vm-9"]).await), eq(EXIT_REFUSED));
    expect_that!(code(desk.run(&["service", "show", "nothing"]).await), eq(EXIT_REFUSED));
    let empty = desk.file("empty.json", r#"{"changes": []}"#);
    let refused = desk.run(&["patch", "submit", &empty]).await.unwrap_err();
    expect_that!(refused.exit_code(), eq(EXIT_REFUSED));
    expect_that!(refused.to_string(), contains_substring("holds no change"));
}

#[gtest]
#[tokio::test]
async fn a_missing_or_malformed_setting_is_named_with_what_would_be_right() {
    let status = || Coltsfootcrank::from_vec(vec!["status".into()]).unwrap();
    let missing = run(status(), |_| None, &mut Vec::new()).await.unwrap_err();
    expect_that!(missing.to_string(), contains_substring("--operator is missing"));
    expect_that!(missing.to_string(), contains_substring("COLTSFOOTCRANK_OPERATOR"));
    let args = vec!["--operator".into(), "vm-1".into(), "status".into()];
    let args = Coltsfootcrank::from_vec(args).unwrap();
    let malformed = run(args, |_| None, &mut Vec::new()).await.unwrap_err();
    expect_that!(malformed.to_string(), contains_substring("\"vm-1\"; it must be IP:PORT"));
    expect_that!(malformed.exit_code(), eq(EXIT_USAGE));
}

#[gtest]
#[tokio::test]
async fn a_wrong_secret_is_refused_with_what_to_do() {
    let desk = Desk::open().await;
    desk.file("secret", "another secret of a test");
    let refused = desk.run(&["status"]).await.unwrap_err();
    expect_that!(refused.exit_code(), eq(EXIT_REFUSED));
    expect_that!(refused.to_string(), contains_substring("send the operators' secret"));
}

#[gtest]
#[tokio::test]
async fn status_tells_how_far_a_number_has_come_and_who_lags() {
    let desk = Desk::open().await;
    let text = desk.run(&["status"]).await.unwrap();
    expect_that!(text, contains_substring("accepted  number 0 (confirmed by the leader)"));
    expect_that!(text, contains_substring("in force  on 2 of 3 VMs"));
    expect_that!(text, contains_substring("lagging   vm-3 at number 0"));
    expect_that!(desk.json(&["status"]).await["in-force"], eq(&json!(2)));
}

#[gtest]
#[tokio::test]
async fn tables_have_a_header_and_a_line_for_each_row() {
    let desk = Desk::open().await;
    desk.run(&["patch", "submit", &desk.patch(3)]).await.unwrap();
    let upstreams = desk.run(&["upstreams"]).await.unwrap();
    let lines: Vec<_> = upstreams.lines().collect();
    expect_that!(lines.len(), eq(2));
    expect_that!(lines[0].trim_start(), starts_with("SERVICE"));
    expect_that!(lines[1], contains_substring("cluebook-1"));
    let services = desk.run(&["service", "list"]).await.unwrap();
    expect_that!(services, contains_substring("cluebook"));
    let history = desk.run(&["config", "history"]).await.unwrap();
    expect_that!(history, contains_substring("asha"));
    expect_that!(history, contains_substring("service cluebook"));
    for words in [["config", "show"], ["service", "show"]] {
        let words =
            [words.as_slice(), &["cluebook"][..usize::from(words[0] == "service")]].concat();
        expect_that!(desk.run(&words).await.unwrap(), contains_substring("cluebook"));
    }
    for word in ["placers", "members", "capacity"] {
        expect_that!(desk.run(&[word]).await.unwrap().lines().count(), eq(1), "{word}");
    }
}

#[gtest]
#[tokio::test]
async fn a_watch_prints_each_later_number() {
    let desk = Desk::open().await;
    desk.run(&["patch", "submit", &desk.patch(3)]).await.unwrap();
    let words = ["config", "watch", "--after", "0", "--count", "1"];
    expect_that!(desk.run(&words).await.unwrap(), eq("number 1 in force\n"));
}

#[gtest]
#[tokio::test]
async fn drain_replace_and_snapshot_reach_the_fleet() {
    let desk = Desk::open().await;
    let drain = desk.run(&["drain", "vm-1"]).await.unwrap();
    expect_that!(drain, contains_substring("vm-1 stops as planned"));
    let words = ["control", "replace", "1", "--remove", "vm-1", "--add", "vm-2"];
    let replace = desk.run(&words).await.unwrap();
    expect_that!(replace, eq("group 1: vm-2 added\ngroup 1: vm-1 removed\n"));
    expect_that!(desk.port.changed.lock().unwrap().len(), eq(2));
    let snapshot = desk.json(&["control", "snapshot", "2"]).await;
    expect_that!(snapshot["index"], eq(&json!(42)));
}

#[gtest]
#[tokio::test]
async fn inspect_reads_a_data_folder_without_any_vm() {
    let desk = Desk::open().await;
    let folder = desk.folder.join("data");
    let member: model::names::MemberName = "vm-1".parse().unwrap();
    let (control, _packets) = ControlHandle::open(ReplicaSettings {
        member: member.clone(),
        folder: folder.clone(),
        founders: vec![member],
        seed: 1,
    })
    .unwrap();
    let change = ConfigChange::PutSettings { settings: ControlSettings::default() };
    let id = PatchId(Uuid::now_v7());
    let patch =
        ConfigPatch { id, base: ConfigNumber(0), author: "a".to_owned(), changes: vec![change] };
    let deadline = Instant::now() + Duration::from_secs(20);
    while !matches!(control.submit(patch.clone(), Duration::from_secs(1)).await, Ok(Ok(_))) {
        assert!(Instant::now() < deadline, "no leader in time");
    }
    let args = ["--json", "control", "inspect", folder.to_str().unwrap()];
    let args = Coltsfootcrank::from_vec(args.map(Into::into).into()).unwrap();
    let mut out = Vec::new();
    run(args, |_| None, &mut out).await.unwrap();
    let reports: Value = serde_json::from_slice(&out).unwrap();
    expect_that!(reports[0]["group"], eq(&json!(0)));
    expect_that!(reports[0]["last-index"].as_u64(), some(ge(1)));
    expect_that!(reports[0]["damage"], eq(&Value::Null));
    let text = desk.run(&["control", "inspect", folder.to_str().unwrap()]).await.unwrap();
    expect_that!(text, contains_substring("GROUP"));
    let nowhere = desk.run(&["control", "inspect", "/nowhere/at/all"]).await;
    expect_that!(code(nowhere), eq(EXIT_SYSTEM));
}
