//! Who has sunk, and who must not be pushed under.
//!
//! The floor is a share of service over ten minutes. A class or team below it has *sunk*;
//! work of it that can still be of use gains standing, up to that of the best batch work,
//! as long as somebody else is above the floor: where all have sunk nobody gains anything
//! over the others.

use crate::Reading;
use crate::book::{AccountIx, Book};
use crate::window::Span;

/// Below this share an account has sunk. Above a half, since what is to be kept over a half
/// must be helped before it is there.
pub const FLOOR: f64 = 0.65;
/// So many jobs tell something.
const LEAST_ASKED: f64 = 8.0;

/// The readings that the order of starts can mend.
const MENDABLE: [Reading; 2] = [Reading::Started, Reading::Done];

/// Which accounts have sunk, as of the last look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sunk(Vec<bool>);

impl Sunk {
    /// Looks at every account once.
    pub fn look(book: &Book, now: f64) -> Sunk {
        let sunk = |i: usize| {
            let a = &book.accounts[i];
            MENDABLE.iter().any(|r| {
                let s = a.sums(*r).over(Span::TenMinutes, now);
                s.asked >= LEAST_ASKED && s.part().is_some_and(|p| p < FLOOR)
            })
        };
        Sunk((0..book.accounts.len()).map(sunk).collect())
    }

    pub fn has(&self, a: AccountIx) -> bool {
        self.0.get(a.ix()).copied().unwrap_or(false)
    }

    /// Of either a job's class or its team.
    pub fn either(&self, accounts: [AccountIx; 2]) -> bool {
        accounts.iter().any(|a| self.has(*a))
    }

    pub fn any(&self) -> bool {
        self.0.contains(&true)
    }
}
