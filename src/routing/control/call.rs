//! A call, as the decisions know it.

use super::*;

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits for a circuit, a gate or a release: not before, not after.
    Held { from: Micros, until: Micros },
    /// A set-up is out.
    Out { office: usize, since: Micros },
}

#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request: NewCall,
    pub(super) arrived: Micros,
    pub(super) deadline: Micros,
    pub(super) stage: Stage,
    /// Attempts made.
    pub(super) attempts: u32,
    /// Tandems that were tried.
    pub(super) tandems_tried: Vec<usize>,
    /// An attempt may have run.
    pub(super) may_have_run: bool,
}
