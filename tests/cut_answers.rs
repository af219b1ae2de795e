//! Responses that are truncated because the connection closes, for example when the server process is killed.

use http_types::Method;
use lupinspur::http::{CallError, Client};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Starts a server that reads one request, writes `response` and closes the connection.
fn server_that_answers(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        _ = connection.read(&mut [0; 4096]).expect("a request");
        connection.write_all(response.as_bytes()).expect("sent");
    });
    address
}

fn ask(address: SocketAddr) -> Result<(u16, Vec<u8>), CallError> {
    let client = Client::new(0, 0);
    async_io::block_on(client.call(address, Method::Get, "/work/req-0001", None, Duration::from_secs(2)))
}

/// Guards against treating a truncated body as a response.
#[test]
fn a_body_that_is_cut_short_is_no_answer() {
    let address = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"bloom\":");
    assert!(matches!(ask(address), Err(CallError::NoResponse)));
    let address = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n");
    assert!(matches!(ask(address), Err(CallError::NoResponse)));
}

/// Guards against rejecting a complete body because the connection closes after it.
#[test]
fn a_whole_body_is_an_answer_though_the_connection_ends_behind_it() {
    let address = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    assert_eq!(ask(address).ok(), Some((200, b"{}".to_vec())));
    let address = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(ask(address).ok(), Some((200, Vec::new())));
}
