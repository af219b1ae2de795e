//! The sizes that an elastic job declares.

use serde::{Deserialize, Serialize};

/// Limits on the number of tasks held at one time. The scheduler never shrinks the job below
/// `smallest` and never exceeds `largest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    pub smallest: u32,
    pub largest: u32,
}

impl Sizes {
    /// Checks the sizes for an array of `tasks` tasks. The message is part of the response to a submission.
    pub fn check(&self, tasks: u32) -> Result<(), String> {
        if self.smallest == 0 {
            return Err("smallest must be 1 at least".into());
        }
        if self.smallest > self.largest {
            return Err(format!("smallest ({}) is over largest ({})", self.smallest, self.largest));
        }
        if self.largest > tasks {
            return Err(format!("largest ({}) is over the number of tasks ({tasks})", self.largest));
        }
        Ok(())
    }

    /// Returns these sizes, reduced to fit an array of `tasks` tasks.
    pub fn within(&self, tasks: u32) -> Sizes {
        let largest = self.largest.min(tasks).max(1);
        Sizes { smallest: self.smallest.clamp(1, largest), largest }
    }
}
