//! Records users' requests to controllers and the responses, and checks the history with the shared checker.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::User;
use crate::workers::{Worker, Workers};
use http_types::Method;
use lupinspur::wire::JobState;
pub use lupinspur_histories::Known;
use lupinspur_histories::{Answer, History, Operation, Request as Kind, Unfit};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;

/// A user's request about a job.
#[derive(Clone, Copy, Debug)]
pub enum Request<'a> {
    Poll,
    Submit(&'a Value),
    /// A submission that every controller has to reject.
    SubmitUnfit(&'a Value, Unfit),
    Cancel,
}

impl Request<'_> {
    fn kind(&self) -> Kind {
        match self {
            Request::Poll => Kind::Poll,
            Request::Submit(_) => Kind::SUBMIT,
            Request::SubmitUnfit(_, why) => Kind::Submit { unfit: Some(*why) },
            Request::Cancel => Kind::Cancel,
        }
    }
}

/// Sends requests to controllers and keeps the history of requests and responses.
pub struct Answers {
    listen: Vec<SocketAddr>,
    workers: Workers,
    history: Mutex<History>,
    /// The number of tasks of each job.
    tasks: Mutex<BTreeMap<String, u64>>,
}

impl Answers {
    /// Returns an empty history of this cluster.
    pub fn of(cluster: &Cluster) -> Answers {
        Answers {
            listen: cluster.listen.clone(),
            workers: cluster.workers.clone(),
            history: Mutex::default(),
            tasks: Mutex::default(),
        }
    }

    /// Returns the number of controllers.
    pub fn nodes(&self) -> usize {
        self.listen.len()
    }

    /// Returns what the responses so far prove about a job.
    pub fn known(&self, id: &str) -> Known {
        lock(&self.history).known(id)
    }

    /// Returns whether a response has reported the job's end.
    pub fn is_over(&self, id: &str) -> bool {
        matches!(self.known(id), Known::Ended(_))
    }

    /// Sends a request to the controller at this address. Returns the job's state, if the response has one.
    pub fn ask_at(&self, user: &User, at: SocketAddr, id: &str, request: Request<'_>) -> Option<JobState> {
        let node = self.listen.iter().position(|address| *address == at).expect("a controller's address");
        self.ask(user, node, id, request)
    }

    /// Sends a request to one controller. Returns the job's state, if the response has one.
    pub fn ask(&self, user: &User, node: usize, id: &str, request: Request<'_>) -> Option<JobState> {
        let at = self.listen[node];
        let post = |body: &Value| (Method::Post, "/work".to_owned(), serde_json::to_vec(body).ok());
        let (method, path, body) = match request {
            Request::Poll => (Method::Get, format!("/work/{id}"), None),
            Request::Cancel => (Method::Post, format!("/work/{id}/withdraw"), None),
            Request::Submit(job) | Request::SubmitUnfit(job, _) => post(job),
        };
        if let Request::Submit(job) = request {
            lock(&self.tasks).insert(id.to_owned(), job["seeds"].as_u64().unwrap_or(0));
            let dependencies = job["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str);
            lock(&self.history).dependencies(id, &dependencies.map(str::to_owned).collect::<Vec<_>>());
        }
        let pending = lock(&self.history).sent(id, node, request.kind());
        let (status, body) = user.ask(at, method, &path, body);
        if status == 0 {
            return None;
        }
        let answer = Answer { status, state: body["bloom"].as_str().and_then(JobState::parse) };
        let tasks_done = answer.reported_state() == Some(JobState::Done) && self.tasks_are_done(id);
        let mut history = lock(&self.history);
        if tasks_done {
            history.tasks_done(id);
        }
        history.answered(pending, answer);
        answer.reported_state()
    }

    /// Returns whether the workers have completed all tasks of a job.
    fn tasks_are_done(&self, id: &str) -> bool {
        let tasks = lock(&self.tasks).get(id).copied().unwrap_or(u64::MAX);
        let workers = lock(&self.workers);
        let of_job = |name: &&String| name.split('/').next() == Some(id);
        let done: BTreeSet<&String> = workers.iter().flat_map(|w| &w.completed).filter(of_job).collect();
        done.len() as u64 >= tasks
    }

    /// Returns whether any worker has ever started a task of this job.
    pub fn has_started(&self, id: &str) -> bool {
        lock(&self.workers).iter().any(|w| w.last_start_of_job.contains_key(id))
    }

    /// Returns whether any worker runs a task of this job.
    pub fn is_running(&self, id: &str) -> bool {
        let workers = lock(&self.workers);
        workers.iter().flat_map(Worker::running_tasks).any(|task| task.split('/').next() == Some(id))
    }

    /// Returns the current position in the history.
    pub fn now(&self) -> u64 {
        lock(&self.history).events()
    }

    /// Returns all requests about a job so far.
    pub fn operations(&self, id: &str) -> Vec<Operation> {
        lock(&self.history).operations(id).to_vec()
    }

    /// Counts a controller's responses with a job's state to requests that were sent after this position.
    pub fn states_returned_by(&self, node: usize, after: u64) -> usize {
        lock(&self.history).answers_of(node, after).count()
    }

    /// Returns the responses that violate a rule.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.history).violations().iter().map(ToString::to_string).collect()
    }

    /// Fails if any response violates a rule.
    pub fn check(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{} responses were wrong, the first: {}", violations.len(), violations[0]);
    }
}
