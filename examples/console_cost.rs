//! Measures the cost of connected consoles: CPU time per call and answer times of the controller under a constant load,
//! with zero, one and eight clients that watch all topics, one of the eight not reading at all. `--program` selects the
//! executable, so that an earlier build can be measured in the same way; use `--plain --consoles 0` for one without a
//! control socket.
//!
//! `cargo run --release --example console_cost -- --seconds 15`

use clap::Parser;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::{Operation, TOPICS};
use walnuthatch_standin::{Callers, Exchange, ExchangeConfig, Load};

#[derive(Parser)]
struct Args {
    /// Path of the controller executable
    #[arg(long, default_value = "target/release/walnuthatch")]
    program: PathBuf,
    /// Label of the rows in the output
    #[arg(long, default_value = "this build")]
    label: String,
    /// Call rates (calls per second)
    #[arg(long, value_delimiter = ',', default_value = "100,600")]
    rates: Vec<f64>,
    /// Numbers of consoles; with eight or more, one of them does not read
    #[arg(long, value_delimiter = ',', default_value = "0,1,8")]
    consoles: Vec<usize>,
    /// Duration of each measurement
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Start the program without a control socket
    #[arg(long)]
    plain: bool,
}

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let args = Args::parse();
    println!(
        "| build | calls/s | consoles | µs CPU a call | CPU | p50 ms | p99 ms | p99.9 ms | not in aim | MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for &rate in &args.rates {
        for &consoles in &args.consoles {
            run(&args, rate, consoles)?;
        }
    }
    Ok(())
}

/// Kills the child process on drop.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Returns the CPU time of all threads of a process (ns).
fn cpu_time(pid: u32) -> Result<u64, Failure> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().unwrap_or_default().parse::<u64>()?;
    }
    Ok(sum)
}

/// Returns the resident memory of a process (MB).
fn memory_mb(pid: u32) -> Result<f64, Failure> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).ok_or("VmRSS not found")?;
    Ok(line.split_whitespace().nth(1).ok_or("VmRSS has no value")?.parse::<f64>()? / 1024.0)
}

/// Starts the controller and returns it with the address that accepts callers.
fn start(args: &Args, folder: &Path, exchanges: &[Exchange]) -> Result<(ChildGuard, SocketAddr), Failure> {
    let member = |(n, e): (usize, &Exchange)| json!({"id": format!("s-{n}"), "host_port": e.address().to_string(), "cell": n + 1, "phase": "up"});
    let members: Vec<_> = exchanges.iter().enumerate().map(member).collect();
    let settings = json!({
        "classes": [{"name": "status-report", "aim": 1200.0, "giveUp": 9000.0, "effect": "retryable"}],
        "extra": {"ownExchange": 0, "release": 500.0, "shape": "meshed"},
        "limits": {"tryLimit": 4, "mayCancel": true, "maxRetryAfter": 2000.0, "connectTimeout": 500.0},
        "rules": {"stopSendingWithin": 250.0, "cold": 15000.0, "coldFrom": 0.35, "fall": 2000.0,
                  "overloadFactor": 2.5},
        "tick": 5.0
    });
    let config = json!({
        "name": "cost", "listen": "127.0.0.1:0", "seed": "1", "limits": {"sockets": 1024}, "settings": settings,
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": true, "members": members}}]}
    });
    std::fs::create_dir_all(folder)?;
    let (config_file, appliance) = (folder.join("config.json"), folder.join("appliance.toml"));
    std::fs::write(&config_file, config.to_string())?;
    std::fs::write(&appliance, format!("enabled = true\n[control]\nsocket = {:?}\n", folder.join("s")))?;
    let mut command = Command::new(&args.program);
    command.arg("--config").arg(&config_file);
    if !args.plain {
        command.arg("--appliance").arg(&appliance);
    }
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
    let mut lines = BufReader::new(child.stderr.take().ok_or("the controller has no stderr")?).lines();
    let child = ChildGuard(child);
    let mut caller_address = None;
    for line in lines.by_ref().map_while(Result::ok) {
        if let Some(address) = line.strip_prefix("walnuthatch: callers at ") {
            caller_address = Some(address.parse()?);
        }
        if caller_address.is_some() && (args.plain || line.contains("control socket at")) {
            break;
        }
    }
    std::thread::spawn(move || lines.for_each(drop));
    Ok((child, caller_address.ok_or("the controller did not start")?))
}

/// Measures one combination of call rate and number of consoles and prints its row.
fn run(args: &Args, rate: f64, consoles: usize) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("wh-cost-{}", std::process::id()));
    let hold = Duration::from_secs(1);
    let exchange_config =
        |seed| ExchangeConfig { circuits: (rate * 2.0) as u32, delay: Duration::from_millis(5), hold, seed };
    let exchanges =
        (0..4).map(|n| Exchange::start(None, exchange_config(n))).collect::<Result<Vec<_>, _>>()?;
    let (child, caller_address) = start(args, &folder, &exchanges)?;
    std::thread::sleep(Duration::from_millis(1500));
    let mut stalled = Vec::new();
    for n in 0..consoles {
        let mut console = Connection::open(&folder.join("s"), "cost")?;
        let watch = Operation::Watch { topics: TOPICS.to_vec(), every_ms: 500, search: String::new() };
        console.send("w", watch)?;
        if n == 7 {
            stalled.push(console);
        } else {
            std::thread::spawn(move || while console.receive().is_ok() {});
        }
    }
    let load = |seconds| Load {
        rate,
        duration: Duration::from_secs(seconds),
        destinations: vec![1, 2, 3, 4],
        class: "status-report".into(),
        client_timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(1200),
        connections: 8,
        seed: 7,
    };
    Callers::start(caller_address, load(3))?.finish();
    let cpu_before = cpu_time(child.0.id())?;
    let table = Callers::start(caller_address, load(args.seconds))?.finish();
    let cpu_used = cpu_time(child.0.id())? - cpu_before;
    let ms = |q| table.answer_times.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "| {} | {rate} | {consoles}{} | {:.0} | {:.1}% | {:.2} | {:.2} | {:.2} | {} | {:.1} |",
        args.label,
        if stalled.is_empty() { "" } else { ", 1 frozen" },
        cpu_used as f64 / 1000.0 / table.offered as f64,
        cpu_used as f64 / 1e7 / args.seconds as f64,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        table.late + table.refused + table.failed + table.unanswered,
        memory_mb(child.0.id())?,
    );
    drop(child);
    drop(std::fs::remove_dir_all(&folder));
    Ok(())
}
