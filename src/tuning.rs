//! The operators' own settings: flags and environment variables only.

use clap::Args;
pub use lupinspur_scheduler::params::Tuning;

#[derive(Args, Clone, Debug)]
pub struct Flags {
    /// Spot machines held beyond the target.
    #[arg(long, env = "LUPINSPUR_EXTRA", default_value_t = 2)]
    pub extra: usize,
    /// Seconds over which demand is averaged before it becomes a target.
    #[arg(long, env = "LUPINSPUR_WINDOW_S", default_value_t = 4.0)]
    pub window_s: f64,
    /// Seconds for which a lower demand must last before the target falls.
    #[arg(long, env = "LUPINSPUR_HOLD_S", default_value_t = 15.0)]
    pub hold_s: f64,
    /// Seconds that a controller's claim outlives its last renewal.
    #[arg(long, env = "LUPINSPUR_CLAIM_S", default_value_t = 4.0)]
    pub claim_s: f64,
}

impl Flags {
    pub fn tuning(&self) -> Tuning {
        Tuning { extra: self.extra, window_s: self.window_s, hold_s: self.hold_s, leader_lease_s: self.claim_s }
    }

    pub fn check(&self) -> Result<(), String> {
        for (name, v, least) in
            [("window-s", self.window_s, 0.0), ("hold-s", self.hold_s, 0.0), ("claim-s", self.claim_s, 1.0)]
        {
            if !(v.is_finite() && v >= least && v <= 600.0) {
                return Err(format!("--{name}: {v} must be from {least} to 600"));
            }
        }
        Ok(())
    }
}
