//! Logging to standard error, one line per event, at the level that `LOG_LEVEL` sets.

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
    #[error("{0:?} is not a log level: use off, error, warn, info or debug")]
    UnknownLevel(String),
    #[error(transparent)]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Starts logging this program's events of `level` and above to standard error. Fails if called twice.
pub fn init(level: &str) -> Result<(), LoggingError> {
    let level = level.to_ascii_lowercase();
    let filter = level.parse().map_err(|_| LoggingError::UnknownLevel(level))?;
    log::set_logger(&StandardError)?;
    log::set_max_level(filter);
    Ok(())
}
