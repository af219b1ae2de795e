//! An attempt that a machine lists as not ended occupies its task, whatever the state of the job: the task starts on no
//! other machine.

use crate::harness::{NEXT_TOKEN, ShardHarness, StoredValue, TOKEN, heartbeat, heartbeat_with_token, job, task_names};
use lupinspur_scheduler::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use lupinspur_scheduler::jobs::{JobRecord, Phase, TaskKey, TaskSlot};
use lupinspur_scheduler::shard::StartRefusal;
use lupinspur_scheduler::wire::{Command, CommandKind};
use serde_json::json;

/// An attempt that an earlier leader started.
const EARLIER_ATTEMPT: u64 = 77;
/// An attempt of a leader whose token is newer than any that this leader has seen.
const LATER_ATTEMPT: u64 = (NEXT_TOKEN + 5) << 24;

/// Returns a new leader at 100 s. The record of h1 names `req-2`, whose dependency `req-1` ended before the checkpoint
/// and was not read yet. Beside the task of `req-2`, h1 has no free capacity for another one.
fn leader_with_unread_dependency() -> ShardHarness {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-2", 1, json!({"awaits": ["req-1"], "cpus": 20.0})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-2"], false);
    harness.fail_over(100.0);
    harness
}

/// Delivers the record of `req-1`, in this phase, as the result of the leader's read.
fn deliver_dependency(harness: &mut ShardHarness, phase: Phase, now: f64) {
    let record = JobRecord { phase, ..JobRecord::accepted(job("req-1", 1, json!({})), 0) };
    harness.shard.add_job(record, 5, now);
    harness.shard.on_dependency_read("req-1", now);
}

/// Delivers a heartbeat of the first incarnation that lists this attempt as running. Returns the commands in the reply.
fn receive_running_attempt(
    harness: &mut ShardHarness,
    machine: &str,
    counter: u64,
    task: &str,
    attempt: u64,
    now: f64,
) -> Vec<Command> {
    harness.reply_commands(&heartbeat_with_token(machine, (1, counter), NEXT_TOKEN, &[(task, attempt, "running")]), now)
}

/// Returns the commands that the leader pushes now.
fn pushed_commands(harness: &mut ShardHarness, now: f64) -> Vec<Command> {
    harness.take_pushes(now).into_iter().flat_map(|push| push.body.commands).collect()
}

/// Returns a leader that has assigned `req-1/0` to h1, with that attempt, while h2 lists another attempt of it.
fn assigned_and_listed_elsewhere() -> (ShardHarness, u64) {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.receive_heartbeat(&heartbeat("h2", 1, &[]), 1.1);
    harness.receive_heartbeat(&heartbeat("h2", 2, &[("req-1/0", EARLIER_ATTEMPT, "running")]), 1.6);
    (harness, attempt)
}

/// Guard `listed-occupies`: while the dependency was unread, the running task looked unassigned and was sent a stop.
/// Once the dependency was read, the task started on another machine, whether or not the stop had arrived.
#[test]
fn a_running_task_whose_need_was_not_read_yet_starts_nowhere_else() {
    let mut harness = leader_with_unread_dependency();
    receive_running_attempt(&mut harness, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.3);
    deliver_dependency(&mut harness, Phase::Done, 100.9);
    harness.tick_until(101.0, 102.0);
    harness.store_all_writes(102.0);
    assert!(harness.first_assignment("h2").is_none(), "no heartbeat has shown the end of the attempt on h1");
}

/// Guard `unread-is-not-open`: a leader that took an unread dependency for an open one stopped the running tasks of
/// every job with dependencies after each failover.
#[test]
fn what_runs_is_left_alone_until_the_need_is_read() {
    let mut harness = leader_with_unread_dependency();
    let commands = receive_running_attempt(&mut harness, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    assert_eq!(task_names(&commands, CommandKind::Stop), [""; 0]);
    assert_eq!(task_names(&pushed_commands(&mut harness, 100.3), CommandKind::Stop), [""; 0]);
    assert_eq!(
        harness.first_assignment("h1").map(|assignment| assignment.attempt),
        Some(EARLIER_ATTEMPT),
        "the running attempt is adopted"
    );
    deliver_dependency(&mut harness, Phase::Done, 100.9);
    let commands = receive_running_attempt(&mut harness, "h1", 6, "req-2/0", EARLIER_ATTEMPT, 101.0);
    assert_eq!(task_names(&commands, CommandKind::Stop), [""; 0]);
}

/// Asserts that the running task is stopped once its dependency is read in this phase.
fn assert_stopped_once_dependency_is_read(phase: Phase) {
    let mut harness = leader_with_unread_dependency();
    receive_running_attempt(&mut harness, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    deliver_dependency(&mut harness, phase, 100.9);
    assert_eq!(
        task_names(&pushed_commands(&mut harness, 101.0), CommandKind::Stop),
        ["req-2/0"],
        "the dependency is {phase:?}"
    );
}

/// Guard `open-need-stops`: no task of a job with open dependencies may run.
#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_open() {
    assert_stopped_once_dependency_is_read(Phase::Open);
}

#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_cancelled() {
    assert_stopped_once_dependency_is_read(Phase::Cancelled);
}

