//! Each page of the operators' interface against a small fake of the fleet.

use googletest::prelude::*;
use hyper::StatusCode;
use model::{numbers::ConfigNumber, ports::ControlFault, ports::ReplicaChange};
use serde_json::{Value, json};
use support::{FakePort, SECRET, proved, send, serve};

mod support;

const ID: &str = "01938a3c-0000-7000-8000-000000000001";
const OTHER_ID: &str = "01938a3c-0000-7000-8000-000000000002";

fn patch(id: &str, base: u64, floor: u32) -> Vec<u8> {
    let rule = json!({"floor-slots": floor});
    let put = json!({"put-service": {"name": "cluebook", "rule": rule}});
    let patch = json!({"id": id, "base": base, "author": "a", "changes": [put]});
    serde_json::to_vec(&patch).unwrap()
}

#[gtest]
#[tokio::test]
async fn a_wrong_or_missing_secret_changes_nothing_on_any_page() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let nearly = format!("Bearer {}x", &SECRET[..SECRET.len() - 1]);
    let posts = ["/patches", "/members/vm-1/drain", "/control/0/replicas", "/control/0/snapshot"];
    for path in posts {
        for headers in [vec![], vec![("authorization", nearly.as_str())]] {
            let answer = send(server.address(), "POST", path, &headers, &patch(ID, 0, 1)).await;
            expect_that!(answer.status, eq(StatusCode::UNAUTHORIZED), "{path}");
            expect_that!(answer.code(), eq("unauthorized"));
        }
    }
    let config = send(server.address(), "GET", "/config", &[], b"").await;
    expect_that!(config.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(port.number(), eq(ConfigNumber(0)));
    expect_that!(*port.drained.lock().unwrap(), is_empty());
    expect_that!(*port.changed.lock().unwrap(), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_patch_sent_again_gets_its_first_result() {
    // The operator's tool loses the answer and sends the same patch again, after somebody else's
    // patch moved the number on. The answer is the first one, not "stale": the patch is in force.
    let port = FakePort::open();
    let server = serve(&port).await;
    let first = proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    expect_that!(first.json["accepted"]["number"], eq(&json!(1)));
    proved(server.address(), "POST", "/patches", &patch(OTHER_ID, 1, 2)).await;
    let again = proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    expect_that!(again.json["accepted"]["number"], eq(&json!(1)));
    expect_that!(port.number(), eq(ConfigNumber(2)));
    let shown = proved(server.address(), "GET", &format!("/patches/{ID}"), b"").await;
    expect_that!(shown.json["number"], eq(&json!(1)));
}

#[gtest]
#[tokio::test]
async fn a_stale_base_is_refused_with_the_newer_work_it_would_undo() {
    let port = FakePort::open();
    let server = serve(&port).await;
    proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    for path in ["/patches/check", "/patches"] {
        let stale = proved(server.address(), "POST", path, &patch(OTHER_ID, 0, 9)).await;
        expect_that!(stale.status, eq(StatusCode::CONFLICT));
        expect_that!(stale.code(), eq("stale-base"));
        expect_that!(stale.text(), contains_substring("newer work touches service cluebook"));
        let refusal = &stale.json["error"]["refusal"]["stale-base"];
        expect_that!(refusal["present"], eq(&json!(1)));
        let floor = &refusal["conflicts"][0]["put-service"]["rule"]["floor-slots"];
        expect_that!(floor, eq(&json!(1)));
    }
    expect_that!(port.number(), eq(ConfigNumber(1)));
}

#[gtest]
#[tokio::test]
async fn a_check_changes_nothing_and_warns_of_a_floor_above_the_announced_slots() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let check = proved(server.address(), "POST", "/patches/check", &patch(ID, 0, 5)).await;
    expect_that!(check.status, eq(StatusCode::OK));
    expect_that!(check.json["would-make"], eq(&json!(1)));
    expect_that!(check.json["warnings"][0]["announced-slots"], eq(&json!(4)));
    expect_that!(port.number(), eq(ConfigNumber(0)));
    let enough = proved(server.address(), "POST", "/patches/check", &patch(ID, 0, 4)).await;
    expect_that!(enough.json["warnings"], eq(&json!([])));
    let submit = proved(server.address(), "POST", "/patches", &patch(ID, 0, 5)).await;
    expect_that!(submit.json["accepted"]["warnings"][0]["floor-slots"], eq(&json!(5)));
}

#[gtest]
#[tokio::test]
async fn a_patch_that_does_not_validate_names_each_fault() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let rule = json!({"path": "clue", "service": "nowhere", "class": "idempotent"});
    let put = json!({"put-route": {"name": "clue", "rule": rule}});
    let patch = json!({"id": ID, "base": 0, "author": "a", "changes": [put]});
    let body = serde_json::to_vec(&patch).unwrap();
    let answer = proved(server.address(), "POST", "/patches", &body).await;
    expect_that!(answer.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(answer.text(), contains_substring("must start with '/'"));
    expect_that!(answer.text(), contains_substring("service nowhere"));
}

#[gtest]
#[tokio::test]
async fn bad_json_bad_toml_and_bad_utf8_are_refused_and_run_nothing() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let bearer = format!("Bearer {SECRET}");
    let toml = [("authorization", bearer.as_str()), ("content-type", "application/toml")];
    let json = &toml[..1];
    let cases = [
        (json, b"{\"id\":".as_slice()),
        (json, b"{\"id\":\"\xff\xfe\"}".as_slice()),
        (json, b"".as_slice()),
        (&toml[..], b"id = ".as_slice()),
        (&toml[..], b"id = \"\xff\"".as_slice()),
    ];
    for (headers, body) in cases {
        let answer = send(server.address(), "POST", "/patches", headers, body).await;
        expect_that!(answer.status, eq(StatusCode::BAD_REQUEST));
        expect_that!(answer.code(), eq("malformed"));
        expect_that!(answer.text(), contains_substring("send JSON, or TOML"));
    }
    expect_that!(port.number(), eq(ConfigNumber(0)));
}

