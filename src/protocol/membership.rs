//! The coordinator's list of exchanges: parses its events and assigns an [`ExchangeId`] to each member.

use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::{ExchangeId, ExchangeKind, ExchangeNumber, ListEntry, ListState, ListUpdate};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Why an event of the coordinator could not be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not an event in JSON.
    #[error("not a list event: {0}")]
    Json(#[from] serde_json::Error),
    /// The address of a member is invalid.
    #[error("member {0}: invalid address {1:?}")]
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

/// The name and address of a member of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// Its name at the coordinator.
    pub member: String,
    /// Its address.
    pub address: SocketAddr,
}

/// An update of the list, with the addresses of its members.
#[derive(Debug)]
pub struct ParsedUpdate {
    /// The number of the event, if it has one.
    pub index: Option<u64>,
    /// The update for the ledger.
    pub list_update: ListUpdate,
    /// The addresses of the members, in the order of the entries.
    pub addresses: Vec<MemberAddress>,
}

/// Assigns an id to each member. The id is not derived from the address, since a new machine may have the address of one
/// that was removed.
#[derive(Debug, Default)]
pub struct MemberIds {
    id_by_member: BTreeMap<String, ExchangeId>,
    last_id: u32,
    zones: Vec<String>,
    received_list: bool,
}

impl MemberIds {
    /// Creates an empty set, given the names of the zones in the order of their numbers.
    pub fn new(zones: Vec<String>) -> Self {
        MemberIds { zones, ..MemberIds::default() }
    }

    /// The id of a member, assigned when it is first seen.
    fn assign_id(&mut self, member: &str) -> ExchangeId {
        if let Some(&exchange_id) = self.id_by_member.get(member) {
            return exchange_id;
        }
        self.last_id += 1;
        let exchange_id = ExchangeId { addr: self.last_id.to_be_bytes(), port: 0 };
        self.id_by_member.insert(member.to_owned(), exchange_id);
        exchange_id
    }

    /// Parses an event in JSON. A `cached` one was stored before the start and may be outdated. The first event counts as
    /// a complete list.
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
            // Ids of removed members are freed, since every replacement machine has a new name and memory would grow
            // without limit. The removal of an unknown member is skipped.
            let exchange_id = match state {
                ListState::Gone => self.id_by_member.remove(&m.id),
                _ => Some(self.assign_id(&m.id)),
            };
            let (exchange, Some(exchange_id)) = (ExchangeNumber(m.cell), exchange_id) else { continue };
            let kind = ExchangeKind::Exchange;
            entries.push(ListEntry { exchange, kind, zone, state, exchange_id, last_start });
            addresses.push(MemberAddress { member: m.id, address });
        }
        let complete = event.endpoints.complete || !self.received_list;
        self.received_list = true;
        if complete {
            self.id_by_member
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
    fn ids_of_replaced_machines_are_freed_and_a_removal_is_reported_once() {
        let mut member_ids = MemberIds::new(Vec::new());
        let mut seen = std::collections::BTreeSet::new();
        member_ids.parse_event(&event(true, &[("s-0", "up")]), true).unwrap();
        for n in 0..1000 {
            let (old, new) = (format!("s-{n}"), format!("s-{}", n + 1));
            let text = event(false, &[(&new, "up"), (&old, "draining"), (&old, "removed")]);
            let update = member_ids.parse_event(&text, false).unwrap();
            let ListUpdate::Changes(entries) = update.list_update else { panic!("not a change") };
            assert_eq!((entries.len(), entries[1].exchange_id), (3, entries[2].exchange_id));
            assert!(seen.insert(entries[0].exchange_id), "a new machine at an old address gets a new id");
            let again = member_ids.parse_event(&event(false, &[(&old, "removed")]), false).unwrap();
            assert!(again.addresses.is_empty());
            assert_eq!(member_ids.id_by_member.len(), 1);
        }
        member_ids.parse_event(&event(true, &[("s-a", "up"), ("s-b", "up")]), false).unwrap();
        assert_eq!(member_ids.id_by_member.len(), 2, "members missing from a complete list are removed");
    }
}
