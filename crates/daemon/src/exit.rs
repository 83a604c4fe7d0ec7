//! The exit codes that scripts and supervisors may rely on.

/// A flag or variable is wrong. A restart with the same settings ends the same way.
pub const EXIT_SETTINGS: u8 = 2;
/// An address, folder or thread was refused. A later restart may succeed.
pub const EXIT_START: u8 = 3;
/// The control state had to end, such as after a failed sync. Look at the disk before a restart.
pub const EXIT_CONTROL: u8 = 4;
/// A planned stop was cut short by a second signal or by `--stop-limit`.
pub const EXIT_CUT: u8 = 5;
