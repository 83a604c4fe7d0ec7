//! What can go wrong, as the users of this crate see it.

use std::{io, path::PathBuf, time::Duration};

use derive::domain;
use model::{names::MemberName, numbers::GroupNumber};
use snafu::Snafu;

/// Why a replica does not do what it was asked to, though the question is in order.
#[domain]
#[derive(Snafu)]
pub enum RefusalReason {
    /// The VM holds no replica of the group.
    #[snafu(display("this VM holds no replica of group {group}; ask another control VM"))]
    UnknownGroup {
        /// The group.
        group: GroupNumber,
    },
    /// The change is larger than one log entry may be.
    #[snafu(display("the change takes {size} bytes, at most {limit} are allowed; split it"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Another replica change is under way.
    #[snafu(display("another replica change is under way; wait until it is done"))]
    ChangeUnderWay,
    /// The VM to be added has not been heard.
    #[snafu(display("{member} has not been heard; start its daemon with a data folder first"))]
    UnknownReplica {
        /// The VM.
        member: MemberName,
    },
    /// The change would change nothing.
    #[snafu(display("{member} is what it should be already; nothing was changed"))]
    NothingToChange {
        /// The VM.
        member: MemberName,
    },
    /// The last voter would go.
    #[snafu(display("{member} is the last voter; add another first"))]
    LastVoter {
        /// The VM.
        member: MemberName,
    },
    /// A close names an attempt that is not the key's present one.
    #[snafu(display("the attempt has been closed or replaced; the late close changed nothing"))]
    OldAttempt,
    /// There is no follower that has all entries.
    #[snafu(display("no follower has caught up; leadership stays here"))]
    NoSuccessor,
    /// Too much is waiting.
    #[snafu(display("too many requests wait at this replica; send again in {again_ms} ms"))]
    Overloaded {
        /// When to come back, in milliseconds.
        again_ms: u32,
    },
    /// As many departures are kept as may be.
    #[snafu(display("too many upstreams leave at once; say it again later"))]
    ManyDepartures,
    /// A VM of an earlier version has a seat, and could not read the command.
    #[snafu(display("a control VM of an earlier version has a seat; update it first"))]
    EarlierVersion,
}

/// Why a replica gave no answer.
#[domain]
#[derive(Snafu)]
pub enum ReplicaFault {
    /// Another replica leads, or none is known to.
    #[snafu(display("this replica does not lead; ask {}", name_or_any(leader)))]
    NotLeader {
        /// The leader, where known.
        leader: Option<MemberName>,
    },
    /// No majority was reached in time. The change may or may not be accepted.
    #[snafu(display("no majority of the group was reached in time; send the same again"))]
    NoMajority,
    /// The disk has no room; nothing was accepted.
    #[snafu(display("the data folder has no room; nothing was accepted: make room, send again"))]
    NoSpace,
    /// The replicas of this VM have ended.
    #[snafu(display("the replicas of this VM have ended; ask another control VM"))]
    Stopped,
    /// The replica refuses.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why, and what to do.
        reason: RefusalReason,
    },
}

fn name_or_any(leader: &Option<MemberName>) -> &str {
    leader.as_ref().map_or("another control VM", MemberName::as_str)
}

/// Why the replicas of a VM cannot start, or had to end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// A file operation failed.
    #[snafu(display("{}: {doing} failed: {source}", path.display()))]
    File {
        /// What was tried.
        doing: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Another process holds the folder.
    #[snafu(display(
        "{} is in use by another process; end that one or name another data folder",
        path.display()
    ))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// A file holds something else than was written.
    #[snafu(display(
        "{} is damaged at byte {offset}: {found}; \
         move the folder away and add this VM again as a new replica",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where, in bytes from its start.
        offset: u64,
        /// What was found.
        found: DamageKind,
    },
    /// A committed entry or a snapshot holds what this version does not know.
    #[snafu(display(
        "group {group} holds what this version does not know; start a version at least as new as \
         the other control VMs'"
    ))]
    Undecodable {
        /// The group.
        group: GroupNumber,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the thread of the replicas: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// The list of founders is empty.
    #[snafu(display("the list of founders is empty; name at least one VM"))]
    NoFounders,
    /// The folder belongs to another VM.
    #[snafu(display(
        "{} belongs to {found}, but this VM is {member}; name the right data folder",
        path.display()
    ))]
    OtherMember {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        found: MemberName,
        /// This VM.
        member: MemberName,
    },
}

/// What is wrong at a damaged place.
#[domain(value)]
#[derive(Snafu)]
pub enum DamageKind {
    /// The file does not start as it should.
    #[snafu(display("no header of this program"))]
    Header,
    /// The file was written by a version that this one cannot read.
    #[snafu(display("format version {version}, which this program does not know"))]
    Version {
        /// The version.
        version: u32,
    },
    /// A checksum does not match.
    #[snafu(display("a wrong checksum"))]
    Checksum,
    /// A record has no meaning where it stands.
    #[snafu(display("a record that cannot stand there"))]
    Record,
    /// The file ends too soon.
    #[snafu(display("the file ends too soon"))]
    Short,
    /// A file that must be there is not.
    #[snafu(display("the file is missing"))]
    Missing,
}

/// How long to wait before a refused request is worth sending again.
pub const COME_BACK: Duration = Duration::from_millis(100);
