//! The state of the program as operators see it. Whoever shows it, the line console, the control socket or an
//! alarm, has it from here; nothing here changes anything.

use super::config::Config;
use super::gossip::Gossip;
use super::switchboard::GATEWAYS;
use crate::protocol::mgcp::agent::Agent;
use crate::protocol::upstream::UpstreamConnections;
use crate::routing::interface::{ExchangeId, ExchangeNumber, ListState, Micros};
use crate::routing::ledger::{CallView, Ledger};
use std::collections::{BTreeMap, BTreeSet};
use walnuthatch_control::views::{Call, Exchange, Status};
use walnuthatch_drains::target::{self, Health, Load, Neighbour, Site, Target};

/// Calls shown at most.
pub const CALLS: usize = 500;

/// All that views are made of.
pub struct Scene<'a> {
    /// The time.
    pub now: Micros,
    /// When the program started.
    pub born: Micros,
    /// What it was told.
    pub config: &'a Config,
    /// The calls.
    pub ledger: &'a Ledger,
    /// The connections toward exchanges.
    pub links: &'a UpstreamConnections,
    /// The gateways.
    pub agent: Option<&'a Agent>,
    /// Gossip.
    pub gossip: Option<&'a Gossip>,
    /// Connections that there are.
    pub connections: usize,
    /// Deadlines that wait.
    pub deadlines: usize,
    /// It was asked to stop.
    pub stopping: bool,
    /// Its tests fail by order.
    pub draining: bool,
    /// All counters.
    pub counters: Box<dyn Fn() -> Vec<(String, u64)> + 'a>,
}

/// How a state on the list is called.
pub fn listed(state: ListState) -> &'static str {
    match state {
        ListState::Ready => "ready",
        ListState::Draining => "draining",
        ListState::Gone => "gone",
    }
}

fn ms(span: Micros) -> u64 {
    u64::try_from(span / 1000).unwrap_or(0)
}

impl Scene<'_> {
    /// In one word.
    pub fn state(&self) -> &'static str {
        match (self.stopping, self.draining) {
            (true, _) => "stopping",
            (false, true) => "draining",
            (false, false) if self.links.all_contacted() => "serving",
            (false, false) => "starting",
        }
    }

    /// In short; alarms, drains and the like are filled in by whoever has them.
    pub fn status(&self) -> Status {
        let count = |state: Option<ListState>| {
            let offices = self.ledger.administrative_state().exchanges();
            offices.filter(|o| state.is_none_or(|s| o.0.state == s)).count()
        };
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            state: self.state().to_owned(),
            up_s: ms(self.now - self.born) / 1000,
            open: self.ledger.open_calls(),
            standing: self.ledger.established_calls(),
            connections: self.connections,
            deadlines: self.deadlines,
            ready: count(Some(ListState::Ready)),
            listed: count(None),
            state_folder: "off".to_owned(),
            ..Status::default()
        }
    }

    /// The machines on the list and the gateways, in the order of their exchanges. Figures of set-ups are filled in
    /// by whoever has them.
    pub fn exchanges(&self) -> Vec<Exchange> {
        let loads = self.loads();
        let figures: BTreeMap<ExchangeId, _> = self.ledger.administrative_state().group_circuits().collect();
        let of =
            |office: &ExchangeId, exchange: ExchangeNumber, name: &str, address: String, state, connected| {
                let known = figures.get(office);
                let Load { pending_setups: out, established: standing } =
                    loads.load(Target::Group(target::Exchange(exchange.0)));
                Exchange {
                    exchange: exchange.0,
                    member: name.to_owned(),
                    address,
                    listed: listed(state).to_owned(),
                    connected,
                    free: known.map(|f| f.0),
                    size: known.map(|f| f.1),
                    out,
                    standing,
                    report_age_ms: known.map(|f| ms(self.now - f.2)),
                    ..Exchange::default()
                }
            };
        let list = self.ledger.administrative_state();
        let links = self.links.views().filter_map(|(office, place, state, up)| {
            let exchange = list.exchange_of(office)?;
            Some(of(&office, exchange, &place.member, place.address.to_string(), state, up))
        });
        let gateways = self.agent.iter().flat_map(|a| a.views().zip(a.entries()));
        let gateways = gateways.map(|((name, state, free, all), e)| {
            let mut x =
                of(&e.exchange_id, e.exchange, name, "gateway".to_owned(), state, state == ListState::Ready);
            (x.free, x.size) = (Some(free as f64), Some(all as f64));
            x
        });
        let mut all: Vec<Exchange> = links.chain(gateways).collect();
        all.sort_by(|a, b| (a.exchange, &a.member).cmp(&(b.exchange, &b.member)));
        all
    }

    /// The calls that contain a text, oldest first, and how many there are in all.
    pub fn calls(&self, search: &str, most: usize) -> (Vec<Call>, usize) {
        let view = |v: CallView| Call {
            call: v.call.0,
            front: if v.frontend == GATEWAYS { "gateway" } else { "lines" }.to_owned(),
            destination: v.destination.0,
            doing: v.state.to_owned(),
            over: v.exchange.map(|e| e.0),
            for_ms: ms(self.now - v.since),
        };
        let fits = |c: &Call| search.is_empty() || call_line(c).contains(search);
        let found = self.ledger.call_views().map(view).filter(fits).take(most).collect();
        (found, self.ledger.open_calls() + self.ledger.established_calls())
    }

    /// What is at each exchange.
    pub fn loads(&self) -> Loads<'_> {
        Loads { scene: self, loads: self.ledger.call_loads(), links: None, health: Health::default() }
    }
}

