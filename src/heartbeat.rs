//! Parses and validates workers' heartbeats. An invalid body is refused before it changes any state.

use crate::wire::Heartbeat;
use std::net::SocketAddr;

/// The smallest incarnation number of a worker process.
const FIRST_INCARNATION: u64 = 1;

/// Why a body is not a valid heartbeat. The response is 400.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    #[error("not a heartbeat: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("the machine has no name")]
    UnnamedMachine,
    #[error("the address is malformed: {0:.60}")]
    MalformedAddress(String),
    #[error("incarnations begin with {FIRST_INCARNATION}, not {0}")]
    Incarnation(u64),
}

/// Parses the body of a worker's heartbeat.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let heartbeat: Heartbeat = serde_json::from_slice(body).map_err(HeartbeatError::Malformed)?;
    if heartbeat.machine.is_empty() {
        return Err(HeartbeatError::UnnamedMachine);
    }
    if heartbeat.addr.parse::<SocketAddr>().is_err() {
        return Err(HeartbeatError::MalformedAddress(heartbeat.addr));
    }
    if heartbeat.incarnation < FIRST_INCARNATION {
        return Err(HeartbeatError::Incarnation(heartbeat.incarnation));
    }
    Ok(heartbeat)
}
