//! The flags and commands as they are written.

use std::path::PathBuf;

xflags::xflags! {
    /// The operators' command line of the coltsfootcrank proxy fleet.
    cmd coltsfootcrank {
        /// The operators' port of any VM, as IP:PORT, or COLTSFOOTCRANK_OPERATOR.
        optional --operator address: String
        /// The file with the operators' secret, or COLTSFOOTCRANK_OPERATOR_SECRET.
        optional --operator-secret file: String
        /// Tells how far the present configuration has come.
        cmd status {}
        /// Lists the upstreams.
        cmd upstreams {}
        /// Lists the VMs.
        cmd members {}
        /// Submits a patch.
        cmd submit {
            /// The JSON file of the patch.
            required file: PathBuf
        }
    }
}
