//! Schedules of fault trials, derived from a seed alone.
//!
//! Schedules are part of a trial's record: names of variants and of the serialized fields are part of its format.
//! Variant names also appear in tables and in the output of `walnuthatch-trials`. The order of the random draws
//! determines the schedule of a seed.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A time or duration (ms).
pub type Millis = u64;

/// A failure of the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outage {
    /// It refuses connections.
    Refuses,
    /// It accepts connections and never answers.
    Hangs,
    /// Its open streams fall silent, and new requests are not answered.
    Silent,
    /// Its responses are delayed by this much.
    Slow(Millis),
}

/// A fault that an exchange injects into some of its set-ups, in percent of the set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeFault {
    /// Answers are lost.
    Loses(u64),
    /// Answers are sent twice.
    Doubles(u64),
    /// Answers are not valid JSON.
    Spoils(u64),
    /// Set-ups fail.
    Fails(u64),
    /// The set-up's connection is reset in place of an answer.
    Resets(u64),
    /// All answers are delayed by this much.
    Slower(Millis),
}

/// A protocol violation by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientFault {
    /// It sends a line that is not a message.
    Garbage,
    /// It stops in the middle of a message.
    HalfMessage,
    /// It sends a request twice with the same identifier.
    SameName,
    /// It writes one byte at a time.
    SlowWriter,
    /// It sends nothing.
    Mute,
}

/// A fault. Controllers and exchanges are numbered from 0; `span` is the duration of the fault and `down` the time
/// until a process is started again.
#[allow(missing_docs, reason = "the fields' names say what they hold")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A controller is restarted: SIGTERM, SIGKILL at the earliest permitted time if it still runs, and a new start.
    Restart { controller: usize, down: Millis },
    /// A controller is killed by SIGKILL and started again.
    Kill { controller: usize, down: Millis },
    /// The coordinator's address changes this many times in a row, by a reload of every controller's configuration.
    Reload { times: u64 },
    /// The coordinator fails.
    Coordinator { outage: Outage, span: Millis },
    /// The coordinator's next event is truncated.
    CutEvent,
    /// An exchange hangs: it neither reads nor answers.
    Hang { exchange: usize, span: Millis },
    /// An exchange's host becomes unreachable; if `replaced`, another host takes over its address.
    Vanish { exchange: usize, span: Millis, replaced: bool },
    /// An exchange's process dies and is started again.
    Die { exchange: usize, span: Millis },
    /// An exchange drains; if `replaced`, it is then removed and another process takes over its address.
    Drain { exchange: usize, span: Millis, replaced: bool },
    /// An exchange injects a fault into some of its set-ups.
    Habit { exchange: usize, habit: ExchangeFault, span: Millis },
    /// An exchange closes its idle connections.
    CloseResting { exchange: usize },
    /// The network path from a controller to an exchange is partitioned.
    Cut { controller: usize, exchange: usize, span: Millis },
    /// Connections of a path are reset, and new ones are established only after `span`.
    Late { controller: usize, exchange: usize, span: Millis },
    /// Messages to a controller are delayed and fragmented.
    Pieces { controller: usize, exchange: usize, delay: Millis, span: Millis },
    /// The connections of a path are reset.
    ResetPath { controller: usize, exchange: usize },
    /// A client is partitioned from its controller.
    CutClient { controller: usize, client: usize, span: Millis },
    /// A client that violates the protocol connects.
    Bad { controller: usize, misdeed: ClientFault },
    /// This many clients connect at once.
    Crowd { controller: usize, size: usize },
}

impl Fault {
    /// Returns the kind of the fault as it is shown in tables.
    pub fn kind(&self) -> String {
        let text = format!("{self:?}");
        let kind = text.split([' ', '{']).next().unwrap_or_default();
        match self {
            Fault::Coordinator { outage, .. } => format!("{kind}:{}", variant_name(outage)),
            Fault::Habit { habit, .. } => format!("{kind}:{}", variant_name(habit)),
            Fault::Bad { misdeed, .. } => format!("{kind}:{misdeed:?}"),
            _ => kind.to_owned(),
        }
    }
}

fn variant_name(value: &impl fmt::Debug) -> String {
    format!("{value:?}").split('(').next().unwrap_or_default().to_owned()
}

/// A fault and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Time since the start of the clients.
    pub at: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The plan of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed that it is derived from.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of exchanges.
    pub exchanges: usize,
    /// Time for which clients make requests.
    #[serde(rename = "span")]
    pub duration: Millis,
    /// The client timeout in the controllers' settings (`giveUp`), which bounds every deadline.
    #[serde(rename = "give_up")]
    pub client_timeout: Millis,
    /// The remaining time that clients state in their requests, for which they wait for an answer.
    #[serde(rename = "left")]
    pub remaining_time: Millis,
    /// Request rate of each client (requests per second); each controller has four clients.
    pub rate: u64,
    /// Requests that clients cancel before their timeout, in percent.
    #[serde(rename = "give_up_early")]
    pub early_cancel_percent: u64,
    /// Requests after which a client closes its connection without waiting for answers, in percent.
    #[serde(rename = "hang_up")]
    pub disconnect_percent: u64,
    /// The planned faults, ordered by time.
    #[serde(rename = "planned")]
    pub faults: Vec<PlannedFault>,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {} controllers, {} exchanges, ", self.seed, self.controllers, self.exchanges)?;
        write!(f, "{} ms, deadline {} ms;", self.duration, self.client_timeout)?;
        for PlannedFault { at, fault } in &self.faults {
            write!(f, " {:.1} {}", *at as f64 / 1000.0, fault.kind())?;
        }
        Ok(())
    }
}

