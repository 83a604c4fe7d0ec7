//! Files and disks: what a crash or damage leaves, and what a full disk stops.

mod vm;
mod world;

use std::{
    fs,
    path::Path,
    sync::{Arc, atomic::Ordering},
};

use control::{
    disk::{
        folder::DataFolder,
        frame::{PREAMBLE, preamble, put_frame, read_frames},
        store::StoreOpener,
    },
    fault::ControlError,
    handle::ControlHandle,
    replica::entry::{SeatList, SnapshotImage},
};
use googletest::prelude::*;
use model::numbers::{ConfigNumber, GroupNumber};
use proptest::prelude::{ProptestConfig, any, proptest};
use vm::{TempFolder, TestVms, WITHIN, open_faulty, settings, wait_until};
use world::asks::patch;

const THREE: [&str; 3] = ["vm-a", "vm-b", "vm-c"];
const SALT: u32 = 77;
const HEAD: usize = 24;

fn file_of(records: &[Vec<u8>]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = preamble().to_vec();
    let mut starts = Vec::new();
    for (record, sequence) in records.iter().zip(1..) {
        starts.push(bytes.len());
        put_frame(&mut bytes, SALT, sequence, record);
    }
    (bytes, starts)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    // A crash in the middle of a write leaves any part of the last frame: what was synced is read.
    #[test]
    fn a_torn_tail_is_cut_at_the_last_whole_frame(
        records in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..60), 1..8),
        cut in any::<proptest::sample::Index>(),
        zeros in 0_usize..64,
    ) {
        let (whole, starts) = file_of(&records);
        let last = *starts.last().unwrap();
        let mut bytes = whole[..last + cut.index(whole.len() - last)].to_vec();
        bytes.resize(bytes.len() + zeros, 0);
        // What only fills up to the next multiple of eight may go; zeros may stand in for zeros.
        let end = last + HEAD + records.last().unwrap().len();
        let is_whole = bytes.get(last..end) == Some(&whole[last..end]);
        let (frames, _) = read_frames(&bytes, PREAMBLE, SALT, 1).unwrap();
        assert_eq!(frames.len(), records.len() - usize::from(!is_whole));
    }

    // A flipped bit in what was synced long ago is told, never cut.
    #[test]
    fn a_flipped_bit_before_the_last_frame_is_damage(
        records in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..60), 2..8),
        place in any::<proptest::sample::Index>(),
        bit in 0_u32..8,
    ) {
        let (mut bytes, starts) = file_of(&records);
        let last = *starts.last().unwrap();
        let at = PREAMBLE + place.index(last - PREAMBLE);
        let frame = starts.iter().rposition(|start| *start <= at).unwrap();
        let content = at - starts[frame];
        // Bytes that only fill up to the next multiple of eight mean nothing.
        let filler = content >= HEAD + records[frame].len() || (20..HEAD).contains(&content);
        bytes[at] ^= 1 << bit;
        assert_eq!(read_frames(&bytes, PREAMBLE, SALT, 1).is_err(), !filler);
    }
}

// The daemon starts. The log's last bytes, which only fill up to a multiple of eight, are missing.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_ends_within_the_filler_is_whole() {
    for cut in 1..24 {
        let vms = TestVms::open(&THREE[..1]);
        vms.submit(&patch(1, 0, "cluebook")).await.unwrap();
        vms.handle("vm-a").snapshot(GroupNumber::CONFIG, WITHIN).await.unwrap();
        vms.crash("vm-a");
        let folder = vms.path("vm-a");
        let log = folder.join("group-0/log");
        wait_until("the process has ended", || ended(&folder)).await;
        let bytes = fs::read(&log).unwrap();
        fs::write(&log, &bytes[..bytes.len() - cut]).unwrap();
        expect_that!(ControlHandle::open(settings("vm-a", &folder, &["vm-a"])).is_ok(), eq(true));
    }
}

fn ended(folder: &Path) -> bool {
    fs::File::open(folder.join("lock")).unwrap().try_lock().is_ok()
}

#[gtest]
fn what_a_caller_sends_cannot_look_like_a_frame() {
    let mut forged = Vec::new();
    put_frame(&mut forged, 0, 9, b"forged");
    let (mut bytes, starts) = file_of(&[b"first".to_vec(), forged]);
    // The frame that holds it is torn: its head is gone.
    bytes[starts[1]] ^= 1;
    let (frames, end) = read_frames(&bytes, PREAMBLE, SALT, 1).unwrap();
    expect_that!((frames.len(), end), eq((1, starts[1])));
}

