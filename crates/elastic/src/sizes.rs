//! What one job declares.

use serde::{Deserialize, Serialize};

/// Tasks held at one time: no fewer by choice, and never more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    pub smallest: u32,
    pub largest: u32,
}

impl Sizes {
    /// What is wrong with these for an array of so many tasks.
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

    /// These as a default for an array of so many tasks.
    pub fn within(&self, tasks: u32) -> Sizes {
        let largest = self.largest.min(tasks).max(1);
        Sizes { smallest: self.smallest.clamp(1, largest), largest }
    }
}
