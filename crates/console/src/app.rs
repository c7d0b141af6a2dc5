//! The console's state, and what keys and messages do to it.

use crate::command::{self, Command};
use crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use std::collections::{BTreeMap, VecDeque};
use walnuthatch_control::frames::{AtLimit, Body, Frame, Operation, Topic, TOPICS};
use walnuthatch_control::views::*;

/// Events kept.
const EVENTS: usize = 500;
/// Lines of the command line kept.
const HISTORY: usize = 50;
/// Orders that wait for their answers; one who sends more must wait.
const PENDING: usize = 16;

/// A page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// Is it serving, what is wrong, what can I do.
    Overview,
    /// The exchanges.
    Exchanges,
    /// The calls.
    Calls,
    /// The drains and windows.
    Drains,
    /// What happened.
    Events,
    /// The alarms.
    Alarms,
    /// The instances that gossip.
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

/// What the keyboard does at present.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    /// Keys move and choose.
    Browse,
    /// A command is being written.
    Line(String),
    /// A search is being written.
    Search(String),
    /// An order waits for its word.
    Confirm(Box<Confirm>),
    /// The help is shown.
    Help,
}

/// An order that waits for its word.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirm {
    /// The order.
    pub ask: Operation,
    /// What it would cost, once that is known.
    pub cost: Option<Cost>,
    /// The word that sends it.
    pub word: &'static str,
    /// What was written so far.
    pub written: String,
}

/// What the outside is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request.
    Send(String, Operation),
    /// Leave.
    Quit,
}

/// How the connection is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// There is one.
    Up,
    /// There is none, for this reason.
    Down(String),
}

/// The state.
#[derive(Debug)]
pub struct App {
    /// The connection.
    pub link: LinkState,
    /// Views as they last came.
    pub status: Option<Status>,
    /// The exchanges.
    pub exchanges: Vec<Exchange>,
    /// The calls that are shown.
    pub calls: Vec<Call>,
    /// All calls.
    pub total: usize,
    /// How calls fare.
    pub service: Service,
    /// Drains that are not over.
    pub drains: Vec<Drain>,
    /// Drains that are.
    pub over: Vec<Drain>,
    /// Windows.
    pub windows: Vec<Window>,
    /// The round of maintenance.
    pub round: Option<Round>,
    /// Alarms.
    pub alarms: Vec<Alarm>,
    /// Instances that gossip.
    pub peers: Vec<Peer>,
    /// What they speak against.
    pub suspicions: Vec<Suspicion>,
    /// Events, oldest first.
    pub events: VecDeque<Event>,
    /// Events that did not come through.
    pub lost: u64,
    /// The page that is shown.
    pub page: Page,
    /// The row that is chosen.
    pub row: usize,
    /// What the keyboard does.
    pub mode: Mode,
    /// The last answer, and whether it was good.
    pub message: Option<(bool, String)>,
    /// What calls are searched for.
    pub search: String,
    history: Vec<String>,
    /// Requests whose answers have not come, by their ids: they go out again on the next connection, and act once.
    pending: BTreeMap<String, Operation>,
    prefix: String,
    next: u64,
}

impl App {
    /// Nothing is known yet. `prefix` makes the ids of requests this console's own.
    pub fn new(prefix: &str) -> App {
        App {
            link: LinkState::Down("connecting".to_owned()),
            status: None,
            exchanges: Vec::new(),
            calls: Vec::new(),
            total: 0,
            service: Service::default(),
            drains: Vec::new(),
            over: Vec::new(),
            windows: Vec::new(),
            round: None,
            alarms: Vec::new(),
            peers: Vec::new(),
            suspicions: Vec::new(),
            events: VecDeque::new(),
            lost: 0,
            page: Page::Overview,
            row: 0,
            mode: Mode::Browse,
            message: None,
            search: String::new(),
            history: Vec::new(),
            pending: BTreeMap::new(),
            prefix: prefix.to_owned(),
            next: 0,
        }
    }

