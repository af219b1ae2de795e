//! Judges reports, journal entries and logs of simulated days. Prints one line for each class or team
//! below a share of 0.5, and fails if there is one or if a file contains no readings.
//!
//!     cargo run -q -p lupinspur-service-levels --example gate -- FILE...
//!     cargo run -q -p lupinspur-service-levels --example gate -- --agreement REPORT LOG
//!
//! The second form compares, by class, the leaders' service-level reports with the measured shares.

use lupinspur_service_levels::gate::{self, GateResult, LOG_MARK, NoReadings};
use lupinspur_service_levels::report::ServiceLevelReport;
use std::process::ExitCode;

fn text(path: &str) -> Result<String, NoReadings> {
    std::fs::read_to_string(path).map_err(|e| NoReadings(format!("{path}: {e}")))
}

/// Extracts the service-level reports from the log of a controller.
fn logged(path: &str, text: &str) -> Result<Vec<ServiceLevelReport>, NoReadings> {
    let all = text.lines().filter_map(|l| l.split_once(LOG_MARK)).map(|l| serde_json::from_str(l.1));
    all.collect::<Result<_, _>>().map_err(|e| NoReadings(format!("{path}: service-level report in the log: {e}")))
}

fn agreement(report: &str, log: &str) -> Result<bool, NoReadings> {
    let r = serde_json::from_str(&text(report)?).map_err(|e| NoReadings(format!("{report}: {e}")))?;
    let all = gate::agreement(&r, &logged(log, &text(log)?)?);
    for a in &all {
        let reported = a.reported.map_or("none".to_owned(), |s| format!("{s:.3}"));
        let (class, reading, agrees) = (&a.class, a.reading.name(), if a.agrees() { "" } else { "  DIFFERS" });
        println!(
            "{class} {reading}: measured {:.3}, reported {reported}, unknown {:.2}{agrees}",
            a.measured, a.unknown
        );
    }
    Ok(!all.is_empty() && all.iter().all(gate::Agreement::agrees))
}

fn judge(path: &str) -> Result<GateResult, NoReadings> {
    let text = text(path)?;
    let lines = logged(path, &text)?;
    if !lines.is_empty() {
        return gate::judge_log(path, &lines);
    }
    if let Ok(r) = serde_json::from_str(&text) {
        return gate::judge_report(path, &r);
    }
    let e = serde_json::from_str(&text).map_err(|e| NoReadings(format!("{path}: {e}")))?;
    gate::judge_entry(path, &e)
}

fn main() -> ExitCode {
    let mut passed = true;
    let files: Vec<String> = std::env::args().skip(1).collect();
    if files.is_empty() {
        eprintln!("no files given: name the reports, journal entries or logs to judge");
        return ExitCode::from(2);
    }
    if let [flag, report, log] = &files[..]
        && flag == "--agreement"
    {
        return match agreement(report, log) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(NoReadings(why)) => {
                eprintln!("cannot compare: {why}");
                ExitCode::FAILURE
            }
        };
    }
    for file in files {
        match judge(&file) {
            Ok(result) => {
                for u in &result.under {
                    println!("below 0.5: {u}");
                }
                let (name, share) = result.lowest.unwrap_or_default();
                for n in &result.notes {
                    println!("note, not judged: {n}");
                }
                println!("{file}: {} readings, lowest {share:.3} ({name})", result.readings);
                passed &= result.under.is_empty();
            }
            Err(NoReadings(why)) => {
                eprintln!("cannot judge: {why}");
                passed = false;
            }
        }
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
