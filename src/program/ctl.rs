//! `walnuthatch ctl`: a running controller from a shell or a script.

use super::cli::{fault, print, socket, Exit};
use super::views::call_line;
use clap::Subcommand;
use comfy_table::{presets, Table};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use walnuthatch_control::client::{ClientError, Connection};
use walnuthatch_control::frames::{schema, AtLimit, Body, Frame, Operation, Topic};
use walnuthatch_control::views::Event;
use walnuthatch_drains::target::Target;

/// An answer that has not come by then is not waited for: saving an order takes 2 s at the most.
const PATIENCE: Duration = Duration::from_secs(10);

/// Arguments of `ctl`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The control socket [default: as the appliance's file says]
    #[arg(long, global = true, value_name = "PATH", env = "WALNUTHATCH_SOCKET")]
    socket: Option<PathBuf>,
    /// The appliance's file, in place of deploy/appliance.toml
    #[arg(long, global = true, value_name = "FILE")]
    appliance: Option<PathBuf>,
    /// Print JSON, one object a line
    #[arg(long, global = true)]
    json: bool,
    /// Print again and again, each so many seconds
    #[arg(long, global = true, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "1")]
    watch: Option<f64>,
    #[command(subcommand)]
    what: What,
}

/// How a drain ends.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Limit {
    Keep,
    Restore,
    Cut,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
    /// Is it serving, and what is wrong
    Status,
    /// The exchanges and gateways
    Exchanges,
    /// The calls, oldest first
    Calls {
        /// Only those whose line has this text
        #[arg(default_value = "")]
        search: String,
    },
    /// How calls fared in the last 10 s, minute and hour
    Service,
    /// What happened
    Events {
        /// Go on as things happen
        #[arg(long)]
        follow: bool,
    },
    /// What was taken in, sent and answered
    Counters,
    /// The drains and the maintenance windows
    Drains,
    /// Take an exchange, a trunk group or this controller out of service
    Drain {
        /// exchange:NUMBER, group:NUMBER or controller
        target: Target,
        /// Why, for the audit log
        #[arg(long, default_value = "")]
        reason: String,
        /// For how long at most, as 30m or 2h
        #[arg(long, value_name = "SPAN")]
        limit: Option<jiff::SignedDuration>,
        /// What happens then
        #[arg(long, value_enum, default_value = "keep")]
        at_limit: Limit,
        /// Override the policy
        #[arg(long)]
        force: bool,
        /// Only tell what it would cost
        #[arg(long)]
        dry_run: bool,
        /// Wait until it is empty; 1 if it fails or expires
        #[arg(long)]
        wait: bool,
        /// The request's id: the same one again, after a broken connection, acts no more
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Put it back into service
    Undrain {
        /// exchange:NUMBER, group:NUMBER or controller
        target: Target,
        /// The request's id, as for drain
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Drain one after the other, each put back and seen to work before the next one goes
    Round {
        /// exchange:NUMBER or group:NUMBER, in this order
        #[arg(required = true)]
        targets: Vec<Target>,
        /// Why, for the audit log
        #[arg(long, default_value = "")]
        reason: String,
        /// Put an empty one back after so long, as 5m; without it: at the word next
        #[arg(long, value_name = "SPAN")]
        pause: Option<jiff::SignedDuration>,
    },
    /// The round goes on: the work on what is empty is done, or what halted it is mended
    Next,
    /// The round ends here; what is drained stays so
    Halt,
    /// The alarms, the gravest first
    Alarms,
    /// An alarm was seen
    Seen {
        /// Its name, as alarms shows it
        alarm: Vec<String>,
    },
    /// The instances that gossip
    Peers,
    /// The exchanges that others' evidence speaks against
    Suspicions,
    /// The orders that were given
    Audit,
    /// What the controller was told
    Config,
    /// What is logged; with a filter: from now on
    Log {
        /// As info,walnuthatch::drains=debug
        #[arg(value_name = "FILTER")]
        level: Option<String>,
    },
    /// Stop the controller once all calls that it took have their answer
    Stop,
    /// Print the schema of all messages of the control socket as JSON
    Schema,
}

/// Runs it.
pub fn main(args: Args) -> Exit {
    if matches!(args.what, What::Schema) {
        return print(&serde_json::to_string_pretty(&schema()).unwrap_or_default());
    }
    let path = match socket(args.socket.clone(), args.appliance.clone()) {
        Ok(path) => path,
        Err(why) => return fault(&why),
    };
    let who = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let ran = Connection::open(&path, &who).and_then(|mut c| {
        c.set_read_timeout(Some(PATIENCE))?;
        run(&mut c, &args)
    });
    match ran {
        Ok(exit) => exit,
        Err(e) => {
            fault(&e);
            match e {
                ClientError::Connect { .. } => Exit::NoController,
                ClientError::Rejected(_) => Exit::TurnedDown,
                _ => Exit::Failed,
            }
        }
    }
}

/// A span in whole seconds.
fn whole(span: jiff::SignedDuration) -> u32 {
    u32::try_from(span.as_secs().max(0)).unwrap_or(u32::MAX)
}

/// An id that no other request has.
pub fn fresh_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{:x}", std::process::id(), since.as_nanos())
}

