//! Where two troubles meet, around a change of leader: each meeting by name, its troubles placed at exact
//! times, over several seeds, with one cell and with three.

use lupinspur_model::{Kind, OWNER, SAME_OWNER, Scenario, Trouble, Wrong, play};

/// Seeds of each meeting over one cell and over several; `MEETING_SEEDS` plays more.
const SEEDS: u64 = 4;
const SEEDS_OVER_CELLS: u64 = 2;
/// Longer than a cancellation may take.
const LONG_OUTAGE_S: f64 = 55.0;
/// Longer than a machine's lease.
const PAST_A_LEASE_S: f64 = 25.0;

fn seeds(cells: u32) -> u64 {
    let usual = if cells > 1 { SEEDS_OVER_CELLS } else { SEEDS };
    std::env::var("MEETING_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

/// Nine machines, with more of them to be had where the cells part them.
fn deployment(cells: u32) -> Scenario {
    Scenario { cells, most_machines: if cells > 1 { 24 } else { 80 }, ..Scenario::default() }
}

/// A trouble of a controller or of everything.
fn at(at: f64, kind: Kind, which: usize, for_s: f64) -> Trouble {
    Trouble { at, kind, which, for_s }
}

/// The same trouble for each of the machines that there are from the beginning.
fn machines(begins: f64, kind: Kind, for_s: f64) -> Vec<Trouble> {
    (0..deployment(1).machines).map(|m| at(begins, kind, m, for_s)).collect()
}

/// What was broken, seed by seed.
fn broken(scenario: &Scenario, troubles: &[Trouble], wrong: Option<Wrong>) -> Vec<String> {
    let of = |seed| Some(format!("seed {seed}: {}", play(scenario, seed, troubles, wrong).broken?));
    (0..seeds(scenario.cells)).filter_map(of).collect()
}

fn no_rule_is_broken_over(cells: u32, troubles: &[Trouble]) {
    let broken = broken(&deployment(cells), troubles, None);
    assert!(broken.is_empty(), "over {cells} cells: {broken:#?}");
}

fn no_rule_is_broken(troubles: &[Trouble]) {
    no_rule_is_broken_over(1, troubles);
    no_rule_is_broken_over(3, troubles);
}

/// The state service refuses the leader alone; the next leader confirms cancellations; then the state
/// service is down for all, for longer than a cancellation may take.
fn refused_then_down() -> Vec<Trouble> {
    vec![
        at(30.0, Kind::RefusedByState, OWNER, 14.0 + LONG_OUTAGE_S),
        at(34.6, Kind::CancelServices, 0, 0.2),
        at(37.0, Kind::Outage, 0, LONG_OUTAGE_S),
    ]
}

fn with(mut troubles: Vec<Trouble>, more: impl IntoIterator<Item = Trouble>) -> Vec<Trouble> {
    troubles.extend(more);
    troubles
}

#[test]
fn leader_refused_then_outage_after_confirmed_cancellations() {
    no_rule_is_broken(&refused_then_down());
}

#[test]
fn leader_refused_then_outage_with_its_zone_cut_off() {
    let cut = at(30.0, Kind::CutZoneWithController, SAME_OWNER, LONG_OUTAGE_S);
    no_rule_is_broken(&with(refused_then_down(), [cut]));
}

#[test]
fn leader_refused_then_outage_while_it_stands_still() {
    let still = at(32.0, Kind::StandsStill, SAME_OWNER, 8.0);
    no_rule_is_broken(&with(refused_then_down(), [still]));
}

#[test]
fn leader_refused_then_outage_while_it_restarts() {
    let ends = at(36.0, Kind::Ends, SAME_OWNER, 2.0);
    no_rule_is_broken(&with(refused_then_down(), [ends]));
}

#[test]
fn leader_refused_then_outage_while_machines_hang_and_go_on() {
    no_rule_is_broken(&with(refused_then_down(), machines(34.0, Kind::Hangs, 15.0)));
}

#[test]
fn leader_refused_then_outage_while_machines_hear_only_answers() {
    let only_answers = machines(30.0, Kind::DeafToCommands, LONG_OUTAGE_S + 10.0);
    no_rule_is_broken(&with(refused_then_down(), only_answers));
}

#[test]
fn leader_refused_then_outage_while_machines_hear_only_commands() {
    let only_commands = machines(30.0, Kind::DeafToAnswers, LONG_OUTAGE_S + 10.0);
    no_rule_is_broken(&with(refused_then_down(), only_commands));
}

/// An owner that acts past its lease keeps the tasks of cancelled jobs in its zone alive, and tells users
/// who reach it that they run; over one cell as over three.
#[test]
fn an_owner_that_acts_past_its_lease_is_seen() {
    let cut = at(30.0, Kind::CutZoneWithController, SAME_OWNER, LONG_OUTAGE_S);
    let out_of_reach = with(refused_then_down(), [cut]);
    let only_answers = machines(30.0, Kind::DeafToCommands, LONG_OUTAGE_S + 10.0);
    let in_reach = with(refused_then_down(), only_answers);
    for cells in [1, 3] {
        for (troubles, rule) in [(&out_of_reach, "ran_cancelled"), (&in_reach, "went_back")] {
            let broken = broken(&deployment(cells), troubles, Some(Wrong::ActsPastLease));
            assert!(broken.iter().any(|b| b.contains(rule)), "{rule} over {cells} cells: {broken:#?}");
        }
    }
}

/// Transactions are carried out after newer ones of the same controller, and the leader changes meanwhile.
#[test]
fn late_transactions_across_a_change_of_leader() {
    let late = at(18.0, Kind::LateWrites, 0, 30.0);
    let ends = [at(24.0, Kind::Ends, OWNER, 20.0), at(36.0, Kind::StepsDown, OWNER, 1.0)];
    let cancels = at(24.0, Kind::CancelServices, 0, 8.0);
    no_rule_is_broken(&with(vec![late, cancels], ends));
}

/// Only answers are lost, while other controllers read what was written.
#[test]
fn lost_answers_while_others_read_across_a_change_of_leader() {
    let lost = at(18.0, Kind::LostAnswers, 0, 30.0);
    let troubles = vec![lost, at(24.0, Kind::CancelServices, 0, 10.0), at(30.0, Kind::Ends, OWNER, 20.0)];
    no_rule_is_broken(&troubles);
}

/// The state service answers slowly, then refuses the leader alone, then everybody, while users cancel.
#[test]
fn slow_state_then_leader_refused_then_outage() {
    let slow = at(15.0, Kind::SlowState, 0, 30.0);
    no_rule_is_broken(&with(refused_then_down(), [slow]));
}

#[test]
fn slow_state_across_changes_of_leader() {
    let slow = at(15.0, Kind::SlowState, 0, 40.0);
    let ends = (0..3).map(|n| at(20.0 + 9.0 * f64::from(n), Kind::Ends, OWNER, 15.0));
    no_rule_is_broken(&with(vec![slow, at(20.5, Kind::CancelServices, 0, 20.0)], ends));
}

/// Ten changes of leader in two minutes.
fn ten_changes() -> Vec<Trouble> {
    let change = |n: u32| {
        let kind = [Kind::Ends, Kind::StepsDown, Kind::RefusedByState][n as usize % 3];
        at(12.0 + 11.0 * f64::from(n), kind, OWNER, 8.0)
    };
    (0..10).map(change).collect()
}

#[test]
fn ten_changes_of_leader_in_two_minutes() {
    no_rule_is_broken(&with(ten_changes(), [at(45.0, Kind::CancelServices, 0, 30.0)]));
}

#[test]
fn ten_changes_of_leader_inside_an_outage() {
    let outage = at(50.0, Kind::Outage, 0, 40.0);
    no_rule_is_broken(&with(ten_changes(), [at(48.0, Kind::CancelServices, 0, 10.0), outage]));
}

/// The work goes to another controller and comes back, while jobs are cancelled.
#[test]
fn work_changes_hands_and_comes_back_while_jobs_are_cancelled() {
    let hands = [20.0, 26.0, 32.0, 38.0].map(|t| at(t, Kind::StepsDown, OWNER, 1.0));
    let cancels = [20.0, 32.2].map(|t| at(t, Kind::CancelServices, 0, 3.0));
    no_rule_is_broken(&with(hands.to_vec(), cancels));
}

#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    let cancels = at(29.0, Kind::CancelServices, 0, 1.0);
    no_rule_is_broken(&[cancels, at(30.0, Kind::AllAway, 0, PAST_A_LEASE_S)]);
}

#[test]
fn all_controllers_end_and_one_is_back_within_a_second() {
    let cancels = at(29.5, Kind::CancelServices, 0, 2.0);
    let late = at(25.0, Kind::LateWrites, 0, 15.0);
    no_rule_is_broken(&[cancels, late, at(30.0, Kind::AllEnd, OWNER, PAST_A_LEASE_S)]);
}

/// All controllers end while machines that run long tasks hear no answer of the next leader.
#[test]
fn all_controllers_end_while_machines_hear_no_answers() {
    let deaf = machines(28.0, Kind::DeafToAnswers, 12.0);
    no_rule_is_broken(&with(vec![at(30.0, Kind::AllEnd, OWNER, 10.0)], deaf));
}

/// A zone with its workers and the leader is cut off for longer than a lease; jobs are cancelled meanwhile.
#[test]
fn zone_cut_off_with_the_leader_for_longer_than_a_lease() {
    let cut = at(25.0, Kind::CutZoneWithController, OWNER, PAST_A_LEASE_S + 10.0);
    no_rule_is_broken(&[cut, at(31.0, Kind::CancelServices, 0, 4.0)]);
}

#[test]
fn zone_cut_off_with_a_controller_that_does_not_lead() {
    let cuts = (0..3).map(|n| at(25.0 + 4.0 * n as f64, Kind::CutZoneWithController, n, PAST_A_LEASE_S));
    let troubles = with(vec![at(31.0, Kind::CancelServices, 0, 4.0)], cuts.take(2));
    no_rule_is_broken(&troubles);
}

/// The leader loses the state service and the other controllers while workers and users still reach it, and
/// jobs are cancelled through the next one.
#[test]
fn leader_without_state_and_peers_while_jobs_are_cancelled() {
    let alone = at(30.0, Kind::Alone, OWNER, PAST_A_LEASE_S + 15.0);
    no_rule_is_broken(&[alone, at(34.0, Kind::CancelServices, 0, 3.0)]);
}

/// Direct commands of a leader that has ended arrive after those of the next.
#[test]
fn late_commands_of_a_former_leader() {
    let late = at(20.0, Kind::LateCommands, 0, 20.0);
    let troubles = [late, at(27.0, Kind::Ends, OWNER, 10.0), at(26.5, Kind::CancelServices, 0, 3.0)];
    no_rule_is_broken(&troubles);
}

/// Reports of before reach every controller while a new leader begins.
#[test]
fn late_reports_reach_a_new_leader() {
    let copies = at(5.0, Kind::Copies, 0, 40.0);
    let troubles = [copies, at(25.0, Kind::Ends, OWNER, 10.0), at(24.8, Kind::CancelServices, 0, 2.0)];
    no_rule_is_broken(&troubles);
}

/// New machines get work at once while writes lag, and the leader ends.
#[test]
fn new_machines_beside_lagging_writes_and_the_leader_ends() {
    let late = at(3.0, Kind::LateWrites, 0, 40.0);
    let ends = [12.0, 20.0, 28.0].map(|t| at(t, Kind::Ends, OWNER, 10.0));
    let few = |cells| Scenario { machines: 3, ..deployment(cells) };
    for cells in [1, 3] {
        let broken = broken(&few(cells), &with(vec![late], ends), None);
        assert!(broken.is_empty(), "over {cells} cells: {broken:#?}");
    }
}

/// Jobs are cancelled at the moment at which the state service refuses the leader, a second before it is down.
#[test]
fn cancelled_as_the_leader_is_refused_a_second_before_the_outage() {
    let refused = at(30.0, Kind::RefusedByState, OWNER, 14.0);
    let troubles = [refused, at(29.7, Kind::CancelServices, 0, 0.6), at(31.0, Kind::Outage, 0, LONG_OUTAGE_S)];
    no_rule_is_broken(&troubles);
}

/// The same while answers of the state service are lost, so that the leader doesn't know what it stored.
#[test]
fn cancelled_with_lost_answers_as_the_leader_is_refused_before_the_outage() {
    let lost = at(28.0, Kind::LostAnswers, 0, 4.0);
    let troubles = [
        lost,
        at(29.0, Kind::CancelServices, 0, 1.0),
        at(30.0, Kind::RefusedByState, OWNER, 14.0),
        at(32.0, Kind::Outage, 0, LONG_OUTAGE_S),
    ];
    no_rule_is_broken(&troubles);
}

/// Work is handed over and back, then all controllers end, and one returns within a second.
#[test]
fn hands_over_and_back_then_all_end_and_one_returns() {
    let hands = [20.0, 26.0].map(|t| at(t, Kind::StepsDown, OWNER, 1.0));
    let ends = [at(28.0, Kind::CancelServices, 0, 2.0), at(29.0, Kind::AllEnd, SAME_OWNER, PAST_A_LEASE_S)];
    no_rule_is_broken(&with(hands.to_vec(), ends));
}

/// A leader ends while a zone's machines with long tasks cannot be reached.
#[test]
fn leader_ends_while_a_zone_cannot_be_reached() {
    let cut = at(28.0, Kind::CutZone, 0, 15.0);
    no_rule_is_broken(&[cut, at(30.0, Kind::Ends, OWNER, 50.0), at(31.0, Kind::CancelServices, 0, 4.0)]);
}

/// Every team is at its limit while jobs are cancelled whose machines hang, and the leader changes.
#[test]
fn teams_at_their_limits_while_machines_hang_and_the_leader_changes() {
    let hangs = (0..4).map(|m| at(28.0, Kind::Hangs, m, 15.0));
    let changes = [at(29.0, Kind::CancelServices, 0, 1.0), at(30.0, Kind::Ends, OWNER, 50.0)];
    let troubles = with(changes.to_vec(), hangs);
    for cells in [1, 3] {
        let mut scenario = Scenario { room: false, job_every_s: 0.6, services_cpus: 16.0, ..deployment(cells) };
        scenario.teams.iter_mut().for_each(|t| (t.cpus, t.cpus_max) = (12.0, 24.0));
        let broken = broken(&scenario, &troubles, None);
        assert!(broken.is_empty(), "over {cells} cells: {broken:#?}");
    }
}

/// The leader stands still with a renewal under way, and the state service refuses it from then on: the
/// renewal counts from when it was sent, so that the leader may not act when it reads the answer.
#[test]
fn leader_pauses_with_a_renewal_under_way_while_the_next_confirms_cancellations() {
    let troubles = [
        at(26.0, Kind::SlowState, 0, 4.0),
        at(30.0, Kind::StandsStill, OWNER, 16.0),
        at(30.0, Kind::RefusedByState, SAME_OWNER, 40.0),
        at(37.0, Kind::CancelServices, 0, 3.0),
    ];
    no_rule_is_broken(&troubles);
}

/// Transactions of the leader come after newer ones of its own; then it ends while a zone is cut off, so that
/// its successor knows only from what is stored what may run there.
#[test]
fn late_transactions_then_the_leader_ends_while_a_zone_is_cut_off() {
    let late = at(5.0, Kind::LateWrites, 0, 50.0);
    let meets = |t: f64, zone| [at(t, Kind::CutZone, zone, 15.0), at(t + 1.0, Kind::Ends, OWNER, 10.0)];
    let troubles = [meets(14.0, 0), meets(30.0, 1), meets(46.0, 0)].concat();
    no_rule_is_broken(&with(troubles, [late]));
}

/// A controller alone stands still with its claim under way, for longer than its lease: the claim's answer
/// comes after that of a renewal that tells the lease is gone. It has to claim anew.
#[test]
fn a_controller_alone_pauses_with_its_claim_under_way() {
    let scenario = Scenario { controllers: 1, ..deployment(1) };
    let all_end = at(30.0, Kind::AllEnd, 0, 1.0);
    let slow = at(29.0, Kind::SlowState, 0, 4.0);
    let pause = at(32.3, Kind::StandsStill, 0, 8.0);
    let broken = broken(&scenario, &[all_end, slow, pause], None);
    assert!(broken.is_empty(), "{broken:#?}");
}
