//! Case 2: a controller of a small site is killed and comes back. Its first commands to a gateway carry transaction
//! identifiers of the previous run, so that the gateway repeats old responses and executes nothing; the controller
//! takes them for the answers to new calls.

mod common;
use common::*;
use std::time::Duration;

const GATEWAY: u16 = 101;
const ENDPOINTS: u32 = 6;
/// Calls before the restart.
const CALLS_BEFORE: u32 = 150;
/// Calls after it.
const CALLS_AFTER: u32 = 20;
/// The pages: controllers "come back after 1.7 to 7.8 s".
const DOWN: Duration = Duration::from_millis(2_500);

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    let gateway = Gateway::start(&record, "cabinet-1");
    let (listen, agent) = (free_tcp_address(), free_udp_address());
    let appliance = format!(
        "enabled = true\n[site]\nname = \"medina\"\nlisten = \"{listen}\"\nown_exchange = 0\nrelease_ms = 500\n\
         drain_grace_ms = 250\ntry_limit = 4\nlongest_pause_ms = 2000\n\
         [[class]]\nname = \"status-report\"\naim_ms = 1200\ngive_up_ms = 9000\n"
    );
    let appliance = folder.write("appliance.toml", &appliance);
    let mgcp = folder.write("mgcp.toml", &mgcp_file(agent, &gateway, GATEWAY, ENDPOINTS));
    let arguments = format!("--appliance {} --mgcp {}", appliance.display(), mgcp.display());
    let mut controller = Controller::start(&record, &folder, &arguments, None);
    let mut caller = Caller::new(&record, listen);
    let result = run(&record, &folder, &arguments, &mut controller, &mut caller, &gateway);
    let result = match controller.alive() {
        true => result,
        false => Err("the controller ended".to_owned()),
    };
    drop(folder);
    finish(&record, Some(controller), result)
}

/// One call: set up, answered, released. Returns its sid, its description and the answer.
fn call(caller: &mut Caller) -> (String, String, Option<String>) {
    let (sid, text) = caller.set_up("status-report", 3000, GATEWAY);
    let answer = caller.wait_for_answer(&sid, Duration::from_secs(4));
    if answer.as_deref().is_some_and(|a| a.contains("\"msg\":\"ready\"")) {
        caller.release(&sid);
    }
    std::thread::sleep(Duration::from_millis(30));
    (sid, text, answer)
}

fn run(
    record: &Record,
    folder: &Folder,
    arguments: &str,
    controller: &mut Controller,
    caller: &mut Caller,
    gateway: &Gateway,
) -> Result<Vec<String>, String> {
    if !caller.wait_until_ready(Duration::from_secs(20)) {
        return Err("the controller did not get ready".to_owned());
    }
    let before: Vec<_> = (0..CALLS_BEFORE).map(|_| call(caller)).collect();
    if trouble() {
        controller.kill();
        std::thread::sleep(DOWN);
        *controller = Controller::start(record, folder, arguments, None);
        if !caller.wait_until_ready(Duration::from_secs(20)) {
            return Err("the controller did not come back".to_owned());
        }
    }
    let after: Vec<_> = (0..CALLS_AFTER).map(|_| call(caller)).collect();
    std::thread::sleep(Duration::from_millis(500));
    let state = gateway.state.lock().unwrap();
    record.add(&format!("{} commands were answered from the gateway's history", state.repeated.len()));
    let (mut violations, mut served) = (Vec::new(), 0);
    for (phase, calls) in [("before", &before), ("after", &after)] {
        for (sid, text, answer) in calls {
            let Some(answer) = answer else {
                violations.push(format!("call {sid} got no final answer"));
                continue;
            };
            if !answer.contains("\"msg\":\"ready\"") {
                continue;
            }
            served += 1;
            // The description that the gateway gave for this call, known by the caller's own one.
            let made = state.created.iter().find(|c| c.2.remote == *text).map(|c| c.2.local.clone());
            let got = field(answer, "text");
            if made.is_none() || made != got {
                let got = got.map_or("no description".to_owned(), |t| {
                    let owner = state.created.iter().find(|c| c.2.local == t);
                    let of = owner.and_then(|c| c.2.remote.split_whitespace().nth(2)).unwrap_or("nobody");
                    format!("the description that the gateway gave for the call of {of}")
                });
                violations.push(format!(
                    "call {sid} ({phase} the restart) was answered 'stands' with {got}; for this call the gateway {}",
                    if made.is_none() { "was never set up" } else { "gave another one" }
                ));
            }
        }
    }
    if served < CALLS_BEFORE as usize / 2 {
        return Err(format!("only {served} calls were established"));
    }
    Ok(violations)
}
