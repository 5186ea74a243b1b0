//! An answer that goes on at another entry when its entry is lost.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Caller, Chunk, Completion, Error, Stream};

/// How often all entries are tried in a row without a token.
const ROUNDS: usize = 20;

/// Pause after each round.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest silence of an entry that is borne.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// A streamed answer and what is needed to go on with it.
#[derive(Debug)]
pub struct Answer {
    callers: Vec<Caller>,
    completion: Completion,
    current: usize,
    stream: Option<Stream>,
    tokens: Vec<String>,
    resume_token: Option<String>,
    whole: bool,
    losses: usize,
}

impl Answer {
    /// Returns the answer to a completion that is asked for at the first of `entries`.
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
            whole: false,
            losses: 0,
        }
    }

    /// Returns how often the answer went on at another entry.
    #[must_use]
    pub fn failovers(&self) -> usize {
        self.losses
    }

    /// Returns the address of the entry that answers now.
    #[must_use]
    pub fn entry(&self) -> Option<SocketAddr> {
        let count = self.callers.len().max(1);
        self.callers
            .get(self.current % count)
            .map(|caller| caller.entry)
    }

    /// Returns the tokens received so far.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns the text received so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    /// Returns the next chunk, or nothing when the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or that no entry can be reached.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        let mut fruitless = 0;
        loop {
            if self.whole {
                return Ok(None);
            }
            let error = match self.step().await {
                Ok(chunk) => {
                    self.note(&chunk);
                    return Ok(Some(chunk));
                }
                Err(error) => error,
            };
            fruitless += 1;
            let given_up = fruitless >= self.callers.len() * ROUNDS;
            if given_up || !self.may_go_on(&error) {
                return Err(error);
            }
            self.change_entry(fruitless).await;
        }
    }

    /// Reads the rest of the answer.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal, or that no entry can be reached.
    pub async fn finish(&mut self) -> Result<String, Error> {
        while self.next().await?.is_some() {}
        Ok(self.text())
    }

    /// Reads one chunk at the current entry.
    async fn step(&mut self) -> Result<Chunk, Error> {
        if self.callers.is_empty() {
            return Err(Error::Disconnected {
                reason: "no entry was named".to_owned(),
            });
        }
        let silent = |_| Error::Disconnected {
            reason: "the entry fell silent".to_owned(),
        };
        if self.stream.is_none() {
            let stream = tokio::time::timeout(SILENCE_LIMIT, self.ask()).await;
            self.stream = Some(stream.map_err(silent)??);
        }
        let cut = || Error::Disconnected {
            reason: "the stream ended early".to_owned(),
        };
        let stream = self.stream.as_mut().ok_or_else(cut)?;
        let next = tokio::time::timeout(SILENCE_LIMIT, stream.next()).await;
        next.map_err(silent)??.ok_or_else(cut)
    }

    /// Asks the current entry for the answer, or for the rest of it.
    async fn ask(&self) -> Result<Stream, Error> {
        let caller = &self.callers[self.current % self.callers.len()];
        match &self.resume_token {
            None => caller.stream(&self.completion).await,
            Some(token) => {
                let tokens = Some(self.tokens.as_slice());
                caller.resume(&self.completion, token, tokens).await
            }
        }
    }

    /// Notes a chunk that has been received.
    fn note(&mut self, chunk: &Chunk) {
        if chunk.resume_token.is_some() {
            self.resume_token.clone_from(&chunk.resume_token);
            let text = chunk.choices.iter().map(|choice| choice.text.as_str());
            self.tokens.push(text.collect());
        }
        let ended = |choice: &super::Choice| choice.finish_reason.is_some();
        self.whole = chunk.choices.iter().any(ended);
    }

    /// Returns whether another entry may do better.
    fn may_go_on(&self, error: &Error) -> bool {
        match error {
            _ if self.callers.is_empty() => false,
            Error::Disconnected { .. } => true,
            Error::Refused { body, .. } => body.contains("\"kind\":\"unavailable\""),
        }
    }

    /// Goes to the next entry, after a pause if all were tried in vain.
    async fn change_entry(&mut self, fruitless: usize) {
        self.stream = None;
        self.current += 1;
        self.losses += 1;
        if fruitless.is_multiple_of(self.callers.len()) {
            tokio::time::sleep(PAUSE).await;
        }
    }
}
