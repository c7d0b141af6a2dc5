//! Stand-ins with fault injection. They run as tasks on one thread and record the events that they observe.

pub mod client;
pub mod connection;
pub mod coordinator;
pub mod exchange;
pub mod path;
pub mod record;

use async_executor::LocalExecutor;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use record::Recorder;
use std::cell::RefCell;
use std::rc::Rc;

/// The executor, recorder and random numbers that all stand-ins of a trial share.
#[derive(Clone)]
pub struct Testbed {
    /// Runs the stand-ins' tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Records the events that the stand-ins observe.
    pub recorder: Recorder,
    random: Rc<RefCell<ChaCha8Rng>>,
}

impl Testbed {
    /// Creates a testbed whose random numbers are derived from `seed`.
    pub fn new(seed: u64) -> Testbed {
        let random = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        Testbed { executor: Rc::new(LocalExecutor::new()), recorder: Recorder::start(), random }
    }

    /// Draws a random number below `end`.
    pub fn below(&self, end: u64) -> u64 {
        self.random.borrow_mut().next_u64() % end.max(1)
    }

    /// Draws whether an event with this probability, in percent, happens.
    pub fn chance(&self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Starts a task that runs until it completes or the executor is dropped.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
