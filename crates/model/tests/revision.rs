//! Whole configurations that are sent as what they change.

use googletest::prelude::*;
use model::{
    call::CallClass,
    config::{ConfigImage, ControlSettings, FleetConfig, ServiceRule},
    numbers::ConfigNumber,
    replacement::ConfigSuccessor,
    revision::{PART_LIMIT, RevisionPart, StagedRevision, WholeRevision, revise},
    route::RouteRule,
    source::{SourceStep, SourceText},
    traffic::RouteTraffic,
};

fn image(number: u64, routes: usize, timeout_ms: u32) -> ConfigImage {
    let route = |place: usize| {
        let rule = RouteRule {
            host: Some("clue.example".to_owned()),
            path: format!("/clue/{place}"),
            methods: Vec::new(),
            service: "cluebook".parse().unwrap(),
            class: CallClass::Idempotent,
            timeout_ms: if place == routes / 2 { timeout_ms } else { 3_000 },
            public: false,
            traffic: RouteTraffic::default(),
        };
        (format!("route-{place:05}").parse().unwrap(), rule)
    };
    ConfigImage {
        number: ConfigNumber(number),
        services: vec![("cluebook".parse().unwrap(), ServiceRule::default())],
        routes: (0..routes).map(route).collect(),
        customers: Vec::new(),
        settings: ControlSettings::default(),
    }
}

/// A document as an operator's tool writes it, with what this version does not know of.
fn document(image: &ConfigImage) -> String {
    let row = |(name, rule): &(model::names::RouteName, RouteRule)| {
        format!("[\"{name}\",\"{}\",{},\"unknown\"]", rule.path, rule.timeout_ms)
    };
    let rows: Vec<_> = image.routes.iter().map(row).collect();
    format!("{{\"version\":{},\"ünknown\":1,\"rows\":[{}]}}", image.number.0, rows.join(","))
}

/// A configuration with its document.
#[derive(Clone, Default)]
struct Held {
    config: FleetConfig,
    source: SourceText,
}

fn parts(held: &Held, image: &ConfigImage) -> (Vec<RevisionPart>, ConfigSuccessor) {
    let successor = held.config.succeeded_by(image).unwrap().unwrap();
    let source = held.source.succeeded_by(&document(image));
    let parts = revise((held.config.number(), Some(&held.source)), &successor, &source).unwrap();
    (parts, successor)
}

fn follow(held: &Held, parts: Vec<RevisionPart>) -> Option<WholeRevision> {
    let mut staged = StagedRevision::open(parts[0].head.clone(), &held.config);
    let taken = parts.into_iter().all(|part| staged.take(part, &held.source));
    taken.then(|| staged.finish()).flatten()
}

fn advance(held: &Held, image: &ConfigImage) -> Held {
    let (parts, successor) = parts(held, image);
    let whole = follow(held, parts).expect("the parts make it");
    assert!(
        whole.config == successor.config && whole.config == FleetConfig::from_image(image.clone())
    );
    Held { config: whole.config, source: whole.source }
}

fn size(parts: &[RevisionPart]) -> usize {
    parts.iter().map(RevisionPart::size).sum()
}

// A configuration of many routes was more than one entry of the log, and refused.
#[gtest]
fn a_large_configuration_goes_in_parts_that_fit_and_is_read_back_as_sent() {
    let first = image(3, 20_000, 3_000);
    let (parts, _) = parts(&Held::default(), &first);
    expect_that!(parts.len(), gt(3));
    expect_true!(parts.iter().all(|part| part.size() <= PART_LIMIT));
    let held = advance(&Held::default(), &first);
    expect_true!(held.source.to_text().unwrap() == document(&first));
}

// A change of one route cost what the whole configuration costs.
#[gtest]
fn a_change_costs_what_it_changes() {
    let mut costs = Vec::new();
    for routes in [100, 20_000] {
        let held = advance(&Held::default(), &image(3, routes, 3_000));
        let next = image(4, routes, 1_000);
        let (parts, successor) = parts(&held, &next);
        expect_that!((parts.len(), successor.changes.len()), eq((1, 1)));
        costs.push(size(&parts));
        let held = advance(&held, &next);
        expect_true!(held.source.to_text().unwrap() == document(&next));
    }
    // The version and the route are in one piece each, of 16 KiB at most, and packed.
    expect_that!(costs[1], le(16 * 1_024));
}

