//! A planned restart while a call stands whose caller has closed the connection of its set-up: the release of that call
//! by its exchange, in the time that the stopping controller still runs, has to reach the caller.

#[path = "common.rs"]
mod common;
use common::*;
use std::thread::sleep;
use std::time::Instant;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let site = Site::open(&record);
    let long = Exchange::start("exchange 1", &record, ms(10_000));
    let short = Exchange::start("exchange 2", &record, ms(400));
    let listen = free_address();
    let members = [member("s-1", long.address, 1, "up"), member("s-2", short.address, 2, "up")];
    let file = site.write("config.json", &config(listen, &members));
    let mut controller = Controller::start(&site, &file, "");
    controller.wait_ready(listen);
    let connect =
        |seen| Caller::connect_with(listen, &record, seen).unwrap_or_else(|| could_not_run("no connection"));
    let first = connect(Default::default());
    let call = sid(0);
    let start = Instant::now();
    first.open(&call, 1, 3000);
    if !wait_until(ms(2000), || first.of(&call).ready.len() == 1) {
        could_not_run("the call does not stand");
    }
    // The caller's other calls go over a second connection; each of them ends soon.
    let second = connect(first.seen.clone());
    let mut n = 0;
    let mut calls_until = |end: u64, caller: &Caller| {
        while start.elapsed() < ms(end) {
            n += 1;
            caller.open(&sid(n), 2, 3000);
            sleep(ms(1000));
        }
    };
    calls_until(5_000, &second);
    // No set-up has been on the first connection for more than 4 s.
    first.disconnect();
    calls_until(7_500, &second);
    if trouble() {
        controller.signal("TERM");
        // The longest deadline is taken as 3 s; SIGKILL comes 0.7 s after that.
        let ended = controller.wait_exit(ms(3_700));
        if !ended {
            controller.signal("KILL");
            controller.wait_exit(ms(5_000));
        }
        sleep(ms(300));
        controller = Controller::start(&site, &file, "");
        controller.wait_ready(listen);
        let third = connect(first.seen.clone());
        calls_until(24_000, &third);
    } else {
        calls_until(24_000, &second);
    }
    let ended = long.shared.state.lock().unwrap().ended.get(&call).copied();
    let Some((at, _)) = ended else { could_not_run("the call does not come to its end") };
    let closes = first.of(&call).closes;
    let broken = match closes.iter().any(|c| c.0 <= at + 8_050) {
        true => Vec::new(),
        false => vec![format!(
            "{call} came to its end at its exchange at {at} ms, and its caller is not told within 8 s"
        )],
    };
    let answered = first.seen.lock().unwrap().values().filter(|s| !s.ready.is_empty()).count();
    let summary = format!(
        "{answered} calls stood; the one at exchange 1 ended at {at} ms, its caller was told: {closes:?}"
    );
    record.verdict(&broken, &summary)
}
