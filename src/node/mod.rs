//! The node: sockets, clocks and loops around one shard's decisions.

mod failover;
mod leadership;
mod loops;
mod merging;
mod routing;
mod shard_exchange;
mod shard_runtime;

pub use routing::JobLocation;
pub use shard_runtime::ShardRuntime;

use crate::clock;
use crate::cloud::CloudClient;
use crate::election::{LEADERSHIP_KEY, LEADERSHIP_PREFIX, LeaderElection, LeadershipRecord};
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::health::Health;
use crate::job_status::{JobStatus, Lookup};
use crate::jobs::{JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase};
use crate::peer::Peers;
use crate::settings::Settings;
use crate::shard::{Shard, parse_job_record};
use crate::state::{CompareAndSwap, KvClient, RequestPriority, StateError};
use crate::tuning::Tuning;
use crate::wire::{Compare, KeyValue, Kind, MachineType, Mutation};
use crate::worker::WorkerClient;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use lru::LruCache;
use lupinspur_quota::Plan;
use lupinspur_service_levels::{Reading, ServiceLevelReport as ServiceTold, ServiceLevelTracker};
use lupinspur_sharding::ShardId;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub(crate) static EXECUTOR: Executor<'static> = Executor::new();

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const GATHER_PAUSE: Duration = Duration::from_millis(20);
const PLACEMENT_RETRY_S: f64 = 1.0;
const SUMMARY_INTERVAL_S: f64 = 10.0;
/// The accounts as a whole go to the log this often; the gate reads the last ones.
const SERVICE_LEVEL_LOG_INTERVAL_S: f64 = 30.0;
const ALERT_INTERVAL_S: f64 = 1.0;
/// A submission that is answered later than this was not accepted in time.
const ACCEPTANCE_OBJECTIVE_S: f64 = 1.0;
const MAX_CONCURRENT_COMMITS: usize = 3;
/// Jobs that are over, and jobs that were accepted, that a node remembers; the others it asks for.
const CACHED_JOBS: NonZeroUsize = NonZeroUsize::new(10_000).unwrap();
const MACHINE_LIST_INTERVAL_S: f64 = 3.0;
const MACHINE_TYPES_INTERVAL_S: f64 = 20.0;
const STORE_TYPES_INTERVAL: Duration = Duration::from_secs(1);
const DEPENDENCY_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);
/// Where there are several shards, what changes is read together.
const WATCH_BATCH_PAUSE: Duration = Duration::from_millis(150);
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// What files of the operators enable.
#[derive(Debug, Default)]
pub struct Features {
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
    pub cells: Option<lupinspur_sharding::ShardingPlan>,
}

/// Who acts, as far as this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipStatus {
    Leading,
    Following(String),
    NoLeader,
}

struct Wakes {
    writer: (Sender<()>, Receiver<()>),
    direct: (Sender<()>, Receiver<()>),
    pace: (Sender<()>, Receiver<()>),
    /// A failover is through, and the records of needs are to be read.
    dependencies: (Sender<()>, Receiver<()>),
}

pub struct Node {
    pub settings: Settings,
    pub tuning: Tuning,
    /// The operators' file of quotas that nest.
    quota_plan: Option<Plan>,
    /// The operators' file of elastic jobs.
    pub elastic_plan: Option<lupinspur_elastic::Plan>,
    pub state: KvClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub peers: Peers,
    /// Who this process is, in every claim that it makes.
    own_record: LeadershipRecord,
    shards: Mutex<ShardRuntimes>,
    /// The operators' file of shards, and the plan that is in force.
    sharding_plan: Option<lupinspur_sharding::ShardingPlan>,
    active_plan: Mutex<Option<lupinspur_sharding::ShardingPlan>>,
    /// The shards in force are on their way back to one.
    merging: AtomicBool,
    shard_exchange: Mutex<shard_exchange::ShardExchange>,
    /// Which shard a job, or a machine, was last found in.
    shard_by_job: Mutex<LruCache<String, ShardId>>,
    shard_by_machine: Mutex<LruCache<String, ShardId>>,
    machine_types: Mutex<Arc<Vec<MachineType>>>,
    known_ends: Mutex<LruCache<String, JobStatus>>,
    /// Jobs that this node has seen to be accepted: they stay so.
    accepted_jobs: Mutex<LruCache<String, Kind>>,
    /// What users were answered at this controller's door, by class and team.
    ingress: Mutex<ServiceLevelTracker>,
    state_answered_at: Mutex<f64>,
    health: Mutex<Health>,
    /// The machine types as the state service has them.
    types_stored: Mutex<Option<StoredTypes>>,
    /// Whether the cloud itself told the types.
    types_asked: AtomicBool,
    /// Reports that were sent on to the leader, and those that could not be answered at all.
    heartbeats_redirected: AtomicU64,
    heartbeats_rejected: AtomicU64,
}

/// The machine types that the state service holds, and the revision of their last change.
#[derive(Clone)]
struct StoredTypes {
    types: Vec<MachineType>,
    version: u64,
}

pub type ShardRuntimes = Arc<Vec<Arc<ShardRuntime>>>;

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn parse_items<T: DeserializeOwned>(items: Vec<KeyValue>) -> impl Iterator<Item = (String, T, u64)> {
    items.into_iter().filter_map(|i| match serde_json::from_value(i.value) {
        Ok(v) => Some((i.key, v, i.version)),
        Err(e) => {
            log::error!("key {} holds something unknown: {e}", i.key);
            None
        }
    })
}

