//! Rendering of the console. The first screen shows whether the controller is serving, what is wrong and which keys are
//! available.

use crate::app::{App, Confirm, LinkState, Mode, Page, PAGES};
use crate::command::COMMANDS;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span, Text};
use ratatui::widgets::{Block, Cell, Clear, Paragraph, Row, Table, TableState, Wrap};
use ratatui::Frame;
use walnuthatch_control::frames::Operation;
use walnuthatch_control::views::{Drain, Exchange};

/// Colours and characters that the terminal supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Theme {
    /// Whether colours may be used. No information is conveyed by colour alone.
    pub colours: bool,
    /// Whether non-ASCII characters may be used.
    pub unicode: bool,
}

impl Theme {
    /// Derives the theme from the environment: `NO_COLOR`, `TERM` and the locale.
    pub fn from_environment(env: impl Fn(&str) -> Option<String>) -> Theme {
        let set = |name: &str| env(name).filter(|v| !v.is_empty());
        let limited = set("TERM").is_some_and(|t| t == "dumb" || t == "vt100" || t.ends_with("-mono"));
        let locale = set("LC_ALL").or_else(|| set("LC_CTYPE")).or_else(|| set("LANG")).unwrap_or_default();
        let unicode = locale.to_ascii_lowercase().replace('-', "").contains("utf8");
        Theme { colours: set("NO_COLOR").is_none() && !limited, unicode }
    }

    fn colour(self, c: Color) -> Style {
        if self.colours {
            Style::new().fg(c)
        } else {
            Style::new()
        }
    }

    fn alert(self) -> Style {
        self.colour(Color::Red).add_modifier(Modifier::BOLD)
    }

    fn good(self) -> Style {
        self.colour(Color::Green)
    }

    fn dim(self) -> Style {
        if self.colours {
            Style::new().fg(Color::DarkGray)
        } else {
            Style::new()
        }
    }
}

const HEADING: Style = Style::new().add_modifier(Modifier::BOLD);
const SELECTED: Style = Style::new().add_modifier(Modifier::REVERSED);

/// Draws the whole screen.
pub fn draw(frame: &mut Frame<'_>, app: &App, theme: Theme) {
    let [header_area, tabs_area, body_area, footer_area] = Layout::vertical([
        Constraint::Length(3),
        Constraint::Length(1),
        Constraint::Min(3),
        Constraint::Length(2),
    ])
    .areas(frame.area());
    frame.render_widget(Paragraph::new(header(app, theme)), header_area);
    frame.render_widget(Paragraph::new(pages(app)), tabs_area);
    match app.page {
        Page::Overview => overview(frame, body_area, app, theme),
        Page::Exchanges => exchanges(frame, body_area, app, theme),
        Page::Calls => calls(frame, body_area, app),
        Page::Drains => drains(frame, body_area, app),
        Page::Events => events(frame, body_area, app),
        Page::Alarms => alarms(frame, body_area, app, theme),
        Page::Peers => peers(frame, body_area, app, theme),
    }
    frame.render_widget(Paragraph::new(footer(app, theme)), footer_area);
    match &app.mode {
        Mode::Help => popup(frame, "help", help()),
        Mode::Confirm(c) => popup(frame, "confirm", confirm(c)),
        _ => {}
    }
}

// ---- Header and footer ----

fn header(app: &App, theme: Theme) -> Text<'static> {
    let Some(s) = &app.status else {
        let reason = match &app.link {
            LinkState::Up => "waiting for the first status".to_owned(),
            LinkState::Down(reason) => reason.clone(),
        };
        return Text::from(vec![Line::styled("not connected", theme.alert()), Line::from(reason)]);
    };
    let state = match (&app.link, s.state.as_str()) {
        (LinkState::Down(reason), _) => Span::styled(format!("CONNECTION LOST ({reason})"), theme.alert()),
        (_, "serving") => Span::styled("SERVING", theme.good().add_modifier(Modifier::BOLD)),
        (_, other) => Span::styled(other.to_uppercase(), theme.alert()),
    };
    let first = Line::from(vec![
        Span::styled(format!("{} ", s.name), HEADING),
        state,
        Span::raw(format!("  up {}  {} open, {} stand", format_duration(s.up_s), s.open, s.standing)),
        Span::raw(format!("  {}/{} exchanges", s.ready, s.listed)),
        Span::raw(if s.drains > 0 { format!("  {} drains", s.drains) } else { String::new() }),
    ]);
    let second = match (s.alarms, s.worst.is_empty()) {
        (0, _) | (_, true) => Line::styled("nothing is wrong", theme.good()),
        (n, false) => Line::styled(format!("{n} alarms: {}", s.worst), theme.alert()),
    };
    let mut notes = Vec::new();
    if s.state_folder == "unsaved" {
        notes.push("drains are not saved".to_owned());
    }
    if s.log_lost + app.lost_events > 0 {
        notes.push(format!("{} log lines and {} events lost", s.log_lost, app.lost_events));
    }
    Text::from(vec![first, second, Line::styled(notes.join("; "), theme.dim())])
}

