//! The scheduling loop. Each tick lets the shard place jobs, and logs its alerts, its service levels and its summary
//! when they are due. It never writes to the state service; it only wakes the loops that do.

use crate::clock;
use crate::node::{
    ALERT_INTERVAL_S, GATHER_PAUSE, PLACEMENT_RETRY_S, SERVICE_LEVEL_LOG_INTERVAL_S, SUMMARY_INTERVAL_S, ShardRuntime,
};
use crate::shard::{Counts, Shard};
use async_io::Timer;
use lupinspur_service_levels::gate::LOG_MARK;
use std::sync::Arc;

/// The times at which the periodic steps of the loop last ran, in seconds of the steady clock.
struct TickHistory {
    placement_retried_at: f64,
    alerts_logged_at: f64,
    service_levels: ServiceLevelPeriod,
    summary: SummaryPeriod,
}

/// The current period of the service-level report. A new token starts a new period.
struct ServiceLevelPeriod {
    began_at: f64,
    token: u64,
}

/// The current period of the summary, and the counters at its start. A new token starts a new period.
struct SummaryPeriod {
    began_at: f64,
    token: u64,
    counts: Counts,
}

impl TickHistory {
    fn new(now: f64) -> TickHistory {
        TickHistory {
            placement_retried_at: 0.0,
            alerts_logged_at: 0.0,
            service_levels: ServiceLevelPeriod { began_at: 0.0, token: 0 },
            summary: SummaryPeriod { began_at: now, token: 0, counts: Counts::default() },
        }
    }

    fn retry_placement(&mut self, shard: &mut Shard, now: f64) {
        if now - self.placement_retried_at > PLACEMENT_RETRY_S {
            self.placement_retried_at = now;
            shard.request_placement();
        }
    }
}

impl ServiceLevelPeriod {
    fn log_if_due(&mut self, shard: &Shard, now: f64) {
        if self.token != shard.token {
            *self = ServiceLevelPeriod { began_at: now, token: shard.token };
        } else if now - self.began_at >= SERVICE_LEVEL_LOG_INTERVAL_S {
            *self = ServiceLevelPeriod { began_at: now, token: shard.token };
            match serde_json::to_string(&shard.service_level_report(now)) {
                Ok(text) => log::info!("{LOG_MARK}{text}"),
                Err(error) => log::error!("service-level report cannot be serialized reason=\"{error}\""),
            }
        }
    }
}

impl SummaryPeriod {
    fn log_if_due(&mut self, shard: &Shard, now: f64) {
        if self.token != shard.token {
            *self = SummaryPeriod { began_at: now, token: shard.token, counts: shard.counts };
        } else if now - self.began_at >= SUMMARY_INTERVAL_S {
            log::info!("{:.0} s: {}", now - self.began_at, shard.summary(&self.counts));
            *self = SummaryPeriod { began_at: now, token: shard.token, counts: shard.counts };
        }
    }
}

impl ShardRuntime {
    pub(in crate::node) async fn tick_loop(self: Arc<Self>) {
        let mut history = TickHistory::new(clock::now());
        while self.is_open() {
            // Waits briefly, so that the changes of several heartbeats and submissions are placed together.
            Timer::after(GATHER_PAUSE).await;
            Self::wait_for_wake(&self.wakes.ticks.1).await;
            let now = clock::now();
            let partitioned = self.with_shard(now, |shard| self.tick_shard(shard, &mut history, now));
            match partitioned {
                Some(true) if !self.settings.peers.is_empty() => self.step_down(now).await,
                Some(_) => self.wake_writers(),
                None => {}
            }
        }
    }

    /// Runs one tick. Returns whether this controller seems to be cut off from the workers.
    fn tick_shard(&self, shard: &mut Shard, history: &mut TickHistory, now: f64) -> bool {
        history.retry_placement(shard, now);
        self.log_service_alerts(shard, history, now);
        history.service_levels.log_if_due(shard, now);
        history.summary.log_if_due(shard, now);
        shard.state_service_writable = self.state.is_responsive(now);
        shard.tick(now);
        shard.is_partitioned_from_workers(now)
    }

    fn log_service_alerts(&self, shard: &mut Shard, history: &mut TickHistory, now: f64) {
        if now - history.alerts_logged_at > ALERT_INTERVAL_S {
            history.alerts_logged_at = now;
            self.log_alerts(&shard.service_level_alerts(now), "service");
        }
    }

    /// Gives up leadership because heartbeats do not reach this controller: they may reach another one.
    async fn step_down(&self, now: f64) {
        log::warn!("stepping down reason=no_heartbeats");
        let mut lease = None;
        self.leadership_lost(|election| lease = election.step_down(now));
        if let Some(lease) = lease {
            let _ = self.state.revoke(lease).await;
        }
    }
}
