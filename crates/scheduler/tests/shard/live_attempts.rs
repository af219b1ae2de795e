//! What a machine lists as not ended occupies its task, whatever is thought of its job: it starts nowhere else.

use crate::world::{NEXT_TOKEN, TOKEN, World, job, report, report_of, tasks};
use lupinspur_scheduler::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use lupinspur_scheduler::jobs::{JobRecord, Phase, TaskKey, TaskSlot};
use lupinspur_scheduler::shard::StartRefusal;
use lupinspur_scheduler::wire::{Command, CommandKind};
use serde_json::json;

/// An attempt of the leader before.
const EARLIER_ATTEMPT: u64 = 77;
/// An attempt of a leader that has a later token than any that was heard of.
const LATER_ATTEMPT: u64 = (NEXT_TOKEN + 5) << 24;

/// A successor at 100 s: h1 is recorded with `req-2`, whose need, `req-1`, ended before the checkpoint and was not
/// read yet. There is no room on h1 beside the running task of `req-2`.
fn successor_with_an_unread_need() -> World {
    let mut world = World::new();
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"], "cpus": 20.0})), Phase::Open);
    world.stored_rack(0, "h1", &["req-2"], false);
    world.take_over(100.0);
    world
}

/// The record of `req-1` is read.
fn read_dependency(world: &mut World, phase: Phase, now: f64) {
    let record = JobRecord { phase, ..JobRecord::accepted(job("req-1", 1, json!({})), 0) };
    world.shard.add_job(record, 5, now);
    world.shard.on_dependency_read("req-1", now);
}

/// The commands in the answer to a report of the first incarnation that lists this attempt as running.
fn hear_running(world: &mut World, machine: &str, counter: u64, task: &str, attempt: u64, now: f64) -> Vec<Command> {
    world.answer(&report_of(machine, (1, counter), NEXT_TOKEN, &[(task, attempt, "running")]), now)
}

/// All that the machines are told directly now.
fn direct_commands(world: &mut World, now: f64) -> Vec<Command> {
    world.direct(now).into_iter().flat_map(|send| send.body.commands).collect()
}

/// h1 holds `req-1/0`, and h2 lists another attempt of it.
fn held_and_listed_again() -> (World, u64) {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.hear(&report("h2", 1, &[]), 1.1);
    world.hear(&report("h2", 2, &[("req-1/0", EARLIER_ATTEMPT, "running")]), 1.6);
    (world, attempt)
}

/// listed-occupies: the incident. Before its need was read the task looked like one that nobody wants; it was told to
/// stop, and started on another machine once the need was read, whether or not the stop had arrived.
#[test]
fn a_running_task_whose_need_was_not_read_yet_starts_nowhere_else() {
    let mut world = successor_with_an_unread_need();
    hear_running(&mut world, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.3);
    read_dependency(&mut world, Phase::Done, 100.9);
    world.tick_until(101.0, 102.0);
    world.write(102.0);
    assert!(world.held("h2").is_none(), "its attempt on h1 was never seen to end");
}

/// unread-is-not-open: each change of leader once killed what ran of pipelines.
#[test]
fn what_runs_is_left_alone_until_the_need_is_read() {
    let mut world = successor_with_an_unread_need();
    let told = hear_running(&mut world, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    assert_eq!(tasks(&told, CommandKind::Stop), [""; 0]);
    assert_eq!(tasks(&direct_commands(&mut world, 100.3), CommandKind::Stop), [""; 0]);
    assert_eq!(world.held("h1").map(|h| h.attempt), Some(EARLIER_ATTEMPT), "adopted");
    read_dependency(&mut world, Phase::Done, 100.9);
    let told = hear_running(&mut world, "h1", 6, "req-2/0", EARLIER_ATTEMPT, 101.0);
    assert_eq!(tasks(&told, CommandKind::Stop), [""; 0]);
}

/// A need that turns out to be open or cancelled stops what runs.
fn stopped_once_the_need_is_read(phase: Phase) {
    let mut world = successor_with_an_unread_need();
    hear_running(&mut world, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    read_dependency(&mut world, phase, 100.9);
    assert_eq!(tasks(&direct_commands(&mut world, 101.0), CommandKind::Stop), ["req-2/0"], "{phase:?}");
}

/// open-need-stops: of a job that waits for others nothing may run.
#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_open() {
    stopped_once_the_need_is_read(Phase::Open);
}

#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_cancelled() {
    stopped_once_the_need_is_read(Phase::Cancelled);
}

