//! Logs the state of this controller's ingress: alerts on the responses to users, and the numbers of heartbeats that
//! it redirected or rejected. It never changes how a request is answered.

use crate::clock;
use crate::node::{ALERT_INTERVAL_S, Node, SUMMARY_INTERVAL_S, lock};
use async_io::Timer;
use lupinspur_service_levels::Alert;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

impl Node {
    pub(in crate::node) fn log_alerts(&self, alerts: &[Alert], source: &str) {
        for alert in alerts {
            if alert.under { log::warn!("{source}: {alert}") } else { log::info!("{source}: {alert}") }
        }
    }

    pub(in crate::node) async fn log_ingress_loop(self: Arc<Self>) {
        let mut heartbeats_logged_at = 0.0;
        loop {
            Timer::after(Duration::from_secs_f64(ALERT_INTERVAL_S)).await;
            let now = clock::now();
            let alerts = lock(&self.ingress).alerts(now);
            self.log_alerts(&alerts, "ingress");
            if now - heartbeats_logged_at >= SUMMARY_INTERVAL_S {
                self.log_heartbeats_not_taken(now - heartbeats_logged_at);
                heartbeats_logged_at = now;
            }
        }
    }

    fn log_heartbeats_not_taken(&self, period_s: f64) {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        let (redirected, rejected) = (take(&self.heartbeats_redirected), take(&self.heartbeats_rejected));
        if redirected + rejected > 0 {
            log::info!("heartbeats not taken redirected={redirected} rejected={rejected} period_s={period_s:.0}");
        }
    }
}
