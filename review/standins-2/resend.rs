//! Set-ups that cross the end of a resting connection: the caller's side of the connection ends at once, the
//! controller's side 40 ms later, and the caller sends the set-up again on a new connection, once.

#[path = "common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const SET_UPS: u64 = 10;
/// How much later the end of a connection reaches the controller. A set-up may cross a close by 50 ms.
const END_DELAY: Duration = Duration::from_millis(40);

/// A proxy before the controller. It passes on everything, until a connection is to end at the next set-up.
struct Proxy {
    address: SocketAddr,
    /// The next set-up crosses the end of its connection.
    end_at_set_up: Arc<AtomicBool>,
}

impl Proxy {
    fn start(to: SocketAddr, record: &Record) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let end_at_set_up = Arc::new(AtomicBool::new(false));
        let (record, end) = (record.clone(), end_at_set_up.clone());
        std::thread::spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                let Ok(controller) = TcpStream::connect(to) else { continue };
                for stream in [&caller, &controller] {
                    drop(stream.set_nodelay(true));
                }
                let (caller_copy, controller_copy) =
                    (caller.try_clone().unwrap(), controller.try_clone().unwrap());
                std::thread::spawn(move || copy_back(controller_copy, caller_copy));
                let (record, end) = (record.clone(), end.clone());
                std::thread::spawn(move || copy_forward(caller, controller, &record, &end));
            }
        });
        Proxy { address, end_at_set_up }
    }
}

fn copy_back(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16384];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..n]).is_err() {
            // The caller's side has ended: what the controller still sends is lost.
            continue;
        }
    }
    drop(to.shutdown(Shutdown::Both));
}

fn copy_forward(mut from: TcpStream, mut to: TcpStream, record: &Record, end: &AtomicBool) {
    let mut buffer = [0; 16384];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        let is_set_up = String::from_utf8_lossy(&buffer[..n]).contains("\"msg\":\"open\"");
        let ends = is_set_up && end.swap(false, Ordering::SeqCst);
        if ends {
            record.line("path: the connection ends at the caller; the set-up that crosses the end goes on");
            drop(from.shutdown(Shutdown::Both));
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
        if ends {
            sleep(END_DELAY);
            record.line("path: the end of the connection reaches the controller");
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let site = Site::open(&record);
    let exchange = Exchange::start("exchange 1", &record, ms(30_000));
    // From a set-up to its answer: two ways of 4 to 7.9 ms.
    exchange.shared.answer_delay_ms.store(12, Ordering::SeqCst);
    let listen = free_address();
    let file = site.write("config.json", &config(listen, &[member("s-1", exchange.address, 1, "up")]));
    let mut controller = Controller::start(&site, &file, "");
    controller.wait_ready(listen);
    let proxy = Proxy::start(listen, &record);
    let seen = Arc::default();
    let connect = || {
        Caller::connect_with(proxy.address, &record, Arc::clone(&seen))
            .unwrap_or_else(|| could_not_run("no connection"))
    };
    let answered = |caller: &Caller, sid: &str| caller.of(sid).ready.len() + caller.of(sid).closes.len();
    let (mut broken, mut again) = (Vec::new(), 0);
    for n in 0..SET_UPS {
        // A call over a connection, which then rests.
        let (first, call) = (sid(2 * n), sid(2 * n + 1));
        let resting = connect();
        resting.open(&first, 1, 3000);
        if !wait_until(ms(2_000), || resting.of(&first).ready.len() == 1) {
            could_not_run("a first call does not stand");
        }
        sleep(ms(1_000));
        proxy.end_at_set_up.store(trouble(), Ordering::SeqCst);
        resting.open(&call, 1, 3000);
        wait_until(ms(50), || resting.ended.load(Ordering::SeqCst));
        let crossed = resting.ended.load(Ordering::SeqCst) && answered(&resting, &call) == 0;
        let new = crossed.then(connect);
        if let Some(new) = &new {
            again += 1;
            new.open(&call, 1, 2990);
        }
        if !wait_until(ms(3_100), || answered(&resting, &call) > 0) {
            let end = if new.is_some_and(|c| c.ended.load(Ordering::SeqCst)) {
                ", its new connection has ended"
            } else {
                ""
            };
            broken.push(format!("{call}: no answer in its time{end}; sent again: {crossed}"));
        }
    }
    for sid in (0..SET_UPS).map(|n| sid(2 * n + 1)) {
        let got = seen.lock().unwrap().get(&sid).map_or(0, |s: &Seen| s.ready.len());
        if got > 1 {
            broken.push(format!("{sid}: answered {got} times"));
        }
    }
    let summary = format!(
        "{SET_UPS} set-ups, {again} of them sent again on a new connection, {} without an answer",
        broken.len()
    );
    record.verdict(&broken, &summary)
}
