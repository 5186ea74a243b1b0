//! `/s/{service}/...`: calls to plain services.

use std::sync::Arc;

use bytes::Bytes;
use medlarfall_schema::declaration::{Kind as ServiceKind, Service};
use salvo::http::StatusCode;
use salvo::prelude::*;
use uuid::Uuid;

use super::Caller;
use super::problem::{Kind, Outcome, Problem, RUN};
use crate::backend::{self, Call, Reply, Service as _};
use crate::context::Context;
use crate::modules::admission::{Need, Permit, Refusal};

/// Answers calls to plain services.
pub(super) struct Handle {
    /// What the entry's modules share.
    pub(super) context: Arc<Context>,
}

#[async_trait]
impl Handler for Handle {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let Ok(caller) = depot.get_typed::<Caller>().cloned() else {
            return;
        };
        match self.answer(request, &caller).await {
            Ok(reply) => render(reply, response),
            Err(problem) => problem.render(response),
        }
    }
}

impl Handle {
    /// Makes the call that a caller asked for.
    async fn answer(&self, request: &mut Request, caller: &Caller) -> Result<Reply, Problem> {
        let name = request.param::<String>("service").unwrap_or_default();
        let service = self.service(&name)?;
        let _holding = self.context.stops.holding.request();
        let body = read_body(request, self.context.settings.callers.body_limit).await?;
        let rest = request.param::<String>("rest").unwrap_or_default();
        let query = request
            .uri()
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let call = Call {
            request_id: Arc::clone(&caller.request_id),
            attempt: 0,
            method: request.method().clone(),
            path: Arc::from(format!("/{rest}{query}")),
            content_type: request.header::<String>("content-type").map(Arc::from),
            body,
            traceparent: request.header::<String>("traceparent").map(Arc::from),
        };
        self.call(&service, call, caller).await
    }

    /// Returns the declaration of a plain service.
    fn service(&self, name: &str) -> Result<Arc<Service>, Problem> {
        let declarations = Arc::clone(&self.context.declarations.borrow());
        declarations
            .service(name)
            .filter(|service| service.kind() == ServiceKind::Plain)
            .cloned()
            .ok_or_else(|| unknown(name))
    }

    /// Waits for a backend server that can take a call.
    async fn admit(
        &self,
        service: &Service,
        caller: &Caller,
        tried: &[Arc<str>],
    ) -> Result<Permit, Refusal> {
        let need = Need {
            service: Arc::from(service.name.as_str()),
            version: Arc::from(service.version.as_str()),
            account: Arc::clone(&caller.account),
            weight: 1,
            priority: 0,
            tokens: 1,
            prefix: Uuid::now_v7().as_u64_pair().1,
            deadline: self.context.clock.now() + self.context.settings.services.call_timeout,
            excluded: tried.to_vec(),
        };
        self.context.admission.ask(need).await
    }

    /// Makes attempts while the call was truly not run, or may be repeated.
    async fn call(
        &self,
        service: &Service,
        mut call: Call,
        caller: &Caller,
    ) -> Result<Reply, Problem> {
        let repeatable = idempotent(service, &call);
        let bounds = self.context.settings.services;
        let mut tried = Vec::new();
        let mut last = Problem::new(
            Kind::Unavailable,
            Outcome::NotRun,
            "no backend server can take the call; try again",
        );
        while tried.len() < bounds.attempts {
            let admitted = self.admit(service, caller, &tried).await;
            let permit = match admitted {
                Ok(permit) => permit,
                Err(refusal) if tried.is_empty() => {
                    return Err(Problem::new(
                        Kind::Unavailable,
                        Outcome::NotRun,
                        refusal.to_string(),
                    ));
                }
                Err(_) => break,
            };
            let server = Arc::clone(&permit.server);
            tried.push(Arc::clone(&server.name));
            call.attempt += 1;
            let _holding = self.context.stops.holding.attempt(&server.name);
            let answer = tokio::time::timeout(
                bounds.call_timeout,
                self.context.backend.call(&server, &call),
            )
            .await;
            match answer {
                Ok(Ok(reply)) if !reply.not_run => return Ok(reply),
                Ok(Ok(_) | Err(backend::Error::NotRun { .. })) => {}
                Ok(Err(backend::Error::Lost { .. })) | Err(_) if repeatable => last = lost(),
                Ok(Err(backend::Error::Lost { .. })) | Err(_) => return Err(lost()),
            }
        }
        Err(last)
    }
}

/// Returns the problem of a call whose answer was lost.
fn lost() -> Problem {
    let message = "the call may have run and its answer was lost; read the record before you decide to repeat it";
    Problem::new(Kind::AnswerLost, Outcome::Unknown, message)
}

/// Returns the problem of a service that is not declared.
pub(super) fn unknown(name: &str) -> Problem {
    let message = format!(
        "no service `{name}` of this kind is declared; check the name or ask your operator"
    );
    Problem::new(Kind::UnknownService, Outcome::NotRun, message)
}

/// Returns whether running the call twice has the effect of running it once.
fn idempotent(service: &Service, call: &Call) -> bool {
    let method = call.method.as_str();
    let declared = service
        .routes
        .iter()
        .filter(|route| route.method == method && call.path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len());
    match declared {
        Some(route) => route.idempotent,
        None => matches!(method, "GET" | "HEAD"),
    }
}

/// Reads a request's body up to `limit` bytes.
pub(super) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Problem> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes; send a smaller one");
        Problem::new(Kind::TooLarge, Outcome::NotRun, message)
    };
    let declared = request.header::<usize>("content-length").unwrap_or(0);
    if declared > limit {
        return Err(too_large());
    }
    match request.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(too_large()),
        Err(error) => {
            let message = format!("the body did not arrive whole: {error}; send it again, faster");
            Err(Problem::new(Kind::TooSlow, Outcome::NotRun, message))
        }
    }
}

/// Writes a plain service's answer.
fn render(reply: Reply, response: &mut Response) {
    response.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let _ = response.add_header(RUN, Outcome::Ran.as_str(), true);
    if let Some(content_type) = reply.content_type {
        let _ = response.add_header("content-type", content_type.as_ref(), true);
    }
    response.body(reply.body);
}
