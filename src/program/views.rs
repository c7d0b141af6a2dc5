//! Read-only views of the program's state for operators: the single source for the line console, the control socket
//! and the alarms.

use super::config::Config;
use super::event_loop::GATEWAY_FRONTEND;
use super::gossip::Gossip;
use crate::protocol::mgcp::agent::Agent;
use crate::protocol::upstream::UpstreamConnections;
use crate::routing::interface::{ExchangeId, ExchangeNumber, ListState, Micros};
use crate::routing::ledger::{CallView, Ledger};
use std::collections::{BTreeMap, BTreeSet};
use walnuthatch_control::views::{Call, Exchange, Status};
use walnuthatch_drains::target::{self, Health, Load, Neighbour, Site, Target};

/// Maximum number of calls in a view.
pub const MAX_LISTED_CALLS: usize = 500;

/// References to the program's state at one time, from which all views are made.
pub struct Snapshot<'a> {
    /// The current time.
    pub now: Micros,
    /// When the program started.
    pub started_at: Micros,
    /// The configuration in force.
    pub config: &'a Config,
    /// The calls and the state of the exchanges.
    pub ledger: &'a Ledger,
    /// The connections to exchanges.
    pub upstream: &'a UpstreamConnections,
    /// The call agent of the gateways, if enabled.
    pub agent: Option<&'a Agent>,
    /// The gossip subsystem, if enabled.
    pub gossip: Option<&'a Gossip>,
    /// The number of open connections.
    pub connections: usize,
    /// The number of timers that are set.
    pub timers: usize,
    /// Whether a shutdown is in progress.
    pub stopping: bool,
    /// Whether health probes fail because the console command `drain` was given.
    pub draining: bool,
    /// Returns all counters.
    pub counters: Box<dyn Fn() -> Vec<(String, u64)> + 'a>,
}

/// The name of a state on the exchange list.
pub fn list_state_name(state: ListState) -> &'static str {
    match state {
        ListState::Ready => "ready",
        ListState::Draining => "draining",
        ListState::Gone => "gone",
    }
}

fn ms(span: Micros) -> u64 {
    u64::try_from(span / 1000).unwrap_or(0)
}

impl Snapshot<'_> {
    /// The state of the program, in one word.
    pub fn state(&self) -> &'static str {
        match (self.stopping, self.draining) {
            (true, _) => "stopping",
            (false, true) => "draining",
            (false, false) if self.upstream.all_contacted() => "serving",
            (false, false) => "starting",
        }
    }

    /// The status of the program; the appliance fills in alarms, drains and its other fields.
    pub fn status(&self) -> Status {
        let count = |state: Option<ListState>| {
            let exchanges = self.ledger.administrative_state().exchanges();
            exchanges.filter(|(e, _)| state.is_none_or(|s| e.state == s)).count()
        };
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            state: self.state().to_owned(),
            up_s: ms(self.now - self.started_at) / 1000,
            open: self.ledger.open_calls(),
            standing: self.ledger.established_calls(),
            connections: self.connections,
            deadlines: self.timers,
            ready: count(Some(ListState::Ready)),
            listed: count(None),
            state_folder: "off".to_owned(),
            ..Status::default()
        }
    }

    /// The machines on the exchange list and the gateways, in the order of their exchanges. The appliance fills in
    /// the metrics of set-ups.
    pub fn exchanges(&self) -> Vec<Exchange> {
        let loads = self.site_load();
        let circuits: BTreeMap<ExchangeId, _> = self.ledger.administrative_state().group_circuits().collect();
        let view = |exchange_id: &ExchangeId,
                    exchange: ExchangeNumber,
                    name: &str,
                    address: String,
                    state,
                    connected| {
            let group = circuits.get(exchange_id);
            let load = loads.load(Target::Group(target::Exchange(exchange.0)));
            Exchange {
                exchange: exchange.0,
                member: name.to_owned(),
                address,
                listed: list_state_name(state).to_owned(),
                connected,
                free: group.map(|g| g.0),
                size: group.map(|g| g.1),
                out: load.pending_setups,
                standing: load.established,
                report_age_ms: group.map(|g| ms(self.now - g.2)),
                ..Exchange::default()
            }
        };
        let list = self.ledger.administrative_state();
        let machines = self.upstream.views().filter_map(|(exchange_id, address, state, connected)| {
            let exchange = list.exchange_of(exchange_id)?;
            Some(view(&exchange_id, exchange, &address.member, address.address.to_string(), state, connected))
        });
        let gateways = self.agent.iter().flat_map(|a| a.gateway_summaries().zip(a.list_entries()));
        let gateways = gateways.map(|((name, state, free, total), e)| {
            let mut view = view(
                &e.exchange_id,
                e.exchange,
                name,
                "gateway".to_owned(),
                state,
                state == ListState::Ready,
            );
            (view.free, view.size) = (Some(free as f64), Some(total as f64));
            view
        });
        let mut all: Vec<Exchange> = machines.chain(gateways).collect();
        all.sort_by(|a, b| (a.exchange, &a.member).cmp(&(b.exchange, &b.member)));
        all
    }

    /// The calls whose line contains the search text, oldest first, and the total number of calls.
    pub fn calls(&self, search: &str, limit: usize) -> (Vec<Call>, usize) {
        let view = |v: CallView| Call {
            call: v.call.0,
            front: if v.frontend == GATEWAY_FRONTEND { "gateway" } else { "lines" }.to_owned(),
            destination: v.destination.0,
            doing: v.state.to_owned(),
            over: v.exchange.map(|e| e.0),
            for_ms: ms(self.now - v.since),
        };
        let matches = |c: &Call| search.is_empty() || call_line(c).contains(search);
        let found = self.ledger.call_views().map(view).filter(matches).take(limit).collect();
        (found, self.ledger.open_calls() + self.ledger.established_calls())
    }

    /// The calls at each exchange.
    pub fn site_load(&self) -> SiteLoad<'_> {
        SiteLoad {
            snapshot: self,
            loads: self.ledger.call_loads(),
            trunk_groups: None,
            health: Health::default(),
        }
    }
}

