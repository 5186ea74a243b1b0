//! Operators' calls that give orders to backend servers.

use std::time::Duration;

use medlarfall_schema::operator as rpc;
use tonic::Status;

use crate::backend::Role;
use crate::context::Context;
use crate::modules::orders::{self, Desired, Error};

/// Time for which a server's lock is requested before the order fails.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);

impl From<Error> for Status {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        match error {
            Error::Superseded { .. } => Self::aborted(message),
            Error::NoLock { .. } => Self::unavailable(message),
            Error::Failed { .. } => Self::unknown(message),
        }
    }
}

/// Orders a backend server to change to a state, and returns the state that it reached.
pub(super) async fn order(
    context: &Context,
    request: rpc::OrderRequest,
) -> Result<rpc::OrderReply, Status> {
    let found = context.directory.borrow().find(&request.server).cloned();
    let server = found.filter(|server| server.role == Role::Engine);
    let Some(server) = server else {
        return Err(Status::not_found(format!(
            "no engine `{}` is on the instance list: check the name, or wait until it is listed",
            request.server
        )));
    };
    let versions = (!request.versions.is_empty()).then(|| request.versions.into_iter().collect());
    let desired = Desired {
        versions,
        role: request.role,
        drain: request.drain,
    };
    if desired == Desired::default() {
        return Err(Status::invalid_argument(
            "the order is empty: name versions, a role or whether to drain",
        ));
    }
    let enforced = context.enforces_fencing(&server);
    let state =
        orders::execute(&context.orders(), &server, &desired, enforced, LOCK_TIMEOUT).await?;
    Ok(rpc::OrderReply {
        fencing: state.fencing,
        versions: state.versions.into_iter().collect(),
        role: state.role,
        draining: state.draining,
    })
}