// Documents that shrink, grow, swap halves or have nothing in common lead to another text than was sent.
#[gtest]
fn any_document_follows_any_other() {
    let halves = |one: &str, other: &str| format!("{}{}", one.repeat(3_000), other.repeat(3_000));
    let texts = [
        String::new(),
        "short".to_owned(),
        halves("a tale of ", "two cities "),
        halves("two cities ", "a tale of "),
        "é".repeat(40_000),
        document(&image(1, 2_000, 5)),
        document(&image(2, 1_990, 5)),
    ];
    for one in &texts {
        for other in &texts {
            let before = SourceText::from_text(one);
            let next = before.succeeded_by(other);
            let steps = before.steps_to(&next);
            let follow = |text: Option<SourceText>, step| text?.with_step(&before, step);
            let followed = steps.into_iter().fold(Some(SourceText::default()), follow);
            let followed = followed.expect("the steps lead on");
            expect_that!(followed.digest(), eq(next.digest()));
            expect_true!(followed.to_text().unwrap() == *other);
            // Replicas that were given the text at once hold the same pieces.
            expect_true!(followed == SourceText::from_text(other));
        }
    }
}

// Parts of another revision, too few of them, or such that were made against another document are taken for the whole.
#[gtest]
fn parts_that_do_not_make_what_was_sent_are_refused() {
    let first = image(3, 12_000, 3_000);
    let (mut mixed, _) = parts(&Held::default(), &first);
    let (other, _) = parts(&Held::default(), &image(3, 12_000, 9));
    let differs = (0..mixed.len()).find(|&at| mixed[at].head != other[at].head);
    mixed[differs.unwrap()] = other[differs.unwrap()].clone();
    mixed.swap_remove(1);
    expect_true!(follow(&Held::default(), mixed).is_none());
    let (whole, _) = parts(&Held::default(), &first);
    expect_true!(follow(&Held::default(), whole[..1].to_vec()).is_none());
    let held = advance(&Held::default(), &first);
    let (change, _) = parts(&held, &image(4, 12_000, 1_000));
    let forgetful = Held { source: SourceText::default(), ..held };
    expect_true!(follow(&forgetful, change).is_none());
    let beyond = SourceStep::Keep { first: 0, count: 1 };
    expect_true!(SourceText::default().with_step(&SourceText::default(), beyond).is_none());
}

// An entry that no part can hold is sent without end.
#[gtest]
fn an_entry_that_no_part_can_hold_is_refused_for_good() {
    let mut large = image(3, 1, 3_000);
    // Names without a pattern do not pack.
    let mut seed = 7_u64;
    let mut name = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'a' + (seed >> 33) as u8 % 26)
    };
    large.routes[0].1.path = format!("/{}", (0..700_000).map(|_| name()).collect::<String>());
    let next = FleetConfig::from_image(large);
    let changes = next.entries(0, 10);
    let successor = ConfigSuccessor { config: next, changes };
    let fault = revise((ConfigNumber(0), None), &successor, &SourceText::default()).unwrap_err();
    expect_that!(fault.to_string(), contains_substring("route-00000"));
}

// A configuration that is read page by page is another than the one that was listed.
#[gtest]
fn entries_in_pages_make_the_configuration() {
    let config = FleetConfig::from_image(image(3, 1_000, 9));
    let like = FleetConfig::from_image(image(2, 900, 8));
    let mut read = FleetConfig::default();
    let mut first = 0;
    while first < config.entry_count() {
        let page = config.entries(first, 300);
        first += page.len();
        read = read.with_entries(&page, config.number(), &like);
    }
    expect_that!(first, eq(config.entry_count()));
    expect_true!(read == config);
    expect_that!(config.entries(first, 300), is_empty());
}
