//! Lifecycle and control endpoint that all stand-ins share: crashes, pauses and replacing faults.

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

/// Exit code of a stand-in process that crashed because of an injected fault.
const CRASH_EXIT_CODE: i32 = 86;

/// What an injected crash ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashScope {
    /// The whole process.
    Process,
    /// Only the stand-in's tasks; for stand-ins embedded in another process.
    #[default]
    Tasks,
}

/// A command to the stand-in's process, the body of `POST /control/process`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Crashes the stand-in immediately.
    pub die: bool,
    /// Duration of a pause, in milliseconds, in which only the control endpoint responds.
    pub pause_ms: Option<u64>,
}

/// State of a stand-in's process: running, paused or crashed.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    crash_scope: CrashScope,
    crash_token: CancellationToken,
    paused: Arc<watch::Sender<bool>>,
}

impl Lifecycle {
    /// Returns the lifecycle of a stand-in that has just started.
    #[must_use]
    pub fn new(crash_scope: CrashScope) -> Self {
        Self {
            crash_scope,
            crash_token: CancellationToken::new(),
            paused: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Returns the token that is cancelled when the stand-in crashes.
    #[must_use]
    pub fn crash_token(&self) -> CancellationToken {
        self.crash_token.clone()
    }

    /// Crashes the stand-in immediately.
    pub fn crash(&self) {
        self.crash_token.cancel();
        if self.crash_scope == CrashScope::Process {
            process::exit(CRASH_EXIT_CODE);
        }
    }

    /// Returns whether the stand-in has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.crash_token.is_cancelled()
    }

    /// Pauses the stand-in for `duration`.
    pub fn pause(&self, duration: Duration) {
        self.paused.send_replace(true);
        let paused = Arc::clone(&self.paused);
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            paused.send_replace(false);
        });
    }

    /// Waits until the stand-in is not paused.
    pub async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Handles the requests that every control endpoint accepts: `faults` and `process`.
    ///
    /// # Errors
    ///
    /// Aborts the connection if the command was to crash.
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
                Some(command) => self.execute(command),
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "an order expected")),
            },
            _ => Ok(http::problem(StatusCode::NOT_FOUND, "no such control")),
        }
    }

    /// Executes a command of the control endpoint.
    ///
    /// # Errors
    ///
    /// Aborts the connection if the command was to crash.
    pub fn execute(&self, command: Command) -> Result<Response<Body>, Abort> {
        if command.die {
            self.crash();
            return Err(Abort);
        }
        if let Some(pause) = command.pause_ms {
            self.pause(Duration::from_millis(pause));
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }
}
