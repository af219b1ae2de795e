//! Operators' files: read from TOML, and everything that is wrong with one told by its path.

use garde::Validate;
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::Path;

/// Something wrong with a file, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Where in the file, by field names and positions.
    pub path: String,
    /// What is wrong there.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

/// Reads TOML. What cannot be read at all is one fault, with the line where it begins.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    toml::from_str(text).map_err(|e| {
        let before = e.span().and_then(|s| text.get(..s.start)).unwrap_or("");
        let path = format!("line {}", before.matches('\n').count() + 1);
        Fault { path, what: e.message().replace('\n', " ") }
    })
}

/// What is out of its bounds. `names`: parts of paths that the file names otherwise than the program.
pub fn out_of_bounds(value: &impl Validate<Context = ()>, names: &[(&str, &str)]) -> Vec<Fault> {
    let Err(report) = value.validate() else { return Vec::new() };
    let named = |p: String| names.iter().fold(p, |p, (ours, theirs)| p.replace(ours, theirs));
    report.iter().map(|(p, e)| Fault { path: named(p.to_string()), what: e.message().to_owned() }).collect()
}

/// What `parse` makes of a file, or each fault on a line of its own, with the file's name.
pub fn load<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{}: {f}", path.display())).collect();
        lines.join("\n")
    })
}