fn pages(app: &App) -> Line<'static> {
    let mut spans = Vec::new();
    for (n, (page, name)) in PAGES.iter().enumerate() {
        let style = if *page == app.page { SELECTED } else { Style::new() };
        spans.push(Span::styled(format!("{} {name}", n + 1), style));
        spans.push(Span::raw("  "));
    }
    Line::from(spans)
}

/// Draws the last message, and the keys of the page or the line being typed.
fn footer(app: &App, theme: Theme) -> Text<'static> {
    let first = match &app.message {
        Some((true, text)) => Line::raw(text.clone()),
        Some((false, text)) => Line::styled(format!("! {text}"), theme.alert()),
        None => Line::default(),
    };
    let second = match &app.mode {
        Mode::Command(text) => Line::raw(format!(":{text}_")),
        Mode::Search(text) => Line::raw(format!("/{text}_")),
        _ => Line::styled(keys(app.page), theme.dim()),
    };
    Text::from(vec![first, second])
}

fn keys(page: Page) -> &'static str {
    match page {
        Page::Overview | Page::Exchanges => {
            "d drain  u undrain  up/down select  / search calls  : command  ? help  q quit"
        }
        Page::Drains => "u undrain  up/down select  : command  ? help  q quit",
        Page::Calls => "/ search  up/down select  : command  ? help  q quit",
        Page::Alarms => "s seen  up/down select  : command  ? help  q quit",
        Page::Events | Page::Peers => "up/down select  : command  ? help  q quit",
    }
}

// ---- Pages ----

fn overview(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let [service_area, list_area] = Layout::vertical([Constraint::Length(7), Constraint::Min(2)]).areas(area);
    let mut lines = vec![Line::styled(
        format!(
            "{:<14}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "calls", "answered", "in aim", "late", "refused", "failed", "left"
        ),
        HEADING,
    )];
    for s in &app.service.spans {
        let sum = |outcomes: &[&str]| outcomes.iter().filter_map(|f| s.by_fate.get(*f)).sum::<u32>();
        let refused =
            sum(&["drained", "no_circuit", "turned_back", "processor_full", "unanswered", "fault", "no_way"]);
        let share = s.in_aim_share.map_or("-".to_owned(), |v| format!("{:.1}%", v * 100.0));
        let (late, failed, left) = (sum(&["late"]), sum(&["failed"]), sum(&["abandoned"]));
        let name = match s.seconds {
            10 => "last 10 s",
            60 => "last minute",
            _ => "last hour",
        };
        lines.push(Line::raw(format!(
            "{name:<14}{:>9}{share:>9}{late:>9}{refused:>9}{failed:>9}{left:>9}",
            s.answered
        )));
    }
    let reasons: Vec<String> = app.service.spans.get(1).map_or(Vec::new(), |s| {
        let named =
            ["drained", "no_circuit", "turned_back", "processor_full", "unanswered", "fault", "no_way"];
        let of =
            |f: &&str| s.by_fate.get(*f).filter(|n| **n > 0).map(|n| format!("{} {n}", f.replace('_', " ")));
        named.iter().filter_map(of).collect()
    });
    lines.push(Line::raw(format!(
        "answers p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms",
        app.service.p50_ms, app.service.p99_ms, app.service.p999_ms
    )));
    let reasons = if reasons.is_empty() { "none".to_owned() } else { reasons.join(", ") };
    lines.push(Line::raw(format!("refused in the last minute: {reasons}")));
    let width = usize::from(area.width).saturating_sub(18).min(app.service.history.len());
    let last = &app.service.history[app.service.history.len() - width..];
    lines.push(Line::raw(format!("calls a second   {}", sparkline(last.iter().copied(), theme))));
    frame.render_widget(Paragraph::new(lines), service_area);
    exchanges(frame, list_area, app, theme);
}

