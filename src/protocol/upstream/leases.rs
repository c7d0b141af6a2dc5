//! Expiry of the leases of established calls; see [`super::lease`].

use super::*;

impl UpstreamConnections {
    /// The lease generations of the established calls at an exchange.
    pub(super) fn lease_generations(&self, exchange_id: ExchangeId) -> impl Iterator<Item = Generation> + '_ {
        self.attempts.values().filter(move |a| a.exchange_id == exchange_id).filter_map(|a| match a.stage {
            Stage::Established(generation) => Some(generation),
            Stage::Waiting | Stage::Sent(_) => None,
        })
    }

    /// Schedules the next lease check of an exchange for the earliest expiry among its calls.
    pub(super) fn schedule_lease_check(&mut self, exchange_id: ExchangeId) {
        let Some(upstream) = self.upstreams.get(&exchange_id) else { return };
        let Some(due) = self.lease_generations(exchange_id).map(|g| upstream.leases.expires_at(g)).min()
        else {
            return;
        };
        if upstream.lease_check_at.is_some_and(|at| at <= due) {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(&exchange_id) {
            upstream.lease_check_at = Some(due);
        }
        self.outputs.push(UpstreamOutput::SetTimer(due, UpstreamTimer::LeaseCheck(exchange_id, due)));
    }

    /// Cuts the calls whose lease has expired: their callers would otherwise never learn that an exchange vanished
    /// without a message. The callers are informed at once, the exchange as soon as it can be reached.
    pub(super) fn check_leases(&mut self, now: Micros, exchange_id: ExchangeId, scheduled: Micros) {
        let Some(upstream) =
            self.upstreams.get_mut(&exchange_id).filter(|u| u.lease_check_at == Some(scheduled))
        else {
            return;
        };
        upstream.lease_check_at = None;
        if fault_injected(InjectedFault::NoReleaseForVanished) {
            return;
        }
        if now - scheduled > STALL_THRESHOLD && now - scheduled < STALLED_LEASE_GRACE {
            // This program stalled, and messages that arrived meanwhile may not have been read yet.
            let due = scheduled + STALLED_LEASE_GRACE;
            upstream.lease_check_at = Some(due);
            return self
                .outputs
                .push(UpstreamOutput::SetTimer(due, UpstreamTimer::LeaseCheck(exchange_id, due)));
        }
        let leases = upstream.leases.clone();
        let expired = |a: &Attempt| matches!(a.stage, Stage::Established(g) if leases.expired(now, g));
        let expired_here = |a: &Attempt| a.exchange_id == exchange_id && expired(a);
        let mut sids: Vec<Sid> =
            self.attempts.iter().filter(|(_, a)| expired_here(a)).map(|(&sid, _)| sid).collect();
        sids.sort_unstable();
        self.counts.lease_expired += sids.len() as u64;
        if let Some(upstream) = self.upstreams.get_mut(&exchange_id).filter(|_| !sids.is_empty()) {
            let member = upstream.member_address.member.clone();
            self.outputs.push(UpstreamOutput::LeasesExpired(member, sids.len()));
        }
        sids.into_iter().for_each(|sid| self.release_at(now, exchange_id, sid));
        self.cut_established(exchange_id, expired);
        self.schedule_lease_check(exchange_id);
    }
}
