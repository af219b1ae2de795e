//! What the state service is asked for and answers.

use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: serde_json::Value,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Items {
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
    #[serde(rename = "almanac")]
    pub revision: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: serde_json::Value,
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Txn {
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes", default)]
    pub changes: Vec<Change>,
}

#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct Revision {
    #[serde(rename = "almanac", default)]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseAnswer {
    #[serde(rename = "tether")]
    pub lease: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Event {
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<serde_json::Value>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Events {
    #[serde(rename = "almanac")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}
