//! Judges reports, journal entries and logs of played days: one line for each class or team
//! under a half, and a failure if there is one, or if a file says nothing.
//!
//!     cargo run -q -p lupinspur-accounts --example gate -- FILE...

use lupinspur_accounts::gate::{self, Judged, LOG_MARK, Nothing};
use lupinspur_accounts::told::Told;
use std::process::ExitCode;

fn judge(path: &str) -> Result<Judged, Nothing> {
    let text = std::fs::read_to_string(path).map_err(|e| Nothing(format!("{path}: {e}")))?;
    // The program's own log, as the bench prints it.
    let logged = text.lines().filter_map(|l| l.split_once(LOG_MARK)).map(|l| serde_json::from_str(l.1));
    let lines: Vec<Told> = logged.collect::<Result<_, _>>().map_err(|e| Nothing(format!("{path}: accounts: {e}")))?;
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