    fn id(&mut self) -> String {
        self.next += 1;
        format!("{}-{}", self.prefix, self.next)
    }

    /// What is watched.
    pub fn watch(&mut self) -> Effect {
        // Counters are long, and for scripts.
        let topics = TOPICS.into_iter().filter(|t| *t != Topic::Counters).collect();
        Effect::Send(self.id(), Operation::Watch { topics, every_ms: 500, search: self.search.clone() })
    }

    /// The connection came up, or was lost.
    pub fn linked(&mut self, state: LinkState) -> Vec<Effect> {
        let up = state == LinkState::Up;
        self.link = state;
        if !up {
            return Vec::new();
        }
        let history =
            Effect::Send(self.id(), Operation::Show { topic: Topic::Events, search: String::new() });
        let again = self.pending.iter().map(|(id, ask)| Effect::Send(id.clone(), ask.clone()));
        let again: Vec<Effect> = again.collect();
        [self.watch(), history].into_iter().chain(again).collect()
    }

    /// A message came.
    pub fn frame(&mut self, frame: Frame) -> Vec<Effect> {
        match frame {
            Frame::View { body, .. } => self.body(body),
            Frame::Lost { lost, .. } => self.lost += lost,
            Frame::Reply { reply, ok, error, body, .. } => {
                let ours = self.pending.remove(&reply).is_some();
                match (ok, body) {
                    (true, Some(Body::Cost(cost))) => self.cost(cost),
                    (true, Some(Body::Done { order, text })) => {
                        self.message = Some((true, format!("order {order}: {text}")))
                    }
                    (true, Some(Body::Text { text })) if ours => self.message = Some((true, text)),
                    (true, Some(body)) => self.body(body),
                    (true, None) => {}
                    (false, _) => self.message = Some((false, error.unwrap_or_default())),
                }
            }
        }
        self.row = self.row.min(self.rows().saturating_sub(1));
        Vec::new()
    }

    fn body(&mut self, body: Body) {
        match body {
            Body::Status(s) => self.status = Some(s),
            Body::Exchanges { exchanges } => self.exchanges = exchanges,
            Body::Calls { calls, total } => (self.calls, self.total) = (calls, total),
            Body::Service(s) => self.service = s,
            Body::Drains { drains, over, windows, round } => {
                (self.drains, self.over, self.windows, self.round) = (drains, over, windows, round);
            }
            Body::Alarms { alarms } => self.alarms = alarms,
            Body::Peers { peers } => self.peers = peers,
            Body::Suspicions { suspicions } => self.suspicions = suspicions,
            Body::Events { events } => self.events = events.into(),
            Body::Event(event) => {
                // What the first list had may come as an event as well.
                if self.events.back().is_none_or(|last| last.number < event.number) {
                    self.events.push_back(event);
                }
                let many = self.events.len().saturating_sub(EVENTS);
                self.events.drain(..many);
            }
            Body::Counters { .. }
            | Body::Audit { .. }
            | Body::Cost(_)
            | Body::Text { .. }
            | Body::Done { .. } => {}
        }
    }

    fn cost(&mut self, cost: Cost) {
        match &mut self.mode {
            Mode::Confirm(c) if matches!(&c.ask, Operation::Drain { target, .. } if *target == cost.target) =>
            {
                if let (Some(_), Operation::Drain { force: true, .. }) = (&cost.denied, &c.ask) {
                    c.word = "force";
                }
                c.cost = Some(cost);
            }
            _ => {
                let text = cost
                    .denied
                    .as_ref()
                    .map_or("it would be taken".to_owned(), |d| format!("turned down: {d}"));
                let lost = format!("{:.1} calls a minute lose their destination", cost.lost_per_minute);
                self.message = Some((cost.denied.is_none(), format!("{}: {lost}; {text}", cost.target)));
            }
        }
    }

