//! The departures that the control state keeps.

use std::{net::SocketAddr, time::Duration};

use control::{
    handle::ControlHandle,
    replica::keeping::SeatKeeping,
    settings::ReplicaSettings,
    state::{
        config::ConfigState,
        departures::{DEPARTURES_LIMIT, DepartureAnswer, DepartureLog, DepartureRecord, KEPT},
    },
};
use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    numbers::IncarnationNumber,
};

/// The bytes of what snapshots hold behind what the version before knows, where there is none of it.
const ADDED: usize = 4;

const KEPT_MS: u64 = KEPT.as_millis() as u64;

fn leaving(number: usize, life: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        service: "cluebook".parse().unwrap(),
        upstream: format!("cluebook-{number}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "fort-hall".parse().unwrap(),
        slots: 4,
        connections: 400,
        state: UpstreamState::Leaving,
        incarnation: IncarnationNumber(life),
        sequence: 7,
        lease_ms: 15_000,
        age_ms: 60_000,
    }
}

fn record(number: usize, life: u64, wall_ms: u64) -> DepartureRecord {
    DepartureRecord { wall_ms, announcement: leaving(number, life) }
}

// A departure is forgotten before a late announcement has arrived, or never.
#[gtest]
fn departures_are_kept_for_their_time() {
    let mut log = DepartureLog::default();
    log.record(record(0, 1, 1_000));
    log.record(record(1, 1, 1_000 + KEPT_MS));
    expect_true!(log.has_departed(&leaving(0, 1)));
    expect_false!(log.has_departed(&leaving(0, 2)), "a later life");
    log.record(record(2, 1, 1_001 + KEPT_MS));
    expect_false!(log.has_departed(&leaving(0, 1)));
    expect_true!(log.has_departed(&leaving(1, 1)));
    // A leader whose clock is behind forgets nothing early, and keeps what it adds for its whole time.
    log.record(record(3, 1, 5));
    log.record(record(4, 1, 1_001 + 2 * KEPT_MS));
    expect_true!(log.has_departed(&leaving(3, 1)));
}

// A departure that is told again takes room again.
#[gtest]
fn a_departure_told_again_is_kept_once() {
    let mut log = DepartureLog::default();
    for _ in 0..3 {
        expect_that!(log.record(record(0, 2, 1_000)), eq(DepartureAnswer::Kept));
        expect_that!(log.record(record(0, 1, 1_000)), eq(DepartureAnswer::Kept), "an earlier life");
    }
    expect_that!(log.after(0).count(), eq(1));
}

// Departures without end fill the memory, or push out what was acknowledged.
#[gtest]
fn a_full_log_refuses_what_it_cannot_keep() {
    let mut log = DepartureLog::default();
    for number in 0..DEPARTURES_LIMIT {
        log.record(record(number, 1, 1_000));
    }
    expect_that!(log.record(record(DEPARTURES_LIMIT, 1, 1_000)), eq(DepartureAnswer::Full));
    expect_true!(log.has_departed(&leaving(0, 1)));
    let later = record(DEPARTURES_LIMIT, 1, 1_001 + KEPT_MS);
    expect_that!(log.record(later), eq(DepartureAnswer::Kept));
}

// A replica that starts from a snapshot lists other places than the others, and pages from both leave some out.
#[gtest]
fn a_snapshot_holds_departures_and_their_places() {
    let mut state = ConfigState::default();
    for number in 0..5 {
        state.depart(record(number, 1, 1_000 + number as u64));
    }
    state.depart(record(9, 1, 1_004 + KEPT_MS));
    let mut read = ConfigState::decode(&state.encode()).unwrap();
    expect_true!(read == state);
    expect_that!(read.departures().after(5).count(), eq(1));
    for both in [&mut read, &mut state] {
        both.depart(record(10, 1, 2_000 + 2 * KEPT_MS));
    }
    expect_that!(read.departures().last_place(), eq(7));
    expect_true!(read == state);
}

// A disk of the version before cannot be read, or that version cannot read what this one writes.
#[gtest]
fn snapshots_without_departures_are_read() {
    let mut state = ConfigState::default();
    let empty = state.encode();
    state.depart(record(0, 1, 1_000));
    let whole = state.encode();
    // The version before writes the part before the departures, and reads no further.
    let before = &empty[..empty.len() - ADDED];
    expect_true!(whole.starts_with(before));
    expect_true!(ConfigState::decode(before).unwrap() == ConfigState::default());
}

// A departure that was said to be kept is gone when the process starts again.
#[gtest]
#[tokio::test]
async fn a_departure_is_on_the_disk() {
    let folder = std::env::temp_dir().join(format!("departures-{}", uuid::Uuid::new_v4()));
    let settings = || ReplicaSettings {
        member: "vm-0".parse().unwrap(),
        folder: folder.clone(),
        founders: vec!["vm-0".parse().unwrap()],
        seats: SeatKeeping::ByOperator,
        ledgers: false,
        seed: 1,
    };
    let within = Duration::from_secs(5);
    let (control, _packets) = ControlHandle::open(settings()).unwrap();
    while control.depart(leaving(0, 1), within).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(control);
    let (control, _packets) = ControlHandle::open(settings()).unwrap();
    while control.confirm(within).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_true!(control.has_departed(&leaving(0, 1)));
    expect_that!(control.departures_after(0, 10, within).await.unwrap(), len(eq(1)));
    let _ = std::fs::remove_dir_all(folder);
}
