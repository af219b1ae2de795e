//! Named combinations of faults at exact times around a change of leader, with several seeds, with one shard and with
//! three. Each test asserts that its runs show the combination. `MEETING_SEEDS` sets the number of seeds.

mod evidence;
mod takeover;

use evidence::mostly;
use lupinspur_model::{FaultKind, InjectedFault, LEADER, SAME_LEADER, Scenario, Work};
use takeover::{at, deployment, machines, no_rule_is_broken, no_rule_is_broken_in, with};

/// Longer than a machine's lease.
const PAST_A_LEASE_S: f64 = 25.0;

/// Transactions are executed after newer ones of the same controller, and the leader changes meanwhile.
#[test]
fn late_transactions_across_a_change_of_leader() {
    let late = at(18.0, FaultKind::WritesDelayed, 0, 30.0);
    let ends =
        [at(24.0, FaultKind::ControllerRestarts, LEADER, 20.0), at(36.0, FaultKind::LeaderStepsDown, LEADER, 1.0)];
    let cancels = at(24.0, FaultKind::CancelServices, 0, 8.0);
    let evidence = mostly(signs![failovers >= 2, overtaken_transactions_applied >= 1]);
    no_rule_is_broken(&with(vec![late, cancels], ends), evidence);
}

/// Only responses are lost, while users poll every controller and other controllers therefore read the written keys.
#[test]
fn lost_answers_while_others_read_across_a_change_of_leader() {
    let lost = at(18.0, FaultKind::WriteResponsesLost, 0, 30.0);
    let asks = at(15.0, FaultKind::PollAfterEvents, 0, 40.0);
    let faults = [
        lost,
        asks,
        at(24.0, FaultKind::CancelServices, 0, 10.0),
        at(30.0, FaultKind::ControllerRestarts, LEADER, 20.0),
    ];
    let evidence = mostly(signs![
        failovers >= 1,
        applied_transactions_without_response >= 5,
        reads_of_transactions_without_response >= 1,
    ]);
    no_rule_is_broken(&faults, evidence);
}

#[test]
fn slow_state_across_changes_of_leader() {
    let slow = at(15.0, FaultKind::SlowStateService, 0, 40.0);
    let ends = (0..3).map(|n| at(20.0 + 9.0 * f64::from(n), FaultKind::ControllerRestarts, LEADER, 15.0));
    let evidence = mostly(signs![failovers >= 1, slow_responses >= 10]).sometimes(signs![failovers >= 2]);
    no_rule_is_broken(&with(vec![slow, at(20.5, FaultKind::CancelServices, 0, 20.0)], ends), evidence);
}

/// Ten changes of leader in two minutes.
fn ten_changes() -> Vec<InjectedFault> {
    let change = |n: u32| {
        let kind =
            [FaultKind::ControllerRestarts, FaultKind::LeaderStepsDown, FaultKind::StateServiceRefuses][n as usize % 3];
        at(12.0 + 11.0 * f64::from(n), kind, LEADER, 8.0)
    };
    (0..10).map(change).collect()
}

#[test]
fn ten_changes_of_leader_in_two_minutes() {
    let evidence = mostly(signs![failovers >= 10, failovers_by_former_leader >= 1]);
    no_rule_is_broken(&with(ten_changes(), [at(45.0, FaultKind::CancelServices, 0, 30.0)]), evidence);
}

#[test]
fn ten_changes_of_leader_inside_an_outage() {
    let outage = at(50.0, FaultKind::StateServiceOutage, 0, 40.0);
    let evidence = mostly(signs![failovers >= 6]).sometimes(signs![cancellations_open_at_outage >= 1]);
    no_rule_is_broken(&with(ten_changes(), [at(48.0, FaultKind::CancelServices, 0, 10.0), outage]), evidence);
}

/// Leadership passes to another controller and returns, while jobs are cancelled.
#[test]
fn work_changes_hands_and_comes_back_while_jobs_are_cancelled() {
    let hands = [20.0, 26.0, 32.0, 38.0].map(|t| at(t, FaultKind::LeaderStepsDown, LEADER, 1.0));
    let cancels = [20.0, 32.2].map(|t| at(t, FaultKind::CancelServices, 0, 3.0));
    let evidence = mostly(signs![failovers_from_live_leader >= 4, failovers_by_former_leader >= 1])
        .sometimes(signs![cancellations_at_failover >= 1]);
    no_rule_is_broken(&with(hands.to_vec(), cancels), evidence);
}

