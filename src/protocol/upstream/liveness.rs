//! Liveness checks of the connections, and connections with unreadable or incomplete messages.

use super::*;

impl UpstreamConnections {
    /// Closes a connection on which unreadable data arrived: nothing that follows on it can be trusted. The set-ups
    /// sent on it end as reset, since the exchange may have carried them out.
    pub fn protocol_error(&mut self, now: Micros, conn: ConnId) {
        let upstream = self.exchange_by_conn.get(&conn).and_then(|id| self.upstreams.get(id));
        if let Some(upstream) = upstream {
            self.counts.malformed += 1;
            self.outputs.push(UpstreamOutput::ConnectionDropped(
                upstream.member_address.member.clone(),
                DisconnectReason::Unreadable,
            ));
            self.outputs.push(UpstreamOutput::Disconnect(conn, DisconnectReason::Unreadable));
            self.closed(now, conn, CloseReason::ClosedLocally);
        }
    }

    /// Probes a connection that has been quiet while calls are in progress, and closes it if the probe stays
    /// unanswered: answers and releases would otherwise be awaited forever on a connection that is open but dead. The
    /// exchange repeats its releases on the next connection.
    pub(super) fn check_liveness(&mut self, now: Micros, conn: ConnId, scheduled: Micros) {
        let Some(&exchange_id) = self.exchange_by_conn.get(&conn) else { return };
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        let late = now - scheduled > STALL_THRESHOLD;
        let probe_after = ((PROBE_AFTER_GAPS * upstream.mean_interarrival) as Micros)
            .clamp(MIN_PROBE_AFTER, MAX_PROBE_AFTER);
        let quiet = upstream.last_received.is_none_or(|at| now - at >= probe_after);
        let timeout = probe_after
            .max(REPLY_TIMEOUT_SETUP_TIMES * upstream.last_set_up_time)
            .clamp(MIN_REPLY_TIMEOUT, MAX_FIRST_REPLY_TIMEOUT);
        let timeout = (timeout << upstream.consecutive_timeouts.min(8)).min(MAX_REPLY_TIMEOUT);
        match upstream.probed_at {
            Some(at) if now - at >= timeout && !late => {
                // The decision module treats a reset as a sign of life and a timeout as none. The first timeout is
                // reported as a reset, so that an exchange that lost one connection is not excluded; repeated ones
                // as timeouts, so that one that hangs is not trusted.
                let ending =
                    if upstream.consecutive_timeouts == 0 { Ending::Reset } else { Ending::TimedOut };
                upstream.consecutive_timeouts += 1;
                self.counts.unresponsive += 1;
                self.outputs.push(UpstreamOutput::ConnectionDropped(
                    upstream.member_address.member.clone(),
                    DisconnectReason::Unresponsive,
                ));
                self.outputs.push(UpstreamOutput::Disconnect(conn, DisconnectReason::Unresponsive));
                self.fail_sent(now, exchange_id, ending);
                return self.closed(now, conn, CloseReason::ClosedLocally);
            }
            Some(_) if !late => {}
            _ if quiet && self.attempts.values().any(|a| a.exchange_id == exchange_id) => {
                upstream.probed_at = Some(now);
                self.probe(now, exchange_id);
            }
            _ => upstream.probed_at = None,
        }
        self.outputs.push(UpstreamOutput::SetTimer(
            now + LIVENESS_CHECK_INTERVAL,
            UpstreamTimer::LivenessCheck(conn, now + LIVENESS_CHECK_INTERVAL),
        ));
    }

    /// A connection holds the beginning of a message, or the message is now complete.
    pub fn partial_message(&mut self, now: Micros, conn: ConnId, partial: bool) {
        let exchange_id = self.exchange_by_conn.get(&conn);
        let Some(upstream) = exchange_id.and_then(|id| self.upstreams.get_mut(id)) else { return };
        upstream.partial_since = partial.then_some(now);
        if partial {
            self.outputs.push(UpstreamOutput::SetTimer(
                now + PARTIAL_MESSAGE_TIMEOUT,
                UpstreamTimer::PartialMessage(conn, now),
            ));
        }
    }
}
