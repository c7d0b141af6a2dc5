//! A controller is killed and comes back while a call stands. The call goes on standing, and comes to its end a minute
//! and a half later: its caller has to be told.

#[path = "common.rs"]
mod common;
use common::*;
use std::thread::sleep;
use std::time::Instant;

/// How long the calls stand.
const LONG_MS: u64 = 100_000;
const SHORT_MS: u64 = 20_000;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let site = Site::open(&record);
    let exchanges = [
        Exchange::start("exchange 1", &record, ms(LONG_MS)),
        Exchange::start("exchange 2", &record, ms(SHORT_MS)),
        Exchange::start("exchange 3", &record, ms(500)),
    ];
    let members: Vec<String> =
        exchanges.iter().zip(1..).map(|(e, n)| member(&format!("s-{n}"), e.address, n, "up")).collect();
    let listen = free_address();
    let file = site.write("config.json", &config(listen, &members));
    // A second controller, so that the one that is killed is half of them.
    let other_exchange = Exchange::start("exchange 4", &record, ms(500));
    let other_listen = free_address();
    let other_file =
        site.write("other.json", &config(other_listen, &[member("s-4", other_exchange.address, 4, "up")]));
    let mut other = Controller::start(&site, &other_file, "");
    other.wait_ready(other_listen);
    let mut controller = Controller::start(&site, &file, "");
    controller.wait_ready(listen);
    let start = Instant::now();
    let connect =
        |seen| Caller::connect_with(listen, &record, seen).unwrap_or_else(|| could_not_run("no connection"));
    let mut caller = connect(Default::default());
    let (long, short) = (sid(1), sid(2));
    caller.open(&long, 1, 3000);
    caller.open(&short, 2, 3000);
    if !wait_until(ms(2000), || [&long, &short].iter().all(|s| caller.of(s).ready.len() == 1)) {
        could_not_run("the calls do not stand");
    }
    sleep(ms(1000));
    if trouble() {
        controller.signal("KILL");
        controller.wait_exit(ms(5_000));
        sleep(ms(2_000));
        controller = Controller::start(&site, &file, "");
        controller.wait_ready(listen);
        caller = connect(caller.seen.clone());
    }
    // The caller goes on to call, so that its connection stays in use.
    let mut n = 100;
    while start.elapsed() < ms(LONG_MS + 8_500) {
        n += 1;
        caller.open(&sid(n), 3, 3000);
        sleep(ms(1000));
    }
    let mut broken = Vec::new();
    let mut ends = Vec::new();
    for (sid, exchange) in [(&long, &exchanges[0]), (&short, &exchanges[1])] {
        let ended = exchange.shared.state.lock().unwrap().ended.get(sid).copied();
        let Some((at, _)) = ended else { could_not_run("a call does not come to its end") };
        let closes = caller.of(sid).closes;
        if !closes.iter().any(|c| c.0 <= at + 8_050) {
            broken.push(format!(
                "{sid} came to its end at its exchange at {at} ms, and its caller is not told within 8 s"
            ));
        }
        ends.push(format!("{sid} ended at {at} ms, its caller was told {closes:?}"));
    }
    record.verdict(&broken, &ends.join("; "))
}