fn exchanges(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let show_details = area.width >= 110;
    let mut headings =
        vec!["exch", "machine", "state", "free", "out", "stand", "p50", "p99", "report", "refused"];
    let mut widths = vec![4, 14, 12, 9, 4, 6, 7, 7, 8, 7];
    if show_details {
        headings.extend(["address", "set-ups a second"]);
        widths.extend([21, 30]);
    }
    let row = |e: &Exchange| {
        let state = match (e.drain.is_empty(), e.connected, e.listed.as_str()) {
            (false, ..) => e.drain.clone(),
            (true, false, _) => "no line".to_owned(),
            (true, true, listed) => listed.to_owned(),
        };
        let free = match (e.free, e.size) {
            (Some(free), Some(size)) => format!("{free:.0}/{size:.0}"),
            _ => "?".to_owned(),
        };
        let style = if e.connected && e.drain.is_empty() && e.listed == "ready" {
            Style::new()
        } else {
            theme.alert()
        };
        let age = e.report_age_ms.map_or("never".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1000.0));
        let mut cells = vec![
            Cell::from(e.exchange.to_string()),
            Cell::from(e.member.clone()),
            Cell::from(Span::styled(state, style)),
            Cell::from(free),
            Cell::from(e.out.to_string()),
            Cell::from(e.standing.to_string()),
            Cell::from(format!("{:.0} ms", e.p50_ms)),
            Cell::from(format!("{:.0} ms", e.p99_ms)),
            Cell::from(age),
            Cell::from(e.turned_away.to_string()),
        ];
        if show_details {
            cells.push(Cell::from(e.address.clone()));
            cells.push(Cell::from(sparkline(e.history.iter().map(|n| u32::from(*n)), theme)));
        }
        Row::new(cells)
    };
    table(frame, area, app, &headings, &widths, app.exchanges.iter().map(row).collect());
}

fn table(
    frame: &mut Frame<'_>,
    area: Rect,
    app: &App,
    headings: &[&str],
    widths: &[u16],
    rows: Vec<Row<'_>>,
) {
    let widths: Vec<Constraint> = widths.iter().map(|w| Constraint::Length(*w)).collect();
    let table = Table::new(rows, widths)
        .header(Row::new(headings.iter().map(|h| (*h).to_owned()).collect::<Vec<_>>()).style(HEADING))
        .row_highlight_style(SELECTED);
    let mut state = TableState::default().with_selected(Some(app.selected_row));
    frame.render_stateful_widget(table, area, &mut state);
}

fn calls(frame: &mut Frame<'_>, area: Rect, app: &App) {
    let [title_area, list_area] = Layout::vertical([Constraint::Length(1), Constraint::Min(2)]).areas(area);
    let filter = if app.search.is_empty() { String::new() } else { format!(", with {:?}", app.search) };
    let text = format!("{} of {} calls{filter}, oldest first", app.calls.len(), app.total_calls);
    frame.render_widget(Paragraph::new(text), title_area);
    let rows = app.calls.iter().map(|c| {
        let over = c.over.map_or("-".to_owned(), |o| o.to_string());
        let age = format!("{:.1} s", c.for_ms as f64 / 1000.0);
        Row::new([c.call.to_string(), c.front.clone(), c.destination.to_string(), over, c.doing.clone(), age])
    });
    table(
        frame,
        list_area,
        app,
        &["call", "front", "to", "over", "doing", "for"],
        &[10, 8, 6, 6, 11, 10],
        rows.collect(),
    );
}

