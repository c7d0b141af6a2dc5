//! Connects the gossip subsystem to the event loop.

use super::{EventLoop, TimerKey, TransportCommand};
use crate::program::appliance::Appliance;
use crate::program::gossip::{Gossip, Output};
use crate::routing::interface::Micros;
use crate::routing::ledger;

impl EventLoop {
    /// Reports an output of the ledger to the log, the appliance and the gossip subsystem.
    pub(super) fn observe(&mut self, now: Micros, output: &ledger::Output) {
        if let ledger::Output::Answer { call, .. }
        | ledger::Output::SetUp { call, .. }
        | ledger::Output::Clear { call, .. }
        | ledger::Output::AttemptEnded { call, .. }
        | ledger::Output::Release { call, .. } = output
        {
            let sid = self.callers.sid_and_number(*call).map(|p| p.0);
            crate::program::log::log_call_output(output, sid, &self.ledger);
        }
        if let Some(a) = &mut self.appliance {
            a.observe(now, output, &self.ledger, &self.latency_objectives);
        }
        if let Some(g) = &mut self.gossip {
            g.observe(now, output, &self.ledger);
        }
    }

    /// Handles the timer of the gossip subsystem.
    pub(super) fn handle_gossip_timer(&mut self, now: Micros) {
        if let Some(g) = &mut self.gossip {
            g.handle_timer(now, &self.ledger);
        }
    }

    /// Carries out the outputs of the gossip subsystem; returns whether there were any.
    pub(super) fn process_gossip_outputs(&mut self, now: Micros) -> bool {
        let outputs = self.gossip.as_mut().map_or_else(Vec::new, Gossip::take_outputs);
        let had_outputs = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Datagram(to, body) => self.commands.push(TransportCommand::SendGossip(to, body)),
                Output::SetSuspected(suspected) => self.ledger.suspected_changed(now, suspected),
                Output::PeerMessage(from, body) => self.ledger.peer_message(now, from, body),
                Output::Event(kind, text) => match &mut self.appliance {
                    Some(a) => a.record_event(now, now + self.wall_clock_offset, kind, text),
                    None => Appliance::log_event(kind, &text),
                },
                Output::SetTimer(at) => self.timers.add(at, TimerKey::Gossip),
            }
        }
        had_outputs
    }
}
