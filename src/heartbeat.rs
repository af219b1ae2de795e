//! Reading workers' reports: what is no report is refused before it changes anything.

use crate::wire::Heartbeat;
use std::net::SocketAddr;

/// Incarnations of workers are counted from this.
const FIRST_INCARNATION: u64 = 1;

/// Reads a report, or says why it is none.
pub fn parse_report(body: &[u8]) -> Result<Heartbeat, String> {
    let report: Heartbeat = serde_json::from_slice(body).map_err(|e| format!("not a report: {e}"))?;
    if report.machine.is_empty() {
        return Err("the machine has no name".into());
    }
    if report.addr.parse::<SocketAddr>().is_err() {
        return Err("the address is malformed".into());
    }
    if report.incarnation < FIRST_INCARNATION {
        return Err(format!("sessions begin with {FIRST_INCARNATION}"));
    }
    Ok(report)
}
