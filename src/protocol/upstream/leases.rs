//! The leases of the calls that stand: see [`super::lease`].

use super::*;

impl UpstreamConnections {
    /// The generations of the calls that stand at an exchange.
    pub(super) fn generations(&self, office: ExchangeId) -> impl Iterator<Item = Generation> + '_ {
        self.legs.values().filter(move |l| l.office == office).filter_map(|l| match l.stage {
            Stage::Standing(generation) => Some(generation),
            Stage::Waiting | Stage::Sent(_) => None,
        })
    }

    /// Has the leases of the calls at an exchange looked at when the first of them is over.
    pub(super) fn watch_leases(&mut self, office: ExchangeId) {
        let Some(link) = self.links.get(&office) else { return };
        let Some(due) = self.generations(office).map(|g| link.leases.expires(g)).min() else { return };
        if link.lease_due.is_some_and(|at| at <= due) {
            return;
        }
        if let Some(link) = self.links.get_mut(&office) {
            link.lease_due = Some(due);
        }
        self.out.push(UpstreamOutput::SetTimer(due, UpstreamTimer::Lease(office, due)));
    }

    /// Guards callers against an exchange that is gone without a word: the calls whose lease is over are cut, towards
    /// their callers now, and there as soon as it can be reached.
    pub(super) fn look_at_leases(&mut self, now: Micros, office: ExchangeId, meant: Micros) {
        let Some(link) = self.links.get_mut(&office).filter(|l| l.lease_due == Some(meant)) else { return };
        link.lease_due = None;
        if fault_injected(InjectedFault::NoReleaseForVanished) {
            return;
        }
        if now - meant > STOOD_STILL && now - meant < LEASE_GRACE {
            // This program stood still, and what came meanwhile may not have been read.
            let due = meant + LEASE_GRACE;
            link.lease_due = Some(due);
            return self.out.push(UpstreamOutput::SetTimer(due, UpstreamTimer::Lease(office, due)));
        }
        let leases = link.leases.clone();
        let over = |l: &Attempt| matches!(l.stage, Stage::Standing(g) if leases.expired(now, g));
        let of = |l: &Attempt| l.office == office && over(l);
        let mut owed: Vec<Sid> = self.legs.iter().filter(|(_, l)| of(l)).map(|(&sid, _)| sid).collect();
        owed.sort_unstable();
        self.counts.lease_expired += owed.len() as u64;
        if let Some(link) = self.links.get_mut(&office).filter(|_| !owed.is_empty()) {
            let member = link.place.member.clone();
            self.out.push(UpstreamOutput::LeasesExpired(member, owed.len()));
        }
        owed.into_iter().for_each(|sid| self.release_at(now, office, sid));
        self.cut_standing(office, over);
        self.watch_leases(office);
    }
}
