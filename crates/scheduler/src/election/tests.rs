//! Tests of leases and claims.

use super::*;

fn claim(node: &str, nonce: &str) -> Claim {
    Claim::new(node, nonce)
}

fn next(o: &Ownership, now: f64) -> Next {
    o.next(now, 1_000_000 + (now * 1000.0) as u64, true, 0.0)
}

/// Guards against acting on a lease that only its answer, not its sending, made look fresh.
#[test]
fn a_lease_counts_from_the_sending_of_its_renewal() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.saw(None, 0.0);
    assert_eq!(next(&o, 0.0), Next::Grant);
    o.confirmed(7, 1.0);
    assert_eq!(next(&o, 1.0), Next::Claim { lease: 7, over: 0 });
    o.trying(7, 0);
    assert!(o.claimed(12));
    assert_eq!(o.may_act(6.6), Some(12));
    assert_eq!(o.may_act(6.75), None, "the answer may have come late");
    o.confirmed(7, 9.0);
    assert_eq!(o.may_act(9.1), Some(12), "after an outage the same lease and token go on");
}

#[test]
fn an_earlier_self_is_dead_but_another_node_is_not() {
    let mut o = Ownership::new(claim("a", "2"), 6.0);
    o.confirmed(8, 0.0);
    o.saw(Some(SeenClaim { claim: claim("b", "1"), version: 5 }), 0.0);
    assert_eq!(next(&o, 0.0), Next::Nothing);
    o.saw(Some(SeenClaim { claim: claim("a", "1"), version: 6 }), 0.0);
    assert_eq!(next(&o, 0.0), Next::Claim { lease: 8, over: 6 });
}

#[test]
fn after_stepping_down_others_go_first() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.confirmed(8, 0.0);
    o.saw(None, 0.0);
    o.trying(8, 0);
    assert!(o.claimed(3));
    assert_eq!(o.step_down(10.0), Some(8));
    o.saw(None, 10.1);
    assert_eq!(next(&o, 11.0), Next::Nothing);
    assert_eq!(next(&o, 14.2), Next::Grant, "nobody else came");
}

#[test]
fn a_claim_whose_answer_was_lost_is_found_again() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.confirmed(8, 0.0);
    o.saw(None, 0.0);
    o.trying(8, 0);
    o.saw(Some(SeenClaim { claim: claim("a", "1"), version: 4 }), 1.0);
    assert_eq!(next(&o, 1.0), Next::Adopt { version: 4 });
    o.lease_lost();
    assert_eq!(next(&o, 1.0), Next::Nothing, "it goes with its lease");
}

/// After a pause of all controllers: the claim's answer came after the renewal's, which said that
/// the lease was gone. With a token and no lease it did nothing and claimed nothing, for good.
#[test]
fn a_claim_whose_lease_ended_before_its_answer_came_is_made_anew() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.confirmed(8, 0.0);
    o.saw(None, 0.0);
    o.trying(8, 0);
    assert!(o.lease_ended(8));
    assert!(!o.claimed(4), "it went with its lease");
    assert_eq!(next(&o, 0.1), Next::Grant);
    o.confirmed(9, 0.1);
    assert!(!o.lease_ended(8), "news of the lease before");
    assert!(!o.claimed(5), "nor is the one before this lease's");
    o.trying(9, 0);
    assert!(o.claimed(6));
    assert_eq!(o.may_act(0.2), Some(6));
}

/// Several cells without owners are not all claimed by one controller.
#[test]
fn a_claim_that_nobody_holds_has_its_turn() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.saw(None, 10.0);
    assert_eq!(o.next(10.5, 0, true, 0.6), Next::Nothing);
    assert_eq!(o.next(10.7, 0, true, 0.6), Next::Grant);
}

