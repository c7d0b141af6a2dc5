//! What the list of exchanges changes about the connections to them.

use super::*;

impl UpstreamConnections {
    /// Entries of the list; `complete`: exchanges missing from them are gone.
    pub fn update_list(
        &mut self,
        now: Micros,
        entries: &[ListEntry],
        places: &[MemberAddress],
        complete: bool,
    ) {
        let others = |e: &&ListEntry| Some(e.exchange) != self.own;
        let others: Vec<_> = entries.iter().zip(places).filter(|(e, _)| others(e)).collect();
        for (e, place) in others {
            self.entry(now, e, place);
        }
        if complete {
            let missing: Vec<ExchangeId> =
                self.links.keys().copied().filter(|o| !entries.iter().any(|e| e.exchange_id == *o)).collect();
            missing.into_iter().for_each(|o| self.gone(now, o));
        }
    }

    pub(super) fn entry(&mut self, now: Micros, e: &ListEntry, place: &MemberAddress) {
        if e.state == ListState::Gone {
            return self.gone(now, e.exchange_id);
        }
        let fresh = || Upstream {
            place: place.clone(),
            state: e.state,
            started: e.last_start,
            connection: ConnectionState::Down,
            retry: RETRY.0,
            retry_due: None,
            suspected: false,
            settled: false,
            came_up: None,
            heard: None,
            tested: None,
            mean_interarrival: SILENT.2 as f64,
            last_set_up_time: UNTESTED.2,
            consecutive_timeouts: 0,
            half: None,
            owed: Vec::new(),
            leases: Leases::new(now),
            lease_due: None,
        };
        let link = self.links.entry(e.exchange_id).or_insert_with(fresh);
        let restarted = e.last_start.is_some() && e.last_start != link.started;
        link.state = e.state;
        link.started = e.last_start;
        if e.state == ListState::Draining {
            self.withdraw_unsent(e.exchange_id);
        }
        if restarted {
            // What stood at the old process went down with it.
            let start = e.last_start.unwrap_or(now);
            self.cut_standing(e.exchange_id, |leg| leg.began < start);
        }
        if self
            .links
            .get(&e.exchange_id)
            .is_some_and(|l| l.connection == ConnectionState::Down && l.retry_due.is_none())
        {
            self.connect(now, e.exchange_id);
        }
    }

    /// An office takes nothing new: a set-up that waits for a connection, or behind others on one that is slow,
    /// could leave after the grace.
    pub fn withdraw_unsent(&mut self, office: ExchangeId) {
        self.fail_waiting(office);
        let sent = |l: &Attempt| match l.stage {
            Stage::Sent(conn) if l.office == office => Some((l.call, l.attempt, conn)),
            _ => None,
        };
        let mut sent: Vec<_> = self.legs.values().filter_map(sent).collect();
        sent.sort_unstable();
        let unsend = |(call, attempt, conn)| UpstreamOutput::WithdrawSetUp { conn, call, attempt };
        self.out.extend(sent.into_iter().map(unsend));
    }

    /// A set-up has not left, and never will.
    pub fn set_up_withdrawn(&mut self, call: CallId, attempt: AttemptNumber) {
        if self.leg_of(call).is_some_and(|l| l.attempt == attempt && matches!(l.stage, Stage::Sent(_))) {
            self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
        }
    }

    pub(super) fn gone(&mut self, now: Micros, office: ExchangeId) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.state != ListState::Gone {
            link.state = ListState::Gone;
            self.withdraw_unsent(office);
            self.out.push(UpstreamOutput::SetTimer(now + GONE_GRACE, UpstreamTimer::Gone(office)));
        }
    }

    /// The one place where a link is given back.
    pub(super) fn drop_link(&mut self, now: Micros, office: ExchangeId) {
        self.fail_waiting(office);
        self.end_sent(now, office, Ending::Reset);
        self.cut_standing(office, |_| true);
        let Some(link) = self.links.remove(&office) else { return };
        if let ConnectionState::Connecting(conn) | ConnectionState::Up(conn) = link.connection {
            self.conns.remove(&conn);
            self.out.push(UpstreamOutput::Disconnect(conn, DisconnectReason::MemberRemoved));
        }
    }
}