/// open-elsewhere-stops: the same where the need is another shard's, and stays unknown here.
#[test]
fn what_runs_is_stopped_once_the_need_is_known_to_be_open_elsewhere() {
    let mut world = successor_with_an_unread_need();
    hear_running(&mut world, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    world.shard.on_dependency_read("req-1", 100.9);
    assert_eq!(tasks(&direct_commands(&mut world, 101.0), CommandKind::Stop), ["req-2/0"]);
}

/// stopped-is-held: a task that is stopped for an open need occupies its slot until its end is seen.
#[test]
fn what_is_stopped_for_a_need_is_held_until_its_end() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    world.take_over(100.0);
    hear_running(&mut world, "h1", 5, "req-2/0", EARLIER_ATTEMPT, 100.2);
    let j = world.shard.jobs.find("req-2").expect("a job");
    assert_eq!(world.shard.jobs[j].tasks[0], TaskSlot::Assigned(world.index("h1")));
    world.hear(&report_of("h1", (1, 6), NEXT_TOKEN, &[("req-2/0", EARLIER_ATTEMPT, "stopped")]), 100.7);
    assert_eq!(world.shard.jobs[j].tasks[0], TaskSlot::Queued);
}

/// orphan-takes-slot: a slot that is free again belongs to whoever lists an attempt of its task.
#[test]
fn a_slot_that_is_free_again_goes_to_the_attempt_that_is_listed() {
    let (mut world, _) = held_and_listed_again();
    world.hear(&report("h3", 1, &[]), 1.7);
    world.hear(&report("h3", 2, &[]), 2.2);
    world.hear(&report_of("h1", (2, 9), TOKEN, &[]), 3.0);
    world.tick_until(3.1, 4.0);
    assert!(world.held("h1").is_none() && world.held("h3").is_none(), "h2 lists it still");
    assert_eq!(world.held("h2").map(|h| h.attempt), Some(EARLIER_ATTEMPT));
    assert_eq!(world.shard.teams[1].cpus_used, 2.0, "it counts once");
}

/// planned-beside-listed: a planned start was withdrawn, and its task queued, beside an older attempt that ran.
#[test]
fn a_planned_start_that_is_withdrawn_leaves_the_task_to_the_attempt_that_is_listed() {
    let mut world = World::with(&["h1", "h2", "h3"]);
    let ix = world.accept(job("req-1", 1, json!({})), 0.7);
    let planned = ["h1", "h2", "h3"].into_iter().find(|m| world.held(m).is_some()).expect("a planned start");
    let lists = ["h1", "h2", "h3"].into_iter().find(|m| *m != planned).expect("another machine");
    world.hear(&report(lists, 3, &[("req-1/0", EARLIER_ATTEMPT, "running")]), 1.2);
    let gone = world.index(planned);
    world.shard.on_deleted(&[gone]);
    world.tick_until(1.3, 2.0);
    assert_eq!(world.shard.jobs[ix].tasks[0], TaskSlot::Assigned(world.index(lists)));
}

/// incarnation-takes-all: with its incarnation all that a machine listed has ended, and occupies nothing.
#[test]
fn what_an_earlier_incarnation_listed_occupies_nothing() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    let both = [("req-1/0", attempt, "running"), ("req-1/0", EARLIER_ATTEMPT, "running")];
    world.hear(&report("h1", 3, &both), 1.0);
    world.hear(&report_of("h1", (2, 9), TOKEN, &[]), 3.0);
    world.tick_until(3.1, 4.0);
    let held = world.held("h1").map(|h| h.attempt);
    assert!(held.is_some_and(|a| a != EARLIER_ATTEMPT && a != attempt), "started anew: {held:?}");
    assert_eq!(world.shard.teams[1].cpus_used, 2.0);
}

