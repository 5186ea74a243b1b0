//! Faults in the middle of a generation, over real processes: each answer is the oracle's.

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

/// Tokens that are received before the fault.
const BEFORE: usize = 12;

/// Index of the token that a fault of a stream meets.
const FAULTY: u64 = 50;

/// Reads tokens until `count` have been received.
async fn read(answer: &mut Answer, count: usize) {
    while answer.tokens().len() < count {
        let chunk = answer.next().await.expect("a chunk");
        assert!(chunk.is_some(), "the answer ended early");
    }
}

/// Asks for a generation, reads its first tokens and returns it with the engine that serves it.
async fn begin(fleet: &Fleet, prompt: &str) -> (Answer, usize) {
    let mut answer = fleet.ask(prompt, MAX_TOKENS);
    read(&mut answer, BEFORE).await;
    let engine = fleet.serving(None).await;
    (answer, engine)
}

/// Reads the rest of an answer and compares it with the oracle's.
async fn end(mut answer: Answer, prompt: &str) {
    let text = answer.finish().await.expect("the whole answer");
    assert_eq!(text, oracle::answer("v1", prompt, MAX_TOKENS));
}

/// Runs a generation whose stream has a fault.
async fn faulty_stream(test: &str, faults: Faults) {
    let fleet = Fleet::start(test).await;
    let (answer, engine) = begin(&fleet, test).await;
    fleet.set_faults(engine, &faults).await;
    end(answer, test).await;
}

#[tokio::test]
async fn an_engine_is_killed() {
    let mut fleet = Fleet::start("engine-killed").await;
    let (answer, engine) = begin(&fleet, "killed").await;
    fleet.engines[engine].kill();
    end(answer, "killed").await;
}

#[tokio::test]
async fn engines_are_killed_twice_in_one_generation() {
    let mut fleet = Fleet::start("killed-twice").await;
    let (mut answer, first) = begin(&fleet, "twice").await;
    fleet.engines[first].kill();
    let received = answer.tokens().len();
    read(&mut answer, received + BEFORE).await;
    let second = fleet.serving(Some(first)).await;
    fleet.engines[second].kill();
    end(answer, "twice").await;
}

#[tokio::test]
async fn a_paused_engine_returns_and_is_freed() {
    let fleet = Fleet::start("paused").await;
    let (mut answer, engine) = begin(&fleet, "paused").await;
    fleet.engines[engine].signal("STOP");
    let received = answer.tokens().len();
    // What the stopped engine had sent before is read first.
    read(&mut answer, received + 3 * BEFORE).await;
    fleet.engines[engine].signal("CONT");
    end(answer, "paused").await;
    fleet.free(engine).await;
}

