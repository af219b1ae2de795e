//! How the clients of the state service and of the cloud interpret responses: paginated lists, refusals and unreadable
//! bodies. An uncertain outcome must never be reported as certain.

#[path = "common/one_service.rs"]
mod one_service;

use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lupinspur::cloud::{CloudClient, CloudError};
use lupinspur::state::{CompareAndSwap, KvClient, RequestPriority, StateError};
use lupinspur::wire::{Mutation, RentRequest};
use one_service::settings;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The request lines of all received requests.
type RequestLines = Arc<Mutex<Vec<String>>>;

/// Starts a service that answers successive requests with these responses (status and body), and repeats the last one.
fn service(executor: &Executor<'static>, responses: &[(u16, &str)]) -> (SocketAddr, RequestLines) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("its address");
    let request_lines = RequestLines::default();
    let (received, responses) = (
        request_lines.clone(),
        responses.iter().map(|(status, body)| (*status, (*body).to_owned())).collect::<Vec<_>>(),
    );
    let serve = async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let length = connection.read(&mut request).await.unwrap_or(0);
            let first = String::from_utf8_lossy(&request[..length]).lines().next().unwrap_or_default().to_owned();
            let index = {
                let mut received = received.lock().expect("a list");
                received.push(first);
                received.len() - 1
            };
            let (status, body) = &responses[index.min(responses.len() - 1)];
            let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = connection.write_all(format!("{head}{body}").as_bytes()).await;
        }
    };
    executor.spawn(serve).detach();
    (address, request_lines)
}

/// Returns a page of a list of the state service.
fn page(keys: &[&str], revision: u64, more: bool) -> String {
    let pairs: Vec<Value> = keys.iter().map(|key| json!({"path": key, "v": {}, "stamp": 1})).collect();
    json!({"pairs": pairs, "has_next": more, "almanac": revision}).to_string()
}

/// Returns a page of the cloud's list of machines.
fn machines(names: &[&str], more: bool) -> String {
    let machine = |name: &&str| {
        json!({"id": name, "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false, "bloom": "running",
            "held_s": 1.0})
    };
    json!({"plots": names.iter().map(machine).collect::<Vec<_>>(), "has_next": more}).to_string()
}

/// Guards against accepted jobs that are missing after a failover. The client reads all pages and returns the revision
/// of the first one, so that a watch from there delivers the changes made while the other pages were read.
#[test]
fn a_list_of_the_state_service_is_read_to_its_end() {
    let executor = Executor::new();
    let pages = [page(&["job/req-1", "job/req-2"], 41, true), page(&["job/req-3"], 57, false)];
    let (address, request_lines) = service(&executor, &[(200, &pages[0]), (200, &pages[1])]);
    let client = KvClient::new(&settings(address));
    let (items, revision) =
        async_io::block_on(executor.run(client.list("job/", RequestPriority::Urgent))).expect("both pages are read");
    let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["job/req-1", "job/req-2", "job/req-3"]);
    assert_eq!(revision, 41, "the revision should be that of the first page, so that a watch misses no change");
    let second = request_lines.lock().expect("a list")[1].clone();
    assert!(second.contains("from=job/req-2"), "the second page begins after the first: {second}");
}

/// Guards against an incomplete list: entries of a refused page would be treated as deleted.
#[test]
fn a_list_of_which_a_page_is_refused_is_none() {
    let executor = Executor::new();
    let (jobs, listed) = (page(&["job/req-1"], 41, true), machines(&["host-1"], true));
    let (state, _) = service(&executor, &[(200, &jobs), (503, "{}")]);
    let (cloud, _) = service(&executor, &[(200, &listed), (503, "{}")]);
    async_io::block_on(executor.run(async {
        let read = KvClient::new(&settings(state)).list("job/", RequestPriority::Urgent).await;
        assert_eq!(read.map(|_| ()), Err(StateError::NotExecuted(503)));
        let read = CloudClient::new(&settings(cloud)).list().await;
        assert_eq!(
            read.map(|_| ()),
            Err(CloudError::Refused(503)),
            "the machines of the first page alone must not be returned"
        );
    }));
}

/// Guards against machines that are treated as gone because they are on the second page of a list.
#[test]
fn a_list_of_the_cloud_is_read_to_its_end() {
    let executor = Executor::new();
    let pages = [machines(&["host-1", "host-2"], true), machines(&["host-3"], false)];
    let (address, request_lines) = service(&executor, &[(200, &pages[0]), (200, &pages[1])]);
    let client = CloudClient::new(&settings(address));
    let list = async_io::block_on(executor.run(client.list())).expect("both pages are read");
    let names: Vec<&str> = list.iter().map(|machine| machine.id.as_str()).collect();
    assert_eq!(names, ["host-1", "host-2", "host-3"]);
    let second = request_lines.lock().expect("a list")[1].clone();
    assert!(second.contains("from=host-2"), "the second page begins after the first: {second}");
}

