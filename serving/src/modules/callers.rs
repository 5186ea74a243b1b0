//! The callers' port: generations and calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::{TcpListener, TcpSocket};
use uuid::Uuid;

use crate::context::Context;

mod answer;
mod completions;
mod problem;
mod resumption;
mod services;

use problem::{Kind, Outcome, Problem};

/// Bytes that the operating system holds for a caller that does not read.
const SEND_BUFFER: u32 = 64 << 10;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest buffer of a connection that the HTTP server takes, in bytes.
const SMALLEST_BUFFER: usize = 8 << 10;

/// Header that names the request.
const REQUEST_ID: &str = "medlarfall-request-id";

/// A caller that has shown its key.
#[derive(Clone, Debug)]
struct Caller {
    /// Client account of the caller.
    account: Arc<str>,
    /// Identifier of the request.
    request_id: Arc<str>,
}

/// Checks the caller's key before any other handler.
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
        let key = request.header::<String>("authorization");
        let key = key
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "));
        let account = key.and_then(|key| self.context.settings.keys.account(key));
        if let Some(account) = account {
            depot.insert_typed(Caller {
                account,
                request_id,
            });
            return;
        }
        Problem::new(
            Kind::Unauthenticated,
            Outcome::NotRun,
            "send your key as `authorization: Bearer KEY`",
        )
        .render(response);
        control.skip_rest();
    }
}

/// Starts the callers' port and returns its address.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
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
    server
        .http1_mut()
        .max_buf_size(bounds.header_limit.max(SMALLEST_BUFFER));
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

/// Listens on an address; what the system holds for a caller that does not read is bounded.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns the routes of the callers' port.
fn router(context: &Arc<Context>) -> Router {
    let completions = completions::Handle {
        context: Arc::clone(context),
    };
    let services = services::Handle {
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