fn run(c: &mut Connection, args: &Args) -> Result<Exit, ClientError> {
    let show = |topic| Operation::Show { topic, search: String::new() };
    let ask = match args.what.clone() {
        What::Status => show(Topic::Status),
        What::Exchanges => show(Topic::Exchanges),
        What::Calls { search } => Operation::Show { topic: Topic::Calls, search },
        What::Service => show(Topic::Service),
        What::Events { follow: true } => return follow(c, args.json),
        What::Events { follow: false } => show(Topic::Events),
        What::Counters => show(Topic::Counters),
        What::Drains => show(Topic::Drains),
        What::Alarms => show(Topic::Alarms),
        What::Peers => show(Topic::Peers),
        What::Suspicions => show(Topic::Suspicions),
        What::Audit => Operation::Audit,
        What::Config => Operation::Config,
        What::Log { level } => Operation::Log { filter: level },
        What::Seen { alarm } => Operation::Seen { alarm: alarm.join(" ") },
        What::Stop => Operation::Stop,
        What::Round { targets, reason, pause } => {
            let targets = targets.iter().map(Target::to_string).collect();
            Operation::Round { targets, reason, pause_s: pause.map(whole) }
        }
        What::Next => Operation::Next,
        What::Halt => Operation::Halt,
        What::Drain { target, dry_run: true, .. } => Operation::Cost { target: target.to_string() },
        What::Drain { target, reason, limit, at_limit, force, wait, id, .. } => {
            let limit_s = limit.map(whole);
            let at_limit = match at_limit {
                Limit::Keep => AtLimit::Keep,
                Limit::Restore => AtLimit::Restore,
                Limit::Cut => AtLimit::Cut,
            };
            let target = target.to_string();
            let ask = Operation::Drain { target: target.clone(), reason, limit_s, at_limit, force };
            let body = c.request(&id.unwrap_or_else(fresh_id), ask)?;
            show_body(&body, args.json);
            return if wait { wait_for(c, &target, args.json) } else { Ok(Exit::Done) };
        }
        What::Undrain { target, id } => {
            let ask = Operation::Undrain { target: target.to_string() };
            let body = c.request(&id.unwrap_or_else(fresh_id), ask)?;
            return Ok(show_body(&body, args.json));
        }
        What::Schema => return Ok(Exit::Done),
    };
    loop {
        let body = c.request(&fresh_id(), ask.clone())?;
        let denied = matches!(&body, Body::Cost(cost) if cost.denied.is_some());
        let Some(every) = args.watch else {
            show_body(&body, args.json);
            return Ok(if denied { Exit::TurnedDown } else { Exit::Done });
        };
        if !args.json {
            // To the top of a clean screen.
            print("\x1b[H\x1b[2J");
        }
        show_body(&body, args.json);
        std::thread::sleep(Duration::from_secs_f64(every.clamp(0.1, 3600.0)));
    }
}

/// Prints events as they come.
fn follow(c: &mut Connection, json: bool) -> Result<Exit, ClientError> {
    let body = c.request(&fresh_id(), Operation::Show { topic: Topic::Events, search: String::new() })?;
    show_body(&body, json);
    let watch = Operation::Watch { topics: vec![Topic::Events], every_ms: 1000, search: String::new() };
    c.request(&fresh_id(), watch)?;
    c.set_read_timeout(None)?;
    loop {
        match c.receive()? {
            Frame::View { body, .. } => {
                show_body(&body, json);
            }
            Frame::Lost { lost, .. } => {
                fault(&format!("{lost} events were lost: they were not read in time"));
            }
            Frame::Reply { .. } => {}
        }
    }
}

