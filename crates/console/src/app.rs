//! State of the console, and how keys and messages change it.

use crate::command::{self, Command};
use crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use std::collections::{BTreeMap, VecDeque};
use walnuthatch_control::frames::{AtLimit, Body, Frame, Operation, Topic, TOPICS};
use walnuthatch_control::views::*;

/// Maximum number of events kept.
const MAX_EVENTS: usize = 500;
/// Maximum number of commands kept in the history.
const MAX_HISTORY: usize = 50;
/// Maximum number of unanswered requests; further ones are refused until a reply arrives.
const MAX_PENDING: usize = 16;

/// A page of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// Service quality and exchanges.
    Overview,
    /// Exchanges and gateways.
    Exchanges,
    /// Calls.
    Calls,
    /// Drains, the round of maintenance and maintenance windows.
    Drains,
    /// Recent events.
    Events,
    /// Raised alarms.
    Alarms,
    /// Gossip members and the exchanges they suspect.
    Peers,
}

/// All pages, in the order of their keys.
pub const PAGES: [(Page, &str); 7] = [
    (Page::Overview, "overview"),
    (Page::Exchanges, "exchanges"),
    (Page::Calls, "calls"),
    (Page::Drains, "drains"),
    (Page::Events, "events"),
    (Page::Alarms, "alarms"),
    (Page::Peers, "peers"),
];

/// Input mode of the keyboard.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    /// Keys navigate and act on the selected row.
    Browse,
    /// A command is being typed.
    Command(String),
    /// A search text is being typed.
    Search(String),
    /// An operation awaits confirmation.
    Confirm(Box<Confirm>),
    /// The help window is open.
    Help,
}

/// An operation that awaits confirmation.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirm {
    /// The operation.
    pub operation: Operation,
    /// The estimated cost, once received.
    pub cost: Option<Cost>,
    /// The word that must be typed to confirm.
    pub confirmation: &'static str,
    /// The text typed so far.
    pub typed: String,
}

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request with this id.
    Send(String, Operation),
    /// Quit the console.
    Quit,
}

/// State of the connection to the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Connected.
    Up,
    /// Not connected, for this reason.
    Down(String),
}

/// State of the console.
#[derive(Debug)]
pub struct App {
    /// State of the connection.
    pub link: LinkState,
    /// The last received status.
    pub status: Option<Status>,
    /// Exchanges and gateways.
    pub exchanges: Vec<Exchange>,
    /// Calls that match the search.
    pub calls: Vec<Call>,
    /// Number of all calls.
    pub total_calls: usize,
    /// Call outcomes and answer times.
    pub service: Service,
    /// Active drains.
    pub drains: Vec<Drain>,
    /// Finished drains.
    pub finished_drains: Vec<Drain>,
    /// Maintenance windows.
    pub windows: Vec<Window>,
    /// The current or last round of maintenance.
    pub round: Option<Round>,
    /// Raised alarms.
    pub alarms: Vec<Alarm>,
    /// Gossip members.
    pub peers: Vec<Peer>,
    /// Exchanges that gossip members suspect.
    pub suspicions: Vec<Suspicion>,
    /// Events, oldest first.
    pub events: VecDeque<Event>,
    /// Number of events lost on the way to the console.
    pub lost_events: u64,
    /// The open page.
    pub page: Page,
    /// Index of the selected row.
    pub selected_row: usize,
    /// Input mode.
    pub mode: Mode,
    /// The last result, and whether it was a success.
    pub message: Option<(bool, String)>,
    /// Text that the listed calls contain.
    pub search: String,
    history: Vec<String>,
    /// Unanswered requests by id. They are sent again on the next connection; the id prevents a second execution.
    pending: BTreeMap<String, Operation>,
    id_prefix: String,
    next_request: u64,
}

impl App {
    /// Creates an empty state. `prefix` makes the request ids of this console unique.
    pub fn new(prefix: &str) -> App {
        App {
            link: LinkState::Down("connecting".to_owned()),
            status: None,
            exchanges: Vec::new(),
            calls: Vec::new(),
            total_calls: 0,
            service: Service::default(),
            drains: Vec::new(),
            finished_drains: Vec::new(),
            windows: Vec::new(),
            round: None,
            alarms: Vec::new(),
            peers: Vec::new(),
            suspicions: Vec::new(),
            events: VecDeque::new(),
            lost_events: 0,
            page: Page::Overview,
            selected_row: 0,
            mode: Mode::Browse,
            message: None,
            search: String::new(),
            history: Vec::new(),
            pending: BTreeMap::new(),
            id_prefix: prefix.to_owned(),
            next_request: 0,
        }
    }