    /// Rows of the page that is shown.
    pub fn rows(&self) -> usize {
        match self.page {
            Page::Overview | Page::Exchanges => self.exchanges.len(),
            Page::Calls => self.calls.len(),
            Page::Drains => self.drains.len(),
            Page::Events => self.events.len(),
            Page::Alarms => self.alarms.len(),
            Page::Peers => self.peers.len(),
        }
    }

    /// A key was pressed.
    pub fn key(&mut self, key: KeyEvent) -> Vec<Effect> {
        if key.modifiers.contains(KeyModifiers::CONTROL) && matches!(key.code, KeyCode::Char('c')) {
            return vec![Effect::Quit];
        }
        match std::mem::replace(&mut self.mode, Mode::Browse) {
            Mode::Browse => self.browse(key.code),
            Mode::Help => Vec::new(),
            Mode::Line(text) => self.write_line(key.code, text),
            Mode::Search(text) => match write(key.code, text) {
                Written::More(text) => {
                    self.mode = Mode::Search(text);
                    Vec::new()
                }
                Written::Done(text) => {
                    self.search = text;
                    vec![self.watch()]
                }
                Written::Dropped => Vec::new(),
            },
            Mode::Confirm(confirm) => self.confirm(key.code, confirm),
        }
    }

    fn browse(&mut self, key: KeyCode) -> Vec<Effect> {
        let last = self.rows().saturating_sub(1);
        match key {
            KeyCode::Char(c @ '1'..='7') => self.turn_to(c),
            KeyCode::Tab => {
                let at = PAGES.iter().position(|p| p.0 == self.page).unwrap_or(0);
                self.page = PAGES[(at + 1) % PAGES.len()].0;
                self.row = 0;
            }
            KeyCode::Up | KeyCode::Char('k') => self.row = self.row.saturating_sub(1),
            KeyCode::Down | KeyCode::Char('j') => self.row = (self.row + 1).min(last),
            KeyCode::PageUp => self.row = self.row.saturating_sub(10),
            KeyCode::PageDown => self.row = (self.row + 10).min(last),
            KeyCode::Home => self.row = 0,
            KeyCode::End => self.row = last,
            KeyCode::Char(':') => self.mode = Mode::Line(String::new()),
            KeyCode::Char('/') => {
                self.turn_to('3');
                self.mode = Mode::Search(String::new());
            }
            KeyCode::Char('?') | KeyCode::F(1) => self.mode = Mode::Help,
            KeyCode::Char('d') => {
                if let Some(target) = self.chosen() {
                    return self.ask_drain(target, false);
                }
            }
            KeyCode::Char('u') => {
                if let Some(target) = self.chosen() {
                    return self.send(Operation::Undrain { target });
                }
            }
            KeyCode::Char('s') if self.page == Page::Alarms => {
                if let Some(a) = self.alarms.get(self.row) {
                    return self.send(Operation::Seen { alarm: a.alarm.clone() });
                }
            }
            KeyCode::Esc => self.message = None,
            KeyCode::Char('q') => return vec![Effect::Quit],
            _ => {}
        }
        Vec::new()
    }

    fn turn_to(&mut self, key: char) {
        if let Some(p) = key.to_digit(10).and_then(|d| PAGES.get(d as usize - 1)) {
            (self.page, self.row) = (p.0, 0);
        }
    }

    /// What the chosen row is of.
    fn chosen(&self) -> Option<String> {
        match self.page {
            Page::Overview | Page::Exchanges => {
                self.exchanges.get(self.row).map(|e| format!("exchange:{}", e.exchange))
            }
            Page::Drains => self.drains.get(self.row).map(|d| d.target.clone()),
            _ => None,
        }
    }

    fn ask_drain(&mut self, target: String, force: bool) -> Vec<Effect> {
        let ask =
            Operation::Drain { target, reason: String::new(), limit_s: None, at_limit: AtLimit::Keep, force };
        self.dangerous(ask)
    }

