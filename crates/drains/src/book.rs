//! The book of drains: the one place that takes operators' orders, moves drains on, and says what is out of service.
//!
//! Orders are numbered and carried out one by one in that order, so that of two contrary ones given at the same
//! instant both are told which came last. An order is saved before it is in force and before it is answered; where
//! saving fails or takes longer than [`SAVE_WAIT`], it is carried out all the same, and its answer says so. A
//! request that comes again under the same id, after a broken connection or after a restart, is answered as before
//! and acts no more.

use crate::drain::{AtLimit, Drain, Order, State, Step};
use crate::guard::Guard;
use crate::impact::{impact, Impact, Traffic};
use crate::plan::{Act, Plan, Stage, TARGETS};
use crate::policy::{Denied, Policy};
use crate::saved::{Audit, Request, Saved, SavedDrain, SavedPlan};
use crate::target::{Exchange, Load, Now, Site, Target};
use crate::windows::Window;
use crate::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// An order waits at most so long for its saving: the operator's screen must not hang on a disk (µs).
pub const SAVE_WAIT: Micros = 2 * SECOND;
/// Requests remembered by their ids. An operator's program repeats at once or not at all.
pub const REQUESTS: usize = 256;
/// Orders kept in the audit log.
pub const AUDIT: usize = 512;
/// The longest reason, name or id (bytes).
pub const TEXT: usize = 200;
/// Drains in force at once, forced ones and windows included.
pub const DRAINS: usize = 256;
/// Drains that are over and still shown.
pub const OVER: usize = 64;
/// A window that was turned down is tried again after this, while it is open (µs).
const WINDOW_RETRY: Micros = 30 * SECOND;
/// Drains in force are looked at this often (µs).
pub const LOOK: Micros = 50_000;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Take out of service.
    Drain {
        /// What.
        target: Target,
        /// Why.
        reason: String,
        /// For how long at most (µs).
        limit: Option<Micros>,
        /// What happens then.
        at_limit: AtLimit,
        /// Override the policy.
        force: bool,
    },
    /// Put back into service.
    Undrain {
        /// What.
        target: Target,
    },
    /// Drain these one after the other, each put back before the next one goes.
    Round {
        /// What, in this order.
        targets: Vec<Target>,
        /// Why.
        reason: String,
        /// An empty one is put back by itself after so long (µs); `None`: when somebody says so.
        pause: Option<Micros>,
    },
    /// The round goes on: the work on what is empty is done, or what halted it is mended.
    Next,
    /// The round ends here; what is drained stays so.
    Halt,
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Drain { target, reason, limit, at_limit, force } => {
                write!(f, "drain {target}")?;
                if let Some(l) = limit {
                    write!(f, " for {} s then {at_limit:?}", l / SECOND)?;
                }
                if *force {
                    f.write_str(" by force")?;
                }
                if !reason.is_empty() {
                    write!(f, " ({reason})")?;
                }
                Ok(())
            }
            Command::Undrain { target } => write!(f, "undrain {target}"),
            Command::Round { targets, reason, .. } => {
                let names: Vec<String> = targets.iter().map(Target::to_string).collect();
                write!(f, "round of {}", names.join(" "))?;
                if reason.is_empty() {
                    Ok(())
                } else {
                    write!(f, " ({reason})")
                }
            }
            Command::Next => f.write_str("next of the round"),
            Command::Halt => f.write_str("halt of the round"),
        }
    }
}

/// A command, with who gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The id that the operator's program chose; the same one again acts no more. Empty: none.
    pub request: String,
    /// Who asks.
    pub who: String,
    /// What for.
    pub command: Command,
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it was done.
    pub done: bool,
    /// The order's number.
    pub order: Option<Order>,
    /// In words.
    pub text: String,
}

/// Names whoever waits for an answer; means nothing to the book.
pub type Waiter = u64;

/// What is out of service, in whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawn {
    /// Exchanges.
    pub exchanges: BTreeSet<Exchange>,
    /// Groups, by their far ends.
    pub groups: BTreeSet<Exchange>,
    /// This controller's tests fail, so that callers go elsewhere.
    pub tests: bool,
    /// This controller takes no new calls.
    pub all: bool,
}

