//! The session controller as a program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    walnuthatch::program::cli::main(std::env::args_os())
}
