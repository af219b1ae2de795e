//! Requests to the state service and its responses.

use serde::{Deserialize, Serialize};

/// A stored value with its version, and the lease that it is bound to.
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

/// A page of a list of keys, at one revision.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct KeyValuePage {
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    #[serde(rename = "almanac")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Compare {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change in a transaction.
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

/// A transaction: its changes are applied only if all conditions hold.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Transaction {
    #[serde(rename = "if", default)]
    pub compares: Vec<Compare>,
    #[serde(rename = "writes", default)]
    pub mutations: Vec<Mutation>,
}

/// The result of a transaction: its revision, or the keys whose condition failed.
#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct CommitReply {
    #[serde(rename = "almanac", default)]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseGrantRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseGrantReply {
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// A change of a key.
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

/// The changes since the requested revision.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct WatchReply {
    #[serde(rename = "almanac")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
