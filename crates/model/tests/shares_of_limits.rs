//! Team limits that are split into shares of several shards.

use lupinspur_model::scenario::Team;
use lupinspur_model::{Scenario, play};

/// Each of these seeds left a job waiting before two corrections: a job that moves to another shard keeps the wait that
/// it has accumulated, and a shard publishes the free capacity that none of its own jobs may use.
const SEEDS: [u64; 5] = [6, 13, 15, 19, 21];

/// More jobs are submitted than the limits of the teams allow, without any fault. The remainder of a limit may be
/// spread over the shares of several shards, with none of them enough for a task. Even then no job may be left waiting
/// while its team is below its limit and a machine has free capacity.
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