#[tokio::test]
async fn a_stream_stalls() {
    let faults = Faults {
        stall_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("stalled", faults).await;
}

#[tokio::test]
async fn a_stream_is_cut() {
    let faults = Faults {
        cut_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("cut", faults).await;
}

#[tokio::test]
async fn a_token_is_lost() {
    let faults = Faults {
        lose_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("lost", faults).await;
}

#[tokio::test]
async fn a_token_is_repeated() {
    let faults = Faults {
        repeat_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("repeated", faults).await;
}

#[tokio::test]
async fn a_token_of_another_request_crosses() {
    let faults = Faults {
        cross_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("crossed", faults).await;
}

#[tokio::test]
async fn only_tokens_of_another_request_come() {
    let faults = Faults {
        stray_token: Some(FAULTY),
        ..Faults::default()
    };
    faulty_stream("stray", faults).await;
}

#[tokio::test]
async fn an_entry_is_killed() {
    let mut fleet = Fleet::start("entry-killed").await;
    let (mut answer, _) = begin(&fleet, "entry").await;
    fleet.entries[0].kill();
    read(&mut answer, BEFORE + 1).await;
    end(answer, "entry").await;
}

#[tokio::test]
async fn an_entry_and_its_engine_are_killed_together() {
    let mut fleet = Fleet::start("both-killed").await;
    let (answer, engine) = begin(&fleet, "both").await;
    fleet.entries[0].kill();
    fleet.engines[engine].kill();
    end(answer, "both").await;
}

#[tokio::test]
async fn the_command_line_outlives_its_entry() {
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
    let mut child = command.stdout(Stdio::piped()).spawn().expect("it starts");
    let mut first = [0; 1];
    let mut stdout = child.stdout.take().expect("its output is read");
    stdout.read_exact(&mut first).await.expect("a first byte");
    fleet.entries[0].kill();
    let mut rest = String::new();
    stdout.read_to_string(&mut rest).await.expect("the rest");
    assert!(child.wait().await.expect("it ends").success());
    let expected = oracle::answer("v1", "command line", MAX_TOKENS);
    assert_eq!(format!(" {rest}"), expected + "\n");
}

/// Reads the first tokens at entry 0 and returns them with the last resume token.
async fn first_tokens(stream: &mut Stream) -> (Vec<String>, String) {
    let mut tokens = Vec::new();
    let mut resume_token = None;
    while tokens.len() < BEFORE {
        let chunk = stream.next().await.expect("a chunk").expect("more to come");
        tokens.push(chunk.choices[0].text.clone());
        resume_token = chunk.resume_token;
    }
    (tokens, resume_token.expect("an event's id"))
}

/// Kills an entry, and the engine as well if `engine`, and comes back without the tokens held.
async fn come_back_without_tokens(test: &str, kill_engine: bool) {
    let mut fleet = Fleet::start(test).await;
    let completion = completion(test, MAX_TOKENS);
    let asked = fleet.caller(0, CALLER_KEY).stream(&completion).await;
    let (tokens, resume_token) = first_tokens(&mut asked.expect("a stream")).await;
    let engine = fleet.serving(None).await;
    fleet.entries[0].kill();
    if kill_engine {
        fleet.engines[engine].kill();
    }
    let caller = fleet.caller(1, CALLER_KEY);
    let resumed = caller.resume(&completion, &resume_token, None).await;
    let (rest, whole) = resumed.expect("a stream").text().await.expect("the rest");
    let expected = oracle::answer("v1", test, MAX_TOKENS);
    assert_eq!(tokens.concat() + &rest, expected);
    assert!(whole);
}

#[tokio::test]
async fn a_caller_that_kept_no_text_reads_on_from_the_engine() {
    come_back_without_tokens("no-text", false).await;
}

#[tokio::test]
async fn a_caller_that_kept_no_text_outlives_entry_and_engine() {
    come_back_without_tokens("no-text-no-engine", true).await;
}

#[tokio::test]
async fn resume_tokens_that_do_not_fit_are_refused_with_the_remedy() {
    let fleet = Fleet::start("refused").await;
    let asked = completion("refused", MAX_TOKENS);
    let stream = fleet.caller(0, CALLER_KEY).stream(&asked).await;
    let (mut tokens, resume_token) = first_tokens(&mut stream.expect("a stream")).await;
    tokens[3] = " changed".to_owned();
    let other = completion("another prompt", MAX_TOKENS);
    // The first character stands for the layout, which is never 0xff.
    let forged = format!("_{}", &resume_token[1..]);
    let held = Some(tokens.as_slice());
    let cases = [
        (CALLER_KEY, &asked, &forged, None, "as it was received"),
        (OTHER_KEY, &asked, &resume_token, None, "use the key"),
        (
            CALLER_KEY,
            &other,
            &resume_token,
            None,
            "send the same body",
        ),
        (CALLER_KEY, &asked, &resume_token, held, "send all tokens"),
    ];
    for (key, completion, token, held, remedy) in cases {
        let caller = fleet.caller(1, key);
        let refused = caller.resume(completion, token, held).await;
        let Err(Error::Refused { status, body }) = refused else {
            panic!("not refused: {remedy}");
        };
        assert_eq!(status, 409);
        assert!(
            body.contains("resume_refused") && body.contains(remedy),
            "{body}"
        );
    }
}
