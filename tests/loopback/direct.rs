//! The direct interface of the stand-in workers, and what is held up on its way to them.

use crate::http::{EXECUTOR, body, lock};
use crate::workers::{Workers, obey};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::Value;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(20);

/// What becomes of messages with starts on their way to a worker. All others arrive.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Starts {
    #[default]
    Arrive,
    /// Direct ones wait until [`deliver`]; of answers to reports the connection breaks.
    HeldUp,
    /// Direct ones are carried out at once, and their answers lost.
    Unanswered,
}

/// Tasks of starts that were held up, by what the worker made of them when they came.
#[derive(Default, Debug)]
pub struct Delivered {
    /// Token and incarnation matched.
    pub executed: Vec<String>,
    pub refused: Vec<String>,
}

/// The tasks that a message tells a worker to start.
pub fn starts_in(message: &Value) -> Vec<String> {
    let commands = message["tidings"].as_array().into_iter().flatten();
    let starts = commands.filter(|c| c["tiding"] == "run");
    starts.filter_map(|c| c["seed"].as_str().map(str::to_owned)).collect()
}

/// Answers a request to the worker at `w`, unless its answer is lost.
pub async fn answer(all: Workers, w: usize, request: Incoming, twice: Arc<Mutex<Vec<String>>>) -> Outgoing {
    let commands = body(&request);
    if request.method == Method::Post {
        let (delay, starts) = {
            let worker = &lock(&all)[w];
            (worker.command_delay, worker.starts)
        };
        if !delay.is_zero() {
            return execute_late(all, w, commands, twice, delay).await;
        }
        if starts != Starts::Arrive && !starts_in(&commands).is_empty() {
            return keep_or_lose(&all, w, commands, &twice, starts).await;
        }
    }
    while (lock(&all)[w].hangs || lock(&all)[w].deaf_to_commands) && !lock(&all)[w].deleted {
        Timer::after(LOOK).await;
    }
    if lock(&all)[w].deleted {
        std::future::pending::<()>().await;
    }
    let ok = request.method == Method::Get || execute(&all, w, &commands, &twice);
    let report = lock(&all)[w].report();
    Outgoing::json(if ok { 200 } else { 409 }, &report)
}

/// Executes commands if token and incarnation match.
fn execute(all: &Workers, w: usize, commands: &Value, twice: &Mutex<Vec<String>>) -> bool {
    let ours = commands["season"].as_u64().is_none_or(|s| s == lock(all)[w].incarnation);
    ours && obey(all, w, commands, twice)
}

/// A message with starts of which nobody hears an answer.
async fn keep_or_lose(
    all: &Workers,
    w: usize,
    commands: Value,
    twice: &Mutex<Vec<String>>,
    starts: Starts,
) -> Outgoing {
    if starts == Starts::HeldUp {
        lock(all)[w].held_starts.push(commands);
    } else if execute(all, w, &commands, twice) {
        lock(all)[w].starts_unanswered.extend(starts_in(&commands));
    }
    std::future::pending().await
}

/// All that was held up on its way to a worker arrives, in the order in which it was sent. Whoever sent it has
/// given up.
pub fn deliver(all: &Workers, w: usize, twice: &Mutex<Vec<String>>) -> Delivered {
    let mut delivered = Delivered::default();
    let messages = std::mem::take(&mut lock(all)[w].held_starts);
    for message in &messages {
        let executed = !lock(all)[w].deleted && execute(all, w, message, twice);
        let list = if executed { &mut delivered.executed } else { &mut delivered.refused };
        list.extend(starts_in(message));
    }
    delivered
}

/// Executes commands that were held up on their way, if token and incarnation still match. Whoever
/// sent them has given up by then.
async fn execute_late(
    all: Workers,
    w: usize,
    commands: Value,
    twice: Arc<Mutex<Vec<String>>>,
    delay: Duration,
) -> Outgoing {
    let has_commands = commands["tidings"].as_array().is_some_and(|c| !c.is_empty());
    lock(&all)[w].commands_held_up += usize::from(has_commands);
    EXECUTOR
        .spawn(async move {
            Timer::after(delay).await;
            let matches = {
                let worker = &lock(&all)[w];
                !worker.deleted && commands["season"].as_u64() == Some(worker.incarnation)
            };
            if matches {
                obey(&all, w, &commands, &twice);
            }
        })
        .detach();
    std::future::pending().await
}
