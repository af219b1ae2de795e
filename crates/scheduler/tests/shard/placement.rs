//! Constraints on the machines that a task may be placed on.

use crate::harness::{MACHINE_MEMORY_GB, ShardHarness, TEAM_ACCELERATOR_LIMIT, TEAM_CPU_LIMIT, heartbeat, job};
use serde_json::{Value, json};

/// Name, type and zone of each machine, and whether it is a spot machine.
const MACHINES: [(&str, &str, &str, bool); 4] =
    [("m-a", "m32", "a", false), ("n-a", "n32", "a", false), ("m-b", "m32", "b", false), ("s-a", "m32", "a", true)];

/// Returns the machine of each placed task of a job, if all of [`MACHINES`] are available and empty.
fn placed(tasks: u32, changes: Value) -> Vec<&'static str> {
    let mut harness = ShardHarness::new();
    for (counter, now) in [(1, 0.1), (2, 0.6)] {
        for (name, type_name, zone, spot) in MACHINES {
            let mut heartbeat_of_machine = heartbeat(name, counter, &[]);
            (heartbeat_of_machine["strain"], heartbeat_of_machine["field"], heartbeat_of_machine["fallow"]) =
                (json!(type_name), json!(zone), json!(spot));
            harness.receive_heartbeat(&heartbeat_of_machine, now);
        }
    }
    harness.accept_job(job("req-1", tasks, changes), 0.7);
    harness.tick_until(0.8, 2.0);
    let machine_per_task = |name: &'static str| harness.machine(name).assignments.keys().map(move |_| name);
    MACHINES.iter().flat_map(|machine| machine_per_task(machine.0)).collect()
}

/// CPUs of a task that fills any of the four machines.
const WHOLE_MACHINE_CPUS: f64 = 32.0;

/// Guard `allowed-kind`: spot machines can be reclaimed at any time.
#[test]
fn a_job_that_may_not_use_spot_machines_does_not() {
    assert_eq!(placed(4, json!({"cpus": WHOLE_MACHINE_CPUS, "fallow": false})), ["m-a", "n-a", "m-b"]);
}

/// Guard `allowed-type`: a job may name the machine types that it can run on.
#[test]
fn a_job_goes_on_allowed_types_only() {
    assert_eq!(placed(4, json!({"cpus": WHOLE_MACHINE_CPUS, "strains": ["n32"]})), ["n-a"]);
}

/// Guard `allowed-zone`: a job may name the only zone that it can run in.
#[test]
fn a_job_goes_in_its_zone_only() {
    assert_eq!(placed(4, json!({"cpus": WHOLE_MACHINE_CPUS, "field": "b"})), ["m-b"]);
}

/// Guard `one-zone`: a job may require all its tasks in the same zone.
#[test]
fn all_tasks_of_a_one_zone_job_are_in_one_zone() {
    let mut zones: Vec<char> = placed(4, json!({"cpus": WHOLE_MACHINE_CPUS, "same_place": true}))
        .iter()
        .filter_map(|machine| machine.chars().last())
        .collect();
    zones.dedup();
    assert_eq!(zones.len(), 1, "all tasks must be in one zone: {zones:?}");
}

/// Guard `spread-zones`: a zone holds at most half of the tasks of a spread job, rounded up.
#[test]
fn at_most_half_of_a_spread_job_is_in_one_zone() {
    let placed = placed(3, json!({"cpus": WHOLE_MACHINE_CPUS, "scatter": true}));
    assert_eq!(placed.len(), 3);
    assert_eq!(placed.iter().filter(|machine| machine.ends_with('a')).count(), 2, "tasks in zone a: {placed:?}");
}

/// Guard `limit-cpus`: the tasks of a team use at most the team's limit of CPUs.
#[test]
fn a_team_stays_within_its_limit() {
    assert_eq!(placed(8, json!({"cpus": TEAM_CPU_LIMIT / 2.0, "herd": "limited"})).len(), 2);
    assert_eq!(placed(8, json!({"cpus": TEAM_CPU_LIMIT / 2.0})).len(), 8, "the team free has no limit");
}

/// Guard `limit-cards`: the tasks of a team use at most the team's limit of accelerators.
#[test]
fn a_team_stays_within_its_limit_of_cards() {
    assert_eq!(placed(8, json!({"cards": TEAM_ACCELERATOR_LIMIT / 2.0, "herd": "few-cards"})).len(), 2);
    assert_eq!(placed(8, json!({"cards": TEAM_ACCELERATOR_LIMIT / 2.0})).len(), 8, "the team free has no limit");
}

/// Guards `fits-memory` and `fits-cards`: a worker refuses a start that doesn't fit, and the leader would place it
/// there again and again.
#[test]
fn a_machine_gets_no_more_than_fits_its_memory_and_cards() {
    assert_eq!(placed(12, json!({"memory_gb": MACHINE_MEMORY_GB / 2.0})).len(), 8);
    assert_eq!(placed(12, json!({"cards": TEAM_ACCELERATOR_LIMIT / 2.0})).len(), 8);
}
