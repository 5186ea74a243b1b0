//! Metrics of an entry, and the HTTP port that serves them and the health checks.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;

use crate::context::Context;

/// Labels of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Request {
    /// Service that the request was for.
    pub service: String,
    /// Whether the request ran: `ran`, `not-run` or `unknown`.
    pub run: String,
}

/// Labels of a declaration from the store that was rejected.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// Why it was rejected: `older`, `fork`, `missing` or `unreadable`.
    pub reason: &'static str,
}

/// Labels of an admitted request.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Admitted {
    /// Whether the backend server is in the entry's own failure domain.
    pub own_failure_domain: bool,
}

/// Counts of admitted requests, by whether their backend server is in the own failure domain.
#[derive(Clone, Debug, Default)]
pub struct Admissions(Family<Admitted, Counter>);

impl Admissions {
    /// Counts a request admitted to a server in the own or another failure domain.
    pub fn count(&self, own_failure_domain: bool) {
        self.0.get_or_create(&Admitted { own_failure_domain }).inc();
    }

    /// Returns the requests admitted in the own failure domain.
    #[must_use]
    pub fn own_failure_domain(&self) -> u64 {
        self.value(true)
    }

    /// Returns the requests admitted in other failure domains.
    #[must_use]
    pub fn other_failure_domains(&self) -> u64 {
        self.value(false)
    }

    fn value(&self, own_failure_domain: bool) -> u64 {
        self.0.get_or_create(&Admitted { own_failure_domain }).get()
    }
}

/// Metrics of one entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: Family<Request, Counter>,
    /// Admitted requests, by whether their backend server is in the own failure domain.
    pub admitted: Admissions,
    /// Attempts at generations that were lost or refused.
    pub attempts_lost: Counter,
    /// Declarations from the store that were rejected, by reason.
    pub store_refusals: Family<Refusal, Counter>,
    /// Generations moved off a leaving server while it was still running them.
    pub generations_moved: Counter,
    /// Text buffered for readers that have not read it yet, in bytes.
    pub buffered_bytes: Gauge,
    /// Times a generation was parked: cancelled at its engine because the reader did not read.
    pub generations_parked: Counter,
    /// Times that buffered text was discarded because the entry buffered too much.
    pub buffers_discarded: Counter,
    /// Generations that a caller continued with a resume token.
    pub generations_resumed: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, with a value of zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("medlarfall");
        let requests = Family::default();
        registry.register(
            "requests",
            "Requests by service and outcome",
            requests.clone(),
        );
        let admitted = Admissions::default();
        registry.register(
            "admitted",
            "Requests admitted to a backend server",
            admitted.0.clone(),
        );
        let attempts_lost = Counter::default();
        registry.register(
            "attempts_lost",
            "Attempts of generations that were lost",
            attempts_lost.clone(),
        );
        let store_refusals = Family::default();
        registry.register(
            "store_refusals",
            "Declarations from the store that were not obeyed, by reason",
            store_refusals.clone(),
        );
        let buffered_bytes = Gauge::default();
        registry.register(
            "held_bytes",
            "Text held for readers that have not read it yet",
            buffered_bytes.clone(),
        );
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let generations_parked = counter(
            "generations_parked",
            "Generations taken from their engine because the reader did not read",
        );
        let buffers_discarded = counter(
            "held_given_up",
            "Times that held text was given up because the entry held too much",
        );
        let generations_resumed = counter(
            "generations_resumed",
            "Generations taken over with a resume token",
        );
        let generations_moved = counter(
            "generations_moved",
            "Generations moved off a leaving server while it still ran them",
        );
        Self {
            registry,
            requests,
            admitted,
            attempts_lost,
            store_refusals,
            generations_moved,
            buffered_bytes,
            generations_parked,
            buffers_discarded,
            generations_resumed,
        }
    }

    /// Counts a request of a service, by whether it ran: `ran`, `not-run` or `unknown`.
    pub fn count_request(&self, service: &str, run: &str) {
        let labels = Request {
            service: service.to_owned(),
            run: run.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns the metrics in the text format of `OpenMetrics`.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves one path of the metrics port.
struct Handle {
    context: Arc<Context>,
    respond: fn(&Context) -> (StatusCode, String),
}

#[async_trait]
impl Handler for Handle {
    async fn handle(
        &self,
        _: &mut salvo::Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let (status, text) = (self.respond)(&self.context);
        response.status_code(status);
        response.render(Text::Plain(text));
    }
}

/// Starts the metrics port and returns its address.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(context: Arc<Context>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::new(context.settings.listen.metrics)
        .try_bind()
        .await;
    let acceptor = listener.map_err(std::io::Error::other)?;
    let address = acceptor.local_addr()?;
    let handle = |respond| Handle {
        context: Arc::clone(&context),
        respond,
    };
    let router = Router::new()
        .push(
            Router::with_path("metrics")
                .get(handle(|context| (StatusCode::OK, context.metrics.text()))),
        )
        .push(Router::with_path("healthz").get(handle(|_| (StatusCode::OK, "ok\n".to_owned()))))
        .push(Router::with_path("readyz").get(handle(ready)));
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = Server::new(acceptor).serve(router) => {}
        }
    });
    Ok(address)
}

/// Returns whether the entry can take requests, and if not, why.
fn ready(context: &Context) -> (StatusCode, String) {
    if context.stops.leaving() {
        let reason = "not ready: this entry is leaving; send requests to another entry\n";
        return (StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    }
    if context.declarations.borrow().loaded {
        return (StatusCode::OK, "ready\n".to_owned());
    }
    let reason =
        "not ready: no declarations have been read yet; neither the platform's store nor a \
        peer that has read them answers: check `platform.address` and `peers.seeds`
";
    (StatusCode::SERVICE_UNAVAILABLE, reason.to_owned())
}
