//! Entry point of the session controller program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    walnuthatch::program::cli::main(std::env::args_os())
}
