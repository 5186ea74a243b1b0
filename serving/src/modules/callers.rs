//! The callers' port: generations and calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use salvo::conn::TcpListener;
use salvo::fuse::FuseConfig;
use salvo::prelude::*;
use uuid::Uuid;

use crate::context::Context;

mod completions;
mod problem;
mod resumption;
mod services;

use problem::{Kind, Outcome, Problem};

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
        if self.context.stops.leaving() {
            Problem::new(
                Kind::EntryLeaving,
                Outcome::NotRun,
                "this entry is leaving; send the request to another entry",
            )
            .render(response);
            control.skip_rest();
            return;
        }
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
pub async fn start(context: Arc<Context>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::new(context.settings.listen.callers)
        .try_bind()
        .await;
    let acceptor = listener.map_err(std::io::Error::other)?;
    let address = acceptor.local_addr()?;
    let bounds = context.settings.callers;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(bounds.request_timeout)
        .with_request_body_timeout(bounds.request_timeout);
    let server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(bounds.connections);
    let router = router(&context);
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = server.serve(router) => {}
        }
    });
    Ok(address)
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
