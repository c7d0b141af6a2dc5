//! Stand-ins that can fail, as tasks of one thread, with a record of all that they saw.

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

/// What all stand-ins of a trial share.
#[derive(Clone)]
pub struct Testbed {
    /// Runs their tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Writes down what they see.
    pub recorder: Recorder,
    random: Rc<RefCell<ChaCha8Rng>>,
}

impl Testbed {
    /// A lab whose random numbers follow from the seed.
    pub fn new(seed: u64) -> Testbed {
        let random = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        Testbed { executor: Rc::new(LocalExecutor::new()), recorder: Recorder::start(), random }
    }

    /// A random number below `end`.
    pub fn below(&self, end: u64) -> u64 {
        self.random.borrow_mut().next_u64() % end.max(1)
    }

    /// Whether something of this chance, in percent, happens now.
    pub fn chance(&self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Starts a task that runs until it ends or the lab does.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
