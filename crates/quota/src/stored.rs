//! The layout of a plan in the state service: several values within its size limit, and a head
//! that names the current ones. The head is replaced in a single write, so that two trees are
//! never in force at the same time.

use crate::plan::{Organisation, Plan};
use serde::{Deserialize, Serialize};

/// Prefix of all keys of stored plans.
pub const PREFIX: &str = "quota/";
/// Key of the head.
pub const HEAD: &str = "quota/head";

/// Names the plan in force: its generation and the number of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    pub generation: u64,
    pub parts: usize,
}

/// One stored value of a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub organisations: Vec<Organisation>,
}

/// Returns the key of the `n`-th part of a generation.
pub fn part_key(generation: u64, n: usize) -> String {
    format!("{PREFIX}{generation}/{n}")
}

/// Returns the generation in the key of a part; `None` for other keys.
pub fn generation_of(key: &str) -> Option<u64> {
    key.strip_prefix(PREFIX)?.split_once('/')?.0.parse().ok()
}

/// Splits a plan into parts of at most `bytes` each; `None` if a single organisation is longer.
pub fn parts(plan: &Plan, bytes: usize, length: impl Fn(&Part) -> usize) -> Option<Vec<Part>> {
    let mut out: Vec<Part> = Vec::new();
    for o in &plan.organisations {
        if let Some(last) = out.last_mut() {
            last.organisations.push(o.clone());
            if length(last) <= bytes {
                continue;
            }
            last.organisations.pop();
        }
        let alone = Part { organisations: vec![o.clone()] };
        if length(&alone) > bytes {
            return None;
        }
        out.push(alone);
    }
    Some(out)
}

/// Joins the plan that a head names; `None` if a part is missing.
pub fn join(head: Head, part: impl Fn(usize) -> Option<Part>) -> Option<Plan> {
    let parts: Option<Vec<Part>> = (0..head.parts).map(part).collect();
    let organisations = parts?.into_iter().flat_map(|p| p.organisations).collect();
    Some(Plan { generation: head.generation, organisations })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_large_plan_is_divided_and_joined_again() {
        let text: String =
            (0..200).map(|i| format!("[[organisation]]\nname = \"trust-{i}\"\ncpus = {i}.5\n")).collect();
        let plan = Plan::parse(&format!("generation = 7\n{text}")).expect("TOML");
        let length = |p: &Part| serde_json::to_string(p).expect("JSON").len();
        let all = parts(&plan, 1000, length).expect("each fits");
        assert!(all.len() > 10 && all.iter().all(|p| length(p) <= 1000));
        let head = Head { generation: 7, parts: all.len() };
        assert_eq!(join(head, |n| all.get(n).cloned()), Some(plan.clone()));
        assert_eq!(join(head, |n| all.get(n).filter(|_| n != 3).cloned()), None, "a part is missing");
        assert_eq!(parts(&plan, 40, length), None);
        assert_eq!(generation_of(&part_key(7, 2)), Some(7));
        assert_eq!(generation_of(HEAD), None);
    }
}