#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    let cancels = at(29.0, FaultKind::CancelServices, 0, 1.0);
    let evidence = mostly(signs![longest_without_leader_s >= 20.0, cancellations_at_failover >= 1]);
    no_rule_is_broken(&[cancels, at(30.0, FaultKind::AllControllersDown, 0, PAST_A_LEASE_S)], evidence);
}

#[test]
fn all_controllers_end_and_one_is_back_within_a_second() {
    let cancels = at(29.5, FaultKind::CancelServices, 0, 2.0);
    let late = at(25.0, FaultKind::WritesDelayed, 0, 15.0);
    let evidence = mostly(signs![failovers >= 1, overtaken_transactions >= 1])
        .sometimes(signs![overtaken_transactions_applied >= 1, reads_of_transactions_without_response >= 1]);
    no_rule_is_broken(&[cancels, late, at(30.0, FaultKind::AllControllersRestart, LEADER, PAST_A_LEASE_S)], evidence);
}

/// All controllers end while replies of the next leader to machines with long tasks are lost.
#[test]
fn all_controllers_end_while_replies_to_machines_are_lost() {
    let replies_lost = machines(28.0, FaultKind::HeartbeatRepliesLost, 12.0);
    let evidence = mostly(signs![unreachable_machines_at_failover >= 2, heartbeat_replies_lost >= 5]);
    no_rule_is_broken(&with(vec![at(30.0, FaultKind::AllControllersRestart, LEADER, 10.0)], replies_lost), evidence);
}

/// A zone with its workers and the leader is partitioned for longer than a lease; jobs are cancelled meanwhile.
#[test]
fn zone_cut_off_with_the_leader_for_longer_than_a_lease() {
    let cut = at(25.0, FaultKind::ZoneAndControllerPartitioned, LEADER, PAST_A_LEASE_S + 10.0);
    let evidence = mostly(signs![
        failovers_from_live_leader >= 1,
        heartbeats_answered_inside_partitioned_zone >= 5,
        cancellations_beside_isolated_leader >= 1,
    ])
    .sometimes(signs![cancellations_with_unreachable_machine >= 1]);
    no_rule_is_broken(&[cut, at(31.0, FaultKind::CancelServices, 0, 4.0)], evidence);
}

#[test]
fn zone_cut_off_with_a_controller_that_does_not_lead() {
    let cuts = (0..3).map(|n| at(25.0 + 4.0 * n as f64, FaultKind::ZoneAndControllerPartitioned, n, PAST_A_LEASE_S));
    let faults = with(vec![at(31.0, FaultKind::CancelServices, 0, 4.0)], cuts.take(2));
    let evidence = mostly(signs![cancellations_with_unreachable_machine >= 1, unreachable_machines_at_failover >= 1])
        .sometimes(signs![heartbeats_answered_inside_partitioned_zone >= 5]);
    no_rule_is_broken(&faults, evidence);
}

/// The leader loses the state service and the other controllers while workers and users still reach it, and jobs are
/// cancelled through the next leader.
#[test]
fn leader_without_state_and_peers_while_jobs_are_cancelled() {
    let alone = at(30.0, FaultKind::ControllerLosesStateAndPeers, LEADER, PAST_A_LEASE_S + 15.0);
    let evidence = mostly(signs![
        failovers_from_live_leader >= 1,
        heartbeats_answered_without_state_service >= 9,
        cancellations_beside_isolated_leader >= 1,
    ]);
    no_rule_is_broken(&[alone, at(34.0, FaultKind::CancelServices, 0, 3.0)], evidence);
}

/// Direct commands of a leader that has ended arrive after those of the next.
#[test]
fn late_commands_of_a_former_leader() {
    let late = at(20.0, FaultKind::CommandsDelayed, 0, 20.0);
    let faults =
        [late, at(27.0, FaultKind::ControllerRestarts, LEADER, 10.0), at(26.5, FaultKind::CancelServices, 0, 3.0)];
    let evidence = mostly(signs![late_commands_refused >= 1, late_commands_executed >= 1])
        .sometimes(signs![late_commands_of_former_leader >= 1, late_commands_after_cancellation >= 1]);
    no_rule_is_broken(&faults, evidence);
}

