//! Logging to standard error, one line an event, at the amount `LOG_LEVEL` gives.

use std::io::Write;

struct StandardError;

impl log::Log for StandardError {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target().starts_with("lupinspur")
    }
    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let module = record.target().rsplit("::").next().unwrap_or("");
            let _ = writeln!(std::io::stderr(), "{} {module}: {}", record.level(), record.args());
        }
    }
    fn flush(&self) {}
}

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    #[error("{0:?} is not one of off, error, warn, info, debug")]
    UnknownLevel(String),
    #[error(transparent)]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Sends this program's log to standard error, down to `level`. Fails if called twice.
pub fn init(level: &str) -> Result<(), LoggingError> {
    let level = level.to_ascii_lowercase();
    let filter = level.parse().map_err(|_| LoggingError::UnknownLevel(level))?;
    log::set_logger(&StandardError)?;
    log::set_max_level(filter);
    Ok(())
}
