//! Responses to the agent's commands, and its timers.

use super::endpoints::format_call_id;
use super::*;

impl Agent {
    pub(super) fn handle_response(&mut self, now: Micros, from: SocketAddr, response: Response) {
        let outcome = self.transactions.handle_response(now, from, &response);
        if let Some(at) = outcome.deadline {
            self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(response.transaction)));
        }
        if let Some(text) = outcome.acknowledgement {
            self.outputs.push(AgentOutput::Datagram(from, text.into_bytes()));
        }
        let succeeded = (200..300).contains(&response.code);
        match outcome.purpose {
            Some(Purpose::CreateConnection(index, mgcp_call_id)) => {
                self.handle_create_response(now, index, mgcp_call_id, response)
            }
            Some(Purpose::ConnectCaller(index, mgcp_call_id))
                if !succeeded && self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                // The caller cannot be connected, so the call ends on both sides.
                self.report_call_ended(index);
                self.delete_connection(
                    now,
                    index,
                    Params::default().with("S", "L/ro").with("R", "L/hu(N)"),
                    EndpointState::AwaitingOnHook,
                );
            }
            Some(Purpose::DeleteConnection(index, mgcp_call_id))
                if self.endpoints[index].mgcp_call_id == mgcp_call_id
                    && self.endpoints[index].state == EndpointState::Deleting =>
            {
                self.make_idle(now, index);
            }
            Some(Purpose::Audit(index)) if self.endpoints[index].state == EndpointState::Unresponsive => {
                if succeeded {
                    // The endpoint may still hold the connections it had when it stopped answering.
                    self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                } else {
                    self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
                }
            }
            _ => {}
        }
    }

    /// Handles the final response to CRCX.
    pub(super) fn handle_create_response(
        &mut self,
        now: Micros,
        index: usize,
        mgcp_call_id: u64,
        response: Response,
    ) {
        let succeeded = (200..300).contains(&response.code);
        let connection = response.params.get("I").map(str::to_owned);
        let description = response.sdp.map(|s| SessionDescription(s.into()));
        if self.endpoints[index].mgcp_call_id != mgcp_call_id || !self.endpoints[index].awaits_connection() {
            if succeeded {
                // The call was given up before the response came, so nothing else would delete the connection.
                self.counts.late_answers += 1;
                let mut command = new_command(Verb::Dlcx, self.endpoints[index].name.clone());
                command.params = Params::default().with("C", format_call_id(mgcp_call_id));
                if let Some(connection) = connection {
                    command.params = command.params.with("I", connection);
                }
                self.send(now, index, command, Purpose::DeleteLateConnection(index));
            }
            return;
        }
        self.endpoints[index].create_transaction = None;
        let answers_by_connection =
            self.config.gateways[self.endpoints[index].gateway].answered_by == AnsweredBy::Connection;
        match (self.endpoints[index].state.clone(), succeeded) {
            (EndpointState::CreatingConnection { destination, number, deadline }, true) => {
                self.endpoints[index].connection = connection;
                self.endpoints[index].dialled_number = Some(number.clone());
                self.endpoints[index].state = EndpointState::Offered(None);
                let new_call = NewCall {
                    number: number.parse().ok(),
                    class: self.config.class,
                    ..NewCall::to(destination, (deadline - now).max(0))
                };
                let offer = OfferedCall { frontend: self.frontend, new_call, description };
                self.outputs.push(AgentOutput::OfferCall(index, Box::new(offer)));
            }
            (EndpointState::CreatingConnection { .. }, false) => {
                self.counts.not_offered += 1;
                self.endpoints[index].state = EndpointState::AwaitingOnHook;
                self.request_notification(
                    now,
                    index,
                    Params::default().with("R", "L/hu(N)").with("S", "L/ro"),
                );
            }
            (EndpointState::Called { call, attempt, .. }, true) => {
                self.endpoints[index].connection = connection;
                if answers_by_connection {
                    self.endpoints[index].state =
                        EndpointState::Called { call, attempt, stage: SetUpStage::Established };
                    self.schedule_lease_check(now, index);
                    self.outputs.push(AgentOutput::AttemptAnswered(call, attempt, description));
                } else {
                    self.endpoints[index].state =
                        EndpointState::Called { call, attempt, stage: SetUpStage::Ringing(description) };
                }
            }
            (EndpointState::Called { call, attempt, .. }, false) => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(response.code)));
                self.make_idle(now, index);
            }
            _ => {}
        }
    }

    /// Handles an expired timer.
    pub fn timer_expired(&mut self, now: Micros, timer: AgentTimer) {
        match timer {
            AgentTimer::Transaction(id) => match self.transactions.timer_expired(now, id) {
                TimeoutAction::Ignore => {}
                TimeoutAction::Retransmit(to, text, at) => {
                    self.outputs.push(AgentOutput::Datagram(to, text.into_bytes()));
                    self.outputs.push(AgentOutput::SetTimer(at, timer));
                }
                TimeoutAction::GiveUp(purpose) => self.handle_unanswered(now, purpose),
            },
            AgentTimer::CallerConnection(index, mgcp_call_id) => {
                if self.endpoints[index].mgcp_call_id == mgcp_call_id
                    && matches!(self.endpoints[index].state, EndpointState::CreatingConnection { .. })
                {
                    self.counts.not_offered += 1;
                    self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                }
            }
            AgentTimer::Audit(index) => self.audit(now, index),
            AgentTimer::Lease(index, mgcp_call_id) if self.endpoints[index].mgcp_call_id == mgcp_call_id => {
                self.check_lease(now, index)
            }
            AgentTimer::Lease(..) => {}
        }
        self.report_free_endpoints();
    }

    pub(super) fn handle_unanswered(&mut self, now: Micros, purpose: Purpose) {
        self.counts.unanswered += 1;
        match purpose {
            Purpose::CreateConnection(index, mgcp_call_id)
                if self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                match self.endpoints[index].state.clone() {
                    EndpointState::Called { call, attempt, stage: SetUpStage::CreatingConnection } => {
                        // The gateway may have executed the CRCX, so the attempt has timed out and is cleared.
                        self.terminating_calls.remove(&call);
                        self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(406)));
                        self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                    }
                    EndpointState::CreatingConnection { .. } => self.mark_unresponsive(now, index),
                    _ => {}
                }
            }
            Purpose::ConnectCaller(index, mgcp_call_id) | Purpose::DeleteConnection(index, mgcp_call_id)
                if self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                self.report_call_ended(index);
                self.mark_unresponsive(now, index);
            }
            Purpose::Audit(index) if self.endpoints[index].state == EndpointState::Unresponsive => {
                self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
            }
            Purpose::RequestNotification(index) if self.endpoints[index].state == EndpointState::Idle => {
                self.mark_unresponsive(now, index)
            }
            _ => {}
        }
    }
}
