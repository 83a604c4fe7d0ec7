//! The flags of the soak.

#![expect(missing_docs, reason = "the macro makes items that cannot carry comments")]

use std::path::PathBuf;

xflags::xflags! {
    /// Plays one plan of faults against the daemons as processes of their own, on loopback.
    ///
    /// Exit codes: 0 all promises held; 1 one did not; 2 the plan could not be played.
    cmd soak {
        /// Which plan. Default: 1.
        optional --seed number: u64
        /// How many rounds the plan has. Default: 6.
        optional --rounds count: u32
        /// Has upstreams refuse a share of their calls, and hand each refusal out once more.
        optional --copies
        /// Has upstreams break the heads of a share of their answers.
        optional --broken-heads
        /// The folder of the programs coltsfootcrankd and coltsfootcrank. Default: this program's.
        optional --programs folder: PathBuf
        /// Keeps the logs of the daemons in this folder.
        optional --keep folder: PathBuf
    }
}
