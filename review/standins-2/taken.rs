//! A bad client uses the id of another caller's open request with a different description. Whatever becomes of that
//! request, the bad client may not be answered "the call stands".

#[path = "common.rs"]
mod common;
use common::*;
use std::sync::atomic::Ordering;
use std::thread::sleep;

const ROUNDS: u64 = 5;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let site = Site::open(&record);
    let exchange = Exchange::start("exchange 1", &record, ms(20_000));
    // The wait at its processor.
    exchange.shared.answer_delay_ms.store(400, Ordering::SeqCst);
    let listen = free_address();
    let file = site.write("config.json", &config(listen, &[member("s-1", exchange.address, 1, "up")]));
    let mut controller = Controller::start(&site, &file, "");
    controller.wait_ready(listen);
    let connect = || Caller::connect(listen, &record).unwrap_or_else(|| could_not_run("no connection"));
    let (mut served, mut owed) = (Vec::new(), 0);
    for n in 0..ROUNDS {
        let call = sid(n);
        let usual = connect();
        usual.open(&call, 1, 3000);
        sleep(ms(100));
        let bad = trouble().then(connect);
        if let Some(bad) = &bad {
            record.line("the next set-up is the bad client's, with the same id and a different description");
            bad.open_with(&call, 1, 2900, "0000 of the bad client");
        }
        sleep(ms(150));
        if usual.ended.load(Ordering::SeqCst)
            || !usual.of(&call).ready.is_empty()
            || !usual.of(&call).closes.is_empty()
        {
            could_not_run("the usual request is not open");
        }
        // The usual caller stops waiting.
        usual.close(&call, 16);
        sleep(ms(2_750));
        if let Some(bad) = &bad {
            let seen = bad.of(&call);
            if !seen.ready.is_empty() {
                served.push(format!(
                    "{call}: the bad client, with the id of an open request, is answered: the call stands"
                ));
                bad.close(&call, 16);
            } else if seen.closes.is_empty() && !bad.ended.load(Ordering::SeqCst) {
                owed += 1;
            }
        }
        sleep(ms(1_000));
    }
    let summary = format!(
        "{ROUNDS} requests; the bad client was answered 'stands' {} times, and not at all {owed} times",
        served.len()
    );
    record.verdict(&served, &summary)
}