    fn next_id(&mut self) -> String {
        self.next_request += 1;
        format!("{}-{}", self.id_prefix, self.next_request)
    }

    /// Returns the request to watch all topics the console shows.
    pub fn watch(&mut self) -> Effect {
        // The counters are a long list meant for scripts; no page shows them.
        let topics = TOPICS.into_iter().filter(|t| *t != Topic::Counters).collect();
        Effect::Send(self.next_id(), Operation::Watch { topics, every_ms: 500, search: self.search.clone() })
    }

    /// Handles a change of the connection. When it comes up, watches and unanswered requests are sent again.
    pub fn link_changed(&mut self, state: LinkState) -> Vec<Effect> {
        let up = state == LinkState::Up;
        self.link = state;
        if !up {
            return Vec::new();
        }
        let history =
            Effect::Send(self.next_id(), Operation::Show { topic: Topic::Events, search: String::new() });
        let unanswered =
            self.pending.iter().map(|(id, operation)| Effect::Send(id.clone(), operation.clone()));
        let unanswered: Vec<Effect> = unanswered.collect();
        [self.watch(), history].into_iter().chain(unanswered).collect()
    }

    /// Handles a message from the controller.
    pub fn handle_frame(&mut self, frame: Frame) -> Vec<Effect> {
        match frame {
            Frame::View { body, .. } => self.apply_body(body),
            Frame::Lost { lost, .. } => self.lost_events += lost,
            Frame::Reply { reply, ok, error, body, .. } => {
                let requested = self.pending.remove(&reply).is_some();
                match (ok, body) {
                    (true, Some(Body::Cost(cost))) => self.apply_cost(cost),
                    (true, Some(Body::Done { order, text })) => {
                        self.message = Some((true, format!("order {order}: {text}")))
                    }
                    (true, Some(Body::Text { text })) if requested => self.message = Some((true, text)),
                    (true, Some(body)) => self.apply_body(body),
                    (true, None) => {}
                    (false, _) => self.message = Some((false, error.unwrap_or_default())),
                }
            }
        }
        self.selected_row = self.selected_row.min(self.row_count().saturating_sub(1));
        Vec::new()
    }

    fn apply_body(&mut self, body: Body) {
        match body {
            Body::Status(s) => self.status = Some(s),
            Body::Exchanges { exchanges } => self.exchanges = exchanges,
            Body::Calls { calls, total } => (self.calls, self.total_calls) = (calls, total),
            Body::Service(s) => self.service = s,
            Body::Drains { drains, over, windows, round } => {
                (self.drains, self.finished_drains, self.windows, self.round) =
                    (drains, over, windows, round);
            }
            Body::Alarms { alarms } => self.alarms = alarms,
            Body::Peers { peers } => self.peers = peers,
            Body::Suspicions { suspicions } => self.suspicions = suspicions,
            Body::Events { events } => self.events = events.into(),
            Body::Event(event) => {
                // An event may already be part of the list requested at connect.
                if self.events.back().is_none_or(|last| last.number < event.number) {
                    self.events.push_back(event);
                }
                let excess = self.events.len().saturating_sub(MAX_EVENTS);
                self.events.drain(..excess);
            }
            Body::Counters { .. }
            | Body::Audit { .. }
            | Body::Cost(_)
            | Body::Text { .. }
            | Body::Done { .. } => {}
        }
    }

    fn apply_cost(&mut self, cost: Cost) {
        match &mut self.mode {
            Mode::Confirm(c) if matches!(&c.operation, Operation::Drain { target, .. } if *target == cost.target) =>
            {
                if let (Some(_), Operation::Drain { force: true, .. }) = (&cost.denied, &c.operation) {
                    c.confirmation = "force";
                }
                c.cost = Some(cost);
            }
            _ => {
                let text = cost
                    .denied
                    .as_ref()
                    .map_or("it would be accepted".to_owned(), |d| format!("rejected: {d}"));
                let lost = format!("{:.1} calls a minute lose their destination", cost.lost_per_minute);
                self.message = Some((cost.denied.is_none(), format!("{}: {lost}; {text}", cost.target)));
            }
        }
    }

