//! Recovery of generations from the loss of engines and entries and from faults of streams, tested
//! on separate processes. Each answer must equal the oracle's.

#[path = "support/fleet.rs"]
mod fleet;

use std::process::Stdio;

use fleet::{CALLER_KEY, Fleet, OTHER_KEY, completion};
use medlarfall::caller::{Answer, Error, Stream};
use medlarfall_standin::engine::Faults;
use medlarfall_standin::oracle;
use tokio::io::AsyncReadExt;
use tokio::process::Command;

/// Most tokens of each answer; it has at least half of them.
const MAX_TOKENS: u64 = 200;

/// Tokens that are received before the fault is injected.
const TOKENS_BEFORE_FAULT: usize = 12;

/// Index of the token at which an injected stream fault occurs.
const FAULTY_TOKEN: u64 = 50;

/// Reads tokens until `count` have been received.
async fn read_tokens(answer: &mut Answer, count: usize) {
    while answer.tokens().len() < count {
        let chunk = answer.next().await.expect("a chunk");
        assert!(chunk.is_some(), "the answer ended early");
    }
}

/// Starts a generation, reads its first tokens and returns it with the index of its engine.
async fn begin_generation(fleet: &Fleet, prompt: &str) -> (Answer, usize) {
    let mut answer = fleet.start_generation(prompt, MAX_TOKENS);
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    let engine = fleet.wait_for_serving_engine(None).await;
    (answer, engine)
}

/// Reads the rest of an answer and compares it with the oracle's.
async fn expect_oracle_answer(mut answer: Answer, prompt: &str) {
    let text = answer.finish().await.expect("the whole answer");
    assert_eq!(text, oracle::answer("v1", prompt, MAX_TOKENS));
}

/// Injects faults into the engine of a generation and expects the oracle's answer all the same.
async fn expect_recovery_from(test: &str, faults: Faults) {
    let fleet = Fleet::start(test).await;
    let (answer, engine) = begin_generation(&fleet, test).await;
    fleet.set_faults(engine, &faults).await;
    expect_oracle_answer(answer, test).await;
}

#[tokio::test]
async fn an_engine_is_killed() {
    let mut fleet = Fleet::start("engine-killed").await;
    let (answer, engine) = begin_generation(&fleet, "killed").await;
    fleet.engines[engine].kill();
    expect_oracle_answer(answer, "killed").await;
}

#[tokio::test]
async fn engines_are_killed_twice_in_one_generation() {
    let mut fleet = Fleet::start("killed-twice").await;
    let (mut answer, first) = begin_generation(&fleet, "twice").await;
    fleet.engines[first].kill();
    let received = answer.tokens().len();
    read_tokens(&mut answer, received + TOKENS_BEFORE_FAULT).await;
    let second = fleet.wait_for_serving_engine(Some(first)).await;
    fleet.engines[second].kill();
    expect_oracle_answer(answer, "twice").await;
}

#[tokio::test]
async fn a_paused_engine_is_freed_after_it_resumes() {
    let fleet = Fleet::start("paused").await;
    let (mut answer, engine) = begin_generation(&fleet, "paused").await;
    fleet.engines[engine].signal("STOP");
    let received = answer.tokens().len();
    // Tokens that the engine sent before it was stopped are read first.
    read_tokens(&mut answer, received + 3 * TOKENS_BEFORE_FAULT).await;
    fleet.engines[engine].signal("CONT");
    expect_oracle_answer(answer, "paused").await;
    fleet.wait_until_idle(engine).await;
}

