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
    /// Seconds until the cloud reclaims the machine, as its heartbeats say.
    notice_s: Option<f64>,
    /// Attempt and state of each listed task.
    tasks: BTreeMap<String, (u64, &'static str)>,
}

impl Worker {
    fn new(name: &'static str) -> Worker {
        Worker { name, incarnation: 1, sequence: 10, newest_token: TOKEN, notice_s: None, tasks: BTreeMap::new() }
    }

    fn heartbeat(&mut self) -> serde_json::Value {
        self.sequence += 1;
        let tasks: Vec<(&str, u64, &str)> =
            self.tasks.iter().map(|(task, (attempt, state))| (task.as_str(), *attempt, *state)).collect();
        let mut heartbeat =
            heartbeat_with_token(self.name, (self.incarnation, self.sequence), self.newest_token, &tasks);
        heartbeat["reclaim_s"] = json!(self.notice_s);
        heartbeat
    }

    /// Ends a task with this exit reason.
    fn end_task(&mut self, task: &str, reason: &'static str) {
        self.tasks.get_mut(task).expect("a listed task").1 = reason;
    }

    /// Kills all tasks and begins the next incarnation, as a worker does when its lease ends.
    fn begin_incarnation(&mut self) {
        self.tasks.clear();
        self.incarnation += 1;
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

/// Delivers the pending pushes, which these workers answer and all others don't. Returns those with starts, by worker.
fn deliver_pushes(harness: &mut ShardHarness, workers: &mut [Worker], now: f64) -> Vec<(usize, PushedCommands)> {
    let mut with_starts = Vec::new();
    for push in harness.take_pushes(now) {
        let name = harness.shard.machines[push.machine].name.clone();
        let Some(index) = workers.iter().position(|worker| worker.name == &*name) else {
            harness.shard.on_push_outcome(&push, PushOutcome::Unknown, now);
            continue;
        };
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

/// Two workers, a job that was started on one of them by an answered push, and that push.
struct Scenario {
    harness: ShardHarness,
    workers: [Worker; 2],
    holder: usize,
    push: PushedCommands,
}

impl Scenario {
    fn start(tasks: u32, changes: serde_json::Value) -> Scenario {
        let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
        let mut workers = [Worker::new("h1"), Worker::new("h2")];
        harness.accept_job(job("req-1", tasks, changes), 0.7);
        harness.store_all_writes(0.7);
        let (holder, push) = deliver_pushes(&mut harness, &mut workers, 0.7).pop().expect("a push with a start");
        Scenario { harness, workers, holder, push }
    }

    fn run(&mut self, from: f64, until: f64) {
        run(&mut self.harness, &mut self.workers, from, until);
    }

    fn holder(&mut self) -> &mut Worker {
        &mut self.workers[self.holder]
    }

    fn assert_runs_elsewhere(&self) {
        let other = &self.workers[1 - self.holder];
        assert_eq!(other.tasks.get("req-1/0").map(|(_, state)| *state), Some("running"), "on the other machine");
    }

    /// Delivers a copy of the push to the machine, which has forgotten the attempt. Nothing may start.
    fn assert_copy_starts_nothing(&mut self) {
        let push = self.push.clone();
        assert!(!self.holder().tasks.contains_key("req-1/0"), "the attempt is forgotten");
        let started = self.holder().receive_push(&push).unwrap_or_default();
        assert_eq!(started, [""; 0], "a copy of the start must start nothing");
    }
}

/// Guard `forget-fenced`: the task fails, is forgotten and runs elsewhere when a copy of its answered start arrives.
#[test]
fn a_copy_of_an_answered_start_starts_no_attempt_that_failed_and_was_forgotten() {
    let mut scenario = Scenario::start(1, json!({}));
    scenario.holder().end_task("req-1/0", "error");
    scenario.run(1.0, 6.0);
    scenario.assert_runs_elsewhere();
    scenario.assert_copy_starts_nothing();
}

/// Guard `forget-fenced`: no message of the next leader has reached the machine when the copy arrives.
#[test]
fn a_copy_of_an_answered_start_starts_nothing_while_the_next_leader_begins() {
    let mut scenario = Scenario::start(1, json!({}));
    scenario.holder().end_task("req-1/0", "error");
    scenario.run(1.0, 6.0);
    scenario.harness.fail_over(6.5);
    scenario.assert_copy_starts_nothing();
    scenario.run(6.6, 9.0);
    scenario.assert_copy_starts_nothing();
}

/// Guard `forget-fenced`, for a task that was preempted for a service.
#[test]
fn a_copy_of_an_answered_start_starts_no_task_that_gave_way_to_a_service() {
    let mut scenario = Scenario::start(1, json!({"cpus": 30.0, "precedence": "idle"}));
    let service = json!({"cpus": 30.0, "habit": "standing", "precedence": "critical"});
    scenario.harness.accept_job(job("req-2", 2, service), 1.0);
    scenario.run(1.0, 6.0);
    assert!(scenario.holder().tasks.contains_key("req-2/0") || scenario.holder().tasks.contains_key("req-2/1"));
    scenario.assert_copy_starts_nothing();
}

/// Guard `forget-fenced`, for a task that moved because the cloud reclaims its machine.
#[test]
fn a_copy_of_an_answered_start_starts_no_task_that_moved_after_a_notice() {
    let mut scenario = Scenario::start(1, json!({"habit": "standing"}));
    scenario.holder().notice_s = Some(60.0);
    scenario.run(1.0, 6.0);
    scenario.assert_runs_elsewhere();
    scenario.assert_copy_starts_nothing();
}

/// Guard `forget-fenced`: the copy arrives after the time in which the tasks of a cancelled job have to be gone.
#[test]
fn a_copy_of_an_answered_start_starts_no_task_of_a_cancelled_job() {
    let mut scenario = Scenario::start(1, json!({}));
    scenario.harness.shard.cancel("req-1");
    scenario.run(1.0, 60.0);
    scenario.assert_copy_starts_nothing();
}

/// Guard `forget-fenced`: one task of an array is done, then the array is cancelled.
#[test]
fn a_copy_of_an_answered_start_starts_no_task_that_was_done_before_its_array_was_cancelled() {
    let mut scenario = Scenario::start(2, json!({}));
    scenario.holder().end_task("req-1/0", "done");
    scenario.run(1.0, 4.0);
    scenario.harness.shard.cancel("req-1");
    scenario.run(4.5, 60.0);
    scenario.assert_copy_starts_nothing();
}

/// Guard `session-takes-all`, for an answered start: the machine's lease ended, or it is back after it was given up.
#[test]
fn a_copy_of_an_answered_start_starts_nothing_in_a_later_incarnation() {
    for silent_s in [0.0, 60.0] {
        let mut scenario = Scenario::start(1, json!({}));
        let back_at = 1.0 + silent_s;
        let [first, second] = &mut scenario.workers;
        let other = if scenario.holder == 0 { second } else { first };
        run(&mut scenario.harness, std::slice::from_mut(other), 1.0, back_at);
        scenario.holder().begin_incarnation();
        scenario.run(back_at + 0.5, back_at + 5.0);
        let push = scenario.push.clone();
        assert_eq!(scenario.holder().receive_push(&push), None, "the machine refuses the earlier incarnation's start");
    }
}

/// A worker's reports are limited to 64 KiB. Arrays of short tasks fill a machine again and again, and no ended attempt
/// stays listed for longer than until the second heartbeat after its result is stored.
#[test]
fn ended_attempts_of_short_tasks_do_not_pile_up_in_a_machine_s_reports() {
    const TASKS: u32 = 16;
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let mut workers = [Worker::new("h1")];
    for round in 0..100 {
        let now = 1.0 + 4.0 * f64::from(round);
        harness.accept_job(job(&format!("req-{round}"), TASKS, json!({})), now);
        harness.store_all_writes(now);
        deliver_pushes(&mut harness, &mut workers, now + 0.1);
        for (_, state) in workers[0].tasks.values_mut().filter(|(_, state)| *state == "running") {
            *state = "done";
        }
        run(&mut harness, &mut workers, now + 0.5, now + 2.5);
        let ended = workers[0].tasks.values().filter(|(_, state)| *state == "done").count();
        assert_eq!(ended, 0, "ended attempts that are still listed in round {round}");
    }
}
