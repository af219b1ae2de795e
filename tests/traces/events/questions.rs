//! Queries of operators: quotas, service levels and elastic jobs.

use crate::words::argument;
use crate::world::World;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn questions_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            // Prints the usage and guarantee of each quota level, and why a job is queued.
            "levels" => {
                let Some(report) = self.shard().quota_report(argument(args, "job").unwrap_or("")) else {
                    self.print("no quotas");
                    return true;
                };
                for level in report.levels.iter().filter(|level| level.used_cpus + level.waits_cpus > 0.0) {
                    let limit =
                        if level.limit_cpus > 0.0 { format!(", limit {}", level.limit_cpus) } else { String::new() };
                    self.print(&format!(
                        "{}: uses {} of {}{limit}, waits for {}",
                        level.level, level.used_cpus, level.guarantee_cpus, level.waits_cpus
                    ));
                }
                if let Some(reason) = report.job {
                    self.print(&format!("the job: {reason}"));
                }
            }
            // Prints the service level of each class and team that has enough measurements, and the alerts.
            "service" => {
                for row in self.shard().service_level_report(now).rows {
                    let share_text =
                        |share: Option<f64>| share.map_or("nothing known".to_owned(), |share| format!("{share:.2}"));
                    let unknown = if row.unknown > 0 { format!(", {} unknown", row.unknown) } else { String::new() };
                    if first.is_empty() || first == row.name {
                        self.print(&format!(
                            "{} {} {}: {}{unknown}",
                            row.subject.name(),
                            row.name,
                            row.reading.name(),
                            share_text(row.share)
                        ));
                    }
                }
                let alerts = self.shard().service_level_alerts(now);
                alerts.iter().for_each(|alert| self.print(&format!("warned: {alert}")));
            }
            // Prints the size limits, the wanted and the current size of each elastic job, and the shrinks.
            "sizes" => {
                let Some(report) = self.shard().elastic_report() else {
                    self.print("no job is elastic");
                    return true;
                };
                for job in &report.jobs {
                    self.print(&format!(
                        "{}: {} to {}, wants {}, holds {}, {} shrinks under way",
                        job.job, job.smallest, job.largest, job.wanted, job.held, job.shrinks
                    ));
                }
                if report.times.shrinks > 0 {
                    self.print(&format!(
                        "{} shrinks over, the longest {:.1} s",
                        report.times.shrinks, report.times.longest_s
                    ));
                }
            }
            _ => return false,
        }
        true
    }
}