/// Guard `open-elsewhere-stops`: the same for a dependency that another shard runs and that this shard doesn't load.
#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_open_elsewhere() {
    let mut harness = leader_with_unread_dependency();
    receive_running_attempt(&mut harness, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    harness.shard.on_dependency_read("req-1", 100.9);
    assert_eq!(task_names(&pushed_commands(&mut harness, 101.0), CommandKind::Stop), ["req-2/0"]);
}

/// A task that is stopped because of an open dependency occupies its slot until a heartbeat shows its end.
#[test]
fn a_task_stopped_for_an_open_dependency_occupies_its_slot_until_its_end() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    harness.fail_over(100.0);
    receive_running_attempt(&mut harness, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    let job_index = harness.shard.jobs.find("req-2").expect("a job");
    assert_eq!(harness.shard.jobs[job_index].tasks[0], TaskSlot::Assigned(harness.machine_index("h1")));
    harness.receive_heartbeat(
        &heartbeat_with_token("h1", (1, 6), NEXT_TOKEN, &[("req-2/0", EARLIER_ATTEMPT, "stopped")]),
        100.7,
    );
    assert_eq!(harness.shard.jobs[job_index].tasks[0], TaskSlot::Queued);
}

/// Guard `orphan-takes-slot`: a task slot that becomes free is assigned to the machine that still lists an attempt of
/// the task.
#[test]
fn a_slot_that_is_free_again_goes_to_the_attempt_that_is_listed() {
    let (mut harness, _) = assigned_and_listed_elsewhere();
    harness.receive_heartbeat(&heartbeat("h3", 1, &[]), 1.7);
    harness.receive_heartbeat(&heartbeat("h3", 2, &[]), 2.2);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 9), TOKEN, &[]), 3.0);
    harness.tick_until(3.1, 4.0);
    assert!(
        harness.first_assignment("h1").is_none() && harness.first_assignment("h3").is_none(),
        "h2 still lists an attempt"
    );
    assert_eq!(harness.first_assignment("h2").map(|assignment| assignment.attempt), Some(EARLIER_ATTEMPT));
    assert_eq!(harness.shard.teams[1].cpus_used, 2.0, "the task counts once against the limit");
}

/// A planned start was withdrawn and its task queued again, although another machine still ran an older attempt.
#[test]
fn a_planned_start_that_is_withdrawn_leaves_the_task_to_the_attempt_that_is_listed() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2", "h3"]);
    let job_index = harness.accept_job(job("req-1", 1, json!({})), 0.7);
    let planned = ["h1", "h2", "h3"]
        .into_iter()
        .find(|machine| harness.first_assignment(machine).is_some())
        .expect("a planned start");
    let listing = ["h1", "h2", "h3"].into_iter().find(|machine| *machine != planned).expect("another machine");
    harness.receive_heartbeat(&heartbeat(listing, 3, &[("req-1/0", EARLIER_ATTEMPT, "running")]), 1.2);
    let deleted = harness.machine_index(planned);
    harness.shard.on_deleted(&[deleted]);
    harness.tick_until(1.3, 2.0);
    assert_eq!(harness.shard.jobs[job_index].tasks[0], TaskSlot::Assigned(harness.machine_index(listing)));
}

/// Guard `session-takes-all`: all attempts of an incarnation end with it, and no longer occupy their tasks.
#[test]
fn what_an_earlier_incarnation_listed_occupies_nothing() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    let both = [("req-1/0", attempt, "running"), ("req-1/0", EARLIER_ATTEMPT, "running")];
    harness.receive_heartbeat(&heartbeat("h1", 3, &both), 1.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 9), TOKEN, &[]), 3.0);
    harness.tick_until(3.1, 4.0);
    let current = harness.first_assignment("h1").map(|assignment| assignment.attempt);
    assert!(
        current.is_some_and(|current| current != EARLIER_ATTEMPT && current != attempt),
        "expected a new attempt: {current:?}"
    );
    assert_eq!(harness.shard.teams[1].cpus_used, 2.0);
}

