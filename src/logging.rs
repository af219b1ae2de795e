//! Logging to standard error, one line an event, at the amount `LOG_LEVEL` gives.

use std::io::Write;

struct ToStderr;

impl log::Log for ToStderr {
    fn enabled(&self, m: &log::Metadata<'_>) -> bool {
        m.target().starts_with("lupinspur")
    }
    fn log(&self, r: &log::Record<'_>) {
        if self.enabled(r.metadata()) {
            let module = r.target().rsplit("::").next().unwrap_or("");
            let _ = writeln!(std::io::stderr(), "{} {module}: {}", r.level(), r.args());
        }
    }
    fn flush(&self) {}
}

pub fn init(level: &str) -> Result<(), String> {
    let level = level
        .to_ascii_lowercase()
        .parse()
        .map_err(|_| format!("{level:?} is not one of off, error, warn, info, debug"))?;
    log::set_logger(&ToStderr).map_err(|e| e.to_string())?;
    log::set_max_level(level);
    Ok(())
}
