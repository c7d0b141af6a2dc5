//! Choice of the route: direct, through a tandem, or none.

use super::*;
use crate::fault_injection::{fault_injected, InjectedFault};

/// Tandems are taken in plain rotation while the success rate of untested paths is at least this.
const MIN_UNTESTED_SUCCESS_RATE: f64 = 0.5;
/// An exchange with at least this fault rate is used as a tandem only where no other one is available.
const MAX_TANDEM_FAULT_RATE: f64 = 0.25;
/// Delay of the own processor that counts as load 1 for calls in transit, as a share of the shortest latency
/// objective. Higher than `FULL_LOAD_WAIT`, since turning a call back wastes the work of two processors.
const OWN_FULL_SHARE: f64 = 0.8;

/// Routing decision for a call at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Route {
    /// Send a set-up to the exchange with this index.
    Via(usize),
    /// No route at present; one may become available soon.
    Blocked,
    /// No route.
    Closed,
}

impl Controller {
    /// Chooses the direct route while its group has room; then the next tandem in rotation that accepts set-ups,
    /// has headroom on its first leg and did not recently turn back a call to the destination; otherwise none. A
    /// call in transit takes the direct route or is turned back.
    pub(super) fn route(&mut self, now: Micros, call: &Call) -> Route {
        let request = &call.request;
        let circuits = f64::from(request.circuits);
        let Some(&direct) = self.index_by_number.get(&request.destination) else { return Route::Closed };
        if fault_injected(InjectedFault::ColdFlooded) {
            let cold =
                |e: &ExchangeState| e.state == ListState::Ready && self.cold_start_share(now, e).is_some();
            if let Some(i) = self.exchanges.iter().position(cold) {
                return Route::Via(i);
            }
        }
        // What operators took out of service does not return soon; a call to it would only be refused after its
        // time in the queue.
        if self.out_of_service.controller || self.out_of_service.exchanges.contains(&request.destination) {
            return Route::Closed;
        }
        // While another session controller restarts, calls of its subscribers arrive here, some of them for this
        // exchange. No set-up may be sent to the own exchange, but a tandem has a group back to it.
        let to_own_exchange = Some(request.destination) == self.settings.own_exchange;
        if to_own_exchange && (request.transit || request.redialled)
            || !self.class_may_use(request, request.destination)
        {
            return Route::Closed;
        }
        let open = !to_own_exchange && self.accepts_setups(now, direct);
        let exchange = &self.exchanges[direct];
        if request.transit {
            let room =
                exchange.group.is_none_or(|g| g.0 >= circuits && 1.0 - g.0 / g.1.max(1.0) <= ACCEPT_LOAD);
            let overloaded =
                self.own_delay(now) > ACCEPT_LOAD * OWN_FULL_SHARE * self.shortest_objective as f64;
            return if open && room && !overloaded { Route::Via(direct) } else { Route::Closed };
        }
        // Reserves a place for first tries: redials, which are past their latency objective, would fill the limit.
        let reserved = usize::from(request.redialled);
        if !self.own_concurrency.admits(now, self.own_pending(now) + reserved) {
            return Route::Blocked;
        }
        let room = open
            && exchange.free_circuits()
                >= circuits + if request.redialled { exchange.headroom() } else { 0.0 };
        // Where many set-ups meet a fault, a call may run out of attempts. The last one goes through a tandem, whose
        // session controller makes as many attempts again.
        let last_attempt = call.attempts + 1 == self.settings.max_attempts
            && exchange.fault_rate >= RETRY_FAULT_RATE_MIN
            && !request.redialled;
        if room && !last_attempt {
            return Route::Via(direct);
        }
        if self.settings.topology == Topology::Mesh && (!open && !to_own_exchange || request.redialled) {
            return Route::Blocked;
        }
        let start = self.next_tandem % self.exchanges.len();
        let mut rotation = (start..self.exchanges.len()).chain(0..start);
        let tandem = if self.untested_success_rate >= MIN_UNTESTED_SUCCESS_RATE {
            let reliable = |e: &ExchangeState| {
                e.fault_rate < MAX_TANDEM_FAULT_RATE && !self.suspected.contains(&e.exchange_number)
            };
            let preferred = |&i: &usize| reliable(&self.exchanges[i]) && self.can_use_tandem(now, i, call);
            let any = rotation.clone();
            rotation
                .find(preferred)
                .or_else(|| any.into_iter().find(|&i| !last_attempt && self.can_use_tandem(now, i, call)))
        } else {
            // Where few untested paths succeed, each failure costs the work of two processors. The rotation is then
            // limited to paths known to be open; others are tried only by a first attempt while none is known.
            let destination = request.destination;
            let (from_start, before_start) = (
                self.tandem_paths.range((destination, start)..=(destination, usize::MAX)),
                self.tandem_paths.range((destination, 0)..(destination, start)),
            );
            let mut known = from_start
                .chain(before_start)
                .filter(|path| now - path.1.last_open < PATH_OPEN_TIME)
                .map(|path| path.0 .1)
                .peekable();
            if known.peek().is_none() && call.tandems_tried.is_empty() {
                rotation.find(|&i| self.can_use_tandem(now, i, call))
            } else {
                known.find(|&i| self.can_use_tandem(now, i, call))
            }
        };
        match tandem {
            Some(i) => {
                self.next_tandem = i + 1;
                Route::Via(i)
            }
            None if room => Route::Via(direct),
            None => Route::Blocked,
        }
    }

    /// Whether the call may use a tandem (or a pool other than its destination) now.
    pub(super) fn can_use_tandem(&self, now: Micros, index: usize, call: &Call) -> bool {
        let (request, tandem) = (&call.request, &self.exchanges[index]);
        tandem.exchange_number != request.destination
            && tandem.kind == ExchangeKind::Exchange
            && !self.is_gateway(request.destination)
            && Some(tandem.exchange_number) != self.settings.own_exchange
            && self.class_may_use(request, tandem.exchange_number)
            && tandem.group.is_some_and(|g| g.0 >= self.required_circuits(request, g.1) + tandem.headroom())
            && !call.tandems_tried.contains(&index)
            && tandem.may_reach(request.destination)
            && self
                .tandem_paths
                .get(&(request.destination, index))
                .is_none_or(|path| now >= path.blocked_until)
            && self.accepts_as_tandem(now, tandem)
            && self.accepts_setups(now, index)
    }

    /// Whether calls to this number end at a gateway, to which only the direct route leads.
    fn is_gateway(&self, exchange: ExchangeNumber) -> bool {
        self.index_by_number
            .get(&exchange)
            .is_some_and(|&index| self.exchanges[index].kind == ExchangeKind::Gateway)
    }

    /// Free circuits, beside the headroom, that a call needs on a tandem's group of the given size. A call back to
    /// the own exchange occupies twice as many, and the tandem turns it back if the group's load exceeds
    /// `ACCEPT_LOAD`.
    pub(super) fn required_circuits(&self, request: &NewCall, size: f64) -> f64 {
        let circuits = f64::from(request.circuits);
        let to_own_exchange = Some(request.destination) == self.settings.own_exchange;
        circuits + if to_own_exchange { circuits + (1.0 - ACCEPT_LOAD) * size } else { 0.0 }
    }

    /// Whether the class of a call may use a pool; always true between exchanges.
    pub(super) fn class_may_use(&self, request: &NewCall, exchange: ExchangeNumber) -> bool {
        let pools = self.settings.classes.get(request.class).map_or(&[][..], |c| &c.allowed_pools);
        self.settings.topology == Topology::Mesh || pools.is_empty() || pools.contains(&exchange)
    }
}
