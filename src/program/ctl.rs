//! `walnuthatch ctl`: queries and controls a running controller from a shell or a script.

use super::cli::{control_socket, fail, print, Exit};
use super::views::call_line;
use clap::Subcommand;
use comfy_table::{presets, Table};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use walnuthatch_control::client::{ClientError, Connection};
use walnuthatch_control::frames::{schema, AtLimit, Body, Frame, Operation, Topic};
use walnuthatch_control::views::Event;
use walnuthatch_drains::target::Target;

/// Timeout of a response. Saving an order takes 2 s at most.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `ctl`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Path of the control socket [default: control.socket of the appliance file]
    #[arg(long, global = true, value_name = "PATH", env = "WALNUTHATCH_SOCKET")]
    socket: Option<PathBuf>,
    /// Appliance configuration file [default: deploy/appliance.toml]
    #[arg(long, global = true, value_name = "FILE")]
    appliance: Option<PathBuf>,
    /// Print JSON, one object per line
    #[arg(long, global = true)]
    json: bool,
    /// Repeat at this interval
    #[arg(long, global = true, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "1")]
    watch: Option<f64>,
    #[command(subcommand)]
    command: Command,
}

/// Action at the time limit of a drain.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum LimitAction {
    /// Leave the target out of service
    Keep,
    /// Put the target back into service
    Restore,
    /// Cut the remaining calls and leave the target out of service
    Cut,
}

