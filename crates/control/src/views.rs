//! Data shown to operators. Durations are in milliseconds in fields that end in `_ms`, and in seconds in fields that
//! end in `_s`; `at_ms` is Unix time.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! view {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
        pub struct $name { $($(#[$fdoc])* pub $field: $type,)* }
    };
}

view! {
    /// State of the controller in short.
    Status {
        /// Name of the controller.
        name: String,
        /// Version of the program.
        version: String,
        /// `starting`, `serving`, `draining`, `drained` or `stopping`.
        state: String,
        /// Time since the start.
        up_s: u64,
        /// Calls that await an answer.
        open: usize,
        /// Established calls.
        standing: usize,
        /// Open connections.
        connections: usize,
        /// Pending deadlines.
        deadlines: usize,
        /// Listed exchanges that are in service.
        ready: usize,
        /// Listed exchanges.
        listed: usize,
        /// Raised alarms.
        alarms: usize,
        /// Description of the most severe alarm; empty if there is none.
        worst: String,
        /// Active drains.
        drains: usize,
        /// Whether the active drains would survive a restart: `saved`, `unsaved`, or `off` if no folder is configured.
        state_folder: String,
        /// Log lines lost because they were not written fast enough.
        log_lost: u64,
        /// Connected clients of the control socket.
        clients: usize,
    }
}

view! {
    /// An exchange or a gateway.
    Exchange {
        /// Number of the exchange.
        exchange: u16,
        /// Name of the machine that serves it.
        member: String,
        /// Address of the machine.
        address: String,
        /// State in the coordinator's list: `ready`, `draining` or `gone`.
        listed: String,
        /// State of the drain of the exchange, or of the group toward it after the word `group`; empty without one.
        drain: String,
        /// Whether a connection to the exchange is up.
        connected: bool,
        /// Free circuits of the trunk group toward it, if known.
        free: Option<f64>,
        /// Circuits of that group, if known.
        size: Option<f64>,
        /// Set-ups that await an answer.
        out: u32,
        /// Established calls.
        standing: u32,
        /// Set-ups that led to an established call in the last 30 to 60 s.
        stood: u64,
        /// Median of their set-up times.
        p50_ms: f64,
        /// 99th percentile of their set-up times.
        p99_ms: f64,
        /// Age of the last load report; absent if none ever arrived.
        report_age_ms: Option<u64>,
        /// Set-ups that ended without an established call since the start.
        turned_away: u64,
        /// Set-ups sent in each of the last seconds, oldest first.
        history: Vec<u16>,
    }
}

view! {
    /// A call.
    Call {
        /// Number of the call in this controller.
        call: u32,
        /// Where the call came from: `lines` or `gateway`.
        front: String,
        /// Destination exchange.
        destination: u16,
        /// State: `waits`, `set-up out` or `stands`.
        doing: String,
        /// Exchange that the set-up was sent to, if any.
        over: Option<u16>,
        /// Time in this state.
        for_ms: u64,
    }
}

view! {
    /// Call outcomes over a window of time.
    Span {
        /// Length of the window.
        seconds: u64,
        /// Answered calls.
        answered: u32,
        /// Share of them that were established within the latency objective.
        in_aim_share: Option<f64>,
        /// Calls by outcome: `in_aim`, `late`, the reasons of refusals, `failed`, `abandoned`.
        by_fate: std::collections::BTreeMap<String, u32>,
    }
}

view! {
    /// Call outcomes and answer times.
    Service {
        /// Windows of the last 10 s, minute and hour.
        spans: Vec<Span>,
        /// Answers of the last 30 to 60 s.
        answers: u64,
        /// Median answer time.
        p50_ms: f64,
        /// 99th percentile of the answer time.
        p99_ms: f64,
        /// 99.9th percentile of the answer time.
        p999_ms: f64,
        /// Calls answered in each of the last seconds, oldest first.
        history: Vec<u32>,
    }
}

view! {
    /// A drain.
    Drain {
        /// Number of the order that began it.
        order: u64,
        /// Target of the drain.
        target: String,
        /// State: `asked`, `shedding`, `emptying`, `empty`, `restored`, `expired` or `failed`.
        state: String,
        /// Time in this state.
        for_s: u64,
        /// Reason given with the order.
        reason: String,
        /// Operator or maintenance window that gave the order.
        who: String,
        /// When the order was given (Unix time).
        asked_at_ms: i64,
        /// Time left until the limit; absent if there is no limit or it has expired.
        limit_left_s: Option<u64>,
        /// What happens when the limit expires.
        at_limit: String,
        /// Whether the drain policy was overridden.
        forced: bool,
        /// Set-ups there that await an answer.
        out: u32,
        /// Calls established there.
        standing: u32,
        /// Share of the highest load since the drain came into force that has gone.
        progress: f64,
    }
}

view! {
    /// A round of maintenance.
    Round {
        /// Number of the order that began it.
        order: u64,
        /// Targets, in the order in which they are drained.
        targets: Vec<String>,
        /// Number of finished targets.
        done: usize,
        /// Stage: `next`, `draining`, `working`, `settling`, `halted` or `done`.
        stage: String,
        /// Why the round is halted; empty if it is not.
        halted: String,
        /// Time in this stage.
        for_s: u64,
        /// Operator who gave the order.
        who: String,
        /// Reason given with the order.
        reason: String,
    }
}

view! {
    /// A maintenance window.
    Window {
        /// Name of the window.
        name: String,
        /// Target that is drained.
        target: String,
        /// Whether the window is open.
        open: bool,
        /// When the window opens next (Unix time).
        next_at_ms: Option<i64>,
        /// Length of the window.
        length_s: u64,
    }
}

view! {
    /// A raised alarm.
    Alarm {
        /// Name of the alarm.
        alarm: String,
        /// Severity: `warning` or `critical`.
        severity: String,
        /// Time since the alarm was raised.
        for_s: u64,
        /// Description.
        text: String,
        /// Operator who acknowledged the alarm, if any.
        seen_by: Option<String>,
    }
}

view! {
    /// An event.
    Event {
        /// When it happened.
        at_ms: i64,
        /// Sequence number.
        number: u64,
        /// Kind of event.
        kind: String,
        /// Description.
        text: String,
    }
}

view! {
    /// A member of the gossip group.
    Peer {
        /// Member id: the first 64 bits of the hash of its name.
        member: String,
        /// Address of the member.
        address: String,
        /// State: `alive`, `suspect`, `dead` or `left`.
        state: String,
        /// Incarnation number.
        incarnation: u64,
        /// Load of its processor, from 0 to 1.
        pressed: f64,
        /// Weight given to its reports, from 0 to 1.
        trust: f64,
    }
}

view! {
    /// An exchange that gossip members suspect.
    Suspicion {
        /// The exchange.
        exchange: u16,
        /// Time since the suspicion began.
        for_ms: u64,
        /// Total weight of the accusers.
        weight: f64,
        /// Total weight of the members that report the exchange as healthy.
        against: f64,
        /// Members that accuse the exchange.
        accusers: Vec<String>,
        /// Whether this controller itself misses answers from the exchange.
        own: bool,
    }
}

view! {
    /// An entry of the audit log.
    Audit {
        /// When the order was given.
        at_ms: i64,
        /// Operator or maintenance window that gave the order.
        who: String,
        /// The order.
        what: String,
        /// The reply to the order.
        answer: String,
    }
}

view! {
    /// Calls that a drain would move to other routes.
    Displaced {
        /// Destination exchange.
        destination: u16,
        /// Calls per minute.
        per_minute: f64,
        /// Mean number of circuits that they occupy (erlangs).
        erlangs: f64,
        /// First exchanges of the remaining routes.
        ways: Vec<u16>,
    }
}

view! {
    /// A trunk group that would carry displaced calls.
    GroupRoom {
        /// Exchange at the far end of the group.
        group: u16,
        /// Number of circuits.
        size: f64,
        /// Busy circuits.
        busy: f64,
        /// Additional circuits that would be busy.
        extra: f64,
        /// Current blocking probability, by the Erlang B formula.
        blocking_now: f64,
        /// Blocking probability with the displaced calls.
        blocking_then: f64,
    }
}

view! {
    /// Estimated impact of a drain.
    Cost {
        /// Target of the drain.
        target: String,
        /// Why the policy would reject the drain; absent if it would be accepted.
        denied: Option<String>,
        /// Period of traffic that the estimate is based on.
        over_s: u64,
        /// Calls per minute whose destination would be out of service.
        lost_per_minute: f64,
        /// Calls per minute that now go direct to the target.
        direct_per_minute: f64,
        /// Calls per minute that now use the target as a tandem.
        tandem_per_minute: f64,
        /// Set-ups there that await an answer.
        out: u32,
        /// Calls established there.
        standing: u32,
        /// Calls that would move to other routes.
        displaced: Vec<Displaced>,
        /// Trunk groups that would carry them.
        groups: Vec<GroupRoom>,
        /// Destinations that would be left without a route.
        no_way: Vec<u16>,
    }
}
