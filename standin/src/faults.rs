//! Faults that every stand-in shares: death, pauses, slowness and lost answers.

use std::process;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::{self, Abort, Body};

/// Exit code of a stand-in process that died as its faults say.
const DEATH_EXIT_CODE: i32 = 86;

/// What death means for a stand-in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashScope {
    /// The process ends.
    Process,
    /// Only the stand-in's tasks end; for stand-ins embedded in another process.
    #[default]
    Tasks,
}

/// An order on the control endpoint `POST /control/process`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// Dies at once.
    pub die: bool,
    /// Pauses for this long, in milliseconds: nothing is read, computed or answered.
    pub pause_ms: Option<u64>,
}

/// The life of a stand-in: running, paused or dead.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    crash_scope: CrashScope,
    stop: CancellationToken,
    paused: Arc<watch::Sender<bool>>,
}

impl Lifecycle {
    /// Returns the life of a stand-in that has just started.
    #[must_use]
    pub fn new(crash_scope: CrashScope) -> Self {
        Self {
            crash_scope,
            stop: CancellationToken::new(),
            paused: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Returns the token that is cancelled when the stand-in dies.
    #[must_use]
    pub fn stop(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Dies at once.
    pub fn crash(&self) {
        self.stop.cancel();
        if self.crash_scope == CrashScope::Process {
            process::exit(DEATH_EXIT_CODE);
        }
    }

    /// Returns whether the stand-in has died.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Pauses for `duration`.
    pub fn pause(&self, duration: Duration) {
        self.paused.send_replace(true);
        let paused = Arc::clone(&self.paused);
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            paused.send_replace(false);
        });
    }

    /// Waits until the stand-in is not paused.
    pub async fn running(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Answers the parts of the control endpoint that all stand-ins share: `faults` and `process`.
    ///
    /// # Errors
    ///
    /// Cuts the connection if the order was to die.
    pub async fn control<F: DeserializeOwned>(
        &self,
        path: &str,
        request: Request<Incoming>,
        set_faults: impl FnOnce(F),
    ) -> Result<Response<Body>, Abort> {
        match path {
            "faults" => match http::read_json(request).await {
                Some(faults) => {
                    set_faults(faults);
                    Ok(http::json(StatusCode::OK, &serde_json::json!({})))
                }
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "faults expected")),
            },
            "process" => match http::read_json(request).await {
                Some(order) => self.obey(order),
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "an order expected")),
            },
            _ => Ok(http::problem(StatusCode::NOT_FOUND, "no such control")),
        }
    }

    /// Carries out an order of the control endpoint.
    ///
    /// # Errors
    ///
    /// Cuts the connection if the order was to die.
    pub fn obey(&self, order: Order) -> Result<Response<Body>, Abort> {
        if order.die {
            self.crash();
            return Err(Abort);
        }
        if let Some(pause) = order.pause_ms {
            self.pause(Duration::from_millis(pause));
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }
}
