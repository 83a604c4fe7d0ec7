//! `soak`: plays one plan of faults.

use std::{env, fs, io, path::PathBuf, process::ExitCode};

use soak::{
    args::Soak,
    fleet::{SERVICES, VMS},
    plan::SoakPlan,
    run::{SoakError, SoakReport, SoakSettings, play},
};

const ROUNDS: u32 = 6;

fn main() -> ExitCode {
    let args = Soak::from_env_or_exit();
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    match runtime.block_on(run(args)) {
        Ok(report) if report.broken.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: Soak) -> Result<SoakReport, SoakError> {
    let plan = SoakPlan::draw(args.seed.unwrap_or(1), args.rounds.unwrap_or(ROUNDS), VMS, SERVICES);
    let plan = if args.copies { plan.with_copies() } else { plan };
    let plan = if args.broken_heads { plan.with_broken_heads() } else { plan };
    print!("{plan}");
    let kept = args.keep.is_some();
    let folder = args.keep.unwrap_or_else(temporary_folder);
    fs::create_dir_all(&folder)?;
    let programs = args.programs.map_or_else(own_folder, Ok)?;
    let settings = SoakSettings { plan, programs, folder };
    let played = tokio::select! {
        played = play(&settings) => played,
        _ = tokio::signal::ctrl_c() => Err(io::Error::other("interrupted").into()),
    };
    if !kept {
        fs::remove_dir_all(&settings.folder)?;
    }
    let report = played?;
    print(&report);
    Ok(report)
}

fn print(report: &SoakReport) {
    let SoakReport { calls, late_bytes, took, broken } = report;
    println!(
        "{} calls in {:.1} s, answers by status {:?}; {late_bytes} bytes came late",
        calls.count(),
        took.as_secs_f64(),
        calls.answers
    );
    broken.iter().for_each(|broken| println!("BROKEN: {broken}"));
    println!("{}", if broken.is_empty() { "all held" } else { "not all held" });
}

fn temporary_folder() -> PathBuf {
    env::temp_dir().join(format!("coltsfootcrank-soak-{}", uuid::Uuid::new_v4()))
}

fn own_folder() -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    Ok(own.parent().map(PathBuf::from).unwrap_or_default())
}
