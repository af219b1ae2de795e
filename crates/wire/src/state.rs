//! What the state service is asked for and answers.

use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct KeyValue {
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
pub struct KeyValuePage {
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    #[serde(rename = "almanac")]
    pub revision: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Compare {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Mutation {
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
pub struct Transaction {
    #[serde(rename = "if", default)]
    pub compares: Vec<Compare>,
    #[serde(rename = "writes", default)]
    pub mutations: Vec<Mutation>,
}

#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct CommitReply {
    #[serde(rename = "almanac", default)]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseGrantRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseGrantReply {
    #[serde(rename = "tether")]
    pub lease: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct WatchEvent {
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
pub struct WatchReply {
    #[serde(rename = "almanac")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
