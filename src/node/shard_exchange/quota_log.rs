//! Log lines about the shares of team limits: each transfer, and each change of a team that waits in a shard at its
//! share of the limit.

use super::SettledWrite;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse};
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaStatus};
use std::collections::HashMap;

/// Most lines of one kind that a shard logs per round of the exchange.
const MAX_LINES_PER_ROUND: usize = 8;

/// Returns the transfers to log: some of those that carry quota.
fn logged(transfers: &[QuotaTransfer]) -> impl Iterator<Item = &QuotaTransfer> {
    transfers.iter().filter(|transfer| transfer.amount != Amount::default()).take(MAX_LINES_PER_ROUND)
}

/// Logs transfers whose write was sent.
pub(super) fn log_transfers(transfers: &[QuotaTransfer], token: u64, outcome: SettledWrite) {
    for transfer in logged(transfers) {
        log::info!(
            "quota transferred team={} from={} to={} cpus={:.3} accelerators={:.3} outcome={outcome:?} token={token}",
            transfer.team,
            transfer.from.0,
            transfer.to.0,
            transfer.amount.cpus,
            transfer.amount.accelerators
        );
    }
}

/// Logs that transfers were not sent, because the quota came into use after they were planned.
pub(super) fn log_refusal(transfers: &[QuotaTransfer], token: u64) {
    for transfer in logged(transfers) {
        log::info!(
            "quota transfer withheld reason=in_use team={} from={} to={} token={token}",
            transfer.team,
            transfer.from.0,
            transfer.to.0
        );
    }
}

/// A team that wants more than it holds in a shard.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TeamWait {
    share: Amount,
    quota_use: QuotaUse,
    status: QuotaStatus,
}

impl TeamWait {
    fn of(team: &str, shard: ShardId, ledger: &Ledger, published: &PublishedLoad) -> Option<TeamWait> {
        let quota_use = published.load.teams.get(team).copied().unwrap_or_default();
        let status = published.quota.as_ref().and_then(|quota| quota.get(team)).copied().unwrap_or_default();
        let share = ledger.share(team, shard).unwrap_or_default();
        let waits = !quota_use.wanted.fits(quota_use.held);
        waits.then_some(TeamWait { share, quota_use, status })
    }
}

impl std::fmt::Display for TeamWait {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let requested = self.status.request.unwrap_or_default().amount;
        let amounts = [
            ("share", self.share),
            ("held", self.quota_use.held),
            ("wanted", self.quota_use.wanted),
            ("requested", requested),
        ];
        for (name, amount) in amounts {
            write!(f, "{name}_cpus={:.3} {name}_accelerators={:.3} ", amount.cpus, amount.accelerators)?;
        }
        write!(f, "reserved={}", self.status.reserved)
    }
}

/// The teams that wait in a shard, as last logged.
#[derive(Debug, Default)]
pub(in crate::node) struct QuotaWaits(HashMap<String, TeamWait>);

impl QuotaWaits {
    /// Logs the teams with a limit that wait in this shard, each once per change of its share, use or request.
    pub(super) fn observe(&mut self, shard: ShardId, token: u64, ledger: &Ledger, published: &PublishedLoad) {
        let mut lines = 0;
        for team in ledger.teams.keys() {
            let Some(wait) = TeamWait::of(team, shard, ledger, published) else {
                self.0.remove(team);
                continue;
            };
            if lines < MAX_LINES_PER_ROUND && self.0.get(team) != Some(&wait) {
                let free_cpus = published.load.free_cpus;
                log::info!("team waits team={team} shard={} {wait} free_cpus={free_cpus:.1} token={token}", shard.0);
                self.0.insert(team.clone(), wait);
                lines += 1;
            }
        }
    }
}