/// Something that an operator may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A drain went on to another state.
    Moved {
        /// The drain's order.
        order: Order,
        /// What it drains.
        target: Target,
        /// Its state.
        state: State,
        /// What is at the target.
        load: Load,
        /// Who asked for it.
        who: String,
    },
    /// Service fell from the first share to the second, and the guard put the target back.
    Guarded {
        /// What.
        target: Target,
        /// Share of calls well served before.
        before: f64,
        /// Share well served now.
        now: f64,
    },
    /// The round of maintenance went on.
    Round {
        /// The target at hand.
        target: Option<Target>,
        /// Where it is.
        stage: Stage,
    },
    /// A window could not begin its drain.
    WindowDenied {
        /// Its name.
        window: String,
        /// Why.
        why: String,
    },
    /// A saving failed or took too long: what is in force would not survive.
    Unsaved(String),
    /// Savings work again.
    SavedAgain,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Save this, and call [`Book::saved`] with the number.
    Save(u64, Box<Saved>),
    /// Answer whoever waits.
    Answer(Waiter, Answer),
    /// This is out of service from now on.
    Apply(Withdrawn),
    /// Release the calls that stand at the target.
    Cut(Target),
    /// Tell.
    Tell(News),
}

/// An order that is being saved.
#[derive(Clone, Debug)]
struct Pending {
    /// The saving that has it.
    saving: u64,
    since: Micros,
    waiter: Option<Waiter>,
    order: Order,
    request: String,
    answer: String,
}

/// All drains.
#[derive(Debug)]
pub struct Book {
    policy: Policy,
    windows: Vec<Window>,
    own: Option<Exchange>,
    /// Whether there is a folder to save to.
    keeps: bool,
    /// Drains that are not over.
    drains: Vec<Drain>,
    over: VecDeque<Drain>,
    plan: Option<Plan>,
    next: Order,
    saving: u64,
    /// The last saving that failed has not been followed by one that did not.
    unsaved: bool,
    pending: Vec<Pending>,
    requests: VecDeque<Request>,
    audit: VecDeque<Audit>,
    begun: BTreeMap<String, Micros>,
    retry: BTreeMap<String, Micros>,
    applied: Withdrawn,
    out: Vec<Output>,
}

impl Book {
    /// An empty book. `own`: the exchange that the controller runs in. `keeps`: there is a folder to save to.
    pub fn new(policy: Policy, windows: Vec<Window>, own: Option<Exchange>, keeps: bool) -> Book {
        Book {
            policy,
            windows,
            own,
            keeps,
            drains: Vec::new(),
            over: VecDeque::new(),
            plan: None,
            next: 1,
            saving: 0,
            unsaved: false,
            pending: Vec::new(),
            requests: VecDeque::new(),
            audit: VecDeque::new(),
            begun: BTreeMap::new(),
            retry: BTreeMap::new(),
            applied: Withdrawn::default(),
            out: Vec::new(),
        }
    }

    /// Goes on where an earlier life of the program was. A drain that was in force is in force at once: its target
    /// is taken out of service before anything is sent.
    pub fn resume(&mut self, now: Now, saved: Saved) {
        // A clock that went back in between must not make a limit longer.
        let away = (now.wall - saved.wall).max(0);
        (self.next, self.begun) = (saved.next.max(self.next), saved.windows);
        self.requests = saved.requests.into();
        self.audit = saved.audit.into();
        for s in saved.drains {
            let mut d = Drain::asked(s.order, s.target, now.steady);
            d.reason = s.reason;
            d.who = s.who;
            d.asked_wall = s.asked_wall;
            d.limit = s.limit_left.map(|left| now.steady + (left - away).max(0));
            d.at_limit = s.at_limit;
            d.limit_done = s.limit_done;
            d.forced = s.forced;
            d.window = s.window.zip(s.window_start);
            let mut steps = Vec::new();
            d.begin(now.steady, &mut steps);
            self.drains.push(d);
        }
        self.plan = saved.plan.map(|p| Plan {
            order: p.order,
            targets: p.targets,
            at: p.at,
            stage: p.stage,
            since: now.steady,
            who: p.who,
            reason: p.reason,
            pause: p.pause,
            before: p.before,
            margin: self.policy.guard_margin,
        });
        self.apply();
    }

