//! Runs decision modules on the simulator's wire: batches of events on standard input, a reply for each on
//! standard output. Instances share nothing but the numbered lists of offices.
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
    #[error("reading or writing: {0}")]
    Io(#[from] io::Error),
    #[error("malformed batch: {0}")]
    Wire(#[from] WireError),
    #[error("malformed batch: {0} bytes announced, {1} came")]
    Short(u32, usize),
}

struct Instance {
    controller: Controller,
    fields: Vec<ReportField>,
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
        let mut head = Vec::with_capacity(wire::HEADER_BYTES);
        input.by_ref().take(wire::HEADER_BYTES as u64).read_to_end(&mut head)?;
        if head.is_empty() {
            return Ok(());
        }
        let Ok(head) = <[u8; wire::HEADER_BYTES]>::try_from(head.as_slice()) else {
            return Err(HostError::Short(wire::HEADER_BYTES as u32, head.len()));
        };
        let head = wire::parse_header(&head)?;
        body.clear();
        input.by_ref().take(u64::from(head.length)).read_to_end(&mut body)?;
        if body.len() != head.length as usize {
            return Err(HostError::Short(head.length, body.len()));
        }
        let reply = batch(head.now, &body, &mut instances, &mut lists)?;
        output.write_all(&reply.into_frame(head.batch))?;
        output.flush()?;
    }
}

fn batch(
    now: Micros,
    body: &[u8],
    all: &mut Instances,
    lists: &mut DefinedLists,
) -> Result<Reply, WireError> {
    let mut reply = Reply::default();
    let mut actions = Vec::new();
    // A record is read with the report fields of its own instance, which the same batch may set.
    let mut rest = Reader::new(body);
    let mut current = None;
    loop {
        let names = current.and_then(|i| all.get(&i)).map_or(&[][..], |i| &i.fields);
        let Some(record) = rest.next(lists, names) else { return Ok(reply) };
        match (record?, current) {
            (Record::Instance(i), _) => current = Some(i),
            (Record::Kill, Some(i)) => {
                all.remove(&i);
            }
            (Record::Start { seed, settings }, Some(i)) => match wire::parse_settings(&settings) {
                Ok(s) => start(i, s, seed, all, &mut reply),
                Err(e) => reply.report_failure(i, &e.to_string()),
            },
            (Record::Event(event), Some(i)) => {
                if let Some(instance) = all.get_mut(&i) {
                    handle(i, &mut instance.controller, now, event, &mut actions, &mut reply);
                }
            }
            (Record::Kill | Record::Start { .. } | Record::Event(_), None) => {}
        }
    }
}

fn start(i: u16, settings: Settings, seed: u64, all: &mut Instances, reply: &mut Reply) {
    let fields = settings.report_fields.clone();
    match catch_unwind(AssertUnwindSafe(|| Controller::new(settings, seed))) {
        Ok(controller) => {
            all.insert(i, Instance { controller, fields });
        }
        Err(panic) => reply.report_failure(i, &panic_text(panic.as_ref())),
    }
}

fn handle(
    i: u16,
    controller: &mut Controller,
    now: Micros,
    event: Event,
    actions: &mut Vec<Action>,
    reply: &mut Reply,
) {
    actions.clear();
    match catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions))) {
        Ok(()) => actions.iter().for_each(|a| reply.add_action(i, a)),
        Err(panic) => reply.report_failure(i, &panic_text(panic.as_ref())),
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_owned())
}
