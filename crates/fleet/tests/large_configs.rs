//! Configurations larger than one log entry, and than one message, through any node.

mod support;

use fleet::{
    feed::{ConfigFeed, ConfigStep},
    handle::FleetNode,
};
use googletest::prelude::*;
use model::{
    call::CallClass,
    config::{ConfigImage, ControlSettings, FleetConfig, ServiceRule},
    numbers::ConfigNumber,
    ports::OperatorPort,
    replacement::{ConfigReplacement, ReplaceOutcome},
    route::RouteRule,
    traffic::RouteTraffic,
};
use support::{Nodes, at, service, settings, until};

const ROUTES: usize = 20_000;

/// A configuration whose routes have names and paths that hardly pack. `changed` has another time-out.
fn replacement(number: u64, routes: usize, changed: usize) -> ConfigReplacement {
    let route = |place: usize| {
        let word = xxhash_rust::xxh3::xxh3_64(&place.to_le_bytes());
        let rule = RouteRule {
            host: Some(format!("{word:016x}.example")),
            path: format!("/{word:x}/{place}"),
            methods: Vec::new(),
            service: service("cluebook"),
            class: CallClass::Unprotected,
            timeout_ms: if place == changed { 1_000 } else { 3_000 },
            public: false,
            traffic: RouteTraffic::default(),
        };
        (format!("route-{place:05}").parse().unwrap(), rule)
    };
    let image = ConfigImage {
        number: ConfigNumber(number),
        services: vec![(service("cluebook"), ServiceRule::default())],
        routes: (0..routes).map(route).collect(),
        customers: Vec::new(),
        settings: ControlSettings::default(),
    };
    let rows = image.routes.iter().map(|(name, rule)| format!("{name} {}\n", rule.path));
    let source = format!("version {number}\n{}", rows.collect::<String>());
    ConfigReplacement { image, source }
}

async fn expect_held(node: &FleetNode, sent: &ConfigReplacement) {
    until("it is the latest", || async {
        node.latest().await.is_ok_and(|latest| latest.config.number() == sent.image.number)
    })
    .await;
    let latest = node.latest().await.unwrap();
    expect_true!(latest.config.to_image() == sent.image);
    let source = latest.source.map(|source| source.to_text().unwrap());
    expect_true!(source.as_deref() == Some(&sent.source), "{} reads it back", node.member());
}

// A configuration of many routes is never accepted, or not in force on a VM without a replica, or on one that comes later.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_routes_are_accepted_through_any_node_and_reach_all() {
    let nodes = Nodes::spawn_with(5, 3).await;
    let mut last = replacement(1, 10, 0);
    for (node, number, routes, changed) in
        [(0, 3, ROUTES, 0), (4, 4, ROUTES, 7), (1, 5, 10, 0), (4, 6, ROUTES, 9)]
    {
        last = replacement(number, routes, changed);
        let outcome = nodes.nodes[node].replace(last.clone()).await.unwrap().unwrap();
        expect_that!(outcome, eq(ReplaceOutcome::Taken(ConfigNumber(number))));
        let outcome = nodes.nodes[2].replace(last.clone()).await.unwrap().unwrap();
        expect_that!(outcome, eq(ReplaceOutcome::Kept(ConfigNumber(number))));
        for node in &nodes.nodes {
            expect_held(node, &last).await;
        }
    }
    let seeds = vec![nodes.nodes[4].address()];
    let late = FleetNode::spawn(settings("vm-9", seeds), None).unwrap();
    until("it is in force there", || async { late.config().number() == ConfigNumber(6) }).await;
    expect_true!(late.config().to_image() == last.image);
    late.kill();
}

// Two operators replace the configuration at once through two nodes, and the parts of both mix.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_at_once_both_get_their_end() {
    let nodes = Nodes::spawn_with(3, 3).await;
    let (one, other) = (replacement(4, ROUTES, 0), replacement(5, ROUTES, 7));
    let (first, second) =
        tokio::join!(nodes.nodes[0].replace(one.clone()), nodes.nodes[1].replace(other.clone()));
    expect_that!(first.unwrap(), ok(anything()));
    expect_that!(second.unwrap(), ok(eq(&ReplaceOutcome::Taken(ConfigNumber(5)))));
    for node in &nodes.nodes {
        expect_held(node, &other).await;
    }
}

// All processes end after a large configuration was accepted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_routes_outlive_the_processes() {
    let mut nodes = Nodes::spawn_with(3, 3).await;
    let sent = replacement(3, ROUTES, 0);
    nodes.nodes[1].replace(sent.clone()).await.unwrap().unwrap();
    nodes.restart(|_| true).await;
    for node in &nodes.nodes {
        expect_held(node, &sent).await;
    }
    let next = replacement(4, ROUTES, 9);
    until("the next is taken", || async { nodes.nodes[2].replace(next.clone()).await.is_ok() })
        .await;
    expect_held(&nodes.nodes[0], &next).await;
}

// A configuration is replaced while a VM reads it page by page, and it reads a mixture.
#[gtest]
fn pages_are_of_the_configuration_that_was_named() {
    let config =
        |number, changed| FleetConfig::from_image(replacement(number, 5_000, changed).image);
    let mut feed = ConfigFeed::open(at(0));
    feed.put(config(3, 0), Vec::new());
    let ConfigStep::Pages { number, digest, entries } = feed.step(ConfigNumber(0), true) else {
        panic!("there is a configuration");
    };
    feed.put(config(4, 7), Vec::new());
    let (mut read, mut first) = (FleetConfig::default(), 0);
    while first < entries {
        let page = feed.page(number, first).expect("it is held for a while");
        first += page.len() as u32;
        read = read.with_entries(&page, number, feed.present());
    }
    expect_that!(read.digest(), eq(digest));
    feed.put(config(5, 8), Vec::new());
    expect_that!(feed.page(number, 0), none());
}

// The differences that are kept for others grow with what was changed, without end.
#[gtest]
fn large_differences_are_not_kept() {
    let mut feed = ConfigFeed::open(at(0));
    let mut held = FleetConfig::default();
    for number in 1..30 {
        let image = replacement(number, 1_000, number as usize).image;
        let image = ConfigImage {
            routes: image
                .routes
                .into_iter()
                .map(|(name, rule)| (name, RouteRule { timeout_ms: number as u32, ..rule }))
                .collect(),
            ..image
        };
        let next = held.succeeded_by(&image).unwrap().unwrap();
        let delta = model::patch::ConfigDelta {
            from: held.number(),
            to: next.config.number(),
            changes: next.changes,
            digest: next.config.digest(),
        };
        feed.put(next.config.clone(), vec![delta]);
        held = next.config;
    }
    expect_true!(matches!(feed.step(ConfigNumber(5), false), ConfigStep::Pages { .. }));
    let ConfigStep::Deltas { deltas } = feed.step(ConfigNumber(26), false) else {
        panic!("the last ones are kept");
    };
    expect_that!(deltas.len(), eq(3));
}
