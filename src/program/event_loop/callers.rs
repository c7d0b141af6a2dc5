//! The callers' front end: its messages, and the outputs of its connections.

use super::{EventLoop, TimerKey, STARTUP_GRACE};
use crate::program::appliance::Appliance;
use crate::program::log::{CALLS_TARGET, CONNECTIONS_TARGET};
use crate::protocol::client::{AcceptedSetUp, ClientOutput, ClientRequest};
use crate::protocol::json_lines::{Kind, Message, Sid};
use crate::protocol::ConnId;
use crate::routing::interface::Micros;
use crate::routing::ledger::AnswerReason;
use crate::transport::outbox::Outbox;
use crate::transport::Side;

impl EventLoop {
    pub(super) fn handle_caller_message(&mut self, now: Micros, conn: ConnId, message: Message) {
        match self.callers.message(now, conn, message) {
            ClientRequest::Offer(accepted) => self.offer_call(now, *accepted),
            ClientRequest::Clear(call) => {
                tracing::debug!(
                    target: CALLS_TARGET,
                    call = call.0,
                    conn = conn.0,
                    "call abandoned or released by its caller"
                );
                self.ledger.caller_left(now, call);
            }
            ClientRequest::ReleasePreviousRun(sid) => self.upstream.release_previous_run(sid),
            ClientRequest::Probe(sid) => {
                let ready = self.upstream.all_contacted() || now - self.started_at >= STARTUP_GRACE;
                let draining =
                    self.draining || self.appliance.as_ref().is_some_and(Appliance::fails_health_checks);
                let code = u16::from(ready && self.stopping.is_none() && !draining);
                let message = Message { code: Some(code), ..Message::new(Kind::Probed, sid) };
                self.send(Side::Callers, conn, None, &message);
            }
            ClientRequest::None => {}
        }
    }

    fn offer_call(&mut self, now: Micros, accepted: AcceptedSetUp) {
        let AcceptedSetUp { set_up, offer } = accepted;
        let (class, left) = (offer.new_call.class, offer.new_call.remaining_time);
        tracing::debug!(target: CALLS_TARGET, sid = %set_up.sid, conn = set_up.conn.0, class, left, "call accepted");
        let call = self.ledger.offer(now, offer);
        self.callers.call_offered(set_up, call);
    }

    /// Offers a set-up that was held until its sid became free.
    fn offer_repeated(&mut self, now: Micros, sid: Sid) {
        if let Some(accepted) = self.callers.take_repeated(now, sid) {
            self.offer_call(now, accepted);
        }
    }

    pub(super) fn handle_caller_output(&mut self, now: Micros, output: ClientOutput) {
        let outbox = |conn| self.outboxes.get(&(Side::Callers, conn));
        match output {
            ClientOutput::Send(conn, message) => self.send(Side::Callers, conn, None, &message),
            ClientOutput::Fail(call) => self.ledger.fail_call(now, call, AnswerReason::ConnectionEnding),
            ClientOutput::OfferRepeated(sid) => self.offer_repeated(now, sid),
            ClientOutput::Closing(conn, reason) => {
                tracing::debug!(target: CONNECTIONS_TARGET, conn = conn.0, "closing the caller's connection: {reason:?}");
            }
            ClientOutput::StopReading(conn) => drop(outbox(conn).map(Outbox::stop_reading)),
            ClientOutput::Close(conn) => drop(outbox(conn).map(Outbox::close)),
            ClientOutput::Abort(conn) => drop(outbox(conn).map(Outbox::abort)),
            ClientOutput::SetTimer(at, timer) => self.timers.add(at, TimerKey::Client(timer)),
        }
    }
}
