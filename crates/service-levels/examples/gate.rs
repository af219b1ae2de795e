//! Judges reports, journal entries and logs of played days: one line for each class or team
//! under a half, and a failure if there is one, or if a file says nothing.
//!
//!     cargo run -q -p lupinspur-service-levels --example gate -- FILE...
//!     cargo run -q -p lupinspur-service-levels --example gate -- --agreement REPORT LOG
//!
//! The second shows by class how far the leaders' accounts agree with what was measured.

use lupinspur_service_levels::gate::{self, Judged, LOG_MARK, Nothing};
use lupinspur_service_levels::report::ServiceLevelReport;
use std::process::ExitCode;

fn text(path: &str) -> Result<String, Nothing> {
    std::fs::read_to_string(path).map_err(|e| Nothing(format!("{path}: {e}")))
}

/// The program's own log, as the bench prints it.
fn logged(path: &str, text: &str) -> Result<Vec<ServiceLevelReport>, Nothing> {
    let all = text.lines().filter_map(|l| l.split_once(LOG_MARK)).map(|l| serde_json::from_str(l.1));
    all.collect::<Result<_, _>>().map_err(|e| Nothing(format!("{path}: accounts: {e}")))
}

fn agreement(report: &str, log: &str) -> Result<bool, Nothing> {
    let r = serde_json::from_str(&text(report)?).map_err(|e| Nothing(format!("{report}: {e}")))?;
    let all = gate::agreement(&r, &logged(log, &text(log)?)?);
    for a in &all {
        let said = a.accounts.map_or("nothing".to_owned(), |s| format!("{s:.3}"));
        let (class, reading, agrees) = (&a.class, a.reading.name(), if a.agrees() { "" } else { "  APART" });
        println!("{class} {reading}: measured {:.3}, accounts {said}, unknown {:.2}{agrees}", a.measured, a.unknown);
    }
    Ok(!all.is_empty() && all.iter().all(gate::Agreement::agrees))
}

fn judge(path: &str) -> Result<Judged, Nothing> {
    let text = text(path)?;
    let lines = logged(path, &text)?;
    if !lines.is_empty() {
        return gate::accounts(path, &lines);
    }
    if let Ok(r) = serde_json::from_str(&text) {
        return gate::report(path, &r);
    }
    let e = serde_json::from_str(&text).map_err(|e| Nothing(format!("{path}: {e}")))?;
    gate::entry(path, &e)
}

fn main() -> ExitCode {
    let mut good = true;
    let files: Vec<String> = std::env::args().skip(1).collect();
    if files.is_empty() {
        eprintln!("give the reports, journal entries or logs to be judged");
        return ExitCode::from(2);
    }
    if let [flag, report, log] = &files[..]
        && flag == "--agreement"
    {
        return match agreement(report, log) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(Nothing(why)) => {
                eprintln!("nothing to compare: {why}");
                ExitCode::FAILURE
            }
        };
    }
    for f in files {
        match judge(&f) {
            Ok(j) => {
                for u in &j.under {
                    println!("under a half: {u}");
                }
                let (name, share) = j.lowest.unwrap_or_default();
                for n in &j.notes {
                    println!("noted: {n}");
                }
                println!("{f}: {} readings, the lowest {share:.3} ({name})", j.readings);
                good &= j.under.is_empty();
            }
            Err(Nothing(why)) => {
                eprintln!("nothing to judge: {why}");
                good = false;
            }
        }
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