// The operator notices nothing; the VM's row shows that it lags.
// One follower's disk is full while patches are accepted by the others.
// It promises nothing that it could not write, and catches up when there is room.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn row_21_a_follower_without_room_lags_and_catches_up() {
    let vms = TestVms::empty(&THREE);
    let mut disks = Vec::new();
    for name in THREE {
        let settings = settings(name, &vms.path(name), &THREE);
        let (handle, packets, faults) = open_faulty(settings);
        vms.add(name, handle, packets);
        disks.push(faults);
    }
    vms.submit(&patch(1, 0, "cluebook")).await.unwrap();
    let leader = vms.wait_leader(GroupNumber::CONFIG).await;
    let full = THREE.iter().position(|name| *name != leader).unwrap();
    disks[full].full.store(true, Ordering::Release);
    for number in 1..10 {
        vms.submit(&patch(u128::from(number) + 1, number, "cluebook")).await.unwrap();
    }
    let config = vms.handle(THREE[full]).watch_config();
    expect_that!(config.borrow().number(), lt(ConfigNumber(10)));
    disks[full].full.store(false, Ordering::Release);
    vms.wait_number(THREE[full], 10).await;
}

// The operator sees one patch answered late, by another leader.
// The leader's disk fills up between the check for room and the write.
// It can neither write nor lead: it falls silent, and the others elect a leader with room.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn row_21_a_leader_without_room_is_replaced() {
    let vms = TestVms::empty(&THREE);
    let mut disks = Vec::new();
    for name in THREE {
        let (handle, packets, faults) = open_faulty(settings(name, &vms.path(name), &THREE));
        vms.add(name, handle, packets);
        disks.push(faults);
    }
    vms.submit(&patch(1, 0, "cluebook")).await.unwrap();
    let leader = vms.wait_leader(GroupNumber::CONFIG).await;
    let full = THREE.iter().position(|name| *name == leader).unwrap();
    disks[full].write_full.store(true, Ordering::Release);
    let handle = vms.handle(&leader);
    let _ = handle.submit(patch(2, 1, "cluebook"), WITHIN).await;
    let others = || vms.leader_among(GroupNumber::CONFIG, |name| name != leader);
    wait_until("another leads", || others().is_some()).await;
    let next = others().unwrap();
    let result = vms.handle(&next).submit(patch(2, 1, "cluebook"), WITHIN).await;
    expect_that!(result, ok(ok(eq(&ConfigNumber(2)))));
    disks[full].write_full.store(false, Ordering::Release);
    vms.wait_number(&leader, 2).await;
}

// The daemon does not start, and names the snapshot.
// The log begins behind a snapshot whose file is gone or damaged: without it nothing is known.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_or_damaged_snapshot_stops_the_start() {
    let vms = TestVms::open(&THREE[..1]);
    vms.submit(&patch(1, 0, "cluebook")).await.unwrap();
    let index = vms.handle("vm-a").snapshot(GroupNumber::CONFIG, WITHIN).await.unwrap();
    vms.crash("vm-a");
    let folder = vms.path("vm-a");
    wait_until("the process has ended", || ended(&folder)).await;
    let snapshot = folder.join(format!("group-0/snapshot-{index}"));
    let bytes = fs::read(&snapshot).unwrap();
    let mut damaged = bytes.clone();
    damaged[60] ^= 4;
    fs::write(&snapshot, &damaged).unwrap();
    let open = || ControlHandle::open(settings("vm-a", &folder, &["vm-a"]));
    let failure = open().unwrap_err();
    expect_true!(matches!(&failure, ControlError::Damaged { path, .. } if *path == snapshot));
    fs::remove_file(&snapshot).unwrap();
    expect_that!(open().unwrap_err().to_string(), contains_substring("the file is missing"));
    fs::write(&snapshot, &bytes).unwrap();
    expect_that!(open().is_ok(), eq(true));
}

// The replicas of a VM would have ended with "rename failed".
// A follower stores a snapshot of its own while it gets a later one from its leader. What the other
// thread is writing is left alone; what a crash left unfinished goes at the next start.
#[gtest]
fn a_snapshot_that_is_being_written_survives_a_later_one() {
    let folder = TempFolder::open();
    let member = "vm-a".parse().unwrap();
    let mut data = DataFolder::open(&folder.0, &member).unwrap();
    let mut opened = data.open_group(GroupNumber::CONFIG).unwrap();
    let image = |index| SnapshotImage {
        index,
        term: 1,
        seats: SeatList::default(),
        bytes: Arc::from(vec![1; 10]),
    };
    let unfinished = folder.0.join("group-0/snapshot-5.new");
    fs::write(&unfinished, b"half").unwrap();
    opened.store.snapshot_writer()(&image(4)).unwrap();
    opened.store.rewrite(&image(9), &[]).unwrap();
    expect_true!(unfinished.exists());
    expect_false!(folder.0.join("group-0/snapshot-4").exists());
    drop(opened);
    let again = data.open_group(GroupNumber::CONFIG).unwrap();
    expect_false!(unfinished.exists());
    expect_that!(again.memory.log.base_index(), eq(9));
}
