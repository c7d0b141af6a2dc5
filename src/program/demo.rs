//! `walnuthatch demo`: runs a real controller on loopback with simulated exchanges and callers.

use super::cli::{fail, print, Exit};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, Instant};
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::Operation;
use walnuthatch_standin::{Callers, Exchange, ExchangeConfig, Load, LoadReport};

/// Timeout for the start of the controller.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that the controller has to stop on request before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to wait until the controller is serving.
const READY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the state of the controller is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Mean hold time of established calls.
const MEAN_HOLD_TIME: Duration = Duration::from_secs(2);

/// Arguments of `demo`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Calls per second, 0.1 to 5000
    #[arg(long, default_value_t = 100.0, value_parser = parse_rate)]
    pub rate: f64,
    /// Number of simulated exchanges
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub exchanges: u16,
    /// Run without the console for --seconds, then print a table of results
    #[arg(long)]
    pub headless: bool,
    /// Time during which calls are offered [default: 5 with --headless, else 3600]
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=86_400))]
    pub seconds: Option<u32>,
    /// Seed of the random delays, hold times and call names
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Working directory [default: a temporary directory, removed at the end]
    #[arg(long, value_name = "DIR")]
    pub folder: Option<PathBuf>,
}

fn parse_rate(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|r| (0.1..=5000.0).contains(r)).ok_or("expected 0.1 to 5000".to_owned())
}

/// An error that ends the demonstration.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// An operation of the operating system failed.
    #[error("{operation}: {error}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The controller did not start; contains its log.
    #[error("the controller did not start; its log:\n{0}")]
    NotStarted(String),
    /// The console failed.
    #[error("{0}")]
    Console(#[from] walnuthatch_console::ConsoleError),
}

fn io_error(operation: &str) -> impl FnOnce(std::io::Error) -> DemoError + '_ {
    move |error| DemoError::Io { operation: operation.to_owned(), error }
}

/// Runs the demonstration.
pub fn main(args: &Args) -> Exit {
    match run(args) {
        Ok(None) => Exit::Done,
        Ok(Some(table)) => {
            print(&table.to_string());
            // Each call must get exactly one answer.
            if table.unanswered + table.duplicate_answers > 0 {
                Exit::Failed
            } else {
                Exit::Done
            }
        }
        Err(e) => fail(&e),
    }
}

/// The controller process; dropping this value stops it.
struct Controller {
    child: Child,
    folder: PathBuf,
    /// Whether the folder is removed at the end.
    temporary: bool,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let stop_request = Connection::open(&self.folder.join("control.sock"), "demo")
            .and_then(|mut c| c.request("stop", Operation::Stop));
        let deadline = Instant::now() + if stop_request.is_ok() { STOP_TIMEOUT } else { Duration::ZERO };
        while Instant::now() < deadline && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        drop(self.child.kill());
        drop(self.child.wait());
        if self.temporary {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

fn run(args: &Args) -> Result<Option<LoadReport>, DemoError> {
    let folder = args
        .folder
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("walnuthatch-demo-{}", std::process::id())));
    std::fs::create_dir_all(&folder).map_err(io_error("creating the working directory"))?;
    // 1.5 times the circuits that the load needs, and 10 more, so that the others can carry the calls of a drained exchange.
    let busy_circuits = args.rate * MEAN_HOLD_TIME.as_secs_f64() / f64::from(args.exchanges);
    let circuits = (busy_circuits * 1.5).ceil() as u32 + 10;
    let exchanges = (1..=args.exchanges)
        .map(|n| {
            let (delay, seed) = (Duration::from_millis(15), args.seed + u64::from(n));
            Exchange::start(None, ExchangeConfig { circuits, delay, hold: MEAN_HOLD_TIME, seed })
        })
        .collect::<Result<Vec<_>, _>>()
        .map_err(io_error("starting a simulated exchange"))?;
    let (controller, callers_address) = start_controller(&folder, args.folder.is_none(), &exchanges)?;
    let default_seconds = if args.headless { 5 } else { 3600 };
    let load = Load {
        rate: args.rate,
        duration: Duration::from_secs(args.seconds.unwrap_or(default_seconds).into()),
        destinations: (1..=args.exchanges).collect(),
        class: "status-report".to_owned(),
        client_timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(1200),
        connections: 8,
        seed: args.seed,
    };
    let callers =
        Callers::start(callers_address, load).map_err(io_error("starting the simulated callers"))?;
    if args.headless {
        let table = callers.finish();
        drop(controller);
        return Ok(Some(table));
    }
    let user = std::env::var("USER").unwrap_or_else(|_| "demo".to_owned());
    walnuthatch_console::run(&folder.join("control.sock"), &user)?;
    drop(controller);
    Ok(None)
}

/// Writes the appliance file and starts this executable with it. Returns the controller and the address on which it
/// accepts callers' connections.
fn start_controller(
    folder: &Path,
    temporary: bool,
    exchanges: &[Exchange],
) -> Result<(Controller, SocketAddr), DemoError> {
    let path = |name: &str| folder.join(name).display().to_string();
    let mut text = format!(
        "enabled = true\n[control]\nsocket = {:?}\n[state]\nfolder = {:?}\n[site]\nname = \"demo\"\n\
         listen = \"127.0.0.1:0\"\nown_exchange = 0\n[[class]]\nname = \"status-report\"\naim_ms = 1200\n\
         give_up_ms = 9000\n",
        path("control.sock"),
        path("state")
    );
    for (n, e) in (1..).zip(exchanges) {
        text +=
            &format!("[[exchange]]\nname = \"standin-{n}\"\nexchange = {n}\naddress = \"{}\"\n", e.address());
    }
    let file = folder.join("appliance.toml");
    std::fs::write(&file, text).map_err(io_error("writing appliance.toml"))?;
    let program = std::env::current_exe().map_err(io_error("finding the path of this program"))?;
    let mut child = Command::new(program)
        .args(["serve", "--log-format", "plain", "--appliance"])
        .arg(&file)
        // A configuration of the platform must not apply to the demonstration.
        .env_remove("ROUTER_CONFIG")
        .env_remove("ROUTER_LISTEN")
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(io_error("starting the controller"))?;
    let (log_lines, lines) = channel();
    if let Some(stderr) = child.stderr.take() {
        // Reads to the end, so that the controller never blocks on a full pipe.
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|l| drop(log_lines.send(l)));
        });
    }
    let controller = Controller { child, folder: folder.to_owned(), temporary };
    let (deadline, mut log, mut callers_address) = (Instant::now() + START_TIMEOUT, String::new(), None);
    loop {
        match lines.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(line) => {
                let address = line.strip_prefix("walnuthatch: callers at ").and_then(|a| a.parse().ok());
                callers_address = callers_address.or(address);
                if let (true, Some(address)) = (line.contains("control socket at"), callers_address) {
                    wait_ready(&folder.join("control.sock"));
                    return Ok((controller, address));
                }
                log += &line;
                log.push('\n');
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                return Err(DemoError::NotStarted(log))
            }
        }
    }
}

/// Waits until the controller is serving, or for [`READY_TIMEOUT`].
fn wait_ready(socket: &Path) {
    use walnuthatch_control::frames::{Body, Topic};
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let operation = Operation::Show { topic: Topic::Status, search: String::new() };
        let response = Connection::open(socket, "demo").and_then(|mut c| c.request("ready", operation));
        if matches!(response, Ok(Body::Status(s)) if s.state == "serving") {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