#[test]
fn a_newer_claim_ends_ours() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    o.confirmed(8, 0.0);
    o.trying(8, 0);
    assert!(o.claimed(3));
    assert!(!o.saw(None, 0.0), "older news than our commit");
    assert!(o.saw(Some(SeenClaim { claim: claim("b", "1"), version: 9 }), 1.0));
    assert_eq!(o.may_act(1.0), None);
}

/// Guards against a controller that believes in an owner that is gone, and never claims: a slow answer
/// to its look at the claim came after the watch had told the claim's end. Where it is the last that is
/// left, nobody would own any more.
#[test]
fn a_claim_that_was_read_before_its_end_is_no_news_after_it() {
    let mut o = Ownership::new(claim("a", "1"), 6.0);
    let of_b = || Some(SeenClaim { claim: claim("b", "1"), version: 5 });
    o.saw(of_b(), 0.0);
    o.saw_none(9, 1.0);
    o.saw(of_b(), 1.1);
    assert_eq!((o.other_owner(), next(&o, 1.2)), (None, Next::Grant));
    o.saw(Some(SeenClaim { claim: claim("c", "1"), version: 12 }), 2.0);
    o.saw(of_b(), 2.1);
    o.saw_none(9, 2.2);
    assert_eq!(o.other_owner(), Some("c"));
}

/// A controller that keeps ending: each of its lives finds the claim of the one before. The
/// first time it is back before anybody else could claim; from the second on it would read
/// everything again and again, give workers a new token each time, and be gone.
#[test]
fn who_keeps_ending_gives_way_and_stays_away() {
    let seen = |c: &Claim, version| Some(SeenClaim { claim: c.clone(), version });
    let mut first = Ownership::new(claim("a", "1"), 6.0);
    first.saw(None, 0.0);
    first.confirmed(1, 0.0);
    let c = first.trying(1, 100_000);
    assert_eq!((c.at_ms, c.short_lives), (100_000, 0));

    let mut second = Ownership::new(claim("a", "2"), 6.0);
    second.saw(seen(&c, 5), 0.0);
    second.confirmed(2, 0.0);
    assert_eq!(second.next(0.0, 100_900, true, 0.0), Next::Claim { lease: 2, over: 5 }, "once");
    let c = second.trying(2, 100_900);
    assert_eq!(c.short_lives, 1);

    let mut third = Ownership::new(claim("a", "3"), 6.0);
    third.saw(seen(&c, 6), 0.0);
    assert_eq!(third.next(0.0, 101_800, true, 0.0), Next::GiveWay { over: 6 });
    assert_eq!(third.next(0.0, 101_800, false, 0.0), Next::Grant, "alone it has to");
    assert_eq!(third.next(0.0, 120_000, true, 0.0), Next::Grant, "a longer life is forgiven");
    third.gave_way(0.0);
    third.saw(None, 0.1);
    assert_eq!(third.next(1.9, 103_700, true, 0.0), Next::Nothing, "the others first");
    assert_eq!(third.next(2.2, 104_000, true, 0.0), Next::Grant, "nobody came");

    // A further life learns from the state service that it gave way.
    let mut fourth = Ownership::new(claim("a", "4"), 6.0);
    fourth.gave_way(0.0);
    fourth.saw(seen(&claim("b", "1"), 7), 0.0);
    assert_eq!(fourth.next(1.0, 103_000, true, 0.0), Next::Nothing);
    fourth.saw(None, 10.0);
    assert_eq!(fourth.next(11.0, 113_000, true, 0.0), Next::Nothing, "the others first, for a minute");
    assert_eq!(fourth.next(12.1, 114_100, true, 0.0), Next::Grant);

    // A version before tells no time: it is retaken as ever.
    let mut after_old = Ownership::new(claim("a", "5"), 6.0);
    after_old.saw(seen(&claim("a", "0"), 9), 0.0);
    after_old.confirmed(3, 0.0);
    assert_eq!(after_old.next(0.0, 1_000, true, 0.0), Next::Claim { lease: 3, over: 9 });
}
