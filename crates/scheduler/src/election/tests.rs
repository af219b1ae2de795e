//! Tests of leases and claims.

use super::*;

fn claim(node: &str, nonce: &str) -> LeadershipRecord {
    LeadershipRecord::new(node, nonce)
}

fn next(o: &LeaderElection, now: f64) -> ElectionStep {
    o.next_step(now, 1_000_000 + (now * 1000.0) as u64, true, 0.0)
}

/// Guards against acting on a lease that only its answer, not its sending, made look fresh.
#[test]
fn a_lease_counts_from_the_sending_of_its_renewal() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.observe_record(None, 0.0);
    assert_eq!(next(&o, 0.0), ElectionStep::AcquireLease);
    o.lease_renewed(7, 1.0);
    assert_eq!(next(&o, 1.0), ElectionStep::Campaign { lease: 7, over: 0 });
    o.prepare_campaign(7, 0);
    assert!(o.elected(12));
    assert_eq!(o.valid_token(6.6), Some(12));
    assert_eq!(o.valid_token(6.75), None, "the answer may have come late");
    o.lease_renewed(7, 9.0);
    assert_eq!(o.valid_token(9.1), Some(12), "after an outage the same lease and token go on");
}

#[test]
fn an_earlier_self_is_dead_but_another_node_is_not() {
    let mut o = LeaderElection::new(claim("a", "2"), 6.0);
    o.lease_renewed(8, 0.0);
    o.observe_record(Some(ObservedRecord { record: claim("b", "1"), version: 5 }), 0.0);
    assert_eq!(next(&o, 0.0), ElectionStep::Wait);
    o.observe_record(Some(ObservedRecord { record: claim("a", "1"), version: 6 }), 0.0);
    assert_eq!(next(&o, 0.0), ElectionStep::Campaign { lease: 8, over: 6 });
}

#[test]
fn after_stepping_down_others_go_first() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.lease_renewed(8, 0.0);
    o.observe_record(None, 0.0);
    o.prepare_campaign(8, 0);
    assert!(o.elected(3));
    assert_eq!(o.step_down(10.0), Some(8));
    o.observe_record(None, 10.1);
    assert_eq!(next(&o, 11.0), ElectionStep::Wait);
    assert_eq!(next(&o, 14.2), ElectionStep::AcquireLease, "nobody else came");
}

#[test]
fn a_claim_whose_answer_was_lost_is_found_again() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.lease_renewed(8, 0.0);
    o.observe_record(None, 0.0);
    o.prepare_campaign(8, 0);
    o.observe_record(Some(ObservedRecord { record: claim("a", "1"), version: 4 }), 1.0);
    assert_eq!(next(&o, 1.0), ElectionStep::AdoptOwnRecord { version: 4 });
    o.lease_lost();
    assert_eq!(next(&o, 1.0), ElectionStep::Wait, "it goes with its lease");
}

/// After a pause of all controllers: the claim's answer came after the renewal's, which said that
/// the lease was gone. With a token and no lease it did nothing and claimed nothing, for good.
#[test]
fn a_claim_whose_lease_ended_before_its_answer_came_is_made_anew() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.lease_renewed(8, 0.0);
    o.observe_record(None, 0.0);
    o.prepare_campaign(8, 0);
    assert!(o.lease_expired(8));
    assert!(!o.elected(4), "it went with its lease");
    assert_eq!(next(&o, 0.1), ElectionStep::AcquireLease);
    o.lease_renewed(9, 0.1);
    assert!(!o.lease_expired(8), "news of the lease before");
    assert!(!o.elected(5), "nor is the one before this lease's");
    o.prepare_campaign(9, 0);
    assert!(o.elected(6));
    assert_eq!(o.valid_token(0.2), Some(6));
}

/// Several shards without leaders are not all claimed by one controller.
#[test]
fn a_claim_that_nobody_holds_has_its_turn() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.observe_record(None, 10.0);
    assert_eq!(o.next_step(10.5, 0, true, 0.6), ElectionStep::Wait);
    assert_eq!(o.next_step(10.7, 0, true, 0.6), ElectionStep::AcquireLease);
}

