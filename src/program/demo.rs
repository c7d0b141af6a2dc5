//! `walnuthatch demo`: a real controller on loopback between stand-in exchanges and callers, to be looked at.

use super::appliance_file;
use super::cli::{fail, print, Exit};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, Instant};
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::Operation;
use walnuthatch_standin::{Callers, Exchange, Load, Table, Traits};

/// The controller is up by then, or never.
const START: Duration = Duration::from_secs(10);
/// A controller that is asked to stop has this long.
const STOP: Duration = Duration::from_secs(10);
/// How long calls stand, on average.
const HOLD: Duration = Duration::from_secs(2);

/// Arguments of `demo`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Calls a second
    #[arg(long, default_value_t = 100.0, value_parser = rate)]
    pub rate: f64,
    /// Exchanges
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub exchanges: u16,
    /// Without the console: run for --seconds, then print a table
    #[arg(long)]
    pub headless: bool,
    /// For how long calls are offered [default: 5 without the console, an hour with it]
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=86_400))]
    pub seconds: Option<u32>,
    /// For delays, holds and names
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the demonstration keeps its files [default: a folder of its own under the system's for such]
    #[arg(long, value_name = "DIR")]
    pub folder: Option<PathBuf>,
}

fn rate(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|r| (0.1..=5000.0).contains(r)).ok_or("expected from 0.1 to 5000".to_owned())
}

/// Why it did not come about.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The system refused.
    #[error("{what}: {why}")]
    Io {
        /// What.
        what: String,
        /// Why.
        why: std::io::Error,
    },
    /// The controller did not start.
    #[error("the controller did not start; it said:\n{0}")]
    NotUp(String),
    /// The console failed.
    #[error("{0}")]
    Console(#[from] walnuthatch_console::ConsoleError),
}

fn io(what: &str) -> impl FnOnce(std::io::Error) -> DemoError + '_ {
    move |why| DemoError::Io { what: what.to_owned(), why }
}

/// Runs it.
pub fn main(args: &Args) -> Exit {
    match run(args) {
        Ok(None) => Exit::Done,
        Ok(Some(table)) => {
            print(&table.to_string());
            // A call without an answer, or with two, is never to be.
            if table.unanswered + table.doubled > 0 {
                Exit::Failed
            } else {
                Exit::Done
            }
        }
        Err(e) => fail(&e),
    }
}

/// A controller of the demonstration; it is ended when this is dropped.
struct Controller {
    child: Child,
    folder: PathBuf,
    /// The folder was made for it.
    made: bool,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let asked = Connection::open(&self.folder.join("control.sock"), "demo")
            .and_then(|mut c| c.request("stop", Operation::Stop));
        let end = Instant::now() + if asked.is_ok() { STOP } else { Duration::ZERO };
        while Instant::now() < end && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        drop(self.child.kill());
        drop(self.child.wait());
        if self.made {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

fn run(args: &Args) -> Result<Option<Table>, DemoError> {
    let folder = args
        .folder
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("walnuthatch-demo-{}", std::process::id())));
    std::fs::create_dir_all(&folder).map_err(io("the demonstration's folder"))?;
    // Enough circuits for the load and a half more, so that a drain of one can be seen to push calls elsewhere.
    let each = args.rate * HOLD.as_secs_f64() / f64::from(args.exchanges);
    let circuits = (each * 1.5).ceil() as u32 + 10;
    let exchanges = (1..=args.exchanges)
        .map(|n| {
            let (delay, seed) = (Duration::from_millis(15), args.seed + u64::from(n));
            Exchange::start(None, Traits { circuits, delay, hold: HOLD, seed })
        })
        .collect::<Result<Vec<_>, _>>()
        .map_err(io("a stand-in exchange"))?;
    let (controller, callers) = start(&folder, args.folder.is_none(), &exchanges)?;
    let usual = if args.headless { 5 } else { 3600 };
    let load = Load {
        rate: args.rate,
        span: Duration::from_secs(args.seconds.unwrap_or(usual).into()),
        destinations: (1..=args.exchanges).collect(),
        class: "status-report".to_owned(),
        patience: Duration::from_secs(3),
        aim: Duration::from_millis(1200),
        connections: 8,
        seed: args.seed,
    };
    let callers = Callers::start(callers, load).map_err(io("the stand-in callers"))?;
    if args.headless {
        let table = callers.finish();
        drop(controller);
        return Ok(Some(table));
    }
    let who = std::env::var("USER").unwrap_or_else(|_| "demo".to_owned());
    walnuthatch_console::run(&folder.join("control.sock"), &who)?;
    drop(controller);
    Ok(None)
}

/// Writes the appliance's file and starts the program's own executable with it.
fn start(folder: &Path, made: bool, exchanges: &[Exchange]) -> Result<(Controller, SocketAddr), DemoError> {
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
    std::fs::write(&file, text).map_err(io(appliance_file::FILE))?;
    let program = std::env::current_exe().map_err(io("the program's own path"))?;
    let mut child = Command::new(program)
        .args(["serve", "--log-format", "plain", "--appliance"])
        .arg(&file)
        // What the platform would tell is not for a demonstration.
        .env_remove("ROUTER_CONFIG")
        .env_remove("ROUTER_LISTEN")
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(io("the controller"))?;
    let (said, lines) = channel();
    if let Some(err) = child.stderr.take() {
        // Read to its end, so that the log never stands still.
        std::thread::spawn(move || {
            BufReader::new(err).lines().map_while(Result::ok).for_each(|l| drop(said.send(l)));
        });
    }
    let controller = Controller { child, folder: folder.to_owned(), made };
    let (end, mut all, mut callers) = (Instant::now() + START, String::new(), None);
    loop {
        match lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
            Ok(line) => {
                let address = line.strip_prefix("walnuthatch: callers at ").and_then(|a| a.parse().ok());
                callers = callers.or(address);
                if let (true, Some(at)) = (line.contains("control socket at"), callers) {
                    wait_ready(&folder.join("control.sock"));
                    return Ok((controller, at));
                }
                all += &line;
                all.push('\n');
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                return Err(DemoError::NotUp(all))
            }
        }
    }
}

/// Waits until each exchange was heard of, or a little while.
fn wait_ready(socket: &Path) {
    use walnuthatch_control::frames::{Body, Topic};
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let ask = Operation::Show { topic: Topic::Status, search: String::new() };
        let got = Connection::open(socket, "demo").and_then(|mut c| c.request("ready", ask));
        if matches!(got, Ok(Body::Status(s)) if s.state == "serving") {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