/// gone-ends-orphans: the same for a machine whose deletion was confirmed.
#[test]
fn what_a_deleted_machine_listed_occupies_nothing() {
    let (mut world, _) = held_and_listed_again();
    let (h1, h2) = (world.index("h1"), world.index("h2"));
    world.shard.on_deleted(&[h2]);
    world.shard.on_deleted(&[h1]);
    world.hear(&report("h3", 1, &[]), 2.0);
    world.hear(&report("h3", 2, &[]), 2.5);
    world.tick_until(2.6, 3.0);
    assert!(world.held("h3").is_some());
}

/// record-names-listed: the next leader has to know that the machine may hold it.
#[test]
fn the_record_of_a_machine_names_what_it_lists_and_nobody_holds() {
    let (mut world, _) = held_and_listed_again();
    let h2 = world.index("h2");
    world.shard.request_record(h2);
    world.tick_until(1.7, 2.5);
    world.write(2.6);
    let named = |(key, (value, _)): (&String, &(serde_json::Value, u64))| {
        let record: MachineGroupRecord =
            serde_json::from_value(value.clone()).ok().filter(|_| key.starts_with(MACHINE_GROUP_PREFIX))?;
        record.machine_records().into_iter().find(|(machine, _)| machine == "h2").map(|(_, own)| own.jobs)
    };
    assert_eq!(world.keys.iter().find_map(named), Some(vec!["req-1".to_owned()]));
}

/// later-job-is-occupied: a machine listed tasks of a job before anybody here knew the job.
#[test]
fn a_job_that_comes_after_the_heartbeat_that_lists_its_task_is_occupied() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &["req-9"], false);
    world.take_over(100.0);
    hear_running(&mut world, "h1", 5, "req-9/0", EARLIER_ATTEMPT, 100.1);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    world.accept(job("req-9", 1, json!({})), 100.3);
    world.tick_until(100.4, 101.0);
    assert!(world.held("h2").is_none());
    assert_eq!(world.held("h1").map(|h| h.attempt), Some(EARLIER_ATTEMPT));
}

/// later-job-is-shadowed: a silent machine's record named a job before anybody here knew the job.
#[test]
fn a_job_that_comes_after_the_record_that_names_it_waits_for_the_machine() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &["req-9"], false);
    world.take_over(100.0);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    world.accept(job("req-9", 1, json!({})), 100.3);
    world.tick_until(100.4, 101.0);
    assert!(world.held("h2").is_none(), "h1 may hold it");
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 101.1);
    world.tick_until(101.2, 102.0);
    assert!(world.held("h1").is_some() || world.held("h2").is_some(), "h1 holds nothing");
}

/// record-keeps-unknown: the leader after this one may know the job that this one does not.
#[test]
fn the_record_of_a_silent_machine_goes_on_naming_jobs_that_are_unknown_here() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &["req-9"], false);
    world.take_over(100.0);
    let h1 = world.index("h1");
    world.shard.request_record(h1);
    world.tick_until(100.1, 101.0);
    world.write(101.0);
    let value = &world.keys[&format!("{MACHINE_GROUP_PREFIX}0")].0;
    assert_eq!(value["jobs"], json!(["req-9"]));
}

/// later-job-is-held-back: machines of a type that is not known here may hold tasks of a job that comes later.
#[test]
fn a_job_that_comes_after_a_record_of_an_unknown_type_waits_for_a_lease() {
    let mut world = World::new();
    let machine = json!({"machine": "h1", "jobs": [0]});
    let value =
        json!({"shard": 0, "type": "gone", "zone": "a", "spot": false, "jobs": ["req-9"], "machines": [machine]});
    world.stored(&format!("{MACHINE_GROUP_PREFIX}0"), value);
    world.take_over(100.0);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.2);
    world.accept(job("req-9", 1, json!({})), 100.3);
    world.tick_until(100.4, 101.0);
    assert!(world.held("h2").is_none());
    for s in 1..=22u32 {
        let now = 100.0 + f64::from(s);
        world.hear(&report_of("h2", (1, 5 + u64::from(s)), NEXT_TOKEN, &[]), now);
        world.shard.request_placement();
        world.tick_until(now + 0.1, now + 0.9);
    }
    assert!(world.held("h2").is_some());
}

