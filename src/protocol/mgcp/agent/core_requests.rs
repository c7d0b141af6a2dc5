//! What the routing core asks of the agent: answers and releases to endpoints, and set-ups towards them.

use super::*;

impl Agent {
    /// Tells the agent which identifier the core assigned to the call offered by this endpoint.
    pub fn call_offered(&mut self, index: usize, call: CallId) {
        self.endpoints[index].state = EndpointState::Offered(Some(call));
        self.originating_calls.insert(call, index);
    }

    /// Handles the final answer to a call from an endpoint.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: &Answer) {
        let Some(&index) = self.originating_calls.get(&call) else { return };
        let (code, tone) = codes::answer_code_and_tone(answer);
        match (answer, tone) {
            (Answer::Established(description), _) => {
                self.endpoints[index].state = EndpointState::Established(call);
                self.schedule_lease_check(now, index);
                let mut command = new_command(Verb::Mdcx, self.endpoints[index].name.clone());
                command.params = self.connection_params(index).with("M", "sendrecv");
                command.sdp = description.as_ref().map(|d| d.0.to_string());
                let purpose = Purpose::ConnectCaller(index, self.endpoints[index].mgcp_call_id);
                self.send(now, index, command, purpose);
            }
            (refused, tone) => {
                self.originating_calls.remove(&call);
                let mut params = Params::default().with("R", "L/hu(N)").with("S", tone.unwrap_or("L/ro"));
                // For gateways that redial automatically: the return code and the time to wait, in milliseconds.
                params = params.with("X-Outcome", code);
                if let Answer::Refused { retry_after } = refused {
                    params = params.with("X-Pause", (retry_after + 999) / 1000);
                }
                self.delete_connection(now, index, params, EndpointState::AwaitingOnHook);
            }
        }
        self.report_free_endpoints();
    }

    /// Releases an established call from an endpoint.
    pub fn release(&mut self, now: Micros, call: CallId) {
        if let Some(index) = self.originating_calls.remove(&call) {
            self.delete_connection(
                now,
                index,
                Params::default().with("R", "L/hu(N)"),
                EndpointState::AwaitingOnHook,
            );
        }
    }

    /// Sets up a call at a gateway. `description` is the session description of the caller, passed on unchanged.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNumber),
        exchange_id: ExchangeId,
        description: Option<&SessionDescription>,
    ) {
        let Some(gateway) = self.gateway_of(exchange_id) else { return };
        let indices: Vec<usize> =
            (0..self.endpoints.len()).filter(|&index| self.endpoints[index].gateway == gateway).collect();
        // Round robin, so that an endpoint is not called again right after a call.
        let start = self.next_endpoint[gateway] % indices.len().max(1);
        let found = indices[start..]
            .iter()
            .chain(&indices[..start])
            .find(|&&index| self.endpoints[index].state == EndpointState::Idle);
        let Some(&index) = found else {
            return self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(410)));
        };
        self.next_endpoint[gateway] = indices.iter().position(|&i| i == index).unwrap_or(0) + 1;
        self.reset_endpoint(
            now,
            index,
            EndpointState::Called { call, attempt, stage: SetUpStage::CreatingConnection },
        );
        self.terminating_calls.insert(call, index);
        let mut params = Params::default().with("M", "sendrecv");
        if self.config.gateways[gateway].answered_by == AnsweredBy::OffHook {
            params = params.with("R", "L/hd(N)").with("S", "L/rg");
        } else {
            params = params.with("R", "L/hu(N)");
        }
        self.create_connection(now, index, params, description.map(|d| d.0.to_string()));
        self.report_free_endpoints();
    }

    /// Cancels a set-up, or releases an established call to an endpoint.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNumber) {
        let Some(&index) = self.terminating_calls.get(&call) else { return };
        let EndpointState::Called { attempt: current, .. } = &self.endpoints[index].state else { return };
        if *current != attempt {
            return;
        }
        self.terminating_calls.remove(&call);
        self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
        self.report_free_endpoints();
    }
}
