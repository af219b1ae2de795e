//! The traces themselves.

use crate::world::world;
use std::fmt::Write as _;
use std::path::Path;

fn play(text: &str) -> String {
    let mut w = world();
    for line in text.lines().filter(|l| !l.starts_with('=')) {
        let _ = writeln!(w.out, "{line}");
        let words: Vec<&str> = line.split_whitespace().collect();
        if let Some(now) = words.first().and_then(|t| t.parse::<f64>().ok()) {
            w.event(now, words[1], &words[2..]);
        }
    }
    w.out
}

/// The directory holds the code of these tests, too: everything else in it is a trace.
fn is_code(file: &Path) -> bool {
    file.is_dir() || file.extension().is_some_and(|e| e == "rs")
}

#[test]
fn traces_are_as_they_were_judged() {
    let update = std::env::var_os("UPDATE_TRACES").is_some();
    let mut files: Vec<_> = std::fs::read_dir("tests/traces")
        .expect("traces")
        .map(|f| f.expect("a file").path())
        .filter(|f| !is_code(f))
        .collect();
    files.sort();
    assert!(files.len() >= 10, "the traces are missing");
    let mut wrong = String::new();
    for f in files {
        let was = std::fs::read_to_string(&f).expect("a trace");
        let is = play(&was);
        if update {
            std::fs::write(&f, is).expect("writing a trace");
        } else if is != was {
            let at = was
                .lines()
                .zip(is.lines())
                .position(|(a, b)| a != b)
                .unwrap_or(was.lines().count().min(is.lines().count()));
            let line = |t: &str| t.lines().nth(at).unwrap_or("(end)").to_owned();
            let _ =
                writeln!(wrong, "{} line {}:\n  judged {}\n  is     {}", f.display(), at + 1, line(&was), line(&is));
        }
    }
    assert!(wrong.is_empty(), "\n{wrong}");
}
