//! Records what users ask controllers and what they are answered, and judges it by the common checker.

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
    /// A submission that every controller has to refuse.
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

/// Asks controllers, and keeps the history of it.
pub struct Answers {
    listen: Vec<SocketAddr>,
    workers: Workers,
    history: Mutex<History>,
    /// How many tasks each job has.
    tasks: Mutex<BTreeMap<String, u64>>,
}

impl Answers {
    pub fn of(cluster: &Cluster) -> Answers {
        Answers {
            listen: cluster.listen.clone(),
            workers: cluster.workers.clone(),
            history: Mutex::default(),
            tasks: Mutex::default(),
        }
    }

    pub fn nodes(&self) -> usize {
        self.listen.len()
    }

    pub fn known(&self, id: &str) -> Known {
        lock(&self.history).known(id)
    }

    pub fn is_over(&self, id: &str) -> bool {
        matches!(self.known(id), Known::Ended(_))
    }

    /// Asks the controller at this address. Returns the job's state, if the answer tells one.
    pub fn ask_at(&self, user: &User, at: SocketAddr, id: &str, request: Request<'_>) -> Option<JobState> {
        let node = self.listen.iter().position(|address| *address == at).expect("a controller's address");
        self.ask(user, node, id, request)
    }

    /// Asks one controller. Returns the job's state, if the answer tells one.
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

    /// Are all of a job's tasks done, as the workers see it?
    fn tasks_are_done(&self, id: &str) -> bool {
        let tasks = lock(&self.tasks).get(id).copied().unwrap_or(u64::MAX);
        let workers = lock(&self.workers);
        let of_job = |name: &&String| name.split('/').next() == Some(id);
        let done: BTreeSet<&String> = workers.iter().flat_map(|w| &w.completed).filter(of_job).collect();
        done.len() as u64 >= tasks
    }

    /// Has any worker ever started a task of this job?
    pub fn has_begun(&self, id: &str) -> bool {
        lock(&self.workers).iter().any(|w| w.begun.contains_key(id))
    }

    /// Is a task of this job on any worker?
    pub fn is_running(&self, id: &str) -> bool {
        let workers = lock(&self.workers);
        workers.iter().flat_map(Worker::on_it).any(|task| task.split('/').next() == Some(id))
    }

    /// A moment of the history.
    pub fn now(&self) -> u64 {
        lock(&self.history).events()
    }

    /// All requests about a job so far.
    pub fn operations(&self, id: &str) -> Vec<Operation> {
        lock(&self.history).operations(id).to_vec()
    }

    /// How often a controller told a job's state to requests that were sent after a moment.
    pub fn told_by(&self, node: usize, after: u64) -> usize {
        lock(&self.history).answers_of(node, after).count()
    }

    /// What was answered against a rule.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.history).violations().iter().map(ToString::to_string).collect()
    }

    /// Fails if any answer broke a rule.
    pub fn check(&self) {
        let wrong = self.violations();
        assert!(wrong.is_empty(), "{} answers were wrong, the first: {}", wrong.len(), wrong[0]);
    }
}
