//! Log lines about the shares of team limits: each transfer, and each change of a team that waits in a shard at its
//! share of the limit.

use super::SettledWrite;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse};
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaStatus};
use std::collections::HashMap;

/// Logs transfers whose write was sent.
pub(super) fn log_transfers(transfers: &[QuotaTransfer], token: u64, outcome: SettledWrite) {
    for transfer in transfers.iter().filter(|transfer| transfer.amount != Amount::default()) {
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
    for transfer in transfers.iter().filter(|transfer| transfer.amount != Amount::default()) {
        log::info!(
            "quota transfer withheld reason=in_use team={} from={} to={} token={token}",
            transfer.team,
            transfer.from.0,
            transfer.to.0
        );
    }
}

/// The teams that want more than they hold in a shard, as last logged.
#[derive(Debug, Default)]
pub(in crate::node) struct QuotaWaits(HashMap<String, (Amount, QuotaUse, QuotaStatus)>);

impl QuotaWaits {
    /// Logs each team with a limit that waits in this shard, once per change of its share or use.
    pub(super) fn observe(&mut self, shard: ShardId, token: u64, ledger: &Ledger, published: &PublishedLoad) {
        for team in ledger.teams.keys() {
            let share = ledger.share(team, shard).unwrap_or_default();
            let quota_use = published.load.teams.get(team).copied().unwrap_or_default();
            let status = published.quota.as_ref().and_then(|quota| quota.get(team)).copied().unwrap_or_default();
            if quota_use.wanted.fits(quota_use.held) {
                self.0.remove(team);
            } else if self.0.insert(team.clone(), (share, quota_use, status)) != Some((share, quota_use, status)) {
                let requested = status.request.unwrap_or_default().amount;
                log::info!(
                    "team waits team={team} shard={} share_cpus={:.3} held_cpus={:.3} wanted_cpus={:.3} \
                     share_accelerators={:.3} held_accelerators={:.3} wanted_accelerators={:.3} requested_cpus={:.3} requested_accelerators={:.3} \
                     reserved={} free_cpus={:.1} token={token}",
                    shard.0,
                    share.cpus,
                    quota_use.held.cpus,
                    quota_use.wanted.cpus,
                    share.accelerators,
                    quota_use.held.accelerators,
                    quota_use.wanted.accelerators,
                    requested.cpus,
                    requested.accelerators,
                    status.reserved,
                    published.load.free_cpus
                );
            }
        }
    }
}