/// Guard `gone-ends-orphans`: the same for a machine whose deletion was confirmed.
#[test]
fn what_a_deleted_machine_listed_occupies_nothing() {
    let (mut harness, _) = assigned_and_listed_elsewhere();
    let (h1, h2) = (harness.machine_index("h1"), harness.machine_index("h2"));
    harness.shard.on_deleted(&[h2]);
    harness.shard.on_deleted(&[h1]);
    harness.receive_heartbeat(&heartbeat("h3", 1, &[]), 2.0);
    harness.receive_heartbeat(&heartbeat("h3", 2, &[]), 2.5);
    harness.tick_until(2.6, 3.0);
    assert!(harness.first_assignment("h3").is_some());
}

/// Guard `record-names-listed`: the next leader has to know from the record that the machine may run the job.
#[test]
fn the_record_of_a_machine_names_what_it_lists_and_nobody_holds() {
    let (mut harness, _) = assigned_and_listed_elsewhere();
    let h2 = harness.machine_index("h2");
    harness.shard.request_record(h2);
    harness.tick_until(1.7, 2.5);
    harness.store_all_writes(2.6);
    let jobs_of_h2 = |(key, stored): (&String, &StoredValue)| {
        let record: MachineGroupRecord =
            serde_json::from_value(stored.value.clone()).ok().filter(|_| key.starts_with(MACHINE_GROUP_PREFIX))?;
        record.machine_records().into_iter().find(|(machine, _)| machine == "h2").map(|(_, record)| record.jobs)
    };
    assert_eq!(harness.stored.iter().find_map(jobs_of_h2), Some(vec!["req-1".to_owned()]));
}

/// Guard `later-job-is-occupied`: a machine lists a task of a job that the leader loads only later.
#[test]
fn a_job_that_comes_after_the_heartbeat_that_lists_its_task_is_occupied() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &["req-9"], false);
    harness.fail_over(100.0);
    receive_running_attempt(&mut harness, "h1", 5, "req-9/0", EARLIER_ATTEMPT, 100.1);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    harness.accept_job(job("req-9", 1, json!({})), 100.3);
    harness.tick_until(100.4, 101.0);
    assert!(harness.first_assignment("h2").is_none());
    assert_eq!(harness.first_assignment("h1").map(|assignment| assignment.attempt), Some(EARLIER_ATTEMPT));
}

/// Guard `later-job-is-shadowed`: the record of a silent machine names a job that the leader loads only later.
#[test]
fn a_job_that_comes_after_the_record_that_names_it_waits_for_the_machine() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &["req-9"], false);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    harness.accept_job(job("req-9", 1, json!({})), 100.3);
    harness.tick_until(100.4, 101.0);
    assert!(harness.first_assignment("h2").is_none(), "h1 may run the job");
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 101.1);
    harness.tick_until(101.2, 102.0);
    assert!(
        harness.first_assignment("h1").is_some() || harness.first_assignment("h2").is_some(),
        "h1 is reconciled and empty, so the job starts"
    );
}

/// Guard `record-keeps-unknown`: the next leader may know a job that this leader doesn't know.
#[test]
fn the_record_of_a_silent_machine_goes_on_naming_jobs_that_are_unknown_here() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &["req-9"], false);
    harness.fail_over(100.0);
    let h1 = harness.machine_index("h1");
    harness.shard.request_record(h1);
    harness.tick_until(100.1, 101.0);
    harness.store_all_writes(101.0);
    let value = &harness.stored[&format!("{MACHINE_GROUP_PREFIX}0")].value;
    assert_eq!(value["jobs"], json!(["req-9"]));
}

/// Guard `later-job-is-held-back`: machines of a type that this leader doesn't know may run tasks of a job that it
/// loads only later.
#[test]
fn a_job_that_comes_after_a_record_of_an_unknown_type_waits_for_a_lease() {
    let mut harness = ShardHarness::new();
    let machine = json!({"machine": "h1", "jobs": [0]});
    let value =
        json!({"shard": 0, "type": "gone", "zone": "a", "spot": false, "jobs": ["req-9"], "machines": [machine]});
    harness.put(&format!("{MACHINE_GROUP_PREFIX}0"), value);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    harness.accept_job(job("req-9", 1, json!({})), 100.3);
    harness.tick_until(100.4, 101.0);
    assert!(harness.first_assignment("h2").is_none(), "the lease of the recorded machine has not expired");
    for second in 1..=22u32 {
        let now = 100.0 + f64::from(second);
        harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5 + u64::from(second)), NEXT_TOKEN, &[]), now);
        harness.shard.request_placement();
        harness.tick_until(now + 0.1, now + 0.9);
    }
    assert!(harness.first_assignment("h2").is_some(), "the lease of the recorded machine has expired");
}