/// Formats a call on one line.
pub fn call_line(c: &Call) -> String {
    let over = match c.over {
        Some(over) if over != c.destination => format!(" over {over}"),
        _ => String::new(),
    };
    format!(
        "call {} from {} to exchange {}{over}: {} for {} ms",
        c.call, c.front, c.destination, c.doing, c.for_ms
    )
}

/// The site as the drain registry sees it.
pub struct SiteLoad<'a> {
    snapshot: &'a Snapshot<'a>,
    loads: BTreeMap<(ExchangeNumber, ExchangeNumber), (u32, u32)>,
    trunk_groups: Option<&'a BTreeSet<(ExchangeNumber, ExchangeNumber)>>,
    health: Health,
}

impl<'a> SiteLoad<'a> {
    /// Adds the known trunk groups between other exchanges, and the current health of calls.
    pub fn with_trunk_groups_and_health(
        self,
        trunk_groups: &'a BTreeSet<(ExchangeNumber, ExchangeNumber)>,
        health: Health,
    ) -> Self {
        SiteLoad { trunk_groups: Some(trunk_groups), health, ..self }
    }

    /// Established calls, by first hop and destination.
    pub fn established(&self) -> impl Iterator<Item = (ExchangeNumber, ExchangeNumber, u32)> + '_ {
        self.loads
            .iter()
            .filter(|l| l.1 .1 > 0)
            .map(|(&(first_hop, destination), l)| (first_hop, destination, l.1))
    }
}

impl Site for SiteLoad<'_> {
    fn load(&self, target: Target) -> Load {
        if target == Target::Controller {
            let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
            return Load {
                pending_setups: count(self.snapshot.ledger.open_calls()),
                established: count(self.snapshot.ledger.established_calls()),
            };
        }
        let counts = |first_hop: ExchangeNumber, destination: ExchangeNumber| match target {
            // A call over a tandem also counts at its destination.
            Target::Exchange(e) => first_hop.0 == e.0 || destination.0 == e.0,
            Target::Group(e) => first_hop.0 == e.0,
            Target::Controller => true,
        };
        let found = self.loads.iter().filter(|(&(first_hop, destination), _)| counts(first_hop, destination));
        found.fold(Load::default(), |sum, (_, l)| Load {
            pending_setups: sum.pending_setups + l.0,
            established: sum.established + l.1,
        })
    }

    fn neighbours(&self) -> Vec<Neighbour> {
        let own = self.snapshot.config.settings.own_exchange;
        let mut all: BTreeMap<ExchangeNumber, Neighbour> = BTreeMap::new();
        for (e, group) in
            self.snapshot.ledger.administrative_state().exchanges().filter(|(e, _)| Some(e.exchange) != own)
        {
            let ready = e.state == ListState::Ready;
            let n = Neighbour { exchange: target::Exchange(e.exchange.0), ready, group };
            // Of a machine and its replacement, the one in service counts.
            if ready || !all.contains_key(&e.exchange) {
                all.insert(e.exchange, n);
            }
        }
        all.into_values().collect()
    }

    fn health(&self) -> Health {
        self.health
    }

    fn linked(&self, tandem: target::Exchange, to: target::Exchange) -> Option<bool> {
        let list = self.snapshot.ledger.administrative_state();
        if [tandem, to].iter().any(|e| list.is_gateway(ExchangeNumber(e.0))) {
            return Some(false);
        }
        let trunk_groups = self.trunk_groups.filter(|l| !l.is_empty())?;
        Some(trunk_groups.contains(&(ExchangeNumber(tandem.0), ExchangeNumber(to.0))))
    }
}