/// Delayed heartbeats reach every controller while a new leader begins.
#[test]
fn late_heartbeats_reach_a_new_leader() {
    let copies = at(5.0, FaultKind::HeartbeatsDuplicated, 0, 40.0);
    let faults =
        [copies, at(25.0, FaultKind::ControllerRestarts, LEADER, 10.0), at(24.8, FaultKind::CancelServices, 0, 2.0)];
    let evidence = mostly(signs![failovers >= 1, overtaken_heartbeats >= 20])
        .sometimes(signs![duplicate_heartbeats_to_new_leader >= 1]);
    no_rule_is_broken(&faults, evidence);
}

/// Delayed heartbeats reach a new leader while the machines that sent them are partitioned. Tasks that began there
/// after the heartbeats were sent are not in them. Two of three zones are partitioned, so that the leader declares none
/// of the machines lost before its lease ends.
#[test]
fn late_heartbeats_of_machines_that_are_cut_off() {
    let copies = at(1.0, FaultKind::HeartbeatCopiesForNextLeader, 0, 8.0);
    let cut = [0, 1].map(|zone| at(19.0, FaultKind::ZonePartitioned, zone, 18.0));
    let faults = with(vec![copies, at(20.0, FaultKind::ControllerRestarts, LEADER, 40.0)], cut);
    let evidence =
        mostly(signs![failovers >= 1, duplicate_heartbeats_to_new_leader >= 5, unreachable_machines_at_failover >= 3]);
    for cells in [1, 3] {
        let many_long_tasks =
            Scenario { work: Work::Long, jobs_for_s: 25.0, job_every_s: 0.5, room: false, ..deployment(cells) };
        no_rule_is_broken_in(&many_long_tasks, &faults, evidence);
    }
}

/// New machines get tasks at once while writes are delayed, and the leader ends.
#[test]
fn new_machines_beside_lagging_writes_and_the_leader_ends() {
    let late = at(3.0, FaultKind::WritesDelayed, 0, 40.0);
    let ends = [12.0, 20.0, 28.0].map(|t| at(t, FaultKind::ControllerRestarts, LEADER, 10.0));
    let boots = at(0.0, FaultKind::FastBoots, 0, 60.0);
    let evidence = mostly(signs![failovers >= 2, starts_on_fast_boots_during_lag >= 1, overtaken_transactions >= 1])
        .sometimes(signs![overtaken_transactions_applied >= 1]);
    for cells in [1, 3] {
        let few = Scenario { machines: 3, job_every_s: 0.8, ..deployment(cells) };
        no_rule_is_broken_in(&few, &with(vec![late, boots], ends), evidence);
    }
}

/// Leadership passes on and returns, then all controllers end, and one is back within a second.
#[test]
fn hands_over_and_back_then_all_end_and_one_returns() {
    let hands = |times: &[f64]| times.iter().map(|t| at(*t, FaultKind::LeaderStepsDown, LEADER, 1.0)).collect();
    let all_end = |t| {
        [
            at(t - 1.0, FaultKind::CancelServices, 0, 2.0),
            at(t, FaultKind::AllControllersRestart, SAME_LEADER, PAST_A_LEASE_S),
        ]
    };
    let back = mostly(signs![failovers >= 4, failovers_from_live_leader >= 3, failovers_by_former_leader >= 1]);
    no_rule_is_broken(&with(hands(&[20.0, 26.0, 32.0, 38.0]), all_end(43.0)), back);
    let on_its_way = mostly(signs![failovers >= 2, failovers_from_live_leader >= 1]);
    no_rule_is_broken(&with(hands(&[20.0, 26.0]), all_end(29.0)), on_its_way);
}

