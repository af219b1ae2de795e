//! Pushes commands to workers. Each push is checked again immediately before it is sent, and its outcome is passed only
//! to the shard that created it.

use crate::clock;
use crate::node::{EXECUTOR, ShardRuntime, lock};
use crate::shard::{PushOutcome, PushRequest, Shard};
use crate::wire::CommandList;
use async_channel::Sender;
use std::sync::Arc;

/// One push may run at a time for this many sockets of the process's limit.
const SOCKETS_PER_PUSH: usize = 8;
const MIN_CONCURRENT_PUSHES: usize = 8;
const MAX_CONCURRENT_PUSHES: usize = 512;

impl ShardRuntime {
    pub(in crate::node) async fn push_loop(self: Arc<Self>) {
        // A push to an unresponsive machine lasts a second or more, and there may be hundreds at once.
        let max_concurrent =
            (self.settings.sockets / SOCKETS_PER_PUSH).clamp(MIN_CONCURRENT_PUSHES, MAX_CONCURRENT_PUSHES);
        let (done_sender, done_receiver) = async_channel::bounded::<()>(max_concurrent);
        let mut running = 0;
        while self.is_open() {
            Self::wait_for_wake(&self.wakes.pushes.1).await;
            while done_receiver.try_recv().is_ok() {
                running -= 1;
            }
            while running < max_concurrent {
                let now = clock::now();
                let Some(Some(request)) = self.with_shard(now, |shard| shard.next_push(now)) else { break };
                running += 1;
                EXECUTOR.spawn(self.clone().push_in_background(request, done_sender.clone())).detach();
            }
        }
    }

    async fn push_in_background(self: Arc<Self>, request: PushRequest, done: Sender<()>) {
        self.push(request).await;
        let _ = done.send(()).await;
        self.wake();
        let _ = self.wakes.pushes.0.try_send(());
    }

    async fn push(&self, request: PushRequest) {
        let may_be_sent = || self.may_still_push(&request);
        let outcome = self.workers.commands(request.addr, &request.body, may_be_sent).await;
        let now = clock::now();
        log_outcome(&request, &outcome);
        // The outcome concerns only the shard that created the push.
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == request.leader_token) {
            shard.on_push_outcome(&request, outcome, now);
        }
    }

    /// Returns whether these commands may still be sent. Checks the lease, the token, the machine's incarnation and
    /// each start again.
    fn may_still_push(&self, request: &PushRequest) -> bool {
        let (now, token) = (clock::now(), request.body.token);
        let check =
            |shard: &mut Shard| (shard.token == request.leader_token).then(|| shard.check_push_still_valid(request));
        let permitted = self.with_shard(now, check).flatten();
        let lease_s = self.lease_valid_until().map_or(0.0, |until| until - now);
        let (commands, address, incarnation) = (request.body.commands.len(), request.addr, request.body.incarnation);
        match permitted {
            Some(Ok(())) => {
                log::debug!(
                    "commands sent count={commands} address={address} token={token} incarnation={incarnation} \
                     lease_s={lease_s:.2} commands=\"{}\"",
                    CommandList(&request.body.commands)
                );
                true
            }
            Some(Err(reason)) => {
                log::info!("commands withheld count={commands} address={address} token={token} reason=\"{reason}\"");
                false
            }
            None => {
                log::warn!(
                    "commands withheld count={commands} address={address} token={token} reason=token_not_valid lease_s={lease_s:.2}"
                );
                false
            }
        }
    }
}

/// Logs what is known of pushed commands: whether the worker executed them, and the sequence number of its response.
fn log_outcome(request: &PushRequest, outcome: &PushOutcome) {
    if request.body.commands.is_empty() || !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let (outcome, heartbeat) = match outcome {
        PushOutcome::Responded { executed: true, heartbeat } => ("executed", heartbeat.as_ref()),
        PushOutcome::Responded { executed: false, heartbeat } => ("refused", heartbeat.as_ref()),
        PushOutcome::NotSent => ("not_sent", None),
        PushOutcome::Withheld => ("withheld", None),
        PushOutcome::Unknown => ("unknown", None),
    };
    let (sequence, newest_token) = heartbeat.map_or((0, 0), |heartbeat| (heartbeat.sequence, heartbeat.token));
    log::debug!(
        "commands settled outcome={outcome} address={} token={} incarnation={} sequence={sequence} \
         newest_token={newest_token} commands=\"{}\"",
        request.addr,
        request.body.token,
        request.body.incarnation,
        CommandList(&request.body.commands)
    );
}
