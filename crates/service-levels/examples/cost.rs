//! What the accounts cost, by the number of classes and teams: an event of a job, and one look
//! at all accounts, as the leader takes each second. Times are of this machine; the ratios count.
//!
//!     cargo run --release -p lupinspur-service-levels --example cost

use lupinspur_service_levels::objectives::{CompletionObjective, ServiceLevelObjectives};
use lupinspur_service_levels::tracker::{End, Entry, ServiceLevelTracker, Tasks};
use lupinspur_service_levels::underserved::Underserved;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

const JOBS: u32 = 20_000;
const LOOKS: u32 = 500;

fn main() {
    println!("{:>8} {:>8} {:>14} {:>14}", "classes", "teams", "ns an event", "us a look");
    for (classes, teams) in [(2u32, 4u32), (16, 32), (64, 128), (1000, 1000)] {
        let terms = |i: u32| {
            let done = vec![
                CompletionObjective::Deadline(1.0),
                CompletionObjective::Deadline(1.5),
                CompletionObjective::Within(180.0),
            ];
            (format!("c{i}"), ServiceLevelObjectives { wait_s: Some(30.0), done, grace_s: None })
        };
        let mut book = ServiceLevelTracker::new((0..classes).map(terms).collect::<HashMap<_, _>>());
        let names: Vec<(String, String)> =
            (0..JOBS).map(|i| (format!("c{}", i % classes), format!("t{}", i % teams))).collect();
        let began = Instant::now();
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
            let t = book.track(&e, now);
            (1..=8).for_each(|n| book.on_progress(t, Tasks { begun: n, running: n, done: 0 }, now + f64::from(n)));
            book.on_ended(t, End::Done, now + 20.0, now + 20.0);
        }
        let event = began.elapsed().as_nanos() as f64 / f64::from(JOBS * 10);
        let began = Instant::now();
        for i in 0..LOOKS {
            let now = 2000.0 + f64::from(i);
            book.advance(now);
            black_box((Underserved::evaluate(&book, &Default::default(), now), book.alerts(now)));
        }
        println!(
            "{classes:>8} {teams:>8} {event:>14.0} {:>14.1}",
            began.elapsed().as_micros() as f64 / f64::from(LOOKS)
        );
    }
}
