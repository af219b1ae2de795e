//! Evidence that the fault combination of a test really happened in its runs.

use lupinspur_model::{Coincidences, Run};

/// A property of a run in which the combination happened.
pub struct Sign {
    pub name: &'static str,
    pub seen: fn(&Coincidences) -> bool,
}

/// Signs by the counts of a run: `signs![takeovers >= 2, answers_lost >= 1]`.
#[macro_export]
macro_rules! signs {
    ($($count:ident >= $least:literal),* $(,)?) => {
        &[$($crate::evidence::Sign {
            name: concat!(stringify!($count), " >= ", stringify!($least)),
            seen: |coincidences| coincidences.$count >= $least,
        }),*]
    };
}

/// The signs of one combination.
#[derive(Clone, Copy)]
pub struct Evidence {
    /// Seen in at least half of the runs.
    pub mostly: &'static [Sign],
    /// Seen in at least one of the runs.
    pub sometimes: &'static [Sign],
}

pub const fn mostly(mostly: &'static [Sign]) -> Evidence {
    Evidence { mostly, sometimes: &[] }
}

impl Evidence {
    pub const fn sometimes(self, sometimes: &'static [Sign]) -> Evidence {
        Evidence { sometimes, ..self }
    }

    /// Fails unless the runs show the combination; `of` names the runs in the message.
    pub fn assert_seen<'a>(self, runs: impl Iterator<Item = &'a Run>, of: &str) {
        let runs: Vec<&Coincidences> = runs.map(|r| &r.counts.coincidences).collect();
        let required = |s: &'static [Sign], least: usize| s.iter().map(move |s| (s, least));
        for (sign, least) in required(self.mostly, runs.len().div_ceil(2)).chain(required(self.sometimes, 1)) {
            let seen = runs.iter().filter(|c| (sign.seen)(c)).count();
            let (name, all) = (sign.name, runs.len());
            assert!(
                seen >= least,
                "{of}: {name} in {seen} of {all} runs, not in {least}: the combination did not happen"
            );
        }
    }
}
