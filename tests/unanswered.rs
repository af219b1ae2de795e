//! How the clients interpret a call without a response. A transaction may have been executed, and a command or a rental
//! may still be executed, so none of them may count as not sent, and a deletion may not count as confirmed.

#[path = "common/one_service.rs"]
mod one_service;

use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lupinspur::cloud::{CloudClient, CloudError};
use lupinspur::shard::PushOutcome;
use lupinspur::state::{CompareAndSwap, KvClient, RequestPriority, StateError};
use lupinspur::wire::{Compare, Mutation, PushedCommands, RentRequest};
use lupinspur::worker::WorkerClient;
use one_service::settings;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};

/// How a stand-in handles a request that it has read.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Closes the connection without a response.
    Closes,
    /// Refuses the request with status 503.
    Refuses,
    /// Confirms that the request was executed.
    Executes,
}

const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\n{}";
const EXECUTED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"almanac\": 7}";

/// Starts a stand-in that handles every request in the same way.
fn stand_in(executor: &Executor<'static>, behaviour: Behaviour) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("its address");
    let answers = async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = connection.read(&mut request).await;
            let _ = match behaviour {
                Behaviour::Closes => Ok(()),
                Behaviour::Refuses => connection.write_all(REFUSED).await,
                Behaviour::Executes => connection.write_all(EXECUTED).await,
            };
        }
    };
    executor.spawn(answers).detach();
    address
}

/// Returns an address on which no process listens.
fn unreachable_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    listener.local_addr().expect("its address")
}

/// Guards against treating the write of an end, a start or a leadership record as not stored, and then making a
/// different decision, while the write is stored or is still in flight.
#[test]
fn a_transaction_without_an_answer_may_have_been_executed() {
    let executor = Executor::new();
    let outcome = async |address| {
        let client = KvClient::new(&settings(address));
        let condition = Compare { key: "own/0".into(), version: 3 };
        let change = Mutation::Put { key: "job/req-1".into(), value: json!({}), lease: None };
        client.commit(vec![condition], vec![change], RequestPriority::Urgent).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(stand_in(&executor, Behaviour::Closes)).await, Err(StateError::Unknown));
        assert_eq!(outcome(stand_in(&executor, Behaviour::Refuses)).await, Err(StateError::NotExecuted(503)));
        assert_eq!(outcome(stand_in(&executor, Behaviour::Executes)).await, Ok(CompareAndSwap::Applied(7)));
        assert_eq!(outcome(unreachable_address()).await, Err(StateError::NotExecuted(0)));
    }));
}

/// Guards against treating a start command as not sent, and starting the task on another machine, while the first
/// command may still be executed.
#[test]
fn a_command_without_an_answer_may_yet_be_executed() {
    let executor = Executor::new();
    let commands = PushedCommands { token: 41, incarnation: 1, commands: Vec::new() };
    let client = WorkerClient::new(&settings(unreachable_address()));
    async_io::block_on(executor.run(async {
        let closed = client.commands(stand_in(&executor, Behaviour::Closes), &commands, || true).await;
        assert!(matches!(closed, PushOutcome::Unknown), "{closed:?}");
        let refused = client.commands(stand_in(&executor, Behaviour::Refuses), &commands, || true).await;
        assert!(matches!(refused, PushOutcome::Responded { executed: false, .. }), "{refused:?}");
        let not_sent = client.commands(unreachable_address(), &commands, || true).await;
        assert!(matches!(not_sent, PushOutcome::NotSent), "{not_sent:?}");
    }));
}

/// permission-when-sent: guards against commands of a leader whose lease expired while it opened the connection.
#[test]
fn a_command_that_may_not_be_sent_any_more_is_withheld() {
    let executor = Executor::new();
    let commands = PushedCommands { token: 41, incarnation: 1, commands: Vec::new() };
    let client = WorkerClient::new(&settings(unreachable_address()));
    async_io::block_on(executor.run(async {
        let address = stand_in(&executor, Behaviour::Refuses);
        let withheld = client.commands(address, &commands, || false).await;
        assert!(matches!(withheld, PushOutcome::Withheld), "{withheld:?}");
        // The connection that was opened for the withheld message is used for the next one.
        let sent = client.commands(address, &commands, || true).await;
        assert!(matches!(sent, PushOutcome::Responded { executed: false, .. }), "{sent:?}");
        // The permission isn't checked if the connection can't be opened.
        let not_sent = client
            .commands(unreachable_address(), &commands, || {
                panic!("the permission should be checked only once there is a connection")
            })
            .await;
        assert!(matches!(not_sent, PushOutcome::NotSent), "{not_sent:?}");
    }));
}

/// Guards against treating tasks as gone, and starting them elsewhere, while their machine still exists.
#[test]
fn a_deletion_is_confirmed_by_its_answer_alone() {
    let executor = Executor::new();
    let outcome = async |address| CloudClient::new(&settings(address)).delete(vec!["host-1".into()], || true).await;
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(stand_in(&executor, Behaviour::Closes)).await, Err(CloudError::NoResponse));
        assert_eq!(outcome(stand_in(&executor, Behaviour::Refuses)).await, Err(CloudError::Refused(503)));
        assert_eq!(outcome(stand_in(&executor, Behaviour::Executes)).await, Ok(()));
        assert_eq!(outcome(unreachable_address()).await, Err(CloudError::Refused(0)));
    }));
}

/// Guards against treating a rental without a response as refused: it may have been granted, so the request has to be
/// repeated under the same name.
#[test]
fn a_rental_without_an_answer_is_not_refused() {
    let executor = Executor::new();
    let request =
        RentRequest { request: "r-1".into(), type_name: "m8".into(), zone: "a".into(), spot: false, count: 1 };
    async_io::block_on(executor.run(async {
        let cloud = CloudClient::new(&settings(stand_in(&executor, Behaviour::Closes)));
        assert_eq!(cloud.rent(&request, || true).await, Err(CloudError::NoResponse));
    }));
}
