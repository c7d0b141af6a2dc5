//! The session controller as a program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match walnuthatch::program::run::main(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("walnuthatch: {e}");
            ExitCode::FAILURE
        }
    }
}
