//! The state of endpoints, the commands to them and their leases.

use super::*;

impl Agent {
    /// Puts an endpoint into a new state with a new MGCP call identifier.
    pub(super) fn reset_endpoint(&mut self, now: Micros, index: usize, state: EndpointState) {
        self.stop_create(now, index);
        self.next_mgcp_call_id = self.next_mgcp_call_id.wrapping_add(1);
        let endpoint = &mut self.endpoints[index];
        (endpoint.mgcp_call_id, endpoint.state) = (self.next_mgcp_call_id, state);
        (endpoint.connection, endpoint.dialled_number) = (None, None);
    }

    /// Stops retransmitting a pending CRCX, because a retransmission after the DLCX would create the connection
    /// again. If a late response arrives, the connection is deleted.
    pub(super) fn stop_create(&mut self, now: Micros, index: usize) {
        let Some(transaction) = self.endpoints[index].create_transaction.take() else { return };
        if let Some(at) = self.transactions.stop_retransmitting(now, transaction) {
            self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(transaction)));
        }
    }

    /// Frees an endpoint and asks it to report off-hook. This is the only place that frees endpoints.
    pub(super) fn make_idle(&mut self, now: Micros, index: usize) {
        self.reset_endpoint(now, index, EndpointState::Idle);
        self.request_notification(now, index, Params::default().with("R", "L/hd(N)"));
    }

    pub(super) fn mark_unresponsive(&mut self, now: Micros, index: usize) {
        self.reset_endpoint(now, index, EndpointState::Unresponsive);
        self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
    }

    /// Reports to the core that the endpoint's side of its call has ended.
    pub(super) fn report_call_ended(&mut self, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Offered(Some(call)) | EndpointState::Established(call) => {
                self.originating_calls.remove(&call);
                self.outputs.push(AgentOutput::CallerLeft(call));
            }
            EndpointState::Called { call, attempt, .. } => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(407)));
            }
            _ => {}
        }
    }

    /// Schedules the next check of the gateway of an established call.
    pub(super) fn schedule_lease_check(&mut self, now: Micros, index: usize) {
        self.outputs.push(AgentOutput::SetTimer(
            now + LEASE_CHECK_INTERVAL,
            AgentTimer::Lease(index, self.endpoints[index].mgcp_call_id),
        ));
    }

    /// Ends an established call if nothing came from its gateway and the lease would expire before the next check. A
    /// gateway that disappears does not report the end of its calls, so the far end would otherwise keep the call.
    pub(super) fn check_lease(&mut self, now: Micros, index: usize) {
        let established = matches!(
            self.endpoints[index].state,
            EndpointState::Established(_) | EndpointState::Called { stage: SetUpStage::Established, .. }
        );
        if !established {
            return;
        }
        let silence = now - self.last_heard[self.endpoints[index].gateway];
        if silence + LEASE_CHECK_INTERVAL > LEASE_DURATION {
            self.counts.lease_expired += 1;
            self.report_call_ended(index);
            return self.mark_unresponsive(now, index);
        }
        if silence >= LEASE_CHECK_INTERVAL {
            self.audit(now, index);
        }
        self.schedule_lease_check(now, index);
    }

    pub(super) fn audit(&mut self, now: Micros, index: usize) {
        let command = new_command(Verb::Auep, self.endpoints[index].name.clone());
        self.send(now, index, command, Purpose::Audit(index));
    }

    pub(super) fn connection_params(&self, index: usize) -> Params {
        let endpoint = &self.endpoints[index];
        let mut params = Params::default();
        // Without a call identifier, the command applies to all connections of the endpoint.
        if endpoint.mgcp_call_id != 0 {
            params = params.with("C", format_call_id(endpoint.mgcp_call_id));
        }
        if let Some(connection) = &endpoint.connection {
            params = params.with("I", connection);
        }
        params
    }

    pub(super) fn delete_connection(
        &mut self,
        now: Micros,
        index: usize,
        extra: Params,
        next_state: EndpointState,
    ) {
        self.stop_create(now, index);
        // An endpoint that did not answer may hold connections of any call, as may one that has not been used yet, whose
        // call identifier is still 0.
        if matches!(self.endpoints[index].state, EndpointState::Unresponsive) {
            self.endpoints[index].mgcp_call_id = 0;
        }
        let mut command = new_command(Verb::Dlcx, self.endpoints[index].name.clone());
        command.params = self.connection_params(index);
        if !extra.0.is_empty() {
            command.params = command.params.with("X", self.new_request_id(index));
            command.params.0.extend(extra.0);
        }
        self.endpoints[index].state = next_state;
        let purpose = Purpose::DeleteConnection(index, self.endpoints[index].mgcp_call_id);
        self.send(now, index, command, purpose);
    }

    pub(super) fn create_connection(
        &mut self,
        now: Micros,
        index: usize,
        params: Params,
        sdp: Option<String>,
    ) {
        let mut command = new_command(Verb::Crcx, self.endpoints[index].name.clone());
        command.params = self.connection_params(index).with("X", self.new_request_id(index));
        command.params.0.extend(params.0);
        command.sdp = sdp;
        let purpose = Purpose::CreateConnection(index, self.endpoints[index].mgcp_call_id);
        self.endpoints[index].create_transaction = Some(self.send(now, index, command, purpose));
    }

    pub(super) fn request_notification(&mut self, now: Micros, index: usize, params: Params) {
        let mut command = new_command(Verb::Rqnt, self.endpoints[index].name.clone());
        command.params = Params::default().with("X", self.new_request_id(index));
        command.params.0.extend(params.0);
        self.send(now, index, command, Purpose::RequestNotification(index));
    }

    pub(super) fn new_request_id(&mut self, index: usize) -> String {
        self.next_request_id = self.next_request_id.wrapping_add(1).max(1);
        self.endpoints[index].request_id = self.next_request_id;
        format_request_id(self.next_request_id)
    }

    pub(super) fn send(&mut self, now: Micros, index: usize, command: Command, purpose: Purpose) -> u32 {
        let to = self.config.gateways[self.endpoints[index].gateway].address;
        self.counts.commands_out += 1;
        let (transaction, text, at) = self.transactions.send(now, to, command, purpose);
        self.outputs.push(AgentOutput::Datagram(to, text.into_bytes()));
        self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(transaction)));
        transaction
    }

    pub(super) fn free_endpoints(&self, gateway: usize) -> usize {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.gateway == gateway && endpoint.state == EndpointState::Idle)
            .count()
    }

    pub(super) fn report_free_endpoints(&mut self) {
        for gateway in 0..self.config.gateways.len() {
            let free = self.free_endpoints(gateway);
            if self.reported_free[gateway] != Some(free) {
                self.reported_free[gateway] = Some(free);
                let size = self.config.gateways[gateway].endpoints.len() as f64;
                let report =
                    LoadReport { free: Some(free as f64), size: Some(size), ..LoadReport::default() };
                self.outputs.push(AgentOutput::GroupReport(Self::exchange_id_of(gateway), report));
            }
        }
    }
}

impl Endpoint {
    pub(super) fn awaits_connection(&self) -> bool {
        matches!(
            self.state,
            EndpointState::CreatingConnection { .. }
                | EndpointState::Called { stage: SetUpStage::CreatingConnection, .. }
        )
    }
}

pub(super) fn format_call_id(id: u64) -> String {
    format!("{id:x}")
}

pub(super) fn format_request_id(id: u32) -> String {
    format!("{id:x}")
}
