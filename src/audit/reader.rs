//! Reads the whole state from the state service, page by page, at a limited rate. Writes nothing.

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

/// Every prefix that a version of this program has written under, in order.
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
/// Values on a page.
const PAGE_SIZE: usize = 1000;
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The wait after the state service refused a page for its rate limit.
const REFUSED_DELAY: Duration = Duration::from_secs(1);

/// Why the state could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    #[error("a page after {after:?}: {source}")]
    MalformedPage { after: String, source: serde_json::Error },
    #[error("the state service answers {status} after {after:?}")]
    Refused { status: u16, after: String },
    #[error("the state service at {addr}: {source}")]
    Call { addr: SocketAddr, source: CallError },
}

/// Reads everything, no more than `rate` requests a second.
pub async fn run(settings: &Settings, rate: f64) -> Result<Findings, AuditError> {
    let http = Client::new(1, 1);
    let mut audit = Audit::default();
    // All keys at once, those of no known kind included; one by one where that is refused.
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
        page.items.into_iter().for_each(|item| audit.take(item));
        let pause_s = (1.0 / rate - (clock::now() - started_at)).max(0.0);
        Timer::after(Duration::from_secs_f64(pause_s)).await;
    }
    Ok(audit.finish())
}

fn parse_page(body: &[u8], after: &str) -> Result<KeyValuePage, AuditError> {
    serde_json::from_slice(body).map_err(|source| AuditError::MalformedPage { after: after.to_owned(), source })
}
