//! Case 3: calls to a gateway stand while the controller is restarted as planned. The new run deletes their connections
//! at the gateway, so that the calls are over, and never releases them towards their callers.

mod common;
use common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const GATEWAY: u16 = 101;
const ENDPOINTS: u32 = 6;
const CALLS: usize = 4;
/// The pages: within 8 s of the end, and every limit is 50 ms longer on sockets.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);
/// SIGKILL comes at the earliest after the longest deadline, taken as 3 s, and 0.7 s more; this platform waits longer.
const KILL_AFTER: Duration = Duration::from_secs(12);

fn config(folder: &Folder, listen: SocketAddr, run: u32) -> PathBuf {
    // A new seed with each start.
    let seed = 0x8c1f_30d2_7a5b_e964_u64.rotate_left(7 * run) ^ u64::from(std::process::id());
    let text = router_config(listen, &format!("\"seed\":\"{seed:016x}\","), &[], 10_400);
    folder.write("config.json", &text)
}

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    let gateway = Gateway::start(&record, "cabinet-1");
    let (listen, agent) = (free_tcp_address(), free_udp_address());
    let mgcp = folder.write("mgcp.toml", &mgcp_file(agent, &gateway, GATEWAY, ENDPOINTS));
    let arguments = format!("--mgcp {}", mgcp.display());
    let first = config(&folder, listen, 0);
    let mut controller = Controller::start(&record, &folder, &arguments, Some(&first));
    let mut caller = Caller::new(&record, listen);
    let result = run(&record, &folder, &arguments, &mut controller, &mut caller, &gateway, listen);
    let result = match controller.alive() {
        true => result,
        false => Err("the controller ended".to_owned()),
    };
    drop(folder);
    finish(&record, Some(controller), result)
}

fn run(
    record: &Record,
    folder: &Folder,
    arguments: &str,
    controller: &mut Controller,
    caller: &mut Caller,
    gateway: &Gateway,
    listen: SocketAddr,
) -> Result<Vec<String>, String> {
    if !caller.wait_until_ready(Duration::from_secs(20)) {
        return Err("the controller did not get ready".to_owned());
    }
    let mut calls = Vec::new();
    for _ in 0..CALLS {
        let (sid, text) = caller.set_up("status-report", 3000, GATEWAY);
        let answer = caller.wait_for_answer(&sid, Duration::from_secs(4)).unwrap_or_default();
        if !answer.contains("\"msg\":\"ready\"") {
            return Err(format!("call {sid} was not established"));
        }
        calls.push((sid, text));
    }
    let began = Instant::now();
    if trouble() {
        controller.signal("TERM");
        if !controller.wait_for_exit(KILL_AFTER) {
            controller.kill();
        }
        std::thread::sleep(Duration::from_millis(200));
        *controller = Controller::start(record, folder, arguments, Some(&config(folder, listen, 1)));
        if !caller.wait_until_ready(Duration::from_secs(20)) {
            return Err("the controller did not come back".to_owned());
        }
    } else {
        // The called devices end the calls.
        let endpoints: Vec<String> =
            gateway.state.lock().unwrap().created.iter().map(|c| c.1.clone()).collect();
        for endpoint in endpoints {
            gateway.command("NTFY", &endpoint, "X: 0\r\nO: L/hu\r\n");
        }
    }
    // The caller's side stays connected all the time, by the front's tests, and confirms each release.
    let until = Instant::now() + RELEASE_LIMIT + Duration::from_secs(1);
    while Instant::now() < until {
        caller.wait_until_ready(Duration::from_millis(200));
        for (sid, _) in &calls {
            if caller.messages(sid).len() > 1 {
                caller.confirm(sid);
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let state = gateway.state.lock().unwrap();
    let mut violations = Vec::new();
    for (sid, text) in &calls {
        let Some((ended, endpoint, _)) = state.deleted.iter().find(|d| d.2.remote == *text) else {
            // The call still stands at the gateway.
            continue;
        };
        let released = caller.messages(sid).get(1).map(|m| m.0);
        record.add(&format!(
            "call {sid} ended at {endpoint} {:.1} s after the restart began, its caller was told {}",
            (*ended - began).as_secs_f64(),
            released.map_or("never".to_owned(), |t| format!("{:.1} s after", (t - began).as_secs_f64()))
        ));
        if released.is_none_or(|t| t > *ended + RELEASE_LIMIT) {
            violations.push(format!(
                "call {sid} was ended by the controller at {endpoint}, and was not released towards its caller in 8 s"
            ));
        }
    }
    if !trouble() && state.deleted.len() < CALLS {
        return Err("the calls did not end".to_owned());
    }
    Ok(violations)
}
