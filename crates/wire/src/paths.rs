//! Paths and queries of the HTTP interfaces.

/// Users: submissions; with a job's name appended, queries for its state.
pub const JOBS_PATH: &str = "/work";
/// Users: the last part of the path of a cancellation.
pub const CANCEL_SUFFIX: &str = "withdraw";
/// Health check.
pub const HEALTH_PATH: &str = "/up";
/// Workers: heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Workers: commands that a leader sends directly.
pub const COMMANDS_PATH: &str = "/do";
/// Workers: queries for a worker's state.
pub const STATUS_PATH: &str = "/show";
/// Cloud: machine types.
pub const TYPES_PATH: &str = "/flavors";
/// Cloud: the list of machines, and requests to rent machines.
pub const MACHINES_PATH: &str = "/machines";
/// Cloud: requests to return machines.
pub const MACHINES_DELETE_PATH: &str = "/machines/delete";
/// State service: lists of keys; with a key appended, that key.
pub const KV_PATH: &str = "/kv";
/// State service: transactions.
pub const TXN_PATH: &str = "/commit";
/// State service: leases.
pub const LEASES_PATH: &str = "/grants";
/// State service: the last part of the path of a lease renewal.
pub const RENEW_SUFFIX: &str = "renew";
/// State service: watches.
pub const WATCH_PATH: &str = "/follow";
/// The prefix of all job names.
pub const JOB_ID_PREFIX: &str = "req-";

/// Returns the path and query that list at most `limit` keys with this prefix, beginning after `after`.
pub fn list_query(prefix: &str, after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{KV_PATH}?under={prefix}&limit={limit}")
    } else {
        format!("{KV_PATH}?under={prefix}&from={after}&limit={limit}")
    }
}

/// Returns the path and query that wait up to `wait_ms` for changes since revision `from`.
pub fn watch_query(prefix: &str, from: u64, wait_ms: u64) -> String {
    format!("{WATCH_PATH}?under={prefix}&from={from}&block_ms={wait_ms}")
}

/// Returns the path and query that list at most `limit` machines, beginning after `after`.
pub fn machines_query(after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{MACHINES_PATH}?limit={limit}")
    } else {
        format!("{MACHINES_PATH}?from={after}&limit={limit}")
    }
}