#[test]
fn a_newer_claim_ends_ours() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    o.lease_renewed(8, 0.0);
    o.prepare_campaign(8, 0);
    assert!(o.elected(3));
    assert!(!o.observe_record(None, 0.0), "older news than our commit");
    assert!(o.observe_record(Some(ObservedRecord { record: claim("b", "1"), version: 9 }), 1.0));
    assert_eq!(o.valid_token(1.0), None);
}

/// Guards against a controller that believes in a leader that is gone, and never claims: a slow answer
/// to its look at the claim came after the watch had told the claim's end. Where it is the last that is
/// left, nobody would own any more.
#[test]
fn a_claim_that_was_read_before_its_end_is_no_news_after_it() {
    let mut o = LeaderElection::new(claim("a", "1"), 6.0);
    let of_b = || Some(ObservedRecord { record: claim("b", "1"), version: 5 });
    o.observe_record(of_b(), 0.0);
    o.observe_absence(9, 1.0);
    o.observe_record(of_b(), 1.1);
    assert_eq!((o.other_leader(), next(&o, 1.2)), (None, ElectionStep::AcquireLease));
    o.observe_record(Some(ObservedRecord { record: claim("c", "1"), version: 12 }), 2.0);
    o.observe_record(of_b(), 2.1);
    o.observe_absence(9, 2.2);
    assert_eq!(o.other_leader(), Some("c"));
}

/// A controller that keeps ending: each of its lives finds the claim of the one before. The
/// first time it is back before anybody else could claim; from the second on it would read
/// everything again and again, give workers a new token each time, and be gone.
#[test]
fn who_keeps_ending_gives_way_and_stays_away() {
    let seen = |c: &LeadershipRecord, version| Some(ObservedRecord { record: c.clone(), version });
    let mut first = LeaderElection::new(claim("a", "1"), 6.0);
    first.observe_record(None, 0.0);
    first.lease_renewed(1, 0.0);
    let c = first.prepare_campaign(1, 100_000);
    assert_eq!((c.acquired_at_ms, c.consecutive_crashes), (100_000, 0));

    let mut second = LeaderElection::new(claim("a", "2"), 6.0);
    second.observe_record(seen(&c, 5), 0.0);
    second.lease_renewed(2, 0.0);
    assert_eq!(second.next_step(0.0, 100_900, true, 0.0), ElectionStep::Campaign { lease: 2, over: 5 }, "once");
    let c = second.prepare_campaign(2, 100_900);
    assert_eq!(c.consecutive_crashes, 1);

    let mut third = LeaderElection::new(claim("a", "3"), 6.0);
    third.observe_record(seen(&c, 6), 0.0);
    assert_eq!(third.next_step(0.0, 101_800, true, 0.0), ElectionStep::Yield { over: 6 });
    assert_eq!(third.next_step(0.0, 101_800, false, 0.0), ElectionStep::AcquireLease, "alone it has to");
    assert_eq!(third.next_step(0.0, 120_000, true, 0.0), ElectionStep::AcquireLease, "a longer life is forgiven");
    third.leadership_yielded(0.0);
    third.observe_record(None, 0.1);
    assert_eq!(third.next_step(1.9, 103_700, true, 0.0), ElectionStep::Wait, "the others first");
    assert_eq!(third.next_step(2.2, 104_000, true, 0.0), ElectionStep::AcquireLease, "nobody came");

    // A further life learns from the state service that it gave way.
    let mut fourth = LeaderElection::new(claim("a", "4"), 6.0);
    fourth.leadership_yielded(0.0);
    fourth.observe_record(seen(&claim("b", "1"), 7), 0.0);
    assert_eq!(fourth.next_step(1.0, 103_000, true, 0.0), ElectionStep::Wait);
    fourth.observe_record(None, 10.0);
    assert_eq!(fourth.next_step(11.0, 113_000, true, 0.0), ElectionStep::Wait, "the others first, for a minute");
    assert_eq!(fourth.next_step(12.1, 114_100, true, 0.0), ElectionStep::AcquireLease);

    // A version before tells no time: it is retaken as ever.
    let mut after_old = LeaderElection::new(claim("a", "5"), 6.0);
    after_old.observe_record(seen(&claim("a", "0"), 9), 0.0);
    after_old.lease_renewed(3, 0.0);
    assert_eq!(after_old.next_step(0.0, 1_000, true, 0.0), ElectionStep::Campaign { lease: 3, over: 9 });
}
