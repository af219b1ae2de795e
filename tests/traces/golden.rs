//! Replays the trace files and compares their output.

use crate::world::world;
use std::fmt::Write as _;
use std::path::Path;

/// Replays the events of a trace and returns the trace with the actual output lines.
fn replay(text: &str) -> String {
    let mut world = world();
    for line in text.lines().filter(|l| !l.starts_with('=')) {
        let _ = writeln!(world.out, "{line}");
        let words: Vec<&str> = line.split_whitespace().collect();
        if let Some(now) = words.first().and_then(|t| t.parse::<f64>().ok()) {
            world.event(now, words[1], &words[2..]);
        }
    }
    world.out
}

/// Returns whether a file in the directory of traces is a part of the test code; all other files are traces.
fn is_code(file: &Path) -> bool {
    file.is_dir() || file.extension().is_some_and(|extension| extension == "rs")
}

#[test]
fn traces_are_as_they_were_judged() {
    let update = std::env::var_os("UPDATE_TRACES").is_some();
    let mut files: Vec<_> = std::fs::read_dir("tests/traces")
        .expect("traces")
        .map(|entry| entry.expect("a directory entry").path())
        .filter(|file| !is_code(file))
        .collect();
    files.sort();
    assert!(files.len() >= 10, "at least 10 traces should exist, found {}", files.len());
    let mut differences = String::new();
    for file in files {
        let expected = std::fs::read_to_string(&file).expect("a trace");
        let actual = replay(&expected);
        if update {
            std::fs::write(&file, actual).expect("writing a trace");
        } else if actual != expected {
            let at = expected
                .lines()
                .zip(actual.lines())
                .position(|(expected_line, actual_line)| expected_line != actual_line)
                .unwrap_or(expected.lines().count().min(actual.lines().count()));
            let line = |text: &str| text.lines().nth(at).unwrap_or("(end)").to_owned();
            let _ = writeln!(
                differences,
                "{} line {}:\n  expected {}\n  actual   {}",
                file.display(),
                at + 1,
                line(&expected),
                line(&actual)
            );
        }
    }
    assert!(differences.is_empty(), "\n{differences}");
}
