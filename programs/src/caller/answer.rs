//! A streamed answer that is resumed at another entry when its entry fails.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Caller, Chunk, Completion, Error, Stream};

/// Rounds over all entries that may fail in succession, without a token, before the answer fails.
const MAX_ROUNDS: usize = 20;

/// Pause after each round over all entries.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Time without data after which an entry is considered failed.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// A streamed answer and the state needed to resume it.
#[derive(Debug)]
pub struct Answer {
    callers: Vec<Caller>,
    completion: Completion,
    current: usize,
    stream: Option<Stream>,
    tokens: Vec<String>,
    resume_token: Option<String>,
    complete: bool,
    failovers: usize,
}

impl Answer {
    /// Returns the answer to `completion`, which is requested from the first of `entries` and from
    /// the next one after each failure. The first call of [`Answer::next`] sends the request.
    #[must_use]
    pub fn new(entries: &[SocketAddr], key: &str, completion: Completion) -> Self {
        let callers = entries.iter().map(|entry| Caller::new(*entry, key));
        Self {
            callers: callers.collect(),
            completion,
            current: 0,
            stream: None,
            tokens: Vec::new(),
            resume_token: None,
            complete: false,
            failovers: 0,
        }
    }

    /// Returns how often the answer has changed to another entry.
    #[must_use]
    pub fn failovers(&self) -> usize {
        self.failovers
    }

    /// Returns the address of the entry in use.
    #[must_use]
    pub fn entry(&self) -> Option<SocketAddr> {
        let count = self.callers.len().max(1);
        self.callers
            .get(self.current % count)
            .map(|caller| caller.entry)
    }

    /// Returns the tokens received so far, without those of chunks that had no resume token.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns the text received so far, without that of chunks that had no resume token.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    /// Returns the next chunk, or `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or the last error once all entries have failed repeatedly.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        let mut failures = 0;
        loop {
            if self.complete {
                return Ok(None);
            }
            let error = match self.read_chunk().await {
                Ok(chunk) => {
                    self.record(&chunk);
                    return Ok(Some(chunk));
                }
                Err(error) => error,
            };
            failures += 1;
            let exhausted = failures >= self.callers.len() * MAX_ROUNDS;
            if exhausted || !self.can_fail_over(&error) {
                return Err(error);
            }
            self.change_entry(failures).await;
        }
    }

    /// Reads the rest of the answer and returns its whole text.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or the last error once all entries have failed repeatedly.
    pub async fn finish(&mut self) -> Result<String, Error> {
        while self.next().await?.is_some() {}
        Ok(self.text())
    }

    /// Reads one chunk from the current entry, after opening a stream if none is open.
    async fn read_chunk(&mut self) -> Result<Chunk, Error> {
        if self.callers.is_empty() {
            return Err(Error::Disconnected {
                reason: "no entry address was given".to_owned(),
            });
        }
        let timed_out = |_| Error::Disconnected {
            reason: "timed out waiting for data from the entry".to_owned(),
        };
        if self.stream.is_none() {
            let stream = tokio::time::timeout(SILENCE_LIMIT, self.open_stream()).await;
            self.stream = Some(stream.map_err(timed_out)??);
        }
        let truncated = || Error::Disconnected {
            reason: "the stream ended before the answer was complete".to_owned(),
        };
        let stream = self.stream.as_mut().ok_or_else(truncated)?;
        let next = tokio::time::timeout(SILENCE_LIMIT, stream.next()).await;
        next.map_err(timed_out)??.ok_or_else(truncated)
    }

    /// Requests the answer, or the rest of it, from the current entry.
    async fn open_stream(&self) -> Result<Stream, Error> {
        let caller = &self.callers[self.current % self.callers.len()];
        match &self.resume_token {
            None => caller.stream(&self.completion).await,
            Some(token) => {
                let tokens = Some(self.tokens.as_slice());
                caller.resume(&self.completion, token, tokens).await
            }
        }
    }

    /// Records a received chunk: its resume token, its text and whether it ends the answer. Text
    /// without a resume token is dropped.
    fn record(&mut self, chunk: &Chunk) {
        if chunk.resume_token.is_some() {
            self.resume_token.clone_from(&chunk.resume_token);
            let text = chunk.choices.iter().map(|choice| choice.text.as_str());
            self.tokens.push(text.collect());
        }
        let ended = |choice: &super::Choice| choice.finish_reason.is_some();
        self.complete = chunk.choices.iter().any(ended);
    }

    /// Returns whether the request may succeed at another entry: after a failed connection, or a
    /// refusal of the kind `unavailable`.
    fn can_fail_over(&self, error: &Error) -> bool {
        match error {
            _ if self.callers.is_empty() => false,
            Error::Disconnected { .. } => true,
            Error::Refused { body, .. } => body.contains("\"kind\":\"unavailable\""),
        }
    }

    /// Changes to the next entry; pauses first if every entry has failed in this round.
    async fn change_entry(&mut self, failures: usize) {
        self.stream = None;
        self.current += 1;
        self.failovers += 1;
        if failures.is_multiple_of(self.callers.len()) {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }
}
