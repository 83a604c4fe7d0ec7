//! Works out docs/CAPACITY.md's table from measured slopes:
//!
//!     cargo bench --workspace --bench 'bounds_*' | cargo run --release --example capacity
//!
//! Each benchmark prints lines `slope NAME VALUE UNIT`. This program reads them from standard input,
//! does the arithmetic for the size of the users' letter and prints the table. It ends non-zero when
//! a slope is missing, so that the page is never made from half of the measurements.

mod rows;
mod slopes;

use std::{io, process::ExitCode};

use comfy_table::{Table, presets::ASCII_MARKDOWN};

fn main() -> ExitCode {
    let slopes = match slopes::SlopeTable::read(io::stdin().lock()) {
        Ok(slopes) => slopes,
        Err(error) => {
            eprintln!("capacity: {error}");
            return ExitCode::from(2);
        }
    };
    let rows = match rows::work_out(&slopes) {
        Ok(rows) => rows,
        Err(error) => {
            eprintln!("capacity: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(["role", "what", "slope", "arithmetic", "figure", "budget", "kept"]);
    for row in rows {
        table.add_row(row.cells());
    }
    println!("{table}");
    ExitCode::SUCCESS
}
