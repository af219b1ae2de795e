//! Paths and queries.

pub const JOBS_PATH: &str = "/work";
pub const CANCEL_END: &str = "withdraw";
pub const HEALTH_PATH: &str = "/up";
pub const REPORT_PATH: &str = "/checkin";
pub const COMMANDS_PATH: &str = "/do";
pub const STATUS_PATH: &str = "/show";
pub const TYPES_PATH: &str = "/flavors";
pub const MACHINES_PATH: &str = "/machines";
pub const MACHINES_DELETE_PATH: &str = "/machines/delete";
pub const KV_PATH: &str = "/kv";
pub const TXN_PATH: &str = "/commit";
pub const LEASES_PATH: &str = "/grants";
pub const RENEW_END: &str = "renew";
pub const WATCH_PATH: &str = "/follow";
pub const JOB_ID_START: &str = "req-";

pub fn list_query(prefix: &str, after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{KV_PATH}?under={prefix}&limit={limit}")
    } else {
        format!("{KV_PATH}?under={prefix}&from={after}&limit={limit}")
    }
}

pub fn watch_query(prefix: &str, from: u64, wait_ms: u64) -> String {
    format!("{WATCH_PATH}?under={prefix}&from={from}&block_ms={wait_ms}")
}

pub fn machines_query(after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{MACHINES_PATH}?limit={limit}")
    } else {
        format!("{MACHINES_PATH}?from={after}&limit={limit}")
    }
}
