//! Measures the cost of the tracker by the number of classes and teams: per event of a job, and per
//! evaluation of all indicators, which the leader does every second. Compare the ratios: the absolute
//! times depend on the machine.
//!
//!     cargo run --release -p lupinspur-service-levels --example cost

use lupinspur_service_levels::objectives::{CompletionObjective, ServiceLevelObjectives};
use lupinspur_service_levels::tracker::{End, Entry, ServiceLevelTracker, Tasks};
use lupinspur_service_levels::underserved::Underserved;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

const JOBS: u32 = 20_000;
const EVALUATIONS: u32 = 500;

fn main() {
    println!("{:>8} {:>8} {:>14} {:>14}", "classes", "teams", "ns per event", "us per eval");
    for (classes, teams) in [(2u32, 4u32), (16, 32), (64, 128), (1000, 1000)] {
        let objectives = |i: u32| {
            let done = vec![
                CompletionObjective::Deadline(1.0),
                CompletionObjective::Deadline(1.5),
                CompletionObjective::Within(180.0),
            ];
            (format!("c{i}"), ServiceLevelObjectives { wait_s: Some(30.0), done, grace_s: None })
        };
        let mut tracker = ServiceLevelTracker::new((0..classes).map(objectives).collect::<HashMap<_, _>>());
        let names: Vec<(String, String)> =
            (0..JOBS).map(|i| (format!("c{}", i % classes), format!("t{}", i % teams))).collect();
        let started_at = Instant::now();
        for (i, (class, team)) in names.iter().enumerate() {
            let now = 1000.0 + i as f64 * 0.01;
            let e = Entry {
                class,
                team,
                service: i % 8 == 0,
                tasks: 8,
                from: now,
                waits_from: 0.0,
                may_have_waited_s: 0.0,
                submitted: now,
                deadline_s: Some(40.0),
                may_have_started: false,
                seen_from: now,
            };
            let job = tracker.track(&e, now);
            (1..=8).for_each(|n| tracker.on_progress(job, Tasks { begun: n, running: n, done: 0 }, now + f64::from(n)));
            tracker.on_ended(job, End::Done, now + 20.0, now + 20.0);
        }
        let ns_per_event = started_at.elapsed().as_nanos() as f64 / f64::from(JOBS * 10);
        let started_at = Instant::now();
        for i in 0..EVALUATIONS {
            let now = 2000.0 + f64::from(i);
            tracker.advance(now);
            black_box((Underserved::evaluate(&tracker, &Default::default(), now), tracker.alerts(now)));
        }
        println!(
            "{classes:>8} {teams:>8} {ns_per_event:>14.0} {:>14.1}",
            started_at.elapsed().as_micros() as f64 / f64::from(EVALUATIONS)
        );
    }
}
