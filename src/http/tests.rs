use super::server::serve;
use super::{Bounds, CallError, Client, Conn, Incoming, MAX_BODY, Outgoing, timed};
use crate::clock;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use http_types::Method;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

static EX: async_executor::Executor<'static> = async_executor::Executor::new();

/// Starts a server that answers each request with the length of its body.
fn listening(bounds: Bounds) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    let handler = |req: Incoming| async move { Outgoing::json(200, &req.body.len()) };
    EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
    addr
}

/// Guards against heartbeats that never arrive: with more workers than sockets, the workers that connected first would
/// otherwise keep their connections forever.
#[test]
fn more_workers_than_sockets_take_turns() {
    let addr = listening(Bounds { connections: 8, body_bytes: 1 << 20 });
    let clients: Vec<Client> = (0..24).map(|_| Client::new(1, 1)).collect();
    async_io::block_on(EX.run(async {
        for _round in 0..3 {
            for client in &clients {
                let limit = Duration::from_secs(2);
                let report = crate::wire::HEARTBEAT_PATH;
                let call = || client.call(addr, Method::Post, report, Some(b"{}".to_vec()), limit);
                let mut response = call().await;
                // A connection that the server closed meanwhile is opened again.
                for _ in 0..3 {
                    if response.is_err() {
                        response = call().await;
                    }
                }
                assert_eq!(response.map(|response| response.0), Ok(200));
            }
        }
    }));
}

/// When few sockets are free, polls are refused first, then all other requests of users; heartbeats and health checks
/// are always served.
#[test]
fn polls_go_first_then_users_and_heartbeats_never() {
    use crate::wire::{HEALTH_PATH, HEARTBEAT_PATH, JOBS_PATH};
    let addr = listening(Bounds { connections: 64, body_bytes: 1 << 20 });
    async_io::block_on(EX.run(async {
        let limit = Duration::from_secs(2);
        let ask = async |method, path: &str| {
            Client::new(0, 0).call(addr, method, path, None, limit).await.map(|response| response.0).unwrap_or(0)
        };
        let poll = format!("{JOBS_PATH}/req-1");
        let mut machines = Vec::new();
        let mut statuses = Vec::new();
        for held in [40, 57, 61] {
            while machines.len() < held {
                let machine = Client::new(1, 1);
                assert_eq!(
                    machine.call(addr, Method::Post, HEARTBEAT_PATH, None, limit).await.map(|response| response.0),
                    Ok(200)
                );
                machines.push(machine);
            }
            let all = [(Method::Get, poll.as_str()), (Method::Post, JOBS_PATH), (Method::Get, HEALTH_PATH)];
            for (method, path) in all {
                statuses.push(ask(method, path).await);
            }
            for machine in &machines {
                assert_eq!(
                    machine.call(addr, Method::Post, HEARTBEAT_PATH, None, limit).await.map(|response| response.0),
                    Ok(200)
                );
            }
        }
        assert_eq!(statuses, [200, 200, 200, 503, 200, 200, 503, 503, 200]);
    }));
}

/// Guards against outdated responses after a pause of the process: a response that is no longer valid is replaced by
/// 503, and a client that has stopped waiting gets no response.
#[test]
fn outdated_responses_are_not_sent_after_a_pause() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    let handler = |req: Incoming| async move {
        if req.method == Method::Post {
            // The response expires at once, as after the end of a lease.
            return Outgoing::json(200, &1).valid_until(Some(clock::now()));
        }
        Timer::after(Duration::from_millis(1100)).await;
        Outgoing::json(200, &1).valid_until(Some(clock::now() + 1.0))
    };
    let bounds = Bounds { connections: 8, body_bytes: 1 << 20 };
    EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
    async_io::block_on(EX.run(async {
        let ask = async |method, path| Client::new(1, 1).call(addr, method, path, None, Duration::from_secs(5)).await;
        assert_eq!(ask(Method::Post, "/work").await.map(|response| response.0), Ok(503));
        // After a 503 the server closes the connection, so that the user asks another node.
        let mut conn = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
        let request = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        futures_lite::AsyncWriteExt::write_all(&mut conn, request).await.expect("sent");
        let mut received = String::new();
        let all = timed(Duration::from_secs(2), conn.read_to_string(&mut received)).await;
        assert!(all.is_ok() && received.starts_with("HTTP/1.1 503"), "closed after the response: {received}");
        assert_eq!(
            ask(Method::Get, "/work/req-1").await.map(|response| response.0),
            Ok(200),
            "within the timeout of a poll"
        );
        assert_eq!(
            ask(Method::Get, crate::wire::HEALTH_PATH).await,
            Err(CallError::NoResponse),
            "the load balancer has timed out"
        );
    }));
}

/// Bodies that are sent slowly, or by many clients at once, take no more than the memory limit: a further request with
/// a body gets 503 at once, and a request without a body is served.
#[test]
fn bodies_take_no_more_than_their_part() {
    let addr = listening(Bounds { connections: 64, body_bytes: 2 * MAX_BODY });
    async_io::block_on(EX.run(async {
        let mut slow = Vec::new();
        for _ in 0..2 {
            let mut conn = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
            let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {MAX_BODY}\r\n\r\n{{");
            futures_lite::AsyncWriteExt::write_all(&mut conn, head.as_bytes()).await.expect("sent");
            slow.push(conn);
        }
        Timer::after(Duration::from_millis(100)).await;
        let client = Client::new(1, 1);
        let limit = Duration::from_secs(2);
        let refused = client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await;
        assert_eq!(refused.map(|response| response.0), Ok(503));
        assert_eq!(client.call(addr, Method::Get, "/", None, limit).await.map(|response| response.0), Ok(200));
        drop(slow);
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(
            client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await.map(|response| response.0),
            Ok(200)
        );
    }));
}

/// Guards against accepting an incomplete response: a server may be killed while it responds.
#[test]
fn an_answer_that_ends_before_its_announced_length_is_none() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = std::io::Read::read(&mut stream, &mut request).expect("a request");
        let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"a\"";
        std::io::Write::write_all(&mut stream, cut).expect("sent");
    });
    let call = async { Client::new(0, 0).call(addr, Method::Get, "/up", None, Duration::from_secs(2)).await };
    assert_eq!(async_io::block_on(call), Err(CallError::NoResponse));
    server.join().expect("served");
}
