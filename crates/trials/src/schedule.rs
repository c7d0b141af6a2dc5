//! What happens when in a trial: a pure function of its seed.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A span in milliseconds.
pub type Millis = u64;

/// What the coordinator does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outage {
    /// It refuses.
    Refuses,
    /// It accepts and never answers.
    Hangs,
    /// Its open streams fall silent, and new ones are never answered.
    Silent,
    /// It answers this late.
    Slow(Millis),
}

/// What an exchange does wrong with some of its set-ups, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Habit {
    /// Answers are lost.
    Loses(u64),
    /// Answers come twice.
    Doubles(u64),
    /// Answers can't be read.
    Spoils(u64),
    /// Set-ups fail.
    Fails(u64),
    /// Connections are reset under set-ups.
    Resets(u64),
    /// Answers come this much later.
    Slower(Millis),
}

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Misdeed {
    /// It sends what is no message.
    Garbage,
    /// It stops within a message.
    HalfMessage,
    /// It uses one name twice.
    SameName,
    /// It writes a byte at a time.
    SlowWriter,
    /// It says nothing.
    Mute,
}

/// A fault. Controllers and exchanges are numbered from 0; a `span` is how long it lasts.
#[allow(missing_docs, reason = "the fields' names say what they hold")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// SIGTERM, SIGKILL at the earliest, and a new start.
    Restart { controller: usize, down: Millis },
    /// SIGKILL, and a new start.
    Kill { controller: usize, down: Millis },
    /// The coordinator is found at another place: every controller's configuration changes so many times in a row.
    Reload { times: u64 },
    /// The coordinator fails.
    Coordinator { outage: Outage, span: Millis },
    /// Its next event ends in the middle.
    CutEvent,
    /// An exchange takes nothing in.
    Hang { exchange: usize, span: Millis },
    /// Its machine vanishes; `replaced`: another one takes its address.
    Vanish { exchange: usize, span: Millis, replaced: bool },
    /// Its process dies and is started again.
    Die { exchange: usize, span: Millis },
    /// It drains; `replaced`: it goes, and another one takes its address.
    Drain { exchange: usize, span: Millis, replaced: bool },
    /// It does something wrong with some set-ups.
    Habit { exchange: usize, habit: Habit, span: Millis },
    /// It closes resting connections.
    CloseResting { exchange: usize },
    /// The way from a controller to an exchange is cut.
    Cut { controller: usize, exchange: usize, span: Millis },
    /// New connections on it come up late.
    Late { controller: usize, exchange: usize, span: Millis },
    /// Messages on it come late and in pieces.
    Pieces { controller: usize, exchange: usize, delay: Millis, span: Millis },
    /// Its connections are reset.
    ResetPath { controller: usize, exchange: usize },
    /// The way of one of a controller's clients is cut.
    CutClient { controller: usize, client: usize, span: Millis },
    /// A bad client comes.
    Bad { controller: usize, misdeed: Misdeed },
    /// So many clients come at once.
    Crowd { controller: usize, size: usize },
}

impl Fault {
    /// Its kind, for tables.
    pub fn kind(&self) -> String {
        let text = format!("{self:?}");
        let kind = text.split([' ', '{']).next().unwrap_or_default();
        match self {
            Fault::Coordinator { outage, .. } => format!("{kind}:{}", first_word(outage)),
            Fault::Habit { habit, .. } => format!("{kind}:{}", first_word(habit)),
            Fault::Bad { misdeed, .. } => format!("{kind}:{misdeed:?}"),
            _ => kind.to_owned(),
        }
    }
}

fn first_word(of: &impl fmt::Debug) -> String {
    format!("{of:?}").split('(').next().unwrap_or_default().to_owned()
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// Since the clients came.
    pub at: Millis,
    /// What.
    pub fault: Fault,
}

/// A trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// From which it follows.
    pub seed: u64,
    /// Controllers.
    pub controllers: usize,
    /// Exchanges.
    pub exchanges: usize,
    /// How long clients make requests.
    pub span: Millis,
    /// How long callers go on trying: the longest deadline.
    pub give_up: Millis,
    /// How long clients wait for an answer.
    pub left: Millis,
    /// Requests a second of each client; there are four of each controller.
    pub rate: u64,
    /// Requests given up early, in percent.
    pub give_up_early: u64,
    /// Connections that clients end with answers on their way, in percent of requests.
    pub hang_up: u64,
    /// What happens.
    pub planned: Vec<Planned>,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {} controllers, {} exchanges, ", self.seed, self.controllers, self.exchanges)?;
        write!(f, "{} ms, deadline {} ms;", self.span, self.give_up)?;
        for Planned { at, fault } in &self.planned {
            write!(f, " {:.1} {}", *at as f64 / 1000.0, fault.kind())?;
        }
        Ok(())
    }
}

