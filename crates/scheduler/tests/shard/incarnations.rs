//! Late copies of what a machine said in earlier incarnations.

use crate::world::{NEXT_TOKEN, TOKEN, World, job, report_of};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::shard::HeartbeatOutcome;
use serde_json::json;

const OTHERS: [&str; 4] = ["h2", "h3", "h4", "h5"];

/// Everybody but h1 reports.
fn others_report(world: &mut World, now: f64) {
    for name in OTHERS {
        world.hear(&report_of(name, (1, (now * 10.0) as u64), NEXT_TOKEN, &[]), now);
    }
}

/// copies-end-no-incarnation: copies of two earlier incarnations come to a new leader just before the machine itself. Each
/// incarnation seems to have ended though its reports were answered; yet none of them was heard for as long as an incarnation
/// lasts.
#[test]
fn copies_of_two_earlier_incarnations_do_not_make_a_machine_look_unreachable() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &[], false);
    world.take_over(100.0);
    others_report(&mut world, 100.1);
    for (incarnation, now) in [(1, 100.2), (2, 100.6)] {
        let heard = world.hear(&report_of("h1", (incarnation, 50), TOKEN, &[]), now);
        assert!(
            matches!(heard, HeartbeatOutcome::Reply(_)),
            "the copy is the newest that this owner has heard: {heard:?}"
        );
    }
    world.hear(&report_of("h1", (3, 7), TOKEN, &[]), 101.0);
    world.hear(&report_of("h1", (3, 8), NEXT_TOKEN, &[]), 101.5);
    world.accept(job("req-1", 5, json!({"cpus": 32.0})), 101.6);
    for second in 102..112_u32 {
        let now = f64::from(second);
        others_report(&mut world, now);
        world.hear(&report_of("h1", (3, u64::from(second)), NEXT_TOKEN, &[]), now);
        world.tick_until(now + 0.1, now + 0.9);
    }
    assert_eq!(world.machine("h1").phase, MachinePhase::Up, "it has shown our token, and hears us");
    assert!(world.held("h1").is_some(), "there is work for all five");
}

/// A machine whose answers are all lost goes from one incarnation to the next, a lease each, and gets nothing more.
#[test]
fn a_machine_whose_incarnations_end_though_it_is_answered_gets_nothing_new() {
    let mut world = World::with(&["h1"]);
    for second in 1..70_u32 {
        let now = f64::from(second);
        let incarnation = u64::from(1 + second / 21);
        world.hear(&report_of("h1", (incarnation, 10 + u64::from(second)), TOKEN, &[]), now);
        world.tick_until(now + 0.1, now + 0.9);
    }
    assert!(world.machine("h1").command_path_in_doubt(), "three sessions ended though every report was answered");
}
