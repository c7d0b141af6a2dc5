//! State of a call within the decision module.

use super::*;

/// Stage of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waiting for a circuit, a concurrency limit or the end of the quiet period. No attempt is made before
    /// `earliest`; the call is refused if it is still blocked at `latest`, less the own delay.
    Queued { earliest: Micros, latest: Micros },
    /// A set-up is pending at the exchange with this index.
    Pending { index: usize, since: Micros },
}

#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request: NewCall,
    /// Arrival of the call, moved back by the time it waited during a stall of this controller.
    pub(super) arrived: Micros,
    /// When the caller abandons the call.
    pub(super) deadline: Micros,
    pub(super) stage: Stage,
    /// Number of attempts made.
    pub(super) attempts: u32,
    /// Indexes of the tandems tried.
    pub(super) tandems_tried: Vec<usize>,
    /// Whether an attempt may have run at its exchange, so that another one could set up the call twice.
    pub(super) may_have_run: bool,
}
