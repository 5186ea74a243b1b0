//! The splitter returns whole, unchanged events wherever the bytes are cut between reads.

use medlarfall_relay::events::Splitter;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversion: 3\nid: 7\ndata: c\n\n: note\n\nid: 8\ndat";

#[test]
fn events_keep_their_bytes_and_ids() {
    let mut splitter = Splitter::default();
    splitter.push(STREAM);
    let events: Vec<_> = std::iter::from_fn(|| splitter.next_event()).collect();
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(7), None]);
    let whole: Vec<u8> = events
        .iter()
        .flat_map(|event| event.bytes.to_vec())
        .collect();
    assert!(STREAM.starts_with(&whole));
    assert!(
        splitter.has_partial(),
        "the partial event remains in the buffer"
    );
}

#[test]
fn cuts_between_reads_change_nothing() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut splitter = Splitter::default();
        let mut remaining = STREAM;
        let mut events = Vec::new();
        for cut in cuts {
            let (now, later) = remaining.split_at(usize::from(*cut % 7).min(remaining.len()));
            splitter.push(now);
            remaining = later;
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        splitter.push(remaining);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
        let mut unsplit = Splitter::default();
        unsplit.push(STREAM);
        let expected: Vec<_> = std::iter::from_fn(|| unsplit.next_event()).collect();
        assert_eq!(events, expected);
    });
}
