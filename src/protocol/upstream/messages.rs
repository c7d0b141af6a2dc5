//! Messages from the exchanges, and probes to them.

use super::*;

impl UpstreamConnections {
    /// Sends a probe to an exchange, which answers it with a load report.
    pub fn probe(&mut self, now: Micros, exchange_id: ExchangeId) {
        let Some(ConnectionState::Up(conn)) = self.upstreams.get(&exchange_id).map(|u| u.connection) else {
            return self.outputs.push(UpstreamOutput::ProbeFailed(exchange_id));
        };
        let sid = Sid(self.next_probe_sid);
        self.next_probe_sid += 1;
        self.probes.insert(sid, exchange_id);
        let message = Message { code: Some(1), ..Message::new(Kind::Probe, Some(sid)) };
        self.outputs.push(UpstreamOutput::Send { conn, message, set_up: None });
        self.outputs.push(UpstreamOutput::SetTimer(now + PROBE_TIMEOUT, UpstreamTimer::ProbeTimeout(sid)));
    }

    /// Handles a message from an exchange.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) {
        let Some(&exchange_id) = self.exchange_by_conn.get(&conn) else { return };
        let load = message.load_report();
        if let Some(upstream) = self.upstreams.get_mut(&exchange_id) {
            upstream.contacted = true;
            if upstream.connected_at.is_none_or(|at| now - at >= MIN_STABLE_TIME) {
                upstream.retry_delay = FIRST_RETRY_DELAY;
            }
            let gap = upstream
                .last_received
                .map_or(upstream.mean_interarrival, |at| (now - at).min(MAX_PROBE_AFTER) as f64);
            upstream.mean_interarrival += INTERARRIVAL_WEIGHT * (gap - upstream.mean_interarrival);
            (upstream.last_received, upstream.probed_at) = (Some(now), None);
            upstream.leases.received(now);
            if message.kind != Kind::Status {
                upstream.consecutive_timeouts = 0;
            }
        }
        // A message only applies to an attempt in progress at the exchange that sent it.
        let entry =
            message.sid.and_then(|s| self.attempts.get_mut(&s)).filter(|a| a.exchange_id == exchange_id);
        match (message.kind, entry) {
            (Kind::Ready, Some(entry)) => {
                if matches!(entry.stage, Stage::Sent(_)) {
                    let (call, attempt) = (entry.call, entry.attempt);
                    if let Some(upstream) = self.upstreams.get_mut(&exchange_id) {
                        upstream.last_set_up_time = now - entry.started_at;
                        entry.stage = Stage::Established(upstream.leases.current());
                    }
                    self.schedule_lease_check(exchange_id);
                    self.report_load(exchange_id, load);
                    self.outputs.push(UpstreamOutput::Answered(call, attempt, message.text));
                }
            }
            (Kind::Ready, None) => {
                // The set-up was cancelled while its answer was in transit. Without a release the circuits would
                // stay occupied.
                self.counts.late_answers += 1;
                if let Some(sid) = message.sid {
                    let message = Message::close(sid, cause::NORMAL);
                    self.outputs.push(UpstreamOutput::Send { conn, message, set_up: None });
                }
            }
            (Kind::Close, Some(entry)) => {
                let was_established = matches!(entry.stage, Stage::Established(_));
                if let (Stage::Established(generation), Some(upstream)) =
                    (entry.stage, self.upstreams.get_mut(&exchange_id))
                {
                    upstream.leases.confirm(generation);
                }
                let result = release_meaning(was_established, message.code, message.field("note").as_deref());
                let call = entry.call;
                self.end_attempt(call, result, load);
            }
            (Kind::Status, _) => self.report_load(exchange_id, load),
            (Kind::Probed, _) => match message.sid.and_then(|s| self.probes.remove(&s)) {
                Some(exchange_id) if message.code == Some(0) => {
                    self.outputs.push(UpstreamOutput::ProbeFailed(exchange_id))
                }
                _ => self.report_load(exchange_id, load),
            },
            (Kind::Close, None) => {
                self.counts.unknown_call += 1;
                if let Some(sid) = message.sid.filter(|&s| self.previous_run.may_contain(now, s)) {
                    let code = message.code.unwrap_or(cause::NORMAL);
                    self.outputs.push(UpstreamOutput::PreviousRunReleased(sid, code));
                }
                self.report_load(exchange_id, load);
            }
            (Kind::Open | Kind::Probe, _) => self.counts.unknown_call += 1,
            (Kind::Trying | Kind::Closed, _) => {}
        }
    }

    /// Passes on a load report, unless it is empty.
    pub(super) fn report_load(&mut self, exchange_id: ExchangeId, load: LoadReport) {
        if load != LoadReport::default() {
            self.outputs.push(UpstreamOutput::GroupReport(exchange_id, load));
        }
    }
}

/// The ending and the cause that a release from an exchange indicates, before or after the answer.
fn release_meaning(was_established: bool, code: Option<u16>, note: Option<&str>) -> (Ending, Cause) {
    let cause = match note {
        Some("no_path") => Cause::NoCircuit,
        Some("sent_back") => Cause::TurnedBack,
        Some("end_queue_long") => Cause::FarProcessorFull,
        Some("queue_long") => Cause::ProcessorFull(None),
        Some("line_taken") => Cause::LinesBusy,
        _ => Cause::None,
    };
    let ending = match (was_established, code) {
        (true, Some(cause::NORMAL)) => Ending::Completed,
        (true, _) | (false, Some(cause::TEMPORARY_FAILURE)) => Ending::Reset,
        (false, Some(cause::NO_CIRCUIT)) => Ending::Full,
        (false, Some(cause::TIMER_EXPIRY)) => Ending::NotSent,
        (false, _) => Ending::Fault,
    };
    (ending, cause)
}
