//! A stand-in for the state service: keys, versions, leases, and outages.

use crate::stored::Keys;
use lupinspur_scheduler::election::ObservedRecord;
use lupinspur_scheduler::jobs::{JobRecord, job_key};
use lupinspur_wire::Mutation;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// A lease of the state service.
pub(crate) struct Lease {
    pub(crate) expires_at: f64,
    pub(crate) duration_s: f64,
    /// Keys that are deleted when the lease expires.
    pub(crate) keys: BTreeSet<String>,
}

/// The state service.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) keys: Keys,
    /// Leases by their numbers.
    pub(crate) leases: BTreeMap<u64, Lease>,
    /// The revision at which each deleted key was last deleted.
    deleted: BTreeMap<String, u64>,
    pub(crate) next_lease: u64,
    pub(crate) revision: u64,
    pub(crate) down_until: f64,
    pub(crate) was_down: bool,
}

impl Store {
    /// Returns whether the service is up.
    pub(crate) fn up(&self, now: f64) -> bool {
        now >= self.down_until
    }

    /// Deletes expired leases with their keys. After an outage all leases start anew.
    pub(crate) fn step(&mut self, now: f64) {
        if !self.up(now) {
            self.was_down = true;
            return;
        }
        if std::mem::take(&mut self.was_down) {
            self.leases.values_mut().for_each(|lease| lease.expires_at = now + lease.duration_s);
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| now > lease.expires_at).map(|(i, _)| *i).collect();
        for id in expired {
            let Some(lease) = self.leases.remove(&id) else { continue };
            for key in lease.keys {
                self.revision += 1;
                self.keys.remove(&key);
                self.deleted.insert(key, self.revision);
            }
        }
    }

    /// Grants a lease and returns its number.
    pub(crate) fn grant(&mut self, now: f64, duration_s: f64) -> u64 {
        self.next_lease += 1;
        let lease = Lease { expires_at: now + duration_s, duration_s, keys: BTreeSet::new() };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease; returns whether it exists.
    pub(crate) fn renew(&mut self, id: u64, now: f64) -> bool {
        self.leases.get_mut(&id).map(|lease| lease.expires_at = now + lease.duration_s).is_some()
    }

    /// Returns the version of a key; 0: it is not stored.
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// Returns the revision of a key's last change or deletion; 0: the key was never stored.
    pub(crate) fn changed(&self, key: &str) -> u64 {
        let gone = self.deleted.get(key).copied().unwrap_or(0);
        self.version(key).max(gone)
    }

    /// Executes a transaction if every condition, a key with its version, holds and the lease exists. Returns the new
    /// revision, or `None` if the transaction was not applied.
    pub(crate) fn commit(
        &mut self,
        conditions: &[(String, u64)],
        changes: &[Mutation],
        lease: Option<u64>,
    ) -> Option<u64> {
        if conditions.iter().any(|(key, version)| self.version(key) != *version)
            || lease.is_some_and(|l| !self.leases.contains_key(&l))
        {
            return None;
        }
        self.revision += 1;
        for change in changes {
            match change {
                Mutation::Put { key, value, .. } => {
                    self.leases.values_mut().for_each(|l| _ = l.keys.remove(key));
                    if let Some(l) = lease.and_then(|l| self.leases.get_mut(&l)) {
                        l.keys.insert(key.clone());
                    }
                    self.keys.insert(key.clone(), (value.clone(), self.revision));
                }
                Mutation::Delete { key } => {
                    self.keys.remove(key);
                    self.deleted.insert(key.clone(), self.revision);
                }
            }
        }
        Some(self.revision)
    }

    /// Reads a leadership record.
    pub(crate) fn leadership_record(&self, key: &str) -> Option<ObservedRecord> {
        let (value, version) = self.keys.get(key)?;
        Some(ObservedRecord {
            record: serde_json::from_value(value.clone()).expect("a leadership record"),
            version: *version,
        })
    }

    /// Reads and decodes a value with its version.
    pub(crate) fn read<T: DeserializeOwned>(&self, key: &str) -> Option<(T, u64)> {
        let (value, version) = self.keys.get(key)?;
        Some((serde_json::from_value(value.clone()).expect("a value"), *version))
    }

    /// Reads the record of a job.
    pub(crate) fn job(&self, id: &str) -> Option<JobRecord> {
        Some(serde_json::from_value(self.keys.get(&job_key(id))?.0.clone()).expect("a record"))
    }
}