/// The leader ends while a zone with tasks cannot be reached.
#[test]
fn leader_ends_while_a_zone_cannot_be_reached() {
    let cut = at(28.0, FaultKind::ZonePartitioned, 0, 15.0);
    let evidence = mostly(signs![unreachable_machines_at_failover >= 1, cancellations_with_unreachable_machine >= 1]);
    no_rule_is_broken(
        &[cut, at(30.0, FaultKind::ControllerRestarts, LEADER, 50.0), at(31.0, FaultKind::CancelServices, 0, 4.0)],
        evidence,
    );
}

/// Every team is at its limit and machines hang while their jobs are cancelled, just before the leader ends and while
/// there is no leader.
#[test]
fn teams_at_their_limits_while_machines_hang_and_the_leader_changes() {
    let hangs = (0..4).map(|m| at(28.0, FaultKind::MachineHangs, m, 15.0));
    let ends = at(30.0, FaultKind::ControllerRestarts, LEADER, 50.0);
    let evidence = mostly(signs![
        cancellations_at_limit >= 1,
        cancellations_with_hanging_machine >= 1,
        unreachable_machines_at_failover >= 1,
    ]);
    let in_the_change = evidence.sometimes(signs![teams_at_limit_at_failover >= 1]);
    for (cells, cancelled_at, job_every_s, evidence) in
        [(1, 29.0, 0.6, evidence), (3, 29.0, 0.6, evidence), (1, 30.5, 0.6, in_the_change), (3, 30.5, 0.6, evidence)]
    {
        let mut scenario = Scenario { room: false, job_every_s, services_cpus: 16.0, ..deployment(cells) };
        scenario.teams.iter_mut().for_each(|t| (t.cpus, t.cpus_max) = (12.0, 24.0));
        let cancels = at(cancelled_at, FaultKind::CancelServices, 0, 1.0);
        no_rule_is_broken_in(&scenario, &with(vec![ends, cancels], hangs.clone()), evidence);
    }
}

/// The leader pauses with a lease renewal in flight, and the state service refuses it from then on. The renewal counts
/// from the time at which it was sent, so that the leader must not act when it reads the response.
#[test]
fn leader_pauses_with_a_renewal_under_way_while_the_next_confirms_cancellations() {
    let faults = [
        at(26.0, FaultKind::SlowStateService, 0, 4.0),
        at(30.0, FaultKind::ControllerPauses, LEADER, 16.0),
        at(30.0, FaultKind::StateServiceRefuses, SAME_LEADER, 40.0),
        at(37.0, FaultKind::CancelServices, 0, 3.0),
    ];
    let evidence = mostly(signs![election_responses_during_pause >= 1, cancellations_beside_isolated_leader >= 1]);
    no_rule_is_broken(&faults, evidence);
}

/// The leader's transactions are executed after newer ones of its own. Then it ends while a zone is partitioned, so
/// that its successor knows the tasks there only from the stored records.
#[test]
fn late_transactions_then_the_leader_ends_while_a_zone_is_cut_off() {
    let late = at(5.0, FaultKind::WritesDelayed, 0, 50.0);
    let meets = |t: f64, zone| {
        [at(t, FaultKind::ZonePartitioned, zone, 15.0), at(t + 1.0, FaultKind::ControllerRestarts, LEADER, 10.0)]
    };
    let faults = [meets(14.0, 0), meets(30.0, 1), meets(46.0, 0)].concat();
    let evidence = mostly(signs![overtaken_transactions_applied >= 1, unreachable_machines_at_failover >= 2]);
    no_rule_is_broken(&with(faults, [late]), evidence);
}

/// The only controller pauses with its campaign in flight, for longer than its lease. The response to the campaign
/// arrives after that to a renewal which reports that the lease is gone. The controller has to campaign again.
#[test]
fn a_controller_alone_pauses_with_its_claim_under_way() {
    let scenario = Scenario { controllers: 1, ..deployment(1) };
    let all_end = at(30.0, FaultKind::AllControllersRestart, 0, 1.0);
    let slow = at(29.0, FaultKind::SlowStateService, 0, 4.0);
    let pause = at(32.3, FaultKind::ControllerPauses, 0, 8.0);
    let evidence = mostly(signs![failovers >= 1, election_responses_during_pause >= 1]);
    no_rule_is_broken_in(&scenario, &[all_end, slow, pause], evidence);
}
