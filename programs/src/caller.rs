//! Client of the callers' port: requests generations, reads their streams and calls plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

mod answer;

pub use answer::Answer;

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Errors of a request to an entry.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The entry could not be reached, or the connection was lost.
    #[snafu(display(
        "cannot connect to the entry, or lost the connection: {reason}; try another entry"
    ))]
    Disconnected {
        /// Text of the underlying error.
        reason: String,
    },
    /// The entry answered with an error.
    #[snafu(display("{body}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// The error as JSON.
        body: String,
    },
}

/// A request for a generation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Completion {
    /// Name of the generation service.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens of the complete answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A request to resume a generation, with the tokens received so far.
#[derive(Serialize)]
struct Resumption<'a> {
    #[serde(flatten)]
    completion: &'a Completion,
    tokens: &'a [String],
}

/// One event of a streamed answer, or a complete answer that is not streamed.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// Resume token: the `id:` of the event.
    #[serde(skip)]
    pub resume_token: Option<String>,
    /// Version of the service that generated the text.
    pub version: String,
    /// The generated text; entries return a single choice.
    pub choices: Vec<Choice>,
}

/// The text of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// The text.
    pub text: String,
    /// Index of the token.
    pub token_index: Option<u64>,
    /// Reason for the end of the answer; set on its last chunk only.
    pub finish_reason: Option<String>,
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `medlarfall-run`: whether the call ran.
    pub run: String,
    /// Identifier that the entry assigned to the request.
    pub request_id: String,
    /// Body.
    pub body: String,
}

/// A client of one entry that authenticates as a client account.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    key: String,
}

/// A streamed answer.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    buffer: BytesMut,
}

impl Caller {
    /// Returns a client of the entry at `entry` that authenticates with `key`.
    #[must_use]
    pub fn new(entry: SocketAddr, key: &str) -> Self {
        Self::with_receive_buffer(entry, key, None)
    }

    /// Returns a client like [`Caller::new`] does, with a receive buffer of `bytes` for each of its
    /// connections; `None` leaves the size to the operating system.
    #[must_use]
    pub fn with_receive_buffer(entry: SocketAddr, key: &str, bytes: Option<usize>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_recv_buffer_size(bytes);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            entry,
            key: key.to_owned(),
        }
    }

    /// Requests a generation and returns its stream.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or [`Error::Disconnected`] if the connection failed.
    pub async fn stream(&self, completion: &Completion) -> Result<Stream, Error> {
        let completion = Completion {
            stream: true,
            ..completion.clone()
        };
        let body = serde_json::to_string(&completion).map_err(disconnected)?;
        Ok(Stream::new(self.post_completion(body, None).await?))
    }

    /// Resumes a generation that another entry started, after the event with `resume_token`.
    /// `tokens` are all tokens received so far; without them the entry may have to generate them
    /// again.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or [`Error::Disconnected`] if the connection failed.
    pub async fn resume(
        &self,
        completion: &Completion,
        resume_token: &str,
        tokens: Option<&[String]>,
    ) -> Result<Stream, Error> {
        let completion = &Completion {
            stream: true,
            ..completion.clone()
        };
        let body = match tokens {
            Some(tokens) => serde_json::to_string(&Resumption { completion, tokens }),
            None => serde_json::to_string(completion),
        };
        let body = body.map_err(disconnected)?;
        Ok(Stream::new(
            self.post_completion(body, Some(resume_token)).await?,
        ))
    }

    /// Requests a generation and returns the text of the complete answer; `stream` must be false.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or [`Error::Disconnected`] if the connection failed.
    pub async fn generate(&self, completion: &Completion) -> Result<String, Error> {
        let body = serde_json::to_string(completion).map_err(disconnected)?;
        let response = self.post_completion(body, None).await?;
        let body = read_body(response.into_body()).await?;
        let chunk: Chunk = serde_json::from_slice(&body).map_err(disconnected)?;
        Ok(chunk
            .choices
            .into_iter()
            .map(|choice| choice.text)
            .collect())
    }

    /// Calls a plain service; `path` starts with `/s/`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Disconnected`] if the connection failed; a refusal by the entry is a reply,
    /// not an error.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Result<Reply, Error> {
        self.call_with_headers(method, path, body, &[]).await
    }

    /// Calls a plain service with additional headers, such as `idempotency-key`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Disconnected`] if the connection failed; a refusal by the entry is a reply,
    /// not an error.
    pub async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<Reply, Error> {
        let response = self.send(method, path, body.to_owned(), headers).await?;
        let status = response.status().as_u16();
        let run = header_value(&response, "medlarfall-run");
        let request_id = header_value(&response, "medlarfall-request-id");
        let body = read_body(response.into_body()).await?;
        Ok(Reply {
            status,
            run,
            request_id,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a request for a generation, to be resumed after `resume_token` if there is one.
    async fn post_completion(
        &self,
        body: String,
        resume_token: Option<&str>,
    ) -> Result<Response<Incoming>, Error> {
        let path = "/v1/completions";
        let headers: Vec<(&str, &str)> = resume_token
            .map(|resume_token| ("last-event-id", resume_token))
            .into_iter()
            .collect();
        let response = self.send(Method::POST, path, body, &headers).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = read_body(response.into_body()).await?;
        Err(Error::Refused {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a request with additional headers.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: String,
        headers: &[(&str, &str)],
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(disconnected)?;
        self.client.request(request).await.map_err(disconnected)
    }
}

impl Stream {
    /// Returns the stream in the body of a response.
    fn new(response: Response<Incoming>) -> Self {
        Self {
            body: response.into_body(),
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next chunk, or `None` at the end of the response's body.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or [`Error::Disconnected`] if the connection failed.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = self.buffer.split_to(end + 2);
                if let Some(chunk) = parse_event(&String::from_utf8_lossy(&event))? {
                    return Ok(Some(chunk));
                }
                continue;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self
                    .buffer
                    .extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(error)) => return Err(disconnected(error)),
                None => return Ok(None),
            }
        }
    }

    /// Reads the rest of the answer; returns its text and whether the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or [`Error::Disconnected`] if the connection failed.
    pub async fn text(&mut self) -> Result<(String, bool), Error> {
        let mut text = String::new();
        let mut complete = false;
        while let Some(chunk) = self.next().await? {
            for choice in chunk.choices {
                text.push_str(&choice.text);
                complete |= choice.finish_reason.is_some();
            }
        }
        Ok((text, complete))
    }
}

/// Returns the chunk in a server-sent event, or `None` for a comment.
fn parse_event(event: &str) -> Result<Option<Chunk>, Error> {
    let failed = event
        .lines()
        .any(|line| line == "event: error" || line == "event:error");
    let data: String = event
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(str::trim_start)
        .collect();
    match data.as_str() {
        "" => Ok(None),
        _ if failed => Err(Error::Refused {
            status: 200,
            body: data,
        }),
        data => {
            let mut chunk: Chunk = serde_json::from_str(data).map_err(disconnected)?;
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            chunk.resume_token = id.map(|id| id.trim().to_owned());
            Ok(Some(chunk))
        }
    }
}

/// Returns the value of a header, or an empty string if it is missing or not text.
fn header_value(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Reads a response's body to its end.
async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    body.collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(disconnected)
}

/// Returns the error of a failed connection, a malformed answer or a malformed request, with the
/// underlying cause if there is one.
fn disconnected(error: impl std::error::Error) -> Error {
    let mut reason = error.to_string();
    if let Some(source) = error.source() {
        reason = format!("{reason}: {source}");
    }
    Error::Disconnected { reason }
}
