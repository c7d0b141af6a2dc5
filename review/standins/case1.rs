//! Case 1: the direct group to an exchange is full while a gateway has free endpoints. A call for the exchange may be
//! refused, or go through another exchange; it must not be connected to an endpoint of the gateway, which nobody called.

mod common;
use common::*;
use std::time::Duration;

const EXCHANGE: u16 = 1;
const GATEWAY: u16 = 101;
const CIRCUITS: u32 = 10;
const ENDPOINTS: u32 = 6;

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    let exchange = Exchange::start(&record, "exchange-1", CIRCUITS, Duration::from_millis(30));
    let gateway = Gateway::start(&record, "cabinet-1");
    let (listen, agent) = (free_tcp_address(), free_udp_address());
    let members = [member("s-1", exchange.address, EXCHANGE)];
    let seed = format!("\"seed\":\"{:016x}\",", 0x8c1f_30d2_0000_0000_u64 | u64::from(std::process::id()));
    let config = folder.write("config.json", &router_config(listen, &seed, &members, 10_400));
    let mgcp = folder.write("mgcp.toml", &mgcp_file(agent, &gateway, GATEWAY, ENDPOINTS));
    let mut controller =
        Controller::start(&record, &folder, &format!("--mgcp {}", mgcp.display()), Some(&config));
    let result = run(&record, &exchange, &gateway, listen);
    let result = match controller.alive() {
        true => result,
        false => Err("the controller ended".to_owned()),
    };
    drop(folder);
    finish(&record, Some(controller), result)
}

fn run(
    record: &Record,
    exchange: &Exchange,
    gateway: &Gateway,
    listen: std::net::SocketAddr,
) -> Result<Vec<String>, String> {
    let mut caller = Caller::new(record, listen);
    if !caller.wait_until_ready(Duration::from_secs(20)) {
        return Err("the controller did not get ready".to_owned());
    }
    // The controller takes the listed exchange for one in its cold start, of 15 s; calls come when that is over.
    let until = std::time::Instant::now() + Duration::from_millis(15_500);
    while std::time::Instant::now() < until {
        caller.connect();
        std::thread::sleep(Duration::from_millis(100));
    }
    // The disruption: more calls than the group to the exchange has circuits. Without it they all fit.
    let calls = if trouble() { CIRCUITS + 2 } else { CIRCUITS };
    let mut offered = Vec::new();
    for _ in 0..calls {
        let (sid, _) = caller.set_up("status-report", 3000, EXCHANGE);
        let answer = caller.wait_for_answer(&sid, Duration::from_secs(4));
        offered.push((sid, answer));
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_millis(300));
    record.add(&format!("{} calls stand at the exchange", exchange.standing()));
    if exchange.standing() < CIRCUITS as usize {
        return Err("the exchange did not get the first calls".to_owned());
    }
    let mut violations = Vec::new();
    let state = gateway.state.lock().unwrap();
    for (_, endpoint, connection) in &state.created {
        violations.push(format!(
            "{endpoint} of the gateway (exchange {GATEWAY}) was set up for a call to exchange {EXCHANGE}; all calls \
             were for exchange {EXCHANGE}; connection {}",
            connection.id
        ));
    }
    for (sid, answer) in &offered {
        let Some(answer) = answer else {
            violations.push(format!("call {sid} got no final answer"));
            continue;
        };
        let text = field(answer, "text").unwrap_or_default();
        if state.created.iter().any(|c| c.2.local == text) {
            violations.push(format!("the caller of {sid} was connected to an endpoint that it did not call"));
        }
    }
    Ok(violations)
}
