//! Faults that are planted in the program to show that the fault trials find them.
//!
//! They are there only with the feature `planted-faults`, which no build for service has, and then only the one that
//! the variable `WALNUTHATCH_PLANTED` names.

/// A fault that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An answer is given twice.
    AnswerTwice,
    /// Set-ups go on to an exchange that drains.
    SetUpAfterDrain,
    /// Attempts follow at once after an unclear end.
    RetryInQuietPeriod,
    /// The release of a call is not passed on.
    ReleaseLost,
    /// Calls at an exchange that vanished are not released.
    NoReleaseForVanished,
    /// Requests are left open at a stop.
    RequestLeftAtStop,
    /// Set-ups that are given up are not released at their exchange.
    LeakedCall,
    /// Descriptors of connections that ended are not given back.
    LeakedConnection,
    /// After a reload the coordinator's news is passed over.
    NewsMissedAfterReload,
    /// A cold exchange gets every call.
    ColdFlooded,
}

/// Whether this fault is planted.
#[cfg(feature = "planted-faults")]
pub fn fault_injected(fault: InjectedFault) -> bool {
    static NAME: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    let name = NAME.get_or_init(|| std::env::var("WALNUTHATCH_PLANTED").ok());
    name.as_deref() == Some(&format!("{fault:?}"))
}

/// Whether this fault is planted: none ever is in this build.
#[cfg(not(feature = "planted-faults"))]
pub const fn fault_injected(_: InjectedFault) -> bool {
    false
}