struct Draw(ChaCha8Rng);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        self.0.next_u64() % end.max(1)
    }

    fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    fn index(&mut self, end: usize) -> usize {
        self.below(end as u64) as usize
    }

    fn coin(&mut self) -> bool {
        self.below(2) == 0
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.index(from.len())]
    }
}

/// The trial of this seed.
pub fn schedule(seed: u64) -> Schedule {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
    let (controllers, exchanges) = (draw.within(2, 5) as usize, draw.within(3, 7) as usize);
    let span = draw.within(15_000, 22_000);
    let give_up = draw.pick(&[9_000, 9_000, 3_000, 1_200, 600]);
    let left = give_up.min(draw.within(1_000, 2_500));
    let mut planned = restarts(&mut draw, controllers, span, give_up);
    for _ in 0..draw.within(6, 14) {
        let at = draw.within(800, span - 3_000);
        let fault = fault(&mut draw, controllers, exchanges);
        planned.push(Planned { at, fault });
    }
    if draw.below(4) == 0 {
        let crowd = Fault::Crowd { controller: draw.index(controllers), size: draw.within(60, 200) as usize };
        planned.push(Planned { at: draw.within(1_000, span - 4_000), fault: crowd });
    }
    for _ in 0..draw.below(3) {
        let (controller, client) = (draw.index(controllers), draw.index(4));
        let cut = Fault::CutClient { controller, client, span: draw.within(300, 4_000) };
        planned.push(Planned { at: draw.within(1_000, span - 4_000), fault: cut });
    }
    planned.sort_by_key(|p| p.at);
    let (rate, give_up_early, hang_up) =
        (draw.within(5, 12), draw.pick(&[0, 0, 5, 20]), draw.pick(&[0, 0, 0, 1, 3]));
    Schedule { seed, controllers, exchanges, span, give_up, left, rate, give_up_early, hang_up, planned }
}

/// A series of restarts, one controller after the other, with a kill now and then.
fn restarts(draw: &mut Draw, controllers: usize, span: Millis, give_up: Millis) -> Vec<Planned> {
    let mut all = Vec::new();
    let mut at = draw.within(1_000, 4_000);
    for controller in 0..controllers {
        let down = draw.within(50, 700);
        let fault = match draw.below(5) {
            0 => Fault::Kill { controller, down },
            _ => Fault::Restart { controller, down },
        };
        all.push(Planned { at, fault });
        at += give_up.min(3_000) + 700 + down + draw.within(100, 1_500);
        if at + 5_000 > span {
            break;
        }
    }
    all
}

fn fault(draw: &mut Draw, controllers: usize, exchanges: usize) -> Fault {
    let (controller, exchange) = (draw.index(controllers), draw.index(exchanges));
    let (span, replaced) = (draw.within(300, 9_000), draw.coin());
    let delay = draw.within(1, 40);
    match draw.below(20) {
        0 | 1 => Fault::Reload { times: draw.within(1, 5) },
        2..=4 => {
            let slow = Outage::Slow(draw.within(200, 2_000));
            let outage = draw.pick(&[Outage::Refuses, Outage::Hangs, Outage::Silent, slow]);
            Fault::Coordinator { outage, span }
        }
        5 => Fault::CutEvent,
        6 | 7 => Fault::Hang { exchange, span },
        8 | 9 => Fault::Vanish { exchange, span, replaced },
        10 => Fault::Die { exchange, span: span / 3 },
        11 | 12 => Fault::Drain { exchange, span, replaced },
        13 | 14 => {
            let share = draw.within(5, 40);
            let all = [
                Habit::Loses(share),
                Habit::Doubles(share),
                Habit::Spoils(share / 3 + 1),
                Habit::Fails(share),
                Habit::Resets(share / 3 + 1),
                Habit::Slower(share * 20),
            ];
            Fault::Habit { exchange, habit: draw.pick(&all), span }
        }
        15 => Fault::CloseResting { exchange },
        16 => Fault::Cut { controller, exchange, span: span.min(7_000) },
        17 => match replaced {
            true => Fault::Late { controller, exchange, span: span.min(1_000) },
            false => Fault::Pieces { controller, exchange, delay, span },
        },
        18 => Fault::ResetPath { controller, exchange },
        _ => {
            let all = [
                Misdeed::Garbage,
                Misdeed::HalfMessage,
                Misdeed::SameName,
                Misdeed::SlowWriter,
                Misdeed::Mute,
            ];
            Fault::Bad { controller, misdeed: draw.pick(&all) }
        }
    }
}
