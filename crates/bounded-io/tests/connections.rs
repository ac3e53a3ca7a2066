//! Connections whose peers send without completing anything, stop reading, or are too many.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use millford_bounded_io::{
    BoundedHttpClient, FetchError, ServerBounds, StalledWriteStream, open_http, serve_connections,
    unavailable,
};
use millford_settings::PartLog;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 1024;

/// Sends `first` and then `repeated` again and again, if it is not empty, on each connection.
async fn peer(first: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1024];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(first.as_bytes()).await;
                let block = repeated.repeat(100);
                while !block.is_empty() && stream.write_all(block.as_bytes()).await.is_ok() {}
                let _ = stream.read(&mut request).await;
            });
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).expect("a request")
}

#[tokio::test]
async fn interim_answers_without_an_end_fail_and_a_few_do_not() {
    let endless = peer("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    let stream = TcpStream::connect(endless).await.expect("a connection");
    let mut connection = open_http(stream, MAX_HEAD_BYTES).await.expect("HTTP");
    let answer = connection.sender.send_request(request()).await;
    assert!(answer.is_err());
    assert!(connection.allowance.is_exceeded());

    let few = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
               HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let sound = peer(few, "").await;
    let stream = TcpStream::connect(sound).await.expect("a connection");
    let mut connection = open_http(stream, MAX_HEAD_BYTES).await.expect("HTTP");
    let answer = connection.sender.send_request(request()).await;
    let body = answer.expect("an answer").into_body().collect().await;
    assert_eq!(body.expect("a body").to_bytes(), "ok");
}

#[tokio::test]
async fn a_head_over_the_limit_fails() {
    let address = peer("HTTP/1.1 200 OK\r\nx-long: ", "xxxxxxxxxxxxxxxx").await;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut connection = open_http(stream, MAX_HEAD_BYTES).await.expect("HTTP");
    let error = connection.sender.send_request(request()).await.unwrap_err();
    assert!(error.is_parse_too_large(), "{error:?}");
}

#[tokio::test]
async fn a_page_over_the_limit_is_not_fetched_and_one_within_it_is() {
    let client = BoundedHttpClient::new(MAX_HEAD_BYTES, MAX_BODY_BYTES, Duration::from_secs(1));
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        peer(chunked, "8\r\nxxxxxxxx\r\n").await,
        peer(chunked, "0").await,
        peer("", "HTTP/1.1 100 Continue\r\n\r\n").await,
        peer("HTTP/1.1 200 OK\r\ncontent-length: 1025\r\n\r\n", "x").await,
    ];
    for address in cases {
        let fetched = client.get(&address.to_string(), "/").await;
        assert!(
            matches!(fetched, Err(FetchError::OverLimit)),
            "{address}: {fetched:?}"
        );
    }
    let whole = peer("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npage", "").await;
    let fetched = client.get(&whole.to_string(), "/").await;
    let (status, body) = fetched.expect("a page");
    assert_eq!((status, body), (StatusCode::OK, Bytes::from("page")));
}

#[tokio::test]
async fn a_peer_that_does_not_read_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let _unread = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("the connection");
    let mut stream = StalledWriteStream::new(stream, Duration::from_millis(50));
    let block = vec![0; 1 << 20];
    let error = loop {
        if let Err(error) = stream.write_all(&block).await {
            break error;
        }
    };
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}

async fn status(address: SocketAddr) -> (StatusCode, TcpStream) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.expect("an answer");
    let status = StatusCode::from_bytes(&head[9..]).expect("a status");
    (status, stream)
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_until_one_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let bounds = ServerBounds {
        max_connections: 1,
        header_timeout: Duration::from_millis(100),
        ..ServerBounds::default()
    };
    let service = service_fn(|_: Request<Incoming>| async {
        Ok::<_, Infallible>(Response::new(Full::<Bytes>::from("page")))
    });
    let log = PartLog::new("TEST");
    tokio::spawn(serve_connections(
        listener,
        service,
        bounds,
        log,
        unavailable,
    ));
    let (first, _open) = status(address).await;
    assert_eq!(first, StatusCode::OK);
    let (second, _) = status(address).await;
    assert_eq!(second, StatusCode::SERVICE_UNAVAILABLE);
    // The first connection is idle and ends after the header timeout.
    while status(address).await.0 != StatusCode::OK {
        tokio::task::yield_now().await;
    }
}
