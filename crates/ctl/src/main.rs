//! `coltsfootcrank`: the operators' command line.

use std::{env, process::ExitCode};

mod args;
mod client;
mod run;

fn main() -> ExitCode {
    let args = args::Coltsfootcrank::from_env_or_exit();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("coltsfootcrank: cannot start: {error}");
            return ExitCode::from(run::EXIT_SYSTEM);
        }
    };
    match runtime.block_on(run::run(args, |name| env::var(name).ok())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootcrank: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