/// Guard `start-occupied`: the last check before a start is made.
#[test]
fn a_start_of_a_task_that_a_machine_lists_is_forbidden() {
    let (mut harness, _) = assigned_and_listed_elsewhere();
    let key = TaskKey::new(harness.shard.jobs.find("req-1").expect("a job"), 0);
    harness.shard.jobs[key.job].tasks[0] = TaskSlot::Queued;
    let h1 = harness.machine_index("h1");
    assert_eq!(harness.shard.may_start(h1, key), Err(StartRefusal::Occupied));
}

/// Guard `start-needs-met`: no task starts of a job whose dependencies are open or unread.
#[test]
fn a_start_of_a_job_whose_need_was_not_read_is_forbidden() {
    let mut harness = leader_with_unread_dependency();
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 100.2);
    let key = TaskKey::new(harness.shard.jobs.find("req-2").expect("a job"), 0);
    let h1 = harness.machine_index("h1");
    assert_eq!(harness.shard.may_start(h1, key), Err(StartRefusal::DependenciesUnmet));
}

/// Invalid input: a machine lists several running attempts of one task.
#[test]
fn a_heartbeat_with_two_running_attempts_of_a_task_starts_nothing() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    let both = [("req-1/0", EARLIER_ATTEMPT, "running"), ("req-1/0", EARLIER_ATTEMPT + 1, "running")];
    let commands = harness.reply_commands(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &both), 100.2);
    harness.tick_until(100.3, 101.0);
    assert!(harness.first_assignment("h2").is_none());
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"], "one of the two running attempts is stopped");
    let one = [("req-1/0", EARLIER_ATTEMPT, "stopped"), ("req-1/0", EARLIER_ATTEMPT + 1, "running")];
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 6), NEXT_TOKEN, &one), 101.1);
    harness.tick_until(101.2, 102.0);
    assert!(harness.first_assignment("h2").is_none(), "the other attempt still runs on h1");
}

/// Invalid input: a task number that exceeds the job's number of tasks.
#[test]
fn a_heartbeat_with_a_task_that_its_job_does_not_have_starts_nothing() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
    let commands = receive_running_attempt(&mut harness, "h1", 5, "req-1/7", EARLIER_ATTEMPT, 100.1);
    harness.tick_until(100.2, 101.0);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/7"]);
    assert!(
        harness.first_assignment("h1").is_none() && !harness.machine("h1").is_reconciled(),
        "the resources of the unknown task are not known"
    );
}

/// Invalid input: an attempt of a later leader, whose token no heartbeat has shown.
#[test]
fn an_attempt_of_a_later_token_occupies_its_task() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({"cpus": 20.0})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    receive_running_attempt(&mut harness, "h1", 5, "req-1/0", LATER_ATTEMPT, 100.2);
    harness.tick_until(100.3, 101.0);
    assert!(harness.first_assignment("h2").is_none());
}

/// Invalid input: two machines list the same task.
#[test]
fn a_task_that_another_machine_runs_is_stopped_and_counts() {
    let (mut harness, _) = assigned_and_listed_elsewhere();
    assert_eq!(task_names(&pushed_commands(&mut harness, 1.7), CommandKind::Stop), ["req-1/0"]);
    assert_eq!(harness.shard.teams[1].cpus_used, 4.0, "both attempts count until a heartbeat shows an end");
}

/// Guard `adopted-is-recorded`: a machine that no record names runs a task of a known job.
#[test]
fn what_is_adopted_on_a_machine_without_a_record_is_recorded() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.fail_over(100.0);
    receive_running_attempt(&mut harness, "h1", 5, "req-1/0", EARLIER_ATTEMPT, 100.1);
    harness.tick_until(100.2, 101.0);
    harness.store_all_writes(101.1);
    assert_eq!(harness.stored[&format!("{MACHINE_GROUP_PREFIX}0")].value["jobs"], json!(["req-1"]));
}
