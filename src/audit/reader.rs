//! Reads all records from the state service, page by page, at a limited rate. Writes nothing.

use super::{Audit, Findings};
use crate::clock;
use crate::election::LEADERSHIP_PREFIX;
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX};
use crate::http::{CallError, Client};
use crate::jobs::{JOB_PREFIX, PART_PREFIX, PROGRESS_PREFIX};
use crate::settings::Settings;
use crate::wire::{self, KeyValuePage};
use async_io::Timer;
use http_types::Method;
use lupinspur_quota::stored::PREFIX as QUOTA_PREFIX;
use std::net::SocketAddr;
use std::time::Duration;

/// Every key prefix that any version of this program has written, in key order.
const PREFIXES: [&str; 9] = [
    lupinspur_recovery::PREFIX,
    FLEET_KEY,
    JOB_PREFIX,
    MACHINE_PREFIX,
    LEADERSHIP_PREFIX,
    PART_PREFIX,
    PROGRESS_PREFIX,
    QUOTA_PREFIX,
    MACHINE_GROUP_PREFIX,
];
/// Records per page.
const PAGE_SIZE: usize = 1000;
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a retry after the state service refused a page because of its rate limit.
const REFUSED_DELAY: Duration = Duration::from_secs(1);

/// Why the records could not all be read.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    #[error("the page of records after key {after:?} is malformed: {source}")]
    MalformedPage { after: String, source: serde_json::Error },
    #[error("the state service refused the page of records after key {after:?} with status {status}")]
    Refused { status: u16, after: String },
    #[error("state service at {addr}: {source}")]
    Call { addr: SocketAddr, source: CallError },
}

/// Reads and checks all records, with at most `rate` requests per second.
pub async fn run(settings: &Settings, rate: f64) -> Result<Findings, AuditError> {
    let http = Client::new(1, 1);
    let mut audit = Audit::default();
    // The empty prefix covers all keys, also those of unknown kinds. If the service refuses it, the known prefixes are
    // read one by one.
    let mut prefixes = vec![""];
    let mut prefix_index = 0;
    let mut after = String::new();
    while let Some(prefix) = prefixes.get(prefix_index).copied() {
        let started_at = clock::now();
        let query = wire::list_query(prefix, &after, PAGE_SIZE);
        let answer = http.call(settings.state, Method::Get, &query, None, PAGE_TIMEOUT).await;
        let page = match answer {
            Ok((200, body)) => parse_page(&body, &after)?,
            Ok((400, _)) if prefix.is_empty() && after.is_empty() => {
                prefixes = PREFIXES.to_vec();
                continue;
            }
            Ok((429 | 503, _)) => {
                Timer::after(REFUSED_DELAY).await;
                continue;
            }
            Ok((status, _)) => return Err(AuditError::Refused { status, after }),
            Err(source) => return Err(AuditError::Call { addr: settings.state, source }),
        };
        after = page.items.last().map(|item| item.key.clone()).unwrap_or_default();
        if !page.has_more || page.items.is_empty() {
            (prefix_index, after) = (prefix_index + 1, String::new());
        }
        page.items.into_iter().for_each(|item| audit.check(item));
        let pause_s = (1.0 / rate - (clock::now() - started_at)).max(0.0);
        Timer::after(Duration::from_secs_f64(pause_s)).await;
    }
    Ok(audit.finish())
}

fn parse_page(body: &[u8], after: &str) -> Result<KeyValuePage, AuditError> {
    serde_json::from_slice(body).map_err(|source| AuditError::MalformedPage { after: after.to_owned(), source })
}