/// start-occupied: the last look before a start.
#[test]
fn a_start_of_a_task_that_a_machine_lists_is_forbidden() {
    let (mut world, _) = held_and_listed_again();
    let key = TaskKey::new(world.shard.jobs.find("req-1").expect("a job"), 0);
    world.shard.jobs[key.job].tasks[0] = TaskSlot::Queued;
    let h1 = world.index("h1");
    assert_eq!(world.shard.may_start(h1, key), Err(StartRefusal::Occupied));
}

/// start-needs-met: nothing starts of a job whose needs are open or unread.
#[test]
fn a_start_of_a_job_whose_need_was_not_read_is_forbidden() {
    let mut world = successor_with_an_unread_need();
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 100.2);
    let key = TaskKey::new(world.shard.jobs.find("req-2").expect("a job"), 0);
    let h1 = world.index("h1");
    assert_eq!(world.shard.may_start(h1, key), Err(StartRefusal::DependenciesUnmet));
}

/// Bad input: one task with several attempts that run, on one machine.
#[test]
fn a_heartbeat_with_two_running_attempts_of_a_task_starts_nothing() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    let both = [("req-1/0", EARLIER_ATTEMPT, "running"), ("req-1/0", EARLIER_ATTEMPT + 1, "running")];
    let told = world.answer(&report_of("h1", (1, 5), NEXT_TOKEN, &both), 100.2);
    world.tick_until(100.3, 101.0);
    assert!(world.held("h2").is_none());
    assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/0"], "one of the two");
    let one = [("req-1/0", EARLIER_ATTEMPT, "stopped"), ("req-1/0", EARLIER_ATTEMPT + 1, "running")];
    world.hear(&report_of("h1", (1, 6), NEXT_TOKEN, &one), 101.1);
    world.tick_until(101.2, 102.0);
    assert!(world.held("h2").is_none(), "the other one runs on");
}

/// Bad input: a task number beyond the job's.
#[test]
fn a_heartbeat_with_a_task_that_its_job_does_not_have_starts_nothing() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
    let told = hear_running(&mut world, "h1", 5, "req-1/7", EARLIER_ATTEMPT, 100.1);
    world.tick_until(100.2, 101.0);
    assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/7"]);
    assert!(world.held("h1").is_none() && !world.machine("h1").is_reconciled(), "nobody knows what is on it");
}

/// Bad input: an attempt of a leader after this one, though nobody has heard of its token.
#[test]
fn an_attempt_of_a_later_token_occupies_its_task() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({"cpus": 20.0})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    hear_running(&mut world, "h1", 5, "req-1/0", LATER_ATTEMPT, 100.2);
    world.tick_until(100.3, 101.0);
    assert!(world.held("h2").is_none());
}

/// Bad input: the same task as another machine.
#[test]
fn a_task_that_another_machine_runs_is_stopped_and_counts() {
    let (mut world, _) = held_and_listed_again();
    assert_eq!(tasks(&direct_commands(&mut world, 1.7), CommandKind::Stop), ["req-1/0"]);
    assert_eq!(world.shard.teams[1].cpus_used, 4.0, "it takes room until its end is seen");
}

/// adopted-is-recorded: a machine that no record names runs a task of a known job.
#[test]
fn what_is_adopted_on_a_machine_without_a_record_is_recorded() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.take_over(100.0);
    hear_running(&mut world, "h1", 5, "req-1/0", EARLIER_ATTEMPT, 100.1);
    world.tick_until(100.2, 101.0);
    world.write(101.1);
    assert_eq!(world.keys[&format!("{MACHINE_GROUP_PREFIX}0")].0["jobs"], json!(["req-1"]));
}