    /// Returns the number of rows of the open page.
    pub fn row_count(&self) -> usize {
        match self.page {
            Page::Overview | Page::Exchanges => self.exchanges.len(),
            Page::Calls => self.calls.len(),
            Page::Drains => self.drains.len(),
            Page::Events => self.events.len(),
            Page::Alarms => self.alarms.len(),
            Page::Peers => self.peers.len(),
        }
    }

    /// Handles a key press.
    pub fn handle_key(&mut self, key: KeyEvent) -> Vec<Effect> {
        if key.modifiers.contains(KeyModifiers::CONTROL) && matches!(key.code, KeyCode::Char('c')) {
            return vec![Effect::Quit];
        }
        match std::mem::replace(&mut self.mode, Mode::Browse) {
            Mode::Browse => self.browse(key.code),
            Mode::Help => Vec::new(),
            Mode::Command(text) => self.edit_command(key.code, text),
            Mode::Search(text) => match edit_line(key.code, text) {
                LineEdit::Editing(text) => {
                    self.mode = Mode::Search(text);
                    Vec::new()
                }
                LineEdit::Submitted(text) => {
                    self.search = text;
                    vec![self.watch()]
                }
                LineEdit::Cancelled => Vec::new(),
            },
            Mode::Confirm(confirm) => self.edit_confirmation(key.code, confirm),
        }
    }

    fn browse(&mut self, key: KeyCode) -> Vec<Effect> {
        let last = self.row_count().saturating_sub(1);
        match key {
            KeyCode::Char(c @ '1'..='7') => self.open_page(c),
            KeyCode::Tab => {
                let index = PAGES.iter().position(|p| p.0 == self.page).unwrap_or(0);
                self.page = PAGES[(index + 1) % PAGES.len()].0;
                self.selected_row = 0;
            }
            KeyCode::Up | KeyCode::Char('k') => self.selected_row = self.selected_row.saturating_sub(1),
            KeyCode::Down | KeyCode::Char('j') => self.selected_row = (self.selected_row + 1).min(last),
            KeyCode::PageUp => self.selected_row = self.selected_row.saturating_sub(10),
            KeyCode::PageDown => self.selected_row = (self.selected_row + 10).min(last),
            KeyCode::Home => self.selected_row = 0,
            KeyCode::End => self.selected_row = last,
            KeyCode::Char(':') => self.mode = Mode::Command(String::new()),
            KeyCode::Char('/') => {
                self.open_page('3');
                self.mode = Mode::Search(String::new());
            }
            KeyCode::Char('?') | KeyCode::F(1) => self.mode = Mode::Help,
            KeyCode::Char('d') => {
                if let Some(target) = self.selected_target() {
                    return self.start_drain(target, false);
                }
            }
            KeyCode::Char('u') => {
                if let Some(target) = self.selected_target() {
                    return self.send(Operation::Undrain { target });
                }
            }
            KeyCode::Char('s') if self.page == Page::Alarms => {
                if let Some(a) = self.alarms.get(self.selected_row) {
                    return self.send(Operation::Seen { alarm: a.alarm.clone() });
                }
            }
            KeyCode::Esc => self.message = None,
            KeyCode::Char('q') => return vec![Effect::Quit],
            _ => {}
        }
        Vec::new()
    }

    fn open_page(&mut self, key: char) {
        if let Some(p) = key.to_digit(10).and_then(|d| PAGES.get(d as usize - 1)) {
            (self.page, self.selected_row) = (p.0, 0);
        }
    }

    /// Returns the drain target of the selected row, if it has one.
    fn selected_target(&self) -> Option<String> {
        match self.page {
            Page::Overview | Page::Exchanges => {
                self.exchanges.get(self.selected_row).map(|e| format!("exchange:{}", e.exchange))
            }
            Page::Drains => self.drains.get(self.selected_row).map(|d| d.target.clone()),
            _ => None,
        }
    }

    fn start_drain(&mut self, target: String, force: bool) -> Vec<Effect> {
        let operation =
            Operation::Drain { target, reason: String::new(), limit_s: None, at_limit: AtLimit::Keep, force };
        self.request_confirmation(operation)
    }

