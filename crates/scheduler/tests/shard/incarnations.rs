//! Late copies of heartbeats that a machine sent in earlier incarnations.

use crate::harness::{NEXT_TOKEN, ShardHarness, TOKEN, heartbeat_with_token, job};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::shard::HeartbeatOutcome;
use serde_json::json;

const OTHERS: [&str; 4] = ["h2", "h3", "h4", "h5"];

/// Delivers a heartbeat of every machine but h1.
fn receive_other_heartbeats(harness: &mut ShardHarness, now: f64) {
    for name in OTHERS {
        harness.receive_heartbeat(&heartbeat_with_token(name, (1, (now * 10.0) as u64), NEXT_TOKEN, &[]), now);
    }
}

/// Guard `copies-end-no-session`: late copies of heartbeats of two earlier incarnations reach a new leader just before
/// the first heartbeat of the current incarnation. Each earlier incarnation seems to have ended although the leader
/// replied to it, which is how a machine looks that receives no replies. But the heartbeats of neither span the time
/// that an incarnation lasts, so they must not count.
#[test]
fn copies_of_two_earlier_incarnations_do_not_make_a_machine_look_unreachable() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &[], false);
    harness.fail_over(100.0);
    receive_other_heartbeats(&mut harness, 100.1);
    for (incarnation, now) in [(1, 100.2), (2, 100.6)] {
        let outcome = harness.receive_heartbeat(&heartbeat_with_token("h1", (incarnation, 50), TOKEN, &[]), now);
        assert!(
            matches!(outcome, HeartbeatOutcome::Reply(_)),
            "the copy is the newest heartbeat that this leader has received: {outcome:?}"
        );
    }
    harness.receive_heartbeat(&heartbeat_with_token("h1", (3, 7), TOKEN, &[]), 101.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (3, 8), NEXT_TOKEN, &[]), 101.5);
    harness.accept_job(job("req-1", 5, json!({"cpus": 32.0})), 101.6);
    for second in 102..112_u32 {
        let now = f64::from(second);
        receive_other_heartbeats(&mut harness, now);
        harness.receive_heartbeat(&heartbeat_with_token("h1", (3, u64::from(second)), NEXT_TOKEN, &[]), now);
        harness.tick_until(now + 0.1, now + 0.9);
    }
    assert_eq!(
        harness.machine("h1").phase,
        MachinePhase::Up,
        "it has shown this leader's token, so it receives replies"
    );
    assert!(harness.first_assignment("h1").is_some(), "the job has a task for each of the five machines");
}

/// A machine that receives none of the replies to its heartbeats starts a new incarnation after each lease. It must get
/// no further tasks.
#[test]
fn a_machine_whose_incarnations_end_though_it_is_answered_gets_nothing_new() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    for second in 1..70_u32 {
        let now = f64::from(second);
        let incarnation = u64::from(1 + second / 21);
        harness.receive_heartbeat(&heartbeat_with_token("h1", (incarnation, 10 + u64::from(second)), TOKEN, &[]), now);
        harness.tick_until(now + 0.1, now + 0.9);
    }
    assert!(
        harness.machine("h1").command_path_in_doubt(),
        "three incarnations ended although every heartbeat got a reply"
    );
}
