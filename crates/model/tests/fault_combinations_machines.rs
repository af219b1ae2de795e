//! Fault combinations that involve machines, their heartbeats and users, with several seeds, with one shard and with
//! three. Each test asserts that its runs show the combination.
//! `MEETING_SEEDS=200 cargo test -p lupinspur-model --test fault_combinations_machines` runs more seeds of each.

mod evidence;

use evidence::{Evidence, mostly};
use fastrand::Rng;
use lupinspur_model::scenario::Team;
use lupinspur_model::{FAULT_KINDS, FaultKind, InjectedFault, Run, Scenario, USER_AND_MACHINE_FAULT_KINDS, Work, play};
use std::ops::Range;

const SEEDS: u64 = 12;
/// Runs at the same time.
const THREADS: u64 = 2;
/// Time of the first faults, in seconds.
const BEGINS_S: f64 = 20.0;

fn seeds() -> u64 {
    std::env::var("MEETING_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(SEEDS)
}

fn fault(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

/// Draws a change of leader: all controllers end at once, or one after the other ends or loses the state service.
/// It begins within `within_s` after `from`.
fn change_of_leader(rng: &mut Rng, from: f64, within_s: f64) -> Vec<InjectedFault> {
    let at = from + rng.f64() * within_s;
    match rng.u8(0..3) {
        0 => (0..3).map(|n| fault(at, FaultKind::ControllerRestarts, n, 10.0)).collect(),
        1 => (0..3).map(|n| fault(at + 1.5 * n as f64, FaultKind::ControllerRestarts, n, 40.0)).collect(),
        _ => (0..3).map(|n| fault(at + 7.0 * n as f64, FaultKind::ControllerLosesStateAndPeers, n, 7.0)).collect(),
    }
}

/// Draws faults of a kind for `count` different machines that begin within a second, and one duration for all of them.
fn machines(rng: &mut Rng, kind: FaultKind, count: usize, at: f64, for_s: Range<f64>) -> Vec<InjectedFault> {
    let for_s = for_s.start + rng.f64() * (for_s.end - for_s.start);
    let first = rng.usize(0..9);
    (0..count).map(|n| fault(at + rng.f64(), kind, first + n, for_s)).collect()
}

fn small(cells: u32) -> Scenario {
    let most_machines = if cells > 1 { 12 } else { 80 };
    Scenario { cells, most_machines, jobs_for_s: 45.0, ..Scenario::default() }
}

/// Both teams reach their limits.
fn at_limits(cells: u32) -> Scenario {
    let team = |name: &str, cpus| Team { name: name.into(), cpus, cpus_max: 2.0 * cpus };
    let teams = vec![team("red", 12.0), team("blue", 16.0)];
    Scenario { teams, job_every_s: 0.8, services_cpus: 16.0, room: false, work: Work::Long, ..small(cells) }
}

/// Runs the combination with one shard and with three, and returns all runs.
fn run_combination(
    scenario: fn(u32) -> Scenario,
    evidence: Evidence,
    faults: fn(&mut Rng) -> Vec<InjectedFault>,
) -> Vec<Run> {
    run_combination_with(&[1, 3], scenario, evidence, faults)
}

/// Runs the combination with each of these numbers of shards.
fn run_combination_with(
    cells: &[u32],
    scenario: fn(u32) -> Scenario,
    evidence: Evidence,
    faults: fn(&mut Rng) -> Vec<InjectedFault>,
) -> Vec<Run> {
    let run = |cells: u32, seed: u64| {
        let faults = faults(&mut Rng::with_seed(seed));
        (cells, faults.clone(), play(&scenario(cells), seed, &faults, None))
    };
    let cases: Vec<(u32, u64)> = cells.iter().flat_map(|c| (0..seeds()).map(move |s| (*c, s))).collect();
    let share = |t: u64| cases.iter().skip(t as usize).step_by(THREADS as usize).map(|(c, s)| run(*c, *s)).collect();
    let runs: Vec<(u32, Vec<InjectedFault>, Run)> = std::thread::scope(|s| {
        let all: Vec<_> = (0..THREADS).map(|t| s.spawn(move || -> Vec<_> { share(t) })).collect();
        all.into_iter().flat_map(|t| t.join().expect("a run")).collect()
    });
    let broken: Vec<String> = runs
        .iter()
        .filter_map(|(cells, faults, r)| {
            Some(format!("{cells} cells, seed {}: {}\n  {faults:?}", r.seed, r.broken.as_ref()?))
        })
        .collect();
    assert!(broken.is_empty(), "{} of {} runs violated a rule:\n{}", broken.len(), runs.len(), broken.join("\n"));
    for c in cells {
        let of_these = runs.iter().filter(|(cells, ..)| cells == c).map(|r| &r.2);
        evidence.assert_seen(of_these, &format!("over {c} cells"));
    }
    runs.into_iter().map(|r| r.2).collect()
}

/// Heartbeats of machines are lost while pushed commands arrive; jobs are cancelled, and the leader changes.
#[test]
fn lost_heartbeats_and_a_change_of_leader() {
    let evidence = mostly(signs![
        failovers >= 1,
        commands_to_machines_without_heartbeats >= 3,
        unreachable_machines_at_failover >= 1
    ]);
    let runs = run_combination(small, evidence, |rng| {
        let mut faults = machines(rng, FaultKind::HeartbeatsLost, 5, BEGINS_S, 4.0..44.0);
        faults.extend(change_of_leader(rng, BEGINS_S, 10.0));
        faults.push(fault(BEGINS_S + rng.f64() * 10.0, FaultKind::CancelRunningJobs, rng.usize(0..8), 0.0));
        faults
    });
    let claims: u64 = runs.iter().map(|r| r.counts.elections).sum();
    assert!(claims > 2 * runs.len() as u64, "leaders change");
}

/// Heartbeats of a whole zone are lost, and its machines run tasks that must not start elsewhere meanwhile.
#[test]
fn lost_heartbeats_of_a_zone_and_a_change_of_leader() {
    let evidence = mostly(signs![
        failovers >= 1,
        commands_to_machines_without_heartbeats >= 3,
        unreachable_machines_at_failover >= 1
    ]);
    run_combination(small, evidence, |rng| {
        let zone = rng.usize(0..3);
        let mut faults = vec![fault(BEGINS_S, FaultKind::ZoneHeartbeatsLost, zone, 10.0 + rng.f64() * 30.0)];
        faults.extend(change_of_leader(rng, BEGINS_S, 15.0));
        faults
    });
}

/// Duplicated heartbeats reach every controller just as a new leader begins, some of them of an earlier incarnation or
/// attempt.
#[test]
fn copies_of_heartbeats_for_the_next_leader() {
    let evidence = mostly(signs![
        failovers >= 2,
        duplicate_heartbeats_to_new_leader >= 5,
        overtaken_heartbeats >= 5,
        heartbeats_of_earlier_incarnation >= 1
    ]);
    run_combination(small, evidence, |rng| {
        let mut faults = vec![fault(BEGINS_S - 10.0, FaultKind::HeartbeatCopiesForNextLeader, 0, 40.0)];
        let at = BEGINS_S + rng.f64() * 5.0;
        faults.extend(machines(rng, FaultKind::MachineRestarts, 4, at, 0.0..0.0));
        faults.extend(machines(rng, FaultKind::HeartbeatRepliesLost, 3, at, 25.0..25.0));
        faults.extend(change_of_leader(rng, at, 5.0));
        faults.extend(change_of_leader(rng, at + 20.0, 5.0));
        faults
    });
}

/// Heartbeats of an earlier incarnation or attempt arrive late, by some seconds up to more than a lease; machines are
/// lost and return in the meantime.
#[test]
fn old_heartbeats_after_newer_ones() {
    let evidence = mostly(signs![failovers >= 1, overtaken_heartbeats >= 5, heartbeats_of_earlier_incarnation >= 1]);
    run_combination(small, evidence, |rng| {
        let mut faults = vec![fault(BEGINS_S - 10.0, FaultKind::HeartbeatsDuplicated, 0, 50.0)];
        faults.extend(machines(rng, FaultKind::MachineRestarts, 5, BEGINS_S, 0.0..0.0));
        faults.extend(machines(rng, FaultKind::RepliesAndCommandsLost, 3, BEGINS_S, 30.0..30.0));
        faults.extend(machines(rng, FaultKind::TasksFail, 2, BEGINS_S + 5.0, 15.0..15.0));
        faults.extend(change_of_leader(rng, BEGINS_S, 30.0));
        faults
    });
}

/// Jobs are cancelled at the end of their last task, while users poll every controller, without other faults.
#[test]
fn cancellations_at_the_end_of_the_last_task() {
    let evidence = mostly(signs![
        cancellations_at_last_end >= 1,
        polls_answered_after_events >= 100,
        resubmissions_answered_after_events >= 100
    ]);
    let runs = run_combination(small, evidence, |_| {
        vec![fault(0.0, FaultKind::CancelEndingJobs, 0, 60.0), fault(0.0, FaultKind::PollAfterEvents, 0, 60.0)]
    });
    assert!(runs.iter().any(|r| r.done > 0) && runs.iter().any(|r| r.cancelled > 0));
}

/// The same while responses to commits are lost and the leader changes.
#[test]
fn cancellations_at_the_end_and_lost_answers() {
    let evidence =
        mostly(signs![failovers >= 1, cancellations_at_last_end >= 1, applied_transactions_without_response >= 1])
            .sometimes(signs![reads_of_transactions_without_response >= 1]);
    run_combination(small, evidence, |rng| {
        let mut faults = vec![
            fault(0.0, FaultKind::CancelEndingJobs, 0, 70.0),
            fault(0.0, FaultKind::PollAfterEvents, 0, 70.0),
            fault(BEGINS_S - 5.0, FaultKind::UnreliableCommits, 0, 30.0),
        ];
        faults.extend(change_of_leader(rng, BEGINS_S, 10.0));
        faults
    });
}

/// Jobs are cancelled within a second of a change of leader; their machines hang and resume within their leases.
#[test]
fn cancellations_in_the_second_of_a_change_of_leader_with_hanging_machines() {
    let evidence =
        mostly(signs![failovers >= 1, cancellations_with_hanging_machine >= 1, unreachable_machines_at_failover >= 1])
            .sometimes(signs![cancellations_at_failover >= 1, late_commands_after_cancellation >= 1]);
    let runs = run_combination(small, evidence, |rng| {
        let at = BEGINS_S + rng.f64() * 10.0;
        let mut faults = change_of_leader(rng, at, 0.0);
        for _ in 0..3 {
            let hang_s = 2.0 + rng.f64() * 20.0;
            faults.push(fault(at - 0.5 + rng.f64() * 1.5, FaultKind::CancelRunningJobs, rng.usize(0..8), hang_s));
        }
        faults
    });
    assert!(runs.iter().any(|r| r.cancelled > 10));
}

/// Users poll every controller at once, repeat the submission and cancel, while leaders change and responses are lost.
#[test]
fn users_ask_every_controller_while_leaders_change() {
    let evidence = mostly(signs![
        failovers >= 2,
        polls_answered_after_events >= 100,
        resubmissions_answered_after_events >= 100,
        applied_transactions_without_response >= 1
    ])
    .sometimes(signs![reads_of_transactions_without_response >= 1]);
    run_combination(small, evidence, |rng| {
        let mut faults = vec![fault(0.0, FaultKind::PollAfterEvents, 0, 70.0)];
        faults.extend(change_of_leader(rng, BEGINS_S, 5.0));
        faults.extend(change_of_leader(rng, BEGINS_S + 15.0, 5.0));
        faults.push(fault(BEGINS_S + rng.f64() * 10.0, FaultKind::UnreliableCommits, 0, 20.0));
        faults
    });
}

/// Invalid requests: jobs that cannot run or lack a field, repeated submissions, cancellations of jobs that are done.
#[test]
fn invalid_requests_while_leaders_change() {
    let evidence = mostly(signs![failovers >= 1, invalid_requests >= 50]);
    run_combination(small, evidence, |rng| {
        let mut faults =
            vec![fault(0.0, FaultKind::InvalidRequests, 0, 70.0), fault(0.0, FaultKind::PollAfterEvents, 0, 70.0)];
        faults.extend(change_of_leader(rng, BEGINS_S, 20.0));
        faults.push(fault(BEGINS_S + rng.f64() * 20.0, FaultKind::StateServiceOutage, 0, 10.0));
        faults
    });
}

/// New machines are up within two seconds and get tasks at once while writes are delayed, and the leader ends.
#[test]
fn fast_boots_beside_lagging_writes() {
    let scenario = |cells| Scenario { machines: 3, job_every_s: 0.8, ..small(cells) };
    let evidence =
        mostly(signs![failovers >= 1, starts_on_fast_boots_during_lag >= 1, overtaken_transactions_applied >= 1]);
    run_combination(scenario, evidence, |rng| {
        let mut faults = vec![
            fault(0.0, FaultKind::FastBoots, 0, 60.0),
            fault(2.0, FaultKind::UnreliableCommits, 0, 40.0),
            fault(2.0, FaultKind::CommandsDelayed, 0, 30.0),
        ];
        faults.extend(change_of_leader(rng, 4.0, 15.0));
        faults.extend(machines(rng, FaultKind::MachineHangs, 3, 10.0, 5.0..20.0));
        faults
    });
}

/// Jobs restricted to one zone, services and arrays, lose machines.
#[test]
fn one_zone_jobs_lose_machines() {
    let scenario = |cells| Scenario { work: Work::OneZone, ..small(cells) };
    let evidence = mostly(signs![failovers >= 1, one_zone_jobs_losing_machine >= 1]);
    run_combination(scenario, evidence, |rng| {
        let mut faults = machines(rng, FaultKind::MachineDies, 3, BEGINS_S, 0.0..0.0);
        faults.extend(machines(rng, FaultKind::MachineRestarts, 3, BEGINS_S + 3.0, 0.0..0.0));
        faults.push(fault(
            BEGINS_S + rng.f64() * 5.0,
            FaultKind::ZonePartitioned,
            rng.usize(0..3),
            10.0 + rng.f64() * 20.0,
        ));
        faults.extend(change_of_leader(rng, BEGINS_S, 15.0));
        faults
    });
}

/// There is more work than capacity, the network is slow, and the leader changes.
fn more_work_than_room(cells: u32) {
    let scenario = |cells| {
        let teams = vec![
            Team { name: "red".into(), cpus: 40.0, cpus_max: 120.0 },
            Team { name: "blue".into(), cpus: 0.0, cpus_max: 0.0 },
        ];
        Scenario { machines: 6, most_machines: 6, job_every_s: 0.4, room: false, teams, ..small(cells) }
    };
    let evidence = mostly(signs![failovers >= 1, waiting_jobs_at_failover >= 5]);
    run_combination_with(&[cells], scenario, evidence, |rng| {
        let mut faults = vec![fault(0.0, FaultKind::SlowNetwork, 0, 60.0)];
        faults.extend(change_of_leader(rng, BEGINS_S, 10.0));
        faults.push(fault(BEGINS_S + rng.f64() * 20.0, FaultKind::CancelRunningJobs, 7, 10.0));
        faults
    });
}

#[test]
fn more_work_than_room_over_slow_links() {
    more_work_than_room(1);
}

#[test]
fn more_work_than_room_over_slow_links_and_cells() {
    more_work_than_room(3);
}

/// Jobs of two or three tasks end far apart across changes of leader.
#[test]
fn few_tasks_end_far_apart_across_changes_of_leader() {
    let scenario = |cells| Scenario { work: Work::FewTasks, ..small(cells) };
    let evidence = mostly(signs![failovers >= 2, jobs_ending_across_failover >= 3]);
    let runs = run_combination(scenario, evidence, |rng| {
        let mut faults = vec![fault(0.0, FaultKind::PollAfterEvents, 0, 80.0)];
        faults.extend(change_of_leader(rng, BEGINS_S, 0.0));
        faults.extend(change_of_leader(rng, BEGINS_S + 25.0, 5.0));
        faults.extend(machines(rng, FaultKind::MachineRestarts, 2, BEGINS_S + 10.0, 0.0..0.0));
        faults.push(fault(BEGINS_S, FaultKind::UnreliableCommits, 0, 40.0));
        faults
    });
    assert!(runs.iter().any(|r| r.done > 10));
}

/// Four jobs of one task are submitted per second, and a quarter of them is cancelled.
#[test]
fn one_task_jobs_four_a_second() {
    let scenario = |cells| {
        let (work, jobs_for_s) = (Work::OneTask, 40.0);
        Scenario { work, jobs_for_s, job_every_s: 0.25, cancelled: 0.25, ..small(cells) }
    };
    let evidence =
        mostly(signs![failovers >= 1, cancellations_at_last_end >= 1, applied_transactions_without_response >= 1]);
    let runs = run_combination(scenario, evidence, |rng| {
        let mut faults =
            vec![fault(0.0, FaultKind::CancelEndingJobs, 0, 20.0), fault(0.0, FaultKind::PollAfterEvents, 0, 30.0)];
        faults.push(fault(5.0, FaultKind::UnreliableCommits, 0, 20.0));
        faults.extend(change_of_leader(rng, BEGINS_S, 10.0));
        faults
    });
    assert!(runs.iter().all(|r| r.jobs > 100), "four a second");
}

/// Every team is at its limit while jobs on partitioned or hanging machines are cancelled, and the leader changes.
#[test]
fn every_team_at_its_limit_while_machines_are_cut_off_and_the_leader_changes() {
    let evidence = mostly(signs![
        teams_at_limit_at_failover >= 2,
        cancellations_at_limit >= 1,
        cancellations_with_hanging_machine >= 1,
        unreachable_machines_at_failover >= 1
    ]);
    let runs = run_combination(at_limits, evidence, |rng| {
        let at = BEGINS_S + rng.f64() * 10.0;
        let mut faults = change_of_leader(rng, at, 0.0);
        faults.push(fault(at - 1.0, FaultKind::CancelRunningJobs, 7, 5.0 + rng.f64() * 14.0));
        faults.push(fault(at - 2.0, FaultKind::ZonePartitioned, rng.usize(0..3), 5.0 + rng.f64() * 25.0));
        faults.push(fault(at + 1.0, FaultKind::CancelRunningJobs, 3, 10.0));
        faults
    });
    assert!(runs.iter().any(|r| r.cancelled > 5));
}

/// Pushed commands are delayed for seconds and executed late, also those of a leader that has been replaced since.
#[test]
fn late_commands_of_a_deposed_leader() {
    let evidence = mostly(signs![
        late_commands_of_former_leader >= 1,
        late_commands_refused >= 1,
        late_commands_executed >= 1,
        late_commands_after_cancellation >= 1
    ]);
    let runs = run_combination(small, evidence, |rng| {
        let mut faults = vec![fault(BEGINS_S - 10.0, FaultKind::CommandsDelayed, 0, 45.0)];
        faults.extend(machines(rng, FaultKind::HeartbeatRepliesLost, 4, BEGINS_S, 15.0..15.0));
        faults.extend(change_of_leader(rng, BEGINS_S, 10.0));
        faults.push(fault(BEGINS_S + rng.f64() * 15.0, FaultKind::CancelRunningJobs, 7, 6.0));
        faults
    });
    assert!(runs.iter().any(|r| r.cancelled > 5));
}

/// Machines with long tasks cannot be reached, or do not get the new leader's replies, when the leader ends.
#[test]
fn long_tasks_on_machines_that_the_new_leader_does_not_reach() {
    // With one shard there is capacity for all jobs at once. Twelve machines split among three shards have too little
    // for that many tasks of a minute: jobs may have to wait for others, but not while a machine has free capacity.
    let scenario = |cells| {
        let teams = vec![
            Team { name: "red".into(), cpus: 16.0, cpus_max: if cells > 1 { 64.0 } else { 320.0 } },
            Team { name: "blue".into(), cpus: 0.0, cpus_max: 0.0 },
        ];
        Scenario { work: Work::Long, jobs_for_s: 25.0, room: cells == 1, teams, ..small(cells) }
    };
    let evidence = mostly(signs![unreachable_machines_at_failover >= 2, heartbeat_replies_lost >= 3]);
    run_combination(scenario, evidence, |rng| {
        let at = BEGINS_S + rng.f64() * 5.0;
        let mut faults = change_of_leader(rng, at, 0.0);
        faults.extend(machines(rng, FaultKind::HeartbeatRepliesLost, 3, at - 1.0, 10.0..35.0));
        faults.extend(machines(rng, FaultKind::CommandsLost, 3, at - 1.0, 10.0..35.0));
        faults.extend(machines(rng, FaultKind::MachineHangs, 3, at - 1.0, 5.0..25.0));
        faults
    });
}

/// Two to five faults of any kind within seconds of a change of leader.
#[test]
fn random_faults_around_a_change_of_leader() {
    let evidence = mostly(signs![failovers >= 1]);
    run_combination(small, evidence, |rng| {
        let at = BEGINS_S + rng.f64() * 10.0;
        let mut faults = change_of_leader(rng, at, 0.0);
        for _ in 0..rng.usize(2..6) {
            let kind = rng.usize(0..FAULT_KINDS.len() + USER_AND_MACHINE_FAULT_KINDS.len());
            let kind = *FAULT_KINDS.iter().chain(&USER_AND_MACHINE_FAULT_KINDS).nth(kind).expect("a kind");
            let begins = at - 4.0 + rng.f64() * 8.0;
            faults.push(fault(begins, kind, rng.usize(0..64), 0.2 + rng.f64() * 30.0));
        }
        faults
    });
}
