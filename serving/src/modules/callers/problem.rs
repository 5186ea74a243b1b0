//! Errors that callers are told: JSON with a typed kind, the remedy and whether the request ran.

use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;

/// Header that says whether the request ran.
pub(super) const RUN: &str = "medlarfall-run";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Outcome {
    /// It ran.
    Ran,
    /// It truly was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
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
    /// The request cannot be read.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The body did not come in time.
    TooSlow,
    /// No such service is declared.
    UnknownService,
    /// No backend server can take the request.
    Unavailable,
    /// The answer was lost on the way.
    AnswerLost,
    /// This entry is leaving.
    EntryLeaving,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// The call ran before, and its answer was not kept.
    AnswerNotKept,
    /// The caller's identifier is malformed, outside its window or bound to another request.
    BadIdentifier,
    /// An earlier call under the identifier has not ended.
    StillRunning,
    /// The platform's store does not answer.
    StoreUnavailable,
    /// The entry holds too many bytes.
    Overloaded,
    /// The resume token cannot be used.
    ResumeRefused,
    /// The answer was not whole when its time was over.
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

/// A problem that a caller is told.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Problem {
    kind: Kind,
    run: Outcome,
    message: String,
}

/// The JSON of an error.
#[derive(Serialize)]
struct Body<'a> {
    error: &'a Problem,
}

impl Problem {
    /// Returns a problem; `message` names the remedy.
    pub(super) fn new(kind: Kind, run: Outcome, message: impl Into<String>) -> Self {
        Self {
            kind,
            run,
            message: message.into(),
        }
    }

    /// Returns whether the request ran.
    pub(super) fn outcome(&self) -> Outcome {
        self.run
    }

    /// Writes the problem as the whole answer.
    pub(super) fn render(&self, response: &mut Response) {
        response.status_code(self.kind.status());
        let _ = response.add_header(RUN, self.run.as_str(), true);
        response.render(Json(Body { error: self }));
    }

    /// Returns the problem as JSON, for an answer that has begun.
    pub(super) fn json(&self) -> String {
        serde_json::to_string(&Body { error: self }).unwrap_or_default()
    }
}
