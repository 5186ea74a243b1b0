//! The operators' port: a gRPC service for declarations, planned stops, orders, moves and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_schema::operator as rpc;
use medlarfall_schema::operator::operator_server::{Operator, OperatorServer};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::context::Context;
use crate::modules::declarations;

pub mod apply;
pub mod confirm;
mod moves;
mod orders;
mod stops;

/// Handles the calls of operators.
struct Handle {
    context: Arc<Context>,
}

/// Starts the operators' port and returns its address.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(context: Arc<Context>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(context.settings.listen.operators).await?;
    let address = listener.local_addr()?;
    let stop = context.stop.clone();
    let key = context.settings.keys.operators.clone();
    let authenticate = move |request: Request<()>| {
        let value = request
            .metadata()
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        match value.and_then(|value| value.strip_prefix("Bearer ")) {
            Some(candidate) if key.matches(candidate) => Ok(request),
            _ => Err(Status::unauthenticated(
                "send the operators' key as `authorization: Bearer KEY`",
            )),
        }
    };
    let service = OperatorServer::with_interceptor(Handle { context }, authenticate);
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop.cancelled_owned());
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!(error = error.to_string().as_str(); "server of the operators' port failed");
        }
    });
    Ok(address)
}

#[tonic::async_trait]
impl Operator for Handle {
    async fn apply(
        &self,
        request: Request<rpc::ApplyRequest>,
    ) -> Result<Response<rpc::ApplyReply>, Status> {
        let request = request.into_inner();
        let (wait, wait_ms) = (request.wait, request.wait_ms);
        let change = apply::Change::try_from(request)?;
        let replica = &self.context.declaration_replica;
        let known = replica.get(change.name());
        let stored = apply::store(&self.context.platform, known.as_deref(), change).await?;
        replica.offer(declarations::record(stored.clone()));
        let mut reply = rpc::ApplyReply::default();
        if wait {
            let limit = Duration::from_millis(wait_ms);
            let confirmation =
                confirm::wait(&self.context, &stored.name, stored.revision, limit).await;
            reply.confirmed = confirmation.confirmed.len() as u64;
            reply.missing = confirmation
                .missing
                .iter()
                .map(ToString::to_string)
                .collect();
        }
        reply.service = Some(stored);
        Ok(Response::new(reply))
    }

    async fn list(&self, _: Request<rpc::ListRequest>) -> Result<Response<rpc::ListReply>, Status> {
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let services = declarations
            .services
            .values()
            .map(|service| service.as_ref().clone());
        Ok(Response::new(rpc::ListReply {
            services: services.collect(),
        }))
    }

    async fn plan_stop(
        &self,
        request: Request<rpc::PlanStopRequest>,
    ) -> Result<Response<rpc::PlanStopReply>, Status> {
        let stop = stops::plan(&self.context, request.into_inner()).await?;
        Ok(Response::new(rpc::PlanStopReply { stop: Some(stop) }))
    }

    type WatchStopStream = stops::Progress;

    async fn watch_stop(
        &self,
        request: Request<rpc::WatchStopRequest>,
    ) -> Result<Response<Self::WatchStopStream>, Status> {
        let progress = stops::watch(&self.context, &request.into_inner().target).await?;
        Ok(Response::new(progress))
    }

    async fn cancel_stop(
        &self,
        request: Request<rpc::CancelStopRequest>,
    ) -> Result<Response<rpc::PlanStopReply>, Status> {
        let stop = stops::cancel(&self.context, request.into_inner()).await?;
        Ok(Response::new(rpc::PlanStopReply { stop: Some(stop) }))
    }

    async fn order(
        &self,
        request: Request<rpc::OrderRequest>,
    ) -> Result<Response<rpc::OrderReply>, Status> {
        let reply = orders::order(&self.context, request.into_inner()).await?;
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        _: Request<rpc::StatusRequest>,
    ) -> Result<Response<rpc::StatusReply>, Status> {
        let directory = Arc::clone(&self.context.directory.borrow());
        let backend_servers = directory.iter().map(|server| rpc::BackendServer {
            name: server.name.to_string(),
            service: server.service.to_string(),
            version: server.version.to_string(),
            failure_domain: server.failure_domain.to_string(),
            leaving: server.leaving,
        });
        Ok(Response::new(rpc::StatusReply {
            entry: self.context.settings.entry.name.to_string(),
            backend_servers: backend_servers.collect(),
            store_reachable: self.context.declarations.borrow().store_reachable,
        }))
    }

    async fn start_move(
        &self,
        request: Request<rpc::StartMoveRequest>,
    ) -> Result<Response<rpc::MoveState>, Status> {
        let state = moves::start(&self.context, request.into_inner()).await?;
        Ok(Response::new(state))
    }

    type WatchMoveStream = moves::States;

    async fn watch_move(
        &self,
        request: Request<rpc::WatchMoveRequest>,
    ) -> Result<Response<moves::States>, Status> {
        let states = moves::watch(&self.context, request.into_inner()).await?;
        Ok(Response::new(states))
    }

    async fn cancel_move(
        &self,
        request: Request<rpc::CancelMoveRequest>,
    ) -> Result<Response<rpc::MoveState>, Status> {
        let state = moves::cancel(&self.context, request.into_inner()).await?;
        Ok(Response::new(state))
    }
}
