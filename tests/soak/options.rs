//! Options of the soak test (seeds, cluster size, duration), read from environment variables.

use std::ops::RangeInclusive;
use std::path::PathBuf;

const SEEDS: RangeInclusive<u64> = 1..=1000;
const WORKERS: RangeInclusive<u64> = 4..=600;
const SECONDS: RangeInclusive<u64> = 15..=600;

#[derive(Debug)]
pub struct Options {
    first_seed: u64,
    seeds: u64,
    pub workers: usize,
    /// How long faults are injected.
    pub seconds: u64,
    /// The folder in which the logs of failed runs are kept.
    pub keep: Option<PathBuf>,
}

fn number(name: &str, text: Option<String>, default: u64, range: RangeInclusive<u64>) -> Result<u64, String> {
    let Some(text) = text else { return Ok(default) };
    let number = text.parse::<u64>().map_err(|_| format!("{name}={text} is not a whole number"))?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err(format!("{name}={text} is not in the range {} to {}", range.start(), range.end()))
    }
}

impl Options {
    pub fn from_environment() -> Result<Options, String> {
        Options::read(|name| std::env::var(name).ok())
    }

    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Options, String> {
        Ok(Options {
            first_seed: number("SOAK_SEED", variable("SOAK_SEED"), 1, 0..=u64::MAX)?,
            seeds: number("SOAK_SEEDS", variable("SOAK_SEEDS"), 2, SEEDS)?,
            workers: number("SOAK_WORKERS", variable("SOAK_WORKERS"), 12, WORKERS)? as usize,
            seconds: number("SOAK_SECONDS", variable("SOAK_SECONDS"), 20, SECONDS)?,
            keep: variable("SOAK_KEEP").map(PathBuf::from),
        })
    }

    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        (0..self.seeds).map({
            let first = self.first_seed;
            move |offset| first.wrapping_add(offset)
        })
    }
}
