//! Case 3: the coordinator is slow to answer, each request after 4.5 s. The controller gives every request up after
//! 3.9 s and asks again, so that it never hears of a drain, and goes on sending to the draining exchange.

mod common;
use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// From a request to the head of its response.
const SLOW: Duration = Duration::from_millis(4_500);
const PROMPT: Duration = Duration::from_millis(20);
/// The pages: what the coordinator has to tell counts as told no later than this.
const TOLD: Duration = Duration::from_secs(7);
/// The settings: 250 ms for a drain, and every limit is 50 ms longer on sockets.
const GRACE: Duration = Duration::from_millis(300);
/// When the drain is listed, after the start of the callers.
const DRAIN_AT: Duration = Duration::from_secs(2);
/// How long the case goes on after that.
const WATCH: Duration = Duration::from_secs(12);

fn event(index: u32, complete: bool, members: &[String]) -> String {
    let members = members.join(",");
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"revision\":{index},\"complete\":{complete},\"members\":[{members}]}}}}"
    )
}

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    let exchanges = [
        Exchange::start(&record, "exchange-1", 100, Duration::from_millis(20)),
        Exchange::start(&record, "exchange-2", 100, Duration::from_millis(20)),
    ];
    let members = [member("s-1", exchanges[0].address, 1), member("s-2", exchanges[1].address, 2)];
    let delay = if trouble() { SLOW } else { PROMPT };
    let coordinator = Coordinator::start(&record, event(1, true, &members), delay);
    let listen = free_tcp_address();
    let extra = format!(
        "\"seed\":\"{:016x}\",\"coordinator\":\"{}\",",
        0x8c1f_30d2_0000_0000_u64 | u64::from(std::process::id()),
        coordinator.address
    );
    let config = folder.write("config.json", &router_config(listen, &extra, &members, 10_400));
    let mut controller = Controller::start(&record, &folder, "", Some(&config));
    // Another client of the coordinator, which waits for its answer: what it hears, the controller could have heard.
    let (address, r) = (coordinator.address, record.clone());
    std::thread::spawn(move || follow(address, &r));
    let result = run(&record, &exchanges, &coordinator, listen);
    let result = match controller.alive() {
        true => result,
        false => Err("the controller ended".to_owned()),
    };
    drop(folder);
    finish(&record, Some(controller), result)
}

fn follow(address: SocketAddr, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.write_all(b"GET /v2/stream HTTP/1.1\r\nHost: x\r\nLast-Event-ID: 1\r\n\r\n");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.starts_with("id:") {
            record.add(&format!("another client of the coordinator heard: {line}"));
        }
    }
}

fn run(
    record: &Record,
    exchanges: &[Exchange; 2],
    coordinator: &Coordinator,
    listen: SocketAddr,
) -> Result<Vec<String>, String> {
    let mut caller = Caller::new(record, listen);
    if !caller.wait_until_ready(Duration::from_secs(20)) {
        return Err("the controller did not get ready".to_owned());
    }
    let began = Instant::now();
    let mut drained: Option<Instant> = None;
    while drained.is_none_or(|d| d.elapsed() < WATCH) {
        if drained.is_none() && began.elapsed() >= DRAIN_AT {
            let draining = member("s-1", exchanges[0].address, 1).replace("\"up\"", "\"draining\"");
            drained = Some(coordinator.add(record, event(2, false, &[draining])));
        }
        for destination in [1, 2] {
            let (sid, _) = caller.set_up("status-report", 3000, destination);
            let answer = caller.wait_for_answer(&sid, Duration::from_secs(4)).unwrap_or_default();
            if answer.contains("\"msg\":\"ready\"") {
                caller.release(&sid);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    let listed = drained.ok_or("no drain")?;
    let set_ups = exchanges[0].state.lock().unwrap().set_ups.clone();
    if !set_ups.iter().any(|s| s.0 < listed) || exchanges[1].state.lock().unwrap().set_ups.is_empty() {
        return Err("the exchanges got no calls before the drain".to_owned());
    }
    let late = set_ups.iter().filter(|s| s.0 > listed + TOLD + GRACE);
    Ok(late
        .map(|(at, sid)| {
            format!(
                "set-up {sid} reached the draining exchange {:.2} s after the coordinator had its drain, 7.3 s allowed",
                (*at - listed).as_secs_f64()
            )
        })
        .collect())
}