fn drains(frame: &mut Frame<'_>, area: Rect, app: &App) {
    let details_height =
        (app.windows.len() + app.finished_drains.len().min(5) + 3).min(usize::from(area.height / 2)) as u16;
    let [list_area, details_area] =
        Layout::vertical([Constraint::Min(3), Constraint::Length(details_height)]).areas(area);
    let row = |d: &Drain| {
        let limit =
            d.limit_left_s.map_or("-".to_owned(), |s| format!("{} {}", format_duration(s), d.at_limit));
        Row::new([
            d.order.to_string(),
            d.target.clone(),
            d.state.clone(),
            format!("{} {:3.0}%", progress_bar(d.progress), d.progress * 100.0),
            format!("{}+{}", d.standing, d.out),
            limit,
            format!("{}{} {}", d.who, if d.forced { " (force)" } else { "" }, d.reason),
        ])
    };
    let headings = ["order", "target", "state", "done", "left", "limit", "who, why"];
    let reason_width = area.width.saturating_sub(65).max(12);
    let widths = [5, 12, 9, 13, 6, 14, reason_width];
    table(frame, list_area, app, &headings, &widths, app.drains.iter().map(row).collect());
    let mut lines = Vec::new();
    if let Some(r) = &app.round {
        let reason = if r.halted.is_empty() { String::new() } else { format!(": {}", r.halted) };
        let at = r.targets.get(r.done).map_or(String::new(), |t| format!(" at {t}"));
        lines.push(Line::raw(format!(
            "round {}: {}{at}, {} of {} done{reason}",
            r.order,
            r.stage,
            r.done,
            r.targets.len()
        )));
    }
    for w in &app.windows {
        let state = if w.open { "OPEN" } else { "closed" };
        lines.push(Line::raw(format!(
            "window {}: {} for {}, {state}",
            w.name,
            w.target,
            format_duration(w.length_s)
        )));
    }
    for d in app.finished_drains.iter().rev().take(5) {
        lines.push(Line::raw(format!("over: order {} of {}: {}", d.order, d.who, d.target)));
    }
    frame.render_widget(Paragraph::new(lines), details_area);
}

fn events(frame: &mut Frame<'_>, area: Rect, app: &App) {
    let rows = app.events.iter().rev().map(|e| {
        let day = e.at_ms.div_euclid(1000).rem_euclid(86_400);
        let time = format!("{:02}:{:02}:{:02}", day / 3600, day / 60 % 60, day % 60);
        Row::new([time, e.kind.clone(), e.text.clone()])
    });
    let width = area.width.saturating_sub(18);
    table(frame, area, app, &["utc", "kind", "what"], &[8, 8, width], rows.collect());
}

fn alarms(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    if app.alarms.is_empty() {
        return frame.render_widget(Paragraph::new(Line::styled("no alarms", theme.good())), area);
    }
    let rows = app.alarms.iter().map(|a| {
        let style = if a.severity == "critical" { theme.alert() } else { Style::new() };
        let seen = a.seen_by.clone().unwrap_or_else(|| "-".to_owned());
        Row::new([a.severity.clone(), format_duration(a.for_s), seen, format!("{}: {}", a.alarm, a.text)])
            .style(style)
    });
    let width = area.width.saturating_sub(32);
    table(frame, area, app, &["", "for", "seen by", "alarm"], &[8, 8, 10, width], rows.collect());
}

fn peers(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let details_height = (app.suspicions.len() as u16 + 2).min(area.height / 2);
    let [list_area, details_area] =
        Layout::vertical([Constraint::Min(3), Constraint::Length(details_height)]).areas(area);
    let rows = app.peers.iter().map(|p| {
        let style = if p.state == "alive" { Style::new() } else { theme.alert() };
        let (pressed, trust) = (format!("{:.0}%", p.pressed * 100.0), format!("{:.2}", p.trust));
        Row::new([p.member.clone(), p.address.clone(), p.state.clone(), pressed, trust]).style(style)
    });
    table(
        frame,
        list_area,
        app,
        &["member", "address", "state", "pressed", "trust"],
        &[16, 21, 8, 8, 6],
        rows.collect(),
    );
    let mut lines = vec![Line::styled(format!("{} exchanges are suspected", app.suspicions.len()), HEADING)];
    for s in &app.suspicions {
        let (own, accusers) = (if s.own { ", also unresponsive here" } else { "" }, s.accusers.len());
        let text = format!(
            "exchange {} for {} ms: {accusers} accusers{own}, weight {:.2} against {:.2}",
            s.exchange, s.for_ms, s.weight, s.against
        );
        lines.push(Line::styled(text, theme.alert()));
    }
    frame.render_widget(Paragraph::new(lines), details_area);
}

// ---- Popups ----

fn popup(frame: &mut Frame<'_>, title: &'static str, lines: Vec<Line<'static>>) {
    let screen = frame.area();
    let width = screen.width.saturating_sub(4).min(100);
    let height = (lines.len() as u16 + 2).min(screen.height.saturating_sub(2));
    let area = Rect::new((screen.width - width) / 2, (screen.height - height) / 2, width, height);
    frame.render_widget(Clear, area);
    frame.render_widget(
        Paragraph::new(lines).wrap(Wrap { trim: false }).block(Block::bordered().title(title)),
        area,
    );
}

