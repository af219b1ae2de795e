//! Client of the workers' direct interface. Never repeats a command.

use crate::http::{CallError, Client};
use crate::settings::Settings;
use crate::shard::PushOutcome;
use crate::wire::{self, Heartbeat, PushedCommands};
use http_types::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a worker has for an answer to a push without commands, and to one with commands.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
const STATUS_TIMEOUT: Duration = Duration::from_millis(2000);

/// Client of the workers.
pub struct WorkerClient {
    http: Client,
}

impl WorkerClient {
    /// Idle connections take no more than a part of the sockets: the workers' own
    /// reports and the users need the rest.
    pub fn new(settings: &Settings) -> WorkerClient {
        WorkerClient { http: Client::new(1, settings.sockets / 8) }
    }

    /// Sends commands straight to a worker, if that may still be done at that moment.
    pub async fn commands(
        &self,
        addr: SocketAddr,
        pushed: &PushedCommands,
        may_be_sent: impl FnOnce() -> bool,
    ) -> PushOutcome {
        let Ok(body) = serde_json::to_vec(pushed) else { return PushOutcome::NotSent };
        // A probe is repeated; a command that is given up may still arrive.
        let timeout = if pushed.commands.is_empty() { PROBE_TIMEOUT } else { COMMAND_TIMEOUT };
        match self.http.call_if(may_be_sent, addr, Method::Post, wire::COMMANDS_PATH, Some(body), timeout).await {
            Ok((status, body)) => {
                PushOutcome::Responded { executed: status == 200, heartbeat: serde_json::from_slice(&body).ok() }
            }
            Err(CallError::NotSent) => PushOutcome::NotSent,
            Err(CallError::Withheld) => PushOutcome::Withheld,
            Err(CallError::NoAnswer) => PushOutcome::Unknown,
        }
    }

    /// A worker's heartbeat, asked for; none where it gives no answer.
    pub async fn status(&self, addr: SocketAddr) -> Option<Heartbeat> {
        match self.http.call(addr, Method::Get, wire::STATUS_PATH, None, STATUS_TIMEOUT).await {
            Ok((200, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }
}
