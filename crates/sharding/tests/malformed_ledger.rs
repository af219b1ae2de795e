//! A stored ledger that is malformed never lets a team exceed its limit.

use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger};
use std::collections::BTreeMap;

const SHARDS: u32 = 3;

fn limits() -> Vec<(String, Amount)> {
    vec![("blue".to_owned(), Amount::new(6.0, 2.0))]
}

fn ledger(shares: &[(f64, f64)]) -> Ledger {
    let shares = shares.iter().map(|(cpus, accelerators)| Amount::new(*cpus, *accelerators)).collect();
    Ledger { teams: BTreeMap::from([("blue".to_owned(), shares)]) }
}

/// Guards against shares that exceed a limit together: each shard would use its own in full.
#[test]
fn the_shares_of_a_malformed_ledger_stay_within_the_limit() {
    let malformed: [&[(f64, f64)]; 6] = [
        &[(-5.0, 0.0), (11.0, 0.0), (0.0, 0.0)],
        &[(1e300, 0.0), (1e300, 1e300), (0.0, 0.0)],
        &[(f64::INFINITY, 0.0), (2.0, 0.0), (0.0, 0.0)],
        &[(f64::NAN, f64::NAN), (4.0, 9.0), (0.0, 0.0)],
        &[(4.0, 1.0), (4.0, 1.0), (4.0, 1.0)],
        &[(2.0, 0.0), (2.0, 0.0), (2.0, 0.0), (2.0, 0.0), (2.0, 0.0)],
    ];
    for shares in malformed {
        let (bounded, faulty_teams) = ledger(shares).bounded(&limits(), SHARDS);
        assert_eq!(faulty_teams, ["blue"], "{shares:?}");
        assert!(bounded.within(&limits()), "{shares:?}: {bounded:?}");
        let shares = (0..SHARDS).filter_map(|shard| bounded.share("blue", ShardId(shard)));
        assert!(shares.into_iter().all(|share| share.cpus >= 0.0 && share.accelerators >= 0.0));
    }
}

#[test]
fn a_sound_ledger_is_not_changed() {
    for shares in [&[(3.7, 1.0), (0.3, 0.5), (2.0, 0.5)] as &[(f64, f64)], &[(6.0, 2.0)], &[(0.0, 0.0); 3]] {
        let (bounded, faulty_teams) = ledger(shares).bounded(&limits(), SHARDS);
        assert_eq!((bounded, faulty_teams), (ledger(shares), Vec::new()));
    }
}

/// Guards against quota of a team without a limit, which would be a limit that nobody stated.
#[test]
fn unknown_teams_are_dropped() {
    let (bounded, faulty_teams) = ledger(&[(1.0, 0.0)]).bounded(&[], SHARDS);
    assert!(bounded.teams.is_empty());
    assert_eq!(faulty_teams, ["blue"]);
}