/// Guards against treating a transaction as not executed when its response can't be read.
#[test]
fn a_transaction_whose_answer_cannot_be_read_may_have_been_executed() {
    let executor = Executor::new();
    let outcome = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        let change = Mutation::Put { key: "job/req-1".into(), value: json!({}), lease: None };
        client.commit(Vec::new(), vec![change], RequestPriority::Urgent).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(200, "{\"almanac\": 4").await, Err(StateError::Unknown));
        assert_eq!(outcome(409, "{\"failed\": [\"job/r").await, Err(StateError::Unknown));
        assert_eq!(
            outcome(409, "{\"failed\": [\"job/req-1\"], \"almanac\": 4}").await,
            Ok(CompareAndSwap::Conflict(vec!["job/req-1".into()]))
        );
        assert_eq!(outcome(400, "{\"error\": \"no such lease\"}").await, Err(StateError::NoSuchLease));
        assert_eq!(outcome(400, "{\"error\": \"malformed\"}").await, Err(StateError::NotExecuted(400)));
    }));
}

/// Guards against treating a key as absent when its read was refused: only status 404 says that it is absent.
#[test]
fn a_key_is_absent_by_404_alone() {
    let executor = Executor::new();
    let read = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        client.get("job/req-1", RequestPriority::Urgent).await.map(|item| item.is_some())
    };
    async_io::block_on(executor.run(async {
        assert_eq!(read(404, "{\"almanac\": 3}").await, Ok(false));
        assert_eq!(read(200, "{\"path\": \"job/req-1\", \"v\": {}, \"stamp\": 3}").await, Ok(true));
        assert_eq!(read(200, "{\"path\": \"job/req-1\", \"v\"").await, Err(StateError::Unknown));
        assert_eq!(read(503, "{}").await, Err(StateError::NotExecuted(503)));
        assert_eq!(read(429, "{}").await, Err(StateError::NotExecuted(429)));
        assert_eq!(read(500, "{}").await, Err(StateError::NotExecuted(500)));
    }));
}

/// Guards against a leader that gives up a valid lease, or acts without one. A refused renewal doesn't end the lease;
/// status 404 does, and the holder has to stop acting.
#[test]
fn a_lease_is_over_by_404_alone() {
    let executor = Executor::new();
    let renewed = async |status| {
        let client = KvClient::new(&settings(service(&executor, &[(status, "{}")]).0));
        client.renew(7, Duration::from_secs(1)).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(renewed(200).await, Ok(()));
        assert_eq!(renewed(404).await, Err(StateError::NoSuchLease));
        assert_eq!(renewed(503).await, Err(StateError::NotExecuted(503)));
        assert_eq!(renewed(500).await, Err(StateError::NotExecuted(500)));
    }));
}

/// Guards against confusing compacted changes (status 410) with a refused watch. After the former, all values have to
/// be read again; after the latter, the watch continues at the same revision.
#[test]
fn changes_that_are_gone_are_told_from_a_refusal() {
    let executor = Executor::new();
    let watched = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        client.watch("job/", 4, Duration::ZERO).await.map(|changes| changes.revision)
    };
    async_io::block_on(executor.run(async {
        assert_eq!(watched(200, "{\"almanac\": 9, \"news\": []}").await, Ok(9));
        assert_eq!(watched(410, "{}").await, Err(StateError::TooOld));
        assert_eq!(watched(503, "{}").await, Err(StateError::NotExecuted(503)));
        assert_eq!(watched(200, "{\"almanac\": 9, \"ne").await, Err(StateError::Unknown));
    }));
}

/// Guards against treating other failures of a rental as a lack of capacity: after those, the client has to repeat the
/// request under the same name.
#[test]
fn there_is_no_capacity_by_the_cloud_s_word_alone() {
    let executor = Executor::new();
    let request =
        RentRequest { request: "r-1".into(), type_name: "m8".into(), zone: "a".into(), spot: false, count: 1 };
    let rented = async |status, body| {
        CloudClient::new(&settings(service(&executor, &[(status, body)]).0)).rent(&request, || true).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(rented(200, "{\"plots\": [\"host-1\"]}").await, Ok(vec!["host-1".into()]));
        assert_eq!(rented(200, "{\"plots\": [\"host").await, Err(CloudError::NoResponse));
        assert_eq!(rented(503, "{\"error\": \"no capacity\"}").await, Err(CloudError::NoCapacity));
        assert_eq!(rented(503, "{\"error\": \"trouble\"}").await, Err(CloudError::Refused(503)));
        assert_eq!(rented(429, "{}").await, Err(CloudError::Refused(429)));
    }));
}
