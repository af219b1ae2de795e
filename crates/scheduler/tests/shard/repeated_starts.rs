//! Copies of pushed starts that were executed and answered: the machine gets the same request again later.

use crate::harness::{ShardHarness, TOKEN, heartbeat_with_token, job};
use lupinspur_scheduler::shard::{HeartbeatOutcome, PushOutcome};
use lupinspur_scheduler::wire::{Command, CommandKind, PushedCommands};
use serde_json::json;
use std::collections::BTreeMap;

/// A worker that obeys commands as the protocol says.
struct Worker {
    name: &'static str,
    incarnation: u64,
    sequence: u64,
    newest_token: u64,
    /// Attempt and state of each listed task.
    tasks: BTreeMap<String, (u64, &'static str)>,
}

impl Worker {
    fn new(name: &'static str) -> Worker {
        Worker { name, incarnation: 1, sequence: 10, newest_token: TOKEN, tasks: BTreeMap::new() }
    }

    fn heartbeat(&mut self) -> serde_json::Value {
        self.sequence += 1;
        let tasks: Vec<(&str, u64, &str)> =
            self.tasks.iter().map(|(task, (attempt, state))| (task.as_str(), *attempt, *state)).collect();
        heartbeat_with_token(self.name, (self.incarnation, self.sequence), self.newest_token, &tasks)
    }

    /// Executes commands unless their token is outdated. Returns the tasks that they start, or nothing.
    fn execute(&mut self, token: u64, commands: &[Command]) -> Option<Vec<String>> {
        if token < self.newest_token {
            return None;
        }
        self.newest_token = token;
        let mut started = Vec::new();
        for command in commands {
            let listed = self.tasks.get_mut(&command.task).filter(|(attempt, _)| *attempt == command.attempt);
            match (command.kind, listed) {
                (CommandKind::Start, None) => {
                    self.tasks.insert(command.task.clone(), (command.attempt, "running"));
                    started.push(command.task.clone());
                }
                (CommandKind::Stop, Some((_, state))) if *state == "running" => *state = "stopped",
                (CommandKind::Forget, Some((_, state))) if *state != "running" => {
                    self.tasks.remove(&command.task);
                }
                _ => {}
            }
        }
        Some(started)
    }

    fn receive_push(&mut self, push: &PushedCommands) -> Option<Vec<String>> {
        if push.incarnation == self.incarnation { self.execute(push.token, &push.commands) } else { None }
    }

    /// Sends a heartbeat and executes the commands in the reply.
    fn exchange_heartbeat(&mut self, harness: &mut ShardHarness, now: f64) {
        let heartbeat = self.heartbeat();
        if let HeartbeatOutcome::Reply(reply) = harness.receive_heartbeat(&heartbeat, now) {
            self.execute(reply.token, &reply.commands);
        }
        harness.store_all_writes(now);
    }
}

/// Delivers the pending pushes, which the workers answer. Returns those with starts, by worker.
fn deliver_pushes(harness: &mut ShardHarness, workers: &mut [Worker], now: f64) -> Vec<(usize, PushedCommands)> {
    let mut with_starts = Vec::new();
    for push in harness.take_pushes(now) {
        let name = harness.shard.machines[push.machine].name.clone();
        let index = workers.iter().position(|worker| worker.name == &*name).expect("a worker of the test");
        let executed = workers[index].receive_push(&push.body).is_some();
        let heartbeat = serde_json::from_value(workers[index].heartbeat()).expect("a valid heartbeat");
        harness.shard.on_push_outcome(&push, PushOutcome::Responded { executed, heartbeat: Some(heartbeat) }, now);
        if push.body.commands.iter().any(|command| command.kind == CommandKind::Start) {
            with_starts.push((index, push.body));
        }
    }
    with_starts
}

/// Exchanges heartbeats and pushes of all workers twice a second.
fn run(harness: &mut ShardHarness, workers: &mut [Worker], from: f64, until: f64) {
    let mut now = from;
    while now <= until {
        for worker in workers.iter_mut() {
            worker.exchange_heartbeat(harness, now);
        }
        harness.shard.tick(now + 0.1);
        harness.store_all_writes(now + 0.1);
        deliver_pushes(harness, workers, now + 0.2);
        now += 0.5;
    }
}

/// Starts a job of one task by an answered push. Returns the worker that runs it and the push.
fn start_by_push(harness: &mut ShardHarness, workers: &mut [Worker], now: f64) -> (usize, PushedCommands) {
    harness.accept_job(job("req-1", 1, json!({})), now);
    harness.store_all_writes(now);
    deliver_pushes(harness, workers, now).pop().expect("a push with a start")
}

/// Guard `forget-fenced`: the task fails, is forgotten and runs elsewhere when a copy of its answered start arrives.
#[test]
fn a_copy_of_an_answered_start_starts_no_attempt_that_failed_and_was_forgotten() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
    let mut workers = [Worker::new("h1"), Worker::new("h2")];
    let (holder, push) = start_by_push(&mut harness, &mut workers, 0.7);
    workers[holder].tasks.get_mut("req-1/0").expect("the started task").1 = "error";
    run(&mut harness, &mut workers, 1.0, 6.0);
    assert!(workers[holder].tasks.is_empty(), "the failed attempt is forgotten");
    assert!(workers[1 - holder].tasks.contains_key("req-1/0"), "the task runs on the other machine");
    let started = workers[holder].receive_push(&push).unwrap_or_default();
    assert_eq!(started, [""; 0], "a copy of the start must start nothing");
}
