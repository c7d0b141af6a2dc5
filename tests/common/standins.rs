//! The program with stand-in exchanges that serve calls by themselves.
#![allow(dead_code)]

use super::json_lines::{list_update, member};
use super::{config, temp_file, Program};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use walnuthatch_standin::{Exchange, ExchangeConfig};

/// Starts the program with exchanges that answer each set-up after 1 ms and hold its call for 100 ms. Returns the program,
/// its address for callers and the exchanges, numbered from 1.
pub fn start_with_exchanges(count: u16) -> (Program, SocketAddr, Vec<Exchange>) {
    let (delay, hold) = (Duration::from_millis(1), Duration::from_millis(100));
    let exchange_config = ExchangeConfig { circuits: 2_000, delay, hold, seed: 7 };
    let exchanges: Vec<Exchange> =
        (0..count).map(|_| Exchange::start(None, exchange_config).unwrap()).collect();
    let members: Vec<Value> =
        (1..).zip(&exchanges).map(|(n, e)| member(&format!("s-{n}"), e.address(), n, "up")).collect();
    let limits = json!({"sockets": 1024, "memory_mb": 192});
    let known = json!({"index": 3, "updates": [list_update(3, true, &members)]});
    let config = config(json!({"known": known, "limits": limits}));
    let program = Program::start(&[("--config", &temp_file("config.json", &config.to_string()))], &[]);
    let callers = program.listen_address("callers");
    (program, callers, exchanges)
}