#[tokio::test]
async fn a_stream_stalls() {
    let faults = Faults {
        stall_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("stalled", faults).await;
}

#[tokio::test]
async fn a_stream_is_cut() {
    let faults = Faults {
        cut_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("cut", faults).await;
}

#[tokio::test]
async fn a_token_is_lost() {
    let faults = Faults {
        lose_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("lost", faults).await;
}

#[tokio::test]
async fn a_token_is_repeated() {
    let faults = Faults {
        repeat_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("repeated", faults).await;
}

#[tokio::test]
async fn a_token_of_another_request_arrives() {
    let faults = Faults {
        cross_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("crossed", faults).await;
}

#[tokio::test]
async fn only_tokens_of_another_request_arrive() {
    let faults = Faults {
        stray_token: Some(FAULTY_TOKEN),
        ..Faults::default()
    };
    expect_recovery_from("stray", faults).await;
}

#[tokio::test]
async fn an_entry_is_killed() {
    let mut fleet = Fleet::start("entry-killed").await;
    let (mut answer, _) = begin_generation(&fleet, "entry").await;
    fleet.entries[0].kill();
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT + 1).await;
    expect_oracle_answer(answer, "entry").await;
}

#[tokio::test]
async fn an_entry_and_its_engine_are_killed_together() {
    let mut fleet = Fleet::start("both-killed").await;
    let (answer, engine) = begin_generation(&fleet, "both").await;
    fleet.entries[0].kill();
    fleet.engines[engine].kill();
    expect_oracle_answer(answer, "both").await;
}

#[tokio::test]
async fn the_command_line_continues_after_its_entry_is_killed() {
    let mut fleet = Fleet::start("command-line").await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarfall"));
    command.env("MEDLARFALL_KEY", CALLER_KEY).arg("generate");
    for entry in &fleet.entries {
        let address = entry.address(Some("callers")).to_string();
        command.args(["--entry", &address]);
    }
    let max_tokens = MAX_TOKENS.to_string();
    command.args(["--model", "briefs", "--prompt", "command line"]);
    command.args(["--max-tokens", &max_tokens]);
    let mut child = command
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut first = [0; 1];
    let mut stdout = child.stdout.take().expect("standard output is piped");
    stdout.read_exact(&mut first).await.expect("a first byte");
    fleet.entries[0].kill();
    let mut rest = String::new();
    stdout
        .read_to_string(&mut rest)
        .await
        .expect("the remaining output");
    assert!(child.wait().await.expect("the command exits").success());
    let expected = oracle::answer("v1", "command line", MAX_TOKENS);
    assert_eq!(format!(" {rest}"), expected + "\n");
}

/// Reads the first tokens of a stream and returns them with the latest resume token.
async fn first_tokens(stream: &mut Stream) -> (Vec<String>, String) {
    let mut tokens = Vec::new();
    let mut resume_token = None;
    while tokens.len() < TOKENS_BEFORE_FAULT {
        let chunk = stream
            .next()
            .await
            .expect("a chunk")
            .expect("another chunk");
        tokens.push(chunk.choices[0].text.clone());
        resume_token = chunk.resume_token;
    }
    (tokens, resume_token.expect("a resume token"))
}

/// Kills the entry of a stream, and its engine as well if `kill_engine`, and resumes at the other
/// entry without sending the tokens received so far.
async fn expect_resume_without_tokens(test: &str, kill_engine: bool) {
    let mut fleet = Fleet::start(test).await;
    let completion = completion(test, MAX_TOKENS);
    let stream = fleet.caller(0, CALLER_KEY).stream(&completion).await;
    let (tokens, resume_token) = first_tokens(&mut stream.expect("a stream")).await;
    let engine = fleet.wait_for_serving_engine(None).await;
    fleet.entries[0].kill();
    if kill_engine {
        fleet.engines[engine].kill();
    }
    let caller = fleet.caller(1, CALLER_KEY);
    let resumed = caller.resume(&completion, &resume_token, None).await;
    let (rest, whole) = resumed
        .expect("a stream")
        .text()
        .await
        .expect("the remaining output");
    let expected = oracle::answer("v1", test, MAX_TOKENS);
    assert_eq!(tokens.concat() + &rest, expected);
    assert!(whole);
}

#[tokio::test]
async fn a_caller_that_kept_no_text_resumes_from_the_engine() {
    expect_resume_without_tokens("no-text", false).await;
}

#[tokio::test]
async fn a_caller_that_kept_no_text_resumes_after_entry_and_engine_are_killed() {
    expect_resume_without_tokens("no-text-no-engine", true).await;
}

#[tokio::test]
async fn mismatched_resume_tokens_are_refused_with_the_remedy() {
    let fleet = Fleet::start("refused").await;
    let requested = completion("refused", MAX_TOKENS);
    let stream = fleet.caller(0, CALLER_KEY).stream(&requested).await;
    let (mut tokens, resume_token) = first_tokens(&mut stream.expect("a stream")).await;
    tokens[3] = " changed".to_owned();
    let other = completion("another prompt", MAX_TOKENS);
    // The first character is part of the layout byte, which is never 0xff.
    let forged = format!("_{}", &resume_token[1..]);
    let received_tokens = Some(tokens.as_slice());
    let cases = [
        (CALLER_KEY, &requested, &forged, None, "as it was received"),
        (OTHER_KEY, &requested, &resume_token, None, "use the key"),
        (
            CALLER_KEY,
            &other,
            &resume_token,
            None,
            "send the same body",
        ),
        (
            CALLER_KEY,
            &requested,
            &resume_token,
            received_tokens,
            "send all tokens",
        ),
    ];
    for (key, completion, token, received_tokens, remedy) in cases {
        let caller = fleet.caller(1, key);
        let refused = caller.resume(completion, token, received_tokens).await;
        let Err(Error::Refused { status, body }) = refused else {
            panic!("expected a refusal with the remedy {remedy:?}");
        };
        assert_eq!(status, 409);
        assert!(
            body.contains("resume_refused") && body.contains(remedy),
            "{body}"
        );
    }
}
