//! The table of counters that operators and the exporter see.

use crate::protocol::client::ClientCounts;
use crate::protocol::mgcp::agent::AgentCounts;
use crate::protocol::upstream::UpstreamCounts;
use crate::routing::ledger::LedgerCounts;

/// Counters that the event loop keeps itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WireCounts {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Received lines that were not valid messages.
    pub malformed: u64,
    /// Connections cut because the other side did not read and the outbox was full.
    pub overflows: u64,
    /// Set-ups not sent because too much was queued on the connection to their exchange.
    pub set_ups_not_sent: u64,
    /// Callers' connections accepted.
    pub accepted: u64,
    /// Events received from the coordinator.
    pub list_events: u64,
    /// Invalid events received from the coordinator.
    pub bad_list_events: u64,
    /// Times that the coordinator's event stream was lost.
    pub stream_losses: u64,
    /// Successful reloads of the configuration.
    pub reloads: u64,
    /// Reloads rejected because the configuration was invalid.
    pub bad_reloads: u64,
    /// Messages received from peers.
    pub peers_in: u64,
    /// Messages sent to peers.
    pub peers_out: u64,
    /// Datagrams received from gateways.
    pub gateways_in: u64,
    /// Datagrams sent to gateways.
    pub gateways_out: u64,
    /// Spans dropped because too many calls were answered between two exports.
    pub spans_dropped: u64,
}

/// The counters of the event loop, the ledger and the connections as names and values, in a fixed order.
pub fn table(
    wire: &WireCounts,
    ledger: &LedgerCounts,
    client: &ClientCounts,
    upstream: &UpstreamCounts,
) -> Vec<(String, u64)> {
    let mut table: Vec<(String, u64)> = [
        ("calls.offered", ledger.offered),
        ("calls.stood", ledger.established),
        ("calls.refused", ledger.refused),
        ("calls.failed", ledger.failed),
        ("calls.abandoned", ledger.abandoned),
        ("calls.cut", ledger.cut),
        ("attempts.sent", ledger.attempts),
        ("wire.messages_in", wire.messages_in),
        ("wire.messages_out", wire.messages_out),
        ("wire.malformed", wire.malformed),
        ("wire.overflows", wire.overflows),
        ("wire.set_ups_not_sent", wire.set_ups_not_sent),
        ("callers.accepted", wire.accepted),
        ("callers.turned_away", client.over_limit),
        ("callers.spoilt", client.malformed),
        ("callers.idle", client.idle),
        ("callers.unusable", client.invalid_set_up),
        ("callers.repeated", client.duplicate_sid),
        ("callers.set_up_after_leaving", client.set_up_after_leaving),
        ("callers.crowded", client.too_many_open),
        ("callers.crossed", client.set_up_while_closing),
        ("callers.released_again", client.release_resent),
        ("callers.answered_again", client.answer_resent),
        ("callers.stray", client.unknown_call),
        ("callers.unexpected", client.unexpected),
        ("callers.undeliverable", client.undeliverable),
        ("exchanges.connects", upstream.connects),
        ("exchanges.refused", upstream.refused),
        ("exchanges.broken", upstream.broken),
        ("exchanges.spoilt", upstream.malformed),
        ("exchanges.stalled", upstream.unresponsive),
        ("exchanges.late_answers", upstream.late_answers),
        ("exchanges.stray", upstream.unknown_call),
        ("exchanges.found_cut", upstream.cut_after_failure),
        ("exchanges.lease_expired", upstream.lease_expired),
        ("list.events", wire.list_events),
        ("list.bad_events", wire.bad_list_events),
        ("list.stream_losses", wire.stream_losses),
        ("config.reloads", wire.reloads),
        ("config.bad_reloads", wire.bad_reloads),
        ("peers.in", wire.peers_in),
        ("peers.out", wire.peers_out),
        ("gateways.in", wire.gateways_in),
        ("gateways.out", wire.gateways_out),
        ("otlp.spans_dropped", wire.spans_dropped),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value))
    .collect();
    table.extend(ledger.endings.iter().map(|(name, &n)| (format!("attempts.{name}"), n)));
    table.extend(
        ledger.blocked.iter().map(|(reason, &n)| (format!("held_back.{reason:?}").to_lowercase(), n)),
    );
    table
}

/// The counters of the MGCP call agent.
pub fn agent_table(agent: &AgentCounts, repeats: (u64, u64)) -> Vec<(String, u64)> {
    let rows = [
        ("mgcp.commands_in", agent.commands_in),
        ("mgcp.commands_out", agent.commands_out),
        ("mgcp.repeats_out", repeats.0),
        ("mgcp.repeats_in", repeats.1),
        ("mgcp.unusable", agent.unusable),
        ("mgcp.unknown_endpoint", agent.unknown_endpoint),
        ("mgcp.late_answers", agent.late_answers),
        ("mgcp.unanswered", agent.unanswered),
        ("mgcp.lease_expired", agent.lease_expired),
        ("mgcp.not_offered", agent.not_offered),
    ];
    rows.map(|(name, value)| (name.to_owned(), value)).to_vec()
}

/// The nonzero counters, formatted on one line.
pub fn line(table: &[(String, u64)]) -> String {
    let counters: Vec<String> =
        table.iter().filter(|c| c.1 > 0).map(|(name, value)| format!("{name}={value}")).collect();
    counters.join(" ")
}