fn help() -> Vec<Line<'static>> {
    let mut lines: Vec<Line<'static>> = [
        "1 to 7, Tab   pages               up, down, PgUp, PgDn   select",
        "d             drain the selected target; its cost is shown first",
        "u             return it to service",
        "s             acknowledge the selected alarm   /   search calls",
        ":             a command; Tab completes, up recalls earlier ones",
        "q, Ctrl-C     quit; the controller and its drains continue",
        "",
    ]
    .map(Line::raw)
    .to_vec();
    lines.extend(COMMANDS.iter().map(|c| Line::raw(format!(":{}", c.1))));
    lines
}

fn confirm(c: &Confirm) -> Vec<Line<'static>> {
    let mut lines = Vec::new();
    match &c.operation {
        Operation::Drain { target, reason, limit_s, at_limit, force } => {
            let limit = limit_s.map_or("no limit".to_owned(), |s| {
                format!("{} then {at_limit:?}", format_duration(s.into()))
            });
            let forced = if *force { ", by force" } else { "" };
            lines.push(Line::styled(format!("drain {target}: {limit}{forced} {reason}"), HEADING));
        }
        Operation::Round { targets, .. } => {
            lines.push(Line::styled(format!("drain one after the other: {}", targets.join(" ")), HEADING));
        }
        Operation::Stop => {
            lines.push(Line::styled("stop the controller once all calls are answered", HEADING))
        }
        other => lines.push(Line::raw(format!("{other:?}"))),
    }
    match &c.cost {
        None if matches!(c.operation, Operation::Drain { .. }) => {
            lines.push(Line::raw("waiting for its cost"))
        }
        None => {}
        Some(cost) => {
            lines.push(Line::raw(format!(
                "based on the traffic of the last {}:",
                format_duration(cost.over_s)
            )));
            lines.push(Line::raw(format!(
                "  {:.1} calls a minute lose their destination",
                cost.lost_per_minute
            )));
            lines.push(Line::raw(format!(
                "  {:.1} a minute go direct to it, {:.1} use it as a tandem",
                cost.direct_per_minute, cost.tandem_per_minute
            )));
            lines.push(Line::raw(format!(
                "  {} calls established there, {} set-ups unanswered",
                cost.standing, cost.out
            )));
            for d in cost.displaced.iter().take(4) {
                lines.push(Line::raw(format!(
                    "  {:.1} a minute for exchange {} would be routed over {:?}",
                    d.per_minute, d.destination, d.ways
                )));
            }
            for g in cost.groups.iter().filter(|g| g.blocking_then > 0.01).take(4) {
                lines.push(Line::raw(format!(
                    "  group {} would block {:.1}% (now {:.1}%)",
                    g.group,
                    g.blocking_then * 100.0,
                    g.blocking_now * 100.0
                )));
            }
            if !cost.no_way.is_empty() {
                lines.push(Line::raw(format!("  no route would be left to {:?}", cost.no_way)));
            }
            if let Some(denied) = &cost.denied {
                lines.push(Line::styled(format!("rejected by the policy: {denied}"), HEADING));
            }
        }
    }
    lines.push(Line::raw(""));
    lines.push(Line::raw(format!(
        "type {} and Enter to confirm, Esc to cancel: {}_",
        c.confirmation, c.typed
    )));
    lines
}

// ---- Formatting ----

/// Formats a duration in one unit.
fn format_duration(seconds: u64) -> String {
    match seconds {
        0..=119 => format!("{seconds} s"),
        120..=7199 => format!("{} min", seconds / 60),
        7200..=172_799 => format!("{} h", seconds / 3600),
        _ => format!("{} d", seconds / 86_400),
    }
}

fn progress_bar(share: f64) -> String {
    let filled = (share.clamp(0.0, 1.0) * 6.0).round() as usize;
    format!("[{}{}]", "#".repeat(filled), ".".repeat(6 - filled))
}

/// Renders values as a line of small bars, scaled to the highest one.
fn sparkline(values: impl Iterator<Item = u32> + Clone, theme: Theme) -> String {
    let levels: &[char] = if theme.unicode {
        &[' ', '\u{2581}', '\u{2582}', '\u{2583}', '\u{2584}', '\u{2585}', '\u{2586}', '\u{2587}', '\u{2588}']
    } else {
        &[' ', '.', ':', '-', '=', '+', '*', '%', '#']
    };
    let highest = values.clone().max().unwrap_or(0).max(1);
    values.map(|v| levels[(v * 8).div_ceil(highest).min(8) as usize]).collect()
}
