//! The simulated workers' interface for direct commands, and the commands that are held up on their way to them.

use crate::http::{EXECUTOR, body, lock};
use crate::workers::{Worker, Workers, execute_commands};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::Value;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of answered messages that are kept for each worker.
const MAX_ANSWERED_KEPT: usize = 32;

/// How messages with start commands to a worker are treated. All other messages arrive.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Starts {
    #[default]
    Arrive,
    /// Direct commands wait until [`deliver`]; the connection breaks before a heartbeat reply arrives.
    HeldUp,
    /// Direct commands are executed at once, and their responses are lost.
    Unanswered,
}

/// The tasks of start commands that were held up, by how the worker handled the commands when they arrived.
#[derive(Default, Debug)]
pub struct Delivered {
    /// The fencing token and the incarnation matched.
    pub executed: Vec<String>,
    /// The fencing token or the incarnation was outdated.
    pub refused: Vec<String>,
}

/// Returns the tasks that a message tells a worker to start.
pub fn tasks_to_start(message: &Value) -> Vec<String> {
    let commands = message["tidings"].as_array().into_iter().flatten();
    let starts = commands.filter(|c| c["tiding"] == "run");
    starts.filter_map(|c| c["seed"].as_str().map(str::to_owned)).collect()
}

/// Answers a request to a worker, or never returns if the response is lost.
pub async fn answer(
    all: Workers,
    worker_index: usize,
    request: Incoming,
    duplicate_starts: Arc<Mutex<Vec<String>>>,
) -> Outgoing {
    let commands = body(&request);
    if request.method == Method::Post {
        let (delay, starts) = {
            let worker = &lock(&all)[worker_index];
            (worker.command_delay, worker.starts)
        };
        if !delay.is_zero() {
            return execute_late(all, worker_index, commands, duplicate_starts, delay).await;
        }
        if starts != Starts::Arrive && !tasks_to_start(&commands).is_empty() {
            return hold_or_execute_unanswered(&all, worker_index, commands, &duplicate_starts, starts).await;
        }
    }
    while (lock(&all)[worker_index].hangs || lock(&all)[worker_index].drops_commands)
        && !lock(&all)[worker_index].deleted
    {
        Timer::after(POLL_INTERVAL).await;
    }
    if lock(&all)[worker_index].deleted {
        std::future::pending::<()>().await;
    }
    let accepted = request.method == Method::Get || execute(&all, worker_index, &commands, &duplicate_starts);
    if accepted && !tasks_to_start(&commands).is_empty() {
        keep_answered(&mut lock(&all)[worker_index].answered_starts, commands);
    }
    let heartbeat = lock(&all)[worker_index].heartbeat();
    Outgoing::json(if accepted { 200 } else { 409 }, &heartbeat)
}

/// Executes commands if their fencing token and incarnation match. Returns whether it did.
fn execute(all: &Workers, worker_index: usize, commands: &Value, duplicate_starts: &Mutex<Vec<String>>) -> bool {
    let same_incarnation =
        commands["season"].as_u64().is_none_or(|incarnation| incarnation == lock(all)[worker_index].incarnation);
    same_incarnation && execute_commands(all, worker_index, commands, duplicate_starts)
}

/// Holds a message with start commands, or executes it at once. The sender gets no response either way.
async fn hold_or_execute_unanswered(
    all: &Workers,
    worker_index: usize,
    commands: Value,
    duplicate_starts: &Mutex<Vec<String>>,
    starts: Starts,
) -> Outgoing {
    if starts == Starts::HeldUp {
        lock(all)[worker_index].held_starts.push(commands);
    } else if execute(all, worker_index, &commands, duplicate_starts) {
        lock(all)[worker_index].starts_unanswered.extend(tasks_to_start(&commands));
    }
    std::future::pending().await
}

/// Delivers the messages that were held up on their way to a worker, in the order in which they were sent. Their
/// senders have given up by then.
pub fn deliver(all: &Workers, worker_index: usize, duplicate_starts: &Mutex<Vec<String>>) -> Delivered {
    let messages = std::mem::take(&mut lock(all)[worker_index].held_starts);
    deliver_all(all, worker_index, &messages, duplicate_starts)
}

/// Keeps a message for [`repeat_answered`].
fn keep_answered(kept: &mut VecDeque<Value>, message: Value) {
    if kept.len() == MAX_ANSWERED_KEPT {
        kept.pop_front();
    }
    kept.push_back(message);
}

/// Delivers copies of the last messages with starts that a worker has executed and answered, unless it can't be reached.
/// Nobody waits for the responses.
pub fn repeat_answered(all: &Workers, worker_index: usize, duplicate_starts: &Mutex<Vec<String>>) -> Delivered {
    let is_reachable = |worker: &Worker| !worker.hangs && !worker.drops_commands;
    if !is_reachable(&lock(all)[worker_index]) {
        return Delivered::default();
    }
    let messages: Vec<Value> = lock(all)[worker_index].answered_starts.iter().cloned().collect();
    deliver_all(all, worker_index, &messages, duplicate_starts)
}

fn deliver_all(
    all: &Workers,
    worker_index: usize,
    messages: &[Value],
    duplicate_starts: &Mutex<Vec<String>>,
) -> Delivered {
    let mut delivered = Delivered::default();
    for message in messages {
        let executed = !lock(all)[worker_index].deleted && execute(all, worker_index, message, duplicate_starts);
        let list = if executed { &mut delivered.executed } else { &mut delivered.refused };
        list.extend(tasks_to_start(message));
    }
    delivered
}

/// Executes commands after a delay, if their fencing token and incarnation still match. The sender has given up by
/// then and gets no response.
async fn execute_late(
    all: Workers,
    worker_index: usize,
    commands: Value,
    duplicate_starts: Arc<Mutex<Vec<String>>>,
    delay: Duration,
) -> Outgoing {
    let has_commands = commands["tidings"].as_array().is_some_and(|c| !c.is_empty());
    lock(&all)[worker_index].commands_held_up += usize::from(has_commands);
    EXECUTOR
        .spawn(async move {
            Timer::after(delay).await;
            let matches = {
                let worker = &lock(&all)[worker_index];
                !worker.deleted && commands["season"].as_u64() == Some(worker.incarnation)
            };
            if matches {
                execute_commands(&all, worker_index, &commands, &duplicate_starts);
            }
        })
        .detach();
    std::future::pending().await
}
