//! Tests of when a planned transfer of quota is withheld.

use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer};

const OWN: ShardId = ShardId(0);

fn cpus(cpus: f64) -> Amount {
    Amount::new(cpus, 0.0)
}

fn transfer(team: &str, amount: f64) -> QuotaTransfer {
    QuotaTransfer { team: team.into(), from: OWN, to: ShardId(1), amount: cpus(amount) }
}

/// Guards against a team that withholds the quota of all others, and every move of a job: after a failover each
/// unreconciled machine counts as a use of every team, which exceeds small shares.
#[test]
fn the_use_of_one_team_does_not_withhold_the_quota_of_another() {
    let limits = [("red".to_owned(), cpus(100.0)), ("blue".to_owned(), cpus(6.0))];
    let ledger = Ledger::new(&limits, 2, OWN);
    let usage = [("red".to_owned(), cpus(40.0)), ("blue".to_owned(), cpus(8.0))];
    let covers = |transfers: &[QuotaTransfer]| {
        let next = ledger.apply(transfers).expect("a part of its own share");
        next.covers_use(OWN, transfers, &usage)
    };
    assert!(covers(&[transfer("red", 50.0)]), "red has 50 left and uses 40");
    assert!(covers(&[transfer("blue", 0.0)]), "a job moves without quota");
    assert!(!covers(&[transfer("blue", 1.0)]), "blue may use all it has");
    assert!(!covers(&[transfer("red", 61.0)]));
    assert!(!covers(&[transfer("red", 50.0), transfer("blue", 0.5)]), "one write stores both");
}
