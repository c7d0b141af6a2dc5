//! The choice of the route: direct, through a tandem, or none.

use super::*;
use crate::planted::{planted, Planted};

/// Plain turns alone decide while this share of them goes through; 0.35 and 0.6 both scored lower.
const MIN_UNTESTED_SUCCESS_RATE: f64 = 0.5;
/// From this share on an office is a tandem only where no other one serves.
const MAX_TANDEM_FAULT_RATE: f64 = 0.25;
/// The same for the own wait, from which on transit is turned back: later than a tandem is passed over, since
/// what two processors did for the call is then lost.
const OWN_FULL_SHARE: f64 = 0.8;

/// Where a call goes now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Route {
    Via(usize),
    /// No way on at present, perhaps soon.
    Blocked,
    /// No way on.
    Closed,
}

impl Controller {
    /// Direct while the group has room; then the next tandem in turn that accepts, keeps headroom on its
    /// first leg and did not just turn such a call back; else none. In transit: on, or back.
    pub(super) fn route(&mut self, now: Micros, call: &Call) -> Route {
        let ask = &call.request;
        let width = f64::from(ask.circuits);
        let Some(&direct) = self.index_by_number.get(&ask.destination) else { return Route::Closed };
        if planted(Planted::ColdFlooded) {
            let cold =
                |o: &ExchangeState| o.state == ListState::Ready && self.cold_start_share(now, o).is_some();
            if let Some(i) = self.exchanges.iter().position(cold) {
                return Route::Via(i);
            }
        }
        // Danger: a call for what will not come back soon would wait, and be refused at its end.
        if self.out_of_service.controller || self.out_of_service.exchanges.contains(&ask.destination) {
            return Route::Closed;
        }
        // Danger: while another call server restarts, calls of its subscribers come here, some of them for
        // this exchange. Nothing may be sent to the own one, but a tandem has a group back to it.
        let own = Some(ask.destination) == self.settings.own_exchange;
        if own && (ask.transit || ask.redialled) || !self.class_may_use(ask, ask.destination) {
            return Route::Closed;
        }
        let open = !own && self.accepts_setups(now, direct);
        let d = &self.exchanges[direct];
        if ask.transit {
            let room = d.group.is_none_or(|g| g.0 >= width && 1.0 - g.0 / g.1.max(1.0) <= ACCEPT_LOAD);
            let pressed = self.own_delay(now) > ACCEPT_LOAD * OWN_FULL_SHARE * self.shortest_objective as f64;
            return if open && room && !pressed { Route::Via(direct) } else { Route::Closed };
        }
        // Danger: redials, past their aim, fill the window before first tries.
        let spare = usize::from(ask.redialled);
        if !self.own_concurrency.admits(now, self.own_pending(now) + spare) {
            return Route::Blocked;
        }
        let room = open && d.free_circuits() >= width + if ask.redialled { d.headroom() } else { 0.0 };
        // Danger: where most set-ups meet a fault, a call has too few tries. The last one goes over a tandem,
        // whose call server asks as often again.
        let last = call.attempts + 1 == self.settings.max_attempts
            && d.fault_rate >= RETRY_FAULT_RATE_MIN
            && !ask.redialled;
        if room && !last {
            return Route::Via(direct);
        }
        if self.settings.topology == Topology::Mesh && (!open && !own || ask.redialled) {
            return Route::Blocked;
        }
        let turn = self.next_tandem % self.exchanges.len();
        let mut plain = (turn..self.exchanges.len()).chain(0..turn);
        let found = if self.untested_success_rate >= MIN_UNTESTED_SUCCESS_RATE {
            let trusted = |o: &ExchangeState| {
                o.fault_rate < MAX_TANDEM_FAULT_RATE && !self.suspected.contains(&o.exchange)
            };
            let sound = |&i: &usize| trusted(&self.exchanges[i]) && self.can_use_tandem(now, i, call);
            let any = plain.clone();
            plain
                .find(sound)
                .or_else(|| any.into_iter().find(|&i| !last && self.can_use_tandem(now, i, call)))
        } else {
            // Danger: where few plain turns go through, each is work for two processors. Then the turn is
            // over the ways known to be open, and plain only for a first try while none is known.
            let to = ask.destination;
            let (on, before) = (
                self.tandem_paths.range((to, turn)..=(to, usize::MAX)),
                self.tandem_paths.range((to, 0)..(to, turn)),
            );
            let mut known =
                on.chain(before).filter(|w| now - w.1.last_open < PATH_OPEN_TIME).map(|w| w.0 .1).peekable();
            if known.peek().is_none() && call.tandems_tried.is_empty() {
                plain.find(|&i| self.can_use_tandem(now, i, call))
            } else {
                known.find(|&i| self.can_use_tandem(now, i, call))
            }
        };
        match found {
            Some(i) => {
                self.next_tandem = i + 1;
                Route::Via(i)
            }
            None if room => Route::Via(direct),
            None => Route::Blocked,
        }
    }

    /// Whether the call may take that tandem (or pool of second choice) now.
    pub(super) fn can_use_tandem(&self, now: Micros, i: usize, call: &Call) -> bool {
        let (ask, t) = (&call.request, &self.exchanges[i]);
        t.exchange != ask.destination
            && Some(t.exchange) != self.settings.own_exchange
            && self.class_may_use(ask, t.exchange)
            && t.group.is_some_and(|g| g.0 >= self.required_circuits(ask, g.1) + t.headroom())
            && !call.tandems_tried.contains(&i)
            && t.may_reach(ask.destination)
            && self.tandem_paths.get(&(ask.destination, i)).is_none_or(|w| now >= w.blocked_until)
            && self.accepts_as_tandem(now, t)
            && self.accepts_setups(now, i)
    }

    /// Free circuits that a call needs of a tandem's group of that size, beside the headroom. Back to the own
    /// exchange it takes as many again, and the tandem turns it back when the group is busier than it may be.
    pub(super) fn required_circuits(&self, ask: &NewCall, size: f64) -> f64 {
        let width = f64::from(ask.circuits);
        let back = Some(ask.destination) == self.settings.own_exchange;
        width + if back { width + (1.0 - ACCEPT_LOAD) * size } else { 0.0 }
    }

    /// Whether the class may go to that pool (always, between exchanges).
    pub(super) fn class_may_use(&self, ask: &NewCall, exchange: ExchangeNumber) -> bool {
        let pools = self.settings.classes.get(ask.class).map_or(&[][..], |c| &c.allowed_pools);
        self.settings.topology == Topology::Mesh || pools.is_empty() || pools.contains(&exchange)
    }
}
