//! The HTTP port for callers: generations and calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use fastrace::future::FutureExt as _;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::{TcpListener, TcpSocket};
use uuid::Uuid;

use crate::context::Context;
use crate::telemetry;
use crate::utils::http::TRACEPARENT;

mod body;
mod completions;
mod problem;
mod resumption;
mod services;

use problem::{Kind, Problem, RunStatus};

/// Size of the kernel's send buffer of a connection, in bytes; it bounds what is buffered outside
/// the process for a caller that does not read.
const SEND_BUFFER: u32 = 64 << 10;

/// Connections that may wait in the listen queue.
const BACKLOG: u32 = 1_024;

/// Smallest buffer of a connection that the HTTP server accepts, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// Header that carries the identifier of the request.
const REQUEST_ID: &str = "medlarfall-request-id";

/// An authenticated caller.
#[derive(Clone, Debug)]
struct Caller {
    /// Client account of the caller.
    account: Arc<str>,
    /// Identifier of the request.
    request_id: Arc<str>,
}

/// Middleware that authenticates the caller. It rejects requests whose headers are too large, and
/// all requests while the entry is leaving.
struct Authenticate {
    context: Arc<Context>,
}

#[async_trait]
impl Handler for Authenticate {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let request_id: Arc<str> = Arc::from(Uuid::now_v7().to_string());
        let _ = response.add_header(REQUEST_ID, request_id.as_ref(), true);
        let limit = self.context.settings.callers.header_limit;
        if header_bytes(request) > limit {
            let message =
                format!("the headers are larger than {limit} bytes; send fewer or shorter ones");
            Problem::new(Kind::HeadersTooLarge, RunStatus::NotRun, message).render(response);
            control.skip_rest();
            return;
        }
        let key = request.header::<String>("authorization");
        let key = key
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "));
        let account = key.and_then(|key| self.context.settings.keys.account(key));
        if self.context.stops.leaving() {
            Problem::new(
                Kind::EntryLeaving,
                RunStatus::NotRun,
                "this entry is leaving; send the request to another entry",
            )
            .render(response);
            control.skip_rest();
            return;
        }
        if let Some(account) = account {
            let every = self.context.settings.log.trace_every;
            let span = telemetry::request(request.header::<String>(TRACEPARENT).as_deref(), every);
            span.add_properties(|| {
                [
                    ("request", request_id.to_string()),
                    ("account", account.to_string()),
                ]
            });
            depot.insert_typed(Caller {
                account,
                request_id,
            });
            control
                .call_next(request, depot, response)
                .in_span(span)
                .await;
            return;
        }
        Problem::new(
            Kind::Unauthenticated,
            RunStatus::NotRun,
            "send your key as `authorization: Bearer KEY`",
        )
        .render(response);
        control.skip_rest();
    }
}

/// Returns the total size of a request's header names and values, in bytes.
fn header_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Starts the callers' port and returns its address.
///
/// # Errors
///
/// Returns an I/O error if the address cannot be bound.
pub fn start(context: &Arc<Context>) -> std::io::Result<SocketAddr> {
    let bounds = context.settings.callers;
    let acceptor = TcpAcceptor::try_from(listen(context.settings.listen.callers)?)?;
    let address = acceptor.local_addr()?;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(bounds.request_timeout)
        .with_write_stall_timeout(bounds.write_stall_timeout)
        .with_request_body_timeout(bounds.request_timeout);
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(bounds.connections);
    let buffer = (2 * bounds.header_limit).max(MIN_BUFFER);
    server.http1_mut().max_buf_size(buffer);
    let header_limit = u32::try_from(buffer).unwrap_or(u32::MAX);
    server.http2_mut().max_header_list_size(header_limit);
    let router = router(context);
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = server.serve(router) => {}
        }
    });
    Ok(address)
}

/// Listens on an address with a bounded send buffer and without Nagle's algorithm.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit both options. Without `TCP_NODELAY`, a reused connection delays
    // the first event of each answer until the caller has acknowledged the headers.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns the routes of the callers' port.
fn router(context: &Arc<Context>) -> Router {
    let completions = completions::Endpoint {
        context: Arc::clone(context),
    };
    let services = services::Endpoint {
        context: Arc::clone(context),
    };
    let authenticate = Authenticate {
        context: Arc::clone(context),
    };
    Router::new()
        .hoop(authenticate)
        .push(Router::with_path("v1/completions").post(completions))
        .push(Router::with_path("s/{service}/{**rest}").goal(services))
}
