//! What operators ask: quotas, service and elastic jobs.

use crate::words::argument;
use crate::world::World;

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn questions_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            // What each level uses, of what it has, and why a job waits.
            "levels" => {
                let Some(report) = self.shard().quota_report(argument(args, "job").unwrap_or("")) else {
                    self.say("no quotas");
                    return true;
                };
                for l in report.levels.iter().filter(|l| l.used_cpus + l.waits_cpus > 0.0) {
                    let limit = if l.limit_cpus > 0.0 { format!(", limit {}", l.limit_cpus) } else { String::new() };
                    self.say(&format!(
                        "{}: uses {} of {}{limit}, waits for {}",
                        l.level, l.used_cpus, l.guarantee_cpus, l.waits_cpus
                    ));
                }
                if let Some(why) = report.job {
                    self.say(&format!("the job: {why}"));
                }
            }
            // What each class and team asked for and was served, those with enough of it.
            "service" => {
                for r in self.shard().service_level_report(now).rows {
                    let part = |s: Option<f64>| s.map_or("nothing known".to_owned(), |s| format!("{s:.2}"));
                    let unknown = if r.unknown > 0 { format!(", {} unknown", r.unknown) } else { String::new() };
                    if first.is_empty() || first == r.name {
                        self.say(&format!(
                            "{} {} {}: {}{unknown}",
                            r.subject.name(),
                            r.name,
                            r.reading.name(),
                            part(r.share)
                        ));
                    }
                }
                let alarms = self.shard().service_level_alerts(now);
                alarms.iter().for_each(|a| self.say(&format!("warned: {a}")));
            }
            // Each elastic job: what it may have, wants and holds; and the shrinks.
            "sizes" => {
                let Some(report) = self.shard().elastic_report() else {
                    self.say("no job is elastic");
                    return true;
                };
                for r in &report.jobs {
                    self.say(&format!(
                        "{}: {} to {}, wants {}, holds {}, {} shrinks under way",
                        r.job, r.smallest, r.largest, r.wanted, r.held, r.shrinks
                    ));
                }
                if report.times.shrinks > 0 {
                    self.say(&format!(
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
