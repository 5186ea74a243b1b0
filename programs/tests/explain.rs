//! Extraction of the timeline of one request from the logs of entries.

use medlarfall::commands::explain::timeline;

const LOG: &str = r#"{"timestamp":"2026-05-18T10:45:21.1+00:00","level":"INFO","message":"stream sent","kvs":{"request":"9c41","server":"s1","load":0.2}}
   12.0 entry-1 {"timestamp":"2026-05-18T10:45:22.1+00:00","level":"INFO","message":"stream leaves its server","kvs":{"request":"9c41","cause":"server_lost"}}
not a log line
{"timestamp":"2026-05-18T10:45:22.2+00:00","level":"INFO","message":"stream sent","kvs":{"request":"other"}}
{"timestamp":"2026-05-18T10:45:22.3+00:00","level":"INFO","message":"start"}
"#;

#[test]
fn only_the_lines_of_the_request_are_shown_with_their_fields() {
    let moments = timeline("9c41", "entry-1.log", LOG);
    let shown: Vec<(&str, &str)> = moments
        .iter()
        .map(|moment| (moment.message.as_str(), moment.fields.as_str()))
        .collect();
    assert_eq!(
        shown,
        [
            ("stream sent", "load=0.2 server=s1"),
            ("stream leaves its server", "cause=server_lost"),
        ]
    );
    assert!(timeline("none", "entry-1.log", LOG).is_empty());
}
