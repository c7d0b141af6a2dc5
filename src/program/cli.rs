//! The command line. Without a subcommand, as the platform starts it, the program serves calls.

use super::config::{self, Arguments, ConfigError};
use super::{appliance_file, ctl, demo, run};
use clap::{CommandFactory, Parser, Subcommand};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: success.
    Done,
    /// 1: failure; the reason is on standard error.
    Failed,
    /// 3: no controller listens on the control socket.
    NoController,
    /// 4: the controller rejected the request; the reason is on standard error.
    Rejected,
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> ExitCode {
        // 2 is used by the argument parser for an invalid command line.
        ExitCode::from(match e {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::NoController => 3,
            Exit::Rejected => 4,
        })
    }
}

const EXIT_STATUS_HELP: &str =
    "Exit status: 0 success, 1 failure (configuration errors name the key), 2 invalid command line, \
3 no controller at the control socket, 4 request rejected by the controller.";

/// A session controller for the trunk groups between small exchanges.
///
/// Without a command it serves calls, with the options below.
#[derive(Debug, Parser)]
#[command(name = "walnuthatch", version, after_help = EXIT_STATUS_HELP, args_conflicts_with_subcommands = true)]
pub struct Cli {
    #[command(flatten)]
    serve: Arguments,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve calls; the default without a command
    Serve(Arguments),
    /// Open the full-screen console of a running controller
    Console {
        /// Path of the control socket [default: control.socket of the appliance file]
        #[arg(long, value_name = "PATH", env = "WALNUTHATCH_SOCKET")]
        socket: Option<PathBuf>,
        /// Appliance configuration file [default: deploy/appliance.toml]
        #[arg(long, value_name = "FILE")]
        appliance: Option<PathBuf>,
    },
    /// Query and control a running controller
    Ctl(ctl::Args),
    /// Check or print the configuration
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Run a controller with simulated exchanges and callers on this machine, and open its console
    Demo(demo::Args),
    /// Print a shell completion script
    Completions {
        /// Shell for which the script is generated
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Check all configuration files and report every error
    Check(Arguments),
    /// Print a summary of the effective configuration
    Show(Arguments),
    /// Print the JSON schema of deploy/appliance.toml
    Schema,
}

/// Runs the program with the given arguments, the first of which is the program's name.
pub fn main(arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        // Prints help to standard output and usage errors to standard error.
        Err(e) => e.exit(),
    };
    let exit = match cli.command {
        None => serve(cli.serve),
        Some(Command::Serve(arguments)) => serve(arguments),
        Some(Command::Console { socket, appliance }) => console(socket, appliance),
        Some(Command::Ctl(args)) => ctl::main(args),
        Some(Command::Demo(args)) => demo::main(&args),
        Some(Command::Config { command: ConfigCommand::Check(a) }) => print_result(check(&a)),
        Some(Command::Config { command: ConfigCommand::Show(a) }) => {
            print_result(config::load(&a, run::environment).map(|c| c.summary()))
        }
        Some(Command::Config { command: ConfigCommand::Schema }) => {
            print(&serde_json::to_string_pretty(&appliance_file::schema()).unwrap_or_default())
        }
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "walnuthatch", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    };
    exit.into()
}

fn serve(arguments: Arguments) -> Exit {
    if arguments.check {
        return print_result(check(&arguments));
    }
    match run::main(arguments) {
        Ok(()) => Exit::Done,
        Err(e) => fail(&e),
    }
}

fn console(socket: Option<PathBuf>, appliance: Option<PathBuf>) -> Exit {
    let path = match control_socket(socket, appliance) {
        Ok(path) => path,
        Err(message) => return fail(&message),
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    match walnuthatch_console::run(&path, &user) {
        Ok(()) => Exit::Done,
        Err(e @ walnuthatch_console::ConsoleError::NoController(_)) => {
            fail(&e);
            Exit::NoController
        }
        Err(e) => fail(&e),
    }
}

fn check(arguments: &Arguments) -> Result<String, ConfigError> {
    let config = config::load(arguments, run::environment)?;
    Ok(format!("the configuration of {} is good", config.name))
}

fn print_result(result: Result<String, ConfigError>) -> Exit {
    match result {
        Ok(text) => print(text.trim_end()),
        Err(e) => fail(&format!("configuration: {e}")),
    }
}

/// Prints an error message on standard error.
pub fn fail(message: &dyn std::fmt::Display) -> Exit {
    eprintln!("walnuthatch: {message}");
    Exit::Failed
}

/// Prints a text and a line feed. A reader that closes the pipe early is not an error.
pub fn print(text: &str) -> Exit {
    match io::Write::write_all(&mut io::stdout(), format!("{text}\n").as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => fail(&e),
        _ => Exit::Done,
    }
}

/// Path of the control socket: `socket` if given, else the one that the appliance file configures.
///
/// # Errors
/// If neither gives a path.
pub fn control_socket(socket: Option<PathBuf>, appliance: Option<PathBuf>) -> Result<PathBuf, String> {
    if let Some(path) = socket {
        return Ok(path);
    }
    let path = appliance.unwrap_or_else(|| PathBuf::from(appliance_file::FILE));
    let missing = "no control socket: give --socket PATH, WALNUTHATCH_SOCKET, or [control] socket in";
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{missing} {} ({e})", path.display()))?;
    let name = path.display().to_string();
    let config = appliance_file::read(&name, &text)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    config.and_then(|a| a.control_socket).ok_or_else(|| format!("{missing} {name} (with enabled = true)"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(line: &str) -> Result<Cli, clap::Error> {
        Cli::try_parse_from(std::iter::once("walnuthatch").chain(line.split_whitespace()))
    }

    #[test]
    fn the_platforms_command_lines_are_accepted_and_unknown_arguments_are_named() {
        Cli::command().debug_assert();
        let cli = parse("--console --mgcp m.toml --check").unwrap();
        assert!(cli.command.is_none() && cli.serve.console && cli.serve.check);
        assert_eq!(cli.serve.mgcp, Some("m.toml".into()));
        assert!(parse("").unwrap().command.is_none());
        assert!(matches!(parse("serve --config c.json").unwrap().command, Some(Command::Serve(_))));
        assert!(parse("--consol").unwrap_err().to_string().contains("--consol"));
        assert!(parse("--config").unwrap_err().to_string().contains("--config <FILE>"));
        assert!(parse("ctl drain exchange:x").unwrap_err().to_string().contains("expected exchange:NUMBER"));
        assert!(parse("ctl drain exchange:4 --limit 10m --at-limit cut --dry-run").is_ok());
    }
}