impl Node {
    pub fn new(settings: Settings, tuning: Tuning, features: Features) -> Node {
        let me = LeadershipRecord::new(settings.node.clone(), format!("{:016x}", fastrand::u64(..)));
        Node {
            state: KvClient::new(&settings),
            cloud: CloudClient::new(&settings),
            workers: WorkerClient::new(&settings),
            peers: Peers::new(&EXECUTOR, &settings),
            own_record: me,
            shards: Mutex::default(),
            sharding_plan: features.cells,
            active_plan: Mutex::default(),
            merging: AtomicBool::new(false),
            shard_exchange: Mutex::default(),
            shard_by_job: Mutex::new(LruCache::new(CACHED_JOBS)),
            shard_by_machine: Mutex::new(LruCache::new(CACHED_JOBS)),
            machine_types: Mutex::default(),
            known_ends: Mutex::new(LruCache::new(CACHED_JOBS)),
            accepted_jobs: Mutex::new(LruCache::new(CACHED_JOBS)),
            ingress: Mutex::new(ServiceLevelTracker::new(settings.terms.clone())),
            state_answered_at: Mutex::new(-100.0),
            health: Mutex::default(),
            types_stored: Mutex::default(),
            types_asked: AtomicBool::new(false),
            heartbeats_redirected: AtomicU64::new(0),
            heartbeats_rejected: AtomicU64::new(0),
            settings,
            tuning,
            quota_plan: features.quotas,
            elastic_plan: features.elastic,
        }
    }

    /// Sets all loops going.
    pub fn spawn_loops(self: &Arc<Self>) {
        let n = || self.clone();
        self.replace_shards(vec![ShardRuntime::new(n(), ShardId(0), LEADERSHIP_KEY.into())]);
        EXECUTOR.spawn(n().learn_machine_types_loop()).detach();
        EXECUTOR.spawn(n().watch_leadership()).detach();
        EXECUTOR.spawn(n().log_ingress_loop()).detach();
        EXECUTOR.spawn(n().offer_plan_loop()).detach();
    }

    /// These shards from now on, in the order of their numbers.
    fn replace_shards(self: &Arc<Self>, cells: Vec<Arc<ShardRuntime>>) {
        let before = std::mem::replace(&mut *lock(&self.shards), Arc::new(cells.clone()));
        for c in before.iter() {
            c.closed.store(true, Ordering::Relaxed);
            c.leadership_lost(|o| o.lease_lost());
        }
        cells.iter().for_each(ShardRuntime::spawn_loops);
    }

    pub fn shards(&self) -> ShardRuntimes {
        lock(&self.shards).clone()
    }

    /// How many shards this process holds a claim of.
    fn shards_led(&self) -> usize {
        self.shards().iter().filter(|c| lock(&c.election).token().is_some()).count()
    }

    /// What this process may spend at the services follows from what it owns.
    fn update_rate_shares(&self) {
        let of = if self.is_merging() { 1 } else { self.shards().len() };
        let owned = self.shards_led();
        self.state.set_share(&self.settings, owned, of);
        self.cloud.set_share(&self.settings, owned, of);
    }

    /// What users were answered at this controller's door.
    pub fn ingress_report(&self, now: f64) -> ServiceTold {
        lock(&self.ingress).report(now)
    }

    pub fn machine_types(&self) -> Arc<Vec<MachineType>> {
        lock(&self.machine_types).clone()
    }

    pub fn healthy(&self) -> bool {
        let now = clock::now();
        let (useful, owns) = (!lock(&self.machine_types).is_empty(), self.leads_any_shard(now));
        let answered = *lock(&self.state_answered_at);
        lock(&self.health).says(useful, owns, answered, now)
    }

    /// Final states never change: any node may tell them once it has learnt them.
    pub fn known_end(&self, id: &str) -> Option<JobStatus> {
        lock(&self.known_ends).get(id).copied()
    }

    pub fn note_end(&self, id: &str, t: JobStatus) {
        if t.is_final() {
            lock(&self.known_ends).put(id.to_owned(), t);
        }
    }

    pub fn accepted_kind(&self, id: &str) -> Option<Kind> {
        lock(&self.accepted_jobs).get(id).copied()
    }

    pub fn note_accepted(&self, id: &str, kind: Kind) {
        lock(&self.accepted_jobs).put(id.to_owned(), kind);
    }

    /// A user waited for this answer from `began` on.
    pub fn note_answer(&self, class: &str, team: &str, what: Reading, served: bool, began: f64) {
        let now = clock::now();
        let in_time = what != Reading::Accepted || now - began <= ACCEPTANCE_OBJECTIVE_S;
        lock(&self.ingress).answered(class, team, what, served && in_time, now);
    }

    fn state_answered(&self) {
        *lock(&self.state_answered_at) = clock::now();
    }

    /// Something may be there to place, in some shard that is owned here.
    pub fn wake(&self) {
        self.shards().iter().for_each(|c| c.wake());
    }

    /// Does this controller own any shard?
    fn leads_any_shard(&self, now: f64) -> bool {
        self.shards().iter().any(|c| c.leadership_status(now) == LeadershipStatus::Leading)
    }
}
