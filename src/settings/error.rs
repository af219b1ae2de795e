//! Errors of the settings file, each with the value that was wrong.

use std::path::PathBuf;

/// Why the settings are not usable.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings file {path}: {source}", path = path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("settings file: {0}")]
    Malformed(String),
    #[error("settings: {field}: {reason}")]
    Wrong { field: String, reason: WrongValue },
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum WrongValue {
    #[error("{0:?} is not an address and port")]
    NotAnAddress(String),
    #[error("{0} must be above zero")]
    NotPositive(f64),
    #[error("{0} must not be negative")]
    Negative(f64),
    #[error("must not be empty")]
    Empty,
    #[error("{0} is named twice")]
    Duplicate(String),
    #[error("{value} is too small: at least {min} needed")]
    TooSmall { value: f64, min: f64 },
}

impl WrongValue {
    /// The error of the field that holds this value.
    pub(super) fn of(self, field: &str) -> SettingsError {
        SettingsError::Wrong { field: field.to_owned(), reason: self }
    }
}