#[derive(Clone, Debug, Subcommand)]
enum Command {
    /// Show the state of the controller and its worst alarm
    Status,
    /// List the exchanges and gateways
    Exchanges,
    /// List the calls, oldest first
    Calls {
        /// Show only lines that contain this text
        #[arg(default_value = "")]
        search: String,
    },
    /// Show call outcomes of the last 10 s, minute and hour
    Service,
    /// Show recent events
    Events {
        /// Keep printing events as they happen
        #[arg(long)]
        follow: bool,
    },
    /// Show all counters
    Counters,
    /// List the drains and maintenance windows
    Drains,
    /// Take an exchange, a trunk group or this controller out of service
    Drain {
        /// Target: exchange:NUMBER, group:NUMBER or controller
        target: Target,
        /// Reason, recorded in the audit log
        #[arg(long, default_value = "")]
        reason: String,
        /// Time limit, for example 30m or 2h
        #[arg(long, value_name = "SPAN")]
        limit: Option<jiff::SignedDuration>,
        /// Action at the time limit
        #[arg(long, value_enum, default_value = "keep")]
        at_limit: LimitAction,
        /// Override the drain policy
        #[arg(long)]
        force: bool,
        /// Only estimate the impact
        #[arg(long)]
        dry_run: bool,
        /// Wait until no calls remain; the exit status is 1 if the drain fails or expires
        #[arg(long)]
        wait: bool,
        /// Request id; repeating a request with the same id, for example after a lost connection, has no further effect
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Put a drained target back into service
    Undrain {
        /// Target: exchange:NUMBER, group:NUMBER or controller
        target: Target,
        /// Request id, as for drain
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Drain several targets in turn; each is restored and checked before the next one starts
    Round {
        /// Targets in order: exchange:NUMBER or group:NUMBER
        #[arg(required = true)]
        targets: Vec<Target>,
        /// Reason, recorded in the audit log
        #[arg(long, default_value = "")]
        reason: String,
        /// Restore each target after it has been empty for this time, for example 5m [default: wait for next]
        #[arg(long, value_name = "SPAN")]
        pause: Option<jiff::SignedDuration>,
    },
    /// Continue the round: the work on the empty target is done, or the reason for the halt is resolved
    Next,
    /// Halt the round; drained targets stay drained
    Halt,
    /// List the alarms, most severe first
    Alarms,
    /// Acknowledge an alarm
    Seen {
        /// Name of the alarm, as printed by alarms
        alarm: Vec<String>,
    },
    /// List the members of the gossip group
    Peers,
    /// List the exchanges that gossip members suspect
    Suspicions,
    /// Show the audit log
    Audit,
    /// Show the configuration of the controller
    Config,
    /// Show the log filter, or set it
    Log {
        /// New filter, for example info,walnuthatch::drains=debug
        #[arg(value_name = "FILTER")]
        filter: Option<String>,
    },
    /// Stop the controller after all accepted calls have been answered
    Stop,
    /// Print the JSON schema of the control protocol
    Schema,
}

/// Runs a `ctl` command.
pub fn main(args: Args) -> Exit {
    if matches!(args.command, Command::Schema) {
        return print(&serde_json::to_string_pretty(&schema()).unwrap_or_default());
    }
    let path = match control_socket(args.socket.clone(), args.appliance.clone()) {
        Ok(path) => path,
        Err(message) => return fail(&message),
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let result = Connection::open(&path, &user).and_then(|mut connection| {
        connection.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        run(&mut connection, &args)
    });
    match result {
        Ok(exit) => exit,
        Err(e) => {
            fail(&e);
            match e {
                ClientError::Connect { .. } => Exit::NoController,
                ClientError::Rejected(_) => Exit::Rejected,
                _ => Exit::Failed,
            }
        }
    }
}

/// A duration in whole seconds.
fn whole_seconds(span: jiff::SignedDuration) -> u32 {
    u32::try_from(span.as_secs().max(0)).unwrap_or(u32::MAX)
}

/// A unique request id.
pub fn unique_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{:x}", std::process::id(), since_epoch.as_nanos())
}

fn run(connection: &mut Connection, args: &Args) -> Result<Exit, ClientError> {
    let show = |topic| Operation::Show { topic, search: String::new() };
    let operation = match args.command.clone() {
        Command::Status => show(Topic::Status),
        Command::Exchanges => show(Topic::Exchanges),
        Command::Calls { search } => Operation::Show { topic: Topic::Calls, search },
        Command::Service => show(Topic::Service),
        Command::Events { follow: true } => return follow_events(connection, args.json),
        Command::Events { follow: false } => show(Topic::Events),
        Command::Counters => show(Topic::Counters),
        Command::Drains => show(Topic::Drains),
        Command::Alarms => show(Topic::Alarms),
        Command::Peers => show(Topic::Peers),
        Command::Suspicions => show(Topic::Suspicions),
        Command::Audit => Operation::Audit,
        Command::Config => Operation::Config,
        Command::Log { filter } => Operation::Log { filter },
        Command::Seen { alarm } => Operation::Seen { alarm: alarm.join(" ") },
        Command::Stop => Operation::Stop,
        Command::Round { targets, reason, pause } => {
            let targets = targets.iter().map(Target::to_string).collect();
            Operation::Round { targets, reason, pause_s: pause.map(whole_seconds) }
        }
        Command::Next => Operation::Next,
        Command::Halt => Operation::Halt,
        Command::Drain { target, dry_run: true, .. } => Operation::Cost { target: target.to_string() },
        Command::Drain { target, reason, limit, at_limit, force, wait, id, .. } => {
            let limit_s = limit.map(whole_seconds);
            let at_limit = match at_limit {
                LimitAction::Keep => AtLimit::Keep,
                LimitAction::Restore => AtLimit::Restore,
                LimitAction::Cut => AtLimit::Cut,
            };
            let target = target.to_string();
            let operation = Operation::Drain { target: target.clone(), reason, limit_s, at_limit, force };
            let body = connection.request(&id.unwrap_or_else(unique_id), operation)?;
            print_body(&body, args.json);
            return if wait { wait_until_empty(connection, &target, args.json) } else { Ok(Exit::Done) };
        }
        Command::Undrain { target, id } => {
            let operation = Operation::Undrain { target: target.to_string() };
            let body = connection.request(&id.unwrap_or_else(unique_id), operation)?;
            return Ok(print_body(&body, args.json));
        }
        Command::Schema => return Ok(Exit::Done),
    };
    loop {
        let body = connection.request(&unique_id(), operation.clone())?;
        let denied = matches!(&body, Body::Cost(cost) if cost.denied.is_some());
        let Some(interval) = args.watch else {
            print_body(&body, args.json);
            return Ok(if denied { Exit::Rejected } else { Exit::Done });
        };
        if !args.json {
            // Moves the cursor to the top left and clears the screen.
            print("\x1b[H\x1b[2J");
        }
        print_body(&body, args.json);
        std::thread::sleep(Duration::from_secs_f64(interval.clamp(0.1, 3600.0)));
    }
}

/// Prints events as they are received.
fn follow_events(connection: &mut Connection, json: bool) -> Result<Exit, ClientError> {
    let body =
        connection.request(&unique_id(), Operation::Show { topic: Topic::Events, search: String::new() })?;
    print_body(&body, json);
    let watch = Operation::Watch { topics: vec![Topic::Events], every_ms: 1000, search: String::new() };
    connection.request(&unique_id(), watch)?;
    connection.set_read_timeout(None)?;
    loop {
        match connection.receive()? {
            Frame::View { body, .. } => {
                print_body(&body, json);
            }
            Frame::Lost { lost, .. } => {
                fail(&format!("{lost} events were lost: they were not read in time"));
            }
            Frame::Reply { .. } => {}
        }
    }
}

/// Waits until no calls remain on the target of a drain.
fn wait_until_empty(connection: &mut Connection, target: &str, json: bool) -> Result<Exit, ClientError> {
    let mut last = String::new();
    loop {
        let body = connection
            .request(&unique_id(), Operation::Show { topic: Topic::Drains, search: String::new() })?;
        let Body::Drains { drains, .. } = &body else {
            return Err(ClientError::InvalidMessage("no drains".into()));
        };
        let Some(d) = drains.iter().find(|d| d.target == target) else {
            fail(&format!("{target}: its drain was ended"));
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

fn format_table<const N: usize>(header: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table.add_rows(rows);
    table.lines().map(|l| l.trim_end().to_owned()).collect::<Vec<_>>().join("\n")
}

/// Formats a Unix time in UTC.
pub fn format_time(at_ms: i64) -> String {
    jiff::Timestamp::from_millisecond(at_ms)
        .map_or("?".into(), |t| t.strftime("%Y-%m-%d %H:%M:%S").to_string())
}

fn or_dash<T: ToString>(v: Option<T>) -> String {
    v.map_or("-".to_owned(), |v| v.to_string())
}

fn percent(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |s| format!("{:.1}%", s * 100.0))
}

fn format_event(e: &Event) -> String {
    format!("{} {:7} {}", format_time(e.at_ms), e.kind, e.text)
}

fn print_body(body: &Body, json: bool) -> Exit {
    if json {
        return print(&serde_json::to_string(body).unwrap_or_default());
    }
    print(&format_body(body))
}

fn format_body(body: &Body) -> String {
    match body {
        Body::Status(s) => {
            let worst = if s.worst.is_empty() { "nothing".to_owned() } else { s.worst.clone() };
            format!(
                "{} is {}, for {} s (version {})\nwrong: {worst} ({} alarms)\ncalls: {} open, {} stand\n\
                 exchanges: {} of {} in service, {} drains\nstate folder: {}, log lines lost: {}, programs: {}",
                s.name, s.state, s.up_s, s.version, s.alarms, s.open, s.standing, s.ready, s.listed, s.drains,
                s.state_folder, s.log_lost, s.clients
            )
        }
        Body::Exchanges { exchanges } => format_table(
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
            let outcomes: Vec<&String> = s.spans.first().map_or(Vec::new(), |x| x.by_fate.keys().collect());
            let rows = outcomes.iter().map(|outcome| {
                let count = |i: usize| or_dash(s.spans.get(i).and_then(|span| span.by_fate.get(*outcome)));
                [(*outcome).clone(), count(0), count(1), count(2)]
            });
            let total = |value: &dyn Fn(&walnuthatch_control::views::Span) -> String| {
                let of_span = |i: usize| s.spans.get(i).map_or("-".to_owned(), value);
                [of_span(0), of_span(1), of_span(2)]
            };
            let [a, b, c] = total(&|span| span.answered.to_string());
            let [d, e, f] = total(&|span| percent(span.in_aim_share));
            let totals = [["answered".to_owned(), a, b, c], ["within the aim".to_owned(), d, e, f]];
            let table = format_table(["", "10 S", "1 MIN", "1 H"], totals.into_iter().chain(rows));
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
            let mut out =
                format_table(["ORDER", "TARGET", "STATE", "DONE", "LEFT", "LIMIT", "WHO", "WHY"], rows);
            if let Some(r) = round {
                out += &format!("\n{}", format_round(r));
            }
            for w in windows {
                let next = w.next_at_ms.map_or("never again".to_owned(), format_time);
                let state = if w.open { "open" } else { "closed" };
                out +=
                    &format!("\nwindow {}: {} for {} s, {state}, next {next}", w.name, w.target, w.length_s);
            }
            out
        }
        Body::Alarms { alarms } if alarms.is_empty() => "no alarms".to_owned(),
        Body::Alarms { alarms } => format_table(
            ["SEVERITY", "ALARM", "FOR", "SEEN BY", ""],
            alarms.iter().map(|a| {
                let seen = a.seen_by.clone().unwrap_or_else(|| "-".to_owned());
                [a.severity.clone(), a.alarm.clone(), format!("{} s", a.for_s), seen, a.text.clone()]
            }),
        ),
        Body::Counters { counters } => {
            counters.iter().map(|(n, v)| format!("{n:28} {v}")).collect::<Vec<_>>().join("\n")
        }
        Body::Peers { peers } => format_table(
            ["MEMBER", "ADDRESS", "STATE", "PRESSED", "TRUST"],
            peers.iter().map(|p| {
                let (pressed, trust) = (percent(Some(p.pressed)), format!("{:.2}", p.trust));
                [p.member.clone(), p.address.clone(), p.state.clone(), pressed, trust]
            }),
        ),
        Body::Suspicions { suspicions } if suspicions.is_empty() => "no exchange is suspected".to_owned(),
        Body::Suspicions { suspicions } => format_table(
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
        Body::Audit { audit } => format_table(
            ["WHEN", "WHO", "WHAT", "ANSWER"],
            audit.iter().map(|a| [format_time(a.at_ms), a.who.clone(), a.what.clone(), a.answer.clone()]),
        ),
        Body::Cost(c) => format_cost(c),
        Body::Text { text } => text.trim_end().to_owned(),
        Body::Done { order, text } => format!("order {order}: {text}"),
        Body::Event(e) => format_event(e),
        Body::Events { events } => events.iter().map(format_event).collect::<Vec<_>>().join("\n"),
    }
}

fn format_cost(c: &walnuthatch_control::views::Cost) -> String {
    let mut out = format!("{} would cost, by the traffic of the last {} s:\n", c.target, c.over_s);
    out += &format!("  {:.1} calls a minute lose their destination\n", c.lost_per_minute);
    out += &format!(
        "  {:.1} a minute go direct to it now, {:.1} use it as a tandem\n",
        c.direct_per_minute, c.tandem_per_minute
    );
    out += &format!("  {} calls stand there, {} set-ups are out\n", c.standing, c.out);
    for d in &c.displaced {
        let routes: Vec<String> = d.ways.iter().map(ToString::to_string).collect();
        out += &format!(
            "  {:.1} calls a minute for exchange {} ({:.1} erlangs) would go over {}\n",
            d.per_minute,
            d.destination,
            d.erlangs,
            if routes.is_empty() { "nothing".to_owned() } else { routes.join(", ") }
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

/// Formats a round as one line.
fn format_round(r: &walnuthatch_control::views::Round) -> String {
    let reason = if r.halted.is_empty() { String::new() } else { format!(" ({})", r.halted) };
    format!(
        "round {} of {}: {} of {} done, {}{reason} for {} s: {}",
        r.order,
        r.who,
        r.done,
        r.targets.len(),
        r.stage,
        r.for_s,
        r.targets.join(" ")
    )
}
