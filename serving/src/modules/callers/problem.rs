//! Errors that callers receive: JSON with a kind, a message with the remedy and whether the request
//! ran.

use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;

/// Header that states whether the request ran.
pub(super) const RUN: &str = "medlarfall-run";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum RunStatus {
    /// It ran.
    Ran,
    /// It was certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RunStatus {
    /// Returns the value of the header [`RUN`].
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Kind of a problem.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// The key is missing or wrong.
    Unauthenticated,
    /// The request cannot be parsed.
    BadRequest,
    /// The body is larger than the limit, or a generation needs more memory than any engine gives.
    TooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No such service is declared.
    UnknownService,
    /// No backend server can take the request, or the entry is stopping.
    Unavailable,
    /// The response of the backend server was lost.
    AnswerLost,
    /// This entry is leaving.
    EntryLeaving,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// The call ran before, and its answer was not kept.
    AnswerNotKept,
    /// The caller's identifier is malformed, outside its validity window or bound to another
    /// request.
    BadIdentifier,
    /// An earlier call under the same identifier is still running.
    StillRunning,
    /// The platform's store does not respond.
    StoreUnavailable,
    /// The entry's memory budget for bodies and answers is exhausted.
    Overloaded,
    /// The answer cannot be resumed with the resume token and the tokens that the caller sent.
    ResumeRefused,
    /// The answer was not complete within its timeout.
    Timeout,
}

impl Kind {
    /// Returns the HTTP status of the kind.
    fn status(self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::EntryLeaving | Self::Unavailable | Self::StoreUnavailable | Self::Overloaded => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::AnswerLost | Self::AnswerTooLarge | Self::AnswerNotKept => {
                StatusCode::BAD_GATEWAY
            }
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::BadIdentifier => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ResumeRefused | Self::StillRunning => StatusCode::CONFLICT,
        }
    }
}

/// An error that a caller receives.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Problem {
    kind: Kind,
    run: RunStatus,
    message: String,
}

/// The JSON of an error.
#[derive(Serialize)]
struct Body<'a> {
    error: &'a Problem,
}

impl Problem {
    /// Returns a problem; `message` includes the remedy.
    pub(super) fn new(kind: Kind, run: RunStatus, message: impl Into<String>) -> Self {
        Self {
            kind,
            run,
            message: message.into(),
        }
    }

    /// Returns whether the request ran.
    pub(super) fn run_status(&self) -> RunStatus {
        self.run
    }

    /// Writes the problem as the response.
    pub(super) fn render(&self, response: &mut Response) {
        response.status_code(self.kind.status());
        let _ = response.add_header(RUN, self.run.as_str(), true);
        response.render(Json(Body { error: self }));
    }

    /// Returns the problem as JSON, for a stream whose headers have been sent.
    pub(super) fn json(&self) -> String {
        serde_json::to_string(&Body { error: self }).unwrap_or_default()
    }
}
