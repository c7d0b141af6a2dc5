//! The command line. `walnuthatch` alone serves, as the platform runs it; everything else is a sub-command.

use super::config::{self, Arguments, ConfigError};
use super::{appliance_file, ctl, demo, run};
use clap::{CommandFactory, Parser, Subcommand};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended, as its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: done.
    Done,
    /// 1: it failed; standard error says why.
    Failed,
    /// 3: there is no controller at the control socket.
    NoController,
    /// 4: the controller turned it down; standard error says why.
    TurnedDown,
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> ExitCode {
        // 2 is a faulty command line, which the parser ends the program with.
        ExitCode::from(match e {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::NoController => 3,
            Exit::TurnedDown => 4,
        })
    }
}

const AFTER: &str =
    "Exit status: 0 done, 1 failed (a faulty configuration is named by its key), 2 faulty command \
line, 3 no controller at the control socket, 4 the controller turned it down.";

/// A session controller for the trunk groups between small exchanges.
///
/// Without a command it serves, with the options below.
#[derive(Debug, Parser)]
#[command(name = "walnuthatch", version, after_help = AFTER, args_conflicts_with_subcommands = true)]
pub struct Cli {
    #[command(flatten)]
    serve: Arguments,
    #[command(subcommand)]
    command: Option<Sub>,
}

#[derive(Debug, Subcommand)]
enum Sub {
    /// Serve calls; the same as without a command
    Serve(Arguments),
    /// The full-screen console of a running controller
    Console {
        /// The control socket [default: as the appliance's file says]
        #[arg(long, value_name = "PATH", env = "WALNUTHATCH_SOCKET")]
        socket: Option<PathBuf>,
        /// The appliance's file, in place of deploy/appliance.toml
        #[arg(long, value_name = "FILE")]
        appliance: Option<PathBuf>,
    },
    /// Ask a running controller, or tell it what to do
    Ctl(ctl::Args),
    /// Check or show the configuration
    Config {
        #[command(subcommand)]
        what: ConfigSub,
    },
    /// A controller between stand-in exchanges and callers on this machine, with the console
    Demo(demo::Args),
    /// Print a script that completes commands in a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum ConfigSub {
    /// Read and check it all, and tell every fault
    Check(Arguments),
    /// Print what the program would be told
    Show(Arguments),
    /// Print the schema of deploy/appliance.toml as JSON
    Schema,
}

/// Runs the program with this command line, the program's name first.
pub fn main(words: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(words) {
        Ok(cli) => cli,
        // Help and faults; the parser knows which goes where.
        Err(e) => e.exit(),
    };
    let exit = match cli.command {
        None => serve(cli.serve),
        Some(Sub::Serve(arguments)) => serve(arguments),
        Some(Sub::Console { socket: named, appliance }) => console(named, appliance),
        Some(Sub::Ctl(args)) => ctl::main(args),
        Some(Sub::Demo(args)) => demo::main(&args),
        Some(Sub::Config { what: ConfigSub::Check(a) }) => told(check(&a)),
        Some(Sub::Config { what: ConfigSub::Show(a) }) => {
            told(config::load(&a, run::environment).map(|c| c.summary()))
        }
        Some(Sub::Config { what: ConfigSub::Schema }) => {
            print(&serde_json::to_string_pretty(&appliance_file::schema()).unwrap_or_default())
        }
        Some(Sub::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "walnuthatch", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    };
    exit.into()
}

fn serve(arguments: Arguments) -> Exit {
    if arguments.check {
        return told(check(&arguments));
    }
    match run::main(arguments) {
        Ok(()) => Exit::Done,
        Err(e) => fault(&e),
    }
}

fn console(named: Option<PathBuf>, appliance: Option<PathBuf>) -> Exit {
    let path = match socket(named, appliance) {
        Ok(path) => path,
        Err(why) => return fault(&why),
    };
    let who = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    match walnuthatch_console::run(&path, &who) {
        Ok(()) => Exit::Done,
        Err(e @ walnuthatch_console::ConsoleError::NoController(_)) => {
            fault(&e);
            Exit::NoController
        }
        Err(e) => fault(&e),
    }
}

fn check(arguments: &Arguments) -> Result<String, ConfigError> {
    let config = config::load(arguments, run::environment)?;
    Ok(format!("the configuration of {} is good", config.name))
}

fn told(what: Result<String, ConfigError>) -> Exit {
    match what {
        Ok(text) => print(text.trim_end()),
        Err(e) => fault(&format!("configuration: {e}")),
    }
}

/// Says on standard error why it failed.
pub fn fault(why: &dyn std::fmt::Display) -> Exit {
    eprintln!("walnuthatch: {why}");
    Exit::Failed
}

/// Prints a text and a line feed; one who does not read it to its end is no fault.
pub fn print(text: &str) -> Exit {
    match io::Write::write_all(&mut io::stdout(), format!("{text}\n").as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => fault(&e),
        _ => Exit::Done,
    }
}

/// Where the control socket is: as named, or as the appliance's file says.
///
/// # Errors
/// If neither names one.
pub fn socket(named: Option<PathBuf>, appliance: Option<PathBuf>) -> Result<PathBuf, String> {
    if let Some(path) = named {
        return Ok(path);
    }
    let path = appliance.unwrap_or_else(|| PathBuf::from(appliance_file::FILE));
    let missing = "no control socket: give --socket PATH, WALNUTHATCH_SOCKET, or [control] socket in";
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{missing} {} ({e})", path.display()))?;
    let name = path.display().to_string();
    let read = appliance_file::read(&name, &text)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    read.and_then(|a| a.control_socket).ok_or_else(|| format!("{missing} {name} (with enabled = true)"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(line: &str) -> Result<Cli, clap::Error> {
        Cli::try_parse_from(std::iter::once("walnuthatch").chain(line.split_whitespace()))
    }

    #[test]
    fn the_platforms_command_lines_go_on_and_unknown_words_are_named() {
        Cli::command().debug_assert();
        let got = read("--console --mgcp m.toml --check").unwrap();
        assert!(got.command.is_none() && got.serve.console && got.serve.check);
        assert_eq!(got.serve.mgcp, Some("m.toml".into()));
        assert!(read("").unwrap().command.is_none());
        assert!(matches!(read("serve --config c.json").unwrap().command, Some(Sub::Serve(_))));
        assert!(read("--consol").unwrap_err().to_string().contains("--consol"));
        assert!(read("--config").unwrap_err().to_string().contains("--config <FILE>"));
        assert!(read("ctl drain exchange:x").unwrap_err().to_string().contains("expected exchange:NUMBER"));
        assert!(read("ctl drain exchange:4 --limit 10m --at-limit cut --dry-run").is_ok());
    }
}
