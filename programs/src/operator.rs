//! Client of the operators' port.

use std::net::SocketAddr;

use medlarfall_schema::declaration::{Service, Stop};
use medlarfall_schema::operator as rpc;
use medlarfall_schema::operator::operator_client::OperatorClient;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};
use uuid::Uuid;

/// Interceptor that adds the operators' key to each call.
#[derive(Clone, Debug)]
pub struct Key(MetadataValue<Ascii>);

impl Interceptor for Key {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request
            .metadata_mut()
            .insert("authorization", self.0.clone());
        Ok(request)
    }
}

/// An operator's client of one entry.
#[derive(Clone, Debug)]
pub struct Operator {
    client: OperatorClient<InterceptedService<Channel, Key>>,
}

impl Operator {
    /// Returns a client of the entry at `entry` that authenticates with `key`.
    ///
    /// # Errors
    ///
    /// Returns a status if the key cannot be sent or the address is malformed.
    pub fn new(entry: SocketAddr, key: &str) -> Result<Self, Status> {
        let value = format!("Bearer {key}").parse();
        let value = value.map_err(|_| {
            Status::invalid_argument("the key holds characters that cannot be sent")
        })?;
        let endpoint = Endpoint::from_shared(format!("http://{entry}"));
        let endpoint = endpoint.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let client = OperatorClient::with_interceptor(endpoint.connect_lazy(), Key(value));
        Ok(Self { client })
    }

    /// Declares a service and returns the declaration as stored.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn apply(&mut self, service: Service) -> Result<Service, Status> {
        let change_id = Uuid::now_v7().to_string();
        let request = rpc::ApplyRequest {
            service: Some(service),
            change_id,
            ..rpc::ApplyRequest::default()
        };
        let reply = self.client.apply(request).await?.into_inner();
        Ok(reply.service.unwrap_or_default())
    }

    /// Sends `request` as given and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn apply_request(
        &mut self,
        request: rpc::ApplyRequest,
    ) -> Result<rpc::ApplyReply, Status> {
        Ok(self.client.apply(request).await?.into_inner())
    }

    /// Returns the declarations in force at the entry.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn list(&mut self) -> Result<Vec<Service>, Status> {
        Ok(self
            .client
            .list(rpc::ListRequest {})
            .await?
            .into_inner()
            .services)
    }

    /// Plans a stop and returns it as stored.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn plan_stop(&mut self, stop: Stop) -> Result<Stop, Status> {
        let request = rpc::PlanStopRequest {
            stop: Some(stop),
            change_id: Uuid::now_v7().to_string(),
        };
        let reply = self.client.plan_stop(request).await?.into_inner();
        Ok(reply.stop.unwrap_or_default())
    }

    /// Cancels a planned stop and returns it as stored.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn cancel_stop(&mut self, target: &str) -> Result<Stop, Status> {
        let request = rpc::CancelStopRequest {
            target: target.to_owned(),
            change_id: Uuid::now_v7().to_string(),
        };
        let reply = self.client.cancel_stop(request).await?.into_inner();
        Ok(reply.stop.unwrap_or_default())
    }

    /// Orders a backend server into a state and returns its resulting state.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal, also if the server did not reach that state.
    pub async fn order(&mut self, request: rpc::OrderRequest) -> Result<rpc::OrderReply, Status> {
        Ok(self.client.order(request).await?.into_inner())
    }

    /// Returns a stream of a stop's progress: the requests that still have to end before it.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn watch_stop(
        &mut self,
        target: &str,
    ) -> Result<Streaming<rpc::StopProgress>, Status> {
        let request = rpc::WatchStopRequest {
            target: target.to_owned(),
        };
        Ok(self.client.watch_stop(request).await?.into_inner())
    }

    /// Returns the entry's view of the system.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn status(&mut self) -> Result<rpc::StatusReply, Status> {
        Ok(self
            .client
            .status(rpc::StatusRequest {})
            .await?
            .into_inner())
    }

    /// Starts a move of a service to another version, to end by `deadline_ms` in milliseconds of
    /// Unix time.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn start_move(
        &mut self,
        service: &str,
        version: &str,
        deadline_ms: u64,
    ) -> Result<rpc::MoveState, Status> {
        let request = rpc::StartMoveRequest {
            service: service.to_owned(),
            version: version.to_owned(),
            deadline_ms,
            move_id: Uuid::now_v7().to_string(),
        };
        Ok(self.client.start_move(request).await?.into_inner())
    }

    /// Returns a stream of the states of a service's move up to its end; an empty `move_id` selects
    /// the latest move.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn watch_move(
        &mut self,
        service: &str,
        move_id: &str,
    ) -> Result<Streaming<rpc::MoveState>, Status> {
        let request = rpc::WatchMoveRequest {
            service: service.to_owned(),
            move_id: move_id.to_owned(),
        };
        Ok(self.client.watch_move(request).await?.into_inner())
    }

    /// Cancels a move: the service is taken back to its previous version.
    ///
    /// # Errors
    ///
    /// Returns the status of the entry's refusal.
    pub async fn cancel_move(
        &mut self,
        service: &str,
        move_id: &str,
    ) -> Result<rpc::MoveState, Status> {
        let request = rpc::CancelMoveRequest {
            service: service.to_owned(),
            move_id: move_id.to_owned(),
        };
        Ok(self.client.cancel_move(request).await?.into_inner())
    }
}
