//! The console and the telemetry exporter of the program as a process, with a stand-in collector.

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
    let text = telemetry.map_or("enabled = false\n".to_owned(), |collector| {
        format!("enabled = true\nendpoint = \"http://{collector}\"\ninterval_ms = 100\nspans = true\n")
    });
    Program::start(&[("--config", &config), ("--telemetry", &temp_file("telemetry.toml", &text))], flags)
}

/// Sends a call to an unknown exchange and waits for the refusal, which shows that the program serves calls.
fn send_refused_call(callers: SocketAddr, number: u32) {
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let attrs = json!({"class": "status-report", "left": "3000", "extras": "dest:5;width:1"});
    writeln!(stream, "{}", json!({"msg": "open", "sid": format!("{number:016x}"), "attrs": attrs})).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    assert!(line.contains("\"close\""), "{line}");
}

/// Receives one export request: its connection, path and body.
fn receive_export(collector: &TcpListener) -> (TcpStream, String, Vec<u8>) {
    let stream = collector.accept().unwrap().0;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let path = line.split(' ').nth(1).unwrap().to_owned();
    let mut length = 0;
    while line.trim() != "" {
        line.clear();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (stream, path, body)
}

fn respond(mut stream: TcpStream, status: &str, body: &[u8]) {
    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).unwrap();
    stream.write_all(body).unwrap();
}

/// Every command must get its answer from the running program, an unknown one must be reported, and `quit` must stop
/// the program.
#[test]
fn the_console_answers_each_command_and_quits() {
    let mut program = start(None, &["--console"]);
    let callers = program.listen_address("callers");
    send_refused_call(callers, 1);
    let mut input = program.child.stdin.take().unwrap();
    let mut output = BufReader::new(program.child.stdout.take().unwrap());
    let mut run = |command: &str, expected: &str| {
        writeln!(input, "{command}").unwrap();
        let mut line = String::new();
        while !line.contains(expected) {
            line.clear();
            assert!(output.read_line(&mut line).unwrap() > 0, "{command}: no {expected}");
        }
    };
    run("help", "quit");
    run("status", "state serving");
    run("status", "calls.open 0");
    run("counters", "calls.refused");
    run("config", "gateways off");
    run("bogus", "no command");
    run("drain", "fail from now on");
    run("status", "state draining");
    run("drain off", "pass again");
    run("quit", "stopping");
    assert!(program.wait_for_exit().success());
}

/// A supervisor may close standard input. The console's end must not end the program or its handling of signals.
#[test]
fn a_closed_standard_input_does_not_stop_the_program() {
    let mut program = start(None, &["--console"]);
    drop(program.child.stdin.take());
    let callers = program.listen_address("callers");
    send_refused_call(callers, 1);
    program.signal("USR1");
    assert!(program.wait_for_log("calls.offered=1").contains("calls.refused=1"));
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
}

/// Retries before the time that an overloaded collector asks for would keep it overloaded, and items that it has
/// rejected would be rejected for ever.
#[test]
fn exports_observe_retry_after_and_do_not_resend_rejected_items() {
    let collector = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut program = start(Some(collector.local_addr().unwrap()), &[]);
    let callers = program.listen_address("callers");
    send_refused_call(callers, 1);
    // Refused twice, each time with a second to wait before the retry.
    let mut refused_at = None::<Instant>;
    for status in ["503 Busy\r\nRetry-After: 1", "429 Too Many\r\nRetry-After: 1"] {
        let (stream, path, _) = receive_export(&collector);
        assert_eq!(path, "/v1/metrics");
        assert!(refused_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)));
        refused_at = Some(Instant::now());
        respond(stream, status, b"");
    }
    let (stream, _, body) = receive_export(&collector);
    assert!(refused_at.is_some_and(|at| at.elapsed() >= Duration::from_secs(1)));
    let request = ExportMetricsServiceRequest::decode(&body[..]).unwrap();
    let metrics = &request.resource_metrics[0].scope_metrics[0].metrics;
    assert!(metrics.iter().any(|metric| metric.name == "walnuthatch.calls.refused"));
    let partial = ExportMetricsPartialSuccess { rejected_data_points: 2, ..Default::default() };
    respond(
        stream,
        "200 OK",
        &ExportMetricsServiceResponse { partial_success: Some(partial) }.encode_to_vec(),
    );
    // The call's span is exported too.
    wait_until("the span of the call is exported", || {
        let (stream, path, body) = receive_export(&collector);
        respond(stream, "200 OK", b"");
        let spans = || ExportTraceServiceRequest::decode(&body[..]).unwrap();
        (path == "/v1/traces" && spans().resource_spans[0].scope_spans[0].spans.len() == 1).then_some(())
    });
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    let counters = program.wait_for_log("t: ");
    assert!(counters.contains("otlp.rejected=2") && counters.contains("otlp.again=2"), "{counters}");
}

/// An exporter that blocks on its collector must not block calls or the exit of the program.
#[test]
fn an_unresponsive_or_absent_collector_does_not_affect_calls() {
    // One collector accepts connections and never responds; nobody listens at the address of the other.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let absent = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for collector in [unresponsive.local_addr().unwrap(), absent] {
        let mut program = start(Some(collector), &[]);
        let callers = program.listen_address("callers");
        for n in 1..40 {
            send_refused_call(callers, n);
        }
        std::thread::sleep(Duration::from_millis(300));
        send_refused_call(callers, 40);
        program.signal("TERM");
        assert!(program.wait_for_exit().success());
        assert!(program.wait_for_log("t: ").contains("calls.refused=40"));
    }
}

/// An installation from the files in `deploy` must not open a service that nobody has asked for.
#[test]
fn the_shipped_configuration_is_valid_and_leaves_optional_services_disabled() {
    let config = temp_file("config.json", &config(json!({})).to_string());
    let mut program = Program::start(&[("--config", &config)], &["--check"]);
    assert!(program.wait_for_exit().success());
    for name in ["mgcp", "telemetry", "appliance", "gossip"] {
        let text = std::fs::read_to_string(format!("deploy/{name}.toml")).unwrap();
        assert!(text.lines().any(|l| l == "enabled = false"));
    }
}
