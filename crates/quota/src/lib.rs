//! Quotas that nest.
//!
//! Organisations contain organisations, down to the teams of the platform's settings. Each
//! level has a guarantee and a limit; what one leaves unused is lent to its siblings before
//! strangers. Everything here decides and nothing waits: no sockets, no files, no clock.
//!
//! - [`plan`]: the operators' file, its schema, and everything that can be wrong with it
//! - [`stored`]: a plan as it is kept at the state service
//! - [`tree`]: the checked tree by dense indices, with guarantees scaled to their parents'
//! - [`ledger`]: what every level uses, whether a task may start, who goes first, who gives way

// What is decided must not follow the order of a hash.
#![warn(clippy::iter_over_hash_type)]

pub mod ledger;
pub mod plan;
pub mod stored;
pub mod tree;

pub use ledger::{BorrowedTask, FairSharePosition, Ledger};
pub use lupinspur_files::Fault;
pub use plan::{Plan, TeamLimits};
pub use tree::{Level, LevelIndex, TeamIndex, Tree};

/// Cpus and accelerator accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Amount {
    pub cpus: f64,
    pub gpus: f64,
}

/// Sums of fractions differ by this much.
pub const EPSILON: f64 = 1e-6;

impl Amount {
    pub const NONE: Amount = Amount { cpus: 0.0, gpus: 0.0 };

    pub fn new(cpus: f64, gpus: f64) -> Amount {
        Amount { cpus, gpus }
    }

    pub fn plus(self, o: Amount) -> Amount {
        Amount { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus }
    }

    pub fn times(self, by: f64) -> Amount {
        Amount { cpus: self.cpus * by, gpus: self.gpus * by }
    }

    pub fn minus(self, o: Amount) -> Amount {
        self.plus(o.times(-1.0))
    }

    /// Is this no more than `most` of everything that `need` asks for?
    fn within(self, most: Amount, need: Amount) -> bool {
        let ok = |used: f64, most: f64, need: f64| need <= 0.0 || used <= most + EPSILON;
        ok(self.cpus, most.cpus, need.cpus) && ok(self.gpus, most.gpus, need.gpus)
    }

    /// Is this no more than a limit, of which 0 means none?
    fn under(self, limit: Amount, need: Amount) -> bool {
        let or_endless = |l: f64| if l > 0.0 { l } else { f64::INFINITY };
        self.within(Amount::new(or_endless(limit.cpus), or_endless(limit.gpus)), need)
    }
}
