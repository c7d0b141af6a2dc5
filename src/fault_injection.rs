//! Deliberate faults for verifying that the fault trials detect them.
//!
//! They are compiled in only with the feature `planted-faults`, which release builds must not enable. At most one is
//! active: the one whose variant name is the value of the environment variable `WALNUTHATCH_PLANTED`.

/// A fault that can be injected. The variant names are values of `WALNUTHATCH_PLANTED`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Sends the answer to a call twice.
    AnswerTwice,
    /// Keeps sending set-ups to a draining exchange.
    SetUpAfterDrain,
    /// Retries at once, without the quiet period, after an attempt with an unknown result.
    RetryInQuietPeriod,
    /// Does not forward the release of a call.
    ReleaseLost,
    /// Does not release calls at an exchange that disappeared.
    NoReleaseForVanished,
    /// Leaves requests unanswered at shutdown.
    RequestLeftAtStop,
    /// Does not release cancelled set-ups at their exchange.
    LeakedCall,
    /// Leaks the descriptors of closed connections.
    LeakedConnection,
    /// Ignores the coordinator's updates after a configuration reload.
    NewsMissedAfterReload,
    /// Sends every call to an exchange in its cold start.
    ColdFlooded,
}

/// Whether this fault is active.
#[cfg(feature = "planted-faults")]
pub fn fault_injected(fault: InjectedFault) -> bool {
    static NAME: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    let name = NAME.get_or_init(|| std::env::var("WALNUTHATCH_PLANTED").ok());
    name.as_deref() == Some(&format!("{fault:?}"))
}

/// Whether this fault is active. Always false without the feature `planted-faults`.
#[cfg(not(feature = "planted-faults"))]
pub const fn fault_injected(_: InjectedFault) -> bool {
    false
}