    /// Asks the operator to confirm an operation. For a drain, its cost is requested as well.
    fn request_confirmation(&mut self, operation: Operation) -> Vec<Effect> {
        let cost = match &operation {
            Operation::Drain { target, .. } => Some(Operation::Cost { target: target.clone() }),
            _ => None,
        };
        self.mode = Mode::Confirm(Box::new(Confirm {
            operation,
            cost: None,
            confirmation: "yes",
            typed: String::new(),
        }));
        cost.map_or_else(Vec::new, |cost| self.send(cost))
    }

    fn send(&mut self, operation: Operation) -> Vec<Effect> {
        if self.pending.len() >= MAX_PENDING {
            self.message = Some((false, format!("{MAX_PENDING} requests are waiting for replies")));
            return Vec::new();
        }
        let id = self.next_id();
        self.pending.insert(id.clone(), operation.clone());
        vec![Effect::Send(id, operation)]
    }

    fn edit_confirmation(&mut self, key: KeyCode, mut c: Box<Confirm>) -> Vec<Effect> {
        match edit_line(key, std::mem::take(&mut c.typed)) {
            LineEdit::Cancelled => self.message = Some((true, "cancelled".to_owned())),
            LineEdit::Editing(text) => {
                c.typed = text;
                self.mode = Mode::Confirm(c);
            }
            LineEdit::Submitted(text) if text == c.confirmation => return self.send(c.operation),
            LineEdit::Submitted(_) => {
                self.message = Some((false, format!("cancelled: expected {:?}", c.confirmation)))
            }
        }
        Vec::new()
    }

    fn edit_command(&mut self, key: KeyCode, text: String) -> Vec<Effect> {
        if key == KeyCode::Tab {
            let exchanges = self
                .exchanges
                .iter()
                .flat_map(|e| [format!("exchange:{}", e.exchange), format!("group:{}", e.exchange)]);
            let targets: Vec<String> = exchanges.chain(["controller".to_owned()]).collect();
            let alarms: Vec<String> = self.alarms.iter().map(|a| a.alarm.clone()).collect();
            let (text, completions) = command::complete(&text, &targets, &alarms);
            self.message = (!completions.is_empty()).then(|| (true, completions.join("  ")));
            self.mode = Mode::Command(text);
            return Vec::new();
        }
        if key == KeyCode::Up {
            let index = self.history.iter().rposition(|h| *h == text).unwrap_or(self.history.len());
            let earlier = index.checked_sub(1).and_then(|i| self.history.get(i)).cloned();
            self.mode = Mode::Command(earlier.unwrap_or(text));
            return Vec::new();
        }
        match edit_line(key, text) {
            LineEdit::Cancelled => Vec::new(),
            LineEdit::Editing(text) => {
                self.mode = Mode::Command(text);
                Vec::new()
            }
            LineEdit::Submitted(text) => {
                self.history.push(text.clone());
                let excess = self.history.len().saturating_sub(MAX_HISTORY);
                self.history.drain(..excess);
                self.run_command(&text)
            }
        }
    }

    fn run_command(&mut self, line: &str) -> Vec<Effect> {
        match command::parse(line) {
            Err(error) => self.message = Some((false, error)),
            Ok(Command::Run(operation)) => return self.send(operation),
            Ok(Command::Drain(operation) | Command::Confirm(operation)) => {
                return self.request_confirmation(operation)
            }
            Ok(Command::Search(text)) => {
                self.open_page('3');
                self.search = text;
                return vec![self.watch()];
            }
            Ok(Command::Page(key)) => self.open_page(key),
            Ok(Command::Quit) => return vec![Effect::Quit],
        }
        Vec::new()
    }
}

/// Result of a key press in a text field.
enum LineEdit {
    /// The text is still being edited.
    Editing(String),
    /// Enter was pressed.
    Submitted(String),
    /// Editing was cancelled.
    Cancelled,
}

/// Maximum length of a typed line (bytes).
const MAX_LINE_BYTES: usize = 200;

/// Applies a key press to the text of a text field.
fn edit_line(key: KeyCode, mut text: String) -> LineEdit {
    match key {
        KeyCode::Enter => return LineEdit::Submitted(text.trim().to_owned()),
        KeyCode::Esc => return LineEdit::Cancelled,
        KeyCode::Backspace if text.is_empty() => return LineEdit::Cancelled,
        KeyCode::Backspace => drop(text.pop()),
        KeyCode::Char(c) if text.len() < MAX_LINE_BYTES => text.push(c),
        _ => {}
    }
    LineEdit::Editing(text)
}
