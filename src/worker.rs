//! Client of the workers' own HTTP interface. Never retries a command.

use crate::http::{CallError, Client};
use crate::settings::Settings;
use crate::shard::PushOutcome;
use crate::wire::{self, Heartbeat, PushedCommands};
use http_types::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limits for a response to a push without commands (a probe), to a push with commands, and to a status request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
const STATUS_TIMEOUT: Duration = Duration::from_millis(2000);

/// Client of the workers.
pub struct WorkerClient {
    http: Client,
}

impl WorkerClient {
    /// Creates a client whose idle connections take only a part of the sockets, because workers' heartbeats and users
    /// need the rest.
    pub fn new(settings: &Settings) -> WorkerClient {
        WorkerClient { http: Client::new(1, settings.sockets / 8) }
    }

    /// Sends commands directly to a worker if `may_be_sent` still allows it once the connection is open.
    pub async fn commands(
        &self,
        addr: SocketAddr,
        pushed: &PushedCommands,
        may_be_sent: impl FnOnce() -> bool,
    ) -> PushOutcome {
        let Ok(body) = serde_json::to_vec(pushed) else { return PushOutcome::NotSent };
        // A probe is repeated later, so it may time out early. A command that timed out may still arrive.
        let timeout = if pushed.commands.is_empty() { PROBE_TIMEOUT } else { COMMAND_TIMEOUT };
        match self.http.call_if(may_be_sent, addr, Method::Post, wire::COMMANDS_PATH, Some(body), timeout).await {
            Ok((status, body)) => {
                PushOutcome::Responded { executed: status == 200, heartbeat: serde_json::from_slice(&body).ok() }
            }
            Err(CallError::NotSent) => PushOutcome::NotSent,
            Err(CallError::Withheld) => PushOutcome::Withheld,
            Err(CallError::NoResponse) => PushOutcome::Unknown,
        }
    }

    /// Requests a worker's heartbeat. Returns `None` if it does not respond.
    pub async fn status(&self, addr: SocketAddr) -> Option<Heartbeat> {
        match self.http.call(addr, Method::Get, wire::STATUS_PATH, None, STATUS_TIMEOUT).await {
            Ok((200, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }
}