    /// Has an order confirmed; for a drain its cost is asked for.
    fn dangerous(&mut self, ask: Operation) -> Vec<Effect> {
        let cost = match &ask {
            Operation::Drain { target, .. } => Some(Operation::Cost { target: target.clone() }),
            _ => None,
        };
        self.mode = Mode::Confirm(Box::new(Confirm { ask, cost: None, word: "yes", written: String::new() }));
        cost.map_or_else(Vec::new, |cost| self.send(cost))
    }

    fn send(&mut self, ask: Operation) -> Vec<Effect> {
        if self.pending.len() >= PENDING {
            self.message = Some((false, format!("{PENDING} requests wait for their answers")));
            return Vec::new();
        }
        let id = self.id();
        self.pending.insert(id.clone(), ask.clone());
        vec![Effect::Send(id, ask)]
    }

    fn confirm(&mut self, key: KeyCode, mut c: Box<Confirm>) -> Vec<Effect> {
        match write(key, std::mem::take(&mut c.written)) {
            Written::Dropped => self.message = Some((true, "nothing was done".to_owned())),
            Written::More(text) => {
                c.written = text;
                self.mode = Mode::Confirm(c);
            }
            Written::Done(text) if text == c.word => return self.send(c.ask),
            Written::Done(_) => {
                self.message = Some((false, format!("nothing was done: {:?} was expected", c.word)))
            }
        }
        Vec::new()
    }

    fn write_line(&mut self, key: KeyCode, text: String) -> Vec<Effect> {
        if key == KeyCode::Tab {
            let exchanges = self
                .exchanges
                .iter()
                .flat_map(|e| [format!("exchange:{}", e.exchange), format!("group:{}", e.exchange)]);
            let targets: Vec<String> = exchanges.chain(["controller".to_owned()]).collect();
            let alarms: Vec<String> = self.alarms.iter().map(|a| a.alarm.clone()).collect();
            let (text, more) = command::complete(&text, &targets, &alarms);
            self.message = (!more.is_empty()).then(|| (true, more.join("  ")));
            self.mode = Mode::Line(text);
            return Vec::new();
        }
        if key == KeyCode::Up {
            let at = self.history.iter().rposition(|h| *h == text).unwrap_or(self.history.len());
            let earlier = at.checked_sub(1).and_then(|i| self.history.get(i)).cloned();
            self.mode = Mode::Line(earlier.unwrap_or(text));
            return Vec::new();
        }
        match write(key, text) {
            Written::Dropped => Vec::new(),
            Written::More(text) => {
                self.mode = Mode::Line(text);
                Vec::new()
            }
            Written::Done(text) => {
                self.history.push(text.clone());
                let many = self.history.len().saturating_sub(HISTORY);
                self.history.drain(..many);
                self.carry_out(&text)
            }
        }
    }

    fn carry_out(&mut self, line: &str) -> Vec<Effect> {
        match command::parse(line) {
            Err(why) => self.message = Some((false, why)),
            Ok(Command::Run(ask)) => return self.send(ask),
            Ok(Command::Drain(ask) | Command::Confirm(ask)) => return self.dangerous(ask),
            Ok(Command::Search(text)) => {
                self.turn_to('3');
                self.search = text;
                return vec![self.watch()];
            }
            Ok(Command::Page(key)) => self.turn_to(key),
            Ok(Command::Quit) => return vec![Effect::Quit],
        }
        Vec::new()
    }
}

enum Written {
    More(String),
    Done(String),
    Dropped,
}

/// The longest line that is written here.
const LINE: usize = 200;

fn write(key: KeyCode, mut text: String) -> Written {
    match key {
        KeyCode::Enter => return Written::Done(text.trim().to_owned()),
        KeyCode::Esc => return Written::Dropped,
        KeyCode::Backspace if text.is_empty() => return Written::Dropped,
        KeyCode::Backspace => drop(text.pop()),
        KeyCode::Char(c) if text.len() < LINE => text.push(c),
        _ => {}
    }
    Written::More(text)
}
