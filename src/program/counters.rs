//! Counters of what the program takes in, sends and answers.

use crate::protocol::client::ClientCounts;
use crate::protocol::mgcp::agent::AgentCounts;
use crate::protocol::upstream::UpstreamCounts;
use crate::routing::ledger::LedgerCounts;

/// What the task that owns routing counts itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WireCounts {
    /// Messages in.
    pub messages_in: u64,
    /// Messages out.
    pub messages_out: u64,
    /// Lines that were no messages.
    pub malformed: u64,
    /// Connections cut since their peer did not take what was sent.
    pub overflows: u64,
    /// ClientConnections' connections taken in.
    pub accepted: u64,
    /// Events of the coordinator.
    pub list_events: u64,
    /// Events of the coordinator that could not be used.
    pub bad_list_events: u64,
    /// Times that the coordinator's stream was lost.
    pub stream_losses: u64,
    /// Configurations read anew and followed.
    pub reloads: u64,
    /// Configurations read anew and found faulty.
    pub bad_reloads: u64,
    /// Peers' messages in.
    pub peers_in: u64,
    /// Peers' messages out.
    pub peers_out: u64,
    /// Datagrams from gateways.
    pub gateways_in: u64,
    /// Datagrams to gateways.
    pub gateways_out: u64,
    /// Spans dropped since too many calls were answered between two exports.
    pub spans_dropped: u64,
}

/// All counters as names and values, in a fixed order.
pub fn table(w: &WireCounts, t: &LedgerCounts, c: &ClientCounts, l: &UpstreamCounts) -> Vec<(String, u64)> {
    let mut out: Vec<(String, u64)> = [
        ("calls.offered", t.offered),
        ("calls.stood", t.established),
        ("calls.refused", t.refused),
        ("calls.failed", t.failed),
        ("calls.abandoned", t.abandoned),
        ("calls.cut", t.cut),
        ("attempts.sent", t.attempts),
        ("wire.messages_in", w.messages_in),
        ("wire.messages_out", w.messages_out),
        ("wire.malformed", w.malformed),
        ("wire.overflows", w.overflows),
        ("callers.accepted", w.accepted),
        ("callers.turned_away", c.over_limit),
        ("callers.spoilt", c.malformed),
        ("callers.idle", c.idle),
        ("callers.unusable", c.invalid_set_up),
        ("callers.repeated", c.duplicate_sid),
        ("callers.crowded", c.too_many_open),
        ("callers.crossed", c.set_up_while_closing),
        ("callers.released_again", c.release_resent),
        ("callers.stray", c.unknown_call),
        ("callers.unexpected", c.unexpected),
        ("callers.undeliverable", c.undeliverable),
        ("exchanges.connects", l.connects),
        ("exchanges.refused", l.refused),
        ("exchanges.broken", l.broken),
        ("exchanges.spoilt", l.malformed),
        ("exchanges.stalled", l.unresponsive),
        ("exchanges.late_answers", l.late_answers),
        ("exchanges.stray", l.unknown_call),
        ("exchanges.found_cut", l.cut_after_failure),
        ("exchanges.lease_expired", l.lease_expired),
        ("list.events", w.list_events),
        ("list.bad_events", w.bad_list_events),
        ("list.stream_losses", w.stream_losses),
        ("config.reloads", w.reloads),
        ("config.bad_reloads", w.bad_reloads),
        ("peers.in", w.peers_in),
        ("peers.out", w.peers_out),
        ("gateways.in", w.gateways_in),
        ("gateways.out", w.gateways_out),
        ("otlp.spans_dropped", w.spans_dropped),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value))
    .collect();
    out.extend(t.endings.iter().map(|(name, &n)| (format!("attempts.{name}"), n)));
    out.extend(t.blocked.iter().map(|(why, &n)| (format!("held_back.{why:?}").to_lowercase(), n)));
    out
}

/// The call agent's counters.
pub fn agent_table(a: &AgentCounts, repeats: (u64, u64)) -> Vec<(String, u64)> {
    let rows = [
        ("mgcp.commands_in", a.commands_in),
        ("mgcp.commands_out", a.commands_out),
        ("mgcp.repeats_out", repeats.0),
        ("mgcp.repeats_in", repeats.1),
        ("mgcp.unusable", a.unusable),
        ("mgcp.unknown_endpoint", a.unknown_endpoint),
        ("mgcp.late_answers", a.late_answers),
        ("mgcp.unanswered", a.unanswered),
        ("mgcp.lease_expired", a.lease_expired),
        ("mgcp.not_offered", a.not_offered),
    ];
    rows.map(|(name, value)| (name.to_owned(), value)).to_vec()
}

/// The counters that are not 0, on one line.
pub fn line(table: &[(String, u64)]) -> String {
    let told: Vec<String> = table.iter().filter(|c| c.1 > 0).map(|(n, v)| format!("{n}={v}")).collect();
    told.join(" ")
}
