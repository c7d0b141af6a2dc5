//! Updates of the exchange list.

use super::*;

impl UpstreamConnections {
    /// Applies entries of the exchange list. If they are `complete`, exchanges missing from them are removed.
    pub fn update_list(
        &mut self,
        now: Micros,
        entries: &[ListEntry],
        addresses: &[MemberAddress],
        complete: bool,
    ) {
        let is_other = |e: &&ListEntry| Some(e.exchange) != self.own_exchange;
        let others: Vec<_> = entries.iter().zip(addresses).filter(|(e, _)| is_other(e)).collect();
        for (e, member_address) in others {
            self.apply_entry(now, e, member_address);
        }
        if complete {
            let missing: Vec<ExchangeId> = self
                .upstreams
                .keys()
                .copied()
                .filter(|id| !entries.iter().any(|e| e.exchange_id == *id))
                .collect();
            missing.into_iter().for_each(|id| self.remove_exchange(now, id));
        }
    }

    pub(super) fn apply_entry(&mut self, now: Micros, e: &ListEntry, member_address: &MemberAddress) {
        if e.state == ListState::Gone {
            return self.remove_exchange(now, e.exchange_id);
        }
        let new_upstream = || Upstream {
            member_address: member_address.clone(),
            state: e.state,
            last_start: e.last_start,
            connection: ConnectionState::Down,
            retry_delay: FIRST_RETRY_DELAY,
            retry_at: None,
            crash_suspected: false,
            contacted: false,
            connected_at: None,
            last_received: None,
            probed_at: None,
            mean_interarrival: MAX_PROBE_AFTER as f64,
            last_set_up_time: MAX_FIRST_REPLY_TIMEOUT,
            consecutive_timeouts: 0,
            partial_since: None,
            pending_releases: Vec::new(),
            leases: Leases::new(now),
            lease_check_at: None,
        };
        let upstream = self.upstreams.entry(e.exchange_id).or_insert_with(new_upstream);
        let restarted = e.last_start.is_some() && e.last_start != upstream.last_start;
        upstream.state = e.state;
        upstream.last_start = e.last_start;
        if e.state == ListState::Draining {
            self.withdraw_unsent(e.exchange_id);
        }
        if restarted {
            // The established calls of the old process ended with it.
            let start = e.last_start.unwrap_or(now);
            self.cut_established(e.exchange_id, |a| a.started_at < start);
        }
        if self
            .upstreams
            .get(&e.exchange_id)
            .is_some_and(|u| u.connection == ConnectionState::Down && u.retry_at.is_none())
        {
            self.connect(now, e.exchange_id);
        }
    }

    /// Withdraws the set-ups to an exchange that takes no new calls: one that waits for a connection, or in the send
    /// queue of a slow one, could otherwise be sent after the drain grace.
    pub fn withdraw_unsent(&mut self, exchange_id: ExchangeId) {
        self.fail_waiting(exchange_id);
        let sent = |a: &Attempt| match a.stage {
            Stage::Sent(conn) if a.exchange_id == exchange_id => Some((a.call, a.attempt, conn)),
            _ => None,
        };
        let mut sent: Vec<_> = self.attempts.values().filter_map(sent).collect();
        sent.sort_unstable();
        let withdraw = |(call, attempt, conn)| UpstreamOutput::WithdrawSetUp { conn, call, attempt };
        self.outputs.extend(sent.into_iter().map(withdraw));
    }

    /// A set-up was withdrawn before it was sent.
    pub fn set_up_withdrawn(&mut self, call: CallId, attempt: AttemptNumber) {
        if self.attempt_of(call).is_some_and(|a| a.attempt == attempt && matches!(a.stage, Stage::Sent(_))) {
            self.end_attempt(call, (Ending::Unreachable, Cause::None), LoadReport::default());
        }
    }

    /// Starts the removal of an exchange: its calls get a grace period to end.
    pub(super) fn remove_exchange(&mut self, now: Micros, exchange_id: ExchangeId) {
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        if upstream.state != ListState::Gone {
            upstream.state = ListState::Gone;
            self.withdraw_unsent(exchange_id);
            self.outputs.push(UpstreamOutput::SetTimer(
                now + REMOVAL_GRACE,
                UpstreamTimer::RemovalGrace(exchange_id),
            ));
        }
    }

    /// Ends all calls of an exchange, closes its connection and forgets it. The only place where an exchange is
    /// forgotten.
    pub(super) fn drop_upstream(&mut self, now: Micros, exchange_id: ExchangeId) {
        self.fail_waiting(exchange_id);
        self.fail_sent(now, exchange_id, Ending::Reset);
        self.cut_established(exchange_id, |_| true);
        let Some(upstream) = self.upstreams.remove(&exchange_id) else { return };
        if let ConnectionState::Connecting(conn) | ConnectionState::Up(conn) = upstream.connection {
            self.exchange_by_conn.remove(&conn);
            self.outputs.push(UpstreamOutput::Disconnect(conn, DisconnectReason::MemberRemoved));
        }
    }
}
