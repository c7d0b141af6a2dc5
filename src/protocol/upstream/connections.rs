//! Opening and closing of connections, and the timers of all exchanges.

use super::*;

impl UpstreamConnections {
    /// Connects to an exchange, unless a connection is up or being set up.
    pub(super) fn connect(&mut self, now: Micros, exchange_id: ExchangeId) {
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        if upstream.connection != ConnectionState::Down {
            return;
        }
        let conn = ConnId(self.next_conn_id);
        self.next_conn_id += 1;
        upstream.connection = ConnectionState::Connecting(conn);
        (upstream.retry_at, upstream.last_received, upstream.probed_at, upstream.partial_since) =
            (None, None, None, None);
        self.exchange_by_conn.insert(conn, exchange_id);
        self.counts.connects += 1;
        self.outputs.push(UpstreamOutput::Connect(conn, upstream.member_address.clone()));
        self.outputs
            .push(UpstreamOutput::SetTimer(now + self.connect_timeout, UpstreamTimer::ConnectTimeout(conn)));
    }

    /// A connection has been established: sends the pending releases and the waiting set-ups.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        let Some(&exchange_id) = self.exchange_by_conn.get(&conn) else { return };
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        upstream.connection = ConnectionState::Up(conn);
        upstream.connected_at = Some(now);
        upstream.crash_suspected = false;
        self.outputs.push(UpstreamOutput::SetTimer(
            now + LIVENESS_CHECK_INTERVAL,
            UpstreamTimer::LivenessCheck(conn, now + LIVENESS_CHECK_INTERVAL),
        ));
        for (until, sid) in std::mem::take(&mut upstream.pending_releases) {
            if now < until {
                let message = Message::close(sid, cause::NORMAL);
                self.outputs.push(UpstreamOutput::Send { conn, message, set_up: None });
            }
        }
        for entry in
            self.attempts.values_mut().filter(|a| a.exchange_id == exchange_id && a.stage == Stage::Waiting)
        {
            if let Some(message) = entry.message.take() {
                entry.stage = Stage::Sent(conn);
                self.outputs.push(UpstreamOutput::Send { conn, message, set_up: Some(entry.call) });
            }
        }
    }

    /// A connection has closed or could not be established. Set-ups that were sent on it end as reset; established
    /// calls are kept unless the exchange is known to have crashed.
    pub fn closed(&mut self, now: Micros, conn: ConnId, reason: CloseReason) {
        let Some(exchange_id) = self.exchange_by_conn.remove(&conn) else { return };
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        let was_up = matches!(upstream.connection, ConnectionState::Up(_));
        upstream.connection = ConnectionState::Down;
        upstream.contacted = true;
        let early = upstream.last_received.is_none()
            || upstream.connected_at.is_some_and(|at| now - at < MIN_STABLE_TIME);
        match (was_up, early) {
            (true, true) => upstream.leases.connection_lost_early(now),
            (true, false) => upstream.leases.connection_lost(),
            (false, _) => {}
        }
        match reason {
            CloseReason::Refused => {
                self.counts.refused += 1;
                // Nobody listens. After the loss of a connection this means that the process which had the calls is
                // dead and will not report their end.
                let crashed = std::mem::take(&mut upstream.crash_suspected);
                self.fail_waiting(exchange_id);
                if crashed {
                    self.cut_established(exchange_id, |_| true);
                }
            }
            CloseReason::ConnectFailed => self.fail_waiting(exchange_id),
            CloseReason::ClosedByPeer | CloseReason::ClosedLocally => {
                self.fail_sent(now, exchange_id, Ending::Reset)
            }
            CloseReason::Broken => {
                self.counts.broken += 1;
                upstream.crash_suspected = true;
                self.fail_sent(now, exchange_id, Ending::Reset);
            }
        }
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        if upstream.state == ListState::Gone {
            return self.drop_upstream(now, exchange_id);
        }
        // An orderly close with calls established may come from a process that is shutting down.
        upstream.crash_suspected |= was_up && reason == CloseReason::ClosedByPeer;
        // Prevents a reconnect loop with an exchange that closes each connection as soon as it is established.
        if was_up && !early {
            self.connect(now, exchange_id);
        } else {
            let established =
                |a: &Attempt| a.exchange_id == exchange_id && matches!(a.stage, Stage::Established(_));
            let max_delay = if self.attempts.values().any(established) {
                MAX_RETRY_DELAY_WITH_CALLS
            } else {
                MAX_RETRY_DELAY
            };
            let retry_at = now + upstream.retry_delay.min(max_delay);
            upstream.retry_at = Some(retry_at);
            upstream.retry_delay = (upstream.retry_delay * 2).min(MAX_RETRY_DELAY);
            self.outputs.push(UpstreamOutput::SetTimer(retry_at, UpstreamTimer::Reconnect(exchange_id)));
        }
    }

    /// A timer expired. A timer whose subject has changed since is ignored.
    pub fn timer_expired(&mut self, now: Micros, timer: UpstreamTimer) {
        match timer {
            UpstreamTimer::ConnectTimeout(conn) => {
                let exchange_id = self.exchange_by_conn.get(&conn).copied();
                let upstream = exchange_id.and_then(|id| self.upstreams.get(&id));
                if upstream.is_some_and(|u| u.connection == ConnectionState::Connecting(conn)) {
                    self.outputs.push(UpstreamOutput::Disconnect(conn, DisconnectReason::ConnectTimeout));
                    self.closed(now, conn, CloseReason::ConnectFailed);
                }
            }
            UpstreamTimer::Reconnect(exchange_id) => {
                if self.upstreams.get(&exchange_id).is_some_and(|u| u.retry_at.is_some_and(|at| at <= now)) {
                    self.connect(now, exchange_id);
                }
            }
            UpstreamTimer::SetUpWaiting(call, attempt) => {
                let waiting = |a: &Attempt| a.attempt == attempt && a.stage == Stage::Waiting;
                if self.attempt_of(call).is_some_and(waiting) {
                    self.end_attempt(call, (Ending::Unreachable, Cause::None), LoadReport::default());
                }
            }
            UpstreamTimer::RemovalGrace(exchange_id) => {
                if self.upstreams.get(&exchange_id).is_some_and(|u| u.state == ListState::Gone) {
                    self.drop_upstream(now, exchange_id);
                }
            }
            UpstreamTimer::PartialMessage(conn, since) => {
                let upstream = self.exchange_by_conn.get(&conn).and_then(|id| self.upstreams.get(id));
                if upstream.is_some_and(|u| u.partial_since == Some(since)) {
                    self.protocol_error(now, conn);
                }
            }
            UpstreamTimer::LivenessCheck(conn, scheduled) => self.check_liveness(now, conn, scheduled),
            UpstreamTimer::LeaseCheck(exchange_id, scheduled) => {
                self.check_leases(now, exchange_id, scheduled)
            }
            UpstreamTimer::ProbeTimeout(sid) => {
                if let Some(exchange_id) = self.probes.remove(&sid) {
                    self.outputs.push(UpstreamOutput::ProbeFailed(exchange_id));
                }
            }
        }
    }
}
