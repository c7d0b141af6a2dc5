//! What operators are shown. Times are in milliseconds and end in `_ms`, or in seconds and end in `_s`; `at_ms` is
//! of the Unix clock.

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
    /// The state in short: is it serving, and what is wrong.
    Status {
        /// The controller's name.
        name: String,
        /// The version of the program.
        version: String,
        /// `starting`, `serving`, `draining`, `drained` or `stopping`.
        state: String,
        /// How long it has run.
        up_s: u64,
        /// Calls that are owed an answer.
        open: usize,
        /// Calls that stand.
        standing: usize,
        /// Connections that there are.
        connections: usize,
        /// Deadlines that wait.
        deadlines: usize,
        /// Exchanges on the list that are in service.
        ready: usize,
        /// Exchanges on the list.
        listed: usize,
        /// Alarms that are raised.
        alarms: usize,
        /// The gravest of them, in words; empty: none.
        worst: String,
        /// Drains that are not over.
        drains: usize,
        /// Whether what is in force would survive a restart: `saved`, `unsaved`, or `off` where no folder is given.
        state_folder: String,
        /// Log lines lost.
        log_lost: u64,
        /// Operators' programs that are connected.
        clients: usize,
    }
}

view! {
    /// An exchange, or a gateway.
    Exchange {
        /// Its number.
        exchange: u16,
        /// The name of the machine that serves it.
        member: String,
        /// Where that is.
        address: String,
        /// What the coordinator says: `ready`, `draining` or `gone`.
        listed: String,
        /// The state of an operator's drain of it, or of the group toward it; empty: none.
        drain: String,
        /// Whether there is a connection to it.
        connected: bool,
        /// Free circuits of the own group toward it; nothing if that is not known.
        free: Option<f64>,
        /// Circuits of that group.
        size: Option<f64>,
        /// Set-ups that are out.
        out: u32,
        /// Calls that stand.
        standing: u32,
        /// Set-ups that stood in the last minute.
        stood: u64,
        /// Half of them took less.
        p50_ms: f64,
        /// 99 of 100 took less.
        p99_ms: f64,
        /// Age of its last figures; nothing if none ever came.
        report_age_ms: Option<u64>,
        /// Set-ups that ended without standing since the start.
        turned_away: u64,
        /// Set-ups sent in each of the last seconds, oldest first.
        history: Vec<u16>,
    }
}

view! {
    /// A call.
    Call {
        /// Its number here.
        call: u32,
        /// `lines` or `gateway`.
        front: String,
        /// Where it goes.
        destination: u16,
        /// `waits`, `set-up out` or `stands`.
        doing: String,
        /// The exchange that its set-up went to.
        over: Option<u16>,
        /// For how long.
        for_ms: u64,
    }
}

view! {
    /// A window of time.
    Span {
        /// Its length.
        seconds: u64,
        /// Calls answered.
        answered: u32,
        /// Share of them that stand within the aim.
        in_aim_share: Option<f64>,
        /// Calls by how they ended: `in_aim`, `late`, the reasons of refusals, `failed`, `abandoned`.
        by_fate: std::collections::BTreeMap<String, u32>,
    }
}

view! {
    /// How calls fare.
    Service {
        /// The last 10 s, minute and hour.
        spans: Vec<Span>,
        /// Answers of the last minute.
        answers: u64,
        /// Half of them took less.
        p50_ms: f64,
        /// 99 of 100 took less.
        p99_ms: f64,
        /// 999 of 1,000 took less.
        p999_ms: f64,
        /// Calls answered in each of the last seconds, oldest first.
        history: Vec<u32>,
    }
}

view! {
    /// A drain.
    Drain {
        /// The order that began it.
        order: u64,
        /// What it drains.
        target: String,
        /// `asked`, `shedding`, `emptying`, `empty`, `restored`, `expired` or `failed`.
        state: String,
        /// For how long.
        for_s: u64,
        /// Why it was asked for.
        reason: String,
        /// Who asked.
        who: String,
        /// When.
        asked_at_ms: i64,
        /// What is left of its limit; nothing: no limit, or passed.
        limit_left_s: Option<u64>,
        /// What happens then.
        at_limit: String,
        /// The policy was overridden.
        forced: bool,
        /// Set-ups that are out there.
        out: u32,
        /// Calls that stand there.
        standing: u32,
        /// Share of what was there that has gone.
        progress: f64,
    }
}

