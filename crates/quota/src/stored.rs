//! A plan at the state service: in several values that fit its limit, and a head that says
//! which of them hold. The head is switched in one write, so that no two trees are in force.

use crate::plan::{Organisation, Plan};
use serde::{Deserialize, Serialize};

pub const PREFIX: &str = "quota/";
pub const HEAD: &str = "quota/head";

/// Which plan holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    pub generation: u64,
    pub parts: usize,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub organisations: Vec<Organisation>,
}

pub fn part_key(generation: u64, n: usize) -> String {
    format!("{PREFIX}{generation}/{n}")
}

/// The generation that a part's key belongs to.
pub fn generation_of(key: &str) -> Option<u64> {
    key.strip_prefix(PREFIX)?.split_once('/')?.0.parse().ok()
}

/// The parts of a plan, none longer than `bytes`. None where one organisation alone is.
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

/// The plan that a head names, if all its parts are there.
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
