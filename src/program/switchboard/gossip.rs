//! Gossip's part of the task that owns routing.

use super::{Due, Switchboard, Task};
use crate::program::appliance::Appliance;
use crate::program::gossip::{Gossip, Output};
use crate::routing::interface::Micros;
use crate::routing::ledger;

impl Switchboard {
    /// The appliance and gossip hear what the ledger does.
    pub(super) fn observe(&mut self, now: Micros, output: &ledger::Output) {
        if let ledger::Output::Answer { call, .. }
        | ledger::Output::SetUp { call, .. }
        | ledger::Output::Clear { call, .. }
        | ledger::Output::AttemptEnded { call, .. }
        | ledger::Output::Release { call, .. } = output
        {
            crate::program::log::call(output, self.callers.sid_and_number(*call).map(|p| p.0));
        }
        if let Some(a) = &mut self.appliance {
            a.observe(now, output, &self.ledger, &self.aims);
        }
        if let Some(g) = &mut self.gossip {
            g.observe(now, output, &self.ledger);
        }
    }

    pub(super) fn gossip_due(&mut self, now: Micros) {
        if let Some(g) = &mut self.gossip {
            g.due(now, &self.ledger);
        }
    }

    /// Carries out what gossip asks for. Whether there was anything.
    pub(super) fn follow_gossip(&mut self, now: Micros) -> bool {
        let outputs = self.gossip.as_mut().map_or_else(Vec::new, Gossip::take_outputs);
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Datagram(to, body) => self.tasks.push(Task::Gossip(to, body)),
                Output::Suspect(all) => self.ledger.suspected_changed(now, all),
                Output::Peer(from, body) => self.ledger.peer_message(now, from, body),
                Output::Tell(kind, text) => match &mut self.appliance {
                    Some(a) => a.tell(now, now + self.wall_ahead, kind, text),
                    None => Appliance::log(kind, &text),
                },
                Output::Wake(at) => self.deadlines.add(at, Due::Gossip),
            }
        }
        any
    }
}
