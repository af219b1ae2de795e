//! What was decided is looked at once more before it is done.

use crate::world::{TOKEN, World, job, report, report_of};
use lupinspur_scheduler::jobs::TaskKey;
use lupinspur_scheduler::shard::{OutdatedPush, PushOutcome, PushRequest, StartRefusal};
use lupinspur_scheduler::wire::CommandKind;
use serde_json::json;

/// A start that is about to be sent.
fn about_to_start(world: &mut World) -> PushRequest {
    world.started("h1", "req-1", 0.7);
    let send = world.direct(0.8).pop().expect("a start is sent directly");
    assert_eq!(world.shard.check_push_still_valid(&send), Ok(()));
    send
}

fn starts(world: &mut World, now: f64) -> usize {
    world.direct(now).iter().flat_map(|d| &d.body.commands).filter(|c| c.kind == CommandKind::Start).count()
}

/// incarnation-when-sent: the machine has begun another incarnation while the connection was opened.
#[test]
fn commands_for_an_incarnation_that_is_over_are_withheld() {
    let mut world = World::with(&["h1"]);
    let send = about_to_start(&mut world);
    world.hear(&report_of("h1", (2, 1), TOKEN, &[]), 1.0);
    assert_eq!(world.shard.check_push_still_valid(&send), Err(OutdatedPush::IncarnationOver { then: 1, now: 2 }));
    world.shard.on_push_outcome(&send, PushOutcome::Withheld, 1.1);
    assert_eq!(world.shard.counts.withheld, 1);
    world.tick_until(1.2, 1.8);
    world.write(1.9);
    assert_eq!(starts(&mut world, 2.0), 1, "it is decided anew, for the session that there is");
}

/// start-wanted-when-sent: the job was cancelled while the connection was opened.
#[test]
fn a_start_that_was_withdrawn_is_withheld() {
    let mut world = World::with(&["h1"]);
    let send = about_to_start(&mut world);
    world.shard.cancel("req-1");
    assert!(matches!(world.shard.check_push_still_valid(&send), Err(OutdatedPush::StartWithdrawn { .. })));
    world.shard.on_push_outcome(&send, PushOutcome::Withheld, 1.0);
    assert_eq!(starts(&mut world, 1.1), 0, "and not sent again");
    world.hear(&report("h1", 3, &[]), 1.2);
    assert!(world.held("h1").is_none(), "it never left: the machine's next report settles that");
}

/// machine-when-sent: the machine is being returned by then.
#[test]
fn commands_to_a_machine_that_is_given_up_are_withheld() {
    let mut world = World::with(&["h1"]);
    let send = about_to_start(&mut world);
    world.tick_until(1.0, 60.0);
    assert_eq!(world.shard.check_push_still_valid(&send), Err(OutdatedPush::MachineUnavailable));
}

/// start-may-be-made: the last look before a task is held.
#[test]
fn a_start_that_breaks_a_rule_is_not_made() {
    let mut world = World::with(&["h1", "h2"]);
    let j = world.accept(job("req-1", 2, json!({"cpus": 32.0})), 0.7);
    let h1 = world.index("h1");
    assert_eq!(world.shard.may_start(h1, TaskKey::new(j, 0)), Err(StartRefusal::NotQueued), "it is held by a machine");
    let waits = world.accept(job("req-2", 1, json!({"cpus": 32.0})), 0.8);
    assert_eq!(world.shard.may_start(h1, TaskKey::new(waits, 0)), Ok(()));
    world.shard.cancel("req-2");
    assert_eq!(world.shard.may_start(h1, TaskKey::new(waits, 0)), Err(StartRefusal::JobOver));
    let also_waits = world.accept(job("req-3", 1, json!({"cpus": 32.0})), 0.9);
    world.hear(&report_of("h1", (1, 3), TOKEN - 1, &[]), 1.0);
    assert_eq!(world.shard.may_start(h1, TaskKey::new(also_waits, 0)), Err(StartRefusal::MachineNotReconciled));
    world.stored_rack(0, "h9", &["req-3"], false);
    world.take_over(2.0);
    let found = world.shard.jobs.find("req-3").expect("a job");
    let h9 = world.index("h9");
    assert_eq!(world.shard.may_start(h9, TaskKey::new(found, 0)), Err(StartRefusal::MayRunElsewhere));
    assert_eq!(world.shard.counts.forbidden, 0, "nothing of this was tried");
}
