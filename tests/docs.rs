//! Checks that the paths in backticks and in links of README.md and docs/ exist.
//!
//! Guards against pages that refer to moved, split or renamed files. A path belongs to this repository if its first
//! directory is one of [`DIRECTORIES`], with or without a file extension. A shorter name of a source file
//! (`election.rs`, `shard/starts.rs`) has to be the end of some file's path. Journal entries and files of the
//! operators' kit are not files of the repository.

use std::collections::BTreeSet;
use std::path::{Component, Path, PathBuf};

const DIRECTORIES: [&str; 8] = ["src", "crates", "tests", "scripts", "deploy", "docs", "examples", "proto"];
/// File extensions: a name in backticks with one of them is checked as a file in any directory.
const SOURCE_ENDINGS: [&str; 4] = [".rs", ".md", ".trace", ".proto"];
/// Placeholders; a path that contains one of them is a pattern rather than a file.
const PLACEHOLDERS: [&str; 4] = ["NAME", "FILE", "*", "..."];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns all files below a directory of the repository, as paths from its root.
fn files_below(directory: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut pending = vec![root().join(directory)];
    while let Some(directory) = pending.pop() {
        for entry in std::fs::read_dir(&directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                pending.push(path);
            } else {
                found.push(path.strip_prefix(root()).unwrap().to_str().unwrap().to_owned());
            }
        }
    }
    found.sort();
    found
}

/// Returns the paths of README.md and of the pages in docs/.
fn pages() -> Vec<String> {
    let docs_pages = files_below("docs").into_iter().filter(|p| p.ends_with(".md"));
    std::iter::once("README.md".to_owned()).chain(docs_pages).collect()
}

/// Returns the texts in backticks, which may span a line break. Code blocks yield none.
fn code_spans(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(|s| s.split_whitespace().collect::<Vec<_>>().join(" ")).collect()
}

/// Returns the targets of links, `[text](target)`.
fn link_targets(text: &str) -> Vec<String> {
    text.split("](").skip(1).filter_map(|rest| Some(rest.split_once(')')?.0.to_owned())).collect()
}

/// Returns the words of a code span that look like paths, also those in command lines.
fn paths_in(span: &str) -> Vec<&str> {
    let is_path = |word: &&str| {
        let plain = word.chars().all(|c| c.is_ascii_alphanumeric() || "/._-".contains(c));
        let below = DIRECTORIES.iter().any(|d| word.strip_prefix(d).is_some_and(|rest| rest.starts_with('/')));
        plain && (below || SOURCE_ENDINGS.iter().any(|e| word.ends_with(e)))
    };
    span.split(' ')
        .map(|word| word.trim_end_matches([',', ';', ':', '.']))
        .filter(|word| !PLACEHOLDERS.iter().any(|p| word.contains(p)))
        .filter(is_path)
        .collect()
}

/// Resolves a link relative to its page; returns `None` if it leads out of the repository.
fn resolve(page: &str, target: &str) -> Option<PathBuf> {
    let mut path = Path::new(page).parent()?.to_path_buf();
    for part in Path::new(target).components() {
        match part {
            Component::ParentDir if !path.pop() => return None,
            Component::ParentDir | Component::CurDir => {}
            part => path.push(part),
        }
    }
    Some(path)
}

/// Returns the anchor that a code host generates for a heading.
fn anchor_of(heading: &str) -> String {
    let kept = heading.trim().to_lowercase();
    let kept = kept.chars().filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'));
    kept.map(|c| if c == ' ' { '-' } else { c }).collect()
}

fn anchors(text: &str) -> BTreeSet<String> {
    let headings = text.lines().filter(|l| l.starts_with('#'));
    headings.map(|l| anchor_of(l.trim_start_matches('#'))).collect()
}

struct Repository {
    files: Vec<String>,
}

impl Repository {
    fn read() -> Repository {
        let mut files: Vec<String> = DIRECTORIES.iter().flat_map(|d| files_below(d)).collect();
        for entry in std::fs::read_dir(root()).unwrap() {
            let entry = entry.unwrap();
            if entry.path().is_file() {
                files.push(entry.file_name().into_string().unwrap());
            }
        }
        Repository { files }
    }

    /// Returns whether this is the path of a file or a directory, or the end of a file's path.
    fn has(&self, path: &str) -> bool {
        let path = path.trim_end_matches('/');
        let below = |d: &&str| path.strip_prefix(*d).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        if DIRECTORIES.iter().any(below) {
            // A module is named without an extension, whether it is a file or a directory.
            return root().join(path).exists() || root().join(format!("{path}.rs")).exists();
        }
        let end = format!("/{path}");
        self.files.iter().any(|f| f == path || f.ends_with(&end))
    }
}

#[test]
fn files_that_pages_name_exist() {
    let repository = Repository::read();
    let mut missing = Vec::new();
    let mut checked = 0;
    for page in pages() {
        let text = std::fs::read_to_string(root().join(&page)).unwrap();
        for span in code_spans(&text) {
            for path in paths_in(&span) {
                checked += 1;
                if !repository.has(path) {
                    missing.push(format!("{page}: `{path}`"));
                }
            }
        }
    }
    assert!(missing.is_empty(), "pages name files that don't exist:\n{}", missing.join("\n"));
    assert!(checked > 100, "more than 100 paths should be found in the pages, not {checked}");
}

#[test]
fn links_between_pages_lead_somewhere() {
    let mut missing = Vec::new();
    let mut checked = 0;
    for page in pages() {
        let text = std::fs::read_to_string(root().join(&page)).unwrap();
        for target in link_targets(&text) {
            if target.contains("://") {
                continue;
            }
            checked += 1;
            let (file, anchor) = target.split_once('#').unwrap_or((&target, ""));
            let path = if file.is_empty() { Some(PathBuf::from(&page)) } else { resolve(&page, file) };
            let linked = path.and_then(|p| std::fs::read_to_string(root().join(p)).ok());
            let exists = linked.is_some_and(|t| anchor.is_empty() || anchors(&t).contains(anchor));
            if !exists {
                missing.push(format!("{page}: ({target})"));
            }
        }
    }
    assert!(missing.is_empty(), "pages have broken links:\n{}", missing.join("\n"));
    assert!(checked > 50, "more than 50 links should be found in the pages, not {checked}");
}

#[test]
fn paths_are_told_from_other_code() {
    let repository = Repository::read();
    assert_eq!(paths_in("src/run.rs"), ["src/run.rs"]);
    assert_eq!(paths_in("scripts/guards --jobs 3"), ["scripts/guards"]);
    assert_eq!(paths_in("scheduler shard/starts.rs"), ["shard/starts.rs"]);
    assert!(paths_in("own/types").is_empty());
    assert!(paths_in("tests/guards/NAME.patch").is_empty());
    assert!(paths_in("journal/").is_empty());
    assert!(repository.has("src/run.rs") && repository.has("shard/starts.rs") && repository.has("README.md"));
    assert!(!repository.has("src/no_such.rs") && !repository.has("shard/no_such.rs") && !repository.has("tarts.rs"));
    assert_eq!(resolve("docs/incidents/a.md", "../limits.md"), Some(PathBuf::from("docs/limits.md")));
    assert_eq!(resolve("README.md", "../outside.md"), None);
    assert_eq!(anchor_of(" What occupies a task"), "what-occupies-a-task");
}
