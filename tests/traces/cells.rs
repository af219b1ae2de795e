//! One shard of several: jobs that move to another shard, and quota shares.

use crate::world::{World, world};
use lupinspur::jobs::Phase;
use lupinspur::shard::JobView;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer};

/// Guards against a job that two shards start. While the write that moves a job to another shard may still be applied,
/// this shard doesn't start the job, and once it is applied, it never does. Until then it reports no state of the job,
/// since the other shard could report a different one.
#[test]
fn a_job_that_goes_to_another_cell_is_started_by_one() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    world.event(0.1, "job", &["req-1", "cpus=8"]);
    world.event(0.1, "job", &["req-2", "cpus=8"]);
    let spillable: Vec<_> = world.shard().spillable_jobs(5.0).iter().map(|job| (job.cpus, job.moves)).collect();
    assert_eq!(spillable, [(8.0, 0), (8.0, 0)]);
    let (one, two) =
        (world.shard().jobs.find("req-1").expect("a job"), world.shard().jobs.find("req-2").expect("a job"));
    for job in [one, two] {
        let (record, _, _, demand) = world.shard().begin_move(job, ShardId(1)).expect("its record");
        assert_eq!((record.shard, record.moves, demand.cpus), (Some(1), 1, 8.0));
        assert_eq!(record.phase, Phase::Open);
    }
    assert!(world.shard().spillable_jobs(5.0).is_empty(), "a job whose move has begun is not spillable again");
    // A machine becomes ready, so that this shard has free capacity.
    for (now, seq) in [(5.1, "seq=1"), (5.6, "seq=2")] {
        world.event(now, "report", &["h1", seq, "token=10"]);
    }
    world.event(5.7, "write", &[]);
    let assigned = |world: &mut World, job| world.shard().jobs.get(job).map(|job| job.assigned);
    assert_eq!((assigned(&mut world, one), assigned(&mut world, two)), (Some(0), Some(0)));
    assert_eq!(world.shard().job_view("req-1"), Some(JobView::Committing));
    assert!(world.shard().cancel("req-1"), "the cancellation applies in the shard that gets the job");
    // The move of req-2 is stored, that of req-1 failed.
    world.shard().on_job_moved("req-2", 6.0);
    world.shard().cancel_move("req-1");
    assert_eq!(world.shard().jobs.find("req-2"), None);
    world.event(6.1, "tick", &[]);
    world.event(6.1, "write", &[]);
    assert_eq!(
        assigned(&mut world, one),
        Some(1),
        "the job stays in this shard, where a repeated cancellation finds it"
    );
}

/// Guards against exceeding a team's limit across shards: a shard starts no more than its quota share allows, and
/// nothing if its share is zero.
#[test]
fn a_cell_keeps_to_its_share_of_a_limit() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    let teams = world.settings.teams.clone();
    let limits = lupinspur::shard::team_limits_by_name(&teams);
    assert_eq!(
        limits.iter().map(|(team, _)| team.as_str()).collect::<Vec<_>>(),
        ["red"],
        "blue has no limit to divide among shards"
    );
    let mut ledger = Ledger::new(&limits, 2, ShardId(1));
    world.shard().set_limit_shares(&teams, &ledger, ShardId(0));
    for (now, seq) in [(0.1, "seq=1"), (0.6, "seq=2")] {
        world.event(now, "report", &["h1", seq, "token=10"]);
    }
    world.event(0.7, "job", &["req-1", "team=red", "tasks=8", "cpus=4"]);
    let assigned = |world: &mut World| world.shard().jobs.list.iter().map(|(_, job)| job.assigned).sum::<u32>();
    assert_eq!(assigned(&mut world), 0, "a share of zero is a limit of zero, not the absence of a limit");
    let transfer =
        QuotaTransfer { team: "red".into(), from: ShardId(1), to: ShardId(0), amount: Amount::new(12.0, 0.0) };
    ledger = ledger.apply(&[transfer]).expect("the transfer is within the shard's share");
    world.shard().set_limit_shares(&teams, &ledger, ShardId(0));
    world.event(0.8, "tick", &[]);
    assert_eq!(assigned(&mut world), 3);
    let (team, used) = world.shard().limit_usage().into_iter().next().expect("a team");
    assert_eq!((team.as_str(), used.cpus), ("red", 12.0));
}
