//! Runs instances of the decision module for the simulator: reads batches of events from standard input and writes a
//! reply to each on standard output. Instances share only the numbered exchange lists.
#![forbid(unsafe_code)]

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use walnuthatch::protocol::simulator::{self as wire, DefinedLists, Reader, Record, Reply, WireError};
use walnuthatch::routing::control::Controller;
use walnuthatch::routing::interface::{Action, Event, Micros, ReportField, Settings};

#[derive(Debug, thiserror::Error)]
enum HostError {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("malformed batch: {0}")]
    Wire(#[from] WireError),
    #[error("malformed batch: expected {0} bytes, found {1}")]
    Truncated(u32, usize),
}

struct Instance {
    controller: Controller,
    report_fields: Vec<ReportField>,
}

type Instances = BTreeMap<u16, Instance>;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("walnuthatch-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), HostError> {
    let mut instances = Instances::new();
    let mut lists = DefinedLists::default();
    let mut body = Vec::new();
    loop {
        let mut header = Vec::with_capacity(wire::HEADER_BYTES);
        input.by_ref().take(wire::HEADER_BYTES as u64).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(());
        }
        let Ok(header) = <[u8; wire::HEADER_BYTES]>::try_from(header.as_slice()) else {
            return Err(HostError::Truncated(wire::HEADER_BYTES as u32, header.len()));
        };
        let header = wire::parse_header(&header)?;
        body.clear();
        input.by_ref().take(u64::from(header.length)).read_to_end(&mut body)?;
        if body.len() != header.length as usize {
            return Err(HostError::Truncated(header.length, body.len()));
        }
        let reply = handle_batch(header.now, &body, &mut instances, &mut lists)?;
        output.write_all(&reply.into_frame(header.batch))?;
        output.flush()?;
    }
}

fn handle_batch(
    now: Micros,
    body: &[u8],
    instances: &mut Instances,
    lists: &mut DefinedLists,
) -> Result<Reply, WireError> {
    let mut reply = Reply::default();
    let mut actions = Vec::new();
    // Decoding an event needs the report fields of its instance, which an earlier record of the batch may set.
    let mut reader = Reader::new(body);
    let mut current = None;
    loop {
        let report_fields =
            current.and_then(|i| instances.get(&i)).map_or(&[][..], |instance| &instance.report_fields);
        let Some(record) = reader.next(lists, report_fields) else { return Ok(reply) };
        match (record?, current) {
            (Record::Instance(i), _) => current = Some(i),
            (Record::Kill, Some(i)) => {
                instances.remove(&i);
            }
            (Record::Start { seed, settings }, Some(i)) => match wire::parse_settings(&settings) {
                Ok(s) => start_instance(i, s, seed, instances, &mut reply),
                Err(e) => reply.report_failure(i, &e.to_string()),
            },
            (Record::Event(event), Some(i)) => {
                if let Some(instance) = instances.get_mut(&i) {
                    handle_event(i, &mut instance.controller, now, event, &mut actions, &mut reply);
                }
            }
            (Record::Kill | Record::Start { .. } | Record::Event(_), None) => {}
        }
    }
}

fn start_instance(number: u16, settings: Settings, seed: u64, instances: &mut Instances, reply: &mut Reply) {
    let report_fields = settings.report_fields.clone();
    match catch_unwind(AssertUnwindSafe(|| Controller::new(settings, seed))) {
        Ok(controller) => {
            instances.insert(number, Instance { controller, report_fields });
        }
        Err(panic) => reply.report_failure(number, &panic_message(panic.as_ref())),
    }
}

fn handle_event(
    number: u16,
    controller: &mut Controller,
    now: Micros,
    event: Event,
    actions: &mut Vec<Action>,
    reply: &mut Reply,
) {
    actions.clear();
    match catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions))) {
        Ok(()) => actions.iter().for_each(|a| reply.add_action(number, a)),
        Err(panic) => reply.report_failure(number, &panic_message(panic.as_ref())),
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
    message.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_owned())
}
