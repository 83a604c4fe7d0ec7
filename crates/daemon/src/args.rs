//! The flags of the daemon as they are written. [`crate::settings`] gives them types.

#![expect(missing_docs, reason = "the macro makes items that cannot carry comments")]

xflags::xflags! {
    /// The daemon of the coltsfootcrank proxy fleet: one on each VM.
    ///
    /// Each flag can also be set by an environment variable: --caller-listen by
    /// COLTSFOOTCRANK_CALLER_LISTEN, and so on. A flag goes before its variable.
    cmd coltsfootcrankd {
        /// The name of this VM, unique in the fleet.
        optional --member name: String
        /// The failure domain of this VM.
        optional --domain name: String
        /// Where callers are served, as IP:PORT. Port 0 takes a free one.
        optional --caller-listen address: String
        /// Where upstreams announce themselves, as IP:PORT.
        optional --announce-listen address: String
        /// Where operators are served, as IP:PORT.
        optional --operator-listen address: String
        /// Where the platform's balancer asks for health, as IP:PORT.
        optional --platform-listen address: String
        /// Where the rest of the fleet reaches this VM, as IP:PORT.
        optional --fleet-listen address: String
        /// Some VMs of the fleet to begin with, as IP:PORT,IP:PORT.
        optional --seeds addresses: String
        /// The data folder. A VM with one replicates the control state.
        optional --data folder: String
        /// The file with the secret that the fleet shares.
        optional --fleet-secret file: String
        /// The file with the secret of operators.
        optional --operator-secret file: String
        /// The file with the secret of announcements.
        optional --announce-secret file: String
        /// Checks the settings and ends.
        optional --check
        /// Prints the version and ends.
        optional --version
    }
}
