//! The console and the exporter, on the program as a process: with a stand-in collector of its own.

mod common;

use common::{config, temp_file, wait_until, Program, TEST_TIMEOUT};
use opentelemetry_proto::tonic::collector::metrics::v1::{
    ExportMetricsPartialSuccess, ExportMetricsServiceRequest, ExportMetricsServiceResponse,
};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn start(telemetry: Option<SocketAddr>, flags: &[&str]) -> Program {
    let config = temp_file("config.json", &config(json!({})).to_string());
    let text = telemetry.map_or("enabled = false\n".to_owned(), |at| {
        format!("enabled = true\nendpoint = \"http://{at}\"\ninterval_ms = 100\nspans = true\n")
    });
    Program::start(&[("--config", &config), ("--telemetry", &temp_file("telemetry.toml", &text))], flags)
}

/// A call to nowhere: it is refused, and the answer shows that calls are served.
fn call(callers: SocketAddr, n: u32) {
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let attrs = json!({"class": "status-report", "left": "3000", "extras": "dest:5;width:1"});
    writeln!(stream, "{}", json!({"msg": "open", "sid": format!("{n:016x}"), "attrs": attrs})).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    assert!(line.contains("\"close\""), "{line}");
}

/// Takes one export: its path and body.
fn take(collector: &TcpListener) -> (TcpStream, String, Vec<u8>) {
    let stream = collector.accept().unwrap().0;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let path = line.split(' ').nth(1).unwrap().to_owned();
    let mut length = 0;
    while line.trim() != "" {
        line.clear();
        reader.read_line(&mut line).unwrap();
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
            length = n.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (stream, path, body)
}

fn answer(mut stream: TcpStream, status: &str, body: &[u8]) {
    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).unwrap();
    stream.write_all(body).unwrap();
}

#[test]
fn the_console_answers_each_command_and_quits() {
    let mut p = start(None, &["--console"]);
    let callers = p.listen_address("callers");
    call(callers, 1);
    let mut input = p.child.stdin.take().unwrap();
    let mut output = BufReader::new(p.child.stdout.take().unwrap());
    let mut ask = |command: &str, want: &str| {
        writeln!(input, "{command}").unwrap();
        let mut line = String::new();
        while !line.contains(want) {
            line.clear();
            assert!(output.read_line(&mut line).unwrap() > 0, "{command}: no {want}");
        }
    };
    ask("help", "quit");
    ask("status", "state serving");
    ask("status", "calls.open 0");
    ask("counters", "calls.refused");
    ask("config", "gateways off");
    ask("bogus", "no command");
    ask("drain", "fail from now on");
    ask("status", "state draining");
    ask("drain off", "pass again");
    ask("quit", "stopping");
    assert!(p.wait_for_exit().success());
}

#[test]
fn a_closed_standard_input_harms_nothing() {
    let mut p = start(None, &["--console"]);
    drop(p.child.stdin.take());
    let callers = p.listen_address("callers");
    call(callers, 1);
    p.signal("USR1");
    assert!(p.wait_for_log("calls.offered=1").contains("calls.refused=1"));
    p.signal("TERM");
    assert!(p.wait_for_exit().success());
}

#[test]
fn exports_wait_as_they_are_told_and_rejected_items_are_not_sent_again() {
    let collector = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut p = start(Some(collector.local_addr().unwrap()), &[]);
    let callers = p.listen_address("callers");
    call(callers, 1);
    // Turned away twice, each time with a second to wait.
    let mut last = None::<Instant>;
    for status in ["503 Busy\r\nRetry-After: 1", "429 Too Many\r\nRetry-After: 1"] {
        let (stream, path, _) = take(&collector);
        assert_eq!(path, "/v1/metrics");
        assert!(last.is_none_or(|t| t.elapsed() >= Duration::from_secs(1)));
        last = Some(Instant::now());
        answer(stream, status, b"");
    }
    let (stream, _, body) = take(&collector);
    assert!(last.is_some_and(|t| t.elapsed() >= Duration::from_secs(1)));
    let read = ExportMetricsServiceRequest::decode(&body[..]).unwrap();
    let metrics = &read.resource_metrics[0].scope_metrics[0].metrics;
    assert!(metrics.iter().any(|m| m.name == "walnuthatch.calls.refused"));
    let partial = ExportMetricsPartialSuccess { rejected_data_points: 2, ..Default::default() };
    answer(
        stream,
        "200 OK",
        &ExportMetricsServiceResponse { partial_success: Some(partial) }.encode_to_vec(),
    );
    // The call's span comes too.
    wait_until("the span of the call", || {
        let (stream, path, body) = take(&collector);
        answer(stream, "200 OK", b"");
        let spans = || ExportTraceServiceRequest::decode(&body[..]).unwrap();
        (path == "/v1/traces" && spans().resource_spans[0].scope_spans[0].spans.len() == 1).then_some(())
    });
    p.signal("TERM");
    assert!(p.wait_for_exit().success());
    let counters = p.wait_for_log("t: ");
    assert!(counters.contains("otlp.rejected=2") && counters.contains("otlp.again=2"), "{counters}");
}

#[test]
fn a_collector_that_is_dead_or_silent_never_touches_calls() {
    // One that accepts and says nothing, and one that is not there.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for at in [silent.local_addr().unwrap(), gone] {
        let mut p = start(Some(at), &[]);
        let callers = p.listen_address("callers");
        for n in 1..40 {
            call(callers, n);
        }
        std::thread::sleep(Duration::from_millis(300));
        call(callers, 40);
        p.signal("TERM");
        assert!(p.wait_for_exit().success());
        assert!(p.wait_for_log("t: ").contains("calls.refused=40"));
    }
}

#[test]
fn the_programs_own_deploy_files_are_good_and_leave_everything_off() {
    let config = temp_file("config.json", &config(json!({})).to_string());
    let mut p = Program::start(&[("--config", &config)], &["--check"]);
    assert!(p.wait_for_exit().success());
    for name in ["mgcp", "telemetry", "appliance", "gossip"] {
        let text = std::fs::read_to_string(format!("deploy/{name}.toml")).unwrap();
        assert!(text.lines().any(|l| l == "enabled = false"));
    }
}