struct ScheduleRng(ChaCha8Rng);

impl ScheduleRng {
    fn below(&mut self, end: u64) -> u64 {
        self.0.next_u64() % end.max(1)
    }

    fn in_range(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    fn index(&mut self, end: usize) -> usize {
        self.below(end as u64) as usize
    }

    fn coin_flip(&mut self) -> bool {
        self.below(2) == 0
    }

    fn choose<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.index(from.len())]
    }
}

/// Derives the schedule of a trial from its seed.
pub fn schedule(seed: u64) -> Schedule {
    let mut rng = ScheduleRng(ChaCha8Rng::seed_from_u64(seed));
    let (controllers, exchanges) = (rng.in_range(2, 5) as usize, rng.in_range(3, 7) as usize);
    let duration = rng.in_range(15_000, 22_000);
    let client_timeout = rng.choose(&[9_000, 9_000, 3_000, 1_200, 600]);
    let remaining_time = client_timeout.min(rng.in_range(1_000, 2_500));
    let mut faults = restarts(&mut rng, controllers, duration, client_timeout);
    for _ in 0..rng.in_range(6, 14) {
        let at = rng.in_range(800, duration - 3_000);
        let fault = random_fault(&mut rng, controllers, exchanges);
        faults.push(PlannedFault { at, fault });
    }
    if rng.below(4) == 0 {
        let crowd = Fault::Crowd { controller: rng.index(controllers), size: rng.in_range(60, 200) as usize };
        faults.push(PlannedFault { at: rng.in_range(1_000, duration - 4_000), fault: crowd });
    }
    for _ in 0..rng.below(3) {
        let (controller, client) = (rng.index(controllers), rng.index(4));
        let cut = Fault::CutClient { controller, client, span: rng.in_range(300, 4_000) };
        faults.push(PlannedFault { at: rng.in_range(1_000, duration - 4_000), fault: cut });
    }
    faults.sort_by_key(|p| p.at);
    let (rate, early_cancel_percent, disconnect_percent) =
        (rng.in_range(5, 12), rng.choose(&[0, 0, 5, 20]), rng.choose(&[0, 0, 0, 1, 3]));
    Schedule {
        seed,
        controllers,
        exchanges,
        duration,
        client_timeout,
        remaining_time,
        rate,
        early_cancel_percent,
        disconnect_percent,
        faults,
    }
}

/// Plans one restart or, with a probability of 1 in 5, one kill of each controller in turn, as far as the duration
/// permits.
fn restarts(
    rng: &mut ScheduleRng,
    controllers: usize,
    duration: Millis,
    client_timeout: Millis,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = rng.in_range(1_000, 4_000);
    for controller in 0..controllers {
        let down = rng.in_range(50, 700);
        let fault = match rng.below(5) {
            0 => Fault::Kill { controller, down },
            _ => Fault::Restart { controller, down },
        };
        faults.push(PlannedFault { at, fault });
        at += client_timeout.min(3_000) + 700 + down + rng.in_range(100, 1_500);
        if at + 5_000 > duration {
            break;
        }
    }
    faults
}

fn random_fault(rng: &mut ScheduleRng, controllers: usize, exchanges: usize) -> Fault {
    let (controller, exchange) = (rng.index(controllers), rng.index(exchanges));
    let (span, replaced) = (rng.in_range(300, 9_000), rng.coin_flip());
    let delay = rng.in_range(1, 40);
    match rng.below(20) {
        0 | 1 => Fault::Reload { times: rng.in_range(1, 5) },
        2..=4 => {
            let slow = Outage::Slow(rng.in_range(200, 2_000));
            let outage = rng.choose(&[Outage::Refuses, Outage::Hangs, Outage::Silent, slow]);
            Fault::Coordinator { outage, span }
        }
        5 => Fault::CutEvent,
        6 | 7 => Fault::Hang { exchange, span },
        8 | 9 => Fault::Vanish { exchange, span, replaced },
        10 => Fault::Die { exchange, span: span / 3 },
        11 | 12 => Fault::Drain { exchange, span, replaced },
        13 | 14 => {
            let share = rng.in_range(5, 40);
            let all = [
                ExchangeFault::Loses(share),
                ExchangeFault::Doubles(share),
                ExchangeFault::Spoils(share / 3 + 1),
                ExchangeFault::Fails(share),
                ExchangeFault::Resets(share / 3 + 1),
                ExchangeFault::Slower(share * 20),
            ];
            Fault::Habit { exchange, habit: rng.choose(&all), span }
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
                ClientFault::Garbage,
                ClientFault::HalfMessage,
                ClientFault::SameName,
                ClientFault::SlowWriter,
                ClientFault::Mute,
            ];
            Fault::Bad { controller, misdeed: rng.choose(&all) }
        }
    }
}
