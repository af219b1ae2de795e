//! The state service refuses only the leader, and then is down for all controllers for longer than a cancellation may
//! take, while jobs are cancelled. Each test asserts that its runs show the combination. `MEETING_SEEDS` sets the
//! number of seeds.

mod evidence;
mod takeover;

use evidence::{Evidence, mostly};
use lupinspur_model::{FaultKind, InjectedFault, LEADER, SAME_LEADER, WrongDecision};
use takeover::{at, broken, deployment, machines, no_rule_is_broken, runs, with};

/// Longer than a cancellation may take.
const LONG_OUTAGE_S: f64 = 55.0;

/// The state service refuses only the leader; the next leader confirms cancellations; then the state service is down
/// for all controllers, for longer than a cancellation may take.
fn refused_then_down() -> Vec<InjectedFault> {
    vec![
        at(30.0, FaultKind::StateServiceRefuses, LEADER, 14.0 + LONG_OUTAGE_S),
        at(34.6, FaultKind::CancelServices, 0, 0.2),
        at(37.0, FaultKind::StateServiceOutage, 0, LONG_OUTAGE_S),
    ]
}

/// Jobs are cancelled through the next leader while the former one runs on, and then the outage begins.
const REFUSED_THEN_DOWN: Evidence =
    mostly(signs![failovers >= 1, cancellations_beside_isolated_leader >= 1, cancellations_before_outage >= 1,]);

#[test]
fn leader_refused_then_outage_after_confirmed_cancellations() {
    no_rule_is_broken(
        &refused_then_down(),
        REFUSED_THEN_DOWN.sometimes(signs![heartbeats_answered_without_state_service >= 9]),
    );
}

#[test]
fn leader_refused_then_outage_with_its_zone_cut_off() {
    let cut = at(30.0, FaultKind::ZoneAndControllerPartitioned, SAME_LEADER, LONG_OUTAGE_S);
    let evidence = REFUSED_THEN_DOWN.sometimes(signs![
        heartbeats_answered_inside_partitioned_zone >= 5,
        cancellations_with_unreachable_machine >= 1,
    ]);
    no_rule_is_broken(&with(refused_then_down(), [cut]), evidence);
}

#[test]
fn leader_refused_then_outage_while_it_stands_still() {
    let still = at(32.0, FaultKind::ControllerPauses, SAME_LEADER, 8.0);
    no_rule_is_broken(&with(refused_then_down(), [still]), REFUSED_THEN_DOWN);
}

#[test]
fn leader_refused_then_outage_while_it_restarts() {
    let ends = at(36.0, FaultKind::ControllerRestarts, SAME_LEADER, 2.0);
    no_rule_is_broken(&with(refused_then_down(), [ends]), REFUSED_THEN_DOWN);
}

#[test]
fn leader_refused_then_outage_while_machines_hang_and_go_on() {
    let evidence = REFUSED_THEN_DOWN.sometimes(signs![cancellations_with_hanging_machine >= 2]);
    no_rule_is_broken(&with(refused_then_down(), machines(34.0, FaultKind::MachineHangs, 15.0)), evidence);
}

#[test]
fn leader_refused_then_outage_while_pushed_commands_are_lost() {
    let only_answers = machines(30.0, FaultKind::CommandsLost, LONG_OUTAGE_S + 10.0);
    let evidence = REFUSED_THEN_DOWN.sometimes(signs![unreachable_machines_at_failover >= 2]);
    no_rule_is_broken(&with(refused_then_down(), only_answers), evidence);
}

#[test]
fn leader_refused_then_outage_while_heartbeat_replies_are_lost() {
    let only_commands = machines(30.0, FaultKind::HeartbeatRepliesLost, LONG_OUTAGE_S + 10.0);
    let evidence =
        REFUSED_THEN_DOWN.sometimes(signs![unreachable_machines_at_failover >= 2, heartbeat_replies_lost >= 50]);
    no_rule_is_broken(&with(refused_then_down(), only_commands), evidence);
}

/// A leader that acts past its lease keeps the tasks of cancelled jobs in its zone running, and reports them as running
/// to users who reach it. Checked with one shard and with three.
#[test]
fn a_leader_that_acts_past_its_lease_is_seen() {
    let cut = at(30.0, FaultKind::ZoneAndControllerPartitioned, SAME_LEADER, LONG_OUTAGE_S);
    let out_of_reach = with(refused_then_down(), [cut]);
    let only_answers = machines(30.0, FaultKind::CommandsLost, LONG_OUTAGE_S + 10.0);
    let in_reach = with(refused_then_down(), only_answers);
    for cells in [1, 3] {
        for (faults, rule) in [(&out_of_reach, "ran_cancelled"), (&in_reach, "went_back")] {
            let broken = broken(&runs(&deployment(cells), faults, Some(WrongDecision::ActsPastLease)));
            assert!(broken.iter().any(|b| b.contains(rule)), "{rule} over {cells} cells: {broken:#?}");
        }
    }
}

/// The state service is slow, then refuses only the leader, then is down for all, while users cancel jobs.
#[test]
fn slow_state_then_leader_refused_then_outage() {
    let slow = at(15.0, FaultKind::SlowStateService, 0, 30.0);
    let evidence = mostly(signs![
        failovers >= 1,
        slow_responses >= 10,
        cancellations_beside_isolated_leader >= 1,
        cancellations_open_at_outage >= 1,
    ]);
    no_rule_is_broken(&with(refused_then_down(), [slow]), evidence);
}

/// Jobs are cancelled when the state service begins to refuse the leader, a second before the outage.
#[test]
fn cancelled_as_the_leader_is_refused_a_second_before_the_outage() {
    let refused = at(30.0, FaultKind::StateServiceRefuses, LEADER, 14.0);
    let faults = [
        refused,
        at(29.7, FaultKind::CancelServices, 0, 0.6),
        at(31.0, FaultKind::StateServiceOutage, 0, LONG_OUTAGE_S),
    ];
    let evidence = mostly(signs![
        cancellations_before_outage >= 1,
        cancellations_open_at_outage >= 1,
        heartbeats_answered_without_state_service >= 9,
    ]);
    no_rule_is_broken(&faults, evidence);
}

/// The same while responses of the state service are lost, so that the leader does not know which writes were applied.
#[test]
fn cancelled_with_lost_answers_as_the_leader_is_refused_before_the_outage() {
    let lost = at(28.0, FaultKind::WriteResponsesLost, 0, 4.0);
    let faults = [
        lost,
        at(29.0, FaultKind::CancelServices, 0, 1.0),
        at(30.0, FaultKind::StateServiceRefuses, LEADER, 14.0),
        at(32.0, FaultKind::StateServiceOutage, 0, LONG_OUTAGE_S),
    ];
    let evidence = mostly(signs![
        applied_transactions_without_response >= 1,
        cancellations_before_outage >= 1,
        cancellations_open_at_outage >= 1,
    ]);
    no_rule_is_broken(&faults, evidence);
}
