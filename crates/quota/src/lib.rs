//! Hierarchical quotas.
//!
//! Organisations contain organisations, down to the teams of the platform's settings. Each
//! level has a guarantee and a limit; the unused part of a guarantee is lent to siblings before
//! more distant levels. The crate only computes decisions: it uses no sockets, files or clock.
//!
//! - [`plan`]: the operators' file, its schema and its validation
//! - [`stored`]: the layout of a plan in the state service
//! - [`tree`]: the validated tree, addressed by dense indices, with guarantees scaled to fit their parents'
//! - [`ledger`]: usage of every level, admission, fair-share order and preemption

// Decisions must not depend on the iteration order of a hash map.
#![warn(clippy::iter_over_hash_type)]

pub mod ledger;
pub mod plan;
pub mod stored;
pub mod tree;

pub use ledger::{BorrowedTask, FairSharePosition, Ledger};
pub use lupinspur_files::Fault;
pub use plan::{Plan, TeamLimits};
pub use tree::{Level, LevelIndex, TeamIndex, Tree};

/// An amount of cpus and accelerator cards.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Amount {
    pub cpus: f64,
    pub gpus: f64,
}

/// Tolerance for rounding errors when sums of fractions are compared.
pub const EPSILON: f64 = 1e-6;

impl Amount {
    /// Zero in both resources.
    pub const NONE: Amount = Amount { cpus: 0.0, gpus: 0.0 };

    /// Returns an amount of cpus and accelerator cards.
    pub fn new(cpus: f64, gpus: f64) -> Amount {
        Amount { cpus, gpus }
    }

    /// Returns the sum of both amounts.
    pub fn plus(self, other: Amount) -> Amount {
        Amount { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus }
    }

    /// Returns a multiple of the amount.
    pub fn times(self, by: f64) -> Amount {
        Amount { cpus: self.cpus * by, gpus: self.gpus * by }
    }

    /// Returns the difference, which may be negative.
    pub fn minus(self, other: Amount) -> Amount {
        self.plus(other.times(-1.0))
    }

    /// Returns whether this is at most `most` in each resource that `need` asks for.
    fn within(self, most: Amount, need: Amount) -> bool {
        let ok = |used: f64, most: f64, need: f64| need <= 0.0 || used <= most + EPSILON;
        ok(self.cpus, most.cpus, need.cpus) && ok(self.gpus, most.gpus, need.gpus)
    }

    /// Returns whether this is within a limit in each resource that `need` asks for; 0 means no limit.
    fn under(self, limit: Amount, need: Amount) -> bool {
        let or_unlimited = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        self.within(Amount::new(or_unlimited(limit.cpus), or_unlimited(limit.gpus)), need)
    }
}
