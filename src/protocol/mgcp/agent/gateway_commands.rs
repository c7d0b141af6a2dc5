//! Datagrams from the gateways, and the commands in them.

use super::endpoints::{format_call_id, format_request_id};
use super::*;

impl Agent {
    /// Handles a datagram from a gateway.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        for (gateway, last_heard) in self.config.gateways.iter().zip(&mut self.last_heard) {
            *last_heard = if gateway.address == from { now } else { *last_heard };
        }
        for message in message::parse(body) {
            match message {
                Ok(Message::Command(command)) => self.handle_command(now, from, &command),
                Ok(Message::Response(response)) => self.handle_response(now, from, response),
                Err(invalid) => {
                    self.counts.unusable += 1;
                    if let Some(id) = invalid.transaction {
                        self.reply(now, from, id, |_| Response::new(invalid.code, id));
                    }
                }
            }
        }
        self.report_free_endpoints();
    }

    pub(super) fn handle_command(&mut self, now: Micros, from: SocketAddr, command: &Command) {
        if let Some(list) = command.params.get("K") {
            self.history.acknowledge(from, list);
        }
        self.reply(now, from, command.transaction, |agent| {
            agent.counts.commands_in += 1;
            let code = agent.execute(now, from, command);
            Response::new(code, command.transaction)
        });
    }

    /// Answers a command. A repeated command gets its response from the history, so that it is executed only once.
    pub(super) fn reply(
        &mut self,
        now: Micros,
        from: SocketAddr,
        id: u32,
        execute: impl FnOnce(&mut Self) -> Response,
    ) {
        // The response is sent before the commands that result from executing the command.
        let position = self.outputs.len();
        let text = match self.history.lookup(now, from, id) {
            Some(text) => text,
            None => {
                let text = execute(self).encode();
                self.history.insert(now, from, id, text.clone());
                text
            }
        };
        self.outputs.insert(position, AgentOutput::Datagram(from, text.into_bytes()));
    }

    /// Executes a gateway's command and returns the return code.
    pub(super) fn execute(&mut self, now: Micros, from: SocketAddr, command: &Command) -> u16 {
        let sent_by =
            |gateway: &Gateway| gateway.name == command.endpoint.domain && gateway.address.ip() == from.ip();
        let Some(gateway) = self.config.gateways.iter().position(sent_by) else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        let matches = |local: &str| match command.endpoint.local.strip_suffix('*') {
            Some(prefix) => local.starts_with(prefix),
            None => local == command.endpoint.local,
        };
        let indices: Vec<usize> = (0..self.endpoints.len())
            .filter(|&index| {
                self.endpoints[index].gateway == gateway && matches(&self.endpoints[index].name.local)
            })
            .collect();
        let Some(&first) = indices.first() else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        match command.verb {
            Verb::Ntfy => {
                let request_id = command.params.get("X").unwrap_or("0");
                // A notification for an earlier request is outdated: it is answered, but not handled.
                let current = request_id == "0"
                    || request_id.eq_ignore_ascii_case(&format_request_id(self.endpoints[first].request_id));
                let Some(observed) = command.params.get("O") else { return 510 };
                if current {
                    self.handle_events(now, first, &parse_events(observed));
                }
                200
            }
            Verb::Rsip => self.handle_restart(now, gateway, &indices, command),
            Verb::Dlcx => {
                let endpoint = &self.endpoints[first];
                let differs = |expected: Option<&str>, received: Option<&str>| {
                    received.is_some_and(|r| expected.is_none_or(|e| !e.eq_ignore_ascii_case(r)))
                };
                if differs(Some(&format_call_id(endpoint.mgcp_call_id)), command.params.get("C")) {
                    return 516;
                }
                if differs(endpoint.connection.as_deref(), command.params.get("I")) {
                    return 515;
                }
                self.report_call_ended(first);
                self.make_idle(now, first);
                250
            }
            Verb::Rqnt | Verb::Crcx | Verb::Mdcx | Verb::Auep => message::parse_error::VERB,
        }
    }

    pub(super) fn handle_restart(
        &mut self,
        now: Micros,
        gateway: usize,
        indices: &[usize],
        command: &Command,
    ) -> u16 {
        let whole_gateway = indices.len() == self.config.gateways[gateway].endpoints.len();
        let method = command.params.get("RM").unwrap_or("restart").to_ascii_lowercase();
        let state = match method.as_str() {
            "graceful" => (ListState::Draining, self.gateway_states[gateway].1),
            "forced" => (ListState::Draining, self.gateway_states[gateway].1),
            "restart" => (ListState::Ready, Some(now)),
            "cancel-graceful" => (ListState::Ready, self.gateway_states[gateway].1),
            "disconnected" => {
                indices.iter().for_each(|&index| self.audit(now, index));
                return 200;
            }
            _ => return 510,
        };
        // The list update comes first: the core must know of the drain before it decides on the calls that end.
        if whole_gateway && self.gateway_states[gateway] != state {
            self.gateway_states[gateway] = state;
            self.outputs.push(AgentOutput::ListUpdate(self.list_entry(gateway)));
        }
        for &index in indices {
            match method.as_str() {
                "restart" => {
                    self.report_call_ended(index);
                    self.make_idle(now, index);
                }
                "forced" => {
                    self.report_call_ended(index);
                    self.mark_unresponsive(now, index);
                }
                _ => {}
            }
        }
        200
    }

    /// Handles the events that an endpoint observed.
    pub(super) fn handle_events(&mut self, now: Micros, index: usize, observed: &[(String, String)]) {
        for (package, event) in observed {
            match (package.as_str(), event.as_str()) {
                ("l", "hd") => self.off_hook(now, index),
                ("l", "hu") => self.on_hook(now, index),
                ("d", digit) => {
                    if let EndpointState::Dialling(digits) = &mut self.endpoints[index].state {
                        let complete = matches!(digit, "t" | "#");
                        if !complete && digits.len() < MAX_DIGITS {
                            digits.push_str(digit);
                        }
                        if complete || digits.len() >= self.config.number_length {
                            let number = std::mem::take(digits);
                            self.handle_number(now, index, number);
                        }
                    }
                }
                _ => {}
            }
        }
        if matches!(&self.endpoints[index].state, EndpointState::Dialling(_)) {
            let params =
                Params::default().with("R", "L/hu(N), D/[0-9*#T](D)").with("D", "(x.T)").with("S", "L/dl");
            self.request_notification(now, index, params);
        }
    }

    pub(super) fn off_hook(&mut self, now: Micros, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Idle => self.endpoints[index].state = EndpointState::Dialling(String::new()),
            EndpointState::Called { call, attempt, stage: SetUpStage::Ringing(description) } => {
                self.endpoints[index].state =
                    EndpointState::Called { call, attempt, stage: SetUpStage::Established };
                self.request_notification(now, index, Params::default().with("R", "L/hu(N)"));
                self.schedule_lease_check(now, index);
                self.outputs.push(AgentOutput::AttemptAnswered(call, attempt, description));
            }
            _ => {}
        }
    }

    pub(super) fn on_hook(&mut self, now: Micros, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Dialling(_) => self.make_idle(now, index),
            // The DLCX that started the tone may have been lost, so the connection is deleted again.
            EndpointState::AwaitingOnHook | EndpointState::CreatingConnection { .. } => {
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting)
            }
            EndpointState::Offered(_) | EndpointState::Established(_) => {
                self.report_call_ended(index);
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
            }
            EndpointState::Called { call, attempt, stage: SetUpStage::Established } => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, (Ending::Completed, Cause::None)));
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
            }
            EndpointState::Idle
            | EndpointState::Called { .. }
            | EndpointState::Deleting
            | EndpointState::Unresponsive => {}
        }
    }

    pub(super) fn handle_number(&mut self, now: Micros, index: usize, number: String) {
        let own_prefixes = self.config.gateways.iter().map(|gateway| (&gateway.prefix, gateway.exchange));
        let prefixes =
            own_prefixes.chain(self.config.routes.iter().map(|(prefix, exchange)| (prefix, *exchange)));
        let matching = prefixes.filter(|r| !r.0.is_empty() && number.starts_with(r.0.as_str()));
        let Some((_, destination)) = matching.max_by_key(|r| r.0.len()) else {
            self.counts.not_offered += 1;
            self.endpoints[index].state = EndpointState::AwaitingOnHook;
            return self.request_notification(
                now,
                index,
                Params::default().with("R", "L/hu(N)").with("S", "L/ro"),
            );
        };
        let deadline = now + self.config.client_timeout;
        self.reset_endpoint(now, index, EndpointState::CreatingConnection { destination, number, deadline });
        let params = Params::default().with("M", "recvonly").with("R", "L/hu(N)");
        let mgcp_call_id = self.endpoints[index].mgcp_call_id;
        self.create_connection(now, index, params, None);
        self.outputs.push(AgentOutput::SetTimer(deadline, AgentTimer::CallerConnection(index, mgcp_call_id)));
    }
}
