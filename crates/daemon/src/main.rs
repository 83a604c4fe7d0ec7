//! `coltsfootcrankd`: parses, runs and maps errors to exit codes.

use std::process::ExitCode;

use daemon::{args::Coltsfootcrankd, process::run};

fn main() -> ExitCode {
    match run(Coltsfootcrankd::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootcrankd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
