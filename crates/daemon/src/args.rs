//! The flags of the daemon as they are written. [`crate::settings`] gives them types.

#![expect(missing_docs, reason = "the macro makes items that cannot carry comments")]

xflags::xflags! {
    /// The daemon of the coltsfootcrank proxy fleet: one on each VM.
    ///
    /// To try it on one machine: coltsfootcrankd --embedded
    ///
    /// Each flag with a value can also be set by an environment variable: --caller-listen by
    /// COLTSFOOTCRANK_CALLER_LISTEN, and so on. A flag goes before its variable.
    ///
    /// Exit codes: 0 stopped as planned, or --check found nothing wrong; 2 a flag or variable is
    /// wrong; 3 an address, folder or thread was refused; 4 the control state had to end, such as
    /// after a failed sync; 5 a planned stop was cut short.
    cmd coltsfootcrankd {
        /// The name of this VM, unique in the fleet: 1 to 64 letters, digits, '-', '_' or '.'.
        optional --member name: String
        /// The failure domain of this VM: what is lost together with it.
        optional --domain name: String
        /// Where callers are served, as IP:PORT. Port 0 takes a free one.
        optional --caller-listen address: String
        /// Where upstreams announce themselves, as IP:PORT.
        optional --announce-listen address: String
        /// Where operators are served, as IP:PORT.
        optional --operator-listen address: String
        /// Where the platform asks for health and metrics, as IP:PORT.
        optional --platform-listen address: String
        /// Where the rest of the fleet reaches this VM, as IP:PORT. The others are told this
        /// address, so it must be one of this VM, not 0.0.0.0.
        optional --fleet-listen address: String
        /// Some VMs of the fleet to begin with, as IP:PORT,IP:PORT: their --fleet-listen.
        optional --seeds addresses: String
        /// The data folder, made if there is none. A VM with one replicates the control state.
        optional --data folder: String
        /// The VMs that found the control state together, as NAME,NAME, the same on each of them.
        /// Default with --data: this VM alone.
        optional --founders names: String
        /// With --data: this VM is none of the founders, and waits until an operator adds it by
        /// `coltsfootcrank control replace`.
        optional --join
        /// The file with the secret that the fleet shares, at least 16 bytes.
        optional --fleet-secret file: String
        /// The file with the secret of operators, at least 16 bytes.
        optional --operator-secret file: String
        /// The file with the secret of announcements, at least 16 bytes.
        optional --announce-secret file: String
        /// How many threads serve traffic. Default: as many as there are cores.
        optional --traffic-threads count: String
        /// What is logged: error, warn, info, debug or trace, or a list such as
        /// info,fleet=debug. Default: info.
        optional --log-level level: String
        /// Logs to files in this folder instead of to standard error.
        optional --log-folder folder: String
        /// With --log-folder: a file is closed at this size. Default: 100000000.
        optional --log-file-bytes size: String
        /// With --log-folder: how many closed files are kept. Default: 10.
        optional --log-files count: String
        /// The longest that a planned stop may wait for calls in flight before it cuts them, in
        /// seconds, and says so in the log. Default: no limit, so that none is cut.
        optional --stop-limit seconds: String
        /// Starts one VM on loopback with a control state of its own, to try it out. Makes secrets
        /// and, without --data, a temporary folder. Other flags still hold.
        optional --embedded
        /// Checks the settings and ends. Binds nothing.
        optional --check
        /// Prints the version and ends.
        optional --version
    }
}