#[gtest]
#[tokio::test]
async fn a_patch_in_toml_is_taken() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let bearer = format!("Bearer {SECRET}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/toml")];
    let body = format!(
        "id = '{ID}'\nbase = 0\nauthor = 'a'\n[[changes]]\n[changes.put-service]\n\
         name = 'cluebook'\n[changes.put-service.rule]\nfloor-slots = 2\n"
    );
    let answer = send(server.address(), "POST", "/patches", &headers, body.as_bytes()).await;
    expect_that!(answer.json["accepted"]["number"], eq(&json!(1)));
}

#[gtest]
#[tokio::test]
async fn an_oversized_body_is_refused_before_it_is_read() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let body = vec![b' '; operator::body::BODY_LIMIT + 1];
    let answer = proved(server.address(), "POST", "/patches", &body).await;
    expect_that!(answer.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    expect_that!(answer.code(), eq("too-large"));
    expect_that!(port.number(), eq(ConfigNumber(0)));
}

#[gtest]
#[tokio::test]
async fn an_unknown_page_method_service_or_patch_is_told_in_one_shape() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let cases = [
        ("GET", "/nowhere", "no-such-page"),
        ("DELETE", "/config", "no-such-method"),
        ("GET", "/services/nothing", "not-found"),
        ("GET", "/services/%20", "malformed"),
        ("GET", "/patches/7", "malformed"),
        ("GET", &format!("/patches/{ID}"), "not-found"),
        ("GET", "/config/watch?after=x", "malformed"),
        ("POST", "/control/x/snapshot", "malformed"),
        ("POST", "/members/vm-9/drain", "refused"),
    ];
    for (method, path, code) in cases {
        let answer = proved(server.address(), method, path, b"").await;
        expect_that!(answer.code(), eq(code), "{method} {path}");
        expect_that!(answer.text().len(), gt(10), "{method} {path}");
    }
}