/// Waits until a drain is empty.
fn wait_for(c: &mut Connection, target: &str, json: bool) -> Result<Exit, ClientError> {
    let mut last = String::new();
    loop {
        let body = c.request(&fresh_id(), Operation::Show { topic: Topic::Drains, search: String::new() })?;
        let Body::Drains { drains, .. } = &body else {
            return Err(ClientError::InvalidMessage("no drains".into()));
        };
        let Some(d) = drains.iter().find(|d| d.target == target) else {
            fault(&format!("{target}: its drain was ended"));
            return Ok(Exit::Failed);
        };
        let line = match json {
            true => serde_json::to_string(d).unwrap_or_default(),
            false => format!("{}: {}, {} stand, {} out", d.target, d.state, d.standing, d.out),
        };
        if line != last {
            print(&line);
            last = line;
        }
        match d.state.as_str() {
            "empty" => return Ok(Exit::Done),
            "failed" | "expired" => return Ok(Exit::Failed),
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
}

fn table<const N: usize>(head: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut t = Table::new();
    t.load_style(presets::NOTHING).set_header(head);
    t.add_rows(rows);
    t.lines().map(|l| l.trim_end().to_owned()).collect::<Vec<_>>().join("\n")
}

/// A moment of the Unix clock.
pub fn moment(at_ms: i64) -> String {
    jiff::Timestamp::from_millisecond(at_ms)
        .map_or("?".into(), |t| t.strftime("%Y-%m-%d %H:%M:%S").to_string())
}

fn or_dash<T: ToString>(v: Option<T>) -> String {
    v.map_or("-".to_owned(), |v| v.to_string())
}

fn percent(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |s| format!("{:.1}%", s * 100.0))
}

fn event_line(e: &Event) -> String {
    format!("{} {:7} {}", moment(e.at_ms), e.kind, e.text)
}

fn show_body(body: &Body, json: bool) -> Exit {
    if json {
        return print(&serde_json::to_string(body).unwrap_or_default());
    }
    print(&text(body))
}

fn text(body: &Body) -> String {
    match body {
        Body::Status(s) => {
            let wrong = if s.worst.is_empty() { "nothing".to_owned() } else { s.worst.clone() };
            format!(
                "{} is {}, for {} s (version {})\nwrong: {wrong} ({} alarms)\ncalls: {} open, {} stand\n\
                 exchanges: {} of {} in service, {} drains\nstate folder: {}, log lines lost: {}, programs: {}",
                s.name, s.state, s.up_s, s.version, s.alarms, s.open, s.standing, s.ready, s.listed, s.drains,
                s.state_folder, s.log_lost, s.clients
            )
        }
        Body::Exchanges { exchanges } => table(
            ["EXCHANGE", "MACHINE", "STATE", "DRAIN", "LINE", "FREE", "OUT", "STAND", "P50", "P99", "REPORT"],
            exchanges.iter().map(|e| {
                let free = match (e.free, e.size) {
                    (Some(free), Some(size)) => format!("{free:.0}/{size:.0}"),
                    _ => "-".to_owned(),
                };
                let drain = if e.drain.is_empty() { "-" } else { &e.drain };
                [
                    e.exchange.to_string(),
                    e.member.clone(),
                    e.listed.clone(),
                    drain.to_owned(),
                    if e.connected { "up" } else { "down" }.to_owned(),
                    free,
                    e.out.to_string(),
                    e.standing.to_string(),
                    format!("{:.0} ms", e.p50_ms),
                    format!("{:.0} ms", e.p99_ms),
                    or_dash(e.report_age_ms.map(|ms| format!("{ms} ms"))),
                ]
            }),
        ),
        Body::Calls { calls, total } => {
            let lines: Vec<String> = calls.iter().map(call_line).collect();
            format!("{}\n{} shown of {total}", lines.join("\n"), calls.len()).trim_start().to_owned()
        }
        Body::Service(s) => {
            let fates: Vec<&String> = s.spans.first().map_or(Vec::new(), |x| x.by_fate.keys().collect());
            let rows = fates.iter().map(|f| {
                let of = |i: usize| or_dash(s.spans.get(i).and_then(|x| x.by_fate.get(*f)));
                [(*f).clone(), of(0), of(1), of(2)]
            });
            let sum = |f: &dyn Fn(&walnuthatch_control::views::Span) -> String| {
                let of = |i: usize| s.spans.get(i).map_or("-".to_owned(), f);
                [of(0), of(1), of(2)]
            };
            let [a, b, c] = sum(&|x| x.answered.to_string());
            let [d, e, f] = sum(&|x| percent(x.in_aim_share));
            let all = [["answered".to_owned(), a, b, c], ["within the aim".to_owned(), d, e, f]];
            let table = table(["", "10 S", "1 MIN", "1 H"], all.into_iter().chain(rows));
            format!(
                "{table}\nanswers of the last minute: p50 {} ms, p99 {} ms, p99.9 {} ms",
                s.p50_ms, s.p99_ms, s.p999_ms
            )
        }
        Body::Drains { drains, over, windows, round } => {
            let rows = drains.iter().chain(over).map(|d| {
                [
                    d.order.to_string(),
                    d.target.clone(),
                    format!("{} {} s", d.state, d.for_s),
                    format!("{:.0}%", d.progress * 100.0),
                    format!("{} stand, {} out", d.standing, d.out),
                    d.limit_left_s.map_or("-".to_owned(), |s| format!("{s} s, {}", d.at_limit)),
                    d.who.clone(),
                    d.reason.clone(),
                ]
            });
            let mut out = table(["ORDER", "TARGET", "STATE", "DONE", "LEFT", "LIMIT", "WHO", "WHY"], rows);
            if let Some(r) = round {
                out += &format!("\n{}", round_line(r));
            }
            for w in windows {
                let next = w.next_at_ms.map_or("never again".to_owned(), moment);
                let state = if w.open { "open" } else { "closed" };
                out +=
                    &format!("\nwindow {}: {} for {} s, {state}, next {next}", w.name, w.target, w.length_s);
            }
            out
        }
        Body::Alarms { alarms } if alarms.is_empty() => "no alarms".to_owned(),
        Body::Alarms { alarms } => table(
            ["SEVERITY", "ALARM", "FOR", "SEEN BY", ""],
            alarms.iter().map(|a| {
                let seen = a.seen_by.clone().unwrap_or_else(|| "-".to_owned());
                [a.severity.clone(), a.alarm.clone(), format!("{} s", a.for_s), seen, a.text.clone()]
            }),
        ),
        Body::Counters { counters } => {
            counters.iter().map(|(n, v)| format!("{n:28} {v}")).collect::<Vec<_>>().join("\n")
        }
        Body::Peers { peers } => table(
            ["MEMBER", "ADDRESS", "STATE", "PRESSED", "TRUST"],
            peers.iter().map(|p| {
                let (pressed, trust) = (percent(Some(p.pressed)), format!("{:.2}", p.trust));
                [p.member.clone(), p.address.clone(), p.state.clone(), pressed, trust]
            }),
        ),
        Body::Suspicions { suspicions } if suspicions.is_empty() => "no exchange is suspected".to_owned(),
        Body::Suspicions { suspicions } => table(
            ["EXCHANGE", "FOR", "WEIGHT", "AGAINST", "OWN", "ACCUSERS"],
            suspicions.iter().map(|s| {
                let own = if s.own { "yes" } else { "no" }.to_owned();
                let (weight, against) = (format!("{:.2}", s.weight), format!("{:.2}", s.against));
                [
                    s.exchange.to_string(),
                    format!("{} ms", s.for_ms),
                    weight,
                    against,
                    own,
                    s.accusers.join(" "),
                ]
            }),
        ),
        Body::Audit { audit } => table(
            ["WHEN", "WHO", "WHAT", "ANSWER"],
            audit.iter().map(|a| [moment(a.at_ms), a.who.clone(), a.what.clone(), a.answer.clone()]),
        ),
        Body::Cost(c) => cost(c),
        Body::Text { text } => text.trim_end().to_owned(),
        Body::Done { order, text } => format!("order {order}: {text}"),
        Body::Event(e) => event_line(e),
        Body::Events { events } => events.iter().map(event_line).collect::<Vec<_>>().join("\n"),
    }
}

fn cost(c: &walnuthatch_control::views::Cost) -> String {
    let mut out = format!("{} would cost, by the traffic of the last {} s:\n", c.target, c.over_s);
    out += &format!("  {:.1} calls a minute lose their destination\n", c.lost_per_minute);
    out += &format!(
        "  {:.1} a minute go direct to it now, {:.1} use it as a tandem\n",
        c.direct_per_minute, c.tandem_per_minute
    );
    out += &format!("  {} calls stand there, {} set-ups are out\n", c.standing, c.out);
    for d in &c.displaced {
        let ways: Vec<String> = d.ways.iter().map(ToString::to_string).collect();
        out += &format!(
            "  {:.1} calls a minute for exchange {} ({:.1} erlangs) would go over {}\n",
            d.per_minute,
            d.destination,
            d.erlangs,
            if ways.is_empty() { "nothing".to_owned() } else { ways.join(", ") }
        );
    }
    for g in &c.groups {
        out += &format!(
            "  group {}: {:.0} of {:.0} circuits busy, {:.1} more; it would block {:.1}% (now {:.1}%)\n",
            g.group,
            g.busy,
            g.size,
            g.extra,
            g.blocking_then * 100.0,
            g.blocking_now * 100.0
        );
    }
    for e in &c.no_way {
        out += &format!("  exchange {e} would be left without a way\n");
    }
    out + &c
        .denied
        .as_ref()
        .map_or("it would be taken".to_owned(), |d| format!("it would be turned down: {d}"))
}

/// A round on one line.
fn round_line(r: &walnuthatch_control::views::Round) -> String {
    let why = if r.halted.is_empty() { String::new() } else { format!(" ({})", r.halted) };
    format!(
        "round {} of {}: {} of {} done, {}{why} for {} s: {}",
        r.order,
        r.who,
        r.done,
        r.targets.len(),
        r.stage,
        r.for_s,
        r.targets.join(" ")
    )
}