view! {
    /// A round of maintenance.
    Round {
        /// The order that began it.
        order: u64,
        /// What it drains, one after the other.
        targets: Vec<String>,
        /// How many are done.
        done: usize,
        /// `next`, `draining`, `working`, `settling`, `halted` or `done`.
        stage: String,
        /// Why it is halted; empty: it is not.
        halted: String,
        /// For how long it is there.
        for_s: u64,
        /// Who asked.
        who: String,
        /// Why.
        reason: String,
    }
}

view! {
    /// A maintenance window.
    Window {
        /// Its name.
        name: String,
        /// What it drains.
        target: String,
        /// Whether it is open now.
        open: bool,
        /// When it opens next.
        next_at_ms: Option<i64>,
        /// For how long.
        length_s: u64,
    }
}

view! {
    /// An alarm.
    Alarm {
        /// Its name.
        alarm: String,
        /// `warning` or `critical`.
        severity: String,
        /// For how long it is raised.
        for_s: u64,
        /// What it says.
        text: String,
        /// Who has seen it.
        seen_by: Option<String>,
    }
}

view! {
    /// Something that happened.
    Event {
        /// When.
        at_ms: i64,
        /// Its running number.
        number: u64,
        /// Of what kind.
        kind: String,
        /// In words.
        text: String,
    }
}

view! {
    /// An instance that gossips.
    Peer {
        /// Its id: the first 64 bits of its name's hash.
        member: String,
        /// Where it is.
        address: String,
        /// `alive`, `suspect`, `dead` or `left`.
        state: String,
        /// Its incarnation.
        incarnation: u64,
        /// How pressed its processor is, from 0 to 1.
        pressed: f64,
        /// What its word is worth, from 0 to 1.
        trust: f64,
    }
}

view! {
    /// An exchange that others' evidence speaks against.
    Suspicion {
        /// The exchange.
        exchange: u16,
        /// For how long.
        for_ms: u64,
        /// The accusers' weight.
        weight: f64,
        /// The weight of those who vouch.
        against: f64,
        /// Who accuses.
        accusers: Vec<String>,
        /// Whether this instance misses answers itself.
        own: bool,
    }
}

view! {
    /// An order that was given.
    Audit {
        /// When.
        at_ms: i64,
        /// Who.
        who: String,
        /// What.
        what: String,
        /// The answer.
        answer: String,
    }
}

view! {
    /// Calls that would go another way.
    Displaced {
        /// Where they go.
        destination: u16,
        /// Calls a minute.
        per_minute: f64,
        /// Circuits that they keep busy.
        erlangs: f64,
        /// First legs that remain.
        ways: Vec<u16>,
    }
}

view! {
    /// A group that would take displaced calls.
    GroupRoom {
        /// The exchange at its far end.
        group: u16,
        /// Circuits.
        size: f64,
        /// Busy ones.
        busy: f64,
        /// Circuits that would be busy besides.
        extra: f64,
        /// Share of calls that it blocks now, by Erlang's B formula.
        blocking_now: f64,
        /// Share that it would block.
        blocking_then: f64,
    }
}

view! {
    /// What a drain would cost.
    Cost {
        /// What would be drained.
        target: String,
        /// Why it would be turned down; nothing: it would be taken.
        denied: Option<String>,
        /// The span of traffic that this rests on.
        over_s: u64,
        /// Calls a minute whose destination would be out of service.
        lost_per_minute: f64,
        /// Calls a minute that go direct to it now.
        direct_per_minute: f64,
        /// Calls a minute that use it as a tandem now.
        tandem_per_minute: f64,
        /// Set-ups that are out there.
        out: u32,
        /// Calls that stand there.
        standing: u32,
        /// Calls that would go another way.
        displaced: Vec<Displaced>,
        /// Groups that they would go over.
        groups: Vec<GroupRoom>,
        /// Destinations that would be left without a way.
        no_way: Vec<u16>,
    }
}