    /// Takes over a policy and windows that were read anew. A window that is gone ends its drain at its limit.
    pub fn reload(&mut self, policy: Policy, windows: Vec<Window>) {
        self.policy = policy;
        self.retry.clear();
        self.windows = windows;
    }

    /// The policy in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The windows.
    pub fn windows(&self) -> &[Window] {
        &self.windows
    }

    /// Drains that are not over, oldest first.
    pub fn drains(&self) -> &[Drain] {
        &self.drains
    }

    /// The round of maintenance, the last one also when it is over.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// Drains that are over, oldest first.
    pub fn over(&self) -> impl Iterator<Item = &Drain> {
        self.over.iter()
    }

    /// The audit log, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &Audit> {
        self.audit.iter()
    }

    /// Whether what is in force would not survive a restart, though it ought to.
    pub fn unsaved(&self) -> bool {
        self.unsaved
    }

    /// Whether a window's drain was turned down at the last try.
    pub fn denied(&self, window: &str) -> bool {
        self.retry.contains_key(window)
    }

    /// What is out of service.
    pub fn withdrawn(&self) -> &Withdrawn {
        &self.applied
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// When [`Book::look`] must be called again at the latest.
    pub fn next_look(&self, now: Now) -> Micros {
        let round = self.plan.as_ref().is_some_and(|p| !p.rests());
        let busy = !self.drains.is_empty() || !self.pending.is_empty() || round;
        now.steady + if busy { LOOK } else { SECOND }
    }

    /// What a drain would cost.
    pub fn cost(&self, now: Now, target: Target, traffic: &Traffic, site: &dyn Site) -> Impact {
        let drained = self.drains.iter().map(|d| d.target).collect();
        impact(now.steady, target, &drained, traffic, site)
    }

    /// Whether a drain would be taken, and what it would cost: a dry run.
    ///
    /// # Errors
    /// Why it would be turned down; the cost is told all the same by [`Book::cost`].
    pub fn dry_run(
        &self,
        now: Now,
        target: Target,
        force: bool,
        traffic: &Traffic,
        site: &dyn Site,
    ) -> Result<(), Denied> {
        let cost = self.cost(now, target, traffic, site);
        self.policy.check(target, force, &self.drains, &cost, site, self.own)
    }

    /// Takes an order. It is answered in [`Book::take_outputs`], at once if it is turned down or was answered
    /// before, else once it is saved.
    pub fn order(&mut self, now: Now, ask: Ask, waiter: Option<Waiter>, traffic: &Traffic, site: &dyn Site) {
        let command = ask.command.to_string();
        if let Some(at) = self.requests.iter().position(|r| !ask.request.is_empty() && r.id == ask.request) {
            return self.repeated(at, &ask, &command, waiter);
        }
        let order = self.next;
        // Orders that this one gives rise to come after it.
        self.next += 1;
        let answer = self.carry_out(now, order, &ask, None, traffic, site);
        self.note(now, &ask, &command, &answer);
        match answer {
            Err(denied) => {
                let answer = Answer { done: false, order: None, text: denied.to_string() };
                self.next = order;
                self.remember(&ask.request, &command, &answer);
                self.save(now);
                self.reply(waiter, answer);
            }
            Ok(text) => {
                let answer = Answer { done: true, order: Some(order), text: text.clone() };
                self.remember(&ask.request, &command, &answer);
                self.enter(now, order, waiter, ask.request, text);
            }
        }
        self.apply();
    }

    /// A saving is done, or failed for this reason.
    pub fn saved(&mut self, now: Now, saving: u64, how: Result<(), String>) {
        match &how {
            Ok(()) if self.unsaved => {
                self.unsaved = false;
                self.out.push(Output::Tell(News::SavedAgain));
            }
            Err(why) => {
                self.unsaved = true;
                self.out.push(Output::Tell(News::Unsaved(why.clone())));
            }
            Ok(()) => {}
        }
        self.settled(now, saving, how.err());
        self.apply();
    }

    /// Looks at all drains and windows; to be called as [`Book::next_look`] says.
    pub fn look(&mut self, now: Now, traffic: &Traffic, site: &dyn Site) {
        let overdue = |p: &&Pending| now.steady - p.since >= SAVE_WAIT;
        if let Some(saving) = self.pending.iter().filter(overdue).map(|p| p.saving).max() {
            let why = format!("not saved within {} s", SAVE_WAIT / SECOND);
            if !self.unsaved {
                self.unsaved = true;
                self.out.push(Output::Tell(News::Unsaved(why.clone())));
            }
            self.settled(now, saving, Some(why));
        }
        let mut changed = false;
        for i in 0..self.drains.len() {
            let target = self.drains[i].target;
            let grace = if target == Target::Controller { self.policy.own_grace } else { self.policy.grace };
            let mut steps = Vec::new();
            self.drains[i].look(now.steady, site.load(target), site.health(), grace, &mut steps);
            self.tell(i, &steps);
            changed |= !steps.is_empty();
        }
        self.bury();
        changed |= self.look_at_windows(now, traffic, site);
        changed |= self.look_at_round(now, traffic, site);
        if changed {
            self.save(now);
        }
        self.apply();
    }

    // ---- Within ----

    fn look_at_windows(&mut self, now: Now, traffic: &Traffic, site: &dyn Site) -> bool {
        let mut changed = false;
        for w in self.windows.clone() {
            let open = w.open_at(now.wall);
            let ours = |d: &Drain| d.window.as_ref().is_some_and(|x| x.0 == w.name);
            if let Some(at) = self.drains.iter().position(ours) {
                // Its own limit ends it at the latest; a wall's clock that went on past its end does so before.
                let start = self.drains[at].window.as_ref().map_or(now.wall, |x| x.1);
                if now.wall >= start + w.length && w.at_end == AtLimit::Restore {
                    let mut steps = Vec::new();
                    self.drains[at].restore(now.steady, &mut steps);
                    self.tell(at, &steps);
                    self.bury();
                    changed = true;
                }
                continue;
            }
            // An occurrence begins once, though the clock may pass its start again.
            let Some(start) = open.filter(|s| self.begun.get(&w.name).is_none_or(|b| s > b)) else {
                continue;
            };
            if self.retry.get(&w.name).is_some_and(|t| now.steady < *t) {
                continue;
            }
            let command = Command::Drain {
                target: w.target,
                reason: format!("maintenance window {}", w.name),
                limit: Some((start + w.length - now.wall).max(SECOND)),
                at_limit: w.at_end,
                force: w.force,
            };
            let ask = Ask { request: String::new(), who: format!("window {}", w.name), command };
            let order = self.next;
            let answer = self.carry_out(now, order, &ask, Some((w.name.clone(), start)), traffic, site);
            let command = ask.command.to_string();
            match &answer {
                Ok(text) => {
                    self.next += 1;
                    self.begun.insert(w.name.clone(), start);
                    self.retry.remove(&w.name);
                    self.note(now, &ask, &command, &answer);
                    self.enter(now, order, None, String::new(), text.clone());
                }
                Err(why) => {
                    if self.retry.insert(w.name.clone(), now.steady + WINDOW_RETRY).is_none() {
                        self.note(now, &ask, &command, &answer);
                    }
                    let (window, why) = (w.name.clone(), why.to_string());
                    self.out.push(Output::Tell(News::WindowDenied { window, why }));
                }
            }
        }
        changed
    }

    /// The state of the drain that the round is at.
    fn round_drain(&self) -> Option<State> {
        let target = self.plan.as_ref()?.target()?;
        self.drains.iter().find(|d| d.target == target).map(|d| d.state)
    }

    fn look_at_round(&mut self, now: Now, traffic: &Traffic, site: &dyn Site) -> bool {
        let (drain, health) = (self.round_drain(), site.health());
        let Some(plan) = &mut self.plan else { return false };
        let (before, at) = (plan.stage.clone(), plan.at);
        let act = plan.look(now.steady, drain, health);
        self.act_of_round(now, act, traffic, site);
        let Some(plan) = &self.plan else { return false };
        let changed = (&before, at) != (&plan.stage, plan.at);
        if changed {
            let (target, stage) = (plan.target(), plan.stage.clone());
            self.out.push(Output::Tell(News::Round { target, stage }));
        }
        changed
    }

    /// Carries out what the round asks for, by the same orders as an operator's.
    fn act_of_round(&mut self, now: Now, act: Option<Act>, traffic: &Traffic, site: &dyn Site) {
        let (Some(act), Some(plan)) = (act, self.plan.clone()) else { return };
        let command = match act {
            Act::Drain(target) => {
                let reason = format!("round {} {}", plan.order, plan.reason);
                Command::Drain { target, reason, limit: None, at_limit: AtLimit::Keep, force: false }
            }
            Act::Undrain(target) => Command::Undrain { target },
        };
        let ask = Ask { request: String::new(), who: plan.who.clone(), command };
        let order = self.next;
        let answer = self.carry_out(now, order, &ask, None, traffic, site);
        self.note(now, &ask, &ask.command.to_string(), &answer);
        let how = answer.as_ref().map(|_| order).map_err(ToString::to_string);
        if let Ok(text) = answer {
            self.next += 1;
            self.enter(now, order, None, String::new(), text);
        }
        let Some(plan) = &mut self.plan else { return };
        match act {
            Act::Drain(_) => plan.drained(now.steady, how),
            Act::Undrain(_) => plan.go(now.steady, Stage::Settling),
        }
    }

    /// An order is saved, and then in force and answered.
    fn enter(&mut self, now: Now, order: Order, waiter: Option<Waiter>, request: String, answer: String) {
        self.save(now);
        let (saving, since) = (self.saving, now.steady);
        self.pending.push(Pending { saving, since, waiter, order, request, answer });
        if !self.keeps {
            self.settled(now, saving, None);
        }
    }

    fn round(&mut self, now: Now, order: Order, ask: &Ask, site: &dyn Site) -> Result<String, Denied> {
        let Command::Round { targets, reason, pause } = &ask.command else {
            return Err(Denied::Round("no round"));
        };
        if self.plan.as_ref().is_some_and(|p| !p.rests()) {
            return Err(Denied::Round("a round is under way: halt it first"));
        }
        let distinct: BTreeSet<&Target> = targets.iter().collect();
        if targets.is_empty() || targets.len() > TARGETS || distinct.len() != targets.len() {
            return Err(Denied::Round("expected 1 to 64 targets, none of them twice"));
        }
        if targets.contains(&Target::Controller) {
            return Err(Denied::Round("a round has no place for the controller itself"));
        }
        self.plan = Some(Plan {
            order,
            targets: targets.clone(),
            at: 0,
            stage: Stage::Next,
            since: now.steady,
            who: ask.who.clone(),
            reason: reason.clone(),
            pause: *pause,
            before: site.health().good,
            margin: self.policy.guard_margin,
        });
        Ok(format!("a round of {}", targets.len()))
    }

    fn carry_out(
        &mut self,
        now: Now,
        order: Order,
        ask: &Ask,
        window: Option<(String, Micros)>,
        traffic: &Traffic,
        site: &dyn Site,
    ) -> Result<String, Denied> {
        for (what, text) in [("request", &ask.request), ("who", &ask.who)] {
            if text.len() > TEXT {
                return Err(Denied::TooLong(what, TEXT));
            }
        }
        match &ask.command {
            Command::Drain { target, reason, limit, at_limit, force } => {
                if reason.len() > TEXT {
                    return Err(Denied::TooLong("reason", TEXT));
                }
                if self.policy.reason_needed && reason.trim().is_empty() {
                    return Err(Denied::NoReason);
                }
                let cost = self.cost(now, *target, traffic, site);
                let until = now.steady + self.policy.guard_span;
                let guard = Guard::new(site.health(), self.policy.guard_margin, until).filter(|_| !force);
                // A window's length was checked when it was read.
                let limit = if window.is_some() { *limit } else { self.policy.limit(*limit)? };
                self.policy.check(*target, *force, &self.drains, &cost, site, self.own)?;
                if self.drains.len() >= DRAINS {
                    let (now, most) = (self.drains.len(), DRAINS);
                    return Err(Denied::TooMany { now, most, which: "the book is full".to_owned() });
                }
                let drain = Drain {
                    reason: reason.clone(),
                    who: ask.who.clone(),
                    asked_wall: now.wall,
                    limit: limit.map(|l| now.steady + l),
                    at_limit: *at_limit,
                    forced: *force,
                    window,
                    guard,
                    load: cost.load,
                    peak: cost.load,
                    ..Drain::asked(order, *target, now.steady)
                };
                self.drains.push(drain);
                let Load { out, standing } = cost.load;
                Ok(format!("{target} drains: {standing} calls stand there, {out} set-ups are out"))
            }
            Command::Round { reason, .. } if reason.len() > TEXT => Err(Denied::TooLong("reason", TEXT)),
            Command::Round { .. } => self.round(now, order, ask, site),
            Command::Next => {
                let drain = self.round_drain();
                let plan = self.plan.as_mut().filter(|p| p.stage != Stage::Done);
                let plan = plan.ok_or(Denied::Round("no round is under way"))?;
                let act = plan.next(now.steady, drain);
                if act.is_none() && plan.stage != Stage::Next {
                    return Err(Denied::Round("the round waits for a drain or for service, not for a word"));
                }
                self.act_of_round(now, act, traffic, site);
                Ok("the round goes on".to_owned())
            }
            Command::Halt => {
                let plan = self.plan.as_mut().filter(|p| !p.rests());
                let plan = plan.ok_or(Denied::Round("no round is under way"))?;
                plan.halt(now.steady, format!("halted by {}", ask.who));
                Ok("the round is halted; what is drained stays so".to_owned())
            }
            Command::Undrain { target } => {
                let at = self.drains.iter().position(|d| d.target == *target);
                let at = at.ok_or(Denied::NotDrained(*target))?;
                let (first, who) = (self.drains[at].order, self.drains[at].who.clone());
                let mut steps = Vec::new();
                self.drains[at].restore(now.steady, &mut steps);
                self.tell(at, &steps);
                self.bury();
                // Whoever still waits to hear of that drain is told that it is over.
                let late = Denied::Superseded(order, ask.who.clone()).to_string();
                for p in self.pending.iter_mut().filter(|p| p.order == first) {
                    p.answer = late.clone();
                    if let Some(waiter) = p.waiter.take() {
                        let answer = Answer { done: false, order: Some(first), text: late.clone() };
                        self.out.push(Output::Answer(waiter, answer));
                    }
                }
                Ok(format!("{target} is back in service: order {first} of {who} is over"))
            }
        }
    }

    /// The same request again.
    fn repeated(&mut self, at: usize, ask: &Ask, command: &str, waiter: Option<Waiter>) {
        let known = &self.requests[at];
        if known.command != command {
            let text = Denied::IdReused(ask.request.clone()).to_string();
            return self.reply(waiter, Answer { done: false, order: None, text });
        }
        // Whoever repeats takes the place of whoever asked before: that connection is gone.
        if let Some(p) = self.pending.iter_mut().find(|p| p.request == ask.request) {
            p.waiter = waiter;
            return;
        }
        let answer = Answer { done: known.done, order: known.order, text: known.text.clone() };
        self.reply(waiter, answer);
    }

    fn reply(&mut self, waiter: Option<Waiter>, answer: Answer) {
        self.out.extend(waiter.map(|w| Output::Answer(w, answer)));
    }

    fn remember(&mut self, id: &str, command: &str, answer: &Answer) {
        if id.is_empty() || id.len() > TEXT {
            return;
        }
        let Answer { done, order, text } = answer.clone();
        self.requests.push_back(Request {
            id: id.to_owned(),
            command: command.to_owned(),
            done,
            order,
            text,
        });
        if self.requests.len() > REQUESTS {
            self.requests.pop_front();
        }
    }

    fn note(&mut self, now: Now, ask: &Ask, command: &str, answer: &Result<String, Denied>) {
        let answer = match answer {
            Ok(text) => text.clone(),
            Err(e) => format!("turned down: {e}"),
        };
        // Texts that are too long were turned down, and are not kept whole.
        let (what, who) = (start(command, 2 * TEXT), start(&ask.who, TEXT));
        self.audit.push_back(Audit { wall: now.wall, who, what, answer });
        if self.audit.len() > AUDIT {
            self.audit.pop_front();
        }
    }

    /// A saving, and so all before it, has come to an end: the orders in it are in force, and answered.
    fn settled(&mut self, now: Now, saving: u64, failed: Option<String>) {
        let (done, waiting): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|p| p.saving <= saving);
        self.pending = waiting;
        for p in done {
            if let Some(at) = self.drains.iter().position(|d| d.order == p.order) {
                let mut steps = Vec::new();
                self.drains[at].begin(now.steady, &mut steps);
                self.tell(at, &steps);
            }
            let mut text = p.answer;
            if let Some(why) = &failed {
                text = format!("{text} (not saved, and lost with a restart: {why})");
            }
            self.reply(p.waiter, Answer { done: true, order: Some(p.order), text });
        }
    }

    fn tell(&mut self, at: usize, steps: &[Step]) {
        let d = &self.drains[at];
        for step in steps {
            let (order, target, load, who) = (d.order, d.target, d.load, d.who.clone());
            self.out.push(match step {
                Step::To(state) => Output::Tell(News::Moved { order, target, state: *state, load, who }),
                Step::Cut => Output::Cut(target),
                Step::Guarded(before, now) => {
                    Output::Tell(News::Guarded { target, before: *before, now: *now })
                }
            });
        }
    }

    /// Drains that are over leave the table of those in force.
    fn bury(&mut self) {
        let (over, rest): (Vec<_>, Vec<_>) = self.drains.drain(..).partition(|d| d.state == State::Restored);
        self.drains = rest;
        self.over.extend(over);
        let many = self.over.len().saturating_sub(OVER);
        self.over.drain(..many);
    }

    /// Says what is out of service, if that has changed.
    fn apply(&mut self) {
        let mut w = Withdrawn::default();
        for d in self.drains.iter().filter(|d| d.state.in_force()) {
            match d.target {
                Target::Exchange(e) => drop(w.exchanges.insert(e)),
                Target::Group(e) => drop(w.groups.insert(e)),
                Target::Controller => {
                    w.tests = true;
                    w.all |= d.state != State::Shedding;
                }
            }
        }
        if w != self.applied {
            self.applied = w.clone();
            self.out.push(Output::Apply(w));
        }
    }

    /// Only the newest saving matters: each has all.
    fn save(&mut self, now: Now) {
        if !self.keeps {
            return;
        }
        self.saving += 1;
        let left = |d: &Drain| d.limit.map(|l| (l - now.steady).max(0));
        let drain = |d: &Drain| SavedDrain {
            order: d.order,
            target: d.target,
            state: d.state,
            reason: d.reason.clone(),
            who: d.who.clone(),
            asked_wall: d.asked_wall,
            limit_left: left(d),
            at_limit: d.at_limit,
            limit_done: d.limit_done,
            forced: d.forced,
            window: d.window.as_ref().map(|w| w.0.clone()),
            window_start: d.window.as_ref().map(|w| w.1),
        };
        let saved = Saved {
            wall: now.wall,
            next: self.next,
            windows: self.begun.clone(),
            drains: self.drains.iter().map(drain).collect(),
            plan: self.plan.as_ref().map(|p| SavedPlan {
                order: p.order,
                targets: p.targets.clone(),
                at: p.at,
                who: p.who.clone(),
                reason: p.reason.clone(),
                pause: p.pause,
                before: p.before,
                stage: p.stage.clone(),
            }),
            requests: self.requests.iter().cloned().collect(),
            audit: self.audit.iter().cloned().collect(),
        };
        self.out.push(Output::Save(self.saving, Box::new(saved)));
    }
}

/// The first bytes of a text, up to `most`, without half a character.
fn start(text: &str, most: usize) -> String {
    let fits = |&(at, c): &(usize, char)| at + c.len_utf8() <= most;
    text.char_indices().take_while(fits).map(|c| c.1).collect()
}
