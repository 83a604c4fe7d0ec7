//! The flags and commands as they are written. [`crate::settings`] gives them types.

#![expect(missing_docs, reason = "the macro makes items that cannot carry comments")]

use std::path::PathBuf;

xflags::xflags! {
    /// The operators' command line of the coltsfootcrank proxy fleet.
    ///
    /// Exit codes: 0 done; 2 a flag, variable or file is wrong; 3 the system refused something;
    /// 4 no VM answered, or no majority of the control VMs was reached: the same may be sent again;
    /// 5 the fleet refused what was asked; 6 the patch was written against an older number.
    cmd coltsfootcrank {
        /// The operators' ports of some VMs, as IP:PORT,IP:PORT, tried in order. Or by the
        /// variable COLTSFOOTCRANK_OPERATOR.
        optional --operator addresses: String
        /// The file with the operators' secret. Or by COLTSFOOTCRANK_OPERATOR_SECRET.
        optional --operator-secret file: String
        /// Prints JSON for programs instead of tables for people.
        optional --json

        /// Tells how far the present configuration has come.
        cmd status {}
        /// Services: their rules, routes and upstreams.
        cmd service {
            /// Lists the services.
            cmd service-list list {}
            /// Shows one service.
            cmd service-show show {
                /// Its name.
                required name: String
            }
        }
        /// Patches: numbered changes of the configuration.
        cmd patch {
            /// Validates a patch and changes nothing.
            cmd patch-check check {
                /// A TOML or JSON file with the changes.
                required file: PathBuf
                /// The number that the patch was written against. Default: the present one.
                optional --base number: u64
            }
            /// Submits a patch. FILE.sent.json keeps what was sent, so that running the command
            /// again sends the same patch, which is never applied twice.
            cmd patch-submit submit {
                /// A TOML or JSON file with the changes.
                required file: PathBuf
                /// The number that the patch was written against. Default: the present one.
                optional --base number: u64
                /// Who wrote it. Default: the file's author, else the variable USER.
                optional --author name: String
                /// Sends a new patch even where FILE.sent.json keeps one with the same changes.
                optional --new
            }
            /// Shows the first result of a patch.
            cmd patch-show show {
                /// The identifier that `patch submit` printed.
                required id: String
            }
        }
        /// The configuration in force.
        cmd config {
            /// Shows it whole.
            cmd config-show show {}
            /// Lists accepted patches.
            cmd config-history history {
                /// Only those with a greater number.
                optional --after number: u64
                /// How many at most.
                optional --limit count: u32
            }
            /// Prints each later number as it comes into force.
            cmd config-watch watch {
                /// Only numbers greater than this one. Default: the present one.
                optional --after number: u64
                /// Ends after so many changes. Default: never.
                optional --count count: u32
            }
        }
        /// Lists the upstreams.
        cmd upstreams {}
        /// Lists the placers.
        cmd placers {}
        /// Lists the VMs.
        cmd members {}
        /// Tells for each service whether its running capacity is enough.
        cmd capacity {}
        /// Begins the planned stop of a VM.
        cmd drain {
            /// Its name.
            required member: String
        }
        /// The replicated control state.
        cmd control {
            /// Shows the groups as the asked VM sees them.
            cmd control-status status {}
            /// Changes one replica of a group: --add first, and --remove once it has caught up.
            cmd control-replace replace {
                /// The group; 0 is the configuration.
                required group: u32
                /// The VM to add.
                optional --add member: String
                /// The VM to remove.
                optional --remove member: String
            }
            /// Has the asked VM write a snapshot of a group and cut its log.
            cmd control-snapshot snapshot {
                /// The group; 0 is the configuration.
                required group: u32
            }
            /// Looks into a data folder of this machine and changes nothing, also while its daemon
            /// runs or cannot start.
            cmd control-inspect inspect {
                /// The folder.
                required folder: PathBuf
            }
        }
        /// Prints the version.
        cmd version {}
    }
}
