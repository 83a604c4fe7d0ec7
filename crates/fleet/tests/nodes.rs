//! Several nodes in one process on loopback: the rules meet the sockets.

mod support;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use fleet::handle::FleetNode;
use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::{CallRefusal, OutcomeClass, RefusalReason},
    config::ServiceRule,
    ledger::{BodyDigest, CallKey, ClaimAnswer, KeyClaim, KeyClose, RunEnd},
    numbers::{AttemptNumber, ConfigNumber, GroupNumber},
    patch::{ConfigChange, ConfigPatch, PatchId},
    ports::{AnnouncementPort, LedgerPort, OperatorPort, SlotPort},
    secret::SharedSecret,
    slot::{RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};
use support::{Nodes, announcement, ask, service, settings, settle, until, upstream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn state_at(node: &FleetNode) -> Option<UpstreamState> {
    let rows = node.upstreams().await;
    rows.iter().find(|row| row.upstream == upstream("cluebook-0")).map(|row| row.state)
}

async fn serve_one_upstream(nodes: &Nodes) {
    nodes.configure().await;
    // A lease that outlasts the test: none may pass because the upstream ended meanwhile.
    let lasting = announcement("cluebook-0", UpstreamState::Serving, 1);
    nodes.nodes[0].announce(UpstreamAnnouncement { lease_ms: 600_000, ..lasting });
    for node in &nodes.nodes {
        until("the upstream is known", || async { state_at(node).await.is_some() }).await;
    }
}

async fn busy(node: &FleetNode) -> u32 {
    node.placers().await.iter().map(|row| row.busy).sum()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stranger_changes_nothing() {
    // A process without the secret sends bytes to the fleet's port, and another starts as a node
    // with a secret of its own. The first is closed on; the second is never a member.
    let nodes = Nodes::spawn(2).await;
    let mut stream = TcpStream::connect(nodes.nodes[0].address()).await.expect("it listens");
    stream.write_all(&[0, 8, 1, 2, 3, 4, 5, 6, 7, 8]).await.expect("open");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut rest)).await;
    expect_that!(closed.is_ok(), eq(true));
    let mut other = settings("stranger", vec![nodes.nodes[0].address()]);
    other.secret = SharedSecret::from_bytes(b"some other secret of others").expect("long enough");
    let stranger = FleetNode::spawn(other, None).expect("a free port");
    let port = stranger.address();
    until("the stranger has tried", || async {
        TcpStream::connect(port).await.is_ok() && stranger.members().await.len() == 1
    })
    .await;
    expect_that!(nodes.nodes[0].members().await.len(), eq(2));
    stranger.kill();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_14_leaving_reaches_each_vm_without_the_control_vms() {
    // The only control VM is gone. An upstream says that it leaves, to one VM. Within three seconds
    // no VM may place on it.
    let nodes = Nodes::spawn(5).await;
    serve_one_upstream(&nodes).await;
    nodes.nodes[0].kill();
    let told = std::time::Instant::now();
    nodes.nodes[4].announce(announcement("cluebook-0", UpstreamState::Leaving, 2));
    for node in &nodes.nodes[1..] {
        until("leaving is known", || async {
            state_at(node).await == Some(UpstreamState::Leaving)
        })
        .await;
    }
    expect_that!(told.elapsed(), lt(Duration::from_secs(3)));
    let refused = nodes.nodes[1].ask(ask(1, 300)).await;
    expect_that!(refused.is_err(), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_14_an_upstreams_own_answer_says_that_it_leaves() {
    // The upstream's announcement is late. It refuses a call with "draining": that is word enough.
    let nodes = Nodes::spawn(3).await;
    serve_one_upstream(&nodes).await;
    let granted = nodes.nodes[1].ask(ask(1, 5_000)).await.expect("there is room");
    nodes.nodes[1].settle(settle(&granted, OutcomeClass::Draining));
    for node in &nodes.nodes {
        until("leaving is known", || async {
            state_at(node).await == Some(UpstreamState::Leaving)
        })
        .await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_6_a_given_up_ask_leaves_no_slot_taken() {
    // Callers hang up while their calls wait for a slot, or in the moment of the grant. After all
    // have gone the upstream's slots are all free again.
    let nodes = Nodes::spawn(3).await;
    serve_one_upstream(&nodes).await;
    let mut granted = Vec::new();
    for call in 0..4 {
        granted.push(nodes.nodes[1].ask(ask(call, 5_000)).await.expect("there is room"));
    }
    for call in 10..30 {
        let given_up = nodes.nodes[2].ask(ask(call, 60_000));
        expect_that!(
            tokio::time::timeout(Duration::from_millis(5), given_up).await.is_err(),
            eq(true)
        );
    }
    let queued = || async {
        let rows = nodes.nodes[0].placers().await;
        rows.iter().map(|row| row.queued).sum::<u32>()
    };
    until("nobody waits who has gone", || async { queued().await == 0 }).await;
    // They were taken out because their entry said so, neither refused nor granted after a while.
    let rows = nodes.nodes[0].placers().await;
    expect_that!(rows.iter().map(|row| row.refused).sum::<u64>(), eq(0));
    expect_that!(rows.iter().map(|row| row.granted).sum::<u64>(), eq(4));
    for grant in &granted {
        nodes.nodes[1].settle(settle(grant, OutcomeClass::Success));
    }
    until("all slots are free", || async { busy(&nodes.nodes[0]).await == 0 }).await;
    until("all ends are taken", || async { nodes.nodes[2].ends_waiting() == 0 }).await;
    expect_that!(nodes.nodes[2].grants_held(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_24_a_placer_that_stops_as_planned_cuts_no_call() {
    // Calls come all the time. The placer's VM stops as planned: each ask is granted all the same,
    // by the next placer, which counts what was granted before.
    let nodes = Nodes::spawn(4).await;
    serve_one_upstream(&nodes).await;
    let placer = nodes.placer().await;
    let entry = nodes.nodes[(placer + 1) % 4].clone();
    let held = entry.ask(ask(1, 5_000)).await.expect("there is room");
    nodes.nodes[placer].begin_drain();
    for call in 2..40 {
        let granted = entry.ask(ask(call, 5_000)).await;
        expect_that!(granted.as_ref().err(), none());
        if let Ok(granted) = granted {
            expect_that!(entry.begin(&granted), eq(true));
            entry.settle(settle(&granted, OutcomeClass::Success));
        }
    }
    until("another VM places", || async {
        let rows = entry.placers().await;
        rows.iter().any(|row| row.member != nodes.nodes[placer].member().clone())
    })
    .await;
    until("the held grant is counted", || async { busy(&entry).await == 1 }).await;
    entry.settle(settle(&held, OutcomeClass::Success));
    until("it is free again", || async { busy(&entry).await == 0 }).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_16_an_entry_that_does_not_reach_its_placer_asks_through_a_relay() {
    // One entry cannot open a connection to the placer, which reaches it and is heard by all others.
    // The placer keeps its duty, and the entry obeys that same placer: its ask and the end of its
    // grant go by one more VM.
    let nodes = Nodes::spawn(4).await;
    serve_one_upstream(&nodes).await;
    let placer = nodes.placer().await;
    let entry = &nodes.nodes[(placer + 1) % 4];
    entry.cut_path_to(nodes.nodes[placer].address()).await;
    for call in 1..20 {
        let granted = entry.ask(ask(call, 5_000)).await.expect("a relay reaches the placer");
        expect_that!(&granted.id.granter, eq(nodes.nodes[placer].member()));
        entry.settle(settle(&granted, OutcomeClass::Success));
    }
    until("all slots are free", || async { busy(&nodes.nodes[placer]).await == 0 }).await;
    expect_that!(nodes.placer().await, eq(placer));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_16_an_entry_alone_places_by_its_own_share_and_ejects_nobody() {
    // The entry reaches neither the placer nor a relay. It goes on with its own share of the slots,
    // and its outcomes eject nobody; each refusal is final at once and says when to come back.
    let nodes = Nodes::spawn(2).await;
    serve_one_upstream(&nodes).await;
    let placer = nodes.placer().await;
    let entry = &nodes.nodes[(placer + 1) % 2];
    entry.cut_path_to(nodes.nodes[placer].address()).await;
    let mut held = Vec::new();
    let mut refused = None;
    for call in 1..=4 {
        match entry.ask(ask(call, 5_000)).await {
            Ok(granted) => held.push(granted),
            Err(refusal) => refused = Some(refusal),
        }
    }
    expect_that!(held.len(), all![ge(1), le(3)]);
    expect_that!(refused.is_some_and(|refusal| refusal.retry_after_ms > 0), eq(true));
    for granted in &held {
        entry.settle(settle(granted, OutcomeClass::Timeout));
    }
    until("there is room again", || async { entry.ask(ask(9, 5_000)).await.is_ok() }).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_23_a_poisonous_request_is_refused_also_without_a_placer() {
    // One request crashes two upstreams and is refused fleet-wide. Its caller sends it again, through
    // a VM that has lost its way to the placer and places by its own share: refused there as well.
    let nodes = Nodes::spawn(2).await;
    serve_one_upstream(&nodes).await;
    let second = announcement("cluebook-1", UpstreamState::Serving, 1);
    nodes.nodes[0].announce(UpstreamAnnouncement { lease_ms: 600_000, ..second });
    let placer = nodes.placer().await;
    let entry = &nodes.nodes[(placer + 1) % 2];
    until("both upstreams are known", || async { entry.upstreams().await.len() == 2 }).await;
    let poison = |call| SlotAsk { fingerprint: RequestFingerprint(7), ..ask(call, 2_000) };
    let mut avoid = Vec::new();
    for call in 1..=2 {
        let asked = SlotAsk { avoid: avoid.clone(), ..poison(call) };
        let granted = entry.ask(asked).await.expect("it is not known yet");
        avoid.push(granted.upstream.clone());
        let crash = settle(&granted, OutcomeClass::Crash);
        entry.settle(SlotSettle { fingerprint: RequestFingerprint(7), ..crash });
        until("the crash is known", || async { busy(entry).await == 0 }).await;
    }
    let reason = |answer: Result<SlotGrant, CallRefusal>| answer.err().map(|one| one.reason);
    let calls = AtomicU64::new(10);
    let next = || poison(calls.fetch_add(1, Ordering::Relaxed));
    until("it is refused fleet-wide", || async {
        let answer = entry.ask(next()).await;
        if let Ok(granted) = &answer {
            entry.settle(settle(granted, OutcomeClass::Unused));
        }
        reason(answer) == Some(RefusalReason::Poisonous)
    })
    .await;
    // What the placer says later comes with or after its notice: once it is known, the notice is.
    let later = announcement("cluebook-2", UpstreamState::Serving, 1);
    nodes.nodes[placer].announce(UpstreamAnnouncement { lease_ms: 600_000, ..later });
    until("the later word is known", || async { entry.upstreams().await.len() == 3 }).await;
    entry.cut_path_to(nodes.nodes[placer].address()).await;
    expect_that!(reason(entry.ask(next()).await), some(eq(RefusalReason::Poisonous)));
    let harmless = entry.ask(ask(900, 2_000)).await;
    expect_that!(reason(harmless), not(eq(Some(RefusalReason::Poisonous))));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_2_a_claim_through_any_vm_reaches_the_leader_and_is_one_claim() {
    // A VM without replicas claims, loses the answer and claims again through another: one claim,
    // the same attempt. Its close is durable for both.
    let nodes = Nodes::spawn(3).await;
    nodes.configure().await;
    let key = CallKey::from_parts(now_millis(), [7; 10]);
    let claim = KeyClaim {
        key,
        service: service("cluebook"),
        digest: BodyDigest([1; 32]),
        claimant: 11,
        within_ms: 5_000,
    };
    let first = nodes.nodes[1].claim(claim.clone()).await;
    let again = nodes.nodes[2].claim(claim.clone()).await;
    expect_that!(first, ok(eq(&ClaimAnswer::Run { attempt: AttemptNumber(1) })));
    expect_that!(again, eq(&first));
    let end = RunEnd::Done { answer: None };
    let close = KeyClose { key, attempt: AttemptNumber(1), end };
    expect_that!(nodes.nodes[2].close(close).await, ok(anything()));
    let resent = nodes.nodes[1].claim(KeyClaim { claimant: 12, ..claim }).await;
    expect_that!(resent, ok(eq(&ClaimAnswer::Done { answer: None })));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_5_a_claim_without_a_leader_is_refused_within_its_time() {
    let nodes = Nodes::spawn(2).await;
    nodes.configure().await;
    nodes.nodes[0].kill();
    let claim = KeyClaim {
        key: CallKey::from_parts(now_millis(), [8; 10]),
        service: service("cluebook"),
        digest: BodyDigest([1; 32]),
        claimant: 11,
        within_ms: 400,
    };
    let started = std::time::Instant::now();
    expect_that!(nodes.nodes[1].claim(claim).await.is_err(), eq(true));
    expect_that!(started.elapsed(), lt(Duration::from_secs(3)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_follow_the_leader_when_it_is_lost() {
    // Three replicas talk through the fleet. The leader dies; a VM without a replica goes on
    // submitting, and its patch is accepted by the next leader and in force on all that live.
    let nodes = Nodes::spawn_with(4, 3).await;
    nodes.configure().await;
    let leader = leader_of(&nodes.nodes[..3]).await;
    nodes.nodes[leader].kill();
    let rule = ServiceRule { floor_slots: 3, ..ServiceRule::default() };
    let patch = ConfigPatch {
        id: PatchId(uuid::Uuid::now_v7()),
        base: ConfigNumber(1),
        author: "test".to_owned(),
        changes: vec![ConfigChange::PutService { name: service("cluebook"), rule }],
    };
    until("the next leader accepts it", || async {
        matches!(nodes.nodes[3].submit(patch.clone()).await, Ok(Ok(ConfigNumber(2))))
    })
    .await;
    for (_, node) in nodes.nodes.iter().enumerate().filter(|(number, _)| *number != leader) {
        until("it is in force", || async { node.config().number() == ConfigNumber(2) }).await;
    }
    let other = (0..3).find(|&number| number != leader).expect("two are left");
    expect_that!(leader_of(&nodes.nodes[other..=other]).await, not(eq(leader)));
}

/// Returns the number of the VM that leads the configuration's group, as some VM sees it.
async fn leader_of(nodes: &[FleetNode]) -> usize {
    for node in nodes {
        let report = node.status().await;
        let row = report.groups.iter().find(|row| row.group == GroupNumber::CONFIG);
        if let Some(leader) = row.and_then(|row| row.leader.clone()) {
            return leader.as_str().trim_start_matches("vm-").parse().expect("a number");
        }
    }
    panic!("no VM knows a leader");
}

fn now_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("before the year 500 million")
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_placer_is_replaced_and_calls_go_on_meanwhile() {
    // The placer's VM dies without a word. Until the others have noticed, entries place by their own
    // share; then another VM has the duty.
    let nodes = Nodes::spawn(4).await;
    serve_one_upstream(&nodes).await;
    let placer = nodes.placer().await;
    nodes.nodes[placer].kill();
    let entries = (0..4).filter(|&number| number != placer);
    let mut served = 0;
    for (call, number) in entries.clone().enumerate() {
        let entry = &nodes.nodes[number];
        if let Ok(granted) = entry.ask(ask(call as u64, 5_000)).await {
            served += 1;
            entry.settle(settle(&granted, OutcomeClass::Success));
        }
    }
    expect_that!(served, ge(1));
    let entry = &nodes.nodes[(placer + 1) % 4];
    let lost = nodes.nodes[placer].member().clone();
    until("another VM places", || async {
        entry.placers().await.iter().any(|row| row.member != lost)
    })
    .await;
    let granted = entry.ask(ask(100, 5_000)).await.expect("there is a placer");
    expect_that!(granted.id.granter, not(eq(&lost)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ask_without_time_left_is_refused_at_once() {
    let nodes = Nodes::spawn(2).await;
    serve_one_upstream(&nodes).await;
    let refused = nodes.nodes[1].ask(ask(1, 0)).await;
    let reason = refused.err().map(|refusal: CallRefusal| refusal.reason);
    expect_that!(reason, some(eq(RefusalReason::DeadlineTooShort)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_node_is_gone_at_once_and_so_is_one_without_handles() {
    let gone = |address: SocketAddr| async move { TcpStream::connect(address).await.is_err() };
    let killed = FleetNode::spawn(settings("vm-0", Vec::new()), None).expect("a free port");
    let address = killed.address();
    killed.kill();
    until("the port is closed", || gone(address)).await;
    expect_that!(killed.members().await, is_empty());

    let dropped = FleetNode::spawn(settings("vm-1", Vec::new()), None).expect("a free port");
    let address = dropped.address();
    drop(dropped);
    until("the port is closed", || gone(address)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_everywhere_and_a_restarted_entry_takes_it_from_peers() {
    // Each VM takes a second change, then the only control VM is lost and an entry restarts with
    // nothing: it starts with the latest number, which its peers hold.
    let mut nodes = Nodes::spawn(4).await;
    nodes.configure().await;
    let rule = ServiceRule { floor_slots: 3, ..ServiceRule::default() };
    let change = ConfigChange::PutService { name: service("cluebook"), rule };
    nodes.submit(ConfigNumber(1), change).await;
    until("all report it", || async { nodes.nodes[3].status().await.in_force == 4 }).await;
    expect_that!(nodes.nodes[3].status().await.confirmed, eq(true));

    nodes.nodes[0].kill();
    nodes.nodes[3].kill();
    let seeds = nodes.nodes[..3].iter().map(FleetNode::address).collect();
    let mut again = settings("vm-3", seeds);
    again.incarnation = again.incarnation.next();
    let restarted = FleetNode::spawn(again, None).expect("a free port");
    nodes.nodes.push(restarted.clone());
    until("it has the latest", || async { *restarted.watch_number().borrow() == ConfigNumber(2) })
        .await;
    expect_that!(restarted.config().digest(), eq(nodes.nodes[1].config().digest()));
    let report = restarted.status().await;
    expect_that!(report.confirmed, eq(false));
}
