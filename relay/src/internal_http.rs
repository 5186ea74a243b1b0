//! HTTP server for requests that need no waiting: readiness checks, metrics, and changes for peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Pause after a failed accept, usually for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers every request with `reply` until the task is aborted.
pub async fn serve<R>(listener: TcpListener, reply: R)
where
    R: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    let reply = Arc::new(reply);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(reason = error.to_string().as_str(); "connection not accepted on an internal port");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let reply = Arc::clone(&reply);
        let service =
            service_fn(move |request| std::future::ready(Ok::<_, Infallible>(reply(&request))));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(reason = error.to_string().as_str(); "internal connection ended with an error");
            }
        });
    }
}
