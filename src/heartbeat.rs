//! Reading workers' reports: what is no report is refused before it changes anything.

use crate::wire::Report;
use std::net::SocketAddr;

/// Sessions of workers are counted from this.
const FIRST_SESSION: u64 = 1;

/// Reads a report, or says why it is none.
pub fn parse_report(body: &[u8]) -> Result<Report, String> {
    let report: Report = serde_json::from_slice(body).map_err(|e| format!("not a report: {e}"))?;
    if report.machine.is_empty() {
        return Err("the machine has no name".into());
    }
    if report.addr.parse::<SocketAddr>().is_err() {
        return Err("the address is malformed".into());
    }
    if report.session < FIRST_SESSION {
        return Err(format!("sessions begin with {FIRST_SESSION}"));
    }
    Ok(report)
}
