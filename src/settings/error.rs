//! Errors of the settings file, each with the wrong value.

use std::path::PathBuf;

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read settings file {path}: {source}", path = path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("settings file: {0}")]
    Malformed(String),
    #[error("settings: {field}: {reason}")]
    Wrong { field: String, reason: WrongValue },
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum WrongValue {
    #[error("{0:?} is not an IP address with a port")]
    NotAnAddress(String),
    #[error("{0} must be greater than zero")]
    NotPositive(f64),
    #[error("{0} must not be negative")]
    Negative(f64),
    #[error("must not be empty")]
    Empty,
    #[error("{0:?} occurs twice")]
    Duplicate(String),
    #[error("{value} is too small: the minimum is {min}")]
    TooSmall { value: f64, min: f64 },
}

impl WrongValue {
    /// Returns the error for the field with this value.
    pub(super) fn of(self, field: &str) -> SettingsError {
        SettingsError::Wrong { field: field.to_owned(), reason: self }
    }
}
