//! Reads and validates operators' files in TOML. Every fault is reported with its path in the file.

use garde::Validate;
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::Path;

/// A fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Path in the file, by field names and positions.
    pub path: String,
    /// Description of the fault.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

/// Reads TOML. A text that cannot be parsed gives a single fault with the line of the error.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    toml::from_str(text).map_err(|e| {
        let before = e.span().and_then(|s| text.get(..s.start)).unwrap_or("");
        let path = format!("line {}", before.matches('\n').count() + 1);
        Fault { path, what: e.message().replace('\n', " ") }
    })
}

/// Returns all values that violate their bounds. `names` lists parts of paths that differ between the program
/// and the file, as pairs (program, file).
pub fn out_of_bounds(value: &impl Validate<Context = ()>, names: &[(&str, &str)]) -> Vec<Fault> {
    let Err(report) = value.validate() else { return Vec::new() };
    let file_path = |path: String| names.iter().fold(path, |path, (program, file)| path.replace(program, file));
    report.iter().map(|(p, e)| Fault { path: file_path(p.to_string()), what: e.message().to_owned() }).collect()
}

/// Reads a file and parses it with `parse`. The error has one line per fault, each with the name of the file.
pub fn load<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{}: {f}", path.display())).collect();
        lines.join("\n")
    })
}