/// A call on one line.
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

/// The site as drains see it.
pub struct Loads<'a> {
    scene: &'a Scene<'a>,
    loads: BTreeMap<(ExchangeNumber, ExchangeNumber), (u32, u32)>,
    links: Option<&'a BTreeSet<(ExchangeNumber, ExchangeNumber)>>,
    health: Health,
}

impl<'a> Loads<'a> {
    /// With what is known of the groups between other exchanges, and how calls fare.
    pub fn with(self, links: &'a BTreeSet<(ExchangeNumber, ExchangeNumber)>, health: Health) -> Self {
        Loads { links: Some(links), health, ..self }
    }

    /// Calls that stand, by first leg and destination.
    pub fn standing(&self) -> impl Iterator<Item = (ExchangeNumber, ExchangeNumber, u32)> + '_ {
        self.loads.iter().filter(|l| l.1 .1 > 0).map(|(&(leg, to), l)| (leg, to, l.1))
    }
}

impl Site for Loads<'_> {
    fn load(&self, target: Target) -> Load {
        if target == Target::Controller {
            let of = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
            return Load {
                pending_setups: of(self.scene.ledger.open_calls()),
                established: of(self.scene.ledger.established_calls()),
            };
        }
        let at = |leg: ExchangeNumber, to: ExchangeNumber| match target {
            // A call over a tandem is at its destination too.
            Target::Exchange(e) => leg.0 == e.0 || to.0 == e.0,
            Target::Group(e) => leg.0 == e.0,
            Target::Controller => true,
        };
        let found = self.loads.iter().filter(|(&(leg, to), _)| at(leg, to));
        found.fold(Load::default(), |sum, (_, l)| Load {
            pending_setups: sum.pending_setups + l.0,
            established: sum.established + l.1,
        })
    }

    fn neighbours(&self) -> Vec<Neighbour> {
        let own = self.scene.config.settings.own_exchange;
        let mut all: BTreeMap<ExchangeNumber, Neighbour> = BTreeMap::new();
        for (e, group) in
            self.scene.ledger.administrative_state().exchanges().filter(|o| Some(o.0.exchange) != own)
        {
            let ready = e.state == ListState::Ready;
            let n = Neighbour { exchange: target::Exchange(e.exchange.0), ready, group };
            // Of an old machine and its replacement the one that is in service counts.
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
        let links = self.links.filter(|l| !l.is_empty())?;
        Some(links.contains(&(ExchangeNumber(tandem.0), ExchangeNumber(to.0))))
    }
}