#[gtest]
#[tokio::test]
async fn without_a_majority_the_answer_says_to_send_the_same_again() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let group = model::numbers::GroupNumber::CONFIG;
    *port.fault.lock().unwrap() = Some(ControlFault::Unavailable { group });
    let answer = proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.code(), eq("unavailable"));
    expect_that!(answer.text(), contains_substring("send the same patch again"));
    *port.fault.lock().unwrap() = Some(ControlFault::NoSpace);
    let answer = proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    expect_that!(answer.code(), eq("no-space"));
}

#[gtest]
#[tokio::test]
async fn a_watch_answers_at_the_change_and_at_the_end_of_its_wait() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let short = "/config/watch?after=0&wait-ms=1";
    let same = proved(server.address(), "GET", short, b"").await;
    expect_that!(same.json["changed"], eq(&json!(false)));
    let address = server.address();
    let watch = tokio::spawn(async move { proved(address, "GET", "/config/watch", b"").await });
    proved(server.address(), "POST", "/patches", &patch(ID, 0, 1)).await;
    let changed = watch.await.unwrap();
    expect_that!(changed.json["number"], eq(&json!(1)));
    expect_that!(changed.json["changed"], eq(&json!(true)));
}

#[gtest]
#[tokio::test]
async fn services_and_history_show_what_was_accepted() {
    let port = FakePort::open();
    let server = serve(&port).await;
    proved(server.address(), "POST", "/patches", &patch(ID, 0, 3)).await;
    let services = proved(server.address(), "GET", "/services", b"").await;
    expect_that!(services.json[0]["service"], eq(&json!("cluebook")));
    let service = proved(server.address(), "GET", "/services/cluebook", b"").await;
    expect_that!(service.json["rule"]["floor-slots"], eq(&json!(3)));
    expect_that!(service.json["upstreams"].as_array().map(Vec::len), some(eq(1)));
    let history = proved(server.address(), "GET", "/config/history?after=0&limit=5", b"").await;
    expect_that!(history.json[0]["number"], eq(&json!(1)));
    let later = proved(server.address(), "GET", "/config/history?after=1", b"").await;
    expect_that!(later.json, eq(&json!([])));
}

#[gtest]
#[tokio::test]
async fn every_list_answers() {
    let port = FakePort::open();
    let server = serve(&port).await;
    for path in ["/upstreams", "/placers", "/members", "/capacity", "/control"] {
        let answer = proved(server.address(), "GET", path, b"").await;
        expect_that!(answer.status, eq(StatusCode::OK), "{path}");
        expect_that!(answer.json.is_array(), eq(true), "{path}");
    }
    let status = proved(server.address(), "GET", "/status", b"").await;
    expect_that!(status.json["lagging"][0][0], eq(&Value::from("vm-3")));
}

#[gtest]
#[tokio::test]
async fn duties_reach_the_fleet_with_what_was_asked() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let drain = proved(server.address(), "POST", "/members/vm-1/drain", b"").await;
    expect_that!(drain.json["draining"], eq(&json!("vm-1")));
    expect_that!(port.drained.lock().unwrap().len(), eq(1));
    let add = br#"{"add": {"member": "vm-7"}}"#;
    let change = proved(server.address(), "POST", "/control/1/replicas", add).await;
    expect_that!(change.status, eq(StatusCode::OK));
    let member = "vm-7".parse().unwrap();
    let expected = (model::numbers::GroupNumber(1), ReplicaChange::Add { member });
    expect_that!(*port.changed.lock().unwrap(), elements_are![eq(&expected)]);
    let snapshot = proved(server.address(), "POST", "/control/2/snapshot", b"").await;
    expect_that!(snapshot.json["index"], eq(&json!(42)));
}
