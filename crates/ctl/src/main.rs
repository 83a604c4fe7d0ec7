//! `coltsfootcrank`: the operators' command line.

use std::{env, io, process::ExitCode};

use ctl::{
    args::Coltsfootcrank,
    fault::{CtlError, SystemSnafu},
    run::run,
};
use snafu::ResultExt;

fn main() -> ExitCode {
    let args = Coltsfootcrank::from_env_or_exit();
    match start(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootcrank: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn start(args: Coltsfootcrank) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context(SystemSnafu { doing: "start" })?;
    runtime.block_on(run(args, |name| env::var(name).ok(), &mut io::stdout()))
}
