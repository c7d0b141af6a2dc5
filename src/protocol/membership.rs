//! The coordinator's list of exchanges: the JSON of its events, and the names that the core uses for the
//! exchanges in it.

use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::{ExchangeId, ExchangeNumber, ListEntry, ListState, ListUpdate};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Why an event of the coordinator could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not the JSON of an event.
    #[error("not a list event: {0}")]
    Json(#[from] serde_json::Error),
    /// The address of a member is none.
    #[error("member {0}: bad address {1:?}")]
    Address(String, String),
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(default)]
    index: Option<u64>,
    endpoints: Endpoints,
}

#[derive(Debug, Deserialize)]
struct Endpoints {
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u16,
    #[serde(default)]
    phase: Phase,
    #[serde(default)]
    up_since_ms: f64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    #[default]
    Up,
    Draining,
    Removed,
}

/// What a member of the list is called and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The coordinator's name of it.
    pub member: String,
    /// Its address.
    pub address: SocketAddr,
}

/// News of the list, with the addresses of the members that it names.
#[derive(Debug)]
pub struct ParsedUpdate {
    /// The event's number, if it bears one.
    pub index: Option<u64>,
    /// For the core.
    pub list_update: ListUpdate,
    /// Where the members are, in the order of the entries.
    pub addresses: Vec<MemberAddress>,
}

/// Gives each member a name of the core's kind. An exchange that is new may have the address of one that has
/// gone, so that the address can't be the name.
#[derive(Debug, Default)]
pub struct MemberIds {
    names: BTreeMap<String, ExchangeId>,
    next: u32,
    zones: Vec<String>,
    begun: bool,
}

impl MemberIds {
    /// A member_ids that knows the names of the zones, in their order.
    pub fn new(zones: Vec<String>) -> Self {
        MemberIds { zones, ..MemberIds::default() }
    }

    fn exchange_id(&mut self, member: &str) -> ExchangeId {
        if let Some(&exchange_id) = self.names.get(member) {
            return exchange_id;
        }
        self.next += 1;
        let exchange_id = ExchangeId { addr: self.next.to_be_bytes(), port: 0 };
        self.names.insert(member.to_owned(), exchange_id);
        exchange_id
    }

    /// Reads the JSON of an event. `cached`: it is from before the start, maybe old.
    pub fn parse_event(&mut self, json: &str, cached: bool) -> Result<ParsedUpdate, ListError> {
        let event: Event = serde_json::from_str(json)?;
        let mut entries = Vec::with_capacity(event.endpoints.members.len());
        let mut addresses = Vec::with_capacity(event.endpoints.members.len());
        for m in event.endpoints.members {
            let address = m.host_port.parse();
            let address = address.map_err(|_| ListError::Address(m.id.clone(), m.host_port.clone()))?;
            let zone = self.zones.iter().position(|z| *z == m.locality).unwrap_or(0).min(255) as u8;
            let state = match m.phase {
                Phase::Up => ListState::Ready,
                Phase::Draining if fault_injected(InjectedFault::SetUpAfterDrain) => ListState::Ready,
                Phase::Draining => ListState::Draining,
                Phase::Removed => ListState::Gone,
            };
            let last_start = (m.up_since_ms > 0.0).then_some((m.up_since_ms * 1000.0) as i64);
            // Guards memory: machines are replaced for as long as the program runs, each under a new name. One that
            // is removed gives its name back, and is update only if it was known.
            let exchange_id = match state {
                ListState::Gone => self.names.remove(&m.id),
                _ => Some(self.exchange_id(&m.id)),
            };
            let (exchange, Some(exchange_id)) = (ExchangeNumber(m.cell), exchange_id) else { continue };
            entries.push(ListEntry { exchange, zone, state, exchange_id, last_start });
            addresses.push(MemberAddress { member: m.id, address });
        }
        let complete = event.endpoints.complete || !self.begun;
        self.begun = true;
        if complete {
            self.names
                .retain(|_, exchange_id| entries.iter().any(|e: &ListEntry| e.exchange_id == *exchange_id));
        }
        let list_update = match (complete, cached) {
            (false, _) => ListUpdate::Changes(entries.into()),
            (true, false) => ListUpdate::Complete(entries.into()),
            (true, true) => ListUpdate::Cached(entries.into()),
        };
        Ok(ParsedUpdate { index: event.index, list_update, addresses })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(complete: bool, members: &[(&str, &str)]) -> String {
        let member = |(id, phase): &(&str, &str)| serde_json::json!({"id": id, "host_port": "127.0.0.1:9", "cell": 1, "phase": phase});
        let members: Vec<_> = members.iter().map(member).collect();
        serde_json::json!({"endpoints": {"complete": complete, "members": members}}).to_string()
    }

    #[test]
    fn names_of_replaced_machines_are_given_back_and_a_removal_is_told_once() {
        let mut member_ids = MemberIds::new(Vec::new());
        let mut seen = std::collections::BTreeSet::new();
        member_ids.parse_event(&event(true, &[("s-0", "up")]), true).unwrap();
        for n in 0..1000 {
            let (old, new) = (format!("s-{n}"), format!("s-{}", n + 1));
            let text = event(false, &[(&new, "up"), (&old, "draining"), (&old, "removed")]);
            let update = member_ids.parse_event(&text, false).unwrap();
            let ListUpdate::Changes(entries) = update.list_update else { panic!("not a change") };
            assert_eq!((entries.len(), entries[1].exchange_id), (3, entries[2].exchange_id));
            assert!(seen.insert(entries[0].exchange_id), "a new machine at an old address is another one");
            let again = member_ids.parse_event(&event(false, &[(&old, "removed")]), false).unwrap();
            assert!(again.addresses.is_empty());
            assert_eq!(member_ids.names.len(), 1);
        }
        member_ids.parse_event(&event(true, &[("s-a", "up"), ("s-b", "up")]), false).unwrap();
        assert_eq!(member_ids.names.len(), 2, "what a whole list leaves out is gone too");
    }
}
