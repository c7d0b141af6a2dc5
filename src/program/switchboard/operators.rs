//! What operators see of the task that owns routing, and what their orders do to it.

use super::{Due, Switchboard, Task};
use crate::program::appliance::{self, Appliance};
use crate::program::views::Scene;
use crate::routing::interface::{ExchangeNo, Micros};
use walnuthatch_drains::target::{Now, Target};

impl Switchboard {
    /// All that views are made of.
    pub(super) fn scene(&self, now: Micros) -> Scene<'_> {
        Scene {
            now,
            born: self.born,
            config: &self.config,
            ledger: &self.ledger,
            links: &self.links,
            agent: self.agent.as_ref(),
            gossip: self.gossip.as_ref(),
            connections: self.outboxes.len(),
            deadlines: self.deadlines.len(),
            stopping: self.stopping.is_some(),
            draining: self.draining,
            counters: Box::new(|| self.counters()),
        }
    }

    pub(super) fn with_appliance(&mut self, now: Micros, act: impl FnOnce(&mut Appliance, Now, &Scene<'_>)) {
        if let Some(mut a) = self.appliance.take() {
            act(&mut a, Now::new(now, now + self.wall_ahead), &self.scene(now));
            self.appliance = Some(a);
        }
    }

    /// How far the wall's clock is ahead of the program's, for what goes by the wall's.
    pub fn note_wall(&mut self, ahead: Micros) {
        self.wall_ahead = ahead;
    }

    pub(super) fn appliance_output(&mut self, now: Micros, output: appliance::Output) {
        match output {
            appliance::Output::Withdraw(w) => {
                self.ledger.withdraw(now, w.clone());
                let list = self.ledger.withdrawals();
                let shed = list.offices().map(|o| o.0).filter(|e| w.holds(e.exchange));
                shed.for_each(|e| self.links.shed(e.office));
            }
            appliance::Output::Cut(target) => self.ledger.cut(now, |leg, to| match target {
                Target::Exchange(e) => leg == Some(ExchangeNo(e.0)) || to == ExchangeNo(e.0),
                Target::Group(e) => leg == Some(ExchangeNo(e.0)),
                Target::Controller => true,
            }),
            appliance::Output::Reopen => self.ledger.reopen(now),
            appliance::Output::Save(n, saved) => self.tasks.push(Task::Save((n, saved))),
            appliance::Output::Stop => self.stop(now),
            appliance::Output::Wake(at) => self.deadlines.add(at, Due::Appliance),
        }
    }
}
