//! Parsing and encoding of hand-built frames, including truncated and malformed ones, and the adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use walnuthatch::protocol::simulator::{self as wire, DefinedLists, Reader, Record, Reply, WireError};
use walnuthatch::routing::interface::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let value = |d: &u8| (*d as char).to_digit(16).unwrap() as u8;
    digits.chunks(2).map(|p| value(&p[0]) * 16 + value(&p[1])).collect()
}

fn parse(bytes: &[u8], names: &[ReportField]) -> Vec<Result<Record, WireError>> {
    let (mut lists, mut reader) = (DefinedLists::default(), Reader::new(bytes));
    std::iter::from_fn(|| reader.next(&mut lists, names)).collect()
}

const NEW_CALL: &str = "03fc 0000004d 0000 40400000 08 0000000000000011 40000000 408f400000000000 01
    4000000000000000 40a00000";
const LIST_UPDATE: &str = "0410 0002 00000001 0007 01 02 0a000001 13c4 3f800000 0000 409f400000000000
    0456 0002 01 00000003";
const ENDED: &str =
    "0406 0000004d 02 0a000001 13c4 08 4024000000000000 00 00000643 03 40a00000 41200000 bf800000";

#[test]
fn a_call_keeps_its_flags_circuits_and_remaining_time() {
    let records = parse(&hex(NEW_CALL), &[]);
    let Ok(Record::Event(Event::Call(c))) = &records[0] else { panic!("{records:?}") };
    assert_eq!((c.call, c.destination, c.circuits, c.class), (CallId(77), ExchangeNumber(3), 2, 1));
    assert_eq!((c.transit, c.redialled, c.cut_before), (true, false, false));
    assert_eq!((c.number, c.remaining_time, c.via), (Some(17), 1_000_000, Some(ExchangeNumber(5))));
}

#[test]
fn a_list_is_parsed_with_its_states_and_start_times() {
    let records = parse(&hex(LIST_UPDATE), &[]);
    let Ok(Record::Event(Event::List(ListUpdate::Complete(l)))) = &records[0] else { panic!("{records:?}") };
    assert_eq!(
        (l[0].exchange, l[0].state, l[0].last_start),
        (ExchangeNumber(7), ListState::Gone, Some(2_000_000))
    );
}

#[test]
fn a_redefined_list_takes_effect_within_the_same_batch() {
    let second = LIST_UPDATE.replace("0007 01 02", "0009 01 00");
    let records = parse(&hex(&format!("{LIST_UPDATE}{second}")), &[]);
    let number = |r: &Result<Record, WireError>| match r {
        Ok(Record::Event(Event::List(ListUpdate::Complete(l)))) => l[0].exchange.0,
        other => panic!("{other:?}"),
    };
    assert_eq!(records.iter().map(number).collect::<Vec<_>>(), [7, 9]);
}

#[test]
fn an_outcome_keeps_the_retry_delay_and_drops_unknown_values() {
    let names = [ReportField::Free, ReportField::Size, ReportField::WaitMs];
    let records = parse(&hex(ENDED), &names);
    let Ok(Record::Event(Event::Ended(o))) = &records[0] else { panic!("{records:?}") };
    assert_eq!((o.ending, o.cause), (Ending::Full, Cause::ProcessorFull(Some(100_000))));
    assert_eq!((o.report.free, o.report.size, o.report.wait), (Some(5.0), Some(10.0), None));
    assert_eq!((o.attempt, o.elapsed, o.call_ended), (AttemptNumber(2), 10_000, false));
}

#[test]
fn every_truncated_frame_is_an_error_and_no_panic() {
    for frame in [NEW_CALL, ENDED, LIST_UPDATE] {
        let bytes = hex(frame);
        // A frame that ends between the two records of LIST_UPDATE is complete.
        for end in (1..bytes.len()).filter(|&end| frame != LIST_UPDATE || end != 32) {
            let last = parse(&bytes[..end], &[]).pop();
            assert!(matches!(last, Some(Err(_))), "truncated at {end}: {last:?}");
        }
    }
}

