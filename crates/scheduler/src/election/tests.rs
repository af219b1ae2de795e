//! Tests of leader election: leases and leadership records.

use super::*;

fn record(node: &str, nonce: &str) -> LeadershipRecord {
    LeadershipRecord::new(node, nonce)
}

fn next(election: &LeaderElection, now: f64) -> ElectionStep {
    election.next_step(now, 1_000_000 + (now * 1000.0) as u64, true, 0.0)
}

/// Guards against a lease that is counted from the response to its renewal instead of the sending of it.
#[test]
fn a_lease_counts_from_the_sending_of_its_renewal() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.observe_record(None, 0.0);
    assert_eq!(next(&election, 0.0), ElectionStep::AcquireLease);
    election.lease_renewed(7, 1.0);
    assert_eq!(next(&election, 1.0), ElectionStep::Campaign { lease: 7, over: 0 });
    election.prepare_campaign(7, 0);
    assert!(election.elected(12));
    assert_eq!(election.valid_token(6.6), Some(12));
    assert_eq!(election.valid_token(6.75), None, "the response may have come late");
    election.lease_renewed(7, 9.0);
    assert_eq!(election.valid_token(9.1), Some(12), "after an outage the same lease and token stay valid");
}

#[test]
fn the_record_of_an_earlier_process_is_replaced_but_not_that_of_another_controller() {
    let mut election = LeaderElection::new(record("a", "2"), 6.0);
    election.lease_renewed(8, 0.0);
    election.observe_record(Some(ObservedRecord { record: record("b", "1"), version: 5 }), 0.0);
    assert_eq!(next(&election, 0.0), ElectionStep::Wait);
    election.observe_record(Some(ObservedRecord { record: record("a", "1"), version: 6 }), 0.0);
    assert_eq!(next(&election, 0.0), ElectionStep::Campaign { lease: 8, over: 6 });
}

#[test]
fn after_stepping_down_others_go_first() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.lease_renewed(8, 0.0);
    election.observe_record(None, 0.0);
    election.prepare_campaign(8, 0);
    assert!(election.elected(3));
    assert_eq!(election.step_down(10.0), Some(8));
    election.observe_record(None, 10.1);
    assert_eq!(next(&election, 11.0), ElectionStep::Wait);
    assert_eq!(next(&election, 14.2), ElectionStep::AcquireLease, "no other controller became the leader");
}

#[test]
fn a_record_whose_write_got_no_response_is_adopted() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.lease_renewed(8, 0.0);
    election.observe_record(None, 0.0);
    election.prepare_campaign(8, 0);
    election.observe_record(Some(ObservedRecord { record: record("a", "1"), version: 4 }), 1.0);
    assert_eq!(next(&election, 1.0), ElectionStep::AdoptOwnRecord { version: 4 });
    election.lease_lost();
    assert_eq!(next(&election, 1.0), ElectionStep::Wait, "the record ends with its lease");
}

/// Guards against a controller with a token and no lease, which neither acts nor campaigns again. After a
/// pause of all controllers, the response to the campaign came after that to the renewal, which said that
/// the lease didn't exist any more.
#[test]
fn a_campaign_whose_lease_ended_before_its_response_came_is_repeated() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.lease_renewed(8, 0.0);
    election.observe_record(None, 0.0);
    election.prepare_campaign(8, 0);
    assert!(election.lease_expired(8));
    assert!(!election.elected(4), "the record ended with its lease");
    assert_eq!(next(&election, 0.1), ElectionStep::AcquireLease);
    election.lease_renewed(9, 0.1);
    assert!(!election.lease_expired(8), "the response is about the previous lease");
    assert!(!election.elected(5), "no campaign was sent with the new lease");
    election.prepare_campaign(9, 0);
    assert!(election.elected(6));
    assert_eq!(election.valid_token(0.2), Some(6));
}

/// A controller waits before it campaigns, so that it doesn't become the leader of all shards without one.
#[test]
fn a_campaign_waits_for_the_campaign_delay() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.observe_record(None, 10.0);
    assert_eq!(election.next_step(10.5, 0, true, 0.6), ElectionStep::Wait);
    assert_eq!(election.next_step(10.7, 0, true, 0.6), ElectionStep::AcquireLease);
}

