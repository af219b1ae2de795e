//! Settings that operators tune, given only as flags or environment variables.

use clap::Args;
pub use lupinspur_scheduler::params::Tuning;

/// Maximum value of a flag in seconds.
const MAX_SECONDS: f64 = 600.0;

/// A flag in seconds whose value is out of range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("--{name}: {value} must be from {min} to {MAX_SECONDS} seconds")]
pub struct FlagError {
    pub name: &'static str,
    pub value: f64,
    pub min: f64,
}

/// A controller's flags that operators tune.
#[derive(Args, Clone, Debug)]
pub struct Flags {
    /// Number of spot machines held beyond the target.
    #[arg(long, env = "LUPINSPUR_EXTRA", default_value_t = 2)]
    pub extra: usize,
    /// Seconds over which demand is averaged before it becomes a target.
    #[arg(long, env = "LUPINSPUR_WINDOW_S", default_value_t = 4.0)]
    pub window_s: f64,
    /// Seconds that a lower demand must last before the target is lowered.
    #[arg(long, env = "LUPINSPUR_HOLD_S", default_value_t = 15.0)]
    pub hold_s: f64,
    /// Seconds from the last renewal of a leader's lease to its expiry.
    #[arg(long, env = "LUPINSPUR_CLAIM_S", default_value_t = 4.0)]
    pub claim_s: f64,
}

impl Flags {
    /// Returns the values in the form that the scheduler takes.
    pub fn tuning(&self) -> Tuning {
        Tuning { extra: self.extra, window_s: self.window_s, hold_s: self.hold_s, leader_lease_s: self.claim_s }
    }

    /// Checks that every value is within its range.
    pub fn check(&self) -> Result<(), FlagError> {
        let flags = [("window-s", self.window_s, 0.0), ("hold-s", self.hold_s, 0.0), ("claim-s", self.claim_s, 1.0)];
        for (name, value, min) in flags {
            if !(value.is_finite() && value >= min && value <= MAX_SECONDS) {
                return Err(FlagError { name, value, min });
            }
        }
        Ok(())
    }
}