#[test]
fn errors_name_the_invalid_record_or_field() {
    assert_eq!(parse(&hex("270f"), &[]), [Err(WireError::UnknownCode(9999))]);
    let huge = parse(&hex("0410 0000 ffffffff"), &[]);
    assert_eq!(huge, [Err(WireError::Truncated { code: 1040 })]);
    assert_eq!(parse(&hex("0456 0003 01 00000003"), &[]), [Err(WireError::UndefinedList(3))]);
    let state = LIST_UPDATE.replace("0007 01 02", "0007 01 09");
    assert!(matches!(parse(&hex(&state), &[])[0], Err(WireError::InvalidField { .. })));
}

#[test]
fn actions_are_encoded_as_documented() {
    let mut reply = Reply::default();
    let exchange_id = ExchangeId { addr: [10, 18, 74, 7], port: 9003 };
    let call = CallId(0x5d3a_91c4);
    reply.add_action(3, &Action::SetUp { call, exchange_id, timeout: Some(80_000) });
    reply.add_action(3, &Action::SetTimer { after: 500_000, token: 77 });
    reply.add_action(5, &Action::Refuse { call, retry_after: 0 });
    let expected = "00000037 0000000c 041a 0003 042e 5d3a91c4 4054000000000000 0a124a07 232b
        03fc 407f400000000000 000000000000004d 041a 0005 0442 5d3a91c4 0000000000000000";
    let mut expected = hex(expected);
    expected[3] = (expected.len() - 8) as u8;
    assert_eq!(reply.into_frame(12), expected);
}

#[test]
fn settings_skip_unknown_keys_and_name_invalid_ones() {
    let text =
        "classes.count=1\nclasses.0.aim=1200.0\nclasses.0.giveUp=9000.0\nnew.key=1\nextra.shape=groups\n\
        report.fields=spare,total,avg_ms,novel\nextra.allowedPools=2,4";
    let s = wire::parse_settings(text).unwrap();
    assert_eq!(
        (s.classes[0].latency_objective, s.topology, s.own_exchange),
        (1_200_000, Topology::Pools, None)
    );
    assert_eq!(s.report_fields[2..], [ReportField::WaitMs, ReportField::Unknown]);
    assert_eq!(s.classes[0].allowed_pools, [ExchangeNumber(2), ExchangeNumber(4)]);
    assert_eq!(wire::parse_settings("tick=soon").unwrap_err().key, "tick");
    assert_eq!(wire::parse_settings("classes.count=1").unwrap_err().key, "classes.0.giveUp");
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_walnuthatch-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop before it has read all input.
    drop(child.stdin.take().unwrap().write_all(input));
    child.wait_with_output().unwrap()
}

fn batch(number: u32, records: &[u8]) -> Vec<u8> {
    let mut b = (records.len() as u32).to_be_bytes().to_vec();
    b.extend(5_000f64.to_be_bytes());
    b.extend(number.to_be_bytes());
    b.extend(records);
    b
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_adapter(&batch(1, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, hex("00000000 00000001"));
}

#[test]
fn malformed_input_stops_the_adapter_with_one_error_line() {
    let mut short = batch(1, &[0; 9]);
    short.truncate(20);
    for input in [batch(1, &hex("270f")), short, vec![0xff; 7], hex("ffffffff 40c06e2000000000 00000001 00")]
    {
        let output = run_adapter(&input);
        assert_eq!(output.status.code(), Some(1));
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
    }
}

#[test]
fn invalid_settings_are_reported_in_a_frame_with_their_key() {
    let text = b"tick=soon";
    let mut records = hex("03f2 0003 03e8 0000000000000001");
    records.extend((text.len() as u32).to_be_bytes());
    records.extend(text);
    let output = run_adapter(&batch(4, &records));
    assert_eq!(output.stdout[8..14], hex("041a 0003 03e8")[..]);
    assert!(String::from_utf8_lossy(&output.stdout).contains("tick"));
}

#[test]
fn an_instance_can_be_killed_and_restarted_in_one_batch() {
    let start = hex("03f2 0003 03e8 0000000000000001 00000000");
    let killed = hex("03f2 0003 042e");
    let all = [start.clone(), killed, start, hex("0438 0000000000000000")].concat();
    let output = run_adapter(&batch(1, &all));
    assert!(output.status.success());
    assert!(output.stdout.len() > 8);
}