#[test]
fn a_newer_record_ends_leadership() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    election.lease_renewed(8, 0.0);
    election.prepare_campaign(8, 0);
    assert!(election.elected(3));
    assert!(!election.observe_record(None, 0.0), "may have been read before our write");
    assert!(election.observe_record(Some(ObservedRecord { record: record("b", "1"), version: 9 }), 1.0));
    assert_eq!(election.valid_token(1.0), None);
}

/// Guards against a controller that keeps a leader in mind that is gone, and never campaigns: the response
/// to a slow read of the leadership record came after the watch had reported its deletion. If no other
/// controller is left, there would be no leader any more.
#[test]
fn a_record_read_before_its_deletion_is_ignored_after_it() {
    let mut election = LeaderElection::new(record("a", "1"), 6.0);
    let record_of_b = || Some(ObservedRecord { record: record("b", "1"), version: 5 });
    election.observe_record(record_of_b(), 0.0);
    election.observe_absence(9, 1.0);
    election.observe_record(record_of_b(), 1.1);
    assert_eq!((election.other_leader(), next(&election, 1.2)), (None, ElectionStep::AcquireLease));
    election.observe_record(Some(ObservedRecord { record: record("c", "1"), version: 12 }), 2.0);
    election.observe_record(record_of_b(), 2.1);
    election.observe_absence(9, 2.2);
    assert_eq!(election.other_leader(), Some("c"));
}

/// A controller in a crash loop: each process finds the leadership record of the one before. After the first
/// crash it is back before another controller could become the leader. From the second on it would read all
/// stored state again, give the workers a new token and crash, again and again.
#[test]
fn a_controller_in_a_crash_loop_leaves_leadership_to_others() {
    let seen = |record: &LeadershipRecord, version| Some(ObservedRecord { record: record.clone(), version });
    let mut first = LeaderElection::new(record("a", "1"), 6.0);
    first.observe_record(None, 0.0);
    first.lease_renewed(1, 0.0);
    let first_record = first.prepare_campaign(1, 100_000);
    assert_eq!((first_record.acquired_at_ms, first_record.consecutive_crashes), (100_000, 0));

    let mut second = LeaderElection::new(record("a", "2"), 6.0);
    second.observe_record(seen(&first_record, 5), 0.0);
    second.lease_renewed(2, 0.0);
    assert_eq!(second.next_step(0.0, 100_900, true, 0.0), ElectionStep::Campaign { lease: 2, over: 5 }, "once");
    let second_record = second.prepare_campaign(2, 100_900);
    assert_eq!(second_record.consecutive_crashes, 1);

    let mut third = LeaderElection::new(record("a", "3"), 6.0);
    third.observe_record(seen(&second_record, 6), 0.0);
    assert_eq!(third.next_step(0.0, 101_800, true, 0.0), ElectionStep::Yield { over: 6 });
    assert_eq!(third.next_step(0.0, 101_800, false, 0.0), ElectionStep::AcquireLease, "there is no other controller");
    assert_eq!(third.next_step(0.0, 120_000, true, 0.0), ElectionStep::AcquireLease, "the last process ran for longer");
    third.leadership_yielded(0.0);
    third.observe_record(None, 0.1);
    assert_eq!(third.next_step(1.9, 103_700, true, 0.0), ElectionStep::Wait, "others go first");
    assert_eq!(
        third.next_step(2.2, 104_000, true, 0.0),
        ElectionStep::AcquireLease,
        "no other controller became the leader"
    );

    // The next process learns from the state service that its controller gave way.
    let mut fourth = LeaderElection::new(record("a", "4"), 6.0);
    fourth.leadership_yielded(0.0);
    fourth.observe_record(seen(&record("b", "1"), 7), 0.0);
    assert_eq!(fourth.next_step(1.0, 103_000, true, 0.0), ElectionStep::Wait);
    fourth.observe_record(None, 10.0);
    assert_eq!(fourth.next_step(11.0, 113_000, true, 0.0), ElectionStep::Wait, "others go first for a minute");
    assert_eq!(fourth.next_step(12.1, 114_100, true, 0.0), ElectionStep::AcquireLease);

    // A record of an earlier version holds no time: it is replaced as after a first crash.
    let mut after_old = LeaderElection::new(record("a", "5"), 6.0);
    after_old.observe_record(seen(&record("a", "0"), 9), 0.0);
    after_old.lease_renewed(3, 0.0);
    assert_eq!(after_old.next_step(0.0, 1_000, true, 0.0), ElectionStep::Campaign { lease: 3, over: 9 });
}
