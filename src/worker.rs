//! Client of the workers' direct interface.

use crate::http::{CallError, Client};
use crate::shard::PushOutcome;
use crate::wire::{self, Heartbeat, PushedCommands};
use http_types::Method;
use std::net::SocketAddr;
use std::time::Duration;

const QUESTION: Duration = Duration::from_millis(1200);
const COMMAND: Duration = Duration::from_millis(2500);

pub struct WorkerClient {
    http: Client,
}

impl WorkerClient {
    /// Idle connections take no more than a part of the sockets: the workers' own
    /// reports and the users need the rest.
    pub fn new(settings: &crate::settings::Settings) -> WorkerClient {
        WorkerClient { http: Client::new(1, settings.sockets / 8) }
    }

    /// Sends commands straight to a worker, if that may be done still at that moment.
    pub async fn commands(
        &self,
        addr: SocketAddr,
        c: &PushedCommands,
        may_be_sent: impl FnOnce() -> bool,
    ) -> PushOutcome {
        let Ok(body) = serde_json::to_vec(c) else { return PushOutcome::NotSent };
        // A mere question is asked again; a command that is given up may still arrive.
        let limit = if c.commands.is_empty() { QUESTION } else { COMMAND };
        match self.http.call_if(may_be_sent, addr, Method::Post, wire::COMMANDS_PATH, Some(body), limit).await {
            Ok((s, b)) => PushOutcome::Answered { executed: s == 200, report: serde_json::from_slice(&b).ok() },
            Err(CallError::NotSent) => PushOutcome::NotSent,
            Err(CallError::Withheld) => PushOutcome::Withheld,
            Err(CallError::NoAnswer) => PushOutcome::Unknown,
        }
    }

    pub async fn status(&self, addr: SocketAddr) -> Option<Heartbeat> {
        match self.http.call(addr, Method::Get, wire::STATUS_PATH, None, Duration::from_millis(2000)).await {
            Ok((200, b)) => serde_json::from_slice(&b).ok(),
            _ => None,
        }
    }
}
