//! What a connection to a controller may bring, and how long it may take: a body of at most 64 KiB, and a request
//! that is there in time.

#[allow(dead_code)]
#[path = "common/http.rs"]
mod http;

use http::{lock, server};
use lupinspur::http::Outgoing;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LARGEST_BODY: usize = 64 * 1024;

/// A server, and the lengths of the bodies that it was given.
fn door() -> (SocketAddr, Arc<Mutex<Vec<usize>>>) {
    let lengths: Arc<Mutex<Vec<usize>>> = Arc::default();
    let noted = lengths.clone();
    let address = server(move |request| {
        lock(&noted).push(request.body.len());
        async { Outgoing::json(200, &1) }
    });
    (address, lengths)
}

/// The status of the answer to these bytes; 0 if the connection ends without one.
fn answered(address: SocketAddr, request: &[u8]) -> u16 {
    let mut connection = TcpStream::connect(address).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(20))).expect("a limit");
    // What is refused need not be read to its end.
    let _ = connection.write_all(request);
    let mut answer = [0; 512];
    let length = connection.read(&mut answer).unwrap_or(0);
    let head = String::from_utf8_lossy(&answer[..length]).into_owned();
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn with_length(bytes: usize) -> Vec<u8> {
    let head = format!("POST /work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n");
    [head.into_bytes(), vec![b' '; bytes]].concat()
}

fn in_chunks(bytes: usize) -> Vec<u8> {
    let head = "POST /work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    [format!("{head}{bytes:x}\r\n").into_bytes(), vec![b' '; bytes], b"\r\n0\r\n\r\n".to_vec()].concat()
}

/// Guards the memory of a controller, and the requests of those that keep to the limit.
#[test]
fn a_body_is_at_most_64_kib() {
    let (address, lengths) = door();
    for request in [with_length, in_chunks] {
        assert_eq!(answered(address, &request(LARGEST_BODY)), 200);
        assert_eq!(answered(address, &request(LARGEST_BODY + 1)), 413);
        assert_eq!(answered(address, &request(4 * LARGEST_BODY)), 413);
    }
    assert_eq!(*lock(&lengths), [LARGEST_BODY; 2], "nothing else is handled");
}

/// Guards the sockets of a controller: half a request that nobody goes on with holds one for seconds only.
#[test]
fn a_request_that_does_not_come_to_its_end_is_given_up() {
    let (address, lengths) = door();
    let began = Instant::now();
    let half = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{";
    assert_eq!(answered(address, half), 408);
    assert!(began.elapsed() < Duration::from_secs(9), "after {:?}", began.elapsed());
    assert!(lock(&lengths).is_empty(), "it is not handled");
}
