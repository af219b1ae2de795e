//! One shard beside others: jobs that go to another, and shares of a limit.

use crate::world::{World, world};
use lupinspur::jobs::Phase;
use lupinspur::shard::JobView;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer};

/// A job on its way to another shard is started by nobody until it is known whose it is: not here
/// while the write may still be applied, and never again once it is. A user hears nothing that
/// the other shard could contradict.
#[test]
fn a_job_that_goes_to_another_cell_is_started_by_one() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    w.event(0.1, "job", &["req-1", "cpus=8"]);
    w.event(0.1, "job", &["req-2", "cpus=8"]);
    let offered: Vec<_> = w.shard().spillable_jobs(5.0).iter().map(|x| (x.cpus, x.moves)).collect();
    assert_eq!(offered, [(8.0, 0), (8.0, 0)]);
    let (one, two) = (w.shard().jobs.find("req-1").expect("a job"), w.shard().jobs.find("req-2").expect("a job"));
    for j in [one, two] {
        let (record, _, _, takes) = w.shard().begin_move(j, ShardId(1)).expect("its record");
        assert_eq!((record.shard, record.moves, takes.cpus), (Some(1), 1, 8.0));
        assert_eq!(record.phase, Phase::Open);
    }
    assert!(w.shard().spillable_jobs(5.0).is_empty(), "offered once");
    // A machine comes up: there would be room now.
    for (now, seq) in [(5.1, "seq=1"), (5.6, "seq=2")] {
        w.event(now, "report", &["h1", seq, "token=10"]);
    }
    w.event(5.7, "write", &[]);
    let held = |w: &mut World, j| w.shard().jobs.get(j).map(|x| x.assigned);
    assert_eq!((held(&mut w, one), held(&mut w, two)), (Some(0), Some(0)));
    assert_eq!(w.shard().job_view("req-1"), Some(JobView::Committing));
    assert!(w.shard().cancel("req-1"), "it is cancelled by whoever has it then");
    // One is stored as the other shard's, the other write came to nothing.
    w.shard().on_job_moved("req-2", 6.0);
    w.shard().cancel_move("req-1");
    assert_eq!(w.shard().jobs.find("req-2"), None);
    w.event(6.1, "tick", &[]);
    w.event(6.1, "write", &[]);
    assert_eq!(held(&mut w, one), Some(1), "its cancellation is asked again, and finds it here");
}

/// A shard starts no more than its part of a team's limit, and nothing where it has none.
#[test]
fn a_cell_keeps_to_its_share_of_a_limit() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    let whole = w.settings.teams.clone();
    let limits = lupinspur::shard::team_limits_by_name(&whole);
    assert_eq!(limits.iter().map(|l| l.0.as_str()).collect::<Vec<_>>(), ["red"], "blue has no limit to part");
    let mut ledger = Ledger::new(&limits, 2, ShardId(1));
    w.shard().set_limit_shares(&whole, &ledger, ShardId(0));
    for (now, seq) in [(0.1, "seq=1"), (0.6, "seq=2")] {
        w.event(now, "report", &["h1", seq, "token=10"]);
    }
    w.event(0.7, "job", &["req-1", "team=red", "tasks=8", "cpus=4"]);
    let held = |w: &mut World| w.shard().jobs.list.iter().map(|(_, j)| j.assigned).sum::<u32>();
    assert_eq!(held(&mut w), 0, "a part of nothing is not the absence of a limit");
    let gift = QuotaTransfer { team: "red".into(), from: ShardId(1), to: ShardId(0), amount: Amount::new(12.0, 0.0) };
    ledger = ledger.apply(&[gift]).expect("its own");
    w.shard().set_limit_shares(&whole, &ledger, ShardId(0));
    w.event(0.8, "tick", &[]);
    assert_eq!(held(&mut w), 3);
    let (team, used) = w.shard().limit_usage().into_iter().next().expect("a team");
    assert_eq!((team.as_str(), used.cpus), ("red", 12.0));
}
