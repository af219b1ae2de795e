//! Teams' limits that are shared out among shards.

use lupinspur_model::scenario::Team;
use lupinspur_model::{Scenario, play};

/// Each of these left a job waiting before a job took its wait along from shard to shard, and a shard told of room
/// that none of its own work may use.
const SEEDS: [u64; 5] = [6, 13, 15, 19, 21];

/// More work comes than the teams' limits let run, and nothing goes wrong. What is left of a limit may stand in
/// the shares of several shards, in none of them enough for a task: no job may wait for that while its team is
/// below its limit and a machine has room.
#[test]
fn a_limit_in_shares_leaves_no_job_waiting() {
    let team = |name: &str| Team { name: name.into(), cpus: 12.0, cpus_max: 24.0 };
    let scenario = Scenario {
        cells: 3,
        most_machines: 24,
        room: false,
        job_every_s: 0.3,
        services_cpus: 16.0,
        teams: vec![team("red"), team("blue")],
        ..Scenario::default()
    };
    let broken: Vec<(u64, String)> =
        SEEDS.into_iter().filter_map(|seed| Some((seed, play(&scenario, seed, &[], None).broken?))).collect();
    assert!(broken.is_empty(), "{} of {} seeds: {broken:#?}", broken.len(), SEEDS.len());
}
